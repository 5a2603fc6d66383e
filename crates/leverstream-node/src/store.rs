//! Reads the table and the VM list from the store, and writes back documents that it lacks.

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
use crate::messages::{GetDuty, Repair, StoreListing, VmList};

/// The kind of the table's objects; each object has the name of its service.
pub const TABLE_KIND: &str = "table";

/// The kind of the platform's objects that describe VMs, one each; they may be out of date.
const VMS_KIND: &str = "vms";

/// How often a process that does not watch the store checks whether it should.
const DUTY_POLL_MS: u64 = 250;

/// The initial delay after a failed call.
const INITIAL_BACKOFF_MS: u64 = 200;

/// The maximum delay after failed calls.
const MAX_BACKOFF_MS: u64 = 10_000;

/// The interval at which a watcher reads the list of VMs.
const VMS_INTERVAL_MS: u64 = 1_000;

/// The interval at which a process that knows no other VM reads the list of VMs.
const ONLY_MEMBER_VMS_INTERVAL_MS: u64 = 1_000;

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize)]
struct Vm {
    /// The peer address, if the VM runs leverstream.
    #[serde(default)]
    peer_address: Option<SocketAddr>,
    /// The backend servers that run on it.
    #[serde(default)]
    backends: Vec<SocketAddr>,
    /// Whether the platform will replace the VM.
    state: VmState,
}

/// Whether the platform will replace a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum VmState {
    /// The VM is in use.
    Live,
    /// The VM is about to be replaced.
    Leaving,
}

/// Watches the table in the store while this process is one of its hall's watchers.
pub async fn watch_table(store: Store, control: Addr<Control>, wait_ms: u64) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
    let mut after_revision = None;
    loop {
        match control.send(GetDuty).await {
            Ok(duty) if duty.is_watcher => {}
            Ok(_) => {
                after_revision = None;
                sleep(DUTY_POLL_MS).await;
                continue;
            }
            Err(_) => return,
        }
        match list_or_watch(&store, &control, after_revision, wait_ms).await {
            Ok(revision) => {
                backoff.reset();
                after_revision = Some(revision);
            }
            Err(error) => {
                let delay_ms = backoff.next_delay_ms(&mut rand::rng());
                log::warn!("store: {error}; retrying in {delay_ms} ms.");
                after_revision = None;
                sleep(delay_ms).await;
            }
        }
    }
}

/// Reads the list of VMs while this process is a watcher or knows no other VM.
pub async fn list_vms(store: Store, control: Addr<Control>) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
    loop {
        let Ok(duty) = control.send(GetDuty).await else { return };
        if !duty.is_watcher && !duty.is_only_member {
            sleep(VMS_INTERVAL_MS).await;
            continue;
        }
        let delay_ms = match store.list_kind(VMS_KIND).await {
            Ok(listing) => {
                backoff.reset();
                control.do_send(parse_vms(&listing));
                if duty.is_only_member { ONLY_MEMBER_VMS_INTERVAL_MS } else { VMS_INTERVAL_MS }
            }
            Err(_) => backoff.next_delay_ms(&mut rand::rng()),
        };
        sleep(delay_ms).await;
    }
}

/// Parses the list of VMs into the fleet's peer addresses and the leaving backend servers.
fn parse_vms(listing: &Listing<Value>) -> VmList {
    let parse = |item: &StoreItem<Value>| {
        let content = item.content.as_ref().map_err(ToString::to_string);
        let vm = content.and_then(|spec| Vm::deserialize(spec).map_err(|error| error.to_string()));
        vm.map_err(|error| log::error!("store: VM {} cannot be parsed: {error}.", item.name)).ok()
    };
    let vms: Vec<Vm> = listing.items.iter().filter_map(parse).collect();
    let (live, leaving): (Vec<&Vm>, Vec<&Vm>) =
        vms.iter().partition(|vm| vm.state == VmState::Live);
    VmList {
        peer_addresses: live.iter().filter_map(|vm| vm.peer_address).collect(),
        leaving_backends: leaving.iter().flat_map(|vm| vm.backends.clone()).collect(),
    }
}

/// Lists all objects, or waits for changes after a revision; returns the new revision.
///
/// A store restored from a backup may lack the changes since that revision. The error makes the
/// caller list all objects again.
async fn list_or_watch(
    store: &Store,
    control: &Addr<Control>,
    after_revision: Option<u64>,
    wait_ms: u64,
) -> Result<u64, StoreError> {
    let (items, revision) = match after_revision {
        None => {
            let listing = store.list_kind(TABLE_KIND).await?;
            (listing.items, listing.revision)
        }
        Some(revision) => {
            let watched = store.watch_kind(TABLE_KIND, revision, wait_ms).await?;
            (watched.changes.into_iter().filter_map(item_if_set).collect(), watched.revision)
        }
    };
    let docs = items.iter().filter_map(parse_item).collect();
    let repairs = control.send(StoreListing { docs, is_complete: after_revision.is_none() }).await;
    for repair in repairs.unwrap_or_default() {
        write_back(store, repair).await;
    }
    Ok(revision)
}

/// Returns the object that a change sets.
///
/// An object that was removed by hand is written back after the next full list.
fn item_if_set(change: Change<Value>) -> Option<StoreItem<Value>> {
    match change {
        Change::Set(item) => Some(item),
        Change::Removed(name) => {
            log::warn!("store: {name} was removed by hand; the next full list restores it.");
            None
        }
    }
}

/// Parses the document of an object; an invalid one is logged and skipped.
fn parse_item(item: &StoreItem<Value>) -> Option<(ServiceDoc, u64)> {
    let doc = match &item.content {
        Ok(spec) => parse_doc(spec),
        Err(error) => Err(error.to_string()),
    };
    doc.map_err(|error| log::error!("store: {} cannot be parsed: {error}.", item.name))
        .ok()
        .map(|doc| (doc, item.revision))
}

/// Parses a document from an object's content.
pub fn parse_doc(spec: &Value) -> Result<ServiceDoc, String> {
    ServiceDoc::from_json(spec.to_string().as_bytes())
}

/// Converts a document to an object's content.
pub fn doc_to_json(doc: &ServiceDoc) -> Value {
    // Cannot fail, as the bytes are JSON that serde wrote.
    serde_json::from_slice(&doc.to_json()).unwrap_or_default()
}

/// Writes back a document of which the store has an older version or none.
///
/// Several VMs may do so; the first conditional update wins and the others fail without effect.
async fn write_back(store: &Store, repair: Repair) {
    let jitter_ms = rand::rng().random_range(0..100);
    sleep(jitter_ms).await;
    let service = &repair.doc.service;
    let spec = doc_to_json(&repair.doc);
    let written = match repair.expected_revision {
        0 => store.create(TABLE_KIND, service, spec).await,
        revision => store.replace(TABLE_KIND, service, spec, Some(revision)).await,
    };
    match written {
        Ok(()) => log::warn!("store: {service} was out of date; wrote it back."),
        Err(error) => log::info!("store: cannot write back {service}: {error}."),
    }
}

/// Sleeps for a number of milliseconds.
async fn sleep(delay_ms: u64) {
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
