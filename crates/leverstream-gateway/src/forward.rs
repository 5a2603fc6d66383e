use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use leverstream_catalog::Route;
use leverstream_core::{
    PendingRequest, Pick, RouteKey, hedge_gain, is_hedge_worthwhile, next_hedge_check_ms,
};
use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_route::Headroom;
use leverstream_suspect::Verdict;
use leverstream_wire::Answer;
use tracing::info;

use crate::attempt::{Tried, attempt};
use crate::authorize::Admitted;
use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::limits::{Denied, Permit};
use crate::slot::{self, Slot, SlotWant};
use crate::waiting::Rank;

/// How many times a request may be sent on after backend servers that did not run it, besides the
/// route's attempts.
const UNRUN_LIMIT: u32 = 3;

/// How many times its usual time a request must have left before a planned stop ends.
const STOP_FACTOR: f64 = 3.0;

/// How often one that waits for a slot looks whether it should ask a second backend server.
const SLOT_LOOK_MS: u64 = 50;

/// How long a request that the allowance did not let hedge waits before it asks again, in milliseconds.
const DENIED_PAUSE_MS: u64 = 50;

/// How often one that waits for what other VMs lend looks whether it is there, in milliseconds.
const LOAN_LOOK_MS: u64 = 4;

/// A request on its way through the VM.
pub(crate) struct Forward<'a> {
    /// The VM.
    pub inner: &'a Rc<Inner>,
    /// The request.
    pub request: &'a Inbound,
    /// Its workspace, where the route asks for a key.
    pub workspace: Option<&'a Admitted>,
    /// Its route.
    pub route: &'a Route,
    /// Its service.
    pub service: &'a str,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When it must have been answered.
    pub deadline_ms: u64,
    /// What its route's requests have shown.
    pub route_key: RouteKey,
}

/// How a request went at backend servers.
#[derive(Default)]
pub(crate) struct Sends {
    /// How often it was sent to one.
    pub count: Cell<u32>,
    /// How many of those reached none, as no connection came about.
    unsent: Cell<u32>,
    /// How many repeats were taken out of the allowance for it.
    covered: Cell<u32>,
    /// How long it waited for slots.
    pub waited_ms: Cell<u64>,
    /// The instance that it was last sent to.
    pub backend: RefCell<String>,
    /// What the last choice of a backend server rested on.
    pub pick: Cell<Option<Pick>>,
    /// Until when no hedge is looked for, as the allowance did not cover the last.
    no_hedge_until_ms: Cell<u64>,
    /// Where it was sent.
    tried: RefCell<Vec<BackendKey>>,
    /// Where it is under way, and since when.
    flights: RefCell<Vec<(BackendKey, u64)>>,
}

impl Sends {
    /// Tells whether the next send needs no repeat: the first does not, nor one after a send that reached no
    /// backend server.
    fn is_covered(&self) -> bool {
        self.count.get() - self.unsent.get() <= self.covered.get()
    }
}

/// How one send ended.
enum Ended {
    /// There was no slot.
    NoSlot(Kind),
    /// It may not be repeated any more.
    Denied,
    /// It was sent.
    Tried(Tried),
}

/// What the sends of a request have come to so far.
#[derive(Default)]
struct Record {
    /// How many may have run it.
    ran: u32,
    /// The failure that tells the caller most.
    failed: Option<Result<Answer, Kind>>,
}

impl Forward<'_> {
    /// Sends the request to backend servers until one has answered it for good.
    ///
    /// One that may run again and stalls is also sent to a second backend server; the first good
    /// answer counts.
    pub async fn run(&self, sends: &Sends) -> Result<Answer, Kind> {
        self.check_stop()?;
        self.check_suspect()?;
        let now_ms = self.inner.now_ms();
        self.inner.repeats.request(self.service, now_ms);
        self.inner.note_arrival(self.service, now_ms);
        let mut end = EndNote { inner: self.inner, service: self.service, is_served: false };
        let result = self.run_sends(sends).await;
        end.is_served = result.as_ref().is_ok_and(|answer| answer.status < 500);
        result
    }

    /// Begins sends as they are due until one gives the answer.
    async fn run_sends(&self, sends: &Sends) -> Result<Answer, Kind> {
        let mut record = Record::default();
        let mut running = FuturesUnordered::new();
        running.push(self.send(sends, None));
        loop {
            let look = tokio::time::sleep(Duration::from_millis(self.next_hedge_check_ms(sends)));
            tokio::select! {
                biased;
                ended = running.next() => {
                    let Some(ended) = ended else { return record.last_word(Kind::NoSlot) };
                    let may_repeat = match self.settle(ended, &mut record) {
                        Settled::Done(answer) => return Ok(answer),
                        Settled::Over => false,
                        Settled::MayRepeat => true,
                    };
                    if running.is_empty() {
                        if !may_repeat || !self.may_repeat(&record, sends).await {
                            return record.last_word(Kind::NoSlot);
                        }
                        running.push(self.send(sends, None));
                    }
                }
                () = look, if self.route.is_repeatable => {
                    if let Some(slot) = self.hedge_slot(&record, sends) {
                        running.push(self.send(sends, Some(slot)));
                    }
                }
            }
        }
    }

    /// Sends the request once, to the backend server of a slot or of the next one it gets.
    async fn send(&self, sends: &Sends, slot: Option<Slot>) -> Ended {
        let (slot, permit) = match slot {
            Some(slot) => match self.permit(&slot).await {
                Ok(permit) => (slot, permit),
                Err(Denied) => return Ended::Tried(Tried::NotSent(Kind::NoSlot)),
            },
            None => match self.take_permitted(sends).await {
                Ok(taken) => taken,
                Err(kind) => return Ended::NoSlot(kind),
            },
        };
        if let Err(kind) = self.check_send() {
            return Ended::NoSlot(kind);
        }
        if !self.cover_send(sends) {
            return Ended::Denied;
        }
        sends.tried.borrow_mut().push(slot.key);
        sends.count.set(sends.count.get() + 1);
        let flight = (slot.key, slot.since_ms);
        sends.flights.borrow_mut().push(flight);
        sends.pick.set(Some(slot.pick));
        let instance = self.inner.fleet.borrow().target(slot.key).1.to_owned();
        sends.backend.replace(instance);
        let is_repeatable = self.route.is_repeatable;
        let key = slot.key;
        let may_send = || self.check_send().and_then(|()| self.check_permit(key, permit));
        let tried =
            attempt(self.inner, slot, self.request, is_repeatable, self.deadline_ms, may_send)
                .await;
        sends.flights.borrow_mut().retain(|other| *other != flight);
        sends.unsent.set(sends.unsent.get() + u32::from(matches!(tried, Tried::NotSent(_))));
        Ended::Tried(tried)
    }

    /// Tells whether the request may still be sent on.
    fn check_send(&self) -> Result<(), Kind> {
        self.check_workspace()?;
        self.check_suspect()?;
        self.check_last()
    }

    /// Refuses a request under which all but the last backend server of its service may have ended: with that one the
    /// whole service would be gone, and it can be tried when others are back.
    fn check_last(&self) -> Result<(), Kind> {
        if self.inner.suspect_tracker.verdict(self.request) != Verdict::LastTry {
            return Ok(());
        }
        let fleet = self.inner.fleet.borrow();
        let keys = fleet.keys_of_service(self.service).iter();
        let has_ended =
            |key: &BackendKey| self.inner.suspect_tracker.has_ended(&fleet.incarnation(*key));
        let is_last = keys.filter(|key| !has_ended(key)).count() <= 1;
        if is_last { Err(Kind::NoSlot) } else { Ok(()) }
    }

    /// Tells whether the workspace's request may still be sent on: keys may have been taken away, or this VM been
    /// frozen, while it waited.
    fn check_workspace(&self) -> Result<(), Kind> {
        let Some(admitted) = self.workspace else { return Ok(()) };
        let catalog = self.inner.catalog();
        let workspaces = catalog.as_ref().and_then(|catalog| catalog.workspaces.as_ref());
        admitted.check(&self.inner.leases, workspaces, self.inner.now_ms())
    }

    /// Refuses a request under which backend servers end. Others may have told of it while it waited.
    fn check_suspect(&self) -> Result<(), Kind> {
        self.inner.suspect_tracker.check(self.request, self.inner.now_ms())
    }

    /// Takes the end of one send in.
    fn settle(&self, ended: Ended, record: &mut Record) -> Settled {
        let (ran, failed) = match ended {
            Ended::Tried(Tried::Answered(answer)) if answer.status < 500 => {
                return Settled::Done(answer);
            }
            Ended::Tried(Tried::Answered(answer)) => (true, self.failed_answer(answer)),
            Ended::Tried(Tried::MayHaveRun(kind)) => (true, Err(kind)),
            Ended::Tried(Tried::NotRun(kind) | Tried::NotSent(kind)) => (false, Err(kind)),
            Ended::NoSlot(kind) => {
                record.note(Err(kind));
                return Settled::Over;
            }
            Ended::Denied => return Settled::Over,
        };
        record.note(failed);
        record.ran += u32::from(ran);
        // Two backend servers have ended under it: a third should not before its caller asks again.
        let may_end_another =
            ran && self.inner.suspect_tracker.verdict(self.request) >= Verdict::LastTry;
        let is_over = may_end_another || (ran && !self.route.is_repeatable);
        if is_over { Settled::Over } else { Settled::MayRepeat }
    }

    /// Tells whether a request may still go to a backend server, which may have named a limit while a connection was opened.
    fn check_permit(&self, key: BackendKey, permit: Permit) -> Result<(), Kind> {
        let is_limited = self.inner.fleet.borrow().limit(key).is_some();
        if permit.allows(is_limited, self.inner.now_ms()) { Ok(()) } else { Err(Kind::NoSlot) }
    }

    /// Asks for a permit to use a slot, if its backend server names a limit.
    async fn permit(&self, slot: &Slot) -> Result<Permit, Denied> {
        self.inner.permits().take(slot.key, self.request.id.as_deref().unwrap_or("-")).await
    }

    /// Waits for a slot at a backend server that the request may be sent to.
    async fn take_permitted(&self, sends: &Sends) -> Result<(Slot, Permit), Kind> {
        loop {
            let slot = self.take_slot(sends).await?;
            if let Ok(permit) = self.permit(&slot).await {
                return Ok((slot, permit));
            }
        }
    }

    /// Waits for a slot at a backend server.
    async fn take_slot(&self, sends: &Sends) -> Result<Slot, Kind> {
        let began_ms = self.inner.now_ms();
        let tried = sends.tried.borrow().clone();
        let slot = slot::take(self.inner, &self.want(&tried)).await;
        let waited_ms = self.inner.now_ms().saturating_sub(began_ms);
        self.inner.meters.waited_seconds.observe(waited_ms as f64 / 1000.0);
        sends.waited_ms.set(sends.waited_ms.get() + waited_ms);
        slot
    }

    /// What the request wants of a slot.
    fn want<'b>(&'b self, tried: &'b [BackendKey]) -> SlotWant<'b> {
        let usual_ms = self.usual_ms();
        SlotWant {
            service: self.service,
            is_repeatable: self.route.is_repeatable
                && tried.len() + 1 < self.route.attempts as usize,
            rank: self.rank(),
            workspace: self.workspace.map(|workspace| workspace.id),
            tried,
            route: self.route_key,
            bytes: self.request.body.len(),
            objective_ms: self.route.objective_ms,
            until_ms: self.deadline_ms.saturating_sub(usual_ms as u64 / 2),
        }
    }

    /// Its rank among requests that wait.
    fn rank(&self) -> Rank {
        let workspace = self.workspace.map_or(0, |workspace| workspace.rank);
        Rank { workspace, route: self.route.priority }
    }

    /// How long to wait before looking whether another backend server should be asked.
    fn next_hedge_check_ms(&self, sends: &Sends) -> u64 {
        let flights = sends.flights.borrow();
        if flights.is_empty() {
            return SLOT_LOOK_MS;
        }
        let fleet = self.inner.fleet.borrow();
        next_hedge_check_ms(&fleet, &self.pending(&flights), self.inner.now_ms())
    }

    /// The request as it is under way.
    fn pending<'b>(&self, flights: &'b [(BackendKey, u64)]) -> PendingRequest<'b> {
        PendingRequest {
            route: self.route_key,
            flights,
            on_time_ms: self.arrived_ms + self.route.objective_ms,
            deadline_ms: self.deadline_ms,
        }
    }

    /// A free slot elsewhere for a request that gains by it, if all it needs is there.
    fn hedge_slot(&self, record: &Record, sends: &Sends) -> Option<Slot> {
        let now_ms = self.inner.now_ms();
        let flights = sends.flights.borrow();
        if now_ms < sends.no_hedge_until_ms.get() || flights.is_empty() {
            return None;
        }
        if record.ran + flights.len() as u32 >= self.route.attempts {
            return None;
        }
        // One that may end a backend server goes to one at a time.
        if self.inner.suspect_tracker.verdict(self.request) != Verdict::Free {
            return None;
        }
        let gain = hedge_gain(&self.inner.fleet.borrow(), &self.pending(&flights), now_ms);
        let sharers = self.inner.mesh.entry_set.count();
        let used_part = self.inner.repeats.used_share(self.service, sharers, now_ms);
        if !is_hedge_worthwhile(gain, used_part) {
            return None;
        }
        let tried = sends.tried.borrow().clone();
        let slot = slot::try_take(self.inner, &self.want(&tried), 0, now_ms)?;
        if !self.cover_send(sends) {
            sends.no_hedge_until_ms.set(now_ms + DENIED_PAUSE_MS);
            return None;
        }
        let id = self.request.id.as_deref().unwrap_or("-");
        let gain = (gain * 100.0).round() / 100.0;
        info!(id, route = self.route.name, under_way = flights.len(), gain, "hedge");
        Some(slot)
    }

    /// Refuses a request that a planned stop would cut.
    ///
    /// In the first half of the grace callers still come who were told of this VM before: they are served unless the work
    /// usually takes too long. Those that come later are few, and can be served elsewhere: they are let in only if all of
    /// their time fits, as work that takes three times as long as usual would be cut.
    fn check_stop(&self) -> Result<(), Kind> {
        let Some(ends_ms) = self.inner.stop_ends_ms() else { return Ok(()) };
        let left_ms = ends_ms.saturating_sub(self.arrived_ms);
        let is_late = left_ms < self.inner.settings.grace_ms() / 2;
        let whole_ms = self.deadline_ms.saturating_sub(self.arrived_ms);
        let usual_ms = (STOP_FACTOR * self.usual_ms()) as u64;
        let needed_ms = if is_late { whole_ms } else { usual_ms };
        if left_ms < needed_ms { Err(Kind::Stopping) } else { Ok(()) }
    }

    /// Tells whether the request may be sent again, as far as can be told before there is a slot for it.
    async fn may_repeat(&self, record: &Record, sends: &Sends) -> bool {
        record.ran < self.route.attempts
            && sends.count.get() < self.route.attempts + UNRUN_LIMIT
            && self.inner.now_ms() < self.deadline_ms
            && (sends.is_covered() || self.until_repeat().await)
    }

    /// Waits until one more repeat may be made, while what others lend may come any moment; if none may, the request ends
    /// with the failure that it has.
    async fn until_repeat(&self) -> bool {
        let Inner { repeats, mesh, meters, .. } = &**self.inner;
        loop {
            let now_ms = self.inner.now_ms();
            let room = repeats.headroom(self.service, now_ms);
            if room.has_one() {
                return true;
            }
            repeats.request_loans(self.service, mesh, meters, now_ms);
            if now_ms >= self.deadline_ms || !repeats.is_loan_awaited(self.service, now_ms) {
                self.note_denied(room);
                return false;
            }
            tokio::time::sleep(Duration::from_millis(LOAN_LOOK_MS)).await;
        }
    }

    /// Takes a repeat out of what may be repeated, if the next send needs one. It is counted when the send goes out: one
    /// that was counted and then waited for a slot would arrive in a later window.
    fn cover_send(&self, sends: &Sends) -> bool {
        if sends.is_covered() {
            return true;
        }
        let inner = self.inner;
        let now_ms = inner.now_ms();
        let (may, room) = inner.repeats.take(self.service, now_ms);
        inner.meters.note_room(self.service, room);
        if may {
            sends.covered.set(sends.covered.get() + 1);
            inner.meters.repeats.inc();
            let id = self.request.id.as_deref().unwrap_or("-");
            let Headroom { requests, spent, own, lent } = room;
            info!(id, service = self.service, requests, spent, own, lent, "repeat");
        } else {
            self.note_denied(room);
        }
        inner.repeats.request_loans(self.service, &inner.mesh, &inner.meters, now_ms);
        may
    }

    /// Notes that no more may be repeated, and asks other VMs for what they can spare.
    fn note_denied(&self, room: Headroom) {
        let inner = self.inner;
        inner.meters.repeats_denied.inc();
        let id = self.request.id.as_deref().unwrap_or("-");
        let Headroom { requests, spent, own, lent } = room;
        info!(id, service = self.service, requests, spent, own, lent, "repeat denied");
        inner.repeats.request_loans(self.service, &inner.mesh, &inner.meters, inner.now_ms());
    }

    /// What an answer that tells of a failure is passed on as.
    ///
    /// One that says the request did not run, without the mark that makes it true, is not passed on
    /// for a request that must not run again.
    fn failed_answer(&self, answer: Answer) -> Result<Answer, Kind> {
        let promises = matches!(answer.status, 503 | 429 | 408);
        if promises && !self.route.is_repeatable { Err(Kind::AnswerInvalid) } else { Ok(answer) }
    }

    /// How long answers of this route usually take.
    fn usual_ms(&self) -> f64 {
        self.inner.fleet.borrow().route(self.route_key).latency.median_ms()
    }
}

/// Notes how a request ended when it is dropped; one that its caller left was not served.
struct EndNote<'a> {
    /// The VM.
    inner: &'a Inner,
    /// The service.
    service: &'a str,
    /// Whether the request was served.
    is_served: bool,
}

impl Drop for EndNote<'_> {
    fn drop(&mut self) {
        let mut services = self.inner.services.borrow_mut();
        let state = services.entry(self.service.to_owned()).or_default();
        state.demand.note_end(self.is_served, self.inner.now_ms());
    }
}

/// What the end of one send means for the request.
enum Settled {
    /// It is answered.
    Done(Answer),
    /// It may be sent again.
    MayRepeat,
    /// It may not.
    Over,
}

impl Record {
    /// Notes a failure: an answer tells most, then that the request may have run.
    fn note(&mut self, next: Result<Answer, Kind>) {
        self.failed = Some(match (self.failed.take(), next) {
            (Some(Ok(answer)), Err(_)) => Ok(answer),
            (Some(Err(before)), Err(next)) => Err(before.combined_with(next)),
            (_, next) => next,
        });
    }

    /// The final answer of a request that could not be served.
    fn last_word(self, otherwise: Kind) -> Result<Answer, Kind> {
        self.failed.unwrap_or(Err(otherwise))
    }
}
