//! The other VMs: who is there, who takes callers, who watches the store.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_member::{Identity, Member, Outgoing, Swim, SwimSettings, watchers};
use leverstream_peer::packet::Body;
use leverstream_peer::{FleetKey, PACKET_LIMIT_BYTES, Packet, Standing};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

use crate::gateway::Inner;
use crate::{Settings, entry, evidence, news};

/// The time between two pings of one VM.
const PING_MS: u64 = 400;

/// How long an unanswered VM may take to refute that it is dead.
const SUSPICION_MS: u64 = 2_000;

/// How often what is due is looked for.
const TICK_MS: u64 = 100;

/// How long after its start a VM tells callers where to go: most members have welcomed it by then, and
/// callers ask another VM meanwhile or go on with the answer they hold.
const WELCOMED_MS: u64 = 400;

/// How long after its start a VM takes part in choosing who watches the store: members are known
/// within a second, and what changes meanwhile is heard from them or read from the history.
const SETTLE_MS: u64 = 1_200;

/// How often a VM looks whether it should watch the store.
const DUTY_MS: u64 = 500;

/// How many VMs are told at once when this one learns something from the store; more hear of it
/// from those.
const TOLD_AT_ONCE: usize = 160;

/// How many VMs of a hall may have lost the store before no further one tries in their place.
///
/// So many are not turned away by chance: the store itself is away. Those that lost it go on trying
/// and tell when it is back.
const LOST_A_HALL_LIMIT: usize = 4;

/// How long after its last evidence a VM counts as heard, in milliseconds: two of the repeats by which
/// lost datagrams are made up for, and a little.
const HEARD_HOLDS_MS: u64 = 2_500;

/// The part of the slack for repeats that the VMs outside the entry set share, which get strays.
const STRAY_PART: f64 = 0.15;

/// The part of its part of the slack that a VM has from the moment it is placed.
const FIRST_PART: f64 = 0.2;

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
    /// Whether this VM has run long enough to know the others.
    is_settled: Cell<bool>,
    /// Whether this VM is one of those that watch the store.
    is_watcher: Cell<bool>,
    /// Whether this VM cannot reach the store.
    has_lost_store: Cell<bool>,
    /// The other VMs that cannot.
    without_store: RefCell<HashSet<u64>>,
    /// When a VM was last known to be without the store.
    store_trouble_ms: Cell<Option<u64>>,
    /// When each VM last told its evidence.
    heard_ms: RefCell<HashMap<u64, u64>>,
    /// Told when this VM begins or ceases to be one of those that watch the store.
    duty: Notify,
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
            capacity_per_s: settings.machine.capacity_per_s(),
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
            is_settled: Cell::new(false),
            is_watcher: Cell::new(false),
            has_lost_store: Cell::new(false),
            without_store: RefCell::default(),
            store_trouble_ms: Cell::new(None),
            heard_ms: RefCell::default(),
            duty: Notify::new(),
            news: Notify::new(),
        })
    }

    /// This process.
    pub fn id(&self) -> u64 {
        self.swim.borrow().me().identity.id
    }

    /// The VMs that take callers.
    pub fn entry(&self) -> Ref<'_, Vec<Member>> {
        self.entry.borrow()
    }

    /// How many VMs share the traffic, this one included.
    pub fn sharers(&self) -> usize {
        self.entry.borrow().len().max(1)
    }

    /// Where the other VMs that share the traffic listen: those of this hall, and the rest.
    pub fn sharers_by_distance(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let swim = self.swim.borrow();
        let me = &swim.me().identity;
        let entry = self.entry.borrow();
        let others = entry.iter().map(|member| &member.identity).filter(|other| other.id != me.id);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|other| other.hall == me.hall);
        let addresses =
            |list: Vec<&Identity>| list.iter().map(|identity| identity.peer_address).collect();
        (addresses(near), addresses(far))
    }

    /// Where all other VMs listen.
    pub fn others(&self) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = swim.me().identity.id;
        let others = swim.members().filter(|member| member.identity.id != me);
        others.map(|member| member.identity.peer_address).collect()
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
        part * (tenure_ms as f64 / window_ms.max(1) as f64).clamp(FIRST_PART, 1.0)
    }

    /// Tells whether this VM has run long enough to tell callers where to go.
    pub fn knows_where(&self, now_ms: u64) -> bool {
        now_ms >= WELCOMED_MS
    }

    /// Notes that a VM has told its evidence.
    pub fn hear(&self, id: u64, now_ms: u64) {
        self.heard_ms.borrow_mut().insert(id, now_ms);
    }

    /// Tells whether this VM knows what all VMs of the entry set have repeated of late: it has been one
    /// of them for a whole window, and hears all others.
    pub fn hears_sharers(&self, window_ms: u64, now_ms: u64) -> bool {
        let me = self.id();
        let heard = self.heard_ms.borrow();
        let is_fresh = |id: u64| {
            heard.get(&id).is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < HEARD_HOLDS_MS)
        };
        let entry = self.entry.borrow();
        let has_me = entry.iter().any(|member| member.identity.id == me);
        let hears_all =
            entry.iter().all(|member| member.identity.id == me || is_fresh(member.identity.id));
        has_me && hears_all && now_ms.saturating_sub(self.placed_since_ms.get()) >= window_ms
    }

    /// Tells whether this VM should watch the store: it is one of its hall's watchers, or hears
    /// nobody who could tell it. One that has just started knows too few others to say.
    pub fn watches(&self) -> bool {
        self.is_settled.get() && (self.is_watcher.get() || self.swim.borrow().is_isolated())
    }

    /// Waits until this VM should watch the store, or no longer should.
    pub async fn until_watches(&self, should: bool) {
        while self.watches() != should {
            // Whether a VM hears nobody is not told, so it looks by itself too.
            let look = tokio::time::sleep(Duration::from_millis(DUTY_MS));
            tokio::select! {
                () = self.duty.notified() => {}
                () = look => {}
            }
        }
    }

    /// Tells whether this VM cannot reach the store.
    pub fn has_lost_store(&self) -> bool {
        self.has_lost_store.get()
    }

    /// Tells whether some VM was without the store a short while ago, so that the store may have been
    /// away, and entries may have lapsed that come back.
    pub fn had_store_trouble(&self, within_ms: u64, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < within_ms;
        self.has_lost_store.get()
            || !self.without_store.borrow().is_empty()
            || self.store_trouble_ms.get().is_some_and(is_recent)
    }

    /// Notes whether this VM can reach the store; the others hear it at once.
    pub fn set_lost_store(&self, inner: &Inner, is_lost: bool) {
        if self.has_lost_store.replace(is_lost) != is_lost {
            self.store_trouble_ms.set(Some(inner.now_ms()));
            self.tell_standing(inner);
            self.choose(inner);
        }
    }

    /// Names addresses where other VMs may be.
    pub fn hint(&self, seeds: Vec<SocketAddr>) {
        self.swim.borrow_mut().hint(seeds);
    }

    /// Says that there is something to tell of backend servers.
    pub fn has_news(&self) {
        self.news.notify_one();
    }

    /// Waits until there is something to tell of backend servers.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Tells others which configuration is in force here.
    pub fn set_version(&self, inner: &Inner) {
        let version = inner.catalog().map_or(0, |catalog| catalog.version);
        let out = self.swim.borrow_mut().set_table(version);
        self.send_all(inner, out);
        self.choose(inner);
    }

    /// Tells others how new what this VM knows is.
    pub fn tell_standing(&self, inner: &Inner) {
        self.tell_changed(inner, &[]);
    }

    /// Tells others what has changed about members, with how new what this VM knows is.
    fn tell_changed(&self, inner: &Inner, changed: &[Member]) {
        let mut to = self.others();
        to.truncate(TOLD_AT_ONCE);
        let from = Some(self.swim.borrow().me().to_update());
        let updates = changed.iter().map(Member::to_update).collect();
        let standing = Some(news::standing(inner));
        self.send(&Packet { from, updates, standing, ..Packet::default() }, &to);
    }

    /// Tells others that this VM leaves.
    pub fn leave(&self, inner: &Inner) {
        let out = self.swim.borrow_mut().leave(inner.now_ms());
        self.send_all(inner, out);
        self.choose(inner);
    }

    /// Sends a packet to some VMs.
    pub fn send(&self, packet: &Packet, to: &[SocketAddr]) {
        let datagram = self.key.seal(packet);
        if datagram.len() > PACKET_LIMIT_BYTES {
            warn!(bytes = datagram.len(), "a datagram is too large");
        }
        for address in to {
            // One that cannot be sent is lost like any other; what it says is told again.
            let _ = self.socket.try_send_to(&datagram, *address);
        }
    }

    /// Sends packets of the members' protocol.
    fn send_all(&self, inner: &Inner, out: Vec<Outgoing>) {
        if out.is_empty() {
            return;
        }
        let standing = news::standing(inner);
        for Outgoing { to, mut packet } in out {
            packet.standing = Some(standing);
            self.send(&packet, &[to]);
        }
    }

    /// Chooses anew who takes callers and who watches the store.
    pub fn choose(&self, inner: &Inner) {
        let swim = self.swim.borrow();
        let members: Vec<Member> = swim.members().cloned().collect();
        let me = swim.me().identity.id;
        self.without_store
            .borrow_mut()
            .retain(|id| swim.member(*id).is_some_and(Member::takes_callers));
        self.heard_ms.borrow_mut().retain(|id, _| swim.member(*id).is_some());
        drop(swim);
        let chosen = entry::choose(&members, inner.settings.entry.vms_a_hall, inner.slots());
        let state = |member: &Member| (member.identity.caller_address, member.takes_callers());
        let before: Vec<_> = self.entry.borrow().iter().map(state).collect();
        let after: Vec<_> = chosen.iter().map(state).collect();
        if before != after {
            info!(members = members.len(), entry = ?after, "entry set");
        }
        let has_me = |members: &[Member]| members.iter().any(|member| member.identity.id == me);
        if has_me(&self.entry.borrow()) != has_me(&chosen) {
            self.placed_since_ms.set(inner.now_ms());
        }
        *self.entry.borrow_mut() = chosen;
        self.choose_watchers(inner, &members, me);
    }

    /// Chooses anew who watches the store: VMs that can reach it.
    fn choose_watchers(&self, inner: &Inner, members: &[Member], me: u64) {
        let without = self.without_store.borrow();
        let can_watch = |member: &&Member| {
            let id = member.identity.id;
            member.takes_callers()
                && !without.contains(&id)
                && (id != me || !self.has_lost_store.get())
        };
        let hall = &inner.settings.hall;
        let in_hall = members.iter().filter(|member| member.identity.hall == *hall);
        let lost = in_hall.filter(|member| without.contains(&member.identity.id)).count();
        let chosen = watchers(hall, members.iter().filter(can_watch));
        let is_watcher =
            lost < LOST_A_HALL_LIMIT && chosen.iter().any(|member| member.identity.id == me);
        if self.is_watcher.replace(is_watcher) != is_watcher {
            self.duty.notify_waiters();
            info!(is_watcher, members = members.len(), "store watcher");
        }
    }

    /// Notes whether another VM can reach the store; true if that is news.
    fn note_store(&self, id: u64, is_lost: bool, now_ms: u64) -> bool {
        let mut without = self.without_store.borrow_mut();
        let is_news = if is_lost { without.insert(id) } else { without.remove(&id) };
        if is_news {
            self.store_trouble_ms.set(Some(now_ms));
        }
        is_news
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
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = inner.now_ms();
        let out = inner.mesh.swim.borrow_mut().tick(now_ms);
        inner.mesh.send_all(&inner, out);
        take_changes(&inner);
        if now_ms >= SETTLE_MS && !inner.mesh.is_settled.replace(true) {
            inner.mesh.duty.notify_waiters();
        }
    }
}

/// Takes a datagram in.
fn take(inner: &Rc<Inner>, from: SocketAddr, packet: &Packet) {
    let now_ms = inner.now_ms();
    if let Some(Body::Evidence(told)) = &packet.body {
        if evidence::take(inner, told, now_ms) {
            inner.wake_all();
        }
        return;
    }
    let out = inner.mesh.swim.borrow_mut().receive(from, packet, now_ms);
    inner.mesh.send_all(inner, out);
    if let (Some(sender), Some(standing)) = (&packet.from, packet.standing) {
        take_standing(inner, from, sender, standing);
    }
    take_changes(inner);
}

/// Takes in how new what another VM knows is.
fn take_standing(
    inner: &Rc<Inner>,
    from: SocketAddr,
    sender: &leverstream_peer::MemberUpdate,
    standing: Standing,
) {
    if inner.mesh.note_store(sender.id, standing.store_lost, inner.now_ms()) {
        inner.mesh.choose(inner);
    }
    news::hear(inner, from, standing, sender.hall == inner.settings.hall);
}

/// Chooses anew who takes callers if members have changed.
///
/// That one of those no longer answers all VMs hear at once: each of them tells callers where to go.
fn take_changes(inner: &Inner) {
    let changed = inner.mesh.swim.borrow_mut().take_changed();
    if changed.is_empty() {
        return;
    }
    let mut is_urgent = false;
    for member in &changed {
        debug!(vm = %member.identity.caller_address, state = ?member.state, "member");
        let takes_callers = inner
            .mesh
            .entry
            .borrow()
            .iter()
            .any(|entry| entry.identity.id == member.identity.id && entry.takes_callers());
        is_urgent |= takes_callers && !member.takes_callers();
    }
    inner.mesh.choose(inner);
    if is_urgent {
        inner.mesh.tell_changed(inner, &changed);
    }
}
