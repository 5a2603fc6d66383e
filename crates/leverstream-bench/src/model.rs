//! Parts shared by the models of gateway VMs in [`decide`](crate::decide) and [`wide`](crate::wide).

mod event_queue;
mod slot_queue;

use leverstream_catalog::Backend;
use leverstream_core::{BackendReport, Fleet, Report};
use rand::Rng;
use rand::rngs::StdRng;

pub(crate) use event_queue::EventQueue;
pub(crate) use slot_queue::SlotQueue;

/// Interval at which a waiting request tries again to get a slot, in milliseconds.
pub(crate) const SLOT_RETRY_INTERVAL_MS: u64 = 20;

/// Most backend servers at which a repeatable request may run.
pub(crate) const MAX_ATTEMPTS: usize = 2;

/// Share of the healthy backend servers that must stay in use.
pub(crate) const FLOOR_SHARE: f64 = 0.73;

/// Share of errors among the answers of healthy backend servers.
pub(crate) const HEALTHY_ERROR_SHARE: f64 = 0.012;

/// Cost of a megabyte between data halls, in requests served.
const REQUESTS_PER_MB: f64 = 10.0;

/// Returns the cost of transferring bytes between data halls, in requests served.
pub(crate) fn far_bytes_cost(bytes: usize) -> f64 {
    bytes as f64 / 1e6 * REQUESTS_PER_MB
}

/// Draws the time until the next arrival of a Poisson process, in milliseconds.
pub(crate) fn draw_gap_ms(rate_per_s: f64, rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * 1_000.0 / rate_per_s
}

/// Draws a work time with a log-normal distribution, in milliseconds.
///
/// `spread` is the standard deviation of the logarithm of the work time.
pub(crate) fn draw_work_ms(median_ms: f64, spread: f64, rng: &mut StdRng) -> f64 {
    // The sum of twelve uniform draws is nearly normal, with a variance of one.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    median_ms * (normal * spread).exp()
}

/// Applies the reports that a VM receives from another VM.
pub(crate) fn apply_reports(
    fleet: &mut Fleet,
    from: usize,
    reports: &[BackendReport],
    now_ms: u64,
) {
    for report in reports {
        let received = Report { heard_ms: now_ms, ..report.report };
        fleet.report(&report.of, from as u64, received);
    }
}

/// Returns a backend server of the modeled service.
pub(crate) fn backend(index: usize, hall: &str, slots: u32) -> Backend {
    Backend {
        instance: format!("b{index}"),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: hall.into(),
        slots,
        is_leaving: false,
        born_ms: 0,
        cold_left_ms: 0,
    }
}
