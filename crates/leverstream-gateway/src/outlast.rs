//! What must be known after all VMs were gone at once: requests under which backend servers end, in the platform's store.
//!
//! The VM that sees the last end needed writes one object, named after the request. A VM that is told of no backend
//! servers when it starts, and so reads them itself, reads these objects too, unless the whole fleet starts for the first
//! time; the others hear it from there. With the store away the same requests are learned anew after a loss of all VMs, at
//! [`ENDS_TO_REFUSE`] backend servers each.
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

/// The kind of the objects.
const KIND: &str = "refused-requests";

/// How many are kept: more than a day brings, few enough to be read as one page. The eldest make room.
const KEPT: usize = 64;

/// How many writes a second one VM makes at the most.
const WRITES_PER_S: f64 = 1.0;

/// How many writes it may make at once.
const WRITES_AT_ONCE: f64 = 4.0;

/// The first wait after a call that failed, in milliseconds.
const RETRY_FIRST_MS: u64 = 200;

/// The longest wait after a call that failed, in milliseconds.
const RETRY_LIMIT_MS: u64 = 2_000;

/// What an object holds.
#[derive(Debug, Deserialize)]
struct Record {
    /// How often the request was cleared by a sound answer.
    cleared: u32,
    /// What ended under it since.
    ends: Vec<String>,
}

/// Reads what the store holds, once, for a VM that reads its backend servers there itself. Should that fail it is tried
/// again, but not waited for.
pub(crate) async fn read(store: &Store, inner: &Rc<Inner>) {
    // Nothing can have been learned before a fleet has ever run.
    if inner.settings.peers.is_first_start || has_read(store, inner).await {
        return;
    }
    let (store, inner) = (store.clone(), Rc::clone(inner));
    actix_rt::spawn(async move {
        let mut backoff = Backoff::new(RETRY_FIRST_MS, RETRY_LIMIT_MS);
        loop {
            let wait_ms = backoff.next_delay_ms(&mut rand::rng());
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            if has_read(&store, &inner).await {
                return;
            }
        }
    });
}

/// Reads what the store holds; false if it could not be read.
async fn has_read(store: &Store, inner: &Rc<Inner>) -> bool {
    let listing = match store.list_kind(KIND).await {
        Ok(listing) => listing,
        Err(error) => {
            info!(%error, "refused requests could not be read from the store");
            return false;
        }
    };
    let kept: Vec<SuspectReport> = listing.items.iter().filter_map(decode).collect();
    info!(count = kept.len(), "refused requests read from the store");
    inner.suspicions.take_kept(&kept, inner.now_ms());
    if !kept.is_empty() {
        inner.mesh.tell_standing(inner);
    }
    actix_rt::spawn(drop_eldest(store.clone(), listing.items));
    true
}

/// Writes what becomes known for as long as the process runs.
pub(crate) async fn write(store: Store, inner: Rc<Inner>) {
    let mut bucket = TokenBucket::new(WRITES_PER_S, WRITES_AT_ONCE, inner.now_ms());
    let mut backoff = Backoff::new(RETRY_FIRST_MS, RETRY_LIMIT_MS);
    loop {
        for (digest, keep) in inner.suspicions.for_store().await {
            if !bucket.try_take(inner.now_ms()) {
                warn!(%digest, ?keep, "left to the other VMs, as the store had too many writes of this one");
                continue;
            }
            match keep {
                Keep::Hold => {
                    while let Some(told) = inner.suspicions.refused(digest, inner.now_ms())
                        && !is_held(&store, &told, &mut backoff).await
                    {}
                }
                Keep::Drop => remove(&store, &digest.to_string()).await,
            }
        }
    }
}

/// Has the store hold a request; if it does not yet, waits until it should be tried again.
async fn is_held(store: &Store, told: &SuspectReport, backoff: &mut Backoff) -> bool {
    let SuspectReport { digest, cleared, ends, .. } = told;
    let ends: Vec<String> = ends.iter().map(|end| format!("{:016x}", end.0)).collect();
    let spec = json!({ "cleared": cleared, "ends": ends });
    match store.create(KIND, &digest.to_string(), spec).await {
        // Another VM saw the last end too.
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

/// Drops the eldest objects while there are too many.
async fn drop_eldest(store: Store, mut items: Vec<StoreItem<Value>>) {
    items.sort_by_key(|item| std::cmp::Reverse(item.revision));
    for item in items.into_iter().skip(KEPT) {
        remove(&store, &item.name).await;
    }
}

/// Drops an object.
async fn remove(store: &Store, name: &str) {
    match store.remove(KIND, name).await {
        Ok(()) => info!(digest = name, "refused request no longer kept in the store"),
        // What is left is read once more after the next start, and dropped when there are too many.
        Err(error) => info!(digest = name, %error, "refused request could not be dropped"),
    }
}

/// Reads an object; none if it is no refused request.
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
        warn!(name = item.name, "a refused request in the store cannot be read");
        return None;
    };
    Some(SuspectReport { digest, cleared, ends, age_ms: 0 })
}
