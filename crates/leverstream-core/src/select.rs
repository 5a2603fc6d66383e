use leverstream_health::BackendKey;
use leverstream_route::{Choice, choose_by_cost};
use rand::Rng;

use crate::{Asker, Candidates, Fleet, Floor, claim};

/// The part of its objective that a repeatable request waits before it takes a backend server that
/// is better avoided: a trial costs a slot that is idle, and the request goes on looking for a sound one.
const AVOID_PART_REPEATABLE: f64 = 0.1;

/// The same for a request that cannot be repeated.
const AVOID_PART_ONCE: f64 = 0.6;

/// What a backend server in another data hall costs besides the bytes, in the measure of
/// [`Choice::cost`]: the way there and back, and that other VMs know its load better.
const FAR_COST: f64 = 0.2;

/// What a failure that callers see costs, in the measure of [`Choice::cost`]; bytes between data halls are
/// weighed against it.
const FAILURE_COST: f64 = 8.0;

/// The share of failed attempts from which many fail: that share of requests is where the floor is due.
const ATTEMPTS_FAIL_FROM: f64 = 0.1;

/// What a request needs of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a str,
    /// The data hall of the VM that asks.
    pub hall: &'a str,
    /// Whether the request may be sent on once more if it fails there.
    pub is_repeatable: bool,
    /// Where it was already.
    pub tried: &'a [BackendKey],
    /// How long it has waited, in milliseconds.
    pub waited_ms: u64,
    /// What its bytes cost between data halls, in requests served.
    pub far_bytes_cost: f64,
    /// The time within which its answer is on time.
    pub objective_ms: u64,
    /// The share of sound backend servers that must have work.
    pub floor_share: f64,
    /// Whether many of the requests for the service fail, as far as this VM sees.
    pub requests_fail: bool,
    /// How many requests a second come for the service to all VMs together, as far as known.
    pub requests_per_s: Option<f64>,
}

/// A backend server that was chosen, and what that rested on, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Pick {
    /// The backend server.
    pub key: BackendKey,
    /// How it looked.
    pub choice: Choice,
    /// Among how many it was chosen.
    pub among: usize,
    /// How many of those were avoided.
    pub avoided: usize,
}

/// Chooses a backend server with a free slot, unless the request had better wait.
pub fn choose(fleet: &Fleet, want: &Want<'_>, now_ms: u64, rng: &mut impl Rng) -> Option<Pick> {
    let Candidates { keys, known, stands_for } = fleet.candidates(want.service, now_ms, rng);
    let asker = Asker {
        hall: want.hall,
        far_cost: FAR_COST + FAILURE_COST * want.far_bytes_cost,
        tried: want.tried,
    };
    let mut choices: Vec<Choice> =
        keys.iter().map(|key| fleet.choice(*key, &asker, now_ms)).collect();
    choices.iter_mut().skip(known).for_each(|choice| choice.sample_weight = stands_for);
    let floor = Floor {
        share: want.floor_share,
        requests_fail: want.requests_fail,
        attempts_fail: fleet.failed_share(want.service) >= ATTEMPTS_FAIL_FROM,
        requests_per_s: want.requests_per_s,
    };
    // A request that has failed once already goes on to the proven.
    if want.tried.is_empty() {
        claim(&mut choices, floor, want.is_repeatable);
    }
    let part = if want.is_repeatable { AVOID_PART_REPEATABLE } else { AVOID_PART_ONCE };
    let accepts_avoided = want.waited_ms as f64 >= want.objective_ms as f64 * part;
    let index = choose_by_cost(&choices, want.is_repeatable, accepts_avoided, rng)?;
    let avoided = choices.iter().filter(|choice| choice.is_avoided(want.is_repeatable)).count();
    Some(Pick { key: keys[index], choice: choices[index], among: choices.len(), avoided })
}

impl Pick {
    /// The chance of a failure, to two digits.
    pub fn failure_chance(&self) -> f64 {
        (self.choice.failure_chance * 100.0).round() / 100.0
    }
}
