use displaydoc::Display;

/// Why a call to the platform gave no result.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum PlatformError {
    /// the platform could not be reached
    Away,
    /// the call budget of this VM is used up
    OverBudget,
    /// the platform did not answer in time, so a change may have taken effect
    Unanswered,
    /// the object has version {0} by now
    Conflict(u64),
    /// the platform answered with status {0}
    Status(u16),
    /// the platform's answer could not be read: {0}
    Malformed(String),
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    /// Tells whether a change asked for may have taken effect all the same.
    pub fn may_have_landed(&self) -> bool {
        match self {
            PlatformError::Unanswered | PlatformError::Malformed(_) => true,
            PlatformError::Status(status) => *status >= 500,
            PlatformError::Away | PlatformError::OverBudget | PlatformError::Conflict(_) => false,
        }
    }
}
