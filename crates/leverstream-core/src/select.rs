//! The choice of a backend server for one request.

use leverstream_health::BackendKey;
use leverstream_route::{Choice, choose_by_cost};
use rand::Rng;

use crate::{Candidates, Fleet, Floor, RequestOrigin, assign_claims};

/// The share of its objective that a repeatable request waits before it accepts an avoided backend
/// server: a trial only costs an idle slot, and the request keeps looking for a sound one.
const AVOID_WAIT_SHARE_REPEATABLE: f64 = 0.1;

/// The share of its objective that a non-repeatable request waits before it accepts an avoided
/// backend server.
const AVOID_WAIT_SHARE_NON_REPEATABLE: f64 = 0.6;

/// The fixed cost of a backend server in another data hall, on the scale of [`Choice::cost`]: the
/// round trip, and that other VMs know its load better.
const FAR_COST: f64 = 0.2;

/// The cost of a failure visible to callers, on the scale of [`Choice::cost`]; traffic between data
/// halls is weighed against it.
const FAILURE_COST: f64 = 8.0;

/// The share of failed attempts from which the attempts count as failing; the floor is required
/// from the same share of failed requests.
const ATTEMPTS_FAILING_SHARE: f64 = 0.1;

/// What a request needs from a backend server.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The id of this VM.
    pub vm: u64,
    /// The data hall of this VM.
    pub hall: &'a str,
    /// Whether the request may be repeated after a failure.
    pub is_repeatable: bool,
    /// The backend servers that the request has already been sent to.
    pub tried: &'a [BackendKey],
    /// How long it has waited, in milliseconds.
    pub waited_ms: u64,
    /// The cost of its traffic between data halls, in units of a served request.
    pub far_bytes_cost: f64,
    /// The latency objective, in milliseconds.
    pub objective_ms: u64,
    /// The share of sound backend servers that must have work.
    pub floor_share: f64,
    /// Whether many requests for the service fail, as observed by this VM.
    pub requests_fail: bool,
    /// The request rate of the service over all VMs, if known.
    pub requests_per_s: Option<f64>,
    /// Whether it takes no trials for the floor, as less urgent requests arrive that take them.
    pub is_spared: bool,
}

/// The chosen backend server, with the basis of the choice for the log.
#[derive(Clone, Copy, Debug)]
pub struct Pick {
    /// The backend server.
    pub key: BackendKey,
    /// How it was evaluated.
    pub choice: Choice,
    /// The number of candidates.
    pub among: usize,
    /// The number of avoided candidates.
    pub avoided: usize,
}

/// Chooses a backend server with a free slot; none if the request should wait.
pub fn choose(
    fleet: &Fleet,
    request: &PickRequest<'_>,
    now_ms: u64,
    rng: &mut impl Rng,
) -> Option<Pick> {
    let Candidates { keys, known, sample_weight } = fleet.candidates(request.service, now_ms, rng);
    let origin = RequestOrigin {
        vm: request.vm,
        hall: request.hall,
        far_cost: FAR_COST + FAILURE_COST * request.far_bytes_cost,
        tried: request.tried,
    };
    let mut choices: Vec<Choice> =
        keys.iter().map(|key| fleet.choice(*key, &origin, now_ms)).collect();
    choices.iter_mut().skip(known).for_each(|choice| choice.sample_weight = sample_weight);
    let floor = Floor {
        share: request.floor_share,
        requests_fail: request.requests_fail,
        attempts_fail: fleet.failed_share(request.service) >= ATTEMPTS_FAILING_SHARE,
        requests_per_s: request.requests_per_s,
    };
    // A request that has failed once, or that is more urgent than others, goes to proven backend
    // servers, whatever the floor claims.
    if request.tried.is_empty() && !request.is_spared {
        assign_claims(&mut choices, floor, request.is_repeatable);
    }
    let wait_share = if request.is_repeatable {
        AVOID_WAIT_SHARE_REPEATABLE
    } else {
        AVOID_WAIT_SHARE_NON_REPEATABLE
    };
    let accepts_avoided = request.waited_ms as f64 >= request.objective_ms as f64 * wait_share;
    let index = choose_by_cost(&choices, request.is_repeatable, accepts_avoided, rng)?;
    let avoided = choices.iter().filter(|choice| choice.is_avoided(request.is_repeatable)).count();
    Some(Pick { key: keys[index], choice: choices[index], among: choices.len(), avoided })
}

impl Pick {
    /// Returns the probability of a failure, rounded to two decimal places.
    pub fn failure_chance(&self) -> f64 {
        (self.choice.failure_chance * 100.0).round() / 100.0
    }
}
