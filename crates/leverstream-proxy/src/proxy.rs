use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use leverstream_route::Picker;
use leverstream_ticket::{Ledger, TicketIssuer};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::ask::{HeldStem, ServeRequest, StemRequest};
use crate::{Clock, Metrics, Observation, Snapshot};

/// What all traffic threads of a process share.
pub struct Proxy {
    /// What is known of the fleet and the table.
    pub snapshot: ArcSwap<Snapshot>,
    /// The process's clock.
    pub clock: Clock,
    /// Makes and checks this process's tickets.
    pub mint: TicketIssuer,
    /// The work begun under tickets that still hold.
    pub ledger: Arc<Ledger>,
    /// The counts.
    pub metrics: Metrics,
    /// How backend servers are chosen.
    pub picker: &'static Picker,
    /// The times and bounds.
    pub settings: ProxySettings,
    /// Where observations go.
    pub observations: mpsc::Sender<Observation>,
    /// Where stems of other VMs are asked for.
    pub stem_requests: mpsc::Sender<StemRequest>,
    /// Where services are asked for that are not served here.
    pub serve_requests: mpsc::Sender<ServeRequest>,
    /// Stems of other VMs by process.
    pub stems: Mutex<HashMap<u64, HeldStem>>,
}

/// The times and bounds of the path of a request.
#[derive(Clone, Copy, Debug)]
pub struct ProxySettings {
    /// How long callers may keep an answer to where to connect.
    pub answer_holds_ms: u64,
    /// The longest that opening a connection may take.
    pub connect_timeout_ms: u64,
    /// The largest answer that is kept whole, in bytes.
    pub answer_limit_bytes: usize,
}

impl Proxy {
    /// The present time on the process's clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}
