//! A connection that sends requests and reads whole answers.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{Interest, Ready};
use tokio::net::{TcpSocket, TcpStream};

use crate::framing::Framing;
use crate::grant::{MemoryGrant, UnlimitedGrant};
use crate::head::AnswerHead;
use crate::receive::Receiver;
use crate::status::Status;
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

/// The maximum number of refused requests that are remembered for a connection; it is not used again after the last.
const MAX_REFUSED: usize = 16;

/// One connection, owned by one exchange at a time.
#[derive(Debug)]
pub struct Conn {
    /// The TCP stream.
    stream: TcpStream,
    /// What has arrived.
    receiver: Receiver,
    /// Whether another exchange may follow on the connection.
    is_reusable: bool,
    /// The requests that the other side has refused on this connection.
    refused: Vec<u64>,
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
        Ok(Conn { stream, receiver: Receiver::default(), is_reusable: true, refused: Vec::new() })
    }

    /// Sets the longest time without received bytes while an answer is awaited.
    ///
    /// The whole answer may take longer, as a large one does over a slow link.
    pub fn set_read_timeout(&mut self, ms: u64) {
        self.receiver.set_read_timeout(Duration::from_millis(ms));
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
            && self.receiver.is_empty()
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
        self.is_reusable && self.receiver.is_empty()
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
        self.receiver.begin_exchange();
        if let Some(early) = self.send(request, is_head_request, &on_head, grant).await? {
            return Ok(early);
        }
        loop {
            let head = self.receiver.read_head(&self.stream, grant).await?;
            if let Some(answer) = self.read_own(head, is_head_request, &on_head, grant).await? {
                return Ok(answer);
            }
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
                    self.receiver.record_break();
                    return self.answer_before_break(is_head_request, on_head, grant).await;
                }
            }
            // Wait for reads too, so that a blocked write does not delay an early answer.
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await;
            let is_readable = ready.is_ok_and(Ready::is_readable);
            if !is_readable {
                continue;
            }
            if !self.receiver.fill_available(&self.stream, grant).await? {
                return Err(WireError::Truncated);
            }
            let early = self.take_early_answer(is_head_request, on_head, grant).await?;
            if early.is_some() {
                return Ok(early);
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
        while self.receiver.fill_head(&self.stream, grant).await.is_ok_and(|has_more| has_more) {
            match self.take_early_answer(is_head_request, on_head, grant).await {
                Ok(None) => {}
                Ok(early) => return Ok(early),
                Err(_) => return Err(WireError::Send),
            }
        }
        Err(WireError::Send)
    }

    /// Returns the answer to the request if its head has arrived before the whole request is sent; the connection is not
    /// reused after it. Other answers that have arrived are skipped.
    async fn take_early_answer(
        &mut self,
        is_head_request: bool,
        on_head: &impl Fn(&Answer) -> bool,
        grant: &impl MemoryGrant,
    ) -> Result<Option<Answer>, WireError> {
        while let Some(head) = self.receiver.take_head()? {
            let early = self.read_own(head, is_head_request, on_head, grant).await?;
            self.is_reusable = false;
            if early.is_some() {
                return Ok(early);
            }
        }
        Ok(None)
    }

    /// Reads the rest of an answer after its head; none if it is informational or does not belong to the request.
    async fn read_own(
        &mut self,
        head: AnswerHead,
        is_head_request: bool,
        on_head: &impl Fn(&Answer) -> bool,
        grant: &impl MemoryGrant,
    ) -> Result<Option<Answer>, WireError> {
        if head.status == Status::SWITCHING_PROTOCOLS {
            return Err(WireError::Malformed);
        }
        let framing = head.framing(is_head_request)?;
        if head.status.is_informational() {
            self.receiver.skip_answer()?;
            return Ok(None);
        }
        let keeps_connection = head.keeps_connection();
        let AnswerHead { status, fields, .. } = head;
        let mut answer = Answer { status: status.code(), fields, body: Bytes::new() };
        let is_own = on_head(&answer);
        if !is_own {
            self.receiver.skip_answer()?;
        }
        answer.body = self.receiver.read_body(&self.stream, framing, grant).await?;
        self.receiver.release_empty_buffer();
        self.is_reusable = is_own && framing != Framing::UntilClose && keeps_connection;
        Ok(is_own.then_some(answer))
    }
}
