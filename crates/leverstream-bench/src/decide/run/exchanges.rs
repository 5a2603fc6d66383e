//! Exchanges of requests with backend servers, and the end of requests.

use leverstream_core::Outcome;
use leverstream_health::BackendKey;

use super::super::fault::{ExchangeResult, WARM_UP_MS};
use super::super::state::{Event, Exchange};
use super::Model;
use crate::model::{MAX_ATTEMPTS, draw_work_ms};

/// Requests that a backend server queues beyond its slots.
const QUEUE_LIMIT: usize = 8;

/// Most rejections after which a request is still sent again.
const MAX_SHEDS: u32 = 3;

/// Failures in a row after which the baseline ejects a backend server, and the ejection time in milliseconds.
const FAILURES_AND_EJECTION_MS: (u32, u64) = (3, 10_000);

impl Model<'_> {
    /// Sends a request to a backend server.
    pub(super) fn send(&mut self, index: usize, key: BackendKey, now_ms: u64) {
        let server = key.0 as usize;
        let vm = self.requests[index].vm;
        let is_sick = self.is_sick(server, now_ms) && !(self.fault.is_first_hall_only && vm != 0);
        let result = self.fault.draw_result(is_sick, vm, &mut self.rng);
        let work_ms = self.work_ms(result);
        if is_sick {
            self.figures.sent_to_sick += 1;
            self.servers[server].onset.note_request(now_ms);
        }
        if self.servers[server].hall != vm {
            self.figures.far_bytes += self.service.bytes as u64;
        }
        let (has_slot, is_over) = (false, false);
        self.exchanges.push(Exchange {
            request: index,
            key,
            since_ms: now_ms,
            result,
            work_ms,
            has_slot,
            is_over,
        });
        let exchange = self.exchanges.len() - 1;
        let request = &mut self.requests[index];
        request.exchanges.push(exchange);
        request.tried.push(key);
        self.vms[vm].fleet.begin_request(key, self.route, now_ms);
        self.vms[vm].fleet.note_reached(key, now_ms);
        self.vms[vm].in_flight[server] += 1;
        self.start_exchange(exchange, now_ms);
        if self.service.is_repeatable {
            self.schedule_hedge_check(index, now_ms);
        }
    }

    /// Draws the work time of an exchange, in milliseconds.
    fn work_ms(&mut self, result: ExchangeResult) -> u64 {
        let usual_ms = draw_work_ms(self.service.median_ms, self.service.spread, &mut self.rng);
        match result {
            ExchangeResult::Answer(factor) => (usual_ms * factor).max(1.0) as u64,
            ExchangeResult::Failure => (usual_ms / 2.0).max(1.0) as u64,
            ExchangeResult::Shed => 1,
            ExchangeResult::NoAnswer => u64::MAX,
        }
    }

    /// Starts, queues or rejects an exchange at its backend server.
    fn start_exchange(&mut self, exchange: usize, now_ms: u64) {
        let Exchange { key, result, work_ms, .. } = self.exchanges[exchange];
        let slots = &mut self.servers[key.0 as usize].slots;
        if result == ExchangeResult::Shed || slots.waiting.len() >= QUEUE_LIMIT {
            self.exchanges[exchange].result = ExchangeResult::Shed;
            self.events.schedule(now_ms + 1, Event::ExchangeEnd(exchange));
        } else if slots.busy >= self.service.slots {
            slots.waiting.push_back(exchange);
        } else {
            slots.busy += 1;
            self.exchanges[exchange].has_slot = true;
            if result != ExchangeResult::NoAnswer {
                self.events.schedule(now_ms + work_ms, Event::ExchangeEnd(exchange));
            }
        }
    }

    /// Ends an exchange and gives its slot to the next queued one.
    fn end_exchange(&mut self, exchange: usize, outcome: Outcome, now_ms: u64) {
        let Exchange { request, key, since_ms, has_slot, is_over, .. } = self.exchanges[exchange];
        if is_over {
            return;
        }
        self.exchanges[exchange].is_over = true;
        let index = key.0 as usize;
        let vm = &mut self.vms[self.requests[request].vm];
        vm.fleet.end_request(key, since_ms, self.route, outcome, now_ms);
        vm.in_flight[index] -= 1;
        let failure_run = &mut vm.failure_runs[index];
        match outcome {
            Outcome::Bad => failure_run.0 += 1,
            Outcome::Good { .. } => failure_run.0 = 0,
            Outcome::Abandoned | Outcome::Neutral | Outcome::Expired => {}
        }
        if failure_run.0 >= FAILURES_AND_EJECTION_MS.0 {
            *failure_run = (0, now_ms + FAILURES_AND_EJECTION_MS.1);
        }
        self.requests[request].exchanges.retain(|other| *other != exchange);
        if let Some(next) = self.servers[index].slots.remove(exchange, has_slot) {
            self.start_exchange(next, now_ms);
        }
    }

    /// Handles the end of an exchange at its backend server.
    pub(super) fn handle_exchange_end(&mut self, exchange: usize, now_ms: u64) {
        let Exchange { request: index, since_ms, result, is_over, .. } = self.exchanges[exchange];
        if is_over {
            return;
        }
        let time_ms = (now_ms - since_ms) as f64;
        let bytes = self.service.bytes;
        match result {
            ExchangeResult::Answer(_) => {
                self.end_exchange(exchange, Outcome::Good { time_ms, bytes }, now_ms);
                self.finish_request(index, true, now_ms);
            }
            ExchangeResult::Shed => {
                self.end_exchange(exchange, Outcome::Bad, now_ms);
                self.requests[index].sheds += 1;
                self.retry_or_fail(index, now_ms);
            }
            ExchangeResult::Failure | ExchangeResult::NoAnswer => {
                self.end_exchange(exchange, Outcome::Bad, now_ms);
                self.requests[index].ran += 1;
                self.retry_or_fail(index, now_ms);
            }
        }
    }

    /// Sends a request again after a failure if attempts remain, or fails it.
    fn retry_or_fail(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        let attempts = if self.service.is_repeatable { MAX_ATTEMPTS } else { 1 };
        if !request.exchanges.is_empty() {
            return;
        }
        if request.ran < attempts && request.sheds <= MAX_SHEDS {
            self.try_slot(index, now_ms);
        } else {
            self.finish_request(index, false, now_ms);
        }
    }

    /// Ends a request and its remaining exchanges and counts the result.
    pub(super) fn finish_request(&mut self, index: usize, is_served: bool, now_ms: u64) {
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.is_over, true) {
            return;
        }
        let (vm, arrived_ms) = (request.vm, request.arrived_ms);
        for exchange in std::mem::take(&mut request.exchanges) {
            let outcome = if is_served { Outcome::Abandoned } else { Outcome::Bad };
            self.end_exchange(exchange, outcome, now_ms);
        }
        self.vms[vm].demand.note_end(is_served, now_ms);
        if arrived_ms < WARM_UP_MS {
            return;
        }
        self.figures.requests += 1;
        self.figures.failed += u64::from(!is_served);
        let is_late = is_served && now_ms - arrived_ms > self.service.objective_ms;
        self.figures.late += u64::from(is_late);
    }
}
