use std::cell::OnceCell;

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Payload, Request, Version};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use leverstream_catalog::request_host;
use leverstream_error::Kind;
use leverstream_platform::headers;
use leverstream_suspect::{Asked, RequestDigest, RequestHasher};
use leverstream_wire::Head;
use leverstream_workspace::{Credentials, KeyHasher};

use crate::reply::is_hop_by_hop;

/// The header field by which callers show a key.
const AUTHORIZATION: &str = "authorization";

/// A caller's request, read whole.
pub(crate) struct Inbound {
    /// The method.
    pub method: Method,
    /// The path and query, as the caller wrote them.
    pub target: String,
    /// The host that it is for.
    pub host: String,
    /// The caller's id of it, if it has one.
    pub id: Option<String>,
    /// How long the caller waits for the answer.
    pub patience_ms: Option<u64>,
    /// What the caller showed to say whose request it is.
    pub credentials: Credentials,
    /// The workspace whose request it is, for the backend server.
    pub workspace: Option<String>,
    /// The header fields that travel along, as they go out.
    fields: Vec<(String, Vec<u8>)>,
    /// Whether the caller announced a body.
    has_body: bool,
    /// The body.
    pub body: Bytes,
    /// What the request is known again by, once that was asked.
    digest: OnceCell<RequestDigest>,
}

impl Inbound {
    /// Reads the head, refusing shapes by which requests are smuggled.
    pub fn open(request: &Request) -> Result<Inbound, Kind> {
        let fields = request.headers();
        let has_body = check_framing(request)?;
        let uri = request.uri();
        let target = uri.path_and_query().map(ToString::to_string).ok_or(Kind::BadRequest)?;
        if !target.starts_with('/') || fields.get_all("host").count() > 1 {
            return Err(Kind::BadRequest);
        }
        let authority = uri.authority().map(actix_http::uri::Authority::as_str);
        let host = request_host(authority, text(fields, "host")).ok_or(Kind::BadRequest)?;
        let patience_ms = match text(fields, headers::REMAINING_MS) {
            Some(text) => Some(text.trim().parse().map_err(|_| Kind::BadRequest)?),
            None => None,
        };
        Ok(Inbound {
            method: request.method().clone(),
            target,
            host,
            id: text(fields, headers::REQUEST_ID).map(str::to_owned),
            patience_ms,
            credentials: Credentials::None,
            workspace: None,
            fields: travelling(fields),
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

    /// Takes what says whose request it is, in whose place only a digest stays; where there are no workspaces it is
    /// for the backend servers and travels along.
    pub fn take_credentials(&mut self, has_workspaces: bool, hasher: &KeyHasher) {
        if has_workspaces {
            let shown = self.fields.iter().filter(|(name, _)| name == AUTHORIZATION);
            let values = shown.map(|(_, value)| value.as_slice());
            self.credentials = Credentials::read(values, hasher);
            self.fields.retain(|(name, _)| name != AUTHORIZATION);
        }
    }

    /// What the request is known again by; its body and workspace must be known.
    pub fn digest(&self, hasher: &RequestHasher) -> RequestDigest {
        *self.digest.get_or_init(|| {
            hasher.request(&Asked {
                method: self.method.as_str(),
                host: &self.host,
                target: &self.target,
                workspace: self.workspace.as_deref().unwrap_or_default(),
                body: &self.body,
            })
        })
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Writes the request for one instance, with the time that is left.
    pub fn encode(&self, instance: &str, left_ms: u64) -> Vec<u8> {
        let mut head = Head::open(self.method.as_str(), &self.target);
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

/// The fields that travel along: without those for one connection, those that `Connection` names,
/// and those that each hop sets anew.
fn travelling(fields: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named: Vec<String> = fields
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let set_anew = [
        headers::REQUEST_ID,
        headers::REMAINING_MS,
        headers::EXPECTED_INSTANCE,
        headers::WORKSPACE,
        "expect",
    ];
    let travels = |name: &str| {
        !is_hop_by_hop(name)
            && !set_anew.contains(&name)
            && (name == "host" || !named.iter().any(|other| other == name))
    };
    fields
        .iter()
        .filter(|(name, _)| travels(name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Tells whether a body was announced, refusing shapes by which requests are smuggled.
fn check_framing(request: &Request) -> Result<bool, Kind> {
    let fields = request.headers();
    let lengths = fields.get_all("content-length").count();
    let encodings = fields.get_all("transfer-encoding").count();
    let is_old = request.head().version < Version::HTTP_11;
    if lengths > 1 || encodings > 1 || (encodings > 0 && (is_old || lengths > 0)) {
        return Err(Kind::BadRequest);
    }
    Ok(lengths + encodings > 0)
}

/// A header field as text.
fn text<'a>(fields: &'a HeaderMap, name: &str) -> Option<&'a str> {
    fields.get(name).and_then(|value| value.to_str().ok())
}
