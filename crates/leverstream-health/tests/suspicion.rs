//! The failure estimate of one backend server, and what a service's episode model learns.

use leverstream_health::{EpisodeModel, FailureEstimate};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The failure chance from which requests that may run only once avoid a backend server.
const AVOID_FROM: f64 = 0.35;

/// Tells whether a backend server is avoided.
fn is_avoided(estimate: &FailureEstimate, model: &EpisodeModel, now_ms: u64) -> bool {
    estimate.failure_chance(1.0, model, now_ms) >= AVOID_FROM
}

/// Records good answers of the service's other backend servers, so that its failures stay rare.
fn others_answer(model: &mut EpisodeModel, now_ms: u64) {
    for _ in 0..25 {
        FailureEstimate::new(now_ms).good(8, model, now_ms);
    }
}

/// A backend server that has answered well until `now_ms`.
fn healthy(model: &mut EpisodeModel, now_ms: u64) -> FailureEstimate {
    let mut estimate = FailureEstimate::new(0);
    estimate.good(20, model, now_ms);
    estimate
}

#[test]
fn a_backend_is_avoided_after_a_second_error_but_not_after_a_single_one() {
    let mut model = EpisodeModel::default();
    let mut estimate = healthy(&mut model, 1_000);
    estimate.bad(1, &mut model, 1_000);
    assert!(!is_avoided(&estimate, &model, 1_000));
    estimate.bad(1, &mut model, 1_050);
    assert!(is_avoided(&estimate, &model, 1_050));
    assert!(is_avoided(&estimate, &model, 2_000));
}

#[test]
fn one_failure_without_recent_outcomes_avoids_a_backend_for_seconds() {
    let mut model = EpisodeModel::default();
    let mut estimate = healthy(&mut model, 1_000);
    estimate.bad(1, &mut model, 4_000);
    assert!(is_avoided(&estimate, &model, 5_000));
    assert!(!is_avoided(&estimate, &model, 12_000));
}

#[test]
fn consecutive_failures_avoid_a_backend_for_longer() {
    let avoided_ms = |failures: u64| {
        let mut model = EpisodeModel::default();
        let mut estimate = healthy(&mut model, 1_000);
        (0..failures).for_each(|index| estimate.bad(1, &mut model, 4_000 + index));
        // The same answers of the others in all cases give the same model.
        (0..40).for_each(|_| others_answer(&mut model, 4_000 + failures));
        let end_ms = 4_000 + failures;
        (0..60_000).find(|ms| !is_avoided(&estimate, &model, end_ms + ms)).expect("avoidance ends")
    };
    assert!(avoided_ms(1) < avoided_ms(2));
    assert!(avoided_ms(2) <= avoided_ms(4));
    // The chance is at its upper bound; forty failures only lengthen the learned duration of
    // episodes a little.
    let (four_ms, forty_ms) = (avoided_ms(4), avoided_ms(40));
    assert!(four_ms.abs_diff(forty_ms) * 100 <= four_ms, "{four_ms} {forty_ms}");
}

#[test]
fn a_good_answer_after_failures_does_not_clear_them() {
    let mut model = EpisodeModel::default();
    let mut estimate = FailureEstimate::new(0);
    estimate.bad(4, &mut model, 1_000);
    others_answer(&mut model, 1_005);
    estimate.good(1, &mut model, 1_010);
    let chance = estimate.failure_chance(1.0, &model, 1_010);
    assert!(chance > 0.5, "{chance}");
    let later = estimate.failure_chance(1.0, &model, 40_000);
    assert!((later - 0.8 * model.share()).abs() < 0.02, "{later}");
}

#[test]
fn a_backend_without_outcomes_is_nearly_healthy() {
    let (estimate, model) = (FailureEstimate::new(5_000), EpisodeModel::default());
    assert!(estimate.failure_chance(1.0, &model, 5_000) < 0.05);
    assert_eq!(estimate.bad_age_ms(5_000), None);
}

/// The number of requests that fail in an episode, if one is sent whenever the backend server is
/// not avoided.
fn trials_in_an_episode(episode_ms: u64) -> usize {
    let mut model = EpisodeModel::default();
    let mut estimate = healthy(&mut model, 7_000);
    let mut trials = 0;
    for now_ms in (10_000..10_000 + episode_ms).step_by(50) {
        if !is_avoided(&estimate, &model, now_ms) {
            estimate.bad(1, &mut model, now_ms);
            trials += 1;
            others_answer(&mut model, now_ms);
        }
    }
    trials
}

#[test]
fn trials_become_rarer_the_longer_an_episode_lasts() {
    assert_eq!(trials_in_an_episode(500), 1);
    assert!(trials_in_an_episode(9_000) <= 4, "{}", trials_in_an_episode(9_000));
    assert!(trials_in_an_episode(27_000) <= 7, "{}", trials_in_an_episode(27_000));
}

#[test]
fn a_long_episode_is_forgotten_within_seconds_of_good_answers() {
    let mut model = EpisodeModel::default();
    let mut estimate = FailureEstimate::new(0);
    (0..100).for_each(|at| estimate.bad(1, &mut model, 10_000 + at * 100));
    assert!(is_avoided(&estimate, &model, 24_000), "an episode of ten seconds may continue");
    // The others of the service have answered in the meantime.
    others_answer(&mut model, 26_000);
    for now_ms in (26_000..27_000).step_by(250) {
        estimate.good(1, &mut model, now_ms);
    }
    let now_ms = 27_000;
    let chance = estimate.failure_chance(1.0, &model, now_ms);
    assert!(chance <= 0.07, "{chance}");
    estimate.good(20, &mut model, now_ms);
    estimate.bad(1, &mut model, now_ms);
    assert!(!is_avoided(&estimate, &model, now_ms), "earlier failures no longer count");
}

/// The model learned in five minutes from ten backend servers, each failing for `episode_ms` of
/// every `period_ms` in turn, with requests every 200 ms unless they are avoided.
fn learned(period_ms: u64, episode_ms: u64) -> EpisodeModel {
    let mut model = EpisodeModel::default();
    let mut all = vec![FailureEstimate::new(0); 10];
    for now_ms in (0..300_000_u64).step_by(200) {
        for (index, estimate) in all.iter_mut().enumerate() {
            let phase_ms = (now_ms + index as u64 * period_ms / 10) % period_ms;
            match is_avoided(estimate, &model, now_ms) {
                true => {}
                false if phase_ms < episode_ms => estimate.bad(1, &mut model, now_ms),
                false => estimate.good(1, &mut model, now_ms),
            }
        }
    }
    model
}

#[test]
fn a_model_learns_how_often_and_how_long_backends_fail() {
    let often = learned(30_000, 9_000);
    assert!((0.15..0.45).contains(&often.share()), "{}", often.share());
    assert!((4_000.0..14_000.0).contains(&often.decay_ms()), "{}", often.decay_ms());
    let short = learned(30_000, 1_000);
    assert!(short.decay_ms() < often.decay_ms() / 2.0, "{}", short.decay_ms());
    let never = learned(30_000, 0);
    assert!(never.share() < 0.01, "{}", never.share());
}

#[test]
fn few_backends_are_avoided_where_a_whole_service_fails_a_third_of_its_requests() {
    let mut model = EpisodeModel::default();
    let mut all = vec![FailureEstimate::new(0); 10];
    let mut avoided = 0;
    // Every third request fails, at whichever backend server.
    for at in 0..3_000_u64 {
        let (now_ms, index) = (at * 20, (at % 10) as usize);
        match at % 3 {
            0 => all[index].bad(1, &mut model, now_ms),
            _ => all[index].good(1, &mut model, now_ms),
        }
        if at >= 600 {
            avoided += all.iter().filter(|estimate| is_avoided(estimate, &model, now_ms)).count();
        }
    }
    let share = avoided as f64 / (2_400.0 * 10.0);
    assert!(share < 0.25, "{share}");
}

/// The model learned from a hidden Markov chain that is in episodes for three tenths of the time, 9
/// s each on average, where each of 40 backend servers is observed at the given rate.
fn learned_at_rate(observations_per_s: f64) -> EpisodeModel {
    let mut rng = StdRng::seed_from_u64(7);
    let mut model = EpisodeModel::default();
    let mut all = vec![(FailureEstimate::new(0), false); 40];
    for now_ms in (10..300_000_u64).step_by(10) {
        for (estimate, is_in_episode) in &mut all {
            let change_per_s = if *is_in_episode { 1.0 / 9.0 } else { 3.0 / 7.0 / 9.0 };
            *is_in_episode ^= rng.random_bool(change_per_s * 0.01);
            if rng.random_bool(observations_per_s * 0.01) {
                match rng.random_bool(if *is_in_episode { 0.8 } else { 0.01 }) {
                    true => estimate.bad(1, &mut model, now_ms),
                    false => estimate.good(1, &mut model, now_ms),
                }
            }
        }
    }
    model
}

#[test]
fn the_learned_model_does_not_depend_on_the_rate_of_observations() {
    for observations_per_s in [0.1, 1.0, 10.0] {
        let model = learned_at_rate(observations_per_s);
        let (share, decay_ms) = (model.share(), model.decay_ms());
        assert!((0.2..=0.4).contains(&share), "{observations_per_s}: {share}");
        assert!((4_000.0..=13_000.0).contains(&decay_ms), "{observations_per_s}: {decay_ms}");
    }
}

#[test]
fn a_backend_without_recent_outcomes_is_not_avoided() {
    // Seven in ten fail as soon as they are observed, and the other three are not observed again.
    let mut model = EpisodeModel::default();
    let mut failing = vec![FailureEstimate::new(0); 70];
    for now_ms in (1_000..60_000).step_by(500) {
        failing.iter_mut().for_each(|estimate| estimate.bad(1, &mut model, now_ms));
        others_answer(&mut model, now_ms);
    }
    assert!(
        model.unobserved_failure_chance() < AVOID_FROM,
        "{}",
        model.unobserved_failure_chance()
    );
}

/// Guards against doubt that feeds itself: a trial at a backend server in doubt is backed by a second request, whose answer
/// ends the trial early, and the early end counted as a failure at all VMs.
#[test]
fn a_request_abandoned_early_is_no_failure_however_likely_an_episode_is() {
    let mut model = EpisodeModel::default();
    let mut estimate = FailureEstimate::new(0);
    (0..3).for_each(|at| estimate.bad(1, &mut model, 1_000 + at));
    let bad_age_ms = estimate.bad_age_ms(3_000);
    // Half of the healthy answers take longer.
    assert!(!estimate.unanswered(0.5, &model, 3_000));
    assert_eq!(estimate.bad_age_ms(3_000), bad_age_ms);
    // One in a hundred takes longer.
    assert!(estimate.unanswered(0.01, &model, 3_000));
    assert_eq!(estimate.bad_age_ms(3_000), Some(0));
}
