//! The estimated wait, the commitment and the retry delay.

use leverstream_admission::{GrantRate, Prospect, Verdict, WaitBounds, retry_after_ms};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A request with an objective of 400 ms that must be answered within 1,500 ms.
const BOUNDS: WaitBounds =
    WaitBounds { since_ms: 1_000, objective_ms: 400, work_ms: 130.0, deadline_ms: 2_500 };

/// A queue in which a slot becomes free every 10 ms.
const PROSPECT: Prospect =
    Prospect { ahead: 0, granted_per_s: 100.0, urgent_per_s: 0.0, free_slots: 0, open_ms: 1_000 };

/// Guards against a rate that counts grants while no request waits, which says how many arrive.
#[test]
fn only_grants_while_requests_wait_count() {
    let mut rate = GrantRate::default();
    (0..100).for_each(|number| rate.note_grant(number * 10));
    assert_eq!(rate.per_s(1_000), None);
    rate.begin_wait(1_000);
    (0..20).for_each(|number| rate.note_grant(1_010 + number * 20));
    let per_s = rate.per_s(1_400).expect("requests have waited");
    assert!((45.0..60.0).contains(&per_s), "{per_s} a second");
}

/// Guards against a rate from a few milliseconds, and one that is remembered for ever.
#[test]
fn the_rate_is_known_while_requests_wait_and_shortly_after() {
    let mut rate = GrantRate::default();
    rate.begin_wait(1_000);
    assert_eq!(rate.per_s(1_050), None);
    // Waiting requests check every 60 ms.
    for now_ms in (1_100..1_500).step_by(60) {
        rate.per_s(now_ms);
    }
    assert!(rate.per_s(1_500).is_some());
    rate.end_wait(1_500);
    assert!(rate.per_s(2_000).is_some());
    assert_eq!(rate.per_s(6_000), None);
}

/// Guards against a VM that was frozen while requests waited and takes that time for one without
/// free slots.
#[test]
fn a_standstill_does_not_count_as_waited() {
    let mut rate = GrantRate::default();
    rate.begin_wait(1_000);
    (0..50).for_each(|number| rate.note_grant(1_010 + number * 10));
    let before = rate.per_s(1_510).expect("requests have waited");
    let after = rate.per_s(4_510).expect("the standstill is left out");
    assert!((before - after).abs() < 1e-9, "{before} {after}");
}

/// Guards against a wait that leaves out the more urgent requests that arrive meanwhile.
#[test]
fn more_urgent_arrivals_lengthen_the_wait() {
    assert_eq!(PROSPECT.wait_ms(), 10.0);
    assert_eq!(Prospect { ahead: 9, urgent_per_s: 50.0, ..PROSPECT }.wait_ms(), 200.0);
    let overtaken = Prospect { urgent_per_s: 200.0, open_ms: 100, ..PROSPECT };
    assert_eq!(overtaken.wait_ms(), 210.0, "they overtake it until it is committed");
}

/// Guards against a request that waits although it cannot be served in time, and against refusing
/// one of which nothing is known.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let late = Prospect { ahead: 200, ..PROSPECT };
    assert_eq!(BOUNDS.verdict(Some(late), 1_000), Verdict::Refuse);
    assert_eq!(BOUNDS.verdict(Some(PROSPECT), 1_000), Verdict::WaitUntil(1_100));
    assert_eq!(BOUNDS.verdict(None, 1_000), Verdict::WaitUntil(1_100));
}

/// Guards against a service that refuses no request while any backend server in doubt has a free slot,
/// and against refusing a request for which there is one.
#[test]
fn free_slots_keep_only_as_many_requests_from_being_refused() {
    let late = Prospect { ahead: 200, free_slots: 200, ..PROSPECT };
    assert_eq!(BOUNDS.verdict(Some(late), 1_000), Verdict::Refuse);
    let next = Prospect { free_slots: 201, ..late };
    assert_eq!(BOUNDS.verdict(Some(next), 1_000), Verdict::WaitUntil(1_100));
}

/// Guards against a request that is held for more than a quarter of its objective and then refused,
/// and against one that is offered too late to be served.
#[test]
fn a_request_held_for_a_quarter_of_its_objective_is_offered() {
    let late = Prospect { ahead: 200, ..PROSPECT };
    assert_eq!(BOUNDS.verdict(Some(late), 1_099), Verdict::Refuse);
    assert_eq!(BOUNDS.verdict(Some(late), 1_100), Verdict::WaitUntil(2_240));
    assert_eq!(BOUNDS.verdict(Some(late), 2_240), Verdict::Offer);
    let short_work = WaitBounds { work_ms: 5.0, ..BOUNDS };
    assert_eq!(short_work.last_moment_ms(), 2_400, "a tenth of the objective and a check are left");
}

/// Guards against callers that return all at once, at once, or never.
#[test]
fn the_retry_delay_is_the_time_to_serve_the_queue_spread_over_as_long_again() {
    let mut rng = StdRng::seed_from_u64(1);
    let delays: Vec<u64> = (0..200).map(|_| retry_after_ms(99, 100.0, &mut rng)).collect();
    assert!(delays.iter().all(|delay_ms| (1_000..2_000).contains(delay_ms)));
    assert!(delays.iter().any(|delay_ms| *delay_ms < 1_200));
    assert!(delays.iter().any(|delay_ms| *delay_ms > 1_800));
    assert_eq!(retry_after_ms(0, 10_000.0, &mut rng), 50);
    assert_eq!(retry_after_ms(100, 0.0, &mut rng), 5_000);
}
