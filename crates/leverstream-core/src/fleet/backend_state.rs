use std::collections::HashMap;

use leverstream_catalog::{Backend, Incarnation};
use leverstream_health::{BackendKey, EpisodeModel, FailureEstimate};
use leverstream_route::{Choice, Claim, FloorStanding};
use slab::Slab;

use crate::RouteProfile;
use crate::fleet::hold_off::HoldOff;
use crate::fleet::limit::Limit;
use crate::fleet::{Asker, RouteKey};

/// How long another VM's count of requests under way is believed, in milliseconds.
///
/// Somewhat more than two of the repeats by which lost datagrams are made up for.
const REPORT_HOLDS_MS: u64 = 2_500;

/// How many VMs' reports are kept before those of VMs long silent are dropped: each restart of a VM makes
/// a new one.
const REPORTS_LIMIT: usize = 256;

/// After how long without a word a VM's report is dropped then, in milliseconds.
const SILENT_AFTER_MS: u64 = 30_000;

/// How much one answer's time changes what is thought of a backend server's speed.
const SLOWNESS_STEP: f64 = 0.2;

/// How long what is thought of the speed takes to halve, in milliseconds.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;

/// The bounds of what is thought of the speed: times the usual.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 8.0);

/// How long after its last failure a backend server counts as sound for the floor, in milliseconds: a
/// little less than the users' two seconds.
const SOUND_AFTER_MS: u64 = 1_900;

/// How long a request may be on its way to a backend server that it has not reached, in milliseconds: a new
/// connection takes one or two, and is given up after 300.
const ON_ITS_WAY_MS: u64 = 300;

/// From which share of a route's requests on that get no answer in time at sound backend servers one more says
/// little of where it was.
const EXPIRES_ANYWHERE_FROM: f64 = 0.15;

/// Below which chance of a failure a backend server is taken to be sound where a route is judged.
const SOUND_BELOW: f64 = 0.25;

/// From how many times the usual time on a backend server counts as slow.
const SLOW_FROM: f64 = 2.0;

/// For how long after it was listed a backend server counts as new, in milliseconds: it starts slow, and what
/// it replaces has just gone.
const NEW_FOR_MS: u64 = 6_000;

/// By how many times what this VM's requests under way say must have grown before others are told again.
const OVERDUE_NEWS_STEP: f64 = 3.0;

/// One backend server, with what was seen of it.
pub(crate) struct BackendState {
    /// What the platform says of it.
    pub backend: Backend,
    /// The store's revision by which that was known.
    pub stamp: u64,
    /// When it was first listed.
    listed_ms: u64,
    /// Until when it is slow from its start.
    cold_until_ms: u64,
    /// Whether it takes no more work.
    pub is_gone: bool,
    /// When it said itself that it leaves, as long as the platform does not tell.
    pub said_leaving_ms: Option<u64>,
    /// For how long it wants nothing of this VM.
    pub hold_off: HoldOff,
    /// How many requests a second it takes from all VMs together, if it says.
    pub limit: Limit,
    /// This VM's requests under way there.
    flights: Vec<Flight>,
    /// What other VMs were last told of how late they are.
    told_overdue_odds: f64,
    /// What other VMs have told, by VM.
    reports: HashMap<u64, Report>,
    /// The VMs whose requests are under way there, or were late, by their last reports.
    busy_vms: Vec<u64>,
    /// Whether it is in an episode of failures, by the last outcomes.
    suspicion: FailureEstimate,
    /// How many times the usual time its answers take.
    slowness: f64,
    /// When that was last brought up to date.
    slowness_at_ms: u64,
    /// This VM's good outcomes since it started.
    good: u64,
    /// This VM's bad outcomes since it started.
    bad: u64,
    /// When a request last reached it, of whichever VM, as far as known; when it was first listed, if none has.
    reached_ms: u64,
    /// When a request of this VM last reached it.
    own_reached_ms: Option<u64>,
    /// Whether other VMs have yet to hear the latest.
    pub is_unreported: bool,
}

/// A request under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Flight {
    /// When it was sent off.
    since_ms: u64,
    /// Its route.
    route: RouteKey,
}

/// How a request at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A sound answer after so long.
    Good {
        /// How long it took.
        time_ms: f64,
        /// The size of its body.
        bytes: usize,
    },
    /// A failure that speaks against the backend server.
    Bad,
    /// No answer by the request's own limit, which may be shorter than the work takes anywhere.
    Expired,
    /// Nothing can be learned, unless it was given up after so long that it speaks of a stall.
    Nothing,
    /// An end that says nothing of how sound the backend server is, such as its word that it has no room.
    NoEvidence,
}

/// What another VM tells of a backend server; counts since that VM started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Its requests under way.
    pub in_flight: u32,
    /// Good outcomes.
    pub good: u64,
    /// Bad outcomes.
    pub bad: u64,
    /// How many times likelier its requests under way make an episode of failures; 1 says nothing.
    pub overdue_odds: f64,
    /// When a request of its last reached the backend server, by the clock of whoever holds the report.
    pub reached_ms: Option<u64>,
    /// When it was heard.
    pub heard_ms: u64,
}

impl Report {
    /// How long before the report was made a request last reached the backend server, in milliseconds.
    pub fn reached_age_ms(&self) -> Option<u32> {
        let age_ms = self.heard_ms.saturating_sub(self.reached_ms?);
        Some(u32::try_from(age_ms).unwrap_or(u32::MAX))
    }

    /// How many requests have ended.
    fn ended(&self) -> u64 {
        self.good + self.bad
    }

    /// Tells whether requests are under way, or say something by how late they are.
    fn is_busy(&self) -> bool {
        self.in_flight > 0 || self.overdue_odds != 1.0
    }
}

/// What a VM tells others of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReport {
    /// Which start of which backend server.
    pub of: Incarnation,
    /// The counts.
    pub report: Report,
}

impl BackendState {
    /// A backend server of which nothing was seen yet.
    pub fn open(backend: Backend, stamp: u64, now_ms: u64) -> BackendState {
        BackendState {
            stamp,
            listed_ms: now_ms,
            cold_until_ms: now_ms + backend.cold_left_ms,
            is_gone: backend.is_leaving,
            said_leaving_ms: None,
            hold_off: HoldOff::default(),
            limit: Limit::default(),
            backend,
            flights: Vec::new(),
            told_overdue_odds: 1.0,
            reports: HashMap::new(),
            busy_vms: Vec::new(),
            suspicion: FailureEstimate::open(now_ms),
            slowness: 1.0,
            slowness_at_ms: now_ms,
            good: 0,
            bad: 0,
            reached_ms: now_ms,
            own_reached_ms: None,
            is_unreported: false,
        }
    }

    /// How it looks to whoever chooses.
    pub fn choice(
        &self,
        key: BackendKey,
        asker: &Asker<'_>,
        routes: &Slab<RouteProfile>,
        episodes: &EpisodeModel,
        now_ms: u64,
    ) -> Choice {
        let failure_chance =
            self.suspicion.failure_chance(self.overdue_odds(routes, now_ms), episodes, now_ms);
        Choice {
            load: self.load(now_ms),
            slots: self.backend.slots,
            far_cost: if self.backend.hall == asker.hall { 0.0 } else { asker.far_cost },
            is_cold: now_ms < self.cold_until_ms,
            failure_chance,
            slowness: self.faded_slowness(now_ms),
            unobserved_failure_chance: episodes.unseen_failure_chance(),
            standing: self.floor_standing(now_ms),
            claim: Claim::None,
            is_tried: asker.tried.contains(&key),
            sample_weight: 1.0,
        }
    }

    /// How it stands to the floor.
    fn floor_standing(&self, now_ms: u64) -> FloorStanding {
        let is_sound =
            self.suspicion.bad_age_ms(now_ms).is_none_or(|age_ms| age_ms >= SOUND_AFTER_MS);
        let is_steady = self.faded_slowness(now_ms) < SLOW_FROM
            && now_ms.saturating_sub(self.listed_ms) >= NEW_FOR_MS;
        FloorStanding { is_sound, is_steady, unused_ms: self.unused_ms(now_ms) }
    }

    /// How long ago a request last reached it, in milliseconds; 0 if one is on its way.
    ///
    /// One that works on a request which reached it earlier is not used, however long that takes.
    fn unused_ms(&self, now_ms: u64) -> u64 {
        let is_on_its_way =
            |flight: &Flight| now_ms.saturating_sub(flight.since_ms) < ON_ITS_WAY_MS;
        match self.flights.iter().any(is_on_its_way) {
            true => 0,
            false => now_ms.saturating_sub(self.reached_ms),
        }
    }

    /// Tells whether requests of this VM are under way there.
    pub fn is_busy(&self) -> bool {
        !self.flights.is_empty()
    }

    /// Counts a request as under way.
    pub fn begin(&mut self, route: RouteKey, now_ms: u64) {
        self.flights.push(Flight { since_ms: now_ms, route });
    }

    /// Notes that a request of this VM has reached it.
    pub fn reach(&mut self, now_ms: u64) {
        self.reached_ms = now_ms;
        self.own_reached_ms = Some(now_ms);
    }

    /// Counts a request as over; true if that speaks against the backend server.
    pub fn end(
        &mut self,
        since_ms: u64,
        route: RouteKey,
        outcome: Outcome,
        routes: &Slab<RouteProfile>,
        episodes: &mut EpisodeModel,
        now_ms: u64,
    ) -> bool {
        let flight = Flight { since_ms, route };
        let slower_share = self.slower_share(&flight, routes, now_ms);
        if let Some(at) = self.flights.iter().position(|other| *other == flight) {
            self.flights.swap_remove(at);
        }
        if !matches!(outcome, Outcome::Nothing | Outcome::NoEvidence) {
            self.hold_off.note_answer(since_ms);
        }
        match outcome {
            Outcome::NoEvidence => false,
            Outcome::Good { time_ms, .. } => {
                self.good += 1;
                self.suspicion.good(1, episodes, now_ms);
                self.note_time(time_ms / routes[route.0 as usize].times.median_ms(), now_ms);
                false
            }
            Outcome::Expired => {
                let share = slower_share.max(routes[route.0 as usize].expired_share());
                match share >= EXPIRES_ANYWHERE_FROM {
                    true => self.note_unanswered(share, episodes, now_ms),
                    false => self.note_bad(episodes, now_ms),
                }
            }
            Outcome::Bad => self.note_bad(episodes, now_ms),
            Outcome::Nothing => self.note_unanswered(slower_share, episodes, now_ms),
        }
    }

    /// Notes a failure, which speaks against it.
    fn note_bad(&mut self, episodes: &mut EpisodeModel, now_ms: u64) -> bool {
        self.bad += 1;
        self.suspicion.bad(1, episodes, now_ms);
        true
    }

    /// Notes a request without an answer after a time that a share of the sound answers exceed; true if that
    /// speaks against it.
    fn note_unanswered(&mut self, slower_share: f64, episodes: &EpisodeModel, now_ms: u64) -> bool {
        let is_bad = self.suspicion.unanswered(slower_share, episodes, now_ms);
        self.bad += u64::from(is_bad);
        is_bad
    }

    /// Tells whether it was taken to be sound by its last outcomes.
    pub fn was_sound(&self, episodes: &EpisodeModel, now_ms: u64) -> bool {
        self.suspicion.failure_chance(1.0, episodes, now_ms) < SOUND_BELOW
    }

    /// The share of sound answers that take longer than a request has been under way.
    fn slower_share(&self, flight: &Flight, routes: &Slab<RouteProfile>, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(flight.since_ms) as f64;
        let slowness = self.faded_slowness(now_ms).max(1.0);
        routes[flight.route.0 as usize].times.slower_share(age_ms / slowness)
    }

    /// How many times likelier this VM's requests under way make an episode of failures.
    fn own_overdue_odds(&self, routes: &Slab<RouteProfile>, now_ms: u64) -> f64 {
        let shares = self.flights.iter().map(|flight| self.slower_share(flight, routes, now_ms));
        shares.map(FailureEstimate::overdue_odds).product()
    }

    /// The same with those of other VMs.
    fn overdue_odds(&self, routes: &Slab<RouteProfile>, now_ms: u64) -> f64 {
        let others = self.fresh_reports(now_ms).map(|report| report.overdue_odds);
        self.own_overdue_odds(routes, now_ms) * others.product::<f64>()
    }

    /// The chance that a request under way here is not answered by `until_ms`.
    pub fn miss_chance(
        &self,
        since_ms: u64,
        route: RouteKey,
        until_ms: u64,
        routes: &Slab<RouteProfile>,
        episodes: &EpisodeModel,
        now_ms: u64,
    ) -> f64 {
        let flight = Flight { since_ms, route };
        let by_now = self.slower_share(&flight, routes, now_ms);
        let by_then = self.slower_share(&flight, routes, until_ms);
        let odds = self.overdue_odds(routes, now_ms);
        let silent = self.suspicion.no_answer_chance(odds, by_now, episodes, now_ms);
        silent + (1.0 - silent) * (by_then / by_now).min(1.0)
    }

    /// Tells whether this VM's requests under way say much more than other VMs were told.
    pub fn has_overdue_news(&self, routes: &Slab<RouteProfile>, now_ms: u64) -> bool {
        self.own_overdue_odds(routes, now_ms) >= OVERDUE_NEWS_STEP * self.told_overdue_odds
    }

    /// Takes in what another VM tells; true if a slot may have become free.
    ///
    /// The first report of a VM is the baseline for its next, as it may tell of what happened long ago;
    /// but one that tells of a single outcome was sent because of it.
    pub fn report(&mut self, vm: u64, report: Report, episodes: &mut EpisodeModel) -> bool {
        if self.reports.len() >= REPORTS_LIMIT {
            let now_ms = report.heard_ms;
            self.reports.retain(|_, old| now_ms.saturating_sub(old.heard_ms) < SILENT_AFTER_MS);
            self.busy_vms.retain(|vm| self.reports.contains_key(vm));
        }
        if report.is_busy() && !self.busy_vms.contains(&vm) {
            self.busy_vms.push(vm);
        } else if !report.is_busy() {
            self.busy_vms.retain(|other| *other != vm);
        }
        let baseline = if report.ended() <= 1 { Report::default() } else { report };
        let before = self.reports.insert(vm, report).unwrap_or(baseline);
        self.reached_ms = self.reached_ms.max(report.reached_ms.unwrap_or(0));
        let (good, bad) =
            (report.good.saturating_sub(before.good), report.bad.saturating_sub(before.bad));
        self.suspicion.good(good, episodes, report.heard_ms);
        self.suspicion.bad(bad, episodes, report.heard_ms);
        report.in_flight < before.in_flight
    }

    /// Requests under way there, from all VMs as far as known.
    fn load(&self, now_ms: u64) -> u32 {
        let others = self.fresh_reports(now_ms).map(|report| report.in_flight);
        self.flights.len() as u32 + others.sum::<u32>()
    }

    /// What other VMs have told of requests under way, so short a while ago that it is still believed.
    fn fresh_reports(&self, now_ms: u64) -> impl Iterator<Item = &Report> {
        let is_fresh =
            move |report: &&Report| now_ms.saturating_sub(report.heard_ms) < REPORT_HOLDS_MS;
        self.busy_vms.iter().filter_map(|vm| self.reports.get(vm)).filter(is_fresh)
    }

    /// What its answers say of its speed, fading towards the usual.
    fn faded_slowness(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.slowness_at_ms) as f64;
        1.0 + (self.slowness - 1.0) * (-age_ms / SLOWNESS_HALF_LIFE_MS).exp2()
    }

    /// Notes an answer's time as a multiple of the usual.
    fn note_time(&mut self, factor: f64, now_ms: u64) {
        let (low, high) = SLOWNESS_BOUNDS;
        let faded = self.faded_slowness(now_ms);
        self.slowness = faded + SLOWNESS_STEP * (factor.clamp(low, high) - faded);
        self.slowness_at_ms = now_ms;
    }

    /// What other VMs should hear.
    pub fn take_report(&mut self, routes: &Slab<RouteProfile>, now_ms: u64) -> BackendReport {
        let overdue_odds = self.own_overdue_odds(routes, now_ms);
        self.told_overdue_odds = overdue_odds.max(1.0);
        BackendReport {
            of: self.backend.incarnation(),
            report: Report {
                in_flight: self.flights.len() as u32,
                good: self.good,
                bad: self.bad,
                overdue_odds,
                reached_ms: self.own_reached_ms,
                heard_ms: now_ms,
            },
        }
    }
}
