//! The simulation: arrivals, attempts, retries and hedges.

mod health;
mod outcome;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use leverstream_health::{BackendKey, Health, HealthSettings, Probe, RequestOutcome, eject_rule};
use leverstream_route::{Candidate, PickContext, Picker, Request, RetryBudget, choose, picker};
use leverstream_table::ServiceRow;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::health::PROBE_INTERVAL_MS;
use super::cell::{Effect, Fault};
use super::deployment::Deployment;
use super::figures::Figures;
use super::parts::{Attempt, CallerRequest, Event, Server, Vm};

/// Number of VMs that serve the service.
const VMS: usize = 6;

/// Time that the service runs before the fault by day, in milliseconds.
const WARM_UP_MS: u64 = 20_000;

/// Duration of the fault by day, in milliseconds.
const FAULT_MS: u64 = 40_000;

/// Lowest request rate in the day before a night, in requests per second.
const MIN_DAY_RATE_PER_S: f64 = 290.0;

/// Time that the service runs before the fault by night, in milliseconds.
const QUIET_WARM_UP_MS: u64 = 600_000;

/// Duration of the fault by night, in milliseconds.
const QUIET_FAULT_MS: u64 = 900_000;

/// Median work time, in milliseconds.
const MEDIAN_WORK_MS: f64 = 20.0;

/// Standard deviation of the logarithm of the work time.
const WORK_SPREAD: f64 = 0.4;

/// Interval of the ticks of the health code, in milliseconds.
const TICK_MS: u64 = 50;

/// Number of VMs that check one backend server.
const PROBERS: usize = 2;

/// Time after which a request fails, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Time after which an answer counts as late, in milliseconds.
const LATE_AFTER_MS: u64 = 1_000;

/// Retries allowed per hundred requests.
const RETRY_BUDGET_PERCENT: u8 = 10;

/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 3;

/// A combination of ejection rule and picker.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name in reports.
    pub name: &'static str,
    /// The name of the ejection rule.
    pub rule: &'static str,
    /// The name of the picker.
    pub picker: &'static str,
}

/// The state of a run.
struct Simulation<'a> {
    /// The service.
    deployment: &'a Deployment,
    /// The fault.
    fault: &'a Fault,
    /// The picker.
    pick: &'static Picker,
    /// The random number generator.
    rng: StdRng,
    /// The current time.
    now_ms: u64,
    /// Onset of the fault.
    onset_ms: u64,
    /// End of the run.
    end_ms: u64,
    /// Scheduled events with their due time and sequence number, the earliest first.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Sequence number of the last event, which orders events with the same due time.
    sequence: u64,
    /// The VMs.
    vms: Vec<Vm>,
    /// The backend servers.
    servers: Vec<Server>,
    /// The requests.
    requests: Vec<CallerRequest>,
    /// The attempts.
    attempts: Vec<Attempt>,
    /// Time since the onset, and VM, of each request other than a trial to a sick backend server.
    non_trial_sends: Vec<(u64, usize)>,
    /// The figures so far.
    figures: Figures,
    /// Requests answered late.
    late: u64,
    /// Requests without a good answer.
    failed: u64,
    /// Slot time used by health checks.
    probe_ms: u64,
}

/// Runs one cell of the matrix with one seed.
pub fn run(deployment: &Deployment, fault: &Fault, policy: Policy, seed: u64) -> Figures {
    let mut simulation = Simulation::new(deployment, fault, policy, seed);
    simulation.schedule_first();
    while let Some(Reverse((at_ms, _, event))) = simulation.events.pop() {
        if at_ms > simulation.end_ms {
            break;
        }
        simulation.now_ms = at_ms;
        simulation.handle(event);
    }
    simulation.into_figures()
}

impl<'a> Simulation<'a> {
    /// Creates the state of a run.
    fn new(
        deployment: &'a Deployment,
        fault: &'a Fault,
        policy: Policy,
        seed: u64,
    ) -> Simulation<'a> {
        let row = ServiceRow {
            eject_score: deployment.eject_score,
            floor_percent: deployment.floor_percent,
            holdoff_ms: deployment.holdoff_ms,
            deadline_ms: DEADLINE_MS,
            ..ServiceRow::default()
        };
        let rule = eject_rule(policy.rule)
            .unwrap_or_else(|| panic!("unknown ejection rule {}", policy.rule));
        let pick =
            picker(policy.picker).unwrap_or_else(|| panic!("unknown picker {}", policy.picker));
        let vms = (0..VMS).map(|_| {
            let mut health = Health::new(HealthSettings::from(&row), rule, 0);
            for index in 0..deployment.backends {
                health.add(&format!("b{index}"), 100, false, 0);
            }
            Vm {
                health,
                pick_count: 0,
                budget: RetryBudget::open(0),
                waiting: VecDeque::new(),
                in_flight: vec![Vec::new(); deployment.backends],
                was_ejected: vec![false; deployment.backends],
            }
        });
        let (warm_ms, fault_ms) = if deployment.is_quiet() {
            (QUIET_WARM_UP_MS, QUIET_FAULT_MS)
        } else {
            (WARM_UP_MS, FAULT_MS)
        };
        Simulation {
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
            non_trial_sends: Vec::new(),
            figures: Figures { min_capacity: 1.0, ..Figures::default() },
            late: 0,
            failed: 0,
            probe_ms: 0,
        }
    }

    /// Schedules the first events.
    fn schedule_first(&mut self) {
        self.schedule(0, Event::Arrive);
        self.schedule(0, Event::Tick);
        self.schedule(0, Event::Exchange);
        for backend in 0..self.deployment.backends {
            for prober in 0..PROBERS {
                let vm = (backend + prober * 2) % VMS;
                let delay_ms = self.rng.random_range(0..PROBE_INTERVAL_MS);
                self.schedule(delay_ms, Event::Check { vm, backend });
            }
        }
    }

    /// Schedules an event `delay_ms` from now.
    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.sequence, event)));
    }

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AttemptDone { attempt } => self.finish_work(attempt),
            Event::AttemptFailed { attempt, is_refused } => {
                let outcome =
                    if is_refused { RequestOutcome::ConnectFailed } else { RequestOutcome::Failed };
                self.end_attempt(attempt, outcome);
            }
            Event::Hedge { request } => self.hedge(request),
            Event::Deadline { request } => self.expire(request),
            Event::Tick => self.tick(),
            Event::Exchange => self.exchange_evidence(),
            Event::Check { vm, backend } => self.check(vm, backend),
            Event::CheckDone { vm, backend, is_good, is_refused } => {
                let probe = match (is_good, is_refused) {
                    (_, true) => Probe::Refused,
                    (true, _) => Probe::Good,
                    (false, _) => Probe::Bad,
                };
                self.vms[vm].health.probe(BackendKey(backend as u32), probe);
            }
        }
    }

    /// Handles the arrival of a request and schedules the next one.
    fn arrive(&mut self) {
        // A night run starts with requests at the rate of a day, so the VMs have a baseline of work times.
        let is_day = self.now_ms < WARM_UP_MS;
        let rate_per_s = if is_day {
            self.deployment.rate_per_s.max(MIN_DAY_RATE_PER_S)
        } else {
            self.deployment.rate_per_s
        };
        let gap_ms = -self.rng.random::<f64>().max(1e-12).ln() * 1000.0 / rate_per_s;
        self.schedule((gap_ms.round() as u64).max(1), Event::Arrive);
        let vm = self.rng.random_range(0..VMS);
        let request = self.requests.len();
        let arrived_ms = self.now_ms;
        self.requests.push(CallerRequest {
            vm,
            arrived_ms,
            is_ended: false,
            tried: Vec::new(),
            running: 0,
        });
        self.vms[vm].budget.earn(RETRY_BUDGET_PERCENT);
        self.schedule(DEADLINE_MS, Event::Deadline { request });
        self.send_or_wait(request);
    }

    /// Sends a request, or queues it at its VM if no backend server has a free slot.
    fn send_or_wait(&mut self, request: usize) {
        if !self.send(request) {
            let vm = self.requests[request].vm;
            self.vms[vm].waiting.push_back(request);
        }
    }

    /// Sends a request to the backend server that the picker chooses; returns false if there is none.
    fn send(&mut self, request: usize) -> bool {
        let vm_index = self.requests[request].vm;
        let now_ms = self.now_ms;
        let vm = &mut self.vms[vm_index];
        let candidates: Vec<Candidate> = vm
            .health
            .keys()
            .map(|key| {
                let fitness = vm.health.fitness(key, now_ms);
                let own = vm.in_flight[key.0 as usize].len() as u32;
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
        vm.pick_count += 1;
        let mut pick = PickContext { count: vm.pick_count, rng: &mut self.rng };
        let tried = &self.requests[request].tried;
        let query = Request { is_repeatable: true, tried };
        let Some(key) = choose(self.pick, &candidates, query, &mut pick) else { return false };
        let slow_ms = vm.health.fitness(key, now_ms).slow_ms;
        let is_trial = candidates[key.0 as usize].is_trial;
        let attempt = self.attempts.len();
        let backend = key.0 as usize;
        vm.in_flight[backend].push(attempt);
        self.requests[request].tried.push(key);
        self.requests[request].running += 1;
        self.attempts.push(Attempt {
            request,
            vm: vm_index,
            backend,
            sent_ms: now_ms,
            charged: 0,
            is_trial,
            is_detached: false,
            is_over: false,
        });
        self.count_sent_to_sick(vm_index, backend, is_trial);
        self.schedule(slow_ms.ceil() as u64, Event::Hedge { request });
        self.serve(attempt);
        true
    }

    /// Counts a request sent to a sick backend server.
    fn count_sent_to_sick(&mut self, vm: usize, backend: usize, is_trial: bool) {
        if self.now_ms >= self.onset_ms && (self.fault.sick)(backend) {
            self.figures.sent_to_sick += 1.0;
            if !is_trial {
                self.non_trial_sends.push((self.now_ms - self.onset_ms, vm));
            }
        }
    }

    /// Returns the effect of the fault on a request that is sent now.
    fn effect(&mut self, vm: usize, backend: usize) -> Effect {
        let chance = self.rng.random();
        match self.now_ms.checked_sub(self.onset_ms) {
            Some(since_ms) => (self.fault.work)(vm, backend, since_ms, chance),
            None => Effect::None,
        }
    }

    /// Delivers an attempt to its backend server.
    fn serve(&mut self, attempt: usize) {
        let Attempt { vm, backend, .. } = self.attempts[attempt];
        let work_ms = self.work_ms();
        match self.effect(vm, backend) {
            Effect::Refuse => self.schedule(1, Event::AttemptFailed { attempt, is_refused: true }),
            Effect::Error => {
                self.schedule(work_ms as u64, Event::AttemptFailed { attempt, is_refused: false });
            }
            // A stalled request holds no slot at the backend server; the in-flight limit of the VM bounds what is sent.
            Effect::Stall => {}
            Effect::Slow(factor) => self.enqueue(attempt, work_ms * factor),
            Effect::None => self.enqueue(attempt, work_ms),
        }
    }

    /// Draws a work time, in milliseconds.
    fn work_ms(&mut self) -> f64 {
        let (a, b): (f64, f64) = (self.rng.random::<f64>().max(1e-12), self.rng.random());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        MEDIAN_WORK_MS * (WORK_SPREAD * normal).exp()
    }

    /// Adds an attempt to the queue of its backend server.
    fn enqueue(&mut self, attempt: usize, work_ms: f64) {
        let backend = self.attempts[attempt].backend;
        self.servers[backend].queue.push_back((attempt, work_ms.round().max(1.0) as u64));
        self.start_work(backend);
    }

    /// Starts queued attempts while slots are free.
    fn start_work(&mut self, backend: usize) {
        while self.servers[backend].busy < self.deployment.slots {
            let Some((attempt, work_ms)) = self.servers[backend].queue.pop_front() else { return };
            self.servers[backend].busy += 1;
            self.schedule(work_ms, Event::AttemptDone { attempt });
        }
    }

    /// Ends the work of an attempt at its backend server.
    fn finish_work(&mut self, attempt: usize) {
        let backend = self.attempts[attempt].backend;
        self.servers[backend].busy -= 1;
        self.start_work(backend);
        self.end_attempt(attempt, RequestOutcome::Good);
    }

    /// Ends an attempt at its VM and records its outcome.
    fn end_attempt(&mut self, attempt: usize, outcome: RequestOutcome) {
        let now_ms = self.now_ms;
        let ended = &mut self.attempts[attempt];
        if std::mem::replace(&mut ended.is_over, true) {
            return;
        }
        let (request, vm_index, backend) = (ended.request, ended.vm, ended.backend);
        let (charged, is_trial) = (ended.charged, ended.is_trial);
        let time_ms = (now_ms - ended.sent_ms) as f64;
        let vm = &mut self.vms[vm_index];
        vm.in_flight[backend].retain(|flight| *flight != attempt);
        let key = BackendKey(backend as u32);
        vm.health.finish(key, outcome, time_ms, charged);
        if is_trial {
            vm.health.finish_trial(key, outcome, time_ms, now_ms);
        }
        self.requests[request].running -= 1;
        if outcome == RequestOutcome::Good {
            self.end_request(request, true);
        } else if outcome != RequestOutcome::NoEvidence {
            self.retry(request);
        }
        self.send_waiting(vm_index);
    }

    /// Ends a request and cancels its other attempts.
    fn end_request(&mut self, request: usize, is_good: bool) {
        if std::mem::replace(&mut self.requests[request].is_ended, true) {
            return;
        }
        let caller_request = &self.requests[request];
        let (vm, took_ms) = (caller_request.vm, self.now_ms - caller_request.arrived_ms);
        if self.now_ms >= self.onset_ms {
            self.failed += u64::from(!is_good);
            self.late += u64::from(is_good && took_ms > LATE_AFTER_MS);
        }
        let running: Vec<usize> = self.vms[vm].in_flight.iter().flatten().copied().collect();
        for attempt in running {
            let is_its_own = self.attempts[attempt].request == request;
            if is_its_own && !(is_good && self.try_detach(attempt)) {
                self.end_attempt(
                    attempt,
                    if is_good { RequestOutcome::NoEvidence } else { RequestOutcome::Failed },
                );
            }
        }
    }

    /// Detaches an attempt from its answered request so that it continues as evidence; returns whether it did.
    ///
    /// Each VM has at most one detached attempt per backend server.
    fn try_detach(&mut self, attempt: usize) -> bool {
        let Attempt { vm, backend, .. } = self.attempts[attempt];
        let has_one =
            self.vms[vm].in_flight[backend].iter().any(|other| self.attempts[*other].is_detached);
        self.attempts[attempt].is_detached = !has_one;
        !has_one
    }

    /// Retries a request after its last attempt failed, within the retry budget.
    fn retry(&mut self, request: usize) {
        let caller_request = &self.requests[request];
        if caller_request.is_ended || caller_request.running > 0 {
            return;
        }
        let (vm, now_ms) = (caller_request.vm, self.now_ms);
        let may_retry = caller_request.tried.len() < MAX_ATTEMPTS
            && self.vms[vm].budget.take(RETRY_BUDGET_PERCENT, now_ms);
        if may_retry {
            self.send_or_wait(request);
        } else {
            self.end_request(request, false);
        }
    }

    /// Sends a hedge beside a slow attempt, within the retry budget.
    fn hedge(&mut self, request: usize) {
        let caller_request = &self.requests[request];
        let (vm, now_ms) = (caller_request.vm, self.now_ms);
        let is_due = !caller_request.is_ended
            && caller_request.running == 1
            && caller_request.tried.len() < MAX_ATTEMPTS;
        if is_due && self.vms[vm].budget.take(RETRY_BUDGET_PERCENT, now_ms) {
            self.send(request);
        }
    }

    /// Fails a request at its deadline and ends its detached attempts.
    fn expire(&mut self, request: usize) {
        self.end_request(request, false);
        let vm = self.requests[request].vm;
        let running: Vec<usize> = self.vms[vm].in_flight.iter().flatten().copied().collect();
        for attempt in running {
            if self.attempts[attempt].request == request {
                self.end_attempt(attempt, RequestOutcome::Failed);
            }
        }
    }

    /// Sends requests that wait at a VM until no slot is free.
    fn send_waiting(&mut self, vm: usize) {
        while let Some(request) = self.vms[vm].waiting.pop_front() {
            if !self.requests[request].is_ended && !self.send(request) {
                self.vms[vm].waiting.push_front(request);
                return;
            }
        }
    }
}
