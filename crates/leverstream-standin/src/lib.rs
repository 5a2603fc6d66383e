//! Small stand-ins for the components around leverstream: the platform, backend servers and a faulty network.
//!
//! They are used by tests, the demonstration and measurements, and are not part of a release.

pub mod backend;
pub mod malformed;
pub mod origin;
pub mod path;
pub mod platform;
pub mod relay;
pub mod replies;
pub mod script;
