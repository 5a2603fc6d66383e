//! Chooses the backend server and the time of each request: pickers, the queue and the retry
//! budgets.
//!
//! Pickers register themselves by name; [`picker`] finds them. The crate does no I/O: loads,
//! deadlines and the present time are arguments.

mod budget;
mod cost;
mod fleet_budget;
mod loan_requests;
mod pick;
mod pickers;
mod queue;
mod slack;

pub use budget::RetryBudget;
pub use cost::{Choice, Claim, FloorState, choose_by_cost};
pub use fleet_budget::{FleetBudget, Headroom, LOAN_TTL_MS, MAX_WINDOW_MS, RetryAllowance};
pub use loan_requests::LoanRequests;
pub use pick::{Candidate, PickContext, Picker, Request, choose, picker, pickers};
pub use queue::{Arrival, Queue, QueuePosition};
pub use slack::SlackShare;
