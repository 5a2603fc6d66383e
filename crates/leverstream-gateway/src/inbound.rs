//! Reads callers' requests, and encodes them for backend servers.

use std::cell::{Cell, OnceCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Payload, Request, Version};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use leverstream_catalog::request_host;
use leverstream_error::Kind;
use leverstream_peer::{FleetKey, RelayedRequest};
use leverstream_platform::headers;
use leverstream_suspect::{RequestDigest, RequestHasher, RequestIdentity};
use leverstream_wire::{RequestBody, RequestHead};
use leverstream_workspace::{Credentials, KeyDigest, KeyHasher};

use crate::caller_stream::BodyMemory;
use crate::connections::Connection;
use crate::memory::{Lease, Refused};
use crate::relay::{self, RELAYED_HEADER};
use crate::reply::is_hop_by_hop;

/// The header field that carries a caller's key.
const AUTHORIZATION: &str = "authorization";

/// The memory that is taken at a time for a body, so that its caller holds little more than it sends.
const BODY_STEP_BYTES: usize = 64 << 10;

/// The time that a caller which doesn't say how long it waits is taken to wait when its body is paused, in milliseconds.
const USUAL_TIMEOUT_MS: u64 = 4_000;

/// The part of its caller's time that the reading of a body may be paused (one in `PAUSE_DIVISOR`).
/// A request that is refused later than after a quarter of its objective counts as held in vain; of
/// all kinds of request, that is at least a twentieth of the caller's time.
const PAUSE_DIVISOR: u64 = 20;

/// The longest time that the reading of a body may be paused, in milliseconds, however long its
/// caller waits: objectives are not known yet, and may be far shorter than the caller's time.
const MAX_PAUSE_MS: u64 = 100;

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
    /// What another VM has said of the request, if it has passed it on.
    pub relayed: Option<RelayedRequest>,
    /// The workspace that the request belongs to; its name is sent to the backend server.
    pub workspace: Option<String>,
    /// The header fields to forward.
    fields: Vec<(String, Vec<u8>)>,
    /// Whether the caller announced a body.
    has_body: bool,
    /// The length that the caller announced for it, if it did.
    announced_bytes: Option<usize>,
    /// The connection that it arrived on, if it came from a network.
    connection: Option<Rc<Connection>>,
    /// The memory for the body, if it is limited.
    body_memory: Option<BodyMemory>,
    /// The body.
    pub body: Bytes,
    /// The digest that identifies repeats of the request, computed on first use.
    digest: OnceCell<RequestDigest>,
    /// Whether it must not be sent to another backend server.
    is_repeat_forbidden: Cell<bool>,
}

impl Inbound {
    /// Returns a number that stands for the request id, equal at all VMs that the request is passed on to.
    pub fn mark(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.id.hash(&mut hasher);
        hasher.finish()
    }

    /// Reads the head; rejects forms that allow request smuggling.
    ///
    /// A request that another VM has passed on is known by a header field sealed with `key`.
    pub fn parse(request: &Request, key: &FleetKey) -> Result<Inbound, Kind> {
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
        let id = text(fields, headers::REQUEST_ID).map(str::to_owned);
        let relayed = text(fields, RELAYED_HEADER)
            .and_then(|field| relay::unseal(key, field, id.as_deref().unwrap_or_default()));
        let body_memory = request.conn_data::<BodyMemory>().cloned();
        Ok(Inbound {
            method: request.method().clone(),
            target,
            host,
            id,
            caller_timeout_ms,
            credentials: Credentials::None,
            relayed,
            workspace: None,
            fields: forwarded_fields(fields),
            has_body,
            announced_bytes: text(fields, "content-length").and_then(|text| text.parse().ok()),
            connection: request.conn_data::<Rc<Connection>>().cloned(),
            body_memory,
            body: Bytes::new(),
            digest: OnceCell::new(),
            is_repeat_forbidden: Cell::new(false),
        })
    }

    /// Reads the body, up to a limit of its length, within a time.
    pub async fn read_body(
        &mut self,
        payload: Payload,
        limit: usize,
        timeout_ms: u64,
    ) -> Result<(), Kind> {
        if !self.has_body {
            return Ok(());
        }
        let connection = self.connection.clone();
        let body_read = connection.as_ref().map(|connection| connection.read_body());
        let read = self.read_payload(payload, limit, timeout_ms).await;
        if let Some(body_read) = body_read
            && read.is_ok()
        {
            body_read.finish();
        }
        read
    }

    /// Reads the bytes of the body, up to a limit of their number, within a time.
    async fn read_payload(
        &mut self,
        payload: Payload,
        limit: usize,
        timeout_ms: u64,
    ) -> Result<(), Kind> {
        let usual_timeout_ms = self.caller_timeout_ms.unwrap_or(USUAL_TIMEOUT_MS);
        let reading = async {
            match self.body_memory.take().zip(self.connection.as_deref()) {
                Some((body_memory, connection)) => {
                    let reader = BodyReader {
                        body_memory,
                        connection,
                        announced_bytes: self.announced_bytes,
                        limit,
                        max_pause_ms: (usual_timeout_ms / PAUSE_DIVISOR).min(MAX_PAUSE_MS),
                    };
                    reader.read(payload).await
                }
                None => read_unlimited(payload, limit).await,
            }
        };
        let read = tokio::time::timeout(Duration::from_millis(timeout_ms), reading).await;
        self.body = read.unwrap_or(Err(Kind::DeadlinePassed))?;
        Ok(())
    }

    /// Takes the credentials out of the header fields and keeps only a digest of the key. Without
    /// workspaces, the field is meant for the backend servers and is forwarded.
    pub fn take_credentials(&mut self, has_workspaces: bool, hasher: &KeyHasher) {
        if has_workspaces {
            let authorization_fields = self.fields.iter().filter(|(name, _)| name == AUTHORIZATION);
            let values = authorization_fields.map(|(_, value)| value.as_slice());
            self.credentials = match self.relayed.as_ref().map(|relayed| &relayed.key_digest) {
                Some(text) => {
                    KeyDigest::try_from(text.clone()).map_or(Credentials::None, Credentials::Key)
                }
                None => Credentials::read(values, hasher),
            };
            self.fields.retain(|(name, _)| name != AUTHORIZATION);
        }
    }

    /// Returns the digest of the caller's key as text; empty if it sent none.
    pub fn key_digest_text(&self) -> String {
        match self.credentials {
            Credentials::Key(digest) => digest.into(),
            Credentials::None | Credentials::Malformed => String::new(),
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

    /// Forbids sending the request to another backend server.
    pub fn forbid_repeats(&self) {
        self.is_repeat_forbidden.set(true);
    }

    /// Tells whether the request must not be sent to another backend server.
    pub fn is_repeat_forbidden(&self) -> bool {
        self.is_repeat_forbidden.get()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Encodes the head of the request for one instance, with the time left until its deadline.
    pub fn encode_head(&self, instance: &str, left_ms: u64) -> Vec<u8> {
        let mut head = self.start_head(left_ms);
        head.field(headers::EXPECTED_INSTANCE, instance.as_bytes());
        if let Some(workspace) = &self.workspace {
            head.field(headers::WORKSPACE, workspace.as_bytes());
        }
        head.finish_head()
    }

    /// Encodes the head of the request for another VM, with a sealed field and the time left until
    /// its deadline.
    pub fn encode_relayed_head(&self, sealed: &str, left_ms: u64) -> Vec<u8> {
        let mut head = self.start_head(left_ms);
        head.field(RELAYED_HEADER, sealed.as_bytes());
        head.finish_head()
    }

    /// Starts the head with the fields that every next hop gets.
    fn start_head(&self, left_ms: u64) -> RequestHead {
        let mut head = RequestHead::new(self.method.as_str(), &self.target);
        for (name, value) in &self.fields {
            head.field(name, value);
        }
        if let Some(id) = &self.id {
            head.field(headers::REQUEST_ID, id.as_bytes());
        }
        head.field(headers::REMAINING_MS, left_ms.to_string().as_bytes());
        if self.has_body {
            head.field("content-length", self.body.len().to_string().as_bytes());
        }
        head
    }
}

/// Reads a body whose memory is not limited.
async fn read_unlimited(mut payload: Payload, limit: usize) -> Result<Bytes, Kind> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.map_err(|_| Kind::BadRequest)?);
        if body.len() > limit {
            return Err(Kind::BodyTooLarge);
        }
    }
    Ok(body.freeze())
}

/// Reads a body within the limited memory.
struct BodyReader<'a> {
    /// The memory and the connection's reads.
    body_memory: BodyMemory,
    /// The connection.
    connection: &'a Connection,
    /// The length that the caller announced, if it did.
    announced_bytes: Option<usize>,
    /// The limit of the body's length, in bytes.
    limit: usize,
    /// The time that its reading may be paused in all, in milliseconds.
    max_pause_ms: u64,
}

impl BodyReader<'_> {
    /// Reads the body, unless it must make room for others; counts the requests refused for lack of memory.
    async fn read(self, payload: Payload) -> Result<Bytes, Kind> {
        let read = tokio::select! {
            biased;
            read = self.read_whole(payload) => read,
            () = self.connection.until_body_refused() => Err(Kind::MemoryShort),
        };
        self.connection.set_leased(0);
        if read.as_ref().is_err_and(|kind| *kind == Kind::MemoryShort) {
            self.body_memory.memory.meters().refused.inc();
        }
        read
    }

    /// Reads the body, and takes memory for each part before it is kept.
    async fn read_whole(&self, mut payload: Payload) -> Result<Bytes, Kind> {
        let (announced_bytes, limit) = (self.announced_bytes, self.limit);
        if announced_bytes.is_some_and(|bytes| bytes > limit) {
            return Err(Kind::BodyTooLarge);
        }
        let lease = self.body_memory.memory.open_body(announced_bytes);
        let lease = lease.ok_or(Kind::MemoryShort)?;
        let mut pause_left_ms = self.max_pause_ms;
        let mut taken_bytes = 0;
        // Memory that is reserved but not written to takes no room.
        let mut body = BytesMut::with_capacity(announced_bytes.unwrap_or_default());
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| Kind::BadRequest)?;
            let needed_bytes = body.len() + chunk.len();
            if needed_bytes > limit {
                return Err(Kind::BodyTooLarge);
            }
            if needed_bytes > taken_bytes {
                let up_to = needed_bytes.max(taken_bytes + BODY_STEP_BYTES);
                let up_to = up_to.min(announced_bytes.unwrap_or(limit)).max(needed_bytes);
                self.take(&lease, up_to - taken_bytes, &mut pause_left_ms).await?;
                taken_bytes = up_to;
                self.connection.set_leased(taken_bytes);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(lease.attach(body.freeze()))
    }

    /// Takes memory for the next part of a body. While there is none, the connection is not read, and those give way that make
    /// the least of it.
    async fn take(&self, lease: &Lease, bytes: usize, pause_left_ms: &mut u64) -> Result<(), Kind> {
        let _guard = self.body_memory.pause.start();
        let started_ms = self.body_memory.memory.now_ms();
        let pause_limit = Duration::from_millis(*pause_left_ms);
        let pool = self.connection.pool();
        let on_pause = || {
            self.connection.set_unread(true);
            pool.relieve(bytes);
        };
        let taken = tokio::time::timeout(pause_limit, lease.take(bytes, on_pause)).await;
        self.connection.set_unread(false);
        let paused_ms = self.body_memory.memory.now_ms().saturating_sub(started_ms);
        *pause_left_ms = pause_left_ms.saturating_sub(paused_ms);
        match taken {
            Ok(Ok(())) => Ok(()),
            Ok(Err(Refused)) | Err(_) => {
                pool.relieve(bytes);
                Err(Kind::MemoryShort)
            }
        }
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
        RELAYED_HEADER,
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

/// Returns the body that the HTTP library takes a request to announce.
pub(crate) fn announced_body(request: &Request) -> RequestBody {
    let fields = request.headers();
    if fields.contains_key("transfer-encoding") {
        return RequestBody::Chunked;
    }
    let is_websocket = text(fields, "upgrade")
        .is_some_and(|protocol| protocol.trim().eq_ignore_ascii_case("websocket"));
    if is_websocket || request.method() == Method::CONNECT {
        return RequestBody::Endless;
    }
    match text(fields, "content-length").and_then(|text| text.parse().ok()) {
        Some(0) | None => RequestBody::None,
        Some(bytes) => RequestBody::Sized(bytes),
    }
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
