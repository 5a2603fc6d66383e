//! Detects requests under which backend servers end and refuses them, on whichever VM they arrive.
//!
//! An end is recorded when an incarnation of a backend server ends while it runs a request,
//! whatever the cause. [`Suspects`] counts the ends of each request and merges what other VMs
//! report. [`AbandonedRequests`] attributes ends to requests whose answers are no longer awaited.
//! [`RequestHasher`] computes the digests that identify requests and incarnations. This crate reads
//! no clock and does no I/O: the present time is an argument.

mod abandoned_requests;
mod digest;
mod suspects;

pub use abandoned_requests::AbandonedRequests;
pub use digest::{IncarnationDigest, RequestDigest, RequestHasher, RequestIdentity};
pub use suspects::{ENDS_TO_REFUSE, MAX_SUSPECTS, RETENTION_MS, SuspectReport, Suspects, Verdict};
