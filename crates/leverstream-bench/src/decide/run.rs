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

use super::fault::{Course, FAULTS_MS, WARM_UP_MS};
use super::state::{Event, Exchange, Request, Server, Vm};
use super::{Fault, Figures, Policy, Shape};

/// The VMs, one a data hall.
const VMS: usize = 3;

/// The names of the data halls.
const HALLS: [&str; VMS] = ["h1", "h2", "h3"];

/// When a run ends: some time after the faults, so that the last requests end.
const END_MS: u64 = WARM_UP_MS + FAULTS_MS + 5_000;

/// How often VMs look what is due, in milliseconds.
const TICK_MS: u64 = 10;

/// How long news gather, and how long they travel to another data hall, in milliseconds.
const GATHER_MS: u64 = 30;

/// The same, under way.
const TRAVEL_MS: u64 = 2;

/// How often one that waits for a slot looks again, in milliseconds.
const WAIT_MS: u64 = 20;

/// How many requests a backend server queues beyond its slots.
const QUEUE_LIMIT: usize = 8;

/// The most backend servers that one request may run at, if it may be repeated.
const ATTEMPTS: usize = 2;

/// How many times a request may be turned away unrun.
const SHED_LIMIT: u32 = 3;

/// The price of a megabyte between halls, in requests served.
const REQUESTS_A_MB: f64 = 10.0;

/// The share of sound backend servers that must have work.
const FLOOR: f64 = 0.73;

/// How often it is counted which backend servers are avoided, in milliseconds.
const COUNT_MS: u64 = 100;

/// Failures in a row after which the baseline leaves a backend server out, and for how long.
const ROW: (u32, u64) = (3, 10_000);

/// A run under way.
struct Model<'a> {
    /// The service.
    shape: &'a Shape,
    /// What goes wrong.
    fault: &'a Fault,
    /// How VMs choose.
    policy: Policy,
    /// What chance begins with.
    seed: u64,
    /// The source of chance.
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
    /// When each event is due, the earliest first.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    /// The events.
    events: Vec<Event>,
    /// What has come of it.
    figures: Figures,
    /// Whose turn it is, for the baseline.
    turn: usize,
}

/// Runs the model once.
pub fn run(shape: &Shape, fault: &Fault, policy: Policy, seed: u64) -> Figures {
    let mut model = Model::open(shape, fault, policy, seed);
    model.push(0, Event::Arrive);
    model.push(0, Event::Tick);
    while let Some(Reverse((now_ms, index))) = model.due.pop() {
        if now_ms >= END_MS {
            break;
        }
        let event = std::mem::replace(&mut model.events[index], Event::Tick);
        model.step(event, now_ms);
    }
    model.figures
}

impl<'a> Model<'a> {
    /// A service at rest.
    fn open(shape: &'a Shape, fault: &'a Fault, policy: Policy, seed: u64) -> Model<'a> {
        let halls: Vec<usize> =
            (0..VMS).flat_map(|hall| std::iter::repeat_n(hall, shape.halls[hall])).collect();
        let mut route = None;
        let vms = (0..VMS).map(|_| {
            let mut fleet = Fleet::default();
            for (index, hall) in halls.iter().enumerate() {
                fleet.set(backend(index, *hall, shape.slots), 1, 0);
            }
            route = Some(fleet.route_key("r", shape.objective_ms));
            Vm {
                fleet,
                demand: Demand::default(),
                unreported: BTreeSet::new(),
                told_ms: 0,
                in_flight: vec![0; halls.len()],
                rows: vec![(0, 0); halls.len()],
                avoided: vec![false; halls.len()],
            }
        });
        let vms: Vec<Vm> = vms.collect();
        Model {
            shape,
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
            figures: Figures { least_capacity: 1.0, ..Figures::default() },
            turn: 0,
        }
    }

    /// Makes an event due.
    fn push(&mut self, at_ms: u64, event: Event) {
        self.due.push(Reverse((at_ms, self.events.len())));
        self.events.push(event);
    }

    /// Takes one event in.
    fn step(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrive => self.arrive(now_ms),
            Event::Try(request) => self.try_slot(request, now_ms),
            Event::Done(exchange) => self.done(exchange, now_ms),
            Event::Look(request) => self.look(request, now_ms),
            Event::Deadline(request) => self.give_up(request, now_ms),
            Event::Tick => self.tick(now_ms),
            Event::Hear(vm, from, reports) => {
                for report in reports {
                    let told = Report { heard_ms: now_ms, ..report.report };
                    self.vms[vm].fleet.report(&report.of, from as u64, told);
                }
            }
        }
    }

    /// Takes a request in, and makes the next one due.
    fn arrive(&mut self, now_ms: u64) {
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / self.shape.rate_per_s;
        if now_ms < WARM_UP_MS + FAULTS_MS {
            self.push(now_ms + gap_ms.round().max(1.0) as u64, Event::Arrive);
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
        self.push(now_ms + self.shape.timeout_ms, Event::Deadline(index));
        self.try_slot(index, now_ms);
    }

    /// Sends a request to a backend server, or lets it wait.
    fn try_slot(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        if request.is_over {
            return;
        }
        let waited_ms = now_ms - request.arrived_ms;
        match self.pick(index, waited_ms, now_ms) {
            Some(key) => self.send(index, key, now_ms),
            None => self.push(now_ms + WAIT_MS, Event::Try(index)),
        }
    }

    /// Chooses a backend server by the policy.
    fn pick(&mut self, index: usize, waited_ms: u64, now_ms: u64) -> Option<BackendKey> {
        let request = &self.requests[index];
        let vm = &self.vms[request.vm];
        let slots = self.shape.slots;
        let fits = |server: &usize| {
            vm.in_flight[*server] < slots && !request.tried.contains(&BackendKey(*server as u32))
        };
        let free: Vec<usize> = (0..self.servers.len()).filter(fits).collect();
        let least = |servers: &[usize], rng: &mut StdRng| {
            let least = servers.iter().map(|server| vm.in_flight[*server]).min()?;
            let equal: Vec<usize> =
                servers.iter().copied().filter(|server| vm.in_flight[*server] == least).collect();
            Some(equal[rng.random_range(0..equal.len())])
        };
        let chosen = match self.policy {
            Policy::Shipped => {
                let want = PickRequest {
                    service: "s",
                    hall: HALLS[request.vm],
                    is_repeatable: self.shape.is_repeatable,
                    tried: &request.tried,
                    waited_ms,
                    far_bytes_cost: self.shape.bytes as f64 / 1e6 * REQUESTS_A_MB,
                    objective_ms: self.shape.objective_ms,
                    floor_share: FLOOR,
                    requests_fail: vm.demand.is_failing(self.shape.is_repeatable, now_ms),
                    requests_per_s: vm.demand.per_s(now_ms).map(|per_s| per_s * VMS as f64),
                };
                return choose(&vm.fleet, &want, now_ms, &mut self.rng).map(|pick| pick.key);
            }
            Policy::RoundRobin => {
                self.turn += 1;
                (!free.is_empty()).then(|| free[self.turn % free.len()])
            }
            Policy::LeastInFlight => least(&free, &mut self.rng),
            Policy::TwoChoices if free.is_empty() => None,
            Policy::TwoChoices => {
                let one = free[self.rng.random_range(0..free.len())];
                let other = free[self.rng.random_range(0..free.len())];
                least(&[one, other], &mut self.rng)
            }
            Policy::FailuresInARow => {
                let in_use: Vec<usize> =
                    free.iter().copied().filter(|server| vm.rows[*server].1 <= now_ms).collect();
                least(if in_use.is_empty() { &free } else { &in_use }, &mut self.rng)
            }
        };
        chosen.map(|server| BackendKey(server as u32))
    }

    /// Sends a request to a backend server.
    fn send(&mut self, index: usize, key: BackendKey, now_ms: u64) {
        let server = key.0 as usize;
        let vm = self.requests[index].vm;
        let is_sick = self.is_sick(server, now_ms) && !(self.fault.is_partial && vm != 0);
        let course = self.fault.course(is_sick, vm, &mut self.rng);
        let work_ms = self.work_ms(course);
        if is_sick {
            self.figures.given += 1;
            self.servers[server].onset.give(now_ms);
        }
        if self.servers[server].hall != vm {
            self.figures.far_bytes += self.shape.bytes as u64;
        }
        let (has_slot, is_over) = (false, false);
        self.exchanges.push(Exchange {
            request: index,
            key,
            since_ms: now_ms,
            course,
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
        self.enter(exchange, now_ms);
        if self.shape.is_repeatable {
            self.push_look(index, now_ms);
        }
    }

    /// How long an exchange's work takes, in milliseconds.
    fn work_ms(&mut self, course: Course) -> u64 {
        // The sum of twelve draws is nearly normal, with a variance of one.
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let usual_ms = self.shape.median_ms * (normal * self.shape.spread).exp();
        match course {
            Course::Answer(times) => (usual_ms * times).max(1.0) as u64,
            Course::Failure => (usual_ms / 2.0).max(1.0) as u64,
            Course::Shed => 1,
            Course::Silence => u64::MAX,
        }
    }

    /// Lets an exchange into its backend server.
    fn enter(&mut self, exchange: usize, now_ms: u64) {
        let Exchange { key, course, work_ms, .. } = self.exchanges[exchange];
        let server = &mut self.servers[key.0 as usize];
        if course == Course::Shed || server.queue.len() >= QUEUE_LIMIT {
            self.exchanges[exchange].course = Course::Shed;
            self.push(now_ms + 1, Event::Done(exchange));
        } else if server.busy >= self.shape.slots {
            server.queue.push_back(exchange);
        } else {
            server.busy += 1;
            self.exchanges[exchange].has_slot = true;
            if course != Course::Silence {
                self.push(now_ms + work_ms, Event::Done(exchange));
            }
        }
    }

    /// Ends an exchange, whose slot goes to the next one.
    fn leave(&mut self, exchange: usize, outcome: Outcome, now_ms: u64) {
        let Exchange { request, key, since_ms, has_slot, is_over, .. } = self.exchanges[exchange];
        if is_over {
            return;
        }
        self.exchanges[exchange].is_over = true;
        let index = key.0 as usize;
        let vm = &mut self.vms[self.requests[request].vm];
        vm.fleet.end_request(key, since_ms, self.route, outcome, now_ms);
        vm.in_flight[index] -= 1;
        let row = &mut vm.rows[index];
        match outcome {
            Outcome::Bad => row.0 += 1,
            Outcome::Good { .. } => row.0 = 0,
            Outcome::Abandoned | Outcome::Neutral | Outcome::Expired => {}
        }
        if row.0 >= ROW.0 {
            *row = (0, now_ms + ROW.1);
        }
        self.requests[request].exchanges.retain(|other| *other != exchange);
        let server = &mut self.servers[index];
        server.queue.retain(|other| *other != exchange);
        if has_slot {
            server.busy -= 1;
            if let Some(next) = server.queue.pop_front() {
                self.enter(next, now_ms);
            }
        }
    }

    /// Takes the end of an exchange in.
    fn done(&mut self, exchange: usize, now_ms: u64) {
        let Exchange { request: index, since_ms, course, is_over, .. } = self.exchanges[exchange];
        if is_over {
            return;
        }
        let time_ms = (now_ms - since_ms) as f64;
        let bytes = self.shape.bytes;
        match course {
            Course::Answer(_) => {
                self.leave(exchange, Outcome::Good { time_ms, bytes }, now_ms);
                self.finish(index, true, now_ms);
            }
            Course::Shed => {
                self.leave(exchange, Outcome::Bad, now_ms);
                self.requests[index].sheds += 1;
                self.go_on(index, now_ms);
            }
            Course::Failure | Course::Silence => {
                self.leave(exchange, Outcome::Bad, now_ms);
                self.requests[index].ran += 1;
                self.go_on(index, now_ms);
            }
        }
    }

    /// Sends a request again after a failure, if it may be, or ends it.
    fn go_on(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        let attempts = if self.shape.is_repeatable { ATTEMPTS } else { 1 };
        if !request.exchanges.is_empty() {
            return;
        }
        if request.ran < attempts && request.sheds <= SHED_LIMIT {
            self.try_slot(index, now_ms);
        } else {
            self.finish(index, false, now_ms);
        }
    }

    /// Ends a request for good.
    fn finish(&mut self, index: usize, is_served: bool, now_ms: u64) {
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.is_over, true) {
            return;
        }
        let (vm, arrived_ms) = (request.vm, request.arrived_ms);
        for exchange in std::mem::take(&mut request.exchanges) {
            let outcome = if is_served { Outcome::Abandoned } else { Outcome::Bad };
            self.leave(exchange, outcome, now_ms);
        }
        self.vms[vm].demand.note_end(is_served, now_ms);
        if arrived_ms < WARM_UP_MS {
            return;
        }
        self.figures.requests += 1;
        self.figures.failed += u64::from(!is_served);
        let is_late = is_served && now_ms - arrived_ms > self.shape.objective_ms;
        self.figures.late += u64::from(is_late);
    }

    /// Ends a request whose time is over.
    fn give_up(&mut self, index: usize, now_ms: u64) {
        self.finish(index, false, now_ms);
    }

    /// Makes the next look at a request due.
    fn push_look(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        let flights = self.flights(index);
        let pending = self.pending(index, &flights);
        let wait_ms = next_hedge_check_ms(&self.vms[request.vm].fleet, &pending, now_ms);
        self.push(now_ms + wait_ms, Event::Look(index));
    }

    /// Asks a second backend server if that pays.
    fn look(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        let may_hedge = request.exchanges.len() + request.ran < ATTEMPTS;
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
            None => self.push_look(index, now_ms),
        }
    }

    /// Where a request is under way, and since when.
    fn flights(&self, index: usize) -> Vec<(BackendKey, u64)> {
        let exchanges = self.requests[index].exchanges.iter();
        exchanges.map(|at| (self.exchanges[*at].key, self.exchanges[*at].since_ms)).collect()
    }

    /// A request as the rule of hedges sees it.
    fn pending<'b>(
        &self,
        index: usize,
        sends_in_flight: &'b [(BackendKey, u64)],
    ) -> PendingRequest<'b> {
        let arrived_ms = self.requests[index].arrived_ms;
        PendingRequest {
            route: self.route,
            sends_in_flight,
            on_time_ms: arrived_ms + self.shape.objective_ms,
            deadline_ms: arrived_ms + self.shape.timeout_ms,
        }
    }

    /// Tells whether a backend server is sick.
    fn is_sick(&self, server: usize, now_ms: u64) -> bool {
        self.fault.is_sick(server, self.servers.len(), self.seed, now_ms)
    }

    /// Does what is due at all VMs.
    fn tick(&mut self, now_ms: u64) {
        self.push(now_ms + TICK_MS, Event::Tick);
        for vm in 0..VMS {
            self.tell(vm, now_ms);
        }
        for server in 0..self.servers.len() {
            let is_sick = self.is_sick(server, now_ms);
            let state = &mut self.servers[server];
            let was_sick = std::mem::replace(&mut state.was_sick, is_sick);
            let found = state.onset.look(is_sick, was_sick, now_ms);
            self.figures.detection_ms.extend(found);
        }
        if now_ms.is_multiple_of(COUNT_MS) && now_ms >= WARM_UP_MS {
            (0..VMS).for_each(|vm| self.count_avoided(vm, now_ms));
        }
    }

    /// Tells the other VMs what one has seen, failures at once.
    fn tell(&mut self, vm: usize, now_ms: u64) {
        let state = &mut self.vms[vm];
        state.fleet.note_overdue(now_ms);
        let (keys, has_failure) = state.fleet.take_unreported();
        state.unreported.extend(keys.iter().map(|key| key.0));
        let is_due = has_failure || now_ms - state.told_ms >= GATHER_MS;
        if !is_due || state.unreported.is_empty() {
            return;
        }
        state.told_ms = now_ms;
        let keys: Vec<BackendKey> =
            std::mem::take(&mut state.unreported).into_iter().map(BackendKey).collect();
        let reports = state.fleet.reports(&keys, now_ms);
        for other in (0..VMS).filter(|other| *other != vm) {
            self.push(now_ms + TRAVEL_MS, Event::Hear(other, vm, reports.clone()));
        }
    }

    /// Counts which backend servers a VM has begun to avoid although they are sound for it.
    fn count_avoided(&mut self, vm: usize, now_ms: u64) {
        let asker = RequestOrigin { hall: HALLS[vm], far_cost: 0.2, tried: &[] };
        let (mut sound, mut in_use) = (0_u32, 0_u32);
        for server in 0..self.servers.len() {
            let state = &self.vms[vm];
            let is_avoided = match self.policy {
                Policy::Shipped => {
                    let choice = state.fleet.choice(BackendKey(server as u32), &asker, now_ms);
                    choice.is_avoided(self.shape.is_repeatable)
                }
                Policy::FailuresInARow => state.rows[server].1 > now_ms,
                _ => false,
            };
            let is_sick = self.is_sick(server, now_ms) && !(self.fault.is_partial && vm != 0);
            let was_avoided = std::mem::replace(&mut self.vms[vm].avoided[server], is_avoided);
            if !is_sick {
                sound += 1;
                in_use += u32::from(!is_avoided);
                self.figures.false_ejections += u64::from(is_avoided && !was_avoided);
            }
        }
        if sound > 0 {
            let share = f64::from(in_use) / f64::from(sound);
            self.figures.least_capacity = self.figures.least_capacity.min(share);
        }
    }
}

/// A backend server of the modelled service.
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
