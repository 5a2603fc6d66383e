//! How configuration and the list of backend servers reach the VMs that do not watch the store.
//!
//! Each datagram says how new what its sender knows is. Whoever knows less fetches the difference
//! from the sender, at once from one in its own data hall, a little later from another hall.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use leverstream_catalog::Catalog;
use leverstream_peer::Standing;
use leverstream_wire::{Conn, Head, Progress};
use serde::{Deserialize, Serialize};
use tracing::{debug, info};

use crate::fleet::Delta;
use crate::gateway::Inner;
use crate::{follow, reply};

/// The path on the peers' listener.
pub(crate) const NEWS_PATH: &str = "/v1/news";

/// How long a VM of another data hall is left aside, so that news come from the own hall.
const FAR_WAIT_MS: u64 = 250;

/// How long fetching may take.
const FETCH_MS: u64 = 600;

/// What a VM asks for: what is newer than this.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Question {
    /// The version of the configuration that it has.
    catalog: u64,
    /// The revision up to which it knows the backend servers.
    backends: u64,
}

/// What is newer.
#[derive(Debug, Default, Serialize, Deserialize)]
struct News {
    /// The configuration.
    catalog: Option<Catalog>,
    /// The changes among the backend servers.
    backends: Option<Delta>,
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
            tokio::time::sleep(Duration::from_millis(FAR_WAIT_MS)).await;
            inner.fetching.is_waiting.set(false);
        }
        if is_newer(&inner, standing) && !inner.fetching.is_busy.replace(true) {
            fetch(&inner, from).await;
            inner.fetching.is_busy.set(false);
        }
    });
}

/// Answers what is newer than what a VM has.
pub(crate) fn answer(
    inner: &Inner,
    query: &str,
) -> actix_http::Response<actix_http::body::BoxBody> {
    let Some(question) = Question::parse(query) else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    let catalog = inner.catalog().filter(|catalog| catalog.version > question.catalog);
    let fleet = inner.fleet.borrow();
    let delta = (fleet.revision() > question.backends).then(|| fleet.since(question.backends));
    let news = News { catalog: catalog.map(|catalog| (*catalog).clone()), backends: delta };
    match serde_json::to_vec(&news) {
        Ok(body) => reply::json(body),
        Err(_) => reply::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Tells whether another VM knows more.
fn is_newer(inner: &Inner, theirs: Standing) -> bool {
    let mine = standing(inner);
    theirs.catalog_version > mine.catalog_version
        || theirs.backends_revision > mine.backends_revision
}

/// Fetches what another VM knows more, and takes it in.
async fn fetch(inner: &Rc<Inner>, from: SocketAddr) {
    let mine = standing(inner);
    let target =
        format!("{NEWS_PATH}?catalog={}&backends={}", mine.catalog_version, mine.backends_revision);
    let news = tokio::time::timeout(Duration::from_millis(FETCH_MS), ask(from, &target)).await;
    let Ok(Some(news)) = news else {
        debug!(%from, "news could not be fetched");
        return;
    };
    if let Some(catalog) = news.catalog {
        follow::adopt(inner, catalog);
    }
    if let Some(delta) = news.backends {
        let (revision, set, removed) = (delta.revision, delta.set.len(), delta.removed.len());
        let has_news = inner.fleet.borrow_mut().apply(delta, inner.now_ms());
        inner.has_fleet.set(true);
        inner.mesh.choose(inner);
        if has_news {
            info!(%from, revision, set, removed, "backends from another VM");
            inner.wake_all();
        }
    }
}

/// Asks a VM for its news.
async fn ask(from: SocketAddr, target: &str) -> Option<News> {
    let mut conn = Conn::open(from).await.ok()?;
    let mut head = Head::open("GET", target);
    head.field("host", from.to_string().as_bytes());
    head.field("connection", b"close");
    let progress = Progress::default();
    let answer = conn.exchange(&head.finish(b""), false, &progress, |_| true).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

impl Question {
    /// Reads the query of a question.
    fn parse(query: &str) -> Option<Question> {
        let mut question = Question::default();
        for part in query.split('&') {
            match part.split_once('=')? {
                ("catalog", value) => question.catalog = value.parse().ok()?,
                ("backends", value) => question.backends = value.parse().ok()?,
                _ => {}
            }
        }
        Some(question)
    }
}
