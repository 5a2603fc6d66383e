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
use leverstream_tests::flow::{Flow, longest_after_word, served};
use leverstream_tests::site::Site;

/// How long after its word a backend server that leaves may still get requests.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);

/// A store that answers nobody, and lets watches hear nothing.
fn away() -> Faults {
    Faults { away: true, deaf_watches: true, ..Faults::default() }
}

/// A fleet with work under way, whose store has just gone away.
async fn start(vms: usize, origins: usize) -> (Site, Flow) {
    let site = Site::start(vms, origins).await;
    site.set_all(Reply::After(80));
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
    let longest = longest_after_word(&arrivals);
    println!(
        "{} arrivals, {longest:?} after the word, {:.3} served",
        arrivals.len(),
        served(&answers)
    );
    assert!(longest <= LEAVES_WITHIN, "{longest:?} after the word");
    assert!(served(&answers) >= 0.99, "{} served", served(&answers));
}
