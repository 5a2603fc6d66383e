//! Passes requests on to VMs that reach backend servers, while this VM's own links are lost.
//!
//! The request goes to the other VM's listener for callers, with a sealed header field that shows
//! that a VM of the fleet sends it. A VM that gets such a request never passes it on.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use leverstream_core::{AnswerVerdict, RelayTarget};
use leverstream_error::{KIND_HEADER, Kind};
use leverstream_peer::packet::Body;
use leverstream_peer::{FleetKey, Packet, RelayedRequest};
use leverstream_platform::headers;
use leverstream_wire::{Answer, Conn, Message, Progress, WireError};
use tracing::info;

use crate::connect::connect_to_vm;
use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::meters::CrossHallCause;
use crate::verdict::{JudgedAnswer, judge};

/// The header field that carries the sealed [`RelayedRequest`].
pub(crate) const RELAYED_HEADER: &str = "leverstream-relayed";

/// The number of VMs that a request is passed on to at most, one after the other.
const MAX_VMS: usize = 3;

/// The errors with which another VM says that it cannot serve any request now; a third VM may.
const UNABLE: [Kind; 6] = [
    Kind::RelayLoop,
    Kind::Stopping,
    Kind::NoCatalog,
    Kind::NoBackend,
    Kind::ConnectFailed,
    Kind::KeysUnsure,
];

/// How a request is passed on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayPlan<'a> {
    /// The service.
    pub service: &'a str,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// The time by which it must be answered.
    pub deadline_ms: u64,
    /// The number of backend servers that may have run it.
    pub ran: u32,
    /// Whether this VM has counted it, for its workspace and its service.
    pub is_counted: bool,
}

/// The result of passing a request on to one VM.
enum RelayResult {
    /// The VM answered.
    Answered(Answer),
    /// No connection to the VM could be opened in time.
    NotSent,
    /// The VM did not run the request and cannot.
    NotRun(Kind),
    /// The request may have run.
    MayHaveRun(Kind),
}

/// Passes a request on to VMs that reach its backend servers until one gives a final answer.
///
/// A request of which a run is possible goes to another VM only if it may run again; that VM then
/// takes the repeat from the retry budget.
pub(crate) async fn pass_on(
    inner: &Inner,
    request: &Inbound,
    plan: RelayPlan<'_>,
    relayed_to: &mut Option<SocketAddr>,
) -> Result<Answer, Kind> {
    let RelayPlan { service, deadline_ms, mut ran, mut is_counted, .. } = plan;
    let mut tried = Vec::new();
    let mut failed = if ran > 0 { Kind::AnswerCut } else { Kind::ConnectFailed };
    while tried.len() < MAX_VMS && inner.now_ms() < deadline_ms {
        let to = inner.links.links.borrow().choose_helper(service, &tried, inner.now_ms());
        let Some(to) = to else { break };
        tried.push(to.address);
        *relayed_to = Some(to.address);
        let result = send(inner, request, RelayPlan { ran, is_counted, ..plan }, to).await;
        let kind = match result {
            RelayResult::Answered(answer) => {
                let has_id = request.id.is_some();
                let earlier = (ran > 0).then_some(failed);
                let is_repeatable = plan.is_repeatable;
                return relayed_answer(
                    answer,
                    RelayedRequestFacts { is_repeatable, has_id, earlier },
                );
            }
            RelayResult::NotSent => Kind::ConnectFailed,
            RelayResult::NotRun(kind) => {
                // A VM that refuses for lack of backend servers has counted the request.
                is_counted |= matches!(kind, Kind::NoBackend | Kind::ConnectFailed);
                kind
            }
            RelayResult::MayHaveRun(kind) => {
                if !plan.is_repeatable {
                    return Err(kind);
                }
                ran += 1;
                is_counted = true;
                kind
            }
        };
        let id = request.id.as_deref().unwrap_or("-");
        info!(id, to = %to.address, why = %kind, ran, "request could not be passed on");
        failed = failed.combined_with(kind);
    }
    Err(failed)
}

/// What a VM knows of a request that it has passed on.
#[derive(Clone, Copy, Debug)]
pub struct RelayedRequestFacts {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the request has an id, which answers repeat.
    pub has_id: bool,
    /// How it has failed, if a backend server may have run it before it was passed on.
    pub earlier: Option<Kind>,
}

/// Returns what the caller gets for the answer of another VM.
///
/// That VM may say that the request has not run; that is wrong if a backend server may have run it before. The answer of a backend
/// server is judged here too: a VM of an earlier release passes on failures whose status promises that the request has not run.
pub fn relayed_answer(answer: Answer, request: RelayedRequestFacts) -> Result<Answer, Kind> {
    let RelayedRequestFacts { is_repeatable, has_id, earlier } = request;
    let combined = |kind| earlier.map_or(kind, |earlier| earlier.combined_with(kind));
    if let Some(kind) = error_kind(&answer) {
        let is_false_promise = earlier.is_some() && kind.is_not_run();
        return if is_false_promise { Err(combined(kind)) } else { Ok(answer) };
    }
    let verdict = judge(&answer, has_id);
    match verdict {
        AnswerVerdict::Served | AnswerVerdict::Declined | AnswerVerdict::Failed => {
            let judged = JudgedAnswer { answer, verdict };
            judged.for_caller(is_repeatable).map(|judged| judged.answer)
        }
        AnswerVerdict::Rejected | AnswerVerdict::Misdirected => Err(combined(Kind::Shed)),
        AnswerVerdict::Invalid => Err(combined(Kind::AnswerInvalid)),
    }
}

/// Returns the kind of error that another VM names in its own answer to a request. In the answer of a
/// backend server the field means nothing.
fn error_kind(answer: &Answer) -> Option<Kind> {
    let is_own = answer.field(headers::INSTANCE_STAMP).is_none();
    answer.text(KIND_HEADER).filter(|_| is_own).and_then(Kind::from_name)
}

/// Sends a request to another VM and classifies the answer.
async fn send(
    inner: &Inner,
    request: &Inbound,
    plan: RelayPlan<'_>,
    to: RelayTarget,
) -> RelayResult {
    let RelayTarget { address, is_far } = to;
    let mark = request.mark();
    let idle = inner.relay_pool.borrow_mut().take(&address, mark, false, inner.now_ms());
    let mut conn = match idle {
        Some(conn) => conn,
        None => match connect_to_vm(inner, address).await {
            Ok(conn) => conn,
            Err(_) => return RelayResult::NotSent,
        },
    };
    let left_ms = plan.deadline_ms.saturating_sub(inner.now_ms());
    if left_ms == 0 {
        return RelayResult::NotSent;
    }
    inner.meters.relayed_out.inc();
    let _in_progress = InProgress::begin(inner, address);
    let head = request.encode_relayed_head(&seal(inner.mesh.key(), request, plan), left_ms);
    let answered = exchange(inner, &mut conn, &head, request, left_ms).await;
    let answer = match answered {
        Ok(answer) => answer,
        Err(kind) => return RelayResult::MayHaveRun(kind),
    };
    if is_far {
        let bytes = head.len() + request.body.len() + answer.body.len();
        inner.meters.count_cross_hall(CrossHallCause::Relay, bytes);
    }
    if error_kind(&answer).is_some_and(Kind::is_not_run) {
        conn.record_refusal(mark);
    }
    if conn.is_reusable() {
        inner.relay_pool.borrow_mut().put(address, conn, answer.keep_alive_ms(), inner.now_ms());
    }
    match error_kind(&answer).filter(|kind| UNABLE.contains(kind)) {
        Some(kind) => RelayResult::NotRun(kind),
        None => RelayResult::Answered(answer),
    }
}

/// Sends a request on a connection and reads the answer before the deadline.
async fn exchange(
    inner: &Inner,
    conn: &mut Conn,
    head: &[u8],
    request: &Inbound,
    left_ms: u64,
) -> Result<Answer, Kind> {
    let message = Message { head, body: &request.body };
    let progress = Progress::default();
    let is_head = request.method == actix_http::Method::HEAD;
    let grant = inner.memory.open_answer(&inner.callers);
    let exchange = conn.exchange_within(message, is_head, &progress, |_| true, &grant);
    match tokio::time::timeout(Duration::from_millis(left_ms), exchange).await {
        Ok(Ok(mut answer)) => {
            answer.body = grant.attach(answer.body);
            Ok(answer)
        }
        Ok(Err(WireError::Malformed | WireError::TooLarge)) => Err(Kind::AnswerInvalid),
        Ok(Err(_)) => Err(Kind::AnswerCut),
        Err(_) => Err(Kind::AnswerTimeout),
    }
}

/// Seals what the other VM must know of a request beside its head and body.
fn seal(key: &FleetKey, request: &Inbound, plan: RelayPlan<'_>) -> String {
    let relayed = RelayedRequest {
        id: request.id.clone().unwrap_or_default(),
        ran: plan.ran,
        is_counted: plan.is_counted,
        service: plan.service.to_owned(),
        key_digest: request.key_digest_text(),
    };
    let body = Some(Body::RelayedRequest(relayed));
    URL_SAFE_NO_PAD.encode(key.seal(&Packet { body, ..Packet::default() }))
}

/// Reads the header field of a request that another VM has passed on. A field that the fleet's key
/// did not seal, or of another request, is none.
pub(crate) fn unseal(key: &FleetKey, field: &str, id: &str) -> Option<RelayedRequest> {
    let sealed = URL_SAFE_NO_PAD.decode(field).ok()?;
    match key.unseal(&sealed).ok()?.body {
        Some(Body::RelayedRequest(relayed)) if relayed.id == id => Some(relayed),
        _ => None,
    }
}

/// Counts a request as passed on to a VM until it is dropped.
struct InProgress<'a> {
    /// The state of this gateway VM.
    inner: &'a Inner,
    /// The other VM.
    to: SocketAddr,
}

impl InProgress<'_> {
    /// Counts a request as passed on.
    fn begin(inner: &Inner, to: SocketAddr) -> InProgress<'_> {
        inner.links.links.borrow_mut().begin_relay(to);
        InProgress { inner, to }
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.inner.links.links.borrow_mut().end_relay(self.to);
    }
}
