//! Makes one attempt at a backend server and reports its outcome for the health of that server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_web::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use leverstream_ask::DEADLINE_HEADER;
use leverstream_error::Kind;
use leverstream_health::{BackendKey, RequestOutcome};
use tracing::Instrument;

use crate::acquire::Slot;
use crate::answer::{Answer, AnswerBody};
use crate::conn::{Conn, ExchangeError, IncomingBody, Stage};
use crate::flight::{ConnectionGuard, InFlightRequest};
use crate::headers::DRAINING_HEADER;
use crate::message::{BODY_BUFFER_BYTES, Message};
use crate::{Proxy, pool};

/// How much of an answer is read before it is passed on to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadMode {
    /// Up to [`BODY_BUFFER_BYTES`]; the rest is streamed as it arrives.
    Buffered,
    /// The whole answer, up to a limit in bytes.
    Whole(usize),
}

/// The result of an attempt at a backend server.
pub(crate) struct AttemptResult {
    /// The backend server that was tried.
    pub backend: BackendKey,
    /// The answer, or the failure.
    pub result: Result<Answer, Kind>,
}

/// The destination and deadline of an exchange.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The deadline for the whole answer.
    pub deadline_ms: u64,
    /// Whether an idle connection may be reused.
    pub may_reuse: bool,
}

/// The rest of an answer's body, which is still arriving.
pub(crate) struct BodyRest {
    /// The body on its connection.
    incoming: IncomingBody,
    /// The address under which the connection returns to the pool.
    address: SocketAddr,
    /// The deadline for the end of the body.
    deadline: std::time::Instant,
    /// The clock of the process.
    clock: crate::Clock,
    /// The slot and connection count of the request; none for an answer of another VM.
    slot: Option<(InFlightRequest, ConnectionGuard)>,
}

impl BodyRest {
    /// Reads the next part; returns none only at the end that the framing marks.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let part = tokio::time::timeout_at(self.deadline.into(), self.incoming.next()).await;
        let part = part.unwrap_or(Err(ExchangeError { kind: Kind::AnswerTimeout }));
        match &part {
            Ok(Some(_)) => {}
            Ok(None) => self.end(RequestOutcome::Good),
            Err(_) => self.end(RequestOutcome::Failed),
        }
        part
    }

    /// Reports the outcome of the request and returns a reusable connection to the pool.
    fn end(&mut self, outcome: RequestOutcome) {
        if let Some(conn) = self.incoming.take_reusable() {
            pool::put(self.address, conn, self.clock.now_ms());
        }
        if let Some((in_flight_request, _)) = self.slot.take() {
            in_flight_request.finish(outcome);
        }
    }
}

/// Makes one attempt at a backend server.
pub(crate) async fn attempt(
    proxy: &Proxy,
    slot: Slot,
    message: &Message,
    deadline_ms: u64,
    may_reuse: bool,
    read_mode: ReadMode,
) -> AttemptResult {
    let Slot { view, index, in_flight_request } = slot;
    let Some(backend) = view.serving.as_ref().and_then(|serving| serving.backends.get(index))
    else {
        return AttemptResult { backend: BackendKey(u32::MAX), result: Err(Kind::NoBackend) };
    };
    proxy.metrics.attempts.inc();
    let key = backend.key;
    let Some(connection_guard) = ConnectionGuard::try_acquire(&backend.state, backend.connections)
    else {
        return AttemptResult { backend: key, result: Err(Kind::NoBackend) };
    };
    let target = Target { address: backend.address, deadline_ms, may_reuse };
    let span = tracing::trace_span!("attempt", backend = %backend.name);
    let exchanged = exchange(proxy, target, message.clone()).instrument(span).await;
    let (head_status, headers, incoming) = match exchanged {
        Ok(parts) => parts,
        Err(kind) => {
            in_flight_request.finish(outcome_of(kind));
            return AttemptResult { backend: key, result: Err(kind) };
        }
    };
    if headers.contains_key(DRAINING_HEADER) {
        in_flight_request.report_draining();
    }
    if view.doc.row.shed_statuses.contains(&head_status.as_u16()) {
        in_flight_request.finish(RequestOutcome::NoEvidence);
        return AttemptResult { backend: key, result: Err(Kind::Shed) };
    }
    let mut rest = BodyRest {
        incoming,
        address: backend.address,
        deadline: proxy.clock.instant_at(deadline_ms),
        clock: proxy.clock,
        slot: Some((in_flight_request, connection_guard)),
    };
    let is_fault = is_server_fault(head_status);
    if is_fault && let Some((in_flight_request, _)) = rest.slot.take() {
        in_flight_request.finish(RequestOutcome::Failed);
    }
    let span = tracing::trace_span!("last-byte");
    let read = read_body(rest, &headers, read_mode).instrument(span).await;
    let result = read.map(|body| Answer { status: head_status, headers, body });
    AttemptResult { backend: key, result: result.map_err(|error| error.kind) }
}

/// Sends a request and reads the head of its answer before the deadline.
pub(crate) async fn exchange(
    proxy: &Proxy,
    target: Target,
    mut message: Message,
) -> Result<(StatusCode, HeaderMap, IncomingBody), Kind> {
    let stage = Rc::new(Cell::new(Stage::Unsent));
    let whole = async {
        let conn = connect(proxy, target).await?;
        let left_ms = target.deadline_ms.saturating_sub(proxy.now_ms());
        message.set(DEADLINE_HEADER, &left_ms.to_string());
        if let Some(traceparent) = leverstream_observe::traceparent() {
            message.set("traceparent", &traceparent);
        }
        let span = tracing::trace_span!("exchange");
        conn.exchange(message, &stage).instrument(span).await.map_err(|error| error.kind)
    };
    let deadline = proxy.clock.instant_at(target.deadline_ms).into();
    match tokio::time::timeout_at(deadline, whole).await {
        Ok(Ok(received)) => Ok((received.status, received.headers, received.body)),
        Ok(Err(kind)) => Err(kind),
        Err(_) if stage.get() == Stage::Unsent => Err(Kind::ConnectFailed),
        Err(_) => Err(Kind::AnswerTimeout),
    }
}

/// Takes an idle connection from the pool or opens a new one.
async fn connect(proxy: &Proxy, target: Target) -> Result<Conn, Kind> {
    if target.may_reuse
        && let Some(conn) = pool::take(target.address, proxy.now_ms())
    {
        return Ok(conn);
    }
    let timeout = std::time::Duration::from_millis(proxy.settings.connect_timeout_ms);
    let opening = Conn::open(target.address).instrument(tracing::trace_span!("connect"));
    match tokio::time::timeout(timeout, opening).await {
        Ok(Ok(conn)) => Ok(conn),
        Ok(Err(_)) | Err(_) => Err(Kind::ConnectFailed),
    }
}

/// Reads as much of a body as `read_mode` asks for before the answer is passed on.
pub(crate) async fn read_body(
    mut rest: BodyRest,
    headers: &HeaderMap,
    read_mode: ReadMode,
) -> Result<AnswerBody, ExchangeError> {
    let limit = match read_mode {
        ReadMode::Buffered => BODY_BUFFER_BYTES,
        ReadMode::Whole(limit) => limit,
    };
    let length = content_length(headers);
    let mut start = BytesMut::new();
    while start.len() <= limit {
        match rest.next().await? {
            Some(part) => start.extend_from_slice(&part),
            None => return Ok(AnswerBody::Whole(start.freeze())),
        }
    }
    if let ReadMode::Whole(_) = read_mode {
        return Err(ExchangeError { kind: Kind::AnswerInvalid });
    }
    Ok(AnswerBody::Streaming { start: start.freeze(), rest: Box::new(rest), length })
}

/// Wraps the body of an answer from another VM, which holds no slot.
pub(crate) fn relayed_body(proxy: &Proxy, target: Target, incoming: IncomingBody) -> BodyRest {
    BodyRest {
        incoming,
        address: target.address,
        deadline: proxy.clock.instant_at(target.deadline_ms),
        clock: proxy.clock,
        slot: None,
    }
}

/// Returns whether a status means a fault of the backend server rather than of the request.
pub(crate) fn is_server_fault(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502..=504)
}

/// The outcome that a failure counts as for the health of the backend server.
fn outcome_of(kind: Kind) -> RequestOutcome {
    match kind {
        Kind::ConnectFailed => RequestOutcome::ConnectFailed,
        Kind::SendFailed | Kind::AnswerTimeout | Kind::AnswerCut | Kind::AnswerInvalid => {
            RequestOutcome::Failed
        }
        _ => RequestOutcome::NoEvidence,
    }
}

/// The value of the `Content-Length` header, if it is valid.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}
