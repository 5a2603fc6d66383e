//! The bytes that have arrived on a connection, and the heads and bodies that they form.
//!
//! The other side may send bytes without end that are no answer. So each byte is looked at once, all that may arrive has a bound,
//! and after some bytes or reads other tasks get their turn.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::net::TcpStream;

use crate::chunked::ChunkDecoder;
use crate::framing::Framing;
use crate::head::{AnswerHead, HeadDecoder, MAX_HEAD_BYTES};
use crate::{MemoryGrant, WireError};

/// The size up to which a head needs no grant of memory.
const FREE_HEAD_BYTES: usize = 16 << 10;

/// The maximum number of bytes received in one exchange, those of skipped answers included.
const MAX_EXCHANGE_BYTES: usize = (64 << 20) + MAX_HEAD_BYTES;

/// The maximum number of answers that are skipped in one exchange, informational ones and those to earlier requests.
const MAX_SKIPPED_ANSWERS: u32 = 16;

/// The maximum number of bytes of one read in which a head may begin.
const HEAD_READ_BYTES: usize = 8 << 10;

/// The number of bytes of the first read of a body of unknown length; later ones grow with what has arrived.
const FIRST_BODY_READ_BYTES: usize = 4 << 10;

/// The maximum number of bytes of one read of a body.
const BODY_READ_BYTES: usize = 64 << 10;

/// The maximum size of the buffer that is allocated before any byte of a body of known length has arrived.
const MAX_RESERVE_BYTES: usize = 1 << 20;

/// The least memory that is taken at a time for an answer of unknown length.
const GRANT_STEP_BYTES: usize = 16 << 10;

/// The number of bytes that are read until other tasks get their turn.
const TURN_BYTES: usize = 256 << 10;

/// The number of bytes that one read counts as in addition.
const READ_COST_BYTES: usize = 4 << 10;

/// Receives the answers of one connection.
#[derive(Debug, Default)]
pub(crate) struct Receiver {
    /// Bytes that were read but not consumed yet.
    buffer: BytesMut,
    /// Decodes the head that arrives.
    head: HeadDecoder,
    /// The bytes received in this exchange.
    received_bytes: usize,
    /// The memory that heads may use in this exchange without another grant.
    head_grant_bytes: usize,
    /// The answers skipped in this exchange.
    skipped_answers: u32,
    /// The bytes and reads since other tasks had their turn.
    turn_bytes: usize,
    /// The longest time without received bytes, if limited.
    read_timeout: Option<Duration>,
    /// Whether the connection has broken. The operating system reports its error once, so the reads that follow see a plain end.
    is_broken: bool,
}

impl Receiver {
    /// Sets the longest time without received bytes.
    pub fn set_read_timeout(&mut self, timeout: Duration) {
        self.read_timeout = Some(timeout);
    }

    /// Records that a write has met the error of the connection.
    pub fn record_break(&mut self) {
        self.is_broken = true;
    }

    /// Returns whether all received bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Begins an exchange.
    pub fn begin_exchange(&mut self) {
        self.received_bytes = self.buffer.len();
        self.head_grant_bytes = FREE_HEAD_BYTES;
        self.skipped_answers = 0;
    }

    /// Counts an answer that is skipped; too many are an error.
    pub fn skip_answer(&mut self) -> Result<(), WireError> {
        self.skipped_answers += 1;
        if self.skipped_answers > MAX_SKIPPED_ANSWERS { Err(WireError::Malformed) } else { Ok(()) }
    }

    /// Releases the buffer if it is empty: it would keep the memory of the last body as long as the connection.
    pub fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads the head of an answer.
    pub async fn read_head(
        &mut self,
        stream: &TcpStream,
        grant: &impl MemoryGrant,
    ) -> Result<AnswerHead, WireError> {
        loop {
            if let Some(head) = self.take_head()? {
                return Ok(head);
            }
            if !self.fill_head(stream, grant).await? {
                return Err(WireError::Truncated);
            }
        }
    }

    /// Reads more bytes of a head; false at the end of the connection.
    pub async fn fill_head(
        &mut self,
        stream: &TcpStream,
        grant: &impl MemoryGrant,
    ) -> Result<bool, WireError> {
        let needed_bytes = self.buffer.len() + HEAD_READ_BYTES;
        take_grant(needed_bytes, &mut self.head_grant_bytes, 1, grant).await?;
        self.fill(stream, HEAD_READ_BYTES).await
    }

    /// Takes the head at the start of the buffer, if it has arrived completely.
    pub fn take_head(&mut self) -> Result<Option<AnswerHead>, WireError> {
        self.head.decode(&mut self.buffer)
    }

    /// Reads a body up to the end that its framing marks.
    pub async fn read_body(
        &mut self,
        stream: &TcpStream,
        framing: Framing,
        grant: &impl MemoryGrant,
    ) -> Result<Bytes, WireError> {
        match framing {
            Framing::Empty => Ok(Bytes::new()),
            Framing::Length(length) => self.read_length(stream, length, grant).await,
            Framing::Chunked => self.read_chunks(stream, grant).await,
            Framing::UntilClose => self.read_to_end(stream, grant).await,
        }
    }

    /// Reads a body of a known length.
    async fn read_length(
        &mut self,
        stream: &TcpStream,
        length: usize,
        grant: &impl MemoryGrant,
    ) -> Result<Bytes, WireError> {
        if length > MAX_EXCHANGE_BYTES {
            return Err(WireError::Malformed);
        }
        grant.take(length).await?;
        self.buffer.reserve(length.saturating_sub(self.buffer.len()).min(MAX_RESERVE_BYTES) + 1);
        while self.buffer.len() < length {
            let missing_bytes = length - self.buffer.len();
            // One more byte shows that more follows than the answer.
            if !self.fill(stream, missing_bytes.min(BODY_READ_BYTES) + 1).await? {
                return Err(WireError::Truncated);
            }
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Reads a chunked body.
    async fn read_chunks(
        &mut self,
        stream: &TcpStream,
        grant: &impl MemoryGrant,
    ) -> Result<Bytes, WireError> {
        let mut decoder = ChunkDecoder::default();
        let mut taken_bytes = 0;
        loop {
            let held_bytes = decoder.body_bytes() + self.buffer.len();
            let read_bytes = body_read_bytes(held_bytes);
            // The body may be in memory twice while its allocation grows.
            take_grant(held_bytes + read_bytes, &mut taken_bytes, 2, grant).await?;
            if decoder.decode(&mut self.buffer)? {
                return Ok(decoder.take_body());
            }
            if !self.fill(stream, read_bytes).await? {
                return Err(WireError::Truncated);
            }
        }
    }

    /// Reads a body that ends with the connection; a reset is an error.
    async fn read_to_end(
        &mut self,
        stream: &TcpStream,
        grant: &impl MemoryGrant,
    ) -> Result<Bytes, WireError> {
        let mut taken_bytes = 0;
        loop {
            let read_bytes = body_read_bytes(self.buffer.len());
            take_grant(self.buffer.len() + read_bytes, &mut taken_bytes, 1, grant).await?;
            if !self.fill(stream, read_bytes).await? {
                let body = self.buffer.split().freeze();
                return if self.is_broken { Err(WireError::Truncated) } else { Ok(body) };
            }
        }
    }

    /// Reads more bytes into the buffer; false at the end of the connection.
    async fn fill(&mut self, stream: &TcpStream, max_bytes: usize) -> Result<bool, WireError> {
        loop {
            self.yield_if_due().await;
            let readable = stream.readable();
            let readable = match self.read_timeout {
                Some(read_timeout) => match tokio::time::timeout(read_timeout, readable).await {
                    Ok(readable) => readable,
                    Err(_) => return Err(WireError::TimedOut),
                },
                None => readable.await,
            };
            let read = readable.and_then(|()| self.read_once(stream, max_bytes));
            match read {
                Ok(count) => {
                    self.check_received_bytes()?;
                    return Ok(count > 0);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return Err(WireError::TimedOut);
                }
                Err(_) => return Err(WireError::Truncated),
            }
        }
    }

    /// Reads what has arrived while a request is being sent; false at the end of the connection.
    pub async fn fill_available(
        &mut self,
        stream: &TcpStream,
        grant: &impl MemoryGrant,
    ) -> Result<bool, WireError> {
        self.yield_if_due().await;
        let needed_bytes = self.buffer.len() + HEAD_READ_BYTES;
        take_grant(needed_bytes, &mut self.head_grant_bytes, 1, grant).await?;
        match self.read_once(stream, HEAD_READ_BYTES) {
            Ok(count) => {
                self.check_received_bytes()?;
                Ok(count > 0)
            }
            Err(error) => Ok(error.kind() == io::ErrorKind::WouldBlock),
        }
    }

    /// Makes one read of at most so many bytes, without waiting.
    fn read_once(&mut self, stream: &TcpStream, max_bytes: usize) -> io::Result<usize> {
        self.buffer.reserve(max_bytes);
        let count = stream.try_read_buf(&mut (&mut self.buffer).limit(max_bytes))?;
        self.received_bytes += count;
        self.turn_bytes += count + READ_COST_BYTES;
        Ok(count)
    }

    /// Fails if more has arrived than any exchange needs.
    fn check_received_bytes(&self) -> Result<(), WireError> {
        if self.received_bytes > MAX_EXCHANGE_BYTES { Err(WireError::Malformed) } else { Ok(()) }
    }

    /// Lets other tasks run after some bytes, as a fast sender always has more ready.
    async fn yield_if_due(&mut self) {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            tokio::task::yield_now().await;
        }
    }
}

/// Returns how many bytes the next read of a body of unknown length may bring if so many are held.
fn body_read_bytes(held_bytes: usize) -> usize {
    held_bytes.clamp(FIRST_BODY_READ_BYTES, BODY_READ_BYTES)
}

/// Takes memory up to a number of bytes, for a head or for a body of unknown length.
async fn take_grant(
    needed_bytes: usize,
    taken_bytes: &mut usize,
    copies: usize,
    grant: &impl MemoryGrant,
) -> Result<(), WireError> {
    if needed_bytes > *taken_bytes {
        let more_bytes = (needed_bytes - *taken_bytes).max(GRANT_STEP_BYTES);
        grant.take(more_bytes * copies).await?;
        *taken_bytes += more_bytes;
    }
    Ok(())
}
