//! Configuration and the list of backend servers while the store, or the connection to it, fails.

use std::time::{Duration, Instant};

use leverstream_catalog::{Backend, Catalog};
use leverstream_platform::{headers, standin};
use leverstream_standin::platform::Faults;
use leverstream_tests::site::{
    Call, NON_REPEATABLE, REPEATABLE, Site, Vm, backend, catalog, route,
};
use leverstream_tests::until;
use rustix::process::Signal;

/// Waits until a VM logs that the given configuration version is in force.
async fn until_version(site: &Site, vm: usize, version: u64) {
    let text = format!("\"version\":{version}");
    let is_in_force = || async {
        let process = &site.vms[vm].process;
        let is_match =
            |line: &String| line.contains("configuration in force") && line.contains(&text);
        process.log().iter().any(is_match).then_some(())
    };
    until("the configuration is in force", is_in_force).await;
}

/// The maximum number of calls a second of a fleet at rest: one read each 0.4 s makes 2.5, and another VM may read as well.
const MAX_READS_PER_S: f64 = 4.0;

/// The maximum number of calls a second of seven VMs while the store refuses them, each of which is billed.
const MAX_RETRIES_PER_S: f64 = 10.0;

#[actix_rt::test]
async fn a_vm_without_a_configuration_is_not_ready_and_refuses_requests() {
    let site = Site::start(1, 0).await;
    site.platform.set_faults(&Faults { silent: true, ..Faults::default() }).await;
    let mut site = site;
    site.vms[0].restart();
    let vm = &site.vms[0];
    let refused =
        until("the VM answers", || async { Call::new(REPEATABLE).send(vm).await.ok() }).await;
    assert_eq!(refused.status, 503);
    assert!(!vm.is_ready().await);
    assert!(vm.resolve("hall-a").await.is_empty());
    site.platform.set_faults(&Faults::default()).await;
    site.until_ready().await;
}

#[actix_rt::test]
async fn a_lower_configuration_version_is_ignored() {
    let mut site = Site::start(1, 1).await;
    site.put_catalog(5).await;
    until_version(&site, 0, 5).await;
    let version_3 = standin::config(&catalog(3));
    site.put_config(version_3).await;
    site.put_catalog(6).await;
    until_version(&site, 0, 6).await;
    assert!(!site.vms[0].has_logged("\"version\":3"));
}

#[actix_rt::test]
async fn an_invalid_configuration_leaves_the_last_one_in_force() {
    let mut site = Site::start(1, 1).await;
    site.put_config(serde_json::json!({ "not": "a configuration" })).await;
    let vm = &site.vms[0];
    until("the refused catalog is counted", || async {
        (vm.metric("leverstream_catalogs_refused_total").await >= 1.0).then_some(())
    })
    .await;
    until("the refusal is logged", || async {
        vm.has_logged("configuration refused").then_some(())
    })
    .await;
    assert_eq!(Call::new(REPEATABLE).send(vm).await.expect("an answer arrives").status, 200);
    site.put_catalog(9).await;
    until_version(&site, 0, 9).await;
}

#[actix_rt::test]
async fn changes_lost_with_the_stores_history_are_read_from_the_list() {
    let mut site = Site::start(1, 2).await;
    site.platform.set_faults(&Faults { deaf_watches: true, ..Faults::default() }).await;
    site.put_catalog(4).await;
    site.unlist_backend("i-0").await;
    site.platform.forget().await;
    site.platform.set_faults(&Faults::default()).await;
    let started = Instant::now();
    until_version(&site, 0, 4).await;
    let vm = &site.vms[0];
    until("the VM misses the backend server in the list", || async {
        vm.has_logged("missing from the list").then_some(())
    })
    .await;
    assert!(started.elapsed() < Duration::from_secs(2));
    let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives");
    assert_eq!(answer.text(headers::INSTANCE_STAMP), Some("i-1"));
}

#[actix_rt::test]
async fn entries_that_lapse_during_a_store_outage_have_two_seconds_to_come_back() {
    let site = Site::start(1, 2).await;
    let vm = &site.vms[0];
    site.unlist_during_outage(&["i-0", "i-1"]).await;
    until("the store is lost", || async { vm.has_logged("store lost").then_some(()) }).await;
    site.platform.set_faults(&Faults::default()).await;
    let store_back_at = Instant::now();
    until("the store is regained", || async { vm.has_logged("store regained").then_some(()) })
        .await;
    // Neither is listed, yet both still serve.
    assert_eq!(Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives").status, 200);
    site.list_backend(&backend("i-1", site.origin(1).address)).await;
    until("the VM drops the other backend server", || async {
        vm.has_logged("not back after").then_some(())
    })
    .await;
    assert!(store_back_at.elapsed() < Duration::from_secs(4), "{:?}", store_back_at.elapsed());
    for _ in 0..6 {
        let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives");
        assert_eq!(answer.text(headers::INSTANCE_STAMP), Some("i-1"));
    }
}

#[actix_rt::test]
async fn a_vm_restarted_while_the_store_is_unavailable_gets_the_list_from_other_vms() {
    let mut site = Site::start(2, 1).await;
    site.platform.set_faults(&Faults { silent: true, ..Faults::default() }).await;
    site.vms[1].restart();
    site.until_ready().await;
    let has_list = || async { site.vms[1].has_logged("backends from another VM").then_some(()) };
    until("the VM logs that it got the list from another VM", has_list).await;
    let answer = Call::new(NON_REPEATABLE).send(&site.vms[1]).await.expect("an answer arrives");
    assert_eq!(answer.status, 200);
}

/// Guards against calls to the store that grow with the number of VMs, and against changes that wait for a VM's own turn
/// to read.
#[actix_rt::test]
async fn few_vms_read_the_store_and_all_get_a_change_within_a_second() {
    let mut site = Site::start(5, 1).await;
    let counted_at = Instant::now();
    let first = site.platform.counts().await.values().sum::<u64>();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = site.platform.counts().await.values().sum::<u64>() - first;
    let per_s = calls as f64 / counted_at.elapsed().as_secs_f64();
    assert!(per_s <= MAX_READS_PER_S, "{per_s:.1} calls a second");
    let before = site.platform.counts().await;
    site.put_catalog(2).await;
    let written_at = Instant::now();
    for vm in 0..5 {
        until_version(&site, vm, 2).await;
    }
    assert!(written_at.elapsed() < Duration::from_millis(1_500), "{:?}", written_at.elapsed());
    let after = site.platform.counts().await;
    let list_count = |counts: &std::collections::BTreeMap<String, u64>| counts.get("list").copied();
    assert_eq!(list_count(&after), list_count(&before), "no VM reads the list again");
}

#[actix_rt::test]
async fn a_configuration_of_a_thousand_routes_is_sent_between_vms_in_few_bytes() {
    let site = Site::start(4, 1).await;
    let routes = (0..1_000).map(|number| {
        let route = route(&format!("/shelf-{number}/"), true, "shop");
        (format!("host-{}.example", number % 7), route)
    });
    let Catalog { services, limits, .. } = catalog(2);
    let large =
        Catalog::build(2, routes.collect(), services, limits).expect("the catalog is sound");
    let size = serde_json::to_vec(&large).expect("the catalog serializes").len();
    site.put_config(standin::config(&large)).await;
    let mut sent_bytes = 0.0;
    for vm in 0..4 {
        until_version(&site, vm, 2).await;
        sent_bytes += site.vms[vm].metric("leverstream_news_bytes_total").await;
    }
    // The VM that receives it first from the store notifies the others, and each fetches it once.
    assert!(sent_bytes > 0.0 && sent_bytes < size as f64 / 2.0, "{sent_bytes} bytes for {size}");
}

#[actix_rt::test]
async fn a_vm_in_a_planned_stop_leaves_the_directory_and_cuts_no_request() {
    let mut site = Site::start(2, 1).await;
    // The directory names one of the two VMs; that one stops.
    let address = until("both VMs name the same one", || async {
        let named = [site.vms[0].resolve("hall-a").await, site.vms[1].resolve("hall-a").await];
        (named[0].len() == 1 && named[0] == named[1]).then(|| named[0][0].clone())
    })
    .await;
    let index = site.vms.iter().position(|vm| vm.callers().to_string() == address);
    let index = index.expect("the address is one of the two");
    site.set_all_replies(leverstream_standin::origin::Reply::After(600));
    let (call, vm, other) = (Call::new(NON_REPEATABLE), &site.vms[index], &site.vms[1 - index]);
    let during = async {
        until("the request runs", || async { (site.runs(NON_REPEATABLE) == 1).then_some(()) })
            .await;
        vm.signal(Signal::TERM);
        until("the stopping VM is not ready", || async { (!vm.is_ready().await).then_some(()) })
            .await;
        until("the directory names the other VM", || async {
            let named = other.resolve("hall-a").await;
            (named == [other.callers().to_string()]).then_some(())
        })
        .await;
        // Callers that still use the old answer are served, and their connections are closed.
        let late = Call::new(REPEATABLE).send(vm).await.expect("an answer arrives");
        assert_eq!((late.status, late.closes_connection()), (200, true));
    };
    let (answer, ()) = futures_util::future::join(call.send(vm), during).await;
    assert_eq!(answer.expect("an answer arrives").status, 200);
    let ended = site.vms[index].process.wait().await;
    assert_eq!(ended, Some(0));
    assert!(site.vms[index].has_logged("stop ends"));
}

#[actix_rt::test]
async fn repeated_reload_signals_do_not_affect_callers() {
    let site = Site::start(1, 1).await;
    let vm = &site.vms[0];
    for _ in 0..10 {
        vm.signal(Signal::HUP);
        let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives");
        assert_eq!(answer.status, 200);
    }
    until("the settings are reloaded", || async { vm.has_logged("\"reload\"").then_some(()) })
        .await;
}

#[actix_rt::test]
async fn a_killed_vm_leaves_the_directory_and_returns_after_a_restart() {
    let mut site = Site::start(3, 1).await;
    // The directory names one of the three VMs; that one is killed.
    let entry = until("all VMs name the same one", || async {
        let named = site.vms[0].resolve("hall-a").await;
        (named.len() == 1 && named == site.vms[2].resolve("hall-a").await).then(|| named[0].clone())
    })
    .await;
    let index = site.vms.iter().position(|vm| vm.callers().to_string() == entry);
    let index = index.expect("the address is one of the three");
    site.vms[index].process.kill();
    let observer = (index + 1) % 3;
    until("the directory names another VM", || async {
        let named = site.vms[observer].resolve("hall-a").await;
        (!named.is_empty() && !named.contains(&entry)).then_some(())
    })
    .await;
    site.vms[index].restart();
    site.until_ready().await;
    until("the directory names the restarted VM again", || async {
        (site.vms[observer].resolve("hall-a").await == [entry.clone()]).then_some(())
    })
    .await;
}

/// Guards against a store that is called by all VMs at once, or by each of them at a short interval, while it is away.
#[actix_rt::test]
async fn few_calls_are_made_to_a_store_that_is_unavailable() {
    let mut site = Site::start(7, 1).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    let lost_count = || site.vms.iter().filter(|vm| vm.has_logged("store lost")).count();
    until("a VM has lost the store", || async { (lost_count() >= 1).then_some(()) }).await;
    let counted_at = Instant::now();
    let first = site.platform.counts().await.values().sum::<u64>();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls = site.platform.counts().await.values().sum::<u64>() - first;
    let per_s = calls as f64 / counted_at.elapsed().as_secs_f64();
    assert!(calls > 8, "the VMs that lost the store keep retrying");
    assert!(per_s <= MAX_RETRIES_PER_S, "{per_s:.1} calls a second");
    let watcher =
        site.vms.iter().find(|vm| vm.has_logged("store lost")).expect("one VM has lost the store");
    assert!(watcher.metric("leverstream_store_failures_total").await >= 1.0);
    site.platform.set_faults(&Faults::default()).await;
    site.put_catalog(2).await;
    for vm in 0..7 {
        until_version(&site, vm, 2).await;
    }
}

#[actix_rt::test]
async fn malformed_entries_are_ignored_and_the_rest_stay_in_use() {
    let mut site = Site::start(1, 2).await;
    let put_record = async |name: &str, spec| site.put(standin::BACKENDS_KIND, name, spec).await;
    put_record("x-1", serde_json::json!({ "service": 5 })).await;
    put_record("x-2", serde_json::json!("text")).await;
    put_record("i-1", serde_json::json!({ "state": "ready" })).await;
    let vm = &site.vms[0];
    let count = "leverstream_records_refused_total";
    until("the refused records are counted", || async {
        (vm.metric(count).await >= 3.0).then_some(())
    })
    .await;
    for is_restarted in [false, true] {
        if is_restarted {
            site.vms[0].restart();
            site.until_ready().await;
        }
        for _ in 0..10 {
            let answer =
                Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
            assert_eq!(answer.text(headers::INSTANCE_STAMP), Some("i-0"));
        }
    }
    site.list_backend(&backend("i-1", site.origin(1).address)).await;
    until("the backend server is back", || async {
        let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.ok()?;
        (answer.text(headers::INSTANCE_STAMP) == Some("i-1")).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_backend_server_restarted_under_its_id_gets_requests() {
    let site = Site::start(2, 2).await;
    let incarnation = |born_ms: u64| Backend { born_ms, ..backend("i-1", site.origin(1).address) };
    site.list_backend(&incarnation(1_000)).await;
    // Its address answers for another instance, so all VMs consider that incarnation ended.
    site.origin(1).set_instance("i-9");
    let is_ended = |vm: &Vm| vm.has_logged("its address answers for another");
    until("a VM notices the other instance", || async {
        for vm in &site.vms {
            let _ = Call::new(NON_REPEATABLE).send(vm).await;
        }
        site.vms.iter().any(is_ended).then_some(())
    })
    .await;
    site.origin(1).set_instance("i-1");
    site.list_backend(&incarnation(2_000)).await;
    for vm in &site.vms {
        until("the backend server gets requests from every VM", || async {
            let answer = Call::new(NON_REPEATABLE).send(vm).await.ok()?;
            (answer.text(headers::INSTANCE_STAMP) == Some("i-1")).then_some(())
        })
        .await;
    }
}
