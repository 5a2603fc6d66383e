//! Model check of permits: all orders of up to three events at three VMs within four seconds, while
//! all VMs request as many permits as they can get. Whichever VM restarts, falls silent or loses
//! sight of another, no four seconds hold more permits than allowed.

use leverstream_catalog::Incarnation;
use leverstream_limit::{
    ARBITERS, Arbiter, PermitRequest, Role, Step, UnresponsiveArbiters, Verdict, consents_needed,
};

/// The number of VMs.
const VMS: usize = 3;

/// The limit of the backend server, in requests per second.
const LIMIT_PER_S: f64 = 1.4;

/// The length of a step, in milliseconds.
const STEP_MS: u64 = 500;

/// The number of steps: a window and a half.
const STEPS: usize = 12;

/// The number of steps, from the second on, in which an event may happen.
const EVENT_STEPS: usize = 8;

/// The number of times that the VMs request permits within a step.
const ASKS_PER_STEP: u64 = 10;

/// An event at a VM.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It restarts and loses its state.
    Restart(usize),
    /// It stops answering, or answers again.
    Silence(usize),
    /// It loses sight of another VM, or sees it again.
    LoseSight(usize, usize),
}

/// The state of the fleet.
#[derive(Clone)]
struct FleetState {
    /// The arbiter of each VM.
    arbiters: [Arbiter; VMS],
    /// The arbiters that didn't answer each VM.
    unresponsive: [UnresponsiveArbiters<usize>; VMS],
    /// Which VMs don't answer.
    is_silent: [bool; VMS],
    /// Which VMs each VM sees.
    sees: [[bool; VMS]; VMS],
    /// The current time.
    now_ms: u64,
    /// When permits were granted.
    permits: Vec<u64>,
}

impl FleetState {
    /// Creates three running VMs that see each other.
    fn open() -> FleetState {
        FleetState {
            arbiters: Default::default(),
            unresponsive: Default::default(),
            is_silent: [false; VMS],
            sees: [[true; VMS]; VMS],
            now_ms: 0,
            permits: Vec::new(),
        }
    }

    /// Applies an event.
    fn apply(&mut self, event: Event) {
        match event {
            Event::Restart(vm) => {
                self.arbiters[vm] = Arbiter::default();
                self.unresponsive[vm] = UnresponsiveArbiters::default();
            }
            Event::Silence(vm) => self.is_silent[vm] = !self.is_silent[vm],
            Event::LoseSight(vm, other) => self.sees[vm][other] = !self.sees[vm][other],
        }
    }

    /// Lets all VMs request permits until the end of a step.
    fn step(&mut self) {
        for _ in 0..ASKS_PER_STEP {
            self.now_ms += STEP_MS / ASKS_PER_STEP;
            for vm in 0..VMS {
                while self.ask(vm) {
                    self.permits.push(self.now_ms);
                }
            }
        }
    }

    /// Lets a VM request a permit; returns whether it gets one. Answers take no time, and neither
    /// do missing ones, which is the worst case for the limit.
    fn ask(&mut self, vm: usize) -> bool {
        let arbiters = self.arbiters_of(vm);
        let needed = consents_needed(VMS);
        let mut round = PermitRequest::open(&arbiters, needed, &self.unresponsive[vm], self.now_ms);
        let mut at_ms = self.now_ms;
        loop {
            match round.step(&mut self.unresponsive[vm], at_ms) {
                Step::Ask(to) if to != vm && (self.is_silent[to] || self.is_silent[vm]) => {}
                Step::Ask(to) => round.record_verdict(to, self.verdict(to, vm), at_ms),
                Step::Wait(until_ms) => at_ms = until_ms,
                Step::Granted(_) => return true,
                Step::Denied { .. } => return false,
            }
        }
    }

    /// Returns the VMs that a VM asks, in order.
    fn arbiters_of(&self, vm: usize) -> Vec<usize> {
        (0..VMS).filter(|other| self.sees[vm][*other]).collect()
    }

    /// Returns a VM's answer as an arbiter.
    fn verdict(&mut self, at: usize, asker: usize) -> Verdict {
        let seen = self.arbiters_of(at);
        if seen.len() * 2 <= VMS {
            return Verdict::Unable;
        }
        let is_arbiter = seen.iter().take(ARBITERS).any(|vm| *vm == at);
        let role = if is_arbiter { Role::Arbiter } else { Role::StandIn };
        let of = Incarnation { instance: "i-0".into(), born_ms: 7 };
        self.arbiters[at].ask(&of, LIMIT_PER_S, role, asker as u64, self.now_ms)
    }

    /// Returns the largest number of permits within four seconds.
    fn max_permits_in_window(&self) -> usize {
        let within = |(number, at): (usize, &u64)| {
            self.permits[..=number].iter().filter(|other| **other + 4_000 > *at).count()
        };
        self.permits.iter().enumerate().map(within).max().unwrap_or(0)
    }
}

/// Explores all events from a step on; returns the number of event sequences.
fn explore(
    state: &FleetState,
    step: usize,
    left: usize,
    history: &mut Vec<(usize, Event)>,
) -> usize {
    if step == STEPS {
        let allowed = (1.5 * LIMIT_PER_S * 4.0 + 5.0) as usize;
        let max_permits_in_window = state.max_permits_in_window();
        assert!(
            max_permits_in_window <= allowed,
            "{max_permits_in_window} permits, {allowed} are allowed: {history:?}"
        );
        return 1;
    }
    let mut without_event = state.clone();
    without_event.step();
    let mut count = explore(&without_event, step + 1, left, history);
    if left == 0 || !(1..=EVENT_STEPS).contains(&step) {
        return count;
    }
    for event in events() {
        let mut next = state.clone();
        next.apply(event);
        next.step();
        history.push((step, event));
        count += explore(&next, step + 1, left - 1, history);
        history.pop();
    }
    count
}

/// Returns all events that may happen in a step.
fn events() -> Vec<Event> {
    let restarts = (0..VMS).map(Event::Restart);
    let unresponsive = (0..VMS).map(Event::Silence);
    let pairs = (0..VMS).flat_map(|vm| (0..VMS).map(move |other| (vm, other)));
    let losses =
        pairs.filter(|(vm, other)| vm != other).map(|(vm, other)| Event::LoseSight(vm, other));
    restarts.chain(unresponsive).chain(losses).collect()
}

#[test]
fn permits_stay_within_limit_for_all_orders_of_three_events() {
    let count = explore(&FleetState::open(), 0, 3, &mut Vec::new());
    println!("{count} event sequences");
    assert!(count > 90_000);
}
