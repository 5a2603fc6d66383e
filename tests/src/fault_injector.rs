//! Injects faults into VMs and the store during a scenario, and records when each was affected.

use std::time::{Duration, Instant};

use leverstream_standin::platform::Faults as StoreFaults;
use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::site::Site;

/// The delay between the stop signal to a VM and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Injects faults into a fleet and records them.
pub struct FaultInjector {
    /// The start and end of each fault, by VM.
    vm_faults: Vec<Vec<(Instant, Instant)>>,
    /// The start and end of each outage of the store.
    store_faults: Vec<(Instant, Instant)>,
    /// Paused VMs, with the time at which they resume.
    paused: Vec<(Instant, usize)>,
    /// Stopping VMs, with the time of their restart.
    stopping: Vec<(Instant, usize)>,
    /// Log of the injected faults, in order.
    pub events: Vec<String>,
    /// When the scenario started.
    started: Instant,
}

impl FaultInjector {
    /// Creates an injector for a number of VMs, without faults.
    pub fn new(vms: usize) -> FaultInjector {
        FaultInjector {
            vm_faults: vec![Vec::new(); vms],
            store_faults: Vec::new(),
            paused: Vec::new(),
            stopping: Vec::new(),
            events: Vec::new(),
            started: Instant::now(),
        }
    }

    /// Injects one random fault into VMs or the store.
    pub async fn inject_random(&mut self, site: &mut Site, rng: &mut StdRng) {
        let vm = rng.random_range(0..site.vms.len());
        match rng.random_range(0..11) {
            0..=3 => self.kill(site, vm),
            4 | 5 => self.pause(site, vm, rng.random_range(200..2_000)),
            6 => self.stop(site, vm),
            7 => self.kill_all(site),
            8 => self.reload_settings(site, vm),
            _ => self.toggle_store_outage(site).await,
        }
    }

    /// Resumes paused VMs whose time is over, and restarts stopped ones.
    pub fn end_due_faults(&mut self, site: &mut Site) {
        let now = Instant::now();
        for (_, vm) in self.paused.extract_if(.., |(until, _)| *until <= now) {
            site.vms[vm].signal(Signal::CONT);
            // The fault lasts until the VM really resumes, which may be later than planned.
            if let Some((_, to)) = self.vm_faults[vm].last_mut() {
                *to = (*to).max(Instant::now());
            }
        }
        for (_, vm) in self.stopping.extract_if(.., |(at, _)| *at <= now) {
            site.vms[vm].restart();
            self.vm_faults[vm].push((now, Instant::now()));
        }
    }

    /// Returns whether a VM is paused or stopped, so that [`end_due_faults`](Self::end_due_faults) has to be called again.
    pub fn has_due_faults(&self) -> bool {
        !self.paused.is_empty() || !self.stopping.is_empty()
    }

    /// Kills a VM and restarts it.
    pub fn kill(&mut self, site: &mut Site, vm: usize) {
        self.log_event(&format!("VM {vm} is killed and restarted"));
        let from = Instant::now();
        site.vms[vm].restart();
        self.vm_faults[vm].push((from, Instant::now()));
    }

    /// Kills all VMs, then restarts them.
    pub fn kill_all(&mut self, site: &mut Site) {
        self.log_event("all VMs are killed and restarted");
        let from = Instant::now();
        site.vms.iter_mut().for_each(|vm| vm.process.kill());
        site.vms.iter_mut().for_each(crate::site::Vm::restart);
        let now = Instant::now();
        self.vm_faults.iter_mut().for_each(|faults| faults.push((from, now)));
    }

    /// Pauses a VM's process for a while without waiting.
    pub fn pause(&mut self, site: &mut Site, vm: usize, pause_ms: u64) {
        self.log_event(&format!("VM {vm} is paused for {pause_ms} ms"));
        let until = Instant::now() + Duration::from_millis(pause_ms);
        site.vms[vm].signal(Signal::STOP);
        self.paused.push((until, vm));
        self.vm_faults[vm].push((Instant::now(), until));
    }

    /// Stops a VM gracefully; it restarts after `RESTART_DELAY`.
    pub fn stop(&mut self, site: &mut Site, vm: usize) {
        self.log_event(&format!("VM {vm} is stopped gracefully"));
        let at = Instant::now() + RESTART_DELAY;
        site.vms[vm].signal(Signal::CONT);
        site.vms[vm].signal(Signal::TERM);
        self.stopping.push((at, vm));
        self.vm_faults[vm].push((Instant::now(), at));
    }

    /// Makes a VM reload its settings.
    pub fn reload_settings(&mut self, site: &Site, vm: usize) {
        self.log_event(&format!("VM {vm} reloads its settings"));
        site.vms[vm].signal(Signal::HUP);
    }

    /// Starts an outage of the store, or ends the current one.
    pub async fn toggle_store_outage(&mut self, site: &Site) {
        if self.has_store_outage() {
            self.end_store_outage(site).await;
            return;
        }
        let open_end = Instant::now() + Duration::from_secs(3_600);
        self.store_faults.push((Instant::now(), open_end));
        let outage = StoreFaults { away: true, ..StoreFaults::default() };
        site.platform.set_faults(&outage).await;
        self.log_event("the store rejects all calls");
    }

    /// Ends the outage of the store, if there is one.
    pub async fn end_store_outage(&mut self, site: &Site) {
        if !self.has_store_outage() {
            return;
        }
        site.platform.set_faults(&StoreFaults::default()).await;
        if let Some((_, until)) = self.store_faults.last_mut() {
            *until = Instant::now();
        }
        self.log_event("the store is available again");
    }

    /// Returns whether the store has an outage.
    pub fn has_store_outage(&self) -> bool {
        self.store_faults.last().is_some_and(|(_, until)| *until > Instant::now())
    }

    /// Returns whether, at a moment, no fault had affected the VM or the store for a duration.
    pub fn was_undisturbed(&self, vm: usize, at: Instant, duration: Duration) -> bool {
        let is_affected = |(from, to): &(Instant, Instant)| *from <= at && at < *to + duration;
        !self.vm_faults[vm].iter().any(is_affected) && !self.store_faults.iter().any(is_affected)
    }

    /// Returns whether a VM was killed, stopped or paused between two moments.
    pub fn had_vm_fault(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.vm_faults[vm].iter().any(|(start, end)| *start <= to && *end >= from)
    }

    /// Appends a line to the log of faults.
    pub fn log_event(&mut self, what: &str) {
        self.events.push(format!("{:>6} ms: {what}", self.started.elapsed().as_millis()));
    }
}
