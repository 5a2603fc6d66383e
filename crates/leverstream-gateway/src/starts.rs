//! How a VM that callers are sent to begins with the allotments of workspaces.
//!
//! One that hears another that has run for a window goes by what that one knows. Else all were lost: it begins with a part of
//! each burst, and the store holds when, under the VM's name. A process that finds there that the one before it began so
//! within the same window begins with nothing but the rate. No two processes write the same object, and whoever takes the
//! part has noted it first.

use std::rc::Rc;
use std::time::Duration;

use leverstream_pace::Clock;
use leverstream_platform::{Store, StoreError};
use leverstream_workspace::STARTUP_WINDOW_MS;
use serde::{Deserialize, Serialize};
use tracing::info;

use crate::admission::Admission;
use crate::mesh::Mesh;

/// The kind of the objects.
const KIND: &str = "allotment-starts";

/// How often it is looked whether callers are sent to this VM.
const LOOK_MS: u64 = 20;

/// How long the others are waited for.
const HEAR_MS: u64 = 60;

/// How long it is put off while no request comes: those that share the traffic tell each other something five times a second.
const UNASKED_MS: u64 = 250;

/// What an object holds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Record {
    /// When a process of this VM last began with a part of each burst, by the machine's clock.
    began_machine_ms: u64,
}

/// How a VM begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// As others that have run for long know.
    Told,
    /// With a part of each burst.
    Part,
    /// With nothing but the rate.
    Empty,
}

/// What deciding how a VM begins needs of it.
pub(crate) struct Starts {
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

impl Starts {
    /// Decides soon after callers are sent to this VM, if that is soon after its start.
    ///
    /// That rests on the store, which has just told of the workspaces and may be away by the time that the first of their
    /// requests comes: a process that cannot read how the last one began takes a part of each burst once more.
    pub async fn run(self) {
        while !self.is_due() && self.clock.now_ms() < STARTUP_WINDOW_MS {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        let is_asked = self.admission.until_asked();
        // Asked or not, by then it has heard those that have run for longer.
        let _ = tokio::time::timeout(Duration::from_millis(UNASKED_MS), is_asked).await;
        if !self.is_first_start && self.clock.now_ms() < STARTUP_WINDOW_MS {
            let start = self.decide().await;
            info!(?start, after_ms = self.clock.now_ms(), "allotments begin");
            if start == Start::Empty {
                self.admission.begin_empty();
            }
        }
        self.admission.begin();
    }

    /// Tells whether callers are sent to this VM, and workspaces have allotments.
    fn is_due(&self) -> bool {
        self.mesh.takes_callers() && self.admission.has_bounds()
    }

    /// Decides how this process begins.
    async fn decide(&self) -> Start {
        let until_ms = self.clock.now_ms() + HEAR_MS;
        while !self.admission.hears_elder(self.clock.now_ms()) {
            if self.clock.now_ms() >= until_ms {
                return self.decide_by_store().await;
            }
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        Start::Told
    }

    /// Decides by when the process before this one began. Without the store callers are served rather than refused.
    async fn decide_by_store(&self) -> Start {
        let now_ms = self.clock.since_boot_ms();
        let held = match self.store.read(KIND, &self.vm).await {
            Ok(held) => held,
            Err(error) => {
                info!(%error, "how the last process began could not be read");
                return Start::Part;
            }
        };
        let record =
            held.and_then(|item| serde_json::from_value::<Record>(item.content.ok()?).ok());
        // A machine that has started again since has been away for longer than a window.
        let age_ms = record.and_then(|record| now_ms.checked_sub(record.began_machine_ms));
        if age_ms.is_some_and(|age_ms| age_ms < STARTUP_WINDOW_MS) {
            return Start::Empty;
        }
        if let Err(error) = self.note(record.is_some(), now_ms).await {
            info!(%error, "how this process begins could not be noted");
        }
        Start::Part
    }

    /// Notes in the store that this process begins with a part of each burst.
    async fn note(&self, is_held: bool, now_ms: u64) -> Result<(), StoreError> {
        let spec = serde_json::json!(Record { began_machine_ms: now_ms });
        match is_held {
            true => self.store.replace(KIND, &self.vm, spec, None).await,
            false => self.store.create(KIND, &self.vm, spec).await,
        }
    }
}
