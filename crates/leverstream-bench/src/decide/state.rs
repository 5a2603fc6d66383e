use std::collections::{BTreeSet, VecDeque};

use leverstream_core::{BackendReport, Demand, Fleet};
use leverstream_health::BackendKey;

use super::fault::Course;
use super::figures::Onset;

/// Something that is due.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller sends a request.
    Arrive,
    /// A request looks for a slot.
    Try(usize),
    /// An exchange ends at its backend server.
    Done(usize),
    /// It is looked whether a hedge pays.
    Look(usize),
    /// A request's time is over.
    Deadline(usize),
    /// VMs look what is due.
    Tick,
    /// A VM hears another.
    Hear(usize, usize, Vec<BackendReport>),
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The VM that has it.
    pub vm: usize,
    /// When it arrived.
    pub arrived_ms: u64,
    /// Its exchanges under way.
    pub exchanges: Vec<usize>,
    /// Where it was sent.
    pub tried: Vec<BackendKey>,
    /// At how many backend servers it may have run.
    pub ran: usize,
    /// How often it was turned away unrun.
    pub sheds: u32,
    /// Whether it has been answered for good.
    pub is_over: bool,
}

/// A request at a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange {
    /// The request.
    pub request: usize,
    /// The backend server.
    pub key: BackendKey,
    /// When it was sent off.
    pub since_ms: u64,
    /// How it goes.
    pub course: Course,
    /// How long the work takes, in milliseconds.
    pub work_ms: u64,
    /// Whether it holds a slot.
    pub has_slot: bool,
    /// Whether it has ended.
    pub is_over: bool,
}

/// A VM.
pub(super) struct Vm {
    /// What it knows of the backend servers.
    pub fleet: Fleet,
    /// How requests ended.
    pub demand: Demand,
    /// Of which backend servers the others have yet to hear.
    pub unreported: BTreeSet<u32>,
    /// When the others were last told.
    pub told_ms: u64,
    /// Its requests under way, by backend server.
    pub in_flight: Vec<u32>,
    /// Failures in a row, by backend server, and until when it is left out; for the baseline.
    pub rows: Vec<(u32, u64)>,
    /// Which backend servers it avoided when that was last counted.
    pub avoided: Vec<bool>,
}

/// A backend server.
#[derive(Default)]
pub(super) struct Server {
    /// Its data hall.
    pub hall: usize,
    /// Slots in use.
    pub busy: u32,
    /// Exchanges that wait for one.
    pub queue: VecDeque<usize>,
    /// Whether it was sick when that was last looked at.
    pub was_sick: bool,
    /// Since when it is, and when it last got work.
    pub onset: Onset,
}
