//! Measurements: gray failures and gateway decisions against the real decision code, load on real processes, slopes.

pub mod capacity;
pub mod decide;
pub mod gray;
pub mod load;
pub mod wide;
