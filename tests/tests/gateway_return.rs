//! VMs that come back: the whole fleet at once, one that was frozen, one whose address is taken.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::platform::Faults;
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site, Vm};
use leverstream_tests::until;
use rustix::process::Signal;

/// Within this time after all have lost power and started anew, callers are served.
const BACK_WITHIN: Duration = Duration::from_secs(3);

/// Within this time after a VM wakes it knows what it has missed.
const CAUGHT_UP_WITHIN: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn the_whole_fleet_is_back_within_seconds_of_a_power_loss() {
    let mut site = Site::start(5, 2).await;
    site.put_catalog(4).await;
    site.vms.iter_mut().for_each(|vm| vm.process.kill());
    let started = Instant::now();
    site.vms.iter_mut().for_each(Vm::restart);
    site.until_ready().await;
    for vm in &site.vms {
        assert_eq!(Call::new(NON_REPEATABLE).send(vm).await.expect("an answer comes").status, 200);
        let told = until("callers are told where to go", || async {
            let told = vm.resolve("hall-a").await;
            (!told.is_empty()).then_some(told)
        })
        .await;
        let is_alive =
            |address: &String| site.vms.iter().any(|vm| vm.callers().to_string() == *address);
        assert!(told.iter().all(is_alive), "{told:?}");
    }
    assert!(started.elapsed() < BACK_WITHIN, "{:?}", started.elapsed());
}

#[actix_rt::test]
async fn vms_that_have_just_started_send_callers_nowhere_but_where_the_fleet_does() {
    let mut site = Site::start(5, 1).await;
    let before = until("all name the same one", || async {
        let mut told = Vec::new();
        for vm in &site.vms {
            told.push(vm.resolve("hall-a").await);
        }
        (told[0].len() == 1 && told.iter().all(|one| *one == told[0])).then(|| told[0].clone())
    })
    .await;
    site.vms.iter_mut().for_each(|vm| vm.process.kill());
    site.vms.iter_mut().for_each(Vm::restart);
    let started = Instant::now();
    let mut answers = 0;
    while answers < 20 {
        for vm in &site.vms {
            let told = vm.resolve("hall-a").await;
            assert!(told.is_empty() || told == before, "{told:?} instead of {before:?}");
            answers += usize::from(!told.is_empty());
        }
        assert!(started.elapsed() < 2 * BACK_WITHIN, "nobody is told where to go");
    }
}

#[actix_rt::test]
async fn a_fleet_that_starts_while_the_store_is_away_serves_once_it_is_back() {
    let mut site = Site::start(3, 1).await;
    site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    site.vms.iter_mut().for_each(Vm::restart);
    // Nobody knows a configuration: what is refused has not run, and says when to come back.
    let refused =
        until("a VM answers", || async { Call::new(REPEATABLE).send(&site.vms[0]).await.ok() })
            .await;
    assert_eq!((refused.status, refused.text("retry-after").is_some()), (503, true));
    site.platform.set_faults(&Faults::default()).await;
    let returned = Instant::now();
    site.until_ready().await;
    assert!(returned.elapsed() < BACK_WITHIN, "{:?}", returned.elapsed());
    assert_eq!(
        Call::new(REPEATABLE).send(&site.vms[0]).await.expect("an answer comes").status,
        200
    );
}

#[actix_rt::test]
async fn a_vm_that_was_frozen_catches_up_before_long() {
    let mut site = Site::start(3, 2).await;
    site.vms[1].process.pause().await;
    site.put_catalog(7).await;
    site.unlist_backend("i-0").await;
    let heard = || async { site.vms[0].has_logged("\"version\":7").then_some(()) };
    until("another VM has the configuration", heard).await;
    // Its members and connections have gone stale by then.
    tokio::time::sleep(CAUGHT_UP_WITHIN).await;
    site.vms[1].signal(Signal::CONT);
    let woken = Instant::now();
    let frozen = &site.vms[1];
    until("it has the configuration", || async {
        frozen.has_logged("\"version\":7").then_some(())
    })
    .await;
    until("it knows who is gone", || async {
        let answer = Call::new(REPEATABLE).send(frozen).await.ok()?;
        (answer.text(headers::STAMP) == Some("i-1") && frozen.has_logged("backend gone"))
            .then_some(())
    })
    .await;
    assert!(woken.elapsed() < CAUGHT_UP_WITHIN, "{:?}", woken.elapsed());
    for _ in 0..6 {
        let answer = Call::new(NON_REPEATABLE).send(frozen).await.expect("an answer comes");
        assert_eq!((answer.status, answer.text(headers::STAMP)), (200, Some("i-1")));
    }
}

#[actix_rt::test]
async fn a_second_process_at_a_frozen_vms_addresses_ends_and_says_why() {
    let site = Site::start(2, 1).await;
    site.vms[1].process.pause().await;
    let mut second = site.vms[1].start_second();
    assert_ne!(second.wait().await, Some(0));
    // The line is read by a thread of the test's own, maybe after the end was seen.
    second.wait_for_line("listen.");
    // The first is unharmed, and so are the others.
    site.vms[1].signal(Signal::CONT);
    for vm in &site.vms {
        let served = || async {
            Call::new(NON_REPEATABLE)
                .send(vm)
                .await
                .ok()
                .filter(|answer| answer.status == 200)
                .map(|_| ())
        };
        until("the VM serves", served).await;
    }
}

#[actix_rt::test]
async fn a_vm_that_joins_is_told_what_the_store_holds_and_reads_nothing() {
    let mut site = Site::start(3, 2).await;
    site.add_vm();
    site.add_vm();
    site.until_ready().await;
    for vm in &site.vms[3..] {
        let lists = vm.metric("leverstream_store_lists_total").await;
        let is_watcher = vm.has_logged("\"is_watcher\":true");
        assert!(lists == 0.0 || is_watcher, "{lists} reads, watcher {is_watcher}");
        assert_eq!(Call::new(NON_REPEATABLE).send(vm).await.expect("an answer comes").status, 200);
    }
}

#[actix_rt::test]
async fn a_request_that_meets_a_vm_in_its_first_moments_is_served() {
    let mut site = Site::start(2, 2).await;
    // It is one that waits to be told, and the other has nothing to tell: it is gone.
    site.vms[0].process.kill();
    for _ in 0..3 {
        site.vms[1].restart();
        let vm = &site.vms[1];
        let first =
            until("the VM answers", || async { Call::new(REPEATABLE).send(vm).await.ok() }).await;
        assert_eq!(first.status, 200);
    }
}
