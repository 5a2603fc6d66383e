use leverstream_route::RetryWindow;

/// After how long the end of a request counts for 1/e of a new one, in milliseconds.
const ENDED_MEMORY_MS: f64 = 1_500.0;

/// The share of requests not served from which the floor binds, a little below where it is due.
const FLOOR_BINDS_FROM: f64 = 0.08;

/// From how many requests on that share says anything.
const FLOOR_COUNT: f64 = 10.0;

/// What callers ask of a service, and how it ended.
#[derive(Debug, Default)]
pub struct Demand {
    /// Requests and repeats of late, of all VMs.
    pub window: RetryWindow,
    /// How requests of callers ended of late.
    ended: Ended,
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

impl Demand {
    /// Notes how a caller's request ended.
    pub fn note_end(&mut self, is_served: bool, now_ms: u64) {
        let ended = &mut self.ended;
        let age_ms = now_ms.saturating_sub(ended.at_ms) as f64;
        let factor = (-age_ms / ENDED_MEMORY_MS).exp();
        ended.served = ended.served * factor + f64::from(u8::from(is_served));
        ended.failed = ended.failed * factor + f64::from(u8::from(!is_served));
        ended.at_ms = now_ms;
    }

    /// Tells whether so many requests fail that no sound backend server may be left out.
    pub fn fails(&self, now_ms: u64) -> bool {
        let Ended { served, failed, at_ms } = &self.ended;
        let age_ms = now_ms.saturating_sub(*at_ms) as f64;
        let total = (served + failed) * (-age_ms / ENDED_MEMORY_MS).exp();
        total >= FLOOR_COUNT && failed / (served + failed) >= FLOOR_BINDS_FROM
    }
}
