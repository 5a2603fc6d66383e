//! The order in which VMs claim an idle backend server for the floor.
//!
//! All VMs see at the same time that a backend server is idle. If each sent it a request at once, a trial at one that
//! still fails would cost as many requests as there are VMs. So each VM waits for a time that depends on the VM and the
//! backend server, within which the reports of those that come first arrive. No VM has to know the others.

use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_catalog::Incarnation;

/// The order in which VMs claim one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClaimOrder {
    /// The hash of the incarnation.
    hash: u64,
}

impl ClaimOrder {
    /// Returns the order for an incarnation, the same at all VMs.
    pub fn of(incarnation: &Incarnation) -> ClaimOrder {
        let mut hasher = DefaultHasher::new();
        incarnation.hash(&mut hasher);
        ClaimOrder { hash: hasher.finish() }
    }

    /// Returns the place of a VM in the order, from 0 (first) to 1.
    pub fn place(self, vm: u64) -> f64 {
        // The constant is the 64-bit golden ratio, which spreads VM ids that differ in few bits.
        let mixed = (self.hash ^ vm).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 32) as f64 / f64::from(u32::MAX)
    }
}
