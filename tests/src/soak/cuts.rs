//! A soak in which VMs lose their links to backend servers, while VMs are killed, paused and stopped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use leverstream_standin::origin::Reply;
use leverstream_standin::path::PathState;
use leverstream_standin::platform::Faults as StoreFaults;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;

use super::callers::Callers;
use super::{Findings, find_violations};
use crate::cut::CutVm;
use crate::site::{Call, HALL, NON_REPEATABLE, Site, Vm};
use crate::until;

/// The VMs whose links are never cut.
const LINKED_VMS: usize = 2;

/// The VMs whose links are cut at times.
const CUT_VMS: usize = 2;

/// The backend servers.
const ORIGINS: usize = 5;

/// The settings of the VMs: all of them take callers.
const SETTINGS: &str = "[entry]\nvms_a_hall = 4\nanswer_holds_ms = 1500\n";

/// The states of the paths to backend servers, the intact one as often as all others.
const PATH_STATES: [PathState; 8] = [
    PathState::Up,
    PathState::Up,
    PathState::Up,
    PathState::Up,
    PathState::Silent,
    PathState::Refusing,
    PathState::NewRefused,
    PathState::OldSilent,
];

/// A fleet of which some VMs can lose their links to backend servers.
struct CutSoak {
    /// The store, the backend servers and the VMs whose links are never cut.
    site: Site,
    /// The other VMs.
    cut_vms: Vec<CutVm>,
    /// The source of all random decisions.
    rng: StdRng,
    /// Log of the injected faults, in order.
    events: Vec<String>,
    /// When the soak started.
    started: Instant,
}

/// Runs a soak of a seed for a duration and returns its result.
pub async fn soak_cuts(seed: u64, duration: Duration) -> Findings {
    let mut soak = CutSoak::start(seed).await;
    let directories: Vec<SocketAddr> = soak.vms().map(Vm::directory).collect();
    let callers = Callers::start(seed, &Rc::new(directories));
    while soak.started.elapsed() < duration {
        soak.inject_random().await;
        let pause_ms = soak.rng.random_range(100..700);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    soak.end_faults().await;
    let caller_state = callers.stop().await;
    let violations = find_violations(&soak.site.origins, &caller_state);
    caller_state.findings(violations, soak.events)
}

impl CutSoak {
    /// Starts the fleet.
    async fn start(seed: u64) -> CutSoak {
        let site = Site::start_with_settings(LINKED_VMS, ORIGINS, SETTINGS).await;
        site.set_all_replies(Reply::After(20));
        let mut cut_vms = Vec::new();
        for _ in 0..CUT_VMS {
            cut_vms.push(CutVm::start(&site, HALL, SETTINGS).await);
        }
        let rng = StdRng::seed_from_u64(seed);
        CutSoak { site, cut_vms, rng, events: Vec::new(), started: Instant::now() }
    }

    /// Iterates over all VMs.
    fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.site.vms.iter().chain(self.cut_vms.iter().map(|cut| &cut.vm))
    }

    /// Injects one random fault.
    async fn inject_random(&mut self) {
        match self.rng.random_range(0..10) {
            0..=3 => self.set_paths().await,
            4 => self.set_some_paths().await,
            5 => self.restart().await,
            6 => self.pause().await,
            7 => self.toggle_store().await,
            _ => self.set_reply(),
        }
    }

    /// Sets the state of all paths of a VM.
    async fn set_paths(&mut self) {
        let (vm, state) = (self.rng.random_range(0..CUT_VMS), self.random_state());
        self.cut_vms[vm].set_paths(state).await;
        self.log_event(&format!("all paths of VM {vm}: {state:?}"));
    }

    /// Sets the state of some paths of a VM.
    async fn set_some_paths(&mut self) {
        let (vm, state) = (self.rng.random_range(0..CUT_VMS), self.random_state());
        let first = self.rng.random_range(0..ORIGINS);
        let backends: Vec<usize> = (first..ORIGINS).collect();
        self.cut_vms[vm].set_some_paths(&backends, state).await;
        self.log_event(&format!("paths of VM {vm} to {backends:?}: {state:?}"));
    }

    /// Kills a VM, or stops it as planned, and starts it again.
    async fn restart(&mut self) {
        let is_cut = self.rng.random_bool(0.5);
        let is_planned = self.rng.random_bool(0.5);
        let vm = self.rng.random_range(0..if is_cut { CUT_VMS } else { LINKED_VMS });
        self.log_event(&format!("VM {vm} (can be cut: {is_cut}) ends, planned: {is_planned}"));
        let process = match is_cut {
            true => &mut self.cut_vms[vm].vm.process,
            false => &mut self.site.vms[vm].process,
        };
        if is_planned {
            process.signal(Signal::TERM);
            process.wait().await;
        }
        match is_cut {
            true => self.cut_vms[vm].restart(&self.site).await,
            false => self.site.vms[vm].restart(),
        }
    }

    /// Pauses a VM for a while.
    async fn pause(&mut self) {
        let pause_ms = self.rng.random_range(200..1_500);
        let vm = self.rng.random_range(0..LINKED_VMS + CUT_VMS);
        let vms: Vec<&Vm> = self.vms().collect();
        vms[vm].signal(Signal::STOP);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        vms[vm].signal(Signal::CONT);
        self.log_event(&format!("VM {vm} of all was paused for {pause_ms} ms"));
    }

    /// Starts an outage of the store, or ends it.
    async fn toggle_store(&mut self) {
        let away = self.rng.random_bool(0.5);
        self.site.platform.set_faults(&StoreFaults { away, ..StoreFaults::default() }).await;
        self.log_event(&format!("the store is away: {away}"));
    }

    /// Sets a random reply of a backend server.
    fn set_reply(&mut self) {
        let replies = [
            Reply::After(20),
            Reply::After(300),
            Reply::Failure,
            Reply::Rejection,
            Reply::Reset,
            Reply::Truncated,
        ];
        let reply = *replies.choose(&mut self.rng).expect("there are replies");
        let index = self.rng.random_range(0..ORIGINS);
        self.site.origin(index).set(reply);
        self.log_event(&format!("backend server {index} answers with {reply:?}"));
    }

    /// Ends all faults and waits until every VM serves requests.
    async fn end_faults(&mut self) {
        self.site.platform.set_faults(&StoreFaults::default()).await;
        self.site.set_all_replies(Reply::After(20));
        for cut in &self.cut_vms {
            cut.set_paths(PathState::Up).await;
        }
        self.log_event("all faults are ended");
        for vm in self.vms() {
            until("every VM serves again", || async {
                let answer = Call::new(NON_REPEATABLE).send(vm).await.ok()?;
                (answer.status == 200).then_some(())
            })
            .await;
        }
    }

    /// Draws the state of paths.
    fn random_state(&mut self) -> PathState {
        *PATH_STATES.choose(&mut self.rng).expect("there are states")
    }

    /// Appends a line to the log of faults.
    fn log_event(&mut self, what: &str) {
        self.events.push(format!("{:>6} ms: {what}", self.started.elapsed().as_millis()));
    }
}
