use leverstream_health::BackendKey;

use crate::{Fleet, RouteKey};

/// The gain in the chance of an answer in time from which a second backend server is asked: a repeat takes
/// a slot for one service time, and the allowance covers one request in five.
const WORTH_FROM: f64 = 0.2;

/// Up to which part of what may be repeated is used hedges need not win more: in steady episodes a third is.
const PLENTY_PART: f64 = 0.4;

/// The part of a route's median time between two looks at whether a hedge pays.
const LOOK_PART: f64 = 0.125;

/// The shortest time between two looks, in milliseconds.
const LOOK_LEAST_MS: u64 = 5;

/// A repeatable request that is under way at one or more backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Pending<'a> {
    /// Its route.
    pub route: RouteKey,
    /// Where it is under way, and since when.
    pub flights: &'a [(BackendKey, u64)],
    /// Until when an answer is on time.
    pub on_time_ms: u64,
    /// Until when an answer is of use.
    pub deadline_ms: u64,
}

/// What one more backend server would win for a pending request: the rise in the chance of an answer in
/// time, as far as the one asked is sound.
///
/// Once an answer on time is no longer likely, an answer at all counts.
pub fn hedge_gain(fleet: &Fleet, pending: &Pending<'_>, now_ms: u64) -> f64 {
    let times = &fleet.route(pending.route).times;
    let is_late = now_ms as f64 + times.median_ms() > pending.on_time_ms as f64;
    let until_ms = if is_late { pending.deadline_ms } else { pending.on_time_ms };
    let miss = |(key, since_ms): &(BackendKey, u64)| {
        fleet.miss_chance(*key, pending.route, *since_ms, until_ms, now_ms)
    };
    let missed: f64 = pending.flights.iter().map(miss).product();
    let left_ms = until_ms.saturating_sub(now_ms) as f64;
    missed * (1.0 - times.slower_share(left_ms))
}

/// Tells whether a hedge pays that wins so much, where such a part of what may be repeated is used up.
///
/// What is left is kept for those that win more: a repeat after an error wins nearly a whole answer.
pub fn is_hedge_worth(gain: f64, used_part: f64) -> bool {
    let scarcity = ((used_part - PLENTY_PART) / (1.0 - PLENTY_PART)).clamp(0.0, 1.0);
    gain >= WORTH_FROM + (1.0 - WORTH_FROM) * scarcity
}

/// How long after `now_ms` to look again whether a hedge pays: half of the answers come before that is asked
/// for the first time, unless it pays from the start, as the backend server was in doubt.
pub fn hedge_look_ms(fleet: &Fleet, pending: &Pending<'_>, now_ms: u64) -> u64 {
    let median_ms = fleet.route(pending.route).times.median_ms();
    let again_ms = ((median_ms * LOOK_PART) as u64).max(LOOK_LEAST_MS);
    if hedge_gain(fleet, pending, now_ms) >= WORTH_FROM {
        return again_ms;
    }
    let last_ms = pending.flights.iter().map(|(_, since_ms)| *since_ms).max().unwrap_or(now_ms);
    let first_ms = (last_ms + median_ms as u64).saturating_sub(now_ms);
    first_ms.max(again_ms)
}
