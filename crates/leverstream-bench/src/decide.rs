//! Simulates how well gateway VMs choose backend servers, as discrete events without sockets.
//!
//! The model drives the production types: each VM has its own [`Fleet`](leverstream_core::Fleet), calls
//! [`choose`](leverstream_core::choose) and [`hedge_gain`](leverstream_core::hedge_gain), and receives the
//! reports of the other VMs with a delay. Backend servers have slots and a queue and fail according to a
//! [`Fault`].

mod fault;
mod figures;
mod report;
mod run;
mod service;
mod state;

pub use fault::{FAULTS, Fault};
pub use figures::Figures;
pub use report::table;
pub use run::run;
pub use service::{SERVICES, Service};

/// The algorithm by which a VM chooses a backend server in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The algorithm of gateway VMs.
    Shipped,
    /// Round robin.
    RoundRobin,
    /// The backend server with the fewest in-flight requests of this VM.
    LeastInFlight,
    /// The less loaded of two randomly chosen backend servers.
    TwoChoices,
    /// The least loaded of the backend servers that aren't ejected for ten seconds after three failures in a row.
    FailuresInARow,
}

/// All policies, the shipped one first.
pub const POLICIES: [Policy; 5] = [
    Policy::Shipped,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
    Policy::FailuresInARow,
];

impl Policy {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Shipped => "shipped",
            Policy::RoundRobin => "round robin",
            Policy::LeastInFlight => "least in flight",
            Policy::TwoChoices => "two choices",
            Policy::FailuresInARow => "failures in a row",
        }
    }
}
