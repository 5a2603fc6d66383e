//! Runs the model: requests, exchanges and reports between VMs.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_catalog::Backend;
use leverstream_core::{
    BackendReport, Demand, Fleet, Outcome, PendingRequest, PickRequest, Report, RouteKey, choose,
    hedge_gain, is_hedge_worthwhile, next_hedge_check_ms,
};
use leverstream_health::BackendKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::service::Workload;
use super::{Figures, Service};

/// The names of the data halls.
const HALLS: [&str; 5] = ["h0", "h1", "h2", "h3", "h4"];

/// Warm-up time, in milliseconds; earlier requests aren't counted.
const WARM_UP_MS: u64 = 10_000;

/// Time of the last arrivals, in milliseconds.
const END_MS: u64 = 30_000;

/// Share of time in error episodes, their shortest duration in milliseconds, and the failure share in them.
const EPISODES: (f64, u64, f64) = (0.3, 9_000, 0.9);

/// Time until an error in an episode, in milliseconds.
const ERROR_DELAY_MS: u64 = 2;

/// Share of errors among the answers of healthy backend servers.
const HEALTHY_ERROR_SHARE: f64 = 0.012;

/// Delay that batches reports to VMs of the same data hall, in milliseconds.
const SAME_HALL_DELAY_MS: u64 = 8;

/// Delay that batches reports to VMs of other data halls, in milliseconds; failures aren't delayed.
const OTHER_HALLS_DELAY_MS: u64 = 30;

/// Transit time of a datagram, in milliseconds.
const TRANSIT_MS: u64 = 1;

/// Bytes of an empty datagram, and bytes per backend server reported in it.
const DATAGRAM_BYTES: (u64, u64) = (80, 40);

/// Interval at which a waiting request tries again to get a slot, in milliseconds.
const SLOT_RETRY_INTERVAL_MS: u64 = 20;

/// Requests that a backend server queues beyond its slots.
const QUEUE_LIMIT: usize = 12;

/// Longest idle time after which a non-repeatable and a repeatable request reuse a connection, in milliseconds.
const MAX_IDLE_MS: (u64, u64) = (1_000, 2_800);

/// Window before the end in which a backend server in use has received a request, in milliseconds.
const IN_USE_WINDOW_MS: u64 = 2_000;

/// Cost of a megabyte between data halls, in requests served.
const REQUESTS_PER_MB: f64 = 10.0;

/// Share of the healthy backend servers that must stay in use.
const FLOOR_SHARE: f64 = 0.73;

/// Most backend servers at which a repeatable request may run.
const MAX_ATTEMPTS: usize = 2;

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a request, which is repeatable or not.
    Arrive(bool),
    /// A request tries to get a slot.
    TrySlot(usize),
    /// A VM checks whether a hedge of a request is worthwhile.
    HedgeCheck(usize),
    /// An exchange ends at its backend server.
    ExchangeEnd(usize),
    /// A request reaches its timeout.
    Deadline(usize),
    /// A VM sends its batch of reports to the VMs of its data hall.
    ReportInHall(usize),
    /// A VM sends its batch of reports to the VMs of other data halls.
    ReportToOtherHalls(usize),
    /// A VM (first index) receives the reports of another VM (second index).
    ReceiveReports(usize, usize, std::rc::Rc<Vec<BackendReport>>),
}

/// A VM.
struct Vm {
    /// Its data hall.
    hall: usize,
    /// Its knowledge of the backend servers.
    fleet: Fleet,
    /// Request rate and recent request results.
    demand: Demand,
    /// The routes of non-repeatable and of repeatable requests.
    routes: [RouteKey; 2],
    /// Backend servers with changes not yet reported to other data halls.
    for_other_halls: HashSet<BackendKey>,
    /// Whether a report to the same data hall, and to other data halls, is scheduled.
    is_report_due: (bool, bool),
    /// Time since which the connection to each backend server has been idle.
    idle_since_ms: Vec<Option<u64>>,
}

/// A backend server.
#[derive(Default)]
struct Server {
    /// Slots in use.
    busy: u32,
    /// Exchanges that wait for a slot.
    queue: VecDeque<usize>,
    /// Time of the last request.
    last_request_ms: Option<u64>,
}

/// A request.
struct Request {
    /// The VM that serves it.
    vm: usize,
    /// Whether it is repeatable.
    is_repeatable: bool,
    /// Time of arrival.
    arrived_ms: u64,
    /// Its unfinished exchanges.
    exchanges: Vec<usize>,
    /// Backend servers it was sent to.
    tried: Vec<BackendKey>,
    /// Whether it has ended.
    is_over: bool,
}

/// One attempt of a request at a backend server.
struct Exchange {
    /// The request.
    request: usize,
    /// The backend server.
    key: BackendKey,
    /// Time at which it was sent.
    since_ms: u64,
    /// Whether it fails.
    fails: bool,
    /// Work time, in milliseconds.
    work_ms: u64,
    /// Whether it holds a slot.
    has_slot: bool,
    /// Whether it has ended.
    is_over: bool,
}

/// The state of a run.
struct Model<'a> {
    /// The service.
    service: &'a Service,
    /// The seed of the run.
    seed: u64,
    /// The random number generator.
    rng: StdRng,
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
    /// The events; `None` once handled.
    events: Vec<Option<Event>>,
    /// The results so far.
    figures: Figures,
}

/// Runs the model once and returns its results.
pub fn run(service: &Service, seed: u64) -> Figures {
    let mut model = Model::new(service, seed);
    for is_repeatable in [false, true] {
        if model.workload(is_repeatable).per_s > 0.0 {
            model.schedule(0, Event::Arrive(is_repeatable));
        }
    }
    while let Some(Reverse((now_ms, index))) = model.due.pop() {
        if let Some(event) = model.events[index].take() {
            model.handle(event, now_ms);
        }
    }
    let is_used = |server: &&Server| {
        server.last_request_ms.is_some_and(|at_ms| at_ms + IN_USE_WINDOW_MS >= END_MS)
    };
    model.figures.in_use = model.servers.iter().filter(is_used).count() as u64;
    model.figures
}

impl<'a> Model<'a> {
    /// Creates a model without requests.
    fn new(service: &'a Service, seed: u64) -> Model<'a> {
        let count = service.backends_per_hall * HALLS.len();
        let vms = (0..service.vms_per_hall * HALLS.len()).map(|index| {
            let mut fleet = Fleet::default();
            (0..count).for_each(|index| {
                fleet.set(backend(index, service.slots), 1, 0);
            });
            let routes = [service.non_repeatable, service.repeatable];
            let routes = [("once", routes[0]), ("again", routes[1])];
            let routes =
                routes.map(|(name, workload)| fleet.route_key(name, workload.objective_ms));
            Vm {
                hall: index % HALLS.len(),
                fleet,
                demand: Demand::default(),
                routes,
                for_other_halls: HashSet::new(),
                is_report_due: (false, false),
                idle_since_ms: vec![None; count],
            }
        });
        Model {
            service,
            seed,
            rng: StdRng::seed_from_u64(seed),
            vms: vms.collect(),
            servers: (0..count).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            exchanges: Vec::new(),
            due: BinaryHeap::new(),
            events: Vec::new(),
            figures: Figures::default(),
        }
    }

    /// Returns the load of repeatable or of non-repeatable requests.
    fn workload(&self, is_repeatable: bool) -> &'a Workload {
        if is_repeatable { &self.service.repeatable } else { &self.service.non_repeatable }
    }

    /// Schedules an event.
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.due.push(Reverse((at_ms, self.events.len())));
        self.events.push(Some(event));
    }

    /// Handles one event.
    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrive(is_repeatable) => self.arrive(is_repeatable, now_ms),
            Event::TrySlot(request) => self.try_slot(request, now_ms),
            Event::HedgeCheck(request) => self.check_hedge(request, now_ms),
            Event::ExchangeEnd(exchange) => self.handle_exchange_end(exchange, now_ms),
            Event::Deadline(request) => self.finish_request(request, false, now_ms),
            Event::ReportInHall(vm) => self.report_in_hall(vm, now_ms),
            Event::ReportToOtherHalls(vm) => self.report_to_other_halls(vm, false, now_ms),
            Event::ReceiveReports(vm, from, reports) => {
                for report in reports.iter() {
                    let received = Report { heard_ms: now_ms, ..report.report };
                    self.vms[vm].fleet.report(&report.of, from as u64, received);
                }
            }
        }
    }

    /// Handles the arrival of a request and schedules the next one.
    fn arrive(&mut self, is_repeatable: bool, now_ms: u64) {
        let workload = self.workload(is_repeatable);
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / workload.per_s;
        if now_ms < END_MS {
            // Adding a random fraction before truncation keeps the mean gap exact.
            let fraction = self.rng.random::<f64>();
            self.schedule(now_ms + (gap_ms + fraction) as u64, Event::Arrive(is_repeatable));
        }
        let vm = self.rng.random_range(0..self.vms.len());
        self.vms[vm].demand.note_arrival(now_ms);
        let (exchanges, tried) = (Vec::new(), Vec::new());
        let request =
            Request { vm, is_repeatable, arrived_ms: now_ms, exchanges, tried, is_over: false };
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.schedule(now_ms + workload.timeout_ms, Event::Deadline(index));
        self.try_slot(index, now_ms);
    }

    /// Sends a request to a backend server, or schedules another try if none has a slot.
    fn try_slot(&mut self, index: usize, now_ms: u64) {
        if self.requests[index].is_over {
            return;
        }
        match self.pick(index, now_ms) {
            Some(key) => self.send(index, key, now_ms),
            None => self.schedule(now_ms + SLOT_RETRY_INTERVAL_MS, Event::TrySlot(index)),
        }
    }

    /// Chooses a backend server.
    fn pick(&mut self, index: usize, now_ms: u64) -> Option<BackendKey> {
        let request = &self.requests[index];
        let workload = self.workload(request.is_repeatable);
        let vm_count = self.vms.len() as f64;
        let vm = &self.vms[request.vm];
        let is_repeatable = request.is_repeatable && request.tried.len() + 1 < MAX_ATTEMPTS;
        let pick_request = PickRequest {
            service: "s",
            hall: HALLS[vm.hall],
            is_repeatable,
            tried: &request.tried,
            waited_ms: now_ms - request.arrived_ms,
            far_bytes_cost: workload.bytes as f64 / 1e6 * REQUESTS_PER_MB,
            objective_ms: workload.objective_ms,
            floor_share: FLOOR_SHARE,
            requests_fail: vm.demand.is_failing(is_repeatable, now_ms),
            requests_per_s: vm.demand.per_s(now_ms).map(|per_s| per_s * vm_count),
        };
        choose(&vm.fleet, &pick_request, now_ms, &mut self.rng).map(|pick| pick.key)
    }

    /// Sends a request to a backend server.
    fn send(&mut self, index: usize, key: BackendKey, now_ms: u64) {
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
        self.servers[server].last_request_ms = Some(now_ms);
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
    fn is_sick(&self, server: usize, now_ms: u64) -> bool {
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
        // The sum of twelve uniform draws is nearly normal, with a variance of one.
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let workload = self.workload(is_repeatable);
        (workload.median_ms * (normal * workload.spread).exp()).max(1.0) as u64
    }

    /// Starts, queues or rejects an exchange at its backend server.
    fn start_exchange(&mut self, exchange: usize, now_ms: u64) {
        let Exchange { key, work_ms, .. } = self.exchanges[exchange];
        let server = &mut self.servers[key.0 as usize];
        if server.busy < self.service.slots {
            server.busy += 1;
            self.exchanges[exchange].has_slot = true;
            self.schedule(now_ms + work_ms, Event::ExchangeEnd(exchange));
        } else if server.queue.len() < QUEUE_LIMIT {
            server.queue.push_back(exchange);
        } else {
            self.exchanges[exchange].fails = true;
            self.schedule(now_ms + 1, Event::ExchangeEnd(exchange));
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
        let server = &mut self.servers[key.0 as usize];
        server.queue.retain(|other| *other != index);
        if has_slot {
            server.busy -= 1;
            if let Some(next) = server.queue.pop_front() {
                self.start_exchange(next, now_ms);
            }
        }
    }

    /// Handles the end of an exchange at its backend server.
    fn handle_exchange_end(&mut self, index: usize, now_ms: u64) {
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
    fn finish_request(&mut self, index: usize, is_served: bool, now_ms: u64) {
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

    /// Schedules the next hedge check of a request.
    fn schedule_hedge_check(&mut self, index: usize, now_ms: u64) {
        let flights = self.flights(index);
        let fleet = &self.vms[self.requests[index].vm].fleet;
        let wait_ms = next_hedge_check_ms(fleet, &self.pending(index, &flights), now_ms);
        self.schedule(now_ms + wait_ms, Event::HedgeCheck(index));
    }

    /// Sends a hedge if it is worthwhile.
    fn check_hedge(&mut self, index: usize, now_ms: u64) {
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

    /// Schedules a report of a VM to the VMs of its data hall.
    fn schedule_report(&mut self, vm: usize, now_ms: u64) {
        if !std::mem::replace(&mut self.vms[vm].is_report_due.0, true) {
            self.schedule(now_ms + SAME_HALL_DELAY_MS, Event::ReportInHall(vm));
        }
    }

    /// Sends the new reports of a VM to its data hall, and to the other data halls at once if one is a failure.
    fn report_in_hall(&mut self, vm: usize, now_ms: u64) {
        self.vms[vm].is_report_due.0 = false;
        let (keys, has_failure) = self.vms[vm].fleet.take_unreported();
        let hall = self.vms[vm].hall;
        self.send_reports(vm, &keys, |other| other == hall, now_ms);
        self.vms[vm].for_other_halls.extend(keys);
        if has_failure {
            self.report_to_other_halls(vm, true, now_ms);
        } else if !std::mem::replace(&mut self.vms[vm].is_report_due.1, true) {
            self.schedule(now_ms + OTHER_HALLS_DELAY_MS, Event::ReportToOtherHalls(vm));
        }
    }

    /// Sends the collected reports to the VMs of other data halls.
    ///
    /// A failure goes directly to each VM; other reports go to one VM of each data hall, which relays them.
    fn report_to_other_halls(&mut self, vm: usize, is_direct: bool, now_ms: u64) {
        self.vms[vm].is_report_due.1 = false;
        let mut keys: Vec<BackendKey> = self.vms[vm].for_other_halls.drain().collect();
        keys.sort_unstable();
        let hall = self.vms[vm].hall;
        let receivers = self.send_reports(vm, &keys, |other| other != hall, now_ms);
        let datagrams = if is_direct { receivers } else { receivers.min(HALLS.len() as u64 - 1) };
        let (head, each) = DATAGRAM_BYTES;
        self.figures.report_bytes += datagrams * (head + each * keys.len() as u64);
    }

    /// Sends reports on backend servers to the VMs of some data halls and returns the number of receivers.
    fn send_reports(
        &mut self,
        vm: usize,
        keys: &[BackendKey],
        is_receiver_hall: impl Fn(usize) -> bool,
        now_ms: u64,
    ) -> u64 {
        if keys.is_empty() {
            return 0;
        }
        let reports = std::rc::Rc::new(self.vms[vm].fleet.reports(keys, now_ms));
        let others = (0..self.vms.len())
            .filter(|other| *other != vm && is_receiver_hall(self.vms[*other].hall));
        let others: Vec<usize> = others.collect();
        for other in &others {
            let event = Event::ReceiveReports(*other, vm, std::rc::Rc::clone(&reports));
            self.schedule(now_ms + TRANSIT_MS, event);
        }
        others.len() as u64
    }
}

/// Returns a backend server of the modeled service.
fn backend(index: usize, slots: u32) -> Backend {
    Backend {
        instance: format!("b{index}"),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: HALLS[index % HALLS.len()].into(),
        slots,
        is_leaving: false,
        born_ms: 0,
        cold_left_ms: 0,
    }
}
