/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens gained a second.
    rate_per_s: f64,
    /// The most tokens that can be saved up.
    burst: f64,
    /// Tokens left at `at_ms`.
    left: f64,
    /// When `left` was last brought up to date.
    at_ms: u64,
}

impl TokenBucket {
    /// Opens a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now_ms: u64) -> TokenBucket {
        TokenBucket { rate_per_s, burst, left: burst, at_ms: now_ms }
    }

    /// Takes one token if there is one.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        self.try_take_many(1.0, now_ms)
    }

    /// Takes a number of tokens if there are so many.
    pub fn try_take_many(&mut self, tokens: f64, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.at_ms) as f64 / 1000.0 * self.rate_per_s;
        self.add(gained);
        self.at_ms = self.at_ms.max(now_ms);
        if self.left < tokens {
            return false;
        }
        self.left -= tokens;
        true
    }

    /// Adds tokens, up to the burst.
    pub fn add(&mut self, tokens: f64) {
        self.left = (self.left + tokens).min(self.burst);
    }
}
