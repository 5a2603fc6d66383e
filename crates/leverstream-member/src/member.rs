//! Members of the fleet: their identity, their state, and their form in peer messages.

use std::net::SocketAddr;

use leverstream_peer::{MemberUpdate, State};
use xxhash_rust::xxh3::xxh3_64;

/// The key of a member in a [`Swim`](crate::Swim)'s arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberKey(pub(crate) usize);

/// The properties that a process announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The process id; random and new at each start.
    pub id: u64,
    /// The address on which it listens for other VMs.
    pub peer_address: SocketAddr,
    /// The address on which it listens for callers.
    pub caller_address: SocketAddr,
    /// The data hall of its VM.
    pub hall: String,
    /// Its capacity in requests per second; 0 if unknown.
    pub capacity_per_s: u32,
}

/// The state of a member. Of two updates with the same incarnation the later variant overrides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers pings.
    Alive,
    /// It is shutting down as planned and still serves.
    Leaving,
    /// It did not answer a ping and has not refuted the suspicion yet.
    Suspect,
    /// It has failed or has been replaced.
    Dead,
}

/// A member as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The properties that it announced.
    pub identity: Identity,
    /// Its state as known here.
    pub state: MemberState,
    /// Raised by the member itself to refute a suspicion or to announce that it leaves.
    pub incarnation: u32,
    /// When it entered this state, on the local clock.
    pub since_ms: u64,
    /// The fingerprint of the routing table that it used in its last message; 0 if it has none.
    pub table: u64,
    /// Whether it reaches no backend server of some service, while other VMs do.
    pub has_lost_backends: bool,
    /// The hash of its peer address, from which its rendezvous score for each service is computed.
    pub address_hash: u64,
}

impl Member {
    /// Creates a member that is presumed alive.
    pub fn new(identity: Identity, now_ms: u64) -> Member {
        let address_hash = xxh3_64(identity.peer_address.to_string().as_bytes());
        Member {
            identity,
            state: MemberState::Alive,
            incarnation: 0,
            since_ms: now_ms,
            table: 0,
            has_lost_backends: false,
            address_hash,
        }
    }

    /// Returns whether callers may be sent to it.
    pub fn takes_callers(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Returns whether it is considered for entry sets.
    ///
    /// A suspect stays in its sets, so that a short network failure moves no service.
    pub fn is_placed(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns whether it is considered for the VMs of a service.
    ///
    /// A process that has just started has no routing table yet and can't serve any request.
    pub fn may_serve(&self) -> bool {
        self.is_placed() && self.table != 0
    }

    /// Decodes a member from a peer message.
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
        let MemberUpdate { incarnation, table, backends_lost: has_lost_backends, .. } = *update;
        let member = Member::new(identity, now_ms);
        Some(Member { state, incarnation, table, has_lost_backends, ..member })
    }

    /// Encodes the member for a peer message.
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
            backends_lost: self.has_lost_backends,
        }
    }

    /// Returns whether an update with this incarnation and state overrides the known state.
    pub(crate) fn is_overridden_by(&self, incarnation: u32, state: MemberState) -> bool {
        if self.state == MemberState::Dead && state == MemberState::Dead {
            return false;
        }
        (incarnation, state) > (self.incarnation, self.state)
    }
}
