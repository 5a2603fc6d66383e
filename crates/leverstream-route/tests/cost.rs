//! Tests of the choice of a backend server by cost.

use leverstream_route::{Choice, Claim, FloorState, choose_by_cost};
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// An idle, sound backend server in the VM's hall.
const SOUND: Choice = Choice {
    load: 0,
    slots: 3,
    far_cost: 0.0,
    is_cold: false,
    failure_chance: 0.02,
    slowness: 1.0,
    unobserved_failure_chance: 0.1,
    floor_state: FloorState {
        is_sound: true,
        is_steady: true,
        unused_ms: 0,
        bad_age_ms: u64::MAX,
        claim_place: 0.0,
    },
    claim: Claim::None,
    is_tried: false,
    sample_weight: 1.0,
};

/// The same with a high chance of failure.
const FAILING: Choice = Choice { failure_chance: 0.8, ..SOUND };

/// The same without a free slot.
const FULL: Choice = Choice { load: 3, ..SOUND };

#[parameterized(
    less_load = { &[Choice { load: 1, ..SOUND }, SOUND], Some(1) },
    near_before_far = { &[Choice { far_cost: 0.4, ..SOUND }, Choice { load: 1, ..SOUND }], Some(1) },
    far_before_a_full_near_one = { &[FULL, Choice { far_cost: 0.4, ..SOUND }], Some(1) },
    warm_before_cold = { &[Choice { is_cold: true, ..SOUND }, SOUND], Some(1) },
    fast_before_slow = { &[Choice { slowness: 4.0, ..SOUND }, Choice { load: 1, ..SOUND }], Some(1) },
    untried_before_tried = { &[Choice { is_tried: true, ..SOUND }, Choice { load: 2, ..SOUND }], Some(1) },
    tried_if_there_is_no_other = { &[Choice { is_tried: true, ..SOUND }], Some(0) },
    sound_before_failing = { &[FAILING, Choice { load: 2, ..SOUND }], Some(1) },
    waits_for_a_sound_one = { &[FAILING, FULL], None },
    failing_if_none_is_sound = { &[FAILING], Some(0) },
    preferred_by_the_floor = { &[SOUND, Choice { claim: Claim::Preferred, failure_chance: 0.1, ..SOUND }], Some(1) },
    preferred_but_failing = { &[SOUND, Choice { claim: Claim::Preferred, ..FAILING }], Some(0) },
    required = { &[SOUND, Choice { claim: Claim::Required, far_cost: 0.4, ..SOUND }], Some(1) },
    required_but_full = { &[SOUND, Choice { claim: Claim::Required, ..FULL }], Some(0) },
    no_choices = { &[], None },
)]
fn choice_with_lowest_cost_is_chosen(choices: &[Choice], expected: Option<usize>) {
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(choose_by_cost(choices, true, false, &mut rng), expected);
    assert_eq!(choose_by_cost(choices, false, false, &mut rng), expected);
}

#[test]
fn request_that_waited_long_enough_accepts_a_failing_backend() {
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(choose_by_cost(&[FULL, FAILING], false, true, &mut rng), Some(1));
}

#[test]
fn likely_failure_costs_more_for_an_unrepeatable_request() {
    let doubtful = Choice { failure_chance: 0.2, ..SOUND };
    let busy = Choice { load: 2, ..SOUND };
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(choose_by_cost(&[doubtful, busy], true, false, &mut rng), Some(0));
    assert_eq!(choose_by_cost(&[doubtful, busy], false, false, &mut rng), Some(1));
}

#[test]
fn ties_are_broken_at_random() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = [0; 3];
    for _ in 0..3_000 {
        counts[choose_by_cost(&[SOUND; 3], true, false, &mut rng).expect("one is free")] += 1;
    }
    assert!(counts.iter().all(|count| (900..1_100).contains(count)), "{counts:?}");
}

#[test]
fn unobserved_backend_is_not_avoided() {
    // If servers spend two fifths of the time in failure episodes, an unobserved one may well be in
    // one.
    let unobserved = Choice { failure_chance: 0.36, unobserved_failure_chance: 0.36, ..SOUND };
    assert!(!unobserved.is_avoided(false));
    assert!(Choice { failure_chance: 0.42, ..unobserved }.is_avoided(false));
    assert!(Choice { unobserved_failure_chance: 0.1, ..unobserved }.is_avoided(false));
}
