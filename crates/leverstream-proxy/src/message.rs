//! A request with its body, buffered up to a limit or streamed from the caller.

use std::cell::RefCell;
use std::rc::Rc;

use actix_http::RequestHead;
use actix_http::body::BodySize;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::HttpRequest;
use actix_web::http::{Method, Uri};
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use leverstream_error::Kind;

use crate::headers;

/// How much of a body is buffered, so that a request with a smaller body can be repeated.
pub(crate) const BODY_BUFFER_BYTES: usize = 64 << 10;

/// A request to send to the next hop.
#[derive(Clone)]
pub(crate) struct Message {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// A request's body.
#[derive(Clone)]
pub(crate) struct Body {
    /// The buffered part; the whole body unless there is a rest.
    pub start: Bytes,
    /// The part still to be read from the caller, which can be sent only once.
    pub rest: Option<Rc<RefCell<Option<Payload>>>>,
    /// The length of the whole body, if the caller declared it.
    pub length: Option<u64>,
}

impl Message {
    /// Reads a request with up to `limit` bytes of its body.
    ///
    /// Rejects a longer body, or with `may_stream` leaves the rest to be streamed as it arrives.
    pub async fn read(
        request: &HttpRequest,
        mut payload: Payload,
        limit: usize,
        may_stream: bool,
    ) -> Result<Message, Kind> {
        let length = content_length(request)?;
        let mut start = BytesMut::new();
        let mut rest = None;
        while let Some(chunk) = payload.next().await {
            start.extend_from_slice(&chunk.map_err(|_| Kind::BadRequest)?);
            if start.len() <= limit {
                continue;
            }
            if !may_stream {
                return Err(Kind::BodyTooLarge);
            }
            rest = Some(Rc::new(RefCell::new(Some(payload))));
            break;
        }
        Ok(Message {
            method: request.method().clone(),
            uri: origin_form(request.uri()),
            headers: headers::forwarded(request.headers()),
            body: Body { start: start.freeze(), rest, length },
        })
    }

    /// Returns whether the whole body is buffered, so that the request can be sent again.
    pub fn is_whole(&self) -> bool {
        self.body.rest.is_none()
    }

    /// Sets a header, replacing its earlier value.
    pub fn set(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
    }

    /// Splits the request into the head and body for one exchange.
    pub fn into_parts(self) -> (RequestHead, Body) {
        let mut head = RequestHead::default();
        head.method = self.method;
        head.uri = self.uri;
        head.headers = self.headers;
        (head, self.body)
    }

    /// A hash of the method, target and body, which detects a key reused for another request.
    pub fn request_digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        for part in [self.method.as_str().as_bytes(), self.uri.to_string().as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&self.body.start);
        *hasher.finalize().as_bytes()
    }
}

impl Body {
    /// The body size in the form that the codec's framing takes.
    pub fn size(&self) -> BodySize {
        match (&self.rest, self.length) {
            (None, _) if self.start.is_empty() && self.length.is_none() => BodySize::None,
            (None, _) => BodySize::Sized(self.start.len() as u64),
            (Some(_), Some(length)) => BodySize::Sized(length),
            (Some(_), None) => BodySize::Stream,
        }
    }
}

/// Reads the declared body length; rejects framing that allows request smuggling.
fn content_length(request: &HttpRequest) -> Result<Option<u64>, Kind> {
    let headers = request.headers();
    let lengths: Vec<&HeaderValue> = headers.get_all("content-length").collect();
    let is_chunked = headers.contains_key("transfer-encoding");
    let is_before_http11 = request.version() < actix_web::http::Version::HTTP_11;
    if lengths.len() > 1 || (is_chunked && (is_before_http11 || !lengths.is_empty())) {
        return Err(Kind::BadRequest);
    }
    let parse = |value: &HeaderValue| value.to_str().ok().and_then(|text| text.parse().ok());
    lengths.first().map(|value| parse(value).ok_or(Kind::BadRequest)).transpose()
}

/// The path and query of a request target, without scheme and authority.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}
