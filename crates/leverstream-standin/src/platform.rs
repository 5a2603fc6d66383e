//! A stand-in for the platform: objects with versions, conditional updates, watches, outages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::web::{Data, Json, Path, Query};
use actix_web::{App, HttpResponse, HttpServer, web};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The platform's whole state.
pub struct State {
    /// Everything behind one lock; the stand-in is small.
    store: Mutex<Store>,
    /// Tells waiting watches of a new version.
    changed: watch::Sender<u64>,
}

/// The objects, the VMs and the faults asked for.
#[derive(Clone, Default)]
struct Store {
    /// The version of the last update.
    version: u64,
    /// The objects by key.
    objects: BTreeMap<String, Object>,
    /// The lagging list of VMs.
    vms: Vec<Vm>,
    /// The faults in force.
    faults: Faults,
    /// Calls answered or lost, by kind.
    counts: BTreeMap<String, u64>,
    /// An older state that `restore` returns to.
    saved: Option<(u64, BTreeMap<String, Object>)>,
}

/// An object.
#[derive(Clone, Serialize, Deserialize)]
struct Object {
    /// The key.
    key: String,
    /// The version of its last update.
    version: u64,
    /// The content.
    value: String,
}

/// A VM of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// Where its peers' listener is, if it is one of leverstream's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// The backend servers that run on it.
    #[serde(default)]
    pub backends: Vec<SocketAddr>,
    /// `live` or `leaving`.
    pub state: String,
}

/// What goes wrong at the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is answered with status 503.
    pub away: bool,
    /// So many updates take effect and are then not answered.
    pub lose_put_answers: u32,
    /// Each answer is held back so long.
    pub delay_ms: u64,
}

/// The parameters of a list or watch.
#[derive(Deserialize)]
struct Range {
    /// The prefix of the keys.
    prefix: String,
    /// The version after which changes count.
    #[serde(default)]
    after: u64,
    /// How long to wait for one.
    #[serde(default)]
    wait_ms: u64,
}

/// A conditional update.
#[derive(Deserialize)]
struct Put {
    /// The version that the object must have.
    expected: u64,
    /// The new content.
    value: String,
}

/// Binds the stand-in and returns its address and the server to run.
pub fn bind(address: SocketAddr) -> std::io::Result<(SocketAddr, Server)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let state = State { store: Mutex::default(), changed: watch::channel(0).0 };
    let state = Data::from(Arc::new(state));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(4 << 20))
            .route("/v1/objects", web::get().to(list))
            .route("/v1/objects/{key:.*}", web::get().to(get))
            .route("/v1/objects/{key:.*}", web::put().to(put))
            .route("/v1/watch", web::get().to(wait))
            .route("/v1/vms", web::get().to(vms))
            .route("/standin/vms", web::put().to(set_vms))
            .route("/standin/faults", web::put().to(set_faults))
            .route("/standin/counts", web::get().to(counts))
            .route("/standin/save", web::post().to(save))
            .route("/standin/restore", web::post().to(restore))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok((bound, server))
}

/// Counts a call, applies the delay and says whether the platform is away.
async fn enter(state: &State, call: &str) -> Option<HttpResponse> {
    let faults = {
        let mut store = state.store.lock();
        *store.counts.entry(call.to_owned()).or_default() += 1;
        store.faults.clone()
    };
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    faults.away.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Answers with an object.
async fn get(state: Data<State>, key: Path<String>) -> HttpResponse {
    if let Some(away) = enter(&state, "get").await {
        return away;
    }
    match state.store.lock().objects.get(key.as_str()) {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Answers with all objects below a prefix.
async fn list(state: Data<State>, range: Query<Range>) -> HttpResponse {
    match enter(&state, "list").await {
        Some(away) => away,
        None => listing(&state, &range.prefix, 0),
    }
}

/// Updates an object if its version is the expected one.
async fn put(state: Data<State>, key: Path<String>, put: Json<Put>) -> HttpResponse {
    if let Some(away) = enter(&state, "put").await {
        return away;
    }
    let key = key.into_inner();
    let (version, lose) = {
        let mut store = state.store.lock();
        let current = store.objects.get(&key).map_or(0, |object| object.version);
        if current != put.expected {
            return HttpResponse::Conflict().json(serde_json::json!({ "version": current }));
        }
        store.version += 1;
        let version = store.version;
        let object = Object { key: key.clone(), version, value: put.value.clone() };
        store.objects.insert(key, object);
        let lose = store.faults.lose_put_answers > 0;
        store.faults.lose_put_answers = store.faults.lose_put_answers.saturating_sub(1);
        (version, lose)
    };
    state.changed.send_replace(version);
    if lose {
        // The caller hears nothing until its own deadline, as when the answer's packets are lost.
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    HttpResponse::Ok().json(serde_json::json!({ "version": version }))
}

/// Waits for a change below a prefix.
async fn wait(state: Data<State>, range: Query<Range>) -> HttpResponse {
    if let Some(away) = enter(&state, "watch").await {
        return away;
    }
    let mut changed = state.changed.subscribe();
    let fresh = async {
        loop {
            let seen = *changed.borrow_and_update();
            let has_change = {
                let store = state.store.lock();
                let mut objects = store.objects.values();
                let newer = |object: &Object| {
                    object.version > range.after && object.key.starts_with(&range.prefix)
                };
                store.version < range.after || objects.any(newer)
            };
            if has_change || changed.changed().await.is_err() {
                return seen;
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(range.wait_ms), fresh).await;
    if state.store.lock().faults.away {
        return HttpResponse::ServiceUnavailable().finish();
    }
    // A restored platform counts from an older version; a watch from the future gets everything.
    let after = if state.store.lock().version < range.after { 0 } else { range.after };
    listing(&state, &range.prefix, after)
}

/// Answers with the list of VMs.
async fn vms(state: Data<State>) -> HttpResponse {
    match enter(&state, "vms").await {
        Some(away) => away,
        None => HttpResponse::Ok().json(&state.store.lock().vms),
    }
}

/// Sets the list of VMs.
async fn set_vms(state: Data<State>, vms: Json<Vec<Vm>>) -> HttpResponse {
    state.store.lock().vms = vms.into_inner();
    HttpResponse::Ok().finish()
}

/// Sets the faults.
async fn set_faults(state: Data<State>, faults: Json<Faults>) -> HttpResponse {
    state.store.lock().faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

/// Answers with the counts of calls.
async fn counts(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.store.lock().counts)
}

/// Remembers the present objects for a later restore.
async fn save(state: Data<State>) -> HttpResponse {
    let mut store = state.store.lock();
    store.saved = Some((store.version, store.objects.clone()));
    HttpResponse::Ok().finish()
}

/// Goes back to the saved objects and version, as a restore from a backup would.
async fn restore(state: Data<State>) -> HttpResponse {
    let version = {
        let mut store = state.store.lock();
        if let Some((version, objects)) = store.saved.clone() {
            store.version = version;
            store.objects = objects;
        }
        store.version
    };
    state.changed.send_replace(version);
    HttpResponse::Ok().finish()
}

/// Lists the objects below a prefix that changed after a version.
fn listing(state: &State, prefix: &str, after: u64) -> HttpResponse {
    let store = state.store.lock();
    let objects: Vec<&Object> = store
        .objects
        .values()
        .filter(|object| object.key.starts_with(prefix) && object.version > after)
        .collect();
    HttpResponse::Ok().json(serde_json::json!({ "version": store.version, "objects": objects }))
}
