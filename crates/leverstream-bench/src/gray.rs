//! Simulates gray failures: runs the production health and picking code against a matrix of faults.
//!
//! Time is an argument and the random number generator is seeded, so a run always gives the same figures.
//! The simulation covers a few VMs of one service, its backend servers as queues, and one fault, not a
//! whole cluster.

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

/// The policy of leverstream, its load shifting without ejection, and the baselines.
pub const POLICIES: [Policy; 7] = [
    Policy { name: "leverstream", rule: "evidence", picker: "least-load" },
    Policy { name: "shift only", rule: "shift-only", picker: "least-load" },
    Policy { name: "failures in a row", rule: "failures-in-a-row", picker: "least-load" },
    Policy { name: "probes in a row", rule: "probes-in-a-row", picker: "least-load" },
    Policy { name: "round robin", rule: "never", picker: "round-robin" },
    Policy { name: "least in flight", rule: "never", picker: "least-in-flight" },
    Policy { name: "two choices", rule: "never", picker: "two-choices" },
];
