//! Events and state of the model: requests, exchanges, VMs and backend servers.

use std::collections::BTreeSet;

use leverstream_core::{BackendReport, Demand, Fleet};
use leverstream_health::BackendKey;

use super::fault::ExchangeResult;
use super::figures::Onset;
use crate::model::SlotQueue;

/// A scheduled event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller sends a request.
    Arrive,
    /// A request tries to get a slot.
    TrySlot(usize),
    /// An exchange ends at its backend server.
    ExchangeEnd(usize),
    /// A VM checks whether a hedge of a request is worthwhile.
    HedgeCheck(usize),
    /// A request reaches its timeout.
    Deadline(usize),
    /// VMs do their periodic work.
    Tick,
    /// A VM (first index) receives the reports of another VM (second index).
    ReceiveReports(usize, usize, Vec<BackendReport>),
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The VM that serves it.
    pub vm: usize,
    /// Time of arrival.
    pub arrived_ms: u64,
    /// Its unfinished exchanges.
    pub exchanges: Vec<usize>,
    /// Backend servers it was sent to.
    pub tried: Vec<BackendKey>,
    /// Number of backend servers at which it may have run.
    pub ran: usize,
    /// Number of rejections without running.
    pub sheds: u32,
    /// Whether it has ended.
    pub is_over: bool,
}

/// One attempt of a request at a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange {
    /// The request.
    pub request: usize,
    /// The backend server.
    pub key: BackendKey,
    /// Time at which it was sent.
    pub since_ms: u64,
    /// Its result.
    pub result: ExchangeResult,
    /// Work time, in milliseconds.
    pub work_ms: u64,
    /// Whether it holds a slot.
    pub has_slot: bool,
    /// Whether it has ended.
    pub is_over: bool,
}

/// A VM.
pub(super) struct Vm {
    /// Its knowledge of the backend servers.
    pub fleet: Fleet,
    /// Request rate and recent request results.
    pub demand: Demand,
    /// Backend servers with changes not yet reported to the other VMs.
    pub unreported: BTreeSet<u32>,
    /// Time of the last report to the other VMs.
    pub reported_ms: u64,
    /// Its in-flight requests by backend server.
    pub in_flight: Vec<u32>,
    /// Failures in a row and end of ejection by backend server, for the baseline.
    pub failure_runs: Vec<(u32, u64)>,
    /// Whether it avoided each backend server at the last count.
    pub avoided: Vec<bool>,
}

/// A backend server.
#[derive(Default)]
pub(super) struct Server {
    /// Its data hall.
    pub hall: usize,
    /// Its slots and the exchanges that wait for one.
    pub slots: SlotQueue,
    /// Whether it was sick at the last tick.
    pub was_sick: bool,
    /// Tracks the detection of its sickness.
    pub onset: Onset,
}
