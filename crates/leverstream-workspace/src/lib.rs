//! Workspaces: their API keys, how long knowledge of keys stays valid, and how many requests each
//! may send.
//!
//! This crate does no I/O. For every request a gateway checks, between routing and queueing: which
//! workspace owns the key ([`Workspaces`]), whether the known keys are recent enough ([`Lease`]),
//! and whether the workspace's allotment has room ([`Allotments`]).

mod allotment;
mod credentials;
mod digest;
mod lease;
mod peer_visibility;
mod token_bucket;
mod workspaces;

pub use allotment::{Allotments, Denied, EntryMembership, Granted, STARTUP_WINDOW_MS, UsageReport};
pub use credentials::{Credentials, CredentialsError};
pub use digest::{KeyDigest, KeyHasher};
pub use lease::Lease;
pub use peer_visibility::PeerVisibility;
pub use workspaces::{
    Allotment, Workspace, WorkspaceError, WorkspaceId, WorkspaceIndex, Workspaces,
};
