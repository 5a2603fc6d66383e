//! Answers of backend servers whose status and header fields say whether the request ran, and what callers get for them.

use leverstream_error::KIND_HEADER;
use leverstream_platform::headers;
use leverstream_standin::origin::{Reply, ScriptedReply, StatusReply};
use leverstream_standin::path::PathState;
use leverstream_tests::cut::CutVm;
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site, Vm};
use leverstream_tests::until;
use leverstream_wire::Answer;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// The statuses by which an answer to a caller promises that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The statuses with which a backend server fails a request that it ran.
const FAILURES: [u16; 7] = [408, 429, 500, 502, 503, 504, 599];

/// The statuses with which the application answers a request that it ran, none of which is a failure.
const FINAL: [u16; 8] = [200, 204, 304, 400, 404, 409, 413, 418];

/// The number of good answers between two rows of a table, which keep the backend servers in service.
const GOOD_BETWEEN: usize = 6;

/// The number of random scripts of answers that are played.
const SCRIPTS: usize = 250;

/// The number of requests to a service of which one backend server fails all.
const REQUESTS: usize = 80;

/// How long a sound backend server works on a request, in milliseconds.
const WORK_MS: u64 = 15;

/// Sends a request to a path and returns the answer.
async fn ask(vm: &Vm, path: &str) -> Answer {
    Call::new(path).send(vm).await.expect("an answer arrives")
}

/// Sends requests that are served, so that earlier failures don't decide which backend server is chosen.
async fn serve_some(site: &Site, vm: &Vm) {
    site.set_all_replies(Reply::After(0));
    for _ in 0..GOOD_BETWEEN {
        ask(vm, REPEATABLE).await;
    }
}

/// Tells whether an answer is the gateway's own.
fn is_own(answer: &Answer) -> bool {
    answer.field(KIND_HEADER).is_some() && answer.field(headers::INSTANCE_STAMP).is_none()
}

/// Checks what callers of a VM get for each status with which all backend servers fail what they have run.
async fn check_failures(site: &Site, vm: &Vm, name: &str) {
    for status in FAILURES {
        for (has_id, has_stamp) in [(true, true), (false, true), (true, false)] {
            let reply = StatusReply { has_id, has_stamp, ..StatusReply::ran(status) };
            for prefix in [NON_REPEATABLE, REPEATABLE] {
                serve_some(site, vm).await;
                site.set_all_replies(Reply::Status(reply));
                let path = format!("{prefix}{name}-{status}-{has_id}-{has_stamp}");
                let answer = ask(vm, &path).await;
                let runs = site.runs(&path);
                let row = format!("{path}: status {}, {runs} runs", answer.status);
                if prefix == REPEATABLE {
                    assert!((1..=2).contains(&runs), "{row}");
                    assert!(answer.status == status || answer.status == 502, "{row}");
                } else {
                    assert_eq!(runs, 1, "{row}");
                    assert!(!PROMISES.contains(&answer.status), "{row}: a promise that is broken");
                    let expected = if PROMISES.contains(&status) { 502 } else { status };
                    assert_eq!(answer.status, expected, "{row}");
                }
            }
        }
    }
}

/// Guards against a failure of a backend server that ran the request and reaches the caller as the promise that it did not: the
/// caller sends the order again, and it runs twice.
#[actix_rt::test]
async fn a_failure_of_a_request_that_ran_is_never_passed_on_as_not_run() {
    let site = Site::start(1, 2).await;
    check_failures(&site, &site.vms[0], "own").await;
}

/// Guards against the same over two VMs, of which the first has lost its links to backend servers.
#[actix_rt::test]
async fn a_failure_of_a_request_that_was_passed_on_is_never_called_not_run() {
    let site = Site::start(2, 2).await;
    let cut = CutVm::start(&site, "hall-b", "").await;
    cut.set_paths(PathState::Refusing).await;
    until("the VM finds its links lost", || async {
        let _ = Call::new(REPEATABLE).send(&cut.vm).await;
        cut.vm.has_logged("own links to backend servers lost").then_some(())
    })
    .await;
    check_failures(&site, &cut.vm, "relayed").await;
}

/// Guards against answers of the application that are taken for failures, changed, or asked for again.
#[actix_rt::test]
async fn an_answer_of_the_application_is_passed_on_as_it_is() {
    let site = Site::start(1, 2).await;
    for status in FINAL {
        site.set_all_replies(Reply::Status(StatusReply::ran(status)));
        for prefix in [NON_REPEATABLE, REPEATABLE] {
            let path = format!("{prefix}final-{status}");
            let answer = ask(&site.vms[0], &path).await;
            assert_eq!((answer.status, site.runs(&path)), (status, 1), "{path}");
            assert!(!is_own(&answer), "{path}");
        }
    }
}

/// Guards against a rejection that is taken for a run: by whichever status a backend server says that it did not run a request,
/// that one goes to the other, which serves it, and the caller never learns of the rejection.
#[actix_rt::test]
async fn a_rejected_request_is_served_by_another_whatever_its_status() {
    let site = Site::start(1, 2).await;
    for status in FAILURES {
        let mut rejected = 0;
        for number in 0..GOOD_BETWEEN {
            let prefix = if number % 2 == 0 { NON_REPEATABLE } else { REPEATABLE };
            let path = format!("{prefix}rejected-{status}-{number}");
            site.set_all_replies(Reply::After(0));
            site.origin(number % 2).set(Reply::Status(StatusReply::not_run(status)));
            let before = site.origin(number % 2).requests().len();
            let answer = ask(&site.vms[0], &path).await;
            assert_eq!((answer.status, site.runs(&path)), (200, 1), "{path}");
            rejected += site.origin(number % 2).requests().len() - before;
        }
        assert!(rejected > 0, "{status}: no request was rejected");
    }
}

/// Guards against a request that all backend servers reject and that is answered as anything but not run.
#[actix_rt::test]
async fn a_request_that_all_reject_is_answered_as_not_run() {
    let site = Site::start(1, 2).await;
    for status in FAILURES {
        for prefix in [NON_REPEATABLE, REPEATABLE] {
            serve_some(&site, &site.vms[0]).await;
            site.set_all_replies(Reply::Status(StatusReply::not_run(status)));
            let path = format!("{prefix}all-{status}");
            let answer = ask(&site.vms[0], &path).await;
            assert_eq!((answer.status, site.runs(&path)), (503, 0), "{path}");
            assert!(is_own(&answer), "{path}");
        }
    }
}

/// Guards against an answer that says both that it succeeded and that the request did not run: neither reaches the caller.
#[actix_rt::test]
async fn a_success_marked_as_not_run_is_neither_success_nor_promise() {
    let site = Site::start(1, 2).await;
    for status in [200, 201, 302] {
        site.set_all_replies(Reply::Status(StatusReply::not_run(status)));
        let answer = ask(&site.vms[0], &format!("{NON_REPEATABLE}both-{status}")).await;
        assert_eq!(answer.status, 502, "{status}");
    }
}

/// Guards against any order of failures, rejections and good answers after which a caller is promised that a request has not run
/// which has, or in which an unsafe request runs twice.
#[actix_rt::test]
async fn no_order_of_answers_ends_in_a_false_promise() {
    let site = Site::start(1, 3).await;
    let mut rng = SmallRng::seed_from_u64(91);
    let (mut promised, mut served) = (0, 0);
    for number in 0..SCRIPTS {
        site.set_all_replies(Reply::After(0));
        for origin in &site.origins {
            let script: Vec<ScriptedReply> = (0..3).map(|_| random_reply(&mut rng)).collect();
            origin.set_script(&script);
        }
        let path = format!("{NON_REPEATABLE}order-{number}");
        let answer = ask(&site.vms[0], &path).await;
        let runs = site.runs(&path);
        let row = format!("{path}: status {}, {runs} runs", answer.status);
        assert!(runs <= 1, "{row}");
        let is_promise = PROMISES.contains(&answer.status);
        assert!(!is_promise || runs == 0, "{row}: a promise that is broken");
        assert!(answer.status != 200 || runs == 1, "{row}");
        promised += usize::from(is_promise);
        served += usize::from(answer.status == 200);
        site.origins.iter().for_each(|origin| origin.set_script(&[]));
        serve_some(&site, &site.vms[0]).await;
    }
    assert!(served > 0, "no request was served");
    assert!(promised > 0 || served > SCRIPTS / 4, "{promised} promised, {served} served");
}

/// Returns a random reply: a good one, a failure or a rejection.
fn random_reply(rng: &mut SmallRng) -> ScriptedReply {
    let status = *FAILURES.choose(rng).expect("there are statuses");
    match rng.random_range(0..4) {
        0 => ScriptedReply::Serve,
        1 => ScriptedReply::Status(StatusReply::ran(status)),
        _ => ScriptedReply::Status(StatusReply::not_run(status)),
    }
}

/// Guards against a backend server that fails all requests at once and thereby looks like the fastest of its service: callers whose
/// requests may be repeated get its failure though another one would serve them, and it gets most of the others.
#[actix_rt::test]
async fn a_backend_server_that_fails_fast_is_not_preferred() {
    for status in [429, 408] {
        let site = Site::start(1, 3).await;
        site.set_all_replies(Reply::After(WORK_MS));
        site.origin(0).set(Reply::Status(StatusReply::ran(status)));
        let mut failed = 0;
        for number in 0..REQUESTS {
            let path = format!("{REPEATABLE}fast-{number}");
            failed += usize::from(ask(&site.vms[0], &path).await.status != 200);
        }
        let mut received = 0;
        for number in 0..REQUESTS {
            let path = format!("{NON_REPEATABLE}fast-{number}");
            ask(&site.vms[0], &path).await;
            received += site.origin(0).runs(&path);
        }
        assert_eq!(failed, 0, "{status}: repeatable requests that were not served");
        // A third is what an even choice would give it.
        assert!(
            received <= REQUESTS / 3,
            "{status}: {received} of {REQUESTS} at the one that fails"
        );
    }
}
