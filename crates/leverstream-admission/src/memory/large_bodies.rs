//! Whether the large bodies under way can all be completed, one after another.

use std::collections::BTreeMap;

use super::HolderId;

/// The large bodies of requests.
#[derive(Clone, Debug)]
pub(super) struct LargeBodies {
    /// The bytes that they may hold together.
    limit_bytes: usize,
    /// The bytes held by those that are not whole, by the bytes that they need still.
    partial: BTreeMap<(usize, HolderId), usize>,
    /// The bytes held by those that are not whole.
    partial_bytes: usize,
    /// The bytes held by all.
    held_bytes: usize,
}

impl LargeBodies {
    /// Creates an empty collection with a limit of the bytes held.
    pub fn new(limit_bytes: usize) -> LargeBodies {
        LargeBodies { limit_bytes, partial: BTreeMap::new(), partial_bytes: 0, held_bytes: 0 }
    }

    /// Returns the bytes that the bodies may hold together.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Adds a body.
    pub fn insert(&mut self, id: HolderId, need_bytes: usize, held_bytes: usize) {
        self.held_bytes += held_bytes;
        if need_bytes > 0 {
            self.partial_bytes += held_bytes;
            self.partial.insert((need_bytes, id), held_bytes);
        }
    }

    /// Removes a body.
    pub fn remove(&mut self, id: HolderId, need_bytes: usize, held_bytes: usize) {
        self.held_bytes -= held_bytes;
        if self.partial.remove(&(need_bytes, id)).is_some() {
            self.partial_bytes -= held_bytes;
        }
    }

    /// Tells whether the bodies are within their limit and can all be completed, one after another.
    /// Answers are left out: they are written, or their callers are cut off.
    ///
    /// The bodies are looked at one by one only if the one that needs most doesn't fit beside the others.
    pub fn can_all_complete(&self) -> bool {
        if self.held_bytes > self.limit_bytes {
            return false;
        }
        let most_bytes =
            self.partial.last_key_value().map_or(0, |((need_bytes, _), _)| *need_bytes);
        if most_bytes <= self.limit_bytes - self.held_bytes {
            return true;
        }
        // The bodies that are whole are given back first.
        let mut free_bytes = self.limit_bytes - self.partial_bytes;
        for ((need_bytes, _), held_bytes) in &self.partial {
            if most_bytes <= free_bytes {
                return true;
            }
            if *need_bytes > free_bytes {
                return false;
            }
            free_bytes += held_bytes;
        }
        true
    }
}
