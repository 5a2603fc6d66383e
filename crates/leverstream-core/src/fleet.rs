mod backend_state;
mod departures;
mod emptied;
mod hold_off;
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
use departures::Departures;
pub use emptied::Emptied;
use hold_off::HoldOff;
pub use leaving::{Census, Openness};
use limit::Limit;
pub use limit::{LimitTold, LimitWord};
pub use roster::Candidates;
use roster::Roster;

/// How many removals are remembered at least for VMs that catch up; one further behind takes the whole list. As many as
/// there are backend servers are, as more would take more to tell than the list.
const REMOVALS_KEPT_LEAST: usize = 1_024;

/// How many instances that are no longer listed are remembered by what they wanted: they may come back within seconds,
/// with an outage's end.
const HOLD_OFFS_LIMIT: usize = 4_096;

/// A route in a [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub(crate) u32);

/// A request that looks for a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Asker<'a> {
    /// The data hall of the VM.
    pub hall: &'a str,
    /// What a backend server in another data hall costs, in the measure of `Choice`.
    pub far_cost: f64,
    /// Where the request was already.
    pub tried: &'a [BackendKey],
}

/// The backend servers that one VM knows, with what it has seen of them.
#[derive(Default)]
pub struct Fleet {
    /// The backend servers.
    arena: Slab<BackendState>,
    /// Their keys by instance, each of its last start.
    by_instance: HashMap<String, BackendKey>,
    /// Those that may take work, by service.
    rosters: HashMap<String, Roster>,
    /// Those that are listed, by the store's revision of their last change.
    by_stamp: BTreeSet<(u64, BackendKey)>,
    /// Those where requests of this VM are under way.
    busy: BTreeSet<BackendKey>,
    /// How often backend servers fail for a while, by service.
    episodes: HashMap<String, EpisodeModel>,
    /// What is assumed of a service of which nothing was seen.
    assumed: EpisodeModel,
    /// What requests have shown, by route.
    routes: Slab<RouteProfile>,
    /// The keys of those, by the route's name.
    key_by_route: HashMap<String, RouteKey>,
    /// Those of which other VMs have not heard the latest.
    unreported: Vec<BackendKey>,
    /// Whether a failure is among what they have not heard.
    has_bad_news: bool,
    /// Starts that have ended for certain.
    ended: Departures,
    /// Starts that are known to leave.
    leaving: Departures,
    /// Listed starts that leave by their own word, which the platform does not tell.
    leavers: Vec<BackendKey>,
    /// Listed starts that name a limit.
    limited: Vec<BackendKey>,
    /// What starts that are not listed have said of limits.
    unlisted_limits: HashMap<Incarnation, Limit>,
    /// For how long after their word they serve where there is no other, in milliseconds.
    last_resort_ms: u64,
    /// What instances that are no longer listed wanted of this VM, should they come back.
    hold_offs: HashMap<Incarnation, HoldOff>,
    /// The data halls that are to be emptied.
    emptied: Emptied,
    /// The store's revision up to which all changes are known.
    revision: u64,
    /// The last removals, with the revision by which each was known.
    removals: VecDeque<(u64, String)>,
    /// The revision up to which removals are no longer remembered.
    removals_from: u64,
}

/// What changed among the backend servers after a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that it leads to.
    pub revision: u64,
    /// Whether it lists all there are, so that others are gone.
    pub is_whole: bool,
    /// Backend servers that are new or changed.
    pub set: Vec<Backend>,
    /// Instances that are gone.
    pub removed: Vec<String>,
    /// Starts that leave by their own word, which the list does not tell.
    #[serde(default)]
    pub leaving: Vec<Incarnation>,
    /// The limits that starts name.
    #[serde(default)]
    pub limits: Vec<LimitTold>,
}

/// What of a [`Delta`] was news.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// How many backend servers were new or changed.
    pub set: usize,
    /// Instances that were taken out.
    pub removed: Vec<String>,
}

impl Applied {
    /// Tells whether there was any news.
    pub fn has_news(&self) -> bool {
        self.set > 0 || !self.removed.is_empty()
    }
}

impl Fleet {
    /// The store's revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that all changes up to a revision are known.
    pub fn publish(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// What changed after a revision.
    pub fn since(&self, revision: u64, now_ms: u64) -> Delta {
        let is_whole = revision < self.removals_from || revision == 0;
        let after = if is_whole { 0 } else { revision + 1 };
        let changed = self.by_stamp.range((after, BackendKey(0))..);
        // One that went and is back since is among those that changed.
        let removed = self.removals.iter().filter(|(stamp, instance)| {
            !is_whole && *stamp > revision && !self.by_instance.contains_key(instance)
        });
        Delta {
            revision: self.revision,
            is_whole,
            set: changed.map(|(_, key)| self.arena[key.0 as usize].backend.clone()).collect(),
            removed: removed.map(|(_, instance)| instance.clone()).collect(),
            leaving: self.leavers().collect(),
            limits: self.limits(now_ms),
        }
    }

    /// Takes in what another VM knows; tells what of it is news.
    pub fn apply(&mut self, delta: Delta, now_ms: u64) -> Applied {
        let mut applied = Applied::default();
        // Of one that the list names first, the word is known before.
        delta.leaving.iter().for_each(|of| {
            self.leave(of, now_ms);
        });
        delta.limits.iter().for_each(|told| {
            self.note_limit(&told.of, told.word(now_ms), now_ms);
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
        // What this VM itself has read of a later revision stands.
        let is_later = |fleet: &Fleet, instance: &str| {
            let key = fleet.by_instance.get(instance);
            key.is_some_and(|key| fleet.arena[key.0 as usize].stamp > delta.revision)
        };
        for backend in delta.set {
            if !is_later(self, &backend.instance) {
                applied.set += usize::from(self.set(backend, delta.revision, now_ms));
            }
        }
        removed
            .retain(|instance| !is_later(self, instance) && self.remove(instance, delta.revision));
        applied.removed = removed;
        self.publish(delta.revision);
        applied
    }

    /// Takes in what the platform says of a backend server; true if that is news.
    ///
    /// One that has started again is another, of which nothing is known. Late word of an earlier start is left aside.
    pub fn set(&mut self, backend: Backend, stamp: u64, now_ms: u64) -> bool {
        let of = backend.incarnation();
        if self.ended.covers(&of) {
            return false;
        }
        if backend.is_leaving {
            self.leaving.note(&of);
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
            // What a listed one has said holds also when the memory of words was full.
            let leaves = leaves || member.is_gone;
            let is_news = member.backend != backend || member.is_gone != leaves;
            // One that leaves stays known, without work, until the platform no longer lists it.
            member.is_gone = leaves;
            if backend.is_leaving {
                member.said_leaving_ms = None;
                self.leavers.retain(|other| *other != key);
            }
            let before = std::mem::replace(&mut member.backend, backend);
            if is_news {
                self.by_stamp.remove(&(member.stamp, key));
                member.stamp = stamp;
                self.by_stamp.insert((stamp, key));
                if let Some(roster) = self.rosters.get_mut(&before.service) {
                    roster.remove(key);
                }
                self.list(key);
            }
            return is_news;
        }
        let is_untold = leaves && !backend.is_leaving;
        let mut member = BackendState::open(backend, stamp, now_ms);
        member.hold_off = self.hold_offs.remove(&of).unwrap_or_default();
        member.limit = self.unlisted_limits.remove(&of).unwrap_or_default();
        let is_limited = member.limit.per_s().is_some();
        member.is_gone = leaves;
        // When it said so first is no longer known; it is no last resort any more.
        member.said_leaving_ms = is_untold.then_some(0);
        let key = BackendKey(self.arena.insert(member) as u32);
        if is_untold {
            self.leavers.push(key);
        }
        if is_limited {
            self.limited.push(key);
        }
        self.by_instance.insert(of.instance, key);
        self.by_stamp.insert((stamp, key));
        self.list(key);
        true
    }

    /// Notes that a backend server takes no more work; true if that is news.
    pub fn remove(&mut self, instance: &str, stamp: u64) -> bool {
        let Some(key) = self.by_instance.get(instance).copied() else { return false };
        self.retire(key);
        self.removals.push_back((stamp, instance.to_owned()));
        if self.removals.len() > self.by_instance.len().max(REMOVALS_KEPT_LEAST)
            && let Some((stamp, _)) = self.removals.pop_front()
        {
            self.removals_from = stamp;
        }
        true
    }

    /// Takes a start out of use and forgets its instance.
    fn retire(&mut self, key: BackendKey) {
        let member = &mut self.arena[key.0 as usize];
        member.is_gone = true;
        member.said_leaving_ms = None;
        let of = member.backend.incarnation();
        self.by_instance.remove(&of.instance);
        self.by_stamp.remove(&(member.stamp, key));
        if member.hold_off != HoldOff::default() && self.hold_offs.len() < HOLD_OFFS_LIMIT {
            self.hold_offs.insert(of.clone(), member.hold_off);
        }
        if let Some(word) = member.limit.word().filter(|word| word.per_s.is_some()) {
            self.note_unlisted(&of, word);
        }
        self.leavers.retain(|other| *other != key);
        self.limited.retain(|other| *other != key);
        self.list(key);
        self.drop_if_done(key);
    }

    /// Notes that a start has ended for certain; true if that is news.
    pub fn end_incarnation(&mut self, ended: &Incarnation) -> bool {
        let Incarnation { instance, born_ms } = ended;
        let is_news = self.ended.note(ended);
        let key = self.by_instance.get(instance);
        let is_known =
            key.is_some_and(|key| self.arena[key.0 as usize].backend.born_ms <= *born_ms);
        is_known && self.remove(instance, self.revision) && is_news
    }

    /// The instances that may take work.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        self.by_instance.keys().map(String::as_str)
    }

    /// The slots of those of a service that may take work.
    pub fn slots(&self, service: &str) -> u32 {
        self.rosters.get(service).map_or(0, Roster::slots)
    }

    /// The keys of a service's backend servers that may take work.
    pub fn of_service(&self, service: &str) -> &[BackendKey] {
        self.rosters.get(service).map_or(&[], Roster::keys)
    }

    /// A backend server as it looks to whoever chooses.
    pub fn choice(&self, key: BackendKey, asker: &Asker<'_>, now_ms: u64) -> Choice {
        let member = &self.arena[key.0 as usize];
        member.choice(key, asker, &self.routes, self.episodes_at(member), now_ms)
    }

    /// The share of a service's last outcomes that were failures, as far as this VM saw or was told.
    pub fn failed_share(&self, service: &str) -> f64 {
        self.episodes.get(service).unwrap_or(&self.assumed).failed_share()
    }

    /// Where a backend server listens, and its instance.
    pub fn target(&self, key: BackendKey) -> (SocketAddr, &str) {
        let backend = &self.arena[key.0 as usize].backend;
        (backend.address, &backend.instance)
    }

    /// Which start of which backend server a key stands for.
    pub fn incarnation(&self, key: BackendKey) -> Incarnation {
        self.arena[key.0 as usize].backend.incarnation()
    }

    /// The key of a route, whose times are assumed from its objective until answers have come.
    pub fn route_key(&mut self, route: &str, objective_ms: u64) -> RouteKey {
        if let Some(key) = self.key_by_route.get(route) {
            return *key;
        }
        let key = RouteKey(self.routes.insert(RouteProfile::open(objective_ms)) as u32);
        self.key_by_route.insert(route.to_owned(), key);
        key
    }

    /// What a route's requests have shown of late.
    pub fn route(&self, key: RouteKey) -> &RouteProfile {
        &self.routes[key.0 as usize]
    }

    /// Counts a request as under way.
    pub fn begin(&mut self, key: BackendKey, route: RouteKey, now_ms: u64) {
        self.arena[key.0 as usize].begin(route, now_ms);
        self.busy.insert(key);
        self.hear(key);
        self.mark_unreported(key);
    }

    /// Notes that a request under way has reached its backend server.
    pub fn reach(&mut self, key: BackendKey, now_ms: u64) {
        if let Some(member) = self.arena.get_mut(key.0 as usize) {
            member.reach(now_ms);
            self.mark_unreported(key);
        }
    }

    /// Counts a request as over; `since_ms` and `route` are those it began with.
    pub fn end(
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
        // The end of one that leaves is no failure.
        let is_good = matches!(outcome, Outcome::Good { .. });
        let outcome = if member.is_gone && !is_good { Outcome::NoEvidence } else { outcome };
        self.has_bad_news |= member.end(since_ms, route, outcome, &self.routes, episodes, now_ms);
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
        self.hear(key);
        self.mark_unreported(key);
        self.drop_if_done(key);
    }

    /// The chance that a request under way, sent off at `since_ms`, is not answered by `until_ms`.
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

    /// Notes which requests under way have become so late that other VMs should hear of it.
    pub fn note_overdue(&mut self, now_ms: u64) -> bool {
        let is_late =
            |key: &BackendKey| self.arena[key.0 as usize].has_overdue_news(&self.routes, now_ms);
        let keys: Vec<BackendKey> = self.busy().filter(is_late).collect();
        keys.iter().for_each(|key| self.mark_unreported(*key));
        self.has_bad_news |= !keys.is_empty();
        !keys.is_empty()
    }

    /// Tells whether a request of this VM is under way anywhere.
    pub fn is_busy(&self) -> bool {
        !self.busy.is_empty()
    }

    /// Takes in what another VM tells of a start; true if a slot may have become free.
    pub fn report(&mut self, of: &Incarnation, vm: u64, report: Report) -> bool {
        let Some(key) = self.by_instance.get(&of.instance).copied() else { return false };
        let member = &mut self.arena[key.0 as usize];
        if member.backend.born_ms != of.born_ms {
            return false;
        }
        let episodes = self.episodes.entry(member.backend.service.clone()).or_default();
        let has_freed = member.report(vm, report, episodes);
        self.hear(key);
        has_freed
    }

    /// Tells whether a failure is among what other VMs have not heard.
    pub fn has_bad_news(&self) -> bool {
        self.has_bad_news
    }

    /// Takes the keys of those of which other VMs have not heard the latest, and whether a failure
    /// is among it.
    pub fn take_unreported(&mut self) -> (Vec<BackendKey>, bool) {
        let keys = std::mem::take(&mut self.unreported);
        for key in &keys {
            if let Some(member) = self.arena.get_mut(key.0 as usize) {
                member.is_unreported = false;
            }
        }
        (keys, std::mem::take(&mut self.has_bad_news))
    }

    /// The keys of those where requests of this VM are under way.
    pub fn busy(&self) -> impl Iterator<Item = BackendKey> + '_ {
        self.busy.iter().copied()
    }

    /// What other VMs should hear of some backend servers.
    pub fn reports(&mut self, keys: &[BackendKey], now_ms: u64) -> Vec<BackendReport> {
        let Fleet { arena, routes, .. } = self;
        let report =
            |key: &BackendKey| Some(arena.get_mut(key.0 as usize)?.take_report(routes, now_ms));
        keys.iter().filter_map(report).collect()
    }

    /// Tells whether a backend server takes work.
    pub fn is_listed(&self, key: BackendKey) -> bool {
        self.arena.get(key.0 as usize).is_some_and(|member| !member.is_gone)
    }

    /// What is known of episodes at the service of a backend server.
    fn episodes_at(&self, member: &BackendState) -> &EpisodeModel {
        self.episodes.get(&member.backend.service).unwrap_or(&self.assumed)
    }

    /// Puts a backend server on its service's list, or takes it off.
    fn list(&mut self, key: BackendKey) {
        let Backend { service, slots, .. } = &self.arena[key.0 as usize].backend;
        let is_gone = self.arena[key.0 as usize].is_gone;
        match self.rosters.get_mut(service) {
            Some(roster) if is_gone => roster.remove(key),
            Some(roster) => roster.add(key, *slots),
            None if is_gone => {}
            None => self.rosters.entry(service.clone()).or_default().add(key, *slots),
        }
    }

    /// Notes that something was heard of a backend server.
    fn hear(&mut self, key: BackendKey) {
        let service = &self.arena[key.0 as usize].backend.service;
        if let Some(roster) = self.rosters.get_mut(service) {
            roster.hear(key);
        }
    }

    /// Notes that other VMs have yet to hear the latest.
    fn mark_unreported(&mut self, key: BackendKey) {
        let member = &mut self.arena[key.0 as usize];
        if !std::mem::replace(&mut member.is_unreported, true) {
            self.unreported.push(key);
        }
    }

    /// Forgets a backend server that is gone once nothing is under way there.
    fn drop_if_done(&mut self, key: BackendKey) {
        let member = &self.arena[key.0 as usize];
        let is_listed = self.by_instance.get(&member.backend.instance) == Some(&key);
        if member.is_gone && !is_listed && !member.is_busy() {
            self.arena.remove(key.0 as usize);
            self.unreported.retain(|other| *other != key);
        }
    }
}
