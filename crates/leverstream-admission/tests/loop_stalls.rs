//! Stalls of the event loop.

use leverstream_admission::LoopStalls;

/// Guards against figures from a backlog that are taken for current after a stall, and against a
/// loop that counts as stalled for good.
#[test]
fn backlog_may_be_read_for_a_while_after_a_stall() {
    let mut stalls = LoopStalls::default();
    assert!(!stalls.may_read_backlog(5_000), "before the first tick");
    [1_000, 1_020, 1_100].into_iter().for_each(|now_ms| stalls.tick(now_ms));
    assert!(!stalls.may_read_backlog(1_220), "a tick 100 ms overdue is no stall");
    assert!(stalls.may_read_backlog(1_221), "before the overdue tick itself");
    stalls.tick(1_500);
    (1_520..=1_800).step_by(20).for_each(|now_ms| stalls.tick(now_ms));
    assert!(stalls.may_read_backlog(1_799));
    assert!(!stalls.may_read_backlog(1_800));
}
