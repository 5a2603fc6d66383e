//! The request path of a VM: tells callers where to connect, queues requests, picks a backend
//! server, sends, retries and hedges the request, relays it to another VM, and stores the answers
//! of requests that must run at most once.
//!
//! Traffic threads share one [`Proxy`]. They read its [`Snapshot`] without locks and report their
//! observations over a channel to the control thread, which publishes the next snapshot.

mod acquire;
mod admit;
mod answer;
mod ask;
mod at_most_once;
mod attempt;
mod codec;
mod conn;
mod flight;
mod headers;
mod message;
mod metrics;
mod pool;
mod proxy;
mod relay;
mod repeatable;
mod serve;
mod snapshot;

pub use ask::{CachedStem, ServeRequest, StemRequest};
pub use conn::{Conn, ExchangeError, Stage};
pub use flight::{BackendState, InFlightEntry, Observation, ServiceKey, ServiceState};
pub use headers::{DRAINING_HEADER, PROBE_HEADER, RELAYED_HEADER};
pub use leverstream_pace::Clock;
pub use metrics::Metrics;
pub use proxy::{Proxy, ProxySettings};
pub use serve::configure;
pub use snapshot::{BackendView, Members, ServiceView, Serving, Snapshot, VmView};
