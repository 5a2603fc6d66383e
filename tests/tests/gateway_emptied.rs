//! Data halls that operators ask to be emptied: nothing more is sent to their backend servers.

use std::time::{Duration, Instant};

use leverstream_platform::standin;
use leverstream_standin::origin::Reply;
use leverstream_standin::platform::Faults;
use leverstream_tests::flow::{Flow, served_share};
use leverstream_tests::site::{Site, backend};
use serde_json::json;

/// How soon the VMs must have heard of it.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// A hall without VMs.
const OTHER_HALL: &str = "hall-b";

/// A fleet before four backend servers, of which the first two stand in the other hall.
async fn start() -> Site {
    let site = Site::start(3, 4).await;
    site.set_all_replies(Reply::After(40));
    for number in 0..2 {
        let mut entry = backend(&format!("i-{number}"), site.origin(number).address);
        entry.hall = OTHER_HALL.to_owned();
        site.list_backend(&entry).await;
    }
    site
}

/// How many requests of a flow reached the hall from a moment on.
fn arrived(flow: &Flow, site: &Site, from: Instant) -> usize {
    (0..2).map(|number| flow.arrivals(site.origin(number), from).len()).sum()
}

#[actix_rt::test]
async fn a_hall_that_is_to_be_emptied_gets_nothing_more_until_that_is_taken_back() {
    let mut site = start().await;
    let mut flow = Flow::default();
    let began = Instant::now();
    flow.run(&site, Duration::from_millis(1_500)).await;
    assert!(arrived(&flow, &site, began) > 0, "it has work before");
    site.put(standin::EMPTIED, OTHER_HALL, json!({})).await;
    flow.run(&site, KNOWN_WITHIN).await;
    let known = Instant::now();
    // It holds for a VM that starts while the store is away, and hears it from the others.
    site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    site.vms[2].restart();
    site.until_ready().await;
    flow.run(&site, Duration::from_millis(1_500)).await;
    site.platform.set_faults(&Faults::default()).await;
    site.vms[1].restart();
    site.until_ready().await;
    flow.run(&site, Duration::from_millis(1_500)).await;
    let share = served_share(&flow.answers().await);
    assert_eq!(arrived(&flow, &site, known), 0);
    assert!(share >= 0.97, "{share} served");
    site.delete(standin::EMPTIED, OTHER_HALL).await;
    let back = Instant::now();
    flow.run(&site, Duration::from_millis(2_500)).await;
    flow.answers().await;
    assert!(arrived(&flow, &site, back + KNOWN_WITHIN) > 0, "it has work again");
}
