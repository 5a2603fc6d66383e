//! Which requests a VM still accepts and sends on during its planned stop.

use crate::LatencyHistogram;

/// The part of the grace period that a stop leaves unused before the process is killed, in milliseconds.
const MARGIN_MS: u64 = 250;

/// The time before the end of a stop at which requests that were not sent to a backend server are refused, in milliseconds.
const LAST_REFUSALS_MS: u64 = 250;

/// How many times the median latency of its route must remain for a request to be accepted.
const ACCEPTED_MEDIANS: f64 = 3.0;

/// The largest share of requests sent at a time that the end of the stop may cut. A cut request may have run, while one
/// that is refused is free to go to another VM.
const MAX_CUT_SHARE: f64 = 0.1;

/// The time after the end of a stall during which a signal that is noticed may have been sent in it, in milliseconds. Which of
/// the tasks that are due runs first after a stall is not defined.
const STALL_RECENT_MS: u64 = 200;

/// When the process ran and when it stood still, as its ticks show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Liveness {
    /// When it last ticked.
    ticked_ms: u64,
    /// The start and the end of the last stall, if there was one.
    stall: Option<(u64, u64)>,
}

impl Liveness {
    /// Records a tick; `max_gap_ms` is the longest time between two that is no stall.
    #[must_use]
    pub fn ticked(self, max_gap_ms: u64, now_ms: u64) -> Liveness {
        let has_stalled = now_ms.saturating_sub(self.ticked_ms) > max_gap_ms;
        let stall = if has_stalled { Some((self.ticked_ms, now_ms)) } else { self.stall };
        Liveness { ticked_ms: now_ms, stall }
    }

    /// Returns the earliest time at which a signal may have been sent that is noticed now. Its sender counts the grace
    /// period from then.
    pub fn signal_since_ms(self, max_gap_ms: u64, now_ms: u64) -> u64 {
        match self.ticked(max_gap_ms, now_ms).stall {
            Some((from_ms, to_ms)) if now_ms - to_ms <= STALL_RECENT_MS => from_ms,
            _ => now_ms,
        }
    }
}

/// The time that a planned stop takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPeriod {
    /// When it began.
    pub since_ms: u64,
    /// The time after which the process is killed.
    pub grace_ms: u64,
}

/// A request that arrives during a planned stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopArrival {
    /// When it arrived.
    pub arrived_ms: u64,
    /// The time by which it must be answered.
    pub deadline_ms: u64,
    /// The median latency of its route, in milliseconds.
    pub median_ms: f64,
}

impl StopPeriod {
    /// Returns when the process leaves at the latest.
    pub fn ends_ms(self) -> u64 {
        self.since_ms + self.grace_ms.saturating_sub(MARGIN_MS)
    }

    /// Returns when requests that were not sent to a backend server are refused.
    pub fn last_refusals_ms(self) -> u64 {
        self.ends_ms().saturating_sub(LAST_REFUSALS_MS)
    }

    /// Tells whether a request is accepted.
    ///
    /// In the first half of the grace period, callers still arrive that resolved this VM earlier: their requests are served
    /// unless the expected latency exceeds the time left. Later ones are few and can go to another VM: they are accepted only
    /// if their whole timeout fits, as a request that takes three times the median latency would be cut.
    pub fn accepts(self, arrival: StopArrival, now_ms: u64) -> bool {
        let StopArrival { arrived_ms, deadline_ms, median_ms } = arrival;
        let left_at_arrival_ms = self.ends_ms().saturating_sub(arrived_ms);
        if left_at_arrival_ms < self.grace_ms / 2 {
            return left_at_arrival_ms >= deadline_ms.saturating_sub(arrived_ms);
        }
        self.ends_ms().saturating_sub(now_ms) >= (ACCEPTED_MEDIANS * median_ms) as u64
    }

    /// Tells whether a request may be sent to a backend server now, by the recent latencies of its route.
    pub fn may_send(self, latency: &LatencyHistogram, now_ms: u64) -> bool {
        let left_ms = self.ends_ms().saturating_sub(now_ms);
        latency.slower_share(left_ms as f64) <= MAX_CUT_SHARE
    }
}
