//! The path of a request: where to connect, queue, pick, exchange, retry, relay, keep.
//!
//! Traffic threads share one [`Proxy`]. They read its [`Snapshot`] without locks and hand what they
//! observe back over a channel to the control thread, which publishes the next snapshot.

mod acquire;
mod admit;
mod answer;
mod ask;
mod attempt;
mod conn;
mod flight;
mod headers;
mod message;
mod metrics;
mod once;
mod pool;
mod proxy;
mod relay;
mod repeat;
mod serve;
mod snapshot;

pub use ask::{HeldStem, ServeRequest, StemRequest};
pub use conn::{Broken, Conn, Stage};
pub use flight::{BackendLive, FlightMark, Observation, ServiceKey, ServiceLive};
pub use headers::{DRAINING_HEADER, PROBE_HEADER, RELAYED_HEADER};
pub use leverstream_pace::Clock;
pub use metrics::Metrics;
pub use proxy::{Proxy, ProxySettings};
pub use serve::configure;
pub use snapshot::{BackendView, Members, ServiceView, Serving, Snapshot, VmView};
