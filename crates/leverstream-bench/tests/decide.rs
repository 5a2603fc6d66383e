//! Tests of the model of how gateway VMs choose backend servers.

use leverstream_bench::decide::{FAULTS, Figures, POLICIES, Policy, SERVICES, run};

/// Returns the results of one run, given the names of the service and the fault.
fn figures(service: &str, fault: &str, policy: Policy) -> Figures {
    let service = SERVICES.iter().find(|one| one.name == service).expect("it is listed");
    let fault = FAULTS.iter().find(|one| one.name == fault).expect("it is listed");
    run(service, fault, policy, 1)
}

#[test]
fn same_seed_gives_same_figures() {
    let one = || figures("fitting bays: lookups", "hangs, in turn every 9 s", Policy::Shipped);
    assert_eq!(one(), one());
}

#[test]
fn rotating_hangs_miss_fewer_requests_than_with_any_baseline() {
    for service in ["fitting bays: lookups", "porting: lookups"] {
        let missed = |policy| figures(service, "hangs, in turn every 9 s", policy).missed_percent();
        let shipped = missed(Policy::Shipped);
        for baseline in &POLICIES[1..] {
            assert!(shipped < missed(*baseline), "{service}: {}", baseline.name());
        }
    }
}

#[test]
fn hanging_backend_is_detected_within_1500_ms() {
    let run = figures("fitting bays: bookings", "one hangs", Policy::Shipped);
    assert!(run.detection_ms.iter().all(|ms| *ms < 1_500), "{:?}", run.detection_ms);
}

#[test]
fn whole_service_slowdown_keeps_most_backends_in_use() {
    let run = figures("nobody's: tiny", "whole service slow by 3", Policy::Shipped);
    assert!(run.min_capacity > 0.9, "{}", run.min_capacity);
}

#[test]
fn repeatable_requests_do_not_fail_without_a_fault() {
    let run = figures("nobody's: tiny", "none", Policy::Shipped);
    assert!(run.failed == 0 && run.missed_percent() < 1.0, "{run:?}");
}
