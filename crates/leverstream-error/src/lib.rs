//! The closed list of error kinds and the one table from a kind to its answer.
//!
//! Every refusal or failure that leverstream itself answers with is one [`Kind`]. Its [`Answer`]
//! gives the HTTP status, what became of the request ([`Outcome`]) and what the caller may do.

mod kind;
mod outcome;

pub use kind::{Answer, Kind};
pub use outcome::{Next, Outcome};

/// The header that carries the [`Outcome`] of a request on each of leverstream's own answers.
pub const OUTCOME_HEADER: &str = "leverstream-outcome";

/// The header that carries the name of the error [`Kind`].
pub const KIND_HEADER: &str = "leverstream-error";

/// The header that says, in milliseconds, when to come back.
pub const RETRY_AFTER_HEADER: &str = "leverstream-retry-after-ms";
