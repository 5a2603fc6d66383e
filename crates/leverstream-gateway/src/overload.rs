//! Tells whether requests wait because slots are taken, and offers a request to a backend server without a free
//! slot.

use std::rc::Rc;

use leverstream_core::{Pick, RequestOrigin};
use leverstream_health::BackendKey;
use leverstream_route::Choice;

use crate::gateway::Inner;
use crate::slot::{Slot, SlotRequest};

/// The least share of the slots at backend servers that are not in doubt for a service to count as
/// overloaded.
const MIN_SOUND_SHARE: f64 = 0.5;

/// The share of slots that may seem free while a service is overloaded: VMs learn of each other's
/// load with a delay.
const FREE_TOLERANCE: f64 = 0.05;

/// Tells whether no backend server that the request may be sent to has a free slot. A free backend
/// server that is in doubt counts: requests that wait because of it do not wait for slots.
pub(crate) fn is_full(inner: &Inner, request: &SlotRequest<'_>, now_ms: u64) -> bool {
    candidates(inner, request, now_ms).iter().all(|(_, choice)| choice.load >= choice.slots)
}

/// Tells whether the slots of a service are taken, as far as its backend servers are not in doubt.
/// While most of them are in doubt, requests wait for trust and not for slots.
pub(crate) fn is_overloaded(inner: &Inner, service: &str, now_ms: u64) -> bool {
    let choices = choices(inner, service, &[], now_ms);
    let slots = |choice: &Choice| f64::from(choice.slots);
    let free = |choice: &Choice| f64::from(choice.slots.saturating_sub(choice.load));
    let sound =
        || choices.iter().map(|(_, choice)| choice).filter(|choice| !choice.is_avoided(true));
    let all_slots: f64 = choices.iter().map(|(_, choice)| slots(choice)).sum();
    let sound_slots: f64 = sound().map(slots).sum();
    let free_slots: f64 = sound().map(free).sum();
    sound_slots > 0.0
        && sound_slots >= all_slots * MIN_SOUND_SHARE
        && free_slots <= sound_slots * FREE_TOLERANCE
}

/// Takes a place at the least loaded backend server, whether it has a free slot or not; backend
/// servers queue a few requests. One that is not in doubt is preferred.
pub(crate) fn offer(inner: &Rc<Inner>, request: &SlotRequest<'_>, now_ms: u64) -> Option<Slot> {
    let candidates = candidates(inner, request, now_ms);
    let is_avoided = |choice: &Choice| choice.is_avoided(request.is_repeatable);
    let fill = |choice: &Choice| f64::from(choice.load) / f64::from(choice.slots.max(1));
    let (key, choice) = *candidates.iter().min_by(|(_, one), (_, other)| {
        let by_doubt = is_avoided(one).cmp(&is_avoided(other));
        by_doubt.then(fill(one).total_cmp(&fill(other)))
    })?;
    let avoided = candidates.iter().filter(|(_, choice)| is_avoided(choice)).count();
    let pick = Pick { key, choice, among: candidates.len(), avoided };
    Some(Slot::begin(inner, &mut inner.fleet.borrow_mut(), request, pick, now_ms))
}

/// Returns the backend servers that the request may be sent to and has not been sent to.
fn candidates(inner: &Inner, request: &SlotRequest<'_>, now_ms: u64) -> Vec<(BackendKey, Choice)> {
    let mut candidates = choices(inner, request.service, request.tried, now_ms);
    candidates.retain(|(_, choice)| !choice.is_tried);
    candidates
}

/// Evaluates the backend servers of a service that accept requests.
fn choices(
    inner: &Inner,
    service: &str,
    tried: &[BackendKey],
    now_ms: u64,
) -> Vec<(BackendKey, Choice)> {
    let fleet = inner.fleet.borrow();
    let origin = RequestOrigin { hall: &inner.settings.hall, far_cost: 0.0, tried };
    let keys = fleet.candidates(service, now_ms, &mut rand::rng()).keys;
    keys.into_iter().map(|key| (key, fleet.choice(key, &origin, now_ms))).collect()
}
