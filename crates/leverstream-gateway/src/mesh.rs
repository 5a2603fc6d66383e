//! The other VMs: who is there, who takes callers, and what they see at backend servers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_member::{Identity, Member, Outgoing, Swim, SwimSettings};
use leverstream_peer::packet::Body;
use leverstream_peer::{BackendDigest, Evidence, FleetKey, PACKET_LIMIT_BYTES, Packet};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

use crate::fleet::{Report, Said};
use crate::gateway::Inner;
use crate::{Settings, entry};

/// The time between two pings of one VM.
const PING_MS: u64 = 400;

/// How long an unanswered VM may take to refute that it is dead.
const SUSPICION_MS: u64 = 2_000;

/// How often what is due is looked for.
const TICK_MS: u64 = 100;

/// How long news of backend servers gather before they are told.
const GATHER_MS: u64 = 8;

/// How often all requests under way are told again, against lost datagrams.
const REPEAT_MS: u64 = 500;

/// The part of the slack for repeats that the VMs outside the entry set share, which get strays.
const STRAY_PART: f64 = 0.15;

/// How many backend servers one datagram tells of.
const BACKENDS_A_DATAGRAM: usize = 24;

/// The other VMs and the way to them.
pub(crate) struct Mesh {
    /// The members.
    swim: RefCell<Swim>,
    /// Seals datagrams.
    key: FleetKey,
    /// Where they go out and come in.
    socket: UdpSocket,
    /// The VMs that take callers.
    entry: RefCell<Vec<Member>>,
    /// Since when this VM has been in the entry set, or out of it.
    placed_since_ms: Cell<u64>,
    /// Told when there is something to tell of backend servers.
    news: Notify,
}

impl Mesh {
    /// Binds the socket; nobody is known yet.
    pub async fn open(settings: &Settings, now_ms: u64) -> std::io::Result<Mesh> {
        let socket = UdpSocket::bind(settings.listen.peers).await?;
        let mut rng = StdRng::from_os_rng();
        let identity = Identity {
            id: rng.random(),
            peer_address: settings.listen.peers,
            caller_address: settings.listen.callers,
            hall: settings.hall.clone(),
        };
        let swim_settings = SwimSettings {
            period_ms: PING_MS,
            ack_ms: PING_MS / 3,
            suspicion_ms: SUSPICION_MS,
            ..SwimSettings::default()
        };
        let mut swim = Swim::open(identity, swim_settings, rng, now_ms);
        swim.hint(settings.peers.seeds.clone());
        Ok(Mesh {
            swim: RefCell::new(swim),
            key: FleetKey::derive(&settings.peers.key),
            socket,
            entry: RefCell::default(),
            placed_since_ms: Cell::new(now_ms),
            news: Notify::new(),
        })
    }

    /// The VMs that take callers.
    pub fn entry(&self) -> Vec<Member> {
        self.entry.borrow().clone()
    }

    /// How many VMs share the traffic, this one included.
    pub fn sharers(&self) -> usize {
        self.entry.borrow().len().max(1)
    }

    /// This VM's part of what all may repeat however few requests there are.
    ///
    /// It grows over one window from when the VM was placed: the VM that had the place before, or
    /// this one in its last life, may have used its part just now.
    pub fn slack_part(&self, window_ms: u64, now_ms: u64) -> f64 {
        let swim = self.swim.borrow();
        let entry = self.entry.borrow();
        let is_entry = entry.iter().any(|member| member.identity.id == swim.me().identity.id);
        let strays = swim.members().count().saturating_sub(entry.len());
        let part = if is_entry {
            (1.0 - STRAY_PART) / entry.len().max(1) as f64
        } else {
            STRAY_PART / strays.max(1) as f64
        };
        let tenure_ms = now_ms.saturating_sub(self.placed_since_ms.get());
        part * (tenure_ms as f64 / window_ms.max(1) as f64).min(1.0)
    }

    /// Names addresses where other VMs may be.
    pub fn hint(&self, seeds: Vec<SocketAddr>) {
        self.swim.borrow_mut().hint(seeds);
    }

    /// Says that there is something to tell of backend servers.
    pub fn has_news(&self) {
        self.news.notify_one();
    }

    /// Tells others which configuration is in force here.
    pub fn set_version(&self, inner: &Inner) {
        let version = inner.catalog().map_or(0, |catalog| catalog.version);
        let out = self.swim.borrow_mut().set_table(version);
        self.send_all(&out);
        self.choose(inner);
    }

    /// Tells others that this VM leaves.
    pub fn leave(&self, now_ms: u64) {
        let out = self.swim.borrow_mut().leave(now_ms);
        self.send_all(&out);
    }

    /// Chooses anew who takes callers.
    fn choose(&self, inner: &Inner) {
        let members: Vec<Member> = self.swim.borrow().members().cloned().collect();
        let chosen = entry::choose(&members, inner.settings.entry.vms_a_hall);
        let addresses = |members: &[Member]| -> Vec<(SocketAddr, bool)> {
            let address =
                |member: &Member| (member.identity.caller_address, member.takes_callers());
            members.iter().map(address).collect()
        };
        let before = addresses(&self.entry.borrow());
        let after = addresses(&chosen);
        if before != after {
            info!(members = members.len(), entry = ?after, "entry set");
        }
        let me = self.swim.borrow().me().identity.id;
        let has_me = |members: &[Member]| members.iter().any(|member| member.identity.id == me);
        if has_me(&self.entry.borrow()) != has_me(&chosen) {
            self.placed_since_ms.set(inner.now_ms());
        }
        *self.entry.borrow_mut() = chosen;
    }

    /// Sends datagrams; one that cannot be sent is lost like any other.
    fn send_all(&self, out: &[Outgoing]) {
        for Outgoing { to, packet } in out {
            let _ = self.socket.try_send_to(&self.key.seal(packet), *to);
        }
    }

    /// Tells the VMs that take callers what this one has seen.
    fn tell(&self, said: &[Said]) {
        let me = self.swim.borrow().me().identity.id;
        let entry = self.entry.borrow();
        let others = entry.iter().filter(|member| member.identity.id != me);
        let to: Vec<SocketAddr> = others.map(|member| member.identity.peer_address).collect();
        for part in said.chunks(BACKENDS_A_DATAGRAM) {
            self.send_evidence(part.iter().map(digest).collect(), &to);
        }
    }

    /// Tells all VMs that a backend server has ended, as its address answers for another.
    pub fn tell_ended(&self, instance: &str) {
        let swim = self.swim.borrow();
        let me = swim.me().identity.id;
        let others = swim.members().filter(|member| member.identity.id != me);
        let to: Vec<SocketAddr> = others.map(|member| member.identity.peer_address).collect();
        drop(swim);
        let ended = BackendDigest {
            backend: instance.to_owned(),
            draining: true,
            ..BackendDigest::default()
        };
        self.send_evidence(vec![ended], &to);
    }

    /// Sends evidence to some VMs.
    fn send_evidence(&self, backends: Vec<BackendDigest>, to: &[SocketAddr]) {
        let packet = Packet {
            from: Some(self.swim.borrow().me().to_update()),
            body: Some(Body::Evidence(Evidence { backends })),
            ..Packet::default()
        };
        let datagram = self.key.seal(&packet);
        if datagram.len() > PACKET_LIMIT_BYTES {
            warn!(bytes = datagram.len(), "a datagram is too large");
        }
        for address in to {
            // One that cannot be sent is lost like any other; the counts are told again.
            let _ = self.socket.try_send_to(&datagram, *address);
        }
    }
}

/// Takes in datagrams for as long as the process runs.
pub(crate) async fn receive(inner: Rc<Inner>) {
    let mut buffer = vec![0; PACKET_LIMIT_BYTES + 1];
    loop {
        let (count, from) = match inner.mesh.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(%error, "a datagram could not be received");
                continue;
            }
        };
        match inner.mesh.key.unseal(&buffer[..count]) {
            Ok(packet) => take(&inner, from, &packet),
            Err(error) => debug!(%from, ?error, "datagram refused"),
        }
    }
}

/// Does what is due for as long as the process runs.
pub(crate) async fn tick(inner: Rc<Inner>) {
    let mut repeated_ms = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = inner.now_ms();
        let out = inner.mesh.swim.borrow_mut().tick(now_ms);
        inner.mesh.send_all(&out);
        take_changes(&inner);
        if now_ms.saturating_sub(repeated_ms) >= REPEAT_MS {
            repeated_ms = now_ms;
            let said = inner.fleet.borrow_mut().take_said(true, now_ms);
            inner.mesh.tell(&said);
        }
    }
}

/// Tells others what happens at backend servers for as long as the process runs.
pub(crate) async fn tell(inner: Rc<Inner>) {
    loop {
        inner.mesh.news.notified().await;
        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let said = inner.fleet.borrow_mut().take_said(false, inner.now_ms());
        inner.mesh.tell(&said);
    }
}

/// Takes a datagram in.
fn take(inner: &Inner, from: SocketAddr, packet: &Packet) {
    let now_ms = inner.now_ms();
    if let (Some(Body::Evidence(evidence)), Some(sender)) = (&packet.body, &packet.from) {
        let mut has_freed = false;
        let mut fleet = inner.fleet.borrow_mut();
        for said in &evidence.backends {
            if said.draining {
                has_freed |= fleet.end_instance(&said.backend);
                continue;
            }
            let report = Report {
                in_flight: said.in_flight,
                good: said.good,
                bad: said.bad,
                heard_ms: now_ms,
            };
            has_freed |= fleet.report(&said.backend, sender.id, report);
        }
        drop(fleet);
        if has_freed {
            inner.wake_all();
        }
    }
    let out = inner.mesh.swim.borrow_mut().receive(from, packet, now_ms);
    inner.mesh.send_all(&out);
    take_changes(inner);
}

/// Chooses anew who takes callers if members have changed.
fn take_changes(inner: &Inner) {
    let changed = inner.mesh.swim.borrow_mut().take_changed();
    for member in &changed {
        debug!(vm = %member.identity.caller_address, state = ?member.state, "member");
    }
    if !changed.is_empty() {
        inner.mesh.choose(inner);
    }
}

/// What other VMs are told of a backend server.
fn digest(said: &Said) -> BackendDigest {
    BackendDigest {
        backend: said.instance.clone(),
        good: said.report.good,
        bad: said.report.bad,
        in_flight: said.report.in_flight,
        draining: false,
    }
}
