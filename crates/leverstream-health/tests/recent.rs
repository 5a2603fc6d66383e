//! What the last outcomes say of the next one.

use leverstream_health::Recent;

#[test]
fn one_failure_avoids_for_a_second_and_no_longer_than_two() {
    let mut recent = Recent::default();
    recent.good(20, 1_000);
    assert!(!recent.is_avoided(1_000));
    recent.bad(1, 1_000);
    assert!(recent.is_avoided(1_500));
    assert!(!recent.is_avoided(2_000));
}

#[test]
fn failures_in_a_row_avoid_for_longer() {
    let avoided_ms = |failures: u64| {
        let mut recent = Recent::default();
        (0..failures).for_each(|at| recent.bad(1, 1_000 + at));
        (0..).find(|ms| !recent.is_avoided(1_000 + failures + ms)).expect("it ends")
    };
    assert!(avoided_ms(1) < avoided_ms(2));
    assert!(avoided_ms(2) < avoided_ms(4));
    assert_eq!(avoided_ms(20), avoided_ms(40));
}

#[test]
fn a_good_answer_ends_the_row_but_not_the_memory() {
    let mut recent = Recent::default();
    recent.bad(4, 1_000);
    recent.good(1, 1_010);
    let chance = recent.failure_chance(1_010);
    assert!(chance > 0.5, "{chance}");
    assert!(recent.failure_chance(8_000) < 0.1);
}

#[test]
fn nothing_seen_is_nearly_sound() {
    assert!(Recent::default().failure_chance(5_000) < 0.05);
    assert_eq!(Recent::default().bad_age_ms(5_000), None);
}
