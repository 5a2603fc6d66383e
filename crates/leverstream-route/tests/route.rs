//! Tests of the pickers, the queue and the retry budget.

use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_route::{
    Arrival, Candidate, PickContext, Queue, Request, RetryBudget, choose, picker, pickers,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Returns a candidate with a load.
fn candidate(key: u32, load: u32) -> Candidate {
    Candidate { key: BackendKey(key), load, own: load, slots: 2, weight: 100.0, is_trial: false }
}

/// Chooses a candidate with the default picker.
fn pick(candidates: &[Candidate], tried: &[BackendKey], seed: u64) -> Option<BackendKey> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut context = PickContext { count: seed, rng: &mut rng };
    let request = Request { is_repeatable: true, tried };
    choose(picker("least-load").expect("built in"), candidates, request, &mut context)
}

#[test]
fn tried_backend_is_chosen_only_when_no_other_is_fit() {
    let (first, second) = (candidate(0, 0), candidate(1, 1));
    for seed in 0..50 {
        assert_eq!(pick(&[first, second], &[BackendKey(0)], seed), Some(BackendKey(1)));
        assert_eq!(pick(&[first], &[BackendKey(0)], seed), Some(BackendKey(0)));
        // The other is fit but full: waiting for it is better than using the same one again.
        assert_eq!(pick(&[first, candidate(1, 2)], &[BackendKey(0)], seed), None);
    }
}

#[test]
fn trial_backend_gets_some_requests_even_when_other_vms_use_it() {
    let trial = Candidate { is_trial: true, weight: 0.0, own: 0, ..candidate(0, 1) };
    let chosen =
        (0..400).filter(|seed| pick(&[trial, candidate(1, 0)], &[], *seed) == Some(BackendKey(0)));
    assert!((50..200).contains(&chosen.count()));
    let busy = Candidate { own: 1, ..trial };
    assert!((0..400).all(|seed| pick(&[busy, candidate(1, 0)], &[], seed) == Some(BackendKey(1))));
}

/// Returns an arrival with a deadline.
fn arrival(deadline_ms: u64, gives_way: bool) -> Arrival {
    Arrival { deadline_ms, gives_way, typical_ms: 10.0, slots: 1 }
}

#[test]
fn queue_orders_by_deadline_and_refuses_requests_that_cannot_meet_it() {
    let mut queue = Queue::default();
    let (late, _) = queue.enter(arrival(300, false), 10, 0).expect("there is room");
    let (early, _) = queue.enter(arrival(200, false), 10, 0).expect("there is room");
    assert_eq!(queue.first(2).collect::<Vec<_>>(), [early, late]);
    assert_eq!(queue.enter(arrival(5, false), 10, 0).err(), Some(Kind::DeadlinePassed));
    assert_eq!(queue.enter(arrival(310, false), 10, 290).err(), Some(Kind::DeadlinePassed));
    queue.leave(early);
    assert_eq!(queue.len(), 1);
}

#[test]
fn full_queue_displaces_the_last_request_that_gives_way() {
    let mut queue = Queue::default();
    let (_, _) = queue.enter(arrival(300, false), 2, 0).expect("there is room");
    let (displaceable, _) = queue.enter(arrival(400, true), 2, 0).expect("there is room");
    assert_eq!(queue.enter(arrival(500, true), 2, 0).err(), Some(Kind::QueueFull));
    let (_, displaced) = queue.enter(arrival(500, false), 2, 0).expect("one gives way");
    assert_eq!(displaced, Some(displaceable));
    assert_eq!(queue.enter(arrival(500, false), 2, 0).err(), Some(Kind::QueueFull));
}

#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::open(0);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(10);
        retries += u32::from(budget.take(10, 0));
    }
    assert!((100..=120).contains(&retries), "{retries}");
    assert!(!RetryBudget::open(0).take(0, 0));
}

proptest! {
    #[test]
    fn every_picker_chooses_a_fit_backend_with_a_free_slot(loads in prop::collection::vec((0_u32..4, 0_u32..3, any::<bool>()), 0..12), seed: u64) {
        let candidates: Vec<Candidate> = loads.iter().enumerate().map(|(index, (load, weight, is_trial))| {
            Candidate { weight: f64::from(*weight), is_trial: *is_trial, ..candidate(index as u32, *load) }
        }).collect();
        for pick in pickers() {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut context = PickContext { count: seed, rng: &mut rng };
            let request = Request { is_repeatable: false, tried: &[] };
            let chosen = choose(pick, &candidates, request, &mut context);
            let open = |c: &&Candidate| c.weight > 0.0 && !c.is_trial && c.load < c.slots;
            prop_assert_eq!(chosen.is_some(), candidates.iter().any(|c| open(&c)));
            if let Some(key) = chosen {
                prop_assert!(open(&&candidates[key.0 as usize]));
            }
        }
    }
}
