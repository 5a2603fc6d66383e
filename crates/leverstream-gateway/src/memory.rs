//! Accounts for the bodies of requests and the answers that the VM holds, and pauses their reading
//! while memory is short.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use leverstream_admission::memory::{Decision, HolderId, MemoryBudget, Purpose};
use leverstream_pace::Clock;
use leverstream_wire::{MemoryGrant, WireError};
use parking_lot::Mutex;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::oneshot;
use tracing::warn;

use crate::connection_pool::ConnectionPool;
use crate::settings::MemorySettings;

/// The largest size of the buffers of a connection to a backend server in the operating system, which doubles it for its own
/// needs.
///
/// Data in these buffers counts towards the memory of the VM. By default they grow to several megabytes for a connection whose
/// other side doesn't read, or that isn't read. With 32 kB, less than one packet of the loopback interface, an upload of 1.5 MB
/// took 500 ms in place of 15 ms, as each packet waited for a delayed acknowledgement.
const MAX_SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// The least size of these buffers.
const MIN_SOCKET_BUFFER_BYTES: usize = 16 << 10;

/// The part of the memory (one in `SOCKET_BUFFER_DIVISOR`) that such a buffer takes on a VM with little of it, as hundreds of
/// answers may arrive at once.
const SOCKET_BUFFER_DIVISOR: usize = 2_500;

/// The least time between two log lines that memory is short.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The interval at which an answer that waits for memory looks again for connections that make little of theirs, in milliseconds.
const RELIEF_INTERVAL_MS: u64 = 250;

/// The memory of the VM for bodies and answers.
///
/// The gateway runs on one thread; the lock lets the bytes of a body, which may be sent to other
/// threads, carry their [`Lease`].
pub(crate) struct Memory {
    /// The clock.
    clock: Clock,
    /// The budget and the paused holders; none if the memory of the process isn't limited.
    state: Option<Mutex<State>>,
    /// The size of the buffers of connections to backend servers; none if the memory of the process isn't limited.
    socket_buffer_bytes: Option<u32>,
    /// The metrics.
    meters: MemoryMeters,
}

/// The budget and the paused holders.
struct State {
    /// The budget.
    budget: MemoryBudget,
    /// Notifies paused holders once their bytes are granted.
    paused: HashMap<HolderId, oneshot::Sender<()>>,
    /// When the last log line was written, if one was.
    logged_ms: Option<u64>,
}

/// The bytes that one body or answer holds; they are returned on drop.
pub(crate) struct Lease {
    /// The memory that they are part of.
    memory: Arc<Memory>,
    /// The holder.
    id: HolderId,
}

/// The bytes can never be held, it isn't certain that they can, or too many holders are paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refused;

impl Memory {
    /// Creates the budget from the memory limit of the process.
    pub fn open(settings: MemorySettings, clock: Clock, meters: MemoryMeters) -> Memory {
        let state = |limit_bytes| State {
            budget: MemoryBudget::of_process(limit_bytes),
            paused: HashMap::new(),
            logged_ms: None,
        };
        let limit_bytes = settings.limit_bytes();
        let state = limit_bytes.map(|limit_bytes| Mutex::new(state(limit_bytes)));
        let part = |limit: usize| {
            let part = limit / SOCKET_BUFFER_DIVISOR;
            part.clamp(MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES) as u32
        };
        Memory { clock, state, socket_buffer_bytes: limit_bytes.map(part), meters }
    }

    /// Returns the size of the buffers of each connection to a backend server in the operating system, if the memory of the
    /// process is limited.
    pub fn socket_buffer_bytes(&self) -> Option<u32> {
        self.socket_buffer_bytes
    }

    /// Tells whether the memory of the process is limited.
    pub fn is_limited(&self) -> bool {
        self.state.is_some()
    }

    /// Returns the present time.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the metrics.
    pub fn meters(&self) -> &MemoryMeters {
        &self.meters
    }

    /// Opens the body of a request; none if its announced length will never fit into the limited
    /// memory.
    pub fn open_body(self: &Arc<Memory>, announced_bytes: Option<usize>) -> Option<Lease> {
        let id = self.state.as_ref()?.lock().budget.open_body(announced_bytes)?;
        Some(Lease { memory: Arc::clone(self), id })
    }

    /// Returns the grant of memory to the answer of one attempt, to which the connections of a pool give way.
    pub fn open_answer(self: &Arc<Memory>, callers: &Rc<ConnectionPool>) -> AnswerGrant {
        let open = |state: &Mutex<State>| {
            let id = state.lock().budget.open_answer();
            Lease { memory: Arc::clone(self), id }
        };
        AnswerGrant {
            lease: self.state.as_ref().map(open),
            callers: Rc::clone(callers),
            paused_since_ms: Cell::default(),
            ended_pauses_ms: Cell::default(),
        }
    }

    /// Sets the metrics to the bytes held and the number of paused bodies and answers.
    pub fn update_meters(&self) {
        let Some(state) = &self.state else { return };
        let state = state.lock();
        for (purpose, label) in [(Purpose::Body, Held::Body), (Purpose::Answer, Held::Answer)] {
            let gauge = self.meters.held_bytes.get_or_create(&HeldLabel { purpose: label });
            gauge.set(state.budget.held_bytes(purpose) as i64);
        }
        self.meters.paused.set(state.budget.paused_count() as i64);
    }

    /// Logs that memory is short, at most once in [`LOG_INTERVAL_MS`].
    fn log_shortage(&self, state: &mut State) {
        let now_ms = self.now_ms();
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < LOG_INTERVAL_MS;
        if state.logged_ms.is_some_and(is_recent) {
            return;
        }
        state.logged_ms = Some(now_ms);
        let budget = &state.budget;
        warn!(
            limit_bytes = budget.limit_bytes(),
            bodies_bytes = budget.held_bytes(Purpose::Body),
            answers_bytes = budget.held_bytes(Purpose::Answer),
            paused = budget.paused_count(),
            "memory short"
        );
    }
}

impl State {
    /// Notifies paused holders whose bytes are granted.
    fn resume(&mut self, ids: &[HolderId]) {
        for id in ids {
            if let Some(sender) = self.paused.remove(id) {
                // A holder that is no longer waiting returns its bytes when its lease is dropped.
                let _ = sender.send(());
            }
        }
    }
}

impl Lease {
    /// Waits until so many more bytes may be read; calls `on_pause` if they aren't granted at once.
    pub async fn take(&self, bytes: usize, on_pause: impl FnOnce()) -> Result<(), Refused> {
        if let Some(granted) = self.request(bytes)? {
            on_pause();
            // The sender is kept until the bytes are granted or this lease is dropped.
            let _ = granted.await;
        }
        Ok(())
    }

    /// Asks for so many more bytes; returns what to wait for if they aren't granted at once.
    fn request(&self, bytes: usize) -> Result<Option<oneshot::Receiver<()>>, Refused> {
        let Some(state) = &self.memory.state else { return Ok(None) };
        let mut state = state.lock();
        match state.budget.take(self.id, bytes) {
            Decision::Granted => Ok(None),
            Decision::Refused => Err(Refused),
            Decision::Paused => {
                let (sender, granted) = oneshot::channel();
                state.paused.insert(self.id, sender);
                self.memory.meters.pauses.inc();
                self.memory.log_shortage(&mut state);
                Ok(Some(granted))
            }
        }
    }

    /// Attaches the lease to the whole body, so that its bytes are returned with the last use of it.
    pub fn attach(self, body: Bytes) -> Bytes {
        if let Some(state) = &self.memory.state {
            let mut state = state.lock();
            let resumed = state.budget.complete(self.id, body.len());
            state.resume(&resumed);
        }
        Bytes::from_owner(LeasedBytes { body, _lease: self })
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(state) = &self.memory.state {
            let mut state = state.lock();
            state.paused.remove(&self.id);
            let resumed = state.budget.release(self.id);
            state.resume(&resumed);
        }
    }
}

/// A body together with its lease.
struct LeasedBytes {
    /// The body.
    body: Bytes,
    /// Its lease.
    _lease: Lease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// The memory granted to the answer of one attempt.
pub(crate) struct AnswerGrant {
    /// The bytes of the answer; none if the memory of the process isn't limited.
    lease: Option<Lease>,
    /// The connections of callers, which give way if the answer finds no memory.
    callers: Rc<ConnectionPool>,
    /// When the current pause started, if the answer waits for memory or did so when its attempt ended.
    paused_since_ms: Cell<Option<u64>>,
    /// The duration of the pauses that have ended; none if the answer never waited.
    ended_pauses_ms: Cell<Option<u64>>,
}

impl AnswerGrant {
    /// Tells whether the answer has waited for memory.
    pub fn has_paused(&self) -> bool {
        self.paused_since_ms.get().is_some() || self.ended_pauses_ms.get().is_some()
    }

    /// Returns how long the answer has waited for memory up to a time.
    pub fn paused_ms(&self, now_ms: u64) -> u64 {
        let current_ms = self.paused_since_ms.get().map_or(0, |since| now_ms.saturating_sub(since));
        self.ended_pauses_ms.get().unwrap_or(0) + current_ms
    }

    /// Attaches the memory to the answer's body.
    pub fn attach(self, body: Bytes) -> Bytes {
        match self.lease {
            Some(lease) if !body.is_empty() => lease.attach(body),
            _ => body,
        }
    }
}

impl MemoryGrant for AnswerGrant {
    async fn take(&self, bytes: usize) -> Result<(), WireError> {
        let Some(lease) = &self.lease else { return Ok(()) };
        let requested = lease.request(bytes);
        if !matches!(requested, Ok(None)) {
            self.callers.relieve(bytes);
        }
        let granted = requested.map_err(|Refused| WireError::TooLarge)?;
        if let Some(mut granted) = granted {
            self.paused_since_ms.set(Some(lease.memory.now_ms()));
            let interval = Duration::from_millis(RELIEF_INTERVAL_MS);
            // The sender is kept until the bytes are granted or the lease is dropped.
            while tokio::time::timeout(interval, &mut granted).await.is_err() {
                self.callers.relieve(bytes);
            }
            self.ended_pauses_ms.set(Some(self.paused_ms(lease.memory.now_ms())));
            self.paused_since_ms.set(None);
        }
        Ok(())
    }
}

/// What bytes are held for, as a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Held {
    /// The bodies of requests.
    Body,
    /// Answers that have not been written.
    Answer,
}

/// The label of bytes held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeldLabel {
    /// What they are held for.
    purpose: Held,
}

/// The metrics of the memory held for others.
#[derive(Clone, Default)]
pub(crate) struct MemoryMeters {
    /// Bytes held, by purpose.
    held_bytes: Family<HeldLabel, Gauge>,
    /// Bodies and answers that are paused now.
    paused: Gauge,
    /// Pauses of bodies and answers.
    pauses: Counter,
    /// Callers disconnected because they left their answers unread.
    pub cut_off: Counter,
    /// Requests refused for lack of memory.
    pub refused: Counter,
}

impl MemoryMeters {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Bytes held for callers and backend servers, by purpose";
        registry.register("memory_held_bytes", help, self.held_bytes.clone());
        let help = "Bodies and answers whose reading is paused for lack of memory";
        registry.register("memory_paused", help, self.paused.clone());
        let help = "Pauses in the reading of bodies and answers for lack of memory";
        registry.register("memory_pauses", help, self.pauses.clone());
        let help = "Callers disconnected because they left their answers unread";
        registry.register("callers_cut_off", help, self.cut_off.clone());
        let help = "Requests refused for lack of memory";
        registry.register("memory_refused", help, self.refused.clone());
    }
}
