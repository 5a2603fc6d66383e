use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use leverstream_error::Kind;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{Ticket, TicketIssuer};

/// One piece of work: a ticket and the caller's key under it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// When the ticket was made.
    pub minted_ms: u64,
    /// The ticket's nonce.
    pub nonce: u64,
    /// The caller's key.
    pub key: String,
}

/// An answer as it is kept for later arrivals of the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Bytes,
}

/// What is kept of work that has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredResult {
    /// The backend server's whole answer.
    Answer(Arc<Reply>),
    /// No whole answer came, and this kind says so.
    Failed(Kind),
    /// The answer came but was dropped for want of memory.
    Dropped,
}

/// What an arrival finds.
pub enum BeginOutcome {
    /// It is the first: the caller of [`Ledger::begin`] runs the work and calls [`RunGuard::finish`].
    Run(RunGuard),
    /// The work runs or ran already.
    Wait(Waiter),
    /// It must not run, for this reason.
    Refuse(Kind),
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerSettings {
    /// The most pieces of work that are known at once.
    pub max_requests: usize,
    /// The most bytes of answers that are kept; beyond it the oldest answers are dropped.
    pub max_answer_bytes: usize,
}

/// Knows every piece of work begun under a ticket that still holds.
pub struct Ledger {
    /// The state; one lock makes the check of a ticket and the entry of its work one step.
    state: Mutex<State>,
    /// The bounds.
    settings: LedgerSettings,
}

/// The work that a ledger knows.
#[derive(Default)]
struct State {
    /// The work by its key.
    works: HashMap<RunKey, Work>,
    /// The keys by expiry, so that the expired are found without a scan.
    expiries: BTreeMap<u64, Vec<RunKey>>,
    /// Keys whose answers are kept, oldest first.
    answered: VecDeque<RunKey>,
    /// The bytes of the answers kept.
    answer_bytes: usize,
}

/// One piece of work.
struct Work {
    /// The fingerprint of method, path and body.
    fingerprint: [u8; 32],
    /// What it came to; none while it runs.
    result: watch::Sender<Option<StoredResult>>,
}

/// The right and duty to run one piece of work.
///
/// Dropping it without [`finish`](RunGuard::finish) counts as an unknown end, never as one that did not run.
pub struct RunGuard {
    /// The ledger that knows the work.
    ledger: Arc<Ledger>,
    /// The work.
    key: RunKey,
    /// Where waiting arrivals hear of the end, even once the ticket has expired.
    result: watch::Sender<Option<StoredResult>>,
    /// Whether the end was told.
    ended: bool,
}

/// Waits for work that another arrival runs.
pub struct Waiter {
    /// Where the result arrives.
    result: watch::Receiver<Option<StoredResult>>,
}

impl Ledger {
    /// Opens an empty ledger.
    pub fn new(settings: LedgerSettings) -> Arc<Ledger> {
        Arc::new(Ledger { state: Mutex::default(), settings })
    }

    /// Begins a piece of work, or finds the one that has begun before.
    ///
    /// `clock` reads the home's monotonic clock. It is called under the ledger's lock: a process
    /// paused between reading the clock and entering the work could otherwise miss that the same
    /// work ran, ended and was removed meanwhile.
    pub fn begin(
        self: &Arc<Self>,
        mint: &TicketIssuer,
        ticket: &Ticket,
        key: &str,
        fingerprint: [u8; 32],
        clock: impl FnOnce() -> u64,
    ) -> BeginOutcome {
        let mut state = self.state.lock();
        let now_ms = clock();
        state.remove_expired(now_ms);
        if let Err(refusal) = mint.check(ticket, now_ms) {
            return BeginOutcome::Refuse(refusal.kind());
        }
        let (minted_ms, nonce) = (ticket.stem.minted_ms, ticket.nonce);
        let run_key = RunKey { minted_ms, nonce, key: key.to_owned() };
        if let Some(work) = state.works.get(&run_key) {
            if work.fingerprint != fingerprint {
                return BeginOutcome::Refuse(Kind::KeyReused);
            }
            return BeginOutcome::Wait(Waiter { result: work.result.subscribe() });
        }
        if state.works.len() >= self.settings.max_requests {
            return BeginOutcome::Refuse(Kind::StoreFull);
        }
        state.expiries.entry(mint.expiry_ms(ticket)).or_default().push(run_key.clone());
        let result = watch::channel(None).0;
        let work = Work { fingerprint, result: result.clone() };
        state.works.insert(run_key.clone(), work);
        BeginOutcome::Run(RunGuard { ledger: Arc::clone(self), key: run_key, result, ended: false })
    }

    /// Removes the work of expired tickets.
    pub fn remove_expired(&self, now_ms: u64) {
        self.state.lock().remove_expired(now_ms);
    }

    /// Returns how many pieces of work are known.
    pub fn len(&self) -> usize {
        self.state.lock().works.len()
    }

    /// Tells whether no work is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes of the answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.state.lock().answer_bytes
    }

    /// Notes the end of a piece of work and wakes who waits for it.
    fn finish(&self, guard: &RunGuard, kept: StoredResult) {
        let mut state = self.state.lock();
        let key = &guard.key;
        let bytes = size(&kept);
        // Work that did not run frees its key before anyone is told so.
        let frees_key = matches!(kept, StoredResult::Failed(kind) if kind.is_not_run());
        guard.result.send_replace(Some(kept));
        if frees_key {
            state.works.remove(key);
        } else if bytes > 0 && state.works.contains_key(key) {
            state.answer_bytes += bytes;
            state.answered.push_back(key.clone());
            state.spill(self.settings.max_answer_bytes);
        }
    }
}

impl RunGuard {
    /// Tells what the work came to.
    ///
    /// After a kind that says "not run" the same key may run again.
    pub fn finish(mut self, kept: StoredResult) {
        self.ended = true;
        self.ledger.finish(&self, kept);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.ledger.finish(self, StoredResult::Failed(Kind::AnswerCut));
        }
    }
}

impl Waiter {
    /// Waits for the result.
    pub async fn wait(mut self) -> StoredResult {
        match self.result.wait_for(Option::is_some).await {
            Ok(result) => result.clone().unwrap_or(StoredResult::Dropped),
            Err(_) => StoredResult::Failed(Kind::AnswerCut),
        }
    }
}

impl State {
    /// Removes the work of tickets that expired; whoever waits for it still hears of its end.
    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(expiry) = self.expiries.first_entry() {
            if *expiry.key() > now_ms {
                break;
            }
            for key in expiry.remove() {
                if let Some(work) = self.works.remove(&key) {
                    self.answer_bytes -= work.result.borrow().as_ref().map_or(0, size);
                }
            }
        }
        while self.answered.front().is_some_and(|key| !self.works.contains_key(key)) {
            self.answered.pop_front();
        }
    }

    /// Drops the oldest answers until the rest fits; that they ran stays known.
    fn spill(&mut self, limit_bytes: usize) {
        while self.answer_bytes > limit_bytes {
            let Some(key) = self.answered.pop_front() else { return };
            let Some(work) = self.works.get(&key) else { continue };
            let bytes = work.result.borrow().as_ref().map_or(0, size);
            if bytes > 0 {
                work.result.send_replace(Some(StoredResult::Dropped));
                self.answer_bytes -= bytes;
            }
        }
    }
}

/// The bytes that a kept answer takes.
fn size(kept: &StoredResult) -> usize {
    match kept {
        StoredResult::Answer(reply) => {
            let headers = reply.headers.iter();
            reply.body.len() + headers.map(|(name, value)| name.len() + value.len()).sum::<usize>()
        }
        StoredResult::Failed(_) | StoredResult::Dropped => 0,
    }
}
