use actix_http::StatusCode;
use actix_http::body::SizedStream;
use actix_web::HttpResponse;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use futures_util::stream;
use leverstream_error::{KIND_HEADER, Kind, OUTCOME_HEADER, RETRY_AFTER_HEADER};
use serde::Serialize;

use crate::attempt::Tail;
use crate::headers;
use crate::metrics::InFlight;

/// An answer on its way to the caller.
pub(crate) struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Its start, with the rest still arriving.
    Streaming {
        /// What has arrived.
        start: Bytes,
        /// What is still to come.
        tail: Box<Tail>,
        /// The whole length, if it is known.
        length: Option<u64>,
    },
}

/// What an answer of leverstream's own says, besides its headers.
#[derive(Debug, Serialize)]
struct ErrorBody {
    /// The kind's name.
    error: String,
    /// What became of the request.
    outcome: String,
    /// What the caller may do next.
    next: String,
    /// When to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
}

/// Writes an answer of leverstream's own.
pub(crate) fn refuse(kind: Kind) -> HttpResponse {
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
    /// Writes the answer to the caller; it counts as under way until all of it has gone out.
    pub fn respond(self, counted: InFlight) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        for (name, value) in &headers::forwarded(&self.headers) {
            response.append_header((name.clone(), value.clone()));
        }
        match self.body {
            AnswerBody::Whole(body) => response.body(body),
            AnswerBody::Streaming { start, tail, length: Some(length) } => {
                response.body(SizedStream::new(length, parts(start, tail, counted)))
            }
            AnswerBody::Streaming { start, tail, length: None } => {
                response.streaming(parts(start, tail, counted))
            }
        }
    }
}

/// The parts of a body as they arrive; an error ends the caller's connection without a clean end.
fn parts(
    start: Bytes,
    tail: Box<Tail>,
    counted: InFlight,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let left = (Some(start), Some(tail), counted);
    stream::unfold(left, |(start, tail, counted)| async move {
        if let Some(start) = start.filter(|start| !start.is_empty()) {
            return Some((Ok(start), (None, tail, counted)));
        }
        let mut tail = tail?;
        match tail.next().await {
            Ok(Some(part)) => Some((Ok(part), (None, Some(tail), counted))),
            Ok(None) => None,
            Err(broken) => {
                let error = std::io::Error::other(broken.kind.to_string());
                Some((Err(error), (None, None, counted)))
            }
        }
    })
}
