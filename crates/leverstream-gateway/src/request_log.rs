//! The log line of each request.

use std::net::SocketAddr;
use std::rc::Rc;

use leverstream_admission::RefusedBy;
use leverstream_route::Claim;
use tracing::info;

use crate::connections::{CutCause, WriteEnd};
use crate::gateway::Inner;
use crate::sends::Sends;

/// The outcome of a request that a backend server answered.
pub(crate) const ANSWERED: &str = "answered";

/// The outcome of a request that ended before its answer was ready.
const UNANSWERED: &str = "unanswered";

/// The fields of the log line that a request writes at its end.
#[derive(Default)]
pub(crate) struct RequestLog {
    /// The request id that the caller chose.
    pub id: String,
    /// The route.
    pub route: String,
    /// The service.
    pub service: String,
    /// The version of the configuration that was applied.
    pub version: u64,
    /// The workspace.
    pub workspace: String,
    /// The sends to backend servers.
    pub sends: Sends,
    /// The VM that the request was last passed on to.
    pub relayed_to: Option<SocketAddr>,
    /// Whether another VM has passed the request on to this one.
    pub is_relayed: bool,
}

/// An answer that is ready to be written.
pub(crate) struct ReadyAnswer {
    /// Its status; 0 if the request ended before there was an answer.
    pub status: u16,
    /// What it is: the answer of a backend server, or a kind of error.
    pub outcome: String,
    /// The time from the arrival of the request until the answer was ready.
    pub took_ms: u64,
    /// The length of its body.
    pub body_bytes: u64,
}

/// The log of a request whose answer is not ready. If it is dropped, the request has ended without one: its caller is gone
/// or the process leaves.
pub(crate) struct OpenLog {
    /// The state of this gateway VM.
    inner: Rc<Inner>,
    /// When the request arrived.
    arrived_ms: u64,
    /// The fields of its line.
    pub log: RequestLog,
    /// Whether the answer is ready.
    is_finished: bool,
}

impl OpenLog {
    /// Starts the log of a request, which counts as in flight until its answer is ready.
    pub fn begin(inner: &Rc<Inner>, arrived_ms: u64) -> OpenLog {
        inner.in_flight.set(inner.in_flight.get() + 1);
        let (inner, log) = (Rc::clone(inner), RequestLog::default());
        OpenLog { inner, arrived_ms, log, is_finished: false }
    }

    /// Ends the log of a request whose answer is ready, and returns its fields.
    pub fn finish(mut self) -> RequestLog {
        self.is_finished = true;
        std::mem::take(&mut self.log)
    }
}

impl Drop for OpenLog {
    fn drop(&mut self) {
        let inner = &self.inner;
        inner.in_flight.set(inner.in_flight.get().saturating_sub(1));
        if self.is_finished {
            return;
        }
        let no_answer = ReadyAnswer {
            status: 0,
            outcome: UNANSWERED.to_owned(),
            took_ms: inner.now_ms().saturating_sub(self.arrived_ms),
            body_bytes: 0,
        };
        let cut = Some(inner.connections.cut_cause());
        self.log.log(inner, &no_answer, WriteEnd { cut, written_bytes: 0 });
    }
}

impl RequestLog {
    /// Writes the log line of a request whose answer was written or cut.
    pub fn log(&self, inner: &Inner, answer: &ReadyAnswer, end: WriteEnd) {
        let RequestLog { id, route, service, version, workspace, sends, .. } = self;
        let ReadyAnswer { status, outcome, took_ms, body_bytes } = answer;
        let relayed_to = self.relayed_to.map(|address| address.to_string());
        let store_age_ms = inner.freshness.borrow().age_ms(inner.now_ms());
        let keys_age_ms = inner.leases.age_ms(inner.now_ms());
        let (count, waited_ms) = (sends.count.get(), sends.waited_ms.get());
        let backend = &*sends.backend.borrow();
        let rank = sends.rank.get();
        let refused_by = sends.refused_by.get().map_or("", RefusedBy::name);
        let sharers = inner.mesh.entry_set.count();
        let backends_revision = inner.fleet.borrow().revision();
        let pick = sends.pick.get();
        let (load, slots) = pick.map_or((0, 0), |pick| (pick.choice.load, pick.choice.slots));
        let failure_chance = pick.map_or(0.0, |pick| pick.failure_chance());
        let among = pick.map_or(0, |pick| pick.among);
        let avoided = pick.map_or(0, |pick| pick.avoided);
        let is_owed = pick.is_some_and(|pick| pick.choice.claim == Claim::Required);
        let is_far = pick.is_some_and(|pick| pick.choice.is_far());
        let cut = end.cut.inspect(|cause| inner.meters.note_cut(*cause));
        info!(
            id,
            route,
            service,
            version,
            workspace,
            rank,
            refused_by,
            store_age_ms,
            keys_age_ms,
            backends_revision,
            sends = count,
            waited_ms,
            backend,
            load,
            slots,
            failure_chance,
            among,
            avoided,
            is_owed,
            is_far,
            status,
            outcome,
            took_ms,
            sharers,
            relayed_to,
            is_relayed = self.is_relayed.then_some(true),
            cut = cut.map(CutCause::name),
            waits_for = cut.map(|_| self.waits_for(outcome)),
            body_bytes = cut.map(|_| body_bytes),
            written_bytes = cut.map(|_| end.written_bytes),
            "request"
        );
    }

    /// Returns what a request that was cut waited for.
    fn waits_for(&self, outcome: &str) -> &'static str {
        if outcome != UNANSWERED {
            "caller"
        } else if self.relayed_to.is_some() {
            "vm"
        } else if !self.sends.sends_in_flight.borrow().is_empty() {
            "backend"
        } else if self.sends.asked.get() > 0 {
            "slot"
        } else if !self.route.is_empty() {
            "admission"
        } else {
            "body"
        }
    }
}
