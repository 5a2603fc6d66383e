//! The observed state of one backend server: requests in flight, outcomes, suspicion of failure and
//! speed.

use std::collections::HashMap;

use leverstream_catalog::{Backend, Incarnation};
use leverstream_health::{BackendKey, EpisodeModel, FailureEstimate};
use leverstream_route::{Choice, Claim, FloorState};
use slab::Slab;

use crate::RouteProfile;
use crate::fleet::claim_order::ClaimOrder;
use crate::fleet::hold_off::HoldOff;
use crate::fleet::limit::Limit;
use crate::fleet::{RequestOrigin, RouteKey};

/// How long another VM's count of requests in flight stays valid, in milliseconds: slightly more
/// than two periods of the repeated reports that make up for lost datagrams.
const REPORT_VALID_MS: u64 = 2_500;

/// The number of VM reports kept before the reports of silent VMs are dropped; each restart of a VM
/// adds one.
const REPORTS_LIMIT: usize = 256;

/// The silence after which a VM's report is dropped once there are too many, in milliseconds.
const SILENT_REPORT_MAX_AGE_MS: u64 = 30_000;

/// The weight of one answer in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// The time in which slowness decays halfway to normal without answers, in milliseconds.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;

/// The bounds of one answer's slowness, as multiples of the route's median latency.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 8.0);

/// The time since its last failure after which the floor counts a backend server as sound, in
/// milliseconds: slightly less than the two seconds over which the users measure the floor.
const SOUND_AFTER_MS: u64 = 1_900;

/// The longest time that a request may take to reach a backend server, in milliseconds. Opening a
/// connection takes one or two and is abandoned after 300.
const ARRIVAL_LIMIT_MS: u64 = 300;

/// The share of a route's requests that expire at sound backend servers from which a further expiry
/// says little about the backend server.
const EXPIRES_EVERYWHERE_SHARE: f64 = 0.15;

/// The failure probability below which a backend server counts as sound for a route's expiry
/// statistics.
const SOUND_FAILURE_CHANCE: f64 = 0.25;

/// The slowness from which a backend server counts as slow.
const SLOW_FACTOR: f64 = 2.0;

/// How long after its listing a backend server counts as new, in milliseconds: it starts slowly,
/// and the one it replaces has just gone.
const NEW_FOR_MS: u64 = 6_000;

/// The factor by which the overdue odds must grow before the VM reports to others again.
const OVERDUE_REPORT_FACTOR: f64 = 3.0;

/// A backend server with what was observed of it.
pub(crate) struct BackendState {
    /// The platform's entry.
    pub backend: Backend,
    /// The store revision of the entry's last change.
    pub entry_revision: u64,
    /// When the incarnation was first listed.
    listed_ms: u64,
    /// The end of its warm-up.
    cold_until_ms: u64,
    /// Whether it gets no new requests.
    pub is_out_of_service: bool,
    /// When it announced that it leaves; none once the platform lists it as leaving.
    pub announced_leaving_ms: Option<u64>,
    /// How long it has asked this VM to send nothing.
    pub hold_off: HoldOff,
    /// The rate limit over all VMs that it has announced.
    pub limit: Limit,
    /// This VM's requests in flight there.
    requests_in_flight: Vec<RequestInFlight>,
    /// The overdue odds last reported to other VMs, at least 1.
    reported_overdue_odds: f64,
    /// The latest report of each other VM.
    reports: HashMap<u64, Report>,
    /// The VMs whose latest report has requests in flight or overdue ones.
    busy_vms: Vec<u64>,
    /// The probability that it is in a failure episode, from the recent outcomes.
    failure_estimate: FailureEstimate,
    /// Its latency as a multiple of the route's median, as a moving average.
    slowness: f64,
    /// When `slowness` was last updated.
    slowness_at_ms: u64,
    /// The number of this VM's good outcomes.
    good: u64,
    /// The number of this VM's bad outcomes.
    bad: u64,
    /// When a request of any VM last reached it, as far as known; when it was first listed, if none
    /// has.
    reached_ms: u64,
    /// The order in which VMs claim it for the floor.
    claim_order: ClaimOrder,
    /// When a request of this VM last reached it.
    own_reached_ms: Option<u64>,
    /// Whether it is queued for the next report to other VMs.
    pub is_unreported: bool,
}

/// A request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestInFlight {
    /// When it was sent.
    since_ms: u64,
    /// Its route.
    route: RouteKey,
}

/// How an attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A sound answer.
    Good {
        /// The latency, in milliseconds.
        time_ms: f64,
        /// The size of the answer's body.
        bytes: usize,
    },
    /// A failure of the backend server.
    Bad,
    /// No answer within the request's own time limit, which may be shorter than the work takes at
    /// any backend server.
    Expired,
    /// The attempt was abandoned without an answer; it counts as a failure only if it was overdue.
    Abandoned,
    /// An end that is no evidence about the backend server's health, such as an answer that it has
    /// no capacity.
    Neutral,
}

/// Another VM's report of a backend server; its counters start at zero when that VM starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Its requests in flight.
    pub in_flight: u32,
    /// The number of good outcomes.
    pub good: u64,
    /// The number of bad outcomes.
    pub bad: u64,
    /// The likelihood ratio by which its overdue requests in flight raise the odds of a failure
    /// episode; 1 is neutral.
    pub overdue_odds: f64,
    /// When one of its requests last reached the backend server, by the clock of the VM that holds
    /// the report.
    pub reached_ms: Option<u64>,
    /// When the report was received.
    pub heard_ms: u64,
}

impl Report {
    /// Returns the time between the last arrival of a request and the report, in milliseconds.
    pub fn reached_age_ms(&self) -> Option<u32> {
        let age_ms = self.heard_ms.saturating_sub(self.reached_ms?);
        Some(u32::try_from(age_ms).unwrap_or(u32::MAX))
    }

    /// Returns the number of completed requests.
    fn ended(&self) -> u64 {
        self.good + self.bad
    }

    /// Tells whether it has requests in flight, or overdue ones that carry evidence.
    fn is_busy(&self) -> bool {
        self.in_flight > 0 || self.overdue_odds != 1.0
    }
}

/// A VM's report of one incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReport {
    /// The incarnation.
    pub of: Incarnation,
    /// The report.
    pub report: Report,
}

impl BackendState {
    /// Creates the state of a backend server without observations.
    pub fn new(backend: Backend, entry_revision: u64, now_ms: u64) -> BackendState {
        let claim_order = ClaimOrder::of(&backend.incarnation());
        BackendState {
            entry_revision,
            listed_ms: now_ms,
            cold_until_ms: now_ms + backend.cold_left_ms,
            is_out_of_service: backend.is_leaving,
            announced_leaving_ms: None,
            hold_off: HoldOff::default(),
            limit: Limit::default(),
            backend,
            requests_in_flight: Vec::new(),
            reported_overdue_odds: 1.0,
            reports: HashMap::new(),
            busy_vms: Vec::new(),
            failure_estimate: FailureEstimate::new(now_ms),
            slowness: 1.0,
            slowness_at_ms: now_ms,
            good: 0,
            bad: 0,
            reached_ms: now_ms,
            claim_order,
            own_reached_ms: None,
            is_unreported: false,
        }
    }

    /// Evaluates it for a request.
    pub fn choice(
        &self,
        key: BackendKey,
        origin: &RequestOrigin<'_>,
        routes: &Slab<RouteProfile>,
        episode_model: &EpisodeModel,
        now_ms: u64,
    ) -> Choice {
        let failure_chance = self.failure_chance(routes, episode_model, now_ms);
        Choice {
            load: self.load(now_ms),
            slots: self.backend.slots,
            far_cost: if self.backend.hall == origin.hall { 0.0 } else { origin.far_cost },
            is_cold: now_ms < self.cold_until_ms,
            failure_chance,
            slowness: self.decayed_slowness(now_ms),
            unobserved_failure_chance: episode_model.unobserved_failure_chance(),
            floor_state: self.floor_state(origin.vm, now_ms),
            claim: Claim::None,
            is_tried: origin.tried.contains(&key),
            sample_weight: 1.0,
        }
    }

    /// Returns the chance that the next request fails there.
    pub fn failure_chance(
        &self,
        routes: &Slab<RouteProfile>,
        episode_model: &EpisodeModel,
        now_ms: u64,
    ) -> f64 {
        let overdue_odds = self.overdue_odds(routes, now_ms);
        self.failure_estimate.failure_chance(overdue_odds, episode_model, now_ms)
    }

    /// Returns the time since its last failure, if it has failed, in milliseconds.
    pub fn bad_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.failure_estimate.bad_age_ms(now_ms)
    }

    /// Returns its state with respect to the floor, as the given VM sees it.
    fn floor_state(&self, vm: u64, now_ms: u64) -> FloorState {
        let bad_age_ms = self.bad_age_ms(now_ms).unwrap_or(u64::MAX);
        let is_steady = self.decayed_slowness(now_ms) < SLOW_FACTOR
            && now_ms.saturating_sub(self.listed_ms) >= NEW_FOR_MS;
        FloorState {
            is_sound: bad_age_ms >= SOUND_AFTER_MS,
            is_steady,
            unused_ms: self.unused_ms(now_ms),
            bad_age_ms,
            claim_place: self.claim_order.place(vm),
        }
    }

    /// Returns the time since a request last reached it, in milliseconds; 0 if one is on its way.
    ///
    /// A backend server that still works on an earlier request counts as unused, however long the
    /// work takes.
    pub fn unused_ms(&self, now_ms: u64) -> u64 {
        let is_arriving =
            |request: &RequestInFlight| now_ms.saturating_sub(request.since_ms) < ARRIVAL_LIMIT_MS;
        match self.requests_in_flight.iter().any(is_arriving) {
            true => 0,
            false => now_ms.saturating_sub(self.reached_ms),
        }
    }

    /// Tells whether this VM has requests in flight there.
    pub fn is_busy(&self) -> bool {
        !self.requests_in_flight.is_empty()
    }

    /// Records that a request is sent.
    pub fn begin_request(&mut self, route: RouteKey, now_ms: u64) {
        self.requests_in_flight.push(RequestInFlight { since_ms: now_ms, route });
    }

    /// Records that a request of this VM has arrived.
    pub fn note_reached(&mut self, now_ms: u64) {
        self.reached_ms = now_ms;
        self.own_reached_ms = Some(now_ms);
    }

    /// Records the end of a request; returns whether it is evidence of a failure.
    pub fn end_request(
        &mut self,
        since_ms: u64,
        route: RouteKey,
        outcome: Outcome,
        routes: &Slab<RouteProfile>,
        episode_model: &mut EpisodeModel,
        now_ms: u64,
    ) -> bool {
        let request = RequestInFlight { since_ms, route };
        let slower_share = self.slower_share(&request, routes, now_ms);
        if let Some(at) = self.requests_in_flight.iter().position(|other| *other == request) {
            self.requests_in_flight.swap_remove(at);
        }
        if !matches!(outcome, Outcome::Abandoned | Outcome::Neutral) {
            self.hold_off.note_answer(since_ms);
        }
        match outcome {
            Outcome::Neutral => false,
            Outcome::Good { time_ms, .. } => {
                self.good += 1;
                self.failure_estimate.good(1, episode_model, now_ms);
                self.note_latency(time_ms / routes[route.0 as usize].latency.median_ms(), now_ms);
                false
            }
            Outcome::Expired => {
                let share = slower_share.max(routes[route.0 as usize].expired_share());
                match share >= EXPIRES_EVERYWHERE_SHARE {
                    true => self.note_unanswered(share, episode_model, now_ms),
                    false => self.note_bad(episode_model, now_ms),
                }
            }
            Outcome::Bad => self.note_bad(episode_model, now_ms),
            Outcome::Abandoned => self.note_unanswered(slower_share, episode_model, now_ms),
        }
    }

    /// Records a failure.
    fn note_bad(&mut self, episode_model: &mut EpisodeModel, now_ms: u64) -> bool {
        self.bad += 1;
        self.failure_estimate.bad(1, episode_model, now_ms);
        true
    }

    /// Records an attempt without an answer; `slower_share` is the share of sound answers that take
    /// longer. Returns whether it counts as a failure.
    fn note_unanswered(
        &mut self,
        slower_share: f64,
        episode_model: &EpisodeModel,
        now_ms: u64,
    ) -> bool {
        let is_bad = self.failure_estimate.unanswered(slower_share, episode_model, now_ms);
        self.bad += u64::from(is_bad);
        is_bad
    }

    /// Tells whether its recent outcomes suggested that it was sound.
    pub fn was_sound(&self, episode_model: &EpisodeModel, now_ms: u64) -> bool {
        self.failure_estimate.failure_chance(1.0, episode_model, now_ms) < SOUND_FAILURE_CHANCE
    }

    /// Returns the share of sound answers that take longer than a request has been in flight.
    fn slower_share(
        &self,
        request: &RequestInFlight,
        routes: &Slab<RouteProfile>,
        now_ms: u64,
    ) -> f64 {
        let age_ms = now_ms.saturating_sub(request.since_ms) as f64;
        let slowness = self.decayed_slowness(now_ms).max(1.0);
        routes[request.route.0 as usize].latency.slower_share(age_ms / slowness)
    }

    /// Returns the likelihood ratio of a failure episode from this VM's requests in flight.
    fn own_overdue_odds(&self, routes: &Slab<RouteProfile>, now_ms: u64) -> f64 {
        let shares = self
            .requests_in_flight
            .iter()
            .map(|request| self.slower_share(request, routes, now_ms));
        shares.map(FailureEstimate::overdue_odds).product()
    }

    /// Returns the likelihood ratio of a failure episode from all VMs' requests in flight.
    fn overdue_odds(&self, routes: &Slab<RouteProfile>, now_ms: u64) -> f64 {
        let others = self.valid_reports(now_ms).map(|report| report.overdue_odds);
        self.own_overdue_odds(routes, now_ms) * others.product::<f64>()
    }

    /// Returns the probability that a request in flight is not answered by `until_ms`.
    pub fn miss_chance(
        &self,
        since_ms: u64,
        route: RouteKey,
        until_ms: u64,
        routes: &Slab<RouteProfile>,
        episode_model: &EpisodeModel,
        now_ms: u64,
    ) -> f64 {
        let request = RequestInFlight { since_ms, route };
        let by_now = self.slower_share(&request, routes, now_ms);
        let by_then = self.slower_share(&request, routes, until_ms);
        let odds = self.overdue_odds(routes, now_ms);
        let silent = self.failure_estimate.no_answer_chance(odds, by_now, episode_model, now_ms);
        silent + (1.0 - silent) * (by_then / by_now).min(1.0)
    }

    /// Tells whether the overdue odds have grown enough since the last report to report it to other
    /// VMs.
    pub fn has_overdue_report(&self, routes: &Slab<RouteProfile>, now_ms: u64) -> bool {
        self.own_overdue_odds(routes, now_ms) >= OVERDUE_REPORT_FACTOR * self.reported_overdue_odds
    }

    /// Applies another VM's report; returns whether a slot may have become free.
    ///
    /// The first report of a VM is only a baseline, as its counts may be old. A first report with a
    /// single outcome counts, as that outcome triggered it.
    pub fn report(&mut self, vm: u64, report: Report, episode_model: &mut EpisodeModel) -> bool {
        if self.reports.len() >= REPORTS_LIMIT {
            let now_ms = report.heard_ms;
            self.reports
                .retain(|_, old| now_ms.saturating_sub(old.heard_ms) < SILENT_REPORT_MAX_AGE_MS);
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
        self.failure_estimate.good(good, episode_model, report.heard_ms);
        self.failure_estimate.bad(bad, episode_model, report.heard_ms);
        report.in_flight < before.in_flight
    }

    /// Returns the number of requests in flight from all VMs, as far as known.
    fn load(&self, now_ms: u64) -> u32 {
        let others = self.valid_reports(now_ms).map(|report| report.in_flight);
        self.requests_in_flight.len() as u32 + others.sum::<u32>()
    }

    /// Iterates over the reports whose counts of requests in flight are still valid.
    fn valid_reports(&self, now_ms: u64) -> impl Iterator<Item = &Report> {
        let is_valid =
            move |report: &&Report| now_ms.saturating_sub(report.heard_ms) < REPORT_VALID_MS;
        self.busy_vms.iter().filter_map(|vm| self.reports.get(vm)).filter(is_valid)
    }

    /// Returns the slowness, decayed towards normal.
    fn decayed_slowness(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.slowness_at_ms) as f64;
        1.0 + (self.slowness - 1.0) * (-age_ms / SLOWNESS_HALF_LIFE_MS).exp2()
    }

    /// Updates the slowness with an answer's latency, as a multiple of the route's median.
    fn note_latency(&mut self, factor: f64, now_ms: u64) {
        let (low, high) = SLOWNESS_BOUNDS;
        let decayed = self.decayed_slowness(now_ms);
        self.slowness = decayed + SLOWNESS_WEIGHT * (factor.clamp(low, high) - decayed);
        self.slowness_at_ms = now_ms;
    }

    /// Builds the report for other VMs.
    pub fn take_report(&mut self, routes: &Slab<RouteProfile>, now_ms: u64) -> BackendReport {
        let overdue_odds = self.own_overdue_odds(routes, now_ms);
        self.reported_overdue_odds = overdue_odds.max(1.0);
        BackendReport {
            of: self.backend.incarnation(),
            report: Report {
                in_flight: self.requests_in_flight.len() as u32,
                good: self.good,
                bad: self.bad,
                overdue_odds,
                reached_ms: self.own_reached_ms,
                heard_ms: now_ms,
            },
        }
    }
}
