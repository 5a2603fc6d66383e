//! Accepted connections, and whether the answers to their requests are written whole.
//!
//! A request is open from the first byte that is read of it until the last byte of its answer is with the operating system
//! and, if the connection closes after it, the caller has closed it, too; or until its caller is gone. That is longer than its handler runs, which ends when the answer is ready.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use prometheus_client::encoding::EncodeLabelValue;

/// The size of a request from which on the buffers of its connection grow.
const GROWN_AT_BYTES: usize = 16 << 10;

/// The accepted connections of all listeners.
#[derive(Default)]
pub(crate) struct Connections {
    /// The number of connections with an open request or with an end that is under way.
    busy: Cell<usize>,
    /// Whether the process leaves now, so that whatever is open is cut.
    is_leaving: Cell<bool>,
    /// The number of connections whose buffers have grown.
    grown: Cell<usize>,
}

/// An accepted connection.
pub(crate) struct Connection {
    /// All connections.
    all: Rc<Connections>,
    /// Whether bytes were read that no handler works on yet.
    has_unhandled: Cell<bool>,
    /// The number of handlers that run.
    handlers: Cell<usize>,
    /// The number of answers that are ready and not written.
    unwritten: Cell<usize>,
    /// The answers that are encoded but not written.
    encoded: RefCell<Vec<UnwrittenAnswer>>,
    /// Whether this side has closed the connection and waits for its caller to do so.
    is_closing: Cell<bool>,
    /// Whether its caller was disconnected for leaving an answer unread.
    is_cut_off: Cell<bool>,
    /// The bytes that were written.
    written_bytes: Cell<u64>,
    /// The bytes that were read since the last answer.
    request_bytes: Cell<usize>,
    /// Whether its buffers have grown, which they keep as long as it is open.
    has_grown: Cell<bool>,
    /// Whether it counts as busy.
    is_busy: Cell<bool>,
}

/// Why a request ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum CutCause {
    /// Its caller is gone.
    CallerLeft,
    /// Its caller was disconnected, as it left the answer unread.
    Unread,
    /// The process left.
    Stop,
}

impl CutCause {
    /// Returns the name of the cause in log lines.
    pub fn name(self) -> &'static str {
        match self {
            CutCause::CallerLeft => "caller-left",
            CutCause::Unread => "unread",
            CutCause::Stop => "stop",
        }
    }
}

/// How the writing of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WriteEnd {
    /// Why the answer is not whole, if it isn't.
    pub cut: Option<CutCause>,
    /// The bytes that were written on its connection since it was ready, its head among them. Those
    /// of an earlier answer to the same caller may be among them.
    pub written_bytes: u64,
}

/// A function that is called when the writing of an answer has ended.
pub(crate) type OnWriteEnd = Box<dyn FnOnce(WriteEnd)>;

/// An answer, with what is called once it is written or cut.
pub(crate) struct Reply {
    /// The answer.
    pub response: Response<BoxBody>,
    /// What is called, if anything is.
    pub on_end: Option<OnWriteEnd>,
}

impl From<Response<BoxBody>> for Reply {
    fn from(response: Response<BoxBody>) -> Reply {
        Reply { response, on_end: None }
    }
}

impl Connections {
    /// Returns the number of connections that a planned stop waits for.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Notes that the process leaves now: what is still open is cut for that reason.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Returns why a request ends without a whole answer whose caller is not known to be at fault.
    pub fn cut_cause(&self) -> CutCause {
        if self.is_leaving.get() { CutCause::Stop } else { CutCause::CallerLeft }
    }

    /// Returns the number of connections whose buffers have grown.
    pub fn grown(&self) -> usize {
        self.grown.get()
    }

    /// Adds an accepted connection.
    pub fn open(self: &Rc<Connections>) -> Rc<Connection> {
        Rc::new(Connection {
            all: Rc::clone(self),
            has_unhandled: Cell::new(false),
            handlers: Cell::new(0),
            unwritten: Cell::new(0),
            encoded: RefCell::default(),
            is_closing: Cell::new(false),
            is_cut_off: Cell::new(false),
            written_bytes: Cell::new(0),
            request_bytes: Cell::new(0),
            has_grown: Cell::new(false),
            is_busy: Cell::new(false),
        })
    }
}

impl Connection {
    /// Returns whether its buffers have grown.
    pub fn has_grown(&self) -> bool {
        self.has_grown.get()
    }

    /// Notes that bytes were read. While a request is open, they count as its own.
    pub fn note_read(&self, bytes: usize) {
        self.request_bytes.set(self.request_bytes.get() + bytes);
        if self.request_bytes.get() > GROWN_AT_BYTES {
            self.note_grown();
        }
        if self.handlers.get() == 0 && self.unwritten.get() == 0 {
            self.has_unhandled.set(true);
            self.update();
        }
    }

    /// Notes that the operating system has taken bytes.
    pub fn note_written(&self, bytes: usize) {
        self.written_bytes.set(self.written_bytes.get() + bytes as u64);
    }

    /// Notes that the operating system has taken all bytes that were encoded so far.
    pub fn note_flushed(&self) {
        if self.encoded.borrow().is_empty() {
            return;
        }
        for answer in self.encoded.take() {
            answer.end(None);
        }
        self.update();
    }

    /// Notes that the caller is disconnected, as it left an answer unread.
    pub fn note_cut_off(&self) {
        self.is_cut_off.set(true);
    }

    /// Notes that this side has closed the connection and waits for its caller to do so.
    pub fn note_closing(&self) {
        self.is_closing.set(true);
        self.update();
    }

    /// Ends the connection: answers that are encoded but not written are cut.
    pub fn close(&self) {
        drop(self.encoded.take());
        self.has_unhandled.set(false);
        self.is_closing.set(false);
        self.update();
    }

    /// Notes that its buffers have grown.
    fn note_grown(&self) {
        if !self.has_grown.replace(true) {
            self.all.grown.set(self.all.grown.get() + 1);
        }
    }

    /// Starts the handling of a request.
    pub fn begin(self: Rc<Connection>) -> OpenRequest {
        self.has_unhandled.set(false);
        self.handlers.set(self.handlers.get() + 1);
        self.update();
        OpenRequest { connection: self }
    }

    /// Counts the connection as busy, or no longer: whether a request is open on it, or its end is under way.
    fn update(&self) {
        let has_request =
            self.has_unhandled.get() || self.handlers.get() > 0 || self.unwritten.get() > 0;
        let is_busy = has_request || self.is_closing.get();
        if self.is_busy.replace(is_busy) != is_busy {
            let busy = self.all.busy.get();
            self.all.busy.set(if is_busy { busy + 1 } else { busy - 1 });
        }
    }

    /// Returns why an answer on this connection is cut.
    fn cut_cause(&self) -> CutCause {
        if self.is_cut_off.get() { CutCause::Unread } else { self.all.cut_cause() }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_busy.get() {
            self.all.busy.set(self.all.busy.get() - 1);
        }
        if self.has_grown.get() {
            self.all.grown.set(self.all.grown.get() - 1);
        }
    }
}

/// A request whose handler runs, until it is dropped.
pub(crate) struct OpenRequest {
    /// Its connection.
    connection: Rc<Connection>,
}

impl OpenRequest {
    /// Returns its connection.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Returns the answer, which counts as open until it is written.
    pub fn respond(self, reply: Reply) -> Response<BoxBody> {
        let connection = Rc::clone(&self.connection);
        connection.request_bytes.set(0);
        connection.unwritten.set(connection.unwritten.get() + 1);
        drop(self);
        let answer = UnwrittenAnswer {
            started_bytes: connection.written_bytes.get(),
            on_end: reply.on_end,
            connection,
        };
        let track = |_: &mut _, body| TrackedBody { body, answer: Some(answer) };
        reply.response.map_body(track).map_into_boxed_body()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.connection.handlers.set(self.connection.handlers.get() - 1);
        self.connection.update();
    }
}

/// An answer that is ready and not written; it is cut if it is dropped.
struct UnwrittenAnswer {
    /// Its connection.
    connection: Rc<Connection>,
    /// The bytes written on the connection when it was ready.
    started_bytes: u64,
    /// What is called when it is written or cut.
    on_end: Option<OnWriteEnd>,
}

impl UnwrittenAnswer {
    /// Ends the writing of the answer.
    fn end(mut self, cut: Option<CutCause>) {
        self.report(cut);
    }

    /// Calls the function that waits for the end, once.
    fn report(&mut self, cut: Option<CutCause>) {
        let written_bytes = self.connection.written_bytes.get() - self.started_bytes;
        if let Some(on_end) = self.on_end.take() {
            on_end(WriteEnd { cut, written_bytes });
        }
    }
}

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        let cut = self.connection.cut_cause();
        self.report(Some(cut));
        self.connection.unwritten.set(self.connection.unwritten.get() - 1);
        self.connection.update();
    }
}

/// The body of an answer, which tells its connection when it is encoded.
struct TrackedBody {
    /// The body.
    body: BoxBody,
    /// The answer, until it is encoded.
    answer: Option<UnwrittenAnswer>,
}

impl TrackedBody {
    /// Hands the answer over to its connection, which ends it once it is written.
    fn note_encoded(&mut self) {
        if let Some(answer) = self.answer.take() {
            let connection = Rc::clone(&answer.connection);
            connection.encoded.borrow_mut().push(answer);
        }
    }
}

impl MessageBody for TrackedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = ready!(Pin::new(&mut self.body).poll_next(cx));
        if next.is_none() {
            self.note_encoded();
        }
        Poll::Ready(next)
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // The HTTP dispatcher doesn't poll a body without bytes.
        if matches!(self.body.size(), BodySize::None | BodySize::Sized(0)) {
            self.note_encoded();
        }
    }
}
