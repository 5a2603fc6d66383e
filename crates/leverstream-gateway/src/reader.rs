//! Reads the platform's store: the backend servers, the configuration, and which data halls to empty.
//!
//! A VM that starts receives all from its peers. It reads the store itself if it is a seed, or if no peer sends it in time.
//! Afterwards one VM of the fleet reads the changes at a short interval and reports the revision to all others, which fetch what is newer
//! (see [`state_sync`](crate::state_sync)). Each VM knows how old its knowledge is, and reads the store itself when that age shows that
//! the VMs before it in the order have not ([`Freshness::next_read_ms`](leverstream_core::Freshness::next_read_ms)). So a
//! call that is never answered, a VM that cannot reach the store and a VM that is gone are all made up for in the same way.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leverstream_pace::Backoff;
use leverstream_platform::{Store, StoreError};
use rand::Rng;
use tracing::{info, warn};

use crate::gateway::Inner;
use crate::mesh::SETTLE_MS;
use crate::{Settings, emptied, follow, freshness, refused_store};

/// The minimum time that a VM that has just started waits for its peers to send the store's content: joining and
/// fetching takes 0.1 s, and 0.5 s when 442 VMs do so at once.
const PEER_WAIT_MS: u64 = 500;

/// The range of the random extra wait before a VM reads the store itself: when a whole fleet starts, a few VMs read
/// first and the others receive the content from them.
const FIRST_READ_SPREAD_MS: u64 = 3_000;

/// The interval at which a VM that receives requests of callers without a configuration reads the store.
const NO_CATALOG_RETRY_MS: u64 = 250;

/// The interval at which a waiting VM checks whether its peers have sent the content.
const PEER_CHECK_INTERVAL_MS: u64 = 20;

/// The longest time between two checks whether a read is due: the rank of a VM changes without a notification.
const MAX_CHECK_INTERVAL_MS: u64 = 500;

/// The delay after the first failed call, in milliseconds.
const INITIAL_RETRY_DELAY_MS: u64 = 100;

/// The maximum delay after a call that could not connect; such a call is not billed, and missed changes should be
/// read soon.
const MAX_UNREACHABLE_RETRY_DELAY_MS: u64 = 300;

/// The maximum delay after a call that connected and failed; the store bills it.
const MAX_FAILED_RETRY_DELAY_MS: u64 = 1_000;

/// Reads the store for as long as the process runs.
pub(crate) async fn run(store: Store, inner: Rc<Inner>) {
    if !wait_for_peers(&inner).await {
        // Requests are served as soon as the backend servers are known, so the refused requests are read first.
        refused_store::read(&store, &inner).await;
        read_all(&store, &inner).await;
    }
    let link = Rc::new(StoreLink::default());
    loop {
        let asked_ms = until_due(&store, &inner).await;
        let (store, inner, link) = (store.clone(), Rc::clone(&inner), Rc::clone(&link));
        // A read that is not answered must not keep the next one from being sent.
        actix_rt::spawn(async move {
            match read_changes(&store, &inner, asked_ms).await {
                Ok(()) => link.succeed(),
                Err(error) => link.fail(&inner, asked_ms, &error),
            }
        });
    }
}

/// Waits until this VM is to read the store; returns the time at which it sends the read.
async fn until_due(store: &Store, inner: &Inner) -> u64 {
    loop {
        let now_ms = inner.now_ms();
        inner.freshness.borrow_mut().note_running(now_ms);
        let due_ms = next_read_ms(inner);
        if now_ms >= due_ms {
            let mut freshness = inner.freshness.borrow_mut();
            if freshness.is_waiting() {
                // The connections may all be as silent as the one of the read before.
                store.close_idle();
            }
            freshness.begin_read(now_ms);
            return now_ms;
        }
        let wait_ms = (due_ms - now_ms).min(MAX_CHECK_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

/// Returns when this VM is to read the store.
fn next_read_ms(inner: &Inner) -> u64 {
    let due_ms = inner.freshness.borrow().next_read_ms(inner.mesh.read_turn());
    if inner.catalog().is_none() && inner.has_caller.get() {
        let last_ms = inner.freshness.borrow().last_read_ms();
        return due_ms.min(last_ms.map_or(0, |last_ms| last_ms + NO_CATALOG_RETRY_MS));
    }
    due_ms.max(SETTLE_MS)
}

/// Reads everything, until that succeeds.
async fn read_all(store: &Store, inner: &Inner) {
    let asked_ms = inner.now_ms();
    let (backends, catalog, emptied) = tokio::join!(
        retry_until_done("backends", || follow::list_backends(store, inner)),
        retry_until_done("catalog", || follow::list_catalogs(store, inner)),
        retry_until_done("emptied data halls", || emptied::list(store, inner)),
    );
    // Each list holds all changes up to its own revision.
    let revision = backends.min(catalog).min(emptied.unwrap_or(u64::MAX));
    record_read(inner, revision, asked_ms);
    inner.mesh.send_standing(inner);
}

/// Reads the store's revision and, if that is beyond the known one, the changes since.
async fn read_changes(store: &Store, inner: &Inner, asked_ms: u64) -> Result<(), StoreError> {
    let revision = store.read_revision().await?;
    // Removals are held back from the first answer after an outage on, whatever it holds.
    freshness::note_answer(inner, asked_ms);
    let known_revision = inner.freshness.borrow().revision();
    if revision > known_revision || !inner.has_initial_state() {
        let (backends, catalogs, emptied) = tokio::join!(
            follow::read_backends(store, inner, revision),
            follow::read_catalogs(store, inner, known_revision, revision),
            emptied::read(store, inner, revision),
        );
        backends?;
        catalogs?;
        emptied?;
    }
    record_read(inner, revision, asked_ms);
    inner.mesh.send_confirmation(inner);
    Ok(())
}

/// Records that all changes up to a revision are known as of the time at which a read was sent.
fn record_read(inner: &Inner, revision: u64, asked_ms: u64) {
    inner.fleet.borrow_mut().advance_revision(revision);
    freshness::record_read(inner, revision, asked_ms);
    inner.leases.record_read(asked_ms);
}

/// Waits until a peer has sent the store's content; returns false if this VM has to read the store itself.
///
/// A VM that receives callers does not wait: after a power loss, callers go on using the addresses they hold.
async fn wait_for_peers(inner: &Inner) -> bool {
    let Settings { peers, listen, .. } = &inner.settings;
    // All others join through the seeds, so a seed needs the content first.
    if peers.seeds.is_empty() || peers.seeds.contains(&listen.peers) {
        return false;
    }
    let spread_ms = rand::rng().random_range(0..FIRST_READ_SPREAD_MS);
    let until_ms = inner.now_ms() + PEER_WAIT_MS + spread_ms;
    while !inner.has_initial_state() && !inner.has_caller.get() && inner.now_ms() < until_ms {
        tokio::time::sleep(Duration::from_millis(PEER_CHECK_INTERVAL_MS)).await;
    }
    let (is_told, has_caller) = (inner.has_initial_state(), inner.has_caller.get());
    info!(is_told, has_caller, waited_ms = inner.now_ms(), "first knowledge");
    is_told
}

/// Repeats a call until it succeeds.
async fn retry_until_done<T, F>(kind: &'static str, call: impl Fn() -> F) -> T
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut unreachable = Backoff::new(INITIAL_RETRY_DELAY_MS, MAX_UNREACHABLE_RETRY_DELAY_MS);
    let mut failed = Backoff::new(INITIAL_RETRY_DELAY_MS, MAX_FAILED_RETRY_DELAY_MS);
    loop {
        let error = match call().await {
            Ok(value) => return value,
            Err(error) => error,
        };
        info!(kind, %error, "first read of the store failed");
        // A call that could not connect is not billed; any other is.
        let backoff = match error {
            StoreError::Unreachable => &mut unreachable,
            _ => &mut failed,
        };
        let wait_ms = backoff.next_delay_ms(&mut rand::rng());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
}

/// Whether this VM's reads of the store are answered, for the log.
#[derive(Debug, Default)]
struct StoreLink {
    /// The number of failed reads since the last success.
    failures: Cell<u32>,
}

impl StoreLink {
    /// Notes an answered read.
    fn succeed(&self) {
        let failures = self.failures.take();
        if failures > 0 {
            info!(failures, "store regained");
        }
    }

    /// Notes a failed read that was sent at a time.
    fn fail(&self, inner: &Inner, asked_ms: u64, error: &StoreError) {
        let now_ms = inner.now_ms();
        if matches!(error, StoreError::Unavailable | StoreError::Unreachable) {
            inner.freshness.borrow_mut().record_refusal(asked_ms);
        }
        let failures = self.failures.get();
        self.failures.set(failures + 1);
        if failures == 0 {
            let age_ms = inner.freshness.borrow().age_ms(now_ms);
            warn!(age_ms, %error, "store lost");
        }
    }
}
