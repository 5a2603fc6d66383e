//! Hedges of repeatable requests.

use leverstream_core::{PendingRequest, hedge_gain, is_hedge_worthwhile, next_hedge_check_ms};
use leverstream_health::BackendKey;

use super::super::state::{Event, Request};
use super::Model;
use crate::model::MAX_ATTEMPTS;

impl Model<'_> {
    /// Schedules the next hedge check of a request.
    pub(super) fn schedule_hedge_check(&mut self, index: usize, now_ms: u64) {
        let flights = self.flights(index);
        let fleet = &self.vms[self.requests[index].vm].fleet;
        let wait_ms = next_hedge_check_ms(fleet, &self.pending(index, &flights), now_ms);
        self.events.schedule(now_ms + wait_ms, Event::HedgeCheck(index));
    }

    /// Sends a hedge if it is worthwhile.
    pub(super) fn check_hedge(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        if request.is_over || request.exchanges.is_empty() || request.tried.len() >= MAX_ATTEMPTS {
            return;
        }
        let flights = self.flights(index);
        let fleet = &self.vms[request.vm].fleet;
        let gain = hedge_gain(fleet, &self.pending(index, &flights), now_ms);
        match is_hedge_worthwhile(gain, 0.0).then(|| self.pick(index, now_ms)).flatten() {
            Some(key) => self.send(index, key, now_ms),
            None => self.schedule_hedge_check(index, now_ms),
        }
    }

    /// Returns the backend server and the start time of each unfinished exchange of a request.
    fn flights(&self, index: usize) -> Vec<(BackendKey, u64)> {
        let exchanges = self.requests[index].exchanges.iter();
        exchanges.map(|at| (self.exchanges[*at].key, self.exchanges[*at].since_ms)).collect()
    }

    /// Returns the input of the hedge decision for a request.
    fn pending<'b>(
        &self,
        index: usize,
        sends_in_flight: &'b [(BackendKey, u64)],
    ) -> PendingRequest<'b> {
        let Request { vm, is_repeatable, arrived_ms, .. } = self.requests[index];
        let workload = self.workload(is_repeatable);
        PendingRequest {
            route: self.vms[vm].routes[usize::from(is_repeatable)],
            sends_in_flight,
            on_time_ms: arrived_ms + workload.objective_ms,
            deadline_ms: arrived_ms + workload.timeout_ms,
        }
    }
}
