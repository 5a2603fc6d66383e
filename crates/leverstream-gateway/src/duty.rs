//! Decides whether this VM watches the store, and records which VMs cannot reach it.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use leverstream_member::{Member, watchers};
use tokio::sync::Notify;
use tracing::info;

/// The interval at which a VM checks whether it should watch the store.
const CHECK_INTERVAL_MS: u64 = 500;

/// The number of VMs of a hall without the store from which on no further VM replaces them as watcher.
///
/// So many failures are no coincidence: the store itself is down. The VMs that lost it go on retrying and report when
/// it is back.
const MAX_LOST_PER_HALL: usize = 4;

/// This VM's part in watching the store.
#[derive(Default)]
pub(crate) struct WatchDuty {
    /// Whether this VM has run long enough to know the others.
    is_settled: Cell<bool>,
    /// Whether this VM is one of its hall's watchers.
    is_watcher: Cell<bool>,
    /// Whether this VM cannot reach the store.
    has_lost_store: Cell<bool>,
    /// The ids of the other VMs that cannot reach the store.
    without_store: RefCell<HashSet<u64>>,
    /// When a VM last lost or regained the store.
    last_outage_ms: Cell<Option<u64>>,
    /// The peer addresses of this hall's other watchers.
    hall_watchers: RefCell<Vec<SocketAddr>>,
    /// Notified when this VM starts or stops being a watcher.
    changed: Notify,
}

impl WatchDuty {
    /// Notes that this VM has run long enough to know the others.
    pub fn settle(&self) {
        if !self.is_settled.replace(true) {
            self.changed.notify_waiters();
        }
    }

    /// Returns whether this VM should watch the store: it is one of its hall's watchers, or no peer reaches it. A VM that
    /// has just started knows too few peers to decide.
    pub fn watches(&self, is_isolated: bool) -> bool {
        self.is_settled.get() && (self.is_watcher.get() || is_isolated)
    }

    /// Returns the peer addresses of this hall's other watchers.
    pub fn hall_watchers(&self) -> Vec<SocketAddr> {
        self.hall_watchers.borrow().clone()
    }

    /// Waits until [`watches`](Self::watches) returns `should`.
    pub async fn until_watches(&self, should: bool, is_isolated: impl Fn() -> bool) {
        while self.watches(is_isolated()) != should {
            // Isolation sends no notification, so it is checked at an interval too.
            let check = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS));
            tokio::select! {
                () = self.changed.notified() => {}
                () = check => {}
            }
        }
    }

    /// Returns whether this VM cannot reach the store.
    pub fn has_lost_store(&self) -> bool {
        self.has_lost_store.get()
    }

    /// Returns whether any VM was without the store within the given time: the store may have been down, and entries that
    /// expired meanwhile may be written again.
    pub fn had_outage(&self, within_ms: u64, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < within_ms;
        self.has_lost_store.get()
            || !self.without_store.borrow().is_empty()
            || self.last_outage_ms.get().is_some_and(is_recent)
    }

    /// Notes whether this VM has lost the store; returns true if that has changed.
    pub fn note_own(&self, is_lost: bool, now_ms: u64) -> bool {
        let has_changed = self.has_lost_store.replace(is_lost) != is_lost;
        if has_changed {
            self.last_outage_ms.set(Some(now_ms));
        }
        has_changed
    }

    /// Notes whether another VM has lost the store; returns true if that has changed.
    pub fn note_other(&self, id: u64, is_lost: bool, now_ms: u64) -> bool {
        let mut without_store_ids = self.without_store.borrow_mut();
        let has_changed =
            if is_lost { without_store_ids.insert(id) } else { without_store_ids.remove(&id) };
        if has_changed {
            self.last_outage_ms.set(Some(now_ms));
        }
        has_changed
    }

    /// Chooses this hall's watchers among its VMs that can reach the store.
    pub fn choose_watchers(&self, hall: &str, members: &[&Member], own_id: u64) {
        let mut without_store_ids = self.without_store.borrow_mut();
        without_store_ids.retain(|id| {
            members.iter().any(|member| member.identity.id == *id && member.takes_callers())
        });
        let can_watch = |member: &&Member| {
            let id = member.identity.id;
            member.takes_callers()
                && !without_store_ids.contains(&id)
                && (id != own_id || !self.has_lost_store.get())
        };
        let in_hall = members.iter().filter(|member| member.identity.hall == hall);
        let lost = in_hall.filter(|member| without_store_ids.contains(&member.identity.id)).count();
        let chosen = watchers(hall, members.iter().copied().filter(can_watch));
        let is_watcher =
            lost < MAX_LOST_PER_HALL && chosen.iter().any(|member| member.identity.id == own_id);
        let others = chosen.iter().filter(|member| member.identity.id != own_id);
        *self.hall_watchers.borrow_mut() =
            others.map(|member| member.identity.peer_address).collect();
        if self.is_watcher.replace(is_watcher) != is_watcher {
            self.changed.notify_waiters();
            info!(is_watcher, members = members.len(), "store watcher");
        }
    }
}
