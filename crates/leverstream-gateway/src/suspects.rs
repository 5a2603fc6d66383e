//! Requests under which backend servers end: what this VM observes, and how VMs share it.
//!
//! A VM reports an end to the others at once. Every packet between VMs carries a fingerprint of the
//! requests with two or more ends; a VM that receives a different fingerprint requests the other's
//! reports. A VM that starts, was partitioned or was suspended is therefore up to date after the
//! first packet it receives, and a lost datagram delays the update only until the next one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
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
use crate::mesh::{Mesh, datagram_chunks};
use crate::meters::Meters;

/// How long reports are batched: callers of the same backend server see it end within milliseconds.
const BATCH_DELAY_MS: u64 = 5;

/// Delays after which a report is sent again in case datagrams are lost: requests with a single end
/// are not part of the fingerprint.
const REPEAT_DELAYS_MS: [u64; 2] = [250, 1_000];

/// How long a VM waits before it compares with any VM again, as the last answer is still in
/// transit.
const COMPARE_PAUSE_MS: u64 = 60;

/// Requests in one datagram; each takes up to 56 bytes.
const REQUESTS_PER_DATAGRAM: usize = 20;

/// The interval between expiry runs.
const EXPIRY_INTERVAL_MS: u64 = 10_000;

/// What this VM knows about requests under which backend servers ended.
pub(crate) struct SuspectTracker {
    /// The recorded ends, by request.
    suspects: RefCell<Suspects>,
    /// Requests whose answers this VM no longer waits for.
    abandoned: RefCell<AbandonedRequests>,
    /// Breaks that may turn out to be ends, by request and backend server.
    unjudged: RefCell<Vec<Break>>,
    /// Computes the digests.
    hasher: RequestHasher,
    /// Reports to send, with the time at which each is due.
    pending_reports: RefCell<Vec<(u64, RequestDigest)>>,
    /// Notified when a report is due at once.
    report_due: Notify,
    /// When this VM last compared with another.
    last_compare_ms: Cell<Option<u64>>,
    /// Changes to make in the store.
    store_changes: RefCell<Vec<(RequestDigest, Keep)>>,
    /// Notified when there are changes to make in the store.
    store_change_queued: Notify,
}

/// A change to make in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keep {
    /// Store the request.
    Hold,
    /// Remove the request.
    Drop,
}

impl SuspectTracker {
    /// Starts with no request known.
    pub fn open(secret: &str) -> SuspectTracker {
        SuspectTracker {
            suspects: RefCell::new(Suspects::open(ENDS_TO_REFUSE)),
            abandoned: RefCell::default(),
            unjudged: RefCell::default(),
            hasher: RequestHasher::derive(secret),
            pending_reports: RefCell::default(),
            report_due: Notify::new(),
            last_compare_ms: Cell::new(None),
            store_changes: RefCell::default(),
            store_change_queued: Notify::new(),
        }
    }

    /// The verdict on a request. Computes no digest while no request is suspect. A request whose
    /// repeats are forbidden is in its last try.
    pub fn verdict(&self, request: &Inbound) -> Verdict {
        let suspects = self.suspects.borrow();
        let unjudged = self.unjudged.borrow();
        let verdict = if suspects.is_empty() && unjudged.is_empty() {
            Verdict::Free
        } else {
            let digest = self.digest(request);
            let breaks = unjudged.iter().filter(|other| other.request == digest);
            with_unjudged(suspects.verdict(digest), breaks)
        };
        if request.is_repeat_forbidden() { verdict.max(Verdict::LastTry) } else { verdict }
    }

    /// Refuses a request that is known to end backend servers.
    pub fn check(&self, request: &Inbound, now_ms: u64) -> Result<(), Kind> {
        if self.verdict(request) != Verdict::Refused {
            return Ok(());
        }
        let digest = self.digest(request);
        if self.suspects.borrow_mut().record_arrival(digest, now_ms) {
            self.schedule_reports(digest, now_ms);
        }
        let id = request.id.as_deref().unwrap_or("-");
        info!(id, %digest, "refused, as backend servers end under it");
        Err(Kind::EndsBackends)
    }

    /// Counts a broken connection as an end at this VM until it is judged. The request must not reach
    /// another backend server meanwhile that it may end, too.
    pub fn await_judgement(self: &Rc<Self>, request: &Inbound, of: &Incarnation) -> Unjudged {
        let (request, at) = (self.digest(request), self.incarnation_digest(of));
        self.unjudged.borrow_mut().push(Break { request, at, is_refusing: false });
        Unjudged { tracker: Rc::clone(self), request, at }
    }

    /// Returns what identifies a request under which a backend server may have ended.
    pub fn ended_request(&self, request: &Inbound) -> EndedRequest {
        let id = request.id.clone().unwrap_or_else(|| "-".to_owned());
        EndedRequest { digest: self.digest(request), id }
    }

    /// Records that a backend server ended while it processed a request.
    pub fn note_end(&self, request: &EndedRequest, of: &Incarnation, now_ms: u64) {
        self.record_end(request.digest, &request.id, of, now_ms);
    }

    /// Records that this VM stopped waiting for the answer to a request sent at `sent_ms`.
    pub fn note_abandoned(&self, request: &Inbound, of: &Incarnation, sent_ms: u64, now_ms: u64) {
        let at = self.incarnation_digest(of);
        if self.abandoned.borrow_mut().record_abandoned(self.digest(request), at, sent_ms, now_ms) {
            self.note_end(&self.ended_request(request), of, now_ms);
        }
    }

    /// Records that the address of a backend server refuses connections.
    pub fn note_refused_connection(&self, of: &Incarnation, now_ms: u64) {
        let abandoned = self.abandoned.borrow_mut().record_end(self.incarnation_digest(of), now_ms);
        abandoned.into_iter().for_each(|digest| self.record_end(digest, "-", of, now_ms));
    }

    /// Tells whether this VM recently saw an incarnation of a backend server end.
    pub fn has_ended(&self, of: &Incarnation) -> bool {
        let digest = self.incarnation_digest(of);
        self.abandoned.borrow().has_ended(digest)
            || self.unjudged.borrow().iter().any(|other| other.at == digest)
    }

    /// Records a healthy answer to a request.
    pub fn note_healthy_answer(&self, request: &Inbound, now_ms: u64) {
        let verdict = self.verdict(request);
        if verdict == Verdict::Free {
            return;
        }
        let digest = self.digest(request);
        let was_refused = verdict == Verdict::Refused;
        if self.suspects.borrow_mut().record_healthy_answer(digest, now_ms) {
            let id = request.id.as_deref().unwrap_or("-");
            info!(id, %digest, was_refused, "cleared by a sound answer");
            self.schedule_reports(digest, now_ms);
            if was_refused {
                self.queue_store_change(digest, Keep::Drop);
            }
        }
    }

    /// Merges the reports read from the store.
    pub fn merge_stored(&self, stored: &[SuspectReport], now_ms: u64) {
        stored.iter().for_each(|report| {
            self.suspects.borrow_mut().merge(report, now_ms);
        });
    }

    /// The report on a refused request, for the store; none if the request is no longer refused.
    pub fn refused_report(&self, digest: RequestDigest, now_ms: u64) -> Option<SuspectReport> {
        let suspects = self.suspects.borrow();
        let is_refused = suspects.verdict(digest) == Verdict::Refused;
        suspects.report(digest, now_ms).filter(|_| is_refused)
    }

    /// The fingerprint that VMs compare.
    pub fn fingerprint(&self) -> u64 {
        self.suspects.borrow().fingerprint()
    }

    /// Compares another VM's fingerprint; if it differs, sends this VM's reports and requests the
    /// other's.
    pub fn compare(
        &self,
        from: SocketAddr,
        theirs: u64,
        mesh: &Mesh,
        meters: &Meters,
        now_ms: u64,
    ) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < COMPARE_PAUSE_MS;
        if theirs == self.fingerprint() || self.last_compare_ms.get().is_some_and(is_recent) {
            return;
        }
        self.last_compare_ms.set(Some(now_ms));
        let known: Vec<SuspectReport> = self.suspects.borrow().compared(now_ms).collect();
        send_reports(&known, theirs != 0, mesh, meters, &[from]);
    }

    /// Merges reports from another VM, and answers if it requests this VM's.
    pub fn receive(
        &self,
        from: SocketAddr,
        message: &peer::Suspects,
        mesh: &Mesh,
        meters: &Meters,
        now_ms: u64,
    ) {
        for request in &message.requests {
            let report = decode(request);
            let before = self.suspects.borrow().verdict(report.digest);
            if self.suspects.borrow_mut().merge(&report, now_ms) {
                let verdict = self.suspects.borrow().verdict(report.digest);
                let (digest, ends) = (report.digest, report.ends.len());
                info!(%digest, %from, ends, ?before, ?verdict, "told of ends under a request");
            }
        }
        if message.asks {
            let known: Vec<SuspectReport> = self.suspects.borrow().compared(now_ms).collect();
            send_reports(&known, false, mesh, meters, &[from]);
        }
        self.update_metrics(meters);
    }

    /// Sends due reports and expires old entries for as long as the process runs.
    pub async fn run(&self, now_ms: impl Fn() -> u64, mesh: &Mesh, meters: &Meters) {
        loop {
            let due_ms = self.pending_reports.borrow().iter().map(|(due_ms, _)| *due_ms).min();
            let wait_ms =
                due_ms.map_or(EXPIRY_INTERVAL_MS, |due_ms| due_ms.saturating_sub(now_ms()));
            let timer = tokio::time::sleep(Duration::from_millis(wait_ms));
            tokio::select! {
                () = self.report_due.notified() => {
                    tokio::time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
                }
                () = timer => {}
            }
            let now_ms = now_ms();
            let due = self.take_due_reports(now_ms);
            send_reports(&due, false, mesh, meters, &mesh.change_receivers());
            let forgotten = self.suspects.borrow_mut().expire(now_ms);
            forgotten.into_iter().for_each(|digest| self.queue_store_change(digest, Keep::Drop));
            self.update_metrics(meters);
        }
    }

    /// Waits until there are changes to make in the store, and takes them.
    pub async fn take_store_changes(&self) -> Vec<(RequestDigest, Keep)> {
        loop {
            let store_changes = std::mem::take(&mut *self.store_changes.borrow_mut());
            if !store_changes.is_empty() {
                return store_changes;
            }
            self.store_change_queued.notified().await;
        }
    }

    /// Records that a backend server ended under a request, and schedules reports of it.
    fn record_end(&self, digest: RequestDigest, id: &str, of: &Incarnation, now_ms: u64) {
        let Incarnation { instance, born_ms } = of;
        let is_news =
            self.suspects.borrow_mut().record_end(digest, self.incarnation_digest(of), now_ms);
        let verdict = self.suspects.borrow().verdict(digest);
        info!(id, %digest, backend = instance, born_ms, is_news, ?verdict, "backend ended under a request");
        if is_news {
            self.schedule_reports(digest, now_ms);
            if verdict == Verdict::Refused {
                self.queue_store_change(digest, Keep::Hold);
            }
        }
    }

    /// Schedules reports on a request: one at once and repeats later.
    fn schedule_reports(&self, digest: RequestDigest, now_ms: u64) {
        let mut pending_reports = self.pending_reports.borrow_mut();
        pending_reports.retain(|(_, other)| *other != digest);
        pending_reports.push((now_ms, digest));
        pending_reports.extend(REPEAT_DELAYS_MS.map(|delay_ms| (now_ms + delay_ms, digest)));
        self.report_due.notify_one();
    }

    /// Queues a change to make in the store.
    fn queue_store_change(&self, digest: RequestDigest, keep: Keep) {
        self.store_changes.borrow_mut().push((digest, keep));
        self.store_change_queued.notify_one();
    }

    /// Takes the reports that are due.
    fn take_due_reports(&self, now_ms: u64) -> Vec<SuspectReport> {
        let mut pending_reports = self.pending_reports.borrow_mut();
        let due = pending_reports.extract_if(.., |(due_ms, _)| *due_ms <= now_ms);
        let digests: Vec<RequestDigest> = due.map(|(_, digest)| digest).collect();
        let suspects = self.suspects.borrow();
        digests.into_iter().filter_map(|digest| suspects.report(digest, now_ms)).collect()
    }

    /// Updates the metrics.
    fn update_metrics(&self, meters: &Meters) {
        let suspects = self.suspects.borrow();
        meters.suspects.set(suspects.len() as i64);
        meters.suspects_refused.set(suspects.refused() as i64);
    }

    /// The digest of a request.
    fn digest(&self, request: &Inbound) -> RequestDigest {
        request.digest(&self.hasher)
    }

    /// The digest of an incarnation of a backend server.
    fn incarnation_digest(&self, of: &Incarnation) -> IncarnationDigest {
        self.hasher.incarnation_digest(&of.instance, of.born_ms)
    }
}

/// What identifies a request under which a backend server may have ended.
pub(crate) struct EndedRequest {
    /// The digest.
    digest: RequestDigest,
    /// The id, for the log.
    id: String,
}

/// A broken connection that may turn out to be an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Break {
    /// The request that was under way.
    request: RequestDigest,
    /// The backend server.
    at: IncarnationDigest,
    /// Whether the address of the backend server refuses connections.
    is_refusing: bool,
}

/// A broken connection that is not judged yet; it counts as an end until this is dropped.
pub(crate) struct Unjudged {
    /// The tracker.
    tracker: Rc<SuspectTracker>,
    /// The request that was under way.
    request: RequestDigest,
    /// The backend server.
    at: IncarnationDigest,
}

impl Unjudged {
    /// Notes that the address of the backend server refuses connections.
    pub fn note_refusing(&self) {
        let mut unjudged = self.tracker.unjudged.borrow_mut();
        if let Some(index) = self.index(&unjudged) {
            unjudged[index].is_refusing = true;
        }
    }

    /// Returns the index of its entry.
    fn index(&self, unjudged: &[Break]) -> Option<usize> {
        unjudged.iter().position(|other| other.request == self.request && other.at == self.at)
    }
}

impl Drop for Unjudged {
    fn drop(&mut self) {
        let mut unjudged = self.tracker.unjudged.borrow_mut();
        if let Some(index) = self.index(&unjudged) {
            unjudged.swap_remove(index);
        }
    }
}

/// Returns a verdict with further breaks. Alone they refuse no request; after two ends, a third whose address refuses
/// connections does.
fn with_unjudged<'a>(verdict: Verdict, breaks: impl Iterator<Item = &'a Break>) -> Verdict {
    let (mut count, mut is_refusing) = (0, false);
    for unjudged in breaks {
        count += 1;
        is_refusing |= unjudged.is_refusing;
    }
    match (verdict, count) {
        (Verdict::LastTry, 1..) if is_refusing => Verdict::Refused,
        (Verdict::Free, 1) => Verdict::Suspect,
        (Verdict::Free | Verdict::Suspect, 1..) => Verdict::LastTry,
        (known, _) => known,
    }
}

/// Sends reports to some VMs; with `asks` it requests theirs.
fn send_reports(
    known: &[SuspectReport],
    asks: bool,
    mesh: &Mesh,
    meters: &Meters,
    to: &[SocketAddr],
) {
    for (chunk, asks) in datagram_chunks(known, asks, REQUESTS_PER_DATAGRAM) {
        let requests = chunk.iter().map(encode).collect();
        let body = Some(Body::Suspects(peer::Suspects { requests, asks }));
        mesh.send(meters, &Packet { body, ..Packet::default() }, to);
    }
}

/// Encodes a report for a datagram.
fn encode(report: &SuspectReport) -> SuspectRequest {
    SuspectRequest {
        high: (report.digest.0 >> 64) as u64,
        low: report.digest.0 as u64,
        cleared: report.cleared,
        ends: report.ends.iter().map(|end| end.0).collect(),
        age_s: (report.age_ms / 1_000) as u32,
    }
}

/// Decodes a report from a datagram.
fn decode(request: &SuspectRequest) -> SuspectReport {
    SuspectReport {
        digest: RequestDigest(u128::from(request.high) << 64 | u128::from(request.low)),
        cleared: request.cleared,
        ends: request.ends.iter().map(|end| IncarnationDigest(*end)).collect(),
        age_ms: u64::from(request.age_s) * 1_000,
    }
}
