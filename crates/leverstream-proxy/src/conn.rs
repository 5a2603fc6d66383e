//! An HTTP/1.1 connection that reports how far an exchange came and detects truncated answers.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::Message as Frame;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use leverstream_error::Kind;
use tokio::net::TcpStream;
use tracing::Instrument;

use crate::codec::{AnswerPart, ExchangeCodec};
use crate::message::Message;

/// How far an exchange has come, which decides whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No byte of the request was written.
    Unsent,
    /// Some of the request may have been written.
    Sent,
}

/// The error of an exchange without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeError {
    /// The kind of error that the caller gets.
    pub kind: Kind,
}

/// One connection, owned by one exchange at a time.
///
/// It uses the encoder of `awc` but not that client itself, because the client's pool hides whether a
/// byte was written, and the client ends a truncated body as if it were whole.
pub struct Conn {
    /// The TCP stream.
    stream: TcpStream,
}

/// The head of an answer and the connection on which its body arrives.
pub(crate) struct ReceivedAnswer {
    /// The status of the answer.
    pub status: StatusCode,
    /// The header fields of the answer.
    pub headers: HeaderMap,
    /// The body, still to be read.
    pub body: IncomingBody,
}

/// The body of an answer.
pub(crate) struct IncomingBody {
    /// The connection, until the end of the body.
    framed: Option<Framed<TcpStream, ExchangeCodec>>,
    /// The connection after the end of the body, if it can be reused.
    reusable: Option<Conn>,
}

impl Conn {
    /// Connects to an address.
    pub async fn open(address: SocketAddr) -> std::io::Result<Conn> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Conn { stream })
    }

    /// Returns whether an idle connection is still open and has no unread bytes.
    pub fn is_clean(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// `stage` moves to [`Stage::Sent`] before the first byte is written to the socket, so that the
    /// code that drops this future knows whether the request may have run.
    pub(crate) async fn exchange(
        self,
        message: Message,
        stage: &Rc<Cell<Stage>>,
    ) -> Result<ReceivedAnswer, ExchangeError> {
        let codec = ExchangeCodec::new(message.method == Method::HEAD);
        let mut framed = Framed::new(self.stream, codec);
        let (head, body) = message.into_parts();
        let size = body.size();
        encode_frame(&mut framed, Frame::Item((head.into(), size)))?;
        if !body.start.is_empty() {
            encode_frame(&mut framed, Frame::Chunk(Some(body.start)))?;
        }
        if body.rest.is_none() {
            finish_body(&mut framed, size)?;
        }
        stage.set(Stage::Sent);
        flush(&mut framed).instrument(tracing::trace_span!("send")).await?;
        let rest = body.rest.and_then(|rest| rest.borrow_mut().take());
        if let Some(mut rest) = rest {
            send_rest(&mut framed, &mut rest, size).await?;
        }
        let span = tracing::trace_span!("first-byte");
        let (status, headers) = read_head(&mut framed).instrument(span).await?;
        Ok(ReceivedAnswer { status, headers, body: IncomingBody::new(framed) })
    }
}

impl IncomingBody {
    /// Prepares to read the body that the head announces, if there is one.
    fn new(framed: Framed<TcpStream, ExchangeCodec>) -> IncomingBody {
        if framed.codec_ref().is_at_end() {
            return IncomingBody { framed: None, reusable: reusable(framed) };
        }
        IncomingBody { framed: Some(framed), reusable: None }
    }

    /// Reads the next part of the body; returns none only at the end that the framing marks.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let Some(framed) = &mut self.framed else { return Ok(None) };
        match poll_fn(|cx| Pin::new(&mut *framed).next_item(cx)).await {
            Some(Ok(AnswerPart::Body(part))) => Ok(Some(part)),
            Some(Ok(AnswerPart::End)) => {
                self.reusable = self.framed.take().and_then(reusable);
                Ok(None)
            }
            Some(Ok(AnswerPart::Head(..))) => Err(ExchangeError { kind: Kind::AnswerInvalid }),
            Some(Err(error)) => Err(ExchangeError { kind: read_error_kind(&error) }),
            // The connection ended before the body did.
            None => Err(ExchangeError { kind: Kind::AnswerCut }),
        }
    }

    /// Takes the connection for another exchange, if the body has ended and it can be reused.
    pub fn take_reusable(&mut self) -> Option<Conn> {
        self.reusable.take()
    }
}

/// Returns the connection for another exchange, unless the answer ends it or bytes are left in its buffers.
fn reusable(framed: Framed<TcpStream, ExchangeCodec>) -> Option<Conn> {
    let has_leftover_bytes = !framed.is_read_buf_empty() || !framed.is_write_buf_empty();
    let is_reusable = framed.codec_ref().keeps_connection() && !has_leftover_bytes;
    is_reusable.then(|| Conn { stream: framed.into_parts().io })
}

/// Encodes a frame into the write buffer of the connection.
fn encode_frame(
    framed: &mut Framed<TcpStream, ExchangeCodec>,
    frame: Frame<(actix_http::RequestHeadType, BodySize)>,
) -> Result<(), ExchangeError> {
    Pin::new(framed).write(frame).map_err(|_| ExchangeError { kind: Kind::BadRequest })
}

/// Encodes the end of a body, if its framing marks one.
fn finish_body(
    framed: &mut Framed<TcpStream, ExchangeCodec>,
    size: BodySize,
) -> Result<(), ExchangeError> {
    match size {
        BodySize::None | BodySize::Sized(0) => Ok(()),
        BodySize::Sized(_) | BodySize::Stream => encode_frame(framed, Frame::Chunk(None)),
    }
}

/// Writes the buffer to the socket.
async fn flush(framed: &mut Framed<TcpStream, ExchangeCodec>) -> Result<(), ExchangeError> {
    let flushed = poll_fn(|cx| {
        Pin::new(&mut *framed).flush::<Frame<(actix_http::RequestHeadType, BodySize)>>(cx)
    });
    flushed.await.map_err(|_| ExchangeError { kind: Kind::SendFailed })
}

/// Streams the rest of a body as it arrives from the caller.
async fn send_rest(
    framed: &mut Framed<TcpStream, ExchangeCodec>,
    rest: &mut actix_web::web::Payload,
    size: BodySize,
) -> Result<(), ExchangeError> {
    while let Some(chunk) = rest.next().await {
        let chunk = chunk.map_err(|_| ExchangeError { kind: Kind::SendFailed })?;
        encode_frame(framed, Frame::Chunk(Some(chunk))).map_err(as_send_failure)?;
        flush(framed).await?;
    }
    finish_body(framed, size).map_err(as_send_failure)?;
    flush(framed).await
}

/// Maps a failure after a part of the request was sent, as the request may have run.
fn as_send_failure(_: ExchangeError) -> ExchangeError {
    ExchangeError { kind: Kind::SendFailed }
}

/// Reads the head of an answer.
async fn read_head(
    framed: &mut Framed<TcpStream, ExchangeCodec>,
) -> Result<(StatusCode, HeaderMap), ExchangeError> {
    match poll_fn(|cx| Pin::new(&mut *framed).next_item(cx)).await {
        Some(Ok(AnswerPart::Head(status, headers))) if !status.is_informational() => {
            Ok((status, headers))
        }
        Some(Ok(_)) => Err(ExchangeError { kind: Kind::AnswerInvalid }),
        Some(Err(error)) => Err(ExchangeError { kind: read_error_kind(&error) }),
        None => Err(ExchangeError { kind: Kind::AnswerCut }),
    }
}

/// Returns the kind of error that the caller gets if an answer could not be read.
fn read_error_kind(error: &std::io::Error) -> Kind {
    match error.kind() {
        std::io::ErrorKind::InvalidData => Kind::AnswerInvalid,
        _ => Kind::AnswerCut,
    }
}
