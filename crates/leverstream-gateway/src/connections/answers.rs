//! The answers to the requests of a connection, until they are written or cut.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use leverstream_wire::{RequestBody, RequestGate};
use prometheus_client::encoding::EncodeLabelValue;

use super::Connection;
use crate::reply::body_bytes;

/// Why a request ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum CutCause {
    /// Its caller is gone.
    CallerLeft,
    /// Its caller was disconnected, as it left the answer unread.
    Unread,
    /// Its connection was closed to make room for others.
    Evicted,
    /// The process left.
    Stop,
}

impl CutCause {
    /// Returns the name of the cause in log lines.
    pub fn name(self) -> &'static str {
        match self {
            CutCause::CallerLeft => "caller-left",
            CutCause::Unread => "unread",
            CutCause::Evicted => "evicted",
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

/// A request whose handler runs, until it is dropped.
pub(crate) struct OpenRequest {
    /// Its connection.
    connection: Rc<Connection>,
}

impl OpenRequest {
    /// Opens a request on a connection that counts it already.
    pub(super) fn new(connection: Rc<Connection>) -> OpenRequest {
        OpenRequest { connection }
    }

    /// Returns whether its answer should be the last on its connection, as there are many.
    pub fn is_crowded(&self) -> bool {
        self.connection.pool.is_crowded()
    }

    /// Returns whether a body was announced and not read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.connection.unread_body.get() != RequestBody::None
    }

    /// Returns the answer, which counts as open until it is written.
    ///
    /// After an answer to a request whose body was not read, the rest of the body is discarded.
    pub fn respond(self, reply: Reply) -> Response<BoxBody> {
        let connection = Rc::clone(&self.connection);
        if self.has_unread_body() {
            connection.is_discarding.set(true);
            connection.open_gate(RequestGate::pass_everything);
        }
        connection.request_bytes.set(0);
        connection.unwritten.set(connection.unwritten.get() + 1);
        connection.set_leased(body_bytes(&reply.response) as usize);
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
pub(super) struct UnwrittenAnswer {
    /// Its connection.
    connection: Rc<Connection>,
    /// The bytes written on the connection when it was ready.
    started_bytes: u64,
    /// What is called when it is written or cut.
    on_end: Option<OnWriteEnd>,
}

impl UnwrittenAnswer {
    /// Ends the writing of the answer.
    pub(super) fn end(mut self, cut: Option<CutCause>) {
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
