//! The request path of a VM: answers where callers connect, queues requests, picks a backend
//! server, exchanges, retries, hedges, relays to other VMs and stores the answers of keyed requests.
//!
//! Traffic threads share one [`Proxy`]. They read its [`Snapshot`] without locks and report their
//! observations over a channel to the control thread, which publishes the next snapshot.

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
pub use conn::{Conn, ExchangeError, Stage};
pub use flight::{BackendLive, InFlightEntry, Observation, ServiceKey, ServiceLive};
pub use headers::{DRAINING_HEADER, PROBE_HEADER, RELAYED_HEADER};
pub use leverstream_pace::Clock;
pub use metrics::Metrics;
pub use proxy::{Proxy, ProxySettings};
pub use serve::configure;
pub use snapshot::{BackendView, Members, ServiceView, Serving, Snapshot, VmView};
