use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_catalog::{Incarnation, Notice};
use leverstream_core::{LimitWord, Outcome};
use leverstream_error::Kind;
use leverstream_platform::{decode_notice, headers};
use leverstream_route::Claim;
use leverstream_wire::{Answer, Conn, Progress, WireError};
use rand::Rng;
use tracing::{info, warn};

use crate::gateway::Inner;
use crate::inbound::Inbound;
use crate::meters::FarCause;
use crate::slot::Slot;
use crate::{evidence, words};

/// How long opening a connection may take.
///
/// A handshake takes a millisecond or two; after this a packet was lost or nobody is there, and as
/// nothing was sent, another backend server can have the request.
const CONNECT_MS: u64 = 300;

/// How long it is looked whether a backend server has ended whose connection broke. A refusal takes a way there and
/// back, some milliseconds.
const END_LOOK_MS: u64 = 100;

/// By which part of a time for which a backend server wants nothing, at the most, it is made longer by chance: VMs that were
/// told at the same moment come back over as long.
const SPREAD_PART: u64 = 4;

/// By how much at the most, in milliseconds.
const SPREAD_LIMIT_MS: u64 = 500;

/// The status by which an address says that another backend server lives there now.
const MISDIRECTED: u16 = 421;

/// The status by which a backend server says that it stopped work at the limit it was given.
const GATEWAY_TIMEOUT: u16 = 504;

/// What came of sending a request to a backend server.
pub(crate) enum Tried {
    /// It answered.
    Answered(Answer),
    /// No connection to it came about.
    NotSent(Kind),
    /// It certainly did not run the request.
    NotRun(Kind),
    /// It may have run the request.
    MayHaveRun(Kind),
}

/// Sends a request to the backend server whose slot it holds, if it may still be sent once there is a connection: while
/// one was opened the VM may have been frozen or suspended, or others have told something.
pub(crate) async fn attempt(
    inner: &Rc<Inner>,
    slot: Slot,
    request: &Inbound,
    is_repeatable: bool,
    deadline_ms: u64,
    may_send: impl Fn() -> Result<(), Kind>,
) -> Tried {
    inner.meters.attempts.inc();
    let (address, of) = {
        let fleet = inner.fleet.borrow();
        (fleet.target(slot.key).0, fleet.incarnation(slot.key))
    };
    let idle = inner.idle.borrow_mut().take(&of, is_repeatable, inner.now_ms());
    let is_reused = idle.is_some();
    let conn = match idle {
        Some(conn) => Ok(conn),
        None => connect(inner, address, deadline_ms).await,
    };
    let notice = Cell::default();
    let sent = Sent { inner, request, of: &of, slot: &slot, is_reused, notice };
    let now_ms = inner.now_ms();
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(error) => {
            if error == Unopened::Refused && inner.fleet.borrow().is_listed(slot.key) {
                inner.suspicions.note_refused(&of, now_ms);
            }
            sent.fail(Outcome::Bad, "connect");
            return Tried::NotSent(Kind::ConnectFailed);
        }
    };
    let left_ms = deadline_ms.saturating_sub(now_ms);
    if left_ms == 0 {
        return Tried::NotSent(Kind::NoSlot);
    }
    // While it waited for its turn or a connection, the backend server may have said that it leaves or wants nothing.
    if !inner.fleet.borrow().may_send(slot.key, now_ms) {
        return Tried::NotSent(Kind::ConnectFailed);
    }
    if let Err(kind) = may_send() {
        return Tried::NotSent(kind);
    }
    inner.fleet.borrow_mut().reach(slot.key, now_ms);
    let bytes = request.encode(&of.instance, left_ms);
    let progress = Progress::default();
    let is_head = request.method == actix_http::Method::HEAD;
    let on_head = |head: &Answer| {
        let is_mine = belongs_to(head, request.id.as_deref());
        if is_mine {
            sent.take_notice(head, now_ms);
        }
        is_mine
    };
    if slot.pick.choice.is_far() {
        inner.meters.count_far(FarCause::Request, bytes.len());
    }
    let waiting = Waiting { sent: &sent, sent_ms: now_ms, is_over: Cell::new(false) };
    let exchange = conn.exchange(&bytes, is_head, &progress, on_head);
    let answered = tokio::time::timeout(Duration::from_millis(left_ms), exchange).await;
    waiting.is_over.set(answered.is_ok());
    drop(waiting);
    let now_ms = inner.now_ms();
    let answer = match answered {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            if error.is_disconnect() && sent.has_ended(address).await {
                inner.suspicions.note_end(request, &of, inner.now_ms());
                inner.suspicions.note_refused(&of, inner.now_ms());
            }
            sent.fail(Outcome::Bad, &error.to_string());
            return Tried::MayHaveRun(kind_of(error));
        }
        Err(_) => {
            sent.fail(Outcome::Expired, "no answer in time");
            return Tried::MayHaveRun(Kind::AnswerTimeout);
        }
    };
    if slot.pick.choice.is_far() {
        inner.meters.count_far(FarCause::Answer, answer.body.len());
    }
    if conn.is_reusable() && inner.fleet.borrow().is_listed(slot.key) {
        inner.idle.borrow_mut().put(of.clone(), conn, answer.keep_alive_ms(), now_ms);
    }
    judge(&sent, answer)
}

/// A request that was sent, or was to be, to the backend server of a slot.
struct Sent<'a> {
    /// The VM.
    inner: &'a Rc<Inner>,
    /// The request.
    request: &'a Inbound,
    /// Which start of which backend server.
    of: &'a Incarnation,
    /// The slot.
    slot: &'a Slot,
    /// Whether the connection had served others before.
    is_reused: bool,
    /// What the backend server has said of itself in its answer.
    notice: Cell<Notice>,
}

/// Tells what an answer means for the request and for the backend server.
fn judge(sent: &Sent<'_>, answer: Answer) -> Tried {
    let Sent { inner, request, of, slot, .. } = *sent;
    let says_not_run = answer.field(headers::NOT_RUN).is_some();
    if answer.status == MISDIRECTED {
        if inner.fleet.borrow_mut().end_incarnation(of) {
            let Incarnation { instance, born_ms } = of;
            let reason = "its address answers for another";
            info!(backend = instance, born_ms, reason, "backend gone");
            evidence::tell_ended(inner, of);
        }
        return Tried::NotRun(Kind::ConnectFailed);
    }
    if says_not_run && matches!(answer.status, 429 | 503) {
        // How long it wants nothing speaks of its load, not of how sound it is.
        let tells_time = sent.notice.get().hold_off_ms.is_some();
        sent.fail(if tells_time { Outcome::NoEvidence } else { Outcome::Bad }, "shed");
        return Tried::NotRun(Kind::Shed);
    }
    let has_id = request.id.is_none() || answer.field(headers::REQUEST_ID).is_some();
    if !has_id && answer.status < 400 {
        sent.fail(Outcome::Bad, "an answer without the request's id");
        return Tried::MayHaveRun(Kind::AnswerInvalid);
    }
    if answer.status >= 500 {
        let is_expired = answer.status == GATEWAY_TIMEOUT;
        let outcome = if is_expired { Outcome::Expired } else { Outcome::Bad };
        sent.fail(outcome, &format!("status {}", answer.status));
    } else {
        let time_ms = inner.now_ms().saturating_sub(slot.since_ms) as f64;
        slot.end(Outcome::Good { time_ms, bytes: answer.body.len() });
        inner.suspicions.note_sound(request, inner.now_ms());
    }
    Tried::Answered(answer)
}

/// Why no connection came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unopened {
    /// Nothing listens there.
    Refused,
    /// The way there is broken, or there was no time.
    Unreached,
}

/// Opens a connection, while there is time.
async fn connect(inner: &Inner, address: SocketAddr, deadline_ms: u64) -> Result<Conn, Unopened> {
    let left_ms = deadline_ms.saturating_sub(inner.now_ms()).min(CONNECT_MS);
    open_within(address, left_ms).await
}

/// Opens a connection within a time.
async fn open_within(address: SocketAddr, limit_ms: u64) -> Result<Conn, Unopened> {
    match tokio::time::timeout(Duration::from_millis(limit_ms), Conn::open(address)).await {
        Ok(Ok(conn)) => Ok(conn),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Err(Unopened::Refused),
        Ok(Err(_)) | Err(_) => Err(Unopened::Unreached),
    }
}

/// A request whose answer is waited for. If that ends without one, as its caller leaves or its time is up, it is
/// remembered for a while: its backend server may end yet.
struct Waiting<'a> {
    /// The request.
    sent: &'a Sent<'a>,
    /// When it was sent.
    sent_ms: u64,
    /// Whether the exchange has come to an end.
    is_over: Cell<bool>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_over.get() {
            let Sent { inner, request, of, .. } = *self.sent;
            inner.suspicions.note_left(request, of, self.sent_ms, inner.now_ms());
        }
    }
}

/// Tells whether an answer is the request's own. One without an id is looked at by [`judge`].
fn belongs_to(answer: &Answer, id: Option<&str>) -> bool {
    match (id, answer.text(headers::REQUEST_ID)) {
        (Some(id), Some(answered)) => id == answered,
        _ => true,
    }
}

/// The kind by which a broken exchange is answered.
fn kind_of(error: WireError) -> Kind {
    match error {
        WireError::Connect => Kind::ConnectFailed,
        WireError::Send => Kind::SendFailed,
        WireError::Truncated | WireError::TimedOut => Kind::AnswerCut,
        WireError::Malformed => Kind::AnswerInvalid,
    }
}

impl Sent<'_> {
    /// Takes in what the backend server says of itself in the head of an answer. In the answer to a misdirected request
    /// another one speaks.
    fn take_notice(&self, head: &Answer, sent_ms: u64) {
        let Sent { inner, request, of, .. } = *self;
        let notice = decode_notice(head);
        if head.status == MISDIRECTED {
            return;
        }
        self.take_limit(notice, sent_ms);
        if notice.is_empty() {
            return;
        }
        self.notice.set(notice);
        inner.meters.note_notice(notice);
        let now_ms = inner.now_ms();
        if notice.is_leaving && inner.fleet.borrow_mut().leave(of, now_ms) {
            let id = request.id.as_deref().unwrap_or("-");
            let Incarnation { instance, born_ms } = of;
            let status = head.status;
            info!(id, backend = instance, born_ms, status, source = "answer", "backend leaves");
            words::tell(inner, of);
            inner.idle.borrow_mut().forget(of);
            inner.wake_all();
        }
        if let Some(for_ms) = notice.hold_off_ms {
            self.hold_off(for_ms, now_ms);
        }
        if notice.is_limit_malformed {
            let id = request.id.as_deref().unwrap_or("-");
            warn!(id, backend = of.instance, "its limit cannot be read");
        }
        if notice.is_hold_off_malformed {
            let id = request.id.as_deref().unwrap_or("-");
            warn!(id, backend = of.instance, "how long it wants nothing cannot be read");
        }
    }

    /// Takes in whether the answer to a request names a limit: one that does not ends it.
    fn take_limit(&self, notice: Notice, sent_ms: u64) {
        let Sent { inner, request, of, .. } = *self;
        let per_s = notice.limit_per_s;
        if per_s.is_none() && notice.is_limit_malformed {
            return;
        }
        let word = LimitWord { per_s, sent_ms: i64::try_from(sent_ms).unwrap_or(i64::MAX) };
        let now_ms = inner.now_ms();
        if inner.fleet.borrow_mut().note_limit(of, word, now_ms) {
            let id = request.id.as_deref().unwrap_or("-");
            let Incarnation { instance, born_ms } = of;
            info!(id, backend = instance, born_ms, per_s, source = "answer", "backend limit");
            words::tell_limit(inner, word.told(of, now_ms));
            inner.wake_all();
        }
    }

    /// Sends the backend server nothing for a time. VMs that were told the same come back by turns.
    fn hold_off(&self, for_ms: u64, now_ms: u64) {
        let Sent { inner, request, of, slot, .. } = *self;
        let spread_ms = rand::rng().random_range(0..=(for_ms / SPREAD_PART).min(SPREAD_LIMIT_MS));
        let held_ms = for_ms.saturating_add(spread_ms);
        inner.fleet.borrow_mut().hold_off(slot.key, held_ms, now_ms);
        let id = request.id.as_deref().unwrap_or("-");
        let Incarnation { instance, born_ms } = of;
        info!(id, backend = instance, born_ms, for_ms, spread_ms, "backend wants nothing");
        inner.wake_all();
    }

    /// Ends the slot with a failure and logs why there was no sound answer.
    fn fail(&self, outcome: Outcome, why: &str) {
        let Sent { inner, request, of, slot, is_reused, .. } = *self;
        slot.end(outcome);
        let took_ms = inner.now_ms().saturating_sub(slot.since_ms);
        let id = request.id.as_deref().unwrap_or("-");
        let choice = slot.pick.choice;
        let (load, slots) = (choice.load, choice.slots);
        let (is_far, is_owed) = (choice.is_far(), choice.claim == Claim::Owed);
        let failure_chance = slot.pick.failure_chance();
        info!(
            id,
            backend = of.instance,
            why,
            took_ms,
            is_reused,
            load,
            slots,
            is_far,
            is_owed,
            failure_chance,
            "attempt failed"
        );
    }

    /// Tells whether the backend server whose connection has just broken has ended: nothing listens there any more,
    /// and it was not to leave. One that lives accepts, and one that is out of reach says nothing.
    async fn has_ended(&self, address: SocketAddr) -> bool {
        let Sent { inner, of, slot, .. } = *self;
        if !inner.fleet.borrow().is_listed(slot.key) {
            return false;
        }
        match open_within(address, END_LOOK_MS).await {
            Ok(conn) => {
                inner.idle.borrow_mut().put(of.clone(), conn, None, inner.now_ms());
                false
            }
            Err(error) => error == Unopened::Refused,
        }
    }
}
