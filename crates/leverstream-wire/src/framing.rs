//! Parses the head of an answer and finds the end of its body.

use crate::WireError;

/// The most header fields that a head may have.
const MAX_FIELDS: usize = 100;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has a known length in bytes.
    Length(usize),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// The parsed head of an answer.
pub(crate) struct ParsedHead {
    /// The length of the head in bytes.
    pub length: usize,
    /// The status code.
    pub status: u16,
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, Vec<u8>)>,
}

/// Parses a head; none if it has not arrived completely.
pub(crate) fn parse_head(bytes: &[u8]) -> Result<Option<ParsedHead>, WireError> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut storage);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(WireError::Malformed),
    };
    let fields = head.headers.iter();
    Ok(Some(ParsedHead {
        length,
        status: head.code.ok_or(WireError::Malformed)?,
        fields: fields
            .map(|field| (field.name.to_ascii_lowercase(), field.value.to_vec()))
            .collect(),
    }))
}

/// Determines how the body after a head ends (RFC 9112, section 6.3).
pub(crate) fn framing(head: &ParsedHead, is_head_request: bool) -> Result<Framing, WireError> {
    if is_head_request || matches!(head.status, 204 | 304) {
        return Ok(Framing::Empty);
    }
    let values = |name: &'static str| {
        head.fields.iter().filter(move |(field, _)| field == name).map(|(_, value)| value)
    };
    let mut lengths = values("content-length");
    let length = lengths.next();
    let mut encodings = values("transfer-encoding");
    match (length, encodings.next()) {
        (Some(_), Some(_)) => Err(WireError::Malformed),
        _ if lengths.next().is_some() || encodings.next().is_some() => Err(WireError::Malformed),
        (None, None) => Ok(Framing::UntilClose),
        (None, Some(encoding)) if encoding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        (None, Some(_)) => Err(WireError::Malformed),
        (Some(length), None) => {
            let text = std::str::from_utf8(length).map_err(|_| WireError::Malformed)?;
            Ok(Framing::Length(text.trim().parse().map_err(|_| WireError::Malformed)?))
        }
    }
}
