//! Follows the platform's store: the configuration and the backend servers.
//!
//! When a VM starts, others tell it both; it reads them itself if it is one that the others are told to greet,
//! or if nobody tells it for a while. After that only a few VMs of each data hall watch; the others hear from
//! them (see [`news`](crate::news)).

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
use crate::{Settings, refused_store};

/// How many refused records are remembered at the most, against logging one again.
const REFUSED_LIMIT: usize = 1_024;

/// How long one watch waits for a change; the store allows 30 s.
pub(crate) const WATCH_MS: u64 = 20_000;

/// The pause between a change and the next watch, in which further changes gather: each call has a
/// price, and a change must be in force within two seconds.
const GATHER_MS: u64 = 300;

/// How long a VM that has just started waits at least for others to tell it what the store holds: greeting them
/// and fetching it takes a tenth of a second, and half a second where 442 do so at once.
const TOLD_WITHIN_MS: u64 = 500;

/// Over how long after that the VMs of a fleet that starts as a whole spread their own reading: a few read, and
/// the others are told meanwhile.
const READ_SPREAD_MS: u64 = 3_000;

/// After how long a VM reads the configuration again where there was none yet: others tell it sooner.
const NONE_YET_MS: u64 = 5_000;

/// The same for one that callers come to.
const NONE_YET_PRESSED_MS: u64 = 250;

/// How often one that waits looks whether it was told.
const TOLD_LOOK_MS: u64 = 20;

/// The first wait after a failed call, in milliseconds.
const RETRY_FIRST_MS: u64 = 100;

/// The longest wait after a call that could not be made; such a call costs nothing, and what was
/// missed should be caught up with quickly.
const RETRY_AWAY_LIMIT_MS: u64 = 300;

/// The longest wait after a call that the store refused.
const RETRY_REFUSED_LIMIT_MS: u64 = 1_000;

/// How long entries that went while the store was away may take to come back after its return.
const RETURN_MS: u64 = 2_100;

/// Follows the operators' configuration.
pub(crate) async fn catalogs(store: Store, inner: Rc<Inner>) {
    let mut link = Link::open("catalog");
    if is_told(&inner, "catalog", |inner| inner.catalog().is_some()).await {
        inner.mesh.until_watches(true).await;
    }
    loop {
        let asked_ms = Cell::new(0);
        let list = || {
            asked_ms.set(inner.now_ms());
            store.list_catalogs(&inner.hasher)
        };
        let listing = link.until_done(&inner, list).await;
        for item in listing.items {
            take_catalog(&inner, item);
        }
        inner.leases.record_read(asked_ms.get());
        let mut revision = listing.revision;
        let mut is_broken = false;
        while !is_broken && inner.mesh.watches() {
            let watched = tokio::select! {
                watched = store.watch_catalogs(revision, WATCH_MS, &inner.hasher) => watched,
                () = inner.mesh.until_watches(false) => break,
            };
            match watched {
                Ok(watched) => {
                    link.succeed(&inner);
                    revision = watched.revision;
                    let has_changes = !watched.changes.is_empty();
                    for change in watched.changes {
                        match change {
                            Change::Set(item) => take_catalog(&inner, item),
                            Change::Removed(_) => {
                                warn!("the configuration was removed; the last stays in force");
                            }
                        }
                    }
                    pause(has_changes).await;
                }
                // What a watch that broke off has missed, only a whole list tells for sure.
                Err(error) => {
                    link.fail(&inner, &error).await;
                    is_broken = true;
                }
            }
        }
        if !is_broken {
            until_catalog_due(&inner).await;
        }
    }
}

/// Waits until this VM should read the configuration again: it is to watch, or there was none yet and nobody has
/// told one for a while, or callers come meanwhile.
async fn until_catalog_due(inner: &Inner) {
    if inner.catalog().is_none() {
        let wait_ms = if inner.has_caller.get() { NONE_YET_PRESSED_MS } else { NONE_YET_MS };
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

/// Follows the backend servers.
pub(crate) async fn backends(store: Store, inner: Rc<Inner>) {
    let mut link = Link::open("backends");
    if is_told(&inner, "backends", |inner| inner.has_fleet.get()).await {
        inner.mesh.until_watches(true).await;
    } else {
        // Requests are served once the backend servers are known, so what they end under is read before.
        refused_store::read(&store, &inner).await;
    }
    loop {
        let listing = link.until_done(&inner, || store.list_backends()).await;
        let mut revision = listing.revision;
        let newest = listing.items.iter().map(|item| item.revision).max().unwrap_or(revision);
        let may_return = link.was_away() || inner.mesh.had_store_trouble(RETURN_MS, inner.now_ms());
        let Taken { held: missing, has_removed } = take_listing(&inner, listing, may_return);
        let mut held = Held::open(missing, inner.now_ms());
        // Others hear of a removal only by a revision beyond those of the entries that are left.
        held.publish(&inner, if has_removed { revision } else { newest });
        let mut is_broken = false;
        while !is_broken && (inner.mesh.watches() || held.is_waiting()) {
            let wait_ms = held.wait_ms(WATCH_MS, inner.now_ms());
            let watched = tokio::select! {
                watched = store.watch_backends(revision, wait_ms) => watched,
                () = inner.mesh.until_watches(false), if !held.is_waiting() => break,
            };
            match watched {
                Ok(watched) => {
                    let was_away = link.succeed(&inner);
                    revision = watched.revision;
                    let has_changes = !watched.changes.is_empty();
                    for change in watched.changes {
                        take_change(&inner, change, revision, was_away, &mut held);
                    }
                    if has_changes {
                        held.publish(&inner, revision);
                    }
                    pause(has_changes && !held.is_waiting()).await;
                }
                Err(error) => {
                    link.fail(&inner, &error).await;
                    is_broken = true;
                }
            }
            let due = held.take_due(inner.now_ms());
            for instance in &due {
                remove(&inner, instance, revision, "not back after the store's return");
            }
            if !due.is_empty() {
                held.publish(&inner, revision);
            }
        }
        if !is_broken {
            inner.mesh.until_watches(true).await;
        }
    }
}

/// Waits until another VM has told what the store holds; false if this one has to read it.
///
/// One that callers come to does not wait: after a loss of power they go on with the addresses they hold.
async fn is_told(inner: &Inner, kind: &str, is_known: impl Fn(&Inner) -> bool) -> bool {
    let Settings { peers, listen, .. } = &inner.settings;
    // All others greet those first, which must have something to tell.
    if peers.seeds.is_empty() || peers.seeds.contains(&listen.peers) {
        return false;
    }
    let spread_ms = rand::rng().random_range(0..READ_SPREAD_MS);
    let until_ms = inner.now_ms() + TOLD_WITHIN_MS + spread_ms;
    while !is_known(inner) && !inner.has_caller.get() && inner.now_ms() < until_ms {
        tokio::time::sleep(Duration::from_millis(TOLD_LOOK_MS)).await;
    }
    let (is_told, has_caller) = (is_known(inner), inner.has_caller.get());
    info!(kind, is_told, has_caller, waited_ms = inner.now_ms(), "first knowledge");
    is_told
}

/// Entries that went while the store was away, until they are back or taken as gone.
struct Held {
    /// The instances.
    instances: HashSet<String>,
    /// When they are taken as gone.
    until_ms: u64,
}

impl Held {
    /// Holds entries from the store's return on.
    fn open(instances: HashSet<String>, now_ms: u64) -> Held {
        Held { instances, until_ms: now_ms + RETURN_MS }
    }

    /// Tells whether some are held.
    fn is_waiting(&self) -> bool {
        !self.instances.is_empty()
    }

    /// Tells other VMs how far the backend servers are known, unless that is still to be decided.
    fn publish(&self, inner: &Inner, revision: u64) {
        if !self.is_waiting() {
            inner.fleet.borrow_mut().advance_revision(revision);
            inner.mesh.send_standing(inner);
        }
    }

    /// How long a watch may wait before a decision is due.
    fn wait_ms(&self, usual_ms: u64, now_ms: u64) -> u64 {
        let left_ms = self.until_ms.saturating_sub(now_ms).clamp(10, usual_ms);
        if self.is_waiting() { left_ms } else { usual_ms }
    }

    /// Takes those that are gone by now.
    fn take_due(&mut self, now_ms: u64) -> HashSet<String> {
        if now_ms < self.until_ms { HashSet::new() } else { std::mem::take(&mut self.instances) }
    }
}

/// What taking a whole list in came to.
struct Taken {
    /// Those missing from it that may yet come back.
    held: HashSet<String>,
    /// Whether some were taken out.
    has_removed: bool,
}

/// Takes a whole list in.
fn take_listing(inner: &Inner, listing: Listing<Backend>, may_return: bool) -> Taken {
    let listed: HashSet<String> = listing.items.iter().map(|item| item.name.clone()).collect();
    for item in listing.items {
        set(inner, item, listing.revision);
    }
    inner.has_fleet.set(true);
    inner.mesh.update_roles(inner);
    let known: Vec<String> = inner.fleet.borrow().instances().map(str::to_owned).collect();
    let missing: HashSet<String> =
        known.into_iter().filter(|instance| !listed.contains(instance)).collect();
    if may_return {
        return Taken { held: missing, has_removed: false };
    }
    for instance in &missing {
        remove(inner, instance, listing.revision, "missing from the list");
    }
    Taken { held: HashSet::new(), has_removed: !missing.is_empty() }
}

/// Takes one change in.
fn take_change(
    inner: &Inner,
    change: Change<Backend>,
    revision: u64,
    was_away: bool,
    held: &mut Held,
) {
    match change {
        Change::Set(item) => {
            held.instances.remove(&item.name);
            set(inner, item, revision);
        }
        Change::Removed(instance) if was_away || held.is_waiting() => {
            if !held.is_waiting() {
                held.until_ms = inner.now_ms() + RETURN_MS;
            }
            held.instances.insert(instance);
        }
        Change::Removed(instance) => remove(inner, &instance, revision, "removed"),
    }
}

/// Takes in what the store says of a backend server.
fn set(inner: &Inner, item: StoreItem<Backend>, revision: u64) {
    let backend = match item.content {
        Ok(backend) => backend,
        Err(error) => {
            if inner.refused.note(&item.name, item.revision) {
                inner.meters.records_refused.inc();
                warn!(backend = item.name, %error, "backend record refused");
            }
            remove(inner, &item.name, revision, "its record cannot be used");
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

/// Records that could not be used, so that each is logged once a change.
#[derive(Debug, Default)]
pub(crate) struct RefusedRecords {
    /// The revision of each that was logged, by name.
    revisions: RefCell<HashMap<String, u64>>,
}

impl RefusedRecords {
    /// Notes a record that cannot be used; true if that was not noted of this revision of it.
    fn note(&self, name: &str, revision: u64) -> bool {
        let mut revisions = self.revisions.borrow_mut();
        if revisions.len() >= REFUSED_LIMIT {
            revisions.clear();
        }
        revisions.insert(name.to_owned(), revision) != Some(revision)
    }
}

/// Takes a backend server out.
fn remove(inner: &Inner, instance: &str, revision: u64, reason: &str) {
    if inner.fleet.borrow_mut().remove(instance, revision) {
        info!(backend = instance, reason, revision, "backend gone");
        inner.wake_all();
    }
}

/// Takes in what the store says of the configuration.
fn take_catalog(inner: &Inner, item: StoreItem<Catalog>) {
    match item.content {
        Ok(catalog) => {
            if adopt(inner, catalog) {
                inner.mesh.send_standing(inner);
            }
        }
        Err(error) => {
            inner.meters.catalogs_refused.inc();
            warn!(%error, "configuration refused; the last stays in force");
        }
    }
}

/// Reads the configuration from the store and puts it in force if it is newer; true if the store told it.
pub(crate) async fn read_catalog(store: Store, inner: Rc<Inner>) -> bool {
    match store.list_catalogs(&inner.hasher).await {
        Ok(listing) => {
            listing.items.into_iter().for_each(|item| take_catalog(&inner, item));
            true
        }
        Err(error) => {
            info!(%error, "configuration could not be read");
            false
        }
    }
}

/// Puts a configuration in force, if it is newer than the one that is.
pub(crate) fn adopt(inner: &Inner, catalog: Catalog) -> bool {
    let before = inner.catalog().map(|held| held.version);
    if before.is_some_and(|before| before >= catalog.version) {
        return false;
    }
    let (version, routes) = (catalog.version, catalog.route_count());
    let workspaces = catalog.workspaces.as_ref();
    let workspace_count = workspaces.map_or(0, |workspaces| workspaces.iter().count());
    info!(version, before, routes, workspaces = workspace_count, "configuration in force");
    inner.leases.set_has_workspaces(workspaces.is_some());
    inner.admission.set_workspaces(workspaces);
    *inner.catalog.borrow_mut() = Some(Rc::new(catalog));
    inner.mesh.set_version(inner);
    true
}

/// Waits for further changes to gather after one.
async fn pause(has_changes: bool) {
    if has_changes {
        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
    }
}

/// The state of the way to the store, for one kind.
pub(crate) struct Link {
    /// The kind, for the log.
    kind: &'static str,
    /// The waits after calls that could not be made.
    away: Backoff,
    /// The waits after calls that were refused.
    refused: Backoff,
    /// Failures since the last success.
    failures: u32,
    /// Whether they show that the store was away, not just that it ended one call.
    is_away: bool,
    /// Whether the store was away before the last success.
    was_away: bool,
}

impl Link {
    /// Starts without failures.
    pub(crate) fn open(kind: &'static str) -> Link {
        Link {
            kind,
            away: Backoff::new(RETRY_FIRST_MS, RETRY_AWAY_LIMIT_MS),
            refused: Backoff::new(RETRY_FIRST_MS, RETRY_REFUSED_LIMIT_MS),
            failures: 0,
            is_away: false,
            was_away: false,
        }
    }

    /// Tells whether the store was away before the last success.
    fn was_away(&self) -> bool {
        self.was_away
    }

    /// Notes a success; true if the store was away before.
    pub(crate) fn succeed(&mut self, inner: &Inner) -> bool {
        if self.failures > 0 {
            let (kind, failures, is_away) = (self.kind, self.failures, self.is_away);
            info!(kind, failures, is_away, "store regained");
        }
        self.was_away = std::mem::take(&mut self.is_away);
        self.failures = 0;
        self.away.reset();
        self.refused.reset();
        inner.mesh.set_lost_store(inner, false);
        self.was_away
    }

    /// Notes a failure and waits.
    ///
    /// A store that ends one call and answers the next was not away.
    pub(crate) async fn fail(&mut self, inner: &Inner, error: &StoreError) {
        if self.failures == 0 {
            warn!(kind = self.kind, %error, "store lost");
        }
        self.failures += 1;
        let is_mere_end = matches!(error, StoreError::Disconnected | StoreError::HistoryExpired);
        self.is_away |= self.failures > 1 || !is_mere_end;
        if self.is_away {
            inner.mesh.set_lost_store(inner, true);
        }
        // A connection that could not be opened costs nothing; any other call is paid for.
        let backoff = match error {
            StoreError::Unreachable => &mut self.away,
            _ => &mut self.refused,
        };
        let wait_ms = backoff.next_delay_ms(&mut rand::rng());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Makes a call until it is done.
    async fn until_done<T, F>(&mut self, inner: &Inner, call: impl Fn() -> F) -> T
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
