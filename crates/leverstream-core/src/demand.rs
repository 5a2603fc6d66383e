//! The rate and the outcomes of callers' requests for a service, as exponentially decayed averages.

/// The time constant of the outcome averages, in milliseconds.
const ENDED_MEMORY_MS: f64 = 1_500.0;

/// The share of failed requests from which the floor applies, slightly below the share at which it
/// is required.
const FLOOR_BINDS_FROM: f64 = 0.08;

/// The share from which the floor applies to non-repeatable requests if requests refused before
/// they reached the service are counted. A VM sees about thirty requests within the time constant,
/// so a lower share may be chance.
const REFUSED_BINDS_FROM: f64 = 0.13;

/// The decayed number of requests from which the share is significant.
const FLOOR_COUNT: f64 = 10.0;

/// The time constant of the arrival rate, in milliseconds. A VM with one request every second or
/// two must not underestimate the rate by a factor of three by chance.
const ARRIVED_MEMORY_MS: f64 = 10_000.0;

/// The time after the first request before a rate is reported, in milliseconds; meanwhile a fleet
/// that has just started may claim more than it can reach.
const ARRIVED_LEAST_MS: u64 = 300;

/// The callers' requests for a service and their outcomes.
#[derive(Debug, Default)]
pub struct Demand {
    /// The arrivals.
    arrived: Arrived,
    /// The outcomes of requests that reached the service.
    ended: Ended,
    /// The outcomes including requests refused before they reached the service.
    asked: Ended,
}

/// Decayed counts of outcomes.
#[derive(Debug, Default)]
struct Ended {
    /// The served requests.
    served: f64,
    /// The failed requests.
    failed: f64,
    /// When the counts were last updated.
    at_ms: u64,
}

/// A decayed count of arrivals.
#[derive(Debug, Default)]
struct Arrived {
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
        self.arrived.note(now_ms);
    }

    /// Returns the request rate at this VM; none until enough time has passed since the first
    /// request.
    pub fn per_s(&self, now_ms: u64) -> Option<f64> {
        self.arrived.per_s(now_ms)
    }

    /// Records the outcome of a request.
    pub fn note_end(&mut self, is_served: bool, now_ms: u64) {
        self.ended.note(is_served, now_ms);
        self.asked.note(is_served, now_ms);
    }

    /// Records a request refused before it reached the service, because its workspace was over its
    /// allotment.
    pub fn note_refused(&mut self, now_ms: u64) {
        self.asked.note(false, now_ms);
    }

    /// Tells whether so many requests fail that the floor applies.
    ///
    /// The users count refused requests as failures too. For non-repeatable requests the threshold
    /// with refusals is higher: refusals are no evidence against the backend servers, and a trial
    /// may lose the request. With one workspace far above its allotment on an otherwise quiet day,
    /// twice as many non-repeatable requests failed (15 %).
    pub fn fails(&self, is_repeatable: bool, now_ms: u64) -> bool {
        let refused_from = if is_repeatable { FLOOR_BINDS_FROM } else { REFUSED_BINDS_FROM };
        self.ended.fails(FLOOR_BINDS_FROM, now_ms) || self.asked.fails(refused_from, now_ms)
    }
}

impl Arrived {
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
        let remembered = ARRIVED_MEMORY_MS * (1.0 - (-(for_ms as f64) / ARRIVED_MEMORY_MS).exp());
        (for_ms >= ARRIVED_LEAST_MS).then(|| self.count_at(now_ms) / remembered * 1_000.0)
    }

    /// Returns the decayed count.
    fn count_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / ARRIVED_MEMORY_MS).exp()
    }
}

impl Ended {
    /// Adds an outcome.
    fn note(&mut self, is_served: bool, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let factor = (-age_ms / ENDED_MEMORY_MS).exp();
        self.served = self.served * factor + f64::from(u8::from(is_served));
        self.failed = self.failed * factor + f64::from(u8::from(!is_served));
        self.at_ms = now_ms;
    }

    /// Tells whether the failed share reaches a threshold, given enough requests.
    fn fails(&self, share: f64, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let total = (self.served + self.failed) * (-age_ms / ENDED_MEMORY_MS).exp();
        total >= FLOOR_COUNT && self.failed / (self.served + self.failed) >= share
    }
}
