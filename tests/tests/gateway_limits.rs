//! Backend servers that say in their answers how many requests a second they take from all VMs together.
//!
//! Seen: a backend server that had named a limit of 1.4 a second got 23 requests in 4 s from VMs that had passed on such an
//! answer; 13 are allowed.
//! How: nothing was sent otherwise after the word than before it, by any of the VMs.
//! Cause: nobody read the limit, and what all VMs together send a backend server was nobody's number: slots and times for which
//! nothing is wanted bound each VM for itself.
//! Proved by a line and a count for each such answer, of a belief that none of them changed, and by these tests.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::Reply;
use leverstream_tests::flow::{CallResult, Flow, limit_usage, served_share};
use leverstream_tests::site::Site;
use rustix::process::Signal;
use yare::parameterized;

#[actix_rt::test]
async fn a_backend_server_gets_no_more_than_the_limit_that_it_names() {
    let site = Site::start(3, 5).await;
    site.set_all_replies(Reply::After(80));
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_millis(1_000)).await;
    let word = Instant::now();
    site.origin(0).say(&[(headers::LIMIT, "1.4")]);
    flow.run(&site, Duration::from_secs(11)).await;
    let served = served_share(&flow.answers().await);
    let arrivals = flow.arrivals(site.origin(0), word);
    let limited = limit_usage(&arrivals, |_, _| false);
    for (number, vm) in site.vms.iter().enumerate() {
        let known = vm.metric("leverstream_backends{state=\"Limited\"}").await;
        let granted = vm.metric("leverstream_permits_total{service=\"shop\"}").await;
        let denied = vm.metric("leverstream_permits_denied_total{service=\"shop\"}").await;
        let from_it = arrivals.iter().filter(|(vm, _)| *vm == number).count();
        println!("VM {number}: {granted} permits, {denied} denied, {from_it} arrived");
        assert!((known - 1.0).abs() < f64::EPSILON, "each VM knows the limit: {known}");
    }
    println!("{} arrivals, {limited:?}, {served:.3} served", arrivals.len());
    assert!(limited.max_window_share <= 1.0, "{limited:?}");
    assert!(limited.total_share >= 0.8, "{limited:?}");
    assert!(served >= 0.99, "{served} served");
}

/// What a backend server answers with when it names its limit.
#[parameterized(
    failure = { Reply::Failure },
    refusal = { Reply::Full },
    broken_off = { Reply::Cut },
)]
#[test_macro(actix_rt::test)]
async fn the_limit_counts_in_any_answer(reply: Reply) {
    let site = Site::start(2, 5).await;
    site.set_all_replies(Reply::After(80));
    let word = Instant::now();
    site.origin(0).set(reply);
    site.origin(0).say(&[(headers::LIMIT, "0.5")]);
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_secs(7)).await;
    flow.answers().await;
    for vm in &site.vms {
        let limited = vm.metric("leverstream_backends{state=\"Limited\"}").await;
        assert!((limited - 1.0).abs() < f64::EPSILON, "each VM knows of it");
    }
    let limited = limit_usage(&flow.arrivals(site.origin(0), word), |_, _| false);
    assert!(limited.max_window_share <= 1.0, "{limited:?}");
}

#[actix_rt::test]
async fn a_limit_that_is_lifted_is_forgotten_by_all_vms_within_a_second() {
    let site = Site::start(3, 5).await;
    site.set_all_replies(Reply::After(80));
    site.origin(0).say(&[(headers::LIMIT, "2")]);
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_secs(4)).await;
    let lifted = Instant::now();
    site.origin(0).say(&[]);
    flow.run(&site, Duration::from_secs(1)).await;
    for vm in &site.vms {
        let limited = vm.metric("leverstream_backends{state=\"Limited\"}").await;
        assert!(limited.abs() < f64::EPSILON, "each VM has forgotten it after a second");
    }
    flow.run(&site, Duration::from_secs(2)).await;
    flow.answers().await;
    let arrivals = flow.arrivals(site.origin(0), lifted);
    let second = |seen: Instant| (1..2).contains(&(seen - lifted).as_secs());
    let in_second = arrivals.iter().filter(|(_, seen)| second(seen.at)).count();
    println!("{in_second} requests in the second after");
    assert!(in_second >= 8, "it has its part of the work again: {in_second}");
}

#[actix_rt::test]
async fn where_all_name_limits_these_are_used_and_the_rest_is_refused_at_once() {
    let site = Site::start(3, 3).await;
    site.set_all_replies(Reply::After(40));
    site.origins.iter().for_each(|origin| origin.say(&[(headers::LIMIT, "3")]));
    let word = Instant::now();
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_secs(4)).await;
    flow.answers().await;
    flow.run(&site, Duration::from_secs(6)).await;
    let answers = flow.answers().await;
    for (number, origin) in site.origins.iter().enumerate() {
        let limited = limit_usage(&flow.arrivals(origin, word), |_, _| false);
        println!("backend server {number}: {limited:?}");
        assert!(limited.max_window_share <= 1.0, "{limited:?}");
        assert!(limited.total_share >= 0.8, "{limited:?}");
    }
    let is_refused = |answer: &&CallResult| answer.status == Some(503);
    let refused: Vec<&CallResult> = answers.iter().filter(is_refused).collect();
    let mut took: Vec<Duration> = refused.iter().map(|answer| answer.took).collect();
    took.sort_unstable();
    let late = took.iter().filter(|took| **took > Duration::from_millis(100)).count();
    println!(
        "{:.3} served, {} refused, {late} of them after 0.1 s",
        served_share(&answers),
        took.len()
    );
    assert!(refused.iter().all(|answer| answer.retry_after_s.is_some_and(|after_s| after_s > 0.0)));
    assert!(late * 20 <= refused.len(), "{late} of {} refusals were late", refused.len());
}

#[actix_rt::test]
async fn whatever_befalls_vms_they_keep_to_the_limit() {
    let mut site = Site::start(4, 5).await;
    site.set_all_replies(Reply::After(80));
    site.origin(0).say(&[(headers::LIMIT, "1.4")]);
    let word = Instant::now();
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
    let limited = limit_usage(&flow.arrivals(site.origin(0), word), |_, _| false);
    println!("{limited:?}");
    assert!(limited.max_window_share <= 1.0, "{limited:?}");
    assert!(limited.total_share >= 0.4, "{limited:?}");
}
