//! Fleet membership, the assignment of services to VMs, and gossip between VMs.
//!
//! [`Swim`] is a pure state machine of the SWIM protocol with suspicion and incarnations (Das,
//! Gupta and Motivala, 2002): it takes packets and the present time and returns packets to send.
//! [`entry_set()`] chooses the VMs of a service by rendezvous hashing over the live members.

mod entry_set;
mod gossip_queue;
mod member;
mod peers_by_hall;
mod placement;
mod swim;

pub use entry_set::{ReadRank, entry_set, entry_set_size, read_rank, watchers};
pub use gossip_queue::GossipQueue;
pub use member::{Identity, Member, MemberKey, MemberState};
pub use peers_by_hall::PeersByHall;
pub use placement::Placement;
pub use swim::{Outgoing, Swim, SwimSettings};
