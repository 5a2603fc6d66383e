//! How a VM of the simulated fleet decides, and what VMs tell each other: as the gateway does it.

use std::collections::BTreeSet;

use leverstream_route::{Asking, FleetBudget, RetryAllowance, SlackPart};

use super::View;

/// How often a VM tells others how many VMs it knows, in milliseconds.
const TELL_MS: u64 = 400;

/// How much one VM is asked for.
const WANTED: f64 = 2.0;

/// The part of its part of the slack that a VM uses itself while callers are not sent to it.
const STRAY_PART: f64 = 0.15;

/// What one VM tells another.
#[derive(Clone, Debug)]
pub enum Message {
    /// How many VMs it knows.
    Known(u32),
    /// It asks for repeats.
    Question(u64),
    /// It lends some, in answer to a question.
    Loan(u64, f64),
}

/// A VM's process.
#[derive(Debug)]
pub struct Vm {
    /// When it started: its clock counts from there.
    started_ms: u64,
    /// What all may repeat.
    allowance: RetryAllowance,
    /// What it may repeat.
    budget: FleetBudget,
    /// Its part of the slack.
    slack: SlackPart,
    /// The VMs it has seen.
    seen: BTreeSet<usize>,
    /// What it believes of the others.
    view: View,
    /// When it tells others next.
    tell_ms: u64,
    /// Its questions to others.
    asking: Asking<usize>,
    /// Whether a repeat was wanted since it last asked.
    wants: bool,
    /// The number of its last question.
    number: u64,
    /// Whom it asks next.
    next: usize,
}

impl Vm {
    /// Starts a process.
    pub fn start(life: u64, allowance: RetryAllowance, now_ms: u64) -> Vm {
        Vm {
            started_ms: now_ms,
            allowance,
            budget: FleetBudget::default(),
            slack: SlackPart::open(now_ms == 0, true),
            seen: BTreeSet::new(),
            view: View::default(),
            tell_ms: 0,
            asking: Asking::default(),
            wants: false,
            number: life,
            next: (life % 64) as usize,
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now_ms: u64) {
        let now_ms = now_ms - self.started_ms;
        let part = self.own_part(now_ms);
        self.budget.request(part, now_ms);
    }

    /// Takes a repeat if it may.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let now_ms = now_ms - self.started_ms;
        self.wants = true;
        let part = self.own_part(now_ms);
        self.budget.take(part, now_ms)
    }

    /// Does what is due; returns what to tell whom.
    pub fn tick(&mut self, view: &View, now_ms: u64) -> Vec<(usize, Message)> {
        let now_ms = now_ms - self.started_ms;
        if self.view != *view {
            self.view = view.clone();
            self.seen.extend(&view.alive);
            self.slack.know(self.seen.len() as u32);
        }
        let others: Vec<usize> = view.alive.iter().copied().filter(|vm| *vm != view.me).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let mut out = Vec::new();
        if now_ms >= self.tell_ms {
            self.tell_ms = now_ms + TELL_MS;
            let turn = view.me + (now_ms / TELL_MS) as usize;
            let to = others[turn % others.len()];
            out.push((to, Message::Known(self.slack.known())));
        }
        let part = self.own_part(now_ms);
        let room = self.budget.room(part, now_ms);
        if std::mem::take(&mut self.wants) && self.asking.is_due(room, now_ms) {
            for _ in 0..self.part(now_ms).asked_at_once(WANTED) {
                self.next += 1;
                self.number += 1;
                let to = others[self.next % others.len()];
                self.asking.ask(self.number, to, now_ms);
                out.push((to, Message::Question(self.number)));
            }
        }
        out
    }

    /// Takes in what another tells; returns what to answer whom.
    pub fn receive(
        &mut self,
        from: usize,
        message: &Message,
        now_ms: u64,
    ) -> Vec<(usize, Message)> {
        let now_ms = now_ms - self.started_ms;
        let part = self.part(now_ms);
        match *message {
            Message::Known(vms) => self.slack.hear(vms, now_ms),
            Message::Question(number) => {
                let loan = self.budget.lend(WANTED, part, now_ms);
                return (loan > 0.0)
                    .then_some((from, Message::Loan(number, loan)))
                    .into_iter()
                    .collect();
            }
            Message::Loan(number, loan) => {
                if let Some(asked_ms) = self.asking.answer(number, from, now_ms) {
                    self.budget.borrow(loan, asked_ms);
                }
            }
        }
        Vec::new()
    }

    /// What it may repeat of what all may.
    fn part(&self, now_ms: u64) -> RetryAllowance {
        self.allowance.with_part(self.slack.part(self.allowance.window_ms, now_ms))
    }

    /// What it may repeat itself.
    fn own_part(&self, now_ms: u64) -> RetryAllowance {
        let is_placed = self.view.placed.contains(&self.view.me);
        self.part(now_ms).with_part(if is_placed { 1.0 } else { STRAY_PART })
    }
}
