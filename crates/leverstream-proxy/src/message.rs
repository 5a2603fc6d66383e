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

/// The part of a body that is kept so that the request can be repeated, in bytes.
pub(crate) const BUFFERED_BYTES: usize = 64 << 10;

/// A request on its way to the next hop.
#[derive(Clone)]
pub(crate) struct Message {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

/// A request's body.
#[derive(Clone)]
pub(crate) struct Body {
    /// What was read so far; all of it unless there is a rest.
    pub start: Bytes,
    /// What is still to come from the caller; it can be sent once only.
    pub rest: Option<Rc<RefCell<Option<Payload>>>>,
    /// The whole length, if the caller told it.
    pub length: Option<u64>,
}

impl Message {
    /// Takes a request over, reading up to `limit` bytes of its body.
    ///
    /// A longer body is refused, or with `streams` left to be passed on as it arrives.
    pub async fn read(
        request: &HttpRequest,
        mut payload: Payload,
        limit: usize,
        streams: bool,
    ) -> Result<Message, Kind> {
        let length = content_length(request)?;
        let mut start = BytesMut::new();
        let mut rest = None;
        while let Some(chunk) = payload.next().await {
            start.extend_from_slice(&chunk.map_err(|_| Kind::BadRequest)?);
            if start.len() <= limit {
                continue;
            }
            if !streams {
                return Err(Kind::BodyTooLarge);
            }
            rest = Some(Rc::new(RefCell::new(Some(payload))));
            break;
        }
        Ok(Message {
            method: request.method().clone(),
            uri: path_of(request.uri()),
            headers: headers::forwarded(request.headers()),
            body: Body { start: start.freeze(), rest, length },
        })
    }

    /// Tells whether the request can be sent more than once.
    pub fn is_whole(&self) -> bool {
        self.body.rest.is_none()
    }

    /// Sets a header.
    pub fn set(&mut self, name: &'static str, value: &str) {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
    }

    /// Turns the request into the head and body of one exchange.
    pub fn into_parts(self) -> (RequestHead, Body) {
        let mut head = RequestHead::default();
        head.method = self.method;
        head.uri = self.uri;
        head.headers = self.headers;
        (head, self.body)
    }

    /// A fingerprint of what the request asks for.
    pub fn fingerprint(&self) -> [u8; 32] {
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
    /// The size as the framing needs it.
    pub fn size(&self) -> BodySize {
        match (&self.rest, self.length) {
            (None, _) if self.start.is_empty() && self.length.is_none() => BodySize::None,
            (None, _) => BodySize::Sized(self.start.len() as u64),
            (Some(_), Some(length)) => BodySize::Sized(length),
            (Some(_), None) => BodySize::Stream,
        }
    }
}

/// Reads the length that the caller told, refusing shapes by which requests are smuggled.
fn content_length(request: &HttpRequest) -> Result<Option<u64>, Kind> {
    let headers = request.headers();
    let lengths: Vec<&HeaderValue> = headers.get_all("content-length").collect();
    let is_chunked = headers.contains_key("transfer-encoding");
    let is_old = request.version() < actix_web::http::Version::HTTP_11;
    if lengths.len() > 1 || (is_chunked && (is_old || !lengths.is_empty())) {
        return Err(Kind::BadRequest);
    }
    let parse = |value: &HeaderValue| value.to_str().ok().and_then(|text| text.parse().ok());
    lengths.first().map(|value| parse(value).ok_or(Kind::BadRequest)).transpose()
}

/// The path and query of a request's target.
fn path_of(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}
