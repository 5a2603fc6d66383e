//! What all VMs together may repeat.

use leverstream_route::{RetryAllowance, RetryWindow, Tally, Told};

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

#[test]
fn a_window_of_which_nobody_asks_for_a_sum_stays_small() {
    let mut window = RetryWindow::default();
    let hear = |window: &mut RetryWindow, from: u64, to: u64| {
        for at in from..to {
            let total = Tally { requests: at, repeats: 0 };
            window.hear(7, Told { total, recent: Tally::default() }, 10_000, at * 1_000);
        }
        format!("{window:?}").len()
    };
    let after_an_hour = hear(&mut window, 0, 3_600);
    let after_two = hear(&mut window, 3_600, 7_200);
    assert!(after_two < after_an_hour * 11 / 10, "{after_an_hour} {after_two}");
}
