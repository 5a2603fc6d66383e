//! The periodic reports to other VMs.

use leverstream_admission::ReportRounds;

/// Guards against urgent reports that postpone the periodic rounds for as long as they last.
#[test]
fn rounds_are_due_among_frequent_urgent_reports() {
    let mut rounds = ReportRounds::open(1_000);
    let due: Vec<u64> =
        (1_000..2_100).step_by(25).filter(|now_ms| rounds.take_due(*now_ms)).collect();
    assert_eq!(due, [1_200, 1_400, 1_600, 1_800, 2_000]);
    assert_eq!(rounds.delay_ms(2_110), 90);
}

/// Guards against a series of rounds after a stall.
#[test]
fn missed_rounds_are_not_caught_up_on() {
    let mut rounds = ReportRounds::open(1_000);
    assert_eq!(rounds.delay_ms(5_000), 0);
    assert!(rounds.take_due(5_000));
    assert!(!rounds.take_due(5_199));
    assert!(rounds.take_due(5_200));
}
