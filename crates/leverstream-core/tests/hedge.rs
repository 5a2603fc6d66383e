//! Tests of when a request is hedged.

use leverstream_catalog::Backend;
use leverstream_core::{
    Fleet, Outcome, PendingRequest, RouteKey, hedge_gain, is_hedge_worthwhile, next_hedge_check_ms,
};
use leverstream_health::BackendKey;

/// A fleet of one backend server and a route with an observed latency and an objective of 600 ms.
fn fleet(answer_ms: f64) -> (Fleet, BackendKey, RouteKey) {
    let mut fleet = Fleet::default();
    let backend = Backend {
        instance: "a".into(),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots: 2,
        is_leaving: false,
        born_ms: 0,
        cold_left_ms: 0,
    };
    fleet.set(backend, 1, 0);
    let key = fleet.keys_of_service("shop")[0];
    let route = fleet.route_key("r", 600);
    for at in 0..200 {
        let time_ms = answer_ms * (0.8 + 0.4 * at as f64 / 200.0);
        fleet.begin_request(key, route, at);
        fleet.end_request(key, at, route, Outcome::Good { time_ms, bytes: 400 }, at);
    }
    (fleet, key, route)
}

/// Returns the gain of a hedge for a request that has been in flight for some time.
fn gain(answer_ms: f64, under_way_ms: u64) -> f64 {
    let (mut fleet, key, route) = fleet(answer_ms);
    fleet.begin_request(key, route, 1_000);
    let sends_in_flight = [(key, 1_000)];
    let pending = PendingRequest {
        route,
        sends_in_flight: &sends_in_flight,
        on_time_ms: 1_600,
        deadline_ms: 2_000,
    };
    hedge_gain(&fleet, &pending, 1_000 + under_way_ms)
}

#[test]
fn a_hedge_is_worthwhile_only_once_the_answer_is_overdue() {
    assert!(!is_hedge_worthwhile(gain(200.0, 150), 0.0), "{}", gain(200.0, 150));
    assert!(is_hedge_worthwhile(gain(200.0, 320), 0.0), "{}", gain(200.0, 320));
}

#[test]
fn a_hedge_too_late_for_the_objective_is_judged_by_the_deadline() {
    assert!(is_hedge_worthwhile(gain(200.0, 550), 0.0));
    assert!(
        !is_hedge_worthwhile(gain(200.0, 900), 0.0),
        "no hedge could be answered by the deadline"
    );
}

#[test]
fn no_hedge_is_worthwhile_at_the_usual_latency_of_a_slow_service() {
    assert!(!is_hedge_worthwhile(gain(450.0, 320), 0.0));
}

#[test]
fn the_first_hedge_check_is_at_the_median_latency() {
    let (mut fleet, key, route) = fleet(200.0);
    fleet.begin_request(key, route, 1_000);
    let sends_in_flight = [(key, 1_000)];
    let pending = PendingRequest {
        route,
        sends_in_flight: &sends_in_flight,
        on_time_ms: 1_600,
        deadline_ms: 2_000,
    };
    let first_ms = next_hedge_check_ms(&fleet, &pending, 1_000);
    assert!((180..=220).contains(&first_ms), "{first_ms}");
    let next_ms = next_hedge_check_ms(&fleet, &pending, 1_300);
    assert!((5..60).contains(&next_ms), "{next_ms}");
}

#[test]
fn the_first_hedge_check_is_immediate_at_a_doubtful_backend_server() {
    let (mut fleet, key, route) = fleet(200.0);
    for at in 0..4 {
        fleet.begin_request(key, route, 1_000 + at);
        fleet.end_request(key, 1_000 + at, route, Outcome::Bad, 1_000 + at);
    }
    fleet.begin_request(key, route, 1_010);
    let sends_in_flight = [(key, 1_010)];
    let pending = PendingRequest {
        route,
        sends_in_flight: &sends_in_flight,
        on_time_ms: 1_610,
        deadline_ms: 2_010,
    };
    assert!(next_hedge_check_ms(&fleet, &pending, 1_010) < 60);
}

#[test]
fn the_minimum_gain_rises_as_the_retry_budget_is_used() {
    // When a third of the backend servers are cut off, hedges with a gain of a fifth would use up
    // the budget, and errors would reach callers that a retry nearly always avoids.
    assert!(is_hedge_worthwhile(0.25, 0.3));
    assert!(!is_hedge_worthwhile(0.25, 0.6));
    assert!(is_hedge_worthwhile(0.8, 0.6));
    assert!(!is_hedge_worthwhile(0.8, 0.95));
}
