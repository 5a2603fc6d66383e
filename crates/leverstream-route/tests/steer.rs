//! Where a request goes, and what may be repeated.

use leverstream_route::{Choice, RetryAllowance, RetryWindow, Tally, Told, steer};
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
        if window.take(allowance, Some(0.5), now_ms) {
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

#[test]
fn vms_that_hear_each_other_stay_within_the_allowance_together_when_one_takes_anothers_place() {
    let allowance = RetryAllowance { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
    let mut vms = [RetryWindow::default(), RetryWindow::default(), RetryWindow::default()];
    let mut repeats: Vec<u64> = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        // The second VM takes the place of the first after 15 s; each asks for repeats all the time.
        let busy = if now_ms < 15_000 { [0, 2] } else { [1, 2] };
        for vm in busy {
            if now_ms % 50 == 0 {
                vms[vm].request(now_ms);
            }
            // One that has just been placed has its part of the slack only.
            let part = (vm == 1 && now_ms < 25_000).then_some(0.5);
            if vms[vm].take(allowance, part, now_ms) {
                repeats.push(now_ms);
            }
        }
        // Only those that share the work tell each other.
        for (from, to) in [(busy[0], 2), (2, busy[0])] {
            let (total, recent) = (vms[from].total(), vms[from].recent(10_000, now_ms));
            vms[to].hear(from as u64, Told { total, recent }, 10_000, now_ms);
        }
    }
    for from_ms in (0..30_000).step_by(100) {
        let count = repeats.iter().filter(|at| (from_ms..from_ms + 10_000).contains(*at)).count();
        // Two VMs have 20 requests a second each.
        assert!(count as f64 <= 0.2 * 400.0 + 60.0, "{count} from {from_ms} ms");
    }
    let last = repeats.iter().filter(|at| **at >= 30_000).count();
    assert!(last as f64 >= 0.7 * (0.2 * 400.0 + 60.0), "{last}: the allowance is used");
}

#[test]
fn a_late_tally_is_not_counted_twice() {
    let allowance = RetryAllowance { ratio: 0.0, slack: 10.0, window_ms: 10_000 };
    let mut window = RetryWindow::default();
    for repeats in [0, 4, 2, 4, 6] {
        let total = Tally { requests: 50, repeats };
        window.hear(7, Told { total, recent: Tally::default() }, 10_000, 1_000);
    }
    let left = (0..20).filter(|_| window.take(allowance, None, 1_000)).count();
    assert_eq!(left, 2, "6 of 8 were used elsewhere");
}

#[test]
fn one_that_begins_to_listen_takes_over_what_others_know_of_the_window() {
    let allowance = RetryAllowance { ratio: 0.0, slack: 10.0, window_ms: 10_000 };
    let mut window = RetryWindow::default();
    // It was told something long before, when the fleet started.
    window.hear(7, Told::default(), 10_000, 1_000);
    let recent = Tally { requests: 50, repeats: 7 };
    let total = Tally { requests: 50, repeats: 9 };
    for vm in [7, 8, 7] {
        window.hear(vm, Told { total, recent }, 10_000, 21_000);
    }
    assert!(window.take(allowance, None, 21_000), "7 of 8 were used elsewhere");
    assert!(!window.take(allowance, None, 21_100));
    assert!(window.take(allowance, None, 32_000), "what was told is out of the window");
}

#[test]
fn requests_that_are_taken_over_leave_the_window_as_they_came() {
    let mut window = RetryWindow::default();
    let recent = Tally { requests: 100, repeats: 10 };
    window.hear(7, Told { total: recent, recent }, 10_000, 20_000);
    assert_eq!(window.recent(10_000, 20_000), recent);
    // A step more than the window counts.
    assert_eq!(window.recent(10_000, 25_000), Tally { requests: 60, repeats: 10 });
    assert_eq!(window.recent(10_000, 31_000), Tally::default());
}
