//! What a gateway serves: hosts and their routes, services, and the backend servers behind them.
//!
//! A [`Catalog`] is one version of the operators' configuration, read-only once it is built. A
//! [`Backend`] is one backend server as the platform lists it.

mod backend;
mod catalog;
mod notice;
mod route;

pub use backend::{Backend, Incarnation};
pub use catalog::{Catalog, CatalogError, Limits, ServiceSpec};
pub use notice::Notice;
pub use route::{Route, Target, request_host};
