//! What comes in from the other VMs, and what is due.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_member::Member;
use leverstream_peer::packet::Body;
use leverstream_peer::{MemberUpdate, PACKET_LIMIT_BYTES, Packet, Standing};
use tracing::{debug, info};

use super::{SETTLE_MS, TICK_MS};
use crate::gateway::Inner;
use crate::{emptied, evidence, news, words};

/// From how many milliseconds on a tick that comes late is logged: a busy VM is late by less.
const GAP_MS: u64 = 500;

/// Takes in datagrams for as long as the process runs.
pub(crate) async fn receive(inner: Rc<Inner>) {
    let mut buffer = vec![0; PACKET_LIMIT_BYTES + 1];
    loop {
        let (count, from) = match inner.mesh.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(%error, "a datagram could not be received");
                continue;
            }
        };
        match inner.mesh.key.unseal(&buffer[..count]) {
            Ok(packet) => take(&inner, from, &packet),
            Err(error) => debug!(%from, ?error, "datagram refused"),
        }
    }
}

/// Does what is due for as long as the process runs.
pub(crate) async fn tick(inner: Rc<Inner>) {
    let mut last = Reading::take(&inner, inner.now_ms());
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = inner.now_ms();
        let reading = Reading::take(&inner, now_ms);
        reading.log_gap(last);
        last = reading;
        let out = inner.mesh.swim.borrow_mut().tick(now_ms);
        inner.mesh.send_all(&inner, out);
        take_changes(&inner, Found::Here);
        if inner.mesh.has_changed.get() {
            inner.mesh.choose(&inner);
        }
        if now_ms >= SETTLE_MS {
            inner.mesh.duty.settle();
        }
    }
}

/// What the clocks said at a tick.
#[derive(Clone, Copy)]
struct Reading {
    /// The time.
    now_ms: u64,
    /// How much of it the machine was suspended.
    asleep_ms: u64,
}

impl Reading {
    /// Reads the clocks.
    fn take(inner: &Inner, now_ms: u64) -> Reading {
        Reading { now_ms, asleep_ms: inner.clock.suspended_ms() }
    }

    /// Logs that the VM stood still or was suspended since the last tick.
    fn log_gap(self, last: Reading) {
        let gap_ms = (self.now_ms - last.now_ms).saturating_sub(TICK_MS);
        if gap_ms >= GAP_MS {
            let asleep_ms = self.asleep_ms.saturating_sub(last.asleep_ms);
            info!(gap_ms, asleep_ms, "stood still");
        }
    }
}

/// Takes a datagram in.
fn take(inner: &Rc<Inner>, from: SocketAddr, packet: &Packet) {
    let now_ms = inner.now_ms();
    match &packet.body {
        Some(Body::Evidence(told)) => {
            evidence::pass_on(inner, from, told);
            if evidence::take(inner, told, now_ms) {
                inner.wake_all();
            }
            words::compare(inner, from, told.words, now_ms);
            return;
        }
        Some(Body::Words(said)) => {
            words::hear(inner, from, said, now_ms);
            return;
        }
        Some(Body::Allotments(told)) => {
            let catalog = inner.catalog();
            let workspaces = catalog.as_ref().and_then(|catalog| catalog.workspaces.as_ref());
            let between = inner.mesh.between(told.reporter);
            inner.admission.take(from, told, workspaces, between, now_ms);
            return;
        }
        Some(Body::LoanQuestion(question)) => {
            let body = inner.repeats.lend(from, question, now_ms).map(Body::Loan);
            if body.is_some() {
                inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, &[from]);
            }
            return;
        }
        Some(Body::Loan(loan)) => {
            inner.repeats.borrow(from, loan, now_ms);
            return;
        }
        Some(Body::Suspects(said)) => {
            inner.suspicions.hear(from, said, &inner.mesh, &inner.meters, now_ms);
            return;
        }
        Some(Body::PermitQuestion(question)) => {
            inner.permits().answer(from, question);
            return;
        }
        Some(Body::PermitAnswer(answer)) => {
            inner.permits().hear(answer);
            return;
        }
        Some(Body::LeaseQuestion(question)) => {
            let version = inner.catalog().map_or(0, |catalog| catalog.version);
            let answer = inner.leases.answer(question, version, now_ms);
            let body = answer.map(Body::LeaseAnswer);
            if body.is_some() {
                inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, &[from]);
            }
            return;
        }
        Some(Body::LeaseAnswer(answer)) => {
            let version = inner.catalog().map_or(0, |catalog| catalog.version);
            inner.leases.take(answer, version);
            return;
        }
        _ => {}
    }
    let out = inner.mesh.swim.borrow_mut().receive(from, packet, now_ms);
    inner.mesh.send_all(inner, out);
    if let Some(told) = &packet.emptied {
        emptied::handle_report(inner, told);
    }
    if let (Some(sender), Some(standing)) = (&packet.from, packet.standing) {
        take_standing(inner, from, sender, standing);
    }
    take_changes(inner, Found::Told);
}

/// Takes in how new what another VM knows is.
fn take_standing(inner: &Rc<Inner>, from: SocketAddr, sender: &MemberUpdate, standing: Standing) {
    let now_ms = inner.now_ms();
    inner.repeats.hear_vms(standing.vms, now_ms);
    inner.suspicions.compare(from, standing.suspects, &inner.mesh, &inner.meters, now_ms);
    words::compare(inner, from, standing.words, now_ms);
    if inner.mesh.duty.note_other(sender.id, standing.store_lost, now_ms) {
        inner.mesh.choose(inner);
    }
    news::handle_standing(inner, from, standing, sender.hall == inner.settings.hall);
}

/// Who found out that members have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// This VM.
    Here,
    /// Another, which tells the others itself.
    Told,
}

/// Has it chosen anew who takes callers if members have changed, by the next tick: where a whole fleet starts,
/// each datagram tells of some.
///
/// That one of those who take callers no longer answers all VMs hear at once, from the one that finds out: each of them
/// tells callers where to go. Where each who heard told all others again, a VM of 300 sent 2.9 MB in a second.
fn take_changes(inner: &Inner, found: Found) {
    let changed = inner.mesh.swim.borrow_mut().take_changed();
    if changed.is_empty() {
        return;
    }
    for member in &changed {
        debug!(vm = %member.identity.caller_address, state = ?member.state, "member");
    }
    let took_callers = |member: &Member| {
        let entry = inner.mesh.sharing.entry();
        let held = entry.iter().find(|held| held.identity.id == member.identity.id);
        held.is_some_and(Member::takes_callers)
    };
    let lost = |member: &Member| !member.takes_callers() && took_callers(member);
    let lost: Vec<Member> = changed.into_iter().filter(lost).collect();
    inner.mesh.has_changed.set(true);
    if !lost.is_empty() {
        inner.mesh.choose(inner);
        if found == Found::Here {
            inner.mesh.tell_changed(inner, &lost);
        }
    }
}
