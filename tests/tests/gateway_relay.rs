//! Requests that a VM without links to backend servers passes on, and what such a VM concludes from failures.

use std::time::{Duration, Instant};

use leverstream_error::KIND_HEADER;
use leverstream_platform::headers;
use leverstream_platform::standin::KeyedWorkspace;
use leverstream_standin::malformed;
use leverstream_standin::origin::{Origin, Reply};
use leverstream_standin::path::PathState;
use leverstream_tests::cut::CutVm;
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site, Vm};
use leverstream_tests::until;
use leverstream_wire::Answer;
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The time within which a request that no VM can serve is refused; its caller would wait for 3 s.
const REFUSAL_LIMIT: Duration = Duration::from_millis(900);

/// The number of valid answers between two malformed ones.
const VALID_BETWEEN: usize = 4;

/// The log line of a VM that finds its links lost.
const LINKS_LOST: &str = "own links to backend servers lost";

/// The counter of requests that a VM has passed on.
const RELAYED_OUT: &str = "leverstream_relayed_out_total";

/// Starts some VMs, and one whose links to all backend servers are lost.
async fn start_cut(vms: usize, state: PathState) -> (Site, CutVm) {
    let site = Site::start(vms, 4).await;
    let cut = CutVm::start(&site, "hall-b", "").await;
    cut.set_paths(state).await;
    until_lost(&cut.vm).await;
    (site, cut)
}

/// Sends requests to a VM until it has found its links lost.
async fn until_lost(vm: &Vm) {
    until("the VM finds its links lost", || async {
        // The first requests may fail.
        let _ = Call::new(REPEATABLE).send(vm).await;
        vm.has_logged(LINKS_LOST).then_some(())
    })
    .await;
}

/// Sends a request to a path and returns the answer.
async fn ask(vm: &Vm, path: &str) -> Answer {
    Call::new(path).send(vm).await.expect("an answer arrives")
}

/// Guards against a request changed or delayed on its way over two VMs.
#[actix_rt::test]
async fn a_request_passed_on_arrives_with_its_id_body_and_the_time_left() {
    let (site, cut) = start_cut(2, PathState::Refusing).await;
    let fields = vec![("x-extra", "kept".to_owned())];
    let path = "/once/passed-on?part=1".to_owned();
    let mut call =
        Call { method: "POST", path, fields, body: vec![b'x'; 70_000], ..Call::new("/") };
    call.caller_timeout_ms = 700;
    let answer = call.send(&cut.vm).await.expect("an answer arrives");
    assert_eq!((answer.status, answer.text(headers::REQUEST_ID)), (200, Some(call.id.as_str())));
    let seen: Vec<_> = site.origins.iter().flat_map(Origin::requests).collect();
    let seen: Vec<_> = seen.iter().filter(|seen| seen.line.contains("passed-on")).collect();
    let [seen] = seen[..] else { panic!("one send, not {}", seen.len()) };
    assert_eq!(seen.line, "POST /once/passed-on?part=1 HTTP/1.1");
    assert_eq!((seen.field("x-extra"), &seen.body), (Some("kept"), &call.body));
    assert!(seen.field("leverstream-relayed").is_none(), "the sealed field stays in the fleet");
    let left_ms: u64 =
        seen.field(headers::REMAINING_MS).and_then(|ms| ms.parse().ok()).unwrap_or(0);
    assert!((1..=700).contains(&left_ms), "{left_ms}");
    assert_eq!(cut.vm.metric("leverstream_links_lost").await, 1.0);
}

/// Guards against a request that is sent again, or called not run, though its result is unknown.
#[actix_rt::test]
async fn a_request_passed_on_that_may_have_run_is_not_repeated_nor_called_not_run() {
    let (site, cut) = start_cut(2, PathState::Refusing).await;
    for (reply, path) in [(Reply::Truncated, "/once/cut"), (Reply::NoAnswer, "/once/mute")] {
        site.set_all_replies(reply);
        let answer = ask(&cut.vm, path).await;
        assert!(matches!(answer.status, 502 | 504), "{reply:?}: {}", answer.status);
        assert_eq!(site.runs(path), 1, "{reply:?}");
    }
    site.set_all_replies(Reply::Rejection);
    let answer = ask(&cut.vm, "/once/shed").await;
    assert_eq!((answer.status, site.runs("/once/shed")), (503, 0));
}

/// Guards against a malformed answer that reaches a caller over two VMs.
#[actix_rt::test]
async fn a_malformed_answer_is_not_relayed() {
    let (site, cut) = start_cut(2, PathState::Refusing).await;
    let mut received = 0;
    for (number, template) in malformed::malformed_answers().enumerate() {
        site.set_all_replies(Reply::Template(template));
        let path = format!("{NON_REPEATABLE}malformed-{number}");
        let answer = ask(&cut.vm, &path).await;
        let is_error = answer.field(KIND_HEADER).is_some() && answer.status >= 500;
        assert!(is_error, "{}: {}", template.name, answer.status);
        let runs = site.runs(&path);
        assert!(runs <= 1, "{}: {runs} runs", template.name);
        assert!(runs == 0 || answer.status == 502, "{}: {}", template.name, answer.status);
        received += runs;
        // Valid answers in between keep the backend servers in service.
        site.set_all_replies(Reply::After(0));
        for _ in 0..VALID_BETWEEN {
            ask(&cut.vm, REPEATABLE).await;
        }
    }
    let total = malformed::malformed_answers().count();
    assert!(received * 2 >= total, "{received} of {total} requests reached a backend server");
}

/// Guards against a VM killed with a request that was passed on to it, which then runs twice or is called not run.
#[actix_rt::test]
async fn a_vm_killed_with_a_request_that_was_passed_on_leaves_its_result_unknown() {
    let (mut site, cut) = start_cut(1, PathState::Refusing).await;
    site.set_all_replies(Reply::After(400));
    let call = Call::new("/once/killed");
    let killing = async {
        until("the request runs", || async { (site.runs("/once/killed") == 1).then_some(()) })
            .await;
        site.vms[0].signal(Signal::KILL);
    };
    let (answer, ()) = tokio::join!(call.send(&cut.vm), killing);
    let answer = answer.expect("an answer arrives");
    assert_eq!((answer.status, site.runs("/once/killed")), (502, 1));
    // A VM at the same address takes requests again once it has started.
    site.vms[0].restart();
    site.set_all_replies(Reply::After(0));
    until("requests are served again", || async {
        (ask(&cut.vm, NON_REPEATABLE).await.status == 200).then_some(())
    })
    .await;
}

/// Guards against backend servers that go on working for a caller that has left.
#[actix_rt::test]
async fn a_caller_that_leaves_ends_its_request_at_both_vms() {
    let (site, cut) = start_cut(1, PathState::Silent).await;
    site.set_all_replies(Reply::After(800));
    let path = "/safe/left";
    let mut stream = TcpStream::connect(cut.vm.callers()).await.expect("the VM listens");
    stream.write_all(&Call::new(path).bytes()).await.expect("the request is sent");
    until("the request runs", || async { (site.runs(path) == 1).then_some(()) }).await;
    drop(stream);
    until("the backend server sees the request abandoned", || async {
        let abandoned = site.origins.iter().map(|origin| origin.abandoned_count(path));
        (abandoned.sum::<u32>() == 1).then_some(())
    })
    .await;
}

/// Guards against requests that wait or circle while no VM reaches a backend server.
#[actix_rt::test]
async fn requests_that_no_vm_can_serve_are_refused_at_once() {
    let (site, cut) = start_cut(1, PathState::Refusing).await;
    let other = CutVm::start(&site, "hall-c", "").await;
    other.set_paths(PathState::Refusing).await;
    until_lost(&other.vm).await;
    // No VM is left that reaches backend servers; those that have lost their links know each other.
    site.vms[0].signal(Signal::KILL);
    let calls_until_refused = until("requests are refused at once", || async {
        let sent_at = Instant::now();
        let answer = ask(&cut.vm, NON_REPEATABLE).await;
        (answer.status == 503 && sent_at.elapsed() < REFUSAL_LIMIT).then_some(answer)
    })
    .await;
    assert!(calls_until_refused.text("retry-after").is_some());
    for path in [NON_REPEATABLE, REPEATABLE] {
        let sent_at = Instant::now();
        let answer = ask(&cut.vm, path).await;
        assert_eq!(answer.status, 503, "{:?}", answer.text(KIND_HEADER));
        assert!(sent_at.elapsed() < REFUSAL_LIMIT, "{:?}", sent_at.elapsed());
    }
}

/// Guards against a service outage that every VM takes for its own lost links.
#[actix_rt::test]
async fn an_outage_of_all_backend_servers_is_no_loss_of_links() {
    let site = Site::start(3, 3).await;
    assert_eq!(ask(&site.vms[0], REPEATABLE).await.status, 200);
    site.origins.iter().for_each(Origin::end);
    until("no backend server is left", || async {
        (ask(&site.vms[0], NON_REPEATABLE).await.status == 503).then_some(())
    })
    .await;
    for _ in 0..10 {
        for vm in &site.vms {
            assert_eq!(ask(vm, NON_REPEATABLE).await.status, 503);
        }
    }
    for vm in &site.vms {
        assert!(!vm.has_logged(LINKS_LOST));
        assert_eq!(vm.metric(RELAYED_OUT).await, 0.0);
    }
}

/// Guards against a VM that does without backend servers it reaches because one of them is gone.
#[actix_rt::test]
async fn the_end_of_one_backend_server_is_no_loss_of_links() {
    let site = Site::start(2, 3).await;
    site.origin(0).end();
    site.set_all_replies(Reply::After(60));
    let calls = (0..6).map(|_| ask(&site.vms[0], REPEATABLE));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer.status, 200);
    }
    assert!(!site.vms[0].has_logged(LINKS_LOST));
    until("a request has met the end", || async {
        site.vms[0].has_logged("attempt failed").then_some(())
    })
    .await;
}

/// Guards against a VM that leaves the entry set and passes all requests on though it reaches some backend servers: on days
/// with partial cuts, VMs that had tested three only served 0.05 to 0.09 of their worth less.
#[actix_rt::test]
async fn the_loss_of_a_part_of_the_paths_is_no_loss_of_links() {
    let site = Site::start(3, 12).await;
    let cut = CutVm::start(&site, "hall-b", "").await;
    cut.set_some_paths(&[0, 1, 2, 3, 4, 5, 6, 7, 8], PathState::Refusing).await;
    for _ in 0..20 {
        let calls = (0..3).map(|_| ask(&cut.vm, REPEATABLE));
        futures_util::future::join_all(calls).await;
    }
    until("the backend servers that are reached serve", || async {
        (ask(&cut.vm, REPEATABLE).await.status == 200).then_some(())
    })
    .await;
    assert!(!cut.vm.has_logged(LINKS_LOST));
    assert_eq!(cut.vm.metric(RELAYED_OUT).await, 0.0);
}

/// Guards against callers refused because new connections fail while old ones live on.
#[actix_rt::test]
async fn requests_are_served_while_only_new_connections_are_refused() {
    let site = Site::start(2, 3).await;
    let cut = CutVm::start(&site, "hall-b", "").await;
    // These connections live on.
    for _ in 0..6 {
        assert_eq!(ask(&cut.vm, REPEATABLE).await.status, 200);
    }
    cut.set_paths(PathState::NewRefused).await;
    site.set_all_replies(Reply::After(60));
    let calls = (0..24).map(|_| ask(&cut.vm, REPEATABLE));
    let answers = futures_util::future::join_all(calls).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, 24, "{:?}", answers.iter().map(|answer| answer.status).collect::<Vec<_>>());
}

/// Guards against a VM that passes requests on though new connections work, as old ones have gone silent.
#[actix_rt::test]
async fn connections_that_go_silent_beside_working_new_ones_are_no_loss_of_links() {
    let site = Site::start(2, 3).await;
    let cut = CutVm::start(&site, "hall-b", "").await;
    for _ in 0..6 {
        assert_eq!(ask(&cut.vm, REPEATABLE).await.status, 200);
    }
    cut.set_paths(PathState::OldSilent).await;
    until("requests are served on new connections", || async {
        (ask(&cut.vm, REPEATABLE).await.status == 200).then_some(())
    })
    .await;
    assert!(!cut.vm.has_logged(LINKS_LOST));
}

/// Sends 60 requests of a workspace with an allotment of 20 to a VM of a new fleet, whose links are lost or not; returns how
/// many are admitted, and how many have run.
async fn admitted_of_allotment(state: PathState) -> (usize, usize) {
    let mut site = Site::start(1, 4).await;
    let club = KeyedWorkspace {
        name: "club".to_owned(),
        keys: vec!["key-one".to_owned()],
        rate_per_s: 0.01,
        burst: 20.0,
        ..KeyedWorkspace::default()
    };
    site.put_workspaces(2, &[club]).await;
    let cut = CutVm::start(&site, "hall-b", "").await;
    cut.set_paths(state).await;
    let fields = vec![("authorization", "Bearer key-one".to_owned())];
    let mut admitted = 0;
    for _ in 0..60 {
        let call = Call { fields: fields.clone(), ..Call::new(REPEATABLE) };
        let answer = call.send(&cut.vm).await.expect("an answer arrives");
        assert!(matches!(answer.status, 200 | 429), "{}", answer.status);
        admitted += usize::from(answer.status == 200);
    }
    let wrong = ask(&cut.vm, REPEATABLE).await;
    assert_eq!(wrong.status, 401, "a request without a key");
    assert_eq!(cut.vm.metric(RELAYED_OUT).await > 0.0, state != PathState::Up);
    (admitted, site.runs(REPEATABLE))
}

/// Guards against a request counted against its workspace's allotment by both VMs, or by none: as many are admitted as where
/// none is passed on, within the tenth that the users allow.
#[actix_rt::test]
async fn a_request_passed_on_counts_once_against_its_allotment() {
    let (direct, _) = admitted_of_allotment(PathState::Up).await;
    let (admitted, runs) = admitted_of_allotment(PathState::Refusing).await;
    assert_eq!(runs, admitted);
    let tolerance = (direct / 10).max(1);
    assert!(admitted.abs_diff(direct) <= tolerance, "{admitted} admitted, {direct} directly");
}

/// Guards against a caller that forges the field by which VMs pass requests on, to escape its allotment.
#[actix_rt::test]
async fn a_forged_field_of_a_request_passed_on_is_ignored() {
    let site = Site::start(1, 1).await;
    let mut call = Call::new(NON_REPEATABLE);
    call.fields
        .push(("leverstream-relayed", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA".to_owned()));
    assert_eq!(call.send(&site.vms[0]).await.expect("an answer arrives").status, 200);
    assert_eq!(site.vms[0].metric("leverstream_relayed_in_total").await, 0.0);
    assert!(site.origin(0).requests()[0].field("leverstream-relayed").is_none());
}
