//! Reads callers' requests, and encodes them for backend servers.

use std::cell::OnceCell;

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Payload, Request, Version};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use leverstream_catalog::request_host;
use leverstream_error::Kind;
use leverstream_platform::headers;
use leverstream_suspect::{RequestDigest, RequestHasher, RequestIdentity};
use leverstream_wire::RequestHead;
use leverstream_workspace::{Credentials, KeyHasher};

use crate::reply::is_hop_by_hop;

/// The header field that carries a caller's key.
const AUTHORIZATION: &str = "authorization";

/// A caller's request, read whole.
pub(crate) struct Inbound {
    /// The method.
    pub method: Method,
    /// The path and query, as the caller wrote them.
    pub target: String,
    /// The host that the request is addressed to.
    pub host: String,
    /// The request id, if the caller chose one.
    pub id: Option<String>,
    /// The time that the caller waits for the answer.
    pub caller_timeout_ms: Option<u64>,
    /// The credentials that the caller sent.
    pub credentials: Credentials,
    /// The workspace that the request belongs to; its name is sent to the backend server.
    pub workspace: Option<String>,
    /// The header fields to forward.
    fields: Vec<(String, Vec<u8>)>,
    /// Whether the caller announced a body.
    has_body: bool,
    /// The body.
    pub body: Bytes,
    /// The digest that identifies repeats of the request, computed on first use.
    digest: OnceCell<RequestDigest>,
}

impl Inbound {
    /// Reads the head; rejects forms that allow request smuggling.
    pub fn parse(request: &Request) -> Result<Inbound, Kind> {
        let fields = request.headers();
        let has_body = check_framing(request)?;
        let uri = request.uri();
        let target = uri.path_and_query().map(ToString::to_string).ok_or(Kind::BadRequest)?;
        if !target.starts_with('/') || fields.get_all("host").count() > 1 {
            return Err(Kind::BadRequest);
        }
        let authority = uri.authority().map(actix_http::uri::Authority::as_str);
        let host = request_host(authority, text(fields, "host")).ok_or(Kind::BadRequest)?;
        let caller_timeout_ms = match text(fields, headers::REMAINING_MS) {
            Some(text) => Some(text.trim().parse().map_err(|_| Kind::BadRequest)?),
            None => None,
        };
        Ok(Inbound {
            method: request.method().clone(),
            target,
            host,
            id: text(fields, headers::REQUEST_ID).map(str::to_owned),
            caller_timeout_ms,
            credentials: Credentials::None,
            workspace: None,
            fields: forwarded_fields(fields),
            has_body,
            body: Bytes::new(),
            digest: OnceCell::new(),
        })
    }

    /// Reads the body, up to a limit.
    pub async fn read_body(&mut self, mut payload: Payload, limit: usize) -> Result<(), Kind> {
        if !self.has_body {
            return Ok(());
        }
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            body.extend_from_slice(&chunk.map_err(|_| Kind::BadRequest)?);
            if body.len() > limit {
                return Err(Kind::BodyTooLarge);
            }
        }
        self.body = body.freeze();
        Ok(())
    }

    /// Takes the credentials out of the header fields and keeps only a digest of the key. Without
    /// workspaces, the field is meant for the backend servers and is forwarded.
    pub fn take_credentials(&mut self, has_workspaces: bool, hasher: &KeyHasher) {
        if has_workspaces {
            let authorization_fields = self.fields.iter().filter(|(name, _)| name == AUTHORIZATION);
            let values = authorization_fields.map(|(_, value)| value.as_slice());
            self.credentials = Credentials::read(values, hasher);
            self.fields.retain(|(name, _)| name != AUTHORIZATION);
        }
    }

    /// Returns the digest that identifies repeats of the request; its body and workspace must be
    /// known.
    pub fn digest(&self, hasher: &RequestHasher) -> RequestDigest {
        *self.digest.get_or_init(|| {
            hasher.request_digest(&RequestIdentity {
                method: self.method.as_str(),
                host: &self.host,
                target: &self.target,
                workspace: self.workspace.as_deref().unwrap_or_default(),
                body: &self.body,
            })
        })
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Encodes the request for one instance, with the time left until its deadline.
    pub fn encode(&self, instance: &str, left_ms: u64) -> Vec<u8> {
        let mut head = RequestHead::new(self.method.as_str(), &self.target);
        for (name, value) in &self.fields {
            head.field(name, value);
        }
        if let Some(id) = &self.id {
            head.field(headers::REQUEST_ID, id.as_bytes());
        }
        head.field(headers::REMAINING_MS, left_ms.to_string().as_bytes());
        head.field(headers::EXPECTED_INSTANCE, instance.as_bytes());
        if let Some(workspace) = &self.workspace {
            head.field(headers::WORKSPACE, workspace.as_bytes());
        }
        if self.has_body {
            head.field("content-length", self.body.len().to_string().as_bytes());
        }
        head.finish(&self.body)
    }
}

/// Returns the header fields to forward: all except hop-by-hop fields, those that `Connection`
/// names, and those that each hop sets itself.
fn forwarded_fields(fields: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let connection_fields: Vec<String> = fields
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let set_per_hop = [
        headers::REQUEST_ID,
        headers::REMAINING_MS,
        headers::EXPECTED_INSTANCE,
        headers::WORKSPACE,
        "expect",
    ];
    let is_forwarded = |name: &str| {
        !is_hop_by_hop(name)
            && !set_per_hop.contains(&name)
            && (name == "host" || !connection_fields.iter().any(|other| other == name))
    };
    fields
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns whether a body is announced; rejects forms that allow request smuggling.
fn check_framing(request: &Request) -> Result<bool, Kind> {
    let fields = request.headers();
    let lengths = fields.get_all("content-length").count();
    let encodings = fields.get_all("transfer-encoding").count();
    let is_before_http_11 = request.head().version < Version::HTTP_11;
    if lengths > 1 || encodings > 1 || (encodings > 0 && (is_before_http_11 || lengths > 0)) {
        return Err(Kind::BadRequest);
    }
    Ok(lengths + encodings > 0)
}

/// Returns a header field as text.
fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name).and_then(|value| value.to_str().ok())
}
