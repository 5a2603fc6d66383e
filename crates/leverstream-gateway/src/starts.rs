//! Decides how a VM in the entry set starts with the allotments of workspaces.
//!
//! If it has a report from another VM that has run for a whole window, it starts from what that VM
//! knows. Otherwise all VMs were lost: it starts with a fraction of each burst and records the time
//! in the store under the VM's name. If the record shows that the previous process started this way
//! within the same window, the VM starts with empty buckets and the rate alone. No two processes
//! write the same object, and a process writes the record before it uses the fraction.

use std::rc::Rc;
use std::time::Duration;

use leverstream_pace::Clock;
use leverstream_platform::{Store, StoreError};
use leverstream_workspace::STARTUP_WINDOW_MS;
use serde::{Deserialize, Serialize};
use tracing::info;

use crate::admission::Admission;
use crate::mesh::Mesh;

/// The kind of the objects in the store.
const KIND: &str = "allotment-starts";

/// The polling interval.
const POLL_INTERVAL_MS: u64 = 20;

/// How long the VM waits for reports of others.
const PEER_WAIT_MS: u64 = 60;

/// How long the decision waits while no request arrives: entry VMs report to each other five times
/// a second.
const IDLE_WAIT_MS: u64 = 250;

/// The content of an object.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Record {
    /// When a process of this VM last started with a fraction of each burst, in milliseconds since
    /// the machine's boot.
    began_machine_ms: u64,
}

/// How a VM starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// From the reports of VMs that have run for a whole window.
    Told,
    /// With a fraction of each burst.
    Part,
    /// With empty buckets; only the rate admits requests.
    Empty,
}

/// Decides how this VM starts with the allotments.
pub(crate) struct StartDecider {
    /// The VM's name.
    pub vm: String,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// The clock.
    pub clock: Clock,
    /// The store.
    pub store: Store,
    /// The allotments.
    pub admission: Rc<Admission>,
    /// The other VMs.
    pub mesh: Rc<Mesh>,
}

impl StartDecider {
    /// Decides soon after this VM joins the entry set, if that is within one window of its start.
    ///
    /// The decision needs the store, which has just delivered the workspaces but may be unavailable
    /// when the first of their requests arrives. A process that cannot read how the previous one
    /// started uses a fraction of each burst again.
    pub async fn run(self) {
        while !self.is_due() && self.clock.now_ms() < STARTUP_WINDOW_MS {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        let request = self.admission.until_request();
        // By then, with or without a request, the reports of VMs that have run for longer have
        // arrived.
        let _ = tokio::time::timeout(Duration::from_millis(IDLE_WAIT_MS), request).await;
        if !self.is_first_start && self.clock.now_ms() < STARTUP_WINDOW_MS {
            let start = self.decide().await;
            info!(?start, after_ms = self.clock.now_ms(), "allotments begin");
            if start == Start::Empty {
                self.admission.start_empty();
            }
        }
        self.admission.mark_start_decided();
    }

    /// Tells whether this VM is in the entry set and workspaces have allotments.
    fn is_due(&self) -> bool {
        self.mesh.takes_callers() && self.admission.has_bounds()
    }

    /// Decides how this process starts.
    async fn decide(&self) -> Start {
        let deadline_ms = self.clock.now_ms() + PEER_WAIT_MS;
        while !self.admission.has_elder_report(self.clock.now_ms()) {
            if self.clock.now_ms() >= deadline_ms {
                return self.decide_by_store().await;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        Start::Told
    }

    /// Decides by the start time of the previous process. If the store is unavailable, callers are
    /// served rather than refused.
    async fn decide_by_store(&self) -> Start {
        let now_ms = self.clock.since_boot_ms();
        let stored = match self.store.read(KIND, &self.vm).await {
            Ok(stored) => stored,
            Err(error) => {
                info!(%error, "failed to read how the previous process started");
                return Start::Part;
            }
        };
        let record =
            stored.and_then(|item| serde_json::from_value::<Record>(item.content.ok()?).ok());
        // A record later than the present time is from before a reboot, and older than a window, as
        // a reboot takes longer.
        let age_ms = record.and_then(|record| now_ms.checked_sub(record.began_machine_ms));
        if age_ms.is_some_and(|age_ms| age_ms < STARTUP_WINDOW_MS) {
            return Start::Empty;
        }
        if let Err(error) = self.record_start(record.is_some(), now_ms).await {
            info!(%error, "failed to record how this process starts");
        }
        Start::Part
    }

    /// Records in the store that this process starts with a fraction of each burst.
    async fn record_start(&self, is_stored: bool, now_ms: u64) -> Result<(), StoreError> {
        let spec = serde_json::json!(Record { began_machine_ms: now_ms });
        match is_stored {
            true => self.store.replace(KIND, &self.vm, spec, None).await,
            false => self.store.create(KIND, &self.vm, spec).await,
        }
    }
}
