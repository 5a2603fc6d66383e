//! Answers that break the grammar of HTTP never reach a caller of a real VM, and unusual ones that keep it do.

use std::time::{Duration, Instant};

use leverstream_error::{KIND_HEADER, OUTCOME_HEADER};
use leverstream_platform::headers;
use leverstream_standin::broken;
use leverstream_standin::origin::{Reply, answer_body};
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site};
use leverstream_wire::Answer;

/// How often a request is sent again until the backend server with the broken answers has got one.
const MAX_TRIES: usize = 60;

/// The number of requests that the backend server answers well between two broken answers, which keep it in use.
const SOUND_BETWEEN: usize = 4;

/// The route's time limit. A broken answer is known as soon as it has arrived.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Returns whether an answer is the VM's own error.
fn is_own_error(answer: &Answer) -> bool {
    answer.field(KIND_HEADER).is_some() && answer.field(headers::INSTANCE_STAMP).is_none()
}

/// Makes all backend servers answer well, a few times.
async fn send_sound(site: &Site) {
    site.set_all_replies(Reply::After(0));
    for _ in 0..SOUND_BETWEEN {
        let sent = Call::new(&format!("{REPEATABLE}between")).send(&site.vms[0]).await;
        sent.expect("each request is answered");
    }
}

/// Guards against a backend server's spoilt answer that a caller gets as an answer, and against a request that may run once at
/// most and runs again after one.
#[actix_rt::test]
async fn a_broken_answer_never_reaches_a_caller() {
    let site = Site::start(1, 1).await;
    let mut wrong = Vec::new();
    for (number, template) in broken::broken_answers().enumerate() {
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
            let is_refused = answer.status == 502
                && is_own_error(&answer)
                && answer.text(OUTCOME_HEADER) == Some("unknown");
            if !is_refused || runs == 0 || (prefix == NON_REPEATABLE && runs > 1) {
                let (name, status) = (template.name, answer.status);
                wrong.push(format!("{name}: {prefix} ran {runs} times, got {status}"));
            }
            send_sound(&site).await;
        }
    }
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against a caller that gets a spoilt answer though another backend server would have answered its request, which may
/// run again.
#[actix_rt::test]
async fn a_request_that_may_run_again_is_served_by_another_backend_server() {
    let site = Site::start(1, 2).await;
    let (mut served, mut given) = (0, 0);
    for (number, template) in broken::broken_answers().enumerate() {
        send_sound(&site).await;
        let (faulty, other) = if is_preferred(&site, 0) { (0, 1) } else { (1, 0) };
        site.origin(faulty).set(Reply::Template(template));
        let call = Call::new(&format!("{REPEATABLE}{number}"));
        let started = Instant::now();
        let answer = call.send(&site.vms[0]).await.expect("each request is answered");
        assert!(started.elapsed() < ROUTE_TIMEOUT, "{}", template.name);
        let body = answer_body(&site.origin(other).instance(), &call.id, 0);
        let is_sound = answer.status == 200 && *answer.body == *body.as_bytes();
        assert!(is_sound || is_own_error(&answer), "{}: {}", template.name, answer.status);
        if site.origin(faulty).runs(&call.path) > 0 {
            given += 1;
            served += usize::from(is_sound);
        }
    }
    // The VM chooses whom it asks, so some broken answers are not asked for.
    let total = broken::broken_answers().count();
    assert!(given * 2 >= total, "{given} of {total} broken answers were given");
    assert!(served * 10 >= given * 9, "{served} of {given} served");
}

/// Returns whether a backend server got the last request.
fn is_preferred(site: &Site, index: usize) -> bool {
    let last_at = |origin: usize| site.origin(origin).requests().last().map(|request| request.at);
    last_at(index) > last_at(1 - index)
}

/// Guards against an answer whose request id is spoilt, so that it passes for the answer to whatever request waits.
#[actix_rt::test]
async fn an_answer_whose_id_is_not_that_of_the_request_reaches_no_caller() {
    let site = Site::start(1, 1).await;
    let ids: [&[u8]; 5] = [b"other", b"\xff", b"id-\xe4", b"\xc2\xa0", b""];
    for (number, id) in ids.into_iter().enumerate() {
        site.origin(0).set(Reply::OtherId(id));
        let path = format!("{NON_REPEATABLE}other-{number}");
        let answer = Call::new(&path).send(&site.vms[0]).await.expect("each request is answered");
        assert!(is_own_error(&answer), "{}: status {}", id.escape_ascii(), answer.status);
        assert_eq!(site.runs(&path), 1, "{}", id.escape_ascii());
        send_sound(&site).await;
    }
}

/// Guards against strictness that refuses what backend servers may send.
#[actix_rt::test]
async fn a_sound_answer_reaches_the_caller() {
    let site = Site::start(1, 1).await;
    for template in broken::sound_answers() {
        site.origin(0).set(Reply::Template(template));
        for prefix in [NON_REPEATABLE, REPEATABLE] {
            let call = Call::new(prefix);
            let answer = call.send(&site.vms[0]).await.expect("each request is answered");
            assert_eq!((answer.status, &*answer.body), (200, broken::BODY), "{}", template.name);
            assert_eq!(answer.text(headers::REQUEST_ID), Some(&*call.id), "{}", template.name);
        }
    }
}
