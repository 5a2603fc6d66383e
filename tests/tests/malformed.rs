//! `leverstreamd run`, the callers' library and `leverctl` with servers that send malformed answers.

use std::time::Duration;

use awc::http::Method;
use leverstream_caller::{CallError, CallRequest, Caller};
use leverstream_node::StatusReport;
use leverstream_platform::Store;
use leverstream_standin::malformed;
use leverstream_standin::origin::{Origin, Reply};
use leverstream_standin::script::{ScriptedBytes, ScriptedServer};
use leverstream_tests::{Fleet, Request, leverctl, send_raw, until};
use serde_json::{Value, json};

/// The size of a chunk that exceeds what a VM buffers of an answer before it starts to forward it.
const LONG_CHUNK_BYTES: usize = 200_000;

/// Status lines and field lines of malformed heads.
const MALFORMED_HEADS: [(&str, &str); 4] = [
    ("HTTP/1.1 200 OK\r\n", "x-a : 1\r\n"),
    ("HTTP/1.1 200 OK\r\n", "x-a: 1\n"),
    ("HTTP/1.1 200 OK\n", ""),
    ("\r\nHTTP/1.1 200 OK\r\n", ""),
];

/// Starts a daemon and a backend server of a service whose GET requests may be retried.
async fn fleet_and_origin(service: &str) -> (Fleet, Origin) {
    let fleet = Fleet::start(&["a"]).await;
    let origin = add_origin(&fleet, service).await;
    (fleet, origin)
}

/// Starts a backend server.
async fn bind_origin() -> Origin {
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    Origin::bind(address, "b1").await.expect("a port is free")
}

/// Adds a service with one backend server.
async fn add_origin(fleet: &Fleet, service: &str) -> Origin {
    let origin = bind_origin().await;
    let row = json!({
        "taken_over": true, "repeatable": ["GET /*"], "deadline_ms": 1_000, "unkeyed": "single",
    });
    fleet.add_service(service, row, &[("b1", origin.address)]).await;
    origin
}

/// Guards against malformed answers, or parts of them, that are forwarded to callers.
#[actix_rt::test]
async fn a_malformed_answer_never_reaches_a_caller() {
    let fleet = Fleet::start(&["a"]).await;
    let mut wrong = Vec::new();
    for (number, template) in malformed::malformed_answers().enumerate() {
        // A service of its own for each answer, as a backend server that fails again and again gets no requests.
        let service = format!("shop-{number}");
        let origin = add_origin(&fleet, &service).await;
        origin.set(Reply::Template(template));
        for method in [Method::POST, Method::GET] {
            let request = Request::new(fleet.daemons[0].callers, &service, method.clone(), "/x");
            let answer = request.must_send().await;
            let is_rejected = answer.status == 502 && answer.outcome == "unknown";
            let runs = origin.requests().len();
            if !is_rejected || (method == Method::POST && runs != 1) {
                let name = template.name;
                wrong.push(format!("{name}: {method}, {runs} requests, {answer:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against malformed heads in answers to HEAD requests, which have no body, and against a parser that rejects valid ones.
#[actix_rt::test]
async fn a_malformed_answer_to_a_head_request_never_reaches_a_caller() {
    let fleet = Fleet::start(&["a"]).await;
    let malformed = malformed::malformed_heads().map(|template| (template, "HTTP/1.1 502 "));
    let valid = malformed::valid_answers().map(|template| (template, "HTTP/1.1 200 "));
    for (number, (template, expected)) in malformed.chain(valid).enumerate() {
        let service = format!("shop-{number}");
        let origin = add_origin(&fleet, &service).await;
        origin.set(Reply::Template(template));
        let request = format!(
            "HEAD /x HTTP/1.1\r\nhost: x\r\nleverstream-service: {service}\r\nconnection: close\r\n\r\n"
        );
        let answer = send_raw(fleet.daemons[0].callers, request.as_bytes()).await;
        assert!(answer.starts_with(expected), "{}: {answer}", template.name);
    }
}

/// Guards against a streamed answer that becomes malformed midway and looks complete to the caller.
#[actix_rt::test]
async fn a_streamed_answer_that_becomes_malformed_is_incomplete_at_the_caller() {
    let chunk = format!("{LONG_CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(LONG_CHUNK_BYTES));
    for malformed in ["\r\n\r\n", ";a=b\r\n\r\n", "0\r\nno field\r\n\r\n", "+1\r\nx\r\n0\r\n\r\n"] {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let bytes = ScriptedBytes {
            answer: format!("{head}{chunk}").into_bytes(),
            unsolicited: malformed.as_bytes().to_vec(),
            ..ScriptedBytes::default()
        };
        let server = ScriptedServer::spawn(bytes).await.expect("the script starts");
        let fleet = Fleet::start(&["a"]).await;
        let row = json!({ "taken_over": true, "repeatable": ["GET /*"], "deadline_ms": 1_000 });
        fleet.add_service("shop", row, &[("b1", server.address)]).await;
        let request = b"GET /x HTTP/1.1\r\nhost: shop\r\nleverstream-service: shop\r\n\r\n";
        let answer = send_raw(fleet.daemons[0].callers, request).await;
        let has_end = answer.ends_with("0\r\n\r\n");
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && !has_end,
            "{malformed:?}: {} bytes",
            answer.len()
        );
    }
}

/// Guards against a backend server that counts as healthy because of malformed answers to health checks.
#[actix_rt::test]
async fn a_malformed_answer_fails_a_health_check() {
    let fleet = Fleet::start(&["a"]).await;
    let row = json!({ "taken_over": true, "probe_path": "/health", "probe_interval_ms": 100 });
    let mut checked = Vec::new();
    let invalid = malformed::malformed_answers().map(|template| (template, true));
    let valid = malformed::valid_answers().map(|template| (template, false));
    for (number, (template, is_malformed)) in invalid.chain(valid).enumerate() {
        let service = format!("shop-{number}");
        let origin = bind_origin().await;
        origin.set(Reply::Template(template));
        fleet.add_service(&service, row.clone(), &[("b1", origin.address)]).await;
        checked.push((service, origin, template, is_malformed));
    }
    let mut wrong = Vec::new();
    for (service, origin, template, is_malformed) in checked {
        until("some checks have ended", || async { (origin.requests().len() >= 4).then_some(()) })
            .await;
        let health = fleet.daemons[0].health(&service).await.expect("the daemon reports it");
        if (health.backends[0].own_score > 0.0) != is_malformed {
            wrong.push(format!("{}: {:?}", template.name, health.backends[0]));
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against a callers' library that returns a malformed answer, or retries a request that may have run.
#[actix_rt::test]
async fn the_callers_library_returns_no_malformed_answer() {
    let origin = bind_origin().await;
    let connect = json!({
        "service": "shop", "addresses": [{ "address": origin.address.to_string() }],
        "holds_ms": 60_000, "taken_over": true,
    });
    let directory = spawn_json_server("HTTP/1.1 200 OK\r\n", "", &connect).await;
    let mut caller = Caller::new(vec![directory.address], "shop", None);
    let request = CallRequest {
        method: Method::POST,
        path: "/x".to_owned(),
        body: "".into(),
        timeout_ms: 500,
    };
    let mut wrong = Vec::new();
    for template in malformed::malformed_answers() {
        origin.set(Reply::Template(template));
        let before = origin.requests().len();
        // Twice the time limit of the call, in case it does not keep it.
        let limit = Duration::from_millis(2 * request.timeout_ms);
        let reply = tokio::time::timeout(limit, caller.call(&request)).await;
        let reply = reply.map(|reply| reply.map(|reply| (reply.status, reply.body)));
        let runs = origin.requests().len() - before;
        if reply != Ok(Err(CallError::Disconnected)) || runs != 1 {
            wrong.push(format!("{}: {runs} runs, {reply:?}", template.name));
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
    for template in malformed::valid_answers() {
        origin.set(Reply::Template(template));
        let reply = caller.call(&request).await.expect("the answer is valid");
        assert_eq!((reply.status, &*reply.body), (200, malformed::BODY), "{}", template.name);
    }
    for (status_line, fields) in MALFORMED_HEADS {
        let directory = spawn_json_server(status_line, fields, &connect).await;
        let asked = Caller::new(vec![directory.address], "shop", None).ask().await;
        assert!(asked.is_err(), "{status_line}{fields}{asked:?}");
    }
}

/// Guards against a command-line client that prints the contents of a malformed answer.
#[actix_rt::test]
async fn leverctl_prints_no_malformed_answer() {
    let status = json!(StatusReport::default());
    let valid = spawn_json_server("HTTP/1.1 200 OK\r\n", "", &status).await;
    let (code, text) = leverctl(valid.address, &["status"]).await;
    assert_eq!(code, 0, "{text}");
    for (status_line, fields) in MALFORMED_HEADS {
        let server = spawn_json_server(status_line, fields, &status).await;
        let (code, text) = leverctl(server.address, &["status"]).await;
        assert_eq!(code, 1, "{status_line}{fields}{text}");
        assert!(text.contains("the answer could not be read"), "{text}");
    }
}

/// Guards against a store client that uses a malformed answer.
#[actix_rt::test]
async fn the_store_client_uses_no_malformed_answer() {
    let object = json!({ "metadata": { "name": "main", "revision": 1 }, "spec": { "a": 1 } });
    let valid = spawn_json_server("HTTP/1.1 200 OK\r\n", "", &object).await;
    let read = Store::new(valid.address).read("config", "main").await;
    assert!(read.is_ok_and(|item| item.is_some()));
    let more = [("HTTP/1.1 000 OK\r\n", ""), ("HTTP/1.1 200 OK\r\n", "content-length: +1\r\n")];
    for (status_line, fields) in MALFORMED_HEADS.into_iter().chain(more) {
        let server = spawn_json_server(status_line, fields, &object).await;
        let read = Store::new(server.address).read("config", "main").await;
        assert!(read.is_err(), "{status_line}{fields}");
    }
}

/// Starts a server that answers each request with JSON.
async fn spawn_json_server(status_line: &str, fields: &str, body: &Value) -> ScriptedServer {
    let body = body.to_string();
    let length = body.len();
    let answer = format!("{status_line}{fields}content-length: {length}\r\n\r\n{body}");
    let bytes = ScriptedBytes { answer: answer.into_bytes(), ..ScriptedBytes::default() };
    ScriptedServer::spawn(bytes).await.expect("the script starts")
}

/// Guards against a parser that rejects valid answers.
#[actix_rt::test]
async fn a_valid_answer_reaches_the_caller() {
    let (fleet, origin) = fleet_and_origin("shop").await;
    for template in malformed::valid_answers() {
        origin.set(Reply::Template(template));
        let request = Request::new(fleet.daemons[0].callers, "shop", Method::POST, "/x");
        let answer = request.must_send().await;
        let body = std::str::from_utf8(malformed::BODY).expect("the body is text");
        assert_eq!((answer.status, answer.body.as_str()), (200, body), "{}", template.name);
    }
}
