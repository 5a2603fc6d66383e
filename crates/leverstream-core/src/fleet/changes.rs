//! Changes of the list of backend servers: those that the platform's entries make, and those that VMs exchange.

use std::collections::HashSet;

use leverstream_catalog::{Backend, Incarnation};
use leverstream_health::BackendKey;
use serde::{Deserialize, Serialize};

use super::Fleet;
use super::backend_state::BackendState;
use super::hold_off::HoldOff;
use super::limit::LimitUpdate;

/// The minimum number of removals remembered for VMs that catch up; a VM that is further behind
/// gets the whole list. The limit grows to the number of backend servers, beyond which the removals
/// would take more bytes than the whole list.
const MIN_REMOVALS_KEPT: usize = 1_024;

/// The maximum number of unlisted incarnations whose hold-off is remembered. They may be listed
/// again within seconds, when a store outage ends.
const HOLD_OFFS_LIMIT: usize = 4_096;

/// The changes to the backend servers after a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that this delta leads to.
    pub revision: u64,
    /// Whether `set` is the complete list, so that instances missing from it are removed.
    pub is_whole: bool,
    /// New or changed backend servers.
    pub set: Vec<Backend>,
    /// Removed instances.
    pub removed: Vec<String>,
    /// Instances whose removal the sender holds back after an outage of the store.
    #[serde(default)]
    pub held: Vec<String>,
    /// Incarnations that announced that they leave while the platform lists them as ready.
    #[serde(default)]
    pub leaving: Vec<Incarnation>,
    /// The rate limits that incarnations have announced.
    #[serde(default)]
    pub limits: Vec<LimitUpdate>,
}

/// The part of a [`Delta`] that was not known before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The number of new or changed backend servers.
    pub set: usize,
    /// The removed instances.
    pub removed: Vec<String>,
}

impl Applied {
    /// Tells whether the delta changed anything.
    pub fn has_news(&self) -> bool {
        self.set > 0 || !self.removed.is_empty()
    }
}

impl Fleet {
    /// Returns the changes after a revision, or the whole list if some of them may not be known.
    ///
    /// Any VM at that revision or a later one may apply them.
    pub fn delta_since(&self, revision: u64, now_ms: u64) -> Delta {
        let is_whole = revision < self.removals_known_from || revision == 0;
        let after = if is_whole { 0 } else { revision + 1 };
        let changed = self.by_entry_revision.range((after, BackendKey(0))..);
        // An instance that was removed and listed again since is among the changed ones.
        let removed = self.removals.iter().filter(|(entry_revision, instance)| {
            !is_whole && *entry_revision > revision && !self.by_instance.contains_key(instance)
        });
        let held = self.held.iter().filter(|(_, held_revision)| **held_revision >= after);
        Delta {
            revision: self.revision,
            is_whole,
            held: held.map(|(instance, _)| instance.clone()).collect(),
            set: changed.map(|(_, key)| self.arena[key.0 as usize].backend.clone()).collect(),
            removed: removed.map(|(_, instance)| instance.clone()).collect(),
            leaving: self.announced_leaving().collect(),
            limits: self.limits(now_ms),
        }
    }

    /// Applies the list that another VM sent and returns what was new.
    pub fn apply(&mut self, delta: Delta, now_ms: u64) -> Applied {
        let mut applied = Applied::default();
        // Leave notices are applied first, so that a newly listed incarnation that leaves never
        // gets a request.
        delta.leaving.iter().for_each(|of| {
            self.note_leaving(of, now_ms);
        });
        delta.limits.iter().for_each(|update| {
            self.note_limit(&update.of, update.to_notice(now_ms), now_ms);
        });
        if delta.revision <= self.revision {
            return applied;
        }
        let Delta { revision, is_whole, .. } = delta;
        if is_whole {
            self.note_whole_list(revision);
        }
        // A VM that saw the store answer all the while knows that the entries did not expire in an outage. That an entry is
        // missing from a list does not show whether its sender did.
        let holds_removals = self.hold_left_ms(now_ms) > 0;
        let mut removed = delta.removed;
        let mut held = delta.held;
        if is_whole {
            let listed: HashSet<&str> =
                delta.set.iter().map(|backend| backend.instance.as_str()).collect();
            let missing = self.instances().filter(|instance| !listed.contains(instance));
            held.extend(missing.map(str::to_owned));
        }
        if !holds_removals {
            removed.append(&mut held);
        }
        // Entries that this VM has read at a later revision take precedence.
        let is_later = |fleet: &Fleet, instance: &str| {
            let key = fleet.by_instance.get(instance);
            key.is_some_and(|key| fleet.arena[key.0 as usize].entry_revision > revision)
        };
        for backend in delta.set {
            let instance = backend.instance.clone();
            if is_later(self, &instance) {
                continue;
            }
            applied.set += usize::from(self.set(backend, revision, now_ms));
            if !is_whole {
                self.note_entry(&instance, revision);
            }
        }
        removed.retain(|instance| !is_later(self, instance) && self.remove(instance, revision));
        applied.removed = removed;
        for instance in &held {
            self.hold(instance, revision);
        }
        self.advance_revision(revision);
        applied
    }

    /// Records a whole list as of a revision. It does not show which instances were listed and removed since the last known revision.
    pub(super) fn note_whole_list(&mut self, revision: u64) {
        self.removals_known_from = self.removals_known_from.max(revision);
        self.note_change(revision);
    }

    /// Records that the entry of an instance changed up to a revision, also if it is as it was: other VMs may know it as it
    /// was in between.
    pub(super) fn note_entry(&mut self, instance: &str, entry_revision: u64) {
        self.note_change(entry_revision);
        let Some(key) = self.by_instance.get(instance).copied() else { return };
        let member = &mut self.arena[key.0 as usize];
        if member.entry_revision < entry_revision {
            self.by_entry_revision.remove(&(member.entry_revision, key));
            member.entry_revision = entry_revision;
            self.by_entry_revision.insert((entry_revision, key));
        }
    }

    /// Applies the platform's entry of a backend server; returns whether it changed anything.
    ///
    /// A restarted instance is a new incarnation without history. Entries of an earlier incarnation
    /// are ignored.
    pub fn set(&mut self, backend: Backend, entry_revision: u64, now_ms: u64) -> bool {
        self.held.remove(&backend.instance);
        let of = backend.incarnation();
        if self.ended.covers(&of) {
            return false;
        }
        if backend.is_leaving {
            self.leaving.insert(&of);
        }
        let leaves = self.leaving.covers(&of);
        let known = self.by_instance.get(&backend.instance).copied();
        let known = known.map(|key| (key, self.arena[key.0 as usize].backend.born_ms));
        if known.is_some_and(|(_, born_ms)| backend.born_ms < born_ms) {
            return false;
        }
        if let Some((key, _)) = known.filter(|(_, born_ms)| *born_ms < backend.born_ms) {
            self.retire(key);
        } else if let Some((key, _)) = known {
            let member = &mut self.arena[key.0 as usize];
            // A listed incarnation keeps its announcement even if `leaving` has evicted it.
            let leaves = leaves || member.is_out_of_service;
            let is_news = member.backend != backend || member.is_out_of_service != leaves;
            // A leaving backend server stays known, without new requests, until the platform no
            // longer lists it.
            member.is_out_of_service = leaves;
            if backend.is_leaving {
                member.announced_leaving_ms = None;
                self.announced_leaving.retain(|other| *other != key);
            }
            let before = std::mem::replace(&mut member.backend, backend);
            if is_news {
                self.changed_revision = self.changed_revision.max(entry_revision);
                self.by_entry_revision.remove(&(member.entry_revision, key));
                member.entry_revision = entry_revision;
                self.by_entry_revision.insert((entry_revision, key));
                if let Some(roster) = self.rosters.get_mut(&before.service) {
                    roster.remove(key);
                }
                self.update_roster(key);
            }
            return is_news;
        }
        let is_announced_only = leaves && !backend.is_leaving;
        let mut member = BackendState::new(backend, entry_revision, now_ms);
        member.hold_off = self.hold_offs.remove(&of).unwrap_or_default();
        member.limit = self.unlisted_limits.remove(&of).unwrap_or_default();
        let is_limited = member.limit.per_s().is_some();
        member.is_out_of_service = leaves;
        // The time of the first announcement is unknown here, so it no longer qualifies as a last
        // resort.
        member.announced_leaving_ms = is_announced_only.then_some(0);
        let key = BackendKey(self.arena.insert(member) as u32);
        if is_announced_only {
            self.announced_leaving.push(key);
        }
        if is_limited {
            self.limited.push(key);
        }
        self.note_change(entry_revision);
        self.by_instance.insert(of.instance, key);
        self.by_entry_revision.insert((entry_revision, key));
        self.update_roster(key);
        true
    }

    /// Removes an instance from the list; returns whether it was listed.
    pub fn remove(&mut self, instance: &str, entry_revision: u64) -> bool {
        // An instance that was listed and removed since the last update is not known here, but may be known to another VM.
        self.record_removal(instance, entry_revision);
        self.held.remove(instance);
        let Some(key) = self.by_instance.get(instance).copied() else { return false };
        self.retire(key);
        true
    }

    /// Remembers a removal for VMs that catch up.
    fn record_removal(&mut self, instance: &str, entry_revision: u64) {
        self.note_change(entry_revision);
        self.removals.push_back((entry_revision, instance.to_owned()));
        if self.removals.len() > self.by_instance.len().max(MIN_REMOVALS_KEPT)
            && let Some((entry_revision, _)) = self.removals.pop_front()
        {
            self.removals_known_from = self.removals_known_from.max(entry_revision);
        }
    }

    /// Takes an incarnation out of service and forgets its instance.
    fn retire(&mut self, key: BackendKey) {
        let member = &mut self.arena[key.0 as usize];
        member.is_out_of_service = true;
        member.announced_leaving_ms = None;
        let of = member.backend.incarnation();
        self.by_instance.remove(&of.instance);
        self.by_entry_revision.remove(&(member.entry_revision, key));
        if member.hold_off != HoldOff::default() && self.hold_offs.len() < HOLD_OFFS_LIMIT {
            self.hold_offs.insert(of.clone(), member.hold_off);
        }
        if let Some(notice) = member.limit.notice().filter(|notice| notice.per_s.is_some()) {
            self.note_unlisted(&of, notice);
        }
        self.announced_leaving.retain(|other| *other != key);
        self.limited.retain(|other| *other != key);
        self.update_roster(key);
        self.drop_if_idle(key);
    }

    /// Records that an incarnation has ended; returns whether that was new and removed it from the
    /// list.
    pub fn end_incarnation(&mut self, ended: &Incarnation) -> bool {
        let Incarnation { instance, born_ms } = ended;
        let is_news = self.ended.insert(ended);
        let key = self.by_instance.get(instance);
        let is_known =
            key.is_some_and(|key| self.arena[key.0 as usize].backend.born_ms <= *born_ms);
        is_known && self.remove(instance, self.revision) && is_news
    }
}
