//! The backend servers of a service, ordered by how recently each was observed.
//!
//! A request to a large service considers only the most recently observed backend servers and a
//! random sample of the rest, so its cost does not grow with the service.

use std::collections::{BTreeMap, HashMap};

use leverstream_health::BackendKey;
use rand::Rng;

/// The largest service of which a request considers all backend servers.
const FULL_SCAN_LIMIT: usize = 320;

/// The number of most recently observed backend servers considered in a larger service.
const RECENT_LIMIT: usize = 192;

/// The size of the random sample from the rest: backend servers without recent observations differ
/// only in their data hall.
const SAMPLE_SIZE: usize = 48;

/// The backend servers of one service in service, with the order of their last observations.
///
/// The cost of a request and of an update does not grow with their number.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// The keys, unordered.
    keys: Vec<BackendKey>,
    /// The entry of each key.
    entries: HashMap<BackendKey, Entry>,
    /// The observed backend servers by observation number, the latest last.
    recent: BTreeMap<u64, BackendKey>,
    /// The number of the latest observation.
    last_observation: u64,
    /// The total slots.
    slots: u32,
}

/// The entry of a backend server in a [`Roster`].
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Its index in `keys`.
    index: usize,
    /// Its number of slots.
    slots: u32,
    /// The number of its latest observation; 0 if there is none.
    observation: u64,
}

/// The backend servers that a request considers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidates {
    /// The keys: first those considered individually, then the sample.
    pub keys: Vec<BackendKey>,
    /// The number of keys considered individually.
    pub known: usize,
    /// The number of backend servers that each sampled key represents.
    pub sample_weight: f64,
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
        let Roster { keys, entries, .. } = self;
        let entry = entries.entry(key).or_insert_with(|| {
            keys.push(key);
            Entry { index: keys.len() - 1, slots: 0, observation: 0 }
        });
        self.slots = self.slots - entry.slots + slots;
        entry.slots = slots;
    }

    /// Removes a backend server.
    pub fn remove(&mut self, key: BackendKey) {
        let Some(entry) = self.entries.remove(&key) else { return };
        self.keys.swap_remove(entry.index);
        if let Some(moved) = self.keys.get(entry.index).and_then(|key| self.entries.get_mut(key)) {
            moved.index = entry.index;
        }
        self.recent.remove(&entry.observation);
        self.slots -= entry.slots;
    }

    /// Marks a backend server as the most recently observed one.
    pub fn touch(&mut self, key: BackendKey) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        self.recent.remove(&entry.observation);
        self.last_observation += 1;
        entry.observation = self.last_observation;
        self.recent.insert(entry.observation, key);
    }

    /// Returns all backend servers of a small service; of a large one, the recently observed ones
    /// and a sample of the rest.
    pub fn candidates(&self, rng: &mut impl Rng) -> Candidates {
        if self.keys.len() <= FULL_SCAN_LIMIT {
            let known = self.keys.len();
            return Candidates { keys: self.keys.clone(), known, sample_weight: 1.0 };
        }
        let recent = self.recent.iter().rev().take(RECENT_LIMIT);
        let (observations, mut keys): (Vec<u64>, Vec<BackendKey>) = recent.unzip();
        let known = keys.len();
        let oldest_observation = observations.last().copied().unwrap_or(u64::MAX);
        let is_known = |key: &BackendKey| self.entries[key].observation >= oldest_observation;
        let sample = rand::seq::index::sample(rng, self.keys.len(), SAMPLE_SIZE);
        let sample = sample.iter().map(|index| self.keys[index]);
        keys.extend(sample.filter(|key| !is_known(key)));
        let rest = self.keys.len() - known;
        let sample_weight = rest as f64 / (keys.len() - known).max(1) as f64;
        Candidates { keys, known, sample_weight }
    }
}
