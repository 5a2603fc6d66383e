//! The closed list of error kinds and the table that maps each kind to its answer.
//!
//! Every error that leverstream itself returns to a caller is one [`Kind`]. Its [`Answer`] gives the
//! HTTP status, whether the request ran ([`Outcome`]) and what the caller may do ([`Next`]).

mod kind;
mod outcome;

pub use kind::{Answer, Kind};
pub use outcome::{Next, Outcome};

/// The header that carries the [`Outcome`] of a request on each of leverstream's own answers.
pub const OUTCOME_HEADER: &str = "leverstream-outcome";

/// The header that carries the name of the error [`Kind`].
pub const KIND_HEADER: &str = "leverstream-error";

/// The header that gives the delay before a retry, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "leverstream-retry-after-ms";
