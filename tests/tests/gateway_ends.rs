//! A request that crashes the backend servers that run it.
//!
//! Guards against blaming the backend server alone for a crash: a request that crashed each backend server within 0.1 s was
//! retried by its caller at any VM, with the same path and body under another id. After three crashes it was sent to twelve
//! more backend servers, twice where its route allows a retry, and a service of seven served hardly anything for 10 s.
//! VMs therefore recognize the request by its digest.

use std::time::Duration;

use leverstream_standin::origin::Origin;
use leverstream_tests::ends::{CrashScenario, MAX_LATE_SENDS};
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site};
use leverstream_tests::until;
use tokio::net::TcpStream;

/// The number of rounds in which a backend server is dropped while a VM confirms that it refuses connections.
const REFUSAL_ROUNDS: usize = 3;

/// The time after which a VM has confirmed that a backend server refuses connections.
const CONFIRMED_AFTER: Duration = Duration::from_millis(300);

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

/// Guards against a task that looks up a backend server dropped meanwhile: it refuses a connection, and before that is confirmed its
/// address answers for another instance. The task ended in a panic, and tests of links that begin in it never ended.
#[actix_rt::test]
async fn a_backend_server_that_is_dropped_while_its_refusal_is_confirmed_is_not_looked_up() {
    for _ in 0..REFUSAL_ROUNDS {
        let mut site = Site::start(1, 1).await;
        let stopped = site.origins.remove(0);
        let address = stopped.address;
        drop(stopped);
        let refused = || async { TcpStream::connect(address).await.is_err().then_some(()) };
        until("the address refuses connections", refused).await;
        let first = Call::new(REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
        let other = Origin::bind(address, "i-other").await.expect("the address is free");
        let second = Call::new(REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
        assert_eq!((first.status, second.status), (503, 503));
        let dropped = || async { site.vms[0].has_logged("backend gone").then_some(()) };
        until("the backend server is dropped", dropped).await;
        tokio::time::sleep(CONFIRMED_AFTER).await;
        assert!(!site.vms[0].has_logged("panicked"));
        drop(other);
    }
}
