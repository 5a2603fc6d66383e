//! VMs that share a full service: urgent requests go first over all of them, and none starves.

mod model;

use model::{Kind, Model, Outcome, Scenario, Scheme};

/// Returns a kind of request that arrives at some VMs, with twice its usual rate in the surge.
fn kind(rank: u32, per_s: f64, objective_ms: u64, vms: &[usize]) -> Kind {
    let value = ([3.5, 1.8, 0.45][rank as usize], 0.3);
    let (work_ms, timeout_ms, vms) = (100, objective_ms * 3, vms.to_vec());
    Kind { rank, per_s, work_ms, objective_ms, timeout_ms, surge: 2.0, value, vms }
}

/// Returns a service of 40 slots that serves 400 requests a second, and gets 600 in the surge, the
/// urgent ones at another VM than the others.
fn uneven() -> Scenario {
    Scenario {
        slots: 40,
        vms: 2,
        kinds: vec![kind(0, 150.0, 400, &[0]), kind(2, 150.0, 1_200, &[1])],
        surge_ms: 2_000..6_000,
        for_ms: 12_000,
        queue_limit: 512,
        scheme: Scheme::Level,
        partition_ms: 0..0,
        death: None,
        seed: 1,
    }
}

/// Returns the served shares of the kinds.
fn served_shares(outcome: &Outcome) -> Vec<f64> {
    outcome.kinds.iter().map(model::Tally::served_share).collect()
}

/// Guards against ranks that hold within one VM only, and a queue from the start of a surge that
/// makes urgent requests late until its end.
#[test]
fn urgent_requests_of_one_vm_go_before_others_of_another() {
    let outcome = Model::new(uneven()).run();
    let urgent = &outcome.kinds[0];
    assert!(urgent.on_time as f64 > 0.9 * urgent.arrived as f64, "{urgent:?}");
    let by_level = served_shares(&outcome);
    assert!(by_level[0] > 0.95, "{by_level:?}");
    let within_vms = Model::new(Scenario { scheme: Scheme::All, ..uneven() }).run();
    let within_vms = served_shares(&within_vms);
    assert!(by_level[0] > within_vms[0] + 0.1, "{by_level:?} {within_vms:?}");
}

/// Guards against a rank that is starved while more urgent requests alone fill the service.
#[test]
fn no_rank_starves() {
    let kinds = vec![kind(0, 300.0, 400, &[0, 1]), kind(1, 50.0, 1_200, &[0, 1])];
    let outcome = Model::new(Scenario { kinds, ..uneven() }).run();
    let shares = served_shares(&outcome);
    let arrived: usize = outcome.kinds.iter().map(|tally| tally.arrived).sum();
    let served: f64 =
        outcome.kinds.iter().map(|tally| tally.served_share() * tally.arrived as f64).sum();
    assert!(shares[1] > served / arrived as f64 / 4.0, "{shares:?}");
    assert!(shares[0] >= shares[1] - 0.05, "{shares:?}");
}

/// Guards against slots that go unused while requests are refused.
#[test]
fn refusals_leave_no_slot_unused() {
    let outcome = Model::new(uneven()).run();
    assert!(outcome.used > 0.97, "{}", outcome.used);
    assert_eq!(outcome.lost, 0);
}

/// Guards against a partition after which neither side admits what its slots could serve.
#[test]
fn each_side_of_a_partition_goes_on() {
    let outcome = Model::new(Scenario { partition_ms: 0..12_000, ..uneven() }).run();
    assert!(outcome.used > 0.97, "{}", outcome.used);
    assert!(served_shares(&outcome).iter().all(|share| *share > 0.3), "{outcome:?}");
}

/// Guards against the demand of a dead VM that goes on to refuse the requests of others.
#[test]
fn the_demand_of_a_dead_vm_ends_with_it() {
    let surge_ms = 5_000..9_000;
    let kinds = uneven().kinds.into_iter().map(|kind| Kind { surge: 1.0, ..kind });
    let kinds = kinds.map(|kind| Kind { per_s: 2.0 * kind.per_s, ..kind }).collect();
    let death = Some((0, 3_000));
    let outcome = Model::new(Scenario { kinds, surge_ms, death, ..uneven() }).run();
    assert!(outcome.kinds[1].served_share() > 0.99, "{:?}", outcome.kinds[1]);
}

/// Guards against any effect of the admission level on a service that serves all.
#[test]
fn nothing_is_refused_without_overload() {
    let kinds = uneven().kinds.into_iter().map(|kind| Kind { surge: 1.0, ..kind }).collect();
    let outcome = Model::new(Scenario { kinds, ..uneven() }).run();
    let refused: usize = outcome.kinds.iter().map(|tally| tally.refused).sum();
    assert_eq!(refused, 0, "{outcome:?}");
}
