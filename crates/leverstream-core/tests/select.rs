//! Tests of the choice of a backend server for a request.

use leverstream_catalog::Backend;
use leverstream_core::{Fleet, Outcome, PickRequest, choose};
use leverstream_health::BackendKey;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A fleet of backend servers `a`, `b`, ... with two slots each, in the given halls.
fn fleet(halls: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    for (hall, instance) in halls.iter().zip(["a", "b", "c", "d"]) {
        let backend = Backend {
            instance: instance.into(),
            service: "shop".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: (*hall).into(),
            slots: 2,
            is_leaving: false,
            born_ms: 0,
            cold_left_ms: 0,
        };
        fleet.set(backend, 1, 0);
    }
    fleet
}

/// A request from hall `h1` with a cost of its traffic between halls.
fn want(far_bytes_cost: f64) -> PickRequest<'static> {
    PickRequest {
        service: "shop",
        hall: "h1",
        is_repeatable: true,
        tried: &[],
        waited_ms: 0,
        far_bytes_cost,
        objective_ms: 600,
        floor_share: 0.73,
        requests_fail: false,
        requests_per_s: None,
        is_spared: false,
        vm: 0,
    }
}

/// Returns the instance that a request is sent to.
fn chosen(fleet: &Fleet, want: &PickRequest<'_>, now_ms: u64) -> Option<String> {
    let pick = choose(fleet, want, now_ms, &mut StdRng::seed_from_u64(1))?;
    Some(fleet.target(pick.key).1.to_owned())
}

#[test]
fn a_large_answer_stays_in_its_hall_while_a_small_one_leaves_it() {
    let mut fleet = fleet(&["h1", "h2"]);
    let near = fleet.keys_of_service("shop")[0];
    let route = fleet.route_key("r", 600);
    fleet.begin_request(near, route, 1_000);
    assert_eq!(chosen(&fleet, &want(0.005), 1_000).as_deref(), Some("b"), "it has less load");
    assert_eq!(chosen(&fleet, &want(0.9), 1_000).as_deref(), Some("a"));
}

#[test]
fn a_large_answer_leaves_its_hall_if_the_near_backend_servers_fail() {
    let mut fleet = fleet(&["h1", "h2"]);
    let near = fleet.keys_of_service("shop")[0];
    let route = fleet.route_key("r", 600);
    for at in 0..3 {
        fleet.begin_request(near, route, 1_000 + at);
        fleet.end_request(near, 1_000 + at, route, Outcome::Bad, 1_000 + at);
    }
    assert_eq!(chosen(&fleet, &want(0.9), 1_100).as_deref(), Some("b"));
}

#[test]
fn repeatable_requests_accept_a_doubtful_backend_server_sooner() {
    let mut fleet = fleet(&["h1", "h1"]);
    let keys = fleet.keys_of_service("shop").to_vec();
    let route = fleet.route_key("r", 600);
    for at in 0..4 {
        fleet.begin_request(keys[0], route, 1_000 + at);
        fleet.end_request(keys[0], 1_000 + at, route, Outcome::Bad, 1_000 + at);
    }
    fleet.begin_request(keys[1], route, 1_010);
    fleet.begin_request(keys[1], route, 1_010);
    let waited = |waited_ms, is_repeatable| PickRequest { waited_ms, is_repeatable, ..want(0.0) };
    assert_eq!(chosen(&fleet, &waited(0, true), 1_020), None);
    assert_eq!(chosen(&fleet, &waited(70, true), 1_090).as_deref(), Some("a"));
    assert_eq!(chosen(&fleet, &waited(70, false), 1_090), None);
    assert_eq!(chosen(&fleet, &waited(400, false), 1_090).as_deref(), Some("a"));
}

/// Returns a fleet of four, of which the first two have answered for 20 s and the others have not
/// been reached for as long.
fn two_proven_of_four() -> (Fleet, Vec<BackendKey>) {
    let mut fleet = fleet(&["h1", "h1", "h1", "h1"]);
    let keys = fleet.keys_of_service("shop").to_vec();
    let route = fleet.route_key("r", 600);
    for at in 0..200 {
        let (now_ms, key) = (1_000 + at * 100, keys[at as usize % 2]);
        fleet.begin_request(key, route, now_ms);
        fleet.note_reached(key, now_ms);
        let outcome = Outcome::Good { time_ms: 50.0, bytes: 400 };
        fleet.end_request(key, now_ms, route, outcome, now_ms + 50);
    }
    (fleet, keys)
}

/// Guards against backend servers that stay idle because enough others have work: which of them the users judge is not known.
#[test]
fn idle_backend_servers_get_work_if_there_is_a_floor() {
    let (fleet, _) = two_proven_of_four();
    let once = |floor_share| PickRequest { is_repeatable: false, floor_share, ..want(0.0) };
    let was_idle = |instance: Option<String>| matches!(instance.as_deref(), Some("c" | "d"));
    assert!(!was_idle(chosen(&fleet, &once(0.0), 21_000)), "without a floor");
    assert!(was_idle(chosen(&fleet, &once(0.4), 21_000)), "they have been idle for 20 s");
    assert!(was_idle(chosen(&fleet, &once(0.7), 21_000)));
}

#[test]
fn a_request_that_has_failed_once_ignores_the_floors_claims() {
    // Requests fail elsewhere.
    let (fleet, keys) = two_proven_of_four();
    let failing = PickRequest { requests_fail: true, ..want(0.0) };
    let is_left_alone = |instance: Option<String>| matches!(instance.as_deref(), Some("c" | "d"));
    assert!(is_left_alone(chosen(&fleet, &failing, 21_000)));
    let again = PickRequest { tried: &keys[..1], is_repeatable: false, ..failing };
    assert_eq!(chosen(&fleet, &again, 21_000).as_deref(), Some("b"));
}

/// Guards against urgent requests that are lost in trials at backend servers of which little is
/// known, while less urgent requests arrive that could take the trials.
#[test]
fn an_urgent_request_takes_no_trial_while_less_urgent_ones_arrive() {
    let (fleet, _) = two_proven_of_four();
    let failing = PickRequest { requests_fail: true, ..want(0.0) };
    let is_proven = |instance: Option<String>| matches!(instance.as_deref(), Some("a" | "b"));
    assert!(!is_proven(chosen(&fleet, &failing, 21_000)));
    assert!(is_proven(chosen(&fleet, &PickRequest { is_spared: true, ..failing }, 21_000)));
}
