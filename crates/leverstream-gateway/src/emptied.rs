//! Follows which data halls operators ask to be emptied; the VMs that watch the store tell the others with each packet.

use std::rc::Rc;
use std::time::Duration;

use leverstream_core::EmptiedHalls;
use leverstream_peer as peer;
use leverstream_platform::{Change, Listing, Store};
use rand::Rng;
use tracing::info;

use crate::follow::{Link, WATCH_MS};
use crate::gateway::Inner;

/// After how long at least a VM that nobody has told reads them itself, in milliseconds: later than those that watch the store
/// have. The users' bound counts from when a VM has run for some seconds.
const UNTOLD_MS: u64 = 1_600;

/// For how long at the most the store's return is left to others to find out, in milliseconds.
const AWAY_MS: u64 = 1_500;

/// How often one that waits looks.
const LOOK_MS: u64 = 100;

/// Follows them, if there may be any.
pub(crate) async fn follow(store: Store, inner: Rc<Inner>) {
    if inner.settings.emptying.within_s.is_none() {
        return;
    }
    let mut link = Link::open("emptied data halls");
    until_due(&inner).await;
    loop {
        let Listing { items, mut revision } = match store.list_halls_to_empty().await {
            Ok(listing) => listing,
            Err(error) => {
                link.fail(&inner, &error).await;
                until_store_is_back(&inner).await;
                continue;
            }
        };
        link.succeed(&inner);
        let halls = items.into_iter().map(|item| item.name).collect();
        take(&inner, EmptiedHalls { revision, halls }, "store");
        let mut is_broken = false;
        while !is_broken && inner.mesh.watches() {
            let watched = tokio::select! {
                watched = store.watch_halls_to_empty(revision, WATCH_MS) => watched,
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
                    take(&inner, EmptiedHalls { revision, halls }, "store");
                }
                Err(error) => {
                    link.fail(&inner, &error).await;
                    until_store_is_back(&inner).await;
                    is_broken = true;
                }
            }
        }
        if !is_broken {
            inner.mesh.until_watches(true).await;
        }
    }
}

/// Waits until this VM should read them: it watches the store, or nobody has told it for a while.
async fn until_due(inner: &Inner) {
    let spread_ms = rand::rng().random_range(0..UNTOLD_MS);
    let until_ms = inner.now_ms() + UNTOLD_MS + spread_ms;
    let is_known = || inner.fleet.borrow().emptied().revision > 0;
    while !inner.mesh.watches() && (is_known() || inner.now_ms() < until_ms) {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Waits for what else is read from the store to find out that it is back: each call has its price.
async fn until_store_is_back(inner: &Inner) {
    let until_ms = inner.now_ms() + AWAY_MS;
    while inner.mesh.has_lost_store() && inner.now_ms() < until_ms {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// What other VMs are told of them with each packet; nothing before anything is known.
pub(crate) fn told(inner: &Inner) -> Option<peer::Emptied> {
    let fleet = inner.fleet.borrow();
    let EmptiedHalls { revision, halls } = fleet.emptied();
    (*revision > 0)
        .then(|| peer::Emptied { revision: *revision, halls: halls.iter().cloned().collect() })
}

/// Takes in what another VM knows of them.
pub(crate) fn hear(inner: &Inner, told: &peer::Emptied) {
    let halls = told.halls.iter().cloned().collect();
    take(inner, EmptiedHalls { revision: told.revision, halls }, "another VM");
}

/// Takes in which they are by now; who has read it from the store tells the others at once.
fn take(inner: &Inner, emptied: EmptiedHalls, source: &str) {
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
