use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One start of a backend server, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its id; a backend server that starts again may keep it.
    pub instance: String,
    /// When it started, in milliseconds since 1970 by its own clock; 0 if it does not say, and then each start has an
    /// id of its own.
    #[serde(default)]
    pub born_ms: u64,
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

/// Which start of which backend server: what is known of one start says nothing of the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The backend server's id.
    pub instance: String,
    /// When it started, as in [`Backend::born_ms`].
    pub born_ms: u64,
}

impl Backend {
    /// Which start of it this is.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { instance: self.instance.clone(), born_ms: self.born_ms }
    }
}
