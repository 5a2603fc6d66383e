//! A stand-in for a backend server with a fixed number of slots. Its mode makes it slow, failing, stalled, shedding,
//! draining or unhealthy; the health check can report a state that differs from how requests fare.

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

/// The header with the idempotency key of a request.
const KEY_HEADER: &str = "idempotency-key";

/// The behavior of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// The processing time of a request.
    pub work_ms: u64,
    /// The fraction of requests that stall until the mode changes, from 0 to 1.
    pub stall_share: f64,
    /// The fraction of requests that are answered with status 500, from 0 to 1.
    pub error_share: f64,
    /// Whether requests are shed: rejected with status 503 and not run.
    pub shed: bool,
    /// Whether answers announce that the server is draining.
    pub draining: bool,
    /// Whether the health check succeeds, regardless of how requests fare.
    pub healthy: bool,
    /// The size of the padding in an answer, in bytes.
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

/// What a backend server has processed so far.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that finished.
    pub finished: u64,
    /// Health checks answered.
    pub probes: u64,
    /// Requests that began to run, by idempotency key.
    pub by_key: BTreeMap<String, u64>,
}

/// The body of an answer: how the backend server received and ran the request.
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
    /// How often a request with this key has run, including this run.
    pub run: u64,
    /// Padding of the length that the mode sets.
    pub filling: String,
}

/// The shared state of one backend server.
struct State {
    /// The name of the backend server.
    name: String,
    /// The behavior in force.
    mode: Mutex<Mode>,
    /// What it has processed so far.
    counts: Mutex<Counts>,
    /// The free slots.
    slots: Semaphore,
    /// Wakes stalled requests when the mode changes.
    mode_changed: Notify,
}

/// Binds the stand-in; returns the address that it listens on and the server future.
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
            .default_service(web::to(run_request))
    })
    .workers(1)
    .shutdown_timeout(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok((bound, server))
}

/// Sets the behavior and wakes stalled requests.
async fn set_mode(state: Data<State>, mode: Json<Mode>) -> HttpResponse {
    *state.mode.lock() = mode.into_inner();
    state.mode_changed.notify_waiters();
    HttpResponse::Ok().finish()
}

/// Returns the counts as JSON.
async fn counts(state: Data<State>) -> HttpResponse {
    HttpResponse::Ok().json(&*state.counts.lock())
}

/// Answers a health check with the result that the mode sets.
async fn health(state: Data<State>) -> HttpResponse {
    state.counts.lock().probes += 1;
    if state.mode.lock().healthy {
        HttpResponse::Ok().body("ok")
    } else {
        HttpResponse::ServiceUnavailable().body("sick")
    }
}

/// Runs a request in a free slot, as the mode sets.
async fn run_request(state: Data<State>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let mode = state.mode.lock().clone();
    if mode.shed {
        return HttpResponse::ServiceUnavailable().insert_header(("retry-after", "1")).finish();
    }
    let Ok(slot) = state.slots.acquire().await else {
        return HttpResponse::InternalServerError().finish();
    };
    let key = header(request.headers(), KEY_HEADER);
    let run = count_start(&state, &key);
    let sample = rand::rng().random::<f64>();
    if sample < mode.stall_share {
        stall(&state).await;
    }
    if mode.work_ms > 0 {
        tokio::time::sleep(Duration::from_millis(mode.work_ms)).await;
    }
    drop(slot);
    state.counts.lock().finished += 1;
    let mut answer = if sample > 1.0 - mode.error_share {
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

/// Counts the start of a request; returns how often its key has run, or 1 without a key.
fn count_start(state: &State, key: &str) -> u64 {
    let mut counts = state.counts.lock();
    counts.started += 1;
    if key.is_empty() {
        return 1;
    }
    let runs = counts.by_key.entry(key.to_owned()).or_default();
    *runs += 1;
    *runs
}

/// Blocks a request until the mode stalls no more requests.
async fn stall(state: &State) {
    loop {
        let changed = state.mode_changed.notified();
        if state.mode.lock().stall_share == 0.0 {
            return;
        }
        changed.await;
    }
}

/// Returns the value of a header, or an empty string if it is absent or not text.
fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
