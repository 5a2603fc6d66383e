use std::net::SocketAddr;

use actix::Message;
use leverstream_health::{BackendKey, Probe};
use leverstream_peer::{Digest, MemberUpdate, Packet, ServiceObject, ServiceVersion};
use leverstream_proxy::ServiceKey;
use leverstream_table::{Edit, ServiceDoc};

use crate::reports::{EditReply, Failure, HealthReport, StatusReport};

/// A datagram from another VM.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Datagram {
    /// Who sent it.
    pub from: SocketAddr,
    /// What it said.
    pub packet: Packet,
}

/// Documents to take in.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Adopt {
    /// The documents.
    pub docs: Vec<ServiceDoc>,
}

/// The platform's answer to a list or watch.
#[derive(Message)]
#[rtype(result = "Vec<Repair>")]
pub struct Stored {
    /// The documents with the platform's version of each.
    pub docs: Vec<(ServiceDoc, u64)>,
    /// Whether these are all there are.
    pub is_complete: bool,
}

/// A document that the platform holds in an older version than the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Repair {
    /// The document to write.
    pub doc: ServiceDoc,
    /// The platform's version of the object to replace.
    pub expected: u64,
}

/// Asks what this process should read of the platform now.
#[derive(Message)]
#[rtype(result = "Duty")]
pub struct GetDuty;

/// What a process should read of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Whether it watches the table for its hall.
    pub is_watcher: bool,
    /// Whether it knows no other VM, so that it must look for some.
    pub is_alone: bool,
}

/// The platform's list of VMs.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Hints {
    /// The peers' listeners of the fleet's VMs.
    pub addresses: Vec<SocketAddr>,
    /// The backend servers on VMs that leave.
    pub leaving: Vec<SocketAddr>,
}

/// Evidence from another VM; answered with this VM's.
#[derive(Message)]
#[rtype(result = "Digest")]
pub struct Exchange {
    /// The evidence.
    pub digest: Digest,
    /// Whether it is the answer to this VM's own, so that none is wanted.
    pub is_answer: bool,
}

/// Asks for the versions that differ from the given buckets.
#[derive(Message)]
#[rtype(result = "Vec<ServiceVersion>")]
pub struct Compare {
    /// The other's sums.
    pub buckets: Vec<u64>,
}

/// Asks for documents.
#[derive(Message)]
#[rtype(result = "Vec<ServiceObject>")]
pub struct Fetch {
    /// The services.
    pub services: Vec<String>,
}

/// Versions that another VM is said to hold.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Offered {
    /// Who holds them.
    pub from: SocketAddr,
    /// The versions.
    pub versions: Vec<ServiceVersion>,
}

/// Asks for all members.
#[derive(Message)]
#[rtype(result = "Vec<MemberUpdate>")]
pub struct ListMembers;

/// Members that another VM knows.
#[derive(Message)]
#[rtype(result = "()")]
pub struct MergeMembers {
    /// The members.
    pub members: Vec<MemberUpdate>,
}

/// The end of a health check.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Probed {
    /// The service.
    pub service: ServiceKey,
    /// The backend server.
    pub backend: BackendKey,
    /// How it ended.
    pub probe: Probe,
    /// Whether the answer said that the backend server drains.
    pub is_draining: bool,
}

/// An operator's edit.
#[derive(Message)]
#[rtype(result = "Result<EditReply, Failure>")]
pub struct MakeEdit(pub Edit);

/// Asks for the documents, or one of them.
#[derive(Message)]
#[rtype(result = "Vec<std::sync::Arc<ServiceDoc>>")]
pub struct ListDocs {
    /// The service, or none for all.
    pub service: Option<String>,
}

/// Asks to serve a service although this VM is not of its set.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ServeService {
    /// The service.
    pub service: String,
}

/// Asks for the state of the fleet.
#[derive(Message)]
#[rtype(result = "StatusReport")]
pub struct GetStatus;

/// Asks for the health of a service's backend servers.
#[derive(Message)]
#[rtype(result = "Option<HealthReport>")]
pub struct GetHealth {
    /// The service.
    pub service: String,
}

/// Begins a planned stop.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

/// Asks whether a planned stop may end: nothing is under way and no answer names this VM.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct MayStop;
