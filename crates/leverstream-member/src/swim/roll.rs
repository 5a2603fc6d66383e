//! Comparison of members: a process says whom it holds, another tells it of those it lacks.

use std::collections::HashSet;
use std::net::SocketAddr;

use leverstream_peer::packet::Body;
use leverstream_peer::{MemberUpdate, Roll};
use rand::Rng;
use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Outgoing, Swim, WELCOME_PACKETS};
use crate::{Member, MemberState};

/// How many members one datagram says that its sender holds: so many hashes of two bytes fit it. In a larger fleet each
/// comparison is of a part.
const MEMBERS_A_ROLL: usize = 500;

/// How long after its start a process first compares whom it holds, in milliseconds: those that started with it know some.
const FIRST_MS: u64 = 1_000;

/// For how long after its start it compares often, in milliseconds: where a whole fleet starts, the first that it asks may know
/// as little as itself.
const YOUNG_MS: u64 = 6_000;

/// How long it waits to compare again then, and while it learns of others.
const SOON_MS: u64 = 600;

/// How long it waits else.
const LATER_MS: u64 = 3_000;

/// One comparison in so many is with a member of another data hall, as bytes between halls are paid for: a hall whose VMs
/// agree may yet lack one that started elsewhere.
const FAR_ONE_IN: u32 = 8;

/// When a process compares whom it holds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rolls {
    /// When it does so next; before the first time never yet.
    next_ms: Option<u64>,
    /// How many members it held then.
    held: usize,
    /// How often it has.
    count: u32,
}

impl Swim {
    /// Says whom this process holds to a member, if that is due.
    pub(super) fn call_roll(&mut self, now_ms: u64) -> Option<Outgoing> {
        let next_ms = *self.rolls.next_ms.get_or_insert(self.opened_ms + FIRST_MS);
        if now_ms < next_ms {
            return None;
        }
        let held = self.members.len();
        let is_young = now_ms < self.opened_ms + YOUNG_MS;
        let wait_ms = if is_young || held > self.rolls.held { SOON_MS } else { LATER_MS };
        let count = self.rolls.count.wrapping_add(1);
        self.rolls = Rolls { next_ms: Some(now_ms + wait_ms), held, count };
        let to = self.compared_with(count)?;
        let parts = (held / MEMBERS_A_ROLL + 1) as u32;
        // Not always the same part with those of other halls.
        let part = (count + count / FAR_ONE_IN) % parts;
        let seed = self.rng.random();
        let of_part = self.remembered().map(|member| member.identity.id);
        let of_part = of_part.filter(|id| is_in_part(*id, part, parts));
        let hashes = of_part.flat_map(|id| hash(id, seed).to_le_bytes()).collect();
        let body = Body::Roll(Roll { part, parts, seed, hashes });
        Some(Outgoing { to, packet: self.bare(body) })
    }

    /// The member that this process compares with next: of its own hall if there are any, and sometimes of another.
    fn compared_with(&mut self, count: u32) -> Option<SocketAddr> {
        let alive = self.members.iter().map(|(_, member)| member);
        let alive = alive.filter(|member| member.state == MemberState::Alive);
        let hall = &self.me.identity.hall;
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            alive.partition(|member| member.identity.hall == *hall);
        let is_far_turn = count.is_multiple_of(FAR_ONE_IN);
        let among = if is_far_turn && !far.is_empty() { &far } else { &near };
        among.choose(&mut self.rng).map(|member| member.identity.peer_address)
    }

    /// Tells a process of members that it does not hold.
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
        self.list(to, missing, WELCOME_PACKETS)
    }
}

/// Tells whether a member is in a part.
fn is_in_part(id: u64, part: u32, parts: u32) -> bool {
    id % u64::from(parts) == u64::from(part)
}

/// What stands for a member in one comparison.
fn hash(id: u64, seed: u64) -> u16 {
    xxh3_64_with_seed(&id.to_le_bytes(), seed) as u16
}
