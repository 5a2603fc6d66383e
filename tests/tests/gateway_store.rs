//! Configuration and the list of backend servers, when the store or the way to it fails.

use std::time::{Duration, Instant};

use leverstream_catalog::{Backend, Catalog};
use leverstream_platform::{headers, standin};
use leverstream_standin::platform::Faults;
use leverstream_tests::site::{
    Call, NON_REPEATABLE, REPEATABLE, Site, Vm, backend, catalog, route,
};
use leverstream_tests::until;
use rustix::process::Signal;

/// Waits until a VM has a version of the configuration in force.
async fn until_version(site: &Site, vm: usize, version: u64) {
    let text = format!("\"version\":{version}");
    let has_it = || async {
        let process = &site.vms[vm].process;
        let is_it = |line: &String| line.contains("configuration in force") && line.contains(&text);
        process.log().iter().any(is_it).then_some(())
    };
    until("the configuration is in force", has_it).await;
}

#[actix_rt::test]
async fn a_vm_without_configuration_is_not_ready_and_refuses() {
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
async fn versions_only_rise() {
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
async fn a_configuration_that_cannot_be_used_leaves_the_last_in_force() {
    let mut site = Site::start(1, 1).await;
    site.put_config(serde_json::json!({ "not": "a configuration" })).await;
    let vm = &site.vms[0];
    until("it is counted", || async {
        (vm.metric("leverstream_catalogs_refused_total").await >= 1.0).then_some(())
    })
    .await;
    until("it is logged", || async { vm.has_logged("configuration refused").then_some(()) }).await;
    assert_eq!(Call::new(REPEATABLE).send(vm).await.expect("an answer comes").status, 200);
    site.put_catalog(9).await;
    until_version(&site, 0, 9).await;
}

#[actix_rt::test]
async fn what_a_forgotten_history_held_is_caught_up_with() {
    let mut site = Site::start(1, 2).await;
    site.platform.set_faults(&Faults { deaf_watches: true, ..Faults::default() }).await;
    site.put_catalog(4).await;
    site.unlist_backend("i-0").await;
    site.platform.forget().await;
    site.platform.set_faults(&Faults::default()).await;
    let started = Instant::now();
    until_version(&site, 0, 4).await;
    let vm = &site.vms[0];
    until("the VM knows", || async { vm.has_logged("missing from the list").then_some(()) }).await;
    assert!(started.elapsed() < Duration::from_secs(2));
    let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer comes");
    assert_eq!(answer.text(headers::STAMP), Some("i-1"));
}

#[actix_rt::test]
async fn entries_that_lapsed_in_an_outage_have_two_seconds_to_come_back() {
    let site = Site::start(1, 2).await;
    let vm = &site.vms[0];
    site.unlist_during_outage(&["i-0", "i-1"]).await;
    until("the store is lost", || async { vm.has_logged("store lost").then_some(()) }).await;
    site.platform.set_faults(&Faults::default()).await;
    let returned = Instant::now();
    until("the store is regained", || async { vm.has_logged("store regained").then_some(()) })
        .await;
    // Neither is listed, and both still serve.
    assert_eq!(Call::new(NON_REPEATABLE).send(vm).await.expect("an answer comes").status, 200);
    site.list_backend(&backend("i-1", site.origin(1).address)).await;
    until("the other is gone", || async { vm.has_logged("not back after").then_some(()) }).await;
    assert!(returned.elapsed() < Duration::from_secs(4), "{:?}", returned.elapsed());
    for _ in 0..6 {
        let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer comes");
        assert_eq!(answer.text(headers::STAMP), Some("i-1"));
    }
}

#[actix_rt::test]
async fn a_restart_while_the_store_is_away_is_served_by_other_vms() {
    let mut site = Site::start(2, 1).await;
    site.platform.set_faults(&Faults { silent: true, ..Faults::default() }).await;
    site.vms[1].restart();
    site.until_ready().await;
    let told = || async { site.vms[1].has_logged("backends from another VM").then_some(()) };
    until("the other VM's news are logged", told).await;
    let answer = Call::new(NON_REPEATABLE).send(&site.vms[1]).await.expect("an answer comes");
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn few_vms_watch_and_all_hear_within_a_second() {
    let mut site = Site::start(5, 1).await;
    // Two VMs watch three kinds each.
    let watching = || async {
        let counts = site.platform.counts().await;
        (counts.get("watch").copied().unwrap_or(0) >= 6).then_some(())
    };
    until("two watch", watching).await;
    let before = site.platform.counts().await;
    site.put_catalog(2).await;
    let written = Instant::now();
    for vm in 0..5 {
        until_version(&site, vm, 2).await;
    }
    assert!(written.elapsed() < Duration::from_millis(1_500), "{:?}", written.elapsed());
    let after = site.platform.counts().await;
    let lists = |counts: &std::collections::BTreeMap<String, u64>| counts.get("list").copied();
    assert_eq!(lists(&after), lists(&before), "nobody reads the list again");
}

#[actix_rt::test]
async fn a_configuration_of_a_thousand_routes_takes_few_bytes_between_vms() {
    let site = Site::start(4, 1).await;
    let routes = (0..1_000).map(|number| {
        let route = route(&format!("/shelf-{number}/"), true, "shop");
        (format!("host-{}.example", number % 7), route)
    });
    let Catalog { services, limits, .. } = catalog(2);
    let large = Catalog::build(2, routes.collect(), services, limits).expect("it is sound");
    let size = serde_json::to_vec(&large).expect("it is data").len();
    site.put_config(standin::config(&large)).await;
    let mut sent = 0.0;
    for vm in 0..4 {
        until_version(&site, vm, 2).await;
        sent += site.vms[vm].metric("leverstream_news_bytes_total").await;
    }
    // Who hears of it from the store first tells the others, and each fetches it once.
    assert!(sent > 0.0 && sent < size as f64 / 2.0, "{sent} bytes for {size}");
}

#[actix_rt::test]
async fn a_planned_stop_leaves_the_answers_and_cuts_nothing() {
    let mut site = Site::start(2, 1).await;
    // One of the two takes callers; it is the one that stops.
    let listed = until("both name the same one", || async {
        let told = [site.vms[0].resolve("hall-a").await, site.vms[1].resolve("hall-a").await];
        (told[0].len() == 1 && told[0] == told[1]).then(|| told[0][0].clone())
    })
    .await;
    let at = site.vms.iter().position(|vm| vm.callers().to_string() == listed);
    let at = at.expect("it is one of the two");
    site.set_all_replies(leverstream_standin::origin::Reply::After(600));
    let (call, vm, other) = (Call::new(NON_REPEATABLE), &site.vms[at], &site.vms[1 - at]);
    let during = async {
        until("it runs", || async { (site.runs(NON_REPEATABLE) == 1).then_some(()) }).await;
        vm.signal(Signal::TERM);
        until("it is not ready", || async { (!vm.is_ready().await).then_some(()) }).await;
        until("the other takes its place", || async {
            let told = other.resolve("hall-a").await;
            (told == [other.callers().to_string()]).then_some(())
        })
        .await;
        // Those who still hold the old answer are served, and told to go.
        let late = Call::new(REPEATABLE).send(vm).await.expect("an answer comes");
        assert_eq!((late.status, late.closes()), (200, true));
    };
    let (answer, ()) = futures_util::future::join(call.send(vm), during).await;
    assert_eq!(answer.expect("an answer comes").status, 200);
    let ended = site.vms[at].process.wait().await;
    assert_eq!(ended, Some(0));
    assert!(site.vms[at].has_logged("stop ends"));
}

#[actix_rt::test]
async fn hangups_in_series_change_nothing_for_callers() {
    let site = Site::start(1, 1).await;
    let vm = &site.vms[0];
    for _ in 0..10 {
        vm.signal(Signal::HUP);
        let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer comes");
        assert_eq!(answer.status, 200);
    }
    until("the settings were read again", || async { vm.has_logged("\"reload\"").then_some(()) })
        .await;
}

#[actix_rt::test]
async fn a_killed_vm_leaves_the_answers_and_comes_back() {
    let mut site = Site::start(3, 1).await;
    // One of the three takes callers; it is the one that is killed.
    let entry = until("all name the same one", || async {
        let told = site.vms[0].resolve("hall-a").await;
        (told.len() == 1 && told == site.vms[2].resolve("hall-a").await).then(|| told[0].clone())
    })
    .await;
    let at = site.vms.iter().position(|vm| vm.callers().to_string() == entry);
    let at = at.expect("it is one of the three");
    site.vms[at].process.kill();
    let witness = (at + 1) % 3;
    until("callers are sent to another", || async {
        let told = site.vms[witness].resolve("hall-a").await;
        (!told.is_empty() && !told.contains(&entry)).then_some(())
    })
    .await;
    site.vms[at].restart();
    site.until_ready().await;
    until("the answers are as before", || async {
        (site.vms[witness].resolve("hall-a").await == [entry.clone()]).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn few_vms_ask_a_store_that_is_away() {
    let mut site = Site::start(7, 1).await;
    let watching = || async {
        let counts = site.platform.counts().await;
        (counts.get("watch").copied().unwrap_or(0) >= 4).then_some(())
    };
    until("two watch two kinds each", watching).await;
    site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    let lost = || site.vms.iter().filter(|vm| vm.has_logged("store lost")).count();
    until("those in their place have tried", || async { (lost() >= 4).then_some(()) }).await;
    let calls = site.platform.counts().await.values().sum::<u64>();
    until("those that lost it go on asking", || async {
        (site.platform.counts().await.values().sum::<u64>() > calls + 8).then_some(())
    })
    .await;
    assert!(lost() <= 5, "{} of 7 have asked", lost());
    let asks = site.vms.iter().find(|vm| vm.has_logged("store lost")).expect("one has lost it");
    assert!(asks.metric("leverstream_store_failures_total").await >= 1.0);
    site.platform.set_faults(&Faults::default()).await;
    site.put_catalog(2).await;
    for vm in 0..7 {
        until_version(&site, vm, 2).await;
    }
}

#[actix_rt::test]
async fn entries_that_others_wrote_name_nobody_and_the_rest_hold() {
    let mut site = Site::start(1, 2).await;
    let put = async |name: &str, spec| site.put(standin::BACKENDS, name, spec).await;
    put("x-1", serde_json::json!({ "service": 5 })).await;
    put("x-2", serde_json::json!("text")).await;
    put("i-1", serde_json::json!({ "state": "ready" })).await;
    let vm = &site.vms[0];
    let count = "leverstream_records_refused_total";
    until("they are counted", || async { (vm.metric(count).await >= 3.0).then_some(()) }).await;
    for is_restarted in [false, true] {
        if is_restarted {
            site.vms[0].restart();
            site.until_ready().await;
        }
        for _ in 0..10 {
            let answer =
                Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer comes");
            assert_eq!(answer.text(headers::STAMP), Some("i-0"));
        }
    }
    site.list_backend(&backend("i-1", site.origin(1).address)).await;
    until("it is back", || async {
        let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.ok()?;
        (answer.text(headers::STAMP) == Some("i-1")).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_backend_server_that_starts_again_under_its_id_gets_work() {
    let site = Site::start(2, 2).await;
    let born = |born_ms: u64| Backend { born_ms, ..backend("i-1", site.origin(1).address) };
    site.list_backend(&born(1_000)).await;
    // Its address answers for another, so all VMs take that start as ended.
    site.origin(1).rename("i-9");
    let is_ended = |vm: &Vm| vm.has_logged("its address answers for another");
    until("it was met", || async {
        for vm in &site.vms {
            let _ = Call::new(NON_REPEATABLE).send(vm).await;
        }
        site.vms.iter().any(is_ended).then_some(())
    })
    .await;
    site.origin(1).rename("i-1");
    site.list_backend(&born(2_000)).await;
    for vm in &site.vms {
        until("it gets work from every VM", || async {
            let answer = Call::new(NON_REPEATABLE).send(vm).await.ok()?;
            (answer.text(headers::STAMP) == Some("i-1")).then_some(())
        })
        .await;
    }
}
