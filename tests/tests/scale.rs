//! Today's fleet: 44 real daemons, with edits, kills and replacements, under load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use awc::http::Method;
use leverstream_bench::load::{cpu_ms, resident_kb};
use leverstream_caller::{Caller, Work};
use leverstream_standin::backend::Mode;
use leverstream_tests::{Backend, DaemonOptions, Fleet, WAIT_TIMEOUT, change, until};
use serde_json::json;

/// How many VMs each user has today.
const VMS: usize = 44;

/// Within this time an accepted edit is in force at all of them.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// How many edits are timed.
const EDITS: u64 = 10;

/// How many VMs are killed, and replaced by new ones.
const KILLS: usize = 4;

/// A daemon's options, with the times that the product has by default.
fn options(index: usize, fleet: &Fleet) -> DaemonOptions {
    let hall = ["a", "b", "c"][index % 3];
    let mut options = DaemonOptions::new(hall, fleet.platform.address);
    options.ping_period_ms = 500;
    options
}

#[actix_rt::test]
async fn forty_four_vms_take_edits_kills_and_replacements_under_load() {
    let mut fleet = Fleet::empty();
    for index in 0..VMS {
        let options = options(index, &fleet);
        fleet.add(&options);
    }
    fleet.list_daemons().await;
    fleet.wait_until_all_alive().await;
    let backends: Vec<Backend> =
        (0..4).map(|index| Backend::start(&format!("b{index}"), 8)).collect();
    for backend in &backends {
        backend.set_mode(&Mode { work_ms: 5, ..Mode::default() }).await;
    }
    let names = ["b0", "b1", "b2", "b3"];
    let rows: Vec<_> =
        names.iter().zip(&backends).map(|(name, backend)| (*name, backend.address)).collect();
    let row = json!({ "taken_over": true, "entry_vms": 6, "queue": 1_000 });
    fleet.add_service("shop", row, &rows).await;
    print_control(&fleet, "idle").await;
    time_edits(&fleet).await;
    kill_and_replace(&mut fleet).await;
}

/// Makes edits and checks how long each takes to be in force everywhere.
async fn time_edits(fleet: &Fleet) {
    let mut took = Vec::new();
    for round in 0..EDITS {
        let version = fleet.daemons[round as usize]
            .must_edit(&[change("shop.queue", json!(1_000 + round))])
            .await;
        let accepted = Instant::now();
        let waits = fleet.daemons.iter().map(|daemon| async move {
            until("the edit is in force", || async {
                (daemon.doc("shop").await?.version >= version).then_some(())
            })
            .await;
        });
        futures_util::future::join_all(waits).await;
        took.push(accepted.elapsed());
    }
    took.sort_unstable();
    println!(
        "edits in force at {VMS} VMs: median {:?}, worst {:?}",
        took[took.len() / 2],
        took[took.len() - 1]
    );
    assert!(took[took.len() - 1] < IN_FORCE_WITHIN, "{took:?}");
}

/// Kills VMs of a service's set under load, replaces them, and counts what callers meet.
async fn kill_and_replace(fleet: &mut Fleet) {
    let systems: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let mut left = Vec::new();
    let mut met: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..KILLS {
        let answer = fleet.daemons[0].caller("shop").ask().await.expect("an answer");
        let victim = answer.addresses.iter().rev().find(|e| e.address != fleet.daemons[0].callers);
        let victim = victim.expect("another VM is named").address;
        let index = fleet.daemons.iter().position(|daemon| daemon.callers == victim);
        let mut dead = fleet.daemons.remove(index.expect("the answer names a daemon"));
        let killed = Instant::now();
        dead.process.kill();
        // Callers that still hold the old answer try its next address.
        let mut caller = Caller::open(systems.clone(), "shop", None);
        let work = Work {
            method: Method::GET,
            path: "/games/7".to_owned(),
            body: "".into(),
            timeout_ms: 5_000,
        };
        loop {
            let outcome = match caller.call(&work).await {
                Ok(reply) => format!("status {} after {} tries", reply.status, reply.tries),
                Err(error) => error.to_string(),
            };
            *met.entry(outcome).or_default() += 1;
            let answer = fleet.daemons[0].caller("shop").ask().await.expect("an answer");
            if answer.addresses.iter().all(|entry| entry.address != victim) {
                break;
            }
            assert!(killed.elapsed() < WAIT_TIMEOUT, "the dead VM stays in the answers");
        }
        left.push(killed.elapsed());
        let options = options(index.unwrap_or(0), fleet);
        fleet.add(&options);
        fleet.list_daemons().await;
    }
    fleet.wait_until_all_alive().await;
    left.sort_unstable();
    println!(
        "a dead VM left the answers: median {:?}, worst {:?}",
        left[KILLS / 2],
        left[KILLS - 1]
    );
    println!("callers met meanwhile: {met:?}");
    assert!(met.keys().all(|outcome| outcome.starts_with("status 200")), "{met:?}");
}

/// Prints what control costs a process over some seconds, and the calls to the platform.
async fn print_control(fleet: &Fleet, what: &str) {
    const SECONDS: u64 = 5;
    let used = |fleet: &Fleet| -> Vec<u64> {
        fleet.daemons.iter().map(|daemon| cpu_ms(daemon.process.pid()).unwrap_or(0)).collect()
    };
    let calls = |counts: &BTreeMap<String, u64>| counts.values().sum::<u64>();
    let (before, calls_before) = (used(fleet), calls(&fleet.platform.counts().await));
    let bytes_before = fleet.daemons[0].metric("datagram_bytes").await;
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    let (after, calls_after) = (used(fleet), calls(&fleet.platform.counts().await));
    let bytes = fleet.daemons[0].metric("datagram_bytes").await - bytes_before;
    let mut shares: Vec<f64> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) as f64 / (SECONDS * 10) as f64)
        .collect();
    shares.sort_unstable_by(f64::total_cmp);
    let memory: Vec<u64> =
        fleet.daemons.iter().filter_map(|d| resident_kb(d.process.pid())).collect();
    println!(
        "{what}, {VMS} VMs: control {:.1} % of a core (median, worst {:.1} %), {:.0} B/s of datagrams, \
         {} kB resident at most, {:.1} calls/s to the platform",
        shares[shares.len() / 2],
        shares[shares.len() - 1],
        bytes / SECONDS as f64,
        memory.iter().max().unwrap_or(&0),
        (calls_after - calls_before) as f64 / SECONDS as f64,
    );
}
