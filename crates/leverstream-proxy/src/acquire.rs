//! Takes a slot at a backend server for a request, waiting in the queue of the service if needed.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_route::{Arrival, Candidate, PickContext, Request, choose};
use tokio::sync::oneshot;
use tracing::Instrument;

use crate::flight::{InFlightRequest, Wake};
use crate::{Proxy, ServiceView, Serving};

/// How many times a pick is made before giving up when other threads take the chosen slots.
const MAX_PICK_TRIES: u32 = 4;

/// The parameters of a request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRequest<'a> {
    /// What the picker takes into account.
    pub request: Request<'a>,
    /// Whether it has low priority and is displaced by others when the queue is full.
    pub gives_way: bool,
    /// The deadline of the request.
    pub deadline_ms: u64,
}

/// A slot taken at a backend server.
pub(crate) struct Slot {
    /// The service as it was when the slot was taken.
    pub view: Arc<ServiceView>,
    /// The index of the backend server in the view.
    pub index: usize,
    /// The request that holds the slot.
    pub in_flight_request: InFlightRequest,
}

/// Takes a slot at an eligible backend server, waiting in the queue while none is free.
pub(crate) async fn acquire(
    proxy: &Proxy,
    service: &str,
    slot_request: SlotRequest<'_>,
) -> Result<Slot, Kind> {
    let mut has_waited = false;
    loop {
        let view = proxy.snapshot.load().service(service);
        let view = view.ok_or(Kind::ServiceUnknown)?;
        let serving = view.serving.as_ref().ok_or(Kind::RelayLoop)?;
        if !serving.backends.iter().any(|backend| backend.weight > 0.0 || backend.is_trial) {
            return Err(Kind::NoBackend);
        }
        // Requests that already wait in the queue go first.
        if (has_waited || serving.state.queued() == 0)
            && let Some((index, in_flight_request)) = try_pick(proxy, serving, slot_request.request)
        {
            return Ok(Slot { view: Arc::clone(&view), index, in_flight_request });
        }
        let span = tracing::trace_span!("queue");
        wait(proxy, &view, serving, slot_request).instrument(span).await?;
        has_waited = true;
    }
}

/// Takes a slot without waiting, if one is free.
fn try_pick(
    proxy: &Proxy,
    serving: &Serving,
    request: Request<'_>,
) -> Option<(usize, InFlightRequest)> {
    let _span = tracing::trace_span!("pick").entered();
    let now_ms = proxy.now_ms();
    let mut rng = rand::rng();
    for _ in 0..MAX_PICK_TRIES {
        let candidates: Vec<Candidate> = serving.backends.iter().map(candidate).collect();
        let count = u64::from(serving.state.pick_count.fetch_add(1, Ordering::Relaxed));
        let mut context = PickContext { count, rng: &mut rng };
        let key: BackendKey = choose(proxy.picker, &candidates, request, &mut context)?;
        let index = serving.backends.iter().position(|backend| backend.key == key)?;
        let backend = &serving.backends[index];
        let reserved = backend.state.try_reserve(backend.slots, backend.others_in_flight, now_ms);
        if let Some(entry_index) = reserved {
            let (state, is_trial) = (&backend.state, backend.is_trial);
            let observations = &proxy.observations;
            return Some((
                index,
                InFlightRequest::new(
                    &serving.state,
                    key,
                    state,
                    entry_index,
                    is_trial,
                    observations,
                ),
            ));
        }
    }
    None
}

/// Describes a backend server to the picker.
fn candidate(backend: &crate::BackendView) -> Candidate {
    let own = backend.state.in_flight();
    Candidate {
        key: backend.key,
        load: own + backend.others_in_flight,
        own,
        slots: backend.slots,
        weight: backend.weight,
        is_trial: backend.is_trial,
    }
}

/// Waits in the queue of the service until a slot may be free.
async fn wait(
    proxy: &Proxy,
    view: &ServiceView,
    serving: &Serving,
    slot_request: SlotRequest<'_>,
) -> Result<(), Kind> {
    let (waker, woken) = oneshot::channel();
    let arrival = Arrival {
        deadline_ms: slot_request.deadline_ms,
        gives_way: slot_request.gives_way,
        typical_ms: serving.typical_ms,
        slots: serving.backends.iter().map(|backend| backend.slots).sum(),
    };
    let position = {
        let limit = view.doc.row.queue as usize;
        let mut waiting = serving.state.waiting.lock();
        let (position, displaced) = waiting.queue.enter(arrival, limit, proxy.now_ms())?;
        if let Some(waker) = displaced.and_then(|position| waiting.wakers.remove(&position)) {
            let _ = waker.send(Wake::Displaced);
        }
        waiting.wakers.insert(position, waker);
        position
    };
    let queue_guard = QueueGuard { serving, position };
    let deadline = proxy.clock.instant_at(slot_request.deadline_ms).into();
    let woken = tokio::time::timeout_at(deadline, woken).await;
    drop(queue_guard);
    match woken {
        Ok(Ok(Wake::Retry)) => Ok(()),
        Ok(Ok(Wake::Displaced) | Err(_)) => Err(Kind::QueueFull),
        Err(_) => Err(Kind::DeadlinePassed),
    }
}

/// Removes a request from the queue when dropped, also when its caller disconnects meanwhile.
struct QueueGuard<'a> {
    /// The service with the queue.
    serving: &'a Serving,
    /// The position in the queue.
    position: leverstream_route::QueuePosition,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.serving.state.waiting.lock();
        waiting.queue.leave(self.position);
        waiting.wakers.remove(&self.position);
    }
}
