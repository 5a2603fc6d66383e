use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One incarnation of a backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The id, which a backend server may keep across restarts.
    pub instance: String,
    /// The start time by the backend server's own clock, in milliseconds since the Unix epoch.
    ///
    /// It is 0 if the backend server does not report it; each start then has a new id.
    #[serde(default)]
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The address that it listens on. Another backend server may get the address after this one has ended.
    pub address: SocketAddr,
    /// The data hall that it runs in.
    pub hall: String,
    /// How many requests it processes concurrently.
    pub slots: u32,
    /// Whether it has announced that it is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// The rest of its warm-up, during which it is slow, at the time the record was written, in milliseconds.
    pub cold_left_ms: u64,
}

/// Identifies one start of one backend server.
///
/// Measurements of one incarnation don't apply to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The id of the backend server.
    pub instance: String,
    /// The start time, as in [`Backend::born_ms`].
    pub born_ms: u64,
}

impl Backend {
    /// Returns the incarnation that this record describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { instance: self.instance.clone(), born_ms: self.born_ms }
    }
}
