//! Errors of commands and their exit codes.

use displaydoc::Display;
use leverstream_caller::CallError;
use leverstream_error::{Kind, Outcome};
use leverstream_node::ErrorReply;
use leverstream_table::{FileError, TableError};

/// Why a command failed.
#[derive(Debug, Display)]
pub enum CtlError {
    /// {0}
    Failed(ErrorReply),
    /// {0}
    Call(CallError),
    /// the VM could not be reached: {0}
    Unreachable(String),
    /// the edit was sent but not answered; repeat it with `--id {0}` to find out whether it was applied
    Unanswered(String),
    /// the answer could not be read: {0}
    Malformed(String),
    /// {0}
    Table(TableError),
    /// {0}
    File(FileError),
    /// `{0}`: {1}
    ReadFile(String, std::io::Error),
    /// `{0}` is not of the form CELL=VALUE
    CellSyntax(String),
    /// {0} has version {1}, but the file has version {2}; check `table diff`, then use `--force`
    VersionConflict(String, u64, u64),
}

impl std::error::Error for CtlError {}

impl CtlError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Failed(failure) if failure.kind() == Kind::EditConflict => 3,
            CtlError::Failed(failure) if failure.kind().answer().outcome == Outcome::Unknown => 4,
            CtlError::Call(error) if error.outcome() == Outcome::Unknown => 4,
            CtlError::Unanswered(_) => 4,
            CtlError::Unreachable(_) | CtlError::Call(CallError::Unreachable) => 5,
            CtlError::VersionConflict(..) => 3,
            CtlError::CellSyntax(_)
            | CtlError::File(_)
            | CtlError::ReadFile(..)
            | CtlError::Table(_) => 2,
            CtlError::Failed(_) | CtlError::Call(_) | CtlError::Malformed(_) => 1,
        }
    }
}
