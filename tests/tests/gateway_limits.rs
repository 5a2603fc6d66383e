//! Rate limits that backend servers announce in their answers, for the requests of all VMs together.
//!
//! Guards against VMs that ignore the limit: a backend server that announced 1.4 requests a second got 23 in 4 s, where 13
//! are allowed. Slots and hold-offs bound each VM by itself and don't bound what all VMs send together.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::Reply;
use leverstream_tests::flow::{CallResult, Flow, limit_usage, served_share};
use leverstream_tests::site::Site;
use rustix::process::Signal;
use yare::parameterized;

#[actix_rt::test]
async fn a_backend_server_gets_no_more_requests_than_its_announced_limit() {
    let site = Site::start(3, 5).await;
    site.set_all_replies(Reply::After(80));
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_millis(1_000)).await;
    let announced_at = Instant::now();
    site.origin(0).set_notice_fields(&[(headers::RATE_LIMIT, "1.4")]);
    flow.run(&site, Duration::from_secs(11)).await;
    let served = served_share(&flow.answers().await);
    let arrivals = flow.arrivals(site.origin(0), announced_at);
    let limit_usage = limit_usage(&arrivals, |_, _| false);
    for (number, vm) in site.vms.iter().enumerate() {
        let limited_count = vm.metric("leverstream_backends{state=\"Limited\"}").await;
        let granted = vm.metric("leverstream_permits_total{service=\"shop\"}").await;
        let denied = vm.metric("leverstream_permits_denied_total{service=\"shop\"}").await;
        let sent_count = arrivals.iter().filter(|(vm, _)| *vm == number).count();
        println!("VM {number}: {granted} permits, {denied} denied, {sent_count} arrived");
        assert!(
            (limited_count - 1.0).abs() < f64::EPSILON,
            "each VM knows the limit: {limited_count}"
        );
    }
    println!("{} arrivals, {limit_usage:?}, {served:.3} served", arrivals.len());
    assert!(limit_usage.max_window_share <= 1.0, "{limit_usage:?}");
    assert!(limit_usage.total_share >= 0.8, "{limit_usage:?}");
    assert!(served >= 0.99, "{served} served");
}

/// A limit counts in an answer of any kind, also when the request fails.
#[parameterized(
    failure = { Reply::Failure },
    refusal = { Reply::Rejection },
    connection_cut = { Reply::Truncated },
)]
#[test_macro(actix_rt::test)]
async fn an_announced_limit_counts_in_any_answer(reply: Reply) {
    let site = Site::start(2, 5).await;
    site.set_all_replies(Reply::After(80));
    let announced_at = Instant::now();
    site.origin(0).set(reply);
    site.origin(0).set_notice_fields(&[(headers::RATE_LIMIT, "0.5")]);
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_secs(7)).await;
    flow.answers().await;
    for vm in &site.vms {
        let limited = vm.metric("leverstream_backends{state=\"Limited\"}").await;
        assert!((limited - 1.0).abs() < f64::EPSILON, "each VM knows the limit");
    }
    let limit_usage = limit_usage(&flow.arrivals(site.origin(0), announced_at), |_, _| false);
    assert!(limit_usage.max_window_share <= 1.0, "{limit_usage:?}");
}

#[actix_rt::test]
async fn a_lifted_limit_is_dropped_by_all_vms_within_a_second() {
    let site = Site::start(3, 5).await;
    site.set_all_replies(Reply::After(80));
    site.origin(0).set_notice_fields(&[(headers::RATE_LIMIT, "2")]);
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_secs(4)).await;
    let lifted_at = Instant::now();
    site.origin(0).set_notice_fields(&[]);
    flow.run(&site, Duration::from_secs(1)).await;
    for vm in &site.vms {
        let limited = vm.metric("leverstream_backends{state=\"Limited\"}").await;
        assert!(limited.abs() < f64::EPSILON, "each VM has dropped the limit after a second");
    }
    flow.run(&site, Duration::from_secs(2)).await;
    flow.answers().await;
    let arrivals = flow.arrivals(site.origin(0), lifted_at);
    let is_counted = |seen: Instant| (1..2).contains(&(seen - lifted_at).as_secs());
    let in_second = arrivals.iter().filter(|(_, seen)| is_counted(seen.at)).count();
    println!("{in_second} requests in the second after");
    assert!(in_second >= 8, "the backend server gets its share of requests again: {in_second}");
}

#[actix_rt::test]
async fn when_all_backend_servers_announce_limits_these_are_used_and_the_rest_is_refused_at_once() {
    let site = Site::start(3, 3).await;
    site.set_all_replies(Reply::After(40));
    site.origins.iter().for_each(|origin| origin.set_notice_fields(&[(headers::RATE_LIMIT, "3")]));
    let announced_at = Instant::now();
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_secs(4)).await;
    flow.answers().await;
    flow.run(&site, Duration::from_secs(6)).await;
    let answers = flow.answers().await;
    for (number, origin) in site.origins.iter().enumerate() {
        let limit_usage = limit_usage(&flow.arrivals(origin, announced_at), |_, _| false);
        println!("backend server {number}: {limit_usage:?}");
        assert!(limit_usage.max_window_share <= 1.0, "{limit_usage:?}");
        assert!(limit_usage.total_share >= 0.8, "{limit_usage:?}");
    }
    let is_refused = |answer: &&CallResult| answer.status == Some(503);
    let refused: Vec<&CallResult> = answers.iter().filter(is_refused).collect();
    let mut refusal_times: Vec<Duration> = refused.iter().map(|answer| answer.took).collect();
    refusal_times.sort_unstable();
    let slow_count =
        refusal_times.iter().filter(|took| **took > Duration::from_millis(100)).count();
    println!(
        "{:.3} served, {} refused, {slow_count} of them after 0.1 s",
        served_share(&answers),
        refusal_times.len()
    );
    assert!(refused.iter().all(|answer| answer.retry_after_s.is_some_and(|after_s| after_s > 0.0)));
    assert!(
        slow_count * 20 <= refused.len(),
        "{slow_count} of {} refusals took over 0.1 s",
        refused.len()
    );
}

#[actix_rt::test]
async fn vms_keep_to_the_limit_across_restarts_and_pauses() {
    let mut site = Site::start(4, 5).await;
    site.set_all_replies(Reply::After(80));
    site.origin(0).set_notice_fields(&[(headers::RATE_LIMIT, "1.4")]);
    let announced_at = Instant::now();
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_millis(3_500)).await;
    site.vms[0].restart();
    flow.run(&site, Duration::from_millis(700)).await;
    site.vms[1].signal(Signal::STOP);
    flow.run(&site, Duration::from_millis(800)).await;
    site.vms[1].signal(Signal::CONT);
    site.vms[2].restart();
    flow.run(&site, Duration::from_millis(1_500)).await;
    site.vms[3].signal(Signal::HUP);
    site.vms[3].restart();
    flow.run(&site, Duration::from_millis(3_000)).await;
    flow.answers().await;
    let limit_usage = limit_usage(&flow.arrivals(site.origin(0), announced_at), |_, _| false);
    println!("{limit_usage:?}");
    assert!(limit_usage.max_window_share <= 1.0, "{limit_usage:?}");
    assert!(limit_usage.total_share >= 0.4, "{limit_usage:?}");
}
