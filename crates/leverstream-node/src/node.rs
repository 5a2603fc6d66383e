//! Starts and stops a process: its listeners, control thread, traffic threads and store tasks.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use arc_swap::ArcSwap;
use displaydoc::Display;
use futures_util::stream;
use leverstream_health::eject_rule;
use leverstream_member::{Identity, Swim, SwimSettings};
use leverstream_observe::{Registry, register_counter};
use leverstream_peer::{FleetKey, PACKET_LIMIT_BYTES, PeerServer};
use leverstream_platform::{CallKind, Store};
use leverstream_proxy::{
    Clock, Metrics, Proxy, ProxySettings, ServeRequest, Snapshot, StemRequest,
};
use leverstream_route::picker;
use leverstream_ticket::{Ledger, LedgerSettings, TicketIssuer};
use prometheus_client::metrics::gauge::Gauge;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::callers::{self, HEAD_TIMEOUT_MS};
use crate::control::{Control, ControlParts, Gauges};
use crate::control_handle::ControlHandle;
use crate::messages::{BeginStop, Datagram, MayStop, ServeService};
use crate::operators::{self, OperatorState};
use crate::peers::{self, Channels, PeerService};
use crate::settings::Settings;
use crate::store;

/// The capacity of the queue of observations for the control thread.
const OBSERVATION_QUEUE_CAPACITY: usize = 65_536;

/// The maximum number of attempts to bind TCP and UDP to the same free port.
const MAX_PORT_ATTEMPTS: u32 = 32;

/// The interval at which a planned stop checks whether it may end.
const STOP_POLL_MS: u64 = 50;

/// How long a stop waits for connections that are still open at its end.
const SHUTDOWN_TIMEOUT_S: u64 = 5;

/// A running process of the fleet.
pub struct Node {
    /// The address of the callers' listener.
    pub caller_address: SocketAddr,
    /// The address of the peers' listener.
    pub peer_address: SocketAddr,
    /// The address of the operators' listener.
    pub operator_address: SocketAddr,
    /// The actor of the control thread.
    control: Addr<Control>,
    /// The HTTP servers of callers and operators.
    servers: Vec<ServerHandle>,
}

/// Why a process could not start.
#[derive(Debug, Display)]
pub enum NodeError {
    /// cannot listen on the address of `{setting}`: {error}
    Bind {
        /// The key of the listener's address in the settings.
        setting: &'static str,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// `{0}` has no supported value
    UnsupportedSetting(&'static str),
}

impl std::error::Error for NodeError {}

impl Node {
    /// Binds the listeners and starts all tasks on the current actix system.
    pub async fn start(settings: Settings) -> Result<Node, NodeError> {
        let clock = Clock::start();
        let mut rng = StdRng::from_os_rng();
        let listener = listen("callers.listen", settings.callers.listen)?;
        let operators = listen("operators.listen", settings.operators.listen)?;
        let (peers, socket) = listen_tcp_and_udp(settings.peers.listen).await?;
        let caller_address = local_address("callers.listen", &listener)?;
        let peer_address = local_address("peers.listen", &peers)?;
        let operator_address = local_address("operators.listen", &operators)?;

        let identity = Identity {
            id: rng.random(),
            peer_address: settings.peers.advertise.unwrap_or(peer_address),
            caller_address: settings.callers.advertise.unwrap_or(caller_address),
            hall: settings.hall.clone(),
            capacity_per_s: 0,
        };
        let mut registry = Registry::with_prefix("leverstream");
        let (observation_sender, observations) = mpsc::channel(OBSERVATION_QUEUE_CAPACITY);
        let (stem_sender, stem_requests) = mpsc::channel(1_024);
        let (serve_sender, serve_requests) = mpsc::channel(1_024);
        let proxy = Data::new(Proxy {
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            clock,
            ticket_issuer: TicketIssuer::new(identity.id, settings.times.ticket_ttl_ms, &mut rng),
            ledger: Ledger::new(LedgerSettings {
                max_requests: settings.limits.ledger_entries,
                max_answer_bytes: settings.limits.ledger_answer_bytes,
            }),
            metrics: Metrics::new(&mut registry),
            picker: picker(&settings.traffic.picker)
                .ok_or(NodeError::UnsupportedSetting("traffic.picker"))?,
            settings: ProxySettings {
                answer_holds_ms: settings.times.answer_holds_ms,
                connect_timeout_ms: settings.times.connect_timeout_ms,
                max_answer_bytes: settings.limits.answer_bytes,
            },
            observations: observation_sender,
            stem_requests: stem_sender,
            serve_requests: serve_sender,
            stems: parking_lot::Mutex::default(),
        });
        let platform = new_platform_client(&settings, &mut registry)?;
        let fleet_key = FleetKey::derive(&settings.peers.key);
        let channels = Channels::new(&fleet_key);
        let socket = Rc::new(socket);
        let swim_settings = SwimSettings {
            period_ms: settings.times.ping_period_ms,
            ack_ms: settings.times.ping_period_ms / 3,
            suspicion_ms: settings.times.suspicion_ms,
            ..SwimSettings::default()
        };
        let gauges = register_gauges(&mut registry);
        let rule = eject_rule(&settings.traffic.eject_rule);
        let control = Control::new(ControlParts {
            proxy: proxy.clone(),
            swim: Swim::new(identity, swim_settings, rng, clock.now_ms()),
            eject_rule: rule.ok_or(NodeError::UnsupportedSetting("traffic.eject_rule"))?,
            platform: platform.clone(),
            channels: channels.clone(),
            fleet_key: fleet_key.clone(),
            socket: Rc::clone(&socket),
            observations,
            gauges: gauges.clone(),
            settings: settings.clone(),
        })
        .start();

        actix_rt::spawn(receive_datagrams(
            socket,
            fleet_key.clone(),
            control.clone(),
            gauges.refused_datagrams,
        ));
        actix_rt::spawn(serve_stems(stem_requests, channels, proxy.clone()));
        actix_rt::spawn(serve_services(serve_requests, control.clone()));
        let watch_ms = settings.platform.watch_ms;
        actix_rt::spawn(store::watch_table(platform.clone(), control.clone(), watch_ms));
        actix_rt::spawn(store::list_vms(platform, control.clone()));
        let control_handle = ControlHandle::new(&control);
        serve_peers(peers, PeerService::new(control_handle, proxy.clone(), fleet_key))?;
        let state = Data::new(OperatorState {
            control: control.clone(),
            key: settings.operators.key.clone(),
            registry: Arc::new(registry),
        });
        let server = callers::serve(listener, caller_address, proxy, &settings, SHUTDOWN_TIMEOUT_S)
            .map_err(|error| NodeError::Bind { setting: "callers.listen", error })?;
        let servers = vec![server, serve_operators(operators, state)?];
        log::info!("node: starting {} in hall {}.", settings.vm, settings.hall);
        log::info!("node: listens for callers on {caller_address}.");
        log::info!("node: listens for peers on {peer_address}.");
        log::info!("node: listens for operators on {operator_address}.");
        Ok(Node { caller_address, peer_address, operator_address, control, servers })
    }

    /// Performs a planned stop.
    ///
    /// Answers to callers no longer name this VM; it serves until earlier answers have expired and
    /// finishes the requests in flight.
    pub async fn stop(&self) {
        if self.control.send(BeginStop).await.is_err() {
            return;
        }
        while !self.control.send(MayStop).await.unwrap_or(true) {
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        for server in &self.servers {
            server.stop(true).await;
        }
        log::info!("node: stopped.");
    }
}

/// Binds a TCP listener to an address.
fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).map_err(|error| NodeError::Bind { setting, error })
}

/// Returns a listener's local address.
fn local_address(setting: &'static str, listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    listener.local_addr().map_err(|error| NodeError::Bind { setting, error })
}

/// Binds TCP and UDP to the same port.
async fn listen_tcp_and_udp(address: SocketAddr) -> Result<(TcpListener, UdpSocket), NodeError> {
    let setting = "peers.listen";
    let mut last_error = None;
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = listen(setting, address)?;
        match UdpSocket::bind(local_address(setting, &listener)?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 => return Err(NodeError::Bind { setting, error }),
            Err(error) => last_error = Some(error),
        }
    }
    let error = last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(NodeError::Bind { setting, error })
}

/// Creates the client of the platform's store and registers its call counts.
fn new_platform_client(settings: &Settings, registry: &mut Registry) -> Result<Store, NodeError> {
    let platform = &settings.platform;
    let address = platform.address().ok_or(NodeError::UnsupportedSetting("platform.url"))?;
    let store = Store::with_limits(address, platform.timeout_ms, platform.calls_per_s);
    let counts = [
        (CallKind::Get, "platform_get_calls"),
        (CallKind::List, "platform_list_calls"),
        (CallKind::Put, "platform_put_calls"),
        (CallKind::Watch, "platform_watch_calls"),
    ];
    for (call, name) in counts {
        let calls = store.calls();
        register_counter(registry, name, "Calls to the platform", move || calls.count(call));
    }
    Ok(store)
}

/// Creates and registers the control thread's gauges.
fn register_gauges(registry: &mut Registry) -> Gauges {
    let gauges = Gauges::default();
    let named = [
        ("members", "Members that are not dead", &gauges.members),
        ("table_services", "Services in the table", &gauges.services),
        ("services_served", "Services that this VM serves", &gauges.serving),
        ("news_age_ms", "Time since the store or another VM was heard", &gauges.news_age_ms),
        ("backends_ejected", "Backend servers out of service here", &gauges.ejected),
        ("datagrams_refused", "Datagrams refused", &gauges.refused_datagrams),
        ("datagram_bytes", "Bytes of datagrams sent", &gauges.datagram_bytes),
    ];
    for (name, help, gauge) in named {
        registry.register(name, help, gauge.clone());
    }
    gauges
}

/// Receives datagrams and passes the valid ones to the control thread.
async fn receive_datagrams(
    socket: Rc<UdpSocket>,
    key: FleetKey,
    control: Addr<Control>,
    refused_datagrams: Gauge,
) {
    let mut buffer = vec![0; PACKET_LIMIT_BYTES + 1];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut buffer).await else { continue };
        match key.unseal(&buffer[..count]) {
            Ok(packet) => {
                let _ = control.try_send(Datagram { from, packet });
            }
            Err(_) => {
                refused_datagrams.inc();
            }
        }
    }
}

/// Fetches the ticket stems that traffic threads request.
async fn serve_stems(
    mut requests: mpsc::Receiver<StemRequest>,
    channels: Channels,
    proxy: Data<Proxy>,
) {
    while let Some(request) = requests.recv().await {
        let (channels, proxy) = (channels.clone(), proxy.clone());
        actix_rt::spawn(async move {
            peers::fetch_stems(channels, proxy, request.vms).await;
            let _ = request.done.send(());
        });
    }
}

/// Asks the control thread to serve the services that traffic threads request.
async fn serve_services(mut requests: mpsc::Receiver<ServeRequest>, control: Addr<Control>) {
    while let Some(request) = requests.recv().await {
        let _ = control.send(ServeService { service: request.service }).await;
        let _ = request.done.send(());
    }
}

/// Serves calls from other VMs on the control thread.
fn serve_peers(listener: TcpListener, service: PeerService) -> Result<(), NodeError> {
    let setting = "peers.listen";
    let bind_error = |error| NodeError::Bind { setting, error };
    listener.set_nonblocking(true).map_err(bind_error)?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(bind_error)?;
    let incoming = stream::unfold(listener, |listener| async move {
        let accepted = listener.accept().await.map(|(stream, _)| {
            let _ = stream.set_nodelay(true);
            stream
        });
        Some((accepted, listener))
    });
    let server = tonic::transport::Server::builder()
        .add_service(PeerServer::new(service))
        .serve_with_incoming(incoming);
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("peers: the listener failed: {error}.");
        }
    });
    Ok(())
}

/// Serves operators on a separate thread.
fn serve_operators(
    listener: TcpListener,
    state: Data<OperatorState>,
) -> Result<ServerHandle, NodeError> {
    let server =
        HttpServer::new(move || App::new().app_data(state.clone()).configure(operators::configure))
            .workers(1)
            .client_request_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
            .shutdown_timeout(1)
            .disable_signals()
            .listen(listener)
            .map_err(|error| NodeError::Bind { setting: "operators.listen", error })?
            .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
