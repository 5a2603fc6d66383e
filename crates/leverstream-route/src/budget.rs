//! The retry budget of a single VM.

use leverstream_pace::TokenBucket;

/// The largest number of retries that can accumulate.
const BURST_RETRIES: f64 = 20.0;

/// The retries gained per second without any request, so that a service with few requests can still
/// retry.
const IDLE_RATE_PER_S: f64 = 0.5;

/// Limits retries and hedges to a percentage of a service's requests, with a token bucket.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The bucket of retries left.
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn open(now_ms: u64) -> RetryBudget {
        RetryBudget { bucket: TokenBucket::new(IDLE_RATE_PER_S, BURST_RETRIES, now_ms) }
    }

    /// Records a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u8) {
        self.bucket.add(f64::from(percent) / 100.0);
    }

    /// Spends one retry or hedge if one is left.
    pub fn take(&mut self, percent: u8, now_ms: u64) -> bool {
        percent > 0 && self.bucket.try_take(now_ms)
    }
}
