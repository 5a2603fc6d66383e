//! A request under which backend servers end.
//!
//! Seen: a request under which three backend servers had ended was sent to twelve more; of a service of seven hardly
//! anything was served for ten seconds.
//! How: each backend server that began to run it ended within a tenth of a second; its caller came again with the same
//! path and body under another id, at any VM, and each VM sent it on like any other, twice where its route allows.
//! Cause: an end was held against the backend server only; nobody knew the request again.
//! Proved by the digest of the request in the lines of connections that broke, the same at every end, and by these tests.

use std::time::Duration;

use leverstream_tests::ends::{CrashScenario, MAX_LATE_SENDS};
use leverstream_tests::site::{NON_REPEATABLE, REPEATABLE};

#[actix_rt::test]
async fn a_request_under_which_three_have_ended_is_hardly_sent_any_more() {
    for path in [REPEATABLE, NON_REPEATABLE] {
        let mut story = CrashScenario::start(3, 8).await;
        story.run(path, Duration::from_secs(7)).await;
        let outcome = story.evaluate().await;
        println!("{path}: {outcome:?}");
        assert!(outcome.late_sends <= MAX_LATE_SENDS, "{path}: {outcome:?}");
    }
}

#[actix_rt::test]
async fn it_is_still_known_after_all_vms_were_killed_at_once() {
    let mut story = CrashScenario::start(3, 8).await;
    story.run(REPEATABLE, Duration::from_secs(4)).await;
    story.kill_all();
    story.run(REPEATABLE, Duration::from_secs(6)).await;
    let outcome = story.evaluate().await;
    println!("{outcome:?}");
    assert!(outcome.late_sends <= MAX_LATE_SENDS, "{outcome:?}");
}

#[actix_rt::test]
async fn the_last_backend_server_of_a_service_is_spared() {
    let mut story = CrashScenario::start(1, 3).await;
    story.run(REPEATABLE, Duration::from_secs(5)).await;
    let outcome = story.evaluate().await;
    println!("{outcome:?}");
    assert!(outcome.max_down <= 2 && outcome.crash_count <= 3, "{outcome:?}");
    assert!(outcome.served >= 0.9, "{outcome:?}");
}
