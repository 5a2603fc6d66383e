//! Permits for requests to backend servers that name a limit: asked of their arbiters, given as one of them.

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
use crate::words;

/// What one VM holds to ask for permits and to give them.
#[derive(Default)]
pub(crate) struct Limits {
    /// What it has consented to.
    arbiter: RefCell<Arbiter>,
    /// Which arbiters have not answered of late.
    silences: RefCell<UnresponsiveArbiters<SocketAddr>>,
    /// Who waits for the answer to which question.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    /// The number of the last question.
    last: Cell<u64>,
}

/// What a request may rest on that goes to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// It names no limit.
    Free,
    /// One may be sent until then.
    Until(u64),
}

/// A question that is to be answered.
struct Asked {
    /// Who was asked.
    of: SocketAddr,
    /// The answer, once it has come.
    answer: oneshot::Receiver<Verdict>,
}

/// Why nothing may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Denied;

/// What permits need of the VM.
pub(crate) struct Permits<'a> {
    /// What it holds of them.
    pub limits: &'a Limits,
    /// The clock.
    pub clock: Clock,
    /// The backend servers.
    pub fleet: &'a RefCell<Fleet>,
    /// The other VMs.
    pub mesh: &'a Mesh,
    /// The counts.
    pub meters: &'a Meters,
    /// How many VMs there are, as far as this one knows.
    pub vms: usize,
}

impl Permit {
    /// Tells whether a request may still be sent on it.
    pub fn allows(self, is_limited: bool, now_ms: u64) -> bool {
        match self {
            _ if !is_limited => true,
            Permit::Free => false,
            Permit::Until(until_ms) => now_ms < until_ms,
        }
    }
}

impl Permits<'_> {
    /// Asks for a permit to send one request to a backend server, if that names a limit.
    pub async fn take(&self, key: BackendKey, id: &str) -> Result<Permit, Denied> {
        if self.fleet.borrow().limit(key).is_none() {
            return Ok(Permit::Free);
        }
        let of = self.fleet.borrow().incarnation(key);
        let arbiters = self.mesh.arbiters(&of.instance);
        let needed = consents_needed(self.vms);
        let began_ms = self.clock.now_ms();
        let mut round =
            PermitRequest::open(&arbiters, needed, &self.limits.silences.borrow(), began_ms);
        let mut asked = None;
        loop {
            let now_ms = self.clock.now_ms();
            // An arbiter may have told that there is no limit any more.
            let Some(per_s) = self.fleet.borrow().limit(key) else { return Ok(Permit::Free) };
            let step = round.step(&mut self.limits.silences.borrow_mut(), now_ms);
            match step {
                Step::Granted(until_ms) => {
                    let took_ms = now_ms - began_ms;
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
                    round.record_verdict(to, self.consent(&of, per_s, self.mesh.id()), now_ms);
                }
                Step::Ask(to) => asked = self.ask(to, &of),
                Step::Wait(until_ms) => {
                    if let Some((from, verdict)) = self.listen(asked.take(), until_ms).await {
                        round.record_verdict(from, verdict, self.clock.now_ms());
                    }
                }
            }
        }
    }

    /// Waits for the answer to a question, until then.
    async fn listen(&self, asked: Option<Asked>, until_ms: u64) -> Option<(SocketAddr, Verdict)> {
        let limit = Duration::from_millis(until_ms.saturating_sub(self.clock.now_ms()));
        let Some(Asked { of, answer }) = asked else {
            tokio::time::sleep(limit).await;
            return None;
        };
        let verdict = tokio::time::timeout(limit, answer).await.ok()?.ok()?;
        Some((of, verdict))
    }

    /// Sends a question; none if the limit is gone meanwhile.
    fn ask(&self, to: SocketAddr, of: &Incarnation) -> Option<Asked> {
        let word = self.fleet.borrow().limit_notice(of)?;
        let number = self.limits.last.get().wrapping_add(1);
        self.limits.last.set(number);
        let (sender, answer) = oneshot::channel();
        let mut waiting = self.limits.waiting.borrow_mut();
        waiting.retain(|_, sender| !sender.is_closed());
        waiting.insert(number, sender);
        let limit = Some(words::encode_limit(&word.to_update(of, self.clock.now_ms())));
        let question = PermitQuestion { number, asker: self.mesh.id(), limit };
        self.send(to, Body::PermitQuestion(question));
        Some(Asked { of: to, answer })
    }

    /// What this VM says as an arbiter.
    fn consent(&self, of: &Incarnation, per_s: f64, asker: u64) -> Verdict {
        if !self.mesh.sees_most(self.vms) {
            return Verdict::Unable;
        }
        let role = self.mesh.role(&of.instance);
        self.limits.arbiter.borrow_mut().ask(of, per_s, role, asker, self.clock.now_ms())
    }

    /// Answers another VM's question. Who asks tells what it knows of the limit; who knows better says so.
    pub fn answer(&self, from: SocketAddr, question: &PermitQuestion) {
        let now_ms = self.clock.now_ms();
        let Some(told) = question.limit.as_ref().and_then(words::decode_limit) else { return };
        let LimitUpdate { of, .. } = &told;
        let asked = told.to_notice(now_ms);
        self.fleet.borrow_mut().note_limit(of, asked, now_ms);
        let known = self.fleet.borrow().limit_notice(of).unwrap_or(asked);
        let verdict = match known.per_s {
            Some(per_s) => self.consent(of, per_s, question.asker),
            None => Verdict::Granted,
        };
        let limit = (known.sent_ms > asked.sent_ms && known.per_s != asked.per_s)
            .then(|| words::encode_limit(&known.to_update(of, now_ms)));
        let mut answer = encode(question.number, verdict);
        answer.limit = limit;
        self.send(from, Body::PermitAnswer(answer));
    }

    /// Takes in an arbiter's answer.
    pub fn hear(&self, answer: &PermitAnswer) {
        let now_ms = self.clock.now_ms();
        if let Some(told) = answer.limit.as_ref().and_then(words::decode_limit) {
            let LimitUpdate { of, per_s, .. } = &told;
            let word: LimitNotice = told.to_notice(now_ms);
            if self.fleet.borrow_mut().note_limit(of, word, now_ms) {
                info!(
                    backend = of.instance,
                    born_ms = of.born_ms,
                    per_s,
                    source = "arbiter",
                    "backend limit"
                );
            }
        }
        // One that was waited for no longer is of no use.
        if let Some(sender) = self.limits.waiting.borrow_mut().remove(&answer.number) {
            let _ = sender.send(decode(answer));
        }
    }

    /// Sends another VM something.
    fn send(&self, to: SocketAddr, body: Body) {
        let packet = Packet { body: Some(body), ..Packet::default() };
        self.mesh.send(self.meters, &packet, &[to]);
    }
}

/// What a datagram tells of a verdict.
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

/// What a datagram has told of a verdict.
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
