//! Notices that backend servers send in their answers: that they leave, or that they hold off requests for a while.
//!
//! Guards against choosing a backend server by its store entry alone: with the store unavailable, the entry of a leaving
//! backend server stayed ready, and a VM sent it requests 2.2 s and more after forwarding its leave notice. 2 s are allowed.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::Reply;
use leverstream_standin::platform::Faults;
use leverstream_tests::flow::{
    CallResult, Flow, longest_after_leaving_notice, max_during_hold_off, served_share,
};
use leverstream_tests::site::{Call, REPEATABLE, Site, backend};
use rustix::process::Signal;
use yare::parameterized;

/// How long after its leave notice a backend server may still get requests.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// How many requests one VM may send to a backend server that holds off requests.
const MAX_UNWANTED_PER_VM: usize = 2;

/// Faults of a store that answers no call and sends no events to watches.
fn store_outage() -> Faults {
    Faults { away: true, deaf_watches: true, ..Faults::default() }
}

/// Starts a fleet under load whose store has just become unavailable.
async fn start(vms: usize, origins: usize) -> (Site, Flow) {
    let site = Site::start(vms, origins).await;
    site.set_all_replies(Reply::After(80));
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_millis(1_000)).await;
    site.platform.set_faults(&store_outage()).await;
    (site, flow)
}

#[actix_rt::test]
async fn no_request_reaches_a_backend_server_after_its_leave_notice() {
    let (site, mut flow) = start(3, 5).await;
    let announced_at = Instant::now();
    site.origin(0).set_notice_fields(&[(headers::LEAVING, "1")]);
    flow.run(&site, Duration::from_secs(4)).await;
    let answers = flow.answers().await;
    let arrivals = flow.arrivals(site.origin(0), announced_at);
    let longest = longest_after_leaving_notice(&arrivals);
    for vm in &site.vms {
        let leaving_count = vm.metric("leverstream_backends{state=\"LeavingByWord\"}").await;
        assert!(
            (leaving_count - 1.0).abs() < f64::EPSILON,
            "each VM reports it as leaving: {leaving_count}"
        );
    }
    println!(
        "{} arrivals, {longest:?} after the notice, {:.3} served",
        arrivals.len(),
        served_share(&answers)
    );
    assert!(longest <= LEAVE_TIMEOUT, "{longest:?} after the notice");
    assert!(served_share(&answers) >= 0.99, "{} served", served_share(&answers));
}

/// A leave notice counts in an answer of any kind.
#[parameterized(
    success = { Reply::After(80) },
    failure = { Reply::Failure },
    refusal = { Reply::Rejection },
    connection_cut = { Reply::Truncated },
)]
#[test_macro(actix_rt::test)]
async fn a_leave_notice_counts_in_any_answer(reply: Reply) {
    let (site, mut flow) = start(2, 5).await;
    let announced_at = Instant::now();
    site.origin(0).set(reply);
    site.origin(0).set_notice_fields(&[(headers::LEAVING, "1")]);
    flow.run(&site, Duration::from_millis(3_000)).await;
    flow.answers().await;
    let longest = longest_after_leaving_notice(&flow.arrivals(site.origin(0), announced_at));
    assert!(longest <= LEAVE_TIMEOUT, "{longest:?} after the notice");
}

#[actix_rt::test]
async fn a_leave_notice_holds_across_vm_restarts_and_changes_of_the_list() {
    let (mut site, mut flow) = start(3, 5).await;
    let announced_at = Instant::now();
    site.origin(0).set_notice_fields(&[(headers::LEAVING, "1")]);
    flow.run(&site, Duration::from_millis(500)).await;
    site.vms[0].signal(Signal::HUP);
    site.vms[1].restart();
    site.until_ready().await;
    flow.run(&site, Duration::from_millis(700)).await;
    // The store returns with an entry that still says ready, as a late write does.
    site.platform.set_faults(&Faults::default()).await;
    site.put_catalog(2).await;
    let entry = backend("i-0", site.origin(0).address);
    site.unlist_backend("i-0").await;
    flow.run(&site, Duration::from_millis(500)).await;
    site.list_backend(&entry).await;
    site.vms[2].restart();
    site.until_ready().await;
    flow.run(&site, Duration::from_millis(3_000)).await;
    let served = served_share(&flow.answers().await);
    let arrivals = flow.arrivals(site.origin(0), announced_at);
    let longest = longest_after_leaving_notice(&arrivals);
    println!("{} arrivals, {longest:?} after the notice, {served:.3} served", arrivals.len());
    assert!(longest <= LEAVE_TIMEOUT, "{longest:?} after the notice");
}

#[actix_rt::test]
async fn a_service_whose_backend_servers_all_leave_is_served_for_a_while_then_refused_at_once() {
    let (site, mut flow) = start(3, 3).await;
    site.set_all_replies(Reply::After(20));
    flow.answers().await;
    let announced_at = Instant::now();
    site.origins.iter().for_each(|origin| origin.set_notice_fields(&[(headers::LEAVING, "1")]));
    flow.run(&site, Duration::from_millis(1_500)).await;
    let at_first = flow.answers().await;
    flow.run(&site, Duration::from_millis(2_500)).await;
    let later = flow.answers().await;
    let longest = site
        .origins
        .iter()
        .map(|origin| longest_after_leaving_notice(&flow.arrivals(origin, announced_at)));
    let longest = longest.max().unwrap_or_default();
    println!(
        "{:.3} served, then {:.3}; last after {longest:?}",
        served_share(&at_first),
        served_share(&later)
    );
    assert!(longest <= LEAVE_TIMEOUT, "{longest:?} after the notice");
    assert!(served_share(&at_first) >= 0.99, "{} served", served_share(&at_first));
    let is_refused = |answer: &&CallResult| answer.status == Some(503);
    let refused: Vec<&CallResult> = later.iter().filter(is_refused).collect();
    assert!(refused.len() > 100, "{} refused", refused.len());
    assert!(refused.iter().all(|answer| answer.retry_after_s.is_some_and(|after_s| after_s > 0.0)));
    let slowest = refused.iter().map(|answer| answer.took).max().unwrap_or_default();
    assert!(slowest < Duration::from_millis(500), "a refusal took {slowest:?}");
    // The store lists a new backend server in their place.
    site.platform.set_faults(&Faults::default()).await;
    let mut site = site;
    site.add_origin("i-new").await;
    let served = async || {
        let answer = Call::new(&format!("{REPEATABLE}again")).send(&site.vms[0]).await;
        answer.is_ok_and(|answer| answer.status == 200).then_some(())
    };
    leverstream_tests::until("the service is back", served).await;
}

#[actix_rt::test]
async fn a_backend_server_that_holds_off_gets_no_requests_from_vms_it_notified() {
    const HOLD_OFF: Duration = Duration::from_secs(2);
    let (site, mut flow) = start(3, 5).await;
    flow.answers().await;
    let from = Instant::now();
    site.origin(0).set(Reply::Rejection);
    site.origin(0).set_notice_fields(&[(headers::RETRY_AFTER, "2")]);
    flow.run(&site, HOLD_OFF).await;
    let served = served_share(&flow.answers().await);
    let arrivals = flow.arrivals(site.origin(0), from);
    let most = max_during_hold_off(&arrivals, |_, _, _| false);
    println!("{} arrivals, {most} of one VM unwanted, {served:.3} served", arrivals.len());
    assert!(most <= MAX_UNWANTED_PER_VM, "{most} requests of one VM");
    assert!(served >= 0.99, "{served} served");
    site.origin(0).set_notice_fields(&[]);
    site.set_all_replies(Reply::After(80));
    let back = Instant::now();
    flow.run(&site, Duration::from_millis(2_500)).await;
    flow.answers().await;
    assert!(
        flow.arrivals(site.origin(0), back).len() > 10,
        "the backend server gets requests again"
    );
}

#[actix_rt::test]
async fn when_all_backend_servers_hold_off_callers_are_refused_at_once_with_retry_after() {
    const HOLD_OFF: Duration = Duration::from_secs(3);
    let (site, mut flow) = start(3, 4).await;
    flow.answers().await;
    site.set_all_replies(Reply::Rejection);
    site.origins.iter().for_each(|origin| origin.set_notice_fields(&[(headers::RETRY_AFTER, "3")]));
    let from = Instant::now();
    flow.run(&site, HOLD_OFF - Duration::from_secs(1)).await;
    let answers = flow.answers().await;
    let most = site
        .origins
        .iter()
        .map(|origin| max_during_hold_off(&flow.arrivals(origin, from), |_, _, _| false));
    let most = most.max().unwrap_or(0);
    assert!(most <= MAX_UNWANTED_PER_VM, "{most} requests of one VM");
    // By then each VM has received the hold-off from each backend server.
    let settled = from + Duration::from_millis(800);
    let late: Vec<&CallResult> = answers.iter().filter(|answer| answer.sent_at > settled).collect();
    let slowest = late.iter().map(|answer| answer.took).max().unwrap_or_default();
    println!("{} refused, the slowest within {slowest:?}, {most} unwanted", late.len());
    assert!(late.iter().all(|answer| answer.status == Some(503)));
    assert!(slowest < Duration::from_millis(300), "a refusal took {slowest:?}");
    for answer in late {
        let back = answer.sent_at
            + Duration::from_secs_f64(answer.retry_after_s.expect("the answer has retry-after"));
        assert!(back + Duration::from_millis(100) >= from + HOLD_OFF, "too early");
        assert!(back <= from + HOLD_OFF + Duration::from_secs(3), "too late");
    }
    site.set_all_replies(Reply::After(20));
    site.origins.iter().for_each(|origin| origin.set_notice_fields(&[]));
    tokio::time::sleep(HOLD_OFF.saturating_sub(from.elapsed()) + Duration::from_millis(600)).await;
    flow.run(&site, Duration::from_millis(500)).await;
    let served = served_share(&flow.answers().await);
    assert!(served >= 0.99, "{served} served");
}

#[actix_rt::test]
async fn a_request_that_can_wait_until_the_hold_off_ends_is_served() {
    let (site, mut flow) = start(3, 4).await;
    flow.answers().await;
    site.set_all_replies(Reply::Rejection);
    site.origins
        .iter()
        .for_each(|origin| origin.set_notice_fields(&[(headers::RETRY_AFTER, "0.3")]));
    flow.run(&site, Duration::from_millis(250)).await;
    site.set_all_replies(Reply::After(20));
    site.origins.iter().for_each(|origin| origin.set_notice_fields(&[]));
    flow.run(&site, Duration::from_millis(500)).await;
    let served = served_share(&flow.answers().await);
    println!("{served:.3} served");
    assert!(served >= 0.7, "{served} served");
}
