//! The callers of a soak. Each sends requests one after the other and checks the answers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use leverstream_platform::headers;
use leverstream_wire::{Answer, Conn, Progress};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::Findings;
use crate::site::{Call, HALL, NON_REPEATABLE, REPEATABLE};

/// The number of callers.
const CALLERS: u64 = 10;

/// How long a caller uses the addresses that a directory gave it.
const ADDRESSES_VALID: Duration = Duration::from_millis(1_500);

/// The result of one request of a caller.
#[derive(Clone, Debug)]
pub struct CallerResult {
    /// The request id.
    pub id: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether it must run at most once.
    pub is_non_repeatable: bool,
    /// The status, if a complete answer arrived.
    pub status: Option<u16>,
}

/// State shared by all callers.
pub(super) struct CallerState {
    /// Whether callers go on sending requests.
    pub is_running: Cell<bool>,
    /// The results of all requests.
    pub results: RefCell<Vec<CallerResult>>,
    /// Descriptions of wrong answers.
    pub wrong_answers: RefCell<Vec<String>>,
}

impl CallerState {
    /// Returns the result of a soak with these callers.
    pub fn findings(&self, violations: Vec<String>, events: Vec<String>) -> Findings {
        let results = self.results.borrow();
        let served = results.iter().filter(|result| result.status == Some(200)).count();
        Findings { violations, served, requests: results.len(), events }
    }
}

/// Running callers.
pub(super) struct Callers {
    /// The state that they share.
    state: Rc<CallerState>,
    /// Their tasks.
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that ask some directories where to connect.
    pub fn start(seed: u64, directories: &Rc<Vec<SocketAddr>>) -> Callers {
        let state = Rc::new(CallerState {
            is_running: Cell::new(true),
            results: RefCell::default(),
            wrong_answers: RefCell::default(),
        });
        let start = |number| {
            let rng = StdRng::seed_from_u64(seed * 1_000 + number);
            actix_rt::spawn(run_caller(Rc::clone(&state), Rc::clone(directories), rng))
        };
        let tasks = (0..CALLERS).map(start).collect();
        Callers { state, tasks }
    }

    /// Stops the callers after their present requests.
    pub async fn stop(self) -> Rc<CallerState> {
        self.state.is_running.set(false);
        for task in self.tasks {
            task.await.expect("a caller ends");
        }
        self.state
    }
}

/// Sends requests one after the other until `is_running` is cleared.
async fn run_caller(state: Rc<CallerState>, directories: Rc<Vec<SocketAddr>>, mut rng: StdRng) {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut resolved_at = Instant::now();
    let mut conn: Option<(SocketAddr, Conn)> = None;
    while state.is_running.get() {
        if addresses.is_empty() || resolved_at.elapsed() > ADDRESSES_VALID {
            let directory = *directories.choose(&mut rng).expect("there are VMs");
            let resolved = crate::site::resolve(directory, HALL).await;
            if !resolved.is_empty() {
                addresses = resolved;
            }
            resolved_at = Instant::now();
            conn = conn.filter(|(address, _)| addresses.contains(address));
        }
        if let Some(address) = addresses.choose(&mut rng).copied() {
            let is_non_repeatable = rng.random_bool(0.6);
            conn = send_request(&state, conn, address, is_non_repeatable).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Sends one request; returns the connection if it can be reused.
async fn send_request(
    state: &CallerState,
    conn: Option<(SocketAddr, Conn)>,
    address: SocketAddr,
    is_non_repeatable: bool,
) -> Option<(SocketAddr, Conn)> {
    let reusable = conn.filter(|(_, conn)| conn.is_clean());
    let (address, mut conn) = match reusable {
        Some(reusable) => reusable,
        None => {
            let connecting =
                tokio::time::timeout(Duration::from_secs(1), Conn::open(address)).await;
            (address, connecting.ok()?.ok()?)
        }
    };
    let call = Call {
        caller_timeout_ms: 1_500,
        ..Call::new(if is_non_repeatable { NON_REPEATABLE } else { REPEATABLE })
    };
    let bytes = call.bytes();
    let sent_at = Instant::now();
    let progress = Progress::default();
    let exchange = conn.exchange(&bytes, false, &progress, |_| true);
    let answer = tokio::time::timeout(Duration::from_millis(2_500), exchange).await;
    let answer = answer.ok().and_then(Result::ok);
    if let Some(answer) = &answer {
        check(state, &call, answer);
    }
    let status = answer.as_ref().map(|answer| answer.status);
    state.results.borrow_mut().push(CallerResult {
        id: call.id,
        sent_at,
        is_non_repeatable,
        status,
    });
    let is_reusable =
        answer.is_some_and(|answer| !answer.closes_connection()) && conn.is_reusable();
    is_reusable.then_some((address, conn))
}

/// Checks that an answer belongs to the request and is complete, and records it otherwise.
fn check(state: &CallerState, call: &Call, answer: &Answer) {
    let stamp = answer.text(headers::INSTANCE_STAMP);
    let id = answer.text(headers::REQUEST_ID);
    let is_own = id.is_none_or(|id| id == call.id);
    let expected_body = format!("{} {}", stamp.unwrap_or_default(), call.id);
    let is_whole = &*answer.body == expected_body.as_bytes() || &*answer.body == b"unframed";
    if !is_own || (answer.status == 200 && (stamp.is_none() || !is_whole)) {
        state.wrong_answers.borrow_mut().push(format!("{} got {answer:?}", call.id));
    }
}
