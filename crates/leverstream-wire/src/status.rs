//! The status of an answer.

use crate::WireError;

/// The status codes of HTTP (RFC 9110, section 15).
const CODES: std::ops::RangeInclusive<u16> = 100..=599;

/// The status code of an answer, which is in the range of HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status(u16);

impl Status {
    /// The connection speaks another protocol after this answer.
    pub const SWITCHING_PROTOCOLS: Status = Status(101);

    /// Wraps a code; one that is no status is an error.
    pub fn from_code(code: u16) -> Result<Status, WireError> {
        if CODES.contains(&code) { Ok(Status(code)) } else { Err(WireError::Malformed) }
    }

    /// Returns the code.
    pub fn code(self) -> u16 {
        self.0
    }

    /// Returns whether another answer to the same request follows.
    pub fn is_informational(self) -> bool {
        self.0 < 200
    }

    /// Returns whether an answer has neither a body nor fields that tell how one ends (RFC 9112, section 6).
    pub fn forbids_body(self) -> bool {
        self.is_informational() || self.0 == 204
    }

    /// Returns whether an answer has no body.
    pub fn is_without_body(self) -> bool {
        self.forbids_body() || self.0 == 304
    }
}
