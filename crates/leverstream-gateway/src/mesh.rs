//! The other VMs: membership, roles, and the datagrams sent to them.

mod inbox;

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;

use leverstream_core::{HelperAnswer, ReadTurn, choose_entry_vms};
use leverstream_limit::{ARBITERS, Role, STAND_INS};
use leverstream_member::{
    Identity, Member, MemberState, Outgoing, PeersByHall, ReadRank, Swim, SwimSettings, entry_set,
    read_rank,
};
use leverstream_peer::packet::Body;
use leverstream_peer::{FleetKey, PACKET_LIMIT_BYTES, Packet};
use leverstream_workspace::EntryMembership;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{info, warn};

use crate::entry_set::EntrySet;
use crate::gateway::Inner;
use crate::meters::{CrossHallCause, Meters};
use crate::{Settings, emptied, state_sync};

pub(crate) use inbox::{receive, tick};

/// The interval between the pings of one VM.
const PING_INTERVAL_MS: u64 = 400;

/// One ping in so many goes to another data hall: traffic between halls is billed, and pings were a
/// third of it. The loss of a whole hall is still detected within seconds.
const FAR_PING_ONE_IN: u32 = 4;

/// How long a VM that does not answer may take to refute the suspicion that it is dead.
const SUSPICION_TIMEOUT_MS: u64 = 2_000;

/// The interval between checks for due actions.
pub(crate) const TICK_MS: u64 = 100;

/// How long after its start a VM begins to answer callers that ask where to connect; until then
/// they ask another VM or use the answer they hold.
///
/// When a whole fleet starts, a VM's first ping may be sent before the others listen. The second is
/// sent up to one tick after it is due, and VMs that know the others answer it at once; by the next
/// tick the entry set is updated. On a busy machine each tick is a few milliseconds late, hence one
/// more tick.
const DIRECTORY_READY_MS: u64 = PING_INTERVAL_MS + 3 * TICK_MS;

/// How long after its start a VM reads the store in its turn. It knows the members within a second,
/// and gets changes in the meantime from them.
pub(crate) const SETTLE_MS: u64 = 1_200;

/// The number of VMs that receive a change at once when this VM reads it from the store; the others
/// get it from them. In a larger fleet they are a random sample of this hall and one VM of every
/// other hall.
const MAX_CHANGE_RECEIVERS: usize = 160;

/// The number of VMs of a hall that receive the report of each read of the store; pings carry it to the others.
/// With 200 bytes each, 2.5 times a second, that is 16 kB/s of the 18 kB/s that control may take.
const MAX_CONFIRMATION_RECEIVERS: usize = 32;

/// The membership of the fleet and the socket to reach it.
pub(crate) struct Mesh {
    /// The membership protocol.
    swim: RefCell<Swim>,
    /// Seals and unseals datagrams.
    key: FleetKey,
    /// Sends and receives datagrams.
    socket: UdpSocket,
    /// The VMs that take callers.
    pub entry_set: EntrySet,
    /// This VM's place among those that read the store.
    read_rank: Cell<Option<ReadRank>>,
    /// Notified when the state of backend servers has changed.
    backend_changed: Notify,
    /// The addresses of the VMs of other data halls.
    far: RefCell<HashSet<SocketAddr>>,
    /// Whether members have changed since the roles were last updated.
    has_member_changes: Cell<bool>,
    /// Whether this VM has become an entry VM while another has lost its links to backend servers,
    /// so that it must test its own.
    is_link_test_due: Cell<bool>,
}

impl Mesh {
    /// Binds the socket; no other VM is known yet.
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
            period_ms: PING_INTERVAL_MS,
            ack_ms: PING_INTERVAL_MS / 3,
            suspicion_ms: SUSPICION_TIMEOUT_MS,
            far_one_in: FAR_PING_ONE_IN,
            ..SwimSettings::default()
        };
        let mut swim = Swim::new(identity, swim_settings, rng, now_ms);
        swim.set_seeds(settings.peers.seeds.clone());
        Ok(Mesh {
            swim: RefCell::new(swim),
            key: FleetKey::derive(&settings.peers.key),
            socket,
            entry_set: EntrySet::open(id),
            read_rank: Cell::default(),
            backend_changed: Notify::new(),
            far: RefCell::default(),
            has_member_changes: Cell::new(false),
            is_link_test_due: Cell::new(false),
        })
    }

    /// The identifier of this process.
    pub fn id(&self) -> u64 {
        self.swim.borrow().me().identity.id
    }

    /// The address at which this process receives datagrams.
    pub fn address(&self) -> SocketAddr {
        self.swim.borrow().me().identity.peer_address
    }

    /// The addresses of the VMs that grant permits for a backend server with a limit: its arbiters
    /// first, then the stand-ins.
    pub fn arbiters(&self, instance: &str) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let mut arbiters: Vec<SocketAddr> = Vec::new();
        // A process and the one that replaced it count once.
        for member in entry_set(instance, swim.members(), 2 * (ARBITERS + STAND_INS)) {
            if !arbiters.contains(&member.identity.peer_address) {
                arbiters.push(member.identity.peer_address);
            }
        }
        arbiters.truncate(ARBITERS + STAND_INS);
        arbiters
    }

    /// The role of this VM for a backend server with a limit.
    pub fn role(&self, instance: &str) -> Role {
        let arbiters = self.arbiters(instance);
        let is_arbiter = arbiters.iter().take(ARBITERS).any(|address| *address == self.address());
        if is_arbiter { Role::Arbiter } else { Role::StandIn }
    }

    /// Tells whether this VM sees a majority of so many VMs, itself included.
    pub fn sees_majority(&self, vms: usize) -> bool {
        let swim = self.swim.borrow();
        let addresses = swim.members().map(|member| member.identity.peer_address);
        addresses.collect::<HashSet<_>>().len() * 2 > vms
    }

    /// The other entry VMs, by data hall.
    pub fn entry_peers(&self) -> PeersByHall {
        PeersByHall::of(&self.swim.borrow().me().identity, self.entry_set.members().iter())
    }

    /// The addresses of all other VMs.
    pub fn others(&self) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = swim.me().identity.id;
        let others = swim.members().filter(|member| member.identity.id != me);
        others.map(|member| member.identity.peer_address).collect()
    }

    /// The addresses of the VMs that receive a change at once; in larger fleets the others get it
    /// from them.
    pub fn change_receivers(&self) -> Vec<SocketAddr> {
        self.peers_by_hall().sample(MAX_CHANGE_RECEIVERS, &mut rand::rng())
    }

    /// The addresses of the other entry VMs.
    pub fn entry_peer_addresses(&self) -> Vec<SocketAddr> {
        self.entry_peers().all()
    }

    /// The addresses of the other entry VMs, and of some of the remaining VMs.
    pub fn entry_and_other_addresses(&self, others: usize) -> Vec<SocketAddr> {
        let mut to = self.entry_peer_addresses();
        let rest: Vec<SocketAddr> =
            self.others().into_iter().filter(|other| !to.contains(other)).take(others).collect();
        to.extend(rest);
        to
    }

    /// The addresses of some other VMs in rotation, starting at an index; only VMs of this hall, if
    /// there are others in it.
    pub fn rotated_peers(&self, first: usize, count: usize) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = &swim.me().identity;
        let is_other = |other: &&Identity| other.id != me.id;
        let others = || swim.members().map(|member| &member.identity).filter(is_other);
        let near = others().filter(|other| other.hall == me.hall).count();
        let is_candidate = |other: &&Identity| near == 0 || other.hall == me.hall;
        let candidates = || others().filter(is_candidate).map(|other| other.peer_address);
        let candidate_count = if near == 0 { others().count() } else { near };
        (first..first + count.min(candidate_count))
            .filter_map(|index| candidates().nth(index % candidate_count))
            .collect()
    }

    /// The peer addresses of VMs to ask whether they reach backend servers that this one does not:
    /// up to `count` random entry VMs, and as many others, that were not asked yet.
    pub fn link_advisors(&self, count: usize, asked: &[SocketAddr]) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = swim.me().identity.id;
        let is_candidate = |member: &&Member| {
            member.identity.id != me
                && member.may_serve()
                && !member.has_lost_backends
                && !asked.contains(&member.identity.peer_address)
        };
        let (entry, others): (Vec<&Member>, Vec<&Member>) = swim
            .members()
            .filter(is_candidate)
            .partition(|member| self.entry_set.contains(member.identity.id));
        let rng = &mut rand::rng();
        let chosen = entry.choose_multiple(rng, count).chain(others.choose_multiple(rng, count));
        chosen.map(|member| member.identity.peer_address).collect()
    }

    /// The VM with a peer address as one that requests may be passed on to; none if it is not known.
    /// What it reaches and its load are left open.
    pub fn helper_at(&self, peer_address: SocketAddr) -> Option<HelperAnswer> {
        let swim = self.swim.borrow();
        let has_address = |member: &&Member| member.identity.peer_address == peer_address;
        let Identity { id, caller_address, hall, .. } = &swim.members().find(has_address)?.identity;
        Some(HelperAnswer {
            address: *caller_address,
            is_reached: false,
            in_flight: 0,
            is_far: *hall != swim.me().identity.hall,
            is_entry_vm: self.entry_set.contains(*id),
        })
    }

    /// The key that seals messages between VMs.
    pub fn key(&self) -> &FleetKey {
        &self.key
    }

    /// The peer addresses of the VMs that take requests at some addresses.
    pub fn peer_addresses_of(&self, caller_addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let members = swim.members().map(|member| &member.identity);
        let found = members.filter(|member| caller_addresses.contains(&member.caller_address));
        found.map(|member| member.peer_address).collect()
    }

    /// Announces whether this VM has lost its links to backend servers, and updates the entry set.
    pub fn set_backends_lost(&self, inner: &Inner, is_lost: bool) {
        if self.swim.borrow().me().has_lost_backends == is_lost {
            return;
        }
        let out = self.swim.borrow_mut().set_backends_lost(is_lost);
        self.send_all(inner, out);
        self.send_member_changes(inner, &[]);
        self.update_roles(inner);
    }

    /// Tells whether this VM has run long enough to answer callers that ask where to connect.
    pub fn is_directory_ready(&self, now_ms: u64) -> bool {
        now_ms >= DIRECTORY_READY_MS
    }

    /// The place of this VM among all that read the store. A VM that reaches no other counts as the only one; one that leaves, or
    /// knows no members yet, is the last.
    pub fn read_turn(&self) -> ReadTurn {
        let swim = self.swim.borrow();
        if swim.is_isolated() {
            return ReadTurn { rank: 0, vms: 1 };
        }
        let vms = swim.members().count();
        ReadTurn { rank: self.read_rank.get().map_or(vms, |rank| rank.in_fleet), vms }
    }

    /// Tells whether this VM is the one of its hall that fetches from other halls at once.
    pub fn is_first_of_hall(&self) -> bool {
        self.read_rank.get().is_none_or(|rank| rank.in_hall == 0)
    }

    /// The peer address of a process, if it is a known member.
    pub fn peer_address_of(&self, id: u64) -> Option<SocketAddr> {
        self.swim.borrow().member(id).map(|member| member.identity.peer_address)
    }

    /// Tells whether this VM is in the entry set.
    pub fn takes_callers(&self) -> bool {
        self.entry_set.is_entry_vm()
    }

    /// Which of this VM and a reporting VM are in the entry set.
    fn entry_membership(&self, reporter: u64) -> EntryMembership {
        let is_in_entry_set =
            |id| self.entry_set.members().iter().any(|member| member.identity.id == id);
        match (self.takes_callers(), is_in_entry_set(reporter)) {
            (true, true) => EntryMembership::Both,
            (true, false) => EntryMembership::ReceiverOnly,
            (false, _) => EntryMembership::ReceiverOutside,
        }
    }

    /// Tells whether a VM is considered dead, as opposed to stopped or outside the entry set.
    pub fn is_dead(&self, id: u64) -> bool {
        let swim = self.swim.borrow();
        swim.member(id).is_some_and(|member| member.state == MemberState::Dead)
    }

    /// The number of VMs, this one included.
    pub fn member_count(&self) -> usize {
        self.swim.borrow().members().count()
    }

    /// Sets the addresses at which other VMs may be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.swim.borrow_mut().set_seeds(seeds);
    }

    /// Signals that the state of backend servers has changed.
    pub fn note_backend_change(&self) {
        self.backend_changed.notify_one();
    }

    /// Waits until the state of backend servers has changed.
    pub async fn until_backend_change(&self) {
        self.backend_changed.notified().await;
    }

    /// Announces the version of the configuration in force here.
    pub fn set_version(&self, inner: &Inner) {
        let version = inner.catalog().map_or(0, |catalog| catalog.version);
        let out = self.swim.borrow_mut().set_table(version);
        self.send_all(inner, out);
        self.update_roles(inner);
    }

    /// Sends this VM's standing to others: how recent its information is.
    pub fn send_standing(&self, inner: &Inner) {
        self.send_member_changes(inner, &[]);
    }

    /// Sends this VM's standing, after a change, to the other VMs of its hall.
    pub fn send_standing_to_hall(&self, inner: &Inner) {
        self.send_to_hall(inner, MAX_CHANGE_RECEIVERS);
    }

    /// Passes what confirms this VM's knowledge of the store on to its hall.
    pub fn pass_on_confirmation(&self, inner: &Inner) {
        self.send_to_hall(inner, MAX_CONFIRMATION_RECEIVERS);
    }

    /// Sends this VM's standing to some other VMs of its hall, or to all if they are no more than `receivers`.
    fn send_to_hall(&self, inner: &Inner, receivers: usize) {
        let near = self.peers_by_hall().near;
        let to: Vec<SocketAddr> =
            near.choose_multiple(&mut rand::rng(), receivers).copied().collect();
        self.send(&inner.meters, &self.standing_packet(inner), &to);
    }

    /// Sends this VM's standing to its hall, and to one VM of each other hall, which passes it on.
    pub fn send_confirmation(&self, inner: &Inner) {
        self.pass_on_confirmation(inner);
        let mut packet = self.standing_packet(inner);
        let confirmation = packet.standing.as_mut().and_then(|own| own.confirmation.as_mut());
        if let Some(confirmation) = confirmation {
            confirmation.pass_on = true;
        }
        self.send(&inner.meters, &packet, &self.peers_by_hall().relays(&mut rand::rng()));
    }

    /// All other VMs, by data hall.
    fn peers_by_hall(&self) -> PeersByHall {
        let swim = self.swim.borrow();
        PeersByHall::of(&swim.me().identity, swim.members())
    }

    /// Creates a packet with this VM's standing.
    fn standing_packet(&self, inner: &Inner) -> Packet {
        Packet {
            from: Some(self.swim.borrow().me().to_update()),
            standing: Some(state_sync::own_standing(inner)),
            emptied: emptied::report(inner),
            ..Packet::default()
        }
    }

    /// Sends changes of members to others, with this VM's standing.
    fn send_member_changes(&self, inner: &Inner, changed: &[Member]) {
        let to = self.change_receivers();
        let updates = changed.iter().map(Member::to_update).collect();
        let packet = Packet { updates, ..self.standing_packet(inner) };
        self.send(&inner.meters, &packet, &to);
    }

    /// Announces that this VM leaves.
    pub fn leave(&self, inner: &Inner) {
        let out = self.swim.borrow_mut().leave(inner.now_ms());
        self.send_all(inner, out);
        self.update_roles(inner);
    }

    /// Sends a packet to some VMs.
    pub fn send(&self, meters: &Meters, packet: &Packet, to: &[SocketAddr]) {
        let datagram = self.key.seal(packet);
        if datagram.len() > PACKET_LIMIT_BYTES {
            warn!(bytes = datagram.len(), "datagram exceeds the packet size limit");
        }
        let cause = match packet.body {
            Some(Body::Evidence(_)) => CrossHallCause::Evidence,
            Some(Body::Allotments(_)) => CrossHallCause::Allotments,
            Some(Body::LoanQuestion(_) | Body::Loan(_)) => CrossHallCause::Repeats,
            Some(Body::Suspects(_)) => CrossHallCause::Suspects,
            Some(Body::Words(_)) => CrossHallCause::Words,
            Some(Body::PermitQuestion(_) | Body::PermitAnswer(_)) => CrossHallCause::Permits,
            Some(Body::Pressure(_)) => CrossHallCause::Pressure,
            Some(Body::LinkQuestion(_) | Body::LinkAnswer(_)) => CrossHallCause::Links,
            _ => CrossHallCause::Members,
        };
        let far = to.iter().filter(|address| self.is_far(**address)).count();
        meters.count_cross_hall(cause, datagram.len() * far);
        for address in to {
            // A datagram that cannot be sent counts as lost; its content is sent again later.
            let _ = self.socket.try_send_to(&datagram, *address);
        }
    }

    /// Tells whether a VM is known to be in another data hall.
    pub fn is_far(&self, address: SocketAddr) -> bool {
        self.far.borrow().contains(&address)
    }

    /// Sends packets of the membership protocol.
    fn send_all(&self, inner: &Inner, out: Vec<Outgoing>) {
        if out.is_empty() {
            return;
        }
        let standing = state_sync::own_standing(inner);
        for Outgoing { to, mut packet } in out {
            packet.standing = Some(standing);
            packet.emptied = emptied::report(inner);
            self.send(&inner.meters, &packet, &[to]);
        }
    }

    /// Updates the entry set and this VM's place among those that read the store.
    pub fn update_roles(&self, inner: &Inner) {
        self.has_member_changes.set(false);
        let swim = self.swim.borrow();
        let members: Vec<&Member> = swim.members().collect();
        let me = &swim.me().identity;
        let vms_a_hall = inner.settings.entry.vms_a_hall;
        let chosen = choose_entry_vms(members.iter().copied(), vms_a_hall, inner.slots());
        let state = |member: &Member| (member.identity.caller_address, member.takes_callers());
        let before: Vec<_> = self.entry_set.members().iter().map(state).collect();
        let after: Vec<_> = chosen.iter().copied().map(state).collect();
        if before != after {
            let lost = members.iter().filter(|member| member.has_lost_backends).count();
            info!(members = members.len(), lost, entry = ?after, "entry set");
        }
        let was_entry_vm = self.entry_set.is_entry_vm();
        self.entry_set.replace(chosen.into_iter().cloned().collect());
        let has_joined = !was_entry_vm && self.entry_set.is_entry_vm();
        if has_joined && members.iter().any(|member| member.has_lost_backends) {
            self.is_link_test_due.set(true);
        }
        inner.repeats.set_fleet(swim.vm_count(), self.entry_set.is_entry_vm());
        let takes_callers = members.iter().copied().filter(|member| member.takes_callers());
        self.read_rank.set(read_rank(me.id, takes_callers));
        let far = members.iter().filter(|member| member.identity.hall != me.hall);
        *self.far.borrow_mut() = far.map(|member| member.identity.peer_address).collect();
    }
}

/// Splits a list into datagrams, each with whether it requests the receiver's list. Only the first
/// does; an empty list makes one datagram if it requests one, and none otherwise.
pub(crate) fn datagram_chunks<T>(
    list: &[T],
    asks: bool,
    size: usize,
) -> impl Iterator<Item = (&[T], bool)> {
    let request = (list.is_empty() && asks).then_some((list, true));
    let chunks = list.chunks(size).enumerate();
    let chunks = chunks.map(move |(number, chunk)| (chunk, asks && number == 0));
    request.into_iter().chain(chunks)
}
