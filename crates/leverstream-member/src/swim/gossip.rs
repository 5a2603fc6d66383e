//! Gossip about members: what a process sends, and how it applies the updates that it receives.

use std::net::SocketAddr;

use leverstream_peer::packet::Body;
use leverstream_peer::{Ack, LeavingBackend, MemberUpdate, Packet, ServiceVersion};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    ANNOUNCE_LIMIT, GOSSIP_FANOUT, Outgoing, RETRANSMIT_FACTOR, Swim, UPDATES_PER_JOIN_REPLY,
    UPDATES_PER_PACKET, VERSIONS_PER_PACKET,
};
use crate::{Member, MemberKey, MemberState, PeersByHall};

impl Swim {
    /// Lists live members to a process that looks for members.
    ///
    /// A process that has just started knows no other, and gossip would take seconds to bring it the
    /// whole fleet.
    pub(super) fn join_reply(&mut self, to: SocketAddr, id: u64, packets: usize) -> Vec<Outgoing> {
        let others = self.alive().filter(|member| member.identity.id != id);
        let updates = others.map(Member::to_update).collect();
        self.member_packets(to, updates, packets)
    }

    /// Builds up to `packets` packets that list members.
    pub(super) fn member_packets(
        &mut self,
        to: SocketAddr,
        mut updates: Vec<MemberUpdate>,
        packets: usize,
    ) -> Vec<Outgoing> {
        // In random order, so that different processes list different members.
        updates.shuffle(&mut self.rng);
        let parts = updates.chunks(UPDATES_PER_JOIN_REPLY).take(packets);
        let packets = parts.map(|part| Packet {
            updates: part.to_vec(),
            ..self.packet_without_gossip(Body::Ack(Ack {}))
        });
        packets.map(|packet| Outgoing { to, packet }).collect()
    }

    /// Builds a packet without queued gossip.
    pub(super) fn packet_without_gossip(&self, body: Body) -> Packet {
        Packet { from: Some(self.me.to_update()), body: Some(body), ..Packet::default() }
    }

    /// Sends queued gossip to some members at once.
    pub(super) fn gossip_to_some(&mut self) -> Vec<Outgoing> {
        let targets = self.choose_addresses(GOSSIP_FANOUT, None);
        self.gossip_to(targets)
    }

    /// Announces the start of this process: to all members of a small fleet, otherwise to many of
    /// its own data hall and one of each other, since traffic between halls costs money and that
    /// member informs its own hall.
    pub(super) fn announce_start(&mut self) -> Vec<Outgoing> {
        let peers = PeersByHall::of(&self.me.identity, self.alive());
        let mut targets = peers.sample(ANNOUNCE_LIMIT, &mut self.rng);
        // Consecutive packets carry different updates; the shuffle keeps any hall from always
        // receiving the same ones.
        targets.shuffle(&mut self.rng);
        self.gossip_to(targets)
    }

    /// Sends queued gossip to the given addresses at once.
    fn gossip_to(&mut self, targets: Vec<SocketAddr>) -> Vec<Outgoing> {
        targets.into_iter().map(|to| self.outgoing(to, 0, Body::Ack(Ack {}))).collect()
    }

    /// Applies an update about a member, or refutes one about this process.
    pub(super) fn apply_update(&mut self, update: &MemberUpdate, now_ms: u64) {
        let Some(received) = Member::from_update(update, now_ms) else { return };
        if received.identity.id == self.me.identity.id {
            self.refute(&received);
            return;
        }
        let id = received.identity.id;
        let mut changed = received.clone();
        match self.by_id.get(&id) {
            Some(key) => {
                let held = &mut self.members[key.0];
                let gets_table = held.table == 0 && received.table != 0;
                if received.table != 0 {
                    held.table = received.table;
                }
                if held.is_overridden_by(received.incarnation, received.state) {
                    *held = Member { table: held.table, ..received };
                } else if !gets_table {
                    return;
                }
                changed = held.clone();
            }
            None => {
                let key = self.members.insert(received);
                self.by_id.insert(id, MemberKey(key));
            }
        }
        self.changed.push(changed);
        self.updates.retain(|(queued, _)| *queued != id);
        self.updates.push_front((id, 0));
    }

    /// Raises the incarnation of this process when others hold it for worse than it is.
    fn refute(&mut self, received: &Member) {
        let is_worse =
            received.state > self.me.state && received.incarnation >= self.me.incarnation;
        if is_worse {
            self.me.incarnation = received.incarnation + 1;
        }
    }

    /// Declares dead the process that was at a sender's address before.
    pub(super) fn replace_at_address(&mut self, sender: &MemberUpdate, now_ms: u64) {
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
            self.mark_failed(id, MemberState::Dead, now_ms);
        }
    }

    /// Marks a member as suspect or dead and queues the update.
    pub(super) fn mark_failed(&mut self, id: u64, state: MemberState, now_ms: u64) {
        let Some(member) = self.member(id) else { return };
        let mut update = Member { state, ..member.clone() }.to_update();
        update.incarnation = member.incarnation;
        self.apply_update(&update, now_ms);
    }

    /// Chooses the peer addresses of random live members.
    pub(super) fn choose_addresses(
        &mut self,
        count: usize,
        except: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let alive = self.alive().map(|member| member.identity.peer_address);
        let others: Vec<SocketAddr> = alive.filter(|address| Some(*address) != except).collect();
        others.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// Builds a packet that carries queued gossip.
    pub(super) fn outgoing(&mut self, to: SocketAddr, sequence: u64, body: Body) -> Outgoing {
        let limit = self.retransmit_limit();
        let mut updates = self.update_about_receiver(to);
        let room = UPDATES_PER_PACKET.saturating_sub(updates.len()).min(self.updates.len());
        for _ in 0..room {
            let Some((id, sent_count)) = self.updates.pop_front() else { break };
            if let Some(member) = self.member(id) {
                updates.push(member.to_update());
            }
            if sent_count + 1 < limit {
                self.updates.push_back((id, sent_count + 1));
            }
        }
        let news = self.news.take(VERSIONS_PER_PACKET, limit).into_iter();
        let news = news.map(|(service, version)| ServiceVersion { service, version }).collect();
        let leaving = self.leaving.take(VERSIONS_PER_PACKET, limit).into_iter();
        let leaving =
            leaving.map(|(address, marked_s)| LeavingBackend { address, marked_s }).collect();
        let from = Some(self.me.to_update());
        let packet = Packet {
            sequence,
            from,
            body: Some(body),
            updates,
            news,
            leaving,
            standing: None,
            emptied: None,
        };
        Outgoing { to, packet }
    }

    /// Returns the update about the receiver itself if it is held for suspect or dead, so that it
    /// can refute that.
    ///
    /// If several processes were at its address one after the other, this is the one accused last.
    /// An update about an earlier one would give the receiver nothing to refute: all members would
    /// go on holding it for dead, and each would send it join replies, some 11 kB each time.
    fn update_about_receiver(&self, to: SocketAddr) -> Vec<MemberUpdate> {
        let accused = self.members.iter().map(|(_, member)| member).filter(|member| {
            member.identity.peer_address == to && member.state > MemberState::Leaving
        });
        let last = accused.max_by_key(|member| member.since_ms);
        last.map(Member::to_update).into_iter().collect()
    }

    /// Returns how often an update is sent: a multiple of the logarithm of the fleet's size.
    fn retransmit_limit(&self) -> u32 {
        let size = u32::try_from(self.members.len()).unwrap_or(u32::MAX).saturating_add(2);
        RETRANSMIT_FACTOR * (u32::BITS - size.leading_zeros())
    }
}
