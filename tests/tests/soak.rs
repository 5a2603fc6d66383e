//! The soak of a few seeds; more by hand, see DEVELOPERS.md.

use std::time::Duration;

use leverstream_tests::ends::{CrashScenario, MAX_LATE_SENDS};
use leverstream_tests::notices::{MAX_DURING_HOLD_OFF, NoticesScenario};
use leverstream_tests::site::{NON_REPEATABLE, REPEATABLE};
use leverstream_tests::soak::{FaultPlan, soak};

/// The seeds that run each time: one that found nothing yet, then those that ever failed.
///
/// 3 and 5 are here for their mix of stops and outages.
const SEEDS: [u64; 3] = [1, 3, 5];

/// How long a seed runs each time.
const LENGTH_S: u64 = 8;

/// A number from the environment.
fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The seeds that run each time with VMs that come and go while backend servers reject work.
const REJECT_SEEDS: [u64; 1] = [1];

/// How long such a seed runs: a window of the bound on repeats and a half.
const REJECT_LENGTH_S: u64 = 15;

#[actix_rt::test]
async fn promises_hold_whatever_happens() {
    run(FaultPlan::All, &SEEDS, LENGTH_S).await;
}

#[actix_rt::test]
async fn repeats_stay_within_what_is_allowed_while_vms_come_and_go() {
    run(FaultPlan::VmFaultsAndRejections, &REJECT_SEEDS, REJECT_LENGTH_S).await;
}

#[actix_rt::test]
async fn promises_hold_while_backend_servers_start_again_under_their_ids() {
    run(FaultPlan::StartsUnderSameId, &REBORN_SEEDS, LENGTH_S).await;
}

/// The seeds that run each time with backend servers that start again under their ids.
const REBORN_SEEDS: [u64; 1] = [1];

/// The seeds that run each time with a request under which backend servers end.
const END_SEEDS: [u64; 2] = [1, 2];

#[actix_rt::test]
async fn a_request_that_ends_backend_servers_is_known_whatever_befalls_vms() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(&END_SEEDS) {
        let mut story = CrashScenario::start(4, 8).await;
        let path = if seed % 2 == 0 { REPEATABLE } else { NON_REPEATABLE };
        story.run_with_faults(seed, path, length).await;
        let done = story.events().to_vec();
        let outcome = story.evaluate().await;
        println!("ends, seed {seed}: {outcome:?}");
        if outcome.late_sends > MAX_LATE_SENDS || std::env::var_os("SOAK_STORY").is_some() {
            println!("seed {seed}:\n{}", done.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} send it too often; the story of each is above");
}

/// The seeds that run each time with backend servers that leave or want nothing by their own word.
const NOTICE_SEEDS: [u64; 2] = [1, 2];

#[actix_rt::test]
async fn what_backend_servers_say_of_themselves_is_heeded_whatever_befalls_vms() {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(LENGTH_S));
    let mut failed = Vec::new();
    for seed in seeds(&NOTICE_SEEDS) {
        let mut story = NoticesScenario::start(4, 6).await;
        story.run_with_faults(seed, length).await;
        let done = story.events().to_vec();
        let outcome = story.evaluate().await;
        println!("notices, seed {seed}: {outcome:?}");
        let is_broken = outcome.late_after_leaving > 0
            || outcome.max_during_hold_off > MAX_DURING_HOLD_OFF
            || outcome.max_limit_usage > 1.0;
        if is_broken || std::env::var_os("SOAK_STORY").is_some() {
            println!("seed {seed}:\n{}", done.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} send what is not wanted; the stories are above");
}

/// The seeds to run: those that the environment names, else those given.
fn seeds(usual: &[u64]) -> Vec<u64> {
    match (number("SOAK_FROM"), number("SOAK_SEEDS")) {
        (Some(from), count) => (from..from + count.unwrap_or(1)).collect(),
        (None, _) => usual.to_vec(),
    }
}

/// Runs a soak of each seed, of those that the environment names instead if it does.
async fn run(plan: FaultPlan, seeds: &[u64], length_s: u64) {
    let length = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(length_s));
    let mut failed = Vec::new();
    for seed in self::seeds(seeds) {
        let findings = soak(seed, plan, length).await;
        println!("{plan:?}, seed {seed}: {} of {} served", findings.served, findings.requests);
        assert!(findings.requests > 50, "the callers were at work");
        if !findings.violations.is_empty() {
            println!("seed {seed}:\n{}", findings.events.join("\n"));
            println!("seed {seed} breaks:\n{}", findings.violations.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?} break promises; the story of each is above");
}
