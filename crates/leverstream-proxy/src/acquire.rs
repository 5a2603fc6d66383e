use std::sync::Arc;
use std::sync::atomic::Ordering;

use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_route::{Arrival, Candidate, PickContext, Request, choose};
use tokio::sync::oneshot;
use tracing::Instrument;

use crate::flight::{Flight, Wake};
use crate::{Proxy, ServiceView, Serving};

/// How many times a pick is made before giving up when other threads take the chosen slots.
const PICK_TRIES: u32 = 4;

/// The parameters of a request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted<'a> {
    /// What the picker takes into account.
    pub request: Request<'a>,
    /// Whether a request of higher priority may displace this one when the queue is full.
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
    pub flight: Flight,
}

/// Takes a slot at an eligible backend server, waiting in the queue while none is free.
pub(crate) async fn acquire(
    proxy: &Proxy,
    service: &str,
    wanted: Wanted<'_>,
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
        if (has_waited || serving.live.queued() == 0)
            && let Some((index, flight)) = try_pick(proxy, serving, wanted.request)
        {
            return Ok(Slot { view: Arc::clone(&view), index, flight });
        }
        let span = tracing::trace_span!("queue");
        wait(proxy, &view, serving, wanted).instrument(span).await?;
        has_waited = true;
    }
}

/// Takes a slot without waiting, if one is free.
fn try_pick(proxy: &Proxy, serving: &Serving, request: Request<'_>) -> Option<(usize, Flight)> {
    let _span = tracing::trace_span!("pick").entered();
    let now_ms = proxy.now_ms();
    let mut rng = rand::rng();
    for _ in 0..PICK_TRIES {
        let candidates: Vec<Candidate> = serving.backends.iter().map(candidate).collect();
        let count = u64::from(serving.live.turn.fetch_add(1, Ordering::Relaxed));
        let mut turn = PickContext { count, rng: &mut rng };
        let key: BackendKey = choose(proxy.picker, &candidates, request, &mut turn)?;
        let index = serving.backends.iter().position(|backend| backend.key == key)?;
        let backend = &serving.backends[index];
        let begun = backend.live.begin(backend.slots, backend.others_in_flight, now_ms);
        if let Some(mark) = begun {
            let (live, is_trial) = (&backend.live, backend.is_trial);
            let observations = &proxy.observations;
            return Some((
                index,
                Flight::open(&serving.live, key, live, mark, is_trial, observations),
            ));
        }
    }
    None
}

/// Describes a backend server to the picker.
fn candidate(backend: &crate::BackendView) -> Candidate {
    let own = backend.live.in_flight();
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
    wanted: Wanted<'_>,
) -> Result<(), Kind> {
    let (waker, woken) = oneshot::channel();
    let arrival = Arrival {
        deadline_ms: wanted.deadline_ms,
        gives_way: wanted.gives_way,
        typical_ms: serving.typical_ms,
        slots: serving.backends.iter().map(|backend| backend.slots).sum(),
    };
    let place = {
        let limit = view.doc.row.queue as usize;
        let mut waiting = serving.live.waiting.lock();
        let (place, displaced) = waiting.queue.enter(arrival, limit, proxy.now_ms())?;
        if let Some(waker) = displaced.and_then(|place| waiting.wakers.remove(&place)) {
            let _ = waker.send(Wake::GiveWay);
        }
        waiting.wakers.insert(place, waker);
        place
    };
    let leave = Leave { serving, place };
    let deadline = proxy.clock.instant_at(wanted.deadline_ms).into();
    let woken = tokio::time::timeout_at(deadline, woken).await;
    drop(leave);
    match woken {
        Ok(Ok(Wake::Try)) => Ok(()),
        Ok(Ok(Wake::GiveWay) | Err(_)) => Err(Kind::QueueFull),
        Err(_) => Err(Kind::DeadlinePassed),
    }
}

/// Removes a request from the queue when dropped, also when its caller disconnects meanwhile.
struct Leave<'a> {
    /// The service with the queue.
    serving: &'a Serving,
    /// The position in the queue.
    place: leverstream_route::QueuePosition,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut waiting = self.serving.live.waiting.lock();
        waiting.queue.leave(self.place);
        waiting.wakers.remove(&self.place);
    }
}
