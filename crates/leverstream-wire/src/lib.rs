//! An HTTP/1.1 client over connections that one exchange owns at a time, and the stream of accepted
//! connections ([`LingerStream`]).
//!
//! The pools of existing clients hide whether a byte was written, and some end a truncated body as
//! if it were whole. Here [`Progress`] reports whether a request may have been sent, an [`Answer`]
//! is always whole, and a [`Conn`] is reusable only if no bytes are left on it. Heads are parsed by
//! `httparse`.

mod answer;
mod chunked;
mod conn;
mod framing;
mod grant;
mod linger;
mod receive;
mod request;

pub use answer::Answer;
pub use conn::{Conn, Progress, WireError};
pub use grant::MemoryGrant;
pub use linger::LingerStream;
pub use request::{Message, RequestHead};
