//! The memory that the body of an answer may use.

use crate::WireError;

/// Grants memory for the body of an answer before it is read.
pub trait MemoryGrant {
    /// Waits until so many more bytes may be read; fails if they never may.
    fn take(&self, bytes: usize) -> impl Future<Output = Result<(), WireError>>;
}

/// Grants any number of bytes.
pub(crate) struct UnlimitedGrant;

impl MemoryGrant for UnlimitedGrant {
    fn take(&self, _bytes: usize) -> impl Future<Output = Result<(), WireError>> {
        std::future::ready(Ok(()))
    }
}
