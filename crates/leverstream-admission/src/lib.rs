//! Decides which requests are admitted, which wait and which are refused while there is too little
//! room for all of them. The crate does no I/O.
//!
//! Requests have a [`Rank`]: 0 is the most urgent. [`RankDemand`] knows how many requests of each
//! rank arrive at all VMs, from this VM's arrivals and the reports of others.
//!
//! * While the allotment of a workspace is short, [`AllotmentRanks`] decides what is kept for more
//!   urgent requests, which requests wait for a token, and when the callers of the others may retry.
//! * A request that finds no slot of its service free waits in a [`WaitQueue`], if it can be served
//!   in time ([`Prospect`], [`WaitBounds`]) and its rank is admitted ([`Pressure`], [`Level`]).
//! * The module [`memory`] decides whose bodies and answers a VM may go on reading.
//! * The module [`connections`] decides which accepted connections give way to others.

pub mod connections;
mod demand;
mod late_reports;
mod level;
mod loop_stalls;
pub mod memory;
mod occupancy;
mod places;
mod queue;
mod report_rounds;
mod reserve;
mod token_queue;
mod verdict;
mod wait;

pub use demand::{Rank, RankDemand, RankLoad, RankRate};
pub use late_reports::{LateReports, REPORT_MAX_AGE_MS};
pub use level::{Level, Pressure, PressureReport};
pub use loop_stalls::{LoopStalls, TICK_INTERVAL_MS};
pub use occupancy::{Occupancy, free_slots, is_overloaded, least_loaded};
pub use queue::{Enqueued, QueueRank, Turn, WaitQueue};
pub use report_rounds::{REPORT_INTERVAL_MS, ReportRounds};
pub use reserve::{
    AllotmentRanks, DemandScope, MAX_RETRY_AFTER_MS, MAX_TOKEN_WAIT_MS, MIN_RETRY_AFTER_MS,
    ShortDecision, ShortRequest, TokenShortage,
};
pub use token_queue::{TokenQueue, TokenTurn};
pub use verdict::{RefusedBy, Verdict};
pub use wait::{GrantRate, Prospect, WaitBounds, retry_after_ms};
