//! A gateway VM: callers' requests by host and path, where to connect, readiness.
//!
//! [`Gateway::open`] binds the listeners and runs on one thread. Configuration and backend servers
//! come from the platform's store (`follow`) or from VMs that watch it (`news`); VMs find each other
//! by datagrams (`mesh`) and share what they see of backend servers (`evidence`). A request goes
//! through `serve`, `slot` and `attempt`.

mod attempt;
mod directory;
mod doors;
mod duty;
mod evidence;
mod follow;
mod gateway;
mod idle;
mod inbound;
mod mesh;
mod meters;
mod news;
mod passing;
mod reply;
mod serve;
mod settings;
mod sharing;
mod slot;
mod waiting;

pub use gateway::{Gateway, GatewayError};
pub use settings::{Settings, SettingsError};
pub use waiting::Waiting;
