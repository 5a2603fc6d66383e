//! The set of incarnations that have ended or leave.

use std::collections::{HashMap, VecDeque};

use leverstream_catalog::Incarnation;

/// The maximum number of instances remembered; the oldest are evicted first. It holds a third of
/// 74,000 backend servers replaced at once, in 3 MB. An evicted one matters only if the platform
/// lists that incarnation for the first time afterwards.
const INSTANCES_LIMIT: usize = 32_768;

/// Incarnations that have irrevocably ended or begun to leave, whatever the platform lists.
///
/// Of each instance, only the latest such incarnation is stored, and it covers all earlier ones.
/// Merging takes the later incarnation, so it is commutative and idempotent, and stale messages
/// undo nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct IncarnationSet {
    /// The start time of the latest such incarnation, by instance.
    born_ms: HashMap<String, u64>,
    /// The instances in the order of insertion, for eviction.
    order: VecDeque<String>,
}

impl IncarnationSet {
    /// Adds an incarnation; returns whether it was new.
    pub fn insert(&mut self, of: &Incarnation) -> bool {
        if self.covers(of) {
            return false;
        }
        if self.born_ms.insert(of.instance.clone(), of.born_ms).is_none() {
            self.order.push_back(of.instance.clone());
        }
        while self.order.len() > INSTANCES_LIMIT {
            self.order.pop_front().and_then(|instance| self.born_ms.remove(&instance));
        }
        true
    }

    /// Tells whether the set has an incarnation or a later one of its instance.
    pub fn covers(&self, of: &Incarnation) -> bool {
        self.born_ms.get(&of.instance).is_some_and(|born_ms| of.born_ms <= *born_ms)
    }
}
