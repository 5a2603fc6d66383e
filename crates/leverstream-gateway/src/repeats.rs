//! Retry budgets: this VM's share of the fleet's allowance for each service, and loans from other
//! VMs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use leverstream_peer::packet::Body;
use leverstream_peer::{Loan, LoanQuestion, Packet};
use leverstream_route::{FleetBudget, Headroom, LoanRequests, RetryAllowance, SlackShare};
use tracing::{debug, info};

use crate::Settings;
use crate::mesh::Mesh;
use crate::meters::Meters;

/// Repeats requested in one loan. At a service with about twenty requests per second, one loan is
/// used up before the next loan request.
const REPEATS_PER_LOAN: f32 = 2.0;

/// The fraction of its slack share that a VM outside the entry set uses itself; the rest it keeps
/// to lend to entry VMs. Such a VM gets few, mostly misdirected requests and knows least about the
/// backend servers. Using the whole share raised hedges by a third on a quiet day and benefited no
/// caller.
const OUTSIDE_ENTRY_SET_FRACTION: f64 = 0.15;

/// The retry budgets of this VM.
pub(crate) struct Repeats {
    /// What the fleet as a whole may repeat for each service.
    allowance: RetryAllowance,
    /// This VM's share of the fleet's slack.
    slack: RefCell<SlackShare>,
    /// Whether this VM is in the entry set.
    is_entry_vm: Cell<bool>,
    /// The state of each service, by its name.
    services: RefCell<HashMap<String, ServiceRepeats>>,
}

/// The retry budget of this VM for one service.
#[derive(Debug, Default)]
struct ServiceRepeats {
    /// The budget and what it has spent.
    budget: FleetBudget,
    /// Loan requests sent to other VMs.
    loan_requests: LoanRequests<SocketAddr>,
}

impl Repeats {
    /// Creates the budgets of a process that has just started.
    pub fn open(settings: &Settings) -> Repeats {
        let me = settings.listen.peers;
        let expects_others = settings.peers.seeds.iter().any(|seed| *seed != me);
        let slack = SlackShare::open(settings.peers.is_first_start, expects_others);
        Repeats {
            allowance: settings.allowance(),
            slack: RefCell::new(slack),
            is_entry_vm: Cell::new(false),
            services: RefCell::default(),
        }
    }

    /// Updates the number of known VMs and whether this VM is in the entry set.
    pub fn set_fleet(&self, vms: usize, is_entry_vm: bool) {
        self.slack.borrow_mut().set_known_vms(vms as u32);
        self.is_entry_vm.set(is_entry_vm);
    }

    /// The number of VMs that this one knows, as reported to the others.
    pub fn known_vms(&self) -> u32 {
        self.slack.borrow().known_vms()
    }

    /// The fleet size, from the VMs that this one knows and the numbers that others report.
    pub fn fleet_size(&self, now_ms: u64) -> usize {
        self.slack.borrow().fleet_size(now_ms) as usize
    }

    /// Records how many VMs another one knows.
    pub fn record_report(&self, count: u32, now_ms: u64) {
        self.slack.borrow_mut().record_report(count, now_ms);
    }

    /// Counts a request for a service.
    pub fn request(&self, service: &str, now_ms: u64) {
        self.with(service, now_ms, |state, allowance| state.budget.request(allowance, now_ms));
    }

    /// The repeats that are left for a service.
    pub fn headroom(&self, service: &str, now_ms: u64) -> Headroom {
        self.with(service, now_ms, |state, allowance| state.budget.headroom(allowance, now_ms))
    }

    /// Takes one repeat if there is headroom; returns whether it did, and the headroom before.
    pub fn take(&self, service: &str, now_ms: u64) -> (bool, Headroom) {
        self.with(service, now_ms, |state, allowance| {
            let headroom = state.budget.headroom(allowance, now_ms);
            (state.budget.take(allowance, now_ms), headroom)
        })
    }

    /// The share of the repeat allowance of a service that one more repeat would use up.
    ///
    /// While lenders answer loan requests, the whole slack counts, divided among the entry VMs. A
    /// VM with few requests has so little of its own that otherwise every hedge would appear to
    /// exhaust it.
    pub fn used_share(&self, service: &str, entry_vms: usize, now_ms: u64) -> f64 {
        self.with(service, now_ms, |state, allowance| {
            let lendable = if state.loan_requests.expects_loans() {
                self.allowance.slack / entry_vms as f64
            } else {
                0.0
            };
            state.budget.headroom(allowance, now_ms).used_share(lendable)
        })
    }

    /// Requests loans from other VMs if little is left.
    pub fn request_loans(&self, service: &str, mesh: &Mesh, meters: &Meters, now_ms: u64) {
        // Every VM holds the same share of the slack, whatever fraction of its own share this VM
        // uses.
        let lender_count = self.allowance(now_ms).lenders_to_ask(f64::from(REPEATS_PER_LOAN));
        self.with(service, now_ms, |state, allowance| {
            if !state.loan_requests.is_due(state.budget.headroom(allowance, now_ms), now_ms) {
                return;
            }
            let first = rand::random_range(0..usize::from(u16::MAX));
            for to in mesh.rotated_peers(first, lender_count) {
                let number = rand::random();
                state.loan_requests.record(number, to, now_ms);
                let question =
                    LoanQuestion { number, service: service.to_owned(), wanted: REPEATS_PER_LOAN };
                let packet =
                    Packet { body: Some(Body::LoanQuestion(question)), ..Packet::default() };
                mesh.send(meters, &packet, &[to]);
            }
        });
    }

    /// Tells whether a loan for a service may still arrive.
    pub fn is_loan_awaited(&self, service: &str, now_ms: u64) -> bool {
        self.with(service, now_ms, |state, _| state.loan_requests.is_loan_awaited(now_ms))
    }

    /// Answers a loan request; none if there is nothing to spare.
    pub fn lend(&self, to: SocketAddr, question: &LoanQuestion, now_ms: u64) -> Option<Loan> {
        let LoanQuestion { number, service, wanted } = question;
        let repeats = self.with(service, now_ms, |state, _| {
            state.budget.lend(f64::from(*wanted), self.allowance(now_ms), now_ms)
        });
        if repeats <= 0.0 {
            return None;
        }
        info!(%to, service, repeats, "repeats lent");
        let service = service.clone();
        Some(Loan { number: *number, service, repeats: repeats as f32 })
    }

    /// Adds a loan from another VM to the budget.
    pub fn borrow(&self, from: SocketAddr, loan: &Loan, now_ms: u64) {
        let Loan { number, service, repeats } = loan;
        self.with(service, now_ms, |state, _| {
            let Some(asked_ms) = state.loan_requests.accept(*number, from, now_ms) else {
                debug!(%from, service, repeats, "ignored a loan that was not requested or arrived late");
                return;
            };
            info!(%from, service, repeats, "repeats borrowed");
            // A datagram never adds more than was requested.
            let repeats =
                if repeats.is_finite() { repeats.clamp(0.0, REPEATS_PER_LOAN) } else { 0.0 };
            state.budget.borrow(f64::from(repeats), asked_ms);
        });
    }

    /// This VM's share of the fleet's allowance.
    fn allowance(&self, now_ms: u64) -> RetryAllowance {
        let slack = self.slack.borrow().share(self.allowance.window_ms, now_ms);
        self.allowance.with_slack_share(slack)
    }

    /// Runs an operation on the state of a service with the allowance that this VM may use itself.
    fn with<T>(
        &self,
        service: &str,
        now_ms: u64,
        operation: impl FnOnce(&mut ServiceRepeats, RetryAllowance) -> T,
    ) -> T {
        let own_fraction = if self.is_entry_vm.get() { 1.0 } else { OUTSIDE_ENTRY_SET_FRACTION };
        let allowance = self.allowance(now_ms).with_slack_share(own_fraction);
        let mut services = self.services.borrow_mut();
        match services.get_mut(service) {
            Some(state) => operation(state, allowance),
            None => operation(services.entry(service.to_owned()).or_default(), allowance),
        }
    }
}
