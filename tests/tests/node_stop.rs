//! What signals cost the callers of a VM that runs with a table of its own.

use std::time::Duration;

use awc::http::Method;
use leverstream_standin::backend::Mode;
use leverstream_tests::slow_caller::SlowCaller;
use leverstream_tests::{Backend, Fleet, Request, until};
use rustix::process::Signal;
use serde_json::json;

/// The time that the backend server works on a request.
const WORK_MS: u64 = 600;

/// Starts a VM with one backend server, whose answers have a size.
async fn start(answer_bytes: usize) -> (Fleet, Backend) {
    let backend = Backend::start("b1", 4);
    backend.set_mode(&Mode { work_ms: WORK_MS, answer_bytes, ..Mode::default() }).await;
    let fleet = Fleet::start(&["a"]).await;
    let row = json!({
        "taken_over": true, "repeatable": ["GET /*"], "deadline_ms": 20_000, "unkeyed": "single",
    });
    fleet.add_service("shop", row, &[("b1", backend.address)]).await;
    (fleet, backend)
}

/// Waits until the backend server works on a request.
async fn until_started(backend: &Backend) {
    until("the request runs", || async { (backend.counts().await.started >= 1).then_some(()) })
        .await;
}

/// Guards against a VM that SIGHUP ends at once, with all requests that it has passed on: nothing listened for that signal.
#[actix_rt::test]
async fn sighup_ends_neither_the_process_nor_a_request() {
    let (mut fleet, backend) = start(0).await;
    let request = Request::new(fleet.daemons[0].callers, "shop", Method::POST, "/orders");
    let signal = async {
        until_started(&backend).await;
        fleet.daemons[0].process.signal(Signal::HUP);
    };
    let (answer, ()) = tokio::join!(request.send(), signal);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    assert_eq!(fleet.daemons[0].process.try_exit_code(), None);
}

/// Guards against a request that is cut because the signal to stop comes twice.
#[actix_rt::test]
async fn second_sigterm_costs_no_request() {
    let (mut fleet, backend) = start(0).await;
    let request = Request::new(fleet.daemons[0].callers, "shop", Method::POST, "/orders");
    let signal = async {
        until_started(&backend).await;
        for signal in [Signal::TERM, Signal::HUP, Signal::TERM] {
            fleet.daemons[0].process.signal(signal);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let (answer, ()) = tokio::join!(request.send(), signal);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    assert_eq!(fleet.daemons[0].process.wait().await, Some(0));
}

/// Guards against a process that leaves while a caller still reads an answer that was ready before the stop.
#[actix_rt::test]
async fn answer_that_is_read_slowly_is_whole_after_a_stop() {
    /// More than the buffers of a connection hold.
    const BYTES: usize = 12_000_000;
    /// Longer than the stop waits for connections after the last request is ready.
    const READ_TIME: Duration = Duration::from_millis(7_500);
    let (mut fleet, backend) = start(BYTES).await;
    let mut caller = SlowCaller::connect(fleet.daemons[0].callers).await;
    let head = "GET /games HTTP/1.1\r\nhost: shop\r\nleverstream-service: shop\r\n\r\n";
    caller.send(head.as_bytes()).await;
    until_started(&backend).await;
    fleet.daemons[0].process.signal(Signal::TERM);
    let received = caller.read(BYTES, READ_TIME).await.expect("an answer");
    assert!(received.status == 200 && received.is_whole(), "{received:?}");
    assert_eq!(fleet.daemons[0].process.wait().await, Some(0));
}

/// Guards against connections that are closed with requests of their callers read and unanswered as the process leaves.
#[actix_rt::test]
async fn requests_on_kept_connections_are_answered_until_the_process_is_gone() {
    let (mut fleet, backend) = start(0).await;
    backend.set_mode(&Mode { work_ms: 20, ..Mode::default() }).await;
    let address = fleet.daemons[0].callers;
    let callers = (0..8).map(|number| async move {
        let mut results = Vec::new();
        let mut caller = SlowCaller::connect(address).await;
        for count in 0..400 {
            let key = format!("{number}-{count}");
            let head = format!("POST /orders HTTP/1.1\r\nhost: shop\r\nleverstream-service: shop\r\nidempotency-key: {key}\r\ncontent-length: 0\r\n\r\n");
            if !caller.try_send(head.as_bytes()).await {
                break;
            }
            let received = caller.read(1_000, Duration::ZERO).await;
            let is_over = received.is_none();
            results.push((key, received));
            if is_over {
                break;
            }
        }
        results
    });
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.daemons[0].process.signal(Signal::TERM);
    };
    let (results, ()) = tokio::join!(futures_util::future::join_all(callers), stop);
    let runs = backend.counts().await.by_key;
    let mut answered = 0;
    for (key, received) in results.into_iter().flatten() {
        let is_answered = received.is_some_and(|received| received.is_whole());
        answered += usize::from(is_answered);
        let ran = runs.get(&key).copied().unwrap_or(0);
        assert!(is_answered || ran == 0, "{key} ran and was not answered");
    }
    assert!(answered > 40, "{answered} are answered");
    assert_eq!(fleet.daemons[0].process.wait().await, Some(0));
}

/// Guards against an answer that is dropped with its connection's reset, because the caller sent more on it after the request.
#[actix_rt::test]
async fn bytes_that_follow_a_request_do_not_cost_its_answer_in_a_stop() {
    /// Less than the buffers of the connection hold, so that the VM has written all while the caller has read little.
    const BYTES: usize = 150_000;
    let (mut fleet, backend) = start(BYTES).await;
    let head = "GET /games HTTP/1.1\r\nhost: shop\r\nleverstream-service: shop\r\n\r\n";
    let mut caller = SlowCaller::connect(fleet.daemons[0].callers).await;
    caller.send(head.as_bytes()).await;
    until_started(&backend).await;
    fleet.daemons[0].process.signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(WORK_MS + 400)).await;
    caller.send(head.as_bytes()).await;
    let received = caller.read(BYTES, Duration::from_millis(1_000)).await.expect("an answer");
    assert!(received.status == 200 && received.is_whole(), "{received:?}");
    drop(caller);
    assert_eq!(fleet.daemons[0].process.wait().await, Some(0));
}
