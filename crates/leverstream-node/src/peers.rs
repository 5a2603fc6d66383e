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

use crate::messages::{Adopt, Compare, Exchange, Fetch, ListMembers, MergeMembers, Offered};
use crate::questions::Questions;

/// How long a call to another VM may take.
const CALL_MS: u64 = 1_000;

/// How long a call for a stem may take; a VM that is slower is left out of the answer.
const STEM_MS: u64 = 400;

/// The most documents that are fetched in one call.
const FETCH_LIMIT: usize = 64;

/// The most connections to other VMs that are kept.
const CHANNELS_LIMIT: usize = 256;

/// Answers calls from other VMs.
#[derive(Clone)]
pub struct PeerService {
    /// What is asked of the control thread.
    control: Questions,
    /// What traffic threads share.
    proxy: Data<Proxy>,
    /// The fleet's key.
    key: FleetKey,
}

impl PeerService {
    /// Opens the service.
    pub fn open(control: Questions, proxy: Data<Proxy>, key: FleetKey) -> PeerService {
        PeerService { control, proxy, key }
    }

    /// Refuses a call that does not show the fleet's key.
    fn check<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let token = request.metadata().get(TOKEN_METADATA).and_then(|value| value.to_str().ok());
        if token.is_some_and(|token| self.key.accepts(token)) {
            return Ok(());
        }
        log::warn!("peers: a call without the fleet's key was refused.");
        Err(Status::unauthenticated("the fleet's key is missing"))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn stem(&self, request: Request<StemRequest>) -> Result<Response<StemReply>, Status> {
        self.check(&request)?;
        let stem = self.proxy.ticket_issuer.stem(self.proxy.now_ms()).to_bytes().to_vec();
        Ok(Response::new(StemReply { stem, holds_ms: self.proxy.ticket_issuer.ttl_ms() }))
    }

    async fn exchange(&self, request: Request<Digest>) -> Result<Response<Digest>, Status> {
        self.check(&request)?;
        let digest = request.into_inner();
        let answer = self.control.exchange.send(Exchange { digest, is_answer: false }).await;
        Ok(Response::new(answer.map_err(away)?))
    }

    async fn compare(&self, request: Request<Buckets>) -> Result<Response<Versions>, Status> {
        self.check(&request)?;
        let buckets = request.into_inner().hashes;
        let services = self.control.compare.send(Compare { buckets }).await.map_err(away)?;
        Ok(Response::new(Versions { services }))
    }

    async fn members(
        &self,
        request: Request<MembersRequest>,
    ) -> Result<Response<MembersReply>, Status> {
        self.check(&request)?;
        let members = self.control.members.send(ListMembers).await.map_err(away)?;
        Ok(Response::new(MembersReply { members }))
    }

    async fn fetch(&self, request: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        self.check(&request)?;
        let mut services = request.into_inner().services;
        services.truncate(FETCH_LIMIT);
        let objects = self.control.fetch.send(Fetch { services }).await.map_err(away)?;
        Ok(Response::new(FetchReply { objects }))
    }
}

/// The control thread is gone, as at the end of a stop.
fn away(_: actix::MailboxError) -> Status {
    Status::unavailable("the process is stopping")
}

/// Connections to other VMs, opened when they are needed and kept.
#[derive(Clone)]
pub struct Channels {
    /// The connections by address.
    channels: Rc<RefCell<HashMap<SocketAddr, Channel>>>,
    /// Shows the fleet's key on each call.
    token: ShowKey,
}

/// Puts the fleet's token on each call.
#[derive(Clone)]
pub struct ShowKey(MetadataValue<tonic::metadata::Ascii>);

impl Interceptor for ShowKey {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(TOKEN_METADATA, self.0.clone());
        Ok(request)
    }
}

/// A client of one other VM.
type Client = PeerClient<InterceptedService<Channel, ShowKey>>;

impl Channels {
    /// Opens an empty set.
    pub fn open(key: &FleetKey) -> Channels {
        let token = key.token().parse().unwrap_or_else(|_| MetadataValue::from_static(""));
        Channels { channels: Rc::default(), token: ShowKey(token) }
    }

    /// A client of the VM at an address; it connects with the first call.
    fn client(&self, address: SocketAddr) -> Option<Client> {
        let mut channels = self.channels.borrow_mut();
        if channels.len() >= CHANNELS_LIMIT && !channels.contains_key(&address) {
            channels.clear();
        }
        if let std::collections::hash_map::Entry::Vacant(entry) = channels.entry(address) {
            let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
            let timeout = Duration::from_millis(CALL_MS);
            entry.insert(endpoint.connect_timeout(timeout).timeout(timeout).connect_lazy());
        }
        let channel = channels.get(&address)?.clone();
        Some(PeerClient::with_interceptor(channel, self.token.clone()))
    }
}

/// Swaps evidence with another VM.
pub fn exchange(channels: &Channels, peer: SocketAddr, digest: Digest, control: Questions) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        if let Ok(answer) = client.exchange(digest).await {
            let digest = answer.into_inner();
            let _ = control.exchange.send(Exchange { digest, is_answer: true }).await;
        }
    });
}

/// Asks another VM which versions it holds that differ, and offers them to the control thread.
pub fn compare(channels: &Channels, peer: SocketAddr, hashes: Vec<u64>, control: Questions) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        if let Ok(answer) = client.compare(Buckets { hashes }).await {
            let versions = answer.into_inner().services;
            control.offer.do_send(Offered { from: peer, versions });
        }
    });
}

/// Asks another VM for all versions that it holds.
pub async fn versions(channels: &Channels, peer: SocketAddr) -> Option<Vec<ServiceVersion>> {
    let mut client = channels.client(peer)?;
    let answer = client.compare(Buckets { hashes: Vec::new() }).await.ok()?;
    Some(answer.into_inner().services)
}

/// Fetches documents from another VM.
pub fn fetch(channels: &Channels, peer: SocketAddr, services: Vec<String>, control: Questions) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        for part in services.chunks(FETCH_LIMIT) {
            let request = FetchRequest { services: part.to_vec() };
            let Ok(answer) = client.fetch(request).await else { break };
            let objects = answer.into_inner().objects;
            let docs = objects.iter().filter_map(|object| ServiceDoc::from_json(&object.json).ok());
            control.adopt.do_send(Adopt { docs: docs.collect() });
        }
        // Whatever failed may be fetched again.
        control.offer.do_send(Offered { from: peer, versions: Vec::new() });
    });
}

/// Asks another VM for all members that it knows.
pub fn list_members(channels: &Channels, peer: SocketAddr, control: Questions) {
    let Some(mut client) = channels.client(peer) else { return };
    actix_rt::spawn(async move {
        if let Ok(answer) = client.members(MembersRequest {}).await {
            control.merge.do_send(MergeMembers { members: answer.into_inner().members });
        }
    });
}

/// Fetches stems from other VMs at once and keeps them for the answers to callers.
pub async fn fetch_stems(channels: Channels, proxy: Data<Proxy>, vms: Vec<VmView>) {
    let fetches = vms.into_iter().map(|vm| fetch_stem(&channels, &proxy, vm));
    futures_util::future::join_all(fetches).await;
}

/// Fetches one stem; without an answer in time the VM gets none and is left out.
async fn fetch_stem(channels: &Channels, proxy: &Proxy, vm: VmView) {
    let Some(mut client) = channels.client(vm.peer_address) else { return };
    let asked_ms = proxy.now_ms();
    let call = client.stem(StemRequest {});
    let answer = tokio::time::timeout(Duration::from_millis(STEM_MS), call).await;
    let Ok(Ok(answer)) = answer else { return };
    let reply = answer.into_inner();
    let stem = Stem::from_bytes(&reply.stem).filter(|stem| stem.home == vm.id);
    if let Some(stem) = stem {
        let held = CachedStem { stem, ttl_ms: reply.holds_ms, fetched_ms: asked_ms };
        proxy.stems.lock().insert(vm.id, held);
    }
}
