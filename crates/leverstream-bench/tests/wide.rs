//! Tests of the model of services whose requests reach only a part of the backend servers.

use leverstream_bench::wide::{SERVICES, Service, Workload, run};

/// Returns a tenth of the largest service with a tenth of its requests, about one per backend server in four seconds.
fn tenth() -> Service {
    let largest = SERVICES[0];
    let non_repeatable =
        Workload { per_s: largest.non_repeatable.per_s / 10.0, ..largest.non_repeatable };
    Service {
        backends_per_hall: largest.backends_per_hall / 10,
        vms_per_hall: 2,
        non_repeatable,
        ..largest
    }
}

#[test]
fn same_seed_gives_same_figures() {
    assert_eq!(run(&tenth(), 1), run(&tenth(), 1));
}

#[test]
fn requests_stay_at_backends_with_recent_good_answers() {
    // Of the backend servers without recent reports, 3 in 10 fail requests. A policy that prefers such backend
    // servers sends every request to one of them.
    let figures = run(&tenth(), 1);
    assert!(figures.failed_share() < 0.04, "{}", figures.failed_share());
    assert!(figures.in_use < 60, "{}", figures.in_use);
}
