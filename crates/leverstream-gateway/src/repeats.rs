//! What may be repeated: this VM's part for each service, and what other VMs lend it.

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

/// How many repeats are asked for at once: at a service with some twenty requests a second one loan is used up before the
/// second question.
const WANTED: f32 = 2.0;

/// The part of its part of the slack that a VM uses itself while callers are not sent to it. It keeps the rest for those
/// that they are sent to: its few requests are mostly strays, and it knows least of the backend servers. With all
/// of it hedges rose by a third on a quiet day and nobody was served better.
const STRAY_PART: f64 = 0.15;

/// What this VM may repeat.
pub(crate) struct Repeats {
    /// What all VMs together may repeat for each service.
    allowance: RetryAllowance,
    /// This VM's part of the slack.
    slack: RefCell<SlackShare>,
    /// Whether callers are sent to this VM.
    is_placed: Cell<bool>,
    /// Its part for each service.
    services: RefCell<HashMap<String, ServiceRepeats>>,
}

/// What this VM may repeat for one service.
#[derive(Debug, Default)]
struct ServiceRepeats {
    /// Its part.
    budget: FleetBudget,
    /// Its questions to others.
    asking: LoanRequests<SocketAddr>,
}

impl Repeats {
    /// Opens the parts of a process that has just started.
    pub fn open(settings: &Settings) -> Repeats {
        let me = settings.listen.peers;
        let expects_others = settings.peers.seeds.iter().any(|seed| *seed != me);
        let slack = SlackShare::open(settings.peers.is_first_start, expects_others);
        Repeats {
            allowance: settings.allowance(),
            slack: RefCell::new(slack),
            is_placed: Cell::new(false),
            services: RefCell::default(),
        }
    }

    /// Takes over how many VMs this one knows of, and whether callers are sent to it.
    pub fn place(&self, vms: usize, is_placed: bool) {
        self.slack.borrow_mut().set_known_vms(vms as u32);
        self.is_placed.set(is_placed);
    }

    /// How many VMs this one knows of, for the others.
    pub fn known_vms(&self) -> u32 {
        self.slack.borrow().known_vms()
    }

    /// How many VMs there are, as far as this one knows or was told.
    pub fn fleet_size(&self, now_ms: u64) -> usize {
        self.slack.borrow().fleet_size(now_ms) as usize
    }

    /// Takes in how many VMs another one knows of.
    pub fn hear_vms(&self, count: u32, now_ms: u64) {
        self.slack.borrow_mut().record_report(count, now_ms);
    }

    /// Counts a request for a service.
    pub fn request(&self, service: &str, now_ms: u64) {
        self.with(service, now_ms, |state, part| state.budget.request(part, now_ms));
    }

    /// What may be repeated for a service.
    pub fn room(&self, service: &str, now_ms: u64) -> Headroom {
        self.with(service, now_ms, |state, part| state.budget.headroom(part, now_ms))
    }

    /// Takes one repeat, if there is room; returns whether there was, and the room before.
    pub fn take(&self, service: &str, now_ms: u64) -> (bool, Headroom) {
        self.with(service, now_ms, |state, part| {
            let room = state.budget.headroom(part, now_ms);
            (state.budget.take(part, now_ms), room)
        })
    }

    /// The part of what may be repeated for a service that one more repeat would use up.
    ///
    /// As long as those lend who are asked, the whole slack counts, shared by the VMs that callers are sent to: a VM with
    /// few requests has so little of its own that each hedge would seem to use it up.
    pub fn used_part(&self, service: &str, sharers: usize, now_ms: u64) -> f64 {
        self.with(service, now_ms, |state, part| {
            let others = if state.asking.expects_loans() {
                self.allowance.slack / sharers as f64
            } else {
                0.0
            };
            state.budget.headroom(part, now_ms).used_share(others)
        })
    }

    /// Asks other VMs for what they can spare, if little is left.
    pub fn ask(&self, service: &str, mesh: &Mesh, meters: &Meters, now_ms: u64) {
        // Others have as much of the slack as this VM, however much of that it uses itself.
        let asked_at_once = self.part(now_ms).lenders_to_ask(f64::from(WANTED));
        self.with(service, now_ms, |state, part| {
            if !state.asking.is_due(state.budget.headroom(part, now_ms), now_ms) {
                return;
            }
            let turn = rand::random_range(0..usize::from(u16::MAX));
            for to in mesh.by_turns(turn, asked_at_once) {
                let number = rand::random();
                state.asking.record(number, to, now_ms);
                let asked = LoanQuestion { number, service: service.to_owned(), wanted: WANTED };
                let packet = Packet { body: Some(Body::LoanQuestion(asked)), ..Packet::default() };
                mesh.send(meters, &packet, &[to]);
            }
        });
    }

    /// Tells whether what others lend for a service may come any moment.
    pub fn is_loan_awaited(&self, service: &str, now_ms: u64) -> bool {
        self.with(service, now_ms, |state, _| state.asking.is_loan_awaited(now_ms))
    }

    /// What another VM is lent in answer to its question, if there is something to spare.
    pub fn lend(&self, to: SocketAddr, question: &LoanQuestion, now_ms: u64) -> Option<Loan> {
        let LoanQuestion { number, service, wanted } = question;
        let repeats = self.with(service, now_ms, |state, _| {
            state.budget.lend(f64::from(*wanted), self.part(now_ms), now_ms)
        });
        if repeats <= 0.0 {
            return None;
        }
        info!(%to, service, repeats, "repeats lent");
        let service = service.clone();
        Some(Loan { number: *number, service, repeats: repeats as f32 })
    }

    /// Takes in what another VM lends.
    pub fn borrow(&self, from: SocketAddr, loan: &Loan, now_ms: u64) {
        let Loan { number, service, repeats } = loan;
        self.with(service, now_ms, |state, _| {
            let Some(asked_ms) = state.asking.accept(*number, from, now_ms) else {
                debug!(%from, service, repeats, "a loan that was not asked for, or came late");
                return;
            };
            info!(%from, service, repeats, "repeats borrowed");
            // No more than was asked for, whatever the datagram says.
            let repeats = if repeats.is_finite() { repeats.clamp(0.0, WANTED) } else { 0.0 };
            state.budget.borrow(f64::from(repeats), asked_ms);
        });
    }

    /// This VM's part of what all VMs may repeat.
    fn part(&self, now_ms: u64) -> RetryAllowance {
        let slack = self.slack.borrow().share(self.allowance.window_ms, now_ms);
        self.allowance.with_slack_share(slack)
    }

    /// Does something with what this VM itself may repeat for a service.
    fn with<T>(
        &self,
        service: &str,
        now_ms: u64,
        work: impl FnOnce(&mut ServiceRepeats, RetryAllowance) -> T,
    ) -> T {
        let own_use = if self.is_placed.get() { 1.0 } else { STRAY_PART };
        let part = self.part(now_ms).with_slack_share(own_use);
        let mut services = self.services.borrow_mut();
        match services.get_mut(service) {
            Some(state) => work(state, part),
            None => work(services.entry(service.to_owned()).or_default(), part),
        }
    }
}
