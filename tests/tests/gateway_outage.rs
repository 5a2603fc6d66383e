//! VMs that are killed after an outage of the store, and whether the others still act as in the outage.

use std::time::{Duration, Instant};

use leverstream_standin::platform::Faults;
use leverstream_tests::site::Site;
use leverstream_tests::until;

/// The number of VMs.
const VMS: usize = 10;

/// The number of VMs that remain: those of the lowest ranks, whose knowledge is old when they read.
const KEPT: usize = 2;

/// The length of the outage.
const OUTAGE: Duration = Duration::from_millis(3_500);

/// The time from the end of the outage until VMs are killed.
const CALM: Duration = Duration::from_secs(4);

/// The time within which a removal must be in force, as the users state it.
const DRAIN: Duration = Duration::from_secs(2);

/// The log line of a VM whose reads of the store begin to fail.
const STORE_LOST: &str = "store lost";

/// The log line of a VM whose own reads are answered again.
const STORE_REGAINED: &str = "store regained";

/// Guards against removals that are held back for an outage that is over: the VMs that have read the store after it are killed, and
/// the others know of its end by reports alone.
#[actix_rt::test]
async fn a_removal_long_after_an_outage_is_in_force_at_once() {
    let mut site = Site::start(VMS, 3).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    tokio::time::sleep(OUTAGE).await;
    site.platform.set_faults(&Faults::default()).await;
    site.put_catalog(2).await;
    for vm in &site.vms {
        let is_told = || vm.has_logged("\"version\":2");
        until("the VM knows that the outage is over", || async { is_told().then_some(()) }).await;
    }
    tokio::time::sleep(CALM).await;
    let mut order: Vec<(String, usize)> =
        (0..VMS).filter_map(|vm| Some((first_line(&site, vm, STORE_LOST)?, vm))).collect();
    order.sort();
    assert_eq!(order.len(), VMS, "each VM has read in the outage");
    // The others know of the store's return by reports alone.
    let has_not_read = |(_, vm): &&(String, usize)| !site.vms[*vm].has_logged(STORE_REGAINED);
    let kept: Vec<usize> =
        order.iter().rev().filter(has_not_read).take(KEPT).map(|(_, vm)| *vm).collect();
    for vm in (0..VMS).filter(|vm| !kept.contains(vm)) {
        site.vms[vm].process.kill();
    }
    site.unlist_backend("i-0").await;
    let removed = Instant::now();
    for vm in kept {
        let is_gone = || first_line(&site, vm, "backend gone").is_some();
        until("the removal is in force", || async { is_gone().then_some(()) }).await;
        let after = removed.elapsed();
        assert!(after < DRAIN, "{after:?}");
        assert!(first_line(&site, vm, "removal held back").is_none(), "VM {vm}");
    }
}

/// Returns the first line of a VM's log that contains a text; lines begin with their time.
fn first_line(site: &Site, vm: usize, text: &str) -> Option<String> {
    site.vms[vm].process.log().iter().find(|line| line.contains(text)).cloned()
}
