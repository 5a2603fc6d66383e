//! Backend servers that say in their answers that they leave.

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Census, Delta, Fleet, Openness, Outcome, Want, choose};
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

/// One that the platform lists as leaving.
fn leaving(instance: &str, born_ms: u64) -> Backend {
    Backend { is_leaving: true, ..backend(instance, born_ms) }
}

/// A start of a backend server.
fn start(instance: &str, born_ms: u64) -> Incarnation {
    Incarnation { instance: instance.into(), born_ms }
}

/// A fleet of two that started at 10, the first of which has said that it leaves.
fn told() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set(backend("a", 10), 1, 0);
    fleet.set(backend("b", 10), 1, 0);
    fleet.publish(1);
    assert!(fleet.leave(&start("a", 10), 1_000));
    fleet
}

/// The instances that may take work, in order.
fn in_service(fleet: &Fleet) -> Vec<String> {
    let keys = fleet.of_service("shop").iter();
    let mut names: Vec<String> = keys.map(|key| fleet.target(*key).1.to_owned()).collect();
    names.sort();
    names
}

/// Which instance a request goes to, if any.
fn goes_to(fleet: &Fleet, now_ms: u64) -> Option<String> {
    let want = Want {
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
    };
    let pick = choose(fleet, &want, now_ms, &mut StdRng::seed_from_u64(1))?;
    Some(fleet.target(pick.key).1.to_owned())
}

/// Takes a whole list in, as another VM tells it.
fn take_list(fleet: &mut Fleet, revision: u64, set: Vec<Backend>) {
    let delta = Delta { revision, is_whole: true, set, ..Delta::default() };
    fleet.apply(delta, 2_000);
}

#[test]
fn the_word_takes_it_out_of_service_once() {
    let mut fleet = told();
    assert_eq!(in_service(&fleet), ["b"]);
    assert_eq!(fleet.slots("shop"), 2);
    assert!(!fleet.leave(&start("a", 10), 1_100), "nothing new");
    assert_eq!(fleet.leavers().collect::<Vec<_>>(), [start("a", 10)]);
}

#[test]
fn an_entry_that_still_says_it_is_ready_takes_nothing_back() {
    let mut fleet = told();
    assert!(!fleet.set(backend("a", 10), 2, 2_000), "a periodic entry is no news");
    let moved = "127.0.0.1:9".parse().expect("an address");
    assert!(fleet.set(Backend { address: moved, ..backend("a", 10) }, 3, 3_000));
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn a_late_entry_takes_the_platforms_own_word_back_neither() {
    let mut fleet = Fleet::default();
    fleet.set(leaving("a", 10), 2, 0);
    assert!(!fleet.set(leaving("a", 10), 3, 10), "a periodic entry is no news");
    fleet.set(backend("a", 10), 1, 20);
    assert!(in_service(&fleet).is_empty());
}

#[test]
fn a_whole_list_taken_anew_takes_nothing_back() {
    let mut fleet = told();
    take_list(&mut fleet, 5, vec![backend("a", 10), backend("b", 10)]);
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn an_entry_that_lapses_and_comes_back_takes_nothing_back() {
    let mut fleet = told();
    fleet.set_last_resort(2_000);
    take_list(&mut fleet, 5, vec![backend("b", 10)]);
    take_list(&mut fleet, 6, vec![backend("a", 10)]);
    assert!(in_service(&fleet).is_empty());
    assert_eq!(fleet.openness("shop", 2_100), Openness::Closed, "nor is it a last resort again");
}

#[test]
fn one_that_is_listed_only_after_the_word_never_comes_into_service() {
    let mut fleet = Fleet::default();
    assert!(fleet.leave(&start("a", 10), 1_000));
    fleet.set(backend("a", 10), 1, 1_500);
    assert!(in_service(&fleet).is_empty());
    assert_eq!(fleet.leavers().count(), 1, "others hear of it now");
}

#[test]
fn only_another_start_is_free_of_it() {
    let mut fleet = told();
    fleet.set(backend("a", 20), 2, 2_000);
    assert_eq!(in_service(&fleet), ["a", "b"]);
    assert!(!fleet.leave(&start("a", 10), 2_100), "late word of the earlier start");
    assert_eq!(in_service(&fleet), ["a", "b"]);
    assert!(fleet.leave(&start("a", 20), 2_200));
    fleet.set(backend("a", 10), 3, 2_300);
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn word_of_a_start_that_is_not_listed_yet_covers_the_one_before() {
    let mut fleet = Fleet::default();
    fleet.set(backend("a", 10), 1, 0);
    fleet.leave(&start("a", 20), 1_000);
    assert!(in_service(&fleet).is_empty());
    fleet.set(backend("a", 20), 2, 2_000);
    assert!(in_service(&fleet).is_empty());
    fleet.set(backend("a", 30), 3, 3_000);
    assert_eq!(in_service(&fleet), ["a"]);
}

#[test]
fn a_full_memory_brings_no_listed_one_back() {
    let mut fleet = told();
    (0..40_000).for_each(|number| {
        fleet.leave(&start(&format!("other-{number}"), 10), 2_000);
    });
    assert!(!fleet.set(backend("a", 10), 2, 3_000));
    assert_eq!(in_service(&fleet), ["b"]);
}

#[test]
fn a_vm_that_takes_the_list_from_another_is_told_before_it_knows_anybody() {
    let told = told();
    let mut newcomer = Fleet::default();
    let applied = newcomer.apply(told.since(0, 5_000), 5_000);
    assert_eq!(applied.set, 2);
    assert_eq!(in_service(&newcomer), ["b"]);
    assert_eq!(newcomer.words_fingerprint(), told.words_fingerprint());
}

#[test]
fn nothing_is_compared_once_the_platform_tells_the_same() {
    let mut fleet = told();
    assert_ne!(fleet.words_fingerprint(), 0);
    let mut gone = told();
    fleet.set(leaving("a", 10), 2, 2_000);
    assert_eq!(fleet.words_fingerprint(), 0);
    gone.remove("a", 2);
    assert_eq!(gone.words_fingerprint(), 0);
    assert_eq!(Fleet::default().words_fingerprint(), 0);
}

#[test]
fn a_service_of_which_all_leave_is_served_on_for_a_while_and_then_refused() {
    let mut fleet = told();
    fleet.set_last_resort(2_000);
    assert_eq!(goes_to(&fleet, 1_100).as_deref(), Some("b"), "while there is another, it gets all");
    fleet.leave(&start("b", 10), 2_000);
    assert_eq!(fleet.openness("shop", 2_100), Openness::Open);
    assert!(goes_to(&fleet, 2_999).is_some());
    assert_eq!(goes_to(&fleet, 3_500).as_deref(), Some("b"), "the first has had its time");
    assert_eq!(goes_to(&fleet, 4_000), None);
    assert_eq!(fleet.openness("shop", 4_000), Openness::Closed);
}

#[test]
fn a_request_that_chose_before_the_word_is_not_sent_after_it() {
    let mut fleet = Fleet::default();
    fleet.set_last_resort(2_000);
    fleet.set(backend("a", 10), 1, 0);
    fleet.set(backend("b", 10), 1, 0);
    let key = fleet.of_service("shop")[0];
    assert!(fleet.may_send(key, 1_000));
    fleet.leave(&fleet.incarnation(key), 1_000);
    assert!(!fleet.may_send(key, 1_000));
}

#[test]
fn the_platforms_own_word_ends_the_last_resort() {
    let mut fleet = told();
    fleet.set_last_resort(2_000);
    fleet.remove("b", 2);
    assert!(goes_to(&fleet, 1_500).is_some());
    fleet.set(leaving("a", 10), 3, 1_600);
    assert_eq!(goes_to(&fleet, 1_700), None);
}

#[test]
fn the_end_of_one_that_leaves_is_no_failure_of_its_service() {
    let mut fleet = told();
    fleet.set(backend("c", 10), 1, 0);
    let before = fleet.failed_share("shop");
    let route = fleet.route_key("r", 250);
    let key = *fleet.of_service("shop").first().expect("one is left");
    (0..50).for_each(|at| {
        fleet.begin(key, route, 2_000 + at);
    });
    fleet.leave(&fleet.incarnation(key), 2_100);
    (0..50).for_each(|at| {
        fleet.end(key, 2_000 + at, route, Outcome::Bad, 2_200);
    });
    assert_eq!(fleet.failed_share("shop"), before);
}

#[test]
fn operators_see_who_leaves_by_whose_word() {
    let mut fleet = told();
    fleet.set(leaving("c", 10), 2, 0);
    let expected = Census {
        in_service: 1,
        leaving: 1,
        leaving_by_word: 1,
        holding_off: 0,
        limited: 0,
        emptied: 0,
    };
    assert_eq!(fleet.census(2_000), expected);
}
