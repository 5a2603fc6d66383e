//! Measures the health state and CPU time per backend server, and the size of evidence messages.

use leverstream_health::{
    BackendKey, EvidenceCounts, Health, HealthSettings, RequestOutcome, eject_rule,
};
use leverstream_peer::{BackendDigest, Digest, ServiceDigest};
use leverstream_table::ServiceRow;
use prost::Message;

use super::{AllocatedBytes, TARGET, measure_allocation, print_row, time_us};

/// Measures health state and CPU time per backend server, and the size of evidence messages.
pub(super) fn measure_health(allocated: AllocatedBytes) {
    let backends_per_service = TARGET.backends / TARGET.services;
    let rule = eject_rule("evidence").unwrap_or_else(|| panic!("the rule is built in"));
    let settings = HealthSettings::from(&ServiceRow::default());
    let new_health = || {
        let mut health = Health::new(settings, rule, 0);
        for backend in 0..backends_per_service {
            health.add(&format!("backend-{backend}"), 100, false, 0);
        }
        for reporter in 1..=10 {
            for key in health.keys() {
                health.report(key, reporter, EvidenceCounts { good: 1, bad: 0 }, 1, 0);
            }
        }
        health
    };
    let (mut services, bytes) =
        measure_allocation(allocated, || (0..100).map(|_| new_health()).collect::<Vec<_>>());
    let backend_bytes = bytes / (100 * backends_per_service) as f64;
    // A service's entry set has one VM per 8 slots and at least one per hall.
    let set_size = (backends_per_service * 2 / 8).max(TARGET.halls);
    let services_per_vm = TARGET.services as f64 * set_size as f64 / TARGET.nodes as f64;
    let backends_held = services_per_vm * backends_per_service as f64;
    print_row(
        "health state per backend server, 10 reporters",
        &format!("{backend_bytes:.0} B"),
        &format!(
            "{services_per_vm:.1} services, {backends_held:.0} backend servers: {:.2} MB",
            backends_held * backend_bytes / 1e6
        ),
    );
    let health = &mut services[0];
    let mut now_ms = 0;
    let tick_us = time_us(2_000, || {
        now_ms += 50;
        health.tick(now_ms);
    });
    let finish_us = time_us(20_000, || health.finish(BackendKey(3), RequestOutcome::Good, 20.0, 0));
    let requests = TARGET.requests_per_s / TARGET.nodes as f64;
    print_row(
        "a health tick of one service; a recorded outcome",
        &format!("{tick_us:.1} us; {finish_us:.2} us"),
        &format!(
            "{:.2} % of a core; {:.2} % at {requests:.0} requests/s",
            tick_us * 20.0 * services_per_vm / 1e4,
            finish_us * requests / 1e4
        ),
    );
    let backends = (0..backends_per_service).map(|backend| BackendDigest {
        backend: format!("backend-{backend}"),
        good: 1_000_000,
        bad: 1_000,
        in_flight: 2,
        draining: false,
        overdue_odds: 0.0,
        reached_age_ms: None,
        born_ms: 1_767_225_600_000,
    });
    let service = ServiceDigest {
        service: "service-1234".to_owned(),
        version: 1_000,
        backends: backends.collect(),
    };
    let digest = Digest { reporter: u64::MAX, services: vec![service] };
    let bytes = digest.encoded_len() as f64 + 120.0;
    let exchanges_per_s = services_per_vm * (set_size as f64 - 1.0) * 4.0;
    print_row(
        "an evidence exchange, all 38 backend servers in use",
        &format!("{bytes:.0} B each way"),
        &format!(
            "{:.0} kB/s at 4/s with each of {} VMs; limited to 12 kB/s, one with each VM every {:.1} s",
            exchanges_per_s * bytes / 1e3,
            set_size - 1,
            exchanges_per_s / 4.0 * bytes / 12e3
        ),
    );
}
