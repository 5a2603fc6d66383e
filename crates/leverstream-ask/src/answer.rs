//! The connect answer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The connect answer: which addresses serve a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectAnswer {
    /// The name of the service.
    pub service: String,
    /// The addresses, nearest first.
    pub addresses: Vec<ConnectAddress>,
    /// How long the caller may cache the answer.
    pub holds_ms: u64,
    /// Whether leverstream serves the service; otherwise the addresses are the `script_addresses` of its row.
    pub taken_over: bool,
}

/// An address to connect to, with a ticket for its VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectAddress {
    /// The address.
    pub address: SocketAddr,
    /// The data hall of the VM.
    #[serde(default)]
    pub hall: String,
    /// The ticket for requests that must run at most once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// How long the ticket is valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket_holds_ms: Option<u64>,
}
