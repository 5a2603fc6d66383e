//! Where a request goes and when: pickers, the queue, the budget of retries.
//!
//! Pickers register themselves by name; [`picker`] finds them. All is pure: loads, deadlines and
//! the present time are arguments.

mod budget;
mod pick;
mod pickers;
mod queue;
mod steer;
mod window;

pub use budget::RetryBudget;
pub use pick::{Candidate, Pick, Request, Turn, choose, picker, pickers};
pub use queue::{Arrival, Place, Queue};
pub use steer::{Choice, Claim, FloorStanding, steer};
pub use window::{LONGEST_WINDOW_MS, RetryAllowance, RetryWindow, Tally, Told};
