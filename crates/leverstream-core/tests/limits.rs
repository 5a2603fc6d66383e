//! What backend servers say of how many requests a second they take from all VMs together.

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Fleet, LimitTold, LimitWord, Openness, Want, Words, WordsTold, choose};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The entry of a start.
fn entry(number: usize, born_ms: u64) -> Backend {
    Backend {
        instance: format!("i-{number}"),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots: 4,
        is_leaving: false,
        born_ms,
        cold_left_ms: 0,
    }
}

/// The start of an entry.
fn of(number: usize, born_ms: u64) -> Incarnation {
    entry(number, born_ms).incarnation()
}

/// A fleet of so many backend servers.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    (0..count).for_each(|number| {
        fleet.set(entry(number, 7), 1, 0);
    });
    fleet
}

/// What an answer to a request has said that was sent at a moment.
fn word(per_s: Option<f64>, sent_ms: i64) -> LimitWord {
    LimitWord { per_s, sent_ms }
}

/// The limit of the first backend server.
fn limit(fleet: &Fleet) -> Option<f64> {
    fleet.limit_word(&of(0, 7)).and_then(|word| word.per_s)
}

/// Where a request would go.
fn chosen(fleet: &Fleet, now_ms: u64) -> Option<usize> {
    let want = Want {
        service: "shop",
        hall: "h1",
        is_repeatable: true,
        tried: &[],
        waited_ms: 400,
        far_bytes_cost: 0.0,
        objective_ms: 400,
        floor_share: 0.73,
        requests_fail: false,
        requests_per_s: None,
    };
    let pick = choose(fleet, &want, now_ms, &mut StdRng::seed_from_u64(1))?;
    fleet.incarnation(pick.key).instance[2..].parse().ok()
}

#[test]
fn the_newest_word_holds_raised_lowered_or_gone() {
    let mut fleet = fleet(1);
    assert!(fleet.note_limit(&of(0, 7), word(Some(2.0), 100), 150));
    assert!(!fleet.note_limit(&of(0, 7), word(Some(2.0), 200), 250), "nothing new");
    assert!(fleet.note_limit(&of(0, 7), word(Some(0.0), 300), 350));
    // An answer to an earlier request came late.
    assert!(!fleet.note_limit(&of(0, 7), word(None, 250), 400));
    assert_eq!(limit(&fleet), Some(0.0));
    assert!(fleet.note_limit(&of(0, 7), word(None, 400), 450));
    assert_eq!(limit(&fleet), None);
    assert!(!fleet.note_limit(&of(0, 7), word(Some(0.0), 320), 500));
    assert_eq!(limit(&fleet), None);
}

#[test]
fn it_is_a_fact_of_one_start() {
    let mut fleet = fleet(1);
    fleet.note_limit(&of(0, 7), word(Some(2.0), 100), 150);
    assert!(!fleet.note_limit(&of(0, 6), word(Some(1.0), 200), 250), "of a start before");
    assert_eq!(limit(&fleet), Some(2.0));
    // Its entry lapses and comes back.
    fleet.remove("i-0", 2);
    fleet.set(entry(0, 7), 3, 300);
    assert_eq!(limit(&fleet), Some(2.0));
    assert_eq!(fleet.limits(400).len(), 1);
    // Another start is free of it.
    fleet.set(entry(0, 8), 4, 500);
    assert!(fleet.limits(600).is_empty());
    // The word came before the entry.
    fleet.note_limit(&of(1, 7), word(Some(3.0), 600), 650);
    fleet.set(entry(1, 7), 5, 700);
    assert_eq!(fleet.limits(800)[0].per_s, Some(3.0));
}

#[test]
fn a_vm_that_starts_hears_it_with_the_list() {
    let mut elder = fleet(3);
    elder.note_limit(&of(1, 7), word(Some(2.0), 40_000), 40_100);
    elder.publish(9);
    let mut newcomer = Fleet::default();
    newcomer.apply(elder.since(0, 41_000), 50);
    let told = newcomer.limit_word(&of(1, 7)).expect("it was told");
    assert_eq!(told, word(Some(2.0), 50 - 1_000), "a second old, by its own clock");
    assert_eq!(elder.words_fingerprint(), newcomer.words_fingerprint());
}

#[test]
fn vms_come_to_know_the_same_also_of_one_that_is_lifted() {
    let (mut knows, mut missed) = (fleet(2), fleet(2));
    for fleet in [&mut knows, &mut missed] {
        fleet.note_limit(&of(0, 7), word(Some(2.0), 100), 150);
    }
    knows.note_limit(&of(0, 7), word(None, 200), 250);
    let told = Words::default().compare(knows.words_fingerprint(), &missed, true, 300);
    let heard = Words::hear(told.expect("they differ"), &mut knows, 302);
    assert!(heard.limits.is_empty(), "what it was told is older");
    let heard = Words::hear(heard.answer.expect("it knows better"), &mut missed, 304);
    assert_eq!(heard.limits.len(), 1);
    assert_eq!(missed.words_fingerprint(), 0);
    // The other way round: who has missed that there is one.
    knows.note_limit(&of(1, 7), word(Some(1.0), 400), 450);
    let told = Words::default().compare(0, &knows, true, 500).expect("they differ");
    Words::hear(told, &mut missed, 502);
    assert_eq!(knows.words_fingerprint(), missed.words_fingerprint());
}

#[test]
fn what_is_no_limit_or_of_no_known_start_does_no_harm() {
    let mut fleet = fleet(1);
    let told = |number, per_s, age_ms| LimitTold { of: of(number, 7), per_s, age_ms };
    let limits = vec![told(0, Some(2.0), u64::MAX), told(5, None, 3), told(6, Some(1.0), 0)];
    Words::hear(WordsTold { limits, ..WordsTold::default() }, &mut fleet, 100);
    assert_eq!(limit(&fleet), Some(2.0));
    fleet.note_limit(&of(0, 7), word(None, 1), 101);
    assert_eq!(limit(&fleet), None, "any answer is newer");
}

#[test]
fn a_denied_one_is_left_out_until_a_permit_may_be_asked_for_again() {
    let mut fleet = fleet(2);
    let key = fleet.of_service("shop")[0];
    fleet.note_limit(&of(0, 7), word(Some(2.0), 100), 150);
    fleet.deny(key, 700, Some(0.5));
    assert_eq!(chosen(&fleet, 200), Some(1));
    let other = fleet.of_service("shop")[1];
    fleet.hold_off(other, 60_000, 200);
    assert_eq!(chosen(&fleet, 300), None);
    assert_eq!(fleet.openness("shop", 300), Openness::Limited { per_s: 0.5, from_ms: 700 });
    assert_eq!(chosen(&fleet, 700), Some(0));
    // Lifted, it is open at once.
    fleet.deny(key, 9_000, None);
    fleet.note_limit(&of(0, 7), word(None, 800), 850);
    assert_eq!(chosen(&fleet, 860), Some(0));
    assert_eq!(fleet.openness("shop", 860), Openness::Open);
}
