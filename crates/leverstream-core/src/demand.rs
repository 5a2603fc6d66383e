//! The rate and the outcomes of callers' requests for a service, as exponentially decayed averages.

/// The time constant of the outcome averages, in milliseconds.
const OUTCOMES_TIME_CONSTANT_MS: f64 = 1_500.0;

/// The share of failed requests from which the floor applies, slightly below the share at which it
/// is required.
const FAILING_SHARE: f64 = 0.08;

/// The share from which the floor applies to non-repeatable requests if requests refused before
/// they reached the service are counted. A VM sees about thirty requests within the time constant,
/// so a lower share may be chance.
const FAILING_SHARE_WITH_REFUSALS: f64 = 0.13;

/// The decayed number of requests from which the share is significant.
const MIN_REQUESTS: f64 = 10.0;

/// The time constant of the arrival rate, in milliseconds. A VM with one request every second or
/// two must not underestimate the rate by a factor of three by chance.
const ARRIVALS_TIME_CONSTANT_MS: f64 = 10_000.0;

/// The time after the first request before a rate is reported, in milliseconds; meanwhile a fleet
/// that has just started may claim more than it can reach.
const ARRIVALS_WARMUP_MS: u64 = 300;

/// The callers' requests for a service and their outcomes.
#[derive(Debug, Default)]
pub struct Demand {
    /// The arrivals.
    arrivals: Arrivals,
    /// The outcomes of requests that reached the service.
    outcomes: Outcomes,
    /// The outcomes including requests refused before they reached the service.
    outcomes_with_refusals: Outcomes,
}

/// Decayed counts of outcomes.
#[derive(Debug, Default)]
struct Outcomes {
    /// The served requests.
    served: f64,
    /// The failed requests.
    failed: f64,
    /// When the counts were last updated.
    at_ms: u64,
}

/// A decayed count of arrivals.
#[derive(Debug, Default)]
struct Arrivals {
    /// The count as of the latest arrival.
    count: f64,
    /// When the latest request arrived.
    at_ms: u64,
    /// When the first request arrived.
    since_ms: Option<u64>,
}

impl Demand {
    /// Records the arrival of a request.
    pub fn note_arrival(&mut self, now_ms: u64) {
        self.arrivals.note(now_ms);
    }

    /// Returns the request rate at this VM; none until enough time has passed since the first
    /// request.
    pub fn per_s(&self, now_ms: u64) -> Option<f64> {
        self.arrivals.per_s(now_ms)
    }

    /// Records the outcome of a request.
    pub fn note_end(&mut self, is_served: bool, now_ms: u64) {
        self.outcomes.note(is_served, now_ms);
        self.outcomes_with_refusals.note(is_served, now_ms);
    }

    /// Records a request refused before it reached the service, because its workspace was over its
    /// allotment.
    pub fn note_refused(&mut self, now_ms: u64) {
        self.outcomes_with_refusals.note(false, now_ms);
    }

    /// Tells whether so many requests fail that the floor applies.
    ///
    /// The users count refused requests as failures too. For non-repeatable requests the threshold
    /// with refusals is higher: refusals are no evidence against the backend servers, and a trial
    /// may lose the request. With one workspace far above its allotment on an otherwise quiet day,
    /// twice as many non-repeatable requests failed (15 %).
    pub fn is_failing(&self, is_repeatable: bool, now_ms: u64) -> bool {
        let threshold_with_refusals =
            if is_repeatable { FAILING_SHARE } else { FAILING_SHARE_WITH_REFUSALS };
        self.outcomes.is_failing(FAILING_SHARE, now_ms)
            || self.outcomes_with_refusals.is_failing(threshold_with_refusals, now_ms)
    }
}

impl Arrivals {
    /// Adds an arrival.
    fn note(&mut self, now_ms: u64) {
        self.count = self.count_at(now_ms) + 1.0;
        self.at_ms = now_ms;
        self.since_ms.get_or_insert(now_ms);
    }

    /// Returns the arrival rate, in requests a second.
    fn per_s(&self, now_ms: u64) -> Option<f64> {
        let for_ms = now_ms.saturating_sub(self.since_ms?);
        // The decayed count that one arrival a millisecond would give.
        let expected_count = ARRIVALS_TIME_CONSTANT_MS
            * (1.0 - (-(for_ms as f64) / ARRIVALS_TIME_CONSTANT_MS).exp());
        (for_ms >= ARRIVALS_WARMUP_MS).then(|| self.count_at(now_ms) / expected_count * 1_000.0)
    }

    /// Returns the decayed count.
    fn count_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / ARRIVALS_TIME_CONSTANT_MS).exp()
    }
}

impl Outcomes {
    /// Adds an outcome.
    fn note(&mut self, is_served: bool, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let factor = (-age_ms / OUTCOMES_TIME_CONSTANT_MS).exp();
        self.served = self.served * factor + f64::from(u8::from(is_served));
        self.failed = self.failed * factor + f64::from(u8::from(!is_served));
        self.at_ms = now_ms;
    }

    /// Tells whether the failed share reaches a threshold, given enough requests.
    fn is_failing(&self, share: f64, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let total = (self.served + self.failed) * (-age_ms / OUTCOMES_TIME_CONSTANT_MS).exp();
        total >= MIN_REQUESTS && self.failed / (self.served + self.failed) >= share
    }
}
