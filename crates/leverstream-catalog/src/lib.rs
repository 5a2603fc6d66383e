//! The configuration that a gateway serves: hosts, routes and services, and the records of the backend servers.
//!
//! A [`Catalog`] is one immutable version of the operators' configuration. A [`Backend`] is one
//! incarnation of a backend server as the platform lists it. A [`Notice`] holds the load and
//! shutdown signals in the header of a backend server's answer.

mod backend;
mod catalog;
mod notice;
mod route;

pub use backend::{Backend, Incarnation};
pub use catalog::{Catalog, CatalogError, Limits, ServiceSpec};
pub use notice::Notice;
pub use route::{Route, Target, request_host};
