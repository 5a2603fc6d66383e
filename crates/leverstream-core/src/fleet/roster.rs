use std::collections::{BTreeMap, HashMap};

use leverstream_health::BackendKey;
use rand::Rng;

/// Up to how many backend servers of a service a request looks at all of them.
const WHOLE_LIMIT: usize = 320;

/// How many of those that were heard of last it looks at where there are more.
const HEARD_LIMIT: usize = 192;

/// How many of the others it looks at then, taken by chance: of those of which nothing was heard for long one is like
/// another, but for the data hall.
const OTHERS_LIMIT: usize = 48;

/// The backend servers of one service that may take work, and when something was last heard of each.
///
/// What a request looks at, and what a change costs, does not grow with them.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// Their keys, in no order.
    keys: Vec<BackendKey>,
    /// What is kept of each.
    places: HashMap<BackendKey, Place>,
    /// Those that were heard of, the last one at the end.
    heard: BTreeMap<u64, BackendKey>,
    /// The number of the last word.
    last_word: u64,
    /// The sum of their slots.
    slots: u32,
}

/// What a [`Roster`] keeps of a backend server.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// Its index among the keys.
    index: usize,
    /// Its slots.
    slots: u32,
    /// The number of the last word that was heard of it; 0 before any.
    word: u64,
}

/// Those of a service among which a request looks for a backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidates {
    /// Their keys.
    pub keys: Vec<BackendKey>,
    /// How many of the keys, the first ones, stand for themselves only.
    pub known: usize,
    /// For how many each of the rest stands, which were taken by chance.
    pub stands_for: f64,
}

impl Candidates {
    /// Leaves out those that a request may not go to.
    pub fn retain(&mut self, admits: impl Fn(&BackendKey) -> bool) {
        let known = self.keys.iter().take(self.known).filter(|key| admits(key)).count();
        self.keys.retain(admits);
        self.known = known;
    }
}

impl Roster {
    /// The keys.
    pub fn keys(&self) -> &[BackendKey] {
        &self.keys
    }

    /// The sum of their slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Puts a backend server on the list, or takes over how many slots it has.
    pub fn add(&mut self, key: BackendKey, slots: u32) {
        let Roster { keys, places, .. } = self;
        let place = places.entry(key).or_insert_with(|| {
            keys.push(key);
            Place { index: keys.len() - 1, slots: 0, word: 0 }
        });
        self.slots = self.slots - place.slots + slots;
        place.slots = slots;
    }

    /// Takes a backend server off the list.
    pub fn remove(&mut self, key: BackendKey) {
        let Some(place) = self.places.remove(&key) else { return };
        self.keys.swap_remove(place.index);
        if let Some(moved) = self.keys.get(place.index).and_then(|key| self.places.get_mut(key)) {
            moved.index = place.index;
        }
        self.heard.remove(&place.word);
        self.slots -= place.slots;
    }

    /// Notes that something was heard of a backend server.
    pub fn hear(&mut self, key: BackendKey) {
        let Some(place) = self.places.get_mut(&key) else { return };
        self.heard.remove(&place.word);
        self.last_word += 1;
        place.word = self.last_word;
        self.heard.insert(place.word, key);
    }

    /// Those among which a request looks: all of a few, else those heard of last and some of the others.
    pub fn candidates(&self, rng: &mut impl Rng) -> Candidates {
        if self.keys.len() <= WHOLE_LIMIT {
            let known = self.keys.len();
            return Candidates { keys: self.keys.clone(), known, stands_for: 1.0 };
        }
        let heard = self.heard.iter().rev().take(HEARD_LIMIT);
        let (words, mut keys): (Vec<u64>, Vec<BackendKey>) = heard.unzip();
        let known = keys.len();
        let oldest_word = words.last().copied().unwrap_or(u64::MAX);
        let is_known = |key: &BackendKey| self.places[key].word >= oldest_word;
        let drawn = rand::seq::index::sample(rng, self.keys.len(), OTHERS_LIMIT);
        let drawn = drawn.iter().map(|index| self.keys[index]);
        keys.extend(drawn.filter(|key| !is_known(key)));
        let others = self.keys.len() - known;
        let stands_for = others as f64 / (keys.len() - known).max(1) as f64;
        Candidates { keys, known, stands_for }
    }
}
