//! Permits for requests to backend servers that announce a rate limit: requested from their
//! arbiters, and granted as one of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use leverstream_catalog::Incarnation;
use leverstream_core::{Fleet, LimitNotice, LimitUpdate};
use leverstream_health::BackendKey;
use leverstream_limit::{
    Arbiter, PermitRequest, Step, UnresponsiveArbiters, Verdict, consents_needed,
};
use leverstream_pace::Clock;
use leverstream_peer::packet::Body;
use leverstream_peer::{Packet, PermitAnswer, PermitQuestion, PermitVerdict};
use tokio::sync::oneshot;
use tracing::info;

use crate::mesh::Mesh;
use crate::meters::Meters;
use crate::notices;

/// The state that one VM needs to request and grant permits.
#[derive(Default)]
pub(crate) struct PermitState {
    /// The permits that this VM has granted as an arbiter.
    arbiter: RefCell<Arbiter>,
    /// The arbiters that have not answered recently.
    unresponsive: RefCell<UnresponsiveArbiters<SocketAddr>>,
    /// Requests that wait for an arbiter's answer, by question number.
    pending: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    /// The number of the last question.
    last_number: Cell<u64>,
}

/// The permission under which a request is sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// The backend server announces no limit.
    Free,
    /// A permit that expires at this time.
    Until(u64),
}

/// A question whose answer is pending.
struct PendingAnswer {
    /// The arbiter that was asked.
    arbiter: SocketAddr,
    /// Receives the answer.
    answer: oneshot::Receiver<Verdict>,
}

/// The arbiters refuse a permit for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Denied;

/// What requesting and granting permits needs from the VM.
pub(crate) struct Permits<'a> {
    /// The permit state.
    pub limits: &'a PermitState,
    /// The clock.
    pub clock: Clock,
    /// The backend servers.
    pub fleet: &'a RefCell<Fleet>,
    /// The other VMs.
    pub mesh: &'a Mesh,
    /// The metrics.
    pub meters: &'a Meters,
    /// The number of VMs that this one knows.
    pub vms: usize,
}

impl Permit {
    /// Tells whether a request may still be sent under this permit.
    pub fn allows(self, is_limited: bool, now_ms: u64) -> bool {
        match self {
            _ if !is_limited => true,
            Permit::Free => false,
            Permit::Until(until_ms) => now_ms < until_ms,
        }
    }
}

impl Permits<'_> {
    /// Requests a permit for one request to a backend server, if the server announces a limit.
    pub async fn take(&self, key: BackendKey, id: &str) -> Result<Permit, Denied> {
        if self.fleet.borrow().limit(key).is_none() {
            return Ok(Permit::Free);
        }
        let of = self.fleet.borrow().incarnation(key);
        let arbiters = self.mesh.arbiters(&of.instance);
        let needed = consents_needed(self.vms);
        let started_ms = self.clock.now_ms();
        let mut permit_request =
            PermitRequest::open(&arbiters, needed, &self.limits.unresponsive.borrow(), started_ms);
        let mut pending_answer = None;
        loop {
            let now_ms = self.clock.now_ms();
            // An arbiter may have reported that the limit no longer applies.
            let Some(per_s) = self.fleet.borrow().limit(key) else { return Ok(Permit::Free) };
            let step = permit_request.step(&mut self.limits.unresponsive.borrow_mut(), now_ms);
            match step {
                Step::Granted(until_ms) => {
                    let took_ms = now_ms - started_ms;
                    info!(id, backend = of.instance, per_s, took_ms, "permit");
                    self.meters.note_permit(self.fleet.borrow().service(key), true);
                    return Ok(Permit::Until(until_ms));
                }
                Step::Denied { until_ms, share_per_s } => {
                    let wait_ms = until_ms.saturating_sub(now_ms);
                    let backend = &of.instance;
                    info!(id, backend, per_s, wait_ms, share_per_s, ?arbiters, "no permit");
                    self.meters.note_permit(self.fleet.borrow().service(key), false);
                    self.fleet.borrow_mut().deny(key, until_ms, share_per_s);
                    return Err(Denied);
                }
                Step::Ask(to) if to == self.mesh.address() => {
                    permit_request.record_verdict(
                        to,
                        self.decide(&of, per_s, self.mesh.id()),
                        now_ms,
                    );
                }
                Step::Ask(to) => pending_answer = self.ask(to, &of),
                Step::Wait(until_ms) => {
                    if let Some((from, verdict)) =
                        self.wait_for_verdict(pending_answer.take(), until_ms).await
                    {
                        permit_request.record_verdict(from, verdict, self.clock.now_ms());
                    }
                }
            }
        }
    }

    /// Waits for the answer to a question until a deadline.
    async fn wait_for_verdict(
        &self,
        pending_answer: Option<PendingAnswer>,
        until_ms: u64,
    ) -> Option<(SocketAddr, Verdict)> {
        let limit = Duration::from_millis(until_ms.saturating_sub(self.clock.now_ms()));
        let Some(PendingAnswer { arbiter, answer }) = pending_answer else {
            tokio::time::sleep(limit).await;
            return None;
        };
        let verdict = tokio::time::timeout(limit, answer).await.ok()?.ok()?;
        Some((arbiter, verdict))
    }

    /// Sends a question to an arbiter; none if the limit has been withdrawn.
    fn ask(&self, to: SocketAddr, of: &Incarnation) -> Option<PendingAnswer> {
        let notice = self.fleet.borrow().limit_notice(of)?;
        let number = self.limits.last_number.get().wrapping_add(1);
        self.limits.last_number.set(number);
        let (sender, answer) = oneshot::channel();
        let mut pending = self.limits.pending.borrow_mut();
        pending.retain(|_, sender| !sender.is_closed());
        pending.insert(number, sender);
        let limit = Some(notices::encode_limit(&notice.to_update(of, self.clock.now_ms())));
        let question = PermitQuestion { number, asker: self.mesh.id(), limit };
        self.send(to, Body::PermitQuestion(question));
        Some(PendingAnswer { arbiter: to, answer })
    }

    /// This VM's own verdict as an arbiter.
    fn decide(&self, of: &Incarnation, per_s: f64, asker: u64) -> Verdict {
        if !self.mesh.sees_majority(self.vms) {
            return Verdict::Unable;
        }
        let role = self.mesh.role(&of.instance);
        self.limits.arbiter.borrow_mut().ask(of, per_s, role, asker, self.clock.now_ms())
    }

    /// Answers another VM's question. The question carries the asker's view of the limit; the
    /// answer corrects it if this VM has newer information.
    pub fn answer(&self, from: SocketAddr, question: &PermitQuestion) {
        let now_ms = self.clock.now_ms();
        let Some(update) = question.limit.as_ref().and_then(notices::decode_limit) else { return };
        let LimitUpdate { of, .. } = &update;
        let asker_notice = update.to_notice(now_ms);
        self.fleet.borrow_mut().note_limit(of, asker_notice, now_ms);
        let known = self.fleet.borrow().limit_notice(of).unwrap_or(asker_notice);
        let verdict = match known.per_s {
            Some(per_s) => self.decide(of, per_s, question.asker),
            None => Verdict::Granted,
        };
        let limit = (known.sent_ms > asker_notice.sent_ms && known.per_s != asker_notice.per_s)
            .then(|| notices::encode_limit(&known.to_update(of, now_ms)));
        let mut answer = encode(question.number, verdict);
        answer.limit = limit;
        self.send(from, Body::PermitAnswer(answer));
    }

    /// Handles an arbiter's answer.
    pub fn record_answer(&self, answer: &PermitAnswer) {
        let now_ms = self.clock.now_ms();
        if let Some(update) = answer.limit.as_ref().and_then(notices::decode_limit) {
            let LimitUpdate { of, per_s, .. } = &update;
            let notice: LimitNotice = update.to_notice(now_ms);
            if self.fleet.borrow_mut().note_limit(of, notice, now_ms) {
                info!(
                    backend = of.instance,
                    born_ms = of.born_ms,
                    per_s,
                    source = "arbiter",
                    "backend limit"
                );
            }
        }
        // An answer to a request that has stopped waiting is dropped.
        if let Some(sender) = self.limits.pending.borrow_mut().remove(&answer.number) {
            let _ = sender.send(decode(answer));
        }
    }

    /// Sends a message to another VM.
    fn send(&self, to: SocketAddr, body: Body) {
        let packet = Packet { body: Some(body), ..Packet::default() };
        self.mesh.send(self.meters, &packet, &[to]);
    }
}

/// Encodes a verdict for a datagram.
fn encode(number: u64, verdict: Verdict) -> PermitAnswer {
    let mut answer = PermitAnswer { number, ..PermitAnswer::default() };
    match verdict {
        Verdict::Unable => answer.set_verdict(PermitVerdict::Unable),
        Verdict::Granted => answer.set_verdict(PermitVerdict::Granted),
        Verdict::Denied { wait_ms, share_per_s } => {
            answer.set_verdict(PermitVerdict::Denied);
            answer.wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
            answer.share_per_s = share_per_s;
        }
    }
    answer
}

/// Decodes a verdict from a datagram.
fn decode(answer: &PermitAnswer) -> Verdict {
    match answer.verdict() {
        PermitVerdict::Granted => Verdict::Granted,
        PermitVerdict::Denied if answer.share_per_s.is_finite() => Verdict::Denied {
            wait_ms: answer.wait_ms.into(),
            share_per_s: answer.share_per_s.max(0.0),
        },
        PermitVerdict::Denied | PermitVerdict::Unable => Verdict::Unable,
    }
}
