//! Measures the time of one pick by the number of backend servers.

use leverstream_health::BackendKey;
use leverstream_route::{Candidate, PickContext, Request, choose, picker};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{print_row, time_us};

/// Measures the time of one pick by the number of backend servers.
pub(super) fn measure_pick() {
    let pick = picker("least-load").unwrap_or_else(|| panic!("the picker is built in"));
    let mut rng = StdRng::seed_from_u64(1);
    for count in [8_u32, 38, 400] {
        let candidates: Vec<Candidate> = (0..count)
            .map(|key| Candidate {
                key: BackendKey(key),
                load: key % 2,
                own: 0,
                slots: 2,
                weight: 100.0,
                is_trial: false,
            })
            .collect();
        let pick_us = time_us(20_000, || {
            let mut context = PickContext { count: 1, rng: &mut rng };
            let request = Request { is_repeatable: true, tried: &[] };
            std::hint::black_box(choose(pick, &candidates, request, &mut context));
        });
        print_row(
            &format!("a pick among {count}"),
            &format!("{pick_us:.2} us"),
            &format!("{:.4} ms of the 2.4 ms budget", pick_us / 1e3),
        );
    }
}
