//! What a run is made of: events, requests, attempts, VMs, backend servers.

use std::collections::VecDeque;

use leverstream_health::{BackendKey, Health};
use leverstream_route::RetryBudget;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request arrives.
    Arrive,
    /// A backend server has done a piece of work.
    Done { attempt: usize },
    /// An attempt is refused or answered with a fault.
    Broken { attempt: usize, refused: bool },
    /// It may be time for a hedge of a request.
    Hedge { request: usize },
    /// A request's time is over.
    Deadline { request: usize },
    /// The health code decides.
    Tick,
    /// Evidence is exchanged.
    Exchange,
    /// A VM checks a backend server.
    Check { vm: usize, backend: usize },
    /// A check has ended.
    Checked { vm: usize, backend: usize, well: bool, refused: bool },
}

/// A request.
pub(super) struct Asked {
    /// The VM at which it arrived.
    pub vm: usize,
    /// When.
    pub at_ms: u64,
    /// Whether it is settled.
    pub is_settled: bool,
    /// Where it was tried.
    pub tried: Vec<BackendKey>,
    /// Attempts under way.
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
    /// When it was sent.
    pub sent_ms: u64,
    /// Units of bad evidence charged.
    pub charged: u8,
    /// Whether it is a trial.
    pub is_trial: bool,
    /// Whether it goes on only to show whether it ends.
    pub is_witness: bool,
    /// Whether it ended.
    pub is_over: bool,
}

/// A VM.
pub(super) struct Vm {
    /// Its view.
    pub health: Health,
    /// Its picker's turn.
    pub turn: u64,
    /// Its retries.
    pub budget: RetryBudget,
    /// Requests that wait for a slot.
    pub waiting: VecDeque<usize>,
    /// Attempts under way, by backend server.
    pub flights: Vec<Vec<usize>>,
    /// Where backend servers stood at the last tick.
    pub stood_ejected: Vec<bool>,
}

/// A backend server: slots and a queue before them.
#[derive(Default)]
pub(super) struct Server {
    /// Attempts that wait, with how long their work takes.
    pub queue: VecDeque<(usize, u64)>,
    /// Slots in use.
    pub busy: u32,
}
