//! The memory that the body of an answer may use.

use crate::WireError;

/// Grants memory for the body of an answer before it is read.
pub trait Room {
    /// Waits until so many more bytes may be read; fails if they never may.
    fn take(&self, bytes: usize) -> impl Future<Output = Result<(), WireError>>;
}

/// Room without a bound.
pub(crate) struct Unbounded;

impl Room for Unbounded {
    fn take(&self, _bytes: usize) -> impl Future<Output = Result<(), WireError>> {
        std::future::ready(Ok(()))
    }
}
