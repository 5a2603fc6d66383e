//! Malformed answers of backend servers never reach the callers of a gateway VM, and unusual but valid ones do.

use std::time::{Duration, Instant};

use leverstream_error::{KIND_HEADER, OUTCOME_HEADER};
use leverstream_platform::headers;
use leverstream_standin::malformed;
use leverstream_standin::origin::{Reply, answer_body};
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site};
use leverstream_wire::{Answer, Conn, Progress};

/// The maximum number of requests until the backend server with the malformed answers has received one.
const MAX_TRIES: usize = 60;

/// The number of valid answers between two malformed ones, which keep the backend server in service.
const VALID_BETWEEN: usize = 4;

/// The route's time limit. A malformed answer is detected when it arrives.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns whether an answer is an error of the VM, not an answer of a backend server.
fn is_vm_error(answer: &Answer) -> bool {
    answer.field(KIND_HEADER).is_some() && answer.field(headers::INSTANCE_STAMP).is_none()
}

/// Makes all backend servers give valid answers, and sends a few requests.
async fn send_valid(site: &Site) {
    site.set_all_replies(Reply::After(0));
    for _ in 0..VALID_BETWEEN {
        let sent = Call::new(&format!("{REPEATABLE}between")).send(&site.vms[0]).await;
        sent.expect("each request is answered");
    }
}

/// Guards against malformed answers that are forwarded to callers, and against a retry of a request that must run at most once.
#[actix_rt::test]
async fn a_malformed_answer_never_reaches_a_caller() {
    let site = Site::start(1, 1).await;
    let mut wrong = Vec::new();
    for (number, template) in malformed::malformed_answers().enumerate() {
        for prefix in [NON_REPEATABLE, REPEATABLE] {
            site.origin(0).set(Reply::Template(template));
            let path = format!("{prefix}{number}");
            let mut answer = None;
            for _ in 0..MAX_TRIES {
                let sent = Call::new(&path).send(&site.vms[0]).await;
                answer = Some(sent.expect("each request is answered"));
                if site.runs(&path) > 0 {
                    break;
                }
            }
            let answer = answer.expect("a request was sent");
            let runs = site.runs(&path);
            let is_rejected = answer.status == 502
                && is_vm_error(&answer)
                && answer.text(OUTCOME_HEADER) == Some("unknown");
            if !is_rejected || runs == 0 || (prefix == NON_REPEATABLE && runs > 1) {
                let (name, status) = (template.name, answer.status);
                wrong.push(format!("{name}: {prefix} ran {runs} times, got {status}"));
            }
            send_valid(&site).await;
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against malformed heads in answers to HEAD requests, which have no body, and against a parser that rejects valid ones.
#[actix_rt::test]
async fn a_malformed_answer_to_a_head_request_never_reaches_a_caller() {
    let site = Site::start(1, 1).await;
    let malformed = malformed::malformed_heads().map(|template| (template, 502));
    let valid = malformed::valid_answers().map(|template| (template, 200));
    for (template, expected) in malformed.chain(valid) {
        site.origin(0).set(Reply::Template(template));
        let call = Call { method: "HEAD", ..Call::new(&format!("{NON_REPEATABLE}head")) };
        let mut conn = Conn::open(site.vms[0].callers()).await.expect("the VM listens");
        let answer = conn.exchange(&call.bytes(), true, &Progress::default(), |_| true).await;
        let answer = answer.expect("each request is answered");
        assert_eq!(answer.status, expected, "{}", template.name);
        send_valid(&site).await;
    }
}

/// Guards against a repeatable request that is not retried at another backend server after a malformed answer.
#[actix_rt::test]
async fn a_repeatable_request_is_retried_at_another_backend_server() {
    let site = Site::start(1, 2).await;
    let (mut served, mut received) = (0, 0);
    for (number, template) in malformed::malformed_answers().enumerate() {
        send_valid(&site).await;
        let (faulty, other) = if is_preferred(&site, 0) { (0, 1) } else { (1, 0) };
        site.origin(faulty).set(Reply::Template(template));
        let call = Call::new(&format!("{REPEATABLE}{number}"));
        let started = Instant::now();
        let answer = call.send(&site.vms[0]).await.expect("each request is answered");
        assert!(started.elapsed() < ROUTE_TIMEOUT, "{}", template.name);
        let body = answer_body(&site.origin(other).instance(), &call.id, 0);
        let is_valid = answer.status == 200 && *answer.body == *body.as_bytes();
        assert!(is_valid || is_vm_error(&answer), "{}: {}", template.name, answer.status);
        if site.origin(faulty).runs(&call.path) > 0 {
            received += 1;
            served += usize::from(is_valid);
        }
    }
    // The VM selects the backend server, so the faulty one does not receive every request.
    let total = malformed::malformed_answers().count();
    assert!(received * 2 >= total, "{received} of {total} requests reached the faulty server");
    assert!(served * 10 >= received * 9, "{served} of {received} served");
}

/// Returns whether a backend server received the most recent request.
fn is_preferred(site: &Site, index: usize) -> bool {
    let last_at = |origin: usize| site.origin(origin).requests().last().map(|request| request.at);
    last_at(index) > last_at(1 - index)
}

/// Guards against an answer with a corrupted request id that is taken for the answer to the pending request.
#[actix_rt::test]
async fn an_answer_with_another_request_id_reaches_no_caller() {
    let site = Site::start(1, 1).await;
    let ids: [&[u8]; 5] = [b"other", b"\xff", b"id-\xe4", b"\xc2\xa0", b""];
    for (number, id) in ids.into_iter().enumerate() {
        site.origin(0).set(Reply::OtherId(id));
        let path = format!("{NON_REPEATABLE}other-{number}");
        let answer = Call::new(&path).send(&site.vms[0]).await.expect("each request is answered");
        assert!(is_vm_error(&answer), "{}: status {}", id.escape_ascii(), answer.status);
        assert_eq!(site.runs(&path), 1, "{}", id.escape_ascii());
        send_valid(&site).await;
    }
}

/// Guards against a parser that rejects valid answers.
#[actix_rt::test]
async fn a_valid_answer_reaches_the_caller() {
    let site = Site::start(1, 1).await;
    for template in malformed::valid_answers() {
        site.origin(0).set(Reply::Template(template));
        for prefix in [NON_REPEATABLE, REPEATABLE] {
            let call = Call::new(prefix);
            let answer = call.send(&site.vms[0]).await.expect("each request is answered");
            assert_eq!((answer.status, &*answer.body), (200, malformed::BODY), "{}", template.name);
            assert_eq!(answer.text(headers::REQUEST_ID), Some(&*call.id), "{}", template.name);
        }
    }
}
