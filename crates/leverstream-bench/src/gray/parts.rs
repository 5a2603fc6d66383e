//! State of a run: events, requests, attempts, VMs and backend servers.

use std::collections::VecDeque;

use leverstream_health::{BackendKey, Health};
use leverstream_route::RetryBudget;

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request arrives.
    Arrive,
    /// A backend server has finished the work of an attempt.
    AttemptDone { attempt: usize },
    /// An attempt is refused or answered with an error.
    AttemptFailed { attempt: usize, is_refused: bool },
    /// A hedge of a request may be due.
    Hedge { request: usize },
    /// A request reaches its deadline.
    Deadline { request: usize },
    /// The health code runs its periodic decisions.
    Tick,
    /// VMs exchange evidence.
    Exchange,
    /// A VM starts a health check of a backend server.
    Check { vm: usize, backend: usize },
    /// A health check has ended.
    CheckDone { vm: usize, backend: usize, is_good: bool, is_refused: bool },
}

/// A request from a caller.
pub(super) struct CallerRequest {
    /// The VM at which it arrived.
    pub vm: usize,
    /// Time of arrival, in milliseconds.
    pub arrived_ms: u64,
    /// Whether it has been answered or has failed.
    pub is_ended: bool,
    /// Backend servers it was sent to.
    pub tried: Vec<BackendKey>,
    /// Number of attempts in progress.
    pub running: usize,
}

/// An attempt of a request.
pub(super) struct Attempt {
    /// The request.
    pub request: usize,
    /// The VM.
    pub vm: usize,
    /// The backend server.
    pub backend: usize,
    /// Time at which it was sent, in milliseconds.
    pub sent_ms: u64,
    /// Units of bad evidence already charged for it.
    pub charged: u8,
    /// Whether it is a trial.
    pub is_trial: bool,
    /// Whether it continues after its request was answered, only to collect evidence.
    pub is_detached: bool,
    /// Whether it has ended.
    pub is_over: bool,
}

/// A VM.
pub(super) struct Vm {
    /// Its health state.
    pub health: Health,
    /// Number of picks so far.
    pub pick_count: u64,
    /// Its retry budget.
    pub budget: RetryBudget,
    /// Requests that wait for a slot.
    pub waiting: VecDeque<usize>,
    /// Attempts in progress by backend server.
    pub in_flight: Vec<Vec<usize>>,
    /// Whether each backend server was ejected at the last tick.
    pub was_ejected: Vec<bool>,
}

/// A backend server: slots with a queue.
#[derive(Default)]
pub(super) struct Server {
    /// Waiting attempts with their work time in milliseconds.
    pub queue: VecDeque<(usize, u64)>,
    /// Slots in use.
    pub busy: u32,
}
