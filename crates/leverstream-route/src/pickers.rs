//! The pickers that come with leverstream: the chosen one and the baselines it is measured against.

use rand::{Rng, RngCore};

use crate::pick::{Candidate, Pick};

inventory::submit! { Pick { name: "least-load", pick: least_load } }
inventory::submit! { Pick { name: "least-in-flight", pick: least_in_flight } }
inventory::submit! { Pick { name: "round-robin", pick: round_robin } }
inventory::submit! { Pick { name: "two-choices", pick: two_choices } }

/// Takes the least load for its weight and slots; ties are broken by chance.
fn least_load(candidates: &[Candidate], _: u64, rng: &mut dyn RngCore) -> Option<usize> {
    least_by(candidates, rng, relative_load)
}

/// Takes the fewest requests under way, whatever the weights.
fn least_in_flight(candidates: &[Candidate], _: u64, rng: &mut dyn RngCore) -> Option<usize> {
    least_by(candidates, rng, |candidate| f64::from(candidate.load))
}

/// Takes one after the other.
fn round_robin(candidates: &[Candidate], count: u64, _: &mut dyn RngCore) -> Option<usize> {
    (!candidates.is_empty()).then(|| (count % candidates.len() as u64) as usize)
}

/// Takes the less loaded of two chosen by chance (Mitzenmacher, 2001).
fn two_choices(candidates: &[Candidate], _: u64, rng: &mut dyn RngCore) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let (first, second) =
        (rng.random_range(0..candidates.len()), rng.random_range(0..candidates.len()));
    let is_less = relative_load(&candidates[first]) <= relative_load(&candidates[second]);
    Some(if is_less { first } else { second })
}

/// The load that a candidate would have with one more request, for its weight and slots.
fn relative_load(candidate: &Candidate) -> f64 {
    f64::from(candidate.load + 1) / (candidate.weight * f64::from(candidate.slots))
}

/// Takes the least by a measure; ties are broken by chance.
fn least_by(
    candidates: &[Candidate],
    rng: &mut dyn RngCore,
    measure: impl Fn(&Candidate) -> f64,
) -> Option<usize> {
    let start = if candidates.is_empty() { 0 } else { rng.random_range(0..candidates.len()) };
    let turned = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
    turned.min_by(|a, b| measure(&candidates[*a]).total_cmp(&measure(&candidates[*b])))
}
