//! Tells whether requests wait because slots are taken, and offers a request to a backend server
//! without a free slot.

use std::rc::Rc;

use leverstream_admission::{self as admission, Occupancy};
use leverstream_core::{Pick, RequestOrigin};
use leverstream_health::BackendKey;
use leverstream_route::Choice;

use crate::gateway::Inner;
use crate::slot::{Slot, SlotRequest};

/// Tells whether no backend server that the request may be sent to has a free slot, in doubt or not.
pub(crate) fn is_full(inner: &Inner, request: &SlotRequest<'_>, now_ms: u64) -> bool {
    let candidates = candidates(inner, request, now_ms);
    admission::is_full(&occupancies(&candidates, request.is_repeatable))
}

/// Tells whether the slots of a service are taken, as far as its backend servers are not in doubt.
pub(crate) fn is_overloaded(inner: &Inner, service: &str, now_ms: u64) -> bool {
    // A request that may be repeated avoids fewer backend servers.
    admission::is_overloaded(&occupancies(&choices(inner, service, &[], now_ms), true))
}

/// Takes a place at the least loaded backend server, whether it has a free slot or not; backend
/// servers queue a few requests.
pub(crate) fn offer(inner: &Rc<Inner>, request: &SlotRequest<'_>, now_ms: u64) -> Option<Slot> {
    let candidates = candidates(inner, request, now_ms);
    let occupancies = occupancies(&candidates, request.is_repeatable);
    let (key, choice) = candidates[admission::least_loaded(&occupancies, &mut rand::rng())?];
    let avoided = occupancies.iter().filter(|occupancy| occupancy.is_avoided).count();
    let pick = Pick { key, choice, among: candidates.len(), avoided };
    Some(Slot::begin(inner, &mut inner.fleet.borrow_mut(), request, pick, now_ms))
}

/// Returns the loads of backend servers.
fn occupancies(choices: &[(BackendKey, Choice)], is_repeatable: bool) -> Vec<Occupancy> {
    let occupancy = |(_, choice): &(BackendKey, Choice)| Occupancy {
        load: choice.load,
        slots: choice.slots,
        is_avoided: choice.is_avoided(is_repeatable),
    };
    choices.iter().map(occupancy).collect()
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
