use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use leverstream_health::{BackendKey, RequestOutcome};
use leverstream_pace::TokenBucket;
use leverstream_route::{Queue, QueuePosition, RetryBudget};
use parking_lot::Mutex;
use slab::Slab;
use tokio::sync::{mpsc, oneshot};

/// The key of a service in the control thread's arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

/// What a traffic thread tells the control thread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A piece of work has ended.
    Finished {
        /// The service.
        service: ServiceKey,
        /// The backend server.
        backend: BackendKey,
        /// How it ended.
        work: RequestOutcome,
        /// How long it took.
        time_ms: f64,
        /// The units of bad evidence that its age has given already.
        charged: u8,
        /// Whether it was a trial request.
        is_trial: bool,
    },
    /// A backend server says that it drains.
    Draining {
        /// The service.
        service: ServiceKey,
        /// The backend server.
        backend: BackendKey,
    },
}

/// What changes about a service between snapshots.
pub struct ServiceLive {
    /// The service.
    pub key: ServiceKey,
    /// Requests under way on this VM.
    pub in_flight: AtomicU32,
    /// A count that rises with each pick.
    pub turn: AtomicU32,
    /// The retries left.
    pub budget: Mutex<RetryBudget>,
    /// Bounds the requests a second; the rate it was opened with comes first.
    pub rate: Mutex<(u32, TokenBucket)>,
    /// Requests that wait for a slot.
    pub(crate) waiting: Mutex<Waiting>,
}

/// The queue and who waits in it.
#[derive(Default)]
pub(crate) struct Waiting {
    /// The order.
    pub queue: Queue,
    /// How to wake each.
    pub wakers: HashMap<QueuePosition, oneshot::Sender<Wake>>,
}

/// Why one who waits is woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Wake {
    /// A slot may be free.
    Try,
    /// It gives way to another.
    GiveWay,
}

/// What changes about a backend server between snapshots.
#[derive(Default)]
pub struct BackendLive {
    /// This VM's requests under way there.
    flights: Mutex<Slab<FlightMark>>,
    /// This VM's connections there.
    pub connections: AtomicU32,
}

/// A request under way, for whoever judges its age.
#[derive(Clone, Copy, Debug)]
pub struct FlightMark {
    /// When it was sent off.
    pub started_ms: u64,
    /// The units of bad evidence that its age has given already.
    pub charged: u8,
}

/// One request under way at a backend server; it holds a slot until it ends or is dropped.
pub(crate) struct Flight {
    /// The service.
    service: Arc<ServiceLive>,
    /// The backend server's key.
    backend: BackendKey,
    /// The backend server.
    live: Arc<BackendLive>,
    /// The mark's place.
    mark: usize,
    /// When it started, more finely than the mark tells.
    started: std::time::Instant,
    /// Whether it is a trial.
    is_trial: bool,
    /// Where the end is told.
    observations: mpsc::Sender<Observation>,
    /// How it ended, unless it was dropped.
    ended: Option<(RequestOutcome, f64)>,
}

impl ServiceLive {
    /// Opens the state of a service that has just appeared.
    pub fn open(key: ServiceKey, now_ms: u64) -> Arc<ServiceLive> {
        Arc::new(ServiceLive {
            key,
            in_flight: AtomicU32::new(0),
            turn: AtomicU32::new(0),
            budget: Mutex::new(RetryBudget::open(now_ms)),
            rate: Mutex::new((0, TokenBucket::new(0.0, 0.0, now_ms))),
            waiting: Mutex::default(),
        })
    }

    /// Lets up to `count` of those who wait try again.
    pub fn wake(&self, count: usize) {
        let mut waiting = self.waiting.lock();
        let places: Vec<QueuePosition> = waiting.queue.first(count).collect();
        for place in places {
            if let Some(waker) = waiting.wakers.remove(&place) {
                let _ = waker.send(Wake::Try);
            }
        }
    }

    /// How many wait.
    pub fn queued(&self) -> usize {
        self.waiting.lock().queue.len()
    }

    /// Takes a request within the row's rate, if it sets one.
    pub(crate) fn take_rate(&self, rate_per_s: u32, now_ms: u64) -> bool {
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

impl BackendLive {
    /// How many requests this VM has under way there.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.flights.lock().len()).unwrap_or(u32::MAX)
    }

    /// Charges each request under way with the units that its age gives by now.
    ///
    /// `units` tells them for an age in milliseconds. Returns the units not charged before.
    pub fn charge(&self, now_ms: u64, units: impl Fn(f64) -> u8) -> Vec<u8> {
        let mut flights = self.flights.lock();
        let charges = flights.iter_mut().map(|(_, mark)| {
            let due = units(now_ms.saturating_sub(mark.started_ms) as f64);
            let fresh = due.saturating_sub(mark.charged);
            mark.charged += fresh;
            fresh
        });
        charges.filter(|fresh| *fresh > 0).collect()
    }

    /// Takes a slot if fewer than `slots` are in use, by all VMs as far as known.
    pub(crate) fn begin(&self, slots: u32, others: u32, now_ms: u64) -> Option<usize> {
        let mut flights = self.flights.lock();
        let used = flights.len() as u64 + u64::from(others);
        (used < u64::from(slots))
            .then(|| flights.insert(FlightMark { started_ms: now_ms, charged: 0 }))
    }
}

impl Flight {
    /// Takes over a slot that was begun.
    pub fn open(
        service: &Arc<ServiceLive>,
        backend: BackendKey,
        live: &Arc<BackendLive>,
        mark: usize,
        is_trial: bool,
        observations: &mpsc::Sender<Observation>,
    ) -> Flight {
        Flight {
            service: Arc::clone(service),
            backend,
            live: Arc::clone(live),
            mark,
            started: std::time::Instant::now(),
            is_trial,
            observations: observations.clone(),
            ended: None,
        }
    }

    /// Tells how the work ended; the slot is free once this returns.
    pub fn end(mut self, work: RequestOutcome) {
        self.ended = Some((work, self.started.elapsed().as_secs_f64() * 1000.0));
    }

    /// Tells that the backend server says it drains.
    pub fn drain(&self) {
        let (service, backend) = (self.service.key, self.backend);
        let _ = self.observations.try_send(Observation::Draining { service, backend });
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mark = self.live.flights.lock().try_remove(self.mark);
        let (work, time_ms) = self.ended.unwrap_or((RequestOutcome::NoEvidence, 0.0));
        let _ = self.observations.try_send(Observation::Finished {
            service: self.service.key,
            backend: self.backend,
            work,
            time_ms,
            charged: mark.map_or(0, |mark| mark.charged),
            is_trial: self.is_trial,
        });
        self.service.wake(1);
    }
}

/// A connection counted against the backend server's limit until it is dropped.
pub(crate) struct Counted {
    /// The backend server.
    live: Arc<BackendLive>,
}

impl Counted {
    /// Counts a connection if the limit allows one more.
    pub fn open(live: &Arc<BackendLive>, limit: u32) -> Option<Counted> {
        let taken = live.connections.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
            (count < limit).then_some(count + 1)
        });
        taken.ok().map(|_| Counted { live: Arc::clone(live) })
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.live.connections.fetch_sub(1, Ordering::AcqRel);
    }
}
