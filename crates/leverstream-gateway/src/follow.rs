//! Reads and watches the configuration and the backend servers in the platform's store.
//!
//! A VM that starts receives both from its peers. It reads the store itself if it is a seed, or if no peer sends them
//! in time. Afterwards only a few VMs of each data hall watch the store; the others fetch changes from those VMs (see
//! [`news`](crate::news)).

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use leverstream_catalog::{Backend, Catalog};
use leverstream_pace::Backoff;
use leverstream_platform::{Change, Listing, Store, StoreError, StoreItem};
use rand::Rng;
use tracing::{info, warn};

use crate::gateway::Inner;
use crate::{Settings, freshness, refused_store};

/// The maximum number of refused records that are remembered so that none is logged twice.
const MAX_REFUSED_RECORDS: usize = 1_024;

/// How long one watch call waits for a change; the store allows 30 s.
pub(crate) const WATCH_TIMEOUT_MS: u64 = 20_000;

/// The pause between a change and the next watch, so that one call returns several changes: each call is billed, and
/// a change must be in force within two seconds.
const CHANGE_BATCH_MS: u64 = 300;

/// The minimum time that a VM that has just started waits for its peers to send the store's content: joining and
/// fetching takes 0.1 s, and 0.5 s when 442 VMs do so at once.
const PEER_WAIT_MS: u64 = 500;

/// The range of the random extra wait before a VM reads the store itself: when a whole fleet starts, a few VMs read
/// first and the others receive the content from them.
const FIRST_READ_SPREAD_MS: u64 = 3_000;

/// The delay before a VM reads the store again if it held no configuration; a peer usually sends one sooner.
const NO_CATALOG_RETRY_MS: u64 = 5_000;

/// The same delay for a VM that already receives requests of callers.
const NO_CATALOG_RETRY_WITH_CALLERS_MS: u64 = 250;

/// The interval at which a waiting VM checks whether its peers have sent the content.
const PEER_CHECK_INTERVAL_MS: u64 = 20;

/// The delay after the first failed call, in milliseconds.
const INITIAL_RETRY_DELAY_MS: u64 = 100;

/// The maximum delay after a call that could not connect; such a call is not billed, and missed changes should be
/// read soon.
const MAX_UNREACHABLE_RETRY_DELAY_MS: u64 = 300;

/// The maximum delay after a call that connected and failed; the store bills it.
const MAX_FAILED_RETRY_DELAY_MS: u64 = 1_000;

/// How long removals seen after a store outage are held back, since the entries may be written again.
const REMOVAL_HOLD_MS: u64 = 2_100;

/// Reads and watches the operators' configuration.
pub(crate) async fn catalogs(store: Store, inner: Rc<Inner>) {
    let mut link = StoreLink::new("catalog");
    if wait_for_peers(&inner, "catalog", |inner| inner.catalog().is_some()).await {
        inner.mesh.until_watches(true).await;
    }
    loop {
        let asked_ms = Cell::new(0);
        let list = || {
            asked_ms.set(inner.now_ms());
            store.list_catalogs(&inner.hasher)
        };
        let listing = link.retry_until_done(&inner, list).await;
        for item in listing.items {
            apply_catalog(&inner, item);
        }
        inner.leases.record_read(asked_ms.get());
        let mut revision = listing.revision;
        let mut is_broken = false;
        while !is_broken && inner.mesh.watches() {
            let watched = tokio::select! {
                watched = store.watch_catalogs(revision, WATCH_TIMEOUT_MS, &inner.hasher) => watched,
                () = inner.mesh.until_watches(false) => break,
            };
            match watched {
                Ok(watched) => {
                    link.succeed(&inner);
                    revision = watched.revision;
                    let has_changes = !watched.changes.is_empty();
                    for change in watched.changes {
                        match change {
                            Change::Set(item) => apply_catalog(&inner, item),
                            Change::Removed(_) => {
                                warn!(
                                    "the configuration was removed from the store; the last one stays in force"
                                );
                            }
                        }
                    }
                    pause(has_changes).await;
                }
                // Only a full listing shows reliably what a broken watch has missed.
                Err(error) => {
                    link.fail(&inner, &error).await;
                    is_broken = true;
                }
            }
        }
        if !is_broken {
            wait_until_catalog_due(&inner).await;
        }
    }
}

/// Waits until this VM should read the configuration again: it has to watch the store, or it has no configuration and
/// the retry delay, which is shorter with callers, has passed.
async fn wait_until_catalog_due(inner: &Inner) {
    if inner.catalog().is_none() {
        let wait_ms = if inner.has_caller.get() {
            NO_CATALOG_RETRY_WITH_CALLERS_MS
        } else {
            NO_CATALOG_RETRY_MS
        };
        let pause = tokio::time::sleep(Duration::from_millis(wait_ms));
        tokio::select! {
            () = pause => {}
            () = inner.mesh.until_watches(true) => {}
        }
        if inner.mesh.watches() || inner.catalog().is_none() {
            return;
        }
    }
    inner.mesh.until_watches(true).await;
}

/// Reads and watches the backend servers.
pub(crate) async fn backends(store: Store, inner: Rc<Inner>) {
    let mut link = StoreLink::new("backends");
    if wait_for_peers(&inner, "backends", |inner| inner.has_fleet.get()).await {
        inner.mesh.until_watches(true).await;
    } else {
        // Requests are served as soon as the backend servers are known, so the refused requests are read first.
        refused_store::read(&store, &inner).await;
    }
    loop {
        let asked_ms = Cell::new(0);
        let list = || {
            asked_ms.set(inner.now_ms());
            store.list_backends()
        };
        let listing = link.retry_until_done(&inner, list).await;
        let mut revision = listing.revision;
        let newest = listing.items.iter().map(|item| item.revision).max().unwrap_or(revision);
        let may_return =
            link.was_away() || inner.mesh.had_store_trouble(REMOVAL_HOLD_MS, inner.now_ms());
        let ListingOutcome { pending: missing, has_removed } =
            apply_listing(&inner, listing, may_return);
        let mut pending = PendingRemovals::new(missing, inner.now_ms());
        freshness::record_read(&inner, revision, asked_ms.get());
        // Peers fetch a removal only if the revision is beyond those of the remaining entries.
        pending.publish_revision(&inner, if has_removed { revision } else { newest });
        let mut is_broken = false;
        while !is_broken && (inner.mesh.watches() || pending.has_pending()) {
            let wait_ms = pending.wait_ms(WATCH_TIMEOUT_MS, inner.now_ms());
            let asked_ms = inner.now_ms();
            let watched = tokio::select! {
                watched = store.watch_backends(revision, wait_ms) => watched,
                () = inner.mesh.until_watches(false), if !pending.has_pending() => break,
            };
            match watched {
                Ok(watched) => {
                    let was_away = link.succeed(&inner);
                    revision = watched.revision;
                    let has_changes = !watched.changes.is_empty();
                    for change in watched.changes {
                        apply_change(&inner, change, revision, was_away, &mut pending);
                    }
                    freshness::record_read(&inner, revision, asked_ms);
                    if has_changes {
                        pending.publish_revision(&inner, revision);
                    }
                    pause(has_changes && !pending.has_pending()).await;
                }
                Err(error) => {
                    link.fail(&inner, &error).await;
                    is_broken = true;
                }
            }
            let due = pending.take_due(inner.now_ms());
            for instance in &due {
                remove_backend(&inner, instance, revision, "not back after the store's return");
            }
            if !due.is_empty() {
                pending.publish_revision(&inner, revision);
            }
        }
        if !is_broken {
            inner.mesh.until_watches(true).await;
        }
    }
}

/// Waits until a peer has sent the store's content; returns false if this VM has to read the store itself.
///
/// A VM that receives callers does not wait: after a power loss, callers go on using the addresses they hold.
async fn wait_for_peers(inner: &Inner, kind: &str, is_known: impl Fn(&Inner) -> bool) -> bool {
    let Settings { peers, listen, .. } = &inner.settings;
    // All others join through the seeds, so a seed needs the content first.
    if peers.seeds.is_empty() || peers.seeds.contains(&listen.peers) {
        return false;
    }
    let spread_ms = rand::rng().random_range(0..FIRST_READ_SPREAD_MS);
    let until_ms = inner.now_ms() + PEER_WAIT_MS + spread_ms;
    while !is_known(inner) && !inner.has_caller.get() && inner.now_ms() < until_ms {
        tokio::time::sleep(Duration::from_millis(PEER_CHECK_INTERVAL_MS)).await;
    }
    let (is_told, has_caller) = (is_known(inner), inner.has_caller.get());
    info!(kind, is_told, has_caller, waited_ms = inner.now_ms(), "first knowledge");
    is_told
}

/// Removals seen after a store outage, held until the entries reappear or the hold time has passed.
struct PendingRemovals {
    /// The instances whose entries are missing.
    instances: HashSet<String>,
    /// When the removals take effect.
    until_ms: u64,
}

impl PendingRemovals {
    /// Holds removals from the store's return on.
    fn new(instances: HashSet<String>, now_ms: u64) -> PendingRemovals {
        PendingRemovals { instances, until_ms: now_ms + REMOVAL_HOLD_MS }
    }

    /// Returns whether any removal is pending.
    fn has_pending(&self) -> bool {
        !self.instances.is_empty()
    }

    /// Announces the revision up to which the backend servers are known, unless removals are pending.
    fn publish_revision(&self, inner: &Inner, revision: u64) {
        if !self.has_pending() {
            inner.fleet.borrow_mut().advance_revision(revision);
            inner.mesh.send_standing(inner);
        }
    }

    /// Returns how long a watch may wait before pending removals are due.
    fn wait_ms(&self, default_ms: u64, now_ms: u64) -> u64 {
        let left_ms = self.until_ms.saturating_sub(now_ms).clamp(10, default_ms);
        if self.has_pending() { left_ms } else { default_ms }
    }

    /// Takes the removals that are due.
    fn take_due(&mut self, now_ms: u64) -> HashSet<String> {
        if now_ms < self.until_ms { HashSet::new() } else { std::mem::take(&mut self.instances) }
    }
}

/// The outcome of applying a full listing.
struct ListingOutcome {
    /// Instances missing from the listing whose removal is pending.
    pending: HashSet<String>,
    /// Whether any backend server was removed.
    has_removed: bool,
}

/// Applies a full listing of the backend servers.
fn apply_listing(inner: &Inner, listing: Listing<Backend>, may_return: bool) -> ListingOutcome {
    let listed: HashSet<String> = listing.items.iter().map(|item| item.name.clone()).collect();
    for item in listing.items {
        set_backend(inner, item, listing.revision);
    }
    inner.has_fleet.set(true);
    inner.mesh.update_roles(inner);
    let known: Vec<String> = inner.fleet.borrow().instances().map(str::to_owned).collect();
    let missing: HashSet<String> =
        known.into_iter().filter(|instance| !listed.contains(instance)).collect();
    if may_return {
        return ListingOutcome { pending: missing, has_removed: false };
    }
    for instance in &missing {
        remove_backend(inner, instance, listing.revision, "missing from the list");
    }
    ListingOutcome { pending: HashSet::new(), has_removed: !missing.is_empty() }
}

/// Applies one change of a backend server; removals after a store outage are held back.
fn apply_change(
    inner: &Inner,
    change: Change<Backend>,
    revision: u64,
    was_away: bool,
    pending: &mut PendingRemovals,
) {
    match change {
        Change::Set(item) => {
            pending.instances.remove(&item.name);
            set_backend(inner, item, revision);
        }
        Change::Removed(instance) if was_away || pending.has_pending() => {
            if !pending.has_pending() {
                pending.until_ms = inner.now_ms() + REMOVAL_HOLD_MS;
            }
            pending.instances.insert(instance);
        }
        Change::Removed(instance) => remove_backend(inner, &instance, revision, "removed"),
    }
}

/// Applies the store's record of a backend server; one with an unusable record is removed.
fn set_backend(inner: &Inner, item: StoreItem<Backend>, revision: u64) {
    let backend = match item.content {
        Ok(backend) => backend,
        Err(error) => {
            if inner.refused_records.note(&item.name, item.revision) {
                inner.meters.records_refused.inc();
                warn!(backend = item.name, %error, "backend record refused");
            }
            remove_backend(inner, &item.name, revision, "its record cannot be used");
            return;
        }
    };
    let (instance, service) = (backend.instance.clone(), backend.service.clone());
    let (is_leaving, slots) = (backend.is_leaving, backend.slots);
    if inner.fleet.borrow_mut().set(backend, revision, inner.now_ms()) {
        info!(backend = instance, service, is_leaving, slots, revision, "backend known");
        inner.wake_all();
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

/// Removes a backend server.
fn remove_backend(inner: &Inner, instance: &str, revision: u64, reason: &str) {
    if inner.fleet.borrow_mut().remove(instance, revision) {
        info!(backend = instance, reason, revision, "backend gone");
        inner.wake_all();
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

/// Reads the configuration from the store and puts it in force if it is newer; returns true if the read succeeded.
pub(crate) async fn read_catalog(store: Store, inner: Rc<Inner>) -> bool {
    match store.list_catalogs(&inner.hasher).await {
        Ok(listing) => {
            listing.items.into_iter().for_each(|item| apply_catalog(&inner, item));
            true
        }
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

/// Waits after a change so that the next watch call returns several changes.
async fn pause(has_changes: bool) {
    if has_changes {
        tokio::time::sleep(Duration::from_millis(CHANGE_BATCH_MS)).await;
    }
}

/// The connection state and retry delays of the calls to the store for one kind of record.
pub(crate) struct StoreLink {
    /// The kind of record, for the log.
    kind: &'static str,
    /// The delays after calls that could not connect.
    unreachable_backoff: Backoff,
    /// The delays after calls that connected and failed.
    failed_backoff: Backoff,
    /// The number of failures since the last success.
    failures: u32,
    /// Whether the failures show an outage of the store rather than the end of one call.
    is_away: bool,
    /// Whether an outage of the store preceded the last success.
    was_away: bool,
}

impl StoreLink {
    /// Creates the state without failures.
    pub(crate) fn new(kind: &'static str) -> StoreLink {
        StoreLink {
            kind,
            unreachable_backoff: Backoff::new(
                INITIAL_RETRY_DELAY_MS,
                MAX_UNREACHABLE_RETRY_DELAY_MS,
            ),
            failed_backoff: Backoff::new(INITIAL_RETRY_DELAY_MS, MAX_FAILED_RETRY_DELAY_MS),
            failures: 0,
            is_away: false,
            was_away: false,
        }
    }

    /// Returns whether an outage of the store preceded the last success.
    fn was_away(&self) -> bool {
        self.was_away
    }

    /// Notes a success; returns true if an outage of the store preceded it.
    pub(crate) fn succeed(&mut self, inner: &Inner) -> bool {
        if self.failures > 0 {
            let (kind, failures, is_away) = (self.kind, self.failures, self.is_away);
            info!(kind, failures, is_away, "store regained");
        }
        self.was_away = std::mem::take(&mut self.is_away);
        self.failures = 0;
        self.unreachable_backoff.reset();
        self.failed_backoff.reset();
        inner.mesh.set_lost_store(inner, false);
        self.was_away
    }

    /// Notes a failure and waits for the retry delay.
    ///
    /// A store that ends one call, or whose connection goes silent, and that answers the next call has had no outage.
    pub(crate) async fn fail(&mut self, inner: &Inner, error: &StoreError) {
        if self.failures == 0 {
            warn!(kind = self.kind, %error, "store lost");
        }
        self.failures += 1;
        let is_mere_end = matches!(
            error,
            StoreError::Disconnected | StoreError::Silent | StoreError::HistoryExpired
        );
        self.is_away |= self.failures > 1 || !is_mere_end;
        if self.is_away {
            inner.mesh.set_lost_store(inner, true);
        }
        // A call that could not connect is not billed; any other is.
        let backoff = match error {
            StoreError::Unreachable => &mut self.unreachable_backoff,
            _ => &mut self.failed_backoff,
        };
        let wait_ms = backoff.next_delay_ms(&mut rand::rng());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Repeats a call until it succeeds.
    async fn retry_until_done<T, F>(&mut self, inner: &Inner, call: impl Fn() -> F) -> T
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        loop {
            match call().await {
                Ok(value) => {
                    self.succeed(inner);
                    return value;
                }
                Err(error) => self.fail(inner, &error).await,
            }
        }
    }
}
