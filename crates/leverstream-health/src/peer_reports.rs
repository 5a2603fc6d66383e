//! Evidence about a backend server that other VMs report.

use std::collections::HashMap;

use crate::score::{Baseline, Score};

/// The time without a report after which a reporter is dropped, in milliseconds. Also the half-life
/// of a reporter's observation count.
const REPORTER_TIMEOUT_MS: u64 = 5_000;

/// The age from which a reporter's count of requests in flight is ignored, in milliseconds.
const IN_FLIGHT_MAX_AGE_MS: u64 = 1_500;

/// The score from which a reporter counts as one that considers the backend server faulty.
const AGREEMENT_SCORE: f64 = 1.5;

/// The number of recent observations from which a reporter has enough evidence to vote.
const MIN_OBSERVATIONS: f64 = 5.0;

/// The largest share of the ejection score that one reporter can add.
const MAX_REPORTER_SHARE: f64 = 0.5;

/// The time constant for smoothing other VMs' requests in flight, in milliseconds.
const SMOOTHING_MS: f64 = 1_000.0;

/// Cumulative evidence since a reporter's process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// The number of good answers.
    pub good: u64,
    /// The number of units of bad evidence.
    pub bad: u64,
}

/// The evidence that other VMs report about one backend server.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    /// The state of each reporter. Scores are kept separately so that the broken network path of
    /// one VM isn't mistaken for a faulty backend server.
    reporters: HashMap<u64, Reporter>,
}

/// The evidence of one other VM.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    /// The last reported counts.
    last: EvidenceCounts,
    /// The score from its reports.
    score: Score,
    /// The number of recent observations, decaying over time.
    recent: f64,
    /// The time of its last report or other message.
    last_heard_ms: u64,
    /// Its requests in flight at the backend server, as last reported.
    in_flight: u32,
    /// Its requests in flight, smoothed over time because a report is out of date on arrival.
    smoothed: f64,
}

impl PeerReports {
    /// Records a reporter's counts; the first report only sets the starting point.
    pub fn report(
        &mut self,
        reporter: u64,
        count: EvidenceCounts,
        in_flight: u32,
        baseline: Baseline,
        now_ms: u64,
    ) {
        let entry = self.reporters.entry(reporter).or_insert(Reporter {
            last: count,
            score: Score::default(),
            recent: 0.0,
            last_heard_ms: now_ms,
            in_flight,
            smoothed: f64::from(in_flight),
        });
        let good = count.good.saturating_sub(entry.last.good) as f64;
        let bad = count.bad.saturating_sub(entry.last.bad) as f64;
        entry.score.add(good, bad, baseline);
        entry.recent += good + bad;
        entry.last = count;
        entry.last_heard_ms = now_ms;
        entry.in_flight = in_flight;
    }

    /// Records that a reporter is alive although it has nothing new to report.
    pub fn record_contact(&mut self, reporter: u64, now_ms: u64) {
        if let Some(entry) = self.reporters.get_mut(&reporter) {
            entry.last_heard_ms = now_ms;
        }
    }

    /// Decays the reported evidence and drops reporters that have been silent too long.
    pub fn fade(&mut self, elapsed_ms: u64, now_ms: u64) {
        self.reporters.retain(|_, reporter| {
            now_ms.saturating_sub(reporter.last_heard_ms) < REPORTER_TIMEOUT_MS
        });
        for reporter in self.reporters.values_mut() {
            reporter.score.fade(elapsed_ms);
            let decay_factor = (-(elapsed_ms as f64) / SMOOTHING_MS).exp();
            let is_stale = now_ms.saturating_sub(reporter.last_heard_ms) >= IN_FLIGHT_MAX_AGE_MS;
            let reported = if is_stale { 0.0 } else { f64::from(reporter.in_flight) };
            reporter.smoothed = reported + decay_factor * (reporter.smoothed - reported);
            reporter.recent *= (-(elapsed_ms as f64) / REPORTER_TIMEOUT_MS as f64).exp2();
        }
    }

    /// Clears all scores, for example when a trial begins.
    pub fn clear(&mut self) {
        for reporter in self.reporters.values_mut() {
            reporter.score.clear();
        }
    }

    /// The number of requests that other VMs have in flight at the backend server.
    pub fn in_flight(&self) -> u32 {
        let sum: f64 = self.reporters.values().map(|reporter| reporter.smoothed).sum();
        sum.round() as u32
    }

    /// The sum of this VM's score and the reporters' scores, each capped at its largest share.
    pub fn total(&self, own: Score, eject_score: f64) -> f64 {
        let cap = eject_score * MAX_REPORTER_SHARE;
        let others: f64 =
            self.reporters.values().map(|reporter| reporter.score.value().min(cap)).sum();
        own.value() + others
    }

    /// Tells whether at least two VMs, and a majority of those with enough evidence, consider the
    /// backend server faulty. This VM must be one of them if it has enough evidence.
    pub fn agrees(&self, own: Score, own_recent: f64) -> bool {
        let own_agrees = own.value() >= AGREEMENT_SCORE;
        let own_is_informed = own_agrees || own_recent >= MIN_OBSERVATIONS;
        if own_is_informed && !own_agrees {
            return false;
        }
        let mut agreeing = usize::from(own_agrees);
        let mut informed = usize::from(own_is_informed);
        for reporter in self.reporters.values() {
            let agrees = reporter.score.value() >= AGREEMENT_SCORE;
            agreeing += usize::from(agrees);
            informed += usize::from(agrees || reporter.recent >= MIN_OBSERVATIONS);
        }
        agreeing >= 2 && 2 * agreeing > informed
    }
}
