//! Answers reach the caller complete or as an error, and the outcome `not-run` is reported only for requests that never ran.

use std::net::SocketAddr;

use awc::http::Method;
use leverstream_standin::backend::Mode;
use leverstream_standin::relay::{Fault, Faults, Relay};
use leverstream_standin::script::{ScriptedBytes, ScriptedServer};
use leverstream_tests::{Backend, Fleet, Request, WAIT_TIMEOUT, change, send_raw, until};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Starts a daemon with a service of one backend server address, whose GET requests may be retried.
async fn fleet_with_backend(address: SocketAddr) -> Fleet {
    let fleet = Fleet::start(&["a"]).await;
    let row = json!({
        "taken_over": true, "repeatable": ["GET /*"], "deadline_ms": 1_000, "unkeyed": "single",
        "shed_statuses": [529],
    });
    fleet.add_service("shop", row, &[("b1", address)]).await;
    fleet
}

/// A GET request to the first daemon.
fn get(fleet: &Fleet, path: &str) -> Request {
    Request::new(fleet.daemons[0].callers, "shop", Method::GET, path)
}

/// A POST request to the first daemon.
fn post(fleet: &Fleet, path: &str) -> Request {
    Request::new(fleet.daemons[0].callers, "shop", Method::POST, path)
}

#[actix_rt::test]
async fn broken_answers_are_reported_as_unknown_and_never_as_complete_or_not_run() {
    let close = |answer: &str| ScriptedBytes {
        answer: answer.as_bytes().to_vec(),
        close: true,
        ..ScriptedBytes::default()
    };
    let cases = [
        ("short body", close("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfour")),
        ("cut chunk", close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nfour")),
        (
            "no last chunk",
            close("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n"),
        ),
        ("no length at all", close("HTTP/1.1 200 OK\r\n\r\nfour")),
        ("close before the head", close("")),
        ("cut head", close("HTTP/1.1 200 O")),
        ("no HTTP", close("hello\r\n\r\n")),
        (
            "two lengths",
            close("HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"),
        ),
        ("unasked 100", close("HTTP/1.1 100 Continue\r\n\r\n")),
    ];
    for (what, lines) in cases {
        let script = ScriptedServer::spawn(lines).await.expect("the script starts");
        let fleet = fleet_with_backend(script.address).await;
        let answer = post(&fleet, "/orders").must_send().await;
        assert_eq!(answer.outcome, "unknown", "{what}: {answer:?}");
        assert_eq!(script.requests(), 1, "{what}: the request ran more than once");
        let answer = get(&fleet, "/status").must_send().await;
        assert_eq!((answer.status / 100, answer.outcome.as_str()), (5, "unknown"), "{what}");
    }
}

#[actix_rt::test]
async fn a_large_answer_that_is_cut_closes_the_callers_connection_early() {
    let big = Backend::start("big", 4);
    big.set_mode(&Mode { answer_bytes: 400_000, ..Mode::default() }).await;
    let relay = Relay::spawn(big.address).await.expect("the relay starts");
    let fleet = fleet_with_backend(relay.address).await;
    let whole = get(&fleet, "/games").must_send().await;
    assert_eq!(whole.report().filling.len(), 400_000);
    let cut = Fault { close_after_bytes: Some(200_000), ..Fault::default() };
    relay.set_faults(Faults { reverse: cut, ..Faults::default() });
    let mut is_cut_seen = false;
    for _ in 0..5 {
        let answer = get(&fleet, "/games").send().await;
        // An answer over the pooled connection may be complete; a cut one must not pass as complete.
        match answer {
            Some(answer) if answer.status == 200 => {
                assert_eq!(answer.report().filling.len(), 400_000);
            }
            Some(answer) => assert_eq!(answer.outcome, "unknown"),
            None => is_cut_seen = true,
        }
    }
    assert!(is_cut_seen);
}

#[actix_rt::test]
async fn surplus_and_unsolicited_bytes_never_reach_another_request() {
    let surplus = ScriptedBytes {
        answer: b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmineHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nothers"
            .to_vec(),
        ..ScriptedBytes::default()
    };
    let unsolicited = ScriptedBytes {
        answer: b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmine".to_vec(),
        unsolicited: b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nothers".to_vec(),
        ..ScriptedBytes::default()
    };
    for lines in [surplus, unsolicited] {
        let sends_late = !lines.unsolicited.is_empty();
        let script = ScriptedServer::spawn(lines).await.expect("the script starts");
        let fleet = fleet_with_backend(script.address).await;
        for round in 1..=10 {
            let answer = get(&fleet, "/mine").must_send().await;
            assert_eq!((answer.status, answer.body.as_str()), (200, "mine"), "round {round}");
            if sends_late {
                until("the late bytes are sent", || async {
                    (script.unsolicited_count() >= round).then_some(())
                })
                .await;
            }
        }
    }
}

#[actix_rt::test]
async fn thousands_of_concurrent_requests_each_get_their_own_complete_answer() {
    let backends = [Backend::start("b1", 4), Backend::start("b2", 4)];
    let fleet = Fleet::start(&["a"]).await;
    let row = json!({ "taken_over": true, "queue": 10_000, "deadline_ms": 20_000 });
    let rows = [("b1", backends[0].address), ("b2", backends[1].address)];
    fleet.add_service("shop", row, &rows).await;
    let sends = (0..2_000).map(|number| {
        let request = get(&fleet, &format!("/games/{number}"));
        async move { (number, request.must_send().await) }
    });
    let stream = futures_util::stream::iter(sends);
    let answers: Vec<_> =
        futures_util::StreamExt::collect(futures_util::StreamExt::buffer_unordered(stream, 200))
            .await;
    for (number, answer) in answers {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.report().path, format!("/games/{number}"));
    }
}

#[actix_rt::test]
async fn not_run_is_reported_only_for_requests_that_the_backend_server_never_started() {
    let backend = Backend::start("b1", 1);
    let relay = Relay::spawn(backend.address).await.expect("the relay starts");
    let fleet = fleet_with_backend(relay.address).await;
    let cut = Fault { is_blackholed: true, ..Fault::default() };
    let faults = [
        ("none", Faults::default()),
        ("forward cut", Faults { forward: cut, ..Faults::default() }),
        ("back cut", Faults { reverse: cut, ..Faults::default() }),
    ];
    for (what, faults) in faults {
        relay.set_faults(faults);
        for limit in [None, Some(0), Some(1), Some(40), Some(120), Some(400)] {
            let truncate = Fault { close_after_bytes: limit, ..Fault::default() };
            if faults == Faults::default() {
                relay.set_faults(Faults { reverse: truncate, ..faults });
            }
            let before = backend.counts().await.started;
            let request = post(&fleet, "/orders").header("leverstream-deadline-ms", "400");
            let answer = request.must_send().await;
            let ran = backend.counts().await.started - before;
            assert!(ran <= 1, "{what} {limit:?}: ran {ran} times");
            if answer.outcome == "not-run" {
                assert_eq!(ran, 0, "{what} {limit:?}: {answer:?}");
            }
        }
    }
}

#[actix_rt::test]
async fn queue_expiry_and_refused_connections_are_reported_as_not_run_and_did_not_run() {
    let mut backend = Backend::start("b1", 4);
    let fleet = fleet_with_backend(backend.address).await;
    let slots = change("shop/b1.slots", json!(1));
    let version = fleet.daemons[0].must_edit(&[slots]).await;
    fleet.wait_in_force("shop", version).await;
    backend.set_mode(&Mode { stall_share: 1.0, ..Mode::default() }).await;
    let holder = post(&fleet, "/orders");
    let held = actix_rt::spawn(async move { holder.send().await });
    until("the slot is in use", || async { (backend.counts().await.started == 1).then_some(()) })
        .await;
    let queued = post(&fleet, "/orders").header("leverstream-deadline-ms", "200").must_send().await;
    assert_eq!((queued.error.as_str(), queued.outcome.as_str()), ("deadline-passed", "not-run"));
    let held = held.await.expect("the task ends").expect("an answer arrives");
    assert_eq!((held.error.as_str(), held.outcome.as_str()), ("answer-timeout", "unknown"));
    assert_eq!(backend.counts().await.started, 1);
    backend.process.kill();
    let refused = post(&fleet, "/orders").must_send().await;
    assert_eq!((refused.error.as_str(), refused.outcome.as_str()), ("connect-failed", "not-run"));
}

#[actix_rt::test]
async fn a_shed_request_is_sent_to_another_backend_server_and_runs_once() {
    let (shedding, open) = (Backend::start("b1", 4), Backend::start("b2", 4));
    shedding.set_mode(&Mode { shed: true, ..Mode::default() }).await;
    let fleet = Fleet::start(&["a"]).await;
    let row = json!({
        "taken_over": true, "unkeyed": "single", "shed_statuses": [503], "retry_budget_percent": 100,
    });
    let rows = [("b1", shedding.address), ("b2", open.address)];
    fleet.add_service("shop", row, &rows).await;
    for _ in 0..10 {
        let answer = post(&fleet, "/orders").must_send().await;
        assert_eq!(answer.report().backend, "b2");
    }
    assert_eq!(open.counts().await.started, 10);
}

#[actix_rt::test]
async fn retries_during_a_brownout_stay_within_the_retry_budget() {
    let backends = [Backend::start("b1", 8), Backend::start("b2", 8)];
    for backend in &backends {
        backend.set_mode(&Mode { error_share: 1.0, ..Mode::default() }).await;
    }
    let fleet = Fleet::start(&["a"]).await;
    let row = json!({ "taken_over": true, "retry_budget_percent": 10 });
    let rows = [("b1", backends[0].address), ("b2", backends[1].address)];
    fleet.add_service("shop", row, &rows).await;
    for _ in 0..400 {
        assert_eq!(get(&fleet, "/games").must_send().await.status, 500);
    }
    let mut started = 0;
    for backend in &backends {
        started += backend.counts().await.started;
    }
    // 400 requests, retries of 10 % of them, and the 20 retries that an idle service has accumulated.
    assert!((400..=400 + 40 + 20 + 5).contains(&started), "{started} runs of 400 requests");
}

#[actix_rt::test]
async fn malformed_requests_are_refused_and_reach_no_backend_server() {
    let backend = Backend::start("b1", 4);
    let fleet = fleet_with_backend(backend.address).await;
    let address = fleet.daemons[0].callers;
    let head = "POST /orders HTTP/1.1\r\nhost: shop\r\n";
    let long = "x".repeat(200_000);
    let cases = [
        format!("{head}content-length: 4\r\ncontent-length: 4\r\n\r\nbody"),
        format!("{head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}transfer-encoding: chunked\r\n\r\nxyz\r\nbody\r\n0\r\n\r\n"),
        format!("{head}content-length: +4\r\n\r\nbody"),
        format!("{head}content-length: -1\r\n\r\n"),
        "POST /orders HTTP/1.0\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            .to_owned(),
        format!("{head}leverstream-deadline-ms: soon\r\ncontent-length: 0\r\n\r\n"),
        format!("GET /{long} HTTP/1.1\r\nhost: shop\r\n\r\n"),
        format!("{head}x: {long}\r\n\r\n"),
        "\0\0\0\0\r\n\r\n".to_owned(),
    ];
    for case in cases {
        let shown: String = case.chars().take(120).collect();
        let bytes = case.replacen("\r\n\r\n", "\r\nconnection: close\r\n\r\n", 1);
        let answer = send_raw(address, bytes.as_bytes()).await;
        let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(is_refused, "{shown}: {answer}");
        assert_eq!(backend.counts().await.started, 0, "{shown}");
    }
    assert_eq!(get(&fleet, "/ok").must_send().await.status, 200);
}

#[actix_rt::test]
async fn large_bodies_are_forwarded_and_oversized_ones_refused() {
    let backend = Backend::start("b1", 4);
    let fleet = fleet_with_backend(backend.address).await;
    let large = "y".repeat(500_000);
    let put_all = change("shop.repeatable", json!(["GET /*", "PUT /*"]));
    let limit = change("shop.body_limit_bytes", json!(1_000));
    let version = fleet.daemons[0].must_edit(&[put_all, limit]).await;
    fleet.wait_in_force("shop", version).await;
    let put = Request::new(fleet.daemons[0].callers, "shop", Method::PUT, "/file").body(&large);
    assert_eq!(put.must_send().await.report().body.len(), large.len());
    let refused = post(&fleet, "/orders").body(&large).must_send().await;
    assert_eq!((refused.error.as_str(), refused.outcome.as_str()), ("body-too-large", "not-run"));
    assert_eq!(backend.counts().await.started, 1);
}

#[actix_rt::test]
async fn a_caller_that_sends_its_head_too_slowly_is_disconnected_and_others_are_served() {
    let backend = Backend::start("b1", 4);
    let fleet = fleet_with_backend(backend.address).await;
    let address = fleet.daemons[0].callers;
    let mut slow = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(address).await.expect("the daemon accepts");
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: sh").await.expect("the bytes are sent");
        slow.push(stream);
    }
    assert_eq!(get(&fleet, "/ok").must_send().await.status, 200);
    for stream in &mut slow {
        let mut answer = Vec::new();
        let ended = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await;
        assert!(ended.is_ok(), "the connection is still open");
    }
    assert_eq!(backend.counts().await.started, 1);
}
