//! A token bucket that can go into debt.

/// The number of requests that there is room for, as of some time; negative if more were admitted
/// than there was room for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// The tokens left.
    tokens: f64,
    /// The time of the last refill.
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket with some tokens.
    pub fn open(tokens: f64, now_ms: u64) -> TokenBucket {
        TokenBucket { tokens, refilled_ms: now_ms }
    }

    /// Refills the bucket at a rate up to a limit and returns the tokens.
    pub fn refill(&mut self, rate_per_s: f64, limit: f64, now_ms: u64) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * rate_per_s).min(limit);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.tokens
    }

    /// Takes tokens even if there are none left, for requests that other VMs have admitted.
    pub fn take(&mut self, count: f64) {
        self.tokens -= count;
    }

    /// Takes tokens, leaving no fewer than `least`.
    pub fn take_with_floor(&mut self, count: f64, least: f64) {
        self.tokens = (self.tokens - count).max(least);
    }

    /// Lowers the tokens to `room` if that is less, such as to what another VM reports.
    pub fn lower_to(&mut self, room: f64) {
        self.tokens = self.tokens.min(room);
    }

    /// Returns the tokens as of the last refill.
    pub fn tokens(self) -> f64 {
        self.tokens
    }

    /// Returns how long until the bucket holds `needed` tokens.
    pub fn wait_ms(self, needed: f64, rate_per_s: f64) -> u64 {
        let missing = (needed - self.tokens).max(0.0);
        if rate_per_s > 0.0 { (missing / rate_per_s * 1000.0).ceil() as u64 } else { u64::MAX }
    }
}
