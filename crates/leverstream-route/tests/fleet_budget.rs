//! Tests of one VM's budget of repeats and of loans between VMs.

use leverstream_route::{FleetBudget, LOAN_TTL_MS, LoanRequests, RetryAllowance, SlackShare};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The length of the window, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Returns how many of `times` lie in the window that begins at `from_ms`.
fn count_in_window(times: &[u64], from_ms: u64) -> usize {
    times.iter().filter(|at_ms| (from_ms..from_ms + WINDOW_MS).contains(at_ms)).count()
}

#[test]
fn no_window_holds_more_repeats_than_allowed() {
    let allowance = RetryAllowance { ratio: 0.2, slack: 30.0, window_ms: WINDOW_MS };
    let vm_allowance = allowance.with_slack_share(0.5);
    let mut budget = FleetBudget::default();
    let (mut repeats, mut requests) = (Vec::new(), Vec::new());
    for now_ms in (0..60_000).step_by(20) {
        // Requests arrive in every other 10 s; repeats are attempted all the time.
        if now_ms % 20_000 < 10_000 {
            budget.request(vm_allowance, now_ms);
            requests.push(now_ms);
        }
        if budget.take(vm_allowance, now_ms) {
            repeats.push(now_ms);
        }
    }
    assert!(repeats.len() > 50);
    for from_ms in (0..50_000u64).step_by(100) {
        // The larger of the requests in the window and in the preceding one counts.
        let earlier = count_in_window(&requests, from_ms.saturating_sub(WINDOW_MS));
        let counted = count_in_window(&requests, from_ms).max(earlier) as f64;
        let allowed = allowance.ratio * counted + allowance.slack * 0.5;
        assert!(count_in_window(&repeats, from_ms) as f64 <= allowed, "from {from_ms} ms");
    }
}

#[test]
fn fleet_stays_within_allowance_when_one_vm_replaces_another() {
    let allowance = RetryAllowance { ratio: 0.2, slack: 60.0, window_ms: WINDOW_MS };
    let vm_allowance = allowance.with_slack_share(1.0 / 3.0);
    let mut vms = [FleetBudget::default(), FleetBudget::default(), FleetBudget::default()];
    let mut repeats: Vec<u64> = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        // The second VM replaces the first after 15 s; each attempts repeats all the time.
        let (busy, idle) = if now_ms < 15_000 { ([0, 2], 1) } else { ([1, 2], 0) };
        for vm in busy {
            if now_ms % 50 == 0 {
                vms[vm].request(vm_allowance, now_ms);
            }
            if vms[vm].headroom(vm_allowance, now_ms).is_low() {
                let loan = vms[idle].lend(2.0, vm_allowance, now_ms);
                vms[vm].borrow(loan, now_ms);
            }
            if vms[vm].take(vm_allowance, now_ms) {
                repeats.push(now_ms);
            }
        }
    }
    for from_ms in (0..30_000).step_by(100) {
        let count = count_in_window(&repeats, from_ms);
        // Two VMs get 20 requests per second each.
        assert!(count as f64 <= 0.2 * 400.0 + 60.0, "{count} from {from_ms} ms");
    }
    let last = repeats.iter().filter(|at_ms| **at_ms >= 30_000).count();
    assert!(last as f64 >= 0.7 * (0.2 * 400.0 + 60.0), "{last}: the allowance is used");
}

#[test]
fn loan_is_accepted_once_in_time_and_from_the_asked_vm() {
    let (other, third) = (7, 8);
    let mut loan_requests = LoanRequests::default();
    for number in 1..=4 {
        loan_requests.record(number, other, 1_000);
    }
    assert_eq!(loan_requests.accept(1, other, 1_004), Some(1_000));
    assert_eq!(loan_requests.accept(1, other, 1_005), None, "duplicate answer");
    assert_eq!(loan_requests.accept(2, third, 1_005), None, "answer from a VM that was not asked");
    assert_eq!(loan_requests.accept(9, other, 1_005), None, "no request with this number");
    assert_eq!(loan_requests.accept(3, other, 1_000 + LOAN_TTL_MS), None, "late answer");
}

#[test]
fn loan_counts_as_spent_by_lender_until_it_expires() {
    let vm_allowance = RetryAllowance { ratio: 0.2, slack: 3.0, window_ms: WINDOW_MS };
    let mut lender = FleetBudget::default();
    let loan = lender.lend(2.5, vm_allowance, 1_000);
    assert!(loan > 2.4);
    let allows_repeat =
        |lender: &mut FleetBudget, now_ms| lender.headroom(vm_allowance, now_ms).has_one();
    assert!(!allows_repeat(&mut lender, 1_000));
    assert!(!allows_repeat(&mut lender, 1_000 + LOAN_TTL_MS + WINDOW_MS - 1));
    assert!(allows_repeat(&mut lender, 1_000 + LOAN_TTL_MS + WINDOW_MS + 250));
    let mut borrower = FleetBudget::default();
    borrower.borrow(loan, 1_000);
    let none = vm_allowance.with_slack_share(0.0);
    assert!(borrower.take(none, 1_000 + LOAN_TTL_MS - 1));
    assert!(!borrower.take(none, 1_000 + LOAN_TTL_MS), "the loan has expired");
}

#[test]
fn new_process_has_no_share_until_previous_one_has_left_the_window() {
    let mut slack = SlackShare::open(false, true);
    slack.set_known_vms(4);
    slack.record_report(4, 100);
    let first_ms = WINDOW_MS + LOAN_TTL_MS;
    assert_eq!(slack.share(WINDOW_MS, first_ms - 1), 0.0);
    assert_eq!(slack.share(WINDOW_MS, first_ms), 0.25);
    let mut first = SlackShare::open(true, true);
    first.set_known_vms(4);
    first.record_report(4, 100);
    assert_eq!(first.share(WINDOW_MS, 100), 0.25, "no process ran before it");
}

#[test]
fn vm_without_reports_has_no_share_and_largest_report_counts() {
    let mut slack = SlackShare::open(true, true);
    slack.set_known_vms(1);
    assert_eq!(slack.share(WINDOW_MS, 60_000), 0.0, "it may be partitioned");
    slack.set_known_vms(4);
    slack.record_report(10, 60_000);
    slack.record_report(5, 60_100);
    assert_eq!(slack.share(WINDOW_MS, 60_100), 0.1);
    slack.record_report(5, 500_000);
    assert_eq!(slack.share(WINDOW_MS, 500_000), 0.2, "old reports expire");
    let mut alone = SlackShare::open(true, false);
    alone.set_known_vms(1);
    assert_eq!(alone.share(WINDOW_MS, 100), 1.0, "no other VMs are configured");
}

#[test]
fn requests_leave_the_window_by_arrival_time() {
    let vm_allowance = RetryAllowance { ratio: 0.2, slack: 0.0, window_ms: WINDOW_MS };
    let mut budget = FleetBudget::default();
    for now_ms in (10_000..20_000).step_by(100) {
        budget.request(vm_allowance, now_ms);
    }
    assert_eq!(budget.headroom(vm_allowance, 19_999).requests, 100);
    assert_eq!(budget.headroom(vm_allowance, 25_000).requests, 50);
    assert_eq!(budget.headroom(vm_allowance, 31_000).requests, 0);
}

#[test]
fn budget_memory_is_bounded_without_reads() {
    let vm_allowance = RetryAllowance { ratio: 0.2, slack: 10.0, window_ms: WINDOW_MS };
    let mut budget = FleetBudget::default();
    let mut run = |from: u64, to: u64| {
        for at_s in from..to {
            budget.request(vm_allowance, at_s * 1_000);
            budget.lend(1.0, vm_allowance, at_s * 1_000);
        }
        format!("{budget:?}").len()
    };
    let after_an_hour = run(0, 3_600);
    let after_two = run(3_600, 7_200);
    let after_a_pause = run(14_400, 14_410);
    assert!(after_two < after_an_hour * 11 / 10, "{after_an_hour} {after_two}");
    assert!(after_a_pause < after_an_hour, "{after_an_hour} {after_a_pause}");
}

/// Returns the fraction of a slack of 1,040 repeats that is lent to 35 VMs in a window, in a fleet
/// of `vms` VMs. Half of the requests at the 35 VMs need a repeat; the other VMs get no requests.
fn lent_fraction_of_slack(vms: usize) -> f64 {
    const BUSY: usize = 35;
    const WANTED: f64 = 2.0;
    let allowance = RetryAllowance { ratio: 0.2, slack: 1_040.0, window_ms: WINDOW_MS };
    let vm_allowance = allowance.with_slack_share(1.0 / vms as f64);
    let mut budgets = vec![FleetBudget::default(); vms];
    let mut loan_requests = vec![LoanRequests::<usize>::default(); BUSY];
    let (mut rng, mut lent) = (StdRng::seed_from_u64(1), 0.0);
    for now_ms in (20_000..29_000).step_by(25) {
        for vm in 0..BUSY {
            budgets[vm].request(vm_allowance, now_ms);
            let headroom = budgets[vm].headroom(vm_allowance, now_ms);
            if loan_requests[vm].is_due(headroom, now_ms) {
                for _ in 0..vm_allowance.lenders_to_ask(WANTED) {
                    let lender = rng.random_range(BUSY..vms);
                    let number = rng.random();
                    loan_requests[vm].record(number, lender, now_ms);
                    let loan = budgets[lender].lend(WANTED, vm_allowance, now_ms);
                    if loan > 0.0 && loan_requests[vm].accept(number, lender, now_ms).is_some() {
                        budgets[vm].borrow(loan, now_ms);
                        lent += loan;
                    }
                }
            }
            if now_ms % 50 == 0 {
                budgets[vm].take(vm_allowance, now_ms);
            }
        }
    }
    lent / allowance.slack
}

#[test]
fn slack_is_lent_in_fleets_of_any_size() {
    // When a fixed minimum applied to loans, nothing was lent in fleets with more than twice as
    // many VMs as the slack has repeats: each VM's share was below the minimum.
    for vms in [500, 986, 2_000, 4_000, 7_000] {
        let used = lent_fraction_of_slack(vms);
        assert!((0.6..=1.0).contains(&used), "{vms} VMs: {used}");
    }
}

#[test]
fn loan_is_awaited_while_a_recent_request_is_unanswered() {
    let mut loan_requests = LoanRequests::default();
    assert!(!loan_requests.is_loan_awaited(1_000), "no VM was asked");
    loan_requests.record(7, 'a', 1_000);
    loan_requests.record(8, 'b', 1_000);
    assert!(loan_requests.is_loan_awaited(1_010));
    // One VM has lent; the other may still answer.
    assert!(loan_requests.accept(7, 'a', 1_002).is_some());
    assert!(loan_requests.is_loan_awaited(1_010));
    assert!(!loan_requests.is_loan_awaited(1_020), "the other has not answered in time");
    assert!(
        loan_requests.accept(8, 'b', 1_030).is_some(),
        "a loan after the wait is still accepted"
    );
    assert!(!loan_requests.is_loan_awaited(1_031));
}
