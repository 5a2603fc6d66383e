//! When to hedge: to send a pending request to a second backend server as well.
//!
//! A hedge is worth sending when it raises the probability of an answer in time by enough, given
//! how much of the retry budget is used.

use leverstream_health::BackendKey;

use crate::{Fleet, RouteKey};

/// The minimum gain in the probability of an answer in time: a hedge takes a slot for one service
/// time, and the retry budget covers one request in five.
const MIN_GAIN: f64 = 0.2;

/// The used share of the retry budget up to which the minimum gain suffices; steady failure
/// episodes use a third.
const AMPLE_USED_SHARE: f64 = 0.4;

/// The interval between two checks, as a share of the route's median latency.
const CHECK_INTERVAL_SHARE: f64 = 0.125;

/// The minimum interval between two checks, in milliseconds.
const MIN_CHECK_INTERVAL_MS: u64 = 5;

/// A repeatable request in flight at one or more backend servers.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest<'a> {
    /// Its route.
    pub route: RouteKey,
    /// The backend servers that it was sent to, with the send times.
    pub sends_in_flight: &'a [(BackendKey, u64)],
    /// The time by which the answer meets the objective.
    pub on_time_ms: u64,
    /// The time after which the answer is useless.
    pub deadline_ms: u64,
}

/// Returns how much a hedge to a sound backend server raises the probability of an answer in time.
///
/// Once an answer within the objective is no longer likely, the deadline counts instead.
pub fn hedge_gain(fleet: &Fleet, pending: &PendingRequest<'_>, now_ms: u64) -> f64 {
    let latency = &fleet.route(pending.route).latency;
    let is_late = now_ms as f64 + latency.median_ms() > pending.on_time_ms as f64;
    let until_ms = if is_late { pending.deadline_ms } else { pending.on_time_ms };
    let miss = |(key, since_ms): &(BackendKey, u64)| {
        fleet.miss_chance(*key, pending.route, *since_ms, until_ms, now_ms)
    };
    let miss_chance: f64 = pending.sends_in_flight.iter().map(miss).product();
    let left_ms = until_ms.saturating_sub(now_ms) as f64;
    miss_chance * (1.0 - latency.slower_share(left_ms))
}

/// Tells whether a hedge with such a gain is worth sending, given the used share of the retry
/// budget.
///
/// The rest of the budget is kept for larger gains: a retry after an error gains nearly a whole
/// answer.
pub fn is_hedge_worthwhile(gain: f64, used_share: f64) -> bool {
    let scarcity = ((used_share - AMPLE_USED_SHARE) / (1.0 - AMPLE_USED_SHARE)).clamp(0.0, 1.0);
    gain >= MIN_GAIN + (1.0 - MIN_GAIN) * scarcity
}

/// Returns the time from `now_ms` until the next check whether to hedge. The first check comes at
/// the median latency, when half of the answers have arrived, or earlier if the backend server is
/// so doubtful that a hedge is worthwhile at once.
pub fn next_hedge_check_ms(fleet: &Fleet, pending: &PendingRequest<'_>, now_ms: u64) -> u64 {
    let median_ms = fleet.route(pending.route).latency.median_ms();
    let interval_ms = ((median_ms * CHECK_INTERVAL_SHARE) as u64).max(MIN_CHECK_INTERVAL_MS);
    if hedge_gain(fleet, pending, now_ms) >= MIN_GAIN {
        return interval_ms;
    }
    let last_ms =
        pending.sends_in_flight.iter().map(|(_, since_ms)| *since_ms).max().unwrap_or(now_ms);
    let first_ms = (last_ms + median_ms as u64).saturating_sub(now_ms);
    first_ms.max(interval_ms)
}
