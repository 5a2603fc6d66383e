//! One attempt: sends a request to one backend server and classifies the answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_catalog::{Incarnation, Notice};
use leverstream_core::{AnswerVerdict, LimitNotice, Outcome};
use leverstream_error::Kind;
use leverstream_platform::{decode_notice, headers};
use leverstream_route::Claim;
use leverstream_wire::{Answer, Message, Progress, WireError};
use rand::Rng;
use tracing::{info, warn};

use crate::connect::{ConnectError, connect, connect_within};
use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::links::{self, FailureCause};
use crate::memory::AnswerGrant;
use crate::meters::CrossHallCause;
use crate::slot::Slot;
use crate::verdict::{JudgedAnswer, judge};
use crate::{ends, evidence, notices};

/// The timeout for checking whether a backend server whose connection broke has stopped listening.
/// A refused connection takes one round trip, some milliseconds.
const END_PROBE_TIMEOUT_MS: u64 = 100;

/// The hold-off that a backend server asks for is prolonged by a random time of up to this fraction
/// of it (one in `SPREAD_DIVISOR`), so that VMs that received the hold-off at the same moment don't
/// return all at once.
const SPREAD_DIVISOR: u64 = 4;

/// The upper limit of the random time by which a hold-off is prolonged.
const MAX_SPREAD_MS: u64 = 500;

/// The status by which a backend server reports that it stopped work at the deadline it was given.
const GATEWAY_TIMEOUT: u16 = 504;

/// The result of one attempt at a backend server.
pub(crate) enum AttemptResult {
    /// The backend server answered, and may have run the request or declined it for good.
    Answered(JudgedAnswer),
    /// The request was not sent, for example because no connection could be opened.
    NotSent(Kind),
    /// The backend server certainly did not run the request.
    NotRun(Kind),
    /// The backend server may have run the request.
    MayHaveRun(Kind),
}

/// Sends a request to the backend server of `slot`.
///
/// Calls `may_send` once the connection is open: while it was being opened, this VM may have been
/// frozen or suspended, or another VM may have reported something that forbids the request.
pub(crate) async fn attempt(
    inner: &Rc<Inner>,
    slot: Slot,
    request: &Inbound,
    is_repeatable: bool,
    deadline_ms: u64,
    may_send: impl Fn() -> Result<(), Kind>,
) -> AttemptResult {
    if inner.now_ms() >= deadline_ms {
        return AttemptResult::NotSent(Kind::NoSlot);
    }
    inner.meters.attempts.inc();
    let (address, incarnation) = {
        let fleet = inner.fleet.borrow();
        (fleet.target(slot.key).0, fleet.incarnation(slot.key))
    };
    let mark = request.mark();
    let idle = inner.idle_pool.borrow_mut().take(&incarnation, mark, is_repeatable, inner.now_ms());
    let is_reused = idle.is_some();
    let conn = match idle {
        Some(conn) => Ok(conn),
        None => connect(inner, address, deadline_ms).await,
    };
    let grant = inner.memory.open_answer(&inner.callers);
    let attempt = Attempt {
        inner,
        request,
        incarnation: &incarnation,
        slot: &slot,
        is_reused,
        notice: Cell::default(),
        grant: &grant,
    };
    let now_ms = inner.now_ms();
    let left_ms = deadline_ms.saturating_sub(now_ms);
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(error) => {
            let cause = links::find_cause(inner, slot.key).await;
            let is_own = cause == FailureCause::OwnLinks;
            let is_in_service = inner.fleet.borrow().is_in_service(slot.key);
            if error == ConnectError::Refused && is_in_service && !is_own {
                ends::confirm_refusal(inner, slot.key, &incarnation);
            }
            // An attempt cut short by the deadline shows nothing about the backend server.
            let is_cut_short = left_ms == 0 && error == ConnectError::Unreachable;
            let outcome = if is_cut_short || is_own { Outcome::Neutral } else { Outcome::Bad };
            attempt.fail(outcome, &error.to_string());
            return AttemptResult::NotSent(Kind::ConnectFailed);
        }
    };
    if left_ms == 0 {
        return AttemptResult::NotSent(Kind::NoSlot);
    }
    // While the request waited for its slot or a connection, the backend server may have announced
    // that it leaves or holds off.
    if !inner.fleet.borrow().may_send(slot.key, now_ms) {
        return AttemptResult::NotSent(Kind::ConnectFailed);
    }
    if let Err(kind) = may_send() {
        return AttemptResult::NotSent(kind);
    }
    inner.fleet.borrow_mut().note_reached(slot.key, now_ms);
    let head = request.encode_head(&incarnation.instance, left_ms);
    let message = Message { head: &head, body: &request.body };
    let progress = Progress::default();
    let is_head = request.method == actix_http::Method::HEAD;
    let on_head = |head: &Answer| {
        let is_matching = is_answer_to(head, request.id.as_deref());
        if is_matching {
            attempt.apply_notice(head, now_ms);
        }
        is_matching
    };
    if slot.pick.choice.is_far() {
        inner.meters.count_cross_hall(CrossHallCause::Request, head.len() + request.body.len());
    }
    let answer_wait =
        AnswerWait { attempt: &attempt, sent_ms: now_ms, is_finished: Cell::new(false) };
    let exchange = conn.exchange_within(message, is_head, &progress, on_head, &grant);
    let answered = tokio::time::timeout(Duration::from_millis(left_ms), exchange).await;
    answer_wait.is_finished.set(answered.is_ok());
    drop(answer_wait);
    let now_ms = inner.now_ms();
    let answer = match answered {
        Ok(Ok(answer)) => answer,
        Ok(Err(WireError::TooLarge)) => {
            // Another backend server's answer would be as large, and the memory as short.
            request.forbid_repeats();
            attempt.fail(Outcome::Neutral, &WireError::TooLarge.to_string());
            return AttemptResult::MayHaveRun(error_kind(WireError::TooLarge));
        }
        Ok(Err(error)) if grant.has_paused() => {
            // The backend server may have given up on a connection that wasn't read.
            attempt.fail(Outcome::Neutral, &format!("{error}, after a wait for memory"));
            return AttemptResult::MayHaveRun(error_kind(error));
        }
        Ok(Err(error)) => {
            let outcome = attempt.judge_break(error, address).await;
            attempt.fail(outcome, &error.to_string());
            return AttemptResult::MayHaveRun(error_kind(error));
        }
        Err(_) if grant.has_paused() => {
            attempt.fail(Outcome::Neutral, "no memory for its answer in time");
            return AttemptResult::MayHaveRun(Kind::AnswerTimeout);
        }
        Err(_) => {
            attempt.fail(Outcome::Expired, "no answer in time");
            return AttemptResult::MayHaveRun(Kind::AnswerTimeout);
        }
    };
    if slot.pick.choice.is_far() {
        inner.meters.count_cross_hall(CrossHallCause::Answer, answer.body.len());
    }
    let verdict = judge(&answer, request.id.is_some());
    if verdict.is_not_run() {
        conn.record_refusal(mark);
    }
    if conn.is_reusable() && inner.fleet.borrow().is_in_service(slot.key) {
        inner.idle_pool.borrow_mut().put(incarnation.clone(), conn, answer.keep_alive_ms(), now_ms);
    }
    attempt.record_answer(&answer, verdict);
    match verdict {
        AnswerVerdict::Misdirected => AttemptResult::NotRun(Kind::ConnectFailed),
        AnswerVerdict::Rejected => AttemptResult::NotRun(Kind::Shed),
        AnswerVerdict::Invalid => AttemptResult::MayHaveRun(Kind::AnswerInvalid),
        AnswerVerdict::Served | AnswerVerdict::Declined | AnswerVerdict::Failed => {
            let mut answer = answer;
            answer.body = grant.attach(answer.body);
            AttemptResult::Answered(JudgedAnswer { answer, verdict })
        }
    }
}

/// An attempt to send a request to the backend server of a slot.
struct Attempt<'a> {
    /// The state of this gateway VM.
    inner: &'a Rc<Inner>,
    /// The request.
    request: &'a Inbound,
    /// The incarnation of the backend server.
    incarnation: &'a Incarnation,
    /// The slot that the attempt uses.
    slot: &'a Slot,
    /// Whether the connection came from the idle pool.
    is_reused: bool,
    /// The notice in the head of the answer.
    notice: Cell<Notice>,
    /// The memory granted to the answer.
    grant: &'a AnswerGrant,
}

/// A guard for a sent request that waits for its answer.
///
/// If it is dropped before the exchange ends, because the caller disconnects or the deadline
/// passes, the request is remembered for a while as abandoned: its backend server may still end
/// because of it. An answer that has waited for memory shows that its backend server has run the
/// request.
struct AnswerWait<'a> {
    /// The attempt.
    attempt: &'a Attempt<'a>,
    /// When it was sent.
    sent_ms: u64,
    /// Whether the exchange has ended.
    is_finished: Cell<bool>,
}

impl Drop for AnswerWait<'_> {
    fn drop(&mut self) {
        if !self.is_finished.get() && !self.attempt.grant.has_paused() {
            let Attempt { inner, request, incarnation, .. } = *self.attempt;
            inner.suspect_tracker.note_abandoned(
                request,
                incarnation,
                self.sent_ms,
                inner.now_ms(),
            );
        }
    }
}

/// Returns whether an answer belongs to the request with this id. An answer without an id is left
/// to [`judge`].
fn is_answer_to(answer: &Answer, id: Option<&str>) -> bool {
    // Compares bytes, as an id that is not UTF-8 must not count as missing.
    id.is_none_or(|id| answer.values(headers::REQUEST_ID).all(|answered| answered == id.as_bytes()))
}

/// Returns the error kind for a failed exchange.
fn error_kind(error: WireError) -> Kind {
    match error {
        WireError::Connect => Kind::ConnectFailed,
        WireError::Send => Kind::SendFailed,
        WireError::Truncated | WireError::TimedOut => Kind::AnswerCut,
        WireError::Malformed | WireError::TooLarge => Kind::AnswerInvalid,
    }
}

impl Attempt<'_> {
    /// Records what an answer shows about the backend server.
    fn record_answer(&self, answer: &Answer, verdict: AnswerVerdict) {
        let Attempt { inner, request, slot, .. } = *self;
        match verdict {
            AnswerVerdict::Served => {
                let time_ms = self.time_without_pauses_ms() as f64;
                slot.end(Outcome::Good { time_ms, bytes: answer.body.len() });
                inner.suspect_tracker.note_healthy_answer(request, inner.now_ms());
            }
            // How fast a request was turned away says nothing of how fast one is served.
            AnswerVerdict::Declined => {
                let status = answer.status;
                self.fail(Outcome::Neutral, &format!("status {status}, did not run it"));
            }
            AnswerVerdict::Rejected => {
                // A hold-off time is a sign of load, not of failure.
                let has_hold_off = self.notice.get().hold_off_ms.is_some();
                let outcome = if has_hold_off { Outcome::Neutral } else { Outcome::Bad };
                self.fail(outcome, &format!("shed with status {}", answer.status));
            }
            AnswerVerdict::Misdirected => self.end_misdirected(),
            AnswerVerdict::Failed => {
                let is_expired = answer.status == GATEWAY_TIMEOUT;
                let outcome = if is_expired { Outcome::Expired } else { Outcome::Bad };
                self.fail(outcome, &format!("status {}", answer.status));
            }
            AnswerVerdict::Invalid => {
                let is_marked = answer.field(headers::NOT_RUN).is_some();
                let why = if is_marked {
                    "success marked as not run"
                } else {
                    "answer lacks the request id"
                };
                self.fail(Outcome::Bad, why);
            }
        }
    }

    /// Ends the incarnation whose address answers for another backend server.
    fn end_misdirected(&self) {
        let Attempt { inner, incarnation, .. } = *self;
        if inner.fleet.borrow_mut().end_incarnation(incarnation) {
            let Incarnation { instance, born_ms } = incarnation;
            let reason = "its address answers for another";
            info!(backend = instance, born_ms, reason, "backend gone");
            evidence::announce_end(inner, incarnation);
        }
    }

    /// Applies the notice in the head of an answer, unless another backend server answers at the
    /// address.
    fn apply_notice(&self, head: &Answer, sent_ms: u64) {
        let Attempt { inner, request, incarnation, .. } = *self;
        let notice = decode_notice(head);
        if judge(head, request.id.is_some()) == AnswerVerdict::Misdirected {
            return;
        }
        self.apply_limit(notice, sent_ms);
        if notice.is_empty() {
            return;
        }
        self.notice.set(notice);
        inner.meters.note_notice(notice);
        let now_ms = inner.now_ms();
        if notice.is_leaving && inner.fleet.borrow_mut().note_leaving(incarnation, now_ms) {
            let id = request.id.as_deref().unwrap_or("-");
            let Incarnation { instance, born_ms } = incarnation;
            let status = head.status;
            info!(id, backend = instance, born_ms, status, source = "answer", "backend leaves");
            notices::announce_leaving(inner, incarnation);
            inner.idle_pool.borrow_mut().close_all(incarnation);
            inner.wake_all();
        }
        if let Some(for_ms) = notice.hold_off_ms {
            self.hold_off(for_ms, now_ms);
        }
        if notice.is_limit_malformed {
            let id = request.id.as_deref().unwrap_or("-");
            warn!(id, backend = incarnation.instance, "its limit cannot be read");
        }
        if notice.is_hold_off_malformed {
            let id = request.id.as_deref().unwrap_or("-");
            warn!(id, backend = incarnation.instance, "how long it wants nothing cannot be read");
        }
    }

    /// Applies the limit that an answer names. An answer that names none removes the limit, unless
    /// the field is malformed.
    fn apply_limit(&self, notice: Notice, sent_ms: u64) {
        let Attempt { inner, request, incarnation, .. } = *self;
        let per_s = notice.limit_per_s;
        if per_s.is_none() && notice.is_limit_malformed {
            return;
        }
        let limit_notice =
            LimitNotice { per_s, sent_ms: i64::try_from(sent_ms).unwrap_or(i64::MAX) };
        let now_ms = inner.now_ms();
        if inner.fleet.borrow_mut().note_limit(incarnation, limit_notice, now_ms) {
            let id = request.id.as_deref().unwrap_or("-");
            let Incarnation { instance, born_ms } = incarnation;
            info!(id, backend = instance, born_ms, per_s, source = "answer", "backend limit");
            notices::announce_limit(inner, limit_notice.to_update(incarnation, now_ms));
            inner.wake_all();
        }
    }

    /// Holds off sending to the backend server for `for_ms` plus a random time, so that the VMs
    /// that received the same notice return one after another.
    fn hold_off(&self, for_ms: u64, now_ms: u64) {
        let Attempt { inner, request, incarnation, slot, .. } = *self;
        let spread_ms = rand::rng().random_range(0..=(for_ms / SPREAD_DIVISOR).min(MAX_SPREAD_MS));
        let pause_ms = for_ms.saturating_add(spread_ms);
        inner.fleet.borrow_mut().hold_off(slot.key, pause_ms, now_ms);
        let id = request.id.as_deref().unwrap_or("-");
        let Incarnation { instance, born_ms } = incarnation;
        info!(id, backend = instance, born_ms, for_ms, spread_ms, "backend wants nothing");
        inner.wake_all();
    }

    /// Returns how long the backend server has taken: the time since the slot was taken, less that in
    /// which the answer waited for memory.
    fn time_without_pauses_ms(&self) -> u64 {
        let Attempt { inner, request, incarnation, slot, grant, .. } = *self;
        let now_ms = inner.now_ms();
        let paused_ms = grant.paused_ms(now_ms);
        let counted_ms = now_ms.saturating_sub(slot.since_ms).saturating_sub(paused_ms);
        if grant.has_paused() {
            let id = request.id.as_deref().unwrap_or("-");
            let backend = &incarnation.instance;
            info!(id, backend, paused_ms, counted_ms, "answer waited for memory");
        }
        counted_ms
    }

    /// Records a failed outcome in the slot and logs the reason.
    fn fail(&self, outcome: Outcome, why: &str) {
        let Attempt { inner, request, incarnation, slot, is_reused, .. } = *self;
        slot.end(outcome);
        let took_ms = inner.now_ms().saturating_sub(slot.since_ms);
        let id = request.id.as_deref().unwrap_or("-");
        let choice = slot.pick.choice;
        let (load, slots) = (choice.load, choice.slots);
        let (is_far, is_owed) = (choice.is_far(), choice.claim == Claim::Required);
        let failure_chance = slot.pick.failure_chance();
        info!(
            id,
            backend = incarnation.instance,
            why,
            took_ms,
            is_reused,
            ?outcome,
            load,
            slots,
            is_far,
            is_owed,
            failure_chance,
            "attempt failed"
        );
    }

    /// Returns what a failed exchange shows about the backend server, and records if it has ended.
    async fn judge_break(&self, error: WireError, address: SocketAddr) -> Outcome {
        let Attempt { inner, request, incarnation, slot, .. } = *self;
        if !error.is_disconnect() {
            return Outcome::Bad;
        }
        let unjudged = inner.suspect_tracker.await_judgement(request, incarnation);
        // Its address is tried at once: a process that starts again soon would accept later.
        let (cause, has_ended) =
            futures_util::join!(links::find_cause(inner, slot.key), self.has_ended(address));
        if cause == FailureCause::OwnLinks {
            return Outcome::Neutral;
        }
        if has_ended {
            ends::confirm_end(inner, slot.key, incarnation, request, unjudged);
        }
        Outcome::Bad
    }

    /// Returns whether the backend server whose connection has just broken has ended without
    /// notice.
    ///
    /// It has if it is still listed as in service and its address refuses connections. A running
    /// backend server accepts, and an unreachable one doesn't answer at all.
    async fn has_ended(&self, address: SocketAddr) -> bool {
        let Attempt { inner, incarnation, slot, .. } = *self;
        if !inner.fleet.borrow().is_in_service(slot.key) {
            return false;
        }
        match connect_within(inner, address, END_PROBE_TIMEOUT_MS).await {
            Ok(conn) => {
                inner.idle_pool.borrow_mut().put(incarnation.clone(), conn, None, inner.now_ms());
                false
            }
            Err(error) => error == ConnectError::Refused,
        }
    }
}
