//! Transfers the configuration and the list of backend servers to VMs that do not watch the store.
//!
//! Each datagram states the versions that its sender has. A VM with an older version fetches the difference from the
//! sender: at once from its own data hall, after a short delay from another hall.
//!
//! Bodies are JSON compressed by zlib: a configuration of a thousand routes has 175 kB, which a link of 10 Mbit/s
//! carries to few VMs a second, and bytes between halls are billed.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use leverstream_catalog::Catalog;
use leverstream_core::{Delta, Fleet};
use leverstream_peer::Standing;
use leverstream_wire::{Conn, Progress, RequestHead, WireError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::{info, warn};

use crate::gateway::Inner;
use crate::meters::CrossHallCause;
use crate::{follow, freshness, reply};

/// The path of the configuration on the peers' listener; the version that the asking VM has follows.
const CATALOG_PATH: &str = "/v1/news/catalog/";

/// The path of the backend servers; the store revision that the asking VM has follows.
const BACKENDS_PATH: &str = "/v1/news/backends/";

/// The delay before fetching from another data hall, so that a VM of the own hall is used if one has the version. One VM of
/// each hall fetches at once and tells the others of its hall.
const OTHER_HALL_DELAY_MS: u64 = 250;

/// How long a fetch is under way until another one may begin beside it, in milliseconds: the VM asked may have gone silent.
const NEXT_FETCH_AFTER_MS: u64 = 150;

/// The maximum number of fetches at the same time.
const MAX_FETCHES: u32 = 3;

/// The timeout for connecting to a VM, and for each silence of it during a fetch.
const PEER_SILENCE_TIMEOUT_MS: u64 = 600;

/// The timeout of a fetch: enough for 100,000 backend servers over a weak VM's link that ten others share.
const FETCH_TIMEOUT_MS: u64 = 10_000;

/// The maximum size of a decompressed body, in bytes: four times the store's limit for one value.
const MAX_UNPACKED_BYTES: u64 = 4 << 20;

/// How long a cached list with notices is reused, in milliseconds: the age of a notice in it may be off by that, about
/// as much as by the delay of a datagram.
const NOTICES_REUSE_MS: u64 = 100;

/// Compressed bodies that many VMs fetch, each built once a version.
#[derive(Debug, Default)]
pub(crate) struct PackedBodies {
    /// The version and body of the configuration.
    catalog: RefCell<Option<(u64, Bytes)>>,
    /// The version and body of the full list of backend servers.
    backends: RefCell<Option<(ListVersion, Bytes)>>,
}

/// The cache key of a full list of backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListVersion {
    /// The store revision of the list.
    revision: u64,
    /// The fingerprint of the backend servers' notices.
    notices: u64,
    /// The index of the reuse period in which the body was built; 0 without notices.
    period: u64,
}

/// Keeps this VM from fetching the same update from many VMs at once.
#[derive(Debug, Default)]
pub(crate) struct FetchState {
    /// The number of fetches under way.
    fetches: Cell<u32>,
    /// When the last one began.
    last_began_ms: Cell<u64>,
    /// Whether a fetch from another hall is being delayed.
    is_delayed: Cell<bool>,
}

impl FetchState {
    /// Tells whether another fetch may begin.
    fn may_begin(&self, now_ms: u64) -> bool {
        let is_slow = now_ms >= self.last_began_ms.get() + NEXT_FETCH_AFTER_MS;
        self.fetches.get() == 0 || (is_slow && self.fetches.get() < MAX_FETCHES)
    }

    /// Records that a fetch begins.
    fn begin(&self, now_ms: u64) {
        self.fetches.set(self.fetches.get() + 1);
        self.last_began_ms.set(now_ms);
    }

    /// Records that a fetch has ended.
    fn end(&self) {
        self.fetches.set(self.fetches.get().saturating_sub(1));
    }
}

/// Returns the versions that this VM has.
pub(crate) fn own_standing(inner: &Inner) -> Standing {
    Standing {
        catalog_version: inner.catalog().map_or(0, |catalog| catalog.version),
        backends_revision: inner.fleet.borrow().changed_revision(),
        vms: inner.repeats.known_vms(),
        suspects: inner.suspect_tracker.fingerprint(),
        words: inner.fleet.borrow().notices_fingerprint(),
        confirmation: freshness::report(inner),
    }
}

/// Handles the versions that another VM has, and fetches what is newer.
pub(crate) fn handle_standing(
    inner: &Rc<Inner>,
    from: SocketAddr,
    standing: Standing,
    is_same_hall: bool,
) {
    let received_ms = inner.now_ms();
    freshness::apply_report(inner, &standing, received_ms);
    let fetching = &inner.fetch_state;
    if !is_newer(inner, standing) || !fetching.may_begin(received_ms) {
        return;
    }
    let waits = !is_same_hall && !inner.mesh.is_first_of_hall();
    // Only fetches from other halls are skipped during the delay.
    if waits && fetching.is_delayed.replace(true) {
        return;
    }
    let inner = Rc::clone(inner);
    actix_rt::spawn(async move {
        if waits {
            tokio::time::sleep(Duration::from_millis(OTHER_HALL_DELAY_MS)).await;
            inner.fetch_state.is_delayed.set(false);
        }
        let now_ms = inner.now_ms();
        if !is_newer(&inner, standing) || !inner.fetch_state.may_begin(now_ms) {
            return;
        }
        inner.fetch_state.begin(now_ms);
        let has_changed = fetch(&inner, from, standing).await;
        inner.fetch_state.end();
        freshness::apply_report(&inner, &standing, received_ms);
        if has_changed && !is_same_hall {
            inner.mesh.send_standing_to_hall(&inner);
        }
    });
}

/// Answers a fetch with what is newer than the asking VM's version, or that nothing is.
pub(crate) fn answer_fetch(
    inner: &Inner,
    path: &str,
) -> actix_http::Response<actix_http::body::BoxBody> {
    let body = if let Some(known) = number_after_prefix(path, CATALOG_PATH) {
        let newer = inner.catalog().filter(|catalog| catalog.version > known);
        newer.map(|catalog| inner.packed_bodies.catalog(&catalog))
    } else if let Some(known) = number_after_prefix(path, BACKENDS_PATH) {
        let fleet = inner.fleet.borrow();
        (fleet.revision() > known).then(|| match known {
            0 => inner.packed_bodies.backends(&fleet, inner.now_ms()),
            _ => pack(&fleet.delta_since(known, inner.now_ms())).map(Bytes::from),
        })
    } else {
        return reply::empty(StatusCode::NOT_FOUND);
    };
    match body {
        Some(Ok(body)) => {
            inner.meters.news_bytes.inc_by(body.len() as u64);
            reply::bytes(body)
        }
        Some(Err(error)) => {
            warn!(%error, path, "update for another VM could not be compressed");
            reply::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
        None => reply::empty(StatusCode::NO_CONTENT),
    }
}

impl PackedBodies {
    /// Returns the body of a configuration, built once a version.
    fn catalog(&self, catalog: &Catalog) -> std::io::Result<Bytes> {
        cached(&self.catalog, catalog.version, || pack(catalog))
    }

    /// Returns the body of the full list, built once a revision, and again each reuse period if it has notices with ages.
    fn backends(&self, fleet: &Fleet, now_ms: u64) -> std::io::Result<Bytes> {
        let notices = fleet.notices_fingerprint();
        let period = if notices == 0 { 0 } else { now_ms / NOTICES_REUSE_MS };
        let version = ListVersion { revision: fleet.revision(), notices, period };
        cached(&self.backends, version, || pack(&fleet.delta_since(0, now_ms)))
    }
}

/// Returns the cached body of a version; builds it if the cache holds another version.
fn cached<V: Copy + PartialEq>(
    cache: &RefCell<Option<(V, Bytes)>>,
    version: V,
    make: impl FnOnce() -> std::io::Result<Vec<u8>>,
) -> std::io::Result<Bytes> {
    if let Some((cached_version, body)) = &*cache.borrow()
        && *cached_version == version
    {
        return Ok(body.clone());
    }
    let body = Bytes::from(make()?);
    *cache.borrow_mut() = Some((version, body.clone()));
    Ok(body)
}

/// Returns whether another VM has a newer configuration or newer backend servers.
fn is_newer(inner: &Inner, theirs: Standing) -> bool {
    let catalog_version = inner.catalog().map_or(0, |catalog| catalog.version);
    theirs.catalog_version > catalog_version
        || theirs.backends_revision > inner.fleet.borrow().revision()
}

/// Fetches and applies what another VM has newer; returns whether anything was.
async fn fetch(inner: &Rc<Inner>, from: SocketAddr, theirs: Standing) -> bool {
    let known = |inner: &Inner| {
        let mine = own_standing(inner);
        (mine.catalog_version, mine.backends_revision)
    };
    let before = known(inner);
    // Backend servers come first: a removal is small and urgent.
    let known_revision = inner.fleet.borrow().revision();
    if theirs.backends_revision > known_revision {
        let path = format!("{BACKENDS_PATH}{known_revision}");
        if let Some(delta) = fetch_newer(inner, from, &path).await {
            apply_backends(inner, from, delta);
        }
    }
    if theirs.catalog_version > before.0 {
        let path = format!("{CATALOG_PATH}{}", before.0);
        if let Some(catalog) = fetch_newer(inner, from, &path).await {
            follow::install_catalog(inner, catalog, &format!("VM at {from}"));
        }
    }
    known(inner) != before
}

/// Applies another VM's changes of the backend servers.
fn apply_backends(inner: &Inner, from: SocketAddr, delta: Delta) {
    let revision = delta.revision;
    let applied = inner.fleet.borrow_mut().apply(delta, inner.now_ms());
    inner.has_fleet.set(true);
    inner.mesh.update_roles(inner);
    if applied.has_news() {
        let (set, removed) = (applied.set, applied.removed.len());
        info!(%from, revision, set, removed, "backends from another VM");
        inner.wake_all();
    }
    for backend in applied.removed {
        info!(backend, reason = "removed according to another VM", revision, "backend gone");
    }
}

/// Fetches a newer version from a VM; none if it has none, or if the fetch fails.
async fn fetch_newer<T: DeserializeOwned>(
    inner: &Inner,
    from: SocketAddr,
    path: &str,
) -> Option<T> {
    let asked =
        tokio::time::timeout(Duration::from_millis(FETCH_TIMEOUT_MS), exchange(from, path)).await;
    let body = match asked {
        Ok(Ok(body)) => body?,
        Ok(Err(error)) => {
            info!(%from, path, %error, "update could not be fetched from another VM");
            return None;
        }
        Err(_) => {
            info!(%from, path, within_ms = FETCH_TIMEOUT_MS, "fetching an update from another VM timed out");
            return None;
        }
    };
    if inner.mesh.is_far(from) {
        inner.meters.count_cross_hall(CrossHallCause::News, body.len());
    }
    match unpack(&body) {
        Ok(update) => Some(update),
        Err(error) => {
            warn!(%from, path, %error, "update from another VM could not be decompressed or parsed");
            None
        }
    }
}

/// Sends one request to a VM and returns the body of the answer, if it has anything newer.
async fn exchange(from: SocketAddr, path: &str) -> Result<Option<Bytes>, WireError> {
    let opened =
        tokio::time::timeout(Duration::from_millis(PEER_SILENCE_TIMEOUT_MS), Conn::open(from))
            .await;
    let mut conn = opened.map_err(|_| WireError::Connect)?.map_err(|_| WireError::Connect)?;
    conn.set_read_timeout(PEER_SILENCE_TIMEOUT_MS);
    let mut head = RequestHead::new("GET", path);
    head.field("host", from.to_string().as_bytes());
    head.field("connection", b"close");
    let progress = Progress::default();
    let answer = conn.exchange(&head.finish(b""), false, &progress, |_| true).await?;
    Ok((answer.status == 200).then_some(answer.body))
}

/// Serializes and compresses a value for another VM.
fn pack(value: &impl Serialize) -> std::io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(value)?)?;
    encoder.finish()
}

/// Decompresses and parses a body from another VM.
fn unpack<T: DeserializeOwned>(body: &[u8]) -> std::io::Result<T> {
    let mut text = Vec::new();
    ZlibDecoder::new(body).take(MAX_UNPACKED_BYTES).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}

/// Parses the number that follows a prefix in a path.
fn number_after_prefix(path: &str, prefix: &str) -> Option<u64> {
    path.strip_prefix(prefix)?.parse().ok()
}
