//! The messages between leverstream's own processes and how datagrams are sealed.
//!
//! The code in `generated` is written from `proto/peer.proto` by `tools/peer-codegen` and
//! committed, so that a build needs no generator.

mod key;

/// The generated messages, client and server.
#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications)]
mod generated {
    include!("generated/leverstream.peer.rs");
}

pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
pub use generated::{
    Ack, Allotments, BackendDigest, BackendLimit, BackendStart, Buckets, Confirmation, Digest,
    Emptied, Evidence, FetchReply, FetchRequest, LeaseAnswer, LeaseQuestion, LeavingBackend,
    LinkAnswer, LinkQuestion, Loan, LoanQuestion, MemberUpdate, MembersReply, MembersRequest,
    Packet, PermitAnswer, PermitQuestion, PermitVerdict, Ping, PingRequest, Pressure, RankRate,
    RelayedRequest, Roll, ServiceDigest, ServiceObject, ServicePressure, ServiceVersion, Standing,
    State, StemReply, StemRequest, SuspectRequest, Suspects, Versions, Words, WorkspaceTally,
    packet,
};
pub use key::{FleetKey, PACKET_LIMIT_BYTES, PacketError};

/// The metadata entry by which peers show that they hold the fleet's key.
pub const TOKEN_METADATA: &str = "leverstream-fleet";
