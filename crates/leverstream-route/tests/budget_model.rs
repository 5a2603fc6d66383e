//! All orders of events at three VMs that share the slack: repeats, loans that arrive at once or at the last moment,
//! restarts, time. Whatever happens, no window holds more repeats than the slack allows.
//!
//! The window is two steps long, each VM's part is one repeat, and requests earn nothing. Callers are sent to two of the
//! VMs, the third only lends; one of the two may start again at any time. States that will behave alike are visited
//! once.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_route::{FleetBudget, LOAN_TTL_MS, RetryAllowance, SlackPart};

/// One step of time, in milliseconds: that in which budgets count.
const STEP_MS: u64 = 250;

/// The window, in steps.
const WINDOW_STEPS: u64 = 2;

/// How many VMs there are.
const VMS: usize = 3;

/// To how many of them callers are sent.
const PLACED: usize = 2;

/// How many steps ahead a state is compared: as long as anything counts.
const AHEAD_STEPS: u64 = WINDOW_STEPS + LOAN_TTL_MS / STEP_MS + 1;

/// What all VMs may repeat: one each, and a little for what budgets leave unused.
const ALLOWANCE: RetryAllowance =
    RetryAllowance { ratio: 0.0, slack: 3.2, window_ms: WINDOW_STEPS * STEP_MS };

/// The most repeats that a window may hold.
const MOST: u32 = 3;

/// A loan on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Loan {
    /// To whom.
    to: usize,
    /// When the question went out.
    asked_step: u64,
    /// When it arrives.
    arrives_step: u64,
}

/// A VM's process.
#[derive(Clone, Default)]
struct Process {
    /// The step at which it started; none if no other ran there before it.
    started: Option<u64>,
    /// What it may repeat.
    budget: FleetBudget,
}

impl Process {
    /// Its clock at a step, in milliseconds.
    fn clock_ms(&self, step: u64) -> u64 {
        (step - self.started.unwrap_or(0)) * STEP_MS
    }
}

/// The state of the fleet.
#[derive(Clone)]
struct State {
    /// The present step.
    now: u64,
    /// The process of each VM.
    vms: [Process; VMS],
    /// Loans on their way; each is one repeat.
    loans: Vec<Loan>,
    /// Repeats that backend servers saw in the steps of the window that ends now, the last first.
    seen: VecDeque<u32>,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A VM makes a repeat, if it may.
    Repeat(usize),
    /// One VM asks another, which lends if it can; the answer takes so many steps.
    Ask(usize, usize, u64),
    /// A VM's process ends and another starts in its place.
    Restart(usize),
    /// A step of time passes.
    Step,
}

impl State {
    /// Three VMs that start for the first time.
    fn open() -> State {
        let vms = std::array::from_fn(|_| Process::default());
        State { now: 0, vms, loans: Vec::new(), seen: VecDeque::from([0]) }
    }

    /// What a VM may repeat, with its clock at a step.
    fn part(&self, vm: usize, step: u64) -> (RetryAllowance, u64) {
        let now_ms = self.vms[vm].clock_ms(step);
        let mut slack = SlackPart::open(self.vms[vm].started.is_none(), true);
        slack.know(VMS as u32);
        slack.hear(VMS as u32, now_ms);
        (ALLOWANCE.with_part(slack.part(ALLOWANCE.window_ms, now_ms)), now_ms)
    }

    /// What comes of an event; none if nothing does.
    fn after(&self, event: Event) -> Option<State> {
        let mut next = self.clone();
        match event {
            Event::Repeat(vm) => {
                let (part, now_ms) = self.part(vm, self.now);
                if !next.vms[vm].budget.take(part, now_ms) {
                    return None;
                }
                next.seen[0] += 1;
            }
            Event::Ask(from, to, takes) => {
                let (part, now_ms) = self.part(to, self.now);
                if !self.loans.is_empty() || next.vms[to].budget.lend(1.0, part, now_ms) < 1.0 {
                    return None;
                }
                let (asked_step, arrives_step) = (self.now, self.now + takes);
                next.loans.push(Loan { to: from, asked_step, arrives_step });
                next.arrive();
            }
            Event::Restart(vm) => {
                next.vms[vm] = Process { started: Some(self.now), ..Process::default() };
                // The process that starts has asked nobody.
                next.loans.retain(|loan| loan.to != vm);
            }
            Event::Step => {
                next.now += 1;
                next.seen.push_front(0);
                next.seen.truncate(WINDOW_STEPS as usize);
                next.arrive();
            }
        }
        Some(next)
    }

    /// Hands over the loans that are due.
    fn arrive(&mut self) {
        let (due, later) = self.loans.drain(..).partition(|loan| loan.arrives_step <= self.now);
        self.loans = later;
        for Loan { to, asked_step, .. } in due {
            let asked_ms = self.vms[to].clock_ms(asked_step);
            self.vms[to].budget.borrow(1.0, asked_ms);
        }
    }

    /// How many repeats lie in the window that ends now.
    fn window(&self) -> u32 {
        self.seen.iter().sum()
    }

    /// What tells the state from others: how each VM will stand if nothing more happens, and what is on its way.
    fn fingerprint(&self) -> u64 {
        let mut print = Vec::new();
        for vm in 0..VMS {
            let Process { started, budget } = &self.vms[vm];
            // One that has run for as long as anything counts is like one that was the first.
            print.push(started.map_or(AHEAD_STEPS, |started| self.now - started).min(AHEAD_STEPS));
            for ahead in 0..=AHEAD_STEPS {
                let (part, now_ms) = self.part(vm, self.now + ahead);
                let room = budget.clone().room(part, now_ms);
                print.extend([(room.own * 100.0) as u64, (room.lent * 100.0) as u64]);
            }
        }
        for Loan { to, asked_step, arrives_step } in &self.loans {
            print.extend([*to as u64, self.now - asked_step, arrives_step - self.now]);
        }
        print.extend(self.seen.iter().map(|seen| u64::from(*seen)));
        print.extend(self.seen.iter().map(|seen| u64::from(*seen)));
        let mut hasher = DefaultHasher::new();
        print.hash(&mut hasher);
        hasher.finish()
    }
}

/// Everything that may happen.
fn events() -> Vec<Event> {
    let last = LOAN_TTL_MS / STEP_MS - 1;
    let pairs = (0..PLACED).flat_map(|from| (0..VMS).map(move |to| (from, to)));
    let pairs = pairs.filter(|(from, to)| from != to);
    let asks = pairs.flat_map(|(from, to)| [0, last].map(|takes| Event::Ask(from, to, takes)));
    let repeats = (0..PLACED).map(Event::Repeat);
    repeats.chain(asks).chain([Event::Restart(0), Event::Step]).collect()
}

#[test]
fn no_order_of_events_takes_a_window_over_the_slack() {
    let events = events();
    let mut visited = HashSet::new();
    let mut open = VecDeque::from([State::open()]);
    let mut most = 0;
    while let Some(state) = open.pop_front() {
        most = most.max(state.window());
        assert!(state.window() <= MOST, "{:?} by step {}", state.seen, state.now);
        for event in &events {
            let Some(next) = state.after(*event) else { continue };
            if visited.insert(next.fingerprint()) {
                open.push_back(next);
            }
        }
    }
    assert_eq!(most, MOST, "what is allowed is also spent");
    assert!(visited.len() > 10_000, "{} states", visited.len());
    println!("{} states", visited.len());
}
