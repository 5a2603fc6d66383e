//! The actor of the control thread: it owns the table, the member list and backend health.
//!
//! It publishes its decisions as a snapshot that traffic threads read without locks.

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

use crate::control_handle::ControlHandle;
use crate::peers::{self, Channels};
use crate::probe;
use crate::service::Service;
use crate::settings::Settings;
use crate::table_replica::TableReplica;

/// The interval at which the control thread runs its periodic tasks.
const TICK_MS: u64 = 50;

/// The most observations processed in one tick, which bounds the duration of a tick.
const MAX_OBSERVATIONS_PER_TICK: usize = 20_000;

/// How long a process that knows no other member waits after its start before it watches the store.
const PEER_DISCOVERY_MS: u64 = 1_000;

/// The interval between comparisons of the table with another VM.
const COMPARE_INTERVAL_MS: u64 = 1_000;

/// The interval between comparisons while this process has no table yet.
const EMPTY_TABLE_COMPARE_INTERVAL_MS: u64 = 100;

/// The minimum interval between requests to another VM for its full member list.
const MIN_LIST_MEMBERS_INTERVAL_MS: u64 = 30_000;

/// The evidence bytes per second that a process sends in exchanges it initiates.
///
/// The replies use the same amount again.
const EVIDENCE_BYTES_PER_S: f64 = 6_000.0;

/// The bytes that a call sends in addition to its message.
const CALL_OVERHEAD_BYTES: usize = 120;

/// The interval between requests for the full member list, per known member.
const LIST_MEMBERS_INTERVAL_MS_PER_MEMBER: u64 = 43;

/// How long after its last announcement a leaving mark that still applies is announced again.
///
/// A mark is valid for a minute.
const LEAVING_REANNOUNCE_S: u64 = 30;

/// How long a leaving mark is remembered.
const LEAVING_RETENTION_S: u64 = 300;

/// How many queued requests of a service are woken in each tick to try again.
const WAKES_PER_TICK: usize = 8;

/// The state of the control thread, the only place that changes table, members and health.
pub struct Control {
    /// The state shared with traffic threads.
    pub(crate) proxy: Data<Proxy>,
    /// The settings of this process.
    pub(crate) settings: Settings,
    /// The membership protocol.
    pub(crate) swim: Swim,
    /// The local replica of the table.
    pub(crate) replica: TableReplica,
    /// The services that this VM serves, by name.
    pub(crate) services: HashMap<String, Service>,
    /// The key that was last assigned to a service.
    last_key: u32,
    /// The rule that decides on ejections.
    eject_rule: &'static EjectRule,
    /// The client of the platform's store.
    pub(crate) platform: Store,
    /// Connections to other VMs.
    pub(crate) channels: Channels,
    /// The fleet's key.
    fleet_key: FleetKey,
    /// The UDP socket for datagrams between members.
    socket: Rc<UdpSocket>,
    /// The observations that traffic threads report.
    observations: mpsc::Receiver<Observation>,
    /// The members as last published to traffic threads.
    pub(crate) members: Arc<Members>,
    /// The current placement of each service on VMs.
    placements: HashMap<String, Placement>,
    /// The backend servers that the platform marks as leaving, with the Unix time of the mark.
    leaving: HashMap<SocketAddr, u64>,
    /// Limits the evidence bytes sent to other VMs.
    evidence_budget: TokenBucket,
    /// The peer of the last exchange; the next round continues after it.
    last_exchange_peer: Option<SocketAddr>,
    /// The schedule of active health checks.
    pub(crate) probes: probe::ProbeSchedule,
    /// When the last round of evidence exchanges began.
    exchanged_ms: u64,
    /// When the table was last compared with another VM.
    compared_ms: u64,
    /// When a full member list was last requested from another VM.
    listed_ms: Option<u64>,
    /// The services whose documents are being fetched.
    fetching: HashSet<String>,
    /// When the store last answered.
    pub(crate) store_last_heard_ms: Option<u64>,
    /// When a datagram from another VM last arrived.
    pub(crate) peer_last_heard_ms: Option<u64>,
    /// When the planned stop began, if one is in progress.
    pub(crate) stopping_since_ms: Option<u64>,
    /// The control thread's metrics.
    gauges: Gauges,
}

/// The dependencies of a [`Control`].
pub struct ControlParts {
    /// The state shared with traffic threads.
    pub proxy: Data<Proxy>,
    /// The settings of this process.
    pub settings: Settings,
    /// The membership protocol.
    pub swim: Swim,
    /// The rule that decides on ejections.
    pub eject_rule: &'static EjectRule,
    /// The client of the platform's store.
    pub platform: Store,
    /// Connections to other VMs.
    pub channels: Channels,
    /// The fleet's key.
    pub fleet_key: FleetKey,
    /// The UDP socket for datagrams between members.
    pub socket: Rc<UdpSocket>,
    /// The observations that traffic threads report.
    pub observations: mpsc::Receiver<Observation>,
    /// The control thread's metrics.
    pub gauges: Gauges,
}

/// The metrics that the control thread sets.
#[derive(Clone, Default)]
pub struct Gauges {
    /// Members that are not dead.
    pub members: Gauge,
    /// Services in the table.
    pub services: Gauge,
    /// Services that this VM serves.
    pub serving: Gauge,
    /// Milliseconds since the last contact with the store or another VM.
    pub news_age_ms: Gauge,
    /// Backend servers that this VM has ejected.
    pub ejected: Gauge,
    /// Datagrams rejected because they could not be authenticated or decoded.
    pub refused_datagrams: Gauge,
    /// Bytes of datagrams sent.
    pub datagram_bytes: Gauge,
}

impl Control {
    /// Creates the control state from its dependencies.
    pub fn new(parts: ControlParts) -> Control {
        Control {
            proxy: parts.proxy,
            settings: parts.settings,
            swim: parts.swim,
            replica: TableReplica::new(),
            services: HashMap::new(),
            last_key: 0,
            eject_rule: parts.eject_rule,
            platform: parts.platform,
            channels: parts.channels,
            fleet_key: parts.fleet_key,
            socket: parts.socket,
            observations: parts.observations,
            members: Arc::default(),
            placements: HashMap::new(),
            leaving: HashMap::new(),
            evidence_budget: TokenBucket::new(EVIDENCE_BYTES_PER_S, EVIDENCE_BYTES_PER_S, 0),
            last_exchange_peer: None,
            probes: probe::ProbeSchedule::default(),
            exchanged_ms: 0,
            compared_ms: 0,
            listed_ms: None,
            fetching: HashSet::new(),
            store_last_heard_ms: None,
            peer_last_heard_ms: None,
            stopping_since_ms: None,
            gauges: parts.gauges,
        }
    }

    /// Runs the periodic tasks and publishes a new snapshot.
    fn tick(&mut self, context: &mut Context<Control>) {
        let now_ms = self.proxy.now_ms();
        self.apply_observations(now_ms);
        let datagrams = self.swim.tick(now_ms);
        self.send_datagrams(datagrams);
        let changed = self.swim.take_changed();
        if !changed.is_empty() {
            self.update_placements(&changed, now_ms);
        }
        for service in self.services.values_mut() {
            service.tick(now_ms);
        }
        self.remove_expired_services(now_ms);
        self.exchange_evidence(context, now_ms);
        self.compare_tables(context, now_ms);
        let checks = self.probes.due(self.services.values(), &self.swim, now_ms);
        probe::start_checks(checks, &context.address().recipient());
        self.publish_snapshot(now_ms);
        for service in self.services.values() {
            service.state.wake(WAKES_PER_TICK);
        }
        self.proxy.ledger.remove_expired(now_ms);
        self.update_gauges(now_ms);
    }

    /// Applies observations of traffic threads to the health of backend servers.
    fn apply_observations(&mut self, now_ms: u64) {
        let mut by_key: HashMap<ServiceKey, &mut Service> =
            self.services.values_mut().map(|service| (service.key, service)).collect();
        for _ in 0..MAX_OBSERVATIONS_PER_TICK {
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

    /// Sends datagrams; one that fails to send counts as lost in the network.
    fn send_datagrams(&self, datagrams: Vec<Outgoing>) {
        for Outgoing { to, packet } in datagrams {
            let datagram = self.fleet_key.seal(&packet);
            self.gauges.datagram_bytes.inc_by(datagram.len() as i64);
            if datagram.len() > PACKET_LIMIT_BYTES {
                log::warn!(
                    "members: a datagram of {} bytes exceeds the size limit.",
                    datagram.len()
                );
            }
            let _ = self.socket.try_send_to(&datagram, to);
        }
    }

    /// Recomputes the placement of the services that a change of members can move.
    fn update_placements(&mut self, changed: &[Member], now_ms: u64) {
        let halls = self.members.halls;
        self.members = Arc::new(Members::new(self.swim.remembered().cloned().collect()));
        let moves_all = self.members.halls != halls;
        let is_moved = |doc: &&Arc<ServiceDoc>| {
            let placement = self.placements.get(&doc.service);
            let moves = |member: &Member| {
                placement.is_none_or(|placement| placement.is_affected_by(member))
            };
            moves_all || changed.iter().any(moves)
        };
        let docs: Vec<Arc<ServiceDoc>> =
            self.replica.docs().values().filter(is_moved).cloned().collect();
        for doc in docs {
            self.update_placement(&doc, now_ms);
        }
    }

    /// Recomputes the placement of a service and whether this VM serves it.
    fn update_placement(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        let me = self.swim.me().identity.id;
        let (placement, entry) = self.members.placement_of(doc);
        self.placements.insert(doc.service.clone(), placement);
        let is_served_here =
            !doc.removed && doc.row.taken_over && entry.iter().any(|vm| vm.id == me);
        if is_served_here {
            self.add_service(doc, now_ms);
        }
        let Some(service) = self.services.get_mut(&doc.service) else { return };
        service.entry_vms = entry;
        service.set_doc(doc, now_ms);
        let ticket_ttl_ms = self.settings.times.ticket_ttl_ms;
        service.serves_until_ms = match (is_served_here, service.serves_until_ms) {
            (true, _) => None,
            (false, None) => Some(now_ms + ticket_ttl_ms),
            (false, until_ms) => until_ms,
        };
    }

    /// Starts to serve a service that this VM does not serve yet.
    fn add_service(&mut self, doc: &Arc<ServiceDoc>, now_ms: u64) {
        if !self.services.contains_key(&doc.service) {
            self.last_key += 1;
            let service = Service::new(ServiceKey(self.last_key), doc, self.eject_rule, now_ms);
            self.services.insert(doc.service.clone(), service);
        }
    }

    /// Serves a service for which this VM received requests, until the tickets for it expire.
    fn serve_temporarily(&mut self, name: &str, now_ms: u64) {
        let Some(doc) = self.replica.doc(name).filter(|doc| !doc.removed).cloned() else { return };
        self.add_service(&doc, now_ms);
        self.update_placement(&doc, now_ms);
        self.publish_snapshot(now_ms);
    }

    /// Removes the services that moved to other VMs, once their tickets have expired.
    ///
    /// A service stays while requests are queued or in flight, and during a planned stop, which
    /// finishes all remaining requests.
    fn remove_expired_services(&mut self, now_ms: u64) {
        let is_stopping = self.stopping_since_ms.is_some();
        self.services.retain(|_, service| {
            let is_expired = service.serves_until_ms.is_some_and(|until_ms| now_ms >= until_ms);
            is_stopping || !is_expired || !service.is_idle()
        });
    }

    /// Exchanges evidence with the VMs that serve the same services.
    fn exchange_evidence(&mut self, context: &Context<Control>, now_ms: u64) {
        if now_ms.saturating_sub(self.exchanged_ms) < self.settings.times.exchange_ms {
            return;
        }
        self.exchanged_ms = now_ms;
        let me = self.swim.me().identity.id;
        let digest = self.collect_evidence(now_ms);
        let mut peers: BTreeMap<SocketAddr, HashSet<String>> = BTreeMap::new();
        for service in self.services.values() {
            // The VM with the lower id initiates; the reply carries the other VM's evidence.
            for vm in service.entry_vms.iter().filter(|vm| vm.id > me) {
                peers.entry(vm.peer_address).or_default().insert(service.doc.service.clone());
            }
        }
        // Peers skipped because the byte budget ran out come first in the next round.
        let mut order: Vec<(SocketAddr, HashSet<String>)> = peers.into_iter().collect();
        let already_exchanged =
            order.iter().take_while(|(peer, _)| Some(*peer) <= self.last_exchange_peer).count();
        order.rotate_left(already_exchanged);
        for (peer, services) in order {
            let shared = digest.services.iter().filter(|digest| services.contains(&digest.service));
            let shared_digest = Digest { reporter: me, services: shared.cloned().collect() };
            let bytes = (shared_digest.encoded_len() + CALL_OVERHEAD_BYTES) as f64;
            if !self.evidence_budget.try_take_many(bytes, now_ms) {
                return;
            }
            self.last_exchange_peer = Some(peer);
            peers::exchange_evidence(
                &self.channels,
                peer,
                shared_digest,
                ControlHandle::new(&context.address()),
            );
        }
    }

    /// Collects the evidence of this VM.
    fn collect_evidence(&mut self, now_ms: u64) -> Digest {
        let services = self.services.values_mut().map(|service| service.digest(now_ms)).collect();
        Digest { reporter: self.swim.me().identity.id, services }
    }

    /// Compares the table with another VM and periodically requests a full member list.
    fn compare_tables(&mut self, context: &Context<Control>, now_ms: u64) {
        let fingerprint = self.replica.fingerprint();
        let interval_ms =
            if fingerprint == 0 { EMPTY_TABLE_COMPARE_INTERVAL_MS } else { COMPARE_INTERVAL_MS };
        if now_ms.saturating_sub(self.compared_ms) < interval_ms {
            return;
        }
        self.compared_ms = now_ms;
        let differing = self.members.list.iter().find(|member| {
            member.takes_callers() && member.table != 0 && member.table != fingerprint
        });
        let differing = differing.map(|member| member.identity.peer_address);
        if let Some(peer) = differing {
            let buckets = self.replica.buckets().to_vec();
            peers::compare_tables(
                &self.channels,
                peer,
                buckets,
                ControlHandle::new(&context.address()),
            );
        }
        let listed_age_ms = self.listed_ms.map(|listed_ms| now_ms.saturating_sub(listed_ms));
        let list_interval_ms = MIN_LIST_MEMBERS_INTERVAL_MS
            .max(self.members.list.len() as u64 * LIST_MEMBERS_INTERVAL_MS_PER_MEMBER);
        if listed_age_ms.is_none_or(|age_ms| age_ms >= list_interval_ms)
            && let Some(peer) = self.swim.choose_peer()
        {
            self.listed_ms = Some(now_ms);
            peers::list_members(&self.channels, peer, ControlHandle::new(&context.address()));
        }
    }

    /// Merges documents into the table and announces the newer ones to other VMs.
    fn merge_docs(&mut self, docs: Vec<ServiceDoc>, now_ms: u64) {
        let mut newer = Vec::new();
        for doc in docs {
            let (service, version) = (doc.service.clone(), doc.version);
            self.fetching.remove(&service);
            if self.replica.merge(doc) {
                log::info!("table: applied version {version} of {service}.");
                newer.push((service, version));
            }
        }
        let datagrams = self.swim.set_table(self.replica.fingerprint());
        self.send_datagrams(datagrams);
        let changed = self.swim.take_changed();
        if !changed.is_empty() {
            self.update_placements(&changed, now_ms);
        }
        for (service, version) in newer {
            if let Some(doc) = self.replica.doc(&service).cloned() {
                self.update_placement(&doc, now_ms);
            }
            let datagrams = self.swim.announce(&service, version);
            self.send_datagrams(datagrams);
        }
        self.publish_snapshot(now_ms);
    }

    /// Records that a backend server is leaving and announces it, unless this was done recently.
    fn record_leaving(&mut self, address: SocketAddr, marked_s: u64) {
        let now_ms = self.proxy.now_ms();
        let previous_s = self.leaving.get(&address).copied().unwrap_or(0);
        if marked_s < previous_s + LEAVING_REANNOUNCE_S {
            return;
        }
        log::info!("table: the platform marks the backend server at {address} as leaving.");
        self.leaving.insert(address, marked_s);
        self.leaving.retain(|_, previous_s| *previous_s + LEAVING_RETENTION_S > marked_s);
        for service in self.services.values_mut() {
            service.drain_address(address, now_ms);
        }
        let datagrams = self.swim.announce_leaving(address, marked_s);
        self.send_datagrams(datagrams);
        self.publish_snapshot(now_ms);
    }

    /// Fetches the documents of which another VM has a newer version.
    fn fetch_outdated(
        &mut self,
        from: SocketAddr,
        versions: &[ServiceVersion],
        context: &Context<Control>,
    ) {
        let mut services = self.replica.outdated(versions);
        services.retain(|service| self.fetching.insert(service.clone()));
        if !services.is_empty() {
            peers::fetch_docs(
                &self.channels,
                from,
                services,
                ControlHandle::new(&context.address()),
            );
        }
    }

    /// Publishes a new snapshot for traffic threads.
    fn publish_snapshot(&mut self, now_ms: u64) {
        let serving = self
            .services
            .iter()
            .map(|(name, service)| (name.clone(), Arc::new(service.view(now_ms))))
            .collect();
        self.proxy.snapshot.store(Arc::new(Snapshot {
            own_vm: VmView::from(self.swim.me()),
            serving,
            docs: Arc::clone(self.replica.docs()),
            members: Arc::clone(&self.members),
        }));
    }

    /// Updates the gauges.
    fn update_gauges(&self, now_ms: u64) {
        let gauges = &self.gauges;
        gauges.members.set(self.members.list.len() as i64);
        gauges.services.set(self.replica.docs().values().filter(|doc| !doc.removed).count() as i64);
        gauges.serving.set(self.services.len() as i64);
        gauges.news_age_ms.set(i64::try_from(self.news_age_ms(now_ms)).unwrap_or(i64::MAX));
        let ejected = self.services.values().map(|service| service.health.ejected()).sum::<usize>();
        gauges.ejected.set(ejected as i64);
    }

    /// Milliseconds since the last contact with the store or another VM.
    pub(crate) fn news_age_ms(&self, now_ms: u64) -> u64 {
        let last_contact_ms = self.store_last_heard_ms.max(self.peer_last_heard_ms).unwrap_or(0);
        now_ms.saturating_sub(last_contact_ms)
    }
}
