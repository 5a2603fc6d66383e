//! One process of the fleet: its settings, its control thread, its listeners.
//!
//! [`Node::open`] binds the listeners and starts the control thread's actor; traffic threads serve
//! callers from the snapshots that it publishes.

mod book;
mod control;
mod edit;
mod messages;
mod node;
mod operators;
mod peers;
mod probe;
mod questions;
mod reports;
mod service;
mod settings;
mod store;
mod survey;

pub use book::Book;
pub use node::{Node, NodeError};
pub use reports::{
    BackendReport, EditReply, Failure, HealthReport, InForce, MemberReport, StatusReport,
};
pub use settings::{Settings, SettingsError, SettingsFault};
