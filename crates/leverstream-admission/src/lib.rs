//! Decides which requests are admitted, which wait and which are refused while there is too little
//! room for all of them. The crate does no I/O.
//!
//! Requests have a [`Rank`]: 0 is the most urgent. [`RankDemand`] knows how many requests of each
//! rank arrive at all VMs, from this VM's arrivals and the reports of others. The module
//! [`memory`] decides whose bodies and answers a VM may go on reading.
//!
//! A request that finds no slot of its service free waits in a [`WaitQueue`], if it can be served in
//! time ([`Prospect`], [`WaitBounds`]) and its rank is admitted ([`Pressure`], [`Level`]).

mod demand;
mod level;
pub mod memory;
mod occupancy;
mod places;
mod queue;
mod verdict;
mod wait;

pub use demand::{Rank, RankDemand, RankRate};
pub use level::{Level, Pressure, PressureReport};
pub use occupancy::{Occupancy, is_full, is_overloaded, least_loaded};
pub use queue::{Enqueued, QueueRank, Turn, WaitQueue};
pub use verdict::{RefusedBy, Verdict};
pub use wait::{GrantRate, Prospect, WaitBounds, retry_after_ms};
