/// After how long the end of a request counts for 1/e of a new one, in milliseconds.
const ENDED_MEMORY_MS: f64 = 1_500.0;

/// The share of requests not served from which the floor binds, a little below where it is due.
const FLOOR_BINDS_FROM: f64 = 0.08;

/// The share from which it binds requests that run once too where part of them were refused before they came to the
/// service: a VM sees some thirty requests in the time that is remembered, and less than this may be chance.
const REFUSED_BINDS_FROM: f64 = 0.13;

/// From how many requests on that share says anything.
const FLOOR_COUNT: f64 = 10.0;

/// After how long a request counts for 1/e of a new one where it is asked how many come, in milliseconds: at a VM
/// that gets one in a second or two, chance must not take the rate for a third of what it is.
const ARRIVED_MEMORY_MS: f64 = 10_000.0;

/// For how long requests must have come before it is said how many do, in milliseconds: so long a fleet that has just
/// started may claim what it cannot reach.
const ARRIVED_LEAST_MS: u64 = 300;

/// What callers ask of a service, and how it ended.
#[derive(Debug, Default)]
pub struct Demand {
    /// The requests that came.
    arrived: Arrived,
    /// How requests of callers ended of late.
    ended: Ended,
    /// The same with those that were refused before they came to the service.
    asked: Ended,
}

/// How requests of callers ended, fading.
#[derive(Debug, Default)]
struct Ended {
    /// Those that were served.
    served: f64,
    /// Those that were not.
    failed: f64,
    /// When the two were last brought up to date.
    at_ms: u64,
}

/// The requests that came, fading.
#[derive(Debug, Default)]
struct Arrived {
    /// How many, as of the last one.
    count: f64,
    /// When the last one came.
    at_ms: u64,
    /// When the first one came.
    since_ms: Option<u64>,
}

impl Demand {
    /// Notes that a request came.
    pub fn note_arrival(&mut self, now_ms: u64) {
        self.arrived.note(now_ms);
    }

    /// How many requests a second come to this VM; none as long as too few have.
    pub fn per_s(&self, now_ms: u64) -> Option<f64> {
        self.arrived.per_s(now_ms)
    }

    /// Notes how a caller's request ended.
    pub fn note_end(&mut self, is_served: bool, now_ms: u64) {
        self.ended.note(is_served, now_ms);
        self.asked.note(is_served, now_ms);
    }

    /// Notes that a request was refused before it came to the service, as its workspace had no room.
    pub fn note_refused(&mut self, now_ms: u64) {
        self.asked.note(false, now_ms);
    }

    /// Tells whether so many requests are not served that no sound backend server may be left out.
    ///
    /// Whoever asks for the floor counts those that were refused too. Requests that run once are held to that only where
    /// it is sure: nothing speaks against the backend servers then, and a trial loses such a request (on a quiet day
    /// with one workspace far above its allotment twice as many moves failed, 15 %).
    pub fn fails(&self, is_repeatable: bool, now_ms: u64) -> bool {
        let refused_from = if is_repeatable { FLOOR_BINDS_FROM } else { REFUSED_BINDS_FROM };
        self.ended.fails(FLOOR_BINDS_FROM, now_ms) || self.asked.fails(refused_from, now_ms)
    }
}

impl Arrived {
    /// Notes one more.
    fn note(&mut self, now_ms: u64) {
        self.count = self.count_at(now_ms) + 1.0;
        self.at_ms = now_ms;
        self.since_ms.get_or_insert(now_ms);
    }

    /// How many come in a second.
    fn per_s(&self, now_ms: u64) -> Option<f64> {
        let for_ms = now_ms.saturating_sub(self.since_ms?);
        // What would be remembered of one a millisecond.
        let remembered = ARRIVED_MEMORY_MS * (1.0 - (-(for_ms as f64) / ARRIVED_MEMORY_MS).exp());
        (for_ms >= ARRIVED_LEAST_MS).then(|| self.count_at(now_ms) / remembered * 1_000.0)
    }

    /// How many are remembered by now.
    fn count_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / ARRIVED_MEMORY_MS).exp()
    }
}

impl Ended {
    /// Notes one more end.
    fn note(&mut self, is_served: bool, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let factor = (-age_ms / ENDED_MEMORY_MS).exp();
        self.served = self.served * factor + f64::from(u8::from(is_served));
        self.failed = self.failed * factor + f64::from(u8::from(!is_served));
        self.at_ms = now_ms;
    }

    /// Tells whether such a share of them or more was not served.
    fn fails(&self, share: f64, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let total = (self.served + self.failed) * (-age_ms / ENDED_MEMORY_MS).exp();
        total >= FLOOR_COUNT && self.failed / (self.served + self.failed) >= share
    }
}
