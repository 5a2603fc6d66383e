//! Reports that arrive after none have arrived from a VM for some time.

use leverstream_admission::LateReports;

/// Guards against subtracting all that a woken VM reads from its socket at once, and against a VM
/// whose reports count as late for good.
#[test]
fn reports_are_late_for_a_while_after_a_silence() {
    let mut late = LateReports::default();
    assert!(!late.is_late(1, true, None, 1_000), "the first report of a VM is not late");
    assert!(!late.is_late(1, true, Some(1_000), 1_200));
    assert!(late.is_late(1, true, Some(1_200), 6_000));
    assert!(late.is_late(1, true, Some(6_000), 6_001), "it follows at once");
    assert!(!late.is_late(2, true, None, 5_900));
    assert!(!late.is_late(2, true, Some(5_900), 6_001), "other VMs are told apart");
    assert!(!late.is_late(1, true, Some(6_400), 6_600));
}

/// Guards against a VM that joins the entry set and whose reports, which were rare before, count as
/// late: what it has admitted would be subtracted down to a bounded debt only.
#[test]
fn a_vm_that_joins_the_entry_set_is_not_late() {
    let mut late = LateReports::default();
    assert!(!late.is_late(1, false, None, 1_000));
    assert!(!late.is_late(1, false, Some(1_000), 4_000), "it is outside");
    assert!(!late.is_late(1, true, Some(4_000), 7_000), "it has just joined");
    assert!(!late.is_late(1, true, Some(7_000), 7_200));
    assert!(late.is_late(1, true, Some(7_200), 9_000), "it was silent as a member");
    assert!(!late.is_late(1, false, Some(9_000), 9_100), "it has left");
    late.forget(|_| false);
    assert!(!late.is_late(1, true, Some(9_100), 12_000), "it joins again");
}
