//! Tells whether a service is really full, and offers a request to a backend server without a free
//! slot.

use std::rc::Rc;

use leverstream_core::{Pick, RequestOrigin};
use leverstream_health::BackendKey;
use leverstream_route::Choice;

use crate::gateway::Inner;
use crate::slot::{Slot, SlotRequest};

/// Tells whether no backend server that the request may be sent to has a free slot. A free backend
/// server that is in doubt counts: requests that wait because of it do not wait for slots.
pub(crate) fn is_full(inner: &Inner, request: &SlotRequest<'_>, now_ms: u64) -> bool {
    candidates(inner, request, now_ms).iter().all(|(_, choice)| choice.load >= choice.slots)
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
    let fleet = inner.fleet.borrow();
    let origin = RequestOrigin { hall: &inner.settings.hall, far_cost: 0.0, tried: request.tried };
    let keys = fleet.candidates(request.service, now_ms, &mut rand::rng()).keys;
    let choice = |key: BackendKey| (key, fleet.choice(key, &origin, now_ms));
    keys.into_iter().map(choice).filter(|(_, choice)| !choice.is_tried).collect()
}
