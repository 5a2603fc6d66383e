//! The backend servers that a VM knows, with everything the VM has observed of them.
//!
//! [`Fleet`] merges four sources: the platform's list of backend servers (by store revision), the
//! outcomes of this VM's own requests, the reports of other VMs, and notices that backend servers
//! attach to their answers. An incarnation is one run of a backend server's process; a restart
//! under the same instance id is a new incarnation with no history. A backend server that leaves
//! gets no new requests but stays in the arena until its last request has ended.

mod backend_state;
mod emptied;
mod hold_off;
mod incarnation_set;
mod leaving;
mod limit;
mod roster;

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use leverstream_catalog::{Backend, Incarnation};
use leverstream_health::{BackendKey, EpisodeModel};
use leverstream_route::Choice;
use serde::{Deserialize, Serialize};
use slab::Slab;

use crate::RouteProfile;

use backend_state::BackendState;
pub use backend_state::{BackendReport, Outcome, Report};
pub use emptied::EmptiedHalls;
use hold_off::HoldOff;
use incarnation_set::IncarnationSet;
pub use leaving::{Availability, StateCounts};
use limit::Limit;
pub use limit::{LimitNotice, LimitUpdate};
pub use roster::Candidates;
use roster::Roster;

/// The minimum number of removals remembered for VMs that catch up; a VM that is further behind
/// gets the whole list. The limit grows to the number of backend servers, beyond which the removals
/// would take more bytes than the whole list.
const MIN_REMOVALS_KEPT: usize = 1_024;

/// The maximum number of unlisted incarnations whose hold-off is remembered. They may be listed
/// again within seconds, when a store outage ends.
const HOLD_OFFS_LIMIT: usize = 4_096;

/// The index of a route in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub(crate) u32);

/// The request for which a backend server is evaluated.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin<'a> {
    /// The data hall of the VM.
    pub hall: &'a str,
    /// The cost of a backend server in another data hall, on the scale of `Choice::cost`.
    pub far_cost: f64,
    /// The backend servers that the request has already been sent to.
    pub tried: &'a [BackendKey],
}

/// The backend servers that one VM knows, with what it has observed of them.
#[derive(Default)]
pub struct Fleet {
    /// All backend servers, including those that have left and still work on requests.
    arena: Slab<BackendState>,
    /// The key of the latest incarnation of each instance.
    by_instance: HashMap<String, BackendKey>,
    /// The backend servers that may take requests, by service.
    rosters: HashMap<String, Roster>,
    /// The listed backend servers, ordered by the store revision of their last change.
    by_entry_revision: BTreeSet<(u64, BackendKey)>,
    /// The backend servers with requests of this VM in flight.
    busy: BTreeSet<BackendKey>,
    /// The statistics of failure episodes, by service.
    episodes: HashMap<String, EpisodeModel>,
    /// The prior for a service without any observation.
    prior_episodes: EpisodeModel,
    /// The observed latencies and answer sizes, by route.
    routes: Slab<RouteProfile>,
    /// The route keys, by route name.
    key_by_route: HashMap<String, RouteKey>,
    /// The backend servers whose latest state has not been reported to other VMs.
    unreported: Vec<BackendKey>,
    /// Whether the unreported state includes a failure.
    has_unreported_failure: bool,
    /// Incarnations that are known to have ended.
    ended: IncarnationSet,
    /// Incarnations that are known to leave.
    leaving: IncarnationSet,
    /// Listed incarnations that announced that they leave while the platform lists them as ready.
    announced_leaving: Vec<BackendKey>,
    /// Listed incarnations that have announced a rate limit.
    limited: Vec<BackendKey>,
    /// The limits announced by incarnations that are not listed.
    unlisted_limits: HashMap<Incarnation, Limit>,
    /// How long an incarnation that has announced that it leaves still serves a service with no
    /// other backend server, in milliseconds.
    last_resort_ms: u64,
    /// The hold-offs of incarnations that are no longer listed, in case they are listed again.
    hold_offs: HashMap<Incarnation, HoldOff>,
    /// The data halls that operators have asked to be emptied.
    emptied: EmptiedHalls,
    /// The store revision up to which all changes are known.
    revision: u64,
    /// The latest removals, each with the revision at which it became known.
    removals: VecDeque<(u64, String)>,
    /// The revision up to which removals have been forgotten.
    removals_forgotten_to: u64,
}

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
    /// Returns the store revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that all changes up to a revision are known.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the changes after a revision.
    pub fn delta_since(&self, revision: u64, now_ms: u64) -> Delta {
        let is_whole = revision < self.removals_forgotten_to || revision == 0;
        let after = if is_whole { 0 } else { revision + 1 };
        let changed = self.by_entry_revision.range((after, BackendKey(0))..);
        // An instance that was removed and listed again since is among the changed ones.
        let removed = self.removals.iter().filter(|(entry_revision, instance)| {
            !is_whole && *entry_revision > revision && !self.by_instance.contains_key(instance)
        });
        Delta {
            revision: self.revision,
            is_whole,
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
        let mut removed = delta.removed;
        if delta.is_whole {
            let listed: HashSet<&str> =
                delta.set.iter().map(|backend| backend.instance.as_str()).collect();
            let missing = self.instances().filter(|instance| !listed.contains(instance));
            removed.extend(missing.map(str::to_owned));
        }
        // Entries that this VM has read at a later revision take precedence.
        let is_later = |fleet: &Fleet, instance: &str| {
            let key = fleet.by_instance.get(instance);
            key.is_some_and(|key| fleet.arena[key.0 as usize].entry_revision > delta.revision)
        };
        for backend in delta.set {
            if !is_later(self, &backend.instance) {
                applied.set += usize::from(self.set(backend, delta.revision, now_ms));
            }
        }
        removed
            .retain(|instance| !is_later(self, instance) && self.remove(instance, delta.revision));
        applied.removed = removed;
        self.advance_revision(delta.revision);
        applied
    }

    /// Applies the platform's entry of a backend server; returns whether it changed anything.
    ///
    /// A restarted instance is a new incarnation without history. Entries of an earlier incarnation
    /// are ignored.
    pub fn set(&mut self, backend: Backend, entry_revision: u64, now_ms: u64) -> bool {
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
        self.by_instance.insert(of.instance, key);
        self.by_entry_revision.insert((entry_revision, key));
        self.update_roster(key);
        true
    }

    /// Removes an instance from the list; returns whether it was listed.
    pub fn remove(&mut self, instance: &str, entry_revision: u64) -> bool {
        let Some(key) = self.by_instance.get(instance).copied() else { return false };
        self.retire(key);
        self.removals.push_back((entry_revision, instance.to_owned()));
        if self.removals.len() > self.by_instance.len().max(MIN_REMOVALS_KEPT)
            && let Some((entry_revision, _)) = self.removals.pop_front()
        {
            self.removals_forgotten_to = entry_revision;
        }
        true
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

    /// Iterates over the listed instances.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        self.by_instance.keys().map(String::as_str)
    }

    /// Returns the key of a listed instance.
    pub fn key_of(&self, instance: &str) -> Option<BackendKey> {
        self.by_instance.get(instance).copied()
    }

    /// Returns the total slots of a service's backend servers in service.
    pub fn slots(&self, service: &str) -> u32 {
        self.rosters.get(service).map_or(0, Roster::slots)
    }

    /// Returns the keys of a service's backend servers in service.
    pub fn keys_of_service(&self, service: &str) -> &[BackendKey] {
        self.rosters.get(service).map_or(&[], Roster::keys)
    }

    /// Evaluates a backend server for a request.
    pub fn choice(&self, key: BackendKey, origin: &RequestOrigin<'_>, now_ms: u64) -> Choice {
        let member = &self.arena[key.0 as usize];
        member.choice(key, origin, &self.routes, self.episodes_at(member), now_ms)
    }

    /// Returns the share of recent attempts at a service that failed, from this VM's outcomes and
    /// other VMs' reports.
    pub fn failed_share(&self, service: &str) -> f64 {
        self.episodes.get(service).unwrap_or(&self.prior_episodes).failed_share()
    }

    /// Returns the address and the instance of a backend server.
    pub fn target(&self, key: BackendKey) -> (SocketAddr, &str) {
        let backend = &self.arena[key.0 as usize].backend;
        (backend.address, &backend.instance)
    }

    /// Returns the incarnation that a key stands for.
    pub fn incarnation(&self, key: BackendKey) -> Incarnation {
        self.arena[key.0 as usize].backend.incarnation()
    }

    /// Returns the key of a route; its latencies are estimated from the objective until answers are
    /// observed.
    pub fn route_key(&mut self, route: &str, objective_ms: u64) -> RouteKey {
        if let Some(key) = self.key_by_route.get(route) {
            return *key;
        }
        let key = RouteKey(self.routes.insert(RouteProfile::new(objective_ms)) as u32);
        self.key_by_route.insert(route.to_owned(), key);
        key
    }

    /// Returns the observed latencies and answer sizes of a route.
    pub fn route(&self, key: RouteKey) -> &RouteProfile {
        &self.routes[key.0 as usize]
    }

    /// Records that a request is sent to a backend server.
    pub fn begin_request(&mut self, key: BackendKey, route: RouteKey, now_ms: u64) {
        self.arena[key.0 as usize].begin_request(route, now_ms);
        self.busy.insert(key);
        self.touch(key);
        self.mark_unreported(key);
    }

    /// Records that a request in flight has reached its backend server.
    pub fn note_reached(&mut self, key: BackendKey, now_ms: u64) {
        if let Some(member) = self.arena.get_mut(key.0 as usize) {
            member.note_reached(now_ms);
            self.mark_unreported(key);
        }
    }

    /// Records the end of a request; `since_ms` and `route` are those passed to
    /// [`Fleet::begin_request`].
    pub fn end_request(
        &mut self,
        key: BackendKey,
        since_ms: u64,
        route: RouteKey,
        outcome: Outcome,
        now_ms: u64,
    ) {
        let member = &mut self.arena[key.0 as usize];
        let episodes = self.episodes.entry(member.backend.service.clone()).or_default();
        let was_sound = member.was_sound(episodes, now_ms);
        // A request cut off because its backend server leaves is no evidence of a failure.
        let is_good = matches!(outcome, Outcome::Good { .. });
        let outcome = if member.is_out_of_service && !is_good { Outcome::Neutral } else { outcome };
        self.has_unreported_failure |=
            member.end_request(since_ms, route, outcome, &self.routes, episodes, now_ms);
        match outcome {
            Outcome::Good { time_ms, bytes } => {
                self.routes[route.0 as usize].note(time_ms, bytes);
            }
            Outcome::Expired if was_sound => self.routes[route.0 as usize].note_expired(),
            _ => {}
        }
        if !self.arena[key.0 as usize].is_busy() {
            self.busy.remove(&key);
        }
        self.touch(key);
        self.mark_unreported(key);
        self.drop_if_idle(key);
    }

    /// Returns the probability that a request sent at `since_ms` is not answered by `until_ms`.
    pub fn miss_chance(
        &self,
        key: BackendKey,
        route: RouteKey,
        since_ms: u64,
        until_ms: u64,
        now_ms: u64,
    ) -> f64 {
        let Some(member) = self.arena.get(key.0 as usize) else { return 1.0 };
        let episodes = self.episodes_at(member);
        member.miss_chance(since_ms, route, until_ms, &self.routes, episodes, now_ms)
    }

    /// Marks backend servers whose requests in flight are so overdue that other VMs need a report;
    /// returns whether there are any.
    pub fn note_overdue(&mut self, now_ms: u64) -> bool {
        let is_late =
            |key: &BackendKey| self.arena[key.0 as usize].has_overdue_report(&self.routes, now_ms);
        let keys: Vec<BackendKey> = self.busy().filter(is_late).collect();
        keys.iter().for_each(|key| self.mark_unreported(*key));
        self.has_unreported_failure |= !keys.is_empty();
        !keys.is_empty()
    }

    /// Tells whether this VM has any request in flight.
    pub fn is_busy(&self) -> bool {
        !self.busy.is_empty()
    }

    /// Applies another VM's report of an incarnation; returns whether a slot may have become free.
    pub fn report(&mut self, of: &Incarnation, vm: u64, report: Report) -> bool {
        let Some(key) = self.by_instance.get(&of.instance).copied() else { return false };
        let member = &mut self.arena[key.0 as usize];
        if member.backend.born_ms != of.born_ms {
            return false;
        }
        let episodes = self.episodes.entry(member.backend.service.clone()).or_default();
        let has_freed = member.report(vm, report, episodes);
        self.touch(key);
        has_freed
    }

    /// Tells whether the unreported state includes a failure.
    pub fn has_unreported_failure(&self) -> bool {
        self.has_unreported_failure
    }

    /// Takes the backend servers whose latest state has not been reported, and whether it includes
    /// a failure.
    pub fn take_unreported(&mut self) -> (Vec<BackendKey>, bool) {
        let keys = std::mem::take(&mut self.unreported);
        for key in &keys {
            if let Some(member) = self.arena.get_mut(key.0 as usize) {
                member.is_unreported = false;
            }
        }
        (keys, std::mem::take(&mut self.has_unreported_failure))
    }

    /// Iterates over the backend servers with requests of this VM in flight.
    pub fn busy(&self) -> impl Iterator<Item = BackendKey> + '_ {
        self.busy.iter().copied()
    }

    /// Builds the reports of some backend servers for other VMs.
    pub fn reports(&mut self, keys: &[BackendKey], now_ms: u64) -> Vec<BackendReport> {
        let Fleet { arena, routes, .. } = self;
        let report =
            |key: &BackendKey| Some(arena.get_mut(key.0 as usize)?.take_report(routes, now_ms));
        keys.iter().filter_map(report).collect()
    }

    /// Tells whether a backend server is in service.
    pub fn is_in_service(&self, key: BackendKey) -> bool {
        self.arena.get(key.0 as usize).is_some_and(|member| !member.is_out_of_service)
    }

    /// Returns the episode statistics of a backend server's service.
    fn episodes_at(&self, member: &BackendState) -> &EpisodeModel {
        self.episodes.get(&member.backend.service).unwrap_or(&self.prior_episodes)
    }

    /// Adds a backend server to its service's roster, or removes it if it is out of service.
    fn update_roster(&mut self, key: BackendKey) {
        let Backend { service, slots, .. } = &self.arena[key.0 as usize].backend;
        let is_out_of_service = self.arena[key.0 as usize].is_out_of_service;
        match self.rosters.get_mut(service) {
            Some(roster) if is_out_of_service => roster.remove(key),
            Some(roster) => roster.add(key, *slots),
            None if is_out_of_service => {}
            None => self.rosters.entry(service.clone()).or_default().add(key, *slots),
        }
    }

    /// Marks a backend server as recently observed in its roster.
    fn touch(&mut self, key: BackendKey) {
        let service = &self.arena[key.0 as usize].backend.service;
        if let Some(roster) = self.rosters.get_mut(service) {
            roster.touch(key);
        }
    }

    /// Queues a backend server for the next report to other VMs.
    fn mark_unreported(&mut self, key: BackendKey) {
        let member = &mut self.arena[key.0 as usize];
        if !std::mem::replace(&mut member.is_unreported, true) {
            self.unreported.push(key);
        }
    }

    /// Drops a backend server that is out of service and unlisted once no request is in flight
    /// there.
    fn drop_if_idle(&mut self, key: BackendKey) {
        let member = &self.arena[key.0 as usize];
        let is_listed = self.by_instance.get(&member.backend.instance) == Some(&key);
        if member.is_out_of_service && !is_listed && !member.is_busy() {
            self.arena.remove(key.0 as usize);
            self.unreported.retain(|other| *other != key);
        }
    }
}
