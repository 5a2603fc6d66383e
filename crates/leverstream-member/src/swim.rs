use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use leverstream_peer::{
    Ack, LeavingBackend, MemberUpdate, Packet, Ping, PingRequest, ServiceVersion, packet::Body,
};
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use slab::Slab;

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

/// The most packets that welcome a process: enough for 144 members, who know the rest.
const WELCOME_PACKETS: usize = 12;

/// How long after its start a process tells those it knows that it is there, in milliseconds: first when the
/// first welcome has come, then when those who started with it are known.
const ANNOUNCE_AFTER_MS: [u64; 2] = [300, 1_200];

/// The most members that hear of it at once.
const ANNOUNCE_TO: usize = 160;

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
    /// Addresses where a member is said to be.
    hints: Vec<SocketAddr>,
    /// The members whose state has changed since the last look.
    changed: Vec<Member>,
    /// When this process started.
    opened_ms: u64,
    /// How often it has told those it knows that it is there.
    announced: usize,
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
            hints: Vec::new(),
            changed: vec![me.clone()],
            opened_ms: now_ms,
            announced: 0,
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
        let due_ms =
            ANNOUNCE_AFTER_MS.get(self.announced).map(|after_ms| self.opened_ms + after_ms);
        if due_ms.is_some_and(|due_ms| now_ms >= due_ms) {
            self.announced += 1;
            out.extend(self.tell(ANNOUNCE_TO));
        }
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
                    out.extend(self.welcome(from, sender.id));
                }
                out
            }
            Some(Body::Ack(_)) => self.acknowledge(packet.sequence, now_ms),
            Some(Body::PingRequest(request)) => {
                self.ping_for(from, packet.sequence, request, now_ms)
            }
            Some(Body::Evidence(_)) | None => Vec::new(),
        }
    }

    /// Tells a process that looks for members who is there.
    ///
    /// Whoever has just started knows nobody, and gossip would take seconds to bring it all the others.
    fn welcome(&self, to: SocketAddr, id: u64) -> Vec<Outgoing> {
        let others = self.alive().filter(|member| member.identity.id != id);
        let updates: Vec<MemberUpdate> = others.map(Member::to_update).collect();
        let parts = updates.chunks(UPDATES_A_WELCOME).take(WELCOME_PACKETS);
        let packets = parts.map(|part| Packet {
            from: Some(self.me.to_update()),
            body: Some(Body::Ack(Ack {})),
            updates: part.to_vec(),
            ..Packet::default()
        });
        packets.map(|packet| Outgoing { to, packet }).collect()
    }

    /// Sends what there is to tell to some members at once.
    fn tell_some(&mut self) -> Vec<Outgoing> {
        self.tell(NEWS_FANOUT)
    }

    /// Sends what there is to tell to up to so many members at once.
    fn tell(&mut self, count: usize) -> Vec<Outgoing> {
        let targets = self.choose_addresses(count, None);
        targets.into_iter().map(|to| self.outgoing(to, 0, Body::Ack(Ack {}))).collect()
    }

    /// The others that are alive.
    fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().map(|(_, member)| member).filter(|member| member.takes_callers())
    }

    /// Pings the next member of the round, or of that of other data halls if it is their turn.
    fn ping_next(&mut self, now_ms: u64) -> Option<Outgoing> {
        self.pings = self.pings.wrapping_add(1);
        let far_one_in = self.settings.far_one_in;
        let is_far_turn = far_one_in > 1 && self.pings.is_multiple_of(far_one_in);
        let id = self.next_of_round(is_far_turn).or_else(|| self.next_of_round(!is_far_turn))?;
        let to = self.member(id)?.identity.peer_address;
        let sequence = self.next_sequence();
        self.pending.insert(sequence, Pending::Own { id, sent_ms: now_ms, is_indirect: false });
        Some(self.outgoing(to, sequence, Body::Ping(Ping {})))
    }

    /// Takes the next member of a round; a round that is over begins anew.
    fn next_of_round(&mut self, is_far: bool) -> Option<u64> {
        let is_empty = if is_far { self.far_round.is_empty() } else { self.near_round.is_empty() };
        if is_empty {
            let mut round = self.new_round(is_far);
            round.shuffle(&mut self.rng);
            *if is_far { &mut self.far_round } else { &mut self.near_round } = round;
        }
        if is_far { self.far_round.pop() } else { self.near_round.pop() }
    }

    /// The members that a round takes in.
    fn new_round(&self, is_far: bool) -> Vec<u64> {
        let hall = &self.me.identity.hall;
        let is_in_round = |member: &&Member| {
            let counts_as_far = self.settings.far_one_in > 1 && member.identity.hall != *hall;
            member.state != MemberState::Dead && counts_as_far == is_far
        };
        let known = self.members.iter().map(|(_, member)| member);
        known.filter(is_in_round).map(|member| member.identity.id).collect()
    }

    /// Pings an address where a member is said to be, or was, and no live one is known.
    fn ping_hints(&mut self) -> Option<Outgoing> {
        let known = |address: &SocketAddr| {
            *address == self.me.identity.peer_address
                || self.members.iter().any(|(_, member)| {
                    member.identity.peer_address == *address && member.state != MemberState::Dead
                })
        };
        let members = self.members.iter().map(|(_, member)| member);
        let dead = members.filter(|member| member.state == MemberState::Dead);
        let dead = dead.map(|member| &member.identity.peer_address);
        let unknown: Vec<SocketAddr> =
            self.hints.iter().chain(dead).filter(|address| !known(address)).copied().collect();
        let to = *unknown.choose(&mut self.rng)?;
        Some(self.outgoing(to, 0, Body::Ping(Ping {})))
    }

    /// Asks others to try, or suspects, where a ping was not answered in time.
    fn follow_up(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let settings = self.settings;
        let mut late = Vec::new();
        let mut silent = Vec::new();
        self.pending.retain(|sequence, pending| match pending {
            Pending::Own { id, sent_ms, is_indirect } => {
                let age_ms = now_ms.saturating_sub(*sent_ms);
                if age_ms >= settings.period_ms {
                    silent.push(*id);
                    return false;
                }
                if age_ms >= settings.ack_ms && !*is_indirect {
                    *is_indirect = true;
                    late.push((*sequence, *id));
                }
                true
            }
            Pending::For { sent_ms, .. } => now_ms.saturating_sub(*sent_ms) < settings.period_ms,
        });
        for id in silent {
            self.unanswered += 1;
            if !self.is_isolated() {
                self.accuse(id, MemberState::Suspect, now_ms);
            }
        }
        late.into_iter().flat_map(|(sequence, id)| self.ask_others(sequence, id)).collect()
    }

    /// Asks some members to ping another.
    fn ask_others(&mut self, sequence: u64, id: u64) -> Vec<Outgoing> {
        let Some(target) = self.member(id).map(|member| member.identity.peer_address) else {
            return Vec::new();
        };
        let others = self.choose_addresses(INDIRECT_PINGS, Some(target));
        let request = PingRequest { peer_address: target.to_string() };
        others
            .into_iter()
            .map(|to| self.outgoing(to, sequence, Body::PingRequest(request.clone())))
            .collect()
    }

    /// Pings a member for another process.
    fn ping_for(
        &mut self,
        asker: SocketAddr,
        sequence: u64,
        request: &PingRequest,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        let Ok(target) = request.peer_address.parse() else { return Vec::new() };
        let is_member =
            self.members.iter().any(|(_, member)| member.identity.peer_address == target);
        if !is_member {
            return Vec::new();
        }
        let own = self.next_sequence();
        self.pending.insert(own, Pending::For { asker, sequence, sent_ms: now_ms });
        vec![self.outgoing(target, own, Body::Ping(Ping {}))]
    }

    /// Notes an answer, or hands it on to the process that asked for the ping.
    fn acknowledge(&mut self, sequence: u64, now_ms: u64) -> Vec<Outgoing> {
        match self.pending.remove(&sequence) {
            Some(Pending::Own { id, .. }) => {
                self.unanswered = 0;
                self.clear_own_suspicion(id, now_ms);
                Vec::new()
            }
            Some(Pending::For { asker, sequence, .. }) => {
                vec![self.outgoing(asker, sequence, Body::Ack(Ack {}))]
            }
            None => Vec::new(),
        }
    }

    /// Trusts a suspect again that has answered, until others tell otherwise.
    fn clear_own_suspicion(&mut self, id: u64, now_ms: u64) {
        let Some(key) = self.by_id.get(&id) else { return };
        let member = &mut self.members[key.0];
        if member.state == MemberState::Suspect {
            member.state = MemberState::Alive;
            member.since_ms = now_ms;
            self.changed.push(member.clone());
        }
    }

    /// Declares suspects dead whose time to refute is over, and forgets those long dead.
    fn bury(&mut self, now_ms: u64) {
        let settings = self.settings;
        let age_ms = |member: &Member| now_ms.saturating_sub(member.since_ms);
        let overdue: Vec<u64> = self
            .members
            .iter()
            .map(|(_, member)| member)
            .filter(|m| m.state == MemberState::Suspect && age_ms(m) >= settings.suspicion_ms)
            .map(|member| member.identity.id)
            .collect();
        if !self.is_isolated() {
            for id in overdue {
                self.accuse(id, MemberState::Dead, now_ms);
            }
        }
        let by_id = &mut self.by_id;
        self.members.retain(|_, member| {
            let is_kept =
                member.state != MemberState::Dead || age_ms(member) < settings.remember_dead_ms;
            if !is_kept {
                by_id.remove(&member.identity.id);
            }
            is_kept
        });
    }

    /// Holds a member for suspect or dead and tells the others.
    fn accuse(&mut self, id: u64, state: MemberState, now_ms: u64) {
        let Some(member) = self.member(id) else { return };
        let mut update = Member { state, ..member.clone() }.to_update();
        update.incarnation = member.incarnation;
        self.learn(&update, now_ms);
    }

    /// Takes in an update about a member, or refutes one about this process.
    fn learn(&mut self, update: &MemberUpdate, now_ms: u64) {
        let Some(heard) = Member::from_update(update, now_ms) else { return };
        if heard.identity.id == self.me.identity.id {
            self.refute(&heard);
            return;
        }
        let id = heard.identity.id;
        let mut changed = heard.clone();
        match self.by_id.get(&id) {
            Some(key) => {
                let held = &mut self.members[key.0];
                let gets_table = held.table == 0 && heard.table != 0;
                if heard.table != 0 {
                    held.table = heard.table;
                }
                if held.is_overridden_by(heard.incarnation, heard.state) {
                    *held = Member { table: held.table, ..heard };
                } else if !gets_table {
                    return;
                }
                changed = held.clone();
            }
            None => {
                let key = self.members.insert(heard);
                self.by_id.insert(id, MemberKey(key));
            }
        }
        self.changed.push(changed);
        self.updates.retain(|(told, _)| *told != id);
        self.updates.push_front((id, 0));
    }

    /// Raises this process's incarnation when others hold it for worse than it is.
    fn refute(&mut self, heard: &Member) {
        let is_worse = heard.state > self.me.state && heard.incarnation >= self.me.incarnation;
        if is_worse {
            self.me.incarnation = heard.incarnation + 1;
        }
    }

    /// Declares dead the process that used to be at a sender's address.
    fn replace_at_address(&mut self, sender: &MemberUpdate, now_ms: u64) {
        if self.by_id.contains_key(&sender.id) {
            return;
        }
        let Ok(address) = sender.peer_address.parse::<SocketAddr>() else { return };
        let replaced: Vec<u64> = self
            .members
            .iter()
            .map(|(_, member)| member)
            .filter(|member| member.identity.peer_address == address)
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.identity.id)
            .collect();
        for id in replaced {
            self.accuse(id, MemberState::Dead, now_ms);
        }
    }

    /// Chooses random live members' addresses.
    fn choose_addresses(&mut self, count: usize, except: Option<SocketAddr>) -> Vec<SocketAddr> {
        let alive = self.alive().map(|member| member.identity.peer_address);
        let others: Vec<SocketAddr> = alive.filter(|address| Some(*address) != except).collect();
        others.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// The next sequence number.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Builds a packet with what there is to tell.
    fn outgoing(&mut self, to: SocketAddr, sequence: u64, body: Body) -> Outgoing {
        let limit = self.retell_limit();
        let mut updates = self.update_about_receiver(to);
        let room = UPDATES_A_PACKET.saturating_sub(updates.len()).min(self.updates.len());
        for _ in 0..room {
            let Some((id, told)) = self.updates.pop_front() else { break };
            if let Some(member) = self.member(id) {
                updates.push(member.to_update());
            }
            if told + 1 < limit {
                self.updates.push_back((id, told + 1));
            }
        }
        let news = self.news.take(NEWS_A_PACKET, limit).into_iter();
        let news = news.map(|(service, version)| ServiceVersion { service, version }).collect();
        let leaving = self.leaving.take(NEWS_A_PACKET, limit).into_iter();
        let leaving =
            leaving.map(|(address, marked_s)| LeavingBackend { address, marked_s }).collect();
        let from = Some(self.me.to_update());
        let packet =
            Packet { sequence, from, body: Some(body), updates, news, leaving, standing: None };
        Outgoing { to, packet }
    }

    /// Tells a receiver what is held of it, when that is for it to refute.
    fn update_about_receiver(&self, to: SocketAddr) -> Vec<MemberUpdate> {
        let accused = self.members.iter().map(|(_, member)| member).filter(|member| {
            member.identity.peer_address == to && member.state > MemberState::Leaving
        });
        accused.map(Member::to_update).take(1).collect()
    }

    /// How often an update is told: a multiple of the logarithm of the fleet's size.
    fn retell_limit(&self) -> u32 {
        let size = u32::try_from(self.members.len()).unwrap_or(u32::MAX).saturating_add(2);
        RETELL_FACTOR * (u32::BITS - size.leading_zeros())
    }
}
