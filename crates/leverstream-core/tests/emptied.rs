//! Tests of data halls that operators have asked to be emptied.

use leverstream_catalog::Backend;
use leverstream_core::{Availability, EmptiedHalls, Fleet, PickRequest, choose};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A fleet with one backend server in each of two halls.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for hall in ["hall-a", "hall-b"] {
        let entry = Backend {
            instance: format!("i-{hall}"),
            service: "shop".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: hall.into(),
            slots: 4,
            is_leaving: false,
            born_ms: 7,
            cold_left_ms: 0,
        };
        fleet.set(entry, 1, 0);
    }
    fleet
}

/// The halls to be emptied, as of a revision.
fn emptied(revision: u64, halls: &[&str]) -> EmptiedHalls {
    EmptiedHalls { revision, halls: halls.iter().map(|hall| (*hall).to_owned()).collect() }
}

/// Returns the instances that requests of a VM in the first hall are sent to.
fn chosen(fleet: &Fleet) -> Vec<String> {
    let request = PickRequest {
        service: "shop",
        hall: "hall-a",
        is_repeatable: true,
        tried: &[],
        waited_ms: 400,
        far_bytes_cost: 0.0,
        objective_ms: 400,
        floor_share: 0.73,
        requests_fail: true,
        requests_per_s: None,
        is_spared: false,
        vm: 0,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut chosen: Vec<String> = (0..40)
        .filter_map(|_| choose(fleet, &request, 5_000, &mut rng))
        .map(|pick| fleet.incarnation(pick.key).instance)
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

#[test]
fn an_emptied_hall_gets_no_requests_until_it_is_restored() {
    let mut fleet = fleet();
    let key = fleet.keys_of_service("shop")[0];
    assert!(fleet.may_send(key, 10));
    assert!(fleet.set_emptied(emptied(5, &["hall-a"])));
    assert_eq!(chosen(&fleet), ["i-hall-b"]);
    assert!(!fleet.may_send(key, 10), "nor a request assigned before");
    assert_eq!(fleet.state_counts(10).emptied, 1);
    assert!(fleet.set_emptied(emptied(6, &["hall-a", "hall-b"])));
    assert_eq!(fleet.availability("shop", 10), Availability::NoBackendServer);
    assert!(fleet.set_emptied(emptied(9, &[])));
    assert!(fleet.may_send(key, 10));
}

#[test]
fn emptied_halls_of_an_older_revision_are_ignored() {
    let mut fleet = fleet();
    assert!(fleet.set_emptied(emptied(5, &["hall-a"])));
    assert!(!fleet.set_emptied(emptied(4, &[])));
    assert!(!fleet.set_emptied(emptied(5, &[])));
    assert!(!fleet.set_emptied(emptied(7, &["hall-a"])), "the same as before");
    assert_eq!(fleet.emptied().revision, 7);
    assert_eq!(chosen(&fleet), ["i-hall-b"]);
}
