//! Reports that arrive after a VM was not heard for some time.

use leverstream_admission::LateReports;

/// Guards against subtracting all that a woken VM reads from its socket at once, and against a VM
/// whose reports count as late for good.
#[test]
fn reports_are_late_for_a_while_after_a_silence() {
    let mut late = LateReports::default();
    assert!(!late.is_late(1, None, 1_000), "the first report of a VM is not late");
    assert!(!late.is_late(1, Some(1_000), 1_200));
    assert!(late.is_late(1, Some(1_200), 6_000));
    assert!(late.is_late(1, Some(6_000), 6_001), "it follows at once");
    assert!(!late.is_late(2, Some(5_900), 6_001), "other VMs are told apart");
    assert!(!late.is_late(1, Some(6_400), 6_600));
}
