use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use leverstream_error::Kind;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{Ticket, TicketIssuer};

/// Identifies a request: its ticket and the idempotency key that the caller chose under it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKey {
    /// When the ticket was issued.
    pub issued_ms: u64,
    /// The nonce of the ticket.
    pub nonce: u64,
    /// The caller's idempotency key.
    pub key: String,
}

/// An answer stored for duplicates of the same request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Bytes,
}

/// The stored result of a finished request.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredResult {
    /// The complete answer of the backend server.
    Answer(Arc<Reply>),
    /// No complete answer arrived; this is the error.
    Failed(Kind),
    /// The answer arrived but is not stored, to bound memory.
    Dropped,
}

/// What the ledger decides about an arriving request.
pub enum BeginOutcome {
    /// It is the first arrival: the code that called [`Ledger::begin`] runs it and calls [`RunGuard::finish`].
    Run(RunGuard),
    /// It is a duplicate of a request that is running or has run.
    Wait(Waiter),
    /// It must not run, for this reason.
    Refuse(Kind),
}

/// Limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// The most requests that are recorded at once.
    pub max_requests: usize,
    /// The most bytes of stored answers; beyond this the oldest answers are evicted.
    pub max_answer_bytes: usize,
}

/// Records every request begun under a ticket that has not expired.
pub struct Ledger {
    /// The state; one lock makes verifying the ticket and recording its request atomic.
    state: Mutex<State>,
    /// The limits.
    settings: LedgerSettings,
}

/// The recorded requests.
#[derive(Default)]
struct State {
    /// The records by request.
    requests: HashMap<RequestKey, RequestRecord>,
    /// The requests by expiry time, so that expired ones are found without a scan.
    expiries: BTreeMap<u64, Vec<RequestKey>>,
    /// Requests whose answers are stored, oldest first.
    answered: VecDeque<RequestKey>,
    /// The total size of the stored answers.
    answer_bytes: usize,
}

/// The record of one request.
struct RequestRecord {
    /// A hash of method, path and body, which detects a key reused for another request.
    fingerprint: [u8; 32],
    /// The result; none while the request runs.
    result: watch::Sender<Option<StoredResult>>,
}

/// Allows its holder to run one request and obliges it to report the result.
///
/// Dropping it without calling [`finish`](RunGuard::finish) records an unknown outcome, never "not run".
pub struct RunGuard {
    /// The ledger that holds the record.
    ledger: Arc<Ledger>,
    /// The request.
    key: RequestKey,
    /// Delivers the result to waiting duplicates, even after the ticket has expired.
    result: watch::Sender<Option<StoredResult>>,
    /// Whether the result was reported.
    is_finished: bool,
}

/// Waits for the result of a request that another arrival runs.
pub struct Waiter {
    /// Receives the result.
    result: watch::Receiver<Option<StoredResult>>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(settings: LedgerSettings) -> Arc<Ledger> {
        Arc::new(Ledger { state: Mutex::default(), settings })
    }

    /// Begins a request, or finds the record of an earlier arrival.
    ///
    /// `clock` reads the home's monotonic clock. It is called while the ledger's lock is
    /// held. Otherwise a process paused between reading the clock and taking the lock could use an
    /// outdated time, accept an expired ticket, and run a request again whose record was removed
    /// during the pause.
    pub fn begin(
        self: &Arc<Self>,
        issuer: &TicketIssuer,
        ticket: &Ticket,
        key: &str,
        fingerprint: [u8; 32],
        clock: impl FnOnce() -> u64,
    ) -> BeginOutcome {
        let mut state = self.state.lock();
        let now_ms = clock();
        state.remove_expired(now_ms);
        if let Err(error) = issuer.check(ticket, now_ms) {
            return BeginOutcome::Refuse(error.kind());
        }
        let (issued_ms, nonce) = (ticket.stem.issued_ms, ticket.nonce);
        let request_key = RequestKey { issued_ms, nonce, key: key.to_owned() };
        if let Some(record) = state.requests.get(&request_key) {
            if record.fingerprint != fingerprint {
                return BeginOutcome::Refuse(Kind::KeyReused);
            }
            return BeginOutcome::Wait(Waiter { result: record.result.subscribe() });
        }
        if state.requests.len() >= self.settings.max_requests {
            return BeginOutcome::Refuse(Kind::StoreFull);
        }
        state.expiries.entry(issuer.expiry_ms(ticket)).or_default().push(request_key.clone());
        let result = watch::channel(None).0;
        let record = RequestRecord { fingerprint, result: result.clone() };
        state.requests.insert(request_key.clone(), record);
        BeginOutcome::Run(RunGuard {
            ledger: Arc::clone(self),
            key: request_key,
            result,
            is_finished: false,
        })
    }

    /// Removes the records of expired tickets.
    pub fn remove_expired(&self, now_ms: u64) {
        self.state.lock().remove_expired(now_ms);
    }

    /// Returns how many requests are recorded.
    pub fn len(&self) -> usize {
        self.state.lock().requests.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total size of the stored answers.
    pub fn answer_bytes(&self) -> usize {
        self.state.lock().answer_bytes
    }

    /// Stores the result of a request and wakes the duplicates that wait for it.
    fn finish(&self, guard: &RunGuard, stored: StoredResult) {
        let mut state = self.state.lock();
        let key = &guard.key;
        let bytes = stored_bytes(&stored);
        // The lock is held until the key of a request that did not run is free, so that a caller
        // that learns of it can retry with the same key.
        let frees_key = matches!(stored, StoredResult::Failed(kind) if kind.is_not_run());
        guard.result.send_replace(Some(stored));
        if frees_key {
            state.requests.remove(key);
        } else if bytes > 0 && state.requests.contains_key(key) {
            state.answer_bytes += bytes;
            state.answered.push_back(key.clone());
            state.evict_oldest_answers(self.settings.max_answer_bytes);
        }
    }
}

impl RunGuard {
    /// Reports the result of the request.
    ///
    /// After an error whose outcome is "not run", the same key may run again.
    pub fn finish(mut self, stored: StoredResult) {
        self.is_finished = true;
        self.ledger.finish(&self, stored);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.ledger.finish(self, StoredResult::Failed(Kind::AnswerCut));
        }
    }
}

impl Waiter {
    /// Waits until the request has finished and returns its result.
    pub async fn wait(mut self) -> StoredResult {
        match self.result.wait_for(Option::is_some).await {
            Ok(result) => result.clone().unwrap_or(StoredResult::Dropped),
            Err(_) => StoredResult::Failed(Kind::AnswerCut),
        }
    }
}

impl State {
    /// Removes the records of expired tickets; duplicates that wait still receive the result.
    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(expiry) = self.expiries.first_entry() {
            if *expiry.key() > now_ms {
                break;
            }
            for key in expiry.remove() {
                if let Some(record) = self.requests.remove(&key) {
                    self.answer_bytes -= record.result.borrow().as_ref().map_or(0, stored_bytes);
                }
            }
        }
        while self.answered.front().is_some_and(|key| !self.requests.contains_key(key)) {
            self.answered.pop_front();
        }
    }

    /// Evicts the oldest answers until the rest fits; the record that these requests ran stays.
    fn evict_oldest_answers(&mut self, limit_bytes: usize) {
        while self.answer_bytes > limit_bytes {
            let Some(key) = self.answered.pop_front() else { return };
            let Some(record) = self.requests.get(&key) else { continue };
            let bytes = record.result.borrow().as_ref().map_or(0, stored_bytes);
            if bytes > 0 {
                record.result.send_replace(Some(StoredResult::Dropped));
                self.answer_bytes -= bytes;
            }
        }
    }
}

/// The size of a stored answer, in bytes.
fn stored_bytes(stored: &StoredResult) -> usize {
    match stored {
        StoredResult::Answer(reply) => {
            let headers = reply.headers.iter();
            reply.body.len() + headers.map(|(name, value)| name.len() + value.len()).sum::<usize>()
        }
        StoredResult::Failed(_) | StoredResult::Dropped => 0,
    }
}
