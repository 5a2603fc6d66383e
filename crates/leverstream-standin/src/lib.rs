//! Small stand-ins for what leverstream meets: the platform, backend servers, a faulty network.
//!
//! They serve tests, the demonstration and measurements, and never ship with the daemons.

pub mod backend;
pub mod origin;
pub mod platform;
pub mod relay;
pub mod script;
