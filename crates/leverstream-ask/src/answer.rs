use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The answer to where to connect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectAnswer {
    /// The service.
    pub service: String,
    /// The addresses, nearest first.
    pub addresses: Vec<ConnectAddress>,
    /// How long the answer may be kept.
    pub holds_ms: u64,
    /// Whether leverstream serves the service; else the addresses are the scripts'.
    pub taken_over: bool,
}

/// An address to connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectAddress {
    /// The address.
    pub address: SocketAddr,
    /// The hall it is in.
    #[serde(default)]
    pub hall: String,
    /// The ticket for requests that must run at most once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// How long the ticket holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket_holds_ms: Option<u64>,
}
