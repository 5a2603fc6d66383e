//! Calls to the store that are never answered, on connections that stay open.

use std::time::{Duration, Instant};

use leverstream_platform::standin;
use leverstream_standin::platform::Faults;
use leverstream_standin::relay::{Fault, Faults as PathFaults, Relay};
use leverstream_tests::site::{HALL, Site, Vm};
use leverstream_tests::until;

/// How long after the store's return it counts as stable, so that the bounds hold again.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// The time within which a change has to be in force at every VM.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// The second data hall.
const OTHER_HALL: &str = "hall-b";

/// Starts a fleet of four VMs in two data halls, with two backend servers and a configuration of version 10.
async fn start() -> Site {
    let mut site = Site::start(0, 2).await;
    for hall in [HALL, OTHER_HALL, HALL, OTHER_HALL] {
        let seeds: Vec<String> = site.vms.iter().map(|vm| vm.ip().to_owned()).collect();
        site.vms.push(Vm::start(site.platform.address, hall, &seeds));
    }
    site.until_ready().await;
    // VMs take part in reading the store from 1.2 s after their start on.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.put_catalog(10).await;
    until_all_logged(&site, "configuration in force", "\"version\":10,").await;
    site
}

/// Makes the store answer no call that it receives, or that waits, within a time. Those calls are never answered.
async fn withhold_answers(site: &Site, time: Duration) {
    site.platform.set_faults(&Faults { silent: true, ..Faults::default() }).await;
    tokio::time::sleep(time).await;
    site.platform.set_faults(&Faults::default()).await;
}

/// Waits until all VMs have logged a line with both texts.
async fn until_all_logged(site: &Site, text: &str, other_text: &str) {
    for vm in &site.vms {
        until("all VMs log it", || async {
            let lines = vm.process.log();
            lines.iter().any(|line| line.contains(text) && line.contains(other_text)).then_some(())
        })
        .await;
    }
}

/// Guards against a call that waits for its whole time limit for an answer that was lost: a change of the configuration
/// and a removed backend server were not noticed for twenty seconds.
#[actix_rt::test]
async fn changes_are_in_force_in_time_after_answers_of_the_store_were_lost() {
    for silent_ms in [300, 2_000] {
        let mut site = start().await;
        withhold_answers(&site, Duration::from_millis(silent_ms)).await;
        tokio::time::sleep(STABLE_AFTER).await;
        let changed_at = Instant::now();
        site.put_catalog(11).await;
        site.unlist_backend("i-0").await;
        until_all_logged(&site, "configuration in force", "\"version\":11,").await;
        until_all_logged(&site, "backend gone", "\"backend\":\"i-0\"").await;
        let took = changed_at.elapsed();
        assert!(took < IN_FORCE_WITHIN, "silent for {silent_ms} ms: in force after {took:?}");
    }
}

/// Guards against knowledge that counts as current because nothing says that it isn't: its age has to show on every VM
/// whether the store is read.
#[actix_rt::test]
async fn the_age_of_what_is_known_of_the_store_stays_below_a_second_while_it_answers() {
    let site = start().await;
    withhold_answers(&site, Duration::from_millis(300)).await;
    tokio::time::sleep(STABLE_AFTER).await;
    for _ in 0..20 {
        for vm in &site.vms {
            let age_s = vm.metric("leverstream_store_age_seconds").await;
            assert!(age_s < 1.0, "{} is at {age_s} s", vm.ip());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a kind of call whose lost answers go unnoticed while others are answered.
#[actix_rt::test]
async fn changes_are_in_force_in_time_after_answers_of_one_kind_were_lost() {
    for kind in [standin::CONFIG_KEY.0, standin::BACKENDS_KIND, standin::REVISION_KIND] {
        let mut site = start().await;
        let silent_kinds = vec![kind.to_owned()];
        site.platform.set_faults(&Faults { silent_kinds, ..Faults::default() }).await;
        site.put_catalog(11).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.platform.set_faults(&Faults::default()).await;
        tokio::time::sleep(STABLE_AFTER).await;
        let changed_at = Instant::now();
        site.put_catalog(12).await;
        site.unlist_backend("i-0").await;
        until_all_logged(&site, "configuration in force", "\"version\":12,").await;
        until_all_logged(&site, "backend gone", "\"backend\":\"i-0\"").await;
        let took = changed_at.elapsed();
        assert!(took < IN_FORCE_WITHIN, "without answers for {kind}: in force after {took:?}");
    }
}

/// Makes a path to the store silent in both directions.
fn cut(relay: &Relay) {
    let lost = Fault { is_blackholed: true, ..Fault::default() };
    relay.set_faults(PathFaults { forward: lost, reverse: lost });
}

/// Guards against VMs that cannot reach the store and keep the others of their hall from reading it: the last one that can
/// has to, without a time in which the bounds don't hold.
#[actix_rt::test]
async fn the_last_vm_that_reaches_the_store_reads_it_for_all() {
    let mut site = Site::start(0, 2).await;
    let mut relays = Vec::new();
    for _ in 0..6 {
        let relay = Relay::spawn(site.platform.address).await.expect("a port is free");
        let seeds: Vec<String> = site.vms.iter().map(|vm| vm.ip().to_owned()).collect();
        site.vms.push(Vm::start(relay.address, HALL, &seeds));
        relays.push(relay);
    }
    site.until_ready().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for last in [0, 3, 5] {
        let cut_off = relays.iter().enumerate().filter(|(number, _)| *number != last);
        cut_off.for_each(|(_, relay)| cut(relay));
        tokio::time::sleep(STABLE_AFTER).await;
        let changed_at = Instant::now();
        let version = 20 + last as u64;
        site.put_catalog(version).await;
        until_all_logged(&site, "configuration in force", &format!("\"version\":{version},")).await;
        let took = changed_at.elapsed();
        assert!(took < IN_FORCE_WITHIN, "VM {last} is the last: in force after {took:?}");
        relays.iter().for_each(|relay| relay.set_faults(PathFaults::default()));
    }
}

/// Guards against removals that are held back as after an outage of the store, though only one VM has lost it: all other VMs
/// are bound by them two seconds later.
#[actix_rt::test]
async fn a_removal_takes_effect_in_time_when_the_vm_that_reads_loses_the_store() {
    let mut site = Site::start(0, 6).await;
    let mut relays = Vec::new();
    for hall in [HALL, OTHER_HALL, HALL, OTHER_HALL] {
        let relay = Relay::spawn(site.platform.address).await.expect("a port is free");
        let seeds: Vec<String> = site.vms.iter().map(|vm| vm.ip().to_owned()).collect();
        site.vms.push(Vm::start(relay.address, hall, &seeds));
        relays.push(relay);
    }
    site.until_ready().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for (number, relay) in relays.iter().enumerate() {
        cut(relay);
        let instance = format!("i-{number}");
        site.unlist_backend(&instance).await;
        let removed_at = Instant::now();
        until_all_logged(&site, "backend gone", &format!("\"backend\":\"{instance}\"")).await;
        let took = removed_at.elapsed();
        assert!(took < IN_FORCE_WITHIN, "VM {number} has lost the store: gone after {took:?}");
        relay.set_faults(PathFaults::default());
    }
}
