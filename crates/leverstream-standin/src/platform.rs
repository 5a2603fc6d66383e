//! A stand-in for the platform's store: objects with revisions, conditional writes, watches and injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::web::{Data, Json, Path, Query};
use actix_web::{App, HttpResponse, HttpServer, web};
use leverstream_platform::objects::{self, Event, Events, Metadata, OBJECTS_PATH, Object, Page};
use leverstream_platform::standin::REVISION_KIND;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// The maximum number of objects on one page.
const MAX_PAGE_ITEMS: usize = 500;

/// The maximum number of changes kept for watches.
const MAX_HISTORY_CHANGES: usize = 4_096;

/// The kind of the objects that list the VMs.
const VMS_KIND: &str = "vms";

/// The state of the platform.
pub struct State {
    /// The store; one lock suffices for a stand-in.
    store: Mutex<Store>,
    /// Notifies waiting watches of changes.
    changed: watch::Sender<u64>,
}

/// The objects of all kinds, by kind and name.
type Objects = BTreeMap<(String, String), Object>;

/// The objects, their history and the faults in force.
#[derive(Clone, Default)]
struct Store {
    /// The revision of the last change.
    revision: u64,
    /// The objects.
    objects: Objects,
    /// The latest changes, each with its revision and kind.
    history: VecDeque<(u64, String, Event<Object>)>,
    /// The revision up to which the history has been discarded.
    compacted: u64,
    /// The faults in force.
    faults: Faults,
    /// The number of received calls by kind, and of late updates.
    counts: BTreeMap<String, u64>,
    /// The snapshot that `restore` returns to.
    saved: Option<(u64, Objects)>,
}

/// A VM in the list of VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// The address of its peer listener, if leverstream runs on it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// The backend servers that run on it.
    #[serde(default)]
    pub backends: Vec<SocketAddr>,
    /// `live` or `leaving`.
    pub state: String,
}

/// The faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every call is answered with status 503.
    pub away: bool,
    /// Whether no call is answered.
    pub silent: bool,
    /// The kinds of objects for whose lists and watches no call is answered.
    pub silent_kinds: Vec<String>,
    /// Whether watches report no changes while other calls are served.
    pub deaf_watches: bool,
    /// The number of further updates that take effect but are not answered.
    pub lose_put_answers: u32,
    /// The number of further updates that are not answered and take effect late, if their condition still holds then.
    pub late_puts: u32,
    /// The delay of late updates.
    pub late_ms: u64,
    /// The delay of each call.
    pub delay_ms: u64,
}

/// Binds the stand-in; returns the address that it listens on and the server future.
pub fn bind(address: SocketAddr) -> std::io::Result<(SocketAddr, Server)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let state = State { store: Mutex::default(), changed: watch::channel(0).0 };
    let state = Data::from(Arc::new(state));
    let server = HttpServer::new(move || {
        let kind = format!("{OBJECTS_PATH}/{{kind}}");
        let one = format!("{OBJECTS_PATH}/{{kind}}/{{name}}");
        App::new()
            .app_data(state.clone())
            .app_data(web::JsonConfig::default().limit(4 << 20))
            .route(&kind, web::get().to(list_or_watch))
            .route(&kind, web::post().to(create))
            .route(&one, web::get().to(get))
            .route(&one, web::put().to(replace))
            .route(&one, web::delete().to(delete))
            .route("/standin/vms", web::put().to(set_vms))
            .route("/standin/faults", web::put().to(set_faults))
            .route("/standin/lapse/{kind}/{name}", web::post().to(lapse))
            .route("/standin/forget", web::post().to(forget))
            .route("/standin/counts", web::get().to(counts))
            .route("/standin/save", web::post().to(save))
            .route("/standin/restore", web::post().to(restore))
    })
    .workers(1)
    .shutdown_timeout(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok((bound, server))
}

/// Counts a call and applies the faults; returns an answer with status 503 if the platform is unavailable.
async fn admit(state: &State, call: &str) -> Option<HttpResponse> {
    let faults = {
        let mut store = state.store.lock();
        *store.counts.entry(call.to_owned()).or_default() += 1;
        store.faults.clone()
    };
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.silent {
        withhold_answer().await;
    }
    faults.away.then(|| HttpResponse::ServiceUnavailable().finish())
}

/// Blocks for longer than any client waits, as if the packets of the answer were lost.
async fn withhold_answer() {
    tokio::time::sleep(Duration::from_secs(60)).await;
}

/// Returns an object.
async fn get(state: Data<State>, path: Path<(String, String)>) -> HttpResponse {
    if let Some(unavailable) = admit(&state, "get").await {
        return unavailable;
    }
    match state.store.lock().objects.get(&path.into_inner()) {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Returns a page of the objects of a kind or, for a watch, their changes.
async fn list_or_watch(
    state: Data<State>,
    kind: Path<String>,
    query: Query<objects::Query>,
) -> HttpResponse {
    if state.store.lock().faults.silent_kinds.contains(&kind) {
        withhold_answer().await;
    }
    if let Some(revision) = query.watch {
        return watch_changes(&state, &kind, revision, query.wait_ms.unwrap_or(0)).await;
    }
    let call = match kind.as_str() {
        VMS_KIND => "vms",
        REVISION_KIND => "revision",
        _ => "list",
    };
    if let Some(unavailable) = admit(&state, call).await {
        return unavailable;
    }
    let store = state.store.lock();
    let after = query.after.clone().unwrap_or_default();
    let is_on_page = |(key, _): &(&(String, String), &Object)| key.0 == *kind && key.1 > after;
    let mut items: Vec<Object> =
        store.objects.iter().filter(is_on_page).map(|(_, object)| object.clone()).collect();
    let has_more = items.len() > MAX_PAGE_ITEMS;
    items.truncate(MAX_PAGE_ITEMS);
    HttpResponse::Ok().json(Page { items, has_more, as_of: store.revision })
}

/// Answers a watch as soon as a kind has changed, at the latest after `wait_ms`.
async fn watch_changes(state: &State, kind: &str, revision: u64, wait_ms: u64) -> HttpResponse {
    if let Some(unavailable) = admit(state, "watch").await {
        return unavailable;
    }
    let mut changed = state.changed.subscribe();
    let next_changes = async {
        loop {
            let _ = changed.borrow_and_update();
            let (answer, is_failing) = {
                let store = state.store.lock();
                (store.events(kind, revision), store.faults.away || store.faults.silent)
            };
            if is_failing
                || answer.as_ref().is_none_or(|events| !events.events.is_empty())
                || changed.changed().await.is_err()
            {
                return answer;
            }
        }
    };
    let answer = tokio::time::timeout(Duration::from_millis(wait_ms), next_changes).await;
    let faults = state.store.lock().faults.clone();
    if faults.silent {
        withhold_answer().await;
    }
    if faults.away {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let answer = answer.unwrap_or_else(|_| state.store.lock().events(kind, revision));
    match answer {
        Some(events) => HttpResponse::Ok().json(events),
        None => HttpResponse::Gone().finish(),
    }
}

/// Creates an object; answers with a conflict if it exists.
async fn create(state: Data<State>, kind: Path<String>, object: Json<Object>) -> HttpResponse {
    let object = object.into_inner();
    let key = (kind.into_inner(), object.metadata.name.clone());
    write(&state, |store| match store.objects.get(&key) {
        Some(present) => Err(WriteError::Conflict(Box::new(present.clone()))),
        None => Ok(store.set(key.clone(), object.spec.clone())),
    })
    .await
}

/// Replaces an object if its revision is the expected one or none is given.
async fn replace(
    state: Data<State>,
    path: Path<(String, String)>,
    object: Json<Object>,
) -> HttpResponse {
    let (key, object) = (path.into_inner(), object.into_inner());
    write(&state, |store| {
        let Some(present) = store.objects.get(&key) else {
            return Err(WriteError::Missing);
        };
        let expected = object.metadata.revision;
        if expected.is_some() && expected != present.metadata.revision {
            return Err(WriteError::Conflict(Box::new(present.clone())));
        }
        if present.spec == object.spec {
            return Ok(present.clone());
        }
        Ok(store.set(key.clone(), object.spec.clone()))
    })
    .await
}

/// Removes an object.
async fn delete(state: Data<State>, path: Path<(String, String)>) -> HttpResponse {
    let key = path.into_inner();
    write(&state, |store| store.remove(&key).ok_or(WriteError::Missing)).await
}

/// Why a write is rejected.
enum WriteError {
    /// The object does not exist.
    Missing,
    /// The object exists already, or has another revision.
    Conflict(Box<Object>),
}

/// Applies a change, notifies the watches and answers, subject to the faults for updates.
async fn write(
    state: &State,
    change: impl Fn(&mut Store) -> Result<Object, WriteError>,
) -> HttpResponse {
    if let Some(unavailable) = admit(state, "put").await {
        return unavailable;
    }
    let late_ms = {
        let mut store = state.store.lock();
        let is_late = store.faults.late_puts > 0;
        store.faults.late_puts = store.faults.late_puts.saturating_sub(1);
        is_late.then_some(store.faults.late_ms)
    };
    if let Some(late_ms) = late_ms {
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
        *state.store.lock().counts.entry("late".to_owned()).or_default() += 1;
    }
    let (object, revision, is_lost) = {
        let mut store = state.store.lock();
        let object = match change(&mut store) {
            Ok(object) => object,
            Err(WriteError::Missing) => return HttpResponse::NotFound().finish(),
            Err(WriteError::Conflict(present)) => return HttpResponse::Conflict().json(present),
        };
        let is_lost = store.faults.lose_put_answers > 0;
        store.faults.lose_put_answers = store.faults.lose_put_answers.saturating_sub(1);
        (object, store.revision, is_lost)
    };
    state.changed.send_replace(revision);
    if is_lost || late_ms.is_some() {
        withhold_answer().await;
    }
    HttpResponse::Ok().json(object)
}

/// Replaces the list of VMs.
async fn set_vms(state: Data<State>, vms: Json<Vec<Vm>>) -> HttpResponse {
    let revision = {
        let mut store = state.store.lock();
        store.objects.retain(|(kind, _), _| kind != VMS_KIND);
        for (number, vm) in vms.iter().enumerate() {
            let spec = serde_json::to_value(vm).unwrap_or_default();
            store.set((VMS_KIND.to_owned(), format!("vm-{number}")), spec);
        }
        store.revision
    };
    state.changed.send_replace(revision);
    HttpResponse::Ok().finish()
}

/// Sets the faults.
async fn set_faults(state: Data<State>, faults: Json<Faults>) -> HttpResponse {
    let revision = {
        let mut store = state.store.lock();
        store.faults = faults.into_inner();
        store.revision
    };
    state.changed.send_replace(revision);
    HttpResponse::Ok().finish()
}

/// Removes an object, as the platform does when the lease of its writer expires.
async fn lapse(state: Data<State>, path: Path<(String, String)>) -> HttpResponse {
    let revision = {
        let mut store = state.store.lock();
        store.remove(&path.into_inner());
        store.revision
    };
    state.changed.send_replace(revision);
    HttpResponse::Ok().finish()
}

/// Discards the history, so that watches from earlier revisions must list again.
async fn forget(state: Data<State>) -> HttpResponse {
    let revision = {
        let mut store = state.store.lock();
        store.history.clear();
        store.compacted = store.revision;
        store.revision
    };
    state.changed.send_replace(revision);
    HttpResponse::Ok().finish()
}

/// Returns the counts of calls as JSON.
async fn counts(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&state.store.lock().counts)
}

/// Takes a snapshot of the objects for a later restore.
async fn save(state: Data<State>) -> HttpResponse {
    let mut store = state.store.lock();
    store.saved = Some((store.revision, store.objects.clone()));
    HttpResponse::Ok().finish()
}

/// Restores the objects and the revision of the snapshot, as a restore from a backup does.
async fn restore(state: Data<State>) -> HttpResponse {
    let revision = {
        let mut store = state.store.lock();
        if let Some((revision, objects)) = store.saved.clone() {
            store.revision = revision;
            store.objects = objects;
            store.history.clear();
            store.compacted = revision;
        }
        store.revision
    };
    state.changed.send_replace(revision);
    HttpResponse::Ok().finish()
}

impl Store {
    /// Creates or replaces an object.
    fn set(&mut self, key: (String, String), spec: serde_json::Value) -> Object {
        self.revision += 1;
        let created_revision =
            self.objects.get(&key).map_or(self.revision, |existing| existing.metadata.created);
        let metadata = Metadata {
            name: key.1.clone(),
            revision: Some(self.revision),
            created: created_revision,
            ..Metadata::default()
        };
        let object = Object { metadata, spec, status: serde_json::Value::Null };
        self.append_history(key.0.clone(), Event { removed: false, object: object.clone() });
        self.objects.insert(key, object.clone());
        object
    }

    /// Removes an object.
    fn remove(&mut self, key: &(String, String)) -> Option<Object> {
        let mut object = self.objects.remove(key)?;
        self.revision += 1;
        object.metadata.revision = Some(self.revision);
        self.append_history(key.0.clone(), Event { removed: true, object: object.clone() });
        Some(object)
    }

    /// Appends a change to the history and discards the oldest beyond the maximum.
    fn append_history(&mut self, kind: String, event: Event<Object>) {
        self.history.push_back((self.revision, kind, event));
        if self.history.len() > MAX_HISTORY_CHANGES
            && let Some((revision, _, _)) = self.history.pop_front()
        {
            self.compacted = revision;
        }
    }

    /// Returns the changes of a kind after a revision, or `None` if the history no longer covers them.
    fn events(&self, kind: &str, revision: u64) -> Option<Events<Event<Object>>> {
        if revision < self.compacted || revision > self.revision {
            return None;
        }
        let is_deaf = self.faults.deaf_watches;
        let changes =
            self.history.iter().filter(|(at, of, _)| !is_deaf && *at > revision && of == kind);
        let events: Vec<Event<Object>> = changes.map(|(_, _, event)| event.clone()).collect();
        let as_of = if is_deaf { revision } else { self.revision };
        Some(Events { events, as_of })
    }
}
