use rand::Rng;

/// Waits that double after each failure, with jitter so that a fleet does not come back at once.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The first wait.
    first_ms: u64,
    /// The longest wait.
    limit_ms: u64,
    /// Failures in a row.
    failures: u32,
}

impl Backoff {
    /// Starts with no failures.
    pub fn new(first_ms: u64, limit_ms: u64) -> Backoff {
        Backoff { first_ms, limit_ms, failures: 0 }
    }

    /// Notes a failure and returns how long to wait, between half and the whole of the step.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let step = self.first_ms.saturating_mul(1 << self.failures.min(20)).min(self.limit_ms);
        self.failures += 1;
        rng.random_range(step / 2..=step)
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
