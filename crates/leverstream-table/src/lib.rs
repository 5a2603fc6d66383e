//! The operators' table of services and backend servers, and the edits that change it.
//!
//! A service and each of its backend servers have a row; a [`Cell`] addresses a row or one of its
//! columns. The platform stores one [`ServiceDoc`] per service. All functions here are pure: they
//! take a document and return a new one, or errors that name the place and how to correct it.

mod address;
mod cell;
mod csv_format;
mod doc;
mod edit;
mod error;
mod file;
mod route;
mod row;

pub use address::Address;
pub use cell::Cell;
pub use csv_format::{from_csv, to_csv};
pub use doc::{EditRecord, MAX_DOC_BYTES, MAX_EDIT_RECORDS, ServiceDoc, fingerprint};
pub use edit::{Applied, Change, Edit, apply, diff};
pub use error::{Fault, Faults, TableError};
pub use file::{FileError, TableFile};
pub use route::RouteRule;
pub use row::{BackendRow, ServiceRow, Unkeyed};
