//! Whose request it is: workspaces and their keys, how long knowledge of them may be trusted, and how much each may
//! send.
//!
//! Nothing here does I/O. A gateway asks three questions once a request, between its route and the queue: whose key
//! is it ([`Workspaces`]), may that still be believed ([`Lease`]), and is there room ([`Allotments`])?

mod allotment;
mod credentials;
mod digest;
mod hearing;
mod lease;
mod level;
mod workspaces;

pub use allotment::{Allotments, Between, Denied, FIRST_MS, Spent, Told};
pub use credentials::{Credentials, Refused};
pub use digest::{KeyDigest, KeyHasher};
pub use hearing::Hearing;
pub use lease::Lease;
pub use workspaces::{Allotment, Workspace, WorkspaceError, WorkspaceId, WorkspaceKey, Workspaces};
