//! The model of a service whose requests cannot reach all of its backend servers.

use leverstream_bench::wide::{SERVICES, Service, Stream, run};

/// A tenth of the widest service, with a tenth of its requests: each backend server could get one in four seconds.
fn tenth() -> Service {
    let widest = SERVICES[0];
    let once = Stream { per_s: widest.once.per_s / 10.0, ..widest.once };
    Service { backends_a_hall: widest.backends_a_hall / 10, vms_a_hall: 2, once, ..widest }
}

#[test]
fn a_seed_gives_the_same_figures_each_time() {
    assert_eq!(run(&tenth(), 1), run(&tenth(), 1));
}

#[test]
fn requests_stay_where_answers_were_good_of_late() {
    // Three in ten of those of which nothing is known fail; where they are looked for, each request meets one.
    let figures = run(&tenth(), 1);
    assert!(figures.failed_share() < 0.04, "{}", figures.failed_share());
    assert!(figures.in_use < 60, "{}", figures.in_use);
}
