//! VMs that come back: the whole fleet at once, a VM that was paused, a VM whose address is in use.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::platform::Faults;
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site, Vm};
use leverstream_tests::until;
use rustix::process::Signal;

/// Time within which callers are served after all VMs were killed and restarted.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which a VM that resumes has learned what it missed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn the_whole_fleet_serves_again_within_seconds_of_being_killed() {
    let mut site = Site::start(5, 2).await;
    site.put_catalog(4).await;
    site.vms.iter_mut().for_each(|vm| vm.process.kill());
    let started = Instant::now();
    site.vms.iter_mut().for_each(Vm::restart);
    site.until_ready().await;
    for vm in &site.vms {
        assert_eq!(
            Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives").status,
            200
        );
        let named = until("the directory names a VM", || async {
            let named = vm.resolve("hall-a").await;
            (!named.is_empty()).then_some(named)
        })
        .await;
        let is_alive =
            |address: &String| site.vms.iter().any(|vm| vm.callers().to_string() == *address);
        assert!(named.iter().all(is_alive), "{named:?}");
    }
    assert!(started.elapsed() < RECOVERY_TIMEOUT, "{:?}", started.elapsed());
}

#[actix_rt::test]
async fn vms_that_have_just_started_name_only_the_address_that_the_fleet_names() {
    let mut site = Site::start(5, 1).await;
    let before = until("all VMs name the same one", || async {
        let mut named = Vec::new();
        for vm in &site.vms {
            named.push(vm.resolve("hall-a").await);
        }
        (named[0].len() == 1 && named.iter().all(|one| *one == named[0])).then(|| named[0].clone())
    })
    .await;
    site.vms.iter_mut().for_each(|vm| vm.process.kill());
    site.vms.iter_mut().for_each(Vm::restart);
    let started = Instant::now();
    let mut answers = 0;
    while answers < 20 {
        for vm in &site.vms {
            let named = vm.resolve("hall-a").await;
            assert!(named.is_empty() || named == before, "{named:?} instead of {before:?}");
            answers += usize::from(!named.is_empty());
        }
        assert!(started.elapsed() < 2 * RECOVERY_TIMEOUT, "no directory names a VM");
    }
}

#[actix_rt::test]
async fn a_fleet_started_while_the_store_is_unavailable_serves_once_the_store_is_back() {
    let mut site = Site::start(3, 1).await;
    site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    // A VM that is restarted while another still runs learns the configuration from that one.
    site.vms.iter_mut().for_each(|vm| vm.process.kill());
    site.vms.iter_mut().for_each(Vm::restart);
    // No VM has a configuration: a refused request has not run, and its answer carries `retry-after`.
    let refused =
        until("a VM answers", || async { Call::new(REPEATABLE).send(&site.vms[0]).await.ok() })
            .await;
    assert_eq!((refused.status, refused.text("retry-after").is_some()), (503, true));
    site.platform.set_faults(&Faults::default()).await;
    let store_back_at = Instant::now();
    site.until_ready().await;
    assert!(store_back_at.elapsed() < RECOVERY_TIMEOUT, "{:?}", store_back_at.elapsed());
    assert_eq!(
        Call::new(REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives").status,
        200
    );
}

#[actix_rt::test]
async fn a_resumed_vm_catches_up_with_missed_changes() {
    let mut site = Site::start(3, 2).await;
    site.vms[1].process.pause().await;
    site.put_catalog(7).await;
    site.unlist_backend("i-0").await;
    let has_version = || async { site.vms[0].has_logged("\"version\":7").then_some(()) };
    until("another VM has the configuration", has_version).await;
    // By then the paused VM's membership and connections are stale.
    tokio::time::sleep(CATCH_UP_TIMEOUT).await;
    site.vms[1].signal(Signal::CONT);
    let resumed_at = Instant::now();
    let resumed = &site.vms[1];
    until("the resumed VM has the configuration", || async {
        resumed.has_logged("\"version\":7").then_some(())
    })
    .await;
    until("the resumed VM knows which backend server is gone", || async {
        let answer = Call::new(REPEATABLE).send(resumed).await.ok()?;
        (answer.text(headers::INSTANCE_STAMP) == Some("i-1") && resumed.has_logged("backend gone"))
            .then_some(())
    })
    .await;
    assert!(resumed_at.elapsed() < CATCH_UP_TIMEOUT, "{:?}", resumed_at.elapsed());
    for _ in 0..6 {
        let answer = Call::new(NON_REPEATABLE).send(resumed).await.expect("an answer arrives");
        assert_eq!((answer.status, answer.text(headers::INSTANCE_STAMP)), (200, Some("i-1")));
    }
}

#[actix_rt::test]
async fn a_second_process_at_a_paused_vms_addresses_exits_and_logs_why() {
    let site = Site::start(2, 1).await;
    site.vms[1].process.pause().await;
    let mut second = site.vms[1].start_second();
    assert_ne!(second.wait().await, Some(0));
    // A thread of the test reads the log line, possibly after the process has ended.
    second.wait_for_line("listen.");
    // The first process and the other VM keep serving.
    site.vms[1].signal(Signal::CONT);
    for vm in &site.vms {
        let is_served = || async {
            Call::new(NON_REPEATABLE)
                .send(vm)
                .await
                .ok()
                .filter(|answer| answer.status == 200)
                .map(|_| ())
        };
        until("the VM serves", is_served).await;
    }
}

#[actix_rt::test]
async fn a_joining_vm_gets_the_stores_state_from_peers_without_reading_the_store() {
    let mut site = Site::start(3, 2).await;
    site.add_vm();
    site.add_vm();
    site.until_ready().await;
    for vm in &site.vms[3..] {
        let lists = vm.metric("leverstream_store_lists_total").await;
        assert_eq!(lists, 0.0);
        assert_eq!(
            Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives").status,
            200
        );
    }
}

#[actix_rt::test]
async fn a_request_to_a_vm_that_has_just_started_is_served() {
    let mut site = Site::start(2, 2).await;
    // A starting VM waits for state from its peers; here the only peer is dead.
    site.vms[0].process.kill();
    for _ in 0..3 {
        site.vms[1].restart();
        let vm = &site.vms[1];
        let first =
            until("the VM answers", || async { Call::new(REPEATABLE).send(vm).await.ok() }).await;
        assert_eq!(first.status, 200);
    }
}
