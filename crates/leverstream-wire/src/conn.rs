//! A connection that sends requests and reads whole answers.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, Interest, Ready};
use tokio::net::{TcpSocket, TcpStream};

use crate::framing::{Chunks, Framing, ParsedHead, decode_chunks, framing, parse_head};
use crate::grant::{MemoryGrant, UnlimitedGrant};
use crate::{Answer, Message};

/// The idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEP_ALIVE_INTERVAL_S: u64 = 1;

/// The number of unanswered TCP keep-alive probes after which a connection is closed. Linux decides
/// by [`ACK_TIMEOUT_MS`] instead; elsewhere this gives the same two seconds.
const KEEP_ALIVE_PROBES: u32 = 1;

/// How long sent bytes, keep-alive probes among them, may stay unacknowledged before a connection is
/// closed. On Linux this decides when the probes of an idle connection are given up, whatever their
/// number.
///
/// With the interval of the probes, a silent connection is closed within two seconds. A change has to
/// be in force two seconds after the store has acknowledged it, and three after connections broke;
/// the rest is for reading the store again and for the way to other VMs.
const ACK_TIMEOUT_MS: u64 = 1_000;

/// The buffer space reserved for each read.
const READ_RESERVE_BYTES: usize = 4 << 10;

/// The least memory that is taken at a time for an answer of unknown length.
const GRANT_STEP_BYTES: usize = 16 << 10;

/// The maximum number of refused requests that are remembered for a connection; it is not used again after the last.
const MAX_REFUSED: usize = 16;

/// The largest answer that is accepted.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// One connection, owned by one exchange at a time.
#[derive(Debug)]
pub struct Conn {
    /// The TCP stream.
    stream: TcpStream,
    /// Bytes that were read but not consumed yet.
    buffer: BytesMut,
    /// Whether another exchange may follow on the connection.
    is_reusable: bool,
    /// Whether a write has failed. The operating system reports the error of a connection once, so the reads that follow see a
    /// plain end.
    is_broken: bool,
    /// The requests that the other side has refused on this connection.
    refused: Vec<u64>,
    /// The longest time without received bytes while an answer is awaited, if limited.
    read_timeout: Option<Duration>,
}

/// The progress of an exchange, readable after its future is dropped.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether bytes of the request may have been sent.
    sent: Cell<bool>,
}

/// The error of an exchange without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum WireError {
    /// the connection could not be opened
    Connect,
    /// the connection broke while the request was sent
    Send,
    /// the connection ended before the answer did
    Truncated,
    /// the other side stopped sending
    TimedOut,
    /// the answer could not be read
    Malformed,
    /// the memory for answers cannot take the answer
    TooLarge,
}

impl std::error::Error for WireError {}

impl WireError {
    /// Returns whether the other side has closed the connection after it was opened.
    pub fn is_disconnect(self) -> bool {
        matches!(self, WireError::Send | WireError::Truncated)
    }
}

impl Progress {
    /// Returns whether bytes of the request may have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }
}

impl Conn {
    /// Opens a connection without a read timeout: its users have a deadline of their own, and
    /// packets that a broken network path delays may still arrive.
    pub async fn open(address: SocketAddr) -> io::Result<Conn> {
        Conn::of_stream(TcpStream::connect(address).await?)
    }

    /// Opens a connection whose send and receive buffers in the operating system have a fixed size.
    pub async fn open_with_buffers(address: SocketAddr, bytes: u32) -> io::Result<Conn> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
        Conn::of_stream(socket.connect(address).await?)
    }

    /// Creates a connection from a stream.
    fn of_stream(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        Ok(Conn {
            stream,
            buffer: BytesMut::new(),
            is_reusable: true,
            is_broken: false,
            refused: Vec::new(),
            read_timeout: None,
        })
    }

    /// Sets the longest time without received bytes while an answer is awaited.
    ///
    /// The whole answer may take longer, as a large one does over a slow link.
    pub fn set_read_timeout(&mut self, ms: u64) {
        self.read_timeout = Some(Duration::from_millis(ms));
    }

    /// Opens a connection that detects within seconds that the other side is unreachable, for calls
    /// that wait long for their answer.
    pub async fn open_with_keepalive(address: SocketAddr) -> io::Result<Conn> {
        let conn = Conn::open(address).await?;
        let socket = SockRef::from(&conn.stream);
        socket.set_tcp_keepalive(
            &TcpKeepalive::new()
                .with_time(Duration::from_secs(KEEP_ALIVE_INTERVAL_S))
                .with_interval(Duration::from_secs(KEEP_ALIVE_INTERVAL_S))
                .with_retries(KEEP_ALIVE_PROBES),
        )?;
        socket.set_tcp_user_timeout(Some(Duration::from_millis(ACK_TIMEOUT_MS)))?;
        Ok(conn)
    }

    /// Returns whether an idle connection is still open, reusable and without unread bytes.
    pub fn is_clean(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.is_reusable
            && self.buffer.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Records that the other side has answered that it did not run a request.
    ///
    /// Another copy of that answer may still arrive. It could not be distinguished from the answer to the same request if that were
    /// sent on this connection again.
    pub fn record_refusal(&mut self, request: u64) {
        self.refused.push(request);
        self.is_reusable &= self.refused.len() < MAX_REFUSED;
    }

    /// Returns whether the other side has refused a request on this connection.
    pub fn has_refused(&self, request: u64) -> bool {
        self.refused.contains(&request)
    }

    /// Returns whether another exchange may follow the last one.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable && self.buffer.is_empty()
    }

    /// Sends a request and reads answers until one belongs to the request.
    ///
    /// `on_head` receives each answer without its body as soon as the head is read, and returns
    /// whether it belongs to the request. Answers to earlier requests on the connection are skipped.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        is_head_request: bool,
        progress: &Progress,
        on_head: impl Fn(&Answer) -> bool,
    ) -> Result<Answer, WireError> {
        let message = Message { head: request, body: &[] };
        self.exchange_within(message, is_head_request, progress, on_head, &UnlimitedGrant).await
    }

    /// Sends a request and reads answers as [`Conn::exchange`] does; takes memory for the body of an
    /// answer from `grant` before it is read.
    pub async fn exchange_within(
        &mut self,
        request: Message<'_>,
        is_head_request: bool,
        progress: &Progress,
        on_head: impl Fn(&Answer) -> bool,
        grant: &impl MemoryGrant,
    ) -> Result<Answer, WireError> {
        progress.sent.set(true);
        self.is_reusable = false;
        if let Some(early) = self.send(request, is_head_request, &on_head, grant).await? {
            return Ok(early);
        }
        loop {
            let (answer, is_own) = self.read_answer(is_head_request, true, &on_head, grant).await?;
            if is_own {
                return Ok(answer);
            }
            self.is_reusable = false;
        }
    }

    /// Sends a request; returns its answer if that arrives before the whole request is sent.
    ///
    /// An answer to an earlier request on the connection is skipped.
    async fn send(
        &mut self,
        request: Message<'_>,
        is_head_request: bool,
        on_head: &impl Fn(&Answer) -> bool,
        grant: &impl MemoryGrant,
    ) -> Result<Option<Answer>, WireError> {
        let mut written = 0;
        while written < request.len() {
            let [head, body] = request.after(written);
            match self.stream.try_write_vectored(&[IoSlice::new(head), IoSlice::new(body)]) {
                Ok(0) => return Err(WireError::Send),
                Ok(count) => {
                    written += count;
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => {
                    self.is_broken = true;
                    return self.answer_before_break(is_head_request, on_head, grant).await;
                }
            }
            // Wait for reads too, so that a blocked write does not delay an early answer.
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await;
            let is_readable = ready.is_ok_and(Ready::is_readable);
            if !is_readable {
                continue;
            }
            if !self.read_available() {
                return Err(WireError::Truncated);
            }
            let early = self.read_early_answer(is_head_request, on_head, grant).await?;
            if let Some((answer, true)) = early {
                return Ok(Some(answer));
            }
        }
        Ok(None)
    }

    /// Returns the answer that the other side sent before it closed the connection with a part of
    /// the request unread: it is still in the receive buffer when a write fails.
    async fn answer_before_break(
        &mut self,
        is_head_request: bool,
        on_head: &impl Fn(&Answer) -> bool,
        grant: &impl MemoryGrant,
    ) -> Result<Option<Answer>, WireError> {
        // The reads of a broken connection end once all that has arrived is read.
        while self.fill().await.is_ok_and(|has_more| has_more) {
            match self.read_early_answer(is_head_request, on_head, grant).await {
                Ok(Some((answer, true))) => return Ok(Some(answer)),
                Ok(_) => {}
                Err(_) => return Err(WireError::Send),
            }
        }
        Err(WireError::Send)
    }

    /// Reads bytes that arrive while the request is being sent; false at the end of the connection.
    fn read_available(&mut self) -> bool {
        self.buffer.reserve(READ_RESERVE_BYTES);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => false,
            Ok(_) => true,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Reads an answer that arrives before the whole request is sent, and the result of `on_head`.
    ///
    /// If the answer belongs to the request, the connection is not reused.
    async fn read_early_answer(
        &mut self,
        is_head_request: bool,
        on_head: &impl Fn(&Answer) -> bool,
        grant: &impl MemoryGrant,
    ) -> Result<Option<(Answer, bool)>, WireError> {
        if parse_head(&self.buffer)?.is_none() {
            return Ok(None);
        }
        let early = self.read_answer(is_head_request, false, on_head, grant).await?;
        self.is_reusable = false;
        Ok(Some(early))
    }

    /// Reads one whole answer and the result of `on_head`; skips informational answers.
    async fn read_answer(
        &mut self,
        is_head_request: bool,
        may_reuse: bool,
        on_head: &impl Fn(&Answer) -> bool,
        grant: &impl MemoryGrant,
    ) -> Result<(Answer, bool), WireError> {
        loop {
            let head = self.read_head().await?;
            if head.status >= 200 {
                let framing = framing(&head, is_head_request)?;
                let ParsedHead { status, fields, .. } = head;
                let mut answer = Answer { status, fields, body: Bytes::new() };
                let is_own = on_head(&answer);
                answer.body = self.read_body(framing, grant).await?;
                if self.buffer.is_empty() {
                    // The empty buffer would keep the memory of the body as long as the connection.
                    self.buffer = BytesMut::new();
                }
                self.is_reusable =
                    may_reuse && framing != Framing::UntilClose && !answer.closes_connection();
                return Ok((answer, is_own));
            }
            if head.status == 101 {
                return Err(WireError::Malformed);
            }
        }
    }

    /// Reads the head of an answer.
    async fn read_head(&mut self) -> Result<ParsedHead, WireError> {
        loop {
            if !self.buffer.is_empty()
                && let Some(head) = parse_head(&self.buffer)?
            {
                let _ = self.buffer.split_to(head.length);
                return Ok(head);
            }
            if !self.fill().await? {
                return Err(WireError::Truncated);
            }
        }
    }

    /// Reads a body up to the end that its framing marks.
    async fn read_body(
        &mut self,
        framing: Framing,
        grant: &impl MemoryGrant,
    ) -> Result<Bytes, WireError> {
        match framing {
            Framing::Empty => Ok(Bytes::new()),
            Framing::Length(length) => self.read_length(length, grant).await,
            Framing::Chunked => self.read_chunks(grant).await,
            Framing::UntilClose => self.read_to_end(grant).await,
        }
    }

    /// Reads a body of a known length.
    async fn read_length(
        &mut self,
        length: usize,
        grant: &impl MemoryGrant,
    ) -> Result<Bytes, WireError> {
        if length > MAX_ANSWER_BYTES {
            return Err(WireError::Malformed);
        }
        grant.take(length).await?;
        while self.buffer.len() < length {
            if !self.fill().await? {
                return Err(WireError::Truncated);
            }
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Reads a chunked body.
    async fn read_chunks(&mut self, grant: &impl MemoryGrant) -> Result<Bytes, WireError> {
        let mut taken_bytes = 0;
        loop {
            // The encoded and the decoded body are in memory together.
            self.take_grant_for_buffer(&mut taken_bytes, 2, grant).await?;
            if let Chunks::Whole(body, length) = decode_chunks(&self.buffer)? {
                let _ = self.buffer.split_to(length);
                return Ok(body.into());
            }
            if !self.fill().await? {
                return Err(WireError::Truncated);
            }
        }
    }

    /// Reads a body that ends with the connection; a reset is an error.
    async fn read_to_end(&mut self, grant: &impl MemoryGrant) -> Result<Bytes, WireError> {
        let mut taken_bytes = 0;
        loop {
            self.take_grant_for_buffer(&mut taken_bytes, 1, grant).await?;
            if !self.fill().await? {
                let body = self.buffer.split().freeze();
                return if self.is_broken { Err(WireError::Truncated) } else { Ok(body) };
            }
        }
    }

    /// Takes memory for the buffer and the next read of a body of unknown length.
    async fn take_grant_for_buffer(
        &self,
        taken_bytes: &mut usize,
        copies: usize,
        grant: &impl MemoryGrant,
    ) -> Result<(), WireError> {
        let needed_bytes = self.buffer.len() + READ_RESERVE_BYTES;
        if needed_bytes > *taken_bytes {
            let more_bytes = (needed_bytes - *taken_bytes).max(GRANT_STEP_BYTES);
            grant.take(more_bytes * copies).await?;
            *taken_bytes += more_bytes;
        }
        Ok(())
    }

    /// Reads more bytes into the buffer; false at the end of the connection.
    async fn fill(&mut self) -> Result<bool, WireError> {
        if self.buffer.len() > MAX_ANSWER_BYTES {
            return Err(WireError::Malformed);
        }
        self.buffer.reserve(READ_RESERVE_BYTES);
        let read = self.stream.read_buf(&mut self.buffer);
        let read = match self.read_timeout {
            Some(read_timeout) => match tokio::time::timeout(read_timeout, read).await {
                Ok(read) => read,
                Err(_) => return Err(WireError::TimedOut),
            },
            None => read.await,
        };
        match read {
            Ok(count) => Ok(count > 0),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Err(WireError::TimedOut),
            Err(_) => Err(WireError::Truncated),
        }
    }
}
