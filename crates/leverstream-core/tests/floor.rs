//! Tests of the claims that the floor makes on sound backend servers.
//!
//! The load under test: a service of 105 backend servers, 22 of them new and slow from their start
//! and many failing, with 170 requests a second.

use leverstream_core::{Demand, Floor, assign_claims, used_share};
use leverstream_route::{Choice, Claim, FloorState, choose_by_cost};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A backend server that a request has just reached.
const USED: Choice = Choice {
    load: 0,
    slots: 3,
    far_cost: 0.0,
    is_cold: false,
    failure_chance: 0.03,
    slowness: 1.0,
    unobserved_failure_chance: 0.3,
    floor_state: FloorState {
        is_sound: true,
        is_steady: true,
        unused_ms: 100,
        bad_age_ms: u64::MAX,
        claim_place: 0.0,
    },
    claim: Claim::None,
    is_tried: false,
    sample_weight: 1.0,
};

/// A backend server that a request last reached `unused_ms` ago.
fn unused(unused_ms: u64) -> Choice {
    Choice { floor_state: FloorState { unused_ms, ..USED.floor_state }, ..USED }
}

/// A backend server that failed `bad_age_ms` ago, and that a request last reached then.
fn failed(failure_chance: f64, bad_age_ms: u64) -> Choice {
    let mut choice = Choice { failure_chance, ..unused(bad_age_ms) };
    choice.floor_state.bad_age_ms = bad_age_ms;
    choice
}

/// The floor of a failing service.
const FAILING: Floor =
    Floor { share: 0.73, requests_fail: true, attempts_fail: true, requests_per_s: None };

/// The floor of a healthy service.
const QUIET: Floor = Floor { requests_fail: false, attempts_fail: false, ..FAILING };

/// The floor of a service with failing attempts that are retried successfully.
const ATTEMPTS: Floor = Floor { requests_fail: false, ..FAILING };

/// Returns the claim on the last backend server.
fn claimed(choices: &[Choice], floor: Floor, is_repeatable: bool) -> Claim {
    let mut choices = choices.to_vec();
    assign_claims(&mut choices, floor, is_repeatable);
    choices.last().expect("there is one").claim
}

#[test]
fn a_slow_new_backend_server_is_claimed_again_while_the_service_fails() {
    // It is busy and slow, and its first request reached it 1.8 s ago; the share among all is above
    // the floor.
    let mut new = Choice { load: 1, slowness: 5.0, is_cold: true, ..unused(1_800) };
    new.floor_state.is_steady = false;
    let mut all = vec![USED; 20];
    all.push(new);
    assert_eq!(claimed(&all, FAILING, false), Claim::Required);
    assert_eq!(
        claimed(&all, QUIET, false),
        Claim::Required,
        "all VMs may lose power at any moment"
    );
}

/// Guards against idle backend servers at the moment of a loss of all VMs, which cannot be foreseen.
#[test]
fn a_likely_sound_backend_server_is_claimed_at_any_time_within_two_seconds() {
    let at_place = |claim_place: f64, unused_ms: u64| {
        let mut idle = unused(unused_ms);
        idle.floor_state.claim_place = claim_place;
        [vec![USED; 20], vec![idle]].concat()
    };
    for (claim_place, is_repeatable, due_ms) in
        [(0.0, true, 1_000), (0.0, false, 1_400), (1.0, true, 1_400), (1.0, false, 1_800)]
    {
        let claim = |unused_ms| claimed(&at_place(claim_place, unused_ms), QUIET, is_repeatable);
        assert_eq!(claim(due_ms), Claim::Required);
        assert_ne!(claim(due_ms - 1), Claim::Required);
    }
}

/// Guards against backend servers that have recovered and stay idle, as they failed some time ago.
#[test]
fn a_backend_server_that_failed_is_tried_again_sooner_by_repeatable_requests() {
    let is_tried = |failure_chance: f64, bad_age_ms: u64, is_repeatable: bool| {
        let all = [vec![USED; 20], vec![failed(failure_chance, bad_age_ms)]].concat();
        claimed(&all, QUIET, is_repeatable) == Claim::Required
    };
    assert!(!is_tried(0.47, 1_999, true));
    assert!(is_tried(0.47, 2_000, true));
    assert!(!is_tried(0.47, 2_999, false));
    assert!(is_tried(0.47, 3_000, false));
    // Two failures in a row.
    assert!(is_tried(0.75, 2_000, true));
    assert!(!is_tried(0.75, 5_999, false));
    assert!(is_tried(0.75, 6_000, false));
}

/// Guards against backend servers that are left alone because their whole service fails, although they answered when they were
/// last reached.
#[test]
fn a_backend_server_that_answered_last_stays_in_use_while_much_of_its_service_fails() {
    let doubtful =
        Choice { failure_chance: 0.64, unobserved_failure_chance: 0.62, ..unused(1_400) };
    let all = [vec![USED; 20], vec![doubtful]].concat();
    assert_eq!(claimed(&all, QUIET, false), Claim::Required);
    let mut failed_last = doubtful;
    failed_last.floor_state.bad_age_ms = 1_390;
    let all = [vec![USED; 20], vec![failed_last]].concat();
    assert_eq!(claimed(&all, QUIET, false), Claim::None);
}

/// Guards against a trial that ends without an answer, as its request was answered elsewhere, and then delays the next
/// one as a failure does.
#[test]
fn a_trial_without_an_outcome_does_not_delay_the_next_repeatable_one() {
    let mut tried = failed(0.47, 4_000);
    tried.floor_state.unused_ms = 1_000;
    let all = [vec![USED; 20], vec![tried]].concat();
    assert_eq!(claimed(&all, QUIET, true), Claim::Required);
    assert_eq!(claimed(&all, QUIET, false), Claim::None);
}

#[test]
fn repeatable_requests_claim_earlier() {
    let all = [USED, USED, USED, unused(1_300)];
    assert_eq!(claimed(&all, FAILING, true), Claim::Required);
    assert_eq!(claimed(&all, FAILING, false), Claim::None);
}

#[test]
fn a_doubtful_backend_server_is_claimed_only_below_the_floor() {
    let doubtful = failed(0.7, 1_950);
    assert_eq!(claimed(&[USED, USED, USED, doubtful], FAILING, false), Claim::None);
    assert_eq!(claimed(&[USED, USED, USED, doubtful], ATTEMPTS, true), Claim::None);
    assert_eq!(claimed(&[USED, USED, doubtful, doubtful], FAILING, true), Claim::Required);
    assert_eq!(claimed(&[USED, USED, doubtful, doubtful], FAILING, false), Claim::Required);
}

#[test]
fn repeatable_requests_aim_above_the_floor_while_requests_fail() {
    // A VM cannot tell which backend servers are undisturbed, so the share must hold in any small
    // subset.
    let doubtful = failed(0.7, 1_950);
    let nine_in_ten = [vec![USED; 9], vec![doubtful]].concat();
    assert_eq!(claimed(&nine_in_ten, FAILING, true), Claim::Required);
    assert_eq!(claimed(&nine_in_ten, FAILING, false), Claim::None);
    let nearly_all = [vec![USED; 24], vec![doubtful]].concat();
    assert_eq!(claimed(&nearly_all, FAILING, true), Claim::None);
}

#[test]
fn non_repeatable_requests_avoid_doubtful_backend_servers_while_only_attempts_fail() {
    let doubtful = failed(0.6, 1_950);
    let below = [USED, USED, doubtful, doubtful];
    assert_eq!(claimed(&below, ATTEMPTS, true), Claim::Required);
    assert_eq!(claimed(&below, ATTEMPTS, false), Claim::Preferred);
    // Such claims would make a failing service worse: three of ten unobserved backend servers fail
    // again.
    let in_question = failed(0.3, 2_900);
    assert_eq!(claimed(&[USED, USED, USED, USED, in_question], FAILING, true), Claim::Required);
    assert_eq!(claimed(&[USED, USED, USED, USED, in_question], FAILING, false), Claim::None);
    // It has no observations, and most of the others fail.
    let unseen = Choice { unobserved_failure_chance: 0.6, ..doubtful };
    assert_eq!(claimed(&[USED, USED, USED, USED, unseen], ATTEMPTS, false), Claim::None);
}

#[test]
fn a_backend_server_that_failed_recently_is_not_claimed() {
    let mut failed = failed(0.7, 1_800);
    failed.floor_state.is_sound = false;
    failed.floor_state.unused_ms = 5_000;
    assert_eq!(claimed(&[failed, failed], FAILING, true), Claim::None);
    assert_eq!(claimed(&[failed, failed], FAILING, false), Claim::None);
}

#[test]
fn nothing_is_claimed_if_the_request_rate_cannot_reach_the_floor() {
    // Within the time the floor measures, 800 requests a second reach about 1,400 of 4,000 backend
    // servers; 8,000 reach all.
    let all = [vec![USED; 200], vec![unused(3_000); 3_800]].concat();
    let claimed_at = |requests_per_s: Option<f64>, floor: Floor, is_repeatable: bool| {
        claimed(&all, Floor { requests_per_s, ..floor }, is_repeatable)
    };
    for is_repeatable in [false, true] {
        for floor in [FAILING, QUIET, ATTEMPTS] {
            assert_eq!(claimed_at(Some(800.0), floor, is_repeatable), Claim::None);
            assert_ne!(claimed_at(Some(8_000.0), floor, is_repeatable), Claim::None);
            assert_ne!(claimed_at(None, floor, is_repeatable), Claim::None, "the rate is unknown");
        }
    }
}

#[test]
fn the_arrival_rate_is_estimated_early_and_within_bounds() {
    let mut demand = Demand::default();
    assert_eq!(demand.per_s(5_000), None);
    // One request each half second; thirty seconds later, ten a second for eight seconds.
    demand.note_arrival(10_000);
    assert_eq!(demand.per_s(10_290), None);
    assert!(demand.per_s(10_300).is_some());
    (1..10).for_each(|at| demand.note_arrival(10_000 + at * 500));
    let slow = demand.per_s(14_500).expect("it is known");
    assert!((1.6..2.6).contains(&slow), "{slow}");
    (0..80).for_each(|at| demand.note_arrival(45_000 + at * 100));
    let fast = demand.per_s(53_000).expect("it is known");
    assert!((5.0..7.0).contains(&fast), "{fast}");
}

#[test]
fn undoubted_backend_servers_are_reached_within_two_seconds_while_a_service_fails() {
    let mut rng = StdRng::seed_from_u64(3);
    // The latest arrival at each backend server; 22 are new and 30 in doubt. A request takes 250
    // ms, at a new one 3 s.
    let mut reached_ms = vec![0_u64; 105];
    let mut works: Vec<Vec<u64>> = vec![Vec::new(); 105];
    let is_new = |at: usize| at < 22;
    let is_doubtful = |at: usize| (22..52).contains(&at);
    let mut longest_ms = 0;
    for now_ms in (0..10_000_u64).step_by(6) {
        let mut choices: Vec<Choice> = (0..105)
            .map(|at| {
                works[at].retain(|end_ms| *end_ms > now_ms);
                let mut choice = unused(now_ms - reached_ms[at]);
                choice.load = works[at].len() as u32;
                choice.floor_state.is_steady = !is_new(at);
                choice.slowness = if is_new(at) { 5.0 } else { 1.0 };
                choice.failure_chance = if is_doubtful(at) { 0.7 } else { 0.05 };
                choice
            })
            .collect();
        // One request in three is repeatable.
        let is_repeatable = (now_ms / 6).is_multiple_of(3);
        assign_claims(&mut choices, FAILING, is_repeatable);
        let at =
            choose_by_cost(&choices, is_repeatable, false, &mut rng).expect("there are free slots");
        works[at].push(now_ms + if is_new(at) { 3_000 } else { 250 });
        reached_ms[at] = now_ms;
        if now_ms > 3_000 {
            let undoubted = (0..105).filter(|at| !is_doubtful(*at));
            longest_ms =
                longest_ms.max(undoubted.map(|at| now_ms - reached_ms[at]).max().unwrap_or(0));
            assert!(used_share(&choices) >= 0.7, "{now_ms}: {}", used_share(&choices));
        }
    }
    assert!(longest_ms < 2_000, "{longest_ms}");
}

#[test]
fn refusals_apply_the_floor_to_non_repeatable_requests_only_above_a_higher_share() {
    // One workspace exceeds its allotment: of 60 requests a second for the service, one in `one_in`
    // is refused before it reaches the service, and one in thirty fails there.
    let refusing = |one_in: u64| {
        let mut demand = Demand::default();
        for at in 0..300_u64 {
            let now_ms = at * 1_000 / 60;
            match at % one_in {
                0 => demand.note_refused(now_ms),
                _ => demand.note_end(at % 30 != 1, now_ms),
            }
        }
        (demand.is_failing(true, 5_000), demand.is_failing(false, 5_000))
    };
    assert_eq!(refusing(60), (false, false));
    assert_eq!(refusing(15), (true, false));
    assert_eq!(refusing(5), (true, true));
}
