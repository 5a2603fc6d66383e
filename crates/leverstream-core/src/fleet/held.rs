//! Updates read from the platform's store, and removals that are held back after an outage of it.
//!
//! An entry may expire while the store is away and be written again soon after its return. A removal that is read in that
//! time is known to all VMs by its revision as any other change is, and takes effect at each of them at the end of it.

use std::collections::HashSet;

use leverstream_catalog::Backend;

use super::Fleet;

/// A change of one entry.
#[derive(Clone, Debug)]
pub enum EntryChange {
    /// The entry was created or replaced.
    Set(Box<Backend>),
    /// The entry was removed, or its record cannot be used.
    Removed {
        /// The instance.
        instance: String,
        /// Whether the removal may be held back: an entry that is gone may come back, one that cannot be used does not.
        may_return: bool,
    },
}

/// An update read from the store.
#[derive(Clone, Debug)]
pub struct StoreUpdate {
    /// The revision up to which the update holds all changes.
    pub revision: u64,
    /// Whether `changes` is the whole list, so that instances missing from it are removed.
    pub is_whole: bool,
    /// The changes, oldest first.
    pub changes: Vec<EntryChange>,
}

/// What an update has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChanges {
    /// New or changed instances.
    pub set: Vec<String>,
    /// Removed instances.
    pub removed: Vec<String>,
    /// Instances whose removal is held back.
    pub held: Vec<String>,
}

impl StoreChanges {
    /// Tells whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty() && self.held.is_empty()
    }
}

impl Fleet {
    /// Holds back removals of entries until a time.
    pub fn hold_removals(&mut self, until_ms: u64) {
        self.hold_until_ms = self.hold_until_ms.max(until_ms);
    }

    /// Returns for how much longer removals are held back.
    pub fn hold_left_ms(&self, now_ms: u64) -> u64 {
        self.hold_until_ms.saturating_sub(now_ms)
    }

    /// Applies an update read from the store; returns what it changed.
    ///
    /// An update holds all changes up to its revision. One that was under way while other VMs reported a later revision
    /// holds nothing that is not known, and would bring back what has changed since, so it is ignored.
    pub fn apply_update(&mut self, update: StoreUpdate, now_ms: u64) -> StoreChanges {
        let mut applied = StoreChanges::default();
        let StoreUpdate { revision, is_whole, changes } = update;
        if revision <= self.revision {
            return applied;
        }
        let mut removed: Vec<(String, bool)> = Vec::new();
        if is_whole {
            self.note_whole_list(revision);
            let name = |change: &EntryChange| match change {
                EntryChange::Set(backend) => backend.instance.clone(),
                EntryChange::Removed { instance, .. } => instance.clone(),
            };
            let listed: HashSet<String> = changes.iter().map(name).collect();
            let missing = self.instances().filter(|instance| !listed.contains(*instance));
            removed.extend(missing.map(|instance| (instance.to_owned(), true)));
        }
        for change in last_of_each(changes) {
            match change {
                EntryChange::Set(backend) => {
                    let instance = backend.instance.clone();
                    let is_news = self.set(*backend, revision, now_ms);
                    if !is_whole {
                        self.note_entry(&instance, revision);
                    }
                    if is_news {
                        applied.set.push(instance);
                    }
                }
                EntryChange::Removed { instance, may_return } => {
                    removed.push((instance, may_return));
                }
            }
        }
        for (instance, may_return) in removed {
            if may_return && now_ms < self.hold_until_ms {
                if self.hold(&instance, revision) {
                    applied.held.push(instance);
                }
            } else if self.remove(&instance, revision) {
                applied.removed.push(instance);
            }
        }
        self.advance_revision(revision);
        applied
    }

    /// Applies the removals whose time is over; returns the instances.
    pub fn release_held(&mut self, now_ms: u64) -> Vec<String> {
        if now_ms < self.hold_until_ms {
            return Vec::new();
        }
        let held = std::mem::take(&mut self.held);
        let released =
            held.into_iter().filter(|(instance, revision)| self.remove(instance, *revision));
        released.map(|(instance, _)| instance).collect()
    }

    /// Holds back the removal of an instance that became known at a revision; returns whether that is new.
    ///
    /// There is nothing to hold back of one that is not listed here, but another VM may know it.
    pub(super) fn hold(&mut self, instance: &str, revision: u64) -> bool {
        if !self.by_instance.contains_key(instance) {
            self.remove(instance, revision);
            return false;
        }
        self.note_change(revision);
        self.held.insert(instance.to_owned(), revision).is_none()
    }

    /// Records that something has changed at a revision.
    pub(super) fn note_change(&mut self, revision: u64) {
        self.changed_revision = self.changed_revision.max(revision);
    }
}

/// Returns the last change of each instance, so that one that was removed and created again keeps what is known of it.
fn last_of_each(changes: Vec<EntryChange>) -> Vec<EntryChange> {
    let mut seen: HashSet<String> = HashSet::new();
    let mut last: Vec<EntryChange> = Vec::new();
    for change in changes.into_iter().rev() {
        let instance = match &change {
            EntryChange::Set(backend) => &backend.instance,
            EntryChange::Removed { instance, .. } => instance,
        };
        if seen.insert(instance.clone()) {
            last.push(change);
        }
    }
    last.reverse();
    last
}
