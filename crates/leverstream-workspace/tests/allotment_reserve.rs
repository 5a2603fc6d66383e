//! What an allotment keeps for more urgent requests, and what one VM adopts of another's figure.

use leverstream_workspace::{
    Allotment, Allotments, EntryMembership, PeerVisibility, UsageReport, WorkspaceId,
};

/// The workspace under test.
const WORKSPACE: WorkspaceId = WorkspaceId(7);

/// How many requests per window may exceed rate and burst by mistake.
const SLACK: f64 = 20.0;

/// Guards against a reserve that refuses a request within rate and burst.
#[test]
fn a_reserve_refuses_nobody_within_rate_and_burst() {
    let allotment = Allotment { rate_per_s: 50.0, burst: 50.0 };
    let mut allotments = Allotments::open(SLACK);
    allotments.apply_report(
        1,
        UsageReport { id: WORKSPACE, total: 0, room: 60.0 },
        allotment,
        EntryMembership::Both,
        10_000,
    );
    let mut spend = |reserve, now_ms| {
        let visibility = PeerVisibility::alone();
        allotments.spend(WORKSPACE, allotment, visibility, reserve, now_ms).is_ok()
    };
    assert!((0..50).all(|_| spend(25.0, 10_000)), "a whole burst is admitted");
    assert!(!spend(25.0, 10_000), "after that the reserve is kept");
    assert!((0..10).all(|_| spend(0.0, 10_000)), "for the more urgent");
    assert!(!spend(0.0, 10_000));
}

/// Guards against a reserve that is larger than the bucket gets, which would admit no request, and
/// against one that outlasts the shortage.
#[test]
fn a_reserve_takes_half_of_the_bucket_at_most_and_ends_with_the_shortage() {
    let allotment = Allotment { rate_per_s: 50.0, burst: 50.0 };
    let mut allotments = Allotments::open(SLACK);
    let spend = |allotments: &mut Allotments, reserve, now_ms| {
        let visibility = PeerVisibility::alone();
        allotments.spend(WORKSPACE, allotment, visibility, reserve, now_ms)
    };
    while spend(&mut allotments, 0.0, 10_000).is_ok() {}
    let denied = spend(&mut allotments, 1e9, 10_000).expect_err("the bucket is empty");
    assert_eq!(denied.reserve, 30.0);
    assert!((30.0..=31.0).contains(&denied.missing), "{}", denied.missing);
    assert!(spend(&mut allotments, 1e9, 10_500).is_err());
    assert!(spend(&mut allotments, 1e9, 10_700).is_ok());
    assert_eq!((0..20).filter(|_| spend(&mut allotments, 1e9, 12_000).is_ok()).count(), 20);
}

/// Guards against copies that differ for good after VMs were killed, and against adopting a figure
/// that differs by what is on its way.
#[test]
fn a_much_lower_room_of_another_vm_is_adopted() {
    let allotment = Allotment { rate_per_s: 50.0, burst: 50.0 };
    let room_after = |reported: f64| {
        let mut allotments = Allotments::open(SLACK);
        let report = UsageReport { id: WORKSPACE, total: 0, room: 60.0 };
        allotments.apply_report(1, report, allotment, EntryMembership::Both, 10_000);
        let report = UsageReport { room: reported, ..report };
        allotments.adopt_lower_room(report, allotment, 10_000);
        let visibility = PeerVisibility::alone();
        allotments
            .spend(WORKSPACE, allotment, visibility, 0.0, 10_000)
            .map_or_else(|denied| denied.room, |granted| granted.room)
    };
    assert_eq!(room_after(55.0), 59.0);
    assert_eq!(room_after(30.0), 35.0);
    assert_eq!(room_after(-100.0), -94.0);
    assert_eq!(room_after(f64::INFINITY), 59.0);
}

/// Guards against a report of what was left at the last request: other VMs adopt a room that has
/// grown since.
#[test]
fn reports_name_the_room_after_a_refill() {
    let allotment = Allotment { rate_per_s: 50.0, burst: 50.0 };
    let mut allotments = Allotments::open(SLACK);
    let visibility = PeerVisibility::alone();
    while allotments.spend(WORKSPACE, allotment, visibility, 0.0, 10_000).is_ok() {}
    allotments.refill(|_| Some(allotment), 10_400);
    let reports = allotments.take_due_reports(false, 0);
    assert_eq!(reports.iter().map(|report| report.room).collect::<Vec<_>>(), [20.0]);
}

/// Guards against a VM that was frozen or cut off and subtracts at once what others have admitted
/// meanwhile: with 5 s at 60 a second its copy stood at -180 tokens.
#[test]
fn a_late_report_leaves_no_debt_of_seconds() {
    let allotment = Allotment { rate_per_s: 60.0, burst: 60.0 };
    let room_after = |is_late: bool| {
        let mut allotments = Allotments::open(SLACK);
        let report = UsageReport { id: WORKSPACE, total: 0, room: 70.0 };
        allotments.apply_report(1, report, allotment, EntryMembership::Both, 10_000);
        let report = UsageReport { total: 300, room: 2.0, ..report };
        if is_late {
            allotments.apply_late_report(1, report, allotment, 15_000);
        } else {
            allotments.apply_report(1, report, allotment, EntryMembership::Both, 15_000);
        }
        let visibility = PeerVisibility::alone();
        let denied = allotments.spend(WORKSPACE, allotment, visibility, 0.0, 15_000);
        denied.expect_err("there is no room").room
    };
    assert_eq!(room_after(true), -7.0);
    assert_eq!(room_after(false), -230.0);
}

/// Guards against a late report whose room is adopted and whose requests are subtracted as well,
/// though that room already lacks them.
#[test]
fn a_late_report_counts_its_requests_once() {
    let allotment = Allotment { rate_per_s: 60.0, burst: 60.0 };
    let mut allotments = Allotments::open(SLACK);
    let report = UsageReport { id: WORKSPACE, total: 0, room: 50.0 };
    allotments.apply_report(1, report, allotment, EntryMembership::Both, 10_000);
    let report = UsageReport { total: 20, room: 30.0, ..report };
    allotments.apply_late_report(1, report, allotment, 10_000);
    let reports = allotments.reports_on(&[WORKSPACE]);
    assert_eq!(reports.iter().map(|report| report.room).collect::<Vec<_>>(), [30.0]);
    let unknown = UsageReport { total: 500, room: 5.0, ..report };
    allotments.apply_late_report(2, unknown, allotment, 10_000);
    let reports = allotments.reports_on(&[WORKSPACE]);
    assert_eq!(reports.iter().map(|report| report.room).collect::<Vec<_>>(), [5.0]);
}

/// Guards against a request behind a waiting one that is taken to miss no token and to leave no
/// reserve, and against tokens that are taken by asking for the shortage.
#[test]
fn shortage_is_what_a_request_would_be_denied_for() {
    let allotment = Allotment { rate_per_s: 50.0, burst: 50.0 };
    let mut allotments = Allotments::open(SLACK);
    let visibility = PeerVisibility::alone();
    let ranked = |allotments: &mut Allotments| {
        allotments.shortage(WORKSPACE, allotment, visibility, 20.0, 10_000)
    };
    let full = ranked(&mut allotments);
    assert_eq!((full.missing, full.reserve, full.room), (-59.0, 0.0, 60.0));
    while allotments.spend(WORKSPACE, allotment, visibility, 0.0, 10_000).is_ok() {}
    let empty = ranked(&mut allotments);
    assert_eq!((empty.missing, empty.reserve, empty.rate_per_s), (21.0, 20.0, 50.0));
    let denied = allotments.spend(WORKSPACE, allotment, visibility, 20.0, 10_000);
    assert_eq!(denied.expect_err("there is no room"), empty);
}

/// Guards against a refill by the allotment of an earlier configuration.
#[test]
fn reports_name_the_room_under_the_allotment_in_force() {
    let allotment = Allotment { rate_per_s: 50.0, burst: 50.0 };
    let mut allotments = Allotments::open(SLACK);
    let visibility = PeerVisibility::alone();
    while allotments.spend(WORKSPACE, allotment, visibility, 0.0, 10_000).is_ok() {}
    allotments.refill(|_| Some(Allotment { rate_per_s: 10.0, burst: 10.0 }), 10_400);
    let reports = allotments.all_reports();
    assert_eq!(reports.iter().map(|report| report.room).collect::<Vec<_>>(), [4.0]);
}

/// Guards against copies that are lowered to the room of a VM that hears few others: what it leaves
/// free for the VMs that it does not hear is not used up.
#[test]
fn a_vm_that_hears_few_others_does_not_lower_their_room() {
    let allotment = Allotment { rate_per_s: 50.0, burst: 50.0 };
    let mut allotments = Allotments::open(SLACK);
    let visibility = PeerVisibility { unheard_fraction: 0.4, ..PeerVisibility::alone() };
    let granted = allotments.spend(WORKSPACE, allotment, visibility, 0.0, 10_000);
    assert_eq!(granted.expect("there is room").room, 35.0);
    allotments.refill(|_| Some(allotment), 10_000);
    let mut others = Allotments::open(SLACK);
    let full = others.spend(WORKSPACE, allotment, PeerVisibility::alone(), 0.0, 10_000);
    assert_eq!(full.expect("there is room").room, 59.0);
    for report in allotments.all_reports() {
        others.adopt_lower_room(report, allotment, 10_000);
    }
    let left = others.reports_on(&[WORKSPACE]);
    assert_eq!(left.iter().map(|report| report.room).collect::<Vec<_>>(), [59.0]);
}
