//! Decodes the heads of answers as they arrive.

use bytes::BytesMut;

use crate::framing::Framing;
use crate::status::Status;
use crate::{WireError, grammar};

/// The maximum size of the head of an answer.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;

/// The most header fields that a head may have.
const MAX_FIELDS: usize = 100;

/// The parsed head of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The version of HTTP.
    pub version: HttpVersion,
    /// The status.
    pub status: Status,
    /// The header fields in the order received, with names in lower case.
    pub fields: Vec<(String, Vec<u8>)>,
}

/// A version of HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.0, which has no chunks.
    Http10,
    /// HTTP/1.1.
    Http11,
}

/// Decodes one head. Each byte is scanned once, and parsed no more than a few times.
#[derive(Debug, Default)]
pub struct HeadDecoder {
    /// The number of bytes in the buffer that were scanned without finding the end of the head.
    scanned_bytes: usize,
    /// The number of buffered bytes from which an incomplete head is parsed, to detect malformed bytes early.
    parse_from_bytes: usize,
}

impl HeadDecoder {
    /// Decodes the head at the start of the buffer and removes it; returns `None` if it is incomplete.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<AnswerHead>, WireError> {
        let is_complete = self.scan_for_end(buffer);
        if is_complete || buffer.len() > self.parse_from_bytes {
            if let Some((head, length)) = parse(buffer)? {
                let _ = buffer.split_to(length);
                *self = HeadDecoder::default();
                return Ok(Some(head));
            }
            // Doubling bounds how often a byte is parsed.
            self.parse_from_bytes = buffer.len() * 2;
        }
        if is_complete || buffer.len() > MAX_HEAD_BYTES {
            return Err(WireError::Malformed);
        }
        Ok(None)
    }

    /// Returns whether the buffer contains the empty line that terminates a head.
    fn scan_for_end(&mut self, buffer: &[u8]) -> bool {
        // The CRLF before the empty line may have been scanned already.
        let from = self.scanned_bytes.saturating_sub(2);
        self.scanned_bytes = buffer.len();
        let mut rest = &buffer[from..];
        while let Some(index) = rest.iter().position(|byte| *byte == b'\n') {
            rest = &rest[index + 1..];
            if rest.starts_with(b"\n") || rest.starts_with(b"\r\n") {
                return true;
            }
        }
        false
    }
}

impl AnswerHead {
    /// Determines how the body after the head ends (RFC 9112, section 6.3).
    pub fn framing(&self, is_head_request: bool) -> Result<Framing, WireError> {
        Framing::of_answer(self, is_head_request)
    }

    /// Returns whether the sender keeps the connection open after this answer.
    pub fn keeps_connection(&self) -> bool {
        let has_option = |option: &str| self.connection_options().any(|text| text == option);
        match self.version {
            HttpVersion::Http10 => has_option("keep-alive") && !has_option("close"),
            HttpVersion::Http11 => !has_option("close"),
        }
    }

    /// The values of a header field.
    pub(crate) fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matching = self.fields.iter().filter(move |(field, _)| field == name);
        matching.map(|(_, value)| value.as_slice())
    }

    /// The options that concern the connection, in lower case.
    fn connection_options(&self) -> impl Iterator<Item = String> {
        let options = self.values("connection").flat_map(|value| value.split(|byte| *byte == b','));
        options.map(|option| String::from_utf8_lossy(option.trim_ascii()).to_ascii_lowercase())
    }
}

/// Parses the head at the start of the bytes and returns it with its length; returns `None` if it is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<(AnswerHead, usize)>, WireError> {
    // `httparse` skips empty lines before the status line.
    if bytes.first().is_some_and(|byte| *byte != b'H') {
        return Err(WireError::Malformed);
    }
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut storage);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(WireError::Malformed),
    };
    if !grammar::has_only_crlf(&bytes[..length]) {
        return Err(WireError::Malformed);
    }
    let version = match head.version {
        Some(0) => HttpVersion::Http10,
        Some(1) => HttpVersion::Http11,
        _ => return Err(WireError::Malformed),
    };
    let status = Status::from_code(head.code.ok_or(WireError::Malformed)?)?;
    let fields = head.headers.iter();
    let fields =
        fields.map(|field| (field.name.to_ascii_lowercase(), field.value.to_vec())).collect();
    Ok(Some((AnswerHead { version, status, fields }, length)))
}
