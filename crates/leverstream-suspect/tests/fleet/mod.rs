//! A fleet in simulated time, and backend servers that end under one request that is sent again and
//! again.

mod scenario;
mod vm;

use std::collections::BTreeMap;

use leverstream_suspect::{IncarnationDigest, RequestDigest, SuspectReport, Verdict};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use scenario::LEARN_LIMIT_MS;
pub use scenario::{Fault, Observed, Scenario};
use vm::{Message, Vm};

/// The time for which an ended backend server is down, in milliseconds.
const RESTART_MS: u64 = 3_000;

/// The interval between a VM's start, or failed read, and its next read of the store, in
/// milliseconds.
const STORE_READ_MS: u64 = 150;

/// The duration of a write to the store, in milliseconds.
const STORE_WRITE_MS: u64 = 10;

/// The digest of the request that ends backend servers.
const ENDING: RequestDigest = RequestDigest(u128::MAX / 3);

/// A scheduled event.
#[derive(Clone, Debug)]
enum Event {
    /// A request arrives at a VM that callers send requests to.
    Arrive(Request),
    /// The next ordinary request arrives.
    Ordinary,
    /// The request that ends backend servers arrives.
    Ending,
    /// A backend server finishes a request: its index, its incarnation, the run.
    RunEnds(usize, u64, u64),
    /// A backend server ends, if it is still in the given incarnation.
    ServerEnds(usize, u64),
    /// A backend server starts again.
    ServerStarts(usize),
    /// A backend server ends by itself.
    Crash,
    /// A datagram arrives at a VM: the receiver, the sender, the message.
    Deliver(usize, usize, Message),
    /// A VM's process ticks.
    Tick(usize, u64),
    /// A fault hits a VM.
    FaultHits(usize, Fault),
    /// A VM's process starts.
    Start(usize),
    /// A VM's process reads the store.
    Read(usize, u64),
    /// The store has written a refused request.
    Kept(SuspectReport),
}

/// A request that has not succeeded yet.
#[derive(Clone, Debug)]
struct Request {
    /// The digest that identifies it.
    digest: RequestDigest,
    /// The number of retries that its caller has left.
    retries: u32,
    /// The number of attempts that the VM has left.
    attempts: u32,
    /// The VM that holds it, and the number of the VM's process.
    vm_process: Option<(usize, u64)>,
}

/// A backend server.
#[derive(Debug, Default)]
struct Server {
    /// The number of its incarnation, also while it is down.
    start: u64,
    /// Whether it is up.
    is_up: bool,
    /// The requests that run or wait there.
    runs: BTreeMap<u64, Request>,
}

/// The simulation.
struct Simulation {
    /// The parameters.
    scenario: Scenario,
    /// The random number generator.
    rng: StdRng,
    /// The scheduled events, by due time and number.
    events: BTreeMap<(u64, u64), Event>,
    /// The last number given to an event or run.
    number: u64,
    /// The present time.
    now_ms: u64,
    /// The processes of the VMs; `None` while a process is down.
    vms: Vec<Option<Vm>>,
    /// The number of each VM's present process.
    process_numbers: Vec<u64>,
    /// The time until which each VM is frozen.
    frozen_until_ms: Vec<u64>,
    /// The time until which each VM is cut off.
    cut_until_ms: Vec<u64>,
    /// The time from which each VM knows the backend servers.
    ready_ms: Vec<u64>,
    /// The time since which each VM has been free of faults.
    fault_free_since_ms: Vec<u64>,
    /// The backend servers.
    servers: Vec<Server>,
    /// The reports in the store.
    store: Vec<SuspectReport>,
    /// The observations.
    seen: Observed,
}

/// Runs a simulation.
pub fn simulate(scenario: Scenario) -> Observed {
    let mut simulation = Simulation::open(scenario);
    while let Some(((at_ms, _), event)) = simulation.events.pop_first() {
        if at_ms > simulation.scenario.length_ms {
            break;
        }
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    simulation.seen
}

impl Simulation {
    /// Starts all VMs and backend servers at once.
    fn open(scenario: Scenario) -> Simulation {
        let vms = scenario.vms;
        let up = |_| Server { start: 1, is_up: true, runs: BTreeMap::new() };
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(scenario.seed),
            events: BTreeMap::new(),
            number: 0,
            now_ms: 0,
            vms: (0..vms).map(|_| None).collect(),
            process_numbers: vec![0; vms],
            frozen_until_ms: vec![0; vms],
            cut_until_ms: vec![0; vms],
            ready_ms: vec![0; vms],
            fault_free_since_ms: vec![0; vms],
            servers: (0..scenario.servers).map(up).collect(),
            store: Vec::new(),
            seen: Observed::default(),
            scenario,
        };
        (0..vms).for_each(|vm| simulation.start(vm));
        simulation.fault_free_since_ms = vec![0; vms];
        for (at_ms, vm, fault) in simulation.scenario.faults.clone() {
            simulation.after(at_ms, Event::FaultHits(vm, fault));
        }
        if let Some((_, from_ms)) = simulation.scenario.ending {
            simulation.after(from_ms, Event::Ending);
        }
        simulation.after(1, Event::Ordinary);
        if let Some(gap_ms) = simulation.scenario.crash_gap_ms {
            simulation.after(gap_ms, Event::Crash);
        }
        simulation
    }

    /// Schedules an event.
    fn after(&mut self, wait_ms: u64, event: Event) {
        self.number += 1;
        self.events.insert((self.now_ms + wait_ms, self.number), event);
    }

    /// Handles an event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Ordinary => self.ordinary(),
            Event::Ending => self.ending(),
            Event::Arrive(request) => self.arrive(request),
            Event::RunEnds(server, start, run) => self.run_ends(server, start, run),
            Event::ServerEnds(server, start) => self.server_ends(server, start, true),
            Event::ServerStarts(server) => {
                self.servers[server].start += 1;
                self.servers[server].is_up = true;
            }
            Event::Crash => self.crash(),
            Event::Deliver(to, from, message) => self.deliver(to, from, &message),
            Event::Tick(vm, process_number) => self.tick(vm, process_number),
            Event::FaultHits(vm, fault) => self.apply_fault(vm, fault),
            Event::Start(vm) => self.start(vm),
            Event::Read(vm, process_number) => self.read(vm, process_number),
            Event::Kept(report) => self.store.push(report),
        }
    }

    /// An ordinary request arrives.
    fn ordinary(&mut self) {
        self.seen.ordinary += 1;
        let digest = RequestDigest(u128::from(self.rng.random::<u64>()));
        let attempts = 1 + u32::from(self.rng.random_bool(0.5));
        self.arrive(Request { digest, retries: 2, attempts, vm_process: None });
        let gap_ms =
            (1_000.0 / self.scenario.requests_per_s * self.rng.random_range(0.2..1.8)) as u64;
        self.after(gap_ms.max(1), Event::Ordinary);
    }

    /// The request that ends backend servers arrives.
    fn ending(&mut self) {
        let attempts = 1 + u32::from(self.rng.random_bool(0.5));
        self.arrive(Request { digest: ENDING, retries: 0, attempts, vm_process: None });
        let gap_ms = self.scenario.ending.map_or(1, |(gap_ms, _)| gap_ms);
        let gap_ms = self.rng.random_range(1..2 * gap_ms);
        self.after(gap_ms, Event::Ending);
    }

    /// A request arrives at one of the VMs that callers send requests to.
    fn arrive(&mut self, request: Request) {
        let vm = self.rng.random_range(0..self.scenario.entry_vms);
        if self.vms[vm].is_none() {
            return self.retry(&request);
        }
        // A frozen VM, or one that doesn't know the backend servers yet, makes the request wait.
        let until_ms = self.frozen_until_ms[vm].max(self.ready_ms[vm]);
        if until_ms > self.now_ms {
            return self.after(until_ms - self.now_ms, Event::Arrive(request));
        }
        self.send(Request { vm_process: Some((vm, self.process_numbers[vm])), ..request });
    }

    /// The VM sends a request to a backend server.
    fn send(&mut self, mut request: Request) {
        let Some((vm, process_number)) = request.vm_process else { return };
        let Some(process) =
            self.vms[vm].as_mut().filter(|_| self.process_numbers[vm] == process_number)
        else {
            return self.retry(&request);
        };
        if process.suspects.verdict(request.digest) == Verdict::Refused {
            process.suspects.record_arrival(request.digest, self.now_ms);
            self.seen.wrongly_refused += usize::from(request.digest != ENDING);
            return;
        }
        let room = self.scenario.slots + self.scenario.queue;
        let has_room =
            |server: &usize| self.servers[*server].is_up && self.servers[*server].runs.len() < room;
        let free: Vec<usize> = (0..self.servers.len()).filter(has_room).collect();
        let Some(server) = free.get(self.rng.random_range(0..free.len().max(1))).copied() else {
            return self.retry(&request);
        };
        request.attempts -= 1;
        self.number += 1;
        let run = self.number;
        let start = self.servers[server].start;
        if request.digest == ENDING {
            let is_connected = self.now_ms >= self.fault_free_since_ms[vm] + LEARN_LIMIT_MS
                || self.fault_free_since_ms[vm] == 0;
            self.seen.sends.push((self.now_ms, is_connected));
            let work_ms = self.rng.random_range(20..120);
            self.after(work_ms, Event::ServerEnds(server, start));
        } else {
            let work_ms = self.rng.random_range(100..500);
            self.after(work_ms, Event::RunEnds(server, start, run));
        }
        self.servers[server].runs.insert(run, request);
    }

    /// A backend server finishes a request successfully.
    fn run_ends(&mut self, server: usize, start: u64, run: u64) {
        if self.servers[server].start != start || !self.servers[server].is_up {
            return;
        }
        let Some(request) = self.servers[server].runs.remove(&run) else { return };
        self.seen.served += 1;
        let now_ms = self.now_ms;
        if let Some(vm) = self.process(request.vm_process)
            && vm.suspects.record_healthy_answer(request.digest, now_ms)
        {
            vm.schedule_reports(request.digest, now_ms);
        }
    }

    /// A backend server ends and drops all its requests.
    fn server_ends(&mut self, server: usize, start: u64, is_under_request: bool) {
        if self.servers[server].start != start || !self.servers[server].is_up {
            return;
        }
        self.servers[server].is_up = false;
        self.servers[server].start += 1;
        self.after(RESTART_MS, Event::ServerStarts(server));
        if is_under_request {
            self.seen.ends.push(self.now_ms);
        }
        let end = IncarnationDigest((server as u64) << 32 | start);
        for request in std::mem::take(&mut self.servers[server].runs).into_values() {
            self.cut(request, end);
        }
    }

    /// A VM sees that a request's connection broke and that its backend server has ended.
    fn cut(&mut self, request: Request, end: IncarnationDigest) {
        let now_ms = self.now_ms;
        let Some((vm, _)) = request.vm_process else { return };
        let is_frozen = self.frozen_until_ms[vm] > now_ms;
        let Some(process) = self.process(request.vm_process) else { return self.retry(&request) };
        if is_frozen {
            // By the time it resumes, the next incarnation listens there, so it notices no end.
            return self.retry(&request);
        }
        if process.suspects.record_end(request.digest, end, now_ms) {
            process.schedule_reports(request.digest, now_ms);
        }
        let verdict = process.suspects.verdict(request.digest);
        let report = process.suspects.report(request.digest, now_ms);
        let is_away =
            self.scenario.store_outage.is_some_and(|(from, to)| (from..to).contains(&now_ms));
        if let Some(report) = report
            .filter(|_| verdict == Verdict::Refused && !is_away && self.cut_until_ms[vm] <= now_ms)
        {
            self.after(STORE_WRITE_MS, Event::Kept(report));
        }
        if request.attempts > 0 && verdict < Verdict::LastTry {
            self.send(request);
        } else {
            self.retry(&request);
        }
    }

    /// A caller retries a failed request.
    fn retry(&mut self, request: &Request) {
        if request.retries > 0 {
            let wait_ms = self.rng.random_range(50..300);
            let attempts = 1 + u32::from(self.rng.random_bool(0.5));
            let request =
                Request { retries: request.retries - 1, attempts, vm_process: None, ..*request };
            self.after(wait_ms, Event::Arrive(request));
        }
    }

    /// A backend server ends by itself.
    fn crash(&mut self) {
        let server = self.rng.random_range(0..self.servers.len());
        let start = self.servers[server].start;
        self.server_ends(server, start, false);
        let gap_ms = self.scenario.crash_gap_ms.unwrap_or(1);
        let gap_ms = self.rng.random_range(1..2 * gap_ms);
        self.after(gap_ms, Event::Crash);
    }

    /// The process of a VM, unless it has been replaced.
    fn process(&mut self, vm_process: Option<(usize, u64)>) -> Option<&mut Vm> {
        let (vm, process_number) = vm_process?;
        if self.process_numbers[vm] == process_number { self.vms[vm].as_mut() } else { None }
    }

    /// A VM ticks and sends its messages.
    fn tick(&mut self, vm: usize, process_number: u64) {
        if self.process_numbers[vm] != process_number {
            return;
        }
        self.after(vm::TICK_MS, Event::Tick(vm, process_number));
        if self.frozen_until_ms[vm] > self.now_ms {
            return;
        }
        let (others, now_ms) = (self.scenario.vms, self.now_ms);
        let Some(process) = &mut self.vms[vm] else { return };
        let out = process.tick(vm, others, &mut self.rng, now_ms);
        out.into_iter().for_each(|(to, message)| self.send_datagram(vm, to, &message));
    }

    /// Sends a datagram.
    fn send_datagram(&mut self, from: usize, to: usize, message: &Message) {
        self.seen.datagrams += 1;
        if self.cut_until_ms[from] > self.now_ms || self.rng.random_bool(self.scenario.lost) {
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(self.scenario.duplicated)) {
            let delay_ms = self.rng.random_range(1..=self.scenario.max_delay_ms);
            self.after(delay_ms, Event::Deliver(to, from, message.clone()));
        }
    }

    /// A datagram arrives at a VM.
    fn deliver(&mut self, to: usize, from: usize, message: &Message) {
        let now_ms = self.now_ms;
        if self.cut_until_ms[to] > now_ms {
            return;
        }
        if self.frozen_until_ms[to] > now_ms {
            let wait_ms = self.frozen_until_ms[to] - now_ms;
            return self.after(wait_ms, Event::Deliver(to, from, message.clone()));
        }
        let Some(process) = &mut self.vms[to] else { return };
        let out = process.receive(message, now_ms);
        out.into_iter().for_each(|message| self.send_datagram(to, from, &message));
    }

    /// A fault hits a VM.
    fn apply_fault(&mut self, vm: usize, fault: Fault) {
        let until_ms = match fault {
            Fault::Kill(for_ms) => {
                self.vms[vm] = None;
                self.process_numbers[vm] += 1;
                self.after(for_ms, Event::Start(vm));
                self.now_ms + for_ms
            }
            Fault::Freeze(for_ms) => {
                self.frozen_until_ms[vm] = self.frozen_until_ms[vm].max(self.now_ms + for_ms);
                self.frozen_until_ms[vm]
            }
            Fault::Cut(for_ms) => {
                self.cut_until_ms[vm] = self.cut_until_ms[vm].max(self.now_ms + for_ms);
                self.cut_until_ms[vm]
            }
        };
        self.fault_free_since_ms[vm] = self.fault_free_since_ms[vm].max(until_ms);
    }

    /// A VM's process starts.
    fn start(&mut self, vm: usize) {
        if self.vms[vm].is_some() {
            return;
        }
        self.process_numbers[vm] += 1;
        self.vms[vm] = Some(Vm::start(self.scenario.ends_to_refuse));
        self.fault_free_since_ms[vm] = self.fault_free_since_ms[vm].max(self.now_ms);
        let process_number = self.process_numbers[vm];
        let first_ms = self.rng.random_range(1..=vm::TICK_MS);
        self.after(first_ms, Event::Tick(vm, process_number));
        self.after(STORE_READ_MS, Event::Read(vm, process_number));
        self.ready_ms[vm] = self.now_ms + STORE_READ_MS + 1;
    }

    /// A started VM reads the store.
    fn read(&mut self, vm: usize, process_number: u64) {
        let now_ms = self.now_ms;
        let is_away =
            self.scenario.store_outage.is_some_and(|(from, to)| (from..to).contains(&now_ms));
        if is_away || self.cut_until_ms[vm] > now_ms {
            return self.after(STORE_READ_MS, Event::Read(vm, process_number));
        }
        let store = self.store.clone();
        if let Some(process) = self.process(Some((vm, process_number))) {
            store.iter().for_each(|report| {
                process.suspects.merge(report, now_ms);
            });
        }
    }
}
