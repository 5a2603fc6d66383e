//! How well gateway VMs decide, in an event-driven model without sockets.
//!
//! The model drives the very types that serve: each VM has a [`Fleet`](leverstream_core::Fleet) of its own,
//! asks [`choose`](leverstream_core::choose) and [`hedge_gain`](leverstream_core::hedge_gain), and hears the
//! others with a delay. Backend servers have slots and a queue and fail as a [`Fault`] says.

mod fault;
mod figures;
mod report;
mod run;
mod shape;
mod state;

pub use fault::{FAULTS, Fault};
pub use figures::Figures;
pub use report::table;
pub use run::run;
pub use shape::{SHAPES, Shape};

/// How a VM chooses a backend server in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// As gateway VMs do.
    Shipped,
    /// In turn.
    RoundRobin,
    /// The one with the fewest requests of this VM under way.
    LeastInFlight,
    /// The less loaded of two taken by chance.
    TwoChoices,
    /// The least loaded of those that have not failed three times in a row within ten seconds.
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
    /// The name in tables.
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
