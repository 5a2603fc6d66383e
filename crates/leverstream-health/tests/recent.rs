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
    let chance = recent.failure_chance(1.0, 1_010);
    assert!(chance > 0.5, "{chance}");
    assert!(recent.failure_chance(1.0, 8_000) < 0.1);
}

#[test]
fn nothing_seen_is_nearly_sound() {
    assert!(Recent::default().failure_chance(1.0, 5_000) < 0.05);
    assert_eq!(Recent::default().bad_age_ms(5_000), None);
}

/// How many requests fail in a spell of failures, if one is sent whenever the backend server is not avoided.
fn trials_in_a_spell(spell_ms: u64) -> usize {
    let mut recent = Recent::default();
    let mut trials = 0;
    for now_ms in (10_000..10_000 + spell_ms).step_by(50) {
        if !recent.is_avoided(now_ms) {
            recent.bad(1, now_ms);
            trials += 1;
        }
    }
    trials
}

#[test]
fn trials_grow_rare_the_longer_a_spell_lasts() {
    assert_eq!(trials_in_a_spell(500), 1);
    assert!(trials_in_a_spell(9_000) <= 4, "{}", trials_in_a_spell(9_000));
    assert!(trials_in_a_spell(27_000) <= 7, "{}", trials_in_a_spell(27_000));
}

#[test]
fn a_long_spell_is_forgotten_within_seconds_of_good_answers() {
    let mut recent = Recent::default();
    (0..100).for_each(|at| recent.bad(1, 10_000 + at * 100));
    assert!(recent.is_avoided(24_000), "a spell of ten seconds may go on");
    let mut now_ms = 26_000;
    while recent.failure_chance(1.0, now_ms) > 0.05 {
        recent.good(1, now_ms);
        now_ms += 250;
    }
    assert!(now_ms <= 27_000, "{now_ms}");
    recent.bad(1, now_ms);
    assert!(!recent.is_avoided(now_ms + 1_500), "the next failure begins anew");
}
