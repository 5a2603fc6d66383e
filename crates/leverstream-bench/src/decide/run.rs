//! Runs the model: requests, exchanges, reports between VMs and measurements.

mod exchanges;
mod hedges;
mod pick;
mod tick;

use std::collections::BTreeSet;

use leverstream_core::{Demand, Fleet, RouteKey};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fault::{FAULTS_MS, WARM_UP_MS};
use super::state::{Event, Exchange, Request, Server, Vm};
use super::{Fault, Figures, Policy, Service};
use crate::model::{EventQueue, SLOT_RETRY_INTERVAL_MS, apply_reports, backend, draw_gap_ms};

/// Number of VMs, one per data hall.
const VMS: usize = 3;

/// The names of the data halls.
const HALLS: [&str; VMS] = ["h1", "h2", "h3"];

/// End of a run, long enough after the fault for the last requests to end.
const END_MS: u64 = WARM_UP_MS + FAULTS_MS + 5_000;

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
    /// The scheduled events.
    events: EventQueue<Event>,
    /// The results so far.
    figures: Figures,
    /// Counter of the round-robin baseline.
    round_robin_count: usize,
}

/// Runs the model once and returns its results.
pub fn run(service: &Service, fault: &Fault, policy: Policy, seed: u64) -> Figures {
    let mut model = Model::new(service, fault, policy, seed);
    model.events.schedule(0, Event::Arrive);
    model.events.schedule(0, Event::Tick);
    while let Some((now_ms, event)) = model.events.pop() {
        if now_ms >= END_MS {
            break;
        }
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
                fleet.set(backend(index, HALLS[*hall], service.slots), 1, 0);
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
            events: EventQueue::default(),
            figures: Figures { min_capacity: 1.0, ..Figures::default() },
            round_robin_count: 0,
        }
    }

    /// Handles one event.
    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrive => self.arrive(now_ms),
            Event::TrySlot(request) => self.try_slot(request, now_ms),
            Event::ExchangeEnd(exchange) => self.handle_exchange_end(exchange, now_ms),
            Event::HedgeCheck(request) => self.check_hedge(request, now_ms),
            Event::Deadline(request) => self.finish_request(request, false, now_ms),
            Event::Tick => self.tick(now_ms),
            Event::ReceiveReports(vm, from, reports) => {
                apply_reports(&mut self.vms[vm].fleet, from, &reports, now_ms);
            }
        }
    }

    /// Handles the arrival of a request and schedules the next one.
    fn arrive(&mut self, now_ms: u64) {
        let gap_ms = draw_gap_ms(self.service.rate_per_s, &mut self.rng);
        if now_ms < WARM_UP_MS + FAULTS_MS {
            self.events.schedule(now_ms + gap_ms.round().max(1.0) as u64, Event::Arrive);
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
        self.events.schedule(now_ms + self.service.timeout_ms, Event::Deadline(index));
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
            None => self.events.schedule(now_ms + SLOT_RETRY_INTERVAL_MS, Event::TrySlot(index)),
        }
    }

    /// Returns whether a backend server is sick.
    fn is_sick(&self, server: usize, now_ms: u64) -> bool {
        self.fault.is_sick(server, self.servers.len(), self.seed, now_ms)
    }
}
