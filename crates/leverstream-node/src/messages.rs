//! The messages that the control thread receives.

use std::net::SocketAddr;

use actix::Message;
use leverstream_health::{BackendKey, Probe};
use leverstream_peer::{Digest, MemberUpdate, Packet, ServiceObject, ServiceVersion};
use leverstream_proxy::ServiceKey;
use leverstream_table::{Edit, ServiceDoc};

use crate::reports::{EditReply, ErrorReply, HealthReport, StatusReport};

/// A datagram from another VM.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Datagram {
    /// The sender's address.
    pub from: SocketAddr,
    /// The content.
    pub packet: Packet,
}

/// Merges documents into the table.
#[derive(Message)]
#[rtype(result = "()")]
pub struct MergeDocs {
    /// The documents.
    pub docs: Vec<ServiceDoc>,
}

/// The store's answer to a list or watch call.
#[derive(Message)]
#[rtype(result = "Vec<Repair>")]
pub struct StoreListing {
    /// The documents, each with the store's revision of its object.
    pub docs: Vec<(ServiceDoc, u64)>,
    /// Whether the answer contains all documents of the store.
    pub is_complete: bool,
}

/// A document to write back, as the store has an older version than the fleet or none.
#[derive(Clone, Debug, PartialEq)]
pub struct Repair {
    /// The document to write.
    pub doc: ServiceDoc,
    /// The store's revision of the object to replace; 0 if there is none.
    pub expected_revision: u64,
}

/// Asks which reads of the store this process should do now.
#[derive(Message)]
#[rtype(result = "Duty")]
pub struct GetDuty;

/// Which reads of the store a process should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Whether the process watches the table on behalf of its hall.
    pub is_watcher: bool,
    /// Whether the process knows no other VM and must discover some.
    pub is_only_member: bool,
}

/// The platform's list of VMs.
#[derive(Message)]
#[rtype(result = "()")]
pub struct VmList {
    /// The peer addresses of the fleet's VMs.
    pub peer_addresses: Vec<SocketAddr>,
    /// The backend servers on VMs that are leaving.
    pub leaving_backends: Vec<SocketAddr>,
}

/// Delivers evidence of another VM; answered with the evidence of this VM.
#[derive(Message)]
#[rtype(result = "Digest")]
pub struct Exchange {
    /// The evidence.
    pub digest: Digest,
    /// Whether this is the reply to an exchange that this VM initiated, so no evidence is returned.
    pub is_answer: bool,
}

/// Asks for the versions that differ from the given buckets.
#[derive(Message)]
#[rtype(result = "Vec<ServiceVersion>")]
pub struct Compare {
    /// The hashes of the other VM's buckets.
    pub buckets: Vec<u64>,
}

/// Asks for documents.
#[derive(Message)]
#[rtype(result = "Vec<ServiceObject>")]
pub struct Fetch {
    /// The services.
    pub services: Vec<String>,
}

/// Offers versions for fetching that another VM has.
///
/// An empty list ends a fetch: services that failed may be fetched again.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OfferVersions {
    /// The peer address of the VM that has them.
    pub from: SocketAddr,
    /// The versions.
    pub versions: Vec<ServiceVersion>,
}

/// Asks for all members.
#[derive(Message)]
#[rtype(result = "Vec<MemberUpdate>")]
pub struct ListMembers;

/// Merges the member list of another VM.
#[derive(Message)]
#[rtype(result = "()")]
pub struct MergeMembers {
    /// The members.
    pub members: Vec<MemberUpdate>,
}

/// Reports the result of a health check.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ProbeResult {
    /// The service.
    pub service: ServiceKey,
    /// The backend server.
    pub backend: BackendKey,
    /// The result.
    pub probe: Probe,
    /// Whether the answer announced that the backend server is draining.
    pub is_draining: bool,
}

/// Submits an operator's edit.
#[derive(Message)]
#[rtype(result = "Result<EditReply, ErrorReply>")]
pub struct SubmitEdit(pub Edit);

/// Asks for all documents or for one of them.
#[derive(Message)]
#[rtype(result = "Vec<std::sync::Arc<ServiceDoc>>")]
pub struct ListDocs {
    /// The service; `None` for all services.
    pub service: Option<String>,
}

/// Asks this VM to serve a service although it is not in the service's entry set.
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

/// Begins a planned stop of the process.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginStop;

/// Asks whether a planned stop may end.
///
/// It may once no request is in flight, no ticket result is stored and no unexpired answer names
/// this VM, or when the stop reaches its time limit.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct MayStop;
