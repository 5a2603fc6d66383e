use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One start of a backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The name of this start; a restarted backend server gets a new one.
    pub instance: String,
    /// The service that it works for.
    pub service: String,
    /// Where it listens. The address may pass to another backend server once this one has ended.
    pub address: SocketAddr,
    /// The data hall it stands in.
    pub hall: String,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it has said that it is about to end and takes no new requests.
    pub is_leaving: bool,
    /// How much longer it works slowly after its start, when the record was written.
    pub cold_left_ms: u64,
}
