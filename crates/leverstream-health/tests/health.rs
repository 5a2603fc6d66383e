//! Ejection, the floor of weight in service, misreporting health checks, and the return to service.

use leverstream_health::{
    BackendKey, EvidenceCounts, Health, HealthSettings, Probe, Reason, RequestOutcome, Standing,
    eject_rule,
};
use leverstream_table::ServiceRow;
use proptest::prelude::*;

/// The backend server that the tests make fail.
const FIRST: BackendKey = BackendKey(0);

/// A view of backend servers of equal weight, each with 100 good answers of 10 ms.
fn warm(backends: usize, floor_percent: u8) -> Health {
    let row = ServiceRow { floor_percent, ..ServiceRow::default() };
    let rule = eject_rule("evidence").expect("the rule is built in");
    let mut health = Health::new(HealthSettings::from(&row), rule, 0);
    for index in 0..backends {
        let key = health.add(&format!("b{index}"), 100, false, 0);
        for _ in 0..100 {
            health.finish(key, RequestOutcome::Good, 10.0, 0);
        }
    }
    health.tick(50);
    health
}

/// The ejection state of a backend server.
fn standing(health: &Health, key: BackendKey) -> Standing {
    health.view(key, 0).standing
}

/// Tells whether a backend server is ejected.
fn is_ejected(health: &Health, key: BackendKey) -> bool {
    matches!(standing(health, key), Standing::Ejected { .. })
}

#[test]
fn failures_eject_one_backend_but_failures_everywhere_eject_none() {
    let mut health = warm(4, 50);
    for _ in 0..10 {
        health.finish(FIRST, RequestOutcome::Failed, 10.0, 0);
    }
    health.tick(100);
    assert!(is_ejected(&health, FIRST));

    let mut health = warm(4, 0);
    for _ in 0..50 {
        for key in health.keys() {
            health.finish(key, RequestOutcome::Failed, 10.0, 0);
        }
        health.tick(100);
    }
    assert!(health.keys().all(|key| !is_ejected(&health, key)));
}

#[test]
fn a_request_in_flight_counts_as_stalled_and_slowness_is_relative() {
    let mut health = warm(4, 50);
    health.charge(FIRST, 5);
    health.tick(100);
    assert!(is_ejected(&health, FIRST));
    // In a service whose answers all take equally long, no backend server is slow.
    let mut health = warm(4, 50);
    for _ in 0..500 {
        for key in health.keys() {
            health.finish(key, RequestOutcome::Good, 200.0, 0);
        }
        health.tick(100);
    }
    assert!(health.slow_ms(FIRST) > 200.0);
    assert!(health.keys().all(|key| !is_ejected(&health, key)));
}

#[test]
fn bad_checks_alone_do_not_eject_and_good_checks_do_not_clear_failed_requests() {
    let mut health = warm(4, 0);
    for _ in 0..1_000 {
        health.probe(FIRST, Probe::Bad);
        health.tick(100);
    }
    assert!(!is_ejected(&health, FIRST));
    let mut health = warm(4, 50);
    for _ in 0..10 {
        health.finish(FIRST, RequestOutcome::Failed, 10.0, 0);
        health.probe(FIRST, Probe::Good);
    }
    health.tick(100);
    assert!(is_ejected(&health, FIRST));
}

#[test]
fn one_reporter_does_not_eject_and_several_do() {
    let report = |health: &mut Health, reporters: u64| {
        for reporter in 1..=reporters {
            health.report(FIRST, reporter, EvidenceCounts::default(), 0, 100);
            health.report(FIRST, reporter, EvidenceCounts { good: 0, bad: 50 }, 0, 100);
        }
        health.tick(150);
    };
    let row = ServiceRow::default();
    let rule = eject_rule("evidence").expect("the rule is built in");
    let fresh = || {
        let mut health = Health::new(HealthSettings::from(&row), rule, 0);
        for index in 0..4 {
            health.add(&format!("b{index}"), 100, false, 0);
        }
        health
    };
    let mut health = fresh();
    report(&mut health, 1);
    assert!(!is_ejected(&health, FIRST));
    let mut health = fresh();
    report(&mut health, 3);
    assert!(matches!(standing(&health, FIRST), Standing::Ejected { reason: Reason::Agreed, .. }));
    // A VM whose own requests there succeed doesn't agree.
    let mut health = warm(4, 50);
    report(&mut health, 3);
    assert!(!is_ejected(&health, FIRST));
}

#[test]
fn an_ejected_backend_returns_through_trials_and_a_ramp_after_growing_hold_offs() {
    let mut health = warm(4, 50);
    let mut now_ms = 100;
    let mut last_ms = 0;
    for round in 0..3 {
        for _ in 0..10 {
            health.finish(FIRST, RequestOutcome::Failed, 10.0, 0);
        }
        health.tick(now_ms);
        let Standing::Ejected { until_ms, .. } = standing(&health, FIRST) else {
            panic!("round {round}: {:?}", standing(&health, FIRST))
        };
        assert!(until_ms - now_ms > last_ms);
        last_ms = until_ms - now_ms;
        health.tick(until_ms - 1);
        assert!(is_ejected(&health, FIRST));
        health.tick(until_ms);
        assert!(health.fitness(FIRST, until_ms).is_trial);
        for _ in 0..3 {
            health.finish_trial(FIRST, RequestOutcome::Good, 10.0, until_ms);
        }
        health.tick(until_ms + 50);
        let share = health.fitness(FIRST, until_ms + 50).share;
        assert!(share > 0.0 && share < 0.2, "round {round}: {share}");
        now_ms = until_ms + 100;
    }
    let mut health = warm(4, 50);
    (0..10).for_each(|_| health.finish(FIRST, RequestOutcome::Failed, 10.0, 0));
    health.tick(100);
    health.tick(100 + 5_000);
    health.finish_trial(FIRST, RequestOutcome::Failed, 10.0, 5_200);
    assert!(matches!(standing(&health, FIRST), Standing::Ejected { reason: Reason::Trial, .. }));
}

#[test]
fn requests_in_flight_of_a_silent_vm_expire() {
    let mut health = warm(2, 50);
    health.report(FIRST, 7, EvidenceCounts::default(), 3, 100);
    health.tick(150);
    assert_eq!(health.fitness(FIRST, 150).others_in_flight, 3);
    // A sign of life keeps the count; after silence it soon expires.
    health.record_contact(7, 1_000);
    health.tick(2_000);
    assert_eq!(health.fitness(FIRST, 2_000).others_in_flight, 3);
    for now_ms in (2_500..5_000).step_by(50) {
        health.tick(now_ms);
    }
    assert_eq!(health.fitness(FIRST, 5_000).others_in_flight, 0);
}

#[test]
fn a_draining_backend_gets_no_requests_until_its_notice_expires() {
    let mut health = warm(2, 50);
    health.drain(FIRST, 100);
    assert_eq!(health.fitness(FIRST, 200).share, 0.0);
    assert!(health.fitness(FIRST, 100_000).share > 0.0);
}

#[test]
fn draining_backends_do_not_count_towards_the_floor() {
    let mut health = warm(3, 50);
    health.drain(BackendKey(1), 100);
    health.drain(BackendKey(2), 100);
    (0..20).for_each(|_| health.finish(FIRST, RequestOutcome::Failed, 10.0, 0));
    health.tick(100);
    assert!(!is_ejected(&health, FIRST));
    assert!(health.fitness(FIRST, 200).share > 0.0);
}

#[test]
fn an_ejected_backend_returns_when_the_others_drain() {
    let mut health = warm(3, 50);
    (0..20).for_each(|_| health.finish(FIRST, RequestOutcome::Failed, 10.0, 0));
    health.tick(100);
    assert!(is_ejected(&health, FIRST));
    health.drain(BackendKey(1), 150);
    health.tick(150);
    assert!(is_ejected(&health, FIRST), "one of two still serves");
    health.drain(BackendKey(2), 200);
    health.tick(200);
    assert!(health.fitness(FIRST, 200).share > 0.0);
}

/// A backend server, the kind of observation, and the pause before it.
fn observation() -> impl Strategy<Value = (u32, u8, u64)> {
    (0_u32..6, 0_u8..6, 0_u64..3_000)
}

proptest! {
    #[test]
    fn no_sequence_of_observations_breaks_the_floor(floor in 0_u8..=100, seen in prop::collection::vec(observation(), 1..400)) {
        let mut health = warm(6, floor);
        let mut now_ms = 100;
        for (backend, what, pause_ms) in seen {
            let key = BackendKey(backend);
            now_ms += pause_ms / 10;
            match what {
                0 => health.finish(key, RequestOutcome::Good, 10.0, 0),
                1 => (0..20).for_each(|_| health.finish(key, RequestOutcome::Failed, 10.0, 0)),
                2 => health.charge(key, 5),
                3 => health.probe(key, Probe::Refused),
                4 => (1..4).for_each(|reporter| health.report(key, reporter, EvidenceCounts { good: 0, bad: now_ms }, 1, now_ms)),
                _ => health.finish_trial(key, RequestOutcome::Failed, 10.0, now_ms),
            }
            let before = health.capacity(now_ms);
            health.tick(now_ms);
            let after = health.capacity(now_ms);
            prop_assert!(after >= before.min(f64::from(floor) / 100.0) - 1e-9, "{} to {}", before, after);
        }
    }
}

/// Guards against ejection of a healthy backend server on misreporting checks. One of four was
/// ejected by one VM of three, in 4 of 360 runs under load, with scores of 12.7 and 13.0 where 12
/// ejects: 9.6 came from misreporting checks, the rest from a single slow answer of a busy machine.
/// The scores of checks and of real requests were summed, so that almost no evidence of real
/// requests was needed.
#[test]
fn misreporting_checks_and_a_slow_answer_do_not_eject() {
    for time_ms in [25.0, 60.0] {
        let mut health = warm(4, 50);
        (0..40).for_each(|_| health.probe(FIRST, Probe::Bad));
        health.finish(FIRST, RequestOutcome::Good, time_ms, 0);
        health.tick(100);
        assert!(!is_ejected(&health, FIRST), "{:?}", health.view(FIRST, 100));
    }
    // Together with failed requests, checks count.
    let ejected_after = |checks: usize| {
        let mut health = warm(4, 50);
        let fails = |count: &usize| {
            (0..checks).for_each(|_| health.probe(FIRST, Probe::Bad));
            health.finish(FIRST, RequestOutcome::Failed, 10.0, 0);
            health.tick(100 * *count as u64);
            is_ejected(&health, FIRST)
        };
        (1..10).find(fails)
    };
    assert!(ejected_after(4) < ejected_after(0), "{:?}", (ejected_after(4), ejected_after(0)));
}
