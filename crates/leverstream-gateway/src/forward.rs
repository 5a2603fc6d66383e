//! Forwards a request to backend servers: repeats it after failures and hedges slow attempts.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use leverstream_admission::{QueueRank, WaitBounds};
use leverstream_catalog::Route;
use leverstream_core::{
    PendingRequest, RouteKey, hedge_gain, is_hedge_worthwhile, next_hedge_check_ms,
};
use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_route::Headroom;
use leverstream_suspect::Verdict;
use leverstream_wire::Answer;
use tracing::info;

use crate::attempt::{AttemptResult, attempt};
use crate::authorize::AdmittedWorkspace;
use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::limits::{Denied, Permit};
use crate::pressure;
use crate::sends::{NextStep, SendSummary, Sends};
use crate::slot::{self, Refusal, Slot, SlotRequest};
use crate::stop;
use crate::verdict::JudgedAnswer;

/// How many more times than the route's attempts a request may be sent, for sends that the backend
/// server did not run.
const MAX_EXTRA_SENDS: u32 = 3;

/// The interval at which a request that waits for a slot checks whether a hedge is due.
const SLOT_CHECK_INTERVAL_MS: u64 = 50;

/// How long a request waits before it tries to hedge again after the retry budget denied a hedge.
const HEDGE_DENIED_PAUSE_MS: u64 = 50;

/// The interval at which a request that waits for repeats from other VMs checks whether they have
/// arrived.
const LOAN_CHECK_INTERVAL_MS: u64 = 4;

/// A request that is being forwarded.
pub(crate) struct Forward<'a> {
    /// The state of this gateway VM.
    pub inner: &'a Rc<Inner>,
    /// The request.
    pub request: &'a Inbound,
    /// The workspace of the request, if the route requires a key.
    pub workspace: Option<&'a AdmittedWorkspace>,
    /// Its route.
    pub route: &'a Route,
    /// Its service.
    pub service: &'a str,
    /// When it arrived.
    pub arrived_ms: u64,
    /// The time by which it must be answered.
    pub deadline_ms: u64,
    /// The key of the route's statistics.
    pub route_key: RouteKey,
    /// Whether another VM, which has passed the request on, has counted it for its service.
    pub is_counted: bool,
}

/// The result of one send.
enum SendResult {
    /// No slot was available, or the request may not be sent on.
    NoSlot(Kind),
    /// The retry budget allows no more repeats.
    Denied,
    /// An attempt was made.
    Sent(AttemptResult),
}

impl Forward<'_> {
    /// Sends the request to backend servers until one gives a final answer.
    ///
    /// A stalled request that is repeatable is also sent to a second backend server; the first good
    /// answer wins.
    pub async fn run(&self, sends: &Sends) -> Result<Answer, Kind> {
        self.check_suspect()?;
        let now_ms = self.inner.now_ms();
        if !self.is_counted {
            self.inner.repeats.request(self.service, now_ms);
        }
        self.inner.note_arrival(self.service, now_ms);
        let mut guard =
            CompletionGuard { inner: self.inner, service: self.service, is_served: false };
        let result = match self.admit(sends) {
            Ok(()) => self.run_sends(sends).await,
            Err(kind) => Err(kind),
        };
        guard.is_served = result.as_ref().is_ok_and(|judged| !judged.is_failure());
        result.map(|judged| judged.answer)
    }

    /// Refuses the request if its service is full and its rank is not admitted.
    fn admit(&self, sends: &Sends) -> Result<(), Kind> {
        sends.rank.set(self.rank().demand_rank().0);
        let result = pressure::admit(self.inner, &self.slot_request(&[], sends));
        result.map_err(|refusal| self.note_refusal(refusal, sends))
    }

    /// Records that the request was refused a slot, and returns the error for its caller.
    fn note_refusal(&self, refusal: Refusal, sends: &Sends) -> Kind {
        if let Some(by) = refusal.by {
            sends.refused_by.set(Some(by));
            self.inner.meters.note_refused(self.service, sends.rank.get(), by);
        }
        refusal.kind
    }

    /// Starts sends as they become due until one gives the answer.
    async fn run_sends(&self, sends: &Sends) -> Result<JudgedAnswer, Kind> {
        let mut summary = SendSummary::after(sends);
        let mut running = FuturesUnordered::new();
        running.push(self.send(sends, None));
        loop {
            let hedge_timer =
                tokio::time::sleep(Duration::from_millis(self.next_hedge_check_ms(sends)));
            tokio::select! {
                biased;
                result = running.next() => {
                    let Some(result) = result else { return summary.into_result(Kind::NoSlot) };
                    let next_step = self.record_send(result, &mut summary);
                    sends.ran.set(summary.ran);
                    let may_repeat = match next_step {
                        NextStep::Done(answer) => return Ok(answer),
                        NextStep::Final => false,
                        NextStep::MayRepeat => true,
                    };
                    if running.is_empty() {
                        if !may_repeat || !self.may_repeat(&summary, sends).await {
                            return summary.into_result(Kind::NoSlot);
                        }
                        running.push(self.send(sends, None));
                    }
                }
                () = hedge_timer, if self.route.is_repeatable => {
                    if let Some(slot) = self.hedge_slot(&summary, sends) {
                        running.push(self.send(sends, Some(slot)));
                    }
                }
            }
        }
    }

    /// Sends the request once, in the given slot or else in the next one that becomes available.
    async fn send(&self, sends: &Sends, slot: Option<Slot>) -> SendResult {
        let (slot, permit) = match slot {
            Some(slot) => match self.take_permit(&slot).await {
                Ok(permit) => (slot, permit),
                Err(Denied) => return SendResult::Sent(AttemptResult::NotSent(Kind::NoSlot)),
            },
            None => match stop::or_refuse(self.inner, self.take_slot_with_permit(sends)).await {
                Ok(taken) => taken,
                Err(kind) => return SendResult::NoSlot(kind),
            },
        };
        if let Err(kind) = self.check_send() {
            return SendResult::NoSlot(kind);
        }
        if !self.cover_send(sends) {
            return SendResult::Denied;
        }
        sends.tried.borrow_mut().push(slot.key);
        sends.count.set(sends.count.get() + 1);
        let in_flight = (slot.key, slot.since_ms);
        sends.sends_in_flight.borrow_mut().push(in_flight);
        sends.pick.set(Some(slot.pick));
        let instance = self.inner.fleet.borrow().target(slot.key).1.to_owned();
        sends.backend.replace(instance);
        let is_repeatable = self.route.is_repeatable;
        let key = slot.key;
        let may_send = || self.check_send().and_then(|()| self.check_permit(key, permit));
        let result =
            attempt(self.inner, slot, self.request, is_repeatable, self.deadline_ms, may_send)
                .await;
        sends.sends_in_flight.borrow_mut().retain(|other| *other != in_flight);
        sends
            .unsent
            .set(sends.unsent.get() + u32::from(matches!(result, AttemptResult::NotSent(_))));
        SendResult::Sent(result)
    }

    /// Returns an error if the request may no longer be sent.
    fn check_send(&self) -> Result<(), Kind> {
        stop::check_send(self.inner, self.route_key)?;
        self.check_workspace()?;
        self.check_suspect()?;
        self.check_last_backend()
    }

    /// Refuses a request under which all other backend servers of its service may have ended. If
    /// the last one ended too, the whole service would be down; the caller can retry when others
    /// are back.
    fn check_last_backend(&self) -> Result<(), Kind> {
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

    /// Returns an error if the workspace's request may no longer be sent: while it waited, its key
    /// may have been revoked or this VM may have been frozen.
    fn check_workspace(&self) -> Result<(), Kind> {
        let Some(admitted) = self.workspace else { return Ok(()) };
        let catalog = self.inner.catalog();
        let workspaces = catalog.as_ref().and_then(|catalog| catalog.workspaces.as_ref());
        admitted.check(&self.inner.leases, workspaces, self.inner.now_ms())
    }

    /// Refuses a request under which backend servers end. Other VMs may have reported it while it
    /// waited.
    fn check_suspect(&self) -> Result<(), Kind> {
        self.inner.suspect_tracker.check(self.request, self.inner.now_ms())
    }

    /// Records the result of one send and decides what follows.
    fn record_send(&self, result: SendResult, summary: &mut SendSummary) -> NextStep {
        let (ran, failed) = match result {
            SendResult::Sent(AttemptResult::Answered(judged)) if judged.is_failure() => {
                (true, judged.for_caller(self.route.is_repeatable))
            }
            SendResult::Sent(AttemptResult::Answered(judged)) => return NextStep::Done(judged),
            SendResult::Sent(AttemptResult::MayHaveRun(kind)) => (true, Err(kind)),
            SendResult::Sent(AttemptResult::NotRun(kind) | AttemptResult::NotSent(kind)) => {
                (false, Err(kind))
            }
            SendResult::NoSlot(kind) => {
                summary.note_failure(Err(kind));
                return NextStep::Final;
            }
            SendResult::Denied => return NextStep::Final,
        };
        summary.note_failure(failed);
        summary.ran += u32::from(ran);
        // Two backend servers have ended under the request: it must not reach a third before its
        // caller repeats it.
        let may_end_another =
            ran && self.inner.suspect_tracker.verdict(self.request) >= Verdict::LastTry;
        let is_final = may_end_another || (ran && !self.route.is_repeatable);
        if is_final { NextStep::Final } else { NextStep::MayRepeat }
    }

    /// Returns an error if the permit no longer allows the send: the backend server may have named
    /// a limit while the connection was opened.
    fn check_permit(&self, key: BackendKey, permit: Permit) -> Result<(), Kind> {
        let is_limited = self.inner.fleet.borrow().limit(key).is_some();
        if permit.allows(is_limited, self.inner.now_ms()) { Ok(()) } else { Err(Kind::NoSlot) }
    }

    /// Requests a permit for a slot, if its backend server names a limit.
    async fn take_permit(&self, slot: &Slot) -> Result<Permit, Denied> {
        self.inner.permits().take(slot.key, self.request.id.as_deref().unwrap_or("-")).await
    }

    /// Waits for a slot at a backend server and for the permit to use it.
    async fn take_slot_with_permit(&self, sends: &Sends) -> Result<(Slot, Permit), Kind> {
        let tried = sends.tried.borrow().clone();
        if !tried.is_empty() {
            pressure::note_repeat(self.inner, &self.slot_request(&tried, sends));
        }
        loop {
            let slot = self.take_slot(sends).await?;
            if let Ok(permit) = self.take_permit(&slot).await {
                return Ok((slot, permit));
            }
        }
    }

    /// Waits for a slot at a backend server, and records the waiting time.
    async fn take_slot(&self, sends: &Sends) -> Result<Slot, Kind> {
        let started_ms = self.inner.now_ms();
        let tried = sends.tried.borrow().clone();
        let request = self.slot_request(&tried, sends);
        sends.asked.set(sends.asked.get() + 1);
        let slot = tokio::select! {
            slot = slot::take(self.inner, &request) => slot,
            // No slot here leads to a backend server any more: `serve` passes the request on.
            () = self.inner.links.until_lost(self.service) => Err(Kind::ConnectFailed.into()),
        };
        let waited_ms = self.inner.now_ms().saturating_sub(started_ms);
        self.inner.meters.waited_seconds.observe(waited_ms as f64 / 1000.0);
        sends.waited_ms.set(sends.waited_ms.get() + waited_ms);
        slot.map_err(|refusal| self.note_refusal(refusal, sends))
    }

    /// Returns the criteria for the request's slot.
    fn slot_request<'b>(&'b self, tried: &'b [BackendKey], sends: &Sends) -> SlotRequest<'b> {
        let median_ms = self.median_ms();
        let bounds = WaitBounds {
            since_ms: sends.held_since_ms(self.inner.now_ms()),
            objective_ms: self.route.objective_ms,
            work_ms: median_ms,
            deadline_ms: self.deadline_ms,
        };
        SlotRequest {
            service: self.service,
            is_repeatable: self.route.is_repeatable
                && tried.len() + 1 < self.route.attempts as usize,
            rank: self.rank(),
            workspace: self.workspace.map(|workspace| workspace.id),
            tried,
            route: self.route_key,
            bytes: self.request.body.len(),
            objective_ms: self.route.objective_ms,
            until_ms: self.deadline_ms.saturating_sub(median_ms as u64 / 2),
            has_asked: sends.asked.get() > 0,
            bounds,
        }
    }

    /// Returns the request's rank in the wait queue.
    fn rank(&self) -> QueueRank {
        let workspace = self.workspace.map_or(0, |workspace| workspace.rank);
        QueueRank { workspace, route: self.route.priority }
    }

    /// Returns the time until the next check whether a hedge is due.
    fn next_hedge_check_ms(&self, sends: &Sends) -> u64 {
        let sends_in_flight = sends.sends_in_flight.borrow();
        if sends_in_flight.is_empty() {
            return SLOT_CHECK_INTERVAL_MS;
        }
        let fleet = self.inner.fleet.borrow();
        next_hedge_check_ms(&fleet, &self.pending(&sends_in_flight), self.inner.now_ms())
    }

    /// Returns the sends in flight in the form that the hedging rules use.
    fn pending<'b>(&self, sends_in_flight: &'b [(BackendKey, u64)]) -> PendingRequest<'b> {
        PendingRequest {
            route: self.route_key,
            sends_in_flight,
            on_time_ms: self.arrived_ms + self.route.objective_ms,
            deadline_ms: self.deadline_ms,
        }
    }

    /// Takes a free slot at another backend server if a hedge is worthwhile and the retry budget
    /// allows it.
    fn hedge_slot(&self, summary: &SendSummary, sends: &Sends) -> Option<Slot> {
        let now_ms = self.inner.now_ms();
        let sends_in_flight = sends.sends_in_flight.borrow();
        if now_ms < sends.no_hedge_until_ms.get() || sends_in_flight.is_empty() {
            return None;
        }
        if summary.ran + sends_in_flight.len() as u32 >= self.route.attempts {
            return None;
        }
        // Where ranks count, a second send waits its turn like any other.
        if self.inner.serves_by_rank() && self.inner.has_waiting(self.service) {
            return None;
        }
        // A request that may end a backend server is in flight at one backend server at a time.
        if self.inner.suspect_tracker.verdict(self.request) != Verdict::Free {
            return None;
        }
        let gain = hedge_gain(&self.inner.fleet.borrow(), &self.pending(&sends_in_flight), now_ms);
        let entry_vms = self.inner.mesh.entry_set.count();
        let used_share = self.inner.repeats.used_share(self.service, entry_vms, now_ms);
        if !is_hedge_worthwhile(gain, used_share) {
            return None;
        }
        let tried = sends.tried.borrow().clone();
        let slot = slot::try_take(self.inner, &self.slot_request(&tried, sends), 0, now_ms)?;
        if !self.cover_send(sends) {
            sends.no_hedge_until_ms.set(now_ms + HEDGE_DENIED_PAUSE_MS);
            return None;
        }
        let id = self.request.id.as_deref().unwrap_or("-");
        let gain = (gain * 100.0).round() / 100.0;
        info!(id, route = self.route.name, under_way = sends_in_flight.len(), gain, "hedge");
        Some(slot)
    }

    /// Returns whether the request may be sent again, as far as this can be known before it has a
    /// slot.
    async fn may_repeat(&self, summary: &SendSummary, sends: &Sends) -> bool {
        summary.ran < self.route.attempts
            && sends.count.get() < self.route.attempts + MAX_EXTRA_SENDS
            && self.inner.now_ms() < self.deadline_ms
            && (sends.is_covered() || self.wait_for_repeat().await)
    }

    /// Waits until the retry budget allows one more repeat, as long as a loan from another VM may
    /// still arrive. If it allows none, the request ends with the failure that it has.
    async fn wait_for_repeat(&self) -> bool {
        let Inner { repeats, mesh, meters, .. } = &**self.inner;
        loop {
            let now_ms = self.inner.now_ms();
            let headroom = repeats.headroom(self.service, now_ms);
            if headroom.has_one() {
                return true;
            }
            repeats.request_loans(self.service, mesh, meters, now_ms);
            if now_ms >= self.deadline_ms || !repeats.is_loan_awaited(self.service, now_ms) {
                self.note_denied(headroom);
                return false;
            }
            tokio::time::sleep(Duration::from_millis(LOAN_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Takes a repeat from the retry budget, if the next send needs one.
    ///
    /// The repeat is counted when the send starts: if it were counted before the wait for a slot,
    /// the send would arrive in a later window than the one it was counted in.
    fn cover_send(&self, sends: &Sends) -> bool {
        if sends.is_covered() {
            return true;
        }
        let inner = self.inner;
        let now_ms = inner.now_ms();
        let (is_granted, headroom) = inner.repeats.take(self.service, now_ms);
        inner.meters.note_headroom(self.service, headroom);
        if is_granted {
            sends.repeats_taken.set(sends.repeats_taken.get() + 1);
            inner.meters.repeats.inc();
            let id = self.request.id.as_deref().unwrap_or("-");
            let Headroom { requests, spent, own, lent } = headroom;
            info!(id, service = self.service, requests, spent, own, lent, "repeat");
        } else {
            self.note_denied(headroom);
        }
        inner.repeats.request_loans(self.service, &inner.mesh, &inner.meters, now_ms);
        is_granted
    }

    /// Records a denied repeat, and asks other VMs for a loan.
    fn note_denied(&self, headroom: Headroom) {
        let inner = self.inner;
        inner.meters.repeats_denied.inc();
        let id = self.request.id.as_deref().unwrap_or("-");
        let Headroom { requests, spent, own, lent } = headroom;
        info!(id, service = self.service, requests, spent, own, lent, "repeat denied");
        inner.repeats.request_loans(self.service, &inner.mesh, &inner.meters, inner.now_ms());
    }

    /// Returns the median latency of the route.
    fn median_ms(&self) -> f64 {
        self.inner.fleet.borrow().route(self.route_key).latency.median_ms()
    }
}

/// Records at drop whether a request was served; one abandoned by its caller was not.
struct CompletionGuard<'a> {
    /// The state of this gateway VM.
    inner: &'a Inner,
    /// The service.
    service: &'a str,
    /// Whether the request was served.
    is_served: bool,
}

impl Drop for CompletionGuard<'_> {
    fn drop(&mut self) {
        let mut services = self.inner.services.borrow_mut();
        let state = services.entry(self.service.to_owned()).or_default();
        state.demand.note_end(self.is_served, self.inner.now_ms());
    }
}
