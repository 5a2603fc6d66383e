//! Benchmarks: simulations of gray failures and gateway decisions with the production code, load tests of running
//! processes, and capacity measurements.

pub mod capacity;
pub mod decide;
pub mod gray;
pub mod load;
mod model;
pub mod wide;
