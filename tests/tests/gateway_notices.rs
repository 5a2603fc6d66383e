//! What backend servers say of themselves in their answers: that they leave, that they want nothing for a while.
//!
//! Seen: requests reached a backend server 2.2 s and more after an answer of it, which the same VM had passed on, said that
//! it leaves; 2 s are allowed.
//! How: the store was away, so the backend server's entry went on saying that it is ready; the VM chose by the entry.
//! Cause: nobody read what answers say of the backend server that made them.
//! Proved by a line for each such answer, of a belief that none of them changed, and by these tests.

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

/// How long after its word a backend server that leaves may still get requests.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);

/// How many requests may reach a backend server that wants nothing, from one VM.
const UNWANTED: usize = 2;

/// A store that answers nobody, and lets watches hear nothing.
fn away() -> Faults {
    Faults { away: true, deaf_watches: true, ..Faults::default() }
}

/// A fleet with work under way, whose store has just gone away.
async fn start(vms: usize, origins: usize) -> (Site, Flow) {
    let site = Site::start(vms, origins).await;
    site.set_all_replies(Reply::After(80));
    let mut flow = Flow::default();
    flow.run(&site, Duration::from_millis(1_000)).await;
    site.platform.set_faults(&away()).await;
    (site, flow)
}

#[actix_rt::test]
async fn nothing_reaches_a_backend_server_that_has_said_in_its_answers_that_it_leaves() {
    let (site, mut flow) = start(3, 5).await;
    let word = Instant::now();
    site.origin(0).say(&[(headers::LEAVING, "1")]);
    flow.run(&site, Duration::from_secs(4)).await;
    let answers = flow.answers().await;
    let arrivals = flow.arrivals(site.origin(0), word);
    let longest = longest_after_leaving_notice(&arrivals);
    for vm in &site.vms {
        let by_word = vm.metric("leverstream_backends{state=\"LeavingByWord\"}").await;
        assert!((by_word - 1.0).abs() < f64::EPSILON, "each VM shows it: {by_word}");
    }
    println!(
        "{} arrivals, {longest:?} after the word, {:.3} served",
        arrivals.len(),
        served_share(&answers)
    );
    assert!(longest <= LEAVES_WITHIN, "{longest:?} after the word");
    assert!(served_share(&answers) >= 0.99, "{} served", served_share(&answers));
}

/// What a backend server answers with when it says that it leaves.
#[parameterized(
    success = { Reply::After(80) },
    failure = { Reply::Failure },
    refusal = { Reply::Full },
    broken_off = { Reply::Cut },
)]
#[test_macro(actix_rt::test)]
async fn the_word_counts_in_any_answer(reply: Reply) {
    let (site, mut flow) = start(2, 5).await;
    let word = Instant::now();
    site.origin(0).set(reply);
    site.origin(0).say(&[(headers::LEAVING, "1")]);
    flow.run(&site, Duration::from_millis(3_000)).await;
    flow.answers().await;
    let longest = longest_after_leaving_notice(&flow.arrivals(site.origin(0), word));
    assert!(longest <= LEAVES_WITHIN, "{longest:?} after the word");
}

#[actix_rt::test]
async fn nothing_that_befalls_vms_or_the_list_takes_the_word_back() {
    let (mut site, mut flow) = start(3, 5).await;
    let word = Instant::now();
    site.origin(0).say(&[(headers::LEAVING, "1")]);
    flow.run(&site, Duration::from_millis(500)).await;
    site.vms[0].signal(Signal::HUP);
    site.vms[1].restart();
    site.until_ready().await;
    flow.run(&site, Duration::from_millis(700)).await;
    // The store is back with an entry that still says that it is ready, as one that is written late does.
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
    let arrivals = flow.arrivals(site.origin(0), word);
    let longest = longest_after_leaving_notice(&arrivals);
    println!("{} arrivals, {longest:?} after the word, {served:.3} served", arrivals.len());
    assert!(longest <= LEAVES_WITHIN, "{longest:?} after the word");
}

#[actix_rt::test]
async fn a_service_of_which_all_leave_is_served_on_for_a_while_then_refused_at_once() {
    let (site, mut flow) = start(3, 3).await;
    site.set_all_replies(Reply::After(20));
    flow.answers().await;
    let word = Instant::now();
    site.origins.iter().for_each(|origin| origin.say(&[(headers::LEAVING, "1")]));
    flow.run(&site, Duration::from_millis(1_500)).await;
    let at_first = flow.answers().await;
    flow.run(&site, Duration::from_millis(2_500)).await;
    let later = flow.answers().await;
    let longest = site
        .origins
        .iter()
        .map(|origin| longest_after_leaving_notice(&flow.arrivals(origin, word)));
    let longest = longest.max().unwrap_or_default();
    println!(
        "{:.3} served, then {:.3}; last after {longest:?}",
        served_share(&at_first),
        served_share(&later)
    );
    assert!(longest <= LEAVES_WITHIN, "{longest:?} after the word");
    assert!(served_share(&at_first) >= 0.99, "{} served", served_share(&at_first));
    let is_refused = |answer: &&CallResult| answer.status == Some(503);
    let refused: Vec<&CallResult> = later.iter().filter(is_refused).collect();
    assert!(refused.len() > 100, "{} refused", refused.len());
    assert!(refused.iter().all(|answer| answer.retry_after_s.is_some_and(|after_s| after_s > 0.0)));
    let slowest = refused.iter().map(|answer| answer.took).max().unwrap_or_default();
    assert!(slowest < Duration::from_millis(500), "a refusal took {slowest:?}");
    // The store tells who replaces them.
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
async fn a_backend_server_that_wants_nothing_for_a_while_gets_nothing_from_whom_it_told() {
    const WANTS_NOTHING: Duration = Duration::from_secs(2);
    let (site, mut flow) = start(3, 5).await;
    flow.answers().await;
    let from = Instant::now();
    site.origin(0).set(Reply::Full);
    site.origin(0).say(&[(headers::RETRY_AFTER, "2")]);
    flow.run(&site, WANTS_NOTHING).await;
    let served = served_share(&flow.answers().await);
    let arrivals = flow.arrivals(site.origin(0), from);
    let most = max_during_hold_off(&arrivals, |_, _, _| false);
    println!("{} arrivals, {most} of one VM unwanted, {served:.3} served", arrivals.len());
    assert!(most <= UNWANTED, "{most} requests of one VM");
    assert!(served >= 0.99, "{served} served");
    site.origin(0).say(&[]);
    site.set_all_replies(Reply::After(80));
    let back = Instant::now();
    flow.run(&site, Duration::from_millis(2_500)).await;
    flow.answers().await;
    assert!(flow.arrivals(site.origin(0), back).len() > 10, "it has work again");
}

#[actix_rt::test]
async fn where_all_want_nothing_callers_are_refused_at_once_and_told_when_to_come_back() {
    const WANTS_NOTHING: Duration = Duration::from_secs(3);
    let (site, mut flow) = start(3, 4).await;
    flow.answers().await;
    site.set_all_replies(Reply::Full);
    site.origins.iter().for_each(|origin| origin.say(&[(headers::RETRY_AFTER, "3")]));
    let from = Instant::now();
    flow.run(&site, WANTS_NOTHING - Duration::from_secs(1)).await;
    let answers = flow.answers().await;
    let most = site
        .origins
        .iter()
        .map(|origin| max_during_hold_off(&flow.arrivals(origin, from), |_, _, _| false));
    let most = most.max().unwrap_or(0);
    assert!(most <= UNWANTED, "{most} requests of one VM");
    // By then each VM was told by each of them.
    let settled = from + Duration::from_millis(800);
    let late: Vec<&CallResult> = answers.iter().filter(|answer| answer.sent_at > settled).collect();
    let slowest = late.iter().map(|answer| answer.took).max().unwrap_or_default();
    println!("{} refused, the slowest within {slowest:?}, {most} unwanted", late.len());
    assert!(late.iter().all(|answer| answer.status == Some(503)));
    assert!(slowest < Duration::from_millis(300), "a refusal took {slowest:?}");
    for answer in late {
        let back =
            answer.sent_at + Duration::from_secs_f64(answer.retry_after_s.expect("it says when"));
        assert!(back + Duration::from_millis(100) >= from + WANTS_NOTHING, "too early");
        assert!(back <= from + WANTS_NOTHING + Duration::from_secs(3), "too late");
    }
    site.set_all_replies(Reply::After(20));
    site.origins.iter().for_each(|origin| origin.say(&[]));
    tokio::time::sleep(WANTS_NOTHING.saturating_sub(from.elapsed()) + Duration::from_millis(600))
        .await;
    flow.run(&site, Duration::from_millis(500)).await;
    let served = served_share(&flow.answers().await);
    assert!(served >= 0.99, "{served} served");
}

#[actix_rt::test]
async fn a_request_that_can_wait_for_the_end_of_the_time_is_served() {
    let (site, mut flow) = start(3, 4).await;
    flow.answers().await;
    site.set_all_replies(Reply::Full);
    site.origins.iter().for_each(|origin| origin.say(&[(headers::RETRY_AFTER, "0.3")]));
    flow.run(&site, Duration::from_millis(250)).await;
    site.set_all_replies(Reply::After(20));
    site.origins.iter().for_each(|origin| origin.say(&[]));
    flow.run(&site, Duration::from_millis(500)).await;
    let served = served_share(&flow.answers().await);
    println!("{served:.3} served");
    assert!(served >= 0.7, "{served} served");
}
