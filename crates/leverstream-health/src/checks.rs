//! Evidence from health checks, kept apart from that of real requests.

use crate::score::{Baseline, Score};

/// The largest share of the ejection score that health checks alone can reach.
const MAX_CHECKS_SHARE: f64 = 0.8;

/// The most that health checks add to the score of real work when ejection is decided, as a share
/// of that score.
///
/// Health checks can misreport for a long time. With a higher share, a single slow answer from a
/// busy machine would eject a healthy backend server.
const MAX_SHARE_OF_WORK_SCORE: f64 = 0.5;

/// The results of one backend server's health checks.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Checks {
    /// The score of the checks that got a bad answer.
    score: Score,
    /// The number of consecutive bad or refused checks.
    bad_in_a_row: u32,
}

impl Checks {
    /// Records a check that got a good answer.
    pub fn good(&mut self) {
        self.clear();
    }

    /// Records a check that got a bad answer.
    pub fn bad(&mut self, baseline: Baseline, eject_score: f64) {
        self.bad_in_a_row += 1;
        self.score.add(0.0, 1.0, baseline);
        self.score.cap(eject_score * MAX_CHECKS_SHARE);
    }

    /// Records a check whose connection was refused. A refused connection cannot be a misreport, so
    /// it counts as real work and leaves this score alone.
    pub fn refused(&mut self) {
        self.bad_in_a_row += 1;
    }

    /// Clears the score, as real work succeeded.
    pub fn clear_score(&mut self) {
        self.score.clear();
    }

    /// The current score.
    pub fn value(&self) -> f64 {
        self.score.value()
    }

    /// The amount that checks add to the score of real work when ejection is decided.
    pub fn capped_by_work(&self, work: Score) -> f64 {
        self.score.value().min(work.value() * MAX_SHARE_OF_WORK_SCORE)
    }

    /// The number of consecutive bad or refused checks.
    pub fn bad_in_a_row(&self) -> u32 {
        self.bad_in_a_row
    }

    /// Decays the score over the elapsed time.
    pub fn fade(&mut self, elapsed_ms: u64) {
        self.score.fade(elapsed_ms);
    }

    /// Clears all results, for example when a trial begins.
    pub fn clear(&mut self) {
        *self = Checks::default();
    }
}
