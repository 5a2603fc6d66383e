//! The admission level against reserved shares per rank, on the same arrivals.

mod model;

use model::{Kind, Model, Outcome, Scenario, Scheme};

/// The seeds of the arrivals.
const SEEDS: std::ops::Range<u64> = 1..4;

/// Returns the kinds of requests of a service that its 150 slots serve at 0.8 of their capacity; a
/// surge multiplies the rates.
fn kinds(surge: [f64; 3]) -> Vec<Kind> {
    let kind = |rank: usize, per_s, work_ms, objective_ms, timeout_ms, value| {
        let (rank, surge, vms) = (rank as u32, surge[rank], vec![0, 1, 2]);
        Kind { rank, per_s, work_ms, objective_ms, timeout_ms, surge, value, vms }
    };
    vec![
        kind(0, 130.0, 130, 400, 1_500, (3.5, 0.41)),
        kind(1, 140.0, 310, 1_200, 1_500, (1.8, 0.55)),
        kind(2, 75.0, 780, 4_000, 4_000, (0.45, 0.2)),
    ]
}

/// Returns a run of a service at which a surge lasts for six seconds.
fn scenario(kinds: &[Kind], scheme: &Scheme, seed: u64) -> Scenario {
    Scenario {
        slots: 150,
        vms: 3,
        kinds: kinds.to_vec(),
        surge_ms: 3_000..9_000,
        for_ms: 16_000,
        queue_limit: 512,
        scheme: scheme.clone(),
        partition_ms: 0..0,
        death: None,
        seed,
    }
}

/// The results of all seeds.
#[derive(Debug, Default)]
struct Totals {
    /// The value of the served requests.
    value: f64,
    /// The mean served share of each kind.
    served: Vec<f64>,
    /// The mean share of the slots in use.
    used: f64,
}

/// Runs all seeds.
fn totals(kinds: &[Kind], scheme: &Scheme) -> Totals {
    let runs: Vec<Outcome> =
        SEEDS.map(|seed| Model::new(scenario(kinds, scheme, seed)).run()).collect();
    let count = runs.len() as f64;
    let share =
        |kind: usize| runs.iter().map(|run| run.kinds[kind].served_share()).sum::<f64>() / count;
    Totals {
        value: runs.iter().map(|run| run.value).sum(),
        served: (0..kinds.len()).map(share).collect(),
        used: runs.iter().map(|run| run.used).sum::<f64>() / count,
    }
}

/// Guards against an admission level that serves less value than reserved shares or than the wait
/// queue alone, leaves slots unused, or serves a rank less than a less urgent one.
#[test]
fn the_level_serves_more_than_reserved_shares() {
    let surges = [
        ("rank 0 x 6", [6.0, 1.0, 1.0], false),
        ("rank 1 x 2", [1.0, 2.0, 1.0], false),
        ("rank 2 x 2.5", [1.0, 1.0, 2.5], false),
        ("all x 2", [2.0; 3], false),
        ("all x 2, each rank at another VM", [2.0; 3], true),
    ];
    for (name, surge, is_uneven) in surges {
        let mut kinds = kinds(surge);
        if is_uneven {
            kinds.iter_mut().enumerate().for_each(|(vm, kind)| kind.vms = vec![vm]);
        }
        let weights: Vec<f64> = kinds.iter().map(|kind| kind.per_s).collect();
        let [all, shares, level] = [Scheme::All, Scheme::Shares(weights), Scheme::Level]
            .map(|scheme| totals(&kinds, &scheme));
        println!("{name}\n  none   {all:.2?}\n  shares {shares:.2?}\n  level  {level:.2?}");
        let best = all.value.max(shares.value);
        assert!(level.value >= best * 0.96, "{name}: {level:?}");
        assert!(level.used > 0.97, "{name}: {level:?}");
        assert!(level.served.windows(2).all(|pair| pair[1] <= pair[0] + 0.05), "{name}: {level:?}");
    }
}
