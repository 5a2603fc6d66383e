//! A model of a service with a fixed number of slots and the VMs that share it, in steps of one
//! millisecond.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use leverstream_admission::{
    Enqueued, GrantRate, Pressure, Prospect, QueueRank, Rank, RankDemand, Turn, Verdict,
    WaitBounds, WaitQueue,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The interval at which VMs exchange reports, in milliseconds.
const EXCHANGE_MS: u64 = 100;

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The route's rank.
    pub rank: u32,
    /// The usual rate, in requests a second.
    pub per_s: f64,
    /// The mean work, in milliseconds; the work of one request is up to twice as long.
    pub work_ms: u64,
    /// The latency objective.
    pub objective_ms: u64,
    /// The time within which it must be answered.
    pub timeout_ms: u64,
    /// The rate during the surge, as a multiple of the usual rate.
    pub surge: f64,
    /// The value of a request served within its objective, and of one served later.
    pub value: (f64, f64),
    /// The VMs at which it arrives.
    pub vms: Vec<usize>,
}

/// How requests are admitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Scheme {
    /// All are.
    All,
    /// By the admission level.
    Level,
    /// Each rank has a share of the granted slots; what a rank does not use goes to the others in
    /// proportion to theirs.
    Shares(Vec<f64>),
}

/// A run of the model.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The slots of the service.
    pub slots: usize,
    /// The number of VMs.
    pub vms: usize,
    /// The kinds of requests, the most urgent first.
    pub kinds: Vec<Kind>,
    /// The time of the surge.
    pub surge_ms: std::ops::Range<u64>,
    /// The length of the run; no requests arrive in its last tenth.
    pub for_ms: u64,
    /// The bound of each VM's queue.
    pub queue_limit: usize,
    /// How requests are admitted.
    pub scheme: Scheme,
    /// The times during which reports are lost.
    pub partition_ms: std::ops::Range<u64>,
    /// The VM that dies, with its callers, and when.
    pub death: Option<(usize, u64)>,
    /// The seed of arrivals and work.
    pub seed: u64,
}

/// What became of the requests of a kind that arrived during the surge.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Those that arrived.
    pub arrived: usize,
    /// Those served within the objective.
    pub on_time: usize,
    /// Those served later.
    pub late: usize,
    /// Those refused.
    pub refused: usize,
    /// The longest that any refused one was held, in milliseconds, over the whole run.
    pub held_ms: u64,
}

impl Tally {
    /// Returns the served share.
    pub fn served_share(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.arrived.max(1) as f64
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// What became of the requests of each kind.
    pub kinds: Vec<Tally>,
    /// The value of all served requests.
    pub value: f64,
    /// The requests that were neither served nor refused.
    pub lost: usize,
    /// The share of the slots that were in use during the surge.
    pub used: f64,
}

/// A request.
#[derive(Clone, Debug)]
struct Request {
    /// The index of its kind.
    kind: usize,
    /// The bounds of its wait.
    bounds: WaitBounds,
    /// Its work, in milliseconds.
    work_ms: u64,
    /// Its turn.
    turn: Turn,
}

/// A VM.
#[derive(Default)]
struct Vm {
    /// The order of service of the waiting requests.
    queue: WaitQueue<u32, u64>,
    /// The waiting requests by number.
    waiting: BTreeMap<u64, Request>,
    /// The rate of granted slots.
    grant_rate: GrantRate,
    /// The requests that may wait.
    queued: RankDemand,
    /// What is known of the service.
    pressure: Pressure,
    /// Whether it has died.
    is_dead: bool,
}

/// The model.
pub struct Model {
    /// The scenario.
    scenario: Scenario,
    /// The VMs.
    vms: Vec<Vm>,
    /// The requests that the service works on, with the end of each.
    running: Vec<(u64, Request)>,
    /// The requests that were sent to the service without a free slot.
    backlog: VecDeque<Request>,
    /// The decaying demand of each kind and granted slots, as all VMs together know them.
    rates: (Vec<f64>, f64),
    /// The number of the last request.
    last_number: u64,
    /// The result.
    outcome: Outcome,
    /// The generator of the arrivals and their work, which no decision draws from.
    arrivals: StdRng,
    /// The generator of the decisions.
    decisions: StdRng,
}

impl Model {
    /// Prepares a run.
    pub fn new(scenario: Scenario) -> Model {
        let kinds = scenario.kinds.len();
        Model {
            vms: (0..scenario.vms).map(|_| Vm::default()).collect(),
            running: Vec::new(),
            backlog: VecDeque::new(),
            rates: (vec![0.0; kinds], 0.0),
            last_number: 0,
            outcome: Outcome { kinds: vec![Tally::default(); kinds], ..Outcome::default() },
            arrivals: StdRng::seed_from_u64(scenario.seed),
            decisions: StdRng::seed_from_u64(scenario.seed + 1),
            scenario,
        }
    }

    /// Runs the scenario.
    pub fn run(mut self) -> Outcome {
        for now_ms in 1..=self.scenario.for_ms {
            self.finish_work(now_ms);
            if self.scenario.death.is_some_and(|(_, at_ms)| at_ms == now_ms) {
                self.kill();
            }
            if now_ms < self.scenario.for_ms / 10 * 9 {
                self.arrive(now_ms);
            }
            for index in 0..self.vms.len() {
                self.serve((index + now_ms as usize) % self.vms.len(), now_ms);
            }
            if now_ms.is_multiple_of(EXCHANGE_MS) {
                self.exchange(now_ms);
            }
            if self.scenario.surge_ms.contains(&now_ms) {
                self.outcome.used += self.running.len() as f64 / self.scenario.slots as f64;
            }
        }
        self.outcome.used /= (self.scenario.surge_ms.end - self.scenario.surge_ms.start) as f64;
        self.outcome.lost = self.running.len()
            + self.backlog.len()
            + self.vms.iter().map(|vm| vm.waiting.len()).sum::<usize>();
        self.outcome
    }

    /// Ends the VM that dies; its waiting requests are gone.
    fn kill(&mut self) {
        let (index, _) = self.scenario.death.expect("a VM dies");
        self.vms[index] = Vm { is_dead: true, ..Vm::default() };
    }

    /// Ends the work that is done and starts the requests that the service queues.
    fn finish_work(&mut self, now_ms: u64) {
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|(ends_ms, _)| *ends_ms <= now_ms);
        self.running = running;
        for (_, request) in done {
            self.record_served(&request, now_ms);
        }
        while self.free() > 0
            && let Some(request) = self.backlog.pop_front()
        {
            self.running.push((now_ms + request.work_ms, request));
        }
    }

    /// Returns the number of free slots.
    fn free(&self) -> usize {
        self.scenario.slots - self.running.len()
    }

    /// Adds the requests that arrive now.
    fn arrive(&mut self, now_ms: u64) {
        self.decay();
        for index in 0..self.scenario.kinds.len() {
            let kind = self.scenario.kinds[index].clone();
            let is_surge = self.scenario.surge_ms.contains(&now_ms);
            let per_ms = kind.per_s * if is_surge { kind.surge } else { 1.0 } / 1_000.0;
            let count =
                per_ms as usize + usize::from(self.arrivals.random::<f64>() < per_ms.fract());
            for _ in 0..count {
                let vm = kind.vms[self.arrivals.random_range(0..kind.vms.len())];
                let work_ms = self.arrivals.random_range(1..=2 * kind.work_ms);
                if !self.vms[vm].is_dead {
                    self.add(index, &kind, vm, work_ms, now_ms);
                }
            }
        }
    }

    /// Decays the rates by one millisecond.
    fn decay(&mut self) {
        let factor = (-1.0_f64 / 1_000.0).exp();
        self.rates.0.iter_mut().for_each(|rate| *rate *= factor);
        self.rates.1 *= factor;
    }

    /// Admits or refuses an arriving request.
    fn add(&mut self, index: usize, kind: &Kind, vm_index: usize, work_ms: u64, now_ms: u64) {
        let rank = QueueRank { workspace: 0, route: kind.rank };
        let bounds = WaitBounds {
            since_ms: now_ms,
            objective_ms: kind.objective_ms,
            work_ms: kind.work_ms as f64,
            deadline_ms: now_ms + kind.timeout_ms,
        };
        self.rates.0[index] += 1.0;
        let is_counted = self.scenario.surge_ms.contains(&now_ms);
        self.outcome.kinds[index].arrived += usize::from(is_counted);
        let sample = self.decisions.random();
        let share = self.reserved_share(index);
        let vm = &mut self.vms[vm_index];
        vm.pressure.note_arrival(rank.demand_rank(), now_ms);
        let is_admitted = match self.scenario.scheme {
            Scheme::All => true,
            Scheme::Level => vm.pressure.admits(rank.demand_rank(), sample, now_ms),
            Scheme::Shares(_) => sample < share,
        };
        let turn = vm.queue.assign_turn(rank, None);
        let request = Request { kind: index, bounds, work_ms, turn };
        if !is_admitted {
            self.record_refused(&request, now_ms);
            return;
        }
        vm.queued.note_arrival(rank.demand_rank(), now_ms);
        self.last_number += 1;
        self.enqueue(vm_index, self.last_number, request, now_ms);
    }

    /// Returns the share of a kind that reserved shares admit while requests wait.
    fn reserved_share(&self, index: usize) -> f64 {
        let Scheme::Shares(weights) = &self.scenario.scheme else { return 1.0 };
        let (demand, granted) = &self.rates;
        let total: f64 = demand.iter().sum();
        let waits = self.vms.iter().any(|vm| !vm.waiting.is_empty());
        if total <= *granted || !waits {
            return 1.0;
        }
        let (mut left, mut given) = (*granted, vec![0.0; demand.len()]);
        for _ in 0..demand.len() {
            let is_open = |kind: &usize| demand[*kind] > given[*kind] + 1e-9;
            let open: Vec<usize> = (0..demand.len()).filter(is_open).collect();
            let weight: f64 = open.iter().map(|kind| weights[*kind]).sum();
            let part = left / weight.max(1e-9);
            for kind in open {
                let more = (part * weights[kind]).min(demand[kind] - given[kind]);
                given[kind] += more;
                left -= more;
            }
        }
        given[index] / demand[index]
    }

    /// Adds a request to the queue of its VM.
    fn enqueue(&mut self, vm_index: usize, number: u64, request: Request, now_ms: u64) {
        let vm = &mut self.vms[vm_index];
        let displaced = match vm.queue.enqueue(request.turn, number, self.scenario.queue_limit) {
            Enqueued::Waits => None,
            Enqueued::Displaced(displaced) => {
                vm.grant_rate.end_wait(now_ms);
                vm.waiting.remove(&displaced)
            }
            Enqueued::Full(_) => return self.record_refused(&request, now_ms),
        };
        vm.grant_rate.begin_wait(now_ms);
        vm.waiting.insert(number, request);
        if let Some(displaced) = displaced {
            self.record_refused(&displaced, now_ms);
        }
    }

    /// Lets the waiting requests of a VM take free slots, and decides on the others.
    fn serve(&mut self, vm_index: usize, now_ms: u64) {
        self.commit(vm_index, now_ms);
        while self.free() > 0
            && let Some(number) = self.vms[vm_index].queue.take_first()
        {
            let request = self.take(vm_index, number, now_ms);
            let vm = &mut self.vms[vm_index];
            vm.pressure.note_grant(now_ms);
            vm.grant_rate.note_grant(now_ms);
            self.rates.1 += 1.0;
            self.running.push((now_ms + request.work_ms, request));
        }
        let numbers: Vec<u64> = self.vms[vm_index].waiting.keys().copied().collect();
        for number in numbers {
            self.decide(vm_index, number, now_ms);
        }
    }

    /// Commits the requests that have waited a quarter of their objective.
    fn commit(&mut self, vm_index: usize, now_ms: u64) {
        let limit = self.scenario.queue_limit;
        let Vm { queue, waiting, .. } = &mut self.vms[vm_index];
        let mut displaced_numbers = Vec::new();
        for (number, request) in waiting.iter_mut() {
            if !request.turn.is_committed() && request.bounds.is_committed(now_ms) {
                queue.remove(request.turn);
                request.turn = request.turn.committed();
                if let Enqueued::Displaced(other) = queue.requeue(request.turn, *number, limit) {
                    displaced_numbers.push(other);
                }
            }
        }
        for number in displaced_numbers {
            self.refuse(vm_index, number, now_ms);
        }
    }

    /// Takes a request that is no longer queued from its VM.
    fn take(&mut self, vm_index: usize, number: u64, now_ms: u64) -> Request {
        let vm = &mut self.vms[vm_index];
        vm.grant_rate.end_wait(now_ms);
        vm.waiting.remove(&number).expect("it waits")
    }

    /// Refuses a request that waits.
    fn refuse(&mut self, vm_index: usize, number: u64, now_ms: u64) {
        let vm = &mut self.vms[vm_index];
        let Some(request) = vm.waiting.remove(&number) else { return };
        vm.queue.remove(request.turn);
        vm.grant_rate.end_wait(now_ms);
        self.record_refused(&request, now_ms);
    }

    /// Decides on a request that has found no free slot.
    fn decide(&mut self, vm_index: usize, number: u64, now_ms: u64) {
        let vm = &mut self.vms[vm_index];
        let request = &vm.waiting[&number];
        let rank = Rank(self.scenario.kinds[request.kind].rank);
        let granted_per_s = vm.grant_rate.per_s(now_ms);
        let prospect = granted_per_s.map(|granted_per_s| Prospect {
            ahead: vm.queue.count_ahead(request.turn),
            granted_per_s,
            urgent_per_s: vm.queued.per_s_above(rank, now_ms),
            free_slots: 0,
            open_ms: request.bounds.commits_ms().saturating_sub(now_ms),
        });
        match request.bounds.verdict(prospect, now_ms) {
            Verdict::WaitUntil(_) if now_ms < request.bounds.deadline_ms => {}
            Verdict::WaitUntil(_) | Verdict::Refuse => self.refuse(vm_index, number, now_ms),
            Verdict::Offer => {
                let turn = request.turn;
                vm.queue.remove(turn);
                let request = self.take(vm_index, number, now_ms);
                self.backlog.push_back(request);
            }
        }
    }

    /// Lets the VMs compute their levels and hear of each other.
    fn exchange(&mut self, now_ms: u64) {
        let mut reports = Vec::new();
        for (index, vm) in self.vms.iter_mut().enumerate().filter(|(_, vm)| !vm.is_dead) {
            vm.pressure.refresh(vm.waiting.len(), now_ms);
            let report = vm.pressure.report(vm.waiting.len(), now_ms);
            reports.extend(report.map(|report| (index, report)));
        }
        if self.scenario.partition_ms.contains(&now_ms) {
            return;
        }
        for (index, vm) in self.vms.iter_mut().enumerate() {
            for (from, report) in reports.iter().filter(|(from, _)| *from != index) {
                vm.pressure.apply_report(*from as u64, report.clone(), now_ms);
            }
        }
    }

    /// Records a served request.
    fn record_served(&mut self, request: &Request, now_ms: u64) {
        let kind = &self.scenario.kinds[request.kind];
        let took_ms = now_ms - request.bounds.since_ms;
        let tally = &mut self.outcome.kinds[request.kind];
        if !self.scenario.surge_ms.contains(&request.bounds.since_ms) {
            return;
        }
        if took_ms <= kind.objective_ms {
            tally.on_time += 1;
            self.outcome.value += kind.value.0;
        } else if took_ms <= kind.timeout_ms {
            tally.late += 1;
            self.outcome.value += kind.value.1;
        }
    }

    /// Records a refused request.
    fn record_refused(&mut self, request: &Request, now_ms: u64) {
        let held_ms = now_ms - request.bounds.since_ms;
        let is_counted = self.scenario.surge_ms.contains(&request.bounds.since_ms);
        let tally = &mut self.outcome.kinds[request.kind];
        tally.refused += usize::from(is_counted);
        tally.held_ms = tally.held_ms.max(held_ms);
    }
}
