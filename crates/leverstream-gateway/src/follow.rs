//! Reads the operators' configuration and the backend servers in the platform's store, and applies what is new.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use leverstream_catalog::{Backend, Catalog};
use leverstream_core::{EntryChange, StoreUpdate};
use leverstream_platform::{Change, Store, StoreError, StoreItem};
use tracing::{info, warn};

use crate::gateway::Inner;

/// How long a read of changes waits for one, in milliseconds: what it reads is there already.
pub(crate) const NO_WAIT_MS: u64 = 0;

/// The maximum number of refused records that are remembered so that none is logged twice.
const MAX_REFUSED_RECORDS: usize = 1_024;

/// Lists the backend servers and applies the list; returns its revision.
pub(crate) async fn list_backends(store: &Store, inner: &Inner) -> Result<u64, StoreError> {
    let listing = store.list_backends().await?;
    let changes = listing.items.into_iter().map(|item| entry_change(inner, item)).collect();
    let update = StoreUpdate { revision: listing.revision, is_whole: true, changes };
    apply_update(inner, update);
    Ok(listing.revision)
}

/// Reads the changes of the backend servers up to a revision of the store, or later, and applies them.
pub(crate) async fn read_backends(
    store: &Store,
    inner: &Inner,
    revision: u64,
) -> Result<(), StoreError> {
    let known_revision = inner.fleet.borrow().revision();
    if !inner.has_fleet.get() {
        return list_backends(store, inner).await.map(|_| ());
    }
    let watched = match store.watch_backends(known_revision, NO_WAIT_MS).await {
        Err(StoreError::HistoryExpired) => return list_backends(store, inner).await.map(|_| ()),
        watched => watched?,
    };
    // A watch may be behind the store; a list is not.
    if watched.revision < revision {
        return list_backends(store, inner).await.map(|_| ());
    }
    let change = |change| match change {
        Change::Set(item) => entry_change(inner, item),
        Change::Removed(instance) => EntryChange::Removed { instance, may_return: true },
    };
    let changes = watched.changes.into_iter().map(change).collect();
    let update = StoreUpdate { revision: watched.revision, is_whole: false, changes };
    apply_update(inner, update);
    Ok(())
}

/// Lists the configuration and applies it; returns the revision of the list.
pub(crate) async fn list_catalogs(store: &Store, inner: &Inner) -> Result<u64, StoreError> {
    let listing = store.list_catalogs(&inner.hasher).await?;
    listing.items.into_iter().for_each(|item| apply_catalog(inner, item));
    Ok(listing.revision)
}

/// Reads the changes of the configuration since a known revision, up to a revision of the store or later, and applies
/// them.
pub(crate) async fn read_catalogs(
    store: &Store,
    inner: &Inner,
    known_revision: u64,
    revision: u64,
) -> Result<(), StoreError> {
    if inner.catalog().is_none() || known_revision == 0 {
        return list_catalogs(store, inner).await.map(|_| ());
    }
    let watched = match store.watch_catalogs(known_revision, NO_WAIT_MS, &inner.hasher).await {
        Err(StoreError::HistoryExpired) => return list_catalogs(store, inner).await.map(|_| ()),
        watched => watched?,
    };
    if watched.revision < revision {
        return list_catalogs(store, inner).await.map(|_| ());
    }
    for change in watched.changes {
        match change {
            Change::Set(item) => apply_catalog(inner, item),
            Change::Removed(_) => {
                warn!("the configuration was removed from the store; the last one stays in force");
            }
        }
    }
    Ok(())
}

/// Applies an update of the backend servers; removals that it holds are held back after an outage of the store.
fn apply_update(inner: &Inner, update: StoreUpdate) {
    let now_ms = inner.now_ms();
    let revision = update.revision;
    let reason = if update.is_whole { "missing from the list" } else { "removed" };
    let changes = inner.fleet.borrow_mut().apply_update(update, now_ms);
    if !inner.has_fleet.replace(true) {
        inner.mesh.update_roles(inner);
    }
    if changes.is_empty() {
        return;
    }
    for instance in &changes.set {
        log_known(inner, instance, revision);
    }
    for instance in &changes.removed {
        info!(backend = instance, reason, revision, "backend gone");
    }
    for instance in &changes.held {
        info!(backend = instance, revision, "removal held back after an outage of the store");
    }
    inner.mesh.update_roles(inner);
    inner.mesh.send_standing(inner);
    inner.wake_all();
}

/// Logs a new or changed backend server.
fn log_known(inner: &Inner, instance: &str, revision: u64) {
    if let Some(backend) = inner.fleet.borrow().backend(instance) {
        let Backend { service, is_leaving, slots, .. } = backend;
        info!(backend = instance, service, is_leaving, slots, revision, "backend known");
    }
}

/// Removes the backend servers that have not been written again since an outage of the store.
pub(crate) fn release_held_removals(inner: &Inner) {
    let released = inner.fleet.borrow_mut().release_held(inner.now_ms());
    for backend in &released {
        info!(backend, reason = "not back after the store's return", "backend gone");
    }
    if !released.is_empty() {
        inner.wake_all();
    }
}

/// Converts the store's record of a backend server; one with an unusable record is removed.
fn entry_change(inner: &Inner, item: StoreItem<Backend>) -> EntryChange {
    match item.content {
        Ok(backend) => EntryChange::Set(Box::new(backend)),
        Err(error) => {
            if inner.refused_records.note(&item.name, item.revision) {
                inner.meters.records_refused.inc();
                warn!(backend = item.name, %error, "backend record refused");
            }
            EntryChange::Removed { instance: item.name, may_return: false }
        }
    }
}

/// Records that could not be used, so that each revision of them is logged once.
#[derive(Debug, Default)]
pub(crate) struct RefusedRecords {
    /// The last logged revision by record name.
    revisions: RefCell<HashMap<String, u64>>,
}

impl RefusedRecords {
    /// Notes an unusable record; returns true if this revision of it was not noted before.
    fn note(&self, name: &str, revision: u64) -> bool {
        let mut revisions = self.revisions.borrow_mut();
        if revisions.len() >= MAX_REFUSED_RECORDS {
            revisions.clear();
        }
        revisions.insert(name.to_owned(), revision) != Some(revision)
    }
}

/// Applies the store's record of the configuration.
fn apply_catalog(inner: &Inner, item: StoreItem<Catalog>) {
    match item.content {
        Ok(catalog) => {
            if install_catalog(inner, catalog, "the store") {
                inner.mesh.send_standing(inner);
            }
        }
        Err(error) => {
            inner.meters.catalogs_refused.inc();
            warn!(%error, "configuration refused; the last one stays in force");
        }
    }
}

/// Reads the whole configuration and puts it in force if it is newer; returns true if the read succeeded.
pub(crate) async fn read_catalog(store: Store, inner: Rc<Inner>) -> bool {
    match list_catalogs(&store, &inner).await {
        Ok(_) => true,
        Err(error) => {
            info!(%error, "configuration could not be read from the store");
            false
        }
    }
}

/// Puts a configuration in force if it is newer than the present one; `source` is where it comes from, for the log.
pub(crate) fn install_catalog(inner: &Inner, catalog: Catalog, source: &str) -> bool {
    let before = inner.catalog().map(|pending| pending.version);
    if let Some(before) = before.filter(|before| *before >= catalog.version) {
        if before > catalog.version {
            info!(ignored = catalog.version, before, source, "older configuration ignored");
        }
        return false;
    }
    let (version, routes) = (catalog.version, catalog.route_count());
    let workspaces = catalog.workspaces.as_ref();
    let workspace_count = workspaces.map_or(0, |workspaces| workspaces.iter().count());
    info!(version, before, routes, workspaces = workspace_count, source, "configuration in force");
    inner.leases.set_has_workspaces(workspaces.is_some());
    inner.admission.set_catalog(&catalog);
    inner.has_ranks.set(catalog.has_ranks());
    *inner.catalog.borrow_mut() = Some(Rc::new(catalog));
    inner.mesh.set_version(inner);
    true
}
