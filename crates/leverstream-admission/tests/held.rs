//! Requests that wait at a full service: none is held for long and then refused.

mod model;

use model::{Kind, Model, Scenario, Scheme};
use proptest::prelude::*;

/// Generates a kind of request of a rank.
fn kind(rank: u32) -> impl Strategy<Value = Kind> {
    let times = (10..300_u64, 100..4_000_u64, 100..6_000_u64);
    (20.0..200.0_f64, times, 0.5..4.0_f64).prop_map(move |(per_s, times, surge)| {
        let (work_ms, objective_ms, timeout_ms) = times;
        let (value, vms) = ((1.0, 0.3), vec![0, 1]);
        Kind { rank, per_s, work_ms, objective_ms, timeout_ms, surge, value, vms }
    })
}

/// Generates a scenario; most of them have a service that cannot serve all.
fn scenario() -> impl Strategy<Value = Scenario> {
    let kinds = (kind(0), kind(1), kind(2));
    let scheme = prop_oneof![Just(Scheme::All), Just(Scheme::Level)];
    (kinds, 5..60_usize, 1..200_usize, scheme, any::<u64>()).prop_map(
        |(kinds, slots, queue_limit, scheme, seed)| Scenario {
            slots,
            vms: 2,
            kinds: vec![kinds.0, kinds.1, kinds.2],
            surge_ms: 500..2_000,
            for_ms: 4_000,
            queue_limit,
            scheme,
            partition_ms: 0..0,
            death: None,
            seed: seed / 2,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against a request that is held for more than a quarter of its objective and is then
    /// refused without having been offered to a backend server.
    #[test]
    fn no_request_is_held_for_long_and_then_refused(scenario in scenario()) {
        let objectives: Vec<u64> = scenario.kinds.iter().map(|kind| kind.objective_ms).collect();
        let outcome = Model::new(scenario).run();
        for (tally, objective_ms) in outcome.kinds.iter().zip(objectives) {
            prop_assert!(tally.held_ms <= objective_ms / 4, "{tally:?} of {objective_ms} ms");
        }
    }
}
