//! Decodes chunked bodies as they arrive.

use bytes::{Bytes, BytesMut};

use crate::{WireError, grammar};

/// The maximum length of the line before a chunk, its extensions included, and of a trailer.
const MAX_LINE_BYTES: usize = 4 << 10;

/// How many more bytes the lines and trailers of a body may have than the body itself.
const MAX_OVERHEAD_BYTES: usize = 64 << 10;

/// Decodes one body. What it has decoded is taken off the buffer, so that no byte is decoded twice.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    /// What comes next.
    next: Next,
    /// The part of the body that has not been taken.
    body: BytesMut,
    /// The bytes of the body so far.
    body_bytes: usize,
    /// The bytes so far that are no part of the body.
    overhead_bytes: usize,
}

/// The part of a chunked body that comes next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Next {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// So many bytes of a chunk.
    Data(usize),
    /// The line break after a chunk.
    DataEnd,
    /// Trailers, or the empty line that ends the body.
    Trailers,
    /// Nothing: the body is whole.
    End,
}

impl ChunkDecoder {
    /// Decodes what has arrived and takes it off the buffer; returns whether the body is whole.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<bool, WireError> {
        while self.next != Next::End {
            let next = match self.next {
                Next::Data(left_bytes) => self.decode_data(left_bytes, buffer),
                _ => self.decode_line(buffer)?,
            };
            match next {
                Some(next) => self.next = next,
                None => return Ok(false),
            }
        }
        Ok(true)
    }

    /// Returns the number of bytes of the body so far.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Takes what has been decoded of the body since the last call.
    pub fn take_body(&mut self) -> Bytes {
        self.body.split().freeze()
    }

    /// Decodes bytes of a chunk; none if all that has arrived is decoded.
    fn decode_data(&mut self, left_bytes: usize, buffer: &mut BytesMut) -> Option<Next> {
        if buffer.is_empty() {
            return None;
        }
        let part = buffer.split_to(left_bytes.min(buffer.len()));
        self.body.extend_from_slice(&part);
        self.body_bytes += part.len();
        let left_bytes = left_bytes - part.len();
        Some(if left_bytes > 0 { Next::Data(left_bytes) } else { Next::DataEnd })
    }

    /// Decodes a line outside the chunks; none if it has not arrived completely.
    fn decode_line(&mut self, buffer: &mut BytesMut) -> Result<Option<Next>, WireError> {
        if !self.next.may_begin_with(buffer) {
            return Err(WireError::Malformed);
        }
        let Some(line) = take_line(buffer)? else { return Ok(None) };
        self.overhead_bytes += line.len();
        if self.overhead_bytes > self.body_bytes + MAX_OVERHEAD_BYTES {
            return Err(WireError::Malformed);
        }
        let line = line.strip_suffix(b"\r\n").ok_or(WireError::Malformed)?;
        match self.next {
            Next::Size => next_after_size(line).map(Some),
            Next::DataEnd if line.is_empty() => Ok(Some(Next::Size)),
            Next::Trailers if line.is_empty() => Ok(Some(Next::End)),
            Next::Trailers if grammar::is_field_line(line) => Ok(Some(Next::Trailers)),
            Next::DataEnd | Next::Trailers | Next::Data(_) | Next::End => Err(WireError::Malformed),
        }
    }
}

impl Next {
    /// Returns whether a line can start with these bytes, so that most malformed lines are detected before they are complete.
    fn may_begin_with(self, bytes: &[u8]) -> bool {
        match self {
            Next::Size => bytes.first().is_none_or(u8::is_ascii_hexdigit),
            Next::DataEnd => bytes.iter().zip(b"\r\n").all(|(byte, expected)| byte == expected),
            Next::Data(_) | Next::Trailers | Next::End => true,
        }
    }
}

/// Takes a line with its line break off the buffer; none if it has not arrived completely.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, WireError> {
    match buffer.iter().take(MAX_LINE_BYTES).position(|byte| *byte == b'\n') {
        Some(index) => Ok(Some(buffer.split_to(index + 1))),
        None if buffer.len() >= MAX_LINE_BYTES => Err(WireError::Malformed),
        None => Ok(None),
    }
}

/// Returns what follows a chunk-size line.
fn next_after_size(line: &[u8]) -> Result<Next, WireError> {
    let size = grammar::parse_chunk_line(line).ok_or(WireError::Malformed)?;
    match usize::try_from(size) {
        Ok(0) => Ok(Next::Trailers),
        Ok(size) => Ok(Next::Data(size)),
        Err(_) => Err(WireError::Malformed),
    }
}
