//! A client of the platform's object API: versions, conditional updates, watches, the list of VMs.
//!
//! The protocol is written down in `docs/platform-api.md`. Each call has a deadline and is counted,
//! and a token bucket keeps one VM from taking more than its share of the platform's rates.

mod api;
mod client;
mod error;

pub use api::{Listing, Object, Put, PutReply, Vm, VmState};
pub use client::{Call, Calls, Platform};
pub use error::PlatformError;
