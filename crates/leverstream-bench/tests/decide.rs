//! The model of a gateway's decisions.

use leverstream_bench::decide::{FAULTS, Figures, POLICIES, Policy, SHAPES, run};

/// The figures of one run, by the names of the service and the fault.
fn figures(shape: &str, fault: &str, policy: Policy) -> Figures {
    let shape = SHAPES.iter().find(|one| one.name == shape).expect("it is listed");
    let fault = FAULTS.iter().find(|one| one.name == fault).expect("it is listed");
    run(shape, fault, policy, 1)
}

#[test]
fn a_seed_gives_the_same_figures_each_time() {
    let one = || figures("fitting bays: lookups", "hangs, in turn every 9 s", Policy::Shipped);
    assert_eq!(one(), one());
}

#[test]
fn hangs_cost_fewer_requests_than_with_any_baseline() {
    for shape in ["fitting bays: lookups", "porting: lookups"] {
        let missed = |policy| figures(shape, "hangs, in turn every 9 s", policy).missed_percent();
        let shipped = missed(Policy::Shipped);
        for baseline in &POLICIES[1..] {
            assert!(shipped < missed(*baseline), "{shape}: {}", baseline.name());
        }
    }
}

#[test]
fn a_hang_is_found_out_within_a_few_answers() {
    let run = figures("fitting bays: bookings", "one hangs", Policy::Shipped);
    assert!(run.detection_ms.iter().all(|ms| *ms < 1_500), "{:?}", run.detection_ms);
}

#[test]
fn a_service_that_slows_as_a_whole_keeps_its_backend_servers() {
    let run = figures("nobody's: tiny", "whole service slow by 3", Policy::Shipped);
    assert!(run.least_capacity > 0.9, "{}", run.least_capacity);
}

#[test]
fn nothing_is_lost_where_nothing_fails_and_requests_may_run_again() {
    let run = figures("nobody's: tiny", "none", Policy::Shipped);
    assert!(run.failed == 0 && run.missed_percent() < 1.0, "{run:?}");
}
