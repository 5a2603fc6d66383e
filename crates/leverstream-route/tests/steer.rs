//! Where a request goes, and what may be repeated.

use leverstream_route::{Choice, RetryAllowance, RetryWindow, steer};
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// A sound backend server in the VM's hall with nothing to do.
const SOUND: Choice = Choice {
    load: 0,
    slots: 3,
    is_far: false,
    is_cold: false,
    failure_chance: 0.02,
    slowness: 1.0,
    is_avoided: false,
    is_owed: false,
    is_tried: false,
};

/// Another like it that fails nearly always.
const FAILING: Choice = Choice { failure_chance: 0.8, is_avoided: true, ..SOUND };

/// One without a free slot.
const FULL: Choice = Choice { load: 3, ..SOUND };

#[parameterized(
    less_load = { &[Choice { load: 1, ..SOUND }, SOUND], Some(1) },
    near = { &[Choice { is_far: true, ..SOUND }, Choice { load: 1, ..SOUND }], Some(1) },
    far_before_a_full_near_one = { &[FULL, Choice { is_far: true, ..SOUND }], Some(1) },
    warm = { &[Choice { is_cold: true, ..SOUND }, SOUND], Some(1) },
    fast = { &[Choice { slowness: 4.0, ..SOUND }, Choice { load: 1, ..SOUND }], Some(1) },
    not_tried = { &[Choice { is_tried: true, ..SOUND }, Choice { load: 2, ..SOUND }], Some(1) },
    tried_if_there_is_no_other = { &[Choice { is_tried: true, ..SOUND }], Some(0) },
    not_a_failing_one = { &[FAILING, Choice { load: 2, ..SOUND }], Some(1) },
    waits_for_a_sound_one = { &[FAILING, FULL], None },
    none_is_sound = { &[FAILING], Some(0) },
    owed_work = { &[SOUND, Choice { is_owed: true, is_far: true, ..SOUND }], Some(1) },
    owed_work_but_full = { &[SOUND, Choice { is_owed: true, ..FULL }], Some(0) },
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
fn no_window_holds_more_repeats_than_allowed() {
    let allowance = RetryAllowance { ratio: 0.2, slack: 30.0, window_ms: 10_000 };
    let mut window = RetryWindow::default();
    let mut repeats: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for now_ms in (0..60_000).step_by(20) {
        // Requests come in waves; repeats are asked for all the time.
        if now_ms % 20_000 < 10_000 {
            window.request(now_ms);
            requests.push(now_ms);
        }
        if window.take(allowance, 0.5, now_ms) {
            repeats.push(now_ms);
        }
    }
    assert!(repeats.len() > 50);
    for from_ms in (0..50_000).step_by(100) {
        let within = |times: &[u64], from_ms: u64| {
            times.iter().filter(|at| (from_ms..from_ms + 10_000).contains(at)).count() as f64
        };
        // Requests count from the window or from the one before it.
        let counted =
            within(&requests, from_ms).max(within(&requests, from_ms.saturating_sub(10_000)));
        let allowed = allowance.ratio * counted + allowance.slack * 0.5;
        assert!(within(&repeats, from_ms) <= allowed, "from {from_ms} ms");
    }
}
