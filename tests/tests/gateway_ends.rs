//! A request that crashes the backend servers that run it.
//!
//! Guards against blaming the backend server alone for a crash: a request that crashed each backend server within 0.1 s was
//! retried by its caller at any VM, with the same path and body under another id. After three crashes it was sent to twelve
//! more backend servers, twice where its route allows a retry, and a service of seven served hardly anything for 10 s.
//! VMs therefore recognize the request by its digest.

use std::time::Duration;

use leverstream_tests::ends::{CrashScenario, MAX_LATE_SENDS};
use leverstream_tests::site::{NON_REPEATABLE, REPEATABLE};

#[actix_rt::test]
async fn a_request_that_crashed_three_backend_servers_is_rarely_sent_again() {
    for path in [REPEATABLE, NON_REPEATABLE] {
        let mut story = CrashScenario::start(3, 8).await;
        story.run(path, Duration::from_secs(7)).await;
        let outcome = story.evaluate().await;
        println!("{path}: {outcome:?}");
        assert!(outcome.late_sends <= MAX_LATE_SENDS, "{path}: {outcome:?}");
    }
}

#[actix_rt::test]
async fn a_crashing_request_is_still_recognized_after_all_vms_are_killed_at_once() {
    let mut story = CrashScenario::start(3, 8).await;
    story.run(REPEATABLE, Duration::from_secs(4)).await;
    story.kill_all();
    story.run(REPEATABLE, Duration::from_secs(6)).await;
    let outcome = story.evaluate().await;
    println!("{outcome:?}");
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
}

#[actix_rt::test]
async fn a_crashing_request_leaves_the_last_backend_server_of_a_service_up() {
    let mut story = CrashScenario::start(1, 3).await;
    story.run(REPEATABLE, Duration::from_secs(5)).await;
    let outcome = story.evaluate().await;
    println!("{outcome:?}");
    assert!(outcome.max_down <= 2 && outcome.crash_count <= 3, "{outcome:?}");
    assert!(outcome.served >= 0.9, "{outcome:?}");
}
