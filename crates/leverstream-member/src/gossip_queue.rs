//! A queue of named versions that are spread by gossip.

use std::collections::HashMap;

/// A gossip queue: versions of named items, such as services, that other VMs have yet to receive.
///
/// Each version is sent a number of times that grows with the logarithm of the fleet, as in rumor
/// mongering. Comparing fingerprints repairs what is lost all the same.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    /// The highest version of each name and how often it was sent.
    items: HashMap<String, QueuedVersion>,
}

/// A version to send.
#[derive(Clone, Copy, Debug)]
struct QueuedVersion {
    /// The version.
    version: u64,
    /// How often it was sent.
    sent_count: u32,
}

impl GossipQueue {
    /// Adds a version, which replaces an older one of the same name.
    pub fn add(&mut self, name: &str, version: u64) {
        let item =
            self.items.entry(name.to_owned()).or_insert(QueuedVersion { version, sent_count: 0 });
        if item.version < version {
            *item = QueuedVersion { version, sent_count: 0 };
        }
    }

    /// Takes up to `count` versions, the least sent ones first, and drops each that has been sent
    /// `limit` times.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<(String, u64)> {
        let mut names: Vec<(u32, String)> =
            self.items.iter().map(|(name, item)| (item.sent_count, name.clone())).collect();
        names.sort_unstable();
        let mut taken = Vec::new();
        for (_, name) in names.into_iter().take(count) {
            let Some(item) = self.items.get_mut(&name) else { continue };
            item.sent_count += 1;
            let (version, is_old) = (item.version, item.sent_count >= limit);
            if is_old {
                self.items.remove(&name);
            }
            taken.push((name, version));
        }
        taken
    }
}
