//! Simulates a fleet of VMs and a service that rejects requests, in simulated time: VMs are killed,
//! restarted, frozen and partitioned; datagrams are lost, duplicated and delayed. It records what
//! callers sent and what backend servers received.
//!
//! [`vm`] holds the decisions of a VM and the messages between VMs; this module is independent of
//! both.

pub mod vm;

use std::collections::BTreeMap;

use leverstream_route::RetryAllowance;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use vm::{Message, Vm};

/// The length of a simulation step, in milliseconds.
const STEP_MS: u64 = 10;

/// The interval at which a VM updates its view of the other VMs, in milliseconds.
const VIEW_INTERVAL_MS: u64 = 100;

/// The largest number of repeats of a request.
const MAX_REPEATS: u32 = 5;

/// The share of requests that go to any VM instead of those assigned to callers.
const STRAY_SHARE: f64 = 0.03;

/// How long callers may use an outdated list of VMs, in milliseconds.
const MAX_LIST_AGE_MS: u64 = 2_000;

/// The length of the window of the bound in these tests, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;

/// An event at a VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Its process ends.
    Kill,
    /// A new process starts.
    Start,
    /// It is removed from the list for callers, and serves those that still use it.
    Drain,
    /// Its process freezes for this time, in milliseconds.
    Freeze(u64),
    /// It and the other VMs can't reach each other for this time, in milliseconds; callers can
    /// reach it.
    Partition(u64),
}

/// A scenario to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of VMs.
    pub vms: usize,
    /// The number of data halls; callers use one VM of each.
    pub halls: usize,
    /// Requests per second from all callers.
    pub requests_per_s: f64,
    /// The allowance of all VMs together.
    pub allowance: RetryAllowance,
    /// The periods in which the service rejects requests: from, to and the rejected share.
    pub rejects: Vec<(u64, u64, f64)>,
    /// The events: time in milliseconds, VM and event.
    pub events: Vec<(u64, usize, Event)>,
    /// The share of datagrams that are lost.
    pub loss_rate: f64,
    /// The share of datagrams that are duplicated.
    pub duplicate_rate: f64,
    /// The longest delay of a datagram, in milliseconds.
    pub max_delay_ms: u64,
    /// The length of the simulation, in milliseconds.
    pub duration_ms: u64,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// The times of the requests that callers sent and of the repeats that backend servers received.
#[derive(Clone, Debug)]
pub struct Recording {
    /// The allowance of all VMs together.
    pub allowance: RetryAllowance,
    /// Requests that callers sent.
    pub requests: Vec<u64>,
    /// Requests that backend servers received, except the first of each request.
    pub repeats: Vec<u64>,
}

/// The repeats in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowRepeats {
    /// When the window begins.
    pub from_ms: u64,
    /// The repeats in it.
    pub repeats: usize,
    /// The number of repeats allowed.
    pub allowed: f64,
}

/// A VM of the fleet and its process.
#[derive(Debug, Default)]
struct Host {
    /// The process that runs there.
    vm: Option<Vm>,
    /// Whether it is removed from the list for callers.
    is_draining: bool,
    /// Its view of the other VMs.
    view: View,
    /// When its freeze ends.
    frozen_until_ms: u64,
    /// When its partition ends.
    partitioned_until_ms: u64,
}

/// A VM's view of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The VM's own index.
    pub me: usize,
    /// The VMs that callers use.
    pub placed: Vec<usize>,
    /// All VMs that are alive.
    pub alive: Vec<usize>,
}

/// A running simulation.
struct Fleet {
    /// The scenario.
    scenario: Scenario,
    /// The VMs.
    hosts: Vec<Host>,
    /// Datagrams in transit, by arrival time and number: sender, receiver and message.
    in_transit: BTreeMap<(u64, u64), (usize, usize, Message)>,
    /// The number of the next datagram.
    next_datagram: u64,
    /// The VMs that were listed for callers at each step, newest last.
    listed_at: Vec<Vec<bool>>,
    /// The random number generator.
    rng: StdRng,
    /// The recorded requests and repeats.
    recording: Recording,
}

/// Simulates a scenario.
pub fn simulate(scenario: Scenario) -> Recording {
    let rng = StdRng::seed_from_u64(scenario.seed);
    let hosts = (0..scenario.vms).map(|_| Host::default()).collect();
    let (in_transit, listed_at, allowance) = (BTreeMap::new(), Vec::new(), scenario.allowance);
    let recording = Recording { allowance, requests: Vec::new(), repeats: Vec::new() };
    let mut fleet =
        Fleet { scenario, hosts, in_transit, next_datagram: 0, listed_at, rng, recording };
    for host in 0..fleet.hosts.len() {
        fleet.start(host, 0);
    }
    for now_ms in (0..fleet.scenario.duration_ms).step_by(STEP_MS as usize) {
        fleet.step(now_ms);
    }
    fleet.recording
}

impl Fleet {
    /// Simulates one step.
    fn step(&mut self, now_ms: u64) {
        let events = std::mem::take(&mut self.scenario.events);
        for (_, host, event) in
            events.iter().filter(|(at_ms, ..)| at_ms / STEP_MS == now_ms / STEP_MS)
        {
            self.apply(*host, *event, now_ms);
        }
        self.scenario.events = events;
        let listed = |host: &Host| host.vm.is_some() && !host.is_draining;
        self.listed_at.push(self.hosts.iter().map(listed).collect());
        self.deliver(now_ms);
        for host in 0..self.hosts.len() {
            self.tick(host, now_ms);
        }
        let count = self.scenario.requests_per_s * STEP_MS as f64 / 1_000.0;
        let count = count as u64 + u64::from(self.rng.random_bool(count.fract()));
        for _ in 0..count {
            self.request(now_ms);
        }
    }

    /// Starts a process on a VM.
    fn start(&mut self, host: usize, now_ms: u64) {
        let process_number = self.rng.random();
        self.hosts[host] = Host {
            vm: Some(Vm::start(process_number, self.scenario.allowance, now_ms)),
            ..Host::default()
        };
    }

    /// Applies an event to a VM.
    fn apply(&mut self, host: usize, event: Event, now_ms: u64) {
        match event {
            Event::Kill => self.hosts[host] = Host::default(),
            Event::Start => self.start(host, now_ms),
            Event::Drain => self.hosts[host].is_draining = true,
            Event::Freeze(for_ms) => self.hosts[host].frozen_until_ms = now_ms + for_ms,
            Event::Partition(for_ms) => self.hosts[host].partitioned_until_ms = now_ms + for_ms,
        }
    }

    /// Returns whether a VM's process runs.
    fn runs(&self, host: usize, now_ms: u64) -> bool {
        self.hosts[host].vm.is_some() && now_ms >= self.hosts[host].frozen_until_ms
    }

    /// Returns the VMs that were listed for callers `ago_ms` ago.
    fn listed_at(&self, ago_ms: u64) -> &[bool] {
        let last = self.listed_at.len() - 1;
        &self.listed_at[last.saturating_sub((ago_ms / STEP_MS) as usize)]
    }

    /// Returns a VM's view of the fleet. Each VM learns of changes with its own delay; a
    /// partitioned one sees no other VM.
    fn view(&self, host: usize, now_ms: u64) -> View {
        let delay_ms = 200 + 100 * (host as u64 * 7 % 10);
        let is_alone = now_ms + 1 < self.hosts[host].partitioned_until_ms;
        let is_known = |other: usize| {
            let is_partitioned = is_alone || now_ms < self.hosts[other].partitioned_until_ms;
            other == host || (self.listed_at(delay_ms)[other] && !is_partitioned)
        };
        let alive: Vec<usize> = (0..self.hosts.len()).filter(|other| is_known(*other)).collect();
        View { me: host, placed: self.placed(&alive), alive }
    }

    /// Returns the VMs that callers use: the first of each hall among `alive`.
    fn placed(&self, alive: &[usize]) -> Vec<usize> {
        let first =
            |hall: usize| alive.iter().copied().find(|host| host % self.scenario.halls == hall);
        (0..self.scenario.halls).filter_map(first).collect()
    }

    /// Delivers the datagrams that are due.
    fn deliver(&mut self, now_ms: u64) {
        while let Some(entry) =
            self.in_transit.first_entry().filter(|entry| entry.key().0 <= now_ms)
        {
            let (from, to, message) = entry.remove();
            let is_partitioned = |host: usize| now_ms < self.hosts[host].partitioned_until_ms;
            if is_partitioned(from) || is_partitioned(to) || !self.runs(to, now_ms) {
                continue;
            }
            let out = self.hosts[to].vm.as_mut().map(|vm| vm.receive(from, &message, now_ms));
            self.send(to, out.unwrap_or_default(), now_ms);
        }
    }

    /// Lets a VM do its periodic work.
    fn tick(&mut self, host: usize, now_ms: u64) {
        if !self.runs(host, now_ms) {
            return;
        }
        if self.hosts[host].view.alive.is_empty() || now_ms.is_multiple_of(VIEW_INTERVAL_MS) {
            self.hosts[host].view = self.view(host, now_ms);
        }
        let Host { vm, view, .. } = &mut self.hosts[host];
        let out = vm.as_mut().map(|vm| vm.tick(view, now_ms));
        self.send(host, out.unwrap_or_default(), now_ms);
    }

    /// Sends datagrams; some are lost, some duplicated.
    fn send(&mut self, from: usize, out: Vec<(usize, Message)>, now_ms: u64) {
        for (to, message) in out {
            let copies = 1 + u64::from(self.rng.random_bool(self.scenario.duplicate_rate));
            for _ in 0..copies {
                if self.rng.random_bool(self.scenario.loss_rate) {
                    continue;
                }
                let at_ms = now_ms + self.rng.random_range(1..=self.scenario.max_delay_ms);
                self.in_transit.insert((at_ms, self.next_datagram), (from, to, message.clone()));
                self.next_datagram += 1;
            }
        }
    }

    /// Sends a request to a VM from a list of VMs that may be outdated.
    fn request(&mut self, now_ms: u64) {
        self.recording.requests.push(now_ms);
        let ago_ms = self.rng.random_range(0..MAX_LIST_AGE_MS);
        let listed: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.listed_at(ago_ms)[*host]).collect();
        let placed = self.placed(&listed);
        let is_stray = self.rng.random_bool(STRAY_SHARE);
        let Some(host) = (if is_stray { &listed } else { &placed }).choose(&mut self.rng).copied()
        else {
            return;
        };
        if !self.runs(host, now_ms) {
            return;
        }
        let reject =
            self.scenario.rejects.iter().find(|(from, to, _)| (*from..*to).contains(&now_ms));
        let reject = reject.map_or(0.0, |(.., share)| *share);
        let Some(vm) = &mut self.hosts[host].vm else { return };
        vm.request(now_ms);
        for _ in 0..MAX_REPEATS {
            if !self.rng.random_bool(reject) {
                return;
            }
            if !vm.take(now_ms) {
                return;
            }
            self.recording.repeats.push(now_ms);
        }
    }
}

impl Recording {
    /// Returns the window with the largest excess of repeats, or `None` if no window holds more
    /// than allowed.
    ///
    /// The requests of the window, the preceding one and the one half a window earlier are
    /// compared, and the largest count sets the allowance.
    pub fn worst_excess(&self) -> Option<WindowRepeats> {
        let end_ms = self.requests.last().copied().unwrap_or_default();
        let windows = (0..=end_ms).step_by(50);
        let excess = windows.map(|from_ms| self.window(from_ms));
        let over = |excess: &WindowRepeats| excess.repeats as f64 - excess.allowed;
        excess.filter(|excess| over(excess) > 0.0).max_by(|a, b| over(a).total_cmp(&over(b)))
    }

    /// Returns the repeats in one window and what was allowed.
    pub fn window(&self, from_ms: u64) -> WindowRepeats {
        let allowance = self.allowance;
        let window_ms = allowance.window_ms;
        let requests = |from_ms: u64| count(&self.requests, from_ms, window_ms);
        let earlier =
            [from_ms, from_ms.saturating_sub(window_ms / 2), from_ms.saturating_sub(window_ms)];
        let requests = earlier.map(requests).into_iter().max().unwrap_or_default();
        let allowed = allowance.ratio * requests as f64 + allowance.slack;
        WindowRepeats { from_ms, repeats: count(&self.repeats, from_ms, window_ms), allowed }
    }
}

/// Returns how many of `times`, which are sorted, lie in a window.
fn count(times: &[u64], from_ms: u64, window_ms: u64) -> usize {
    let first = times.partition_point(|at_ms| *at_ms < from_ms);
    times.partition_point(|at_ms| *at_ms < from_ms + window_ms) - first
}
