//! Decides which requests are admitted, which wait and which are refused while there is too little
//! room for all of them. The crate does no I/O.
//!
//! Requests have a [`Rank`]: 0 is the most urgent. [`RankDemand`] knows how many requests of each
//! rank arrive at all VMs, from this VM's arrivals and the reports of others. The module
//! [`memory`] decides whose bodies and answers a VM may go on reading.

mod demand;
pub mod memory;

pub use demand::{Rank, RankDemand, RankRate};
