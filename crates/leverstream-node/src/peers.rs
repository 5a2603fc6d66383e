//! Calls between VMs over gRPC: the service that answers them and the client side.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::Data;
use leverstream_peer::{
    Buckets, Digest, FetchReply, FetchRequest, FleetKey, MembersReply, MembersRequest, Peer,
    PeerClient, ServiceVersion, StemReply, StemRequest, TOKEN_METADATA, Versions,
};
use leverstream_proxy::{CachedStem, Proxy, VmView};
use leverstream_table::ServiceDoc;
use leverstream_ticket::Stem;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use crate::control_handle::ControlHandle;
use crate::messages::{
    Compare, Exchange, Fetch, ListMembers, MergeDocs, MergeMembers, OfferVersions,
};

/// The timeout of a call to another VM.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// The timeout of a call for a ticket stem; a slower VM is left out of the answer to the caller.
const STEM_TIMEOUT_MS: u64 = 400;

/// The maximum number of documents in one fetch call.
const MAX_DOCS_PER_FETCH: usize = 64;

/// The maximum number of open connections to other VMs.
const MAX_CHANNELS: usize = 256;

/// Answers calls from other VMs.
#[derive(Clone)]
pub struct PeerService {
    /// Sends messages to the control thread.
    control: ControlHandle,
    /// The state shared with traffic threads.
    proxy: Data<Proxy>,
    /// The fleet's key, which authenticates calls.
    key: FleetKey,
}

impl PeerService {
    /// Creates the service.
    pub fn new(control: ControlHandle, proxy: Data<Proxy>, key: FleetKey) -> PeerService {
        PeerService { control, proxy, key }
    }

    /// Rejects a call without a valid token of the fleet's key.
    fn check_token<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let token = request.metadata().get(TOKEN_METADATA).and_then(|value| value.to_str().ok());
        if token.is_some_and(|token| self.key.accepts(token)) {
            return Ok(());
        }
        log::warn!("peers: rejected a call without a valid fleet key.");
        Err(Status::unauthenticated("the fleet's key is missing"))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn stem(&self, request: Request<StemRequest>) -> Result<Response<StemReply>, Status> {
        self.check_token(&request)?;
        let stem = self.proxy.ticket_issuer.stem(self.proxy.now_ms()).to_bytes().to_vec();
        Ok(Response::new(StemReply { stem, holds_ms: self.proxy.ticket_issuer.ttl_ms() }))
    }

    async fn exchange(&self, request: Request<Digest>) -> Result<Response<Digest>, Status> {
        self.check_token(&request)?;
        let digest = request.into_inner();
        let answer = self.control.exchange.send(Exchange { digest, is_answer: false }).await;
        Ok(Response::new(answer.map_err(stopping)?))
    }

    async fn compare(&self, request: Request<Buckets>) -> Result<Response<Versions>, Status> {
        self.check_token(&request)?;
        let buckets = request.into_inner().hashes;
        let services = self.control.compare.send(Compare { buckets }).await.map_err(stopping)?;
        Ok(Response::new(Versions { services }))
    }

    async fn members(
        &self,
        request: Request<MembersRequest>,
    ) -> Result<Response<MembersReply>, Status> {
        self.check_token(&request)?;
        let members = self.control.members.send(ListMembers).await.map_err(stopping)?;
        Ok(Response::new(MembersReply { members }))
    }

    async fn fetch(&self, request: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        self.check_token(&request)?;
        let mut services = request.into_inner().services;
        services.truncate(MAX_DOCS_PER_FETCH);
        let objects = self.control.fetch.send(Fetch { services }).await.map_err(stopping)?;
        Ok(Response::new(FetchReply { objects }))
    }
}

/// The error when the control thread no longer runs, as at the end of a stop.
fn stopping(_: actix::MailboxError) -> Status {
    Status::unavailable("the process is stopping")
}

/// A pool of connections to other VMs, opened on first use.
#[derive(Clone)]
pub struct Channels {
    /// The connections by peer address.
    channels: Rc<RefCell<HashMap<SocketAddr, Channel>>>,
    /// Adds the fleet's token to each call.
    interceptor: TokenInterceptor,
}

/// Adds the token of the fleet's key to the metadata of each call.
#[derive(Clone)]
pub struct TokenInterceptor(MetadataValue<tonic::metadata::Ascii>);

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(TOKEN_METADATA, self.0.clone());
        Ok(request)
    }
}

/// A client for calls to one VM.
type Client = PeerClient<InterceptedService<Channel, TokenInterceptor>>;

impl Channels {
    /// Creates an empty pool.
    pub fn new(key: &FleetKey) -> Channels {
        let token = key.token().parse().unwrap_or_else(|_| MetadataValue::from_static(""));
        Channels { channels: Rc::default(), interceptor: TokenInterceptor(token) }
    }

    /// Returns a client for the VM at an address; it connects on its first call.
    ///
    /// A full pool is emptied before a new connection is added.
    fn client(&self, address: SocketAddr) -> Option<Client> {
        let mut channels = self.channels.borrow_mut();
        if channels.len() >= MAX_CHANNELS && !channels.contains_key(&address) {
            channels.clear();
        }
        if let std::collections::hash_map::Entry::Vacant(entry) = channels.entry(address) {
            let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
            let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
            entry.insert(endpoint.connect_timeout(timeout).timeout(timeout).connect_lazy());
        }
        let channel = channels.get(&address)?.clone();
        Some(PeerClient::with_interceptor(channel, self.interceptor.clone()))
    }
}

/// Sends evidence to another VM and delivers the evidence in its reply to the control thread.
pub fn exchange_evidence(
    channels: &Channels,
    peer: SocketAddr,
    digest: Digest,
    control: ControlHandle,
) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        if let Ok(answer) = client.exchange(digest).await {
            let digest = answer.into_inner();
            let _ = control.exchange.send(Exchange { digest, is_answer: true }).await;
        }
    });
}

/// Asks another VM for the versions that differ and offers them to the control thread.
pub fn compare_tables(
    channels: &Channels,
    peer: SocketAddr,
    hashes: Vec<u64>,
    control: ControlHandle,
) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        if let Ok(answer) = client.compare(Buckets { hashes }).await {
            let versions = answer.into_inner().services;
            control.offer_versions.do_send(OfferVersions { from: peer, versions });
        }
    });
}

/// Asks another VM for the versions of all its documents.
pub async fn list_versions(channels: &Channels, peer: SocketAddr) -> Option<Vec<ServiceVersion>> {
    let mut client = channels.client(peer)?;
    let answer = client.compare(Buckets { hashes: Vec::new() }).await.ok()?;
    Some(answer.into_inner().services)
}

/// Fetches documents from another VM and sends them to the control thread.
pub fn fetch_docs(
    channels: &Channels,
    peer: SocketAddr,
    services: Vec<String>,
    control: ControlHandle,
) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        for names in services.chunks(MAX_DOCS_PER_FETCH) {
            let request = FetchRequest { services: names.to_vec() };
            let Ok(answer) = client.fetch(request).await else { break };
            let objects = answer.into_inner().objects;
            let docs = objects.iter().filter_map(|object| ServiceDoc::from_json(&object.json).ok());
            control.merge_docs.do_send(MergeDocs { docs: docs.collect() });
        }
        // An empty offer allows the control thread to fetch failed services again.
        control.offer_versions.do_send(OfferVersions { from: peer, versions: Vec::new() });
    });
}

/// Asks another VM for its member list and sends it to the control thread.
pub fn list_members(channels: &Channels, peer: SocketAddr, control: ControlHandle) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        if let Ok(answer) = client.members(MembersRequest {}).await {
            control.merge_members.do_send(MergeMembers { members: answer.into_inner().members });
        }
    });
}

/// Fetches ticket stems from other VMs concurrently and stores them for the answers to callers.
///
/// A stem is the part of a ticket that only its home, the VM it names, can issue.
pub async fn fetch_stems(channels: Channels, proxy: Data<Proxy>, vms: Vec<VmView>) {
    let fetches = vms.into_iter().map(|vm| fetch_stem(&channels, &proxy, vm));
    futures_util::future::join_all(fetches).await;
}

/// Fetches one stem; a VM that does not answer in time is left out of answers to callers.
async fn fetch_stem(channels: &Channels, proxy: &Proxy, vm: VmView) {
    let Some(mut client) = channels.client(vm.peer_address) else { return };
    let requested_ms = proxy.now_ms();
    let call = client.stem(StemRequest {});
    let answer = tokio::time::timeout(Duration::from_millis(STEM_TIMEOUT_MS), call).await;
    let Ok(Ok(answer)) = answer else { return };
    let reply = answer.into_inner();
    let stem = Stem::from_bytes(&reply.stem).filter(|stem| stem.home == vm.id);
    if let Some(stem) = stem {
        let cached = CachedStem { stem, ttl_ms: reply.holds_ms, fetched_ms: requested_ms };
        proxy.stems.lock().insert(vm.id, cached);
    }
}
