//! How configuration and the list of backend servers reach the VMs that do not watch the store.
//!
//! Each datagram says how new what its sender knows is. Whoever knows less fetches the difference
//! from the sender, at once from one in its own data hall, a little later from another hall.
//!
//! Bodies are JSON packed by zlib: a configuration of a thousand routes has 175 kB, which a link of
//! 10 Mbit/s carries to few VMs a second, and bytes between halls are paid for.

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
use crate::meters::FarCause;
use crate::{follow, reply};

/// The path of the configuration on the peers' listener; the version that is known follows.
const CATALOG_PATH: &str = "/v1/news/catalog/";

/// The path of the backend servers; the revision up to which they are known follows.
const BACKENDS_PATH: &str = "/v1/news/backends/";

/// How long a VM of another data hall is left aside, so that news come from the own hall.
const FAR_WAIT_MS: u64 = 250;

/// How much longer it is left aside where VMs of the own hall watch the store: they hear of a change some time after others.
const WATCHED_WAIT_MS: u64 = 300;

/// For how long a VM that news are fetched from may send nothing.
const SILENCE_MS: u64 = 600;

/// How long fetching may take: the list of 100,000 backend servers over a weak VM's link that ten others share.
const FETCH_MS: u64 = 10_000;

/// The largest body that is unpacked, in bytes: four times what the platform's store holds as one value.
const BODY_LIMIT_BYTES: u64 = 4 << 20;

/// How long a packed list may tell how old a word is, in milliseconds: about as much as a datagram may be late.
const WORDS_KEEP_MS: u64 = 100;

/// What many VMs ask for alike, packed once.
#[derive(Debug, Default)]
pub(crate) struct Packed {
    /// The configuration: its version and the body.
    catalog: RefCell<Option<(u64, Bytes)>>,
    /// All backend servers, as they were known when the body was packed.
    backends: RefCell<Option<(ListVersion, Bytes)>>,
}

/// What tells one list of backend servers from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListVersion {
    /// The store's revision up to which they are known.
    revision: u64,
    /// A digest of what they say of themselves.
    words: u64,
    /// When that was packed, in turns; 0 if they say nothing.
    turn: u64,
}

/// Keeps one VM from fetching the same news from several at once.
#[derive(Debug, Default)]
pub(crate) struct Fetching {
    /// Whether a fetch is under way.
    is_busy: Cell<bool>,
    /// Whether news of another hall are left aside for a while.
    is_waiting: Cell<bool>,
}

/// How new what this VM knows is.
pub(crate) fn standing(inner: &Inner) -> Standing {
    Standing {
        catalog_version: inner.catalog().map_or(0, |catalog| catalog.version),
        backends_revision: inner.fleet.borrow().revision(),
        store_lost: inner.mesh.has_lost_store(),
        vms: inner.repeats.known_vms(),
        suspects: inner.suspect_tracker.fingerprint(),
        words: inner.fleet.borrow().notices_fingerprint(),
    }
}

/// Takes in how new what another VM knows is, and fetches what is newer.
pub(crate) fn hear(inner: &Rc<Inner>, from: SocketAddr, standing: Standing, is_near: bool) {
    let fetching = &inner.fetching;
    if !is_newer(inner, standing) || fetching.is_busy.get() {
        return;
    }
    // News left aside must not keep nearer ones out.
    if !is_near && fetching.is_waiting.replace(true) {
        return;
    }
    let inner = Rc::clone(inner);
    actix_rt::spawn(async move {
        if !is_near {
            let is_watched = inner.mesh.watches() || !inner.mesh.hall_watchers().is_empty();
            let more_ms = if is_watched { WATCHED_WAIT_MS } else { 0 };
            tokio::time::sleep(Duration::from_millis(FAR_WAIT_MS + more_ms)).await;
            inner.fetching.is_waiting.set(false);
        }
        if is_newer(&inner, standing) && !inner.fetching.is_busy.replace(true) {
            fetch(&inner, from, standing).await;
            inner.fetching.is_busy.set(false);
        }
    });
}

/// Answers what is newer than what a VM has, or that nothing is.
pub(crate) fn answer(inner: &Inner, path: &str) -> actix_http::Response<actix_http::body::BoxBody> {
    let body = if let Some(known) = number_after(path, CATALOG_PATH) {
        let newer = inner.catalog().filter(|catalog| catalog.version > known);
        newer.map(|catalog| inner.packed.catalog(&catalog))
    } else if let Some(known) = number_after(path, BACKENDS_PATH) {
        let fleet = inner.fleet.borrow();
        (fleet.revision() > known).then(|| match known {
            0 => inner.packed.backends(&fleet, inner.now_ms()),
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
            warn!(%error, path, "news could not be packed");
            reply::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
        None => reply::empty(StatusCode::NO_CONTENT),
    }
}

impl Packed {
    /// The body of a configuration, packed once a version.
    fn catalog(&self, catalog: &Catalog) -> std::io::Result<Bytes> {
        hold(&self.catalog, catalog.version, || pack(catalog))
    }

    /// The body of all backend servers, packed once a revision, and anew every while as long as it tells how old words are.
    fn backends(&self, fleet: &Fleet, now_ms: u64) -> std::io::Result<Bytes> {
        let words = fleet.notices_fingerprint();
        let turn = if words == 0 { 0 } else { now_ms / WORDS_KEEP_MS };
        let version = ListVersion { revision: fleet.revision(), words, turn };
        hold(&self.backends, version, || pack(&fleet.delta_since(0, now_ms)))
    }
}

/// The body that is held for a version, made anew if another version is held.
fn hold<V: Copy + PartialEq>(
    held: &RefCell<Option<(V, Bytes)>>,
    version: V,
    make: impl FnOnce() -> std::io::Result<Vec<u8>>,
) -> std::io::Result<Bytes> {
    if let Some((held_version, body)) = &*held.borrow()
        && *held_version == version
    {
        return Ok(body.clone());
    }
    let body = Bytes::from(make()?);
    *held.borrow_mut() = Some((version, body.clone()));
    Ok(body)
}

/// Tells whether another VM knows more.
fn is_newer(inner: &Inner, theirs: Standing) -> bool {
    let mine = standing(inner);
    theirs.catalog_version > mine.catalog_version
        || theirs.backends_revision > mine.backends_revision
}

/// Fetches what another VM knows more, and takes it in.
async fn fetch(inner: &Rc<Inner>, from: SocketAddr, theirs: Standing) {
    let mine = standing(inner);
    // Who leaves is small and urgent.
    if theirs.backends_revision > mine.backends_revision {
        let path = format!("{BACKENDS_PATH}{}", mine.backends_revision);
        if let Some(delta) = ask(inner, from, &path).await {
            take_backends(inner, from, delta);
        }
    }
    if theirs.catalog_version > mine.catalog_version {
        let path = format!("{CATALOG_PATH}{}", mine.catalog_version);
        if let Some(catalog) = ask(inner, from, &path).await {
            follow::adopt(inner, catalog);
        }
    }
}

/// Takes in what another VM knows of the backend servers.
fn take_backends(inner: &Inner, from: SocketAddr, delta: Delta) {
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
        info!(backend, reason = "another VM told", revision, "backend gone");
    }
}

/// Asks a VM for what is newer; none if nothing is, or if it could not be had in time.
async fn ask<T: DeserializeOwned>(inner: &Inner, from: SocketAddr, path: &str) -> Option<T> {
    let asked = tokio::time::timeout(Duration::from_millis(FETCH_MS), exchange(from, path)).await;
    let body = match asked {
        Ok(Ok(body)) => body?,
        Ok(Err(error)) => {
            info!(%from, path, %error, "news could not be fetched");
            return None;
        }
        Err(_) => {
            info!(%from, path, within_ms = FETCH_MS, "news did not come in time");
            return None;
        }
    };
    if inner.mesh.is_far(from) {
        inner.meters.count_far(FarCause::News, body.len());
    }
    match unpack(&body) {
        Ok(news) => Some(news),
        Err(error) => {
            warn!(%from, path, %error, "news could not be unpacked");
            None
        }
    }
}

/// Makes one exchange with a VM; no body if it has nothing newer.
async fn exchange(from: SocketAddr, path: &str) -> Result<Option<Bytes>, WireError> {
    let opened = tokio::time::timeout(Duration::from_millis(SILENCE_MS), Conn::open(from)).await;
    let mut conn = opened.map_err(|_| WireError::Connect)?.map_err(|_| WireError::Connect)?;
    conn.set_read_timeout(SILENCE_MS);
    let mut head = RequestHead::new("GET", path);
    head.field("host", from.to_string().as_bytes());
    head.field("connection", b"close");
    let progress = Progress::default();
    let answer = conn.exchange(&head.finish(b""), false, &progress, |_| true).await?;
    Ok((answer.status == 200).then_some(answer.body))
}

/// Packs a value for another VM.
fn pack(value: &impl Serialize) -> std::io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(value)?)?;
    encoder.finish()
}

/// Unpacks what another VM has packed.
fn unpack<T: DeserializeOwned>(body: &[u8]) -> std::io::Result<T> {
    let mut text = Vec::new();
    ZlibDecoder::new(body).take(BODY_LIMIT_BYTES).read_to_end(&mut text)?;
    Ok(serde_json::from_slice(&text)?)
}

/// The number at the end of a path that begins with a prefix.
fn number_after(path: &str, prefix: &str) -> Option<u64> {
    path.strip_prefix(prefix)?.parse().ok()
}
