//! Pings: which member is pinged next, and what follows when it does not answer.

use std::net::SocketAddr;

use leverstream_peer::packet::Body;
use leverstream_peer::{Ack, Ping, PingRequest};
use rand::seq::{IndexedRandom, SliceRandom};

use super::{INDIRECT_PINGS, Outgoing, Pending, Swim};
use crate::{Member, MemberState};

/// The size of a data hall up to which each VM sends its full rate of pings to other halls. VMs of
/// larger halls send proportionally fewer, so that the total does not grow with the hall.
const FULL_RATE_HALL_SIZE: usize = 32;

impl Swim {
    /// Pings the next member of the current round. One in `far_ping_interval` pings goes to a
    /// member of another data hall.
    pub(super) fn ping_next(&mut self, now_ms: u64) -> Option<Outgoing> {
        self.pings = self.pings.wrapping_add(1);
        let interval = self.far_ping_interval();
        let is_far_turn = interval > 1 && self.pings.is_multiple_of(interval);
        let id = self.next_of_round(is_far_turn).or_else(|| self.next_of_round(!is_far_turn))?;
        let to = self.member(id)?.identity.peer_address;
        let sequence = self.next_sequence();
        self.pending.insert(sequence, Pending::Own { id, sent_ms: now_ms, is_indirect: false });
        Some(self.outgoing(to, sequence, Body::Ping(Ping {})))
    }

    /// Returns one in how many pings goes to another data hall. Each VM of a large hall sends
    /// fewer, as the VMs of a hall share what they find.
    fn far_ping_interval(&self) -> u32 {
        let hall = &self.me.identity.hall;
        let members = self.members.iter().map(|(_, member)| member);
        let near = members.filter(|member| member.identity.hall == *hall).count();
        let times = (near / FULL_RATE_HALL_SIZE).max(1);
        self.settings.far_one_in.saturating_mul(times as u32)
    }

    /// Takes the next member of a round and begins a new round when it is over.
    fn next_of_round(&mut self, is_far: bool) -> Option<u64> {
        let is_empty = if is_far { self.far_round.is_empty() } else { self.near_round.is_empty() };
        if is_empty {
            let mut round = self.new_round(is_far);
            round.shuffle(&mut self.rng);
            *if is_far { &mut self.far_round } else { &mut self.near_round } = round;
        }
        if is_far { self.far_round.pop() } else { self.near_round.pop() }
    }

    /// Returns the members of a new round.
    fn new_round(&self, is_far: bool) -> Vec<u64> {
        let hall = &self.me.identity.hall;
        let is_in_round = |member: &&Member| {
            let counts_as_far = self.settings.far_one_in > 1 && member.identity.hall != *hall;
            member.state != MemberState::Dead && counts_as_far == is_far
        };
        let known = self.members.iter().map(|(_, member)| member);
        known.filter(is_in_round).map(|member| member.identity.id).collect()
    }

    /// Pings an address without a known live member: a seed address or that of a dead member.
    /// Addresses of dead members in other data halls are tried only when a ping to another hall is
    /// due; a member that answers lists others.
    pub(super) fn ping_unknown_address(&mut self) -> Option<Outgoing> {
        let interval = self.far_ping_interval();
        let hall = &self.me.identity.hall;
        let is_turn = |member: &&Member| {
            member.identity.hall == *hall || interval <= 1 || self.pings.is_multiple_of(interval)
        };
        let known = |address: &SocketAddr| {
            *address == self.me.identity.peer_address
                || self.members.iter().any(|(_, member)| {
                    member.identity.peer_address == *address && member.state != MemberState::Dead
                })
        };
        let members = self.members.iter().map(|(_, member)| member);
        let dead = members.filter(|member| member.state == MemberState::Dead).filter(is_turn);
        let dead = dead.map(|member| &member.identity.peer_address);
        let unknown: Vec<SocketAddr> =
            self.seeds.iter().chain(dead).filter(|address| !known(address)).copied().collect();
        let to = *unknown.choose(&mut self.rng)?;
        Some(self.outgoing(to, 0, Body::Ping(Ping {})))
    }

    /// Handles pings without an answer: asks other members to ping, and suspects the member after a
    /// whole period.
    pub(super) fn check_pending(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let settings = self.settings;
        let mut late = Vec::new();
        let mut timed_out = Vec::new();
        self.pending.retain(|sequence, pending| match pending {
            Pending::Own { id, sent_ms, is_indirect } => {
                let age_ms = now_ms.saturating_sub(*sent_ms);
                if age_ms >= settings.period_ms {
                    timed_out.push(*id);
                    return false;
                }
                if age_ms >= settings.ack_ms && !*is_indirect {
                    *is_indirect = true;
                    late.push((*sequence, *id));
                }
                true
            }
            Pending::Relayed { sent_ms, .. } => {
                now_ms.saturating_sub(*sent_ms) < settings.period_ms
            }
        });
        for id in timed_out {
            self.unanswered_pings += 1;
            if !self.is_isolated() {
                self.mark_failed(id, MemberState::Suspect, now_ms);
            }
        }
        late.into_iter()
            .flat_map(|(sequence, id)| self.request_indirect_pings(sequence, id))
            .collect()
    }

    /// Asks some other members to ping a member.
    fn request_indirect_pings(&mut self, sequence: u64, id: u64) -> Vec<Outgoing> {
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

    /// Pings a member on behalf of another process.
    pub(super) fn relay_ping(
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
        self.pending.insert(own, Pending::Relayed { asker, sequence, sent_ms: now_ms });
        vec![self.outgoing(target, own, Body::Ping(Ping {}))]
    }

    /// Handles an answer, or forwards it to the process that asked for the ping.
    pub(super) fn handle_ack(&mut self, sequence: u64, now_ms: u64) -> Vec<Outgoing> {
        match self.pending.remove(&sequence) {
            Some(Pending::Own { id, .. }) => {
                self.unanswered_pings = 0;
                self.clear_own_suspicion(id, now_ms);
                Vec::new()
            }
            Some(Pending::Relayed { asker, sequence, .. }) => {
                vec![self.outgoing(asker, sequence, Body::Ack(Ack {}))]
            }
            None => Vec::new(),
        }
    }

    /// Marks a suspect that has answered as alive again, until another member reports otherwise.
    fn clear_own_suspicion(&mut self, id: u64, now_ms: u64) {
        let Some(key) = self.by_id.get(&id) else { return };
        let member = &mut self.members[key.0];
        if member.state == MemberState::Suspect {
            member.state = MemberState::Alive;
            member.since_ms = now_ms;
            self.changed.push(member.clone());
        }
    }

    /// Declares suspects dead that did not refute in time, and forgets members that have been dead
    /// for long.
    pub(super) fn expire_members(&mut self, now_ms: u64) {
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
                self.mark_failed(id, MemberState::Dead, now_ms);
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
}
