//! The actor of the control thread: it owns the table, the member list and backend health.
//!
//! It publishes its decisions as a snapshot that traffic threads read without locks.

mod evidence;
mod gauges;
mod handlers;
mod placement;
mod table;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix::{AsyncContext, Context};
use actix_web::web::Data;
use leverstream_health::EjectRule;
use leverstream_member::{Outgoing, Placement, Swim};
use leverstream_pace::TokenBucket;
use leverstream_peer::{FleetKey, PACKET_LIMIT_BYTES};
use leverstream_platform::Store;
use leverstream_proxy::{Members, Observation, Proxy, Snapshot, VmView};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

pub use self::gauges::Gauges;
use crate::peers::Channels;
use crate::probe;
use crate::service::Service;
use crate::settings::Settings;
use crate::table_replica::TableReplica;

/// The interval at which the control thread runs its periodic tasks.
const TICK_MS: u64 = 50;

/// How long a process that knows no other member waits after its start before it watches the store.
const PEER_DISCOVERY_MS: u64 = 1_000;

/// The evidence bytes per second that a process sends in exchanges it initiates.
///
/// The replies use the same amount again.
const EVIDENCE_BYTES_PER_S: f64 = 6_000.0;

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

    /// Milliseconds since the last contact with the store or another VM.
    pub(crate) fn news_age_ms(&self, now_ms: u64) -> u64 {
        let last_contact_ms = self.store_last_heard_ms.max(self.peer_last_heard_ms).unwrap_or(0);
        now_ms.saturating_sub(last_contact_ms)
    }
}
