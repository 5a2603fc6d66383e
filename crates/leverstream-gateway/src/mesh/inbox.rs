//! Handles datagrams from the other VMs, and periodic actions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_member::Member;
use leverstream_peer::packet::Body;
use leverstream_peer::{MemberUpdate, PACKET_LIMIT_BYTES, Packet, Standing};
use tracing::{debug, info};

use super::TICK_MS;
use crate::gateway::Inner;
use crate::{emptied, evidence, follow, links, notices, pressure, state_sync};

/// A tick that is late by at least this much, in milliseconds, is logged: on a busy VM ticks are
/// late by less.
const MIN_LOGGED_GAP_MS: u64 = 500;

/// Receives datagrams for as long as the process runs.
pub(crate) async fn receive(inner: Rc<Inner>) {
    let mut buffer = vec![0; PACKET_LIMIT_BYTES + 1];
    loop {
        let (count, from) = match inner.mesh.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(%error, "failed to receive a datagram");
                continue;
            }
        };
        match inner.mesh.key.unseal(&buffer[..count]) {
            Ok(packet) => handle_packet(&inner, from, &packet),
            Err(error) => debug!(%from, ?error, "datagram refused"),
        }
    }
}

/// Runs due actions for as long as the process runs.
pub(crate) async fn tick(inner: Rc<Inner>) {
    let mut last = ClockReading::read(&inner, inner.now_ms());
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = inner.now_ms();
        let reading = ClockReading::read(&inner, now_ms);
        reading.log_gap(last);
        last = reading;
        inner.stop.note_tick(now_ms);
        let out = inner.mesh.swim.borrow_mut().tick(now_ms);
        inner.mesh.send_all(&inner, out);
        handle_member_changes(&inner, ChangeSource::Local);
        if inner.mesh.has_member_changes.get() {
            inner.mesh.update_roles(&inner);
        }
        if inner.mesh.is_link_test_due.take() {
            links::test_all(&inner);
        }
        follow::release_held_removals(&inner);
    }
}

/// The clock values at a tick.
#[derive(Clone, Copy)]
struct ClockReading {
    /// The present time.
    now_ms: u64,
    /// How much of it the machine was suspended.
    asleep_ms: u64,
}

impl ClockReading {
    /// Reads the clocks.
    fn read(inner: &Inner, now_ms: u64) -> ClockReading {
        ClockReading { now_ms, asleep_ms: inner.clock.suspended_ms() }
    }

    /// Logs if the VM stalled or was suspended since the last tick.
    fn log_gap(self, last: ClockReading) {
        let gap_ms = (self.now_ms - last.now_ms).saturating_sub(TICK_MS);
        if gap_ms >= MIN_LOGGED_GAP_MS {
            let asleep_ms = self.asleep_ms.saturating_sub(last.asleep_ms);
            info!(gap_ms, asleep_ms, "stood still");
        }
    }
}

/// Handles a datagram.
fn handle_packet(inner: &Rc<Inner>, from: SocketAddr, packet: &Packet) {
    let now_ms = inner.now_ms();
    match &packet.body {
        Some(Body::Evidence(report)) => {
            evidence::relay(inner, from, report);
            if evidence::apply(inner, report, now_ms) {
                inner.wake_all();
            }
            notices::compare(inner, from, report.words, now_ms);
            return;
        }
        Some(Body::Words(message)) => {
            notices::receive(inner, from, message, now_ms);
            return;
        }
        Some(Body::Allotments(report)) => {
            let catalog = inner.catalog();
            let workspaces = catalog.as_ref().and_then(|catalog| catalog.workspaces.as_ref());
            let membership = inner.mesh.entry_membership(report.reporter);
            inner.admission.receive(from, report, workspaces, membership, now_ms);
            return;
        }
        Some(Body::Pressure(report)) => {
            pressure::receive(inner, report, now_ms);
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
        Some(Body::Suspects(message)) => {
            inner.suspect_tracker.receive(from, message, &inner.mesh, &inner.meters, now_ms);
            return;
        }
        Some(Body::PermitQuestion(question)) => {
            inner.permits().answer(from, question);
            return;
        }
        Some(Body::PermitAnswer(answer)) => {
            inner.permits().record_answer(answer);
            return;
        }
        Some(Body::LinkQuestion(question)) => {
            links::answer(inner, from, question);
            return;
        }
        Some(Body::LinkAnswer(answer)) => {
            links::record_answer(inner, from, *answer);
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
            inner.leases.record_answer(answer, version);
            return;
        }
        _ => {}
    }
    let out = inner.mesh.swim.borrow_mut().receive(from, packet, now_ms);
    inner.mesh.send_all(inner, out);
    if let Some(emptied) = &packet.emptied {
        emptied::handle_report(inner, emptied);
    }
    if let (Some(sender), Some(standing)) = (&packet.from, packet.standing) {
        apply_standing(inner, from, sender, standing);
    }
    handle_member_changes(inner, ChangeSource::Remote);
}

/// Applies the standing of another VM.
fn apply_standing(inner: &Rc<Inner>, from: SocketAddr, sender: &MemberUpdate, standing: Standing) {
    let now_ms = inner.now_ms();
    inner.repeats.record_report(standing.vms, now_ms);
    inner.suspect_tracker.compare(from, standing.suspects, &inner.mesh, &inner.meters, now_ms);
    notices::compare(inner, from, standing.words, now_ms);
    state_sync::handle_standing(inner, from, standing, sender.hall == inner.settings.hall);
}

/// Where a change of members was detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeSource {
    /// On this VM.
    Local,
    /// On another VM, which notifies the others itself.
    Remote,
}

/// Schedules an update of the roles for the next tick if members have changed; one update covers
/// many changes, as every datagram carries some while a whole fleet starts.
///
/// If an entry VM no longer answers or has lost its links to backend servers, the roles are updated at once, and the VM that detected it
/// notifies all others, as each of them tells callers where to connect. When every VM that was
/// notified also notified all others, one VM of 300 sent 2.9 MB in a second.
fn handle_member_changes(inner: &Inner, source: ChangeSource) {
    let changed = inner.mesh.swim.borrow_mut().take_changed();
    if changed.is_empty() {
        return;
    }
    for member in &changed {
        debug!(vm = %member.identity.caller_address, state = ?member.state, "member");
    }
    let was_entry_vm = |member: &Member| {
        let entry = inner.mesh.entry_set.members();
        let known = entry.iter().find(|known| known.identity.id == member.identity.id);
        known.is_some_and(Member::takes_callers)
    };
    let is_usable = |member: &Member| member.takes_callers() && !member.has_lost_backends;
    let left_entry_set = |member: &Member| !is_usable(member) && was_entry_vm(member);
    let left_entry_set: Vec<Member> = changed.into_iter().filter(left_entry_set).collect();
    inner.mesh.has_member_changes.set(true);
    if !left_entry_set.is_empty() {
        inner.mesh.update_roles(inner);
        if source == ChangeSource::Local {
            inner.mesh.send_member_changes(inner, &left_entry_set);
        }
    }
}
