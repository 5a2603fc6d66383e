//! Encodes a request and decodes its answer on one connection.

use std::io;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message as Frame};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHeadType, StatusCode};
use bytes::{Bytes, BytesMut};
use leverstream_wire::{AnswerHead, ChunkDecoder, Framing, HeadDecoder, WireError};

/// The codec of one exchange.
///
/// The decoder of `actix-http` accepts malformed answers, so only its encoder is used.
pub(crate) struct ExchangeCodec {
    /// Encodes the request.
    encoder: ClientCodec,
    /// Whether the answer to the request has no body.
    is_head_request: bool,
    /// Whether the connection stays open after the answer.
    keeps_connection: bool,
    /// What is decoded next.
    next: Next,
}

/// The part of an answer that is decoded next.
enum Next {
    /// The head.
    Head(HeadDecoder),
    /// The remaining bytes of a body of known length.
    Length(usize),
    /// A chunked body.
    Chunks(ChunkDecoder),
    /// Nothing: the answer is complete.
    End,
}

/// A decoded part of an answer.
pub(crate) enum AnswerPart {
    /// The status and the header fields.
    Head(StatusCode, HeaderMap),
    /// Bytes of the body.
    Body(Bytes),
    /// The end of the body.
    End,
}

impl ExchangeCodec {
    /// Creates the codec for a request.
    pub fn new(is_head_request: bool) -> ExchangeCodec {
        ExchangeCodec {
            encoder: ClientCodec::default(),
            is_head_request,
            keeps_connection: false,
            next: Next::Head(HeadDecoder::default()),
        }
    }

    /// Returns whether the whole answer has been decoded.
    pub fn is_at_end(&self) -> bool {
        matches!(self.next, Next::End)
    }

    /// Returns whether another exchange may follow on the connection.
    pub fn keeps_connection(&self) -> bool {
        self.keeps_connection && self.is_at_end()
    }

    /// Prepares to decode the body and converts the head.
    fn begin_body(&mut self, head: AnswerHead) -> Result<AnswerPart, WireError> {
        self.keeps_connection = head.keeps_connection();
        self.next = match head.framing(self.is_head_request)? {
            // If the body is terminated by the end of the connection, truncation cannot be detected.
            Framing::UntilClose => return Err(WireError::Malformed),
            Framing::Empty | Framing::Length(0) => Next::End,
            Framing::Length(length) => Next::Length(length),
            Framing::Chunked => Next::Chunks(ChunkDecoder::default()),
        };
        convert_head(head)
    }

    /// Decodes the next part; returns `None` if more bytes are needed.
    fn decode_part(&mut self, buffer: &mut BytesMut) -> Result<Option<AnswerPart>, WireError> {
        match &mut self.next {
            Next::Head(decoder) => match decoder.decode(buffer)? {
                Some(head) => self.begin_body(head).map(Some),
                None => Ok(None),
            },
            Next::Length(_) if buffer.is_empty() => Ok(None),
            Next::Length(left_bytes) => {
                let part = buffer.split_to(buffer.len().min(*left_bytes));
                *left_bytes -= part.len();
                if *left_bytes == 0 {
                    self.next = Next::End;
                }
                Ok(Some(AnswerPart::Body(part.freeze())))
            }
            Next::Chunks(decoder) => {
                let is_whole = decoder.decode(buffer)?;
                let part = decoder.take_body();
                if is_whole {
                    self.next = Next::End;
                }
                match part.is_empty() {
                    false => Ok(Some(AnswerPart::Body(part))),
                    true => Ok(is_whole.then_some(AnswerPart::End)),
                }
            }
            Next::End => Ok(Some(AnswerPart::End)),
        }
    }
}

impl Decoder for ExchangeCodec {
    type Item = AnswerPart;
    type Error = io::Error;

    /// Decodes a part of the answer; a malformed one is an error of kind `InvalidData`.
    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<AnswerPart>> {
        self.decode_part(buffer).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Decodes a part after the end of the connection. The caller detects an incomplete answer.
    fn decode_eof(&mut self, buffer: &mut BytesMut) -> io::Result<Option<AnswerPart>> {
        self.decode(buffer)
    }
}

impl Encoder<Frame<(RequestHeadType, BodySize)>> for ExchangeCodec {
    type Error = io::Error;

    /// Encodes a part of the request.
    fn encode(
        &mut self,
        frame: Frame<(RequestHeadType, BodySize)>,
        buffer: &mut BytesMut,
    ) -> io::Result<()> {
        self.encoder.encode(frame, buffer)
    }
}

/// Converts a head into the types of the response to the caller.
fn convert_head(head: AnswerHead) -> Result<AnswerPart, WireError> {
    let status = StatusCode::from_u16(head.status.code()).map_err(|_| WireError::Malformed)?;
    let mut headers = HeaderMap::with_capacity(head.fields.len());
    for (name, value) in head.fields {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| WireError::Malformed)?;
        let value = HeaderValue::from_bytes(&value).map_err(|_| WireError::Malformed)?;
        headers.append(name, value);
    }
    Ok(AnswerPart::Head(status, headers))
}
