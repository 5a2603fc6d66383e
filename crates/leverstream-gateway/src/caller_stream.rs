//! The stream of an accepted connection, which gives the HTTP library one request at a time, can stop reading, ends if its
//! answers are left unread, and closes without a reset that could overtake an answer.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use leverstream_catalog::Limits;
use leverstream_error::Kind;
use leverstream_pace::Clock;
use leverstream_wire::LingerStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tracing::info;

use crate::connection_pool::{RECEIVE_BUFFER_BYTES, WIDE_RECEIVE_BUFFER_BYTES};
use crate::connections::Connection;
use crate::memory::Memory;
use crate::reply;

/// How far a caller may be behind one that reads [`MIN_READ_BYTES_PER_MS`] of its answer, in milliseconds.
const UNREAD_LIMIT_MS: u64 = 5_000;

/// The rate at which a caller must read a long answer, in bytes a millisecond, after the time that it may read nothing.
const MIN_READ_BYTES_PER_MS: u64 = 16;

/// The bytes after which the stream reports once that nothing is there, so that what was read is
/// handled first. The HTTP dispatcher reads up to 128 kB otherwise before it looks at any of it, also
/// of a body that is not to be read on.
const READ_QUANTUM_BYTES: usize = 16 << 10;

/// The bytes that are read while no request may be parsed, to notice that the caller has left.
const PROBE_BYTES: usize = 512;

/// The interval at which a connection is checked for its end while bytes that were sent ahead are not read, in milliseconds.
const END_CHECK_INTERVAL_MS: u64 = 250;

/// The stream of an accepted connection.
pub(crate) struct CallerStream {
    /// The stream.
    stream: LingerStream,
    /// The caller's address, for the log.
    peer: SocketAddr,
    /// The requests that are open on it.
    connection: Rc<Connection>,
    /// The limited memory that its bodies and answers are part of, if they are.
    memory: Option<Arc<Memory>>,
    /// Pauses reads while memory is short.
    pause: Rc<ReadPause>,
    /// The bytes read of the current quantum.
    quantum_bytes: usize,
    /// What was read of the connection and belongs to a later request, or to a body that is not read yet.
    ahead: BytesMut,
    /// Whether the receive buffer is wide.
    is_wide: bool,
    /// The limits of a head.
    limits: Limits,
    /// When the head that is expected must be whole.
    head_limit: Option<Pin<Box<Sleep>>>,
    /// When the connection is checked for its end behind bytes that are not read.
    end_check: Option<Pin<Box<Sleep>>>,
    /// When the caller is disconnected, while it reads nothing of its answer.
    unread_limit: Option<Pin<Box<Sleep>>>,
}

/// Pauses the reads of a connection.
#[derive(Default)]
pub(crate) struct ReadPause {
    /// Whether reads are paused.
    is_paused: Cell<bool>,
    /// Wakes the connection when the pause ends.
    waker: RefCell<Option<Waker>>,
}

/// Pauses reads until it is dropped.
pub(crate) struct PauseGuard<'a>(&'a ReadPause);

/// What the handler of a request uses to read its body within the memory.
#[derive(Clone)]
pub(crate) struct BodyMemory {
    /// The memory.
    pub memory: Arc<Memory>,
    /// The pause of the connection's reads.
    pub pause: Rc<ReadPause>,
}

impl ReadPause {
    /// Pauses reads until the result is dropped.
    pub fn start(&self) -> PauseGuard<'_> {
        self.is_paused.set(true);
        PauseGuard(self)
    }
}

impl Drop for PauseGuard<'_> {
    fn drop(&mut self) {
        self.0.is_paused.set(false);
        if let Some(waker) = self.0.waker.take() {
            waker.wake();
        }
    }
}

impl CallerStream {
    /// Creates the stream of an accepted connection. Without a limited memory, it is always read, and
    /// its answers may be left unread.
    pub fn new(
        stream: TcpStream,
        peer: SocketAddr,
        memory: Option<&Arc<Memory>>,
        connection: Rc<Connection>,
        limits: Limits,
        clock: Clock,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(CallerStream {
            stream: LingerStream::new(stream, clock),
            peer,
            connection,
            memory: memory.map(Arc::clone),
            pause: Rc::default(),
            quantum_bytes: 0,
            ahead: BytesMut::new(),
            is_wide: false,
            limits,
            head_limit: None,
            end_check: None,
            unread_limit: None,
        })
    }

    /// Returns the state of the connection that its requests share.
    pub fn connection(&self) -> Rc<Connection> {
        Rc::clone(&self.connection)
    }

    /// Returns what the handlers of its requests use; none if the memory isn't limited.
    pub fn body_memory(&self) -> Option<BodyMemory> {
        let memory = self.memory.as_ref()?;
        Some(BodyMemory { memory: Arc::clone(memory), pause: Rc::clone(&self.pause) })
    }

    /// Prepares the end of a connection that makes room for others: one whose caller doesn't take what was sent is reset, which
    /// drops what the operating system still holds.
    fn abort(&self) -> io::Error {
        if self.stream.has_unsent() {
            self.reset_on_drop();
        }
        io::ErrorKind::ConnectionAborted.into()
    }

    /// Makes the connection end with a reset.
    fn reset_on_drop(&self) {
        if let Err(error) = self.stream.reset_on_drop() {
            info!(caller = %self.peer, %error, "the connection can't be reset");
        }
    }

    /// Waits until the caller is too far behind in reading its answer, and then fails the write.
    fn poll_unread_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let Some(memory) = self.memory.as_ref().map(Arc::clone) else { return Poll::Pending };
        if !self.connection.has_reading_limit() {
            return Poll::Pending;
        }
        loop {
            let lag_ms = self.connection.reading_lag_ms(MIN_READ_BYTES_PER_MS);
            if lag_ms >= UNREAD_LIMIT_MS {
                break;
            }
            let left = Duration::from_millis(UNREAD_LIMIT_MS - lag_ms);
            let start = || Box::pin(tokio::time::sleep(left));
            ready!(self.unread_limit.get_or_insert_with(start).as_mut().poll(cx));
            // Bytes that were read meanwhile give it more time.
            self.unread_limit = None;
        }
        memory.meters().cut_off.inc();
        self.connection.note_cut_off();
        info!(caller = %self.peer, unread_ms = UNREAD_LIMIT_MS, "caller cut off");
        // A reset drops what the operating system still holds for the caller.
        self.reset_on_drop();
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }

    /// Passes on the result of a write; a blocked one fails after the time limit.
    fn finish_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.unread_limit = None;
            return written;
        }
        self.connection.note_blocked();
        self.poll_unread_limit(cx).map(Err)
    }
}

impl CallerStream {
    /// Makes the receive buffer as wide as the request needs, if the memory is limited.
    fn set_receive_buffer(&mut self) {
        let is_wide = self.connection.is_wide();
        if self.is_wide == is_wide || self.memory.is_none() {
            return;
        }
        self.is_wide = is_wide;
        let bytes = if is_wide { WIDE_RECEIVE_BUFFER_BYTES } else { RECEIVE_BUFFER_BYTES };
        if let Err(error) = self.stream.set_receive_buffer(bytes) {
            info!(caller = %self.peer, %error, "the receive buffer can't be changed");
        }
    }

    /// Reads what belongs to the current request; what follows it is kept.
    fn poll_read_request(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = &buffer.filled()[before..];
        let passed = self.connection.pass(read);
        self.ahead.extend_from_slice(&read[passed..]);
        buffer.set_filled(before + passed);
        Poll::Ready(Ok(()))
    }

    /// Takes what belongs to the current request from the bytes that were read ahead.
    fn take_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
        let room = self.ahead.len().min(buffer.remaining());
        let passed = self.connection.pass(&self.ahead[..room]);
        buffer.put_slice(&self.ahead[..passed]);
        self.ahead.advance(passed);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        Ok(())
    }

    /// Waits until the time for the head is over that is expected on a new connection, or that has begun to arrive; then it is
    /// rejected, and the connection ends.
    fn poll_head_limit(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(head_bytes) = self.connection.head_progress() else {
            self.head_limit = None;
            return Poll::Pending;
        };
        if head_bytes == 0 && self.connection.has_served() {
            self.head_limit = None;
            return Poll::Pending;
        }
        let limit = Duration::from_millis(self.limits.head_ms);
        let start = || Box::pin(tokio::time::sleep(limit));
        ready!(self.head_limit.get_or_insert_with(start).as_mut().poll(cx));
        self.head_limit = None;
        if head_bytes > 0 {
            self.reject_head(cx, Kind::HeadTimeout);
        }
        Poll::Ready(())
    }

    /// Answers a request whose head isn't read on. No other answer is under way, as requests are read one at a time.
    fn reject_head(&mut self, cx: &mut Context<'_>, kind: Kind) {
        info!(caller = %self.peer, %kind, head_bytes = self.connection.head_bytes(), "head rejected");
        let answer = reply::closing_error(kind);
        let written = Pin::new(&mut self.stream).poll_write(cx, &answer);
        if !matches!(written, Poll::Ready(Ok(count)) if count == answer.len()) {
            info!(caller = %self.peer, %kind, "the answer can't be written");
        }
    }

    /// Waits, while no request may be parsed, until the caller has left or has sent more; that is kept.
    fn poll_probe(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; PROBE_BYTES];
        let mut probe = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut probe))?;
        if probe.filled().is_empty() {
            return Poll::Ready(Ok(()));
        }
        self.ahead.extend_from_slice(probe.filled());
        self.poll_end(cx)
    }

    /// Waits until the gate opens, or until the caller has left behind the bytes that it has sent ahead.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.await_gate();
        self.connection.note_sent_ahead();
        let interval = Duration::from_millis(END_CHECK_INTERVAL_MS);
        loop {
            let start = || Box::pin(tokio::time::sleep(interval));
            ready!(self.end_check.get_or_insert_with(start).as_mut().poll(cx));
            self.end_check = None;
            if self.stream.is_closed_by_peer() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.connection.close();
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.set_task(cx.waker());
        if self.connection.is_evicted() {
            return Poll::Ready(Err(self.abort()));
        }
        if self.pause.is_paused.get() {
            self.pause.waker.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        if self.quantum_bytes >= READ_QUANTUM_BYTES && self.memory.is_some() {
            self.quantum_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.set_receive_buffer();
        let before = buffer.filled().len();
        let read = match (self.connection.is_gate_closed(), self.ahead.is_empty()) {
            (false, true) => self.poll_read_request(cx, buffer),
            (false, false) => Poll::Ready(self.take_ahead(buffer)),
            (true, true) => self.poll_probe(cx),
            (true, false) => self.poll_end(cx),
        };
        if self.connection.is_gate_closed() {
            self.head_limit = None;
        }
        if self.connection.head_progress().is_some_and(|bytes| bytes > self.limits.head_bytes) {
            self.reject_head(cx, Kind::HeadTooLarge);
            buffer.set_filled(before);
            return Poll::Ready(Ok(()));
        }
        if read.is_pending() {
            return self.poll_head_limit(cx).map(Ok);
        }
        let read = ready!(read);
        let count = buffer.filled().len() - before;
        self.quantum_bytes += count;
        if count > 0 {
            self.connection.note_read(count);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.set_task(cx.waker());
        if self.connection.is_evicted() {
            return Poll::Ready(Err(self.abort()));
        }
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &written {
            self.connection.note_written(*count);
        }
        self.finish_write(cx, written)
    }

    /// The HTTP dispatcher flushes when it has written all that it has encoded.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.note_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Closes this side; the connection counts as open until the caller has closed its own.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.set_task(cx.waker());
        if self.connection.is_evicted() {
            return Poll::Ready(Err(self.abort()));
        }
        let closed = Pin::new(&mut self.stream).poll_shutdown(cx);
        if self.stream.is_lingering() {
            self.connection.note_closing();
        }
        let bytes = self.stream.discarded_bytes();
        if closed.is_ready() && bytes > 0 {
            info!(caller = %self.peer, bytes, "bytes after the last answer discarded");
        }
        closed
    }
}
