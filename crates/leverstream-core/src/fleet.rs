//! The backend servers that a VM knows, with everything the VM has observed of them.
//!
//! [`Fleet`] merges four sources: the platform's list of backend servers (by store revision), the
//! outcomes of this VM's own requests, the reports of other VMs, and notices that backend servers
//! attach to their answers. An incarnation is one run of a backend server's process; a restart
//! under the same instance id is a new incarnation with no history. A backend server that leaves
//! gets no new requests but stays in the arena until its last request has ended.

mod backend_state;
mod changes;
mod claim_order;
mod coverage;
mod emptied;
mod held;
mod hold_off;
mod incarnation_set;
mod leaving;
mod limit;
mod roster;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use leverstream_catalog::{Backend, Incarnation};
use leverstream_health::{BackendKey, EpisodeModel};
use leverstream_route::Choice;
use slab::Slab;

use crate::RouteProfile;

use backend_state::BackendState;
pub use backend_state::{BackendReport, Outcome, Report};
pub use changes::{Applied, Delta};
pub use coverage::{Coverage, IdleBackend};
pub use emptied::EmptiedHalls;
pub use held::{EntryChange, StoreChanges, StoreUpdate};
use hold_off::HoldOff;
use incarnation_set::IncarnationSet;
pub use leaving::{Availability, StateCounts};
use limit::Limit;
pub use limit::{LimitNotice, LimitUpdate};
pub use roster::Candidates;
use roster::Roster;

/// The index of a route in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub(crate) u32);

/// The request for which a backend server is evaluated.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin<'a> {
    /// The id of the VM.
    pub vm: u64,
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
    /// A revision up to the known one after which nothing has changed.
    changed_revision: u64,
    /// Instances whose removal is held back, each with the revision at which it became known.
    held: BTreeMap<String, u64>,
    /// Until when removals are held back.
    hold_until_ms: u64,
    /// The latest removals, each with the revision at which it became known.
    removals: VecDeque<(u64, String)>,
    /// The revision after which all removals are in `removals`: earlier ones may be forgotten, or may never have been known.
    removals_known_from: u64,
}

impl Fleet {
    /// Returns the store revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a store revision after which nothing has changed: a VM that knows all up to it knows as much as this one.
    ///
    /// It may be later than that of the last change, as a whole list does not show when entries were removed.
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Records that all changes up to a revision are known.
    pub fn advance_revision(&mut self, revision: u64) {
        if self.revision == 0 {
            self.changed_revision = revision;
        }
        self.revision = self.revision.max(revision);
    }

    /// Adopts another VM's report that nothing has changed between two revisions; returns false if this VM is behind the first.
    pub fn confirm_unchanged(&mut self, since_revision: u64, revision: u64) -> bool {
        if self.revision < since_revision {
            return false;
        }
        // If this VM has read a whole list in between, its history now begins at the first revision.
        if self.changed_revision <= revision {
            self.changed_revision = self.changed_revision.min(since_revision);
        }
        if self.removals_known_from <= revision {
            self.removals_known_from = self.removals_known_from.min(since_revision);
        }
        self.advance_revision(revision);
        true
    }

    /// Iterates over the listed instances.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        self.by_instance.keys().map(String::as_str)
    }

    /// Returns the key of a listed instance.
    pub fn key_of(&self, instance: &str) -> Option<BackendKey> {
        self.by_instance.get(instance).copied()
    }

    /// Returns the entry of a listed instance.
    pub fn backend(&self, instance: &str) -> Option<&Backend> {
        self.key_of(instance).map(|key| &self.arena[key.0 as usize].backend)
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

    /// Tells whether a key still stands for an incarnation. The key of one that is dropped may be given to another.
    pub fn holds(&self, key: BackendKey, of: &Incarnation) -> bool {
        let member = self.arena.get(key.0 as usize);
        member.is_some_and(|member| member.backend.incarnation() == *of)
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
