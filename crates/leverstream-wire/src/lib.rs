//! HTTP/1.1 as a client, over connections that one exchange owns at a time.
//!
//! The pools inside ready-made clients hide whether a byte was written, and some end a cut body as
//! if it were whole. Here [`Progress`] says how far an exchange came, an [`Answer`] is whole or not there
//! at all, and a [`Conn`] is kept only if nothing is left on it. Heads are parsed by `httparse`.

mod answer;
mod conn;
mod framing;
mod request;

pub use answer::Answer;
pub use conn::{Conn, Progress, WireError};
pub use request::Head;
