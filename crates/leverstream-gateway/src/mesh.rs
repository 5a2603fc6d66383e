//! The other VMs: who is there, and what they are told.

mod inbox;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;

use leverstream_core::choose_entry_vms;
use leverstream_limit::{ARBITERS, Role, STAND_INS};
use leverstream_member::{
    Identity, Member, MemberState, Outgoing, PeersByHall, Swim, SwimSettings, entry_set,
};
use leverstream_peer::packet::Body;
use leverstream_peer::{FleetKey, PACKET_LIMIT_BYTES, Packet};
use leverstream_workspace::EntryMembership;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{info, warn};

use crate::duty::WatchDuty;
use crate::gateway::Inner;
use crate::meters::{CrossHallCause, Meters};
use crate::sharing::Sharing;
use crate::{Settings, emptied, news};

pub(crate) use inbox::{receive, tick};

/// The time between two pings of one VM.
const PING_MS: u64 = 400;

/// One ping in so many goes to another data hall: bytes between halls are paid for, and pings were a third
/// of them. A whole hall that is gone is still found within seconds.
const FAR_PING_ONE_IN: u32 = 4;

/// How long an unanswered VM may take to refute that it is dead.
const SUSPICION_MS: u64 = 2_000;

/// How often what is due is looked for.
const TICK_MS: u64 = 100;

/// How long after its start a VM tells callers where to go; callers ask another VM meanwhile or go on with the answer
/// they hold.
///
/// Where a whole fleet starts, a VM's first ping may come before others listen. Its second goes out up to a tick after
/// it is due and is answered at once by those who know the rest; by the next tick it is chosen anew who takes callers.
/// On a busy machine ticks come a few milliseconds late each, hence another one.
const WELCOMED_MS: u64 = PING_MS + 3 * TICK_MS;

/// How long after its start a VM takes part in choosing who watches the store: members are known
/// within a second, and what changes meanwhile is heard from them or read from the history.
const SETTLE_MS: u64 = 1_200;

/// How many VMs are told at once when this one learns something from the store; more hear of it
/// from those. In a larger fleet they are VMs of the own data hall, whom chance chooses each time, and one of each other.
const TOLD_AT_ONCE: usize = 160;

/// The other VMs and the way to them.
pub(crate) struct Mesh {
    /// The members.
    swim: RefCell<Swim>,
    /// Seals datagrams.
    key: FleetKey,
    /// Where they go out and come in.
    socket: UdpSocket,
    /// Who takes callers.
    pub sharing: Sharing,
    /// Who watches the store.
    duty: WatchDuty,
    /// Told when there is something to tell of backend servers.
    news: Notify,
    /// Where the VMs of other data halls listen.
    far: RefCell<HashSet<SocketAddr>>,
    /// Whether members have changed since it was last chosen who takes callers.
    has_changed: Cell<bool>,
}

impl Mesh {
    /// Binds the socket; nobody is known yet.
    pub async fn open(settings: &Settings, now_ms: u64) -> std::io::Result<Mesh> {
        let socket = UdpSocket::bind(settings.listen.peers).await?;
        let mut rng = StdRng::from_os_rng();
        let id = rng.random();
        let identity = Identity {
            id,
            peer_address: settings.listen.peers,
            caller_address: settings.listen.callers,
            hall: settings.hall.clone(),
            capacity_per_s: settings.machine.capacity_per_s(),
        };
        let swim_settings = SwimSettings {
            period_ms: PING_MS,
            ack_ms: PING_MS / 3,
            suspicion_ms: SUSPICION_MS,
            far_one_in: FAR_PING_ONE_IN,
            ..SwimSettings::default()
        };
        let mut swim = Swim::open(identity, swim_settings, rng, now_ms);
        swim.set_seeds(settings.peers.seeds.clone());
        Ok(Mesh {
            swim: RefCell::new(swim),
            key: FleetKey::derive(&settings.peers.key),
            socket,
            sharing: Sharing::open(id),
            duty: WatchDuty::default(),
            news: Notify::new(),
            far: RefCell::default(),
            has_changed: Cell::new(false),
        })
    }

    /// This process.
    pub fn id(&self) -> u64 {
        self.swim.borrow().me().identity.id
    }

    /// Where this process listens for others.
    pub fn address(&self) -> SocketAddr {
        self.swim.borrow().me().identity.peer_address
    }

    /// The VMs that decide what is sent to a limited backend server, its arbiters first and then those that stand in.
    pub fn arbiters(&self, instance: &str) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let mut arbiters: Vec<SocketAddr> = Vec::new();
        // A process and the one that took its place count once.
        for member in entry_set(instance, swim.members(), 2 * (ARBITERS + STAND_INS)) {
            if !arbiters.contains(&member.identity.peer_address) {
                arbiters.push(member.identity.peer_address);
            }
        }
        arbiters.truncate(ARBITERS + STAND_INS);
        arbiters
    }

    /// What this VM is for a limited backend server.
    pub fn role(&self, instance: &str) -> Role {
        let arbiters = self.arbiters(instance);
        let is_arbiter = arbiters.iter().take(ARBITERS).any(|address| *address == self.address());
        if is_arbiter { Role::Arbiter } else { Role::StandIn }
    }

    /// Tells whether this VM sees most of so many VMs, itself included.
    pub fn sees_most(&self, vms: usize) -> bool {
        let swim = self.swim.borrow();
        let addresses = swim.members().map(|member| member.identity.peer_address);
        addresses.collect::<HashSet<_>>().len() * 2 > vms
    }

    /// Where the other VMs that share the traffic listen.
    pub fn audience(&self) -> PeersByHall {
        PeersByHall::of(&self.swim.borrow().me().identity, self.sharing.entry().iter())
    }

    /// Where all other VMs listen.
    pub fn others(&self) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = swim.me().identity.id;
        let others = swim.members().filter(|member| member.identity.id != me);
        others.map(|member| member.identity.peer_address).collect()
    }

    /// Where those of them listen that one VM tells of something at once; of larger fleets the rest hear it from those.
    pub fn told_at_once(&self) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let all = PeersByHall::of(&swim.me().identity, swim.members());
        all.sample(TOLD_AT_ONCE, &mut rand::rng())
    }

    /// Where the other VMs that share the traffic listen.
    pub fn sharers(&self) -> Vec<SocketAddr> {
        self.audience().all()
    }

    /// The same, and where some of the rest do.
    pub fn sharers_and(&self, others: usize) -> Vec<SocketAddr> {
        let mut to = self.sharers();
        let rest: Vec<SocketAddr> =
            self.others().into_iter().filter(|other| !to.contains(other)).take(others).collect();
        to.extend(rest);
        to
    }

    /// Where some other VMs listen, taken by turns: those of this hall, if it has others.
    pub fn by_turns(&self, first: usize, count: usize) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = &swim.me().identity;
        let is_other = |other: &&Identity| other.id != me.id;
        let others = || swim.members().map(|member| &member.identity).filter(is_other);
        let near = others().filter(|other| other.hall == me.hall).count();
        let is_asked = |other: &&Identity| near == 0 || other.hall == me.hall;
        let asked = || others().filter(is_asked).map(|other| other.peer_address);
        let size = if near == 0 { others().count() } else { near };
        (first..first + count.min(size)).filter_map(|turn| asked().nth(turn % size)).collect()
    }

    /// Tells whether this VM has run long enough to tell callers where to go.
    pub fn knows_where(&self, now_ms: u64) -> bool {
        now_ms >= WELCOMED_MS
    }

    /// Tells whether this VM should watch the store.
    pub fn watches(&self) -> bool {
        self.duty.watches(self.swim.borrow().is_isolated())
    }

    /// Waits until this VM should watch the store, or no longer should.
    pub async fn until_watches(&self, should: bool) {
        self.duty.until_watches(should, || self.swim.borrow().is_isolated()).await;
    }

    /// Where the other VMs of this hall that watch the store are reached.
    pub fn hall_watchers(&self) -> Vec<SocketAddr> {
        self.duty.hall_watchers()
    }

    /// Tells whether callers are sent to this VM.
    pub fn takes_callers(&self) -> bool {
        self.sharing.is_placed()
    }

    /// Whether callers are sent to this VM and to another that tells it something.
    fn between(&self, teller: u64) -> EntryMembership {
        let is_placed = |id| self.sharing.entry().iter().any(|member| member.identity.id == id);
        match (self.takes_callers(), is_placed(teller)) {
            (true, true) => EntryMembership::Both,
            (true, false) => EntryMembership::ReceiverOnly,
            (false, _) => EntryMembership::ReceiverOutside,
        }
    }

    /// Tells whether a VM is held for dead, rather than for stopped or away from where callers are sent.
    pub fn is_dead(&self, id: u64) -> bool {
        let swim = self.swim.borrow();
        swim.member(id).is_some_and(|member| member.state == MemberState::Dead)
    }

    /// How many VMs there are, this one included.
    pub fn member_count(&self) -> usize {
        self.swim.borrow().members().count()
    }

    /// Tells whether this VM cannot reach the store.
    pub fn has_lost_store(&self) -> bool {
        self.duty.has_lost_store()
    }

    /// Tells whether some VM was without the store a short while ago.
    pub fn had_store_trouble(&self, within_ms: u64, now_ms: u64) -> bool {
        self.duty.had_outage(within_ms, now_ms)
    }

    /// Notes whether this VM can reach the store; the others hear it at once.
    pub fn set_lost_store(&self, inner: &Inner, is_lost: bool) {
        if self.duty.note_own(is_lost, inner.now_ms()) {
            self.tell_standing(inner);
            self.choose(inner);
        }
    }

    /// Names addresses where other VMs may be.
    pub fn hint(&self, seeds: Vec<SocketAddr>) {
        self.swim.borrow_mut().set_seeds(seeds);
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
        let to = self.told_at_once();
        let from = Some(self.swim.borrow().me().to_update());
        let updates = changed.iter().map(Member::to_update).collect();
        let standing = Some(news::own_standing(inner));
        let emptied = emptied::report(inner);
        let packet = Packet { from, updates, standing, emptied, ..Packet::default() };
        self.send(&inner.meters, &packet, &to);
    }

    /// Tells others that this VM leaves.
    pub fn leave(&self, inner: &Inner) {
        let out = self.swim.borrow_mut().leave(inner.now_ms());
        self.send_all(inner, out);
        self.choose(inner);
    }

    /// Sends a packet to some VMs.
    pub fn send(&self, meters: &Meters, packet: &Packet, to: &[SocketAddr]) {
        let datagram = self.key.seal(packet);
        if datagram.len() > PACKET_LIMIT_BYTES {
            warn!(bytes = datagram.len(), "a datagram is too large");
        }
        let cause = match packet.body {
            Some(Body::Evidence(_)) => CrossHallCause::Evidence,
            Some(Body::Allotments(_)) => CrossHallCause::Allotments,
            Some(Body::LoanQuestion(_) | Body::Loan(_)) => CrossHallCause::Repeats,
            Some(Body::Suspects(_)) => CrossHallCause::Suspects,
            Some(Body::Words(_)) => CrossHallCause::Words,
            Some(Body::PermitQuestion(_) | Body::PermitAnswer(_)) => CrossHallCause::Permits,
            _ => CrossHallCause::Members,
        };
        let far = to.iter().filter(|address| self.is_far(**address)).count();
        meters.count_cross_hall(cause, datagram.len() * far);
        for address in to {
            // One that cannot be sent is lost like any other; what it says is told again.
            let _ = self.socket.try_send_to(&datagram, *address);
        }
    }

    /// Tells whether a VM stands in another data hall, as far as known.
    pub fn is_far(&self, address: SocketAddr) -> bool {
        self.far.borrow().contains(&address)
    }

    /// Sends packets of the members' protocol.
    fn send_all(&self, inner: &Inner, out: Vec<Outgoing>) {
        if out.is_empty() {
            return;
        }
        let standing = news::own_standing(inner);
        for Outgoing { to, mut packet } in out {
            packet.standing = Some(standing);
            packet.emptied = emptied::report(inner);
            self.send(&inner.meters, &packet, &[to]);
        }
    }

    /// Chooses anew who takes callers and who watches the store.
    pub fn choose(&self, inner: &Inner) {
        self.has_changed.set(false);
        let swim = self.swim.borrow();
        let members: Vec<&Member> = swim.members().collect();
        let me = &swim.me().identity;
        let vms_a_hall = inner.settings.entry.vms_a_hall;
        let chosen = choose_entry_vms(members.iter().copied(), vms_a_hall, inner.slots());
        let state = |member: &Member| (member.identity.caller_address, member.takes_callers());
        let before: Vec<_> = self.sharing.entry().iter().map(state).collect();
        let after: Vec<_> = chosen.iter().copied().map(state).collect();
        if before != after {
            info!(members = members.len(), entry = ?after, "entry set");
        }
        self.sharing.place(chosen.into_iter().cloned().collect());
        inner.repeats.place(swim.vm_count(), self.sharing.is_placed());
        self.duty.choose_watchers(&me.hall, &members, me.id);
        let far = members.iter().filter(|member| member.identity.hall != me.hall);
        *self.far.borrow_mut() = far.map(|member| member.identity.peer_address).collect();
    }
}

/// The datagrams in which a list is told, each with whether it asks for the receiver's: only the first does, and an empty list
/// makes one just to ask.
pub(crate) fn parts<T>(list: &[T], asks: bool, size: usize) -> impl Iterator<Item = (&[T], bool)> {
    let question = (list.is_empty() && asks).then_some((list, true));
    let told = list.chunks(size).enumerate();
    let told = told.map(move |(number, part)| (part, asks && number == 0));
    question.into_iter().chain(told)
}
