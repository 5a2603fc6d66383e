//! The periodic work of VMs: reports to other VMs, and measurements.

use leverstream_core::RequestOrigin;
use leverstream_health::BackendKey;

use super::super::Policy;
use super::super::fault::WARM_UP_MS;
use super::super::state::Event;
use super::{HALLS, Model, VMS};

/// Interval of the periodic work of VMs, in milliseconds.
const TICK_MS: u64 = 10;

/// Delay that batches reports to other VMs, in milliseconds.
const BATCH_DELAY_MS: u64 = 30;

/// Transit time of a report to another data hall, in milliseconds.
const TRANSIT_MS: u64 = 2;

/// Interval of the count of avoided backend servers, in milliseconds.
const AVOIDED_COUNT_INTERVAL_MS: u64 = 100;

impl Model<'_> {
    /// Does the periodic work of all VMs and updates the measurements.
    pub(super) fn tick(&mut self, now_ms: u64) {
        self.events.schedule(now_ms + TICK_MS, Event::Tick);
        for vm in 0..VMS {
            self.send_reports(vm, now_ms);
        }
        for server in 0..self.servers.len() {
            let is_sick = self.is_sick(server, now_ms);
            let state = &mut self.servers[server];
            let was_sick = std::mem::replace(&mut state.was_sick, is_sick);
            let detected_ms = state.onset.update(is_sick, was_sick, now_ms);
            self.figures.detection_ms.extend(detected_ms);
        }
        if now_ms.is_multiple_of(AVOIDED_COUNT_INTERVAL_MS) && now_ms >= WARM_UP_MS {
            (0..VMS).for_each(|vm| self.count_avoided(vm, now_ms));
        }
    }

    /// Sends the reports of a VM to the others: failures immediately, other changes in batches.
    fn send_reports(&mut self, vm: usize, now_ms: u64) {
        let state = &mut self.vms[vm];
        state.fleet.note_overdue(now_ms);
        let (keys, has_failure) = state.fleet.take_unreported();
        state.unreported.extend(keys.iter().map(|key| key.0));
        let is_due = has_failure || now_ms - state.reported_ms >= BATCH_DELAY_MS;
        if !is_due || state.unreported.is_empty() {
            return;
        }
        state.reported_ms = now_ms;
        let keys: Vec<BackendKey> =
            std::mem::take(&mut state.unreported).into_iter().map(BackendKey).collect();
        let reports = state.fleet.reports(&keys, now_ms);
        for other in (0..VMS).filter(|other| *other != vm) {
            self.events
                .schedule(now_ms + TRANSIT_MS, Event::ReceiveReports(other, vm, reports.clone()));
        }
    }

    /// Counts healthy backend servers that a VM has begun to avoid, and updates the lowest capacity.
    fn count_avoided(&mut self, vm: usize, now_ms: u64) {
        let origin = RequestOrigin { vm: vm as u64, hall: HALLS[vm], far_cost: 0.2, tried: &[] };
        let (mut healthy, mut in_use) = (0_u32, 0_u32);
        for server in 0..self.servers.len() {
            let state = &self.vms[vm];
            let is_avoided = match self.policy {
                Policy::Shipped => {
                    let choice = state.fleet.choice(BackendKey(server as u32), &origin, now_ms);
                    choice.is_avoided(self.service.is_repeatable)
                }
                Policy::FailuresInARow => state.failure_runs[server].1 > now_ms,
                _ => false,
            };
            let is_sick =
                self.is_sick(server, now_ms) && !(self.fault.is_first_hall_only && vm != 0);
            let was_avoided = std::mem::replace(&mut self.vms[vm].avoided[server], is_avoided);
            if !is_sick {
                healthy += 1;
                in_use += u32::from(!is_avoided);
                self.figures.false_ejections += u64::from(is_avoided && !was_avoided);
            }
        }
        if healthy > 0 {
            let share = f64::from(in_use) / f64::from(healthy);
            self.figures.min_capacity = self.figures.min_capacity.min(share);
        }
    }
}
