//! The state of one backend server.

use crate::checks::Checks;
use crate::peer_reports::{EvidenceCounts, PeerReports};
use crate::score::Score;
use crate::sketch::QuantileSketch;
use crate::standing::Standing;

/// The state of one backend server.
pub(super) struct Backend {
    /// Its name in the table.
    pub name: String,
    /// Its weight in the table; 0 when it takes no requests.
    pub weight: f64,
    /// The ejection state.
    pub standing: Standing,
    /// The number of past ejections that are not yet forgiven; they lengthen the next hold-off.
    pub ejections: u32,
    /// The time of its last return to full service or of the last forgiven ejection.
    pub settled_ms: u64,
    /// The score of this VM's own requests.
    pub own: Score,
    /// The results of its health checks.
    pub checks: Checks,
    /// The evidence that other VMs report.
    pub peer_reports: PeerReports,
    /// The times of good answers.
    pub times: QuantileSketch,
    /// Recent good answers and bad evidence, with the longer half-life.
    pub recent: Recent,
    /// Recent good answers and bad evidence, with the shorter half-life.
    pub short_term: Recent,
    /// The counts since the start that are sent to other VMs.
    pub count: EvidenceCounts,
    /// The time from which a request counts as slow.
    pub slow_ms: f64,
    /// The number of consecutive failures.
    pub failures_in_a_row: u32,
    /// The time until which its last draining notice is valid.
    pub draining_until_ms: u64,
}

impl Backend {
    /// Its weight, or 0 while it drains.
    pub fn usable_weight(&self, now_ms: u64) -> f64 {
        if now_ms < self.draining_until_ms { 0.0 } else { self.weight }
    }

    /// Clears the scores, for example when a trial begins.
    pub fn clear_scores(&mut self) {
        self.own.clear();
        self.checks.clear();
        self.peer_reports.clear();
        self.failures_in_a_row = 0;
    }
}

/// Counts of evidence that decay.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Recent {
    /// The number of good answers.
    pub good: f64,
    /// The number of units of bad evidence.
    pub bad: f64,
}

impl Recent {
    /// Adds observations.
    pub fn add(&mut self, good: u64, bad: u64) {
        self.good += good as f64;
        self.bad += bad as f64;
    }

    /// Adds another set of counts.
    pub fn merge(&mut self, other: Recent) {
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Multiplies the counts by a factor below one.
    pub fn fade(&mut self, factor: f64) {
        self.good *= factor;
        self.bad *= factor;
    }
}
