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
    /// the system could not be reached: {0}
    Unreachable(String),
    /// the edit was sent but not answered; make it again with `--id {0}` to learn what became of it
    Unanswered(String),
    /// the answer could not be read: {0}
    Malformed(String),
    /// {0}
    Table(TableError),
    /// {0}
    File(FileError),
    /// `{0}`: {1}
    Read(String, std::io::Error),
    /// `{0}` is not a cell, `=` and a value
    Cell(String),
    /// {0} has version {1} by now, the file {2}; look at `table diff`, then use `--force`
    Moved(String, u64, u64),
}

impl std::error::Error for CtlError {}

impl CtlError {
    /// The exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::Failed(failure) if failure.kind() == Kind::EditConflict => 3,
            CtlError::Failed(failure) if failure.kind().answer().outcome == Outcome::Unknown => 4,
            CtlError::Call(error) if error.outcome() == Outcome::Unknown => 4,
            CtlError::Unanswered(_) => 4,
            CtlError::Unreachable(_) | CtlError::Call(CallError::Unreachable) => 5,
            CtlError::Moved(..) => 3,
            CtlError::Cell(_) | CtlError::File(_) | CtlError::Read(..) | CtlError::Table(_) => 2,
            CtlError::Failed(_) | CtlError::Call(_) | CtlError::Malformed(_) => 1,
        }
    }
}
