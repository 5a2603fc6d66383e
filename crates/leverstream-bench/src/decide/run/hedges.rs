//! Hedges of repeatable requests.

use leverstream_core::{PendingRequest, hedge_gain, is_hedge_worthwhile, next_hedge_check_ms};
use leverstream_health::BackendKey;

use super::super::state::Event;
use super::Model;
use crate::model::MAX_ATTEMPTS;

impl Model<'_> {
    /// Schedules the next hedge check of a request.
    pub(super) fn schedule_hedge_check(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        let flights = self.flights(index);
        let pending = self.pending(index, &flights);
        let wait_ms = next_hedge_check_ms(&self.vms[request.vm].fleet, &pending, now_ms);
        self.events.schedule(now_ms + wait_ms, Event::HedgeCheck(index));
    }

    /// Sends a hedge if it is worthwhile.
    pub(super) fn check_hedge(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        let may_hedge = request.exchanges.len() + request.ran < MAX_ATTEMPTS;
        if request.is_over || request.exchanges.is_empty() || !may_hedge {
            return;
        }
        let flights = self.flights(index);
        let gain = hedge_gain(&self.vms[request.vm].fleet, &self.pending(index, &flights), now_ms);
        match is_hedge_worthwhile(gain, 0.0).then(|| self.pick(index, 0, now_ms)).flatten() {
            Some(key) => {
                self.figures.hedges += 1;
                self.send(index, key, now_ms);
            }
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
        let arrived_ms = self.requests[index].arrived_ms;
        PendingRequest {
            route: self.route,
            sends_in_flight,
            on_time_ms: arrived_ms + self.service.objective_ms,
            deadline_ms: arrived_ms + self.service.timeout_ms,
        }
    }
}
