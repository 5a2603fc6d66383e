//! What the gateway guarantees to callers when backend servers misbehave.

use std::time::{Duration, Instant};

use leverstream_catalog::{Backend, Catalog, Route, Target};
use leverstream_platform::{headers, standin};
use leverstream_standin::origin::Reply;
use leverstream_tests::site::{
    Call, HOST, NON_REPEATABLE, REPEATABLE, Site, backend, catalog, route, send,
};
use leverstream_tests::until;
use leverstream_wire::{Conn, Progress, RequestHead};
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[actix_rt::test]
async fn a_request_and_its_answer_are_forwarded_whole_without_hop_by_hop_fields() {
    let site = Site::start(1, 1).await;
    let vm = &site.vms[0];
    let call = Call {
        method: "PUT",
        body: b"the body".to_vec(),
        fields: vec![
            ("accept-language", "nl".into()),
            ("connection", "x-private, x-request-id".into()),
            ("x-private", "1".into()),
            (headers::EXPECTED_INSTANCE, "forged".into()),
        ],
        ..Call::new(&format!("{NON_REPEATABLE}a%20b?q=1"))
    };
    let answer = call.send(vm).await.expect("an answer arrives");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(headers::INSTANCE_STAMP), Some("i-0"));
    assert_eq!(answer.text(headers::REQUEST_ID), Some(call.id.as_str()));
    assert_eq!(answer.body, format!("i-0 {}", call.id));
    let seen = site.origin(0).requests().remove(0);
    assert_eq!(seen.line, format!("PUT {NON_REPEATABLE}a%20b?q=1 HTTP/1.1"));
    assert_eq!(seen.body, b"the body");
    assert_eq!(seen.field("host"), Some(HOST));
    assert_eq!(seen.field("accept-language"), Some("nl"));
    assert_eq!(seen.field("x-private"), None);
    assert_eq!(seen.field(headers::REQUEST_ID), Some(call.id.as_str()));
    assert_eq!(seen.field(headers::EXPECTED_INSTANCE), Some("i-0"));
    let left_ms: u64 =
        seen.field(headers::REMAINING_MS).expect("the field is set").parse().expect("a number");
    assert!((1..=1_000).contains(&left_ms), "the route timeout bounds the caller's: {left_ms}");
}

#[actix_rt::test]
async fn routes_match_host_and_path_and_an_absolute_form_overrides_the_host_field() {
    let mut site = Site::start(1, 1).await;
    let mut routes = site
        .catalog
        .hosts()
        .flat_map(|(host, routes)| {
            routes.iter().map(|route| (host.to_owned(), route.clone())).collect::<Vec<_>>()
        })
        .collect::<Vec<_>>();
    routes.push((HOST.to_owned(), route("/safe/other/", true, "other")));
    site.catalog = Catalog::build(2, routes, site.catalog.services.clone(), site.catalog.limits)
        .expect("the catalog is sound");
    site.put_catalog(2).await;
    let vm = &site.vms[0];
    // The service `other` has no backend server, so its requests are refused and not sent to another service.
    until("the new route is in force", || async {
        let answer = Call::new("/safe/other/x").send(vm).await.ok()?;
        (answer.status == 503).then_some(())
    })
    .await;
    assert_eq!(Call::new("/safe/x").send(vm).await.expect("an answer arrives").status, 200);
    assert_eq!(Call::new("/safe").send(vm).await.expect("an answer arrives").status, 404);
    let absolute = |authority: &str, host: &str| {
        let mut head = RequestHead::new("GET", &format!("http://{authority}/safe/y"));
        head.field("host", host.as_bytes());
        head.finish(b"")
    };
    let routed = send(vm.callers(), &absolute(HOST, "elsewhere.example")).await;
    assert_eq!(routed.expect("an answer arrives").status, 200);
    let elsewhere = send(vm.callers(), &absolute("elsewhere.example", HOST)).await;
    assert_eq!(elsewhere.expect("an answer arrives").status, 404);
}

#[actix_rt::test]
async fn a_shed_request_is_sent_to_another_backend_server_even_if_it_may_run_only_once() {
    let site = Site::start(1, 2).await;
    site.origin(0).set(Reply::Rejection);
    for _ in 0..6 {
        let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
        assert_eq!(answer.status, 200);
    }
    site.origin(1).set(Reply::Rejection);
    let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
    assert_eq!(answer.status, 503);
    assert!(answer.text("retry-after").is_some());
    assert_eq!(site.origin(0).runs(NON_REPEATABLE), 0);
}

#[actix_rt::test]
async fn an_address_that_answers_for_another_instance_gets_no_more_requests() {
    let site = Site::start(1, 2).await;
    site.origin(0).set_instance("i-new");
    for _ in 0..8 {
        let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
        assert_eq!(answer.text(headers::INSTANCE_STAMP), Some("i-1"));
    }
    assert!(site.origin(0).requests().len() <= 1);
}

#[actix_rt::test]
async fn an_unrepeatable_request_that_may_have_run_is_neither_retried_nor_reported_as_not_run() {
    let site = Site::start(1, 2).await;
    let broken = [
        Reply::Reset,
        Reply::Truncated,
        Reply::Malformed,
        Reply::WithoutLengthReset,
        Reply::Failure,
        Reply::NoAnswer,
    ];
    for (number, reply) in broken.into_iter().enumerate() {
        site.set_all_replies(reply);
        let path = format!("{NON_REPEATABLE}{number}");
        let answer = Call::new(&path).send(&site.vms[0]).await.expect("an answer arrives");
        assert!(matches!(answer.status, 500 | 502 | 504), "{reply:?}: {}", answer.status);
        assert_eq!(site.runs(&path), 1, "{reply:?}");
    }
}

#[actix_rt::test]
async fn a_repeatable_request_survives_one_bad_answer() {
    let site = Site::start(1, 2).await;
    for (number, reply) in
        [Reply::Reset, Reply::Truncated, Reply::Malformed, Reply::Failure, Reply::NoAnswer]
            .into_iter()
            .enumerate()
    {
        site.origin(0).set(reply);
        for round in 0..3 {
            let path = format!("{REPEATABLE}{number}-{round}");
            let answer = Call::new(&path).send(&site.vms[0]).await.expect("an answer arrives");
            assert_eq!(answer.status, 200, "{reply:?}");
        }
        site.origin(0).set(Reply::After(0));
    }
}

#[actix_rt::test]
async fn late_and_surplus_answers_reach_no_caller() {
    let site = Site::start(1, 1).await;
    for reply in [Reply::StaleAnswerFirst, Reply::ExtraAnswer] {
        site.set_all_replies(reply);
        for _ in 0..10 {
            let call = Call::new(REPEATABLE);
            let answer = call.send(&site.vms[0]).await.expect("an answer arrives");
            assert_eq!(
                (answer.status, &*answer.body),
                (200, format!("i-0 {}", call.id).as_bytes())
            );
        }
    }
}

#[actix_rt::test]
async fn an_answer_without_a_length_is_whole_only_if_the_connection_ends_cleanly() {
    let site = Site::start(1, 1).await;
    site.set_all_replies(Reply::WithoutLength);
    let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
    assert_eq!((answer.status, &*answer.body), (200, &b"unframed"[..]));
    site.set_all_replies(Reply::WithoutLengthReset);
    let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
    assert_eq!(answer.status, 502);
}

#[actix_rt::test]
async fn the_route_timeout_ends_a_request() {
    let site = Site::start(1, 1).await;
    site.set_all_replies(Reply::NoAnswer);
    let started = Instant::now();
    let answer = Call::new(NON_REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
    let took = started.elapsed();
    assert_eq!(answer.status, 504);
    assert!((Duration::from_millis(900)..Duration::from_millis(1_500)).contains(&took), "{took:?}");
}

#[actix_rt::test]
async fn a_request_that_gets_no_slot_in_time_is_not_run_and_gets_retry_after() {
    let site = Site::start(1, 1).await;
    site.set_all_replies(Reply::After(3_000));
    let vm = &site.vms[0];
    let busy: Vec<_> = (0..3).map(|_| Call::new("/safe/busy")).collect();
    let sends = futures_util::future::join_all(busy.iter().map(|call| call.send(vm)));
    let late = async {
        until("the slots are taken", || async { (site.runs("/safe/busy") == 3).then_some(()) })
            .await;
        Call { caller_timeout_ms: 400, ..Call::new("/once/late") }.send(vm).await
    };
    let (_, late) = futures_util::future::join(sends, late).await;
    let late = late.expect("an answer arrives");
    assert_eq!(late.status, 503);
    assert!(late.text("retry-after").is_some());
    assert_eq!(site.runs("/once/late"), 0);
}

#[actix_rt::test]
async fn a_request_is_abandoned_when_its_caller_disconnects() {
    let site = Site::start(1, 1).await;
    let vm = &site.vms[0];
    site.set_all_replies(Reply::After(800));
    for (path, is_reset) in [("/safe/fin", false), ("/safe/reset", true)] {
        let mut stream = TcpStream::connect(vm.callers()).await.expect("the VM listens");
        stream.write_all(&Call::new(path).bytes()).await.expect("the request is sent");
        until("the request runs", || async { (site.runs(path) == 1).then_some(()) }).await;
        if is_reset {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("the socket takes the linger option");
        }
        drop(stream);
        until("the backend server sees the request abandoned", || async {
            (site.origin(0).abandoned_count(path) == 1).then_some(())
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_request_whose_caller_disconnects_while_queued_is_never_sent() {
    let site = Site::start(1, 1).await;
    let vm = &site.vms[0];
    site.set_all_replies(Reply::After(700));
    let mut busy = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(vm.callers()).await.expect("the VM listens");
        stream.write_all(&Call::new("/safe/busy").bytes()).await.expect("the request is sent");
        busy.push(stream);
    }
    until("the slots are taken", || async { (site.runs("/safe/busy") == 3).then_some(()) }).await;
    let mut leaving = TcpStream::connect(vm.callers()).await.expect("the VM listens");
    leaving.write_all(&Call::new("/once/leaves").bytes()).await.expect("the request is sent");
    until("the request waits for a slot", || async {
        (vm.metric("leverstream_requests_total").await >= 4.0).then_some(())
    })
    .await;
    drop(leaving);
    until("the slots are free", || async {
        Call::new("/safe/after").send(vm).await.ok().filter(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(site.runs("/once/leaves"), 0);
}

#[actix_rt::test]
async fn request_smuggling_attempts_are_refused() {
    let site = Site::start(1, 1).await;
    let shapes = [
        "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "GET /once/ HTTP/1.1\r\nHost: shop.example\r\nHost: other.example\r\n\r\n",
        "GET /once/ HTTP/1.1\r\n\r\n",
        "OPTIONS * HTTP/1.1\r\nHost: shop.example\r\n\r\n",
    ];
    for shape in shapes {
        let answer =
            send(site.vms[0].callers(), shape.as_bytes()).await.expect("an answer arrives");
        assert_eq!(answer.status, 400, "{shape}");
    }
    assert!(site.origin(0).requests().is_empty());
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_refused() {
    let site = Site::start(1, 1).await;
    let call =
        Call { method: "POST", body: vec![b'x'; (1 << 20) + 1], ..Call::new(NON_REPEATABLE) };
    let answer = call.send(&site.vms[0]).await.expect("an answer arrives");
    assert_eq!(answer.status, 413);
    assert!(site.origin(0).requests().is_empty());
}

#[actix_rt::test]
async fn sequential_requests_reuse_one_connection() {
    let site = Site::start(1, 1).await;
    let mut conn = Conn::open(site.vms[0].callers()).await.expect("the VM listens");
    for _ in 0..20 {
        let call = Call::new(REPEATABLE);
        let progress = Progress::default();
        let answer = conn.exchange(&call.bytes(), false, &progress, |_| true).await;
        assert_eq!(
            answer.expect("an answer arrives").text(headers::REQUEST_ID),
            Some(call.id.as_str())
        );
        assert!(conn.is_reusable());
    }
    let seen = site.origin(0).requests();
    assert!(seen.iter().all(|seen| seen.connection == 1), "one connection serves all requests");
}

#[actix_rt::test]
async fn repeats_stay_within_the_retry_budget() {
    let site = Site::start(1, 3).await;
    site.set_all_replies(Reply::Failure);
    for _ in 0..120 {
        let _ = Call::new(REPEATABLE).send(&site.vms[0]).await;
    }
    let arrivals: usize = site.origins.iter().map(|origin| origin.requests().len()).sum();
    // The retry budget is a fifth of the requests plus the slack; a VM that has just started has only part of it.
    assert!((121..=120 + 24 + 62).contains(&arrivals), "{arrivals}");
}

#[actix_rt::test]
async fn a_split_target_without_capacity_refuses_only_its_own_share() {
    const COUNT: usize = 200;
    let site = Site::start(1, 1).await;
    let Catalog { services, limits, .. } = catalog(2);
    let half = |service: &str| Target { service: service.to_owned(), weight: 1.0 };
    let split = Route {
        targets: vec![half("shop"), half("other")],
        ..route(NON_REPEATABLE, false, "shop")
    };
    let routes = vec![(HOST.to_owned(), split)];
    let split = Catalog::build(2, routes, services, limits).expect("the catalog is sound");
    site.put_config(standin::config(&split)).await;
    let vm = &site.vms[0];
    until("the configuration is in force", || async {
        vm.has_logged("\"version\":2").then_some(())
    })
    .await;
    let mut served = 0;
    for _ in 0..COUNT {
        let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives");
        // No backend server of the other service is listed.
        let is_refused = answer.status == 503 && answer.text("retry-after").is_some();
        assert!(answer.status == 200 || is_refused, "{}", answer.status);
        served += usize::from(answer.status == 200);
    }
    // Six standard deviations to either side of one half.
    assert!(served.abs_diff(COUNT / 2) <= 42, "{served} of {COUNT}");
    assert_eq!(site.runs(NON_REPEATABLE), served);
}

#[actix_rt::test]
async fn a_leaving_backend_server_gets_no_more_requests() {
    let site = Site::start(1, 2).await;
    let vm = &site.vms[0];
    let address = site.origin(0).address;
    site.list_backend(&Backend { is_leaving: true, ..backend("i-0", address) }).await;
    until("the VM knows that the backend server leaves", || async {
        vm.has_logged("\"is_leaving\":true").then_some(())
    })
    .await;
    let before = site.origin(0).requests().len();
    for _ in 0..10 {
        let answer = Call::new(NON_REPEATABLE).send(vm).await.expect("an answer arrives");
        assert_eq!(answer.text(headers::INSTANCE_STAMP), Some("i-1"));
    }
    assert_eq!(site.origin(0).requests().len(), before);
}

/// Guards against cut requests at the end of a planned stop: a request that came 3 s after the signal took more than three
/// times as long as usual, and the process ended before its answer.
#[actix_rt::test]
async fn late_in_a_planned_stop_a_request_that_may_not_finish_in_time_is_refused() {
    let mut site = Site::start(1, 2).await;
    let slow = Route { timeout_ms: 5_000, ..route(REPEATABLE, true, "shop") };
    let Catalog { services, limits, .. } = site.catalog.clone();
    site.catalog = Catalog::build(2, vec![(HOST.to_owned(), slow)], services, limits)
        .expect("the catalog is sound");
    site.put_catalog(2).await;
    until("the configuration is in force", || async {
        site.vms[0].has_logged("\"version\":2").then_some(())
    })
    .await;
    for _ in 0..20 {
        assert_eq!(
            Call::new(REPEATABLE).send(&site.vms[0]).await.map(|answer| answer.status),
            Ok(200)
        );
    }
    site.vms[0].signal(Signal::TERM);
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    site.set_all_replies(Reply::After(3_500));
    let call = Call { caller_timeout_ms: 5_000, ..Call::new(&format!("{REPEATABLE}late")) };
    let answer = call.send(&site.vms[0]).await.expect("the request is answered, not cut");
    assert_eq!(answer.status, 503, "another VM can serve the request");
    assert_eq!(site.runs("late"), 0);
}
