/// The share of bad work that is expected of a sick backend server.
const SICK_SHARE: f64 = 0.3;

/// The share of bad work below which a service's baseline is never taken to be.
const BASELINE_LEAST: f64 = 0.01;

/// How many observations the assumed baseline counts for.
const PRIOR_COUNT: f64 = 20.0;

/// The most units of bad evidence that one request can give.
pub const UNITS_LIMIT: u8 = 5;

/// After how long an unrenewed score has halved, in milliseconds.
const HALF_LIFE_MS: f64 = 300_000.0;

/// A cumulative-sum test for a change of a backend server from healthy to sick (Page, 1954).
///
/// Each observation adds the logarithm of how much likelier it is from a sick backend server than
/// from the service's others; the sum never falls below zero, so that a long healthy time does not
/// delay the detection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Score(f64);

/// The share of bad work among a service's other backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    /// What one unit of bad evidence adds.
    bad: f64,
    /// What one good answer adds; below zero.
    good: f64,
}

impl Baseline {
    /// The one of two that takes bad work for more usual.
    pub fn max(self, other: Baseline) -> Baseline {
        if self.bad <= other.bad { self } else { other }
    }

    /// Works the baseline out from counts of good and bad work.
    pub fn from_counts(good: f64, bad: f64) -> Baseline {
        let share = (bad + BASELINE_LEAST * PRIOR_COUNT) / (good + bad + PRIOR_COUNT);
        let share = share.clamp(BASELINE_LEAST, SICK_SHARE);
        Baseline { bad: (SICK_SHARE / share).ln(), good: ((1.0 - SICK_SHARE) / (1.0 - share)).ln() }
    }
}

impl Score {
    /// The present value.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Adds good answers and units of bad evidence.
    pub fn add(&mut self, good: f64, bad: f64, baseline: Baseline) {
        self.0 = (self.0 + bad * baseline.bad + good * baseline.good).max(0.0);
    }

    /// Fades the score over a time in which nothing was observed.
    pub fn fade(&mut self, elapsed_ms: u64) {
        self.0 *= (-(elapsed_ms as f64) / HALF_LIFE_MS).exp2();
    }

    /// Starts anew.
    pub fn clear(&mut self) {
        self.0 = 0.0;
    }

    /// Bounds the score from above.
    pub fn cap(&mut self, limit: f64) {
        self.0 = self.0.min(limit);
    }
}

/// How many units of bad evidence a time gives against the time from which work is slow.
///
/// One when it is slow at all and one more for each further doubling, so that a stalled request
/// speaks louder the longer it lasts.
pub fn units_of(time_ms: f64, slow_ms: f64) -> u8 {
    if time_ms < slow_ms {
        return 0;
    }
    let doublings = (time_ms / slow_ms).log2().floor() as u8;
    doublings.saturating_add(1).min(UNITS_LIMIT)
}
