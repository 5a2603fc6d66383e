//! Tests of backend servers that announce in an answer that they leave.

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Availability, Delta, Fleet, Outcome, PickRequest, StateCounts, choose};
use rand::SeedableRng;
use rand::rngs::StdRng;

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

/// A backend server that the platform lists as leaving.
fn leaving(instance: &str, born_ms: u64) -> Backend {
    Backend { is_leaving: true, ..backend(instance, born_ms) }
}

/// An incarnation of a backend server.
fn incarnation_of(instance: &str, born_ms: u64) -> Incarnation {
    Incarnation { instance: instance.into(), born_ms }
}

/// A fleet of two backend servers that started at 10; the first has announced that it leaves.
fn fleet_with_leave_notice() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set(backend("a", 10), 1, 0);
    fleet.set(backend("b", 10), 1, 0);
    fleet.advance_revision(1);
    assert!(fleet.note_leaving(&incarnation_of("a", 10), 1_000));
    fleet
}

/// Returns the instances in service, sorted.
fn in_service(fleet: &Fleet) -> Vec<String> {
    let keys = fleet.keys_of_service("shop").iter();
    let mut names: Vec<String> = keys.map(|key| fleet.target(*key).1.to_owned()).collect();
    names.sort();
    names
}

/// Returns the instance that a request is sent to, if any.
fn chosen(fleet: &Fleet, now_ms: u64) -> Option<String> {
    let request = PickRequest {
        service: "shop",
        hall: "h1",
        is_repeatable: true,
        tried: &[],
        waited_ms: 0,
        far_bytes_cost: 0.0,
        objective_ms: 600,
        floor_share: 0.73,
        requests_fail: false,
        requests_per_s: None,
        is_spared: false,
        vm: 0,
    };
    let pick = choose(fleet, &request, now_ms, &mut StdRng::seed_from_u64(1))?;
    Some(fleet.target(pick.key).1.to_owned())
}

/// Applies a whole list from another VM.
fn apply_whole_list(fleet: &mut Fleet, revision: u64, set: Vec<Backend>) {
    let delta = Delta { revision, is_whole: true, set, ..Delta::default() };
    fleet.apply(delta, 2_000);
}

#[test]
fn a_leave_notice_takes_an_incarnation_out_of_service_once() {
    let mut fleet = fleet_with_leave_notice();
    assert_eq!(in_service(&fleet), ["b"]);
    assert_eq!(fleet.slots("shop"), 2);
    assert!(!fleet.note_leaving(&incarnation_of("a", 10), 1_100), "already known");
    assert_eq!(fleet.announced_leaving().collect::<Vec<_>>(), [incarnation_of("a", 10)]);
}

#[test]
fn a_ready_entry_does_not_undo_a_leave_notice() {
    let mut fleet = fleet_with_leave_notice();
    assert!(!fleet.set(backend("a", 10), 2, 2_000), "an unchanged entry");
    let moved = "127.0.0.1:9".parse().expect("an address");
    assert!(fleet.set(Backend { address: moved, ..backend("a", 10) }, 3, 3_000));
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn a_late_ready_entry_does_not_undo_a_leaving_entry() {
    let mut fleet = Fleet::default();
    fleet.set(leaving("a", 10), 2, 0);
    assert!(!fleet.set(leaving("a", 10), 3, 10), "an unchanged entry");
    fleet.set(backend("a", 10), 1, 20);
    assert!(in_service(&fleet).is_empty());
}

#[test]
fn a_whole_list_does_not_undo_a_leave_notice() {
    let mut fleet = fleet_with_leave_notice();
    apply_whole_list(&mut fleet, 5, vec![backend("a", 10), backend("b", 10)]);
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn relisting_does_not_undo_a_leave_notice() {
    let mut fleet = fleet_with_leave_notice();
    fleet.set_last_resort(2_000);
    apply_whole_list(&mut fleet, 5, vec![backend("b", 10)]);
    apply_whole_list(&mut fleet, 6, vec![backend("a", 10)]);
    assert!(in_service(&fleet).is_empty());
    assert_eq!(
        fleet.availability("shop", 2_100),
        Availability::NoBackendServer,
        "it is no last resort again"
    );
}

#[test]
fn an_incarnation_listed_after_its_leave_notice_is_never_in_service() {
    let mut fleet = Fleet::default();
    assert!(fleet.note_leaving(&incarnation_of("a", 10), 1_000));
    fleet.set(backend("a", 10), 1, 1_500);
    assert!(in_service(&fleet).is_empty());
    assert_eq!(fleet.announced_leaving().count(), 1, "other VMs are told from now on");
}

#[test]
fn only_a_new_incarnation_undoes_a_leave_notice() {
    let mut fleet = fleet_with_leave_notice();
    fleet.set(backend("a", 20), 2, 2_000);
    assert_eq!(in_service(&fleet), ["a", "b"]);
    assert!(
        !fleet.note_leaving(&incarnation_of("a", 10), 2_100),
        "a late notice of the earlier incarnation"
    );
    assert_eq!(in_service(&fleet), ["a", "b"]);
    assert!(fleet.note_leaving(&incarnation_of("a", 20), 2_200));
    fleet.set(backend("a", 10), 3, 2_300);
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn a_leave_notice_of_an_unlisted_incarnation_covers_earlier_ones() {
    let mut fleet = Fleet::default();
    fleet.set(backend("a", 10), 1, 0);
    fleet.note_leaving(&incarnation_of("a", 20), 1_000);
    assert!(in_service(&fleet).is_empty());
    fleet.set(backend("a", 20), 2, 2_000);
    assert!(in_service(&fleet).is_empty());
    fleet.set(backend("a", 30), 3, 3_000);
    assert_eq!(in_service(&fleet), ["a"]);
}

#[test]
fn evicted_leave_notices_still_apply_to_listed_incarnations() {
    let mut fleet = fleet_with_leave_notice();
    (0..40_000).for_each(|number| {
        fleet.note_leaving(&incarnation_of(&format!("other-{number}"), 10), 2_000);
    });
    assert!(!fleet.set(backend("a", 10), 2, 3_000));
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn a_whole_list_brings_its_leave_notices_to_a_new_vm() {
    let source = fleet_with_leave_notice();
    let mut newcomer = Fleet::default();
    let applied = newcomer.apply(source.delta_since(0, 5_000), 5_000);
    assert_eq!(applied.set, 2);
    assert_eq!(in_service(&newcomer), ["b"]);
    assert_eq!(newcomer.notices_fingerprint(), source.notices_fingerprint());
}

#[test]
fn the_fingerprint_is_zero_once_the_platform_lists_the_same() {
    let mut fleet = fleet_with_leave_notice();
    assert_ne!(fleet.notices_fingerprint(), 0);
    let mut removed = fleet_with_leave_notice();
    fleet.set(leaving("a", 10), 2, 2_000);
    assert_eq!(fleet.notices_fingerprint(), 0);
    removed.remove("a", 2);
    assert_eq!(removed.notices_fingerprint(), 0);
    assert_eq!(Fleet::default().notices_fingerprint(), 0);
}

#[test]
fn a_service_without_others_is_served_as_a_last_resort_for_a_limited_time() {
    let mut fleet = fleet_with_leave_notice();
    fleet.set_last_resort(2_000);
    assert_eq!(chosen(&fleet, 1_100).as_deref(), Some("b"), "another backend server is in service");
    fleet.note_leaving(&incarnation_of("b", 10), 2_000);
    assert_eq!(fleet.availability("shop", 2_100), Availability::Available);
    assert!(chosen(&fleet, 2_999).is_some());
    assert_eq!(
        chosen(&fleet, 3_500).as_deref(),
        Some("b"),
        "the last resort of the first has ended"
    );
    assert_eq!(chosen(&fleet, 4_000), None);
    assert_eq!(fleet.availability("shop", 4_000), Availability::NoBackendServer);
}

#[test]
fn a_request_assigned_before_a_leave_notice_is_not_sent_after_it() {
    let mut fleet = Fleet::default();
    fleet.set_last_resort(2_000);
    fleet.set(backend("a", 10), 1, 0);
    fleet.set(backend("b", 10), 1, 0);
    let key = fleet.keys_of_service("shop")[0];
    assert!(fleet.may_send(key, 1_000));
    fleet.note_leaving(&fleet.incarnation(key), 1_000);
    assert!(!fleet.may_send(key, 1_000));
}

#[test]
fn a_leaving_entry_ends_the_last_resort() {
    let mut fleet = fleet_with_leave_notice();
    fleet.set_last_resort(2_000);
    fleet.remove("b", 2);
    assert!(chosen(&fleet, 1_500).is_some());
    fleet.set(leaving("a", 10), 3, 1_600);
    assert_eq!(chosen(&fleet, 1_700), None);
}

#[test]
fn failed_requests_at_a_leaving_backend_server_are_no_failures_of_the_service() {
    let mut fleet = fleet_with_leave_notice();
    fleet.set(backend("c", 10), 1, 0);
    let before = fleet.failed_share("shop");
    let route = fleet.route_key("r", 250);
    let key = *fleet.keys_of_service("shop").first().expect("one is left");
    (0..50).for_each(|at| {
        fleet.begin_request(key, route, 2_000 + at);
    });
    fleet.note_leaving(&fleet.incarnation(key), 2_100);
    (0..50).for_each(|at| {
        fleet.end_request(key, 2_000 + at, route, Outcome::Bad, 2_200);
    });
    assert_eq!(fleet.failed_share("shop"), before);
}

#[test]
fn state_counts_distinguish_announced_from_listed_leaving() {
    let mut fleet = fleet_with_leave_notice();
    fleet.set(leaving("c", 10), 2, 0);
    let expected = StateCounts {
        in_service: 1,
        leaving: 1,
        leaving_announced: 1,
        holding_off: 0,
        limited: 0,
        emptied: 0,
    };
    assert_eq!(fleet.state_counts(2_000), expected);
}
