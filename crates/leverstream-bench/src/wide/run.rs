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

use super::service::Stream;
use super::{Figures, Service};

/// The data halls.
const HALLS: [&str; 5] = ["h0", "h1", "h2", "h3", "h4"];

/// How long the model warms up, and when requests cease, in milliseconds.
const WARM_UP_MS: u64 = 10_000;

/// When requests cease.
const END_MS: u64 = 30_000;

/// The share of the time in episodes, how long one lasts at least, in milliseconds, and the share that fails in it.
const EPISODES: (f64, u64, f64) = (0.3, 9_000, 0.9);

/// How soon an error comes in an episode, in milliseconds.
const SICK_MS: u64 = 2;

/// The share of the answers of sound backend servers that are errors.
const STRAY_ERRORS: f64 = 0.012;

/// How long news gather for VMs of the same data hall, in milliseconds.
const NEAR_GATHER_MS: u64 = 8;

/// The same for those of other halls; a failure does not wait.
const FAR_GATHER_MS: u64 = 30;

/// How long a datagram is under way.
const TRAVEL_MS: u64 = 1;

/// The bytes of a datagram that do not tell of a backend server, and those that tell of one.
const DATAGRAM_BYTES: (u64, u64) = (80, 40);

/// How long one that waits for a slot waits until it looks again.
const WAIT_MS: u64 = 20;

/// How many requests a backend server queues beyond its slots.
const QUEUE_LIMIT: usize = 12;

/// How long an idle connection is used by a request that runs once, and by one that may run again, in milliseconds.
const IDLE_MS: (u64, u64) = (1_000, 2_800);

/// Over which time it is counted how many backend servers get work.
const IN_USE_MS: u64 = 2_000;

/// The price of a megabyte between halls, in requests served.
const REQUESTS_A_MB: f64 = 10.0;

/// The share of sound backend servers that must have work.
const FLOOR: f64 = 0.73;

/// The most backend servers that a request which may run again runs at.
const ATTEMPTS: usize = 2;

/// Something that is due.
#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a request of a kind.
    Arrive(bool),
    /// A request looks for a slot.
    Try(usize),
    /// It is looked whether a hedge pays.
    Look(usize),
    /// An exchange ends at its backend server.
    Done(usize),
    /// A request's time is over.
    Deadline(usize),
    /// A VM tells those of its data hall what it has gathered.
    TellNear(usize),
    /// A VM tells those of other data halls.
    TellFar(usize),
    /// A VM hears another.
    Hear(usize, usize, std::rc::Rc<Vec<BackendReport>>),
}

/// A VM.
struct Vm {
    /// Its data hall.
    hall: usize,
    /// What it knows of the backend servers.
    fleet: Fleet,
    /// How requests ended.
    demand: Demand,
    /// The routes of requests that run once and that may run again.
    routes: [RouteKey; 2],
    /// What is to be told far.
    for_far: HashSet<BackendKey>,
    /// Whether telling near, and far, is due.
    is_due: (bool, bool),
    /// When it last got an answer from each backend server.
    idle_since_ms: Vec<Option<u64>>,
}

/// A backend server.
#[derive(Default)]
struct Server {
    /// Slots in use.
    busy: u32,
    /// Exchanges that wait for one.
    queue: VecDeque<usize>,
    /// When it last got work.
    worked_ms: Option<u64>,
}

/// A request.
struct Request {
    /// The VM that has it.
    vm: usize,
    /// Whether it may run again.
    is_again: bool,
    /// When it came.
    arrived_ms: u64,
    /// Its exchanges under way.
    exchanges: Vec<usize>,
    /// Where it was sent.
    tried: Vec<BackendKey>,
    /// Whether it has ended.
    is_over: bool,
}

/// A request at a backend server.
struct Exchange {
    /// The request.
    request: usize,
    /// The backend server.
    key: BackendKey,
    /// When it was sent off.
    since_ms: u64,
    /// Whether it fails.
    fails: bool,
    /// How long the work takes.
    work_ms: u64,
    /// Whether it holds a slot.
    has_slot: bool,
    /// Whether it has ended.
    is_over: bool,
}

/// A run under way.
struct Model<'a> {
    /// The service.
    service: &'a Service,
    /// What chance began with.
    seed: u64,
    /// The source of chance.
    rng: StdRng,
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
    events: Vec<Option<Event>>,
    /// What has come of it.
    figures: Figures,
}

/// Runs the model once.
pub fn run(service: &Service, seed: u64) -> Figures {
    let mut model = Model::open(service, seed);
    for is_again in [false, true] {
        if model.stream(is_again).per_s > 0.0 {
            model.push(0, Event::Arrive(is_again));
        }
    }
    while let Some(Reverse((now_ms, index))) = model.due.pop() {
        if let Some(event) = model.events[index].take() {
            model.step(event, now_ms);
        }
    }
    let is_used =
        |server: &&Server| server.worked_ms.is_some_and(|at_ms| at_ms + IN_USE_MS >= END_MS);
    model.figures.in_use = model.servers.iter().filter(is_used).count() as u64;
    model.figures
}

impl<'a> Model<'a> {
    /// A service at rest.
    fn open(service: &'a Service, seed: u64) -> Model<'a> {
        let count = service.backends_a_hall * HALLS.len();
        let vms = (0..service.vms_a_hall * HALLS.len()).map(|index| {
            let mut fleet = Fleet::default();
            (0..count).for_each(|index| {
                fleet.set(backend(index, service.slots), 1, 0);
            });
            let routes = [service.once, service.again];
            let routes = [("once", routes[0]), ("again", routes[1])];
            let routes = routes.map(|(name, stream)| fleet.route_key(name, stream.objective_ms));
            Vm {
                hall: index % HALLS.len(),
                fleet,
                demand: Demand::default(),
                routes,
                for_far: HashSet::new(),
                is_due: (false, false),
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

    /// Requests of one kind.
    fn stream(&self, is_again: bool) -> &'a Stream {
        if is_again { &self.service.again } else { &self.service.once }
    }

    /// Makes an event due.
    fn push(&mut self, at_ms: u64, event: Event) {
        self.due.push(Reverse((at_ms, self.events.len())));
        self.events.push(Some(event));
    }

    /// Takes one event in.
    fn step(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrive(is_again) => self.arrive(is_again, now_ms),
            Event::Try(request) => self.try_slot(request, now_ms),
            Event::Look(request) => self.look(request, now_ms),
            Event::Done(exchange) => self.done(exchange, now_ms),
            Event::Deadline(request) => self.finish(request, false, now_ms),
            Event::TellNear(vm) => self.tell_near(vm, now_ms),
            Event::TellFar(vm) => self.tell_far(vm, false, now_ms),
            Event::Hear(vm, from, reports) => {
                for report in reports.iter() {
                    let told = Report { heard_ms: now_ms, ..report.report };
                    self.vms[vm].fleet.report(&report.of, from as u64, told);
                }
            }
        }
    }

    /// Takes a request in, and makes the next one due.
    fn arrive(&mut self, is_again: bool, now_ms: u64) {
        let stream = self.stream(is_again);
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() * 1_000.0 / stream.per_s;
        if now_ms < END_MS {
            // What is lost by rounding is made up for by chance.
            let part = self.rng.random::<f64>();
            self.push(now_ms + (gap_ms + part) as u64, Event::Arrive(is_again));
        }
        let vm = self.rng.random_range(0..self.vms.len());
        self.vms[vm].demand.note_arrival(now_ms);
        let (exchanges, tried) = (Vec::new(), Vec::new());
        let request =
            Request { vm, is_again, arrived_ms: now_ms, exchanges, tried, is_over: false };
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.push(now_ms + stream.timeout_ms, Event::Deadline(index));
        self.try_slot(index, now_ms);
    }

    /// Sends a request to a backend server, or lets it wait.
    fn try_slot(&mut self, index: usize, now_ms: u64) {
        if self.requests[index].is_over {
            return;
        }
        match self.pick(index, now_ms) {
            Some(key) => self.send(index, key, now_ms),
            None => self.push(now_ms + WAIT_MS, Event::Try(index)),
        }
    }

    /// Chooses a backend server.
    fn pick(&mut self, index: usize, now_ms: u64) -> Option<BackendKey> {
        let request = &self.requests[index];
        let stream = self.stream(request.is_again);
        let entry_vms = self.vms.len() as f64;
        let vm = &self.vms[request.vm];
        let is_repeatable = request.is_again && request.tried.len() + 1 < ATTEMPTS;
        let want = PickRequest {
            service: "s",
            hall: HALLS[vm.hall],
            is_repeatable,
            tried: &request.tried,
            waited_ms: now_ms - request.arrived_ms,
            far_bytes_cost: stream.bytes as f64 / 1e6 * REQUESTS_A_MB,
            objective_ms: stream.objective_ms,
            floor_share: FLOOR,
            requests_fail: vm.demand.is_failing(is_repeatable, now_ms),
            requests_per_s: vm.demand.per_s(now_ms).map(|per_s| per_s * entry_vms),
        };
        choose(&vm.fleet, &want, now_ms, &mut self.rng).map(|pick| pick.key)
    }

    /// Sends a request to a backend server.
    fn send(&mut self, index: usize, key: BackendKey, now_ms: u64) {
        let server = key.0 as usize;
        let (vm, is_again) = (self.requests[index].vm, self.requests[index].is_again);
        let is_sick = self.is_sick(server, now_ms);
        let fails_at = if is_sick { EPISODES.2 } else { STRAY_ERRORS };
        let fails = self.rng.random::<f64>() < fails_at;
        let work_ms = if is_sick && fails { SICK_MS } else { self.work_ms(is_again) };
        if self.requests[index].arrived_ms >= WARM_UP_MS {
            self.count_send(vm, server, is_again, now_ms);
        }
        self.vms[vm].idle_since_ms[server] = None;
        self.servers[server].worked_ms = Some(now_ms);
        let (since_ms, has_slot, is_over) = (now_ms, false, false);
        let exchange =
            Exchange { request: index, key, since_ms, fails, work_ms, has_slot, is_over };
        self.exchanges.push(exchange);
        let exchange = self.exchanges.len() - 1;
        let request = &mut self.requests[index];
        request.exchanges.push(exchange);
        request.tried.push(key);
        let route = self.vms[vm].routes[usize::from(is_again)];
        self.vms[vm].fleet.begin_request(key, route, now_ms);
        self.vms[vm].fleet.note_reached(key, now_ms);
        self.gather(vm, now_ms);
        self.enter(exchange, now_ms);
        if is_again {
            self.push_look(index, now_ms);
        }
    }

    /// Counts a request that is sent.
    fn count_send(&mut self, vm: usize, server: usize, is_again: bool, now_ms: u64) {
        let keeps_ms = if is_again { IDLE_MS.1 } else { IDLE_MS.0 };
        let idle = self.vms[vm].idle_since_ms[server];
        let is_reused = idle.is_some_and(|since_ms| now_ms - since_ms < keeps_ms);
        self.figures.sends += 1;
        self.figures.opened += u64::from(!is_reused);
        self.figures.far += u64::from(server % HALLS.len() != self.vms[vm].hall);
    }

    /// Tells whether a backend server is in an episode.
    fn is_sick(&self, server: usize, now_ms: u64) -> bool {
        let (share, turn_ms, _) = EPISODES;
        let chance = |of: u64| {
            let mut hasher = DefaultHasher::new();
            (self.seed, server, of).hash(&mut hasher);
            hasher.finish() as f64 / u64::MAX as f64
        };
        let phase_ms = (chance(u64::MAX) * turn_ms as f64) as u64;
        chance((now_ms + phase_ms) / turn_ms) < share
    }

    /// How long an exchange's work takes, in milliseconds.
    fn work_ms(&mut self, is_again: bool) -> u64 {
        // The sum of twelve draws is nearly normal, with a variance of one.
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let stream = self.stream(is_again);
        (stream.median_ms * (normal * stream.spread).exp()).max(1.0) as u64
    }

    /// Has a backend server begin an exchange, or queue it.
    fn enter(&mut self, exchange: usize, now_ms: u64) {
        let Exchange { key, work_ms, .. } = self.exchanges[exchange];
        let server = &mut self.servers[key.0 as usize];
        if server.busy < self.service.slots {
            server.busy += 1;
            self.exchanges[exchange].has_slot = true;
            self.push(now_ms + work_ms, Event::Done(exchange));
        } else if server.queue.len() < QUEUE_LIMIT {
            server.queue.push_back(exchange);
        } else {
            self.exchanges[exchange].fails = true;
            self.push(now_ms + 1, Event::Done(exchange));
        }
    }

    /// Ends an exchange, whose slot goes to the next one.
    fn leave(&mut self, index: usize, outcome: Outcome, now_ms: u64) {
        let exchange = &mut self.exchanges[index];
        if std::mem::replace(&mut exchange.is_over, true) {
            return;
        }
        let Exchange { request, key, since_ms, has_slot, .. } = *exchange;
        let Request { vm, is_again, .. } = self.requests[request];
        let route = self.vms[vm].routes[usize::from(is_again)];
        self.vms[vm].fleet.end_request(key, since_ms, route, outcome, now_ms);
        self.vms[vm].idle_since_ms[key.0 as usize] = Some(now_ms);
        self.gather(vm, now_ms);
        self.requests[request].exchanges.retain(|other| *other != index);
        if outcome == Outcome::Bad {
            self.tell_near(vm, now_ms);
        }
        let server = &mut self.servers[key.0 as usize];
        server.queue.retain(|other| *other != index);
        if has_slot {
            server.busy -= 1;
            if let Some(next) = server.queue.pop_front() {
                self.enter(next, now_ms);
            }
        }
    }

    /// Takes the end of an exchange in.
    fn done(&mut self, index: usize, now_ms: u64) {
        let Exchange { request, since_ms, fails, is_over, .. } = self.exchanges[index];
        if is_over {
            return;
        }
        if !fails {
            let bytes = self.stream(self.requests[request].is_again).bytes;
            let time_ms = (now_ms - since_ms) as f64;
            self.leave(index, Outcome::Good { time_ms, bytes }, now_ms);
            self.finish(request, true, now_ms);
            return;
        }
        self.leave(index, Outcome::Bad, now_ms);
        let Request { is_again, exchanges, tried, .. } = &self.requests[request];
        if !exchanges.is_empty() {
            return;
        }
        if *is_again && tried.len() < ATTEMPTS {
            self.try_slot(request, now_ms);
        } else {
            self.finish(request, false, now_ms);
        }
    }

    /// Ends a request for good.
    fn finish(&mut self, index: usize, is_served: bool, now_ms: u64) {
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.is_over, true) {
            return;
        }
        let (vm, is_again, took_ms) = (request.vm, request.is_again, now_ms - request.arrived_ms);
        let is_counted = request.arrived_ms >= WARM_UP_MS;
        for exchange in std::mem::take(&mut request.exchanges) {
            let outcome = if is_served { Outcome::Abandoned } else { Outcome::Expired };
            self.leave(exchange, outcome, now_ms);
        }
        self.vms[vm].demand.note_end(is_served, now_ms);
        if !is_counted {
            return;
        }
        let is_late = is_served && took_ms > self.stream(is_again).objective_ms;
        let figures = &mut self.figures;
        figures.late += u64::from(is_late);
        let (count, failed) = match is_again {
            true => (&mut figures.again, &mut figures.again_failed),
            false => (&mut figures.once, &mut figures.once_failed),
        };
        *count += 1;
        *failed += u64::from(!is_served);
        if is_served && !is_again {
            figures.once_ms.push(took_ms);
        }
    }

    /// Makes the next look at a request due.
    fn push_look(&mut self, index: usize, now_ms: u64) {
        let flights = self.flights(index);
        let fleet = &self.vms[self.requests[index].vm].fleet;
        let wait_ms = next_hedge_check_ms(fleet, &self.pending(index, &flights), now_ms);
        self.push(now_ms + wait_ms, Event::Look(index));
    }

    /// Asks a second backend server if that pays.
    fn look(&mut self, index: usize, now_ms: u64) {
        let request = &self.requests[index];
        if request.is_over || request.exchanges.is_empty() || request.tried.len() >= ATTEMPTS {
            return;
        }
        let flights = self.flights(index);
        let fleet = &self.vms[request.vm].fleet;
        let gain = hedge_gain(fleet, &self.pending(index, &flights), now_ms);
        match is_hedge_worthwhile(gain, 0.0).then(|| self.pick(index, now_ms)).flatten() {
            Some(key) => self.send(index, key, now_ms),
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
        let Request { vm, is_again, arrived_ms, .. } = self.requests[index];
        let stream = self.stream(is_again);
        PendingRequest {
            route: self.vms[vm].routes[usize::from(is_again)],
            sends_in_flight,
            on_time_ms: arrived_ms + stream.objective_ms,
            deadline_ms: arrived_ms + stream.timeout_ms,
        }
    }

    /// Has a VM tell others soon.
    fn gather(&mut self, vm: usize, now_ms: u64) {
        if !std::mem::replace(&mut self.vms[vm].is_due.0, true) {
            self.push(now_ms + NEAR_GATHER_MS, Event::TellNear(vm));
        }
    }

    /// Tells the VMs of the same data hall what is new, the others of failures.
    fn tell_near(&mut self, vm: usize, now_ms: u64) {
        self.vms[vm].is_due.0 = false;
        let (keys, has_failure) = self.vms[vm].fleet.take_unreported();
        let hall = self.vms[vm].hall;
        self.tell(vm, &keys, |other| other == hall, now_ms);
        self.vms[vm].for_far.extend(keys);
        if has_failure {
            self.tell_far(vm, true, now_ms);
        } else if !std::mem::replace(&mut self.vms[vm].is_due.1, true) {
            self.push(now_ms + FAR_GATHER_MS, Event::TellFar(vm));
        }
    }

    /// Tells the VMs of other data halls what is new: each itself of a failure, else one of each hall, which tells the others.
    fn tell_far(&mut self, vm: usize, is_direct: bool, now_ms: u64) {
        self.vms[vm].is_due.1 = false;
        let mut keys: Vec<BackendKey> = self.vms[vm].for_far.drain().collect();
        keys.sort_unstable();
        let hall = self.vms[vm].hall;
        let told = self.tell(vm, &keys, |other| other != hall, now_ms);
        let datagrams = if is_direct { told } else { told.min(HALLS.len() as u64 - 1) };
        let (head, each) = DATAGRAM_BYTES;
        self.figures.told_bytes += datagrams * (head + each * keys.len() as u64);
    }

    /// Tells VMs of some data halls of backend servers; returns how many.
    fn tell(
        &mut self,
        vm: usize,
        keys: &[BackendKey],
        is_told: impl Fn(usize) -> bool,
        now_ms: u64,
    ) -> u64 {
        if keys.is_empty() {
            return 0;
        }
        let reports = std::rc::Rc::new(self.vms[vm].fleet.reports(keys, now_ms));
        let others =
            (0..self.vms.len()).filter(|other| *other != vm && is_told(self.vms[*other].hall));
        let others: Vec<usize> = others.collect();
        for other in &others {
            let hear = Event::Hear(*other, vm, std::rc::Rc::clone(&reports));
            self.push(now_ms + TRAVEL_MS, hear);
        }
        others.len() as u64
    }
}

/// A backend server of the modelled service.
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
