use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key, such as `table/shop`.
    pub key: String,
    /// The platform's own version, raised by each update of any object.
    pub version: u64,
    /// The content; the table's documents are JSON texts.
    pub value: String,
}

/// The answer to a list or a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The platform's version at the time of the answer.
    pub version: u64,
    /// The objects, or for a watch those changed since the version asked for.
    pub objects: Vec<Object>,
}

/// A conditional update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The version that the object must have; 0 when it must not exist.
    pub expected: u64,
    /// The new content.
    pub value: String,
}

/// The answer to a conditional update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// The object's version: the new one, or on a conflict the one it has.
    pub version: u64,
}

/// A VM in the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Where its peers' listener is, if it is one of leverstream's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// The backend servers that run on it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub backends: Vec<SocketAddr>,
    /// Whether it is meant to stay.
    pub state: VmState,
}

/// Whether a VM is meant to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be replaced.
    Leaving,
}
