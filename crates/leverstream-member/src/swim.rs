//! The SWIM protocol as a state machine: pings, suspicion, and gossip about members and versions.

mod gossip;
mod probe;
mod roll;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use leverstream_pace::TokenBucket;
use leverstream_peer::{Ack, LeavingBackend, MemberUpdate, Packet, ServiceVersion, packet::Body};
use rand::rngs::StdRng;
use slab::Slab;

use roll::RollSchedule;

use crate::{GossipQueue, Identity, Member, MemberKey, MemberState};

/// How many other members are asked to ping a member that did not answer.
const INDIRECT_PINGS: usize = 3;

/// The maximum number of member updates in one packet.
const UPDATES_PER_PACKET: usize = 6;

/// The maximum number of service versions, and of leaving backend servers, in one packet.
const VERSIONS_PER_PACKET: usize = 4;

/// How many members receive an item of gossip at once when a process has just learned it.
const GOSSIP_FANOUT: usize = 4;

/// After this many unanswered pings in a row a process considers itself isolated and suspects
/// no other member.
const ISOLATED_AFTER: u32 = 3;

/// The maximum number of member updates in one packet of a join reply; each takes up to 90 bytes.
const UPDATES_PER_JOIN_REPLY: usize = 12;

/// How many full join replies a process sends per second. Beyond that, a joining process gets one
/// packet and learns the rest from the members listed there. Where a whole fleet starts, all
/// processes contact the same three seed addresses: without this limit each of those three sent
/// 2.4 MB in ten seconds at 300 VMs and 6.2 MB at 600.
const FULL_JOIN_REPLIES_PER_S: f64 = 48.0;

/// How long a member counts as joining after it has become known, in milliseconds.
const JOINING_MS: u64 = 2_000;

/// The maximum number of packets of a full join reply: enough for 144 members, who know the rest. A
/// process that has been known for longer and still looks for others gets one packet: where 300 VMs
/// have all restarted, each looks for hundreds of members, and full replies added up to 7 MB per
/// second.
const JOIN_REPLY_PACKETS: usize = 12;

/// How long after its start a process announces itself to the members that it knows, in
/// milliseconds: once when the first join reply has arrived, and again when the processes that
/// started with it are known.
const ANNOUNCE_AFTER_MS: [u64; 2] = [300, 1_200];

/// The maximum number of members of its own data hall that a starting process announces itself to.
/// A fleet with no more members than that is sent as a whole, whatever their halls.
const ANNOUNCE_LIMIT: usize = 128;

/// How often an update is sent, as a multiple of the logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 3;

/// The settings of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// The time between two pings of one process.
    pub period_ms: u64,
    /// How long to wait for a direct answer before other members are asked to ping.
    pub ack_ms: u64,
    /// How long a suspect has to refute the suspicion.
    pub suspicion_ms: u64,
    /// How long dead members are remembered, so that late updates do not revive them.
    pub remember_dead_ms: u64,
    /// One in this many pings goes to another data hall. The others go to members of the own hall,
    /// which spread what they find. 1 treats all halls alike.
    pub far_one_in: u32,
}

impl Default for SwimSettings {
    fn default() -> Self {
        SwimSettings {
            period_ms: 500,
            ack_ms: 150,
            suspicion_ms: 2_000,
            remember_dead_ms: 300_000,
            far_one_in: 1,
        }
    }
}

/// A packet to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The destination.
    pub to: SocketAddr,
    /// The packet.
    pub packet: Packet,
}

/// The view that one process has of the fleet.
pub struct Swim {
    /// This process, as a member.
    me: Member,
    /// The other members.
    members: Slab<Member>,
    /// The other members by process id.
    by_id: HashMap<u64, MemberKey>,
    /// The settings of the protocol.
    settings: SwimSettings,
    /// The source of random choices.
    rng: StdRng,
    /// Members of the own data hall still to be pinged in this round, or all members if halls are
    /// treated alike.
    near_round: Vec<u64>,
    /// Members of other data halls still to be pinged in this round.
    far_round: Vec<u64>,
    /// The number of pings sent so far.
    pings: u32,
    /// Pings without an answer yet, by sequence number.
    pending: HashMap<u64, Pending>,
    /// The last sequence number.
    sequence: u64,
    /// When the next ping is due.
    next_ping_ms: u64,
    /// The number of consecutive pings without an answer.
    unanswered_pings: u32,
    /// Process ids of members to send updates about, with how often each was sent.
    updates: VecDeque<(u64, u32)>,
    /// Versions of services to send.
    news: GossipQueue,
    /// Leaving backend servers to send.
    leaving: GossipQueue,
    /// Leaving backend servers received since the last `take_leaving`.
    received_leaving: Vec<LeavingBackend>,
    /// Service versions received, with their sender, since the last `take_received_versions`.
    received_versions: Vec<(SocketAddr, ServiceVersion)>,
    /// The token bucket that limits full join replies.
    join_reply_bucket: TokenBucket,
    /// Addresses at which members may be found.
    seeds: Vec<SocketAddr>,
    /// The members that have changed since the last `take_changed`.
    changed: Vec<Member>,
    /// When this process started.
    started_ms: u64,
    /// How many of its start announcements it has sent.
    announcements_sent: usize,
    /// The schedule of the rolls that this process sends.
    roll_schedule: RollSchedule,
}

/// A ping without an answer yet.
#[derive(Clone, Debug)]
enum Pending {
    /// A ping of this process itself.
    Own {
        /// The member pinged.
        id: u64,
        /// When it was sent.
        sent_ms: u64,
        /// Whether other members were asked to ping as well.
        is_indirect: bool,
    },
    /// A ping sent on behalf of another process.
    Relayed {
        /// The process that asked for it.
        asker: SocketAddr,
        /// The sequence number that the asking process expects.
        sequence: u64,
        /// When it was sent.
        sent_ms: u64,
    },
}

impl Swim {
    /// Creates the view of a process that has just started and knows no other member.
    pub fn new(identity: Identity, settings: SwimSettings, rng: StdRng, now_ms: u64) -> Swim {
        let me = Member::new(identity, now_ms);
        Swim {
            members: Slab::new(),
            by_id: HashMap::new(),
            settings,
            rng,
            near_round: Vec::new(),
            far_round: Vec::new(),
            pings: 0,
            pending: HashMap::new(),
            sequence: 0,
            next_ping_ms: now_ms,
            unanswered_pings: 0,
            updates: VecDeque::new(),
            news: GossipQueue::default(),
            leaving: GossipQueue::default(),
            received_leaving: Vec::new(),
            received_versions: Vec::new(),
            join_reply_bucket: TokenBucket::new(
                FULL_JOIN_REPLIES_PER_S,
                FULL_JOIN_REPLIES_PER_S,
                now_ms,
            ),
            seeds: Vec::new(),
            changed: vec![me.clone()],
            started_ms: now_ms,
            announcements_sent: 0,
            roll_schedule: RollSchedule::default(),
            me,
        }
    }

    /// Returns this process as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns all members that are not dead, this process first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.remembered().filter(|member| member.state != MemberState::Dead)
    }

    /// Returns the number of VMs, including dead ones that are still remembered. Processes that
    /// followed each other at one address count once.
    pub fn vm_count(&self) -> usize {
        let addresses = self.remembered().map(|member| member.identity.peer_address);
        addresses.collect::<HashSet<_>>().len()
    }

    /// Returns all members, this process first, including dead ones that are still remembered.
    pub fn remembered(&self) -> impl Iterator<Item = &Member> {
        let others = self.members.iter().map(|(_, member)| member);
        std::iter::once(&self.me).chain(others)
    }

    /// Finds a member by its process id, dead ones included.
    pub fn member(&self, id: u64) -> Option<&Member> {
        if id == self.me.identity.id {
            return Some(&self.me);
        }
        self.by_id.get(&id).map(|key| &self.members[key.0])
    }

    /// Returns whether so many pings went unanswered that this process may be cut off.
    pub fn is_isolated(&self) -> bool {
        self.unanswered_pings >= ISOLATED_AFTER
    }

    /// Takes the members that have changed since the last call, each as of its change.
    pub fn take_changed(&mut self) -> Vec<Member> {
        std::mem::take(&mut self.changed)
    }

    /// Takes the versions received since the last call, each with its sender.
    pub fn take_received_versions(&mut self) -> Vec<(SocketAddr, ServiceVersion)> {
        std::mem::take(&mut self.received_versions)
    }

    /// Sets the fingerprint of the routing table in use here and announces the first one to some
    /// members.
    pub fn set_table(&mut self, table: u64) -> Vec<Outgoing> {
        let is_first = self.me.table == 0 && table != 0;
        self.me.table = table;
        if !is_first {
            return Vec::new();
        }
        self.changed.push(self.me.clone());
        self.gossip_to_some()
    }

    /// Sets addresses at which members may be found; each is pinged until a member there is known.
    pub fn set_seeds(&mut self, addresses: Vec<SocketAddr>) {
        self.seeds = addresses;
    }

    /// Merges a list of members from another process.
    pub fn merge(&mut self, updates: &[MemberUpdate], now_ms: u64) {
        for update in updates {
            self.apply_update(update, now_ms);
        }
    }

    /// Announces a service's new version, to some members at once and to others with later packets.
    pub fn announce(&mut self, service: &str, version: u64) -> Vec<Outgoing> {
        self.news.add(service, version);
        self.gossip_to_some()
    }

    /// Announces that a backend server leaves, to some members at once and to others with later
    /// packets.
    pub fn announce_leaving(&mut self, address: SocketAddr, marked_s: u64) -> Vec<Outgoing> {
        self.leaving.add(&address.to_string(), marked_s);
        self.gossip_to_some()
    }

    /// Takes the leaving backend servers received since the last call.
    pub fn take_leaving(&mut self) -> Vec<LeavingBackend> {
        std::mem::take(&mut self.received_leaving)
    }

    /// Announces to some members that this process leaves as planned.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.me.state = MemberState::Leaving;
        self.me.incarnation += 1;
        self.me.since_ms = now_ms;
        self.changed.push(self.me.clone());
        let targets: Vec<SocketAddr> =
            self.alive().map(|member| member.identity.peer_address).take(64).collect();
        targets.into_iter().map(|to| self.outgoing(to, 0, Body::Ack(Ack {}))).collect()
    }

    /// Sets whether this process reaches no backend server of some service while other VMs do, and
    /// announces it to some members; the others hear it with later packets.
    pub fn set_backends_lost(&mut self, is_lost: bool) -> Vec<Outgoing> {
        if self.me.has_lost_backends == is_lost {
            return Vec::new();
        }
        self.me.has_lost_backends = is_lost;
        // An update with a later incarnation overrides what members hold.
        self.me.incarnation += 1;
        self.changed.push(self.me.clone());
        self.gossip_to_some()
    }

    /// Chooses the peer address of a random live member, such as one to compare tables with.
    pub fn choose_peer(&mut self) -> Option<SocketAddr> {
        self.choose_addresses(1, None).pop()
    }

    /// Runs all periodic work that is due and returns the packets to send.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut out = self.check_pending(now_ms);
        self.expire_members(now_ms);
        if now_ms >= self.next_ping_ms {
            self.next_ping_ms = now_ms + self.settings.period_ms;
            out.extend(self.ping_next(now_ms));
            out.extend(self.ping_unknown_address());
        }
        let started_ms = self.started_ms;
        let is_due = |after_ms: Option<&u64>| {
            after_ms.is_some_and(|after_ms| now_ms >= started_ms + after_ms)
        };
        if is_due(ANNOUNCE_AFTER_MS.get(self.announcements_sent)) {
            self.announcements_sent += 1;
            out.extend(self.announce_start());
        }
        out.extend(self.send_due_roll(now_ms));
        out
    }

    /// Handles a packet and returns the packets to send.
    pub fn receive(&mut self, from: SocketAddr, packet: &Packet, now_ms: u64) -> Vec<Outgoing> {
        let Some(sender) = &packet.from else { return Vec::new() };
        if sender.id == self.me.identity.id {
            return Vec::new();
        }
        let is_new = !self.by_id.contains_key(&sender.id);
        self.replace_at_address(sender, now_ms);
        self.apply_update(sender, now_ms);
        let is_sender_trusted = self.member(sender.id).is_some_and(|member| {
            matches!(member.state, MemberState::Alive | MemberState::Leaving)
        });
        for update in &packet.updates {
            // An isolated process holds all others for dead, so its accusations are ignored. An
            // accusation against this process is always handled, as two sides of a network
            // partition would never rejoin otherwise.
            let is_accusation = Member::from_update(update, now_ms)
                .is_some_and(|member| member.state > MemberState::Leaving);
            if is_sender_trusted || !is_accusation || update.id == self.me.identity.id {
                self.apply_update(update, now_ms);
            }
        }
        self.received_versions.extend(packet.news.iter().map(|news| (from, news.clone())));
        self.received_leaving.extend(packet.leaving.iter().cloned());
        match &packet.body {
            Some(Body::Ping(_)) => {
                let mut out = vec![self.outgoing(from, packet.sequence, Body::Ack(Ack {}))];
                // A ping without a sequence number goes to a seed address or to the address of a
                // dead member: its sender looks for members.
                if is_new || packet.sequence == 0 {
                    let is_full_reply = self.is_joining(sender.id, now_ms)
                        && self.join_reply_bucket.try_take(now_ms);
                    let packets = if is_full_reply { JOIN_REPLY_PACKETS } else { 1 };
                    out.extend(self.join_reply(from, sender.id, packets));
                }
                out
            }
            Some(Body::Ack(_)) => self.handle_ack(packet.sequence, now_ms),
            Some(Body::PingRequest(request)) => {
                self.relay_ping(from, packet.sequence, request, now_ms)
            }
            Some(Body::Roll(roll)) => self.answer_roll(from, roll),
            // Other components handle these.
            Some(
                Body::Evidence(_)
                | Body::LeaseQuestion(_)
                | Body::LeaseAnswer(_)
                | Body::Allotments(_)
                | Body::LoanQuestion(_)
                | Body::Loan(_)
                | Body::Suspects(_)
                | Body::Words(_)
                | Body::PermitQuestion(_)
                | Body::PermitAnswer(_)
                | Body::Pressure(_)
                | Body::LinkQuestion(_)
                | Body::LinkAnswer(_)
                | Body::RelayedRequest(_),
            )
            | None => Vec::new(),
        }
    }

    /// Returns whether a member has become known, or has changed, within `JOINING_MS`.
    fn is_joining(&self, id: u64, now_ms: u64) -> bool {
        let age_ms = |member: &Member| now_ms.saturating_sub(member.since_ms);
        self.member(id).is_some_and(|member| age_ms(member) < JOINING_MS)
    }

    /// Returns the other members that are alive.
    fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, member)| member).filter(|member| member.takes_callers())
    }

    /// Returns the next sequence number.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
