//! Runs the model: requests, exchanges and reports between VMs.

mod exchanges;
mod hedges;
mod idle;
mod reports;

use std::collections::HashSet;

use leverstream_core::{Demand, Fleet, PickRequest, choose};
use leverstream_health::BackendKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::service::Workload;
use super::state::{Event, Exchange, Request, Server, Vm};
use super::{Figures, Service};
use crate::model::{
    EventQueue, FLOOR_SHARE, MAX_ATTEMPTS, SLOT_RETRY_INTERVAL_MS, apply_reports, backend,
    draw_gap_ms, far_bytes_cost,
};

/// The names of the data halls.
const HALLS: [&str; 5] = ["h0", "h1", "h2", "h3", "h4"];

/// Warm-up time, in milliseconds; earlier requests aren't counted.
const WARM_UP_MS: u64 = 10_000;

/// Time of the last arrivals, in milliseconds.
const END_MS: u64 = 30_000;

/// Window before the end in which a backend server in use has received a request, in milliseconds.
const IN_USE_WINDOW_MS: u64 = 2_000;

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
    /// The scheduled events.
    events: EventQueue<Event>,
    /// The results so far.
    figures: Figures,
}

/// Runs the model once and returns its results.
pub fn run(service: &Service, seed: u64) -> Figures {
    let mut model = Model::new(service, seed);
    for is_repeatable in [false, true] {
        if model.workload(is_repeatable).per_s > 0.0 {
            model.events.schedule(0, Event::Arrive(is_repeatable));
        }
    }
    while let Some((now_ms, event)) = model.events.pop() {
        model.handle(event, now_ms);
    }
    let is_used = |server: &&Server| {
        server.requests_ms.last().is_some_and(|at_ms| at_ms + IN_USE_WINDOW_MS >= END_MS)
    };
    model.figures.in_use = model.servers.iter().filter(is_used).count() as u64;
    let (worst, mean) = model.idle_shares();
    Figures { worst_idle_share: worst, mean_idle_share: mean, ..model.figures }
}

impl<'a> Model<'a> {
    /// Creates a model without requests.
    fn new(service: &'a Service, seed: u64) -> Model<'a> {
        let count = service.backends_per_hall * HALLS.len();
        let vms = (0..service.vms_per_hall * HALLS.len()).map(|index| {
            let mut fleet = Fleet::default();
            (0..count).for_each(|index| {
                fleet.set(backend(index, HALLS[index % HALLS.len()], service.slots), 1, 0);
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
            events: EventQueue::default(),
            figures: Figures::default(),
        }
    }

    /// Returns the load of repeatable or of non-repeatable requests.
    fn workload(&self, is_repeatable: bool) -> &'a Workload {
        if is_repeatable { &self.service.repeatable } else { &self.service.non_repeatable }
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
                apply_reports(&mut self.vms[vm].fleet, from, &reports, now_ms);
            }
        }
    }

    /// Handles the arrival of a request and schedules the next one.
    fn arrive(&mut self, is_repeatable: bool, now_ms: u64) {
        let workload = self.workload(is_repeatable);
        let gap_ms = draw_gap_ms(workload.per_s, &mut self.rng);
        if now_ms < END_MS {
            // Adding a random fraction before truncation keeps the mean gap exact.
            let fraction = self.rng.random::<f64>();
            self.events.schedule(now_ms + (gap_ms + fraction) as u64, Event::Arrive(is_repeatable));
        }
        let vm = self.rng.random_range(0..self.vms.len());
        self.vms[vm].demand.note_arrival(now_ms);
        let (exchanges, tried) = (Vec::new(), Vec::new());
        let request =
            Request { vm, is_repeatable, arrived_ms: now_ms, exchanges, tried, is_over: false };
        self.requests.push(request);
        let index = self.requests.len() - 1;
        self.events.schedule(now_ms + workload.timeout_ms, Event::Deadline(index));
        self.try_slot(index, now_ms);
    }

    /// Sends a request to a backend server, or schedules another try if none has a slot.
    fn try_slot(&mut self, index: usize, now_ms: u64) {
        if self.requests[index].is_over {
            return;
        }
        match self.pick(index, now_ms) {
            Some(key) => self.send(index, key, now_ms),
            None => self.events.schedule(now_ms + SLOT_RETRY_INTERVAL_MS, Event::TrySlot(index)),
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
            far_bytes_cost: far_bytes_cost(workload.bytes),
            objective_ms: workload.objective_ms,
            floor_share: FLOOR_SHARE,
            requests_fail: vm.demand.is_failing(is_repeatable, now_ms),
            requests_per_s: vm.demand.per_s(now_ms).map(|per_s| per_s * vm_count),
            is_spared: false,
            vm: request.vm as u64,
        };
        choose(&vm.fleet, &pick_request, now_ms, &mut self.rng).map(|pick| pick.key)
    }
}
