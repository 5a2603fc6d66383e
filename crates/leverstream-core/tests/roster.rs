//! Tests of the backend servers that a request considers, and of the updates of the rosters.
//!
//! The load under test: services with thousands of backend servers, each of which gets a request
//! every few seconds.

use std::collections::{BTreeMap, BTreeSet};

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Candidates, Fleet, Outcome, Report};
use leverstream_health::BackendKey;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A backend server.
fn backend(number: usize, service: &str, slots: u32) -> Backend {
    Backend {
        instance: format!("b{number}"),
        service: service.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots,
        is_leaving: false,
        born_ms: 0,
        cold_left_ms: 0,
    }
}

/// A fleet of one service.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    (0..count).for_each(|number| {
        fleet.set(backend(number, "shop", 3), 1, 0);
    });
    fleet
}

/// Returns the candidates of a request.
fn candidates(fleet: &Fleet, seed: u64) -> Candidates {
    fleet.candidates("shop", 1_000, &mut StdRng::seed_from_u64(seed))
}

/// Records a good answer from each of some backend servers.
fn use_some(fleet: &mut Fleet, keys: &[BackendKey]) {
    let route = fleet.route_key("r", 500);
    for key in keys {
        fleet.begin_request(*key, route, 500);
        fleet.end_request(*key, 500, route, Outcome::Good { time_ms: 100.0, bytes: 400 }, 600);
    }
}

#[test]
fn the_number_of_candidates_is_bounded_in_large_services() {
    for count in [100, 320] {
        assert_eq!(
            candidates(&fleet(count), 1).keys.len(),
            count,
            "a small service is scanned fully"
        );
    }
    for count in [400, 2_000, 10_000, 20_000] {
        let mut fleet = fleet(count);
        let keys = fleet.keys_of_service("shop").to_vec();
        assert!(candidates(&fleet, 1).keys.len() <= 320, "{count}, none observed");
        use_some(&mut fleet, &keys[..count / 2]);
        assert!(candidates(&fleet, 1).keys.len() <= 320, "{count}, half observed");
    }
}

#[test]
fn candidates_are_the_recently_observed_and_a_sample_that_represents_the_rest() {
    let mut fleet = fleet(4_000);
    let keys = fleet.keys_of_service("shop").to_vec();
    use_some(&mut fleet, &keys[..300]);
    // Another VM reports one that this VM has not used.
    let report = Report { good: 1, overdue_odds: 1.0, heard_ms: 700, ..Report::default() };
    assert!(!fleet.report(&Incarnation { instance: "b3999".into(), born_ms: 0 }, 7, report));
    for seed in 0..20 {
        let Candidates { keys: considered, known, sample_weight } = candidates(&fleet, seed);
        let distinct: BTreeSet<&BackendKey> = considered.iter().collect();
        assert_eq!(distinct.len(), considered.len(), "no duplicates");
        assert!(considered[..known].contains(&keys[3_999]));
        assert!(keys[120..300].iter().all(|key| considered[..known].contains(key)));
        let all = known as f64 + sample_weight * (considered.len() - known) as f64;
        assert!((all - 4_000.0).abs() < 1e-6, "{all}");
    }
}

#[test]
fn every_unobserved_backend_server_is_sampled_eventually() {
    let mut fleet = fleet(1_000);
    let keys = fleet.keys_of_service("shop").to_vec();
    use_some(&mut fleet, &keys[..300]);
    let drawn: BTreeSet<BackendKey> =
        (0..200).flat_map(|seed| candidates(&fleet, seed).keys).collect();
    assert_eq!(drawn.len(), 1_000);
}

/// A change to a fleet.
#[derive(Clone, Debug)]
enum Step {
    /// The platform lists a backend server with a number of slots, in one of two services.
    Set(usize, bool, u32),
    /// The platform no longer lists it.
    Remove(usize),
    /// It announces that it leaves.
    Leave(usize),
}

/// Generates a sequence of changes.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..12_usize, any::<bool>(), 1..4_u32).prop_map(|(number, is_other, slots)| Step::Set(number, is_other, slots)),
        2 => (0..12_usize).prop_map(Step::Remove),
        1 => (0..12_usize).prop_map(Step::Leave),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #[test]
    fn rosters_slots_and_deltas_match_a_full_scan(steps in steps()) {
        let mut fleet = Fleet::default();
        // The platform's list with the revision of each last change, and the leaving backend
        // servers.
        let mut listed: BTreeMap<usize, (Backend, u64)> = BTreeMap::new();
        let mut leaving = BTreeSet::new();
        for (step, revision) in steps.into_iter().zip(1..) {
            match step {
                Step::Set(number, is_other, slots) => {
                    let service = if is_other { "other" } else { "shop" };
                    let backend = backend(number, service, slots);
                    let is_news = fleet.set(backend.clone(), revision, revision);
                    let known = listed.get(&number).is_some_and(|(known, _)| *known == backend);
                    prop_assert_eq!(is_news, !known);
                    if is_news {
                        listed.insert(number, (backend, revision));
                    }
                }
                Step::Remove(number) => {
                    let is_news = fleet.remove(&format!("b{number}"), revision);
                    prop_assert_eq!(is_news, listed.remove(&number).is_some());
                }
                Step::Leave(number) => {
                    let of = Incarnation { instance: format!("b{number}"), born_ms: 0 };
                    fleet.note_leaving(&of, revision);
                    leaving.insert(number);
                }
            }
            fleet.advance_revision(revision);
            for service in ["shop", "other"] {
                let serving = listed.iter().filter(|(number, _)| !leaving.contains(*number));
                let serving = serving.filter(|(_, (backend, _))| backend.service == service);
                let serving: Vec<&Backend> = serving.map(|(_, (backend, _))| backend).collect();
                let slots: u32 = serving.iter().map(|backend| backend.slots).sum();
                prop_assert_eq!(fleet.slots(service), slots);
                let names: BTreeSet<&str> =
                    serving.iter().map(|backend| backend.instance.as_str()).collect();
                let keys = fleet.keys_of_service(service).iter();
                let found: BTreeSet<&str> = keys.map(|key| fleet.target(*key).1).collect();
                prop_assert_eq!(found, names);
            }
            let since = revision / 2;
            let changed = listed.values().filter(|(_, changed_at)| since == 0 || *changed_at > since);
            let changed: BTreeSet<String> =
                changed.map(|(backend, _)| backend.instance.clone()).collect();
            let listed_since = fleet.delta_since(since, revision).set;
            let listed_since: BTreeSet<String> = listed_since.into_iter().map(|backend| backend.instance).collect();
            prop_assert_eq!(listed_since, changed);
        }
    }
}
