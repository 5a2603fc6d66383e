//! A simulation of VMs that run the real fleet code, their datagrams, an unavailable store, and
//! backend servers that leave.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Fleet, NoticeSync, Notices, Outcome, PickRequest, RouteKey, choose};
use leverstream_health::BackendKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The service time of a request, in milliseconds.
const WORK_MS: u64 = 50;

/// The interval of the evidence messages between VMs that share the traffic, in milliseconds.
const EVIDENCE_MS: u64 = 30;

/// The ping interval of a VM, in milliseconds.
const PING_MS: u64 = 400;

/// The interval at which entries are written to the store, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

/// The number of VMs outside the traffic that a notice is sent to at once.
const OTHERS_NOTIFIED: usize = 48;

/// One request in this many goes to a random VM.
const NON_ENTRY_VM_ONE_IN: u32 = 20;

/// The size of a datagram without incarnations, and of each incarnation, in bytes.
const DATAGRAM_BYTES: (u64, u64) = (30, 45);

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of VMs.
    pub vms: usize,
    /// The number of VMs that share the traffic.
    pub entry_vms: usize,
    /// The number of backend servers.
    pub servers: usize,
    /// The number of backend servers that leave, from one second on.
    pub leaving: usize,
    /// The time over which they begin to leave, in milliseconds.
    pub over_ms: u64,
    /// How long a leaving backend server still serves a service without others, in milliseconds.
    pub last_resort_ms: u64,
    /// When the store becomes available, in milliseconds; it is unavailable from the start.
    pub store_available_ms: u64,
    /// The request rate.
    pub requests_per_s: u32,
    /// The faults of VMs: time, VM, fault.
    pub faults: Vec<(u64, usize, Fault)>,
    /// The share of datagrams that are lost.
    pub lost_share: f64,
    /// The share of datagrams that are duplicated.
    pub duplicated_share: f64,
    /// The maximum delay of a datagram, in milliseconds.
    pub max_delay_ms: u64,
    /// The length of the simulation, in milliseconds.
    pub duration_ms: u64,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// A fault of a VM that lasts for some milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The VM is killed and starts again without state.
    Kill(u64),
    /// The VM is paused.
    Pause(u64),
    /// The VM is cut off from all other VMs and from the store.
    Partition(u64),
}

/// The observations at the backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observations {
    /// The longest time from a backend server's announcement to a VM until a request of that VM, in
    /// milliseconds.
    pub longest_own_ms: u64,
    /// The longest time from a backend server's first announcement to any VM until a request of any
    /// VM, in milliseconds.
    pub longest_any_ms: u64,
    /// The number of requests without a backend server in service.
    pub refused: usize,
    /// The number of requests.
    pub requests: usize,
    /// The bytes about leaving incarnations that the busiest VM sent.
    pub busiest_vm_bytes: u64,
}

/// A simulated VM.
struct Vm {
    /// Its fleet state.
    fleet: Fleet,
    /// The state of its comparisons.
    notice_sync: NoticeSync,
    /// Its route.
    route: RouteKey,
    /// The end of its downtime or pause.
    down_until_ms: u64,
    /// The end of its partition.
    partitioned_until_ms: u64,
    /// The number of its restarts.
    restarts: u32,
    /// When each backend server first announced to it that it leaves, since its restart.
    announced_ms: HashMap<usize, u64>,
    /// The bytes it sent about leaving incarnations.
    bytes: u64,
}

/// A scheduled event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A backend server answers a request that a VM sent before any further restart.
    Answer { vm: usize, restarts: u32, server: usize, key: u32, since_ms: u64 },
    /// A VM receives leaving incarnations.
    Notice { from: usize, to: usize, ids: Vec<usize>, asks: bool },
    /// A VM receives another's fingerprint.
    Fingerprint { from: usize, to: usize, fingerprint: u64 },
}

/// The state of a simulation.
struct Simulation {
    /// The parameters.
    scenario: Scenario,
    /// The VMs; the first `entry_vms` share the traffic.
    vms: Vec<Vm>,
    /// When each backend server first announced to any VM that it leaves.
    first_announced_ms: HashMap<usize, u64>,
    /// The scheduled events.
    scheduled: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// The number of events scheduled so far, as a tie breaker.
    count: u64,
    /// The random numbers.
    rng: StdRng,
    /// The observations.
    observations: Observations,
}

/// Runs a simulation.
pub fn simulate(scenario: Scenario) -> Observations {
    let mut simulation = Simulation {
        vms: (0..scenario.vms).map(|_| start(&scenario, 0, 0)).collect(),
        first_announced_ms: HashMap::new(),
        scheduled: BinaryHeap::new(),
        count: 0,
        rng: StdRng::seed_from_u64(scenario.seed),
        observations: Observations::default(),
        scenario,
    };
    for now_ms in 0..simulation.scenario.duration_ms {
        simulation.apply_faults(now_ms);
        simulation.handle_due(now_ms);
        simulation.tick(now_ms);
    }
    simulation.observations.busiest_vm_bytes =
        simulation.vms.iter().map(|vm| vm.bytes).max().unwrap_or(0);
    simulation.observations
}

/// Creates a VM that has just read the list from another VM, without any notices.
fn start(scenario: &Scenario, restarts: u32, now_ms: u64) -> Vm {
    let mut fleet = Fleet::default();
    fleet.set_last_resort(scenario.last_resort_ms);
    (0..scenario.servers).for_each(|server| {
        fleet.set(entry(server, false), 1, now_ms);
    });
    let route = fleet.route_key("r", 400);
    let (notice_sync, announced_ms) = (NoticeSync::default(), HashMap::new());
    Vm {
        fleet,
        notice_sync,
        route,
        down_until_ms: 0,
        partitioned_until_ms: 0,
        restarts,
        announced_ms,
        bytes: 0,
    }
}

/// The store entry of a backend server.
fn entry(server: usize, is_leaving: bool) -> Backend {
    Backend {
        instance: format!("i-{server}"),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots: 4,
        is_leaving,
        born_ms: 7,
        cold_left_ms: 0,
    }
}

/// The incarnation of a backend server.
fn of(server: usize) -> Incarnation {
    entry(server, false).incarnation()
}

/// The number of an incarnation's backend server.
fn server(of: &Incarnation) -> usize {
    of.instance[2..].parse().expect("a number")
}

impl Simulation {
    /// Returns when a backend server begins to announce that it leaves.
    fn leaves_ms(&self, server: usize) -> Option<u64> {
        let Scenario { leaving, over_ms, .. } = self.scenario;
        (server < leaving).then(|| 1_000 + over_ms * server as u64 / leaving as u64)
    }

    /// Applies the faults that begin now.
    fn apply_faults(&mut self, now_ms: u64) {
        let faults: Vec<(usize, Fault)> = self
            .scenario
            .faults
            .iter()
            .filter(|fault| fault.0 == now_ms)
            .map(|fault| (fault.1, fault.2))
            .collect();
        for (at, fault) in faults {
            let restarts = self.vms[at].restarts + 1;
            match fault {
                Fault::Kill(for_ms) => {
                    let bytes = self.vms[at].bytes;
                    self.vms[at] = start(&self.scenario, restarts, now_ms + for_ms);
                    self.vms[at].bytes = bytes;
                    self.vms[at].down_until_ms = now_ms + for_ms;
                }
                Fault::Pause(for_ms) => {
                    self.vms[at].down_until_ms = now_ms + for_ms;
                    self.vms[at].announced_ms.clear();
                }
                Fault::Partition(for_ms) => self.vms[at].partitioned_until_ms = now_ms + for_ms,
            }
        }
    }

    /// Handles the events that are due.
    fn handle_due(&mut self, now_ms: u64) {
        while self.scheduled.peek().is_some_and(|Reverse((at_ms, ..))| *at_ms <= now_ms) {
            let Some(Reverse((_, _, event))) = self.scheduled.pop() else { return };
            match event {
                Event::Answer { vm, restarts, server, key, since_ms } => {
                    self.answer(vm, restarts, server, BackendKey(key), since_ms, now_ms);
                }
                Event::Notice { from, to, ids, asks } => self.receive(from, to, &ids, asks, now_ms),
                Event::Fingerprint { from, to, fingerprint } => {
                    self.compare(from, to, fingerprint, now_ms);
                }
            }
        }
    }

    /// Sends requests, pings and evidence, and lets the VMs read the store.
    fn tick(&mut self, now_ms: u64) {
        if self.rng.random_range(0..1_000) < self.scenario.requests_per_s {
            self.request(now_ms);
        }
        let entry_vms = self.scenario.entry_vms;
        for vm in 0..self.scenario.vms {
            if (now_ms + vm as u64).is_multiple_of(PING_MS) {
                let to = self.rng.random_range(0..self.scenario.vms);
                self.send_fingerprint(vm, to, now_ms);
                self.send_fingerprint(to, vm, now_ms);
            }
            if vm < entry_vms && (now_ms + vm as u64).is_multiple_of(EVIDENCE_MS) {
                (0..entry_vms).for_each(|to| self.send_fingerprint(vm, to, now_ms));
            }
        }
        let available_ms = self.scenario.store_available_ms;
        if now_ms >= available_ms && (now_ms - available_ms).is_multiple_of(HEARTBEAT_MS) {
            // The first entries after the store's return still list all backend servers as ready.
            let is_stale = now_ms == available_ms;
            for vm in 0..self.scenario.vms {
                self.read_store(vm, is_stale, now_ms);
            }
        }
    }

    /// Lets a VM read the store.
    fn read_store(&mut self, at: usize, is_stale: bool, now_ms: u64) {
        if !self.is_reachable(at, now_ms) {
            return;
        }
        for server in 0..self.scenario.servers {
            let is_leaving =
                !is_stale && self.leaves_ms(server).is_some_and(|at_ms| at_ms <= now_ms);
            self.vms[at].fleet.set(entry(server, is_leaving), now_ms, now_ms);
        }
    }

    /// Sends a caller's request to a VM.
    fn request(&mut self, now_ms: u64) {
        let is_any_vm = self.rng.random_range(0..NON_ENTRY_VM_ONE_IN) == 0;
        let at = self
            .rng
            .random_range(0..if is_any_vm { self.scenario.vms } else { self.scenario.entry_vms });
        if self.vms[at].down_until_ms > now_ms {
            return;
        }
        self.observations.requests += 1;
        let request = PickRequest {
            service: "shop",
            hall: "h1",
            is_repeatable: true,
            tried: &[],
            waited_ms: 400,
            far_bytes_cost: 0.0,
            objective_ms: 400,
            floor_share: 0.73,
            requests_fail: false,
            requests_per_s: None,
            is_spared: false,
            vm: 0,
        };
        let vm = &mut self.vms[at];
        let Some(pick) = choose(&vm.fleet, &request, now_ms, &mut self.rng) else {
            self.observations.refused += 1;
            return;
        };
        let server = server(&vm.fleet.incarnation(pick.key));
        vm.fleet.begin_request(pick.key, vm.route, now_ms);
        let own_ms = vm.announced_ms.get(&server).map_or(0, |since_ms| now_ms - since_ms);
        let any_ms = self.first_announced_ms.get(&server).map_or(0, |since_ms| now_ms - since_ms);
        self.observations.longest_own_ms = self.observations.longest_own_ms.max(own_ms);
        self.observations.longest_any_ms = self.observations.longest_any_ms.max(any_ms);
        let restarts = self.vms[at].restarts;
        let answer = Event::Answer { vm: at, restarts, server, key: pick.key.0, since_ms: now_ms };
        self.schedule(now_ms + WORK_MS, answer);
    }

    /// Handles an answer, which says whether its backend server leaves.
    fn answer(
        &mut self,
        at: usize,
        restarts: u32,
        server: usize,
        key: BackendKey,
        since_ms: u64,
        now_ms: u64,
    ) {
        if self.vms[at].restarts != restarts {
            return;
        }
        let down_until_ms = self.vms[at].down_until_ms;
        if down_until_ms > now_ms {
            self.schedule(
                down_until_ms,
                Event::Answer { vm: at, restarts, server, key: key.0, since_ms },
            );
            return;
        }
        let leaves = self.leaves_ms(server).is_some_and(|at_ms| at_ms <= now_ms);
        let vm = &mut self.vms[at];
        let is_news = leaves && vm.fleet.note_leaving(&of(server), now_ms);
        let good = Outcome::Good { time_ms: WORK_MS as f64, bytes: 100 };
        vm.fleet.end_request(key, since_ms, vm.route, good, now_ms);
        if leaves {
            vm.announced_ms.entry(server).or_insert(now_ms);
            self.first_announced_ms.entry(server).or_insert(now_ms);
        }
        if is_news {
            let mut others: Vec<usize> = (self.scenario.entry_vms..self.scenario.vms).collect();
            others.truncate(OTHERS_NOTIFIED);
            let entry_vms = 0..self.scenario.entry_vms;
            entry_vms
                .chain(others)
                .for_each(|to| self.send_notices(at, to, vec![server], false, now_ms));
        }
    }

    /// Handles the notices of another VM.
    fn receive(&mut self, from: usize, to: usize, ids: &[usize], asks: bool, now_ms: u64) {
        let notices =
            Notices { starts: ids.iter().copied().map(of).collect(), asks, ..Notices::default() };
        let applied = NoticeSync::apply(notices, &mut self.vms[to].fleet, now_ms);
        if let Some(notices) = applied.answer {
            self.send_notices(
                to,
                from,
                notices.starts.iter().map(server).collect(),
                notices.asks,
                now_ms,
            );
        }
    }

    /// Handles another VM's fingerprint.
    fn compare(&mut self, from: usize, to: usize, fingerprint: u64, now_ms: u64) {
        let is_entry_vm = to < self.scenario.entry_vms;
        let vm = &mut self.vms[to];
        if let Some(notices) = vm.notice_sync.compare(fingerprint, &vm.fleet, is_entry_vm, now_ms) {
            self.send_notices(
                to,
                from,
                notices.starts.iter().map(server).collect(),
                notices.asks,
                now_ms,
            );
        }
    }

    /// Sends leaving incarnations to a VM.
    fn send_notices(&mut self, from: usize, to: usize, ids: Vec<usize>, asks: bool, now_ms: u64) {
        let (head, each) = DATAGRAM_BYTES;
        self.vms[from].bytes += head + each * ids.len() as u64;
        self.send(from, to, &Event::Notice { from, to, ids, asks }, now_ms);
    }

    /// Sends a VM's fingerprint to another.
    fn send_fingerprint(&mut self, from: usize, to: usize, now_ms: u64) {
        let fingerprint = self.vms[from].fleet.notices_fingerprint();
        self.send(from, to, &Event::Fingerprint { from, to, fingerprint }, now_ms);
    }

    /// Sends a datagram, which may be lost, delayed or duplicated.
    fn send(&mut self, from: usize, to: usize, event: &Event, now_ms: u64) {
        let copies = 1 + usize::from(self.rng.random_bool(self.scenario.duplicated_share));
        for _ in 0..copies {
            let is_lost = self.rng.random_bool(self.scenario.lost_share);
            let at_ms = now_ms + self.rng.random_range(1..=self.scenario.max_delay_ms);
            if from != to
                && !is_lost
                && self.is_reachable(from, now_ms)
                && self.is_reachable(to, at_ms)
            {
                self.schedule(at_ms, event.clone());
            }
        }
    }

    /// Tells whether a VM is running and connected.
    fn is_reachable(&self, vm: usize, at_ms: u64) -> bool {
        self.vms[vm].down_until_ms <= at_ms && self.vms[vm].partitioned_until_ms <= at_ms
    }

    /// Schedules an event.
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.count += 1;
        self.scheduled.push(Reverse((at_ms, self.count, event)));
    }
}
