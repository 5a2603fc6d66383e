//! Measures the choice of a backend server by the number of backend servers per service.

use leverstream_catalog::Backend;
use leverstream_core::{Fleet, Outcome, PickRequest, Report, choose};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{AllocatedBytes, measure_allocation, print_row, time_us};

/// VMs in the entry set of the service.
const ENTRY_VMS: u64 = 35;

/// Number of data halls.
const HALLS: usize = 5;

/// Measures the memory and CPU time of a gateway VM by the number of backend servers per service.
pub(super) fn measure_choice(allocated: AllocatedBytes) {
    for count in [100, 1_000, 10_000] {
        let (fleet, bytes) = measure_allocation(allocated, || fleet_of(count));
        print_row(
            &format!("state per backend server, list of {count}"),
            &format!("{:.0} B", bytes / count as f64),
            &format!("74,000: {:.0} MB", bytes / count as f64 * 74_000.0 / 1e6),
        );
        let apply_us = time_us(1, || {
            std::hint::black_box(fleet_of(count));
        });
        print_row(
            &format!("a list of {count} backend servers applied"),
            &format!("{:.1} ms", apply_us / 1e3),
            &format!("{:.0} ms for 74,000", apply_us / 1e3 / count as f64 * 74_000.0),
        );
        measure_choice_among(fleet, count);
    }
}

/// Measures the time of one choice when all VMs have reported half of the service's backend servers.
fn measure_choice_among(mut fleet: Fleet, count: usize) {
    let route = fleet.route_key("r", 1_000);
    let keys = fleet.keys_of_service("s").to_vec();
    for (index, key) in keys.iter().take(count / 2).enumerate() {
        let now_ms = 1_000 + index as u64 * 500 / count as u64;
        let incarnation = fleet.incarnation(*key);
        (0..ENTRY_VMS).for_each(|vm| {
            fleet.report(&incarnation, vm, report(now_ms));
        });
        fleet.begin_request(*key, route, now_ms);
        fleet.end_request(
            *key,
            now_ms,
            route,
            Outcome::Good { time_ms: 200.0, bytes: 5_000 },
            now_ms,
        );
    }
    let mut rng = StdRng::seed_from_u64(1);
    let pick_request = PickRequest {
        service: "s",
        hall: "h0",
        is_repeatable: false,
        tried: &[],
        waited_ms: 0,
        far_bytes_cost: 0.05,
        objective_ms: 1_000,
        floor_share: 0.73,
        requests_fail: false,
        requests_per_s: Some(count as f64 / 4.0),
        is_spared: false,
        vm: 0,
    };
    let choose_us = time_us(500, || {
        std::hint::black_box(choose(&fleet, &pick_request, 2_000, &mut rng));
    });
    print_row(
        &format!("choice for a request among {count}"),
        &format!("{choose_us:.0} us"),
        &format!("{:.2} ms of the 2.4 ms budget", choose_us / 1e3),
    );
}

/// Returns a fleet state of three services, of which `s` has `count` backend servers.
fn fleet_of(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.set(backend(number, "s"), number as u64 + 1, 0);
    }
    fleet.set(backend(count, "t"), 1, 0);
    fleet.set(backend(count + 1, "u"), 1, 0);
    fleet
}

/// Returns backend server `number` of a service.
fn backend(number: usize, service: &str) -> Backend {
    Backend {
        instance: format!("i-{number:010x}"),
        service: service.into(),
        address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 8_000).into(),
        hall: format!("h{}", number % HALLS),
        slots: 3,
        is_leaving: false,
        born_ms: 1_790_000_000_000,
        cold_left_ms: 0,
    }
}

/// Returns the report of another VM whose requests to a backend server have ended.
fn report(heard_ms: u64) -> Report {
    let reached_ms = Some(heard_ms);
    Report { in_flight: 0, good: 3, bad: 0, overdue_odds: 1.0, reached_ms, heard_ms }
}
