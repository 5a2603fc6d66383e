//! Anti-entropy of the member list: a process sends a roll, which is a digest of the members that
//! it knows, and the receiver answers with the live members missing from it.

use std::collections::HashSet;
use std::net::SocketAddr;

use leverstream_peer::packet::Body;
use leverstream_peer::{MemberUpdate, Roll};
use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{JOIN_REPLY_PACKETS, Outgoing, Swim};
use crate::{Member, MemberState};

/// The number of members that one roll covers: their two-byte hashes fit one datagram. In a larger
/// fleet each roll covers a part of the members.
const MEMBERS_PER_ROLL: usize = 500;

/// How long after its start a process sends its first roll, in milliseconds. By then it knows some
/// of the processes that started with it.
const FIRST_ROLL_MS: u64 = 1_000;

/// How long after its start a process sends rolls often, in milliseconds: where a whole fleet
/// starts, the first receivers may know as little as the sender.
const STARTUP_MS: u64 = 6_000;

/// The interval between rolls after the start and while the process learns of new members, in
/// milliseconds.
const SHORT_INTERVAL_MS: u64 = 600;

/// The interval between rolls otherwise, in milliseconds.
const LONG_INTERVAL_MS: u64 = 3_000;

/// One in this many rolls goes to another data hall. Traffic between halls costs money, but a hall
/// whose VMs agree may still lack a member that started elsewhere.
const FAR_ROLL_ONE_IN: u32 = 8;

/// When a process sends rolls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RollSchedule {
    /// When the next roll is due; `None` before the first call.
    next_ms: Option<u64>,
    /// How many members were known at the last roll.
    known_members: usize,
    /// The number of rolls sent.
    sent_count: u32,
}

impl Swim {
    /// Sends a roll to a member if one is due.
    pub(super) fn send_due_roll(&mut self, now_ms: u64) -> Option<Outgoing> {
        let next_ms = *self.roll_schedule.next_ms.get_or_insert(self.started_ms + FIRST_ROLL_MS);
        if now_ms < next_ms {
            return None;
        }
        let known_members = self.members.len();
        let is_starting = now_ms < self.started_ms + STARTUP_MS;
        let wait_ms = if is_starting || known_members > self.roll_schedule.known_members {
            SHORT_INTERVAL_MS
        } else {
            LONG_INTERVAL_MS
        };
        let sent_count = self.roll_schedule.sent_count.wrapping_add(1);
        self.roll_schedule =
            RollSchedule { next_ms: Some(now_ms + wait_ms), known_members, sent_count };
        let to = self.choose_roll_receiver(sent_count)?;
        let parts = (known_members / MEMBERS_PER_ROLL + 1) as u32;
        // Without the second term, rolls to other halls would always send the same part if the
        // number of parts divides `FAR_ROLL_ONE_IN`.
        let part = (sent_count + sent_count / FAR_ROLL_ONE_IN) % parts;
        let seed = self.rng.random();
        let of_part = self.remembered().map(|member| member.identity.id);
        let of_part = of_part.filter(|id| is_in_part(*id, part, parts));
        let hashes = of_part.flat_map(|id| hash(id, seed).to_le_bytes()).collect();
        let body = Body::Roll(Roll { part, parts, seed, hashes });
        Some(Outgoing { to, packet: self.packet_without_gossip(body) })
    }

    /// Chooses the receiver of a roll: a random live member of the own hall, or now and then of
    /// another.
    fn choose_roll_receiver(&mut self, sent_count: u32) -> Option<SocketAddr> {
        let alive = self.members.iter().map(|(_, member)| member);
        let alive = alive.filter(|member| member.state == MemberState::Alive);
        let hall = &self.me.identity.hall;
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            alive.partition(|member| member.identity.hall == *hall);
        let is_far_turn = sent_count.is_multiple_of(FAR_ROLL_ONE_IN);
        let among = if is_far_turn && !far.is_empty() { &far } else { &near };
        among.choose(&mut self.rng).map(|member| member.identity.peer_address)
    }

    /// Answers a roll with the live members missing from it.
    pub(super) fn answer_roll(&mut self, to: SocketAddr, roll: &Roll) -> Vec<Outgoing> {
        if roll.parts == 0 {
            return Vec::new();
        }
        let held: HashSet<u16> = roll
            .hashes
            .chunks_exact(2)
            .map(|pair| u16::from_le_bytes([pair[0], pair[1]]))
            .collect();
        let is_missing = |member: &&Member| {
            let id = member.identity.id;
            is_in_part(id, roll.part, roll.parts) && !held.contains(&hash(id, roll.seed))
        };
        let missing: Vec<MemberUpdate> =
            self.alive().filter(is_missing).map(Member::to_update).collect();
        self.member_packets(to, missing, JOIN_REPLY_PACKETS)
    }
}

/// Returns whether a member belongs to a part.
fn is_in_part(id: u64, part: u32, parts: u32) -> bool {
    id % u64::from(parts) == u64::from(part)
}

/// Returns the hash of a member in one roll.
fn hash(id: u64, seed: u64) -> u16 {
    xxh3_64_with_seed(&id.to_le_bytes(), seed) as u16
}
