use std::collections::{HashMap, VecDeque};

use leverstream_catalog::Incarnation;

/// How many instances are remembered, the first heard of dropped first: a third of 74,000 backend servers replaced at
/// once, in 3 MB. What is dropped matters only if the platform lists that start for the first time afterwards.
const LIMIT: usize = 32_768;

/// Starts of backend servers of which something final is known, whatever the platform lists.
///
/// Of each instance the last such start counts, with all before it. Words merge by the later start, so their order and
/// how often each is heard do not matter, and nothing older takes one back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Departures {
    /// When the last such start of each instance began.
    born_ms: HashMap<String, u64>,
    /// The instances in the order in which they were first heard of.
    order: VecDeque<String>,
}

impl Departures {
    /// Takes a word in; true if it is news.
    pub fn note(&mut self, of: &Incarnation) -> bool {
        if self.covers(of) {
            return false;
        }
        if self.born_ms.insert(of.instance.clone(), of.born_ms).is_none() {
            self.order.push_back(of.instance.clone());
        }
        while self.order.len() > LIMIT {
            self.order.pop_front().and_then(|instance| self.born_ms.remove(&instance));
        }
        true
    }

    /// Tells whether a start, or a later one of its instance, is among them.
    pub fn covers(&self, of: &Incarnation) -> bool {
        self.born_ms.get(&of.instance).is_some_and(|born_ms| of.born_ms <= *born_ms)
    }
}
