//! The sends of a request and what the finished ones amount to.

use std::cell::{Cell, RefCell};

use leverstream_admission::RefusedBy;
use leverstream_core::Pick;
use leverstream_error::Kind;
use leverstream_health::BackendKey;

use crate::verdict::JudgedAnswer;

/// The sends of a request so far.
#[derive(Default)]
pub(crate) struct Sends {
    /// The number of sends.
    pub count: Cell<u32>,
    /// The number of sends that reached no backend server, for example as no connection could be
    /// opened.
    pub unsent: Cell<u32>,
    /// The number of finished sends that may have run the request.
    pub ran: Cell<u32>,
    /// The number of repeats taken from the retry budget for the request.
    pub repeats_taken: Cell<u32>,
    /// When the request first asked for a slot; its body is whole then.
    pub asked_ms: Cell<Option<u64>>,
    /// The number of times that the request has asked for a slot.
    pub asked: Cell<u32>,
    /// The total time spent waiting for slots.
    pub waited_ms: Cell<u64>,
    /// The instance of the last send.
    pub backend: RefCell<String>,
    /// The last choice of a backend server, for the log.
    pub pick: Cell<Option<Pick>>,
    /// The rule that refused the request although backend servers are there.
    pub refused_by: Cell<Option<RefusedBy>>,
    /// The rank under which the request counts in the demand.
    pub rank: Cell<u32>,
    /// No hedge is considered before this time, as the retry budget denied the last one.
    pub no_hedge_until_ms: Cell<u64>,
    /// The backend servers that the request was sent to.
    pub tried: RefCell<Vec<BackendKey>>,
    /// The sends in flight, with their start times.
    pub sends_in_flight: RefCell<Vec<(BackendKey, u64)>>,
}

impl Sends {
    /// Records that another VM, which has passed the request on, has sent it to backend servers that
    /// may have run it; what follows is a repeat.
    pub fn add_earlier(&self, ran: u32) {
        self.count.set(self.count.get() + ran);
        self.ran.set(self.ran.get() + ran);
    }

    /// Returns whether no backend server can have run the request.
    pub fn is_unrun(&self) -> bool {
        self.ran.get() == 0 && self.sends_in_flight.borrow().is_empty()
    }

    /// Returns whether the next send needs no repeat from the retry budget: the first send needs
    /// none, nor does one that follows a send which reached no backend server.
    pub fn is_covered(&self) -> bool {
        self.count.get() - self.unsent.get() <= self.repeats_taken.get()
    }

    /// Returns since when the request is held without having been offered to a backend server.
    ///
    /// The time counts from the first request for a slot: before, the gateway waits for the body
    /// and for the allotment, which holds no place in the queue.
    pub fn held_since_ms(&self, now_ms: u64) -> u64 {
        let was_offered = self.count.get() > self.unsent.get();
        let asked_ms = self.asked_ms.get().unwrap_or(now_ms);
        self.asked_ms.set(Some(asked_ms));
        if was_offered { now_ms } else { asked_ms }
    }
}

/// The results of the finished sends of a request.
#[derive(Default)]
pub(crate) struct SendSummary {
    /// The number of sends that may have run the request.
    pub ran: u32,
    /// The most informative failure so far.
    failed: Option<Result<JudgedAnswer, Kind>>,
}

/// What follows the end of one send.
pub(crate) enum NextStep {
    /// The request is answered.
    Done(JudgedAnswer),
    /// The request may be sent again.
    MayRepeat,
    /// The request is not sent again.
    Final,
}

impl SendSummary {
    /// Starts with the sends of another VM that may have run the request.
    pub fn after(sends: &Sends) -> SendSummary {
        SendSummary { ran: sends.ran.get(), failed: None }
    }

    /// Records a failure, and keeps the most informative one: an answer comes before an error, and
    /// an error that says the request may have run before others.
    pub fn note_failure(&mut self, next: Result<JudgedAnswer, Kind>) {
        self.failed = Some(match (self.failed.take(), next) {
            (Some(Ok(answer)), Err(_)) => Ok(answer),
            (Some(Err(before)), Err(next)) => Err(before.combined_with(next)),
            (_, next) => next,
        });
    }

    /// Returns the result of a request that could not be served.
    pub fn into_result(self, default_kind: Kind) -> Result<JudgedAnswer, Kind> {
        self.failed.unwrap_or(Err(default_kind))
    }
}
