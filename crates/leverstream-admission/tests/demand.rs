//! The demand by rank: the rates of this VM and of others, and what becomes of them when a VM
//! falls silent.

use leverstream_admission::{Rank, RankDemand, RankRate};

/// Adds arrivals of a rank at an even rate, from `from_ms` for `for_ms`.
fn arrive(demand: &mut RankDemand, rank: u32, per_s: u64, from_ms: u64, for_ms: u64) {
    let interval_ms = 1_000 / per_s;
    (0..for_ms / interval_ms)
        .for_each(|number| demand.note_arrival(Rank(rank), from_ms + number * interval_ms));
}

/// Guards against a rate that takes seconds to show a surge or never forgets it.
#[test]
fn rates_follow_a_surge_and_its_end() {
    let mut demand = RankDemand::default();
    arrive(&mut demand, 0, 100, 0, 3_000);
    let per_s = demand.per_s(Rank(0), 3_000);
    assert!((85.0..105.0).contains(&per_s), "{per_s} a second");
    assert!(demand.per_s(Rank(0), 6_000) < 10.0);
}

/// Guards against counting the rank itself or less urgent ones as more urgent.
#[test]
fn only_more_urgent_ranks_count_as_above() {
    let mut demand = RankDemand::default();
    arrive(&mut demand, 1, 50, 0, 3_000);
    demand.apply_report(7, vec![RankRate { rank: Rank(0), per_s: 20.0 }], 3_000);
    assert_eq!(demand.per_s_above(Rank(0), 3_000), 0.0);
    assert_eq!(demand.per_s_above(Rank(1), 3_000), 20.0);
    assert!(demand.per_s_above(Rank(2), 3_000) > 60.0);
}

/// Guards against requests that count on others to take their trials when those arrive elsewhere.
#[test]
fn only_arrivals_here_of_less_urgent_ranks_count_as_below() {
    let mut demand = RankDemand::default();
    arrive(&mut demand, 1, 50, 0, 3_000);
    demand.apply_report(7, vec![RankRate { rank: Rank(2), per_s: 20.0 }], 3_000);
    assert!(demand.own_per_s_below(Rank(0), 3_000) > 40.0);
    assert_eq!(demand.own_per_s_below(Rank(1), 3_000), 0.0);
}

/// Guards against a VM that died, froze or is cut off holding its demand for ever.
#[test]
fn a_silent_vm_no_longer_counts_after_a_second() {
    let mut demand = RankDemand::default();
    demand.apply_report(7, vec![RankRate { rank: Rank(0), per_s: 20.0 }], 1_000);
    assert_eq!(demand.per_s(Rank(0), 1_999), 20.0);
    assert_eq!(demand.per_s(Rank(0), 2_000), 0.0);
}

/// Guards against a report that replaces nothing and so adds up with the one before it.
#[test]
fn a_later_report_replaces_the_one_before() {
    let mut demand = RankDemand::default();
    demand.apply_report(7, vec![RankRate { rank: Rank(0), per_s: 20.0 }], 1_000);
    demand.apply_report(7, vec![RankRate { rank: Rank(1), per_s: 5.0 }], 1_200);
    assert_eq!(demand.per_s(Rank(0), 1_300), 0.0);
    assert_eq!(demand.per_s(Rank(1), 1_300), 5.0);
}

/// Guards against a malformed report that makes every decision after it meaningless.
#[test]
fn rates_that_are_no_numbers_are_dropped() {
    let mut demand = RankDemand::default();
    let rates = [f64::NAN, f64::INFINITY, -5.0].map(|per_s| RankRate { rank: Rank(0), per_s });
    demand.apply_report(7, rates.to_vec(), 1_000);
    assert_eq!(demand.per_s(Rank(0), 1_000), 0.0);
}
