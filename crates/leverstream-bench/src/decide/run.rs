//! Runs the model: requests, exchanges, reports between VMs and measurements.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use leverstream_catalog::Backend;
use leverstream_core::{
    Demand, Fleet, Outcome, PendingRequest, PickRequest, Report, RequestOrigin, RouteKey, choose,
    hedge_gain, is_hedge_worthwhile, next_hedge_check_ms,
};
use leverstream_health::BackendKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fault::{ExchangeResult, FAULTS_MS, WARM_UP_MS};
use super::state::{Event, Exchange, Request, Server, Vm};
use super::{Fault, Figures, Policy, Service};

/// Number of VMs, one per data hall.
const VMS: usize = 3;

/// The names of the data halls.
const HALLS: [&str; VMS] = ["h1", "h2", "h3"];

/// End of a run, long enough after the fault for the last requests to end.
const END_MS: u64 = WARM_UP_MS + FAULTS_MS + 5_000;

/// Interval of the periodic work of VMs, in milliseconds.
const TICK_MS: u64 = 10;

/// Delay that batches reports to other VMs, in milliseconds.
const BATCH_DELAY_MS: u64 = 30;

/// Transit time of a report to another data hall, in milliseconds.
const TRANSIT_MS: u64 = 2;

/// Interval at which a waiting request tries again to get a slot, in milliseconds.
const SLOT_RETRY_INTERVAL_MS: u64 = 20;

/// Requests that a backend server queues beyond its slots.
const QUEUE_LIMIT: usize = 8;

/// Most backend servers at which a repeatable request may run.
const MAX_ATTEMPTS: usize = 2;

/// Most rejections after which a request is still sent again.
const MAX_SHEDS: u32 = 3;

/// Cost of a megabyte between data halls, in requests served.
const REQUESTS_PER_MB: f64 = 10.0;

/// Share of the healthy backend servers that must stay in use.
const FLOOR_SHARE: f64 = 0.73;

/// Interval of the count of avoided backend servers, in milliseconds.
const AVOIDED_COUNT_INTERVAL_MS: u64 = 100;

/// Failures in a row after which the baseline ejects a backend server, and the ejection time in milliseconds.
const FAILURES_AND_EJECTION_MS: (u32, u64) = (3, 10_000);

/// The state of a run.
struct Model<'a> {
    /// The service.
    service: &'a Service,
    /// The fault.
    fault: &'a Fault,
    /// The policy by which VMs choose.
    policy: Policy,
    /// The seed of the run.
    seed: u64,
    /// The random number generator.
    rng: StdRng,
    /// The only route, the same at all VMs.
    route: RouteKey,
    /// The VMs.
    vms: Vec<Vm>,
    /// The backend servers, by the index of their key at all VMs.
    servers: Vec<Server>,
    /// All requests so far.
    requests: Vec<Request>,
    /// All exchanges so far.
    exchanges: Vec<Exchange>,
    /// Due time and index of each event, the earliest first.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    /// The events.
    events: Vec<Event>,
    /// The results so far.
    figures: Figures,
    /// Counter of the round-robin baseline.
    round_robin_count: usize,
}

/// Runs the model once and returns its results.
pub fn run(service: &Service, fault: &Fault, policy: Policy, seed: u64) -> Figures {
    let mut model = Model::new(service, fault, policy, seed);
    model.schedule(0, Event::Arrive);
    model.schedule(0, Event::Tick);
    while let Some(Reverse((now_ms, index))) = model.due.pop() {
        if now_ms >= END_MS {
            break;
        }
        let event = std::mem::replace(&mut model.events[index], Event::Tick);
        model.handle(event, now_ms);
    }
    model.figures
}

impl<'a> Model<'a> {
    /// Creates a model without requests.
    fn new(service: &'a Service, fault: &'a Fault, policy: Policy, seed: u64) -> Model<'a> {
        let halls: Vec<usize> =
            (0..VMS).flat_map(|hall| std::iter::repeat_n(hall, service.halls[hall])).collect();
        let mut route = None;
        let vms = (0..VMS).map(|_| {
            let mut fleet = Fleet::default();
            for (index, hall) in halls.iter().enumerate() {
                fleet.set(backend(index, *hall, service.slots), 1, 0);
            }
            route = Some(fleet.route_key("r", service.objective_ms));
            Vm {
                fleet,
                demand: Demand::default(),
                unreported: BTreeSet::new(),
                reported_ms: 0,
                in_flight: vec![0; halls.len()],
                failure_runs: vec![(0, 0); halls.len()],
                avoided: vec![false; halls.len()],
            }
        });
        let vms: Vec<Vm> = vms.collect();
        Model {
            service,
            fault,
            policy,
            seed,
            rng: StdRng::seed_from_u64(seed),
            route: route.expect("there are VMs"),
            vms,
            servers: halls.iter().map(|hall| Server { hall: *hall, ..Server::default() }).collect(),
            requests: Vec::new(),
            exchanges: Vec::new(),
            due: BinaryHeap::new(),
            events: Vec::new(),
            figures: Figures { min_capacity: 1.0, ..Figures::default() },
            round_robin_count: 0,
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.due.push(Reverse((at_ms, self.events.len())));
        self.events.push(event);
    }

    /// Handles one event.
    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrive => self.arrive(now_ms),
            Event::TrySlot(request) => self.try_slot(request, now_ms),
            Event::ExchangeEnd(exchange) => self.handle_exchange_end(exchange, now_ms),
            Event::HedgeCheck(request) => self.check_hedge(request, now_ms),
            Event::Deadline(request) => self.handle_timeout(request, now_ms),
            Event::Tick => self.tick(now_ms),
            Event::ReceiveReports(vm, from, reports) => {
                for report in reports {
                    let received = Report { heard_ms: now_ms, ..report.report };
                    self.vms[vm].fleet.report(&report.of, from as u64, received);
                }
            }
        }
    }

    /// Handles the arrival of a request and schedules the next one.
    fn arrive(&mut self, now_ms: u64) {
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / self.service.rate_per_s;
        if now_ms < WARM_UP_MS + FAULTS_MS {
            self.schedule(now_ms + gap_ms.round().max(1.0) as u64, Event::Arrive);
        }
        let vm = self.rng.random_range(0..VMS);
        let request = Request {
            vm,
            arrived_ms: now_ms,
            exchanges: Vec::new(),
            tried: Vec::new(),
            ran: 0,
            sheds: 0,
            is_over: false,
        };
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.vms[vm].demand.note_arrival(now_ms);
        self.schedule(now_ms + self.service.timeout_ms, Event::Deadline(index));
        self.try_slot(index, now_ms);
    }

    /// Sends a request to a backend server, or schedules another try if none has a slot.
    fn try_slot(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        if request.is_over {
            return;
        }
        let waited_ms = now_ms - request.arrived_ms;
        match self.pick(index, waited_ms, now_ms) {
            Some(key) => self.send(index, key, now_ms),
            None => self.schedule(now_ms + SLOT_RETRY_INTERVAL_MS, Event::TrySlot(index)),
        }
    }

    /// Chooses a backend server according to the policy.
    fn pick(&mut self, index: usize, waited_ms: u64, now_ms: u64) -> Option<BackendKey> {
        let request = &self.requests[index];
        let vm = &self.vms[request.vm];
        let slots = self.service.slots;
        let is_eligible = |server: &usize| {
            vm.in_flight[*server] < slots && !request.tried.contains(&BackendKey(*server as u32))
        };
        let free: Vec<usize> = (0..self.servers.len()).filter(is_eligible).collect();
        let least_loaded = |servers: &[usize], rng: &mut StdRng| {
            let least = servers.iter().map(|server| vm.in_flight[*server]).min()?;
            let equal: Vec<usize> =
                servers.iter().copied().filter(|server| vm.in_flight[*server] == least).collect();
            Some(equal[rng.random_range(0..equal.len())])
        };
        let chosen = match self.policy {
            Policy::Shipped => {
                let pick_request = PickRequest {
                    service: "s",
                    hall: HALLS[request.vm],
                    is_repeatable: self.service.is_repeatable,
                    tried: &request.tried,
                    waited_ms,
                    far_bytes_cost: self.service.bytes as f64 / 1e6 * REQUESTS_PER_MB,
                    objective_ms: self.service.objective_ms,
                    floor_share: FLOOR_SHARE,
                    requests_fail: vm.demand.is_failing(self.service.is_repeatable, now_ms),
                    requests_per_s: vm.demand.per_s(now_ms).map(|per_s| per_s * VMS as f64),
                };
                return choose(&vm.fleet, &pick_request, now_ms, &mut self.rng)
                    .map(|pick| pick.key);
            }
            Policy::RoundRobin => {
                self.round_robin_count += 1;
                (!free.is_empty()).then(|| free[self.round_robin_count % free.len()])
            }
            Policy::LeastInFlight => least_loaded(&free, &mut self.rng),
            Policy::TwoChoices if free.is_empty() => None,
            Policy::TwoChoices => {
                let one = free[self.rng.random_range(0..free.len())];
                let other = free[self.rng.random_range(0..free.len())];
                least_loaded(&[one, other], &mut self.rng)
            }
            Policy::FailuresInARow => {
                let in_use: Vec<usize> = free
                    .iter()
                    .copied()
                    .filter(|server| vm.failure_runs[*server].1 <= now_ms)
                    .collect();
                least_loaded(if in_use.is_empty() { &free } else { &in_use }, &mut self.rng)
            }
        };
        chosen.map(|server| BackendKey(server as u32))
    }

    /// Sends a request to a backend server.
    fn send(&mut self, index: usize, key: BackendKey, now_ms: u64) {
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
        // The sum of twelve uniform draws is nearly normal, with a variance of one.
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let usual_ms = self.service.median_ms * (normal * self.service.spread).exp();
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
        let server = &mut self.servers[key.0 as usize];
        if result == ExchangeResult::Shed || server.queue.len() >= QUEUE_LIMIT {
            self.exchanges[exchange].result = ExchangeResult::Shed;
            self.schedule(now_ms + 1, Event::ExchangeEnd(exchange));
        } else if server.busy >= self.service.slots {
            server.queue.push_back(exchange);
        } else {
            server.busy += 1;
            self.exchanges[exchange].has_slot = true;
            if result != ExchangeResult::NoAnswer {
                self.schedule(now_ms + work_ms, Event::ExchangeEnd(exchange));
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
        let server = &mut self.servers[index];
        server.queue.retain(|other| *other != exchange);
        if has_slot {
            server.busy -= 1;
            if let Some(next) = server.queue.pop_front() {
                self.start_exchange(next, now_ms);
            }
        }
    }

    /// Handles the end of an exchange at its backend server.
    fn handle_exchange_end(&mut self, exchange: usize, now_ms: u64) {
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
    fn finish_request(&mut self, index: usize, is_served: bool, now_ms: u64) {
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

    /// Fails a request that has reached its timeout.
    fn handle_timeout(&mut self, index: usize, now_ms: u64) {
        self.finish_request(index, false, now_ms);
    }

    /// Schedules the next hedge check of a request.
    fn schedule_hedge_check(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        let flights = self.flights(index);
        let pending = self.pending(index, &flights);
        let wait_ms = next_hedge_check_ms(&self.vms[request.vm].fleet, &pending, now_ms);
        self.schedule(now_ms + wait_ms, Event::HedgeCheck(index));
    }

    /// Sends a hedge if it is worthwhile.
    fn check_hedge(&mut self, index: usize, now_ms: u64) {
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

    /// Returns whether a backend server is sick.
    fn is_sick(&self, server: usize, now_ms: u64) -> bool {
        self.fault.is_sick(server, self.servers.len(), self.seed, now_ms)
    }

    /// Does the periodic work of all VMs and updates the measurements.
    fn tick(&mut self, now_ms: u64) {
        self.schedule(now_ms + TICK_MS, Event::Tick);
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
            self.schedule(now_ms + TRANSIT_MS, Event::ReceiveReports(other, vm, reports.clone()));
        }
    }

    /// Counts healthy backend servers that a VM has begun to avoid, and updates the lowest capacity.
    fn count_avoided(&mut self, vm: usize, now_ms: u64) {
        let origin = RequestOrigin { hall: HALLS[vm], far_cost: 0.2, tried: &[] };
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

/// Returns a backend server of the modeled service.
fn backend(index: usize, hall: usize, slots: u32) -> Backend {
    Backend {
        instance: format!("b{index}"),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: HALLS[hall].into(),
        slots,
        is_leaving: false,
        born_ms: 0,
        cold_left_ms: 0,
    }
}
