//! Data halls that operators empty: no more requests are sent to their backend servers.

use std::time::{Duration, Instant};

use leverstream_platform::standin;
use leverstream_standin::origin::Reply;
use leverstream_standin::platform::Faults;
use leverstream_tests::flow::{Flow, served_share};
use leverstream_tests::site::{Site, backend};
use serde_json::json;

/// Time within which all VMs must know of a change to the list of emptied halls.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// A hall that has backend servers but no VMs.
const OTHER_HALL: &str = "hall-b";

/// Starts a fleet with four backend servers, the first two of them in the other hall.
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

/// The number of requests of a flow that reached the other hall since `from`.
fn arrival_count(flow: &Flow, site: &Site, from: Instant) -> usize {
    (0..2).map(|number| flow.arrivals(site.origin(number), from).len()).sum()
}

#[actix_rt::test]
async fn an_emptied_hall_gets_no_requests_until_the_operator_restores_it() {
    let mut site = start().await;
    let mut flow = Flow::default();
    let started_at = Instant::now();
    flow.run(&site, Duration::from_millis(1_500)).await;
    assert!(arrival_count(&flow, &site, started_at) > 0, "the hall gets requests before");
    site.put(standin::EVACUATIONS_KIND, OTHER_HALL, json!({})).await;
    flow.run(&site, NOTICE_TIMEOUT).await;
    let known_at = Instant::now();
    // A VM that starts while the store is unavailable learns of the emptied hall from its peers.
    site.platform.set_faults(&Faults { away: true, ..Faults::default() }).await;
    site.vms[2].restart();
    site.until_ready().await;
    flow.run(&site, Duration::from_millis(1_500)).await;
    site.platform.set_faults(&Faults::default()).await;
    site.vms[1].restart();
    site.until_ready().await;
    flow.run(&site, Duration::from_millis(1_500)).await;
    let served_share = served_share(&flow.answers().await);
    assert_eq!(arrival_count(&flow, &site, known_at), 0);
    assert!(served_share >= 0.97, "{served_share} served");
    site.delete(standin::EVACUATIONS_KIND, OTHER_HALL).await;
    let restored_at = Instant::now();
    flow.run(&site, Duration::from_millis(2_500)).await;
    flow.answers().await;
    assert!(
        arrival_count(&flow, &site, restored_at + NOTICE_TIMEOUT) > 0,
        "the hall gets requests again"
    );
}
