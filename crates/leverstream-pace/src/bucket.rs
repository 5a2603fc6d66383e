/// A token bucket that refills at a constant rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// How many tokens are added per second.
    rate_per_s: f64,
    /// The capacity, in tokens.
    burst: f64,
    /// The tokens that were available at `refilled_ms`.
    available: f64,
    /// When `available` was last refilled.
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now_ms: u64) -> TokenBucket {
        TokenBucket { rate_per_s, burst, available: burst, refilled_ms: now_ms }
    }

    /// Takes one token and returns whether one was available.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        self.try_take_many(1.0, now_ms)
    }

    /// Takes this many tokens, or none if fewer are available, and returns whether it took them.
    pub fn try_take_many(&mut self, tokens: f64, now_ms: u64) -> bool {
        let refill = now_ms.saturating_sub(self.refilled_ms) as f64 / 1000.0 * self.rate_per_s;
        self.add(refill);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        if self.available < tokens {
            return false;
        }
        self.available -= tokens;
        true
    }

    /// Adds tokens, up to the capacity.
    pub fn add(&mut self, tokens: f64) {
        self.available = (self.available + tokens).min(self.burst);
    }
}
