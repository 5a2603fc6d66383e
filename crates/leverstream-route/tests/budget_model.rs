//! Model check of the shared slack: all orders of repeats, loans that arrive at once or just before
//! they expire, restarts and time steps at three VMs. No window may hold more repeats than the
//! slack allows.
//!
//! The window is two steps long, each VM's share is one repeat, and requests earn nothing. Two of
//! the VMs repeat requests and the third only lends; one of the two may restart at any time. States
//! with the same future behaviour are visited once.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_route::{FleetBudget, LOAN_TTL_MS, RetryAllowance, SlackShare};

/// The length of a time step, in milliseconds: the counting step of the budgets.
const STEP_MS: u64 = 250;

/// The length of the window, in steps.
const WINDOW_STEPS: u64 = 2;

/// The number of VMs.
const VMS: usize = 3;

/// The number of VMs that callers use.
const BORROWERS: usize = 2;

/// The number of future steps in which states are compared: as long as any count has an effect.
const HORIZON_STEPS: u64 = WINDOW_STEPS + LOAN_TTL_MS / STEP_MS + 1;

/// The allowance of all VMs: one repeat each, and a little for what budgets leave unused.
const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.0, slack: 3.2, window_ms: WINDOW_STEPS * STEP_MS };

/// The largest number of repeats allowed in a window.
const MAX_REPEATS: u32 = 3;

/// A loan in transit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Loan {
    /// The borrower.
    to: usize,
    /// When the loan was requested.
    asked_step: u64,
    /// When the loan arrives.
    arrives_step: u64,
}

/// A VM's process.
#[derive(Clone, Default)]
struct Process {
    /// The step at which it started; `None` if no process ran on this VM before it.
    started: Option<u64>,
    /// Its budget.
    budget: FleetBudget,
}

impl Process {
    /// Returns the time since its start at a step, in milliseconds.
    fn clock_ms(&self, step: u64) -> u64 {
        (step - self.started.unwrap_or(0)) * STEP_MS
    }
}

/// The state of the fleet.
#[derive(Clone)]
struct State {
    /// The current step.
    now: u64,
    /// The process of each VM.
    vms: [Process; VMS],
    /// Loans in transit, of one repeat each.
    loans: Vec<Loan>,
    /// Repeats that backend servers received in each step of the window that ends now, newest
    /// first.
    received: VecDeque<u32>,
}

/// An event that may happen next.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A VM makes a repeat, if its budget allows one.
    Repeat(usize),
    /// The first VM requests a loan from the second, which lends if it can; the answer arrives
    /// after this many steps.
    Ask(usize, usize, u64),
    /// A VM's process ends and another starts in its place.
    Restart(usize),
    /// Time advances by one step.
    Advance,
}

impl State {
    /// Creates three VMs that start for the first time.
    fn open() -> State {
        let vms = std::array::from_fn(|_| Process::default());
        State { now: 0, vms, loans: Vec::new(), received: VecDeque::from([0]) }
    }

    /// Returns a VM's allowance and its clock at a step.
    fn allowance_of(&self, vm: usize, step: u64) -> (RetryAllowance, u64) {
        let now_ms = self.vms[vm].clock_ms(step);
        let mut slack = SlackShare::open(self.vms[vm].started.is_none(), true);
        slack.set_known_vms(VMS as u32);
        slack.record_report(VMS as u32, now_ms);
        (ALLOWANCE.with_slack_share(slack.share(ALLOWANCE.window_ms, now_ms)), now_ms)
    }

    /// Returns the state after an event, or `None` if the event changes nothing.
    fn apply(&self, event: Event) -> Option<State> {
        let mut next = self.clone();
        match event {
            Event::Repeat(vm) => {
                let (allowance, now_ms) = self.allowance_of(vm, self.now);
                if !next.vms[vm].budget.take(allowance, now_ms) {
                    return None;
                }
                next.received[0] += 1;
            }
            Event::Ask(from, to, delay_steps) => {
                let (allowance, now_ms) = self.allowance_of(to, self.now);
                if !self.loans.is_empty() || next.vms[to].budget.lend(1.0, allowance, now_ms) < 1.0
                {
                    return None;
                }
                let (asked_step, arrives_step) = (self.now, self.now + delay_steps);
                next.loans.push(Loan { to: from, asked_step, arrives_step });
                next.deliver_loans();
            }
            Event::Restart(vm) => {
                next.vms[vm] = Process { started: Some(self.now), ..Process::default() };
                // The new process has requested no loan.
                next.loans.retain(|loan| loan.to != vm);
            }
            Event::Advance => {
                next.now += 1;
                next.received.push_front(0);
                next.received.truncate(WINDOW_STEPS as usize);
                next.deliver_loans();
            }
        }
        Some(next)
    }

    /// Delivers the loans that are due.
    fn deliver_loans(&mut self) {
        let (due, later) = self.loans.drain(..).partition(|loan| loan.arrives_step <= self.now);
        self.loans = later;
        for Loan { to, asked_step, .. } in due {
            let asked_ms = self.vms[to].clock_ms(asked_step);
            self.vms[to].budget.borrow(1.0, asked_ms);
        }
    }

    /// Returns the number of repeats in the window that ends now.
    fn window(&self) -> u32 {
        self.received.iter().sum()
    }

    /// Returns a hash of all that affects future behaviour: what each VM may repeat in the coming
    /// steps if nothing more happens, and the loans in transit.
    fn behavior_hash(&self) -> u64 {
        let mut values = Vec::new();
        for vm in 0..VMS {
            let Process { started, budget } = &self.vms[vm];
            // A process that has run longer than any count has an effect behaves like a first
            // process.
            values.push(
                started.map_or(HORIZON_STEPS, |started| self.now - started).min(HORIZON_STEPS),
            );
            for ahead in 0..=HORIZON_STEPS {
                let (allowance, now_ms) = self.allowance_of(vm, self.now + ahead);
                let headroom = budget.clone().headroom(allowance, now_ms);
                values.extend([(headroom.own * 100.0) as u64, (headroom.lent * 100.0) as u64]);
            }
        }
        for Loan { to, asked_step, arrives_step } in &self.loans {
            values.extend([*to as u64, self.now - asked_step, arrives_step - self.now]);
        }
        values.extend(self.received.iter().map(|received| u64::from(*received)));
        values.extend(self.received.iter().map(|received| u64::from(*received)));
        let mut hasher = DefaultHasher::new();
        values.hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns all events.
fn events() -> Vec<Event> {
    let last = LOAN_TTL_MS / STEP_MS - 1;
    let pairs = (0..BORROWERS).flat_map(|from| (0..VMS).map(move |to| (from, to)));
    let pairs = pairs.filter(|(from, to)| from != to);
    let asks =
        pairs.flat_map(|(from, to)| [0, last].map(|delay_steps| Event::Ask(from, to, delay_steps)));
    let repeats = (0..BORROWERS).map(Event::Repeat);
    repeats.chain(asks).chain([Event::Restart(0), Event::Advance]).collect()
}

#[test]
fn repeats_stay_within_slack_for_all_event_orders() {
    let events = events();
    let mut visited = HashSet::new();
    let mut open = VecDeque::from([State::open()]);
    let mut most = 0;
    while let Some(state) = open.pop_front() {
        most = most.max(state.window());
        assert!(state.window() <= MAX_REPEATS, "{:?} by step {}", state.received, state.now);
        for event in &events {
            let Some(next) = state.apply(*event) else { continue };
            if visited.insert(next.behavior_hash()) {
                open.push_back(next);
            }
        }
    }
    assert_eq!(most, MAX_REPEATS, "the whole allowance is reachable");
    assert!(visited.len() > 10_000, "{} states", visited.len());
    println!("{} states", visited.len());
}
