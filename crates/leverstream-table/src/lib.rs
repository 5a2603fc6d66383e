//! The operators' table: its rows, columns and cells, and the edits that change it.
//!
//! The platform holds one [`ServiceDoc`] a service. All functions here are pure: they take a
//! document and return another or say, with the place and a hint, why not.

mod address;
mod cell;
mod doc;
mod edit;
mod error;
mod file;
mod route;
mod row;
mod sheet;

pub use address::Address;
pub use cell::Cell;
pub use doc::{EditRecord, MAX_DOC_BYTES, MAX_EDIT_RECORDS, ServiceDoc, fingerprint};
pub use edit::{Applied, Change, Edit, apply, diff};
pub use error::{Fault, Faults, TableError};
pub use file::{FileError, TableFile};
pub use route::RouteRule;
pub use row::{BackendRow, ServiceRow, Unkeyed};
pub use sheet::{from_csv, to_csv};
