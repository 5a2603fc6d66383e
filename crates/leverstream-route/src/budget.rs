use leverstream_pace::TokenBucket;

/// The retries that can be saved up.
const BURST: f64 = 20.0;

/// The retries gained a second without any request, so that a quiet service can still retry.
const IDLE_RATE_PER_S: f64 = 0.5;

/// Bounds retries and hedges to a share of a service's requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The retries left.
    bucket: TokenBucket,
}

impl RetryBudget {
    /// Opens a full budget.
    pub fn open(now_ms: u64) -> RetryBudget {
        RetryBudget { bucket: TokenBucket::new(IDLE_RATE_PER_S, BURST, now_ms) }
    }

    /// Notes a first attempt, which earns a share of a retry.
    pub fn earn(&mut self, percent: u8) {
        self.bucket.add(f64::from(percent) / 100.0);
    }

    /// Takes one retry or hedge if there is one left.
    pub fn take(&mut self, percent: u8, now_ms: u64) -> bool {
        percent > 0 && self.bucket.try_take(now_ms)
    }
}
