//! What VMs do for the health of backend servers: look, tell each other, check.

use leverstream_health::{BackendKey, Standing, evidence_units};

use super::{TICK_MS, VMS, World};
use crate::gray::cell::Effect;
use crate::gray::parts::Event;

/// The time between two exchanges of evidence.
const EXCHANGE_MS: u64 = 250;

/// The time between two health checks of one prober.
pub(super) const PROBE_MS: u64 = 10_000;

/// The slot time of a health check.
const PROBE_COST_MS: u64 = 25;

/// A health check that takes longer has failed.
const PROBE_LIMIT_MS: u64 = 1_000;

impl World<'_> {
    /// Runs the health code of all VMs and looks at what it did.
    pub(super) fn tick(&mut self) {
        self.plan(TICK_MS, Event::Tick);
        let now_ms = self.now_ms;
        for vm_index in 0..VMS {
            let vm = &mut self.vms[vm_index];
            for (backend, flights) in vm.flights.iter().enumerate() {
                let key = BackendKey(backend as u32);
                let slow_ms = vm.health.slow_ms(key);
                for attempt in flights {
                    let attempt = &mut self.attempts[*attempt];
                    let due = evidence_units((now_ms - attempt.sent_ms) as f64, slow_ms);
                    let fresh = due.saturating_sub(attempt.charged);
                    if fresh > 0 {
                        attempt.charged += fresh;
                        vm.health.charge(key, fresh);
                    }
                }
            }
            vm.health.tick(now_ms);
            self.look(vm_index);
            self.wake(vm_index);
        }
    }

    /// Notes fresh ejections and the capacity of a VM.
    fn look(&mut self, vm_index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[vm_index];
        let floor = f64::from(self.deployment.floor_percent) / 100.0;
        let capacity = vm.health.capacity(now_ms);
        self.figures.capacity = self.figures.capacity.min(capacity);
        self.figures.breaks_floor |= capacity < floor;
        for key in vm.health.keys() {
            let index = key.0 as usize;
            let standing = vm.health.view(key, now_ms).standing;
            let is_ejected = matches!(standing, Standing::Ejected { .. });
            let is_fresh = is_ejected && !vm.stood_ejected[index];
            vm.stood_ejected[index] = is_ejected;
            let is_right = now_ms >= self.onset_ms
                && ((self.fault.sick)(index) || (self.fault.is_cut)(vm_index, index));
            if is_fresh && !is_right {
                self.figures.false_ejections += 1.0;
            }
        }
    }

    /// Exchanges evidence between all VMs.
    pub(super) fn exchange(&mut self) {
        self.plan(EXCHANGE_MS, Event::Exchange);
        let now_ms = self.now_ms;
        for from in 0..VMS {
            for backend in 0..self.deployment.backends {
                let key = BackendKey(backend as u32);
                let count = self.vms[from].health.count(key);
                let in_flight = self.vms[from].flights[backend].len() as u32;
                for to in (0..VMS).filter(|to| *to != from) {
                    let reporter = from as u64;
                    self.vms[to].health.report(key, reporter, count, in_flight, now_ms);
                }
            }
        }
    }

    /// Checks a backend server.
    pub(super) fn check(&mut self, vm: usize, backend: usize) {
        self.plan(PROBE_MS, Event::Check { vm, backend });
        self.probe_ms += PROBE_COST_MS;
        let since_ms = self.now_ms.checked_sub(self.onset_ms);
        let refused = matches!(self.effect(vm, backend), Effect::Refuse);
        let is_cut = since_ms.is_some() && (self.fault.is_cut)(vm, backend);
        let well = !is_cut && since_ms.is_none_or(|since_ms| (self.fault.check)(backend, since_ms));
        let took_ms = if is_cut { PROBE_LIMIT_MS } else { PROBE_COST_MS };
        self.plan(took_ms, Event::Checked { vm, backend, well, refused });
    }
}
