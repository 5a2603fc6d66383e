//! Randomized soak tests over a few fixed seeds; DEVELOPERS.md describes runs over more seeds.

use std::time::Duration;

use leverstream_tests::ends::{CrashScenario, MAX_LATE_SENDS};
use leverstream_tests::notices::{MAX_DURING_HOLD_OFF, NoticesScenario};
use leverstream_tests::overload::{MAX_URGENT_LAG, OverloadScenario};
use leverstream_tests::site::{NON_REPEATABLE, REPEATABLE};
use leverstream_tests::soak::{
    FaultPlan, Findings, soak, soak_cuts, soak_stops, soak_store_changes,
};

/// Default seeds of the general plan: 1, which has never failed, and 3 and 5 for their mix of stops and outages. Seeds that
/// fail are added here.
const ANY_SEEDS: [u64; 3] = [1, 3, 5];

/// Default length of a run over one seed.
const LENGTH_S: u64 = 8;

/// Reads a number from an environment variable.
fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Default seeds with VMs that stop and start while backend servers reject requests.
const REJECT_SEEDS: [u64; 1] = [1];

/// Length of such a run: one and a half windows of the retry budget.
const REJECT_LENGTH_S: u64 = 15;

#[actix_rt::test]
async fn guarantees_hold_under_random_faults() {
    run(FaultPlan::All, &ANY_SEEDS, LENGTH_S).await;
}

#[actix_rt::test]
async fn repeats_stay_within_the_retry_budget_while_vms_stop_and_start() {
    run(FaultPlan::VmFaultsAndRejections, &REJECT_SEEDS, REJECT_LENGTH_S).await;
}

#[actix_rt::test]
async fn guarantees_hold_while_backend_servers_restart_under_their_ids() {
    run(FaultPlan::StartsUnderSameId, &RESTART_SEEDS, LENGTH_S).await;
}

/// Default seeds with backend servers that restart under their ids.
const RESTART_SEEDS: [u64; 1] = [1];

/// Default seeds with a request that crashes backend servers.
const END_SEEDS: [u64; 2] = [1, 2];

#[actix_rt::test]
async fn a_request_that_crashes_backend_servers_is_recognized_under_random_faults_of_vms() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(&END_SEEDS) {
        let mut story = CrashScenario::start(4, 8).await;
        let path = if seed % 2 == 0 { REPEATABLE } else { NON_REPEATABLE };
        story.run_with_faults(seed, path, length).await;
        let events = story.events().to_vec();
        let outcome = story.evaluate().await;
        println!("ends, seed {seed}: {outcome:?}");
        if outcome.late_sends > MAX_LATE_SENDS || std::env::var_os("SOAK_STORY").is_some() {
            println!("seed {seed}:\n{}", events.join("\n"));
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "seeds {failed:?} send the request too often; the events of each are above"
    );
}

/// Default seeds with backend servers that announce that they leave, hold off requests or limit their rate.
const NOTICE_SEEDS: [u64; 2] = [1, 2];

#[actix_rt::test]
async fn notices_of_backend_servers_are_obeyed_under_random_faults_of_vms() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(&NOTICE_SEEDS) {
        let mut story = NoticesScenario::start(4, 6).await;
        story.run_with_faults(seed, length).await;
        let events = story.events().to_vec();
        let outcome = story.evaluate().await;
        println!("notices, seed {seed}: {outcome:?}");
        let is_broken = outcome.late_after_leaving > 0
            || outcome.max_during_hold_off > MAX_DURING_HOLD_OFF
            || outcome.max_limit_usage > 1.0;
        if is_broken || std::env::var_os("SOAK_STORY").is_some() {
            println!("seed {seed}:\n{}", events.join("\n"));
            failed.push(seed);
        }
    }
    assert!(
        failed.is_empty(),
        "seeds {failed:?} send unwanted requests; the events of each are above"
    );
}

/// Default seeds with floods in several ranks, a service that sheds, and slow callers and backend servers.
const OVERLOAD_SEEDS: [u64; 2] = [1, 2];

/// Guards against urgent requests refused as often as others while an allotment or a service is short, against allotments
/// exceeded and requests run twice or after their refusal, and against answers mixed up by bodies that are read late or not
/// at all.
#[actix_rt::test]
async fn urgent_requests_and_guarantees_hold_in_overload_under_random_faults() {
    run_overload(&OVERLOAD_SEEDS).await;
}

/// A seed in which a workspace got 285 to 293 requests in 5 s, where 284 are allowed, in 9 of 27 runs of 8 s: all VMs are killed
/// in that window, and one is paused a second later.
const OVER_ALLOTMENT_SEEDS: [u64; 1] = [16];

/// Guards against an allotment exceeded in floods before and after a loss of all VMs.
#[actix_rt::test]
async fn allotments_hold_in_floods_while_all_vms_are_killed_and_some_are_paused() {
    run_overload(&OVER_ALLOTMENT_SEEDS).await;
}

/// Runs overload for each seed; the environment may replace the seeds and the length.
async fn run_overload(default_seeds: &[u64]) {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(default_seeds) {
        let mut scenario = OverloadScenario::start(seed).await;
        scenario.run(length).await;
        let events = scenario.events().to_vec();
        let outcome = scenario.evaluate().await;
        let broken_count = outcome.violations.len();
        println!(
            "overload, seed {seed}: {} requests, {:?}, of slow callers {:?}",
            outcome.requests, outcome.statuses, outcome.slow_statuses
        );
        println!(
            "served in floods by rank {:.3?}, urgent lag {:.3}, {broken_count} violations",
            outcome.flood_shares, outcome.urgent_lag
        );
        assert!(outcome.requests > 500, "the callers sent requests");
        let is_broken = !outcome.violations.is_empty() || outcome.urgent_lag > MAX_URGENT_LAG;
        if is_broken || std::env::var_os("SOAK_STORY").is_some() {
            println!("seed {seed}:\n{}", events.join("\n"));
            println!("seed {seed} breaks:\n{}", outcome.violations.join("\n"));
        }
        failed.extend(is_broken.then_some(seed));
    }
    assert!(failed.is_empty(), "seeds {failed:?} break guarantees; the events of each are above");
}

/// The seeds to run: those set in the environment, else the default ones.
fn seeds(default_seeds: &[u64]) -> Vec<u64> {
    match (number("SOAK_FROM"), number("SOAK_SEEDS")) {
        (Some(from), count) => (from..from + count.unwrap_or(1)).collect(),
        (None, _) => default_seeds.to_vec(),
    }
}

/// Default seeds with VMs that lose their links to backend servers.
const CUT_SEEDS: [u64; 2] = [1, 2];

/// Guards against requests run twice, or answered as not run though they ran, where VMs pass them on.
#[actix_rt::test]
async fn guarantees_hold_while_vms_lose_their_links_to_backend_servers() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(&CUT_SEEDS) {
        let findings = soak_cuts(seed, length).await;
        report("cuts", seed, &findings, &mut failed);
    }
    assert!(failed.is_empty(), "seeds {failed:?} break guarantees; the events of each are above");
}

/// Default seeds with VMs that stop and start in series.
const STOP_SEEDS: [u64; 2] = [1, 2];

/// Guards against requests that ran and whose callers get no whole answer, around planned stops.
#[actix_rt::test]
async fn requests_that_ran_are_answered_whole_while_vms_stop() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(&STOP_SEEDS) {
        let findings = soak_stops(seed, length).await;
        println!("{}", findings.events.last().map_or("", String::as_str));
        report("stops", seed, &findings, &mut failed);
    }
    assert!(failed.is_empty(), "seeds {failed:?} break guarantees; the events of each are above");
}

/// Default seeds with open connections that go silent.
const SILENCE_SEEDS: [u64; 2] = [1, 2];

/// Guards against requests run twice, and against VMs that stay without the store or backend servers, after open connections to
/// them went silent for good.
#[actix_rt::test]
async fn guarantees_hold_while_open_connections_go_silent() {
    run(FaultPlan::SilentConnections, &SILENCE_SEEDS, LENGTH_S).await;
}

/// Default seeds with backend servers that send bytes without end.
const ENDLESS_SEEDS: [u64; 2] = [1, 2];

/// Guards against VMs that stand still, and against requests run twice or mixed up, after backend servers have sent bytes without end
/// in the place of answers.
#[actix_rt::test]
async fn guarantees_hold_while_backend_servers_send_without_end() {
    run(FaultPlan::EndlessAnswers, &ENDLESS_SEEDS, LENGTH_S).await;
}

/// Prints the result of a seed, and notes a seed that breaks guarantees.
fn report(name: &str, seed: u64, findings: &Findings, failed: &mut Vec<u64>) {
    println!("{name}, seed {seed}: {} of {} served", findings.served, findings.requests);
    assert!(findings.requests > 50, "the callers sent requests");
    if !findings.violations.is_empty() {
        println!("seed {seed}:\n{}", findings.events.join("\n"));
        println!("seed {seed} breaks:\n{}", findings.violations.join("\n"));
        failed.push(seed);
    }
}

/// Runs a soak for each seed; the environment may replace the seeds and the length.
async fn run(plan: FaultPlan, seeds: &[u64], length_s: u64) {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(length_s));
    let mut failed = Vec::new();
    for seed in self::seeds(seeds) {
        let findings = soak(seed, plan, length).await;
        report(&format!("{plan:?}"), seed, &findings, &mut failed);
    }
    assert!(failed.is_empty(), "seeds {failed:?} break guarantees; the events of each are above");
}

/// Default seeds with a store that fails around changes.
const STORE_SEEDS: [u64; 2] = [1, 2];

#[actix_rt::test]
async fn changes_are_in_force_in_time_after_the_store_failed_around_them() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(&STORE_SEEDS) {
        let findings = soak_store_changes(seed, length).await;
        report("store changes", seed, &findings, &mut failed);
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}
