use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, Interest, Ready};
use tokio::net::TcpStream;

use crate::Answer;
use crate::framing::{Chunks, Framing, ParsedHead, decode_chunks, framing, parse_head};

/// After how long without traffic a connection is probed, and how often, in seconds.
const KEEP_ALIVE_S: u64 = 1;

/// After how many unanswered probes a connection is given up.
const KEEP_ALIVE_PROBES: u32 = 3;

/// How long sent bytes may stay unacknowledged before a connection is given up.
const UNACKNOWLEDGED_MS: u64 = 3_000;

/// The room made for each read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// One connection, owned by one exchange at a time.
#[derive(Debug)]
pub struct Conn {
    /// The connection.
    stream: TcpStream,
    /// What was read and not yet used.
    read: BytesMut,
    /// Whether another exchange may follow.
    is_reusable: bool,
    /// For how long the other side may send nothing while its answer is waited for, if that is bounded.
    silence: Option<Duration>,
}

/// How far an exchange has come, for whoever drops it before its end.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether bytes of the request may have left.
    sent: Cell<bool>,
}

/// Why an exchange gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum WireError {
    /// the connection could not be opened
    Connect,
    /// the connection broke while the request was sent
    Send,
    /// the connection ended before the answer did
    Cut,
    /// the other side has gone silent
    Silent,
    /// the answer could not be read
    Garbled,
}

impl std::error::Error for WireError {}

impl WireError {
    /// Tells whether the other side has ended the connection after it was opened.
    pub fn is_broken(self) -> bool {
        matches!(self, WireError::Send | WireError::Cut)
    }
}

impl Progress {
    /// Tells whether bytes of the request may have left.
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }
}

impl Conn {
    /// Opens a connection. A silent other side is waited for: whoever uses it has a deadline, and
    /// what a cut path holds back may yet come.
    pub async fn open(address: SocketAddr) -> io::Result<Conn> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Conn { stream, read: BytesMut::new(), is_reusable: true, silence: None })
    }

    /// Bounds for how long the other side may send nothing while its answer is waited for: a large one may take long.
    pub fn limit_silence(&mut self, ms: u64) {
        self.silence = Some(Duration::from_millis(ms));
    }

    /// Opens a connection that notices within seconds when the other side has vanished, for calls
    /// that wait long.
    pub async fn open_watched(address: SocketAddr) -> io::Result<Conn> {
        let conn = Conn::open(address).await?;
        let socket = SockRef::from(&conn.stream);
        socket.set_tcp_keepalive(
            &TcpKeepalive::new()
                .with_time(Duration::from_secs(KEEP_ALIVE_S))
                .with_interval(Duration::from_secs(KEEP_ALIVE_S))
                .with_retries(KEEP_ALIVE_PROBES),
        )?;
        socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_MS)))?;
        Ok(conn)
    }

    /// Tells whether an idle connection is still open and has sent nothing unasked.
    pub fn is_clean(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.is_reusable
            && self.read.is_empty()
            && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Tells whether another exchange may follow the last one.
    pub fn is_reusable(&self) -> bool {
        self.is_reusable && self.read.is_empty()
    }

    /// Sends a request and reads answers until one is the request's own.
    ///
    /// `on_head` is shown each answer as soon as its head is read, without its body, and tells whether it is the
    /// request's own. One that belongs to an earlier request on this connection is passed over.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        is_head_request: bool,
        progress: &Progress,
        on_head: impl Fn(&Answer) -> bool,
    ) -> Result<Answer, WireError> {
        progress.sent.set(true);
        self.is_reusable = false;
        if let Some(early) = self.send(request, is_head_request, &on_head).await? {
            return Ok(early);
        }
        loop {
            let (answer, is_mine) = self.read_answer(is_head_request, true, &on_head).await?;
            if is_mine {
                return Ok(answer);
            }
            self.is_reusable = false;
        }
    }

    /// Sends a request; its answer is returned if that comes before all of it was taken. One to an earlier request on this
    /// connection is passed over here too.
    async fn send(
        &mut self,
        request: &[u8],
        is_head_request: bool,
        on_head: &impl Fn(&Answer) -> bool,
    ) -> Result<Option<Answer>, WireError> {
        let mut written = 0;
        while written < request.len() {
            match self.stream.try_write(&request[written..]) {
                Ok(0) => return Err(WireError::Send),
                Ok(count) => {
                    written += count;
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(WireError::Send),
            }
            // A write that waits must not keep an early answer from being read.
            let ready = self.stream.ready(Interest::READABLE | Interest::WRITABLE).await;
            let is_readable = ready.is_ok_and(Ready::is_readable);
            if !is_readable {
                continue;
            }
            if !self.reads_before_sent() {
                return Err(WireError::Cut);
            }
            if let Some((answer, true)) = self.early_answer(is_head_request, on_head).await? {
                return Ok(Some(answer));
            }
        }
        Ok(None)
    }

    /// Takes in what arrived while the request was still being sent; false at the end.
    fn reads_before_sent(&mut self) -> bool {
        self.read.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.read) {
            Ok(0) => false,
            Ok(_) => true,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    /// Reads an answer that came before all of the request was sent, with what `on_head` says of it; the connection ends with
    /// it if it is the request's own.
    async fn early_answer(
        &mut self,
        is_head: bool,
        on_head: &impl Fn(&Answer) -> bool,
    ) -> Result<Option<(Answer, bool)>, WireError> {
        if parse_head(&self.read)?.is_none() {
            return Ok(None);
        }
        let early = self.read_answer(is_head, false, on_head).await?;
        self.is_reusable = false;
        Ok(Some(early))
    }

    /// Reads one whole answer, informational ones passed over, and what `on_head` says of it.
    async fn read_answer(
        &mut self,
        is_head: bool,
        may_reuse: bool,
        on_head: &impl Fn(&Answer) -> bool,
    ) -> Result<(Answer, bool), WireError> {
        loop {
            let head = self.read_head().await?;
            if head.status >= 200 {
                let framing = framing(&head, is_head)?;
                let ParsedHead { status, fields, .. } = head;
                let mut answer = Answer { status, fields, body: Bytes::new() };
                let is_mine = on_head(&answer);
                answer.body = self.read_body(framing).await?;
                self.is_reusable = may_reuse && framing != Framing::Close && !answer.closes();
                return Ok((answer, is_mine));
            }
            if head.status == 101 {
                return Err(WireError::Garbled);
            }
        }
    }

    /// Reads one head.
    async fn read_head(&mut self) -> Result<ParsedHead, WireError> {
        loop {
            if !self.read.is_empty()
                && let Some(head) = parse_head(&self.read)?
            {
                let _ = self.read.split_to(head.length);
                return Ok(head);
            }
            if !self.fill().await? {
                return Err(WireError::Cut);
            }
        }
    }

    /// Reads a body.
    async fn read_body(&mut self, framing: Framing) -> Result<Bytes, WireError> {
        match framing {
            Framing::Empty => Ok(Bytes::new()),
            Framing::Length(length) => self.read_length(length).await,
            Framing::Chunked => self.read_chunks().await,
            Framing::Close => self.read_to_end().await,
        }
    }

    /// Reads a body of a known length.
    async fn read_length(&mut self, length: usize) -> Result<Bytes, WireError> {
        if length > ANSWER_LIMIT_BYTES {
            return Err(WireError::Garbled);
        }
        while self.read.len() < length {
            if !self.fill().await? {
                return Err(WireError::Cut);
            }
        }
        Ok(self.read.split_to(length).freeze())
    }

    /// Reads a body in chunks.
    async fn read_chunks(&mut self) -> Result<Bytes, WireError> {
        loop {
            if let Chunks::Whole(body, length) = decode_chunks(&self.read)? {
                let _ = self.read.split_to(length);
                return Ok(body.into());
            }
            if !self.fill().await? {
                return Err(WireError::Cut);
            }
        }
    }

    /// Reads a body that ends with the connection; one that is reset is not whole.
    async fn read_to_end(&mut self) -> Result<Bytes, WireError> {
        while self.fill().await? {}
        Ok(self.read.split().freeze())
    }

    /// Reads more; false at the end of the connection.
    async fn fill(&mut self) -> Result<bool, WireError> {
        if self.read.len() > ANSWER_LIMIT_BYTES {
            return Err(WireError::Garbled);
        }
        self.read.reserve(READ_BYTES);
        let read = self.stream.read_buf(&mut self.read);
        let read = match self.silence {
            Some(silence) => match tokio::time::timeout(silence, read).await {
                Ok(read) => read,
                Err(_) => return Err(WireError::Silent),
            },
            None => read.await,
        };
        match read {
            Ok(count) => Ok(count > 0),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Err(WireError::Silent),
            Err(_) => Err(WireError::Cut),
        }
    }
}
