//! The floor: the share of a service's sound backend servers that must get work even while others
//! fail.
//!
//! A backend server is sound if it has not failed recently, and used if a request reached it within
//! [`NON_REPEATABLE_CLAIM_IDLE_MS`]. [`assign_claims`] marks the unused ones that the next request
//! must or should go to.
//!
//! The users ask for the floor only while a service leaves many requests unserved, but judge the two
//! seconds before as well. All VMs may lose power at any moment, so the floor is kept at every
//! moment: each backend server gets a request when it is due ([`is_due`]).

use leverstream_route::{Choice, Claim, FloorState};

/// The idle time after which a repeatable request may claim a backend server, in milliseconds. It
/// is shorter than for other requests, which lose more by a failure.
const REPEATABLE_CLAIM_IDLE_MS: u64 = 1_000;

/// The idle time after which a non-repeatable request may claim a backend server, in milliseconds:
/// the users measure over two seconds, and the next request takes a while to arrive.
const NON_REPEATABLE_CLAIM_IDLE_MS: u64 = 1_700;

/// The time without a request after which a backend server that did not fail last is due for a
/// non-repeatable one, in milliseconds.
const NON_REPEATABLE_DUE_MS: u64 = 1_400;

/// How much later the last VM claims such a backend server than the first, in milliseconds: all of
/// them do within two seconds.
const CLAIM_SPREAD_MS: f64 = 400.0;

/// The time after the last failure of a suspected backend server from which it is due for a
/// repeatable request, in milliseconds.
///
/// The users judge a backend server again six seconds after a disturbance has ended, and two seconds
/// after a failure of its own.
const SUSPECTED_FOR_MS: u64 = 2_000;

/// The time without a request or a failure after which a backend server in question is due for a
/// non-repeatable request, which is lost if the backend server fails.
const IN_QUESTION_DUE_MS: u64 = 3_000;

/// The chance of failure from which a backend server is more likely failing than not: two failures
/// in a row, and not one.
const LIKELY_FAILING_FROM: f64 = 0.5;

/// The time after which such a backend server is due for a non-repeatable request, in milliseconds.
/// With the spread it is less than the eight seconds after which the users miss a recovered one.
const LIKELY_FAILING_DUE_MS: u64 = 6_000;

/// How much later the last VM claims a backend server in question than the first, in milliseconds.
/// A wider spread makes it rarer that several lose requests there at once.
const IN_QUESTION_SPREAD_MS: f64 = 1_500.0;

/// The share that repeatable requests aim for while many requests fail, as a failed trial costs
/// them little.
///
/// The users measure the floor among the backend servers without a recent disturbance, which a VM
/// cannot tell apart. If those are nine of ninety, three of the nine are idle at once in 1 of 200
/// samples when one in twenty is idle overall, but in every fifth when the share is the floor
/// itself. Non-repeatable requests aim for the floor: in two deployments, more trials made another
/// 0.5 % of all requests fail.
const FAILING_SHARE: f64 = 0.95;

/// A service's floor and the state that decides how it applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Floor {
    /// The share of sound backend servers that must have work; 0 if none must.
    pub share: f64,
    /// Whether many requests for the service fail, as observed by this VM.
    pub requests_fail: bool,
    /// Whether many attempts at its backend servers fail, from any VM.
    pub attempts_fail: bool,
    /// The request rate of the service over all VMs, if known.
    pub requests_per_s: Option<f64>,
}

impl Floor {
    /// Tells whether the request rate suffices to reach the share of `sound` backend servers.
    ///
    /// If not, claims would divert every request from the proven backend servers and cause
    /// avoidable failures, without meeting the floor.
    fn is_reachable(&self, sound: f64) -> bool {
        let reached = |per_s: f64| per_s * NON_REPEATABLE_CLAIM_IDLE_MS as f64 / 1_000.0;
        self.requests_per_s.is_none_or(|per_s| reached(per_s) >= self.share * sound)
    }
}

/// Tells whether a backend server must get a request now, whatever else is known.
///
/// A backend server that did not fail when it was last reached stays in use, also while so much of its
/// service fails that nothing is likely sound. A repeatable request may end elsewhere before a
/// suspected backend server has answered, which shows nothing about it, so only a failure delays the
/// next trial, and not the trial itself.
fn is_due(choice: &Choice, is_repeatable: bool) -> bool {
    let FloorState { unused_ms, bad_age_ms, claim_place, .. } = choice.floor_state;
    let after = |first_ms: u64, spread_ms: f64| first_ms + (claim_place * spread_ms) as u64;
    let has_failed_last = bad_age_ms <= unused_ms;
    let is_in_question = choice.is_suspected() || (has_failed_last && !is_repeatable);
    match (is_in_question, is_repeatable) {
        (false, false) => unused_ms >= after(NON_REPEATABLE_DUE_MS, CLAIM_SPREAD_MS),
        (false, true) => unused_ms >= after(REPEATABLE_CLAIM_IDLE_MS, CLAIM_SPREAD_MS),
        (true, false) => {
            let is_likely_failing =
                choice.is_suspected() && choice.failure_chance >= LIKELY_FAILING_FROM;
            let due_ms = if is_likely_failing { LIKELY_FAILING_DUE_MS } else { IN_QUESTION_DUE_MS };
            unused_ms.min(bad_age_ms) >= after(due_ms, IN_QUESTION_SPREAD_MS)
        }
        (true, true) => {
            unused_ms >= after(REPEATABLE_CLAIM_IDLE_MS, CLAIM_SPREAD_MS)
                && bad_age_ms >= after(SUSPECTED_FOR_MS, IN_QUESTION_SPREAD_MS)
        }
    }
}

/// Sets the floor's claim on each backend server of a service.
///
/// One that is due must get the request, at any time. While the service fails, every idle backend
/// server that is not in doubt is claimed, including new and slow ones; those in doubt only while the
/// share is below the floor. Repeatable requests follow claims as soon as attempts fail, others only
/// when requests fail, and only to backend servers that are likely sound unless the share is below
/// the floor. Otherwise idle backend servers are preferred while the share is low, as the requests in
/// flight may yet fail.
pub fn assign_claims(choices: &mut [Choice], floor: Floor, is_repeatable: bool) {
    if !floor.is_reachable(sound_count(choices)) {
        return;
    }
    let claim_idle_ms =
        if is_repeatable { REPEATABLE_CLAIM_IDLE_MS } else { NON_REPEATABLE_CLAIM_IDLE_MS };
    let fails = floor.requests_fail || (floor.attempts_fail && is_repeatable);
    let share = if floor.requests_fail && is_repeatable {
        floor.share.max(FAILING_SHARE)
    } else {
        floor.share
    };
    let is_low = used_share(choices) < share;
    for choice in choices.iter_mut() {
        let is_idle = choice.floor_state.is_sound && choice.floor_state.unused_ms >= claim_idle_ms;
        let is_clear =
            !choice.is_in_doubt(is_repeatable) && (is_repeatable || choice.is_likely_sound());
        choice.claim = match is_idle {
            _ if floor.share > 0.0 && is_due(choice, is_repeatable) => Claim::Required,
            true if fails && (is_clear || is_low) => Claim::Required,
            true if is_low => Claim::Preferred,
            _ => Claim::None,
        };
    }
}

/// Returns the share of sound backend servers that are used, from 0 to 1: the lower of the share
/// among all and the share among those that are neither slow nor new.
///
/// The users may exclude slow and new backend servers from the floor; if those got most of the
/// work, the share among all would hide that the others are idle.
pub fn used_share(choices: &[Choice]) -> f64 {
    let share = |steady_only: bool| {
        let is_counted = |floor_state: &FloorState| floor_state.is_steady || !steady_only;
        let (mut used, mut counted) = (0.0, 0.0);
        for choice in sound(choices).filter(|choice| is_counted(&choice.floor_state)) {
            counted += choice.sample_weight;
            if choice.floor_state.unused_ms < NON_REPEATABLE_CLAIM_IDLE_MS {
                used += choice.sample_weight;
            }
        }
        if used == counted { 1.0 } else { used / counted }
    };
    share(false).min(share(true))
}

/// Returns the number of sound backend servers, including those that sampled ones represent.
fn sound_count(choices: &[Choice]) -> f64 {
    sound(choices).map(|choice| choice.sample_weight).sum()
}

/// Iterates over the sound backend servers.
fn sound(choices: &[Choice]) -> impl Iterator<Item = &Choice> {
    choices.iter().filter(|choice| choice.floor_state.is_sound)
}
