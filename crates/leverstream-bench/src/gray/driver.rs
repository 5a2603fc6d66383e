mod health;
mod outcome;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use leverstream_health::{BackendKey, Health, HealthSettings, Probe, RequestOutcome, eject_rule};
use leverstream_route::{Candidate, PickContext, Picker, Request, RetryBudget, choose, picker};
use leverstream_table::ServiceRow;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::health::PROBE_MS;
use super::cell::{Effect, Fault};
use super::deployment::Deployment;
use super::figures::Figures;
use super::parts::{Asked, Attempt, Event, Server, Vm};

/// How many VMs serve the service.
const VMS: usize = 6;

/// How long the service runs well before the fault.
const WARM_MS: u64 = 20_000;

/// How long the fault is watched by day.
const FAULT_MS: u64 = 40_000;

/// The least rate of requests before a night.
const DAY_PER_S: f64 = 290.0;

/// How long the service runs well before the fault, by night.
const QUIET_WARM_MS: u64 = 600_000;

/// How long the fault is watched by night.
const QUIET_FAULT_MS: u64 = 900_000;

/// The middle of the time that work takes.
const WORK_MS: f64 = 20.0;

/// The spread of the logarithm of that time.
const WORK_SPREAD: f64 = 0.4;

/// The time between two ticks of the health code.
const TICK_MS: u64 = 50;

/// How many VMs check one backend server.
const PROBERS: usize = 2;

/// The time that a request may take.
const DEADLINE_MS: u64 = 3_000;

/// An answer later than this is late.
const LATE_MS: u64 = 1_000;

/// The retries for each hundred requests.
const BUDGET_PERCENT: u8 = 10;

/// The most attempts of one request.
const ATTEMPTS: usize = 3;

/// A way to eject and to pick.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name in reports.
    pub name: &'static str,
    /// The rule for ejection.
    pub rule: &'static str,
    /// The picker.
    pub picker: &'static str,
}

/// The whole run.
struct World<'a> {
    /// The service.
    deployment: &'a Deployment,
    /// The fault.
    fault: &'a Fault,
    /// The picker.
    pick: &'static Picker,
    /// Chance.
    rng: StdRng,
    /// The present.
    now_ms: u64,
    /// When the fault begins.
    onset_ms: u64,
    /// When the run ends.
    end_ms: u64,
    /// What is to come.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Tells events of one time apart.
    sequence: u64,
    /// The VMs.
    vms: Vec<Vm>,
    /// The backend servers.
    servers: Vec<Server>,
    /// The requests.
    requests: Vec<Asked>,
    /// The attempts.
    attempts: Vec<Attempt>,
    /// When sick backend servers got routine work after the onset, and from which VM.
    routine: Vec<(u64, usize)>,
    /// The figures so far.
    figures: Figures,
    /// Requests answered late.
    late: u64,
    /// Requests without a good answer.
    failed: u64,
    /// Slot time of checks.
    probe_ms: u64,
}

/// Runs one cell of the matrix with one seed.
pub fn run(deployment: &Deployment, fault: &Fault, policy: Policy, seed: u64) -> Figures {
    let mut world = World::open(deployment, fault, policy, seed);
    world.start();
    while let Some(Reverse((at_ms, _, event))) = world.events.pop() {
        if at_ms > world.end_ms {
            break;
        }
        world.now_ms = at_ms;
        world.step(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    /// Sets a run up.
    fn open(deployment: &'a Deployment, fault: &'a Fault, policy: Policy, seed: u64) -> World<'a> {
        let row = ServiceRow {
            eject_score: deployment.eject_score,
            floor_percent: deployment.floor_percent,
            holdoff_ms: deployment.holdoff_ms,
            deadline_ms: DEADLINE_MS,
            ..ServiceRow::default()
        };
        let rule = eject_rule(policy.rule).unwrap_or_else(|| panic!("no rule {}", policy.rule));
        let pick = picker(policy.picker).unwrap_or_else(|| panic!("no picker {}", policy.picker));
        let vms = (0..VMS).map(|_| {
            let mut health = Health::new(HealthSettings::from(&row), rule, 0);
            for index in 0..deployment.backends {
                health.add(&format!("b{index}"), 100, false, 0);
            }
            Vm {
                health,
                turn: 0,
                budget: RetryBudget::open(0),
                waiting: VecDeque::new(),
                flights: vec![Vec::new(); deployment.backends],
                stood_ejected: vec![false; deployment.backends],
            }
        });
        let (warm_ms, fault_ms) = if deployment.is_quiet() {
            (QUIET_WARM_MS, QUIET_FAULT_MS)
        } else {
            (WARM_MS, FAULT_MS)
        };
        World {
            deployment,
            fault,
            pick,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            onset_ms: warm_ms,
            end_ms: warm_ms + fault_ms,
            events: BinaryHeap::new(),
            sequence: 0,
            vms: vms.collect(),
            servers: (0..deployment.backends).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            routine: Vec::new(),
            figures: Figures { capacity: 1.0, ..Figures::default() },
            late: 0,
            failed: 0,
            probe_ms: 0,
        }
    }

    /// Plans the first events.
    fn start(&mut self) {
        self.plan(0, Event::Arrive);
        self.plan(0, Event::Tick);
        self.plan(0, Event::Exchange);
        for backend in 0..self.deployment.backends {
            for prober in 0..PROBERS {
                let vm = (backend + prober * 2) % VMS;
                let delay_ms = self.rng.random_range(0..PROBE_MS);
                self.plan(delay_ms, Event::Check { vm, backend });
            }
        }
    }

    /// Plans an event so many milliseconds from now.
    fn plan(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.sequence, event)));
    }

    /// Lets one event happen.
    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Done { attempt } => self.done(attempt),
            Event::Broken { attempt, refused } => {
                let work =
                    if refused { RequestOutcome::ConnectFailed } else { RequestOutcome::Failed };
                self.end(attempt, work);
            }
            Event::Hedge { request } => self.hedge(request),
            Event::Deadline { request } => self.expire(request),
            Event::Tick => self.tick(),
            Event::Exchange => self.exchange(),
            Event::Check { vm, backend } => self.check(vm, backend),
            Event::Checked { vm, backend, well, refused } => {
                let probe = match (well, refused) {
                    (_, true) => Probe::Refused,
                    (true, _) => Probe::Good,
                    (false, _) => Probe::Bad,
                };
                self.vms[vm].health.probe(BackendKey(backend as u32), probe);
            }
        }
    }

    /// Takes a request in and plans the next.
    fn arrive(&mut self) {
        // A night follows a day, from which the VMs still know what is usual.
        let is_day = self.now_ms < WARM_MS;
        let rate_per_s = if is_day {
            self.deployment.rate_per_s.max(DAY_PER_S)
        } else {
            self.deployment.rate_per_s
        };
        let gap_ms = -self.rng.random::<f64>().max(1e-12).ln() * 1000.0 / rate_per_s;
        self.plan((gap_ms.round() as u64).max(1), Event::Arrive);
        let vm = self.rng.random_range(0..VMS);
        let request = self.requests.len();
        let at_ms = self.now_ms;
        self.requests.push(Asked { vm, at_ms, is_settled: false, tried: Vec::new(), running: 0 });
        self.vms[vm].budget.earn(BUDGET_PERCENT);
        self.plan(DEADLINE_MS, Event::Deadline { request });
        self.send_or_wait(request);
    }

    /// Sends a request off, or lets it wait for a slot.
    fn send_or_wait(&mut self, request: usize) {
        if !self.send(request) {
            let vm = self.requests[request].vm;
            self.vms[vm].waiting.push_back(request);
        }
    }

    /// Sends a request to a backend server that the picker chooses.
    fn send(&mut self, request: usize) -> bool {
        let vm_index = self.requests[request].vm;
        let now_ms = self.now_ms;
        let vm = &mut self.vms[vm_index];
        let candidates: Vec<Candidate> = vm
            .health
            .keys()
            .map(|key| {
                let fitness = vm.health.fitness(key, now_ms);
                let own = vm.flights[key.0 as usize].len() as u32;
                Candidate {
                    key,
                    load: own + fitness.others_in_flight,
                    own,
                    slots: self.deployment.slots,
                    weight: 100.0 * fitness.share,
                    is_trial: fitness.is_trial,
                }
            })
            .collect();
        vm.turn += 1;
        let mut turn = PickContext { count: vm.turn, rng: &mut self.rng };
        let tried = &self.requests[request].tried;
        let asked = Request { is_repeatable: true, tried };
        let Some(key) = choose(self.pick, &candidates, asked, &mut turn) else { return false };
        let slow_ms = vm.health.fitness(key, now_ms).slow_ms;
        let is_trial = candidates[key.0 as usize].is_trial;
        let attempt = self.attempts.len();
        let backend = key.0 as usize;
        vm.flights[backend].push(attempt);
        self.requests[request].tried.push(key);
        self.requests[request].running += 1;
        self.attempts.push(Attempt {
            request,
            vm: vm_index,
            backend,
            sent_ms: now_ms,
            charged: 0,
            is_trial,
            is_witness: false,
            is_over: false,
        });
        self.note_given(vm_index, backend, is_trial);
        self.plan(slow_ms.ceil() as u64, Event::Hedge { request });
        self.serve(attempt);
        true
    }

    /// Counts work given to a sick backend server.
    fn note_given(&mut self, vm: usize, backend: usize, is_trial: bool) {
        if self.now_ms >= self.onset_ms && (self.fault.sick)(backend) {
            self.figures.given += 1.0;
            if !is_trial {
                self.routine.push((self.now_ms - self.onset_ms, vm));
            }
        }
    }

    /// What the fault does to work now.
    fn effect(&mut self, vm: usize, backend: usize) -> Effect {
        let chance = self.rng.random();
        match self.now_ms.checked_sub(self.onset_ms) {
            Some(since_ms) => (self.fault.work)(vm, backend, since_ms, chance),
            None => Effect::None,
        }
    }

    /// Hands an attempt to its backend server.
    fn serve(&mut self, attempt: usize) {
        let Attempt { vm, backend, .. } = self.attempts[attempt];
        let work_ms = self.work_ms();
        match self.effect(vm, backend) {
            Effect::Refuse => self.plan(1, Event::Broken { attempt, refused: true }),
            Effect::Error => {
                self.plan(work_ms as u64, Event::Broken { attempt, refused: false });
            }
            // A stalled request holds no slot here; the VM's own count bounds what is sent.
            Effect::Stall => {}
            Effect::Slow(factor) => self.enqueue(attempt, work_ms * factor),
            Effect::None => self.enqueue(attempt, work_ms),
        }
    }

    /// How long a piece of work takes.
    fn work_ms(&mut self) -> f64 {
        let (a, b): (f64, f64) = (self.rng.random::<f64>().max(1e-12), self.rng.random());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        WORK_MS * (WORK_SPREAD * normal).exp()
    }

    /// Puts an attempt into a backend server's queue.
    fn enqueue(&mut self, attempt: usize, work_ms: f64) {
        let backend = self.attempts[attempt].backend;
        self.servers[backend].queue.push_back((attempt, work_ms.round().max(1.0) as u64));
        self.start_work(backend);
    }

    /// Starts queued work while slots are free.
    fn start_work(&mut self, backend: usize) {
        while self.servers[backend].busy < self.deployment.slots {
            let Some((attempt, work_ms)) = self.servers[backend].queue.pop_front() else { return };
            self.servers[backend].busy += 1;
            self.plan(work_ms, Event::Done { attempt });
        }
    }

    /// Ends work at a backend server.
    fn done(&mut self, attempt: usize) {
        let backend = self.attempts[attempt].backend;
        self.servers[backend].busy -= 1;
        self.start_work(backend);
        self.end(attempt, RequestOutcome::Good);
    }

    /// Ends an attempt at its VM.
    fn end(&mut self, attempt: usize, work: RequestOutcome) {
        let now_ms = self.now_ms;
        let ended = &mut self.attempts[attempt];
        if std::mem::replace(&mut ended.is_over, true) {
            return;
        }
        let (request, vm_index, backend) = (ended.request, ended.vm, ended.backend);
        let (charged, is_trial) = (ended.charged, ended.is_trial);
        let time_ms = (now_ms - ended.sent_ms) as f64;
        let vm = &mut self.vms[vm_index];
        vm.flights[backend].retain(|flight| *flight != attempt);
        let key = BackendKey(backend as u32);
        vm.health.finish(key, work, time_ms, charged);
        if is_trial {
            vm.health.finish_trial(key, work, time_ms, now_ms);
        }
        self.requests[request].running -= 1;
        if work == RequestOutcome::Good {
            self.settle(request, true);
        } else if work != RequestOutcome::NoEvidence {
            self.retry(request);
        }
        self.wake(vm_index);
    }

    /// Settles a request and calls its other attempts off.
    fn settle(&mut self, request: usize, is_good: bool) {
        if std::mem::replace(&mut self.requests[request].is_settled, true) {
            return;
        }
        let asked = &self.requests[request];
        let (vm, took_ms) = (asked.vm, self.now_ms - asked.at_ms);
        if self.now_ms >= self.onset_ms {
            self.failed += u64::from(!is_good);
            self.late += u64::from(is_good && took_ms > LATE_MS);
        }
        let running: Vec<usize> = self.vms[vm].flights.iter().flatten().copied().collect();
        for attempt in running {
            let is_its_own = self.attempts[attempt].request == request;
            if is_its_own && !(is_good && self.becomes_witness(attempt)) {
                self.end(
                    attempt,
                    if is_good { RequestOutcome::NoEvidence } else { RequestOutcome::Failed },
                );
            }
        }
    }

    /// Lets one slow attempt a VM and backend server go on after its request is answered.
    fn becomes_witness(&mut self, attempt: usize) -> bool {
        let Attempt { vm, backend, .. } = self.attempts[attempt];
        let has_one =
            self.vms[vm].flights[backend].iter().any(|other| self.attempts[*other].is_witness);
        self.attempts[attempt].is_witness = !has_one;
        !has_one
    }

    /// Tries a request again whose last attempt failed, within the budget.
    fn retry(&mut self, request: usize) {
        let asked = &self.requests[request];
        if asked.is_settled || asked.running > 0 {
            return;
        }
        let (vm, now_ms) = (asked.vm, self.now_ms);
        let may = asked.tried.len() < ATTEMPTS && self.vms[vm].budget.take(BUDGET_PERCENT, now_ms);
        if may {
            self.send_or_wait(request);
        } else {
            self.settle(request, false);
        }
    }

    /// Tries a request beside a slow attempt, within the budget.
    fn hedge(&mut self, request: usize) {
        let asked = &self.requests[request];
        let (vm, now_ms) = (asked.vm, self.now_ms);
        let is_due = !asked.is_settled && asked.running == 1 && asked.tried.len() < ATTEMPTS;
        if is_due && self.vms[vm].budget.take(BUDGET_PERCENT, now_ms) {
            self.send(request);
        }
    }

    /// Ends a request whose time is over, and what still witnesses for it.
    fn expire(&mut self, request: usize) {
        self.settle(request, false);
        let vm = self.requests[request].vm;
        let running: Vec<usize> = self.vms[vm].flights.iter().flatten().copied().collect();
        for attempt in running {
            if self.attempts[attempt].request == request {
                self.end(attempt, RequestOutcome::Failed);
            }
        }
    }

    /// Lets requests that wait at a VM try again.
    fn wake(&mut self, vm: usize) {
        while let Some(request) = self.vms[vm].waiting.pop_front() {
            if !self.requests[request].is_settled && !self.send(request) {
                self.vms[vm].waiting.push_front(request);
                return;
            }
        }
    }
}
