use std::time::Duration;

use actix::Addr;
use leverstream_pace::Backoff;
use leverstream_platform::{Listing, Object, Platform, PlatformError, Put, Vm, VmState};
use leverstream_proxy::Clock;
use leverstream_table::ServiceDoc;
use rand::Rng;

use crate::control::Control;
use crate::messages::{GetDuty, Hints, Repair, Stored};

/// The prefix of the table's objects.
pub const TABLE_PREFIX: &str = "table/";

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

/// Watches the store as long as this process is chosen to.
pub async fn watch(platform: Platform, control: Addr<Control>, clock: Clock, wait_ms: u64) {
    let mut backoff = Backoff::open(BACKOFF_MS, BACKOFF_LIMIT_MS);
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
        match listen(&platform, &control, clock, after, wait_ms).await {
            Ok(version) => {
                backoff.succeed();
                after = Some(version);
            }
            Err(error) => {
                let pause_ms = backoff.fail(&mut rand::rng());
                log::warn!("store: {error}; the next try is in {pause_ms} ms.");
                after = None;
                sleep(pause_ms).await;
            }
        }
    }
}

/// Reads the list of VMs: while this process knows no other, and as long as it is a watcher.
pub async fn list_vms(platform: Platform, control: Addr<Control>, clock: Clock) {
    let mut backoff = Backoff::open(BACKOFF_MS, BACKOFF_LIMIT_MS);
    loop {
        let Ok(duty) = control.send(GetDuty).await else { return };
        if !duty.is_watcher && !duty.is_alone {
            sleep(VMS_MS).await;
            continue;
        }
        let pause_ms = match platform.vms(clock.now_ms()).await {
            Ok(vms) => {
                backoff.succeed();
                control.do_send(read_vms(&vms));
                if duty.is_alone { ALONE_VMS_MS } else { VMS_MS }
            }
            Err(_) => backoff.fail(&mut rand::rng()),
        };
        sleep(pause_ms).await;
    }
}

/// Sorts the list of VMs into those of the fleet and the backend servers that leave.
fn read_vms(vms: &[Vm]) -> Hints {
    let (live, leaving): (Vec<&Vm>, Vec<&Vm>) =
        vms.iter().partition(|vm| vm.state == VmState::Live);
    Hints {
        addresses: live.iter().filter_map(|vm| vm.peer_address).collect(),
        leaving: leaving.iter().flat_map(|vm| vm.backends.clone()).collect(),
    }
}

/// Lists all objects, or waits for those that change after a version; returns the new version.
async fn listen(
    platform: &Platform,
    control: &Addr<Control>,
    clock: Clock,
    after: Option<u64>,
    wait_ms: u64,
) -> Result<u64, PlatformError> {
    let listing = match after {
        None => platform.list(TABLE_PREFIX, clock.now_ms()).await?,
        Some(after) => platform.watch(TABLE_PREFIX, after, wait_ms, clock.now_ms()).await?,
    };
    // A store that counts from an older version was restored; all of it is read again.
    let is_restored = after.is_some_and(|after| listing.version < after);
    let is_complete = after.is_none() || is_restored;
    let version = listing.version;
    let docs = read_docs(listing);
    let repairs = control.send(Stored { docs, is_complete }).await.unwrap_or_default();
    for repair in repairs {
        write_back(platform, clock, repair).await;
    }
    Ok(version)
}

/// Reads the documents of a listing; one that cannot be read is reported and left alone.
fn read_docs(listing: Listing) -> Vec<(ServiceDoc, u64)> {
    let read = |object: Object| match ServiceDoc::from_json(object.value.as_bytes()) {
        Ok(doc) => Some((doc, object.version)),
        Err(error) => {
            log::error!("store: {} cannot be read: {error}.", object.key);
            None
        }
    };
    listing.objects.into_iter().filter_map(read).collect()
}

/// Writes back a document that the platform holds in too old a version.
///
/// Whoever comes first wins; the others' conditional updates fail and do no harm.
async fn write_back(platform: &Platform, clock: Clock, repair: Repair) {
    let jitter_ms = rand::rng().random_range(0..100);
    sleep(jitter_ms).await;
    let key = format!("{TABLE_PREFIX}{}", repair.doc.service);
    let value = String::from_utf8(repair.doc.to_json()).unwrap_or_default();
    let put = Put { expected: repair.expected, value };
    match platform.put(&key, &put, clock.now_ms()).await {
        Ok(_) => log::warn!("store: {key} was behind and is written back."),
        Err(error) => log::info!("store: {key} was behind and is not written back: {error}."),
    }
}

/// Sleeps for so many milliseconds.
async fn sleep(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
