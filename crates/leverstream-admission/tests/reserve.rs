//! What is reserved for urgent requests, which requests wait for a token, and what the others are
//! answered.

use leverstream_admission::{
    AllotmentRanks, DemandScope, Rank, RankRate, ShortDecision, ShortRequest, TokenQueue,
    TokenShortage,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Creates the ranks of a workspace with a demand that another VM reports.
fn ranks(rates: &[(u32, f64)]) -> AllotmentRanks {
    let mut ranks = AllotmentRanks::default();
    let rates = rates.iter().map(|(rank, per_s)| RankRate { rank: Rank(*rank), per_s: *per_s });
    ranks.demand.apply_report(7, rates.collect(), 1_000);
    ranks
}

/// A shortage of some tokens that return at 100 a second.
fn shortage(missing: f64) -> TokenShortage {
    TokenShortage { missing, rate_per_s: 100.0, scope: DemandScope::OwnVm }
}

/// Decides on a request of rank 1 with an objective of 800 ms.
fn decide(ranks: &mut AllotmentRanks, missing: f64) -> ShortDecision {
    let request = request(1, 800);
    ranks.decide(shortage(missing), request, 1_000, &mut StdRng::seed_from_u64(1))
}

/// Creates a request that has just arrived.
fn request(rank: u32, objective_ms: u64) -> ShortRequest {
    ShortRequest { rank: Rank(rank), objective_ms, arrived_ms: 1_000 }
}

/// Guards against tokens that are kept though no more urgent request arrives.
#[test]
fn nothing_is_kept_without_more_urgent_demand() {
    let ranks = ranks(&[(1, 100.0), (2, 500.0)]);
    assert_eq!(ranks.reserve(Rank(1), DemandScope::Fleet, 1_500), 0.0);
    let reserve = ranks.reserve(Rank(2), DemandScope::Fleet, 1_500);
    assert!((25.0..35.0).contains(&reserve), "{reserve} tokens for 100 requests a second");
}

/// Guards against a reserve for a VM that is dead, frozen or cut off.
#[test]
fn reserve_ends_a_second_after_the_last_report() {
    let ranks = ranks(&[(0, 100.0)]);
    assert!(ranks.reserve(Rank(1), DemandScope::Fleet, 1_999) > 0.0);
    assert_eq!(ranks.reserve(Rank(1), DemandScope::Fleet, 2_000), 0.0);
}

/// Guards against a VM that hears few others and keeps tokens of its own fraction for requests that
/// arrive elsewhere.
#[test]
fn a_vm_cut_off_keeps_tokens_for_its_own_requests_only() {
    let mut ranks = ranks(&[(0, 100.0)]);
    assert_eq!(ranks.reserve(Rank(1), DemandScope::OwnVm, 1_500), 0.0);
    (0..20).for_each(|_| ranks.demand.note_arrival(Rank(0), 1_500));
    assert!(ranks.reserve(Rank(1), DemandScope::OwnVm, 1_500) >= 5.0);
}

/// Guards against requests that wait though their token may not come in time, and against a wait
/// without a bound on their number.
#[test]
fn only_requests_that_get_a_token_soon_wait() {
    let mut waiting = AllotmentRanks::default();
    let is_waiting = |decision| matches!(decision, ShortDecision::Wait { until_ms: 1_100, .. });
    assert!(is_waiting(decide(&mut waiting, 1.0)));
    assert!(!is_waiting(decide(&mut waiting, 8.0)));
    let more = (0..100).filter(|_| is_waiting(decide(&mut waiting, 0.1))).count();
    assert!(more <= 10, "{more} more wait for tokens that return at ten in 100 ms");
}

/// Guards against a wait of more than an eighth of a short objective.
#[test]
fn a_short_objective_shortens_the_wait() {
    let mut ranks = AllotmentRanks::default();
    let mut rng = StdRng::seed_from_u64(1);
    let decision = ranks.decide(shortage(1.0), request(0, 400), 1_000, &mut rng);
    assert!(matches!(decision, ShortDecision::Wait { until_ms: 1_050, .. }), "{decision:?}");
    let decision = ranks.decide(shortage(1.0), request(0, 80), 1_000, &mut rng);
    assert!(matches!(decision, ShortDecision::Refuse { .. }), "{decision:?}");
}

/// Guards against a wait for a token that is added to earlier waits: the request would be held for
/// more than an eighth of its objective.
#[test]
fn earlier_waits_shorten_the_wait_for_a_token() {
    let mut ranks = AllotmentRanks::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut decide_at = |now_ms| ranks.decide(shortage(1.0), request(0, 800), now_ms, &mut rng);
    let decision = decide_at(1_060);
    assert!(matches!(decision, ShortDecision::Wait { until_ms: 1_100, .. }), "{decision:?}");
    let decision = decide_at(1_150);
    assert!(matches!(decision, ShortDecision::Refuse { .. }), "{decision:?}");
}

/// Guards against a waiting request that is kept until its time is over though its token can't come
/// before that.
#[test]
fn a_waiting_request_is_given_up_once_its_token_comes_too_late() {
    let mut ranks = AllotmentRanks::default();
    let ShortDecision::Wait { turn, until_ms } = decide(&mut ranks, 1.0) else {
        panic!("it waits")
    };
    let can_wait =
        |ranks: &AllotmentRanks, missing| ranks.can_wait(shortage(missing), turn, until_ms, 1_040);
    assert!(can_wait(&ranks, 20.0), "20 tokens return in 200 ms, four times 60 ms are left");
    assert!(!can_wait(&ranks, 30.0));
    assert!(!ranks.can_wait(shortage(0.0), turn, until_ms, until_ms));
    for _ in 0..25 {
        ranks.queue.join(Rank(0));
    }
    assert!(!can_wait(&ranks, 1.0), "25 more urgent requests go first");
}

/// Guards against callers that get the same time to retry, all of them, or before there is room.
#[test]
fn retries_are_spread_over_the_time_that_the_refused_need() {
    let mut ranks = AllotmentRanks::default();
    let mut rng = StdRng::seed_from_u64(1);
    let mut refuse = |ranks: &mut AllotmentRanks, missing| {
        ranks.refuse(shortage(missing), Rank(1), 1_000, &mut rng)
    };
    assert_eq!(refuse(&mut ranks, 1.0), 50);
    let after_ms: Vec<u64> = (0..200).map(|_| refuse(&mut ranks, 20.0)).collect();
    assert!(after_ms.iter().all(|ms| *ms >= 200), "20 tokens return in 200 ms");
    let last = &after_ms[100..];
    let spread_ms = last.iter().max().unwrap_or(&0) - last.iter().min().unwrap_or(&0);
    assert!(spread_ms > 1_000, "{spread_ms} ms, though 100 refused requests need a second");
}

/// Guards against a time named where there will be none.
#[test]
fn callers_of_a_rank_without_any_rate_left_come_back_after_five_seconds() {
    let mut ranks = AllotmentRanks::default();
    (0..150).for_each(|_| ranks.demand.note_arrival(Rank(0), 1_000));
    let refused = ShortDecision::Refuse { retry_after_ms: 5_000 };
    assert_eq!(decide(&mut ranks, 1.0), refused);
}

/// Guards against a less urgent or later request that overtakes a waiting one.
#[test]
fn waiting_requests_go_by_urgency_and_then_by_arrival() {
    let mut queue = TokenQueue::default();
    let [late, first, second] = [2, 1, 1].map(|rank| queue.join(Rank(rank)));
    assert!(queue.is_first(first));
    assert!(queue.is_before_all(Rank(0)) && !queue.is_before_all(Rank(1)));
    assert_eq!(queue.count_ahead(Rank(1)), 2);
    queue.leave(first);
    assert!(queue.is_first(second) && !queue.is_first(late));
    queue.leave(second);
    assert!(queue.is_first(late));
}
