//! A client for callers: it asks leverstream where to connect, caches the answer and retries requests.
//!
//! All tries of a request carry the same ticket and idempotency key. A request that may not be repeated thus runs at
//! most once, and a retry after a lost answer receives the stored one.

mod caller;
mod client;
mod error;

pub use actix_http::Method;
pub use caller::{CallRequest, Caller, Reply};
pub use client::{Client, ClientRequest, ExchangeError};
pub use error::CallError;
pub use leverstream_ask::{ConnectAddress, ConnectAnswer};
pub use leverstream_wire::Answer;
