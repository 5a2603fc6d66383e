use displaydoc::Display;
use leverstream_error::{Kind, Outcome};

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum CallError {
    /// none of the known addresses could be reached
    Unreachable,
    /// the answer to where to connect could not be read: {0}
    Malformed(String),
    /// leverstream refused: {0}
    Refused(Kind),
    /// the connection failed after the request was sent
    Broken,
}

impl std::error::Error for CallError {}

impl CallError {
    /// What became of the request.
    pub fn outcome(&self) -> Outcome {
        match self {
            CallError::Unreachable | CallError::Malformed(_) => Outcome::NotRun,
            CallError::Refused(kind) => kind.answer().outcome,
            CallError::Broken => Outcome::Unknown,
        }
    }
}
