mod handlers;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix::{AsyncContext, Context};
use actix_web::web::Data;
use leverstream_health::EjectRule;
use leverstream_member::{Member, Outgoing, Placement, Swim};
use leverstream_pace::TokenBucket;
use leverstream_peer::ServiceVersion;
use leverstream_peer::{Digest, FleetKey, PACKET_LIMIT_BYTES};
use leverstream_platform::Store;
use leverstream_proxy::{Members, Observation, Proxy, ServiceKey, Snapshot, VmView};
use leverstream_table::ServiceDoc;
use prometheus_client::metrics::gauge::Gauge;
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::book::Book;
use crate::peers::{self, Channels};
use crate::probe;
use crate::questions::Questions;
use crate::service::Service;
use crate::settings::Settings;

/// How often what is due is done.
const TICK_MS: u64 = 50;

/// The most observations taken in at once, so that one tick stays short.
const OBSERVATIONS_A_TICK: usize = 20_000;

/// How long after the start a process that knows nobody waits before it watches the store itself.
const ALONE_MS: u64 = 1_000;

/// The time between two comparisons of the table with another VM.
const COMPARE_MS: u64 = 1_000;

/// The same for a process that has no table yet.
const FIRST_COMPARE_MS: u64 = 100;

/// The least time between two lists of all members from another VM.
const MEMBERS_MS: u64 = 30_000;

/// The bytes a second of evidence that a process begins to exchange; the answers are as many again.
const EVIDENCE_BYTES_PER_S: f64 = 6_000.0;

/// What a call takes besides its message, in bytes.
const CALL_BYTES: usize = 120;

/// The time between two lists of all members, for each member.
const MEMBERS_MS_EACH: u64 = 43;

/// A leaving mark that still stands is told again after so many seconds; it counts for a minute.
const LEAVING_AGAIN_S: u64 = 30;

/// After so many seconds a leaving mark is forgotten.
const LEAVING_KEPT_S: u64 = 300;

/// How many waiting requests of a service may try again at each tick.
const WAKES_A_TICK: usize = 8;

/// The control thread's state: the one place where table, members and health are decided on.
pub struct Control {
    /// What traffic threads share.
    pub(crate) proxy: Data<Proxy>,
    /// The settings.
    pub(crate) settings: Settings,
    /// The members.
    pub(crate) swim: Swim,
    /// The table.
    pub(crate) book: Book,
    /// The services that this VM serves.
    pub(crate) services: HashMap<String, Service>,
    /// The last key given to a service.
    last_key: u32,
    /// How ejection is decided.
    rule: &'static EjectRule,
    /// The platform.
    pub(crate) platform: Store,
    /// Connections to other VMs.
    pub(crate) channels: Channels,
    /// The fleet's key.
    fleet_key: FleetKey,
    /// The socket for datagrams.
    socket: Rc<UdpSocket>,
    /// What traffic threads have observed.
    observations: mpsc::Receiver<Observation>,
    /// The members as they were last published.
    pub(crate) members: Arc<Members>,
    /// The VMs of each service, as last chosen.
    placements: HashMap<String, Placement>,
    /// Backend servers that the platform says leave, with when that was last read.
    leaving: HashMap<SocketAddr, u64>,
    /// The bytes of evidence that may still be sent.
    evidence: TokenBucket,
    /// The peer after which the next exchanges go on.
    last_peer: Option<SocketAddr>,
    /// When health checks were last made.
    pub(crate) probes: probe::Plan,
    /// When evidence was last exchanged.
    exchanged_ms: u64,
    /// When tables were last compared.
    compared_ms: u64,
    /// When all members were last listed from another VM.
    listed_ms: Option<u64>,
    /// Services being fetched.
    fetching: HashSet<String>,
    /// When the platform last answered.
    pub(crate) store_heard_ms: Option<u64>,
    /// When another VM was last heard.
    pub(crate) peer_heard_ms: Option<u64>,
    /// Since when the process is stopping as planned.
    pub(crate) leaving_since_ms: Option<u64>,
    /// What is counted.
    gauges: Gauges,
}

/// What a control thread needs to start.
pub struct Parts {
    /// What traffic threads share.
    pub proxy: Data<Proxy>,
    /// The settings.
    pub settings: Settings,
    /// The members.
    pub swim: Swim,
    /// How ejection is decided.
    pub rule: &'static EjectRule,
    /// The platform.
    pub platform: Store,
    /// Connections to other VMs.
    pub channels: Channels,
    /// The fleet's key.
    pub fleet_key: FleetKey,
    /// The socket for datagrams.
    pub socket: Rc<UdpSocket>,
    /// What traffic threads have observed.
    pub observations: mpsc::Receiver<Observation>,
    /// What is counted.
    pub gauges: Gauges,
}

/// What the control thread counts.
#[derive(Clone, Default)]
pub struct Gauges {
    /// Members that are not dead.
    pub members: Gauge,
    /// Services in the table.
    pub services: Gauge,
    /// Services that this VM serves.
    pub serving: Gauge,
    /// Milliseconds since the store or another VM was heard.
    pub news_age_ms: Gauge,
    /// Backend servers out of service here.
    pub ejected: Gauge,
    /// Datagrams refused.
    pub refused_datagrams: Gauge,
    /// Bytes of datagrams sent.
    pub datagram_bytes: Gauge,
}

impl Control {
    /// Puts the parts together.
    pub fn new(parts: Parts) -> Control {
        Control {
            proxy: parts.proxy,
            settings: parts.settings,
            swim: parts.swim,
            book: Book::open(),
            services: HashMap::new(),
            last_key: 0,
            rule: parts.rule,
            platform: parts.platform,
            channels: parts.channels,
            fleet_key: parts.fleet_key,
            socket: parts.socket,
            observations: parts.observations,
            members: Arc::default(),
            placements: HashMap::new(),
            leaving: HashMap::new(),
            evidence: TokenBucket::new(EVIDENCE_BYTES_PER_S, EVIDENCE_BYTES_PER_S, 0),
            last_peer: None,
            probes: probe::Plan::default(),
            exchanged_ms: 0,
            compared_ms: 0,
            listed_ms: None,
            fetching: HashSet::new(),
            store_heard_ms: None,
            peer_heard_ms: None,
            leaving_since_ms: None,
            gauges: parts.gauges,
        }
    }

    /// Does what is due and publishes the result.
    fn tick(&mut self, context: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.observe(now_ms);
        let out = self.swim.tick(now_ms);
        self.send(out);
        let changed = self.swim.take_changed();
        if !changed.is_empty() {
            self.place(&changed, now_ms);
        }
        for service in self.services.values_mut() {
            service.tick(now_ms);
        }
        self.drop_services(now_ms);
        self.exchange(context, now_ms);
        self.compare(context, now_ms);
        let checks = self.probes.due(self.services.values(), &self.swim, now_ms);
        probe::start(checks, &context.address().recipient());
        self.publish(now_ms);
        for service in self.services.values() {
            service.live.wake(WAKES_A_TICK);
        }
        self.proxy.ledger.remove_expired(now_ms);
        self.count(now_ms);
    }

    /// Takes in what traffic threads have observed.
    fn observe(&mut self, now_ms: u64) {
        let mut by_key: HashMap<ServiceKey, &mut Service> =
            self.services.values_mut().map(|service| (service.key, service)).collect();
        for _ in 0..OBSERVATIONS_A_TICK {
            let Ok(observation) = self.observations.try_recv() else { return };
            match observation {
                Observation::Finished {
                    service,
                    backend,
                    outcome,
                    time_ms,
                    charged_units,
                    is_trial,
                } => {
                    let Some(service) = by_key.get_mut(&service) else { continue };
                    service.health.finish(backend, outcome, time_ms, charged_units);
                    if is_trial {
                        service.health.finish_trial(backend, outcome, time_ms, now_ms);
                    }
                }
                Observation::Draining { service, backend } => {
                    if let Some(service) = by_key.get_mut(&service) {
                        service.health.drain(backend, now_ms);
                    }
                }
            }
        }
    }

    /// Sends datagrams; one that cannot be sent is lost like any other.
    fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, packet } in out {
            let datagram = self.fleet_key.seal(&packet);
            self.gauges.datagram_bytes.inc_by(datagram.len() as i64);
            if datagram.len() > PACKET_LIMIT_BYTES {
                log::warn!("members: a datagram of {} bytes is too large.", datagram.len());
            }
            let _ = self.socket.try_send_to(&datagram, to);
        }
    }

    /// Works out anew which services this VM serves, as far as changed members can move them.
    fn place(&mut self, changed: &[Member], now_ms: u64) {
        let halls = self.members.halls;
        self.members = Arc::new(Members::new(self.swim.remembered().cloned().collect()));
        let moves_all = self.members.halls != halls;
        let is_moved = |doc: &&Arc<ServiceDoc>| {
            let placement = self.placements.get(&doc.service);
            let by = |member: &Member| placement.is_none_or(|held| held.is_moved_by(member));
            moves_all || changed.iter().any(by)
        };
        let docs: Vec<Arc<ServiceDoc>> =
            self.book.docs().values().filter(is_moved).cloned().collect();
        for doc in docs {
            self.place_service(&doc, now_ms);
        }
    }

    /// Works out anew whether this VM serves a service.
    fn place_service(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        let me = self.swim.me().identity.id;
        let (placement, entry) = self.members.placement_of(doc);
        self.placements.insert(doc.service.clone(), placement);
        let is_mine = !doc.removed && doc.row.taken_over && entry.iter().any(|vm| vm.id == me);
        if is_mine {
            self.open_service(doc, now_ms);
        }
        let Some(service) = self.services.get_mut(&doc.service) else { return };
        service.entry = entry;
        service.set_doc(doc, now_ms);
        let keep_ms = self.settings.times.ticket_ttl_ms;
        service.kept_until_ms = match (is_mine, service.kept_until_ms) {
            (true, _) => None,
            (false, None) => Some(now_ms + keep_ms),
            (false, kept) => kept,
        };
    }

    /// Begins to serve a service, if it is not served already.
    fn open_service(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        if !self.services.contains_key(&doc.service) {
            self.last_key += 1;
            let service = Service::open(ServiceKey(self.last_key), doc, self.rule, now_ms);
            self.services.insert(doc.service.clone(), service);
        }
    }

    /// Serves a service of which this VM has been sent work, until its tickets have run out.
    fn serve_for_a_while(&mut self, name: &str, now_ms: u64) {
        let Some(doc) = self.book.doc(name).filter(|doc| !doc.removed).cloned() else { return };
        self.open_service(&doc, now_ms);
        self.place_service(&doc, now_ms);
        self.publish(now_ms);
    }

    /// Stops to serve what this VM was told to leave, once its tickets have run out.
    ///
    /// Not while requests wait or run, nor during a planned stop, which finishes what there is.
    fn drop_services(&mut self, now_ms: u64) {
        let is_stopping = self.leaving_since_ms.is_some();
        self.services.retain(|_, service| {
            let is_over = service.kept_until_ms.is_some_and(|until_ms| now_ms >= until_ms);
            is_stopping || !is_over || !service.is_idle()
        });
    }

    /// Swaps evidence with the VMs that serve the same services.
    fn exchange(&mut self, context: &Context<Control>, now_ms: u64) {
        if now_ms.saturating_sub(self.exchanged_ms) < self.settings.times.exchange_ms {
            return;
        }
        self.exchanged_ms = now_ms;
        let me = self.swim.me().identity.id;
        let digest = self.digest(now_ms);
        let mut peers: BTreeMap<SocketAddr, HashSet<String>> = BTreeMap::new();
        for service in self.services.values() {
            // One of each pair begins; the answer carries the other's evidence.
            for vm in service.entry.iter().filter(|vm| vm.id > me) {
                peers.entry(vm.peer_address).or_default().insert(service.doc.service.clone());
            }
        }
        // Whoever got none for want of bytes comes first the next time.
        let mut order: Vec<(SocketAddr, HashSet<String>)> = peers.into_iter().collect();
        let done = order.iter().take_while(|(peer, _)| Some(*peer) <= self.last_peer).count();
        order.rotate_left(done);
        for (peer, services) in order {
            let shared = digest.services.iter().filter(|part| services.contains(&part.service));
            let part = Digest { reporter: me, services: shared.cloned().collect() };
            let bytes = (part.encoded_len() + CALL_BYTES) as f64;
            if !self.evidence.try_take_many(bytes, now_ms) {
                return;
            }
            self.last_peer = Some(peer);
            peers::exchange(&self.channels, peer, part, Questions::to(&context.address()));
        }
    }

    /// The evidence of this VM.
    fn digest(&mut self, now_ms: u64) -> Digest {
        let services = self.services.values_mut().map(|service| service.digest(now_ms)).collect();
        Digest { reporter: self.swim.me().identity.id, services }
    }

    /// Compares the table with another VM's, and now and then the members.
    fn compare(&mut self, context: &Context<Control>, now_ms: u64) {
        let fingerprint = self.book.fingerprint();
        let every_ms = if fingerprint == 0 { FIRST_COMPARE_MS } else { COMPARE_MS };
        if now_ms.saturating_sub(self.compared_ms) < every_ms {
            return;
        }
        self.compared_ms = now_ms;
        let differing = self.members.list.iter().find(|member| {
            member.takes_callers() && member.table != 0 && member.table != fingerprint
        });
        let differing = differing.map(|member| member.identity.peer_address);
        if let Some(peer) = differing {
            let buckets = self.book.buckets().to_vec();
            peers::compare(&self.channels, peer, buckets, Questions::to(&context.address()));
        }
        let listed_age_ms = self.listed_ms.map(|listed_ms| now_ms.saturating_sub(listed_ms));
        let list_after_ms = MEMBERS_MS.max(self.members.list.len() as u64 * MEMBERS_MS_EACH);
        if listed_age_ms.is_none_or(|age_ms| age_ms >= list_after_ms)
            && let Some(peer) = self.swim.choose()
        {
            self.listed_ms = Some(now_ms);
            peers::list_members(&self.channels, peer, Questions::to(&context.address()));
        }
    }

    /// Takes documents in and tells others of the new ones.
    fn adopt(&mut self, docs: Vec<ServiceDoc>, now_ms: u64) {
        let mut adopted = Vec::new();
        for doc in docs {
            let (service, version) = (doc.service.clone(), doc.version);
            self.fetching.remove(&service);
            if self.book.adopt(doc) {
                log::info!("table: {service} is in force with version {version}.");
                adopted.push((service, version));
            }
        }
        let out = self.swim.set_table(self.book.fingerprint());
        self.send(out);
        let changed = self.swim.take_changed();
        if !changed.is_empty() {
            self.place(&changed, now_ms);
        }
        for (service, version) in adopted {
            if let Some(doc) = self.book.doc(&service).cloned() {
                self.place_service(&doc, now_ms);
            }
            let out = self.swim.announce(&service, version);
            self.send(out);
        }
        self.publish(now_ms);
    }

    /// Notes that a backend server leaves and tells others, unless that was done lately.
    fn take_leaving(&mut self, address: SocketAddr, marked_s: u64) {
        let now_ms = self.proxy.now_ms();
        let held_s = self.leaving.get(&address).copied().unwrap_or(0);
        if marked_s < held_s + LEAVING_AGAIN_S {
            return;
        }
        log::info!("table: the platform says that the backend server at {address} leaves.");
        self.leaving.insert(address, marked_s);
        self.leaving.retain(|_, held_s| *held_s + LEAVING_KEPT_S > marked_s);
        for service in self.services.values_mut() {
            service.drain_address(address, now_ms);
        }
        let out = self.swim.announce_leaving(address, marked_s);
        self.send(out);
        self.publish(now_ms);
    }

    /// Fetches what another VM holds in a newer version.
    fn fetch(&mut self, from: SocketAddr, versions: &[ServiceVersion], context: &Context<Control>) {
        let mut services = self.book.outdated(versions);
        services.retain(|service| self.fetching.insert(service.clone()));
        if !services.is_empty() {
            peers::fetch(&self.channels, from, services, Questions::to(&context.address()));
        }
    }

    /// Publishes what traffic threads need to know.
    fn publish(&mut self, now_ms: u64) {
        let serving = self
            .services
            .iter()
            .map(|(name, service)| (name.clone(), Arc::new(service.view(now_ms))))
            .collect();
        self.proxy.snapshot.store(Arc::new(Snapshot {
            own_vm: VmView::from(self.swim.me()),
            serving,
            docs: Arc::clone(self.book.docs()),
            members: Arc::clone(&self.members),
        }));
    }

    /// Brings the gauges up to date.
    fn count(&self, now_ms: u64) {
        let gauges = &self.gauges;
        gauges.members.set(self.members.list.len() as i64);
        gauges.services.set(self.book.docs().values().filter(|doc| !doc.removed).count() as i64);
        gauges.serving.set(self.services.len() as i64);
        gauges.news_age_ms.set(i64::try_from(self.news_age_ms(now_ms)).unwrap_or(i64::MAX));
        let ejected = self.services.values().map(|service| service.health.ejected()).sum::<usize>();
        gauges.ejected.set(ejected as i64);
    }

    /// Milliseconds since the store or another VM was heard.
    pub(crate) fn news_age_ms(&self, now_ms: u64) -> u64 {
        let heard_ms = self.store_heard_ms.max(self.peer_heard_ms).unwrap_or(0);
        now_ms.saturating_sub(heard_ms)
    }
}
