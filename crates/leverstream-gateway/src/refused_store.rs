//! Persists refused requests in the platform's store, so that they survive the loss of all VMs.
//!
//! The VM that observes the last end needed writes one object, named after the request's digest.
//! A VM that starts and gets no list of backend servers from another VM reads the list from the
//! store, and these objects with it, unless the whole fleet starts for the first time; it passes
//! them on to the other VMs. If the store is unavailable when all VMs are lost, the fleet learns
//! the same requests again, each at the cost of [`ENDS_TO_REFUSE`] backend servers.
//!
//! [`ENDS_TO_REFUSE`]: leverstream_suspect::ENDS_TO_REFUSE

use std::rc::Rc;
use std::time::Duration;

use leverstream_pace::{Backoff, TokenBucket};
use leverstream_platform::{Store, StoreError, StoreItem};
use leverstream_suspect::{IncarnationDigest, RequestDigest, SuspectReport};
use serde::Deserialize;
use serde_json::{Value, json};
use tracing::{info, warn};

use crate::gateway::Inner;
use crate::suspects::Keep;

/// The kind of the objects in the store.
const KIND: &str = "refused-requests";

/// The number of objects kept: more than one day adds, and few enough to read as one page. The
/// oldest are removed first.
const MAX_STORED_REQUESTS: usize = 64;

/// The rate at which one VM may write, per second.
const WRITES_PER_S: f64 = 1.0;

/// The number of writes that one VM may make in a burst.
const WRITE_BURST: f64 = 4.0;

/// The first delay after a failed call, in milliseconds.
const RETRY_INITIAL_MS: u64 = 200;

/// The longest delay after a failed call, in milliseconds.
const RETRY_MAX_MS: u64 = 2_000;

/// The content of an object.
#[derive(Debug, Deserialize)]
struct Record {
    /// How often a healthy answer has cleared the request.
    cleared: u32,
    /// The incarnations that have ended under the request since, as digests.
    ends: Vec<String>,
}

/// Reads the stored requests once, for a VM that reads its backend servers from the store. If the
/// read fails, retries run in the background.
pub(crate) async fn read(store: &Store, inner: &Rc<Inner>) {
    // A fleet that starts for the first time has stored nothing yet.
    if inner.settings.peers.is_first_start || has_loaded(store, inner).await {
        return;
    }
    let (store, inner) = (store.clone(), Rc::clone(inner));
    actix_rt::spawn(async move {
        let mut backoff = Backoff::new(RETRY_INITIAL_MS, RETRY_MAX_MS);
        loop {
            let wait_ms = backoff.next_delay_ms(&mut rand::rng());
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            if has_loaded(&store, &inner).await {
                return;
            }
        }
    });
}

/// Reads the stored requests; false if the read fails.
async fn has_loaded(store: &Store, inner: &Rc<Inner>) -> bool {
    let listing = match store.list_kind(KIND).await {
        Ok(listing) => listing,
        Err(error) => {
            info!(%error, "failed to read the refused requests from the store");
            return false;
        }
    };
    let reports: Vec<SuspectReport> = listing.items.iter().filter_map(decode).collect();
    info!(count = reports.len(), "refused requests read from the store");
    inner.suspect_tracker.merge_stored(&reports, inner.now_ms());
    if !reports.is_empty() {
        inner.mesh.send_standing(inner);
    }
    actix_rt::spawn(remove_oldest(store.clone(), listing.items));
    true
}

/// Writes changes to the store for as long as the process runs.
pub(crate) async fn write(store: Store, inner: Rc<Inner>) {
    let mut bucket = TokenBucket::new(WRITES_PER_S, WRITE_BURST, inner.now_ms());
    let mut backoff = Backoff::new(RETRY_INITIAL_MS, RETRY_MAX_MS);
    loop {
        for (digest, keep) in inner.suspect_tracker.take_store_changes().await {
            if !bucket.try_take(inner.now_ms()) {
                warn!(%digest, ?keep, "write skipped, as this VM reached its write rate; left to the other VMs");
                continue;
            }
            match keep {
                Keep::Hold => {
                    while let Some(report) =
                        inner.suspect_tracker.refused_report(digest, inner.now_ms())
                        && !is_stored(&store, &report, &mut backoff).await
                    {}
                }
                Keep::Drop => remove(&store, &digest.to_string()).await,
            }
        }
    }
}

/// Stores a request; if that fails, waits for the retry delay and returns false.
async fn is_stored(store: &Store, report: &SuspectReport, backoff: &mut Backoff) -> bool {
    let SuspectReport { digest, cleared, ends, .. } = report;
    let ends: Vec<String> = ends.iter().map(|end| format!("{:016x}", end.0)).collect();
    let spec = json!({ "cleared": cleared, "ends": ends });
    match store.create(KIND, &digest.to_string(), spec).await {
        // Another VM observed the last end as well and stored the request first.
        Ok(()) | Err(StoreError::Conflict) => {
            info!(%digest, "refused request kept in the store");
            backoff.reset();
            true
        }
        Err(error) => {
            info!(%digest, %error, "refused request not kept yet");
            let wait_ms = backoff.next_delay_ms(&mut rand::rng());
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            false
        }
    }
}

/// Removes the oldest objects beyond the limit.
async fn remove_oldest(store: Store, mut items: Vec<StoreItem<Value>>) {
    items.sort_by_key(|item| std::cmp::Reverse(item.revision));
    for item in items.into_iter().skip(MAX_STORED_REQUESTS) {
        remove(&store, &item.name).await;
    }
}

/// Removes an object.
async fn remove(store: &Store, name: &str) {
    match store.remove(KIND, name).await {
        Ok(()) => info!(digest = name, "refused request no longer kept in the store"),
        // An object that remains is read again after the next start, and removed once there are too
        // many.
        Err(error) => info!(digest = name, %error, "failed to remove a refused request"),
    }
}

/// Decodes an object; none if it is invalid.
fn decode(item: &StoreItem<Value>) -> Option<SuspectReport> {
    let digest = u128::from_str_radix(&item.name, 16).ok().map(RequestDigest);
    let spec = item.content.as_ref().ok().cloned();
    let record: Option<Record> = spec.and_then(|spec| serde_json::from_value(spec).ok());
    let ends = record.as_ref().and_then(|record| {
        let ends =
            record.ends.iter().map(|end| u64::from_str_radix(end, 16).map(IncarnationDigest));
        ends.collect::<Result<Vec<_>, _>>().ok()
    });
    let (Some(digest), Some(Record { cleared, .. }), Some(ends)) = (digest, record, ends) else {
        warn!(name = item.name, "ignored an invalid refused request in the store");
        return None;
    };
    Some(SuspectReport { digest, cleared, ends, age_ms: 0 })
}
