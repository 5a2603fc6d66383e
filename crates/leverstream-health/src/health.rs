//! The evidence and the state of all backend servers of one service.

mod backend;
mod eject;
mod scores;

use self::backend::{Backend, Recent};
use crate::checks::Checks;
use crate::observation::{Probe, RequestOutcome};
use crate::peer_reports::{EvidenceCounts, PeerReports};
use crate::rule::EjectRule;
use crate::score::{Score, evidence_units};
use crate::settings::HealthSettings;
use crate::sketch::QuantileSketch;
use crate::standing::Standing;

/// The quantile of the other backend servers' times that slowness is measured against.
const BASELINE_QUANTILE: f64 = 0.95;

/// The multiple of that quantile from which an answer counts as slow.
const SLOW_FACTOR: f64 = 1.5;

/// The time below which no answer counts as slow, in milliseconds.
const MIN_SLOW_MS: f64 = 5.0;

/// The number of observed times below which no quantile of them is used.
const MIN_OBSERVED_TIMES: f64 = 20.0;

/// The units of bad evidence of a refused connection.
const REFUSED_UNITS: u8 = 2;

/// The units of bad evidence of a failed answer.
const FAILED_UNITS: u8 = 1;

/// How long a draining notice of a backend server is valid, in milliseconds.
const DRAIN_NOTICE_MS: u64 = 60_000;

/// The half-life of recent counts and times, in milliseconds.
const COUNT_HALF_LIFE_MS: f64 = 10_000.0;

/// The half-life of the counts that detect a sudden change of the whole service, in milliseconds.
const SHORT_HALF_LIFE_MS: f64 = 1_000.0;

/// The key of a backend server in a [`Health`]'s arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey(pub u32);

/// One VM's view of the health of one service's backend servers.
pub struct Health {
    /// The service's settings.
    settings: HealthSettings,
    /// The rule that decides on ejection.
    rule: &'static EjectRule,
    /// The backend servers, by key.
    backends: Vec<Backend>,
    /// The time of the last [`tick`](Self::tick).
    ticked_ms: u64,
    /// The median time of a request over all backend servers, as of the last tick.
    typical_ms: f64,
}

/// The health of a backend server as load balancing uses it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendFitness {
    /// The share of its weight that it should carry, from 0 to 1.
    pub share: f64,
    /// Whether it may only get single repeatable requests.
    pub is_trial: bool,
    /// The number of requests that other VMs have in flight there.
    pub others_in_flight: u32,
    /// The time from which a request there counts as slow.
    pub slow_ms: f64,
}

/// The health of a backend server as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendHealth {
    /// Its name.
    pub name: String,
    /// The ejection state.
    pub standing: Standing,
    /// The score of this VM's own requests and health checks.
    pub own_score: f64,
    /// The score on which several VMs agree, if they do.
    pub agreed_score: Option<f64>,
    /// The time from which a request there counts as slow.
    pub slow_ms: f64,
    /// The number of past ejections that are not yet forgiven; they lengthen the next hold-off.
    pub ejections: u32,
    /// Whether it has sent a draining notice that is still valid.
    pub is_draining: bool,
    /// The counts since the start.
    pub count: EvidenceCounts,
}

impl Health {
    /// Creates a view without backend servers.
    pub fn new(settings: HealthSettings, rule: &'static EjectRule, now_ms: u64) -> Health {
        Health { settings, rule, backends: Vec::new(), ticked_ms: now_ms, typical_ms: 0.0 }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: HealthSettings) {
        self.settings = settings;
    }

    /// Adds a backend server; one that `is_cold` ramps up from a small share.
    pub fn add(&mut self, name: &str, weight: u32, is_cold: bool, now_ms: u64) -> BackendKey {
        let standing =
            if is_cold { Standing::Ramping { since_ms: now_ms } } else { Standing::Serving };
        self.backends.push(Backend {
            name: name.to_owned(),
            weight: f64::from(weight),
            standing,
            ejections: 0,
            settled_ms: now_ms,
            own: Score::default(),
            checks: Checks::default(),
            peer_reports: PeerReports::default(),
            times: QuantileSketch::default(),
            recent: Recent::default(),
            short_term: Recent::default(),
            count: EvidenceCounts::default(),
            slow_ms: self.settings.deadline_ms as f64 / 4.0,
            failures_in_a_row: 0,
            draining_until_ms: 0,
        });
        BackendKey(self.backends.len() as u32 - 1)
    }

    /// Changes a backend server's weight; 0 means that it takes no requests.
    pub fn set_weight(&mut self, key: BackendKey, weight: u32) {
        self.backend_mut(key).weight = f64::from(weight);
    }

    /// The keys of all backend servers.
    pub fn keys(&self) -> impl Iterator<Item = BackendKey> + use<> {
        (0..self.backends.len() as u32).map(BackendKey)
    }

    /// Records the end of a request.
    ///
    /// `charged` is the number of units of bad evidence already recorded while the request was in
    /// flight.
    pub fn finish(&mut self, key: BackendKey, outcome: RequestOutcome, time_ms: f64, charged: u8) {
        let backend = self.backend_mut(key);
        let units = match outcome {
            RequestOutcome::NoEvidence => return,
            RequestOutcome::Good => {
                evidence_units(time_ms, backend.slow_ms).saturating_sub(charged)
            }
            RequestOutcome::Failed => FAILED_UNITS,
            RequestOutcome::ConnectFailed => REFUSED_UNITS,
        };
        if outcome == RequestOutcome::Good {
            backend.times.add(time_ms);
            backend.failures_in_a_row = 0;
        } else {
            backend.failures_in_a_row += 1;
        }
        let is_good = outcome == RequestOutcome::Good && units == 0 && charged == 0;
        if is_good {
            backend.checks.clear_score();
        }
        self.record(key, u64::from(is_good), u64::from(units));
    }

    /// Records units of bad evidence from a request that is still in flight.
    pub fn charge(&mut self, key: BackendKey, units: u8) {
        self.record(key, 0, u64::from(units));
    }

    /// The time from which a request to a backend server counts as slow.
    pub fn slow_ms(&self, key: BackendKey) -> f64 {
        self.backend(key).slow_ms
    }

    /// Records the end of a health check.
    ///
    /// A good check never clears the evidence of real requests, and bad answers to checks alone
    /// never reach the ejection score, because checks can misreport. Only a refused connection
    /// counts as a real request does.
    pub fn probe(&mut self, key: BackendKey, probe: Probe) {
        let baseline = self.baseline(key);
        let eject_score = self.settings.eject_score;
        let checks = &mut self.backend_mut(key).checks;
        match probe {
            Probe::Good => checks.good(),
            Probe::Bad => checks.bad(baseline, eject_score),
            Probe::Refused => {
                checks.refused();
                self.record(key, 0, u64::from(REFUSED_UNITS));
            }
        }
    }

    /// Records a draining notice of a backend server.
    pub fn drain(&mut self, key: BackendKey, now_ms: u64) {
        self.backend_mut(key).draining_until_ms = now_ms + DRAIN_NOTICE_MS;
    }

    /// Records another VM's report about a backend server.
    pub fn report(
        &mut self,
        key: BackendKey,
        reporter: u64,
        count: EvidenceCounts,
        in_flight: u32,
        now_ms: u64,
    ) {
        let baseline = self.baseline(key);
        self.backend_mut(key).peer_reports.report(reporter, count, in_flight, baseline, now_ms);
    }

    /// Records that another VM is alive, whether or not it has something new to report.
    pub fn record_contact(&mut self, reporter: u64, now_ms: u64) {
        for backend in &mut self.backends {
            backend.peer_reports.record_contact(reporter, now_ms);
        }
    }

    /// The counts that are sent to other VMs.
    pub fn count(&self, key: BackendKey) -> EvidenceCounts {
        self.backend(key).count
    }

    /// Tells whether a draining notice of a backend server is still valid.
    pub fn is_draining(&self, key: BackendKey, now_ms: u64) -> bool {
        now_ms < self.backend(key).draining_until_ms
    }

    /// Does the periodic work: decays old evidence, advances trials and ramps, and returns and
    /// ejects backend servers.
    pub fn tick(&mut self, now_ms: u64) {
        self.fade(now_ms);
        self.update_times();
        self.advance(now_ms);
        self.restore(now_ms);
        self.eject(now_ms);
    }

    /// The health of a backend server as load balancing uses it.
    pub fn fitness(&self, key: BackendKey, now_ms: u64) -> BackendFitness {
        let backend = self.backend(key);
        let standing = backend.standing.share(self.settings.ramp_ms, now_ms);
        let is_draining = self.is_draining(key, now_ms);
        let share = if is_draining { 0.0 } else { standing * self.shift(backend) };
        BackendFitness {
            share,
            is_trial: matches!(backend.standing, Standing::Trial { .. }) && !is_draining,
            others_in_flight: backend.peer_reports.in_flight(),
            slow_ms: backend.slow_ms,
        }
    }

    /// The health of a backend server as operators see it.
    pub fn view(&self, key: BackendKey, now_ms: u64) -> BackendHealth {
        let backend = self.backend(key);
        BackendHealth {
            name: backend.name.clone(),
            standing: backend.standing,
            own_score: self.own_score(backend),
            agreed_score: self.agreed_score(backend),
            slow_ms: backend.slow_ms,
            ejections: backend.ejections,
            is_draining: self.is_draining(key, now_ms),
            count: backend.count,
        }
    }

    /// The share of the weight that is in service, from 0 to 1.
    pub fn capacity(&self, now_ms: u64) -> f64 {
        let total = self.total_weight(now_ms);
        if total == 0.0 { 1.0 } else { self.serving_weight(now_ms) / total }
    }

    /// The median time of a request to this service in milliseconds, 0 without enough observations.
    pub fn typical_ms(&self) -> f64 {
        self.typical_ms
    }

    /// The number of backend servers out of service.
    pub fn ejected(&self) -> usize {
        self.backends.iter().filter(|backend| !backend.standing.is_in_service()).count()
    }

    /// The number of consecutive failures of a backend server's requests.
    pub(crate) fn failures_in_a_row(&self, key: BackendKey) -> u32 {
        self.backend(key).failures_in_a_row
    }

    /// The number of consecutive bad health checks of a backend server.
    pub(crate) fn probes_in_a_row(&self, key: BackendKey) -> u32 {
        self.backend(key).checks.bad_in_a_row()
    }

    /// Adds good answers and units of bad evidence to all of a backend server's counts and scores.
    fn record(&mut self, key: BackendKey, good: u64, bad: u64) {
        let baseline = self.baseline(key);
        let backend = self.backend_mut(key);
        backend.own.add(good as f64, bad as f64, baseline);
        backend.recent.add(good, bad);
        backend.short_term.add(good, bad);
        backend.count.good += good;
        backend.count.bad += bad;
    }

    /// Decays all evidence.
    fn fade(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.ticked_ms);
        self.ticked_ms = now_ms;
        let factor = (-(elapsed_ms as f64) / COUNT_HALF_LIFE_MS).exp2();
        let short_term_factor = (-(elapsed_ms as f64) / SHORT_HALF_LIFE_MS).exp2();
        for backend in &mut self.backends {
            backend.own.fade(elapsed_ms);
            backend.checks.fade(elapsed_ms);
            backend.peer_reports.fade(elapsed_ms, now_ms);
            backend.recent.fade(factor);
            backend.short_term.fade(short_term_factor);
            if backend.times.total() > MIN_OBSERVED_TIMES {
                backend.times.fade(factor as f32);
            }
        }
    }

    /// Updates the median time of a request and the time from which a request is slow at each
    /// backend server.
    fn update_times(&mut self) {
        let mut all = QuantileSketch::default();
        for backend in &self.backends {
            all.merge(&backend.times, 1.0);
        }
        self.typical_ms = if all.total() < MIN_OBSERVED_TIMES { 0.0 } else { all.quantile(0.5) };
        let fallback_ms = self.settings.deadline_ms as f64 / 4.0;
        for backend in &mut self.backends {
            let mut others = all.clone();
            others.merge(&backend.times, -1.0);
            backend.slow_ms = if others.total() < MIN_OBSERVED_TIMES {
                fallback_ms
            } else {
                (others.quantile(BASELINE_QUANTILE) * SLOW_FACTOR).max(MIN_SLOW_MS)
            };
        }
    }

    /// The weight of all backend servers that take requests; draining ones take none.
    fn total_weight(&self, now_ms: u64) -> f64 {
        self.backends.iter().map(|backend| backend.usable_weight(now_ms)).sum()
    }

    /// The weight that is in service; a ramping backend server counts with its present share.
    fn serving_weight(&self, now_ms: u64) -> f64 {
        let share = |backend: &Backend| backend.standing.share(self.settings.ramp_ms, now_ms);
        self.backends.iter().map(|backend| backend.usable_weight(now_ms) * share(backend)).sum()
    }

    /// The other backend servers that take requests.
    fn others(&self, key: BackendKey) -> impl Iterator<Item = &Backend> {
        let indexed = self.backends.iter().enumerate();
        indexed
            .filter(move |(index, backend)| *index != key.0 as usize && backend.weight > 0.0)
            .map(|(_, backend)| backend)
    }

    /// The state of a backend server.
    fn backend(&self, key: BackendKey) -> &Backend {
        &self.backends[key.0 as usize]
    }

    /// The mutable state of a backend server.
    fn backend_mut(&mut self, key: BackendKey) -> &mut Backend {
        &mut self.backends[key.0 as usize]
    }
}
