//! The stream of an accepted connection, which can stop reading, ends if its answers are left unread,
//! and closes without a reset that could overtake an answer.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tracing::info;

use crate::connections::Connection;
use crate::memory::Memory;

/// How long a caller may leave its answer unread, in milliseconds.
const UNREAD_LIMIT_MS: u64 = 5_000;

/// How long a connection that this side has closed after an answer waits for its caller to close it,
/// in milliseconds.
const LINGER_LIMIT_MS: u64 = UNREAD_LIMIT_MS;

/// The time after its last written byte during which a connection that is closed lingers, in
/// milliseconds. An idle one is closed at once: its caller has had the answer for long, and a request
/// that crosses the close must stay unread.
const LINGER_AFTER_WRITE_MS: u64 = 1_000;

/// The bytes of the buffer into which a closed connection is read.
const DISCARD_BYTES: usize = 1 << 10;

/// The bytes after which the stream reports once that nothing is there, so that what was read is
/// handled first. The HTTP dispatcher reads up to 128 kB otherwise before it looks at any of it, also
/// of a body that is not to be read on.
const READ_QUANTUM_BYTES: usize = 16 << 10;

/// The stream of an accepted connection.
pub(crate) struct CallerStream {
    /// The TCP stream.
    stream: TcpStream,
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
    /// When the caller is disconnected, while it reads nothing of its answer.
    unread_limit: Option<Pin<Box<Sleep>>>,
    /// Whether the caller has closed its side.
    is_ended: bool,
    /// Whether this side is closed.
    is_closed: bool,
    /// When the caller must have closed its side, after this one is closed.
    linger_limit: Option<Pin<Box<Sleep>>>,
    /// The bytes that were discarded after this side was closed.
    discarded_bytes: usize,
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
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(CallerStream {
            stream,
            peer,
            connection,
            memory: memory.map(Arc::clone),
            pause: Rc::default(),
            quantum_bytes: 0,
            unread_limit: None,
            is_ended: false,
            is_closed: false,
            linger_limit: None,
            discarded_bytes: 0,
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

    /// Waits for the time limit of a blocked write, and then fails it.
    fn poll_unread_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let Some(memory) = &self.memory else { return Poll::Pending };
        let start = || Box::pin(tokio::time::sleep(Duration::from_millis(UNREAD_LIMIT_MS)));
        ready!(self.unread_limit.get_or_insert_with(start).as_mut().poll(cx));
        memory.meters().cut_off.inc();
        self.connection.note_cut_off();
        info!(caller = %self.peer, unread_ms = UNREAD_LIMIT_MS, "caller cut off");
        // A reset drops what the operating system still holds for the caller.
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            info!(caller = %self.peer, %error, "the connection can't be reset");
        }
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }

    /// Discards what the caller still sends until it closes its side or the time for that is over.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(limit) = &mut self.linger_limit else { return Poll::Ready(()) };
        let mut bytes = [0; DISCARD_BYTES];
        while limit.as_mut().poll(cx).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            self.discarded_bytes += buffer.filled().len();
            // After an error there is nothing left to wait for.
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
        }
        if self.discarded_bytes > 0 {
            let bytes = self.discarded_bytes;
            info!(caller = %self.peer, bytes, "bytes after the last answer discarded");
        }
        self.linger_limit = None;
        Poll::Ready(())
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
        self.poll_unread_limit(cx).map(Err)
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
        if self.pause.is_paused.get() {
            self.pause.waker.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        if self.quantum_bytes >= READ_QUANTUM_BYTES && self.memory.is_some() {
            self.quantum_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let count = buffer.filled().len() - before;
        self.quantum_bytes += count;
        match &read {
            Ok(()) if count > 0 => self.connection.note_read(),
            Ok(()) => self.is_ended |= buffer.remaining() > 0,
            Err(_) => self.is_ended = true,
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

    /// Closes this side, and waits until the caller has closed its own.
    ///
    /// A connection that is dropped with unread bytes, or that bytes reach afterwards, is reset, and
    /// the caller loses what it has not received yet. RFC 9112, section 9.6, describes this.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_closed {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.is_closed = true;
            if !self.is_ended && self.connection.was_written_within(LINGER_AFTER_WRITE_MS) {
                self.connection.note_closing();
                let limit = tokio::time::sleep(Duration::from_millis(LINGER_LIMIT_MS));
                self.linger_limit = Some(Box::pin(limit));
            }
        }
        self.poll_linger(cx).map(Ok)
    }
}
