//! A soak in which the store, and the paths to it, fail right around changes: once it is stable again, each change is in
//! force at every VM in time.

use std::time::{Duration, Instant};

use leverstream_catalog::Backend;
use leverstream_platform::standin;
use leverstream_standin::platform::Faults as StoreFaults;
use leverstream_standin::relay::{Faults, Relay};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::callers::Callers;
use super::{Findings, Soak, VMS, random_path_faults};
use crate::site::backend;

/// How long after the last disruption the bounds hold again.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// The time within which a change has to be in force at every VM.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// The age of the knowledge of the store that no VM may reach while the store answers, in seconds.
const MAX_AGE_S: f64 = 1.0;

/// The interval at which the logs are searched.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a soak of a seed for a duration, in whole rounds of some seven seconds, and returns its result.
pub async fn soak_store_changes(seed: u64, duration: Duration) -> Findings {
    let mut soak = Soak::start(seed).await;
    let callers = Callers::start(seed, &soak.directories);
    let mut round = 0;
    while round == 0 || soak.started.elapsed() < duration {
        round += 1;
        soak.run_round(round).await;
    }
    soak.end_faults().await;
    let caller_state = callers.stop().await;
    soak.evaluate(&caller_state)
}

impl Soak {
    /// Disrupts the store around changes, waits until it is stable, and checks that a change is in force in time.
    async fn run_round(&mut self, round: u64) {
        let instance = format!("i-round-{round}");
        // No request goes to this service, so that the entry is known from the store alone.
        let entry = backend(&instance, self.origin_relays[0].address);
        self.site.list_backend(&Backend { service: "other".into(), ..entry }).await;
        for _ in 0..self.rng.random_range(1..4) {
            self.change_catalog().await;
            // A VM reads the change, and other calls are under way, at any distance from the disruption.
            let pause_ms = self.rng.random_range(0..700);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            self.disrupt_store().await;
        }
        self.end_store_faults().await;
        self.store_relays.iter().for_each(|relay| relay.set_faults(Faults::default()));
        self.log_event("the store and the paths to it are sound");
        tokio::time::sleep(STABLE_AFTER).await;
        self.site.until_ready().await;
        let version = self.site.catalog.version + 1;
        let changed_at = Instant::now();
        self.site.put_catalog(version).await;
        self.site.unlist_backend(&instance).await;
        self.log_event(&format!("configuration version {version} is written, {instance} is gone"));
        let lines = [
            ("configuration in force", format!("\"version\":{version},")),
            ("backend gone", format!("\"backend\":\"{instance}\"")),
        ];
        self.check_in_force(changed_at, &lines).await;
        self.check_ages().await;
    }

    /// Makes the store or the paths to it fail for a random time.
    async fn disrupt_store(&mut self) {
        let none = StoreFaults::default;
        let kinds = [standin::CONFIG_KEY.0, standin::BACKENDS_KIND, standin::REVISION_KIND];
        let kind = *kinds.choose(&mut self.rng).expect("there are kinds");
        let faults = match self.rng.random_range(0..8) {
            0..=2 => StoreFaults { silent: true, ..none() },
            3 => StoreFaults { silent_kinds: vec![kind.to_owned()], ..none() },
            4 => StoreFaults { away: true, ..none() },
            5 => StoreFaults { deaf_watches: true, ..none() },
            _ => none(),
        };
        self.log_event(&format!("the store: {faults:?}"));
        self.site.platform.set_faults(&faults).await;
        match self.rng.random_range(0..6) {
            0 => self.store_relays.iter().for_each(Relay::silence_open_connections),
            1 | 2 => {
                for vm in 0..VMS {
                    let faults = random_path_faults(&mut self.rng);
                    self.store_relays[vm].set_faults(faults);
                    self.log_event(&format!("path from VM {vm} to the store: {faults:?}"));
                }
            }
            3 => {
                let vm = self.rng.random_range(0..VMS);
                self.kill(vm);
            }
            4 => {
                let vm = self.rng.random_range(0..VMS);
                self.pause(vm).await;
            }
            _ => {}
        }
        let time_ms = self.rng.random_range(100..2_500);
        tokio::time::sleep(Duration::from_millis(time_ms)).await;
    }

    /// Checks that each VM logs lines, each with two texts, in time after a change.
    async fn check_in_force(&mut self, changed_at: Instant, lines: &[(&str, String)]) {
        for vm in 0..VMS {
            for (text, other_text) in lines {
                let is_match = |line: &String| line.contains(text) && line.contains(other_text);
                let process = &self.site.vms[vm].process;
                while !process.log().iter().any(is_match) && changed_at.elapsed() < IN_FORCE_WITHIN
                {
                    tokio::time::sleep(CHECK_INTERVAL).await;
                }
                if !process.log().iter().any(is_match) {
                    let at_ms = self.started.elapsed().as_millis();
                    let what =
                        format!("{at_ms} ms: VM {vm} has no line {text:?} with {other_text}");
                    self.violations.push(what);
                }
            }
        }
    }

    /// Checks that the knowledge of no VM is old.
    async fn check_ages(&mut self) {
        for vm in 0..VMS {
            let age_s = self.site.vms[vm].metric("leverstream_store_age_seconds").await;
            if age_s >= MAX_AGE_S {
                self.violations.push(format!("the knowledge of VM {vm} is {age_s} s old"));
            }
        }
    }
}
