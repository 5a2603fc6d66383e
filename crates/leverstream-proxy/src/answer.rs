//! The answers to callers: those of backend servers, and the errors that leverstream itself gives.

use actix_http::StatusCode;
use actix_http::body::SizedStream;
use actix_web::HttpResponse;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use futures_util::stream;
use leverstream_error::{KIND_HEADER, Kind, OUTCOME_HEADER, RETRY_AFTER_HEADER};
use serde::Serialize;

use crate::attempt::BodyRest;
use crate::headers;
use crate::metrics::InFlightGuard;

/// An answer to send to the caller.
pub(crate) struct Answer {
    /// The status code.
    pub status: StatusCode,
    /// The headers, before hop-by-hop ones are removed.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// The whole body.
    Whole(Bytes),
    /// The start of a body whose rest is still arriving.
    Streaming {
        /// The part that has arrived.
        start: Bytes,
        /// Reads the rest.
        rest: Box<BodyRest>,
        /// The length of the whole body in bytes, if known.
        length: Option<u64>,
    },
}

/// The JSON body of an answer that leverstream itself gives.
#[derive(Debug, Serialize)]
struct ErrorBody {
    /// The name of the error kind.
    error: String,
    /// Whether the request ran.
    outcome: String,
    /// What the caller may do next.
    next: String,
    /// After how long to retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
}

/// Builds the error response for a kind.
pub(crate) fn error_response(kind: Kind) -> HttpResponse {
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((KIND_HEADER, kind.to_string()));
    response.insert_header((OUTCOME_HEADER, answer.outcome.to_string()));
    if let Some(retry_after_ms) = answer.retry_after_ms {
        response.insert_header((RETRY_AFTER_HEADER, retry_after_ms.to_string()));
        response.insert_header(("retry-after", retry_after_ms.div_ceil(1000).to_string()));
    }
    response.json(ErrorBody {
        error: kind.to_string(),
        outcome: answer.outcome.to_string(),
        next: answer.next.to_string(),
        retry_after_ms: answer.retry_after_ms,
    })
}

impl Answer {
    /// Builds the caller's response; the request counts as in flight until all of it is sent.
    pub fn respond(self, in_flight_guard: InFlightGuard) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        for (name, value) in &headers::forwarded(&self.headers) {
            response.append_header((name.clone(), value.clone()));
        }
        match self.body {
            AnswerBody::Whole(body) => response.body(body),
            AnswerBody::Streaming { start, rest, length: Some(length) } => {
                response.body(SizedStream::new(length, stream_body(start, rest, in_flight_guard)))
            }
            AnswerBody::Streaming { start, rest, length: None } => {
                response.streaming(stream_body(start, rest, in_flight_guard))
            }
        }
    }
}

/// Streams a body as it arrives; an error closes the caller's connection without a clean end.
fn stream_body(
    start: Bytes,
    rest: Box<BodyRest>,
    in_flight_guard: InFlightGuard,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let state = (Some(start), Some(rest), in_flight_guard);
    stream::unfold(state, |(start, rest, in_flight_guard)| async move {
        if let Some(start) = start.filter(|start| !start.is_empty()) {
            return Some((Ok(start), (None, rest, in_flight_guard)));
        }
        let mut rest = rest?;
        match rest.next().await {
            Ok(Some(part)) => Some((Ok(part), (None, Some(rest), in_flight_guard))),
            Ok(None) => None,
            Err(error) => {
                let error = std::io::Error::other(error.kind.to_string());
                Some((Err(error), (None, None, in_flight_guard)))
            }
        }
    })
}
