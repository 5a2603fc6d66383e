//! The backend servers of a service, ordered by how recently each was observed.
//!
//! A request to a large service considers only the most recently observed backend servers and a
//! random sample of the rest, so its cost does not grow with the service.

use std::collections::{BTreeMap, HashMap};

use leverstream_health::BackendKey;
use rand::Rng;

/// The largest service of which a request considers all backend servers.
const WHOLE_LIMIT: usize = 320;

/// The number of most recently observed backend servers considered in a larger service.
const HEARD_LIMIT: usize = 192;

/// The size of the random sample from the rest: backend servers without recent observations differ
/// only in their data hall.
const OTHERS_LIMIT: usize = 48;

/// The backend servers of one service in service, with the order of their last observations.
///
/// The cost of a request and of an update does not grow with their number.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// The keys, unordered.
    keys: Vec<BackendKey>,
    /// The entry of each key.
    places: HashMap<BackendKey, Place>,
    /// The observed backend servers by observation number, the latest last.
    heard: BTreeMap<u64, BackendKey>,
    /// The number of the latest observation.
    last_word: u64,
    /// The total slots.
    slots: u32,
}

/// The entry of a backend server in a [`Roster`].
#[derive(Clone, Copy, Debug)]
struct Place {
    /// Its index in `keys`.
    index: usize,
    /// Its number of slots.
    slots: u32,
    /// The number of its latest observation; 0 if there is none.
    word: u64,
}

/// The backend servers that a request considers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidates {
    /// The keys: first those considered individually, then the sample.
    pub keys: Vec<BackendKey>,
    /// The number of keys considered individually.
    pub known: usize,
    /// The number of backend servers that each sampled key represents.
    pub stands_for: f64,
}

impl Candidates {
    /// Keeps only the candidates that a request may go to.
    pub fn retain(&mut self, admits: impl Fn(&BackendKey) -> bool) {
        let known = self.keys.iter().take(self.known).filter(|key| admits(key)).count();
        self.keys.retain(admits);
        self.known = known;
    }
}

impl Roster {
    /// Returns the keys.
    pub fn keys(&self) -> &[BackendKey] {
        &self.keys
    }

    /// Returns the total slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Adds a backend server, or updates its slots.
    pub fn add(&mut self, key: BackendKey, slots: u32) {
        let Roster { keys, places, .. } = self;
        let place = places.entry(key).or_insert_with(|| {
            keys.push(key);
            Place { index: keys.len() - 1, slots: 0, word: 0 }
        });
        self.slots = self.slots - place.slots + slots;
        place.slots = slots;
    }

    /// Removes a backend server.
    pub fn remove(&mut self, key: BackendKey) {
        let Some(place) = self.places.remove(&key) else { return };
        self.keys.swap_remove(place.index);
        if let Some(moved) = self.keys.get(place.index).and_then(|key| self.places.get_mut(key)) {
            moved.index = place.index;
        }
        self.heard.remove(&place.word);
        self.slots -= place.slots;
    }

    /// Marks a backend server as the most recently observed one.
    pub fn hear(&mut self, key: BackendKey) {
        let Some(place) = self.places.get_mut(&key) else { return };
        self.heard.remove(&place.word);
        self.last_word += 1;
        place.word = self.last_word;
        self.heard.insert(place.word, key);
    }

    /// Returns all backend servers of a small service; of a large one, the recently observed ones
    /// and a sample of the rest.
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
