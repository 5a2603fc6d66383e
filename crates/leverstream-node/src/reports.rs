use std::collections::BTreeMap;
use std::net::SocketAddr;

use leverstream_error::Kind;
use serde::{Deserialize, Serialize};

/// The answer to an edit that has landed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditReply {
    /// The version that the edit made.
    pub version: u64,
    /// Whether an earlier try of the same edit had landed already.
    pub landed_before: bool,
}

/// An operator's request that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind's name.
    pub error: String,
    /// What became of the request.
    pub outcome: String,
    /// What happened, in a sentence.
    pub detail: String,
}

/// The state of the fleet, as one process sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StatusReport {
    /// The process that reports.
    pub vm: String,
    /// Its number.
    pub id: String,
    /// The members that are not dead.
    pub members: Vec<MemberReport>,
    /// The versions of the services, and how many VMs have them.
    pub services: BTreeMap<String, InForce>,
    /// Milliseconds since the store or another VM was heard.
    pub news_age_ms: u64,
    /// Whether the process hears no other.
    pub is_isolated: bool,
    /// Whether it is stopping as planned.
    pub is_stopping: bool,
}

/// How far a version is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The highest version that any VM holds.
    pub version: u64,
    /// How many VMs hold it.
    pub vms_with_it: usize,
    /// How many VMs answered.
    pub vms_asked: usize,
    /// Whether leverstream serves the service.
    pub taken_over: bool,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Its process.
    pub id: String,
    /// Its hall.
    pub hall: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Its state.
    pub state: String,
}

/// The health of a service's backend servers at one VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The service.
    pub service: String,
    /// The share of the weight that is in service.
    pub capacity: f64,
    /// The share that ejection must leave.
    pub floor: f64,
    /// Requests that wait here for a slot.
    pub queued: usize,
    /// The backend servers.
    pub backends: Vec<BackendReport>,
}

/// A backend server's health, with the reasons for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Its name.
    pub backend: String,
    /// Where it stands.
    pub standing: String,
    /// Why it was ejected, if it is.
    pub reason: String,
    /// When it may be tried, in milliseconds from now, if it is ejected.
    pub trial_in_ms: Option<u64>,
    /// The score of this VM's own work and checks.
    pub own_score: f64,
    /// The score on which several VMs agree.
    pub agreed_score: Option<f64>,
    /// The score from which it is ejected.
    pub eject_score: u16,
    /// From which time work counts as slow.
    pub slow_ms: f64,
    /// Good answers since the start.
    pub good: u64,
    /// Units of bad evidence since the start.
    pub bad: u64,
    /// This VM's requests under way there.
    pub in_flight: u32,
    /// Other VMs' requests under way there, as last told.
    pub others_in_flight: u32,
    /// Whether it says that it drains.
    pub is_draining: bool,
    /// Whether its row says that it leaves.
    pub is_leaving: bool,
}

impl Failure {
    /// Describes a failure.
    pub fn new(kind: Kind, detail: &str) -> Failure {
        Failure {
            error: kind.to_string(),
            outcome: kind.answer().outcome.to_string(),
            detail: detail.to_owned(),
        }
    }

    /// The kind.
    pub fn kind(&self) -> Kind {
        Kind::from_name(&self.error).unwrap_or(Kind::BadRequest)
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.error, self.detail)
    }
}
