//! Decodes chunked bodies as they arrive.

use bytes::{Bytes, BytesMut};

use crate::WireError;

/// The maximum length of the line before a chunk, its extensions included, and of a trailer.
const MAX_LINE_BYTES: usize = 4 << 10;

/// How many more bytes the lines and trailers of a body may have than the body itself.
const MAX_OVERHEAD_BYTES: usize = 64 << 10;

/// Decodes one body. What it has decoded is taken off the buffer, so that no byte is decoded twice.
#[derive(Debug, Default)]
pub(crate) struct ChunkDecoder {
    /// What comes next.
    next: Next,
    /// The body so far.
    body: BytesMut,
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
    pub fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns the body.
    pub fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    /// Decodes bytes of a chunk; none if all that has arrived is decoded.
    fn decode_data(&mut self, left_bytes: usize, buffer: &mut BytesMut) -> Option<Next> {
        if buffer.is_empty() {
            return None;
        }
        let part = buffer.split_to(left_bytes.min(buffer.len()));
        self.body.extend_from_slice(&part);
        let left_bytes = left_bytes - part.len();
        Some(if left_bytes > 0 { Next::Data(left_bytes) } else { Next::DataEnd })
    }

    /// Decodes a line outside the chunks; none if it has not arrived completely.
    fn decode_line(&mut self, buffer: &mut BytesMut) -> Result<Option<Next>, WireError> {
        let Some(line) = take_line(buffer)? else { return Ok(None) };
        self.overhead_bytes += line.len();
        if self.overhead_bytes > self.body.len() + MAX_OVERHEAD_BYTES {
            return Err(WireError::Malformed);
        }
        let is_empty = *line == *b"\r\n";
        match self.next {
            Next::Size => chunk_size(&line).map(Some),
            Next::DataEnd if is_empty => Ok(Some(Next::Size)),
            Next::Trailers if is_empty => Ok(Some(Next::End)),
            Next::Trailers => Ok(Some(Next::Trailers)),
            Next::DataEnd | Next::Data(_) | Next::End => Err(WireError::Malformed),
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

/// Parses the line before a chunk.
fn chunk_size(line: &[u8]) -> Result<Next, WireError> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, 0))) => Ok(Next::Trailers),
        Ok(httparse::Status::Complete((_, size))) => {
            usize::try_from(size).map(Next::Data).map_err(|_| WireError::Malformed)
        }
        Ok(httparse::Status::Partial) | Err(_) => Err(WireError::Malformed),
    }
}
