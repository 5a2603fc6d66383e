//! A gateway VM: callers' requests by host and path, where to connect, readiness.
//!
//! [`Gateway::open`] binds the listeners and runs on one thread. Configuration and backend servers
//! come from the platform's store (`follow`, `emptied`) or from VMs that watch it (`news`); VMs find each other
//! by datagrams (`mesh`) and share what they see of backend servers (`evidence`) and how many requests of workspaces
//! they let in (`admission`), lend each other what they may repeat (`repeats`), and know requests under which backend
//! servers end (`suspects`), which the store holds for them (`refused_store`). Together they keep to the limits that
//! backend servers name (`limits`). A request goes through `serve`, `authorize`, `slot` and `attempt`.

mod admission;
mod attempt;
mod authorize;
mod directory;
mod duty;
mod emptied;
mod entry_set;
mod evidence;
mod follow;
mod forward;
mod gateway;
mod idle;
mod inbound;
mod leases;
mod limits;
mod listeners;
mod mesh;
mod meters;
mod news;
mod refused_store;
mod repeats;
mod reply;
mod serve;
mod settings;
mod slot;
mod starts;
mod suspects;
mod waiting;
mod words;

pub use gateway::{Gateway, GatewayError};
pub use settings::{Settings, SettingsError};
pub use waiting::{Rank, Turn, WaitQueue};
