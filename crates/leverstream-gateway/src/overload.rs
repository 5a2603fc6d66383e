//! Tells whether requests wait because slots are taken, and offers a request to a backend server
//! without a free slot.

use std::rc::Rc;

use leverstream_admission::{self as admission, Occupancy};
use leverstream_core::{Pick, RequestOrigin};
use leverstream_health::BackendKey;
use leverstream_route::Choice;

use crate::gateway::{Inner, ServiceState};
use crate::slot::{Slot, SlotRequest};

/// How long the load of a service counts, in milliseconds. Each waiting request needs it, and a
/// service has up to some hundreds of backend servers.
const LOAD_VALID_MS: u64 = 50;

/// The load of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLoad {
    /// When it was computed.
    at_ms: u64,
    /// The number of free slots, those of backend servers in doubt included.
    pub free_slots: usize,
    /// Whether the slots are taken, as far as the backend servers are not in doubt.
    pub is_overloaded: bool,
}

/// Returns the load of a service, at most [`LOAD_VALID_MS`] old.
pub(crate) fn load(
    inner: &Inner,
    service: &str,
    state: &mut ServiceState,
    now_ms: u64,
) -> ServiceLoad {
    let is_valid = |load: &ServiceLoad| now_ms.saturating_sub(load.at_ms) < LOAD_VALID_MS;
    if let Some(load) = state.load.filter(is_valid) {
        return load;
    }
    // A request that may be repeated avoids fewer backend servers.
    let occupancies = occupancies(&choices(inner, service, &[], now_ms), true);
    let free_slots = admission::free_slots(&occupancies);
    let is_overloaded = admission::is_overloaded(&occupancies);
    *state.load.insert(ServiceLoad { at_ms: now_ms, free_slots, is_overloaded })
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
    let origin =
        RequestOrigin { vm: inner.mesh.id(), hall: &inner.settings.hall, far_cost: 0.0, tried };
    let keys = fleet.candidates(service, now_ms, &mut rand::rng()).keys;
    keys.into_iter().map(|key| (key, fleet.choice(key, &origin, now_ms))).collect()
}
