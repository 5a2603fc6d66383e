//! The stream of an accepted connection, which closes without a reset that could overtake an answer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use leverstream_pace::Clock;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How long a connection that this side has closed after an answer waits for the other side to close
/// it, in milliseconds.
const LINGER_LIMIT_MS: u64 = 5_000;

/// The time after its last written byte during which a connection that is closed lingers, in
/// milliseconds. An idle one is closed at once: its caller has had the answer for long, and a request
/// that crosses the close must stay unread.
const LINGER_AFTER_WRITE_MS: u64 = 1_000;

/// The bytes of the buffer into which a closed connection is read.
const DISCARD_BYTES: usize = 1 << 10;

/// The stream of an accepted connection.
///
/// A connection that is dropped with unread bytes, or that bytes reach afterwards, is reset, and the
/// other side loses what it has not received yet. So a shutdown soon after a write closes this side,
/// and ends when the other side is closed, too; what still comes in is discarded. RFC 9112, section
/// 9.6, describes this.
pub struct LingerStream {
    /// The TCP stream.
    stream: TcpStream,
    /// The clock.
    clock: Clock,
    /// When the last bytes were written, if any were.
    written_ms: Option<u64>,
    /// Whether the other side is closed.
    is_ended: bool,
    /// Whether this side is closed.
    is_closed: bool,
    /// When the other side must be closed, after this one is.
    limit: Option<Pin<Box<Sleep>>>,
    /// The bytes that were discarded after this side was closed.
    discarded_bytes: usize,
}

impl LingerStream {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream, clock: Clock) -> LingerStream {
        LingerStream {
            stream,
            clock,
            written_ms: None,
            is_ended: false,
            is_closed: false,
            limit: None,
            discarded_bytes: 0,
        }
    }

    /// Tells whether this side is closed and waits for the other one.
    pub fn is_lingering(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns how many bytes were discarded after this side was closed.
    pub fn discarded_bytes(&self) -> usize {
        self.discarded_bytes
    }

    /// Makes the connection end with a reset, which drops what the operating system still holds for
    /// the other side.
    pub fn reset_on_drop(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Sets the size of the receive buffer in the operating system, which doubles it.
    pub fn set_receive_buffer(&self, bytes: u32) -> io::Result<()> {
        SockRef::from(&self.stream).set_recv_buffer_size(bytes as usize)
    }

    /// Returns whether the operating system holds bytes that the other side does not take.
    pub fn has_unsent(&self) -> bool {
        !self.polls(PollFlags::OUT)
    }

    /// Returns whether the other side has closed the connection, also behind bytes that have not been read.
    pub fn is_closed_by_peer(&self) -> bool {
        self.polls(PollFlags::RDHUP)
    }

    /// Returns whether the operating system reports one of the events, an error, or the end of the connection now.
    fn polls(&self, events: PollFlags) -> bool {
        let mut fds = [PollFd::new(&self.stream, events)];
        poll(&mut fds, Some(&Timespec::default())).is_ok_and(|count| count > 0)
    }

    /// Tells whether bytes were written so recently that the other side may not have received them.
    fn has_recent_write(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.written_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < LINGER_AFTER_WRITE_MS)
    }

    /// Discards what the other side still sends until it is closed or the time for that is over.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(limit) = &mut self.limit else { return Poll::Ready(()) };
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
        self.limit = None;
        Poll::Ready(())
    }
}

impl AsyncRead for LingerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let is_empty = buffer.filled().len() == before && buffer.remaining() > 0;
        self.is_ended |= read.is_err() || is_empty;
        Poll::Ready(read)
    }
}

impl AsyncWrite for LingerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        self.written_ms = Some(self.clock.now_ms());
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_closed {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.is_closed = true;
            if !self.is_ended && self.has_recent_write() {
                let limit = tokio::time::sleep(Duration::from_millis(LINGER_LIMIT_MS));
                self.limit = Some(Box::pin(limit));
            }
        }
        self.poll_linger(cx).map(Ok)
    }
}
