//! Data halls that operators have asked to be emptied; no request goes to their backend servers.

use std::collections::BTreeSet;

use super::Fleet;

/// The data halls to be emptied, as of a store revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EmptiedHalls {
    /// The revision; 0 until one is known.
    pub revision: u64,
    /// The names of the halls.
    pub halls: BTreeSet<String>,
}

impl Fleet {
    /// Returns the data halls to be emptied, as far as known.
    pub fn emptied(&self) -> &EmptiedHalls {
        &self.emptied
    }

    /// Applies a newer set of halls; returns whether the halls changed. A set of the same or an
    /// earlier revision is ignored.
    pub fn set_emptied(&mut self, emptied: EmptiedHalls) -> bool {
        if emptied.revision <= self.emptied.revision {
            return false;
        }
        let has_changed = emptied.halls != self.emptied.halls;
        self.emptied = emptied;
        has_changed
    }

    /// Tells whether a data hall is to be emptied.
    pub(super) fn is_emptied(&self, hall: &str) -> bool {
        self.emptied.halls.contains(hall)
    }
}
