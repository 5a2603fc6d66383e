//! The score that accumulates bad evidence about a backend server.

/// The share of bad evidence that is expected of a faulty backend server.
const FAULTY_SHARE: f64 = 0.3;

/// The lower bound of a service's baseline share of bad evidence.
const MIN_BASELINE_SHARE: f64 = 0.01;

/// The number of observations that the prior for the baseline weighs as much as.
const PRIOR_OBSERVATIONS: f64 = 20.0;

/// The largest number of units of bad evidence that one request can give.
pub const MAX_EVIDENCE_UNITS: u8 = 5;

/// The half-life of a score without new evidence, in milliseconds.
const HALF_LIFE_MS: f64 = 300_000.0;

/// A cumulative-sum (CUSUM) test for the change of a backend server from healthy to faulty (Page,
/// 1954).
///
/// Each observation adds its log likelihood ratio between a faulty backend server and the others of
/// the service. The sum never falls below zero, so that a long healthy time doesn't delay the
/// detection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score(f64);

/// The log likelihood ratios of observations, given the share of bad evidence among a service's
/// other backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// The amount that one unit of bad evidence adds to a score.
    bad: f64,
    /// The amount that one good answer adds to a score; negative.
    good: f64,
}

impl Baseline {
    /// Returns the baseline with the higher share of bad evidence.
    pub fn max(self, other: Baseline) -> Baseline {
        if self.bad <= other.bad { self } else { other }
    }

    /// Computes the baseline from counts of good answers and units of bad evidence.
    pub fn from_counts(good: f64, bad: f64) -> Baseline {
        let share =
            (bad + MIN_BASELINE_SHARE * PRIOR_OBSERVATIONS) / (good + bad + PRIOR_OBSERVATIONS);
        let share = share.clamp(MIN_BASELINE_SHARE, FAULTY_SHARE);
        Baseline {
            bad: (FAULTY_SHARE / share).ln(),
            good: ((1.0 - FAULTY_SHARE) / (1.0 - share)).ln(),
        }
    }
}

impl Score {
    /// The current value.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Adds good answers and units of bad evidence.
    pub fn add(&mut self, good: f64, bad: f64, baseline: Baseline) {
        self.0 = (self.0 + bad * baseline.bad + good * baseline.good).max(0.0);
    }

    /// Decays the score over the elapsed time.
    pub fn fade(&mut self, elapsed_ms: u64) {
        self.0 *= (-(elapsed_ms as f64) / HALF_LIFE_MS).exp2();
    }

    /// Resets the score to zero.
    pub fn clear(&mut self) {
        self.0 = 0.0;
    }

    /// Limits the score to an upper bound.
    pub fn cap(&mut self, limit: f64) {
        self.0 = self.0.min(limit);
    }
}

/// The units of bad evidence that a request time gives, relative to the time from which a request
/// counts as slow.
///
/// A slow request gives one unit and one more for each further doubling of the time, so that a
/// stalled request weighs more the longer it lasts.
pub fn evidence_units(time_ms: f64, slow_ms: f64) -> u8 {
    if time_ms < slow_ms {
        return 0;
    }
    let doublings = (time_ms / slow_ms).log2().floor() as u8;
    doublings.saturating_add(1).min(MAX_EVIDENCE_UNITS)
}
