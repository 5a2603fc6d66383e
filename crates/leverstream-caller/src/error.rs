//! Errors of calls.

use displaydoc::Display;
use leverstream_error::{Kind, Outcome};

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum CallError {
    /// none of the known addresses could be reached
    Unreachable,
    /// the connect answer could not be read: {0}
    Malformed(String),
    /// leverstream rejected the request: {0}
    Rejected(Kind),
    /// the connection failed after the request may have been sent
    Disconnected,
}

impl std::error::Error for CallError {}

impl CallError {
    /// Returns whether the request ran, as far as this is known.
    pub fn outcome(&self) -> Outcome {
        match self {
            CallError::Unreachable | CallError::Malformed(_) => Outcome::NotRun,
            CallError::Rejected(kind) => kind.answer().outcome,
            CallError::Disconnected => Outcome::Unknown,
        }
    }
}
