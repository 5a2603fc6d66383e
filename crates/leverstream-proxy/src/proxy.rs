//! The state and settings that all traffic threads of a process share.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use leverstream_route::Picker;
use leverstream_ticket::{Ledger, TicketIssuer};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::ask::{CachedStem, ServeRequest, StemRequest};
use crate::{Clock, Metrics, Observation, Snapshot};

/// The state that all traffic threads of a process share.
pub struct Proxy {
    /// The current view of the fleet and the service table.
    pub snapshot: ArcSwap<Snapshot>,
    /// The clock of the process.
    pub clock: Clock,
    /// Issues and checks the tickets of this process.
    pub ticket_issuer: TicketIssuer,
    /// The requests that ran or run under tickets that are still valid.
    pub ledger: Arc<Ledger>,
    /// The metrics of the request path.
    pub metrics: Metrics,
    /// The strategy that chooses a backend server for a request.
    pub picker: &'static Picker,
    /// The timeouts and size limits.
    pub settings: ProxySettings,
    /// Carries observations to the control thread.
    pub observations: mpsc::Sender<Observation>,
    /// Carries requests for the ticket stems of other VMs to the control thread.
    pub stem_requests: mpsc::Sender<StemRequest>,
    /// Carries requests to serve a service that this VM does not serve yet to the control thread.
    pub serve_requests: mpsc::Sender<ServeRequest>,
    /// Ticket stems of other VMs, by the process id of the VM.
    pub stems: Mutex<HashMap<u64, CachedStem>>,
}

/// The timeouts and size limits of the request path.
#[derive(Clone, Copy, Debug)]
pub struct ProxySettings {
    /// How long a caller may cache the answer that tells it where to connect.
    pub answer_holds_ms: u64,
    /// The timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// The largest answer that is buffered whole for a request that must run at most once.
    pub max_answer_bytes: usize,
}

impl Proxy {
    /// The current time on the clock of the process.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}
