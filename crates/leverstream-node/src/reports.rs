//! The JSON documents that operators receive.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use leverstream_error::Kind;
use serde::{Deserialize, Serialize};

/// The answer to an accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditReply {
    /// The service's version after the edit.
    pub version: u64,
    /// Whether an earlier attempt of the same edit had already landed.
    pub landed_before: bool,
}

/// The answer to an operator's request that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// The name of the error's kind.
    pub error: String,
    /// Whether the request took effect.
    pub outcome: String,
    /// A description of the error.
    pub detail: String,
}

/// The state of the fleet, as one process sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StatusReport {
    /// The VM name of the reporting process.
    pub vm: String,
    /// The id of the reporting process, in hexadecimal.
    pub id: String,
    /// The members that are not dead.
    pub members: Vec<MemberReport>,
    /// The version of each service and how many VMs have it.
    pub services: BTreeMap<String, VersionReport>,
    /// Milliseconds since the last contact with the store or another VM.
    pub news_age_ms: u64,
    /// Whether the process receives nothing from any other member.
    pub is_isolated: bool,
    /// Whether a planned stop of the process is in progress.
    pub is_stopping: bool,
}

/// How far a service's latest version has spread over the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// The highest version that any VM has.
    pub version: u64,
    /// How many VMs have it.
    pub vms_with_it: usize,
    /// How many VMs answered, this one included.
    pub vms_asked: usize,
    /// Whether leverstream has taken over the service.
    pub taken_over: bool,
}

/// A fleet member as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The id of its process, in hexadecimal.
    pub id: String,
    /// The data hall that it runs in.
    pub hall: String,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other VMs.
    pub peer_address: SocketAddr,
    /// The membership state: alive, leaving, suspect or dead.
    pub state: String,
}

/// The health of a service's backend servers at one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The name of the service.
    pub service: String,
    /// The share of the total weight that is in service.
    pub capacity: f64,
    /// The share of the weight that ejections must leave in service.
    pub floor: f64,
    /// The requests queued at this VM for a slot.
    pub queued: usize,
    /// The backend servers.
    pub backends: Vec<BackendReport>,
}

/// A backend server's health and the figures that determine it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// The name of the backend server.
    pub backend: String,
    /// The standing, such as in service or ejected.
    pub standing: String,
    /// Why it was ejected; empty if it is not.
    pub reason: String,
    /// Milliseconds until its next trial, if it is ejected.
    pub trial_in_ms: Option<u64>,
    /// The score from this VM's own requests and health checks.
    pub own_score: f64,
    /// The score on which several VMs agree, if they do.
    pub agreed_score: Option<f64>,
    /// The score at which it is ejected.
    pub eject_score: u16,
    /// The response time from which a request counts as slow.
    pub slow_ms: f64,
    /// Good answers since the start of the process.
    pub good: u64,
    /// Units of bad evidence since the start of the process.
    pub bad: u64,
    /// This VM's requests in flight at the backend server.
    pub in_flight: u32,
    /// Other VMs' requests in flight at the backend server, as last reported.
    pub others_in_flight: u32,
    /// Whether the backend server announced that it is draining.
    pub is_draining: bool,
    /// Whether the backend server's row marks it as leaving.
    pub is_leaving: bool,
}

impl ErrorReply {
    /// Creates the answer for an error of a kind.
    pub fn new(kind: Kind, detail: &str) -> ErrorReply {
        ErrorReply {
            error: kind.to_string(),
            outcome: kind.answer().outcome.to_string(),
            detail: detail.to_owned(),
        }
    }

    /// Returns the kind; an unknown name counts as a bad request.
    pub fn kind(&self) -> Kind {
        Kind::from_name(&self.error).unwrap_or(Kind::BadRequest)
    }
}

impl std::fmt::Display for ErrorReply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.error, self.detail)
    }
}
