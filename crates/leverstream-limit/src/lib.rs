//! Enforces the request limit that a backend server announces across all VMs. The crate does no
//! I/O.
//!
//! A VM needs a permit for each request to a limited backend server. A permit takes the consent of
//! two of the server's three arbiters, or of one arbiter and a stand-in while two arbiters don't
//! respond. All VMs that know the same members choose the same arbiters. The limit holds while VMs
//! start, stop, freeze or are partitioned, and while messages are late, duplicated or reordered,
//! for these reasons:
//!
//! * A VM sends nothing without consent, so its limit without messages from other VMs is zero.
//! * An arbiter is a token bucket: it grants at most [`ARBITER_BURST`] consents at once and then
//!   slightly fewer than the limit, so no window depends on more than `limit * window +
//!   ARBITER_BURST` of its consents. A stand-in grants at most [`STAND_IN_PER_S`] consents per
//!   second. A process starts with an empty bucket, so it adds nothing to what the previous process
//!   granted.
//! * Each request uses two consents. In whatever order they are asked, the three arbiters and the
//!   stand-in permit at most half the sum of their consents: in four seconds, one and a half times
//!   the limit and four and a half requests. Five are acceptable. In the usual order every request
//!   needs the first arbiter, which bounds this to the limit and two requests.
//! * A VM that doesn't see a majority of the VMs grants nothing, so of two partitions of a fleet at
//!   most one continues. VMs that have gone count as long as they are remembered as members.
//!
//! Requests that are in flight when a limit is announced have arrived by the time that it counts.
//! While members join and leave, some VMs may use other arbiters than the rest. Two disjoint pairs
//! of arbiters require two membership changes at once, and last only until all VMs know the
//! members.

mod arbiter;
mod round;

pub use arbiter::{ARBITER_BURST, Arbiter, Role, STAND_IN_BURST, STAND_IN_PER_S, Verdict};
pub use round::{ARBITERS, PermitRequest, STAND_INS, Step, UnresponsiveArbiters, consents_needed};
