//! Tests of which requests a VM accepts and sends on during its planned stop.

use leverstream_core::{LatencyHistogram, Liveness, StopArrival, StopPeriod};

/// A stop that began at 10 s, of a process that is killed 6 s later.
const STOP: StopPeriod = StopPeriod { since_ms: 10_000, grace_ms: 6_000 };

/// Returns a request that arrives a time after the stop began, with a limit and a median latency.
fn arrival(after_ms: u64, limit_ms: u64, median_ms: f64) -> StopArrival {
    let arrived_ms = STOP.since_ms + after_ms;
    StopArrival { arrived_ms, deadline_ms: arrived_ms + limit_ms, median_ms }
}

/// Guards against early requests that are refused though there is time, and late ones that are cut.
#[test]
fn requests_are_accepted_early_by_their_median_and_late_by_their_whole_limit() {
    let accepts = |arrival: StopArrival| STOP.accepts(arrival, arrival.arrived_ms);
    assert!(accepts(arrival(100, 12_000, 1_000.0)));
    assert!(!accepts(arrival(2_700, 12_000, 1_100.0)));
    assert!(!accepts(arrival(3_000, 5_000, 100.0)));
    assert!(accepts(arrival(3_000, 2_700, 100.0)));
}

/// Guards against the decision at arrival that overlooks how long the request's body took to arrive.
#[test]
fn time_that_a_body_took_counts_against_its_request() {
    let early = arrival(100, 12_000, 500.0);
    assert!(STOP.accepts(early, early.arrived_ms + 4_000));
    assert!(!STOP.accepts(early, early.arrived_ms + 4_300));
}

/// Guards against a request that has waited for a slot and is sent when the process is about to leave.
#[test]
fn request_is_sent_only_if_nine_of_ten_would_be_answered_in_time() {
    let mut latency = LatencyHistogram::new(1_000);
    (0..90).for_each(|_| latency.note(200.0));
    (0..30).for_each(|_| latency.note(1_000.0));
    let at = |left_ms: u64| STOP.ends_ms() - left_ms;
    assert!(STOP.may_send(&latency, at(2_000)));
    assert!(!STOP.may_send(&latency, at(500)));
    assert!(!STOP.may_send(&latency, at(0)));
    assert!(!STOP.may_send(&latency, STOP.ends_ms() + 1));
}

/// Guards against refusals that the process doesn't live to write.
#[test]
fn last_refusals_come_before_the_process_leaves_and_that_before_it_is_killed() {
    assert!(STOP.last_refusals_ms() < STOP.ends_ms());
    assert!(STOP.ends_ms() < STOP.since_ms + STOP.grace_ms);
    let short = StopPeriod { grace_ms: 100, ..STOP };
    assert_eq!(short.ends_ms(), short.since_ms);
}

/// Guards against a grace period that is counted from the time at which a process that stood still noticed its signal: its
/// sender kills the process earlier.
#[test]
fn signal_noticed_after_a_stall_counts_from_its_beginning() {
    const MAX_GAP_MS: u64 = 150;
    let running = Liveness::default().ticked(MAX_GAP_MS, 100).ticked(MAX_GAP_MS, 200);
    assert_eq!(running.signal_since_ms(MAX_GAP_MS, 240), 240);
    // The signal is noticed before the tick that is due, and after it.
    assert_eq!(running.signal_since_ms(MAX_GAP_MS, 1_700), 200);
    let woken = running.ticked(MAX_GAP_MS, 1_700);
    assert_eq!(woken.signal_since_ms(MAX_GAP_MS, 1_720), 200);
    let later = woken.ticked(MAX_GAP_MS, 1_800).ticked(MAX_GAP_MS, 1_900);
    assert_eq!(later.signal_since_ms(MAX_GAP_MS, 1_950), 1_950);
}
