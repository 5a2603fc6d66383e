//! A stand-in for a backend server: slots, cold start, shed, drain, lies about health, stalls.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::http::header::HeaderMap;
use actix_web::web::{Bytes, Data, Json, PayloadConfig};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use parking_lot::Mutex;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

/// The header that names one piece of work.
const KEY_HEADER: &str = "idempotency-key";

/// How a backend server behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// The time that a request's work takes.
    pub work_ms: u64,
    /// The share of requests whose work never ends, from 0 to 1.
    pub stall_share: f64,
    /// The share of requests that are answered with status 500.
    pub error_share: f64,
    /// Whether requests are shed with status 503 and not run.
    pub shed: bool,
    /// Whether answers tell that the server is draining.
    pub draining: bool,
    /// Whether the health check answers well, whatever the work does.
    pub healthy: bool,
    /// The size of an answer's filling, in bytes.
    pub answer_bytes: usize,
}

impl Default for Mode {
    fn default() -> Self {
        Mode {
            work_ms: 0,
            stall_share: 0.0,
            error_share: 0.0,
            shed: false,
            draining: false,
            healthy: true,
            answer_bytes: 0,
        }
    }
}

/// What a backend server has done.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests whose work ended.
    pub finished: u64,
    /// Health checks answered.
    pub probes: u64,
    /// Requests that began to run, by idempotency key.
    pub by_key: BTreeMap<String, u64>,
}

/// What an answer says about its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The name of the backend server.
    pub backend: String,
    /// The request's method.
    pub method: String,
    /// The request's path and query.
    pub path: String,
    /// The request's key, or empty.
    pub key: String,
    /// The request's body.
    pub body: String,
    /// The deadline passed on with the request, or empty.
    pub deadline_ms: String,
    /// The trace that the request belongs to, or empty.
    #[serde(default)]
    pub traceparent: String,
    /// How many runs of this key there have been, this one included.
    pub run: u64,
    /// Filling, as long as the mode says.
    pub filling: String,
}

/// The state behind one backend server.
struct State {
    /// Its name.
    name: String,
    /// Its behaviour.
    mode: Mutex<Mode>,
    /// What it has done.
    counts: Mutex<Counts>,
    /// Its free slots.
    slots: Semaphore,
    /// Wakes stalled requests when the mode changes.
    mode_changed: Notify,
}

/// Binds the stand-in and returns its address and the server to run.
pub fn bind(
    address: SocketAddr,
    name: &str,
    slots: usize,
) -> std::io::Result<(SocketAddr, Server)> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let state = Data::from(Arc::new(State {
        name: name.to_owned(),
        mode: Mutex::default(),
        counts: Mutex::default(),
        slots: Semaphore::new(slots),
        mode_changed: Notify::new(),
    }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(PayloadConfig::new(64 << 20))
            .route("/standin/mode", web::put().to(set_mode))
            .route("/standin/counts", web::get().to(counts))
            .route("/health", web::get().to(health))
            .default_service(web::to(work))
    })
    .workers(1)
    .shutdown_timeout(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok((bound, server))
}

/// Sets the behaviour.
async fn set_mode(state: Data<State>, mode: Json<Mode>) -> HttpResponse {
    *state.mode.lock() = mode.into_inner();
    state.mode_changed.notify_waiters();
    HttpResponse::Ok().finish()
}

/// Answers with the counts.
async fn counts(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.counts.lock())
}

/// Answers a health check, truthfully or not.
async fn health(state: Data<State>) -> HttpResponse {
    state.counts.lock().probes += 1;
    if state.mode.lock().healthy {
        HttpResponse::Ok().body("ok")
    } else {
        HttpResponse::ServiceUnavailable().body("sick")
    }
}

/// Works on a request.
async fn work(state: Data<State>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let mode = state.mode.lock().clone();
    if mode.shed {
        return HttpResponse::ServiceUnavailable().insert_header(("retry-after", "1")).finish();
    }
    let Ok(slot) = state.slots.acquire().await else {
        return HttpResponse::InternalServerError().finish();
    };
    let key = header(request.headers(), KEY_HEADER);
    let run = start(&state, &key);
    let roll = rand::rng().random::<f64>();
    if roll < mode.stall_share {
        stall(&state).await;
    }
    if mode.work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(mode.work_ms)).await;
    }
    drop(slot);
    state.counts.lock().finished += 1;
    let mut answer = if roll > 1.0 - mode.error_share {
        HttpResponse::InternalServerError()
    } else {
        HttpResponse::Ok()
    };
    if mode.draining {
        answer.insert_header(("leverstream-draining", "1"));
    }
    answer.json(Report {
        backend: state.name.clone(),
        method: request.method().to_string(),
        path: request.uri().to_string(),
        key,
        body: String::from_utf8_lossy(&body).into_owned(),
        deadline_ms: header(request.headers(), "leverstream-deadline-ms"),
        traceparent: header(request.headers(), "traceparent"),
        run,
        filling: "x".repeat(mode.answer_bytes),
    })
}

/// Counts a run and returns how many there have been of its key.
fn start(state: &State, key: &str) -> u64 {
    let mut counts = state.counts.lock();
    counts.started += 1;
    if key.is_empty() {
        return 1;
    }
    let runs = counts.by_key.entry(key.to_owned()).or_default();
    *runs += 1;
    *runs
}

/// Holds a request until the behaviour no longer stalls any.
async fn stall(state: &State) {
    loop {
        let changed = state.mode_changed.notified();
        if state.mode.lock().stall_share == 0.0 {
            return;
        }
        changed.await;
    }
}

/// Reads a header as text.
fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
