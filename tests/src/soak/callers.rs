//! The callers of a soak: each makes requests one after the other and checks what it gets.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_wire::{Answer, Conn, Progress};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::site::{Call, HALL, ONCE, SAFE};

/// How long a caller keeps an answer to where to connect.
const ANSWER_HOLDS: Duration = Duration::from_millis(1_500);

/// What a caller got for one request.
#[derive(Clone, Debug)]
pub struct Got {
    /// The request's id.
    pub id: String,
    /// When it was sent.
    pub sent: Instant,
    /// Whether it may run once only.
    pub is_once: bool,
    /// The status, if an answer came.
    pub status: Option<u16>,
}

/// What callers share.
pub(super) struct Calls {
    /// Whether callers go on.
    pub goes_on: Cell<bool>,
    /// What they got.
    pub got: RefCell<Vec<Got>>,
    /// Answers that were wrong.
    pub wrong: RefCell<Vec<String>>,
}

/// Makes requests one after the other until it is told to end.
pub(super) async fn call(calls: Rc<Calls>, directories: Rc<Vec<SocketAddr>>, mut rng: StdRng) {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut asked = Instant::now();
    let mut conn: Option<(SocketAddr, Conn)> = None;
    while calls.goes_on.get() {
        if addresses.is_empty() || asked.elapsed() > ANSWER_HOLDS {
            let directory = *directories.choose(&mut rng).expect("there are VMs");
            let fresh = crate::site::resolve(directory, HALL).await;
            if !fresh.is_empty() {
                addresses = fresh;
            }
            asked = Instant::now();
            conn = conn.filter(|(address, _)| addresses.contains(address));
        }
        if let Some(address) = addresses.choose(&mut rng).copied() {
            let is_once = rng.random_bool(0.6);
            conn = one_call(&calls, conn, address, is_once).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Makes one request; gives the connection back if it may be used again.
async fn one_call(
    calls: &Calls,
    conn: Option<(SocketAddr, Conn)>,
    address: SocketAddr,
    is_once: bool,
) -> Option<(SocketAddr, Conn)> {
    let kept = conn.filter(|(_, conn)| conn.is_clean());
    let (address, mut conn) = match kept {
        Some(kept) => kept,
        None => {
            let opening = tokio::time::timeout(Duration::from_secs(1), Conn::open(address)).await;
            (address, opening.ok()?.ok()?)
        }
    };
    let call = Call { patience_ms: 1_500, ..Call::new(if is_once { ONCE } else { SAFE }) };
    let bytes = call.bytes();
    let sent = Instant::now();
    let progress = Progress::default();
    let exchange = conn.exchange(&bytes, false, &progress, |_| true);
    let answer = tokio::time::timeout(Duration::from_millis(2_500), exchange).await;
    let answer = answer.ok().and_then(Result::ok);
    if let Some(answer) = &answer {
        check(calls, &call, answer);
    }
    let status = answer.as_ref().map(|answer| answer.status);
    calls.got.borrow_mut().push(Got { id: call.id, sent, is_once, status });
    let may_stay = answer.is_some_and(|answer| !answer.closes_connection()) && conn.is_reusable();
    may_stay.then_some((address, conn))
}

/// Checks that an answer is the request's own and whole.
fn check(calls: &Calls, call: &Call, answer: &Answer) {
    let stamp = answer.text(headers::INSTANCE_STAMP);
    let id = answer.text(headers::REQUEST_ID);
    let is_own = id.is_none_or(|id| id == call.id);
    let whole = format!("{} {}", stamp.unwrap_or_default(), call.id);
    let is_whole = &*answer.body == whole.as_bytes() || &*answer.body == b"unframed";
    if !is_own || (answer.status == 200 && (stamp.is_none() || !is_whole)) {
        calls.wrong.borrow_mut().push(format!("{} got {answer:?}", call.id));
    }
}
