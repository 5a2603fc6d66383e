//! A process of the fleet: settings, control thread and listeners.
//!
//! [`Node::start`] binds the listeners and starts the actor of the control thread. Traffic threads
//! serve callers from the snapshots that the actor publishes.

mod build_reports;
mod callers;
mod control;
mod control_handle;
mod edit;
mod messages;
mod node;
mod operators;
mod peers;
mod probe;
mod reports;
mod service;
mod settings;
mod store;
mod table_replica;

pub use node::{Node, NodeError};
pub use reports::{
    BackendReport, EditReply, ErrorReply, HealthReport, MemberReport, StatusReport, VersionReport,
};
pub use settings::{Settings, SettingsError, SettingsFault};
pub use table_replica::TableReplica;
