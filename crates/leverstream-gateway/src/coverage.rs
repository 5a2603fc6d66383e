//! Observes which backend servers get no work, as the users judge the floor at moments that cannot be foreseen.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use leverstream_core::{Coverage, IdleBackend};
use tracing::info;

use crate::gateway::Inner;

/// The interval between two observations.
const OBSERVE_INTERVAL_MS: u64 = 1_000;

/// The minimum time between two log lines on a service.
const LOG_INTERVAL_MS: u64 = 10_000;

/// The number of idle backend servers that a log line describes.
const LOGGED_BACKENDS: usize = 12;

/// The request rate of a service at this VM from which it is observed, in requests a second: with fewer, a VM that
/// passes on a single request would report that all backend servers are idle.
const MIN_REQUESTS_PER_S: f64 = 1.0;

/// Observes the services of this VM's callers for as long as the process runs.
pub(crate) async fn observe(inner: Rc<Inner>) {
    let mut logged_ms: HashMap<String, u64> = HashMap::new();
    loop {
        tokio::time::sleep(Duration::from_millis(OBSERVE_INTERVAL_MS)).await;
        let now_ms = inner.now_ms();
        let max_idle_share = 1.0 - inner.settings.floor.share;
        for (service, coverage) in observed_services(&inner, now_ms) {
            inner.meters.set_idle_share(&service, coverage.idle_share());
            let is_due = logged_ms.get(&service).is_none_or(|at| now_ms - at >= LOG_INTERVAL_MS);
            if coverage.idle_share() > max_idle_share && is_due {
                log_idle(&inner, &service, &coverage);
                logged_ms.insert(service, now_ms);
            }
        }
    }
}

/// Returns the services with requests at this VM, each with which of its backend servers get no work.
fn observed_services(inner: &Inner, now_ms: u64) -> Vec<(String, Coverage)> {
    if !inner.mesh.takes_callers() {
        return Vec::new();
    }
    let fleet = inner.fleet.borrow();
    let services = inner.services.borrow();
    let is_busy = |per_s: Option<f64>| per_s.is_some_and(|per_s| per_s >= MIN_REQUESTS_PER_S);
    let observed = services.iter().filter(|(_, state)| is_busy(state.demand.per_s(now_ms)));
    observed.map(|(service, _)| (service.clone(), fleet.coverage(service, now_ms))).collect()
}

/// Logs the idle backend servers of a service: id, time without a request, age of the last failure and doubt.
fn log_idle(inner: &Inner, service: &str, coverage: &Coverage) {
    let fleet = inner.fleet.borrow();
    let describe = |idle: &IdleBackend| {
        let (_, instance) = fleet.target(idle.key);
        let bad_age = idle.bad_age_ms.map_or("never".to_owned(), |age_ms| age_ms.to_string());
        format!(
            "{instance} idle_ms={} bad_age_ms={bad_age} failure_chance={:.2}",
            idle.unused_ms, idle.failure_chance
        )
    };
    let backends: Vec<String> = coverage.idle.iter().take(LOGGED_BACKENDS).map(describe).collect();
    let (counted, idle) = (coverage.counted, coverage.idle.len());
    info!(service, counted, idle, ?backends, "backend servers without work");
}
