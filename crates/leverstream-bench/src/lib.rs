//! Measurements: gray failures against the real decision code, load on real processes, slopes.

pub mod capacity;
pub mod gray;
pub mod load;
