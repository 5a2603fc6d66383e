//! The decisions of a simulated VM and the messages between VMs, as in the gateway.

use std::collections::BTreeSet;

use leverstream_route::{FleetBudget, LoanRequests, RetryAllowance, SlackShare};

use super::View;

/// The interval at which a VM reports the number of VMs it knows, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 400;

/// The number of repeats requested from one VM.
const WANTED: f64 = 2.0;

/// The fraction of its share of the slack that a VM uses itself while callers are not assigned to
/// it.
const STRAY_FRACTION: f64 = 0.15;

/// A message between VMs.
#[derive(Clone, Debug)]
pub enum Message {
    /// The number of VMs that the sender knows.
    KnownVms(u32),
    /// A loan request, with its number.
    LoanRequest(u64),
    /// A loan: the number of the request and the repeats lent.
    Loan(u64, f64),
}

/// The process of a VM.
#[derive(Debug)]
pub struct Vm {
    /// When it started; its clock counts from there.
    started_ms: u64,
    /// The allowance of all VMs together.
    allowance: RetryAllowance,
    /// Its budget.
    budget: FleetBudget,
    /// Its share of the slack.
    slack: SlackShare,
    /// The VMs that it has ever seen.
    known: BTreeSet<usize>,
    /// Its view of the fleet.
    view: View,
    /// When it reports to another VM next.
    next_report_ms: u64,
    /// Its loan requests.
    loan_requests: LoanRequests<usize>,
    /// Whether a repeat was attempted since the last tick.
    wants_repeat: bool,
    /// The number of its last loan request.
    number: u64,
    /// The position of the VM that it asks next.
    next_lender: usize,
}

impl Vm {
    /// Starts a process.
    pub fn start(process_number: u64, allowance: RetryAllowance, now_ms: u64) -> Vm {
        Vm {
            started_ms: now_ms,
            allowance,
            budget: FleetBudget::default(),
            slack: SlackShare::open(now_ms == 0, true),
            known: BTreeSet::new(),
            view: View::default(),
            next_report_ms: 0,
            loan_requests: LoanRequests::default(),
            wants_repeat: false,
            number: process_number,
            next_lender: (process_number % 64) as usize,
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now_ms: u64) {
        let now_ms = now_ms - self.started_ms;
        let share = self.own_share(now_ms);
        self.budget.request(share, now_ms);
    }

    /// Spends one repeat if one is allowed.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let now_ms = now_ms - self.started_ms;
        self.wants_repeat = true;
        let share = self.own_share(now_ms);
        self.budget.take(share, now_ms)
    }

    /// Does periodic work; returns messages with their receivers.
    pub fn tick(&mut self, view: &View, now_ms: u64) -> Vec<(usize, Message)> {
        let now_ms = now_ms - self.started_ms;
        if self.view != *view {
            self.view = view.clone();
            self.known.extend(&view.alive);
            self.slack.set_known_vms(self.known.len() as u32);
        }
        let others: Vec<usize> = view.alive.iter().copied().filter(|vm| *vm != view.me).collect();
        if others.is_empty() {
            return Vec::new();
        }
        let mut out = Vec::new();
        if now_ms >= self.next_report_ms {
            self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
            let turn = view.me + (now_ms / REPORT_INTERVAL_MS) as usize;
            let to = others[turn % others.len()];
            out.push((to, Message::KnownVms(self.slack.known_vms())));
        }
        let share = self.own_share(now_ms);
        let headroom = self.budget.headroom(share, now_ms);
        if std::mem::take(&mut self.wants_repeat) && self.loan_requests.is_due(headroom, now_ms) {
            for _ in 0..self.share(now_ms).lenders_to_ask(WANTED) {
                self.next_lender += 1;
                self.number += 1;
                let to = others[self.next_lender % others.len()];
                self.loan_requests.record(self.number, to, now_ms);
                out.push((to, Message::LoanRequest(self.number)));
            }
        }
        out
    }

    /// Processes a message; returns answers with their receivers.
    pub fn receive(
        &mut self,
        from: usize,
        message: &Message,
        now_ms: u64,
    ) -> Vec<(usize, Message)> {
        let now_ms = now_ms - self.started_ms;
        let share = self.share(now_ms);
        match *message {
            Message::KnownVms(vms) => self.slack.record_report(vms, now_ms),
            Message::LoanRequest(number) => {
                let loan = self.budget.lend(WANTED, share, now_ms);
                return (loan > 0.0)
                    .then_some((from, Message::Loan(number, loan)))
                    .into_iter()
                    .collect();
            }
            Message::Loan(number, loan) => {
                if let Some(asked_ms) = self.loan_requests.accept(number, from, now_ms) {
                    self.budget.borrow(loan, asked_ms);
                }
            }
        }
        Vec::new()
    }

    /// Returns its share of the allowance.
    fn share(&self, now_ms: u64) -> RetryAllowance {
        self.allowance.with_slack_share(self.slack.share(self.allowance.window_ms, now_ms))
    }

    /// Returns the part of its share that it uses itself.
    fn own_share(&self, now_ms: u64) -> RetryAllowance {
        let is_placed = self.view.placed.contains(&self.view.me);
        self.share(now_ms).with_slack_share(if is_placed { 1.0 } else { STRAY_FRACTION })
    }
}
