//! Renews the lease on the known keys, so that they are recent enough to trust: by reading the
//! store, or by asking a VM that has read it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_pace::Clock;
use leverstream_peer::packet::Body;
use leverstream_peer::{LeaseAnswer, LeaseQuestion, Packet};
use leverstream_workspace::Lease;
use rand::seq::IndexedRandom;
use tokio::sync::Notify;
use tracing::info;

use crate::mesh::Mesh;
use crate::meters::Meters;

/// The fraction of the lease time at which a VM that serves requests with keys asks the VM that
/// reads the store.
const ASK_FRACTION: f64 = 0.31;

/// The fraction at which it asks several VMs at once, in case the first has no newer information.
const ASK_MANY_FRACTION: f64 = 0.45;

/// The fraction at which it reads the store itself, as no other VM could answer.
const FALLBACK_READ_FRACTION: f64 = 0.6;

/// The interval between two questions or reads, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 150;

/// The interval between fallback reads, in milliseconds: the store may be unavailable for all VMs.
const FALLBACK_READ_INTERVAL_MS: u64 = 600;

/// How long a VM renews its lease after the last request with a key, in milliseconds; later it asks
/// when the next one arrives.
const ACTIVE_MS: u64 = 5_000;

/// The polling interval, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// The timeout of a read: a healthy store answers within 4 ms.
const READ_TIMEOUT_MS: u64 = 800;

/// Members asked in addition to the VM that reads the store if that one does not help.
const EXTRA_MEMBERS_ASKED: usize = 2;

/// How long an answer to a question is accepted, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// The longest time a request waits for a lease: a VM of the same hall answers within a few
/// milliseconds.
const REQUEST_WAIT_MS: u64 = 250;

/// How long this VM may trust the keys it knows, and its pending questions.
pub(crate) struct Leases {
    /// The lease; none if the settings name no time within which removed keys must stop working.
    lease: Option<RefCell<Lease>>,
    /// Whether the configuration in force has workspaces.
    has_workspaces: Cell<bool>,
    /// When the last request with a key arrived.
    last_used_ms: Cell<Option<u64>>,
    /// When the first request that waits for the lease arrived.
    waiting_since_ms: Cell<Option<u64>>,
    /// Pending questions: their numbers and when they were sent.
    pending: RefCell<HashMap<u64, u64>>,
    /// The number of the last question.
    last_number: Cell<u64>,
    /// Notified when a request waits for the lease.
    lease_wanted: Notify,
    /// Notified when the lease is renewed.
    renewed: Notify,
}

impl Leases {
    /// Starts without a valid lease; none is needed if removed keys may keep working for any time.
    pub fn open(revoke_ms: Option<u64>) -> Leases {
        Leases {
            lease: revoke_ms.map(|revoke_ms| RefCell::new(Lease::open(revoke_ms))),
            has_workspaces: Cell::new(false),
            last_used_ms: Cell::new(None),
            waiting_since_ms: Cell::new(None),
            pending: RefCell::default(),
            last_number: Cell::new(0),
            lease_wanted: Notify::new(),
            renewed: Notify::new(),
        }
    }

    /// Updates whether the configuration in force has workspaces.
    pub fn set_has_workspaces(&self, has_workspaces: bool) {
        self.has_workspaces.set(has_workspaces);
    }

    /// Renews the lease after the store answered a read that was sent at `asked_ms`.
    pub fn record_read(&self, asked_ms: u64) {
        self.renew(asked_ms, 0);
    }

    /// The age of the known keys, for the log.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.lease.as_ref()?.borrow().age_ms(now_ms)
    }

    /// Tells whether the lease is valid now, so that a request with a key may proceed.
    pub fn holds(&self, now_ms: u64) -> bool {
        self.lease.as_ref().is_none_or(|lease| lease.borrow().holds(now_ms))
    }

    /// Tells whether a request with a key may be admitted; waits for an answer if one may arrive
    /// soon.
    pub async fn until_held(&self, clock: Clock) -> bool {
        let started_ms = clock.now_ms();
        self.last_used_ms.set(Some(started_ms));
        while !self.holds(clock.now_ms()) {
            let waited_ms = clock.now_ms().saturating_sub(started_ms);
            let Some(remaining_ms) =
                REQUEST_WAIT_MS.checked_sub(waited_ms).filter(|remaining_ms| *remaining_ms > 0)
            else {
                return false;
            };
            if self.waiting_since_ms.get().is_none() {
                self.waiting_since_ms.set(Some(started_ms));
                self.lease_wanted.notify_one();
            }
            // The loop checks the lease again after a renewal as well as after the timeout.
            let _ =
                tokio::time::timeout(Duration::from_millis(remaining_ms), self.renewed.notified())
                    .await;
        }
        true
    }

    /// Answers another VM's question, if this VM knows the configuration.
    pub fn answer(
        &self,
        question: &LeaseQuestion,
        catalog_version: u64,
        now_ms: u64,
    ) -> Option<LeaseAnswer> {
        let age_ms = self.age_ms(now_ms)?;
        let age_ms = u32::try_from(age_ms).ok()?;
        Some(LeaseAnswer { number: question.number, catalog_version, age_ms })
    }

    /// Applies the answer to a question of this VM, which has a configuration of its own.
    ///
    /// An answer from a VM with a newer configuration does not confirm the older one in force here.
    pub fn record_answer(&self, answer: &LeaseAnswer, own_version: u64) {
        let Some(asked_ms) = self.pending.borrow_mut().remove(&answer.number) else { return };
        if answer.catalog_version <= own_version && own_version > 0 {
            self.renew(asked_ms, answer.age_ms.into());
        }
    }

    /// Renews the lease and wakes the requests that wait for it.
    fn renew(&self, asked_ms: u64, age_ms: u64) {
        let Some(lease) = &self.lease else { return };
        if lease.borrow_mut().renew(asked_ms, age_ms) {
            self.waiting_since_ms.set(None);
            self.renewed.notify_waiters();
        }
    }

    /// Creates a question that is sent now.
    fn question(&self, now_ms: u64) -> LeaseQuestion {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_, asked_ms| now_ms.saturating_sub(*asked_ms) < ANSWER_TIMEOUT_MS);
        pending.insert(number, now_ms);
        LeaseQuestion { number }
    }

    /// The actions that are due to renew the lease.
    fn due(&self, now_ms: u64) -> Due {
        let Some(lease) = self.lease.as_ref().filter(|_| self.has_workspaces.get()) else {
            return Due::default();
        };
        let lease = lease.borrow();
        let holds_ms = lease.holds_ms() as f64;
        let age_fraction = lease.age_ms(now_ms).map_or(f64::MAX, |age_ms| age_ms as f64 / holds_ms);
        let is_active = self.last_used_ms.get().is_some_and(|at_ms| now_ms < at_ms + ACTIVE_MS);
        // A lease that was not used for a while is old for that reason alone, so the VM asks before
        // it reads.
        let waits_ms = self.waiting_since_ms.get().map(|at_ms| now_ms.saturating_sub(at_ms));
        let has_had_time_to_ask = waits_ms.is_none_or(|waits_ms| waits_ms >= RETRY_INTERVAL_MS);
        Due {
            reads: is_active && age_fraction >= FALLBACK_READ_FRACTION && has_had_time_to_ask,
            asks: is_active && age_fraction >= ASK_FRACTION,
            asks_many: is_active && age_fraction >= ASK_MANY_FRACTION,
        }
    }
}

/// The actions that are due to renew a lease.
#[derive(Clone, Copy, Debug, Default)]
struct Due {
    /// Read the store, as no other VM could answer.
    reads: bool,
    /// Ask the VM that reads the store.
    asks: bool,
    /// Ask it and some other VMs.
    asks_many: bool,
}

/// Renews the lease of this VM.
pub(crate) struct LeaseRenewer {
    /// The clock.
    pub clock: Clock,
    /// The lease.
    pub leases: Rc<Leases>,
    /// The other VMs.
    pub mesh: Rc<Mesh>,
    /// The metrics.
    pub meters: Rc<Meters>,
}

impl LeaseRenewer {
    /// Renews the lease for as long as the process runs. `read` reads the configuration from the
    /// store, applies it, and returns whether that succeeded; `reader` returns the address of the VM
    /// that reads the store, if it is known.
    pub async fn run<F>(
        self,
        read: impl Fn() -> F + 'static,
        reader: impl Fn() -> Option<SocketAddr>,
    ) where
        F: Future<Output = bool> + 'static,
    {
        let is_reading = Rc::new(Cell::new(false));
        let (mut read_due_ms, mut ask_due_ms) = (0, 0);
        loop {
            // The loop checks what is due after the interval, or sooner if a request needs the
            // lease.
            let interval = tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS));
            tokio::select! {
                () = interval => {}
                () = self.leases.lease_wanted.notified() => {}
            }
            let now_ms = self.clock.now_ms();
            let due = self.leases.due(now_ms);
            if (due.asks || due.asks_many) && now_ms >= ask_due_ms {
                ask_due_ms = now_ms + RETRY_INTERVAL_MS;
                self.ask(reader(), due.asks_many, now_ms);
            }
            if due.reads && now_ms >= read_due_ms && !is_reading.get() {
                read_due_ms = now_ms + FALLBACK_READ_INTERVAL_MS;
                self.spawn_read(&is_reading, read());
            }
        }
    }

    /// Reads the store without blocking the other actions.
    fn spawn_read(&self, is_reading: &Rc<Cell<bool>>, read: impl Future<Output = bool> + 'static) {
        is_reading.set(true);
        let (is_reading, clock) = (Rc::clone(is_reading), self.clock);
        let leases = Rc::clone(&self.leases);
        actix_rt::spawn(async move {
            let asked_ms = clock.now_ms();
            let limit = Duration::from_millis(READ_TIMEOUT_MS);
            if tokio::time::timeout(limit, read).await == Ok(true) {
                leases.record_read(asked_ms);
            } else {
                let age_ms = leases.age_ms(clock.now_ms());
                info!(age_ms, within_ms = READ_TIMEOUT_MS, "keys could not be read from the store");
            }
            is_reading.set(false);
        });
    }

    /// Asks other VMs how old their keys are.
    fn ask(&self, reader: Option<SocketAddr>, asks_many: bool, now_ms: u64) {
        let mut to: Vec<SocketAddr> = reader.into_iter().collect();
        if asks_many || to.is_empty() {
            let others = self.mesh.others();
            to.extend(others.choose_multiple(&mut rand::rng(), EXTRA_MEMBERS_ASKED));
        }
        for address in to {
            let body = Some(Body::LeaseQuestion(self.leases.question(now_ms)));
            self.mesh.send(&self.meters, &Packet { body, ..Packet::default() }, &[address]);
        }
    }
}
