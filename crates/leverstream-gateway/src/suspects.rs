//! Requests under which backend servers end: what this VM sees of them, and what VMs tell each other.
//!
//! An end is told at once to all VMs. Of a request under which two or more have ended, every packet between VMs carries a
//! fingerprint; who hears another one asks. So a VM that starts, was cut off or stood still knows with the first packet,
//! and lost datagrams cost the time to the next one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use leverstream_catalog::Incarnation;
use leverstream_error::Kind;
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, Packet, SuspectRequest};
use leverstream_suspect::{
    AbandonedRequests, ENDS_TO_REFUSE, IncarnationDigest, RequestDigest, RequestHasher,
    SuspectReport, Suspects, Verdict,
};
use tokio::sync::Notify;
use tracing::info;

use crate::inbound::Inbound;
use crate::mesh::{Mesh, parts};
use crate::meters::Meters;

/// How long ends gather before VMs are told: those who were at the same backend server see it end within milliseconds.
const GATHER_MS: u64 = 5;

/// After how long what was told is told again, against lost datagrams: VMs do not compare what has one end.
const AGAIN_MS: [u64; 2] = [250, 1_000];

/// How long a VM waits before it asks anyone again: the answer to the last question is on its way.
const ASK_PAUSE_MS: u64 = 60;

/// How many requests one datagram tells of; each takes up to 56 bytes.
const REQUESTS_A_DATAGRAM: usize = 20;

/// How often it is looked whether anything can be forgotten.
const SWEEP_MS: u64 = 10_000;

/// What this VM knows of requests under which backend servers end.
pub(crate) struct Suspicions {
    /// What is held against which request.
    suspects: RefCell<Suspects>,
    /// Requests whose answers are no longer waited for.
    left: RefCell<AbandonedRequests>,
    /// Makes the digests.
    hasher: RequestHasher,
    /// What others are to be told, and when.
    untold: RefCell<Vec<(u64, RequestDigest)>>,
    /// Told when others should hear of something at once.
    news: Notify,
    /// When this VM last asked another.
    asked_ms: Cell<Option<u64>>,
    /// What the store is to hold, or no longer.
    unkept: RefCell<Vec<(RequestDigest, Keep)>>,
    /// Told when there is something for the store.
    for_store: Notify,
}

/// What the store is to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keep {
    /// Hold it.
    Hold,
    /// Hold it no longer.
    Drop,
}

impl Suspicions {
    /// Starts with nothing known.
    pub fn open(secret: &str) -> Suspicions {
        Suspicions {
            suspects: RefCell::new(Suspects::open(ENDS_TO_REFUSE)),
            left: RefCell::default(),
            hasher: RequestHasher::derive(secret),
            untold: RefCell::default(),
            news: Notify::new(),
            asked_ms: Cell::new(None),
            unkept: RefCell::default(),
            for_store: Notify::new(),
        }
    }

    /// What may be done with a request. While nothing is held against any, that costs nothing.
    pub fn verdict(&self, request: &Inbound) -> Verdict {
        let suspects = self.suspects.borrow();
        if suspects.is_empty() { Verdict::Free } else { suspects.verdict(self.digest(request)) }
    }

    /// Refuses a request that is known to end backend servers.
    pub fn check(&self, request: &Inbound, now_ms: u64) -> Result<(), Kind> {
        if self.verdict(request) != Verdict::Refused {
            return Ok(());
        }
        let digest = self.digest(request);
        if self.suspects.borrow_mut().record_arrival(digest, now_ms) {
            self.tell_of(digest, now_ms);
        }
        let id = request.id.as_deref().unwrap_or("-");
        info!(id, %digest, "refused, as backend servers end under it");
        Err(Kind::EndsBackends)
    }

    /// Notes that a backend server ended while it had a request.
    pub fn note_end(&self, request: &Inbound, of: &Incarnation, now_ms: u64) {
        let id = request.id.as_deref().unwrap_or("-");
        self.end(self.digest(request), id, of, now_ms);
    }

    /// Notes that the answer to a request that was sent at `sent_ms` is no longer waited for.
    pub fn note_left(&self, request: &Inbound, of: &Incarnation, sent_ms: u64, now_ms: u64) {
        let at = self.end_digest(of);
        if self.left.borrow_mut().record_abandoned(self.digest(request), at, sent_ms, now_ms) {
            self.note_end(request, of, now_ms);
        }
    }

    /// Notes that nothing listens any more at the address of a backend server.
    pub fn note_refused(&self, of: &Incarnation, now_ms: u64) {
        let left = self.left.borrow_mut().record_end(self.end_digest(of), now_ms);
        left.into_iter().for_each(|digest| self.end(digest, "-", of, now_ms));
    }

    /// Tells whether this VM saw a backend server end a short while ago.
    pub fn has_ended(&self, of: &Incarnation) -> bool {
        self.left.borrow().has_ended(self.end_digest(of))
    }

    /// Notes that a request was answered soundly.
    pub fn note_sound(&self, request: &Inbound, now_ms: u64) {
        let verdict = self.verdict(request);
        if verdict == Verdict::Free {
            return;
        }
        let digest = self.digest(request);
        let was_refused = verdict == Verdict::Refused;
        if self.suspects.borrow_mut().record_healthy_answer(digest, now_ms) {
            let id = request.id.as_deref().unwrap_or("-");
            info!(id, %digest, was_refused, "cleared by a sound answer");
            self.tell_of(digest, now_ms);
            if was_refused {
                self.keep(digest, Keep::Drop);
            }
        }
    }

    /// Takes in what the store holds.
    pub fn take_kept(&self, kept: &[SuspectReport], now_ms: u64) {
        kept.iter().for_each(|told| {
            self.suspects.borrow_mut().merge(told, now_ms);
        });
    }

    /// What is known of a request, for the store; none if it is refused no longer.
    pub fn refused(&self, digest: RequestDigest, now_ms: u64) -> Option<SuspectReport> {
        let suspects = self.suspects.borrow();
        let is_refused = suspects.verdict(digest) == Verdict::Refused;
        suspects.report(digest, now_ms).filter(|_| is_refused)
    }

    /// A digest of what VMs compare.
    pub fn fingerprint(&self) -> u64 {
        self.suspects.borrow().fingerprint()
    }

    /// Takes in how another VM's knowledge compares: tells it what it lacks, and asks for what it has.
    pub fn compare(
        &self,
        from: SocketAddr,
        theirs: u64,
        mesh: &Mesh,
        meters: &Meters,
        now_ms: u64,
    ) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < ASK_PAUSE_MS;
        if theirs == self.fingerprint() || self.asked_ms.get().is_some_and(is_recent) {
            return;
        }
        self.asked_ms.set(Some(now_ms));
        let known: Vec<SuspectReport> = self.suspects.borrow().compared(now_ms).collect();
        say(&known, theirs != 0, mesh, meters, &[from]);
    }

    /// Takes in what another VM tells, and answers its question.
    pub fn hear(
        &self,
        from: SocketAddr,
        said: &peer::Suspects,
        mesh: &Mesh,
        meters: &Meters,
        now_ms: u64,
    ) {
        for request in &said.requests {
            let told = decode(request);
            let before = self.suspects.borrow().verdict(told.digest);
            if self.suspects.borrow_mut().merge(&told, now_ms) {
                let verdict = self.suspects.borrow().verdict(told.digest);
                let (digest, ends) = (told.digest, told.ends.len());
                info!(%digest, %from, ends, ?before, ?verdict, "told of ends under a request");
            }
        }
        if said.asks {
            let known: Vec<SuspectReport> = self.suspects.borrow().compared(now_ms).collect();
            say(&known, false, mesh, meters, &[from]);
        }
        self.count(meters);
    }

    /// Tells others what happens, and forgets what is old, for as long as the process runs.
    pub async fn run(&self, now_ms: impl Fn() -> u64, mesh: &Mesh, meters: &Meters) {
        loop {
            let due_ms = self.untold.borrow().iter().map(|(due_ms, _)| *due_ms).min();
            let wait_ms = due_ms.map_or(SWEEP_MS, |due_ms| due_ms.saturating_sub(now_ms()));
            let wait = tokio::time::sleep(Duration::from_millis(wait_ms));
            tokio::select! {
                () = self.news.notified() => {
                    tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
                }
                () = wait => {}
            }
            let now_ms = now_ms();
            let due = self.take_due(now_ms);
            say(&due, false, mesh, meters, &mesh.told_at_once());
            let forgotten = self.suspects.borrow_mut().expire(now_ms);
            forgotten.into_iter().for_each(|digest| self.keep(digest, Keep::Drop));
            self.count(meters);
        }
    }

    /// Waits until there is something for the store, and takes it.
    pub async fn for_store(&self) -> Vec<(RequestDigest, Keep)> {
        loop {
            let unkept = std::mem::take(&mut *self.unkept.borrow_mut());
            if !unkept.is_empty() {
                return unkept;
            }
            self.for_store.notified().await;
        }
    }

    /// Takes an end in and has it told.
    fn end(&self, digest: RequestDigest, id: &str, of: &Incarnation, now_ms: u64) {
        let Incarnation { instance, born_ms } = of;
        let is_news = self.suspects.borrow_mut().record_end(digest, self.end_digest(of), now_ms);
        let verdict = self.suspects.borrow().verdict(digest);
        info!(id, %digest, backend = instance, born_ms, is_news, ?verdict, "backend ended under a request");
        if is_news {
            self.tell_of(digest, now_ms);
            if verdict == Verdict::Refused {
                self.keep(digest, Keep::Hold);
            }
        }
    }

    /// Has others told of a request, at once and again.
    fn tell_of(&self, digest: RequestDigest, now_ms: u64) {
        let mut untold = self.untold.borrow_mut();
        untold.retain(|(_, other)| *other != digest);
        untold.push((now_ms, digest));
        untold.extend(AGAIN_MS.map(|again_ms| (now_ms + again_ms, digest)));
        self.news.notify_one();
    }

    /// Has the store hold a request, or hold it no longer.
    fn keep(&self, digest: RequestDigest, keep: Keep) {
        self.unkept.borrow_mut().push((digest, keep));
        self.for_store.notify_one();
    }

    /// Takes what others are to be told by now.
    fn take_due(&self, now_ms: u64) -> Vec<SuspectReport> {
        let mut untold = self.untold.borrow_mut();
        let due = untold.extract_if(.., |(due_ms, _)| *due_ms <= now_ms);
        let digests: Vec<RequestDigest> = due.map(|(_, digest)| digest).collect();
        let suspects = self.suspects.borrow();
        digests.into_iter().filter_map(|digest| suspects.report(digest, now_ms)).collect()
    }

    /// Shows how many requests something is held against.
    fn count(&self, meters: &Meters) {
        let suspects = self.suspects.borrow();
        meters.suspects.set(suspects.len() as i64);
        meters.suspects_refused.set(suspects.refused() as i64);
    }

    /// The digest of a request.
    fn digest(&self, request: &Inbound) -> RequestDigest {
        request.digest(&self.hasher)
    }

    /// The digest of a start of a backend server.
    fn end_digest(&self, of: &Incarnation) -> IncarnationDigest {
        self.hasher.incarnation_digest(&of.instance, of.born_ms)
    }
}

/// Tells some VMs of requests, and asks them for theirs.
fn say(known: &[SuspectReport], asks: bool, mesh: &Mesh, meters: &Meters, to: &[SocketAddr]) {
    for (part, asks) in parts(known, asks, REQUESTS_A_DATAGRAM) {
        let requests = part.iter().map(encode).collect();
        let body = Some(Body::Suspects(peer::Suspects { requests, asks }));
        mesh.send(meters, &Packet { body, ..Packet::default() }, to);
    }
}

/// What another VM is told of a request.
fn encode(told: &SuspectReport) -> SuspectRequest {
    SuspectRequest {
        high: (told.digest.0 >> 64) as u64,
        low: told.digest.0 as u64,
        cleared: told.cleared,
        ends: told.ends.iter().map(|end| end.0).collect(),
        age_s: (told.age_ms / 1_000) as u32,
    }
}

/// What another VM has told of a request.
fn decode(request: &SuspectRequest) -> SuspectReport {
    SuspectReport {
        digest: RequestDigest(u128::from(request.high) << 64 | u128::from(request.low)),
        cleared: request.cleared,
        ends: request.ends.iter().map(|end| IncarnationDigest(*end)).collect(),
        age_ms: u64::from(request.age_s) * 1_000,
    }
}
