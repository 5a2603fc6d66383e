//! Events and state of the model: requests, exchanges, VMs and backend servers.

use std::collections::HashSet;
use std::rc::Rc;

use leverstream_core::{BackendReport, Demand, Fleet, RouteKey};
use leverstream_health::BackendKey;

use crate::model::SlotQueue;

/// A scheduled event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller sends a request, which is repeatable or not.
    Arrive(bool),
    /// A request tries to get a slot.
    TrySlot(usize),
    /// A VM checks whether a hedge of a request is worthwhile.
    HedgeCheck(usize),
    /// An exchange ends at its backend server.
    ExchangeEnd(usize),
    /// A request reaches its timeout.
    Deadline(usize),
    /// A VM sends its batch of reports to the VMs of its data hall.
    ReportInHall(usize),
    /// A VM sends its batch of reports to the VMs of other data halls.
    ReportToOtherHalls(usize),
    /// A VM (first index) receives the reports of another VM (second index).
    ReceiveReports(usize, usize, Rc<Vec<BackendReport>>),
}

/// A VM.
pub(super) struct Vm {
    /// Its data hall.
    pub hall: usize,
    /// Its knowledge of the backend servers.
    pub fleet: Fleet,
    /// Request rate and recent request results.
    pub demand: Demand,
    /// The routes of non-repeatable and of repeatable requests.
    pub routes: [RouteKey; 2],
    /// Backend servers with changes not yet reported to other data halls.
    pub for_other_halls: HashSet<BackendKey>,
    /// Whether a report to the same data hall, and to other data halls, is scheduled.
    pub is_report_due: (bool, bool),
    /// Time since which the connection to each backend server has been idle.
    pub idle_since_ms: Vec<Option<u64>>,
}

/// A backend server.
#[derive(Default)]
pub(super) struct Server {
    /// Its slots and the exchanges that wait for one.
    pub slots: SlotQueue,
    /// Times of all requests, in order.
    pub requests_ms: Vec<u64>,
    /// Times at which requests failed there, in order.
    pub failures_ms: Vec<u64>,
}

/// A request.
pub(super) struct Request {
    /// The VM that serves it.
    pub vm: usize,
    /// Whether it is repeatable.
    pub is_repeatable: bool,
    /// Time of arrival.
    pub arrived_ms: u64,
    /// Its unfinished exchanges.
    pub exchanges: Vec<usize>,
    /// Backend servers it was sent to.
    pub tried: Vec<BackendKey>,
    /// Whether it has ended.
    pub is_over: bool,
}

/// One attempt of a request at a backend server.
pub(super) struct Exchange {
    /// The request.
    pub request: usize,
    /// The backend server.
    pub key: BackendKey,
    /// Time at which it was sent.
    pub since_ms: u64,
    /// Whether it fails.
    pub fails: bool,
    /// Work time, in milliseconds.
    pub work_ms: u64,
    /// Whether it holds a slot.
    pub has_slot: bool,
    /// Whether it has ended.
    pub is_over: bool,
}
