//! A gateway VM: it routes callers' requests to backend servers by host and path, and answers readiness checks and the
//! question where to connect.
//!
//! [`Gateway::open`] binds the listeners and runs on one thread. A request passes through `serve`, `authorize`,
//! `forward`, `slot` and `attempt`.
//!
//! The configuration and the backend servers come from the platform's store (`follow`, `emptied`) or from VMs that have
//! read it (`state_sync`); `reader` reads it, and `freshness` reports how old that knowledge is. VMs find each other by datagrams (`mesh`) and exchange over them:
//!
//! - observations of backend servers (`evidence`) and the notices that these send (`notices`),
//! - the number of admitted requests of each workspace (`admission`),
//! - loans of retry budget (`repeats`),
//! - requests during which backend servers ended (`suspects`), which the store keeps across restarts (`refused_store`),
//! - the demand for full services by rank (`pressure`),
//! - permits that enforce the rate limits of backend servers (`limits`),
//! - whether they reach backend servers that one of them does not (`links`).
//!
//! A VM that has lost its own links to backend servers passes requests on to one that reaches them (`relay`).
//!
//! `memory` bounds the bodies and answers that the VM holds, and `connection_pool` the accepted connections and what they hold beside
//! that; connections (`caller_stream`) are not read while a request of them is served, or while memory is short.

mod admission;
mod attempt;
mod authorize;
mod caller_stream;
mod connect;
mod connection_pool;
mod connections;
mod coverage;
mod directory;
mod emptied;
mod ends;
mod entry_set;
mod evidence;
mod follow;
mod forward;
mod freshness;
mod gateway;
mod idle;
mod inbound;
mod leases;
mod limits;
mod links;
mod listeners;
mod memory;
mod mesh;
mod meters;
mod notices;
mod overload;
mod pressure;
mod reader;
mod refused_store;
mod relay;
mod repeats;
mod reply;
mod request_log;
mod sends;
mod serve;
mod settings;
mod slot;
mod starts;
mod state_sync;
mod stop;
mod suspects;
mod verdict;
mod waiting;

pub use gateway::{Gateway, GatewayError};
pub use relay::{RelayedRequestFacts, relayed_answer};
pub use settings::{Settings, SettingsError};
pub use waiting::{WaitQueue, Waiter, Wake};
