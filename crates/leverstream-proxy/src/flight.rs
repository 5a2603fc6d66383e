//! The requests in flight, and the state of services and backend servers between snapshots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use leverstream_health::{BackendKey, RequestOutcome};
use leverstream_pace::TokenBucket;
use leverstream_route::{Queue, QueuePosition, RetryBudget};
use parking_lot::Mutex;
use slab::Slab;
use tokio::sync::{mpsc, oneshot};

/// The index of a service in the control thread's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

/// An event that a traffic thread reports to the control thread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A request at a backend server has ended.
    Finished {
        /// The service of the request.
        service: ServiceKey,
        /// The backend server.
        backend: BackendKey,
        /// The outcome for the health of the backend server.
        outcome: RequestOutcome,
        /// How long the request took.
        time_ms: f64,
        /// The units of bad evidence already charged for the age of the request.
        charged_units: u8,
        /// Whether it was a trial request to an ejected backend server.
        is_trial: bool,
    },
    /// A backend server announces that it drains.
    Draining {
        /// The service of the backend server.
        service: ServiceKey,
        /// The backend server.
        backend: BackendKey,
    },
}

/// The mutable state of a service, shared by successive snapshots.
pub struct ServiceState {
    /// The index of the service.
    pub key: ServiceKey,
    /// Requests in flight on this VM.
    pub in_flight: AtomicU32,
    /// The number of picks so far.
    pub pick_count: AtomicU32,
    /// The retry budget.
    pub budget: Mutex<RetryBudget>,
    /// The configured rate in requests per second, and the token bucket that enforces it.
    pub rate: Mutex<(u32, TokenBucket)>,
    /// Requests that wait for a free slot.
    pub(crate) waiting: Mutex<WaitQueue>,
}

/// The queue of a service with the wakers of the requests in it.
#[derive(Default)]
pub(crate) struct WaitQueue {
    /// The order in which requests get slots.
    pub queue: Queue,
    /// The waker of each queued request.
    pub wakers: HashMap<QueuePosition, oneshot::Sender<Wake>>,
}

/// Why a queued request is woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wake {
    /// A slot may be free; the request picks again.
    Retry,
    /// Another request has displaced it from the full queue, as it has low priority.
    Displaced,
}

/// The mutable state of a backend server, shared by successive snapshots.
#[derive(Default)]
pub struct BackendState {
    /// This VM's requests in flight at the backend server.
    requests: Mutex<Slab<InFlightEntry>>,
    /// This VM's open connections to the backend server.
    pub connections: AtomicU32,
}

/// The age of a request in flight and the evidence already charged for it.
#[derive(Clone, Copy, Debug)]
pub struct InFlightEntry {
    /// When the request took its slot.
    pub started_ms: u64,
    /// The units of bad evidence already charged for the age of the request.
    pub charged_units: u8,
}

/// A request in flight at a backend server; it holds a slot until it ends or is dropped.
pub(crate) struct InFlightRequest {
    /// The state of the service.
    service: Arc<ServiceState>,
    /// The key of the backend server.
    backend: BackendKey,
    /// The state of the backend server.
    state: Arc<BackendState>,
    /// The index of the request's entry in the state of the backend server.
    entry_index: usize,
    /// When it started, at a finer resolution than the milliseconds of its entry.
    started: std::time::Instant,
    /// Whether it is a trial request to an ejected backend server.
    is_trial: bool,
    /// Carries the end of the request to the control thread.
    observations: mpsc::Sender<Observation>,
    /// The outcome and the duration in milliseconds; none if the request was dropped.
    result: Option<(RequestOutcome, f64)>,
}

impl ServiceState {
    /// Creates the state of a service that was just added.
    pub fn new(key: ServiceKey, now_ms: u64) -> Arc<ServiceState> {
        Arc::new(ServiceState {
            key,
            in_flight: AtomicU32::new(0),
            pick_count: AtomicU32::new(0),
            budget: Mutex::new(RetryBudget::open(now_ms)),
            rate: Mutex::new((0, TokenBucket::new(0.0, 0.0, now_ms))),
            waiting: Mutex::default(),
        })
    }

    /// Wakes up to `count` queued requests, which then try to take a slot.
    pub fn wake(&self, count: usize) {
        let mut waiting = self.waiting.lock();
        let positions: Vec<QueuePosition> = waiting.queue.first(count).collect();
        for position in positions {
            if let Some(waker) = waiting.wakers.remove(&position) {
                let _ = waker.send(Wake::Retry);
            }
        }
    }

    /// The number of queued requests.
    pub fn queued(&self) -> usize {
        self.waiting.lock().queue.len()
    }

    /// Takes a token for a request from the rate limit; always succeeds if the row sets no rate.
    pub(crate) fn try_take_rate(&self, rate_per_s: u32, now_ms: u64) -> bool {
        if rate_per_s == 0 {
            return true;
        }
        let mut rate = self.rate.lock();
        if rate.0 != rate_per_s {
            let per_s = f64::from(rate_per_s);
            *rate = (rate_per_s, TokenBucket::new(per_s, per_s.max(1.0), now_ms));
        }
        rate.1.try_take(now_ms)
    }
}

impl BackendState {
    /// The number of this VM's requests in flight at the backend server.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.requests.lock().len()).unwrap_or(u32::MAX)
    }

    /// Charges each request in flight with the units of bad evidence that its age amounts to now.
    ///
    /// `units` maps an age in milliseconds to units. Returns the units newly charged to each request
    /// that has any.
    pub fn charge(&self, now_ms: u64, units: impl Fn(f64) -> u8) -> Vec<u8> {
        let mut requests = self.requests.lock();
        let charges = requests.iter_mut().map(|(_, entry)| {
            let total = units(now_ms.saturating_sub(entry.started_ms) as f64);
            let added = total.saturating_sub(entry.charged_units);
            entry.charged_units += added;
            added
        });
        charges.filter(|added| *added > 0).collect()
    }

    /// Takes a slot if fewer than `slots` are in use by this VM and, as last reported, `others`.
    pub(crate) fn try_reserve(&self, slots: u32, others: u32, now_ms: u64) -> Option<usize> {
        let mut requests = self.requests.lock();
        let used = requests.len() as u64 + u64::from(others);
        (used < u64::from(slots))
            .then(|| requests.insert(InFlightEntry { started_ms: now_ms, charged_units: 0 }))
    }
}

impl InFlightRequest {
    /// Wraps a slot that [`BackendState::try_reserve`] returned.
    pub fn new(
        service: &Arc<ServiceState>,
        backend: BackendKey,
        state: &Arc<BackendState>,
        entry_index: usize,
        is_trial: bool,
        observations: &mpsc::Sender<Observation>,
    ) -> InFlightRequest {
        InFlightRequest {
            service: Arc::clone(service),
            backend,
            state: Arc::clone(state),
            entry_index,
            started: std::time::Instant::now(),
            is_trial,
            observations: observations.clone(),
            result: None,
        }
    }

    /// Records the outcome of the request and releases its slot.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.result = Some((outcome, self.started.elapsed().as_secs_f64() * 1000.0));
    }

    /// Reports that the backend server drains.
    pub fn report_draining(&self) {
        let (service, backend) = (self.service.key, self.backend);
        let _ = self.observations.try_send(Observation::Draining { service, backend });
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let entry = self.state.requests.lock().try_remove(self.entry_index);
        let (outcome, time_ms) = self.result.unwrap_or((RequestOutcome::NoEvidence, 0.0));
        let _ = self.observations.try_send(Observation::Finished {
            service: self.service.key,
            backend: self.backend,
            outcome,
            time_ms,
            charged_units: entry.map_or(0, |entry| entry.charged_units),
            is_trial: self.is_trial,
        });
        self.service.wake(1);
    }
}

/// Counts one connection against the connection limit of a backend server until dropped.
pub(crate) struct ConnectionGuard {
    /// The state of the backend server.
    state: Arc<BackendState>,
}

impl ConnectionGuard {
    /// Counts one more connection if the limit allows it.
    pub fn try_acquire(state: &Arc<BackendState>, limit: u32) -> Option<ConnectionGuard> {
        let taken = state.connections.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
            (count < limit).then_some(count + 1)
        });
        taken.ok().map(|_| ConnectionGuard { state: Arc::clone(state) })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.connections.fetch_sub(1, Ordering::AcqRel);
    }
}
