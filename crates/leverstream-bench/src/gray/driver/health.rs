//! The health tasks of VMs: ticks, evidence exchange and health checks.

use leverstream_health::{BackendKey, Standing, evidence_units};

use super::{Simulation, TICK_MS, VMS};
use crate::gray::cell::Effect;
use crate::gray::parts::Event;

/// Interval of the evidence exchanges, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 250;

/// Interval of the health checks by one VM, in milliseconds.
pub(super) const PROBE_INTERVAL_MS: u64 = 10_000;

/// Slot time of a health check, in milliseconds.
const PROBE_COST_MS: u64 = 25;

/// Time after which a health check fails, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

impl Simulation<'_> {
    /// Runs the health code of all VMs and records its decisions.
    pub(super) fn tick(&mut self) {
        self.schedule(TICK_MS, Event::Tick);
        let now_ms = self.now_ms;
        for vm_index in 0..VMS {
            let vm = &mut self.vms[vm_index];
            for (backend, attempts) in vm.in_flight.iter().enumerate() {
                let key = BackendKey(backend as u32);
                let slow_ms = vm.health.slow_ms(key);
                for attempt in attempts {
                    let attempt = &mut self.attempts[*attempt];
                    let units = evidence_units((now_ms - attempt.sent_ms) as f64, slow_ms);
                    let new_units = units.saturating_sub(attempt.charged);
                    if new_units > 0 {
                        attempt.charged += new_units;
                        vm.health.charge(key, new_units);
                    }
                }
            }
            vm.health.tick(now_ms);
            self.record_state(vm_index);
            self.send_waiting(vm_index);
        }
    }

    /// Records the capacity and new false ejections of a VM.
    fn record_state(&mut self, vm_index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[vm_index];
        let floor = f64::from(self.deployment.floor_percent) / 100.0;
        let capacity = vm.health.capacity(now_ms);
        self.figures.min_capacity = self.figures.min_capacity.min(capacity);
        self.figures.is_floor_broken |= capacity < floor;
        for key in vm.health.keys() {
            let index = key.0 as usize;
            let standing = vm.health.view(key, now_ms).standing;
            let is_ejected = matches!(standing, Standing::Ejected { .. });
            let is_new = is_ejected && !vm.was_ejected[index];
            vm.was_ejected[index] = is_ejected;
            let is_justified = now_ms >= self.onset_ms
                && ((self.fault.sick)(index) || (self.fault.is_cut)(vm_index, index));
            if is_new && !is_justified {
                self.figures.false_ejections += 1.0;
            }
        }
    }

    /// Reports the evidence of each VM to all others.
    pub(super) fn exchange_evidence(&mut self) {
        self.schedule(EXCHANGE_INTERVAL_MS, Event::Exchange);
        let now_ms = self.now_ms;
        for from in 0..VMS {
            for backend in 0..self.deployment.backends {
                let key = BackendKey(backend as u32);
                let count = self.vms[from].health.count(key);
                let in_flight = self.vms[from].in_flight[backend].len() as u32;
                for to in (0..VMS).filter(|to| *to != from) {
                    let reporter = from as u64;
                    self.vms[to].health.report(key, reporter, count, in_flight, now_ms);
                }
            }
        }
    }

    /// Runs a health check of a backend server and schedules the next one.
    pub(super) fn check(&mut self, vm: usize, backend: usize) {
        self.schedule(PROBE_INTERVAL_MS, Event::Check { vm, backend });
        self.probe_ms += PROBE_COST_MS;
        let since_ms = self.now_ms.checked_sub(self.onset_ms);
        let is_refused = matches!(self.effect(vm, backend), Effect::Refuse);
        let is_cut = since_ms.is_some() && (self.fault.is_cut)(vm, backend);
        let is_good =
            !is_cut && since_ms.is_none_or(|since_ms| (self.fault.check)(backend, since_ms));
        let took_ms = if is_cut { PROBE_TIMEOUT_MS } else { PROBE_COST_MS };
        self.schedule(took_ms, Event::CheckDone { vm, backend, is_good, is_refused });
    }
}
