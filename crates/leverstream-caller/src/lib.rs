//! A client for callers: asks where to connect, keeps the answer, retries as it is allowed to.
//!
//! A request that may not be repeated keeps its ticket and key through all its tries, so that the
//! work runs at most once and the caller ends with its real answer where there is one.

mod caller;
mod error;

pub use caller::{CallRequest, Caller, Reply};
pub use error::CallError;
pub use leverstream_ask::{ConnectAddress, ConnectAnswer};
