//! Where a request goes.

use leverstream_route::{Choice, Claim, FloorStanding, steer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// A sound backend server in the VM's hall with nothing to do.
const SOUND: Choice = Choice {
    load: 0,
    slots: 3,
    far_cost: 0.0,
    is_cold: false,
    failure_chance: 0.02,
    slowness: 1.0,
    unseen_chance: 0.1,
    standing: FloorStanding { is_sound: true, is_steady: true, unused_ms: 0 },
    claim: Claim::None,
    is_tried: false,
    stands_for: 1.0,
};

/// Another like it that fails nearly always.
const FAILING: Choice = Choice { failure_chance: 0.8, ..SOUND };

/// One without a free slot.
const FULL: Choice = Choice { load: 3, ..SOUND };

#[parameterized(
    less_load = { &[Choice { load: 1, ..SOUND }, SOUND], Some(1) },
    near = { &[Choice { far_cost: 0.4, ..SOUND }, Choice { load: 1, ..SOUND }], Some(1) },
    far_before_a_full_near_one = { &[FULL, Choice { far_cost: 0.4, ..SOUND }], Some(1) },
    warm = { &[Choice { is_cold: true, ..SOUND }, SOUND], Some(1) },
    fast = { &[Choice { slowness: 4.0, ..SOUND }, Choice { load: 1, ..SOUND }], Some(1) },
    not_tried = { &[Choice { is_tried: true, ..SOUND }, Choice { load: 2, ..SOUND }], Some(1) },
    tried_if_there_is_no_other = { &[Choice { is_tried: true, ..SOUND }], Some(0) },
    not_a_failing_one = { &[FAILING, Choice { load: 2, ..SOUND }], Some(1) },
    waits_for_a_sound_one = { &[FAILING, FULL], None },
    none_is_sound = { &[FAILING], Some(0) },
    idle_below_the_floor = { &[SOUND, Choice { claim: Claim::Preferred, failure_chance: 0.1, ..SOUND }], Some(1) },
    idle_and_failing = { &[SOUND, Choice { claim: Claim::Preferred, ..FAILING }], Some(0) },
    owed_work = { &[SOUND, Choice { claim: Claim::Owed, far_cost: 0.4, ..SOUND }], Some(1) },
    owed_work_but_full = { &[SOUND, Choice { claim: Claim::Owed, ..FULL }], Some(0) },
    nothing = { &[], None },
)]
fn the_cheapest_is_chosen(choices: &[Choice], expected: Option<usize>) {
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(steer(choices, true, false, &mut rng), expected);
    assert_eq!(steer(choices, false, false, &mut rng), expected);
}

#[test]
fn one_that_waited_long_enough_takes_a_failing_one() {
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(steer(&[FULL, FAILING], false, true, &mut rng), Some(1));
}

#[test]
fn doubt_weighs_more_when_a_failure_cannot_be_repeated() {
    let doubtful = Choice { failure_chance: 0.2, ..SOUND };
    let busy = Choice { load: 2, ..SOUND };
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(steer(&[doubtful, busy], true, false, &mut rng), Some(0));
    assert_eq!(steer(&[doubtful, busy], false, false, &mut rng), Some(1));
}

#[test]
fn equals_share_by_chance() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = [0; 3];
    for _ in 0..3_000 {
        counts[steer(&[SOUND; 3], true, false, &mut rng).expect("one is free")] += 1;
    }
    assert!(counts.iter().all(|count| (900..1_100).contains(count)), "{counts:?}");
}

#[test]
fn nobody_is_avoided_for_want_of_news() {
    // Where two fifths of the time is spent in episodes, one of which nothing is heard may well be in one.
    let unseen = Choice { failure_chance: 0.36, unseen_chance: 0.36, ..SOUND };
    assert!(!unseen.is_avoided(false));
    assert!(Choice { failure_chance: 0.42, ..unseen }.is_avoided(false));
    assert!(Choice { unseen_chance: 0.1, ..unseen }.is_avoided(false));
}
