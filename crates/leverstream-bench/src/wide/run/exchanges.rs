//! Exchanges of requests with backend servers, and the end of requests.

use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_core::Outcome;
use leverstream_health::BackendKey;
use rand::Rng;

use super::super::state::{Event, Exchange, Request};
use super::{HALLS, Model, WARM_UP_MS};
use crate::model::{HEALTHY_ERROR_SHARE, MAX_ATTEMPTS, draw_work_ms};

/// Share of time in error episodes, their shortest duration in milliseconds, and the failure share in them.
const EPISODES: (f64, u64, f64) = (0.3, 9_000, 0.9);

/// Time until an error in an episode, in milliseconds.
const ERROR_DELAY_MS: u64 = 2;

/// Requests that a backend server queues beyond its slots.
const QUEUE_LIMIT: usize = 12;

/// Longest idle time after which a non-repeatable and a repeatable request reuse a connection, in milliseconds.
const MAX_IDLE_MS: (u64, u64) = (1_000, 2_800);

impl Model<'_> {
    /// Sends a request to a backend server.
    pub(super) fn send(&mut self, index: usize, key: BackendKey, now_ms: u64) {
        let server = key.0 as usize;
        let (vm, is_repeatable) = (self.requests[index].vm, self.requests[index].is_repeatable);
        let is_sick = self.is_sick(server, now_ms);
        let failure_share = if is_sick { EPISODES.2 } else { HEALTHY_ERROR_SHARE };
        let fails = self.rng.random::<f64>() < failure_share;
        let work_ms = if is_sick && fails { ERROR_DELAY_MS } else { self.work_ms(is_repeatable) };
        if self.requests[index].arrived_ms >= WARM_UP_MS {
            self.count_send(vm, server, is_repeatable, now_ms);
        }
        self.vms[vm].idle_since_ms[server] = None;
        self.servers[server].requests_ms.push(now_ms);
        let (since_ms, has_slot, is_over) = (now_ms, false, false);
        let exchange =
            Exchange { request: index, key, since_ms, fails, work_ms, has_slot, is_over };
        self.exchanges.push(exchange);
        let exchange = self.exchanges.len() - 1;
        let request = &mut self.requests[index];
        request.exchanges.push(exchange);
        request.tried.push(key);
        let route = self.vms[vm].routes[usize::from(is_repeatable)];
        self.vms[vm].fleet.begin_request(key, route, now_ms);
        self.vms[vm].fleet.note_reached(key, now_ms);
        self.schedule_report(vm, now_ms);
        self.start_exchange(exchange, now_ms);
        if is_repeatable {
            self.schedule_hedge_check(index, now_ms);
        }
    }

    /// Counts a sent request, and whether it opens a connection or leaves the data hall.
    fn count_send(&mut self, vm: usize, server: usize, is_repeatable: bool, now_ms: u64) {
        let max_idle_ms = if is_repeatable { MAX_IDLE_MS.1 } else { MAX_IDLE_MS.0 };
        let idle = self.vms[vm].idle_since_ms[server];
        let is_reused = idle.is_some_and(|since_ms| now_ms - since_ms < max_idle_ms);
        self.figures.sends += 1;
        self.figures.opened += u64::from(!is_reused);
        self.figures.sent_to_other_halls += u64::from(server % HALLS.len() != self.vms[vm].hall);
    }

    /// Returns whether a backend server is in an episode of errors.
    pub(super) fn is_sick(&self, server: usize, now_ms: u64) -> bool {
        let (share, episode_ms, _) = EPISODES;
        let draw = |index: u64| {
            let mut hasher = DefaultHasher::new();
            (self.seed, server, index).hash(&mut hasher);
            hasher.finish() as f64 / u64::MAX as f64
        };
        let phase_ms = (draw(u64::MAX) * episode_ms as f64) as u64;
        draw((now_ms + phase_ms) / episode_ms) < share
    }

    /// Draws the work time of an exchange, in milliseconds.
    fn work_ms(&mut self, is_repeatable: bool) -> u64 {
        let workload = self.workload(is_repeatable);
        draw_work_ms(workload.median_ms, workload.spread, &mut self.rng).max(1.0) as u64
    }

    /// Starts, queues or rejects an exchange at its backend server.
    fn start_exchange(&mut self, exchange: usize, now_ms: u64) {
        let Exchange { key, work_ms, .. } = self.exchanges[exchange];
        let slots = &mut self.servers[key.0 as usize].slots;
        if slots.busy < self.service.slots {
            slots.busy += 1;
            self.exchanges[exchange].has_slot = true;
            self.events.schedule(now_ms + work_ms, Event::ExchangeEnd(exchange));
        } else if slots.waiting.len() < QUEUE_LIMIT {
            slots.waiting.push_back(exchange);
        } else {
            self.exchanges[exchange].fails = true;
            self.events.schedule(now_ms + 1, Event::ExchangeEnd(exchange));
        }
    }

    /// Ends an exchange and gives its slot to the next queued one.
    fn end_exchange(&mut self, index: usize, outcome: Outcome, now_ms: u64) {
        let exchange = &mut self.exchanges[index];
        if std::mem::replace(&mut exchange.is_over, true) {
            return;
        }
        let Exchange { request, key, since_ms, has_slot, .. } = *exchange;
        let Request { vm, is_repeatable, .. } = self.requests[request];
        let route = self.vms[vm].routes[usize::from(is_repeatable)];
        self.vms[vm].fleet.end_request(key, since_ms, route, outcome, now_ms);
        self.vms[vm].idle_since_ms[key.0 as usize] = Some(now_ms);
        self.schedule_report(vm, now_ms);
        self.requests[request].exchanges.retain(|other| *other != index);
        if outcome == Outcome::Bad {
            self.report_in_hall(vm, now_ms);
        }
        if let Some(next) = self.servers[key.0 as usize].slots.remove(index, has_slot) {
            self.start_exchange(next, now_ms);
        }
    }

    /// Handles the end of an exchange at its backend server.
    pub(super) fn handle_exchange_end(&mut self, index: usize, now_ms: u64) {
        let Exchange { request, since_ms, fails, is_over, .. } = self.exchanges[index];
        if is_over {
            return;
        }
        if !fails {
            let bytes = self.workload(self.requests[request].is_repeatable).bytes;
            let time_ms = (now_ms - since_ms) as f64;
            self.end_exchange(index, Outcome::Good { time_ms, bytes }, now_ms);
            self.finish_request(request, true, now_ms);
            return;
        }
        let server = self.exchanges[index].key.0 as usize;
        self.servers[server].failures_ms.push(now_ms);
        self.end_exchange(index, Outcome::Bad, now_ms);
        let Request { is_repeatable, exchanges, tried, .. } = &self.requests[request];
        if !exchanges.is_empty() {
            return;
        }
        if *is_repeatable && tried.len() < MAX_ATTEMPTS {
            self.try_slot(request, now_ms);
        } else {
            self.finish_request(request, false, now_ms);
        }
    }

    /// Ends a request and its remaining exchanges and counts the result.
    pub(super) fn finish_request(&mut self, index: usize, is_served: bool, now_ms: u64) {
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.is_over, true) {
            return;
        }
        let (vm, is_repeatable, took_ms) =
            (request.vm, request.is_repeatable, now_ms - request.arrived_ms);
        let is_counted = request.arrived_ms >= WARM_UP_MS;
        for exchange in std::mem::take(&mut request.exchanges) {
            let outcome = if is_served { Outcome::Abandoned } else { Outcome::Expired };
            self.end_exchange(exchange, outcome, now_ms);
        }
        self.vms[vm].demand.note_end(is_served, now_ms);
        if !is_counted {
            return;
        }
        let is_late = is_served && took_ms > self.workload(is_repeatable).objective_ms;
        let figures = &mut self.figures;
        figures.late += u64::from(is_late);
        let (count, failed) = match is_repeatable {
            true => (&mut figures.repeatable, &mut figures.repeatable_failed),
            false => (&mut figures.non_repeatable, &mut figures.non_repeatable_failed),
        };
        *count += 1;
        *failed += u64::from(!is_served);
        if is_served && !is_repeatable {
            figures.non_repeatable_ms.push(took_ms);
        }
    }
}
