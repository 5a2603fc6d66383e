use std::net::SocketAddr;
use std::time::Duration;

use actix::Addr;
use leverstream_pace::Backoff;
use leverstream_platform::{Change, Listing, Store, StoreError, StoreItem};
use leverstream_table::ServiceDoc;
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;

use crate::control::Control;
use crate::messages::{GetDuty, Hints, Repair, Stored};

/// The kind of the table's objects, each under its service's name.
pub const TABLE_KIND: &str = "table";

/// The kind of the lagging list of VMs.
const VMS_KIND: &str = "vms";

/// How often a process that does not watch looks whether it should.
const IDLE_MS: u64 = 250;

/// The first wait after a failed call.
const BACKOFF_MS: u64 = 200;

/// The longest wait after failed calls.
const BACKOFF_LIMIT_MS: u64 = 10_000;

/// The time between two reads of the list of VMs by a watcher.
const VMS_MS: u64 = 1_000;

/// The time between two reads of the list of VMs by a process that knows no other.
const ALONE_VMS_MS: u64 = 1_000;

/// A VM of the lagging list.
#[derive(Clone, Debug, Deserialize)]
struct Vm {
    /// Where its peers' listener is, if it is one of leverstream's own.
    #[serde(default)]
    peer_address: Option<SocketAddr>,
    /// The backend servers that run on it.
    #[serde(default)]
    backends: Vec<SocketAddr>,
    /// Whether it is meant to stay.
    state: VmState,
}

/// Whether a VM is meant to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum VmState {
    /// It runs.
    Live,
    /// It is about to be replaced.
    Leaving,
}

/// Watches the store as long as this process is chosen to.
pub async fn watch(store: Store, control: Addr<Control>, wait_ms: u64) {
    let mut backoff = Backoff::new(BACKOFF_MS, BACKOFF_LIMIT_MS);
    let mut after = None;
    loop {
        match control.send(GetDuty).await {
            Ok(duty) if duty.is_watcher => {}
            Ok(_) => {
                after = None;
                sleep(IDLE_MS).await;
                continue;
            }
            Err(_) => return,
        }
        match listen(&store, &control, after, wait_ms).await {
            Ok(revision) => {
                backoff.reset();
                after = Some(revision);
            }
            Err(error) => {
                let pause_ms = backoff.next_delay_ms(&mut rand::rng());
                log::warn!("store: {error}; the next try is in {pause_ms} ms.");
                after = None;
                sleep(pause_ms).await;
            }
        }
    }
}

/// Reads the list of VMs: while this process knows no other, and as long as it is a watcher.
pub async fn list_vms(store: Store, control: Addr<Control>) {
    let mut backoff = Backoff::new(BACKOFF_MS, BACKOFF_LIMIT_MS);
    loop {
        let Ok(duty) = control.send(GetDuty).await else { return };
        if !duty.is_watcher && !duty.is_alone {
            sleep(VMS_MS).await;
            continue;
        }
        let pause_ms = match store.list_kind(VMS_KIND).await {
            Ok(listing) => {
                backoff.reset();
                control.do_send(read_vms(&listing));
                if duty.is_alone { ALONE_VMS_MS } else { VMS_MS }
            }
            Err(_) => backoff.next_delay_ms(&mut rand::rng()),
        };
        sleep(pause_ms).await;
    }
}

/// Sorts the list of VMs into those of the fleet and the backend servers that leave.
fn read_vms(listing: &Listing<Value>) -> Hints {
    let read = |item: &StoreItem<Value>| {
        let content = item.content.as_ref().map_err(ToString::to_string);
        let vm = content.and_then(|spec| Vm::deserialize(spec).map_err(|error| error.to_string()));
        vm.map_err(|error| log::error!("store: VM {} cannot be read: {error}.", item.name)).ok()
    };
    let vms: Vec<Vm> = listing.items.iter().filter_map(read).collect();
    let (live, leaving): (Vec<&Vm>, Vec<&Vm>) =
        vms.iter().partition(|vm| vm.state == VmState::Live);
    Hints {
        addresses: live.iter().filter_map(|vm| vm.peer_address).collect(),
        leaving: leaving.iter().flat_map(|vm| vm.backends.clone()).collect(),
    }
}

/// Lists all objects, or waits for those that change after a revision; returns the new revision.
///
/// A store that was restored from a backup no longer has the history after a later revision; the
/// error leads to a whole list.
async fn listen(
    store: &Store,
    control: &Addr<Control>,
    after: Option<u64>,
    wait_ms: u64,
) -> Result<u64, StoreError> {
    let (items, revision) = match after {
        None => {
            let listing = store.list_kind(TABLE_KIND).await?;
            (listing.items, listing.revision)
        }
        Some(after) => {
            let watched = store.watch_kind(TABLE_KIND, after, wait_ms).await?;
            (watched.changes.into_iter().filter_map(set_item).collect(), watched.revision)
        }
    };
    let docs = items.iter().filter_map(read_item).collect();
    let repairs = control.send(Stored { docs, is_complete: after.is_none() }).await;
    for repair in repairs.unwrap_or_default() {
        write_back(store, repair).await;
    }
    Ok(revision)
}

/// The object that a change has set; those removed by hand are written back at the next whole list.
fn set_item(change: Change<Value>) -> Option<StoreItem<Value>> {
    match change {
        Change::Set(item) => Some(item),
        Change::Removed(name) => {
            log::warn!("store: {name} was removed by hand.");
            None
        }
    }
}

/// Reads the document of an object; one that cannot be read is reported and left alone.
fn read_item(item: &StoreItem<Value>) -> Option<(ServiceDoc, u64)> {
    let doc = match &item.content {
        Ok(spec) => read_doc(spec),
        Err(error) => Err(error.to_string()),
    };
    doc.map_err(|error| log::error!("store: {} cannot be read: {error}.", item.name))
        .ok()
        .map(|doc| (doc, item.revision))
}

/// Reads a document of the table.
pub fn read_doc(spec: &Value) -> Result<ServiceDoc, String> {
    ServiceDoc::from_json(spec.to_string().as_bytes())
}

/// Writes a document of the table.
pub fn write_doc(doc: &ServiceDoc) -> Value {
    // A document is written by serde as an object; it reads back.
    serde_json::from_slice(&doc.to_json()).unwrap_or_default()
}

/// Writes back a document that the platform holds in too old a version.
///
/// Whoever comes first wins; the others' conditional updates fail and do no harm.
async fn write_back(store: &Store, repair: Repair) {
    let jitter_ms = rand::rng().random_range(0..100);
    sleep(jitter_ms).await;
    let service = &repair.doc.service;
    let spec = write_doc(&repair.doc);
    let written = match repair.expected {
        0 => store.create(TABLE_KIND, service, spec).await,
        revision => store.replace(TABLE_KIND, service, spec, Some(revision)).await,
    };
    match written {
        Ok(()) => log::warn!("store: {service} was behind and is written back."),
        Err(error) => log::info!("store: {service} was behind and is not written back: {error}."),
    }
}

/// Sleeps for so many milliseconds.
async fn sleep(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
