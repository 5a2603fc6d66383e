//! The accepted connections of one listener, which give way to each other when there is too little room.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::rc::{Rc, Weak};
use std::time::Duration;

use leverstream_admission::connections::{
    CONNECTION_BYTES, ConnectionKey, ConnectionLimits, ConnectionTable, Phase,
};
use leverstream_pace::Clock;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::sync::Notify;
use tracing::warn;

use crate::connections::Connection;

/// The least time between two log lines that connections are short.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The interval at which a full listener checks again whether a connection can give way, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 20;

/// The size of the receive buffer of an accepted connection in the operating system, which doubles it, if the memory is limited.
/// What callers send before their connection is accepted, or ahead of an answer, waits there.
pub(crate) const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// The same while a long body is read. An upload of 1.5 MB over loopback takes 15 ms with it, and 500 ms with half of it.
pub(crate) const WIDE_RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

/// The connections of a listener that the least limits leave room for.
const MIN_CONNECTIONS: usize = 4;

/// The memory of connections of a listener that the least limits leave, in bytes.
const MIN_BYTES: usize = 16 * CONNECTION_BYTES;

/// The numbers of connections that may wait to be accepted.
const BACKLOG: RangeInclusive<usize> = 64..=1_024;

/// A listener of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Listener {
    /// For callers' requests.
    Callers,
    /// For readiness checks.
    Readiness,
    /// For queries of the addresses to connect to.
    Directory,
    /// For other VMs.
    Peers,
    /// For metrics scrapes.
    Metrics,
}

impl Listener {
    /// Returns its name in settings and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Listener::Callers => "callers",
            Listener::Readiness => "readiness",
            Listener::Directory => "directory",
            Listener::Peers => "peers",
            Listener::Metrics => "metrics",
        }
    }

    /// Returns its share of all connections of the VM. A crowd at one listener takes nothing from the others.
    fn share(self) -> f64 {
        match self {
            Listener::Callers => 11.0 / 16.0,
            Listener::Directory => 2.0 / 16.0,
            Listener::Readiness | Listener::Peers | Listener::Metrics => 1.0 / 16.0,
        }
    }

    /// Returns how many of its connections may wait to be accepted, if those of all listeners may take a number of bytes in the
    /// operating system.
    pub fn backlog(self, all_bytes: Option<usize>) -> u32 {
        let each_bytes = 2 * RECEIVE_BUFFER_BYTES as usize;
        let count = |bytes: usize| (bytes as f64 * self.share()) as usize / each_bytes;
        let count = all_bytes.map_or(*BACKLOG.end(), count);
        count.clamp(*BACKLOG.start(), *BACKLOG.end()) as u32
    }

    /// Returns its part of the limits of all connections.
    pub fn part_of(self, limits: ConnectionLimits) -> ConnectionLimits {
        let part = |whole: usize| (whole as f64 * self.share()) as usize;
        ConnectionLimits {
            max_connections: part(limits.max_connections).max(MIN_CONNECTIONS),
            max_bytes: part(limits.max_bytes).max(MIN_BYTES),
        }
    }
}

/// The accepted connections of one listener.
pub(crate) struct ConnectionPool {
    /// The listener.
    listener: Listener,
    /// The clock.
    clock: Clock,
    /// Decides which of them give way.
    table: RefCell<ConnectionTable>,
    /// The connections by their keys.
    connections: RefCell<HashMap<ConnectionKey, Weak<Connection>>>,
    /// Notified when one has ended.
    ended: Notify,
    /// The metrics of all listeners.
    meters: ConnectionMeters,
    /// When the last log line was written, if one was.
    logged_ms: Cell<Option<u64>>,
}

impl ConnectionPool {
    /// Creates the pool of a listener, with its part of the limits of all connections.
    pub fn open(
        listener: Listener,
        limits: ConnectionLimits,
        clock: Clock,
        meters: ConnectionMeters,
    ) -> Rc<ConnectionPool> {
        Rc::new(ConnectionPool {
            listener,
            clock,
            table: RefCell::new(ConnectionTable::new(listener.part_of(limits))),
            connections: RefCell::default(),
            ended: Notify::new(),
            meters,
            logged_ms: Cell::default(),
        })
    }

    /// Returns the listener.
    pub fn listener(&self) -> Listener {
        self.listener
    }

    /// Waits until another connection can be accepted; others give way to it.
    pub async fn until_room(&self) {
        loop {
            let ended = self.ended.notified();
            let evicted = self.table.borrow_mut().make_room_for_new(self.clock.now_ms());
            self.evict(&evicted);
            if self.table.borrow().can_accept() {
                return;
            }
            let retry = tokio::time::sleep(Duration::from_millis(RETRY_INTERVAL_MS));
            tokio::select! {
                () = ended => {}
                () = retry => {}
            }
        }
    }

    /// Adds an accepted connection.
    pub fn add(&self) -> ConnectionKey {
        self.gauge().inc();
        self.table.borrow_mut().open(self.clock.now_ms())
    }

    /// Registers a connection, which may be evicted from now on.
    pub fn register(&self, key: ConnectionKey, connection: &Rc<Connection>) {
        self.connections.borrow_mut().insert(key, Rc::downgrade(connection));
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, key: ConnectionKey) {
        self.gauge().dec();
        self.connections.borrow_mut().remove(&key);
        self.table.borrow_mut().close(key);
        self.ended.notify_waiters();
    }

    /// Returns what happens on a connection.
    pub fn phase(&self, key: ConnectionKey) -> Phase {
        self.table.borrow().phase(key)
    }

    /// Records what happens on a connection from now on.
    pub fn enter(&self, key: ConnectionKey, phase: Phase) {
        let now_ms = self.clock.now_ms();
        let mut table = self.table.borrow_mut();
        if table.phase(key) == phase {
            return;
        }
        table.enter(key, phase, now_ms);
        let evicted = match phase {
            Phase::Head => table.make_room_for_request(now_ms),
            _ => Vec::new(),
        };
        drop(table);
        self.evict(&evicted);
    }

    /// Returns how far a connection is behind one that moves a number of bytes each millisecond, in milliseconds.
    pub fn lag_at_rate_ms(&self, key: ConnectionKey, bytes_per_ms: u64) -> u64 {
        self.table.borrow().lag_at_rate_ms(key, bytes_per_ms, self.clock.now_ms())
    }

    /// Records that bytes of a request or an answer were moved.
    pub fn note_moved(&self, key: ConnectionKey, bytes: usize) {
        self.table.borrow_mut().note_moved(key, bytes);
    }

    /// Records what a request or an answer holds of the memory for bodies and answers.
    pub fn set_leased(&self, key: ConnectionKey, bytes: usize) {
        self.table.borrow_mut().set_leased(key, bytes);
    }

    /// Records what a connection holds beyond what each does; others give way, or it must close itself.
    pub fn hold(&self, key: ConnectionKey, bytes: usize) {
        let evicted = self.table.borrow_mut().hold(key, bytes, self.clock.now_ms());
        self.evict(&evicted);
    }

    /// Returns whether connections may hold so many bytes more without one giving way.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.table.borrow().has_room_for(bytes)
    }

    /// Ends the bodies and answers that make the least of the memory for these, until a number of bytes is given back.
    pub fn relieve(&self, bytes: usize) {
        let keys = self.table.borrow_mut().relieve(bytes, self.clock.now_ms());
        for connection in self.connections_of(&keys) {
            self.evicted_counter(EvictionCause::Memory).inc();
            connection.give_way();
        }
    }

    /// Returns whether there are so many connections that an answer should be the last on its own.
    pub fn is_crowded(&self) -> bool {
        self.table.borrow().is_crowded()
    }

    /// Tells connections to close.
    fn evict(&self, keys: &[ConnectionKey]) {
        if keys.is_empty() {
            return;
        }
        for connection in self.connections_of(keys) {
            self.evicted_counter(EvictionCause::Connections).inc();
            connection.evict();
        }
        self.log_shortage(keys.len());
    }

    /// Returns the connections with these keys that have not ended.
    fn connections_of(&self, keys: &[ConnectionKey]) -> Vec<Rc<Connection>> {
        let connections = self.connections.borrow();
        keys.iter().filter_map(|key| connections.get(key)?.upgrade()).collect()
    }

    /// Logs that connections give way, at most once in [`LOG_INTERVAL_MS`].
    fn log_shortage(&self, count: usize) {
        let now_ms = self.clock.now_ms();
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < LOG_INTERVAL_MS;
        if self.logged_ms.get().is_some_and(is_recent) {
            return;
        }
        self.logged_ms.set(Some(now_ms));
        let table = self.table.borrow();
        let (open, held_bytes) = (table.count(), table.held_bytes());
        warn!(listener = self.listener.name(), open, held_bytes, count, "connections give way");
    }

    /// Returns the number of its open connections.
    fn gauge(&self) -> Gauge {
        let label = ListenerLabel { listener: self.listener };
        self.meters.open.get_or_create(&label).clone()
    }

    /// Returns the number of its connections that gave way for a cause.
    fn evicted_counter(&self, cause: EvictionCause) -> Counter {
        let label = EvictionLabel { listener: self.listener, cause };
        self.meters.evicted.get_or_create(&label).clone()
    }
}

/// The label of the connections of a listener.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabel {
    /// The listener.
    listener: Listener,
}

/// What a connection gave way to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum EvictionCause {
    /// Other connections.
    Connections,
    /// Bodies and answers of others.
    Memory,
}

/// The label of connections that gave way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EvictionLabel {
    /// The listener.
    listener: Listener,
    /// What they gave way to.
    cause: EvictionCause,
}

/// The metrics of accepted connections.
#[derive(Clone, Default)]
pub(crate) struct ConnectionMeters {
    /// Open connections by listener.
    open: Family<ListenerLabel, Gauge>,
    /// Connections that gave way to others, by listener and cause.
    evicted: Family<EvictionLabel, Counter>,
}

impl ConnectionMeters {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Accepted connections that are open, by listener";
        registry.register("connections_open", help, self.open.clone());
        let help = "Accepted connections that gave way to others, by listener and cause";
        registry.register("connections_evicted", help, self.evicted.clone());
    }
}
