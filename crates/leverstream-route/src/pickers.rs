//! The built-in pickers: the default and the baselines that it is compared with.

use rand::{Rng, RngCore};

use crate::pick::{Candidate, Picker};

inventory::submit! { Picker { name: "least-load", pick: least_load } }
inventory::submit! { Picker { name: "least-in-flight", pick: least_in_flight } }
inventory::submit! { Picker { name: "round-robin", pick: round_robin } }
inventory::submit! { Picker { name: "two-choices", pick: two_choices } }

/// Picks the lowest load relative to weight and slots; ties are broken at random.
fn least_load(candidates: &[Candidate], _: u64, rng: &mut dyn RngCore) -> Option<usize> {
    least_by(candidates, rng, relative_load)
}

/// Picks the fewest requests in flight, regardless of weight; ties are broken at random.
fn least_in_flight(candidates: &[Candidate], _: u64, rng: &mut dyn RngCore) -> Option<usize> {
    least_by(candidates, rng, |candidate| f64::from(candidate.load))
}

/// Picks the candidates in turn.
fn round_robin(candidates: &[Candidate], count: u64, _: &mut dyn RngCore) -> Option<usize> {
    (!candidates.is_empty()).then(|| (count % candidates.len() as u64) as usize)
}

/// Picks the less loaded of two random candidates (Mitzenmacher, 2001).
fn two_choices(candidates: &[Candidate], _: u64, rng: &mut dyn RngCore) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let (first, second) =
        (rng.random_range(0..candidates.len()), rng.random_range(0..candidates.len()));
    let is_less = relative_load(&candidates[first]) <= relative_load(&candidates[second]);
    Some(if is_less { first } else { second })
}

/// Returns the load of a candidate with one more request, relative to its weight and slots.
fn relative_load(candidate: &Candidate) -> f64 {
    f64::from(candidate.load + 1) / (candidate.weight * f64::from(candidate.slots))
}

/// Picks the candidate with the lowest measure; ties are broken at random.
fn least_by(
    candidates: &[Candidate],
    rng: &mut dyn RngCore,
    measure: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let start = if candidates.is_empty() { 0 } else { rng.random_range(0..candidates.len()) };
    let rotated = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
    rotated.min_by(|a, b| measure(&candidates[*a]).total_cmp(&measure(&candidates[*b])))
}
