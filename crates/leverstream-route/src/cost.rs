//! Chooses a backend server by cost: load, distance, cold start and the estimated chance of
//! failure.

use rand::Rng;

/// The cost of a certain failure (chance 1) for a repeatable request.
const FAILURE_COST_REPEATABLE: f64 = 2.5;

/// The cost of a certain failure for a request that can't be repeated.
const FAILURE_COST_UNREPEATABLE: f64 = 8.0;

/// The chance of failure from which a repeatable request avoids a backend server. If the server
/// stalls, there is time to send the request to another.
const AVOID_FROM_REPEATABLE: f64 = 0.5;

/// The chance of failure from which a request that can't be repeated avoids a backend server.
const AVOID_FROM_UNREPEATABLE: f64 = 0.35;

/// The additional cost of a backend server that has just started, because it works at half its
/// speed.
const COLD_START_COST: f64 = 0.3;

/// The chance of failure below which a backend server is probably sound: half the chance assumed
/// for an unobserved server when servers spend three tenths of the time in failure episodes.
const LIKELY_SOUND_BELOW: f64 = 0.15;

/// How far the chance of failure must exceed that of an unobserved backend server before a server
/// is avoided. Missing observations are no evidence of a fault.
const AVOID_MARGIN: f64 = 0.05;

/// The cost reduction for a backend server that the floor requires to get work. It outweighs the
/// cost of any doubt, so of several such servers the one with the lowest chance of failure gets the
/// request, unless it is full.
const REQUIRED_CREDIT: f64 = 10.0;

/// The cost reduction for an idle backend server while too few sound ones have work: about as much
/// as its rising chance of failure adds after some seconds without observations, when a third of
/// the backend servers are in an episode.
const IDLE_CREDIT: f64 = 1.0;

/// Costs that differ by less than this are equal, and ties are broken at random.
const COST_TOLERANCE: f64 = 0.01;

/// A backend server that a request can be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Requests in flight there, from all VMs as far as known.
    pub load: u32,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// The cost of another data hall; 0 in the VM's own hall.
    pub far_cost: f64,
    /// Whether it has just started.
    pub is_cold: bool,
    /// The chance that a request fails there, from 0 to 1.
    pub failure_chance: f64,
    /// Its response time as a multiple of that of its peers.
    pub slowness: f64,
    /// The chance that a request fails at a backend server of the service that has not been
    /// observed for long.
    pub unobserved_failure_chance: f64,
    /// Its state with regard to the floor.
    pub floor_state: FloorState,
    /// What the floor requires for it.
    pub claim: Claim,
    /// Whether this request was already sent there.
    pub is_tried: bool,
    /// The number of unobserved backend servers that it represents; 1 if only itself.
    pub sample_weight: f64,
}

/// The state of a backend server with regard to the floor, the share of sound backend servers that
/// must have work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FloorState {
    /// Whether it counts as sound, that is, has not failed recently.
    pub is_sound: bool,
    /// Whether it is neither slow nor new.
    pub is_steady: bool,
    /// The time since a request last reached it, in milliseconds; 0 if one is in flight.
    pub unused_ms: u64,
    /// The time since its last failure, in milliseconds; the largest number if it has not failed.
    pub bad_age_ms: u64,
    /// The place of this VM in the order in which VMs claim it, from 0 (first) to 1.
    pub claim_place: f64,
}

/// What the floor requires for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// No requirement.
    None,
    /// It is idle while too few sound ones have work, so it is preferred.
    Preferred,
    /// It must get work, even if it is in doubt.
    Required,
}

impl Choice {
    /// Returns the cost of sending a request there: the relative load after it, scaled by slowness,
    /// plus the other costs.
    fn cost(&self, is_repeatable: bool) -> f64 {
        let failure_cost =
            if is_repeatable { FAILURE_COST_REPEATABLE } else { FAILURE_COST_UNREPEATABLE };
        let load = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        let cold = if self.is_cold { COLD_START_COST } else { 0.0 };
        let credit = match self.claim {
            Claim::None => 0.0,
            Claim::Preferred => IDLE_CREDIT,
            Claim::Required => REQUIRED_CREDIT,
        };
        load * self.slowness + self.far_cost + cold + failure_cost * self.failure_chance - credit
    }

    /// Returns whether it is avoided while others can take the request.
    pub fn is_avoided(&self, is_repeatable: bool) -> bool {
        self.claim != Claim::Required && self.is_in_doubt(is_repeatable)
    }

    /// Returns whether its chance of failure is low enough for a request that can't be repeated,
    /// regardless of the other servers.
    pub fn is_likely_sound(&self) -> bool {
        self.failure_chance < LIKELY_SOUND_BELOW
    }

    /// Returns whether its observed chance of failure speaks against sending a request there.
    pub fn is_in_doubt(&self, is_repeatable: bool) -> bool {
        let avoid_from =
            if is_repeatable { AVOID_FROM_REPEATABLE } else { AVOID_FROM_UNREPEATABLE };
        self.failure_chance >= avoid_from.max(self.unobserved_failure_chance + AVOID_MARGIN)
    }

    /// Returns whether its outcomes speak against it, more than those of an unobserved one.
    pub fn is_suspected(&self) -> bool {
        self.failure_chance >= self.unobserved_failure_chance + AVOID_MARGIN
    }

    /// Returns whether it is in another data hall than the VM.
    pub fn is_far(&self) -> bool {
        self.far_cost > 0.0
    }

    /// Returns whether it has a free slot.
    fn is_free(&self) -> bool {
        self.load < self.slots
    }
}

/// Returns the index of the choice with the lowest cost, or `None` if the request should wait.
///
/// An avoided backend server is chosen only if no other is sound or `accepts_avoided` says that
/// waiting for another is not worth it. One that the request was already sent to is chosen only if
/// there is no other.
pub fn choose_by_cost(
    choices: &[Choice],
    is_repeatable: bool,
    accepts_avoided: bool,
    rng: &mut impl Rng,
) -> Option<usize> {
    let cheapest = |is_eligible: &dyn Fn(&Choice) -> bool, rng: &mut _| {
        let eligible = choices.iter().enumerate().filter(|(_, choice)| is_eligible(choice));
        index_of_lowest_cost(
            eligible.map(|(index, choice)| (index, choice.cost(is_repeatable))),
            rng,
        )
    };
    let has_untried = choices.iter().any(|choice| !choice.is_tried);
    let is_available = |choice: &Choice| choice.is_free() && (!choice.is_tried || !has_untried);
    let good = cheapest(&|choice| is_available(choice) && !choice.is_avoided(is_repeatable), rng);
    let has_sound_untried =
        choices.iter().any(|choice| !choice.is_avoided(is_repeatable) && !choice.is_tried);
    if good.is_some() || (has_sound_untried && !accepts_avoided) {
        return good;
    }
    cheapest(&is_available, rng)
}

/// Returns the index with the lowest cost; ties are broken at random.
fn index_of_lowest_cost(
    costs: impl Iterator<Item = (usize, f64)>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut equals = 0_u32;
    for (index, cost) in costs {
        match best {
            Some((_, least)) if cost > least + COST_TOLERANCE => {}
            Some((_, least)) if cost >= least - COST_TOLERANCE => {
                equals += 1;
                if rng.random_range(0..=equals) == 0 {
                    best = Some((index, cost));
                }
            }
            _ => {
                best = Some((index, cost));
                equals = 0;
            }
        }
    }
    best.map(|(index, _)| index)
}
