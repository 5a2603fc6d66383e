use rand::Rng;

/// Exponential backoff with jitter, so that the VMs of a fleet do not all retry at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The longest delay after the first failure.
    initial_ms: u64,
    /// The upper limit of the delay.
    max_ms: u64,
    /// The number of consecutive failures.
    consecutive_failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(initial_ms: u64, max_ms: u64) -> Backoff {
        Backoff { initial_ms, max_ms, consecutive_failures: 0 }
    }

    /// Records a failure and returns the delay, drawn between half of the current step and the whole step.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let step_ms =
            self.initial_ms.saturating_mul(1 << self.consecutive_failures.min(20)).min(self.max_ms);
        self.consecutive_failures += 1;
        rng.random_range(step_ms / 2..=step_ms)
    }

    /// Records a success, so that the next failure gets the first delay again.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }
}
