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
use leverstream_observe::{Registry, register_count};
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

use crate::control::{Control, Gauges, Parts};
use crate::messages::{Datagram, Leave, MayStop, ServeService};
use crate::operators::{self, Desk};
use crate::peers::{self, Channels, PeerService};
use crate::questions::Questions;
use crate::settings::Settings;
use crate::store;

/// The most observations that wait for the control thread.
const OBSERVATIONS_LIMIT: usize = 65_536;

/// How often a TCP and a UDP port of the same number are looked for.
const PORT_TRIES: u32 = 32;

/// How often a planned stop looks whether it may end.
const STOP_POLL_MS: u64 = 50;

/// How long connections that are still open at the end of a stop are given, in seconds.
const SHUTDOWN_S: u64 = 5;

/// A caller that has not sent a request's head after this time is dropped.
const HEAD_MS: u64 = 10_000;

/// A running process of the fleet.
pub struct Node {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The control thread.
    control: Addr<Control>,
    /// The callers' and the operators' servers.
    servers: Vec<ServerHandle>,
}

/// Why a process could not start.
#[derive(Debug, Display)]
pub enum NodeError {
    /// `{place}` cannot be listened on: {error}
    Bind {
        /// The settings key.
        place: &'static str,
        /// What the system said.
        error: std::io::Error,
    },
    /// `{0}` names nothing that is built in
    Plugin(&'static str),
}

impl std::error::Error for NodeError {}

impl Node {
    /// Binds the listeners and starts all parts on the present actix system.
    pub async fn open(settings: Settings) -> Result<Node, NodeError> {
        let clock = Clock::start();
        let mut rng = StdRng::from_os_rng();
        let callers = listen("callers.listen", settings.callers.listen)?;
        let operators = listen("operators.listen", settings.operators.listen)?;
        let (peers, socket) = listen_twice(settings.peers.listen).await?;
        let caller_address = bound("callers.listen", &callers)?;
        let peer_address = bound("peers.listen", &peers)?;
        let operator_address = bound("operators.listen", &operators)?;

        let identity = Identity {
            id: rng.random(),
            peer_address: settings.peers.advertise.unwrap_or(peer_address),
            caller_address: settings.callers.advertise.unwrap_or(caller_address),
            hall: settings.hall.clone(),
            capacity_per_s: 0,
        };
        let mut registry = Registry::with_prefix("leverstream");
        let (observation_sender, observations) = mpsc::channel(OBSERVATIONS_LIMIT);
        let (stem_sender, stem_requests) = mpsc::channel(1_024);
        let (serve_sender, serve_requests) = mpsc::channel(1_024);
        let proxy = Data::new(Proxy {
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            clock,
            mint: TicketIssuer::new(identity.id, settings.times.ticket_ttl_ms, &mut rng),
            ledger: Ledger::new(LedgerSettings {
                max_requests: settings.limits.ledger_entries,
                max_answer_bytes: settings.limits.ledger_answer_bytes,
            }),
            metrics: Metrics::open(&mut registry),
            picker: picker(&settings.traffic.picker).ok_or(NodeError::Plugin("traffic.picker"))?,
            settings: ProxySettings {
                answer_holds_ms: settings.times.answer_holds_ms,
                connect_timeout_ms: settings.times.connect_timeout_ms,
                answer_limit_bytes: settings.limits.answer_bytes,
            },
            observations: observation_sender,
            stem_requests: stem_sender,
            serve_requests: serve_sender,
            stems: parking_lot::Mutex::default(),
        });
        let platform = open_platform(&settings, &mut registry)?;
        let fleet_key = FleetKey::derive(&settings.peers.key);
        let channels = Channels::open(&fleet_key);
        let socket = Rc::new(socket);
        let swim_settings = SwimSettings {
            period_ms: settings.times.ping_period_ms,
            ack_ms: settings.times.ping_period_ms / 3,
            suspicion_ms: settings.times.suspicion_ms,
            ..SwimSettings::default()
        };
        let gauges = open_gauges(&mut registry);
        let rule = eject_rule(&settings.traffic.eject_rule);
        let control = Control::new(Parts {
            proxy: proxy.clone(),
            swim: Swim::open(identity, swim_settings, rng, clock.now_ms()),
            rule: rule.ok_or(NodeError::Plugin("traffic.eject_rule"))?,
            platform: platform.clone(),
            channels: channels.clone(),
            fleet_key: fleet_key.clone(),
            socket: Rc::clone(&socket),
            observations,
            gauges: gauges.clone(),
            settings: settings.clone(),
        })
        .start();

        actix_rt::spawn(receive(
            socket,
            fleet_key.clone(),
            control.clone(),
            gauges.refused_datagrams,
        ));
        actix_rt::spawn(serve_stems(stem_requests, channels, proxy.clone()));
        actix_rt::spawn(serve_services(serve_requests, control.clone()));
        let wait_ms = settings.platform.watch_ms;
        actix_rt::spawn(store::watch(platform.clone(), control.clone(), wait_ms));
        actix_rt::spawn(store::list_vms(platform, control.clone()));
        let questions = Questions::to(&control);
        serve_peers(peers, PeerService::open(questions, proxy.clone(), fleet_key))?;
        let desk = Data::new(Desk {
            control: control.clone(),
            key: settings.operators.key.clone(),
            registry: Arc::new(registry),
        });
        let servers =
            vec![serve_callers(callers, proxy, &settings)?, serve_operators(operators, desk)?];
        log::info!("node: {} in hall {} starts.", settings.vm, settings.hall);
        log::info!("node: listens for callers on {caller_address}.");
        log::info!("node: listens for peers on {peer_address}.");
        log::info!("node: listens for operators on {operator_address}.");
        Ok(Node { caller_address, peer_address, operator_address, control, servers })
    }

    /// Stops as planned: leaves the answers, serves until they have run out, finishes what runs.
    pub async fn stop(&self) {
        if self.control.send(Leave).await.is_err() {
            return;
        }
        while !self.control.send(MayStop).await.unwrap_or(true) {
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        for server in &self.servers {
            server.stop(true).await;
        }
        log::info!("node: has stopped.");
    }
}

/// Listens on an address.
fn listen(place: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).map_err(|error| NodeError::Bind { place, error })
}

/// The address that a listener was given.
fn bound(place: &'static str, listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    listener.local_addr().map_err(|error| NodeError::Bind { place, error })
}

/// Listens for TCP and UDP on the same port.
async fn listen_twice(address: SocketAddr) -> Result<(TcpListener, UdpSocket), NodeError> {
    let place = "peers.listen";
    let mut last = None;
    for _ in 0..PORT_TRIES {
        let listener = listen(place, address)?;
        match UdpSocket::bind(bound(place, &listener)?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 => return Err(NodeError::Bind { place, error }),
            Err(error) => last = Some(error),
        }
    }
    let error = last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(NodeError::Bind { place, error })
}

/// Opens the platform's client and registers its counts.
fn open_platform(settings: &Settings, registry: &mut Registry) -> Result<Store, NodeError> {
    let platform = &settings.platform;
    let address = platform.address().ok_or(NodeError::Plugin("platform.url"))?;
    let store = Store::with_limits(address, platform.timeout_ms, platform.calls_per_s);
    let counts = [
        (CallKind::Get, "platform_get_calls"),
        (CallKind::List, "platform_list_calls"),
        (CallKind::Put, "platform_put_calls"),
        (CallKind::Watch, "platform_watch_calls"),
    ];
    for (call, name) in counts {
        let calls = store.calls();
        register_count(registry, name, "Calls to the platform", move || calls.count(call));
    }
    Ok(store)
}

/// Registers what the control thread counts.
fn open_gauges(registry: &mut Registry) -> Gauges {
    let gauges = Gauges::default();
    let all = [
        ("members", "Members that are not dead", &gauges.members),
        ("table_services", "Services in the table", &gauges.services),
        ("services_served", "Services that this VM serves", &gauges.serving),
        ("news_age_ms", "Time since the store or another VM was heard", &gauges.news_age_ms),
        ("backends_ejected", "Backend servers out of service here", &gauges.ejected),
        ("datagrams_refused", "Datagrams refused", &gauges.refused_datagrams),
        ("datagram_bytes", "Bytes of datagrams sent", &gauges.datagram_bytes),
    ];
    for (name, help, gauge) in all {
        registry.register(name, help, gauge.clone());
    }
    gauges
}

/// Hands datagrams to the control thread.
async fn receive(socket: Rc<UdpSocket>, key: FleetKey, control: Addr<Control>, refused: Gauge) {
    let mut buffer = vec![0; PACKET_LIMIT_BYTES + 1];
    loop {
        let Ok((count, from)) = socket.recv_from(&mut buffer).await else { continue };
        match key.unseal(&buffer[..count]) {
            Ok(packet) => {
                let _ = control.try_send(Datagram { from, packet });
            }
            Err(_) => {
                refused.inc();
            }
        }
    }
}

/// Fetches stems for traffic threads.
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

/// Has services served that traffic threads ask for.
async fn serve_services(mut requests: mpsc::Receiver<ServeRequest>, control: Addr<Control>) {
    while let Some(request) = requests.recv().await {
        let _ = control.send(ServeService { service: request.service }).await;
        let _ = request.done.send(());
    }
}

/// Serves other VMs on the control thread.
fn serve_peers(listener: TcpListener, service: PeerService) -> Result<(), NodeError> {
    let place = "peers.listen";
    let wrap = |error| NodeError::Bind { place, error };
    listener.set_nonblocking(true).map_err(wrap)?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(wrap)?;
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
            log::error!("peers: the listener has failed: {error}.");
        }
    });
    Ok(())
}

/// Serves callers on threads of their own.
fn serve_callers(
    listener: TcpListener,
    proxy: Data<Proxy>,
    settings: &Settings,
) -> Result<ServerHandle, NodeError> {
    let server = HttpServer::new(move || {
        App::new().app_data(proxy.clone()).configure(leverstream_proxy::configure)
    })
    .workers(settings.callers.threads)
    .max_connections(settings.callers.connections_a_thread)
    .client_request_timeout(Duration::from_millis(HEAD_MS))
    .keep_alive(Duration::from_secs(60))
    .shutdown_timeout(SHUTDOWN_S)
    .disable_signals()
    .listen(listener)
    .map_err(|error| NodeError::Bind { place: "callers.listen", error })?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Serves operators on a thread of its own.
fn serve_operators(listener: TcpListener, desk: Data<Desk>) -> Result<ServerHandle, NodeError> {
    let server =
        HttpServer::new(move || App::new().app_data(desk.clone()).configure(operators::configure))
            .workers(1)
            .client_request_timeout(Duration::from_millis(HEAD_MS))
            .shutdown_timeout(1)
            .disable_signals()
            .listen(listener)
            .map_err(|error| NodeError::Bind { place: "operators.listen", error })?
            .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
