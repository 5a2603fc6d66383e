//! Gray failures: the real health and picking code, fed by fakes, over a matrix of faults.
//!
//! Time is an argument and chance is seeded, so that a run gives the same figures each time. This is
//! no model of a cluster: a few VMs of one service, its backend servers as queues, and a fault.

mod cell;
mod deployment;
mod driver;
mod figures;
mod parts;
mod report;

pub use cell::{Effect, FAULTS, Fault};
pub use deployment::{DEPLOYMENTS, Deployment};
pub use driver::{Policy, run};
pub use figures::Figures;
pub use report::{Summary, matrix, plot, tables};

/// The chosen policy, a part of it alone, and the baselines it is measured against.
pub const POLICIES: [Policy; 7] = [
    Policy { name: "leverstream", rule: "evidence", picker: "least-load" },
    Policy { name: "shift only", rule: "shift-only", picker: "least-load" },
    Policy { name: "failures in a row", rule: "failures-in-a-row", picker: "least-load" },
    Policy { name: "probes in a row", rule: "probes-in-a-row", picker: "least-load" },
    Policy { name: "round robin", rule: "never", picker: "round-robin" },
    Policy { name: "least in flight", rule: "never", picker: "least-in-flight" },
    Policy { name: "two choices", rule: "never", picker: "two-choices" },
];
