//! Which data halls operators want emptied: reads them in the store, and reports them in each packet to other VMs.

use std::collections::BTreeSet;

use leverstream_core::EmptiedHalls;
use leverstream_peer as peer;
use leverstream_platform::{Change, Store, StoreError};
use tracing::info;

use crate::follow::NO_WAIT_MS;
use crate::gateway::Inner;

/// Lists the data halls to be emptied and applies the list; returns its revision, or none if the settings exclude them.
pub(crate) async fn list(store: &Store, inner: &Inner) -> Result<Option<u64>, StoreError> {
    if inner.settings.emptying.within_s.is_none() {
        return Ok(None);
    }
    let listing = store.list_halls_to_empty().await?;
    let halls = listing.items.into_iter().map(|item| item.name).collect();
    apply(inner, EmptiedHalls { revision: listing.revision, halls }, "store");
    Ok(Some(listing.revision))
}

/// Reads the changes of the data halls to be emptied up to a revision of the store, or later, and applies them, unless the
/// settings exclude them.
pub(crate) async fn read(store: &Store, inner: &Inner, revision: u64) -> Result<(), StoreError> {
    let known_revision = inner.fleet.borrow().emptied().revision;
    if inner.settings.emptying.within_s.is_none() {
        return Ok(());
    }
    if known_revision == 0 {
        return list(store, inner).await.map(|_| ());
    }
    let watched = match store.watch_halls_to_empty(known_revision, NO_WAIT_MS).await {
        Err(StoreError::HistoryExpired) => return list(store, inner).await.map(|_| ()),
        watched => watched?,
    };
    if watched.revision < revision {
        return list(store, inner).await.map(|_| ());
    }
    // The answer holds all changes since `known_revision`; what another VM has reported since is part of them, or newer.
    let mut halls: BTreeSet<String> = inner.fleet.borrow().emptied().halls.clone();
    for change in watched.changes {
        match change {
            Change::Set(item) => halls.insert(item.name),
            Change::Removed(hall) => halls.remove(&hall),
        };
    }
    apply(inner, EmptiedHalls { revision: watched.revision, halls }, "store");
    Ok(())
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
