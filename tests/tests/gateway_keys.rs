//! API keys, their revocation, and the allotments of workspaces over a fleet of gateways.

use std::time::{Duration, Instant};

use leverstream_platform::standin::KeyedWorkspace;
use leverstream_platform::{headers, standin};
use leverstream_standin::platform::Faults;
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, REVOKE_S, Site, Vm, route};
use leverstream_tests::until;
use leverstream_wire::Answer;
use rustix::process::Signal;

/// A path that requires no key.
const OPEN: &str = "/open/";

/// A workspace without a rate limit.
fn workspace(name: &str, keys: &[&str]) -> KeyedWorkspace {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    KeyedWorkspace { name: name.to_owned(), keys, ..KeyedWorkspace::default() }
}

/// A request with the given values of the `authorization` field.
fn call(path: &str, values: &[&str]) -> Call {
    let fields = values.iter().map(|value| ("authorization", (*value).to_owned())).collect();
    Call { fields, ..Call::new(path) }
}

/// Sends a request with a key as a bearer token.
async fn send(vm: &Vm, path: &str, key: &str) -> Answer {
    call(path, &[&format!("Bearer {key}")]).send(vm).await.expect("an answer arrives")
}

/// A site with an open route and one workspace, `club`, that holds two keys.
async fn site(vms: usize) -> Site {
    let mut site = Site::start(vms, 1).await;
    let open = leverstream_catalog::Route { is_open: true, ..route(OPEN, true, "shop") };
    let host = leverstream_tests::site::HOST.to_owned();
    let routes = [route(REPEATABLE, true, "shop"), route(NON_REPEATABLE, false, "shop"), open];
    let routes = routes.into_iter().map(|route| (host.clone(), route)).collect();
    let (services, limits) = (site.catalog.services.clone(), site.catalog.limits);
    site.catalog = leverstream_catalog::Catalog::build(1, routes, services, limits)
        .expect("the catalog is sound");
    site.put_workspaces(2, &[workspace("club", &["key-one", "key-two"])]).await;
    site
}

#[actix_rt::test]
async fn a_key_admits_a_request_to_its_workspace_and_is_not_forwarded() {
    let site = site(1).await;
    let vm = &site.vms[0];
    for path in [REPEATABLE, NON_REPEATABLE] {
        let mut call = call(path, &["bearer key-one"]);
        call.fields.push((headers::WORKSPACE, "forged".to_owned()));
        assert_eq!(call.send(vm).await.expect("an answer arrives").status, 200);
    }
    let mut open = call(OPEN, &["Bearer key-one"]);
    open.fields.push((headers::WORKSPACE, "forged".to_owned()));
    assert_eq!(open.send(vm).await.expect("an answer arrives").status, 200);
    assert_eq!(Call::new(OPEN).send(vm).await.expect("an answer arrives").status, 200);
    let seen = site.origin(0).requests();
    let workspaces: Vec<_> = seen.iter().map(|seen| seen.field(headers::WORKSPACE)).collect();
    assert_eq!(workspaces, [Some("club"), Some("club"), None, None]);
    assert!(seen.iter().all(|seen| seen.field("authorization").is_none()));
    assert!(!vm.has_logged("key-one"), "a key is in the log");
}

#[actix_rt::test]
async fn a_request_without_a_valid_key_is_not_run() {
    let site = site(1).await;
    let vm = &site.vms[0];
    let wrong: [&[&str]; 5] = [
        &[],
        &["Bearer key-three"],
        &["Basic key-one"],
        &["key-one"],
        &["Bearer key-one", "Bearer key-one"],
    ];
    for values in wrong {
        let answer = call(NON_REPEATABLE, values).send(vm).await.expect("an answer arrives");
        assert_eq!(answer.status, 401, "{values:?}");
        assert_eq!(answer.text("www-authenticate"), Some("Bearer"), "{values:?}");
    }
    assert_eq!(site.runs(NON_REPEATABLE), 0);
    let missing = call("/nowhere/", &[]).send(vm).await.expect("an answer arrives");
    assert_eq!(missing.status, 404);
}

#[actix_rt::test]
async fn a_revoked_key_stops_working_at_once_and_the_other_keeps_working() {
    let mut site = site(2).await;
    assert_eq!(send(&site.vms[1], REPEATABLE, "key-one").await.status, 200);
    site.put_workspaces(3, &[workspace("club", &["key-two"])]).await;
    for vm in &site.vms {
        assert_eq!(send(vm, REPEATABLE, "key-one").await.status, 401);
        assert_eq!(send(vm, REPEATABLE, "key-two").await.status, 200);
    }
}

#[actix_rt::test]
async fn keys_are_trusted_for_a_limited_time_while_the_store_is_silent() {
    let site = site(2).await;
    let vm = &site.vms[0];
    assert_eq!(send(vm, NON_REPEATABLE, "key-one").await.status, 200);
    let silent_since = Instant::now();
    site.platform.set_faults(&Faults { silent: true, ..Faults::default() }).await;
    assert_eq!(send(vm, NON_REPEATABLE, "key-one").await.status, 200);
    let refused = until("keys are no longer trusted", || async {
        let answer = send(vm, NON_REPEATABLE, "key-one").await;
        (answer.status != 200).then_some(answer)
    })
    .await;
    assert!(silent_since.elapsed() < Duration::from_secs_f64(REVOKE_S));
    assert_eq!(refused.status, 503);
    assert!(refused.text("retry-after").is_some());
    assert_eq!(Call::new(OPEN).send(vm).await.expect("an answer arrives").status, 200);
    site.platform.set_faults(&Faults::default()).await;
    until("keys are trusted again", || async {
        (send(vm, NON_REPEATABLE, "key-one").await.status == 200).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_resumed_vm_refuses_a_key_revoked_during_its_pause() {
    let mut site = site(2).await;
    assert_eq!(send(&site.vms[1], NON_REPEATABLE, "key-one").await.status, 200);
    let runs = site.runs(NON_REPEATABLE);
    site.vms[1].signal(Signal::STOP);
    let revoked_at = Instant::now();
    site.catalog.version = 3;
    let config = standin::config(&site.catalog);
    site.put_config(standin::with_workspaces(config, &[workspace("club", &["key-two"])])).await;
    tokio::time::sleep(Duration::from_secs_f64(REVOKE_S).saturating_sub(revoked_at.elapsed()))
        .await;
    site.vms[1].signal(Signal::CONT);
    for _ in 0..20 {
        let answer = send(&site.vms[1], NON_REPEATABLE, "key-one").await;
        assert_ne!(answer.status, 200, "a revoked key works");
    }
    assert_eq!(site.runs(NON_REPEATABLE), runs);
    until("the other key works", || async {
        (send(&site.vms[1], NON_REPEATABLE, "key-two").await.status == 200).then_some(())
    })
    .await;
}

#[actix_rt::test]
async fn a_fleet_keeps_an_allotment_when_callers_use_all_its_vms() {
    let mut site = site(3).await;
    let limited =
        KeyedWorkspace { rate_per_s: 10.0, burst: 10.0, ..workspace("club", &["key-one"]) };
    site.put_workspaces(3, &[limited, workspace("other", &["key-two"])]).await;
    let started_at = Instant::now();
    let (mut served, mut refused) = (0, Vec::new());
    while started_at.elapsed() < Duration::from_secs(3) {
        for vm in &site.vms {
            let answer = send(vm, REPEATABLE, "key-one").await;
            match answer.status {
                200 => served += 1,
                429 => refused.push(answer),
                status => panic!("status {status}"),
            }
            assert_eq!(send(vm, REPEATABLE, "key-two").await.status, 200);
        }
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    // At most rate and burst plus a tenth and the slack; little is refused below rate and burst.
    let nominal = 10.0 * elapsed_s + 10.0;
    assert!(f64::from(served) <= nominal * 1.1 + 20.0, "{served} in {elapsed_s:.1} s");
    assert!(f64::from(served) >= nominal * 0.95 - 5.0, "{served} in {elapsed_s:.1} s");
    let last = refused.last().expect("some are refused");
    let after_s: f64 =
        last.text("retry-after").and_then(|text| text.parse().ok()).expect("a number of seconds");
    assert!(after_s > 0.0 && after_s <= 1.0, "{after_s}");
}

#[actix_rt::test]
async fn an_allotment_is_kept_while_all_vms_are_killed_repeatedly() {
    let mut site = site(3).await;
    let limited =
        KeyedWorkspace { rate_per_s: 20.0, burst: 40.0, ..workspace("club", &["key-one"]) };
    site.put_workspaces(3, &[limited, workspace("other", &["key-two"])]).await;
    let mut served: Vec<Instant> = Vec::new();
    for _ in 0..5 {
        site.vms.iter_mut().for_each(|vm| vm.process.kill());
        site.vms.iter_mut().for_each(Vm::restart);
        site.until_ready().await;
        let until = Instant::now() + Duration::from_millis(700);
        while Instant::now() < until {
            for vm in &site.vms {
                let answer = send(vm, REPEATABLE, "key-one").await;
                assert!(matches!(answer.status, 200 | 429 | 503), "{}", answer.status);
                served.extend((answer.status == 200).then(Instant::now));
            }
        }
    }
    let most = most_in_window(&served);
    let bound = (20.0 * 5.0 + 40.0) * 1.1 + 20.0;
    println!("{most} in a window that may hold {bound}");
    assert!(most as f64 <= bound, "{most} in a window that may hold {bound}");
    assert!(most >= 60, "{most}: hardly any request was admitted");
}

/// Guards against a burst granted anew at every restart: with the store unavailable whenever requests came, no process could
/// read that the one before it had started with half a burst, and 347, 355 and 348 requests were served in a window that may
/// hold 196. A process therefore reads that record when it starts and reaches the store to load the workspaces, not at the
/// first request of a workspace.
#[actix_rt::test]
async fn an_allotment_is_kept_when_the_store_fails_after_restarts_and_before_requests() {
    let mut site = site(3).await;
    let limited =
        KeyedWorkspace { rate_per_s: 2.0, burst: 150.0, ..workspace("club", &["key-one"]) };
    site.put_workspaces(3, &[limited, workspace("other", &["key-two"])]).await;
    let mut served: Vec<Instant> = Vec::new();
    for _ in 0..4 {
        site.platform.set_faults(&Faults::default()).await;
        site.vms.iter_mut().for_each(|vm| vm.process.kill());
        site.vms.iter_mut().for_each(Vm::restart);
        site.until_ready().await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
        let until = Instant::now() + Duration::from_millis(500);
        while Instant::now() < until {
            for vm in &site.vms {
                let answer = send(vm, REPEATABLE, "key-one").await;
                served.extend((answer.status == 200).then(Instant::now));
            }
        }
    }
    let most = most_in_window(&served);
    let bound = (2.0 * 5.0 + 150.0) * 1.1 + 20.0;
    println!("{most} in a window that may hold {bound}");
    assert!(most as f64 <= bound, "{most} in a window that may hold {bound}");
    assert!(most >= 60, "{most}: hardly any request was admitted");
}

/// The largest number of requests served within any window of 5 s.
fn most_in_window(served: &[Instant]) -> usize {
    let window = Duration::from_secs(5);
    let within =
        |from: Instant| served.iter().filter(move |at| (from..from + window).contains(*at));
    served.iter().map(|from| within(*from).count()).max().unwrap_or(0)
}
