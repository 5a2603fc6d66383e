//! Reads and watches which data halls operators want emptied; VMs that watch the store report them in each packet.

use std::rc::Rc;
use std::time::Duration;

use leverstream_core::EmptiedHalls;
use leverstream_peer as peer;
use leverstream_platform::{Change, Listing, Store};
use rand::Rng;
use tracing::info;

use crate::follow::{StoreLink, WATCH_TIMEOUT_MS};
use crate::gateway::Inner;

/// The minimum time that a VM waits for a peer's report before it reads the store itself, in milliseconds: the VMs that
/// watch the store have read it by then. The bound on emptying counts only after a VM has run for some seconds.
const PEER_REPORT_WAIT_MS: u64 = 1_600;

/// The maximum wait for other calls to find the store reachable again, in milliseconds.
const MAX_STORE_RETURN_WAIT_MS: u64 = 1_500;

/// The interval at which a waiting task checks its condition, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Reads and watches the emptied data halls, unless the settings exclude them.
pub(crate) async fn follow(store: Store, inner: Rc<Inner>) {
    if inner.settings.emptying.within_s.is_none() {
        return;
    }
    let mut link = StoreLink::new("emptied data halls");
    wait_until_due(&inner).await;
    loop {
        let Listing { items, mut revision } = match store.list_halls_to_empty().await {
            Ok(listing) => listing,
            Err(error) => {
                link.fail(&inner, &error).await;
                wait_until_store_is_back(&inner).await;
                continue;
            }
        };
        link.succeed(&inner);
        let halls = items.into_iter().map(|item| item.name).collect();
        apply(&inner, EmptiedHalls { revision, halls }, "store");
        let mut is_broken = false;
        while !is_broken && inner.mesh.watches() {
            let watched = tokio::select! {
                watched = store.watch_halls_to_empty(revision, WATCH_TIMEOUT_MS) => watched,
                () = inner.mesh.until_watches(false) => break,
            };
            match watched {
                Ok(watched) => {
                    link.succeed(&inner);
                    revision = watched.revision;
                    if watched.changes.is_empty() {
                        continue;
                    }
                    let mut halls = inner.fleet.borrow().emptied().halls.clone();
                    for change in watched.changes {
                        match change {
                            Change::Set(item) => halls.insert(item.name),
                            Change::Removed(hall) => halls.remove(&hall),
                        };
                    }
                    apply(&inner, EmptiedHalls { revision, halls }, "store");
                }
                Err(error) => {
                    link.fail(&inner, &error).await;
                    wait_until_store_is_back(&inner).await;
                    is_broken = true;
                }
            }
        }
        if !is_broken {
            inner.mesh.until_watches(true).await;
        }
    }
}

/// Waits until this VM should read the store: it has to watch the store, or no peer has reported in time.
async fn wait_until_due(inner: &Inner) {
    let spread_ms = rand::rng().random_range(0..PEER_REPORT_WAIT_MS);
    let until_ms = inner.now_ms() + PEER_REPORT_WAIT_MS + spread_ms;
    let is_known = || inner.fleet.borrow().emptied().revision > 0;
    while !inner.mesh.watches() && (is_known() || inner.now_ms() < until_ms) {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

/// Waits for other calls to find the store reachable again, since each call is billed.
async fn wait_until_store_is_back(inner: &Inner) {
    let until_ms = inner.now_ms() + MAX_STORE_RETURN_WAIT_MS;
    while inner.mesh.has_lost_store() && inner.now_ms() < until_ms {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

/// Returns the report for each packet to other VMs; none before any data is known.
pub(crate) fn report(inner: &Inner) -> Option<peer::Emptied> {
    let fleet = inner.fleet.borrow();
    let EmptiedHalls { revision, halls } = fleet.emptied();
    (*revision > 0)
        .then(|| peer::Emptied { revision: *revision, halls: halls.iter().cloned().collect() })
}

/// Applies another VM's report.
pub(crate) fn handle_report(inner: &Inner, report: &peer::Emptied) {
    let halls = report.halls.iter().cloned().collect();
    apply(inner, EmptiedHalls { revision: report.revision, halls }, "another VM");
}

/// Applies the present set of emptied data halls; a VM that has read it from the store reports it at once.
fn apply(inner: &Inner, emptied: EmptiedHalls, source: &str) {
    let EmptiedHalls { revision, halls } = emptied.clone();
    let is_first = inner.fleet.borrow().emptied().revision == 0 && revision > 0;
    let has_changed = inner.fleet.borrow_mut().set_emptied(emptied);
    if !has_changed && !is_first {
        return;
    }
    info!(?halls, revision, source, "data halls to be emptied");
    inner.wake_all();
    if source == "store" {
        inner.mesh.send_standing(inner);
    }
}
