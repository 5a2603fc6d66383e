//! How long a request will wait for a slot, and when it must be offered without one.

use rand::Rng;

use crate::demand::TIME_CONSTANT_MS;

/// The decayed time during which requests have waited from which the rate is known, in
/// milliseconds. In a shorter time a VM sees only a few slots become free.
const MIN_WAITED_MS: f64 = 100.0;

/// The longest time between two checks of waiting requests that counts as waited, in milliseconds:
/// four intervals of their checks. A longer one is a standstill of the VM, during which it could be
/// granted nothing.
const MAX_GAP_MS: u64 = 240;

/// The share of its objective after which a waiting request is no longer refused.
const COMMIT_SHARE: u64 = 4;

/// A request is offered without a free slot when its usual work fits into its remaining time only
/// this many times.
const LAST_MOMENT_WORK_FACTOR: f64 = 2.0;

/// A request is offered without a free slot when this share of its objective remains.
const LAST_MOMENT_SHARE: f64 = 0.1;

/// What is added to that share of the objective, in milliseconds. A waiting request checks every
/// 60 ms, and one that checks late must still be sent with the share left.
const LAST_MOMENT_MARGIN_MS: f64 = 60.0;

/// The shortest retry delay, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;

/// The longest retry delay, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// The rate at which slots are granted at this VM while requests wait.
///
/// Grants while no request waits say how many requests arrive, and not how many could be served.
#[derive(Clone, Debug, Default)]
pub struct GrantRate {
    /// The number of requests that wait.
    waiting: usize,
    /// The decayed number of slots granted while requests waited.
    granted: f64,
    /// The decayed time during which requests have waited, in milliseconds.
    waited_ms: f64,
    /// When the counts were last updated.
    at_ms: u64,
}

impl GrantRate {
    /// Records that a request begins to wait.
    pub fn begin_wait(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.waiting += 1;
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that a slot was granted.
    pub fn note_grant(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.granted += if self.waiting > 0 { 1.0 } else { 0.0 };
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the rate, in slots a second; none unless requests have waited recently. One slot is
    /// added, so that a VM that has just seen none free does not take the rate for zero.
    pub fn per_s(&mut self, now_ms: u64) -> Option<f64> {
        self.advance(now_ms);
        (self.waited_ms >= MIN_WAITED_MS).then(|| (self.granted + 1.0) / self.waited_ms * 1_000.0)
    }

    /// Decays the counts up to the present time; a standstill leaves them as they are.
    fn advance(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        if self.waiting > 0 && gap_ms > MAX_GAP_MS {
            return;
        }
        let factor = (-(gap_ms as f64) / TIME_CONSTANT_MS).exp();
        self.granted *= factor;
        self.waited_ms *= factor;
        if self.waiting > 0 {
            self.waited_ms += TIME_CONSTANT_MS * (1.0 - factor);
        }
    }
}

/// What the estimated wait of a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// The number of requests ahead of it.
    pub ahead: usize,
    /// The rate at which slots become free for this VM, in slots a second.
    pub granted_per_s: f64,
    /// The rate at which more urgent requests join the queue, in requests a second.
    pub urgent_per_s: f64,
    /// The number of free slots, those of backend servers in doubt included. As many requests will
    /// soon be sent whatever their estimated wait.
    pub free_slots: usize,
    /// The time until the request is committed, after which more urgent ones no longer overtake it.
    pub open_ms: u64,
}

impl Prospect {
    /// Returns the estimated wait, in milliseconds.
    pub fn wait_ms(&self) -> f64 {
        let needed = (self.ahead + 1) as f64;
        let spare_per_s = self.granted_per_s - self.urgent_per_s;
        let overtaken_ms = needed / spare_per_s * 1_000.0;
        if spare_per_s > 0.0 && overtaken_ms <= self.open_ms as f64 {
            return overtaken_ms;
        }
        let overtaking = self.urgent_per_s * self.open_ms as f64 / 1_000.0;
        (needed + overtaking) / self.granted_per_s * 1_000.0
    }
}

/// The times of a request that bound its wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitBounds {
    /// Since when the request is held without having been offered to a backend server.
    pub since_ms: u64,
    /// The latency objective of its route.
    pub objective_ms: u64,
    /// The usual time of its work.
    pub work_ms: f64,
    /// When it must be answered.
    pub deadline_ms: u64,
}

impl WaitBounds {
    /// Returns from when the request is committed: it is no longer displaced or refused while it
    /// can be offered.
    pub fn commits_ms(&self) -> u64 {
        self.since_ms.saturating_add(self.objective_ms / COMMIT_SHARE)
    }

    /// Returns from when the request, once it is committed, is offered to a backend server without
    /// a free slot.
    pub fn last_moment_ms(&self) -> u64 {
        let by_work_ms = self.work_ms * LAST_MOMENT_WORK_FACTOR;
        let by_objective_ms = self.objective_ms as f64 * LAST_MOMENT_SHARE + LAST_MOMENT_MARGIN_MS;
        self.deadline_ms.saturating_sub(by_work_ms.max(by_objective_ms).ceil() as u64)
    }

    /// Tells whether the request can meet its objective after another `wait_ms`.
    pub fn is_on_time(&self, wait_ms: f64, now_ms: u64) -> bool {
        now_ms as f64 + wait_ms + self.work_ms <= (self.since_ms + self.objective_ms) as f64
    }

    /// Tells whether the request can be served in time after another `wait_ms`.
    pub fn fits(&self, wait_ms: f64, now_ms: u64) -> bool {
        now_ms as f64 + wait_ms + self.work_ms <= self.deadline_ms as f64
    }
}

/// Returns after how long a refused caller should retry: the time needed to serve the waiting
/// requests, and a random part of as long again, so that callers do not return together.
pub fn retry_after_ms(waiting: usize, granted_per_s: f64, rng: &mut impl Rng) -> u64 {
    let needed_ms = (waiting + 1) as f64 / granted_per_s * 1_000.0;
    let spread_ms = needed_ms * rng.random_range(1.0..2.0);
    spread_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64
}
