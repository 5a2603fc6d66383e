//! Finds where each request on a connection ends, so that nothing of the next one is parsed before the first is answered.

use bytes::BytesMut;

use crate::ChunkDecoder;

/// The bytes of a chunked body that are passed on at a time. Chunks of one byte take several times their length in memory.
const CHUNKED_PART_BYTES: usize = 4 << 10;

/// The body that a request announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBody {
    /// None.
    None,
    /// So many bytes.
    Sized(usize),
    /// Chunks, whose last one ends it.
    Chunked,
    /// Bytes without an end, after a request for another protocol.
    Endless,
}

/// Decides how many of the bytes that a caller sends belong to its current request.
///
/// It passes a head, and then nothing until a call says that a body or the next head follows.
#[derive(Debug, Default)]
pub struct RequestGate {
    /// What is passed next.
    next: Next,
    /// The bytes of the current head so far.
    head_bytes: usize,
}

/// What a gate passes next.
#[derive(Debug)]
enum Next {
    /// A head.
    Head(HeadScan),
    /// So many bytes of a body.
    Sized(usize),
    /// A chunked body.
    Chunked(Box<ChunkScan>),
    /// Nothing, until a call says what follows.
    Nothing,
    /// Everything.
    Everything,
}

impl Default for Next {
    fn default() -> Next {
        Next::Head(HeadScan::default())
    }
}

/// What has been seen of a head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum HeadScan {
    /// Nothing but line breaks, which may precede a request.
    #[default]
    Empty,
    /// A byte within a line.
    InLine,
    /// A line break.
    LineEnd,
    /// A line break and a carriage return.
    LineEndReturn,
}

impl HeadScan {
    /// Returns what has been seen after another byte; none if that ends the head.
    fn after(self, byte: u8) -> Option<HeadScan> {
        match (self, byte) {
            (HeadScan::Empty, b'\r' | b'\n') => Some(HeadScan::Empty),
            (HeadScan::LineEnd | HeadScan::LineEndReturn, b'\n') => None,
            (HeadScan::LineEnd, b'\r') => Some(HeadScan::LineEndReturn),
            (_, b'\n') => Some(HeadScan::LineEnd),
            _ => Some(HeadScan::InLine),
        }
    }
}

/// What has been seen of a chunked body.
#[derive(Debug, Default)]
struct ChunkScan {
    /// Decodes the chunks.
    decoder: ChunkDecoder,
    /// The start of a line that has not arrived completely.
    line: BytesMut,
    /// Whether its end can't be found, as its chunks are malformed.
    is_malformed: bool,
}

impl ChunkScan {
    /// Returns how many of the bytes belong to the body, and whether it ends with them.
    fn pass(&mut self, bytes: &[u8]) -> (usize, bool) {
        let bytes = &bytes[..bytes.len().min(CHUNKED_PART_BYTES)];
        if self.is_malformed {
            return (bytes.len(), false);
        }
        self.line.extend_from_slice(bytes);
        let decoded = self.decoder.decode(&mut self.line);
        let _ = self.decoder.take_body();
        match decoded {
            Ok(true) => (bytes.len() - self.line.len(), true),
            Ok(false) => (bytes.len(), false),
            Err(_) => {
                self.is_malformed = true;
                (bytes.len(), false)
            }
        }
    }
}

impl RequestGate {
    /// Returns how many bytes from the start may be passed on now; 0 if it is closed.
    pub fn pass(&mut self, bytes: &[u8]) -> usize {
        match &mut self.next {
            Next::Nothing => 0,
            Next::Everything => bytes.len(),
            Next::Sized(left_bytes) => {
                let passed = bytes.len().min(*left_bytes);
                *left_bytes -= passed;
                if *left_bytes == 0 {
                    self.next = Next::Nothing;
                }
                passed
            }
            Next::Chunked(scan) => {
                let (passed, is_end) = scan.pass(bytes);
                if is_end {
                    self.next = Next::Nothing;
                }
                passed
            }
            Next::Head(scan) => {
                let mut seen = Some(*scan);
                let end = bytes.iter().position(|byte| {
                    seen = seen.and_then(|seen| seen.after(*byte));
                    seen.is_none()
                });
                self.next = seen.map_or(Next::Nothing, Next::Head);
                let passed = end.map_or(bytes.len(), |index| index + 1);
                self.head_bytes += passed;
                passed
            }
        }
    }

    /// Returns whether nothing is passed until a call says what follows.
    pub fn is_closed(&self) -> bool {
        matches!(self.next, Next::Nothing)
    }

    /// Returns whether a head is expected or arrives.
    pub fn is_in_head(&self) -> bool {
        matches!(self.next, Next::Head(_))
    }

    /// Returns the bytes of the last head so far.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes
    }

    /// Expects the body of the current request.
    pub fn expect_body(&mut self, body: RequestBody) {
        self.next = match body {
            RequestBody::None | RequestBody::Sized(0) | RequestBody::Endless => Next::Nothing,
            RequestBody::Sized(bytes) => Next::Sized(bytes),
            RequestBody::Chunked => Next::Chunked(Box::default()),
        };
    }

    /// Expects the head of the next request.
    pub fn expect_head(&mut self) {
        *self = RequestGate::default();
    }

    /// Passes whatever comes, as no further request is read.
    pub fn pass_everything(&mut self) {
        self.next = Next::Everything;
    }

    /// Passes nothing more of the current request.
    pub fn close(&mut self) {
        self.next = Next::Nothing;
    }
}
