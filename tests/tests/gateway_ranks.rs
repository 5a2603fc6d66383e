//! The allotment of a workspace that sends several times its rate in three ranks over two gateways with different mixes.
//!
//! Guards against an exhausted allotment that refuses whichever request comes next: on a deployment's heaviest day, 14% of
//! the requests of rank 0 were refused and 12% of those of rank 2.

use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use leverstream_standin::origin::Reply;
use leverstream_tests::ranked::{self, RANKS, RankedResult, send_ranked, served_shares};
use leverstream_tests::site::{BY_RANK, Site};
use yare::parameterized;

/// The workspace.
const WORKSPACE: &str = "club";

/// The rate of its allotment; its burst is as many requests.
const RATE_PER_S: f64 = 40.0;

/// How long the requests of a test are sent.
const LENGTH: Duration = Duration::from_secs(7);

/// How long a flood lasts before its requests count: until the burst is used up, and the demand of each rank is known.
const RAMP_UP: Duration = Duration::from_secs(2);

/// When a gateway is killed.
const KILL_AT: Duration = Duration::from_millis(3_500);

/// The smallest share of the requests of rank 0 that is served. They need a third of the rate, less than what one gateway
/// may admit while it doesn't hear from the other.
const MIN_URGENT_SHARE: f64 = 0.9;

/// Requests of a rank that arrive at regular times at one gateway.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
    /// The index of the gateway.
    gateway: usize,
    /// The rank.
    rank: usize,
    /// The number of requests that arrive together.
    count: usize,
    /// The time between two arrivals, in milliseconds.
    interval_ms: u64,
}

/// Creates requests of a rank that arrive at a gateway.
const fn arrivals(gateway: usize, rank: usize, count: usize, interval_ms: u64) -> Arrivals {
    Arrivals { gateway, rank, count, interval_ms }
}

/// Starts two gateways and the workspace.
async fn start() -> Site {
    let mut site = Site::start_with_settings(2, 6, BY_RANK).await;
    site.set_all_replies(Reply::After(20));
    site.catalog = ranked::catalog(1);
    site.put_workspaces(2, &[ranked::workspace(WORKSPACE, RATE_PER_S)]).await;
    site
}

/// Sends the requests of a mix and returns the results. If a gateway is killed in between, the other one gets its requests
/// from then on.
async fn play(site: &mut Site, mix: &[Arrivals], killed: Option<usize>) -> Vec<RankedResult> {
    let started = Instant::now();
    let mut tasks: Vec<JoinHandle<RankedResult>> = Vec::new();
    let mut sent_counts = vec![0; mix.len()];
    let mut is_killed = false;
    while started.elapsed() < LENGTH {
        if let Some(index) = killed.filter(|_| !is_killed && started.elapsed() >= KILL_AT) {
            site.vms[index].process.kill();
            is_killed = true;
        }
        for (arrivals, sent_count) in mix.iter().zip(&mut sent_counts) {
            let due = started.elapsed().as_millis() as u64 / arrivals.interval_ms + 1;
            while *sent_count < due {
                *sent_count += 1;
                let gateway = if is_killed && killed == Some(arrivals.gateway) {
                    1 - arrivals.gateway
                } else {
                    arrivals.gateway
                };
                let (to, rank) = (site.vms[gateway].callers(), arrivals.rank);
                for number in 0..arrivals.count {
                    let is_repeatable = number.is_multiple_of(2);
                    tasks.push(actix_rt::spawn(send_ranked(to, WORKSPACE, rank, is_repeatable)));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut results = Vec::new();
    for task in tasks {
        let result = task.await.expect("the task of a request doesn't panic");
        assert_eq!(result.wrong_answer, None);
        results.push(result);
    }
    results.retain(|result| result.sent_at >= started + RAMP_UP);
    results
}

/// The urgent requests come in groups, at the gateway that gets few others.
const URGENT_IN_GROUPS: [Arrivals; 5] = [
    arrivals(0, 0, 3, 300),
    arrivals(0, 1, 1, 100),
    arrivals(1, 0, 1, 500),
    arrivals(1, 1, 1, 25),
    arrivals(1, 2, 1, 8),
];

/// Each rank comes evenly; one gateway gets the urgent requests, the other one the rest.
const URGENT_APART: [Arrivals; 3] =
    [arrivals(0, 0, 1, 80), arrivals(1, 1, 1, 25), arrivals(1, 2, 1, 8)];

/// Both gateways get most of their requests in the last rank, which also comes in groups.
const LAST_RANK_IN_GROUPS: [Arrivals; 4] = [
    arrivals(0, 0, 1, 80),
    arrivals(0, 2, 20, 200),
    arrivals(1, 1, 4, 100),
    arrivals(1, 2, 20, 330),
];

#[parameterized(
    urgent_in_groups = { &URGENT_IN_GROUPS, None },
    urgent_apart = { &URGENT_APART, None },
    last_rank_in_groups = { &LAST_RANK_IN_GROUPS, None },
    urgent_in_groups_whose_gateway_is_killed = { &URGENT_IN_GROUPS, Some(0) },
    urgent_in_groups_and_the_other_gateway_is_killed = { &URGENT_IN_GROUPS, Some(1) },
    urgent_apart_and_their_gateway_is_killed = { &URGENT_APART, Some(0) },
    urgent_apart_and_the_other_gateway_is_killed = { &URGENT_APART, Some(1) },
    last_rank_in_groups_and_a_gateway_is_killed = { &LAST_RANK_IN_GROUPS, Some(1) },
)]
#[test_macro(actix_rt::test)]
async fn a_flooding_workspace_is_served_by_rank(mix: &[Arrivals], killed: Option<usize>) {
    let mut site = start().await;
    let results = play(&mut site, mix, killed).await;
    let shares = served_shares(&results);
    let count = |rank| results.iter().filter(|result| result.rank == rank).count();
    let counts: [usize; RANKS] = std::array::from_fn(count);
    println!("served by rank {shares:.3?} of {counts:?}, {killed:?} killed");
    assert!(shares.is_sorted_by(|urgent, later| urgent >= later), "not by rank: {shares:.3?}");
    assert!(shares[0] >= MIN_URGENT_SHARE, "rank 0 needs a third of the rate: {shares:.3?}");
}

/// Guards against a reserve for urgent ranks that refuses others although the allotment suffices for all.
#[parameterized(
    even = { &[arrivals(0, 0, 1, 200), arrivals(0, 1, 1, 200), arrivals(0, 2, 1, 200), arrivals(1, 0, 1, 200), arrivals(1, 1, 1, 200), arrivals(1, 2, 1, 200)] },
    apart = { &[arrivals(0, 0, 1, 60), arrivals(1, 2, 1, 60)] },
    in_groups = { &[arrivals(0, 0, 6, 500), arrivals(1, 2, 8, 500), arrivals(1, 1, 1, 200)] },
)]
#[test_macro(actix_rt::test)]
async fn a_workspace_below_its_rate_is_refused_nothing(mix: &[Arrivals]) {
    let mut site = start().await;
    let results = play(&mut site, mix, None).await;
    let unserved: Vec<&RankedResult> =
        results.iter().filter(|result| result.status != Some(200)).collect();
    assert!(results.len() > 100, "the mix sends requests: {}", results.len());
    assert!(unserved.is_empty(), "{} of {} unserved: {unserved:?}", unserved.len(), results.len());
}
