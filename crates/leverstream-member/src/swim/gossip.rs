//! What members tell each other of members, and what is believed of it.

use std::net::SocketAddr;

use leverstream_peer::packet::Body;
use leverstream_peer::{Ack, LeavingBackend, MemberUpdate, Packet, ServiceVersion};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{
    ANNOUNCE_TO, NEWS_A_PACKET, NEWS_FANOUT, Outgoing, RETELL_FACTOR, Swim, UPDATES_A_PACKET,
    UPDATES_A_WELCOME,
};
use crate::{Audience, Member, MemberKey, MemberState};

impl Swim {
    /// Tells a process that looks for members who is there.
    ///
    /// Whoever has just started knows nobody, and gossip would take seconds to bring it all the others.
    pub(super) fn welcome(&mut self, to: SocketAddr, id: u64, packets: usize) -> Vec<Outgoing> {
        let others = self.alive().filter(|member| member.identity.id != id);
        let updates = others.map(Member::to_update).collect();
        self.list(to, updates, packets)
    }

    /// Tells of members in so many packets at the most.
    pub(super) fn list(
        &mut self,
        to: SocketAddr,
        mut updates: Vec<MemberUpdate>,
        packets: usize,
    ) -> Vec<Outgoing> {
        // Others tell of others.
        updates.shuffle(&mut self.rng);
        let parts = updates.chunks(UPDATES_A_WELCOME).take(packets);
        let packets =
            parts.map(|part| Packet { updates: part.to_vec(), ..self.bare(Body::Ack(Ack {})) });
        packets.map(|packet| Outgoing { to, packet }).collect()
    }

    /// A packet that tells nothing besides what it is for.
    pub(super) fn bare(&self, body: Body) -> Packet {
        Packet { from: Some(self.me.to_update()), body: Some(body), ..Packet::default() }
    }

    /// Sends what there is to tell to some members at once.
    pub(super) fn tell_some(&mut self) -> Vec<Outgoing> {
        let targets = self.choose_addresses(NEWS_FANOUT, None);
        self.tell(targets)
    }

    /// Tells members that this process has started: all of a small fleet, else many of its own data hall and one of each
    /// other, as bytes between halls are paid for and they tell their own.
    pub(super) fn tell_start(&mut self) -> Vec<Outgoing> {
        let audience = Audience::of(&self.me.identity, self.alive());
        let mut targets = audience.some(ANNOUNCE_TO, &mut self.rng);
        // Each is told a few of the others, in turn; halls must not all get the same ones.
        targets.shuffle(&mut self.rng);
        self.tell(targets)
    }

    /// Sends what there is to tell to some addresses at once.
    fn tell(&mut self, targets: Vec<SocketAddr>) -> Vec<Outgoing> {
        targets.into_iter().map(|to| self.outgoing(to, 0, Body::Ack(Ack {}))).collect()
    }

    /// Takes in an update about a member, or refutes one about this process.
    pub(super) fn learn(&mut self, update: &MemberUpdate, now_ms: u64) {
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
            self.accuse(id, MemberState::Dead, now_ms);
        }
    }

    /// Holds a member for suspect or dead and tells the others.
    pub(super) fn accuse(&mut self, id: u64, state: MemberState, now_ms: u64) {
        let Some(member) = self.member(id) else { return };
        let mut update = Member { state, ..member.clone() }.to_update();
        update.incarnation = member.incarnation;
        self.learn(&update, now_ms);
    }

    /// Chooses random live members' addresses.
    pub(super) fn choose_addresses(
        &mut self,
        count: usize,
        except: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let alive = self.alive().map(|member| member.identity.peer_address);
        let others: Vec<SocketAddr> = alive.filter(|address| Some(*address) != except).collect();
        others.choose_multiple(&mut self.rng, count).copied().collect()
    }

    /// Builds a packet with what there is to tell.
    pub(super) fn outgoing(&mut self, to: SocketAddr, sequence: u64, body: Body) -> Outgoing {
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

    /// Tells a receiver what is held of it, when that is for it to refute.
    ///
    /// Of several processes that were at its address one after the other, the last that was accused: told of one before
    /// it, it would have nothing to refute, be held for dead by all and be greeted by all, some 11 kB each time.
    fn update_about_receiver(&self, to: SocketAddr) -> Vec<MemberUpdate> {
        let accused = self.members.iter().map(|(_, member)| member).filter(|member| {
            member.identity.peer_address == to && member.state > MemberState::Leaving
        });
        let last = accused.max_by_key(|member| member.since_ms);
        last.map(Member::to_update).into_iter().collect()
    }

    /// How often an update is told: a multiple of the logarithm of the fleet's size.
    fn retell_limit(&self) -> u32 {
        let size = u32::try_from(self.members.len()).unwrap_or(u32::MAX).saturating_add(2);
        RETELL_FACTOR * (u32::BITS - size.leading_zeros())
    }
}
