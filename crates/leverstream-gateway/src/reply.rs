//! Builds the HTTP responses that the gateway sends.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use leverstream_error::{KIND_HEADER, Kind, OUTCOME_HEADER};
use leverstream_wire::Answer;

/// The hop-by-hop header fields (RFC 9110, section 7.6.1), and the length, which the framing of the
/// next hop sets.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// The bytes of an answer that are encoded at a time.
const PART_BYTES: usize = 8 << 10;

/// The authentication scheme that a caller without a valid key is asked for.
const CHALLENGE: &str = "Bearer";

/// The error that a request is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ErrorAnswer {
    /// The kind of error.
    pub kind: Kind,
    /// The delay after which the caller may retry, if it differs from the kind's own.
    pub retry_after_ms: Option<u64>,
}

impl From<Kind> for ErrorAnswer {
    fn from(kind: Kind) -> ErrorAnswer {
        ErrorAnswer { kind, retry_after_ms: None }
    }
}

/// Returns whether a header field is hop-by-hop.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Returns a backend server's answer as the response to the caller.
pub(crate) fn relay_answer(answer: Answer) -> Response<BoxBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    let connection_fields: Vec<String> = answer
        .text("connection")
        .map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()).collect())
        .unwrap_or_default();
    for (name, value) in &answer.fields {
        if !is_hop_by_hop(name) && !connection_fields.contains(name) {
            response.append_header((name.as_str(), value.as_slice()));
        }
    }
    response.body(AnswerBody { rest: answer.body }).map_into_boxed_body()
}

/// The body of an answer, which is given to the HTTP encoder in parts: it copies what it is given, so
/// a large answer would be in memory twice until its caller has read it.
struct AnswerBody {
    /// The bytes that are not encoded yet.
    rest: Bytes,
}

// `try_into_bytes` is left at its default: with it, the boxed body would be given out whole.

impl MessageBody for AnswerBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let length = self.rest.len().min(PART_BYTES);
        Poll::Ready((length > 0).then(|| Ok(self.rest.split_to(length))))
    }
}

/// Returns the response for an error of the gateway itself.
///
/// A request that has not run gets status 503 in place of any other 5xx, with the time at which to
/// retry.
pub(crate) fn error_response(error: ErrorAnswer) -> Response<BoxBody> {
    let ErrorAnswer { kind, retry_after_ms } = error;
    let answer = kind.answer();
    let is_unrun_server_error = kind.is_not_run() && answer.status >= 500;
    let status = if is_unrun_server_error { 503 } else { answer.status };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    response.insert_header((KIND_HEADER, kind.to_string()));
    response.insert_header((OUTCOME_HEADER, answer.outcome.to_string()));
    let after_ms = retry_after_ms.or(answer.retry_after_ms.map(u64::from));
    if let Some(after_ms) = after_ms.filter(|_| kind.is_not_run()) {
        response.insert_header(("retry-after", format!("{:.2}", after_ms as f64 / 1000.0)));
    }
    if kind == Kind::Unauthorized {
        response.insert_header(("www-authenticate", CHALLENGE));
    }
    response.body(kind.to_string()).map_into_boxed_body()
}

/// Returns the bytes of the answer to a request whose head could not be read, after which its connection is closed.
pub(crate) fn closing_error(kind: Kind) -> Vec<u8> {
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_REQUEST);
    let reason = status.canonical_reason().unwrap_or_default();
    format!(
        "HTTP/1.1 {} {reason}\r\n{KIND_HEADER}: {kind}\r\n{OUTCOME_HEADER}: {}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        status.as_u16(),
        answer.outcome
    )
    .into_bytes()
}

/// Returns the length of the body of an answer, in bytes.
pub(crate) fn body_bytes(response: &Response<BoxBody>) -> u64 {
    match response.body().size() {
        BodySize::Sized(bytes) => bytes,
        BodySize::None | BodySize::Stream => 0,
    }
}

/// Returns a response with a JSON body.
pub(crate) fn json(body: Vec<u8>) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}

/// Returns a response with a binary body for another VM.
pub(crate) fn bytes(body: Bytes) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/octet-stream"));
    response.body(body).map_into_boxed_body()
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).map_into_boxed_body()
}
