//! An HTTP/1.1 client over connections that one exchange owns at a time, and the stream of accepted
//! connections ([`LingerStream`]).
//!
//! The pools of existing clients hide whether a byte was written, and some end a truncated body as
//! if it were whole. Here [`Progress`] reports whether a request may have been sent, an [`Answer`]
//! is always whole, and a [`Conn`] is reusable only if no bytes are left on it.
//!
//! Answers are parsed strictly (RFC 9110 and 9112): a malformed one is an error, and no part of it is returned. `httparse` parses
//! heads; what it accepts beyond the grammar is rejected here. [`HeadDecoder`] and [`ChunkDecoder`] are for clients that stream a
//! body.

mod answer;
mod chunked;
mod conn;
mod framing;
mod grammar;
mod grant;
mod head;
mod linger;
mod receive;
mod request;
mod request_gate;
mod status;

pub use answer::Answer;
pub use chunked::ChunkDecoder;
pub use conn::{Conn, Progress, WireError};
pub use framing::Framing;
pub use grant::MemoryGrant;
pub use head::{AnswerHead, HeadDecoder, HttpVersion};
pub use linger::LingerStream;
pub use request::{Message, RequestHead};
pub use request_gate::{RequestBody, RequestGate};
pub use status::Status;
