//! Tests of backend servers that hold off a VM.

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Availability, Delta, Fleet, Outcome, PickRequest, RouteKey, choose};
use leverstream_health::BackendKey;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A fleet of backend servers `a`, `b`, ... with two slots each, and a route.
fn fleet(count: usize) -> (Fleet, RouteKey) {
    let mut fleet = Fleet::default();
    ["a", "b", "c"].iter().take(count).for_each(|instance| {
        fleet.set(backend(instance, 10), 1, 0);
    });
    fleet.advance_revision(1);
    let route = fleet.route_key("r", 250);
    (fleet, route)
}

/// A backend server of the service `shop`.
fn backend(instance: &str, born_ms: u64) -> Backend {
    Backend {
        instance: instance.into(),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots: 2,
        is_leaving: false,
        born_ms,
        cold_left_ms: 0,
    }
}

/// Returns the backend server that a request is sent to.
fn chosen(fleet: &Fleet, now_ms: u64) -> Option<BackendKey> {
    let request = PickRequest {
        service: "shop",
        hall: "h1",
        is_repeatable: true,
        tried: &[],
        waited_ms: 0,
        far_bytes_cost: 0.0,
        objective_ms: 600,
        floor_share: 0.73,
        requests_fail: true,
        requests_per_s: None,
        is_spared: false,
        vm: 0,
    };
    Some(choose(fleet, &request, now_ms, &mut StdRng::seed_from_u64(1))?.key)
}

/// Returns the key of an instance.
fn key(fleet: &Fleet, instance: &str) -> BackendKey {
    let keys = fleet.keys_of_service("shop").iter().copied();
    keys.into_iter()
        .find(|key| fleet.target(*key).1 == instance)
        .expect("the instance is in service")
}

#[test]
fn no_request_is_sent_during_a_hold_off_even_for_the_floor() {
    let (mut fleet, _) = fleet(2);
    let key_a = key(&fleet, "a");
    fleet.hold_off(key_a, 5_000, 1_000);
    for now_ms in [1_000, 2_000, 5_999] {
        assert_eq!(chosen(&fleet, now_ms), Some(key(&fleet, "b")), "{now_ms}");
        assert!(!fleet.may_send(key_a, now_ms), "nor a request assigned before");
    }
    assert!(fleet.may_send(key_a, 6_000));
}

#[test]
fn the_later_end_of_overlapping_hold_offs_applies() {
    let (mut fleet, _) = fleet(1);
    let key_a = key(&fleet, "a");
    fleet.hold_off(key_a, 5_000, 1_000);
    fleet.hold_off(key_a, 100, 2_000);
    fleet.hold_off(key_a, 0, 2_000);
    assert!(!fleet.may_send(key_a, 5_999));
    fleet.hold_off(key_a, u64::MAX, 3_000);
    assert!(!fleet.may_send(key_a, u64::MAX - 1));
}

#[test]
fn after_a_hold_off_one_request_must_be_answered_before_more_are_sent() {
    let (mut fleet, route) = fleet(1);
    let key_a = key(&fleet, "a");
    fleet.begin_request(key_a, route, 900);
    fleet.hold_off(key_a, 1_000, 1_000);
    let good = Outcome::Good { time_ms: 50.0, bytes: 10 };
    fleet.end_request(key_a, 900, route, good, 1_100);
    fleet.begin_request(key_a, route, 2_000);
    assert_eq!(chosen(&fleet, 2_010), None, "an answer to an earlier request does not count");
    fleet.end_request(key_a, 2_000, route, Outcome::Neutral, 2_020);
    fleet.begin_request(key_a, route, 2_030);
    assert_eq!(chosen(&fleet, 2_040), None, "nor does a rejected request");
    fleet.end_request(key_a, 2_030, route, good, 2_080);
    fleet.begin_request(key_a, route, 2_090);
    assert_eq!(chosen(&fleet, 2_090), Some(key_a));
}

#[test]
fn a_neutral_outcome_is_no_failure() {
    let (mut fleet, route) = fleet(1);
    let key_a = key(&fleet, "a");
    let before = fleet.failed_share("shop");
    for at in 0..50 {
        fleet.begin_request(key_a, route, at * 10);
        fleet.end_request(key_a, at * 10, route, Outcome::Neutral, at * 10 + 5);
    }
    assert_eq!(fleet.failed_share("shop"), before);
    assert!(chosen(&fleet, 1_000).is_some());
}

#[test]
fn the_earliest_end_is_returned_if_all_hold_off() {
    let (mut fleet, _) = fleet(2);
    fleet.hold_off(key(&fleet, "a"), 5_000, 1_000);
    assert_eq!(fleet.availability("shop", 1_000), Availability::Available);
    fleet.hold_off(key(&fleet, "b"), 3_000, 1_000);
    assert_eq!(fleet.availability("shop", 1_000), Availability::HoldsOffUntil(4_000));
    assert_eq!(chosen(&fleet, 1_000), None);
    assert_eq!(fleet.availability("shop", 4_000), Availability::Available);
    assert_eq!(fleet.availability("other", 1_000), Availability::NoBackendServer);
}

#[test]
fn a_hold_off_survives_relisting_but_not_a_restart() {
    let (mut fleet, _) = fleet(2);
    fleet.hold_off(key(&fleet, "a"), 5_000, 1_000);
    let list = |revision, set| Delta { revision, is_whole: true, set, ..Delta::default() };
    fleet.apply(list(2, vec![backend("b", 10)]), 1_500);
    fleet.apply(list(3, vec![backend("a", 10), backend("b", 10)]), 2_000);
    assert!(!fleet.may_send(key(&fleet, "a"), 2_500));
    fleet.apply(list(4, vec![backend("a", 20), backend("b", 10)]), 2_600);
    assert!(fleet.may_send(key(&fleet, "a"), 2_700));
}

#[test]
fn a_leaving_backend_server_that_holds_off_is_no_last_resort() {
    let (mut fleet, _) = fleet(1);
    fleet.set_last_resort(2_000);
    let key_a = key(&fleet, "a");
    fleet.hold_off(key_a, 700, 1_000);
    fleet.note_leaving(&Incarnation { instance: "a".into(), born_ms: 10 }, 1_000);
    assert_eq!(fleet.availability("shop", 1_100), Availability::HoldsOffUntil(1_700));
    assert!(!fleet.may_send(key_a, 1_100));
    assert!(fleet.may_send(key_a, 1_800));
}
