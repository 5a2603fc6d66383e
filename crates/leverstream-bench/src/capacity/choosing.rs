use leverstream_catalog::Backend;
use leverstream_core::{Fleet, Outcome, PickRequest, Report, choose};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{Allocated, growth, line, time_us};

/// How many VMs share the traffic.
const ENTRY_VMS: u64 = 35;

/// The data halls.
const HALLS: usize = 5;

/// State and time of a gateway VM by how many backend servers a service has.
pub(super) fn choosing(allocated: Allocated) {
    for count in [100, 1_000, 10_000] {
        let (fleet, bytes) = growth(allocated, || listed(count));
        line(
            &format!("a backend server of {count}, listed"),
            &format!("{:.0} B", bytes / count as f64),
            &format!("74,000: {:.0} MB", bytes / count as f64 * 74_000.0 / 1e6),
        );
        let set_us = time_us(1, || {
            std::hint::black_box(listed(count));
        });
        line(
            &format!("a list of {count} backend servers taken in"),
            &format!("{:.1} ms", set_us / 1e3),
            &format!("{:.0} ms for 74,000", set_us / 1e3 / count as f64 * 74_000.0),
        );
        a_choice(fleet, count);
    }
}

/// The time of a choice where half of a service's backend servers were heard of from all VMs.
fn a_choice(mut fleet: Fleet, count: usize) {
    let route = fleet.route_key("r", 1_000);
    let keys = fleet.keys_of_service("s").to_vec();
    for (at, key) in keys.iter().take(count / 2).enumerate() {
        let now_ms = 1_000 + at as u64 * 500 / count as u64;
        let of = fleet.incarnation(*key);
        (0..ENTRY_VMS).for_each(|vm| {
            fleet.report(&of, vm, report(now_ms));
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
    let want = PickRequest {
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
    };
    let choose_us = time_us(500, || {
        std::hint::black_box(choose(&fleet, &want, 2_000, &mut rng));
    });
    line(
        &format!("a request's choice among {count}"),
        &format!("{choose_us:.0} us"),
        &format!("{:.2} ms of the 2.4 ms", choose_us / 1e3),
    );
}

/// A fleet of one service among three.
fn listed(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.set(backend(number, "s"), number as u64 + 1, 0);
    }
    fleet.set(backend(count, "t"), 1, 0);
    fleet.set(backend(count + 1, "u"), 1, 0);
    fleet
}

/// A backend server.
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

/// What another VM tells that is done with a backend server.
fn report(heard_ms: u64) -> Report {
    let reached_ms = Some(heard_ms);
    Report { in_flight: 0, good: 3, bad: 0, overdue_odds: 1.0, reached_ms, heard_ms }
}
