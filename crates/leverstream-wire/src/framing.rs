//! Determines how the body of an answer ends.

use crate::head::{AnswerHead, HttpVersion};
use crate::{WireError, grammar};

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has a known length in bytes.
    Length(usize),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Determines how the body after a head ends (RFC 9112, section 6.3).
    ///
    /// The framing fields are also validated if there is no body: malformed ones indicate a corrupted head.
    pub(crate) fn of_answer(
        head: &AnswerHead,
        is_head_request: bool,
    ) -> Result<Framing, WireError> {
        let framing = Framing::of_fields(head)?;
        let announces_body = !matches!(framing, Framing::UntilClose | Framing::Length(0));
        if head.status.forbids_body() && announces_body {
            return Err(WireError::Malformed);
        }
        let is_without_body = is_head_request || head.status.is_without_body();
        Ok(if is_without_body { Framing::Empty } else { framing })
    }

    /// Determines the framing from the header fields alone.
    fn of_fields(head: &AnswerHead) -> Result<Framing, WireError> {
        let mut lengths = head.values("content-length");
        let mut encodings = head.values("transfer-encoding");
        let (length, encoding) = (lengths.next(), encodings.next());
        if lengths.next().is_some() || encodings.next().is_some() {
            return Err(WireError::Malformed);
        }
        match (length, encoding) {
            (None, None) => Ok(Framing::UntilClose),
            (Some(length), None) => body_length(length).map(Framing::Length),
            (None, Some(encoding)) if is_chunked(head.version, encoding) => Ok(Framing::Chunked),
            (_, Some(_)) => Err(WireError::Malformed),
        }
    }
}

/// Parses the length of a body.
fn body_length(value: &[u8]) -> Result<usize, WireError> {
    let length = grammar::parse_digits(value).ok_or(WireError::Malformed)?;
    usize::try_from(length).map_err(|_| WireError::Malformed)
}

/// Returns whether a transfer coding is that of chunks, which HTTP/1.0 does not have.
fn is_chunked(version: HttpVersion, encoding: &[u8]) -> bool {
    version == HttpVersion::Http11 && encoding.eq_ignore_ascii_case(b"chunked")
}
