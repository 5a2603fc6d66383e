//! A fleet of 44 real daemons under load, with edits, kills and replacements.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use awc::http::Method;
use leverstream_bench::load::{cpu_ms, resident_kb};
use leverstream_caller::{CallRequest, Caller};
use leverstream_standin::backend::Mode;
use leverstream_tests::{Backend, DaemonOptions, Fleet, WAIT_TIMEOUT, change, until};
use serde_json::json;

/// The size of a current user's fleet.
const VMS: usize = 44;

/// Time within which an accepted edit must be in force at all VMs.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of edits whose time to take effect is measured.
const EDITS: u64 = 10;

/// Number of VMs that are killed and replaced.
const KILLS: usize = 4;

/// Options of a daemon, with the default ping period of the product.
fn options(index: usize, fleet: &Fleet) -> DaemonOptions {
    let hall = ["a", "b", "c"][index % 3];
    let mut options = DaemonOptions::new(hall, fleet.platform.address);
    options.ping_period_ms = 500;
    options
}

#[actix_rt::test]
async fn forty_four_vms_apply_edits_and_survive_kills_and_replacements_under_load() {
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
    print_control_cost(&fleet, "idle").await;
    time_edits(&fleet).await;
    kill_and_replace(&mut fleet).await;
}

/// Makes edits and checks how long each takes to be in force at all VMs.
async fn time_edits(fleet: &Fleet) {
    let mut times_to_force = Vec::new();
    for round in 0..EDITS {
        let version = fleet.daemons[round as usize]
            .must_edit(&[change("shop.queue", json!(1_000 + round))])
            .await;
        let accepted_at = Instant::now();
        let waits = fleet.daemons.iter().map(|daemon| async move {
            until("the edit is in force", || async {
                (daemon.doc("shop").await?.version >= version).then_some(())
            })
            .await;
        });
        futures_util::future::join_all(waits).await;
        times_to_force.push(accepted_at.elapsed());
    }
    times_to_force.sort_unstable();
    println!(
        "edits in force at {VMS} VMs: median {:?}, worst {:?}",
        times_to_force[times_to_force.len() / 2],
        times_to_force[times_to_force.len() - 1]
    );
    assert!(times_to_force[times_to_force.len() - 1] < IN_FORCE_TIMEOUT, "{times_to_force:?}");
}

/// Kills VMs that the directory names for a service, replaces them, and counts the outcomes of a caller's requests.
async fn kill_and_replace(fleet: &mut Fleet) {
    let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let mut times_to_drop = Vec::new();
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..KILLS {
        let answer = fleet.daemons[0].caller("shop").ask().await.expect("an answer");
        let victim = answer.addresses.iter().rev().find(|e| e.address != fleet.daemons[0].callers);
        let victim = victim.expect("another VM is named").address;
        let index = fleet.daemons.iter().position(|daemon| daemon.callers == victim);
        let mut dead = fleet.daemons.remove(index.expect("the answer names a daemon"));
        let killed_at = Instant::now();
        dead.process.kill();
        // A caller that still uses the old answer tries its next address.
        let mut caller = Caller::new(addresses.clone(), "shop", None);
        let work = CallRequest {
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
            *outcomes.entry(outcome).or_default() += 1;
            let answer = fleet.daemons[0].caller("shop").ask().await.expect("an answer");
            if answer.addresses.iter().all(|entry| entry.address != victim) {
                break;
            }
            assert!(killed_at.elapsed() < WAIT_TIMEOUT, "the directory still names the dead VM");
        }
        times_to_drop.push(killed_at.elapsed());
        let options = options(index.unwrap_or(0), fleet);
        fleet.add(&options);
        fleet.list_daemons().await;
    }
    fleet.wait_until_all_alive().await;
    times_to_drop.sort_unstable();
    println!(
        "the directory dropped a dead VM: median {:?}, worst {:?}",
        times_to_drop[KILLS / 2],
        times_to_drop[KILLS - 1]
    );
    println!("request outcomes meanwhile: {outcomes:?}");
    assert!(outcomes.keys().all(|outcome| outcome.starts_with("status 200")), "{outcomes:?}");
}

/// Prints the CPU time, memory, datagrams and platform calls of the control plane over some seconds.
async fn print_control_cost(fleet: &Fleet, what: &str) {
    const SECONDS: u64 = 5;
    let cpu_times_ms = |fleet: &Fleet| -> Vec<u64> {
        fleet.daemons.iter().map(|daemon| cpu_ms(daemon.process.pid()).unwrap_or(0)).collect()
    };
    let call_count = |counts: &BTreeMap<String, u64>| counts.values().sum::<u64>();
    let (before, calls_before) = (cpu_times_ms(fleet), call_count(&fleet.platform.counts().await));
    let bytes_before = fleet.daemons[0].metric("datagram_bytes").await;
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    let (after, calls_after) = (cpu_times_ms(fleet), call_count(&fleet.platform.counts().await));
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
