use std::net::SocketAddr;

use leverstream_peer::{MemberUpdate, State};
use xxhash_rust::xxh3::xxh3_64;

/// The key of a member in a [`Swim`](crate::Swim)'s arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub(crate) usize);

/// What a process tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The process; random, new at each start.
    pub id: u64,
    /// Where its peers' listener is.
    pub peer_address: SocketAddr,
    /// Where its callers' listener is.
    pub caller_address: SocketAddr,
    /// The hall it stands in.
    pub hall: String,
    /// How many requests a second it can take; 0 if it does not say.
    pub capacity_per_s: u32,
}

/// What is held of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It is stopping as planned; it still serves.
    Leaving,
    /// It did not answer and has not yet refuted that.
    Suspect,
    /// It is gone.
    Dead,
}

/// A member as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it told of itself.
    pub identity: Identity,
    /// Its state.
    pub state: MemberState,
    /// Raised by the member itself to refute a suspicion or to say that it leaves.
    pub incarnation: u32,
    /// Since when it has been in this state, on the local clock.
    pub since_ms: u64,
    /// The fingerprint of the table that it had in force when last heard from.
    pub table: u64,
    /// The hash of its peer address, from which its score for each service is made.
    pub address_hash: u64,
}

impl Member {
    /// A member that is alive as far as known.
    pub fn new(identity: Identity, now_ms: u64) -> Member {
        let address_hash = xxh3_64(identity.peer_address.to_string().as_bytes());
        Member {
            identity,
            state: MemberState::Alive,
            incarnation: 0,
            since_ms: now_ms,
            table: 0,
            address_hash,
        }
    }

    /// Tells whether callers may be sent to it.
    pub fn takes_callers(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Tells whether it counts when entry sets are chosen.
    ///
    /// A suspect keeps its place, so that a short cut moves nothing.
    pub fn is_placed(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Tells whether it counts when the VMs of a service are chosen.
    ///
    /// A process that has just started has no table yet and could not serve anyone.
    pub fn may_serve(&self) -> bool {
        self.is_placed() && self.table != 0
    }

    /// Reads a member out of a message.
    pub(crate) fn from_update(update: &MemberUpdate, now_ms: u64) -> Option<Member> {
        let identity = Identity {
            id: update.id,
            peer_address: update.peer_address.parse().ok()?,
            caller_address: update.caller_address.parse().ok()?,
            hall: update.hall.clone(),
            capacity_per_s: update.capacity_per_s,
        };
        let state = match update.state() {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Leaving => MemberState::Leaving,
            State::Dead => MemberState::Dead,
        };
        let (incarnation, table) = (update.incarnation, update.table);
        Some(Member { state, incarnation, table, ..Member::new(identity, now_ms) })
    }

    /// Writes the member into a message.
    pub fn to_update(&self) -> MemberUpdate {
        let state = match self.state {
            MemberState::Alive => State::Alive,
            MemberState::Suspect => State::Suspect,
            MemberState::Leaving => State::Leaving,
            MemberState::Dead => State::Dead,
        };
        MemberUpdate {
            id: self.identity.id,
            state: state.into(),
            incarnation: self.incarnation,
            peer_address: self.identity.peer_address.to_string(),
            caller_address: self.identity.caller_address.to_string(),
            hall: self.identity.hall.clone(),
            table: self.table,
            capacity_per_s: self.identity.capacity_per_s,
        }
    }

    /// Tells whether news about the member overrides what is held.
    pub(crate) fn is_overridden_by(&self, incarnation: u32, state: MemberState) -> bool {
        if self.state == MemberState::Dead && state == MemberState::Dead {
            return false;
        }
        (incarnation, state) > (self.incarnation, self.state)
    }
}
