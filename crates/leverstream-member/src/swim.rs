mod gossip;
mod probe;
mod roll;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use leverstream_pace::TokenBucket;
use leverstream_peer::{Ack, LeavingBackend, MemberUpdate, Packet, ServiceVersion, packet::Body};
use rand::rngs::StdRng;
use slab::Slab;

use roll::Rolls;

use crate::{Identity, Member, MemberKey, MemberState, News};

/// How many other members are asked to try a ping that was not answered.
const INDIRECT_PINGS: usize = 3;

/// The most updates about members in one packet.
const UPDATES_A_PACKET: usize = 6;

/// The most news in one packet.
const NEWS_A_PACKET: usize = 4;

/// How many members hear at once of news that a process has just learned.
const NEWS_FANOUT: usize = 4;

/// After so many unanswered pings in a row a process doubts itself, not the others.
const ISOLATED_AFTER: u32 = 3;

/// The most updates in a packet that welcomes a process; each takes up to 90 bytes.
const UPDATES_A_WELCOME: usize = 12;

/// How many young processes a second one tells of many members; more are told of a few, who tell them of the rest. Where a
/// fleet starts as a whole, all look for the same three: without a bound each of these sent 2.4 MB in ten seconds at 300 VMs
/// and 6.2 MB at 600.
const WELCOMES_PER_S: f64 = 48.0;

/// How long a member counts as young after it has become known, in milliseconds.
const YOUNG_MS: u64 = 2_000;

/// The most packets that welcome a young process: enough for 144 members, who know the rest. One that has been known for
/// longer and still looks for others gets one: where 300 VMs have all started anew each looks for hundreds, and all that could be
/// told each time was 7 MB a second.
const WELCOME_PACKETS: usize = 12;

/// How long after its start a process tells those it knows that it is there, in milliseconds: first when the
/// first welcome has come, then when those who started with it are known.
const ANNOUNCE_AFTER_MS: [u64; 2] = [300, 1_200];

/// The most members of its data hall that hear of it at once: all of a fleet of a hundred, whatever hall.
const ANNOUNCE_TO: usize = 128;

/// How many times the logarithm of the fleet's size an update is told.
const RETELL_FACTOR: u32 = 3;

/// The times of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct SwimSettings {
    /// The time between two pings of one process.
    pub period_ms: u64,
    /// How long a direct answer is waited for before others are asked to ping.
    pub ack_ms: u64,
    /// How long a suspect has to refute.
    pub suspicion_ms: u64,
    /// How long the dead are remembered, so that late news does not revive them.
    pub remember_dead_ms: u64,
    /// One ping in so many goes to another data hall, the rest to members of this one, who tell all
    /// others of what they find; 1 if halls do not matter.
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
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub packet: Packet,
}

/// One process's view of the fleet.
pub struct Swim {
    /// This process, as a member.
    me: Member,
    /// The others.
    members: Slab<Member>,
    /// The others by process.
    by_id: HashMap<u64, MemberKey>,
    /// The times.
    settings: SwimSettings,
    /// The source of choices.
    rng: StdRng,
    /// Members of this data hall still to be pinged in this round, or all members if halls do not matter.
    near_round: Vec<u64>,
    /// Members of other data halls still to be pinged in this round.
    far_round: Vec<u64>,
    /// Pings so far.
    pings: u32,
    /// Pings that are not answered yet, by sequence number.
    pending: HashMap<u64, Pending>,
    /// The last sequence number.
    sequence: u64,
    /// When the next ping is due.
    next_ping_ms: u64,
    /// Pings in a row that were not answered.
    unanswered: u32,
    /// Updates to tell, with how often each was told.
    updates: VecDeque<(u64, u32)>,
    /// Versions of services to tell.
    news: News,
    /// Leaving backend servers to tell.
    leaving: News,
    /// Leaving backend servers heard of and not yet handed out.
    heard_leaving: Vec<LeavingBackend>,
    /// Versions heard of and not yet handed out.
    heard: Vec<(SocketAddr, ServiceVersion)>,
    /// How many more processes may be told of many members.
    welcomes: TokenBucket,
    /// Addresses where a member is said to be.
    hints: Vec<SocketAddr>,
    /// The members whose state has changed since the last look.
    changed: Vec<Member>,
    /// When this process started.
    opened_ms: u64,
    /// How often it has told those it knows that it is there.
    announced: usize,
    /// When it compares whom it holds with another.
    rolls: Rolls,
}

/// A ping that is not answered yet.
#[derive(Clone, Debug)]
enum Pending {
    /// A ping of this process's own.
    Own {
        /// The member pinged.
        id: u64,
        /// When it was sent.
        sent_ms: u64,
        /// Whether others were asked to try.
        is_indirect: bool,
    },
    /// A ping made for another process.
    For {
        /// Who asked.
        asker: SocketAddr,
        /// The sequence number it waits for.
        sequence: u64,
        /// When it was sent.
        sent_ms: u64,
    },
}

impl Swim {
    /// Opens the view of a process that has just started and knows nobody.
    pub fn open(identity: Identity, settings: SwimSettings, rng: StdRng, now_ms: u64) -> Swim {
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
            unanswered: 0,
            updates: VecDeque::new(),
            news: News::default(),
            leaving: News::default(),
            heard_leaving: Vec::new(),
            heard: Vec::new(),
            welcomes: TokenBucket::new(WELCOMES_PER_S, WELCOMES_PER_S, now_ms),
            hints: Vec::new(),
            changed: vec![me.clone()],
            opened_ms: now_ms,
            announced: 0,
            rolls: Rolls::default(),
            me,
        }
    }

    /// This process as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// All members that are not dead, this process first.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.remembered().filter(|member| member.state != MemberState::Dead)
    }

    /// How many VMs there are or were, those that are gone as long as they are remembered: processes that took each
    /// other's place count once.
    pub fn vm_count(&self) -> usize {
        let addresses = self.remembered().map(|member| member.identity.peer_address);
        addresses.collect::<HashSet<_>>().len()
    }

    /// All members, this process first, with the dead that are still remembered.
    pub fn remembered(&self) -> impl Iterator<Item = &Member> {
        let others = self.members.iter().map(|(_, member)| member);
        std::iter::once(&self.me).chain(others)
    }

    /// Finds a member by its process, dead ones too.
    pub fn member(&self, id: u64) -> Option<&Member> {
        if id == self.me.identity.id {
            return Some(&self.me);
        }
        self.by_id.get(&id).map(|key| &self.members[key.0])
    }

    /// Tells whether pings have gone unanswered for long, so that this process may be cut off.
    pub fn is_isolated(&self) -> bool {
        self.unanswered >= ISOLATED_AFTER
    }

    /// Takes the members that have changed since the last call, as they are now.
    pub fn take_changed(&mut self) -> Vec<Member> {
        std::mem::take(&mut self.changed)
    }

    /// Takes the versions heard of since the last call, each with who told it.
    pub fn take_heard(&mut self) -> Vec<(SocketAddr, ServiceVersion)> {
        std::mem::take(&mut self.heard)
    }

    /// Notes the fingerprint of the table in force here, and tells some members of the first one.
    pub fn set_table(&mut self, table: u64) -> Vec<Outgoing> {
        let is_first = self.me.table == 0 && table != 0;
        self.me.table = table;
        if !is_first {
            return Vec::new();
        }
        self.changed.push(self.me.clone());
        self.tell_some()
    }

    /// Notes addresses where members are said to be; they are pinged until known.
    pub fn hint(&mut self, addresses: Vec<SocketAddr>) {
        self.hints = addresses;
    }

    /// Takes in a list of members from another process.
    pub fn merge(&mut self, updates: &[MemberUpdate], now_ms: u64) {
        for update in updates {
            self.learn(update, now_ms);
        }
    }

    /// Tells a service's new version to some members at once and to others with later packets.
    pub fn announce(&mut self, service: &str, version: u64) -> Vec<Outgoing> {
        self.news.add(service, version);
        self.tell_some()
    }

    /// Tells that a backend server leaves, to some members at once and to others later.
    pub fn announce_leaving(&mut self, address: SocketAddr, marked_s: u64) -> Vec<Outgoing> {
        self.leaving.add(&address.to_string(), marked_s);
        self.tell_some()
    }

    /// Takes the leaving backend servers heard of since the last call.
    pub fn take_leaving(&mut self) -> Vec<LeavingBackend> {
        std::mem::take(&mut self.heard_leaving)
    }

    /// Says that this process leaves as planned, to some members at once.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Outgoing> {
        self.me.state = MemberState::Leaving;
        self.me.incarnation += 1;
        self.me.since_ms = now_ms;
        self.changed.push(self.me.clone());
        let targets: Vec<SocketAddr> =
            self.alive().map(|member| member.identity.peer_address).take(64).collect();
        targets.into_iter().map(|to| self.outgoing(to, 0, Body::Ack(Ack {}))).collect()
    }

    /// Chooses a random live member's peer address, such as one to compare tables with.
    pub fn choose(&mut self) -> Option<SocketAddr> {
        self.choose_addresses(1, None).pop()
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut out = self.follow_up(now_ms);
        self.bury(now_ms);
        if now_ms >= self.next_ping_ms {
            self.next_ping_ms = now_ms + self.settings.period_ms;
            out.extend(self.ping_next(now_ms));
            out.extend(self.ping_hints());
        }
        let opened_ms = self.opened_ms;
        let is_due = |after_ms: Option<&u64>| {
            after_ms.is_some_and(|after_ms| now_ms >= opened_ms + after_ms)
        };
        if is_due(ANNOUNCE_AFTER_MS.get(self.announced)) {
            self.announced += 1;
            out.extend(self.tell_start());
        }
        out.extend(self.call_roll(now_ms));
        out
    }

    /// Takes in a packet.
    pub fn receive(&mut self, from: SocketAddr, packet: &Packet, now_ms: u64) -> Vec<Outgoing> {
        let Some(sender) = &packet.from else { return Vec::new() };
        if sender.id == self.me.identity.id {
            return Vec::new();
        }
        let is_new = !self.by_id.contains_key(&sender.id);
        self.replace_at_address(sender, now_ms);
        self.learn(sender, now_ms);
        let is_trusted = self.member(sender.id).is_some_and(|member| {
            matches!(member.state, MemberState::Alive | MemberState::Leaving)
        });
        for update in &packet.updates {
            // Whoever is cut off holds all others for dead; its word on them counts for nothing. Its
            // word on this process is always answered, or two sides of a cut would never meet again.
            let is_accusation = Member::from_update(update, now_ms)
                .is_some_and(|member| member.state > MemberState::Leaving);
            if is_trusted || !is_accusation || update.id == self.me.identity.id {
                self.learn(update, now_ms);
            }
        }
        self.heard.extend(packet.news.iter().map(|news| (from, news.clone())));
        self.heard_leaving.extend(packet.leaving.iter().cloned());
        match &packet.body {
            Some(Body::Ping(_)) => {
                let mut out = vec![self.outgoing(from, packet.sequence, Body::Ack(Ack {}))];
                // Without a number it looks for members at an address from its settings, or of a dead one.
                if is_new || packet.sequence == 0 {
                    let is_full =
                        self.is_young(sender.id, now_ms) && self.welcomes.try_take(now_ms);
                    let packets = if is_full { WELCOME_PACKETS } else { 1 };
                    out.extend(self.welcome(from, sender.id, packets));
                }
                out
            }
            Some(Body::Ack(_)) => self.acknowledge(packet.sequence, now_ms),
            Some(Body::PingRequest(request)) => {
                self.ping_for(from, packet.sequence, request, now_ms)
            }
            Some(Body::Roll(roll)) => self.answer_roll(from, roll),
            // These are no part of the members' protocol.
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
                | Body::PermitAnswer(_),
            )
            | None => Vec::new(),
        }
    }

    /// Tells whether a member has become known, or changed, a short while ago.
    fn is_young(&self, id: u64, now_ms: u64) -> bool {
        let age_ms = |member: &Member| now_ms.saturating_sub(member.since_ms);
        self.member(id).is_some_and(|member| age_ms(member) < YOUNG_MS)
    }

    /// The others that are alive.
    fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, member)| member).filter(|member| member.takes_callers())
    }

    /// The next sequence number.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
