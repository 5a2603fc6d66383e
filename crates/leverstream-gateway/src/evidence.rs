//! What VMs that share the traffic tell each other of backend servers: requests under way and how requests ended.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_catalog::Incarnation;
use leverstream_core::{BackendReport, Report};
use leverstream_health::BackendKey;
use leverstream_peer::packet::Body;
use leverstream_peer::{BackendDigest, Evidence, Packet};
use tokio::time::Instant;

use crate::gateway::Inner;

/// How long news gather before VMs of the same data hall are told, who use the same backend servers.
const NEAR_GATHER_MS: u64 = 8;

/// How long news gather at least before VMs of other data halls are told: bytes between halls are paid for.
/// A failure does not wait.
const FAR_GATHER_MS: u64 = 30;

/// How many datagrams a second tell other data halls of what does not press.
const FAR_DATAGRAMS_PER_S: u64 = 270;

/// How often all requests under way are told again, against lost datagrams.
const REPEAT_MS: u64 = 1_000;

/// How often it is looked whether requests under way are late, while there are any.
const OVERDUE_LOOK_MS: u64 = 40;

/// How many backend servers one datagram tells of; each takes up to 40 bytes.
const BACKENDS_A_DATAGRAM: usize = 30;

/// Tells others what happens for as long as the process runs.
///
/// VMs of the same data hall are told at once, those of another by one of them, whom chance chooses each time: what a VM
/// sends to other halls grows with their number and not with that of the VMs. Of a failure all are told at once.
pub(crate) async fn tell(inner: Rc<Inner>) {
    let mut for_far = HashSet::new();
    let mut far_due = Instant::now();
    let mut repeat_due = Instant::now();
    loop {
        let due = if for_far.is_empty() { repeat_due } else { far_due.min(repeat_due) };
        let is_busy = inner.fleet.borrow().is_busy();
        let look = tokio::time::sleep(Duration::from_millis(OVERDUE_LOOK_MS));
        tokio::select! {
            () = look, if is_busy => {
                let now_ms = inner.now_ms();
                if !inner.fleet.borrow_mut().note_overdue(now_ms) && Instant::now() < due {
                    continue;
                }
            }
            () = inner.mesh.news() => gather(&inner).await,
            () = tokio::time::sleep_until(due) => {}
        }
        let now = Instant::now();
        let is_repeat = now >= repeat_due;
        let (unreported, has_failure) = inner.fleet.borrow_mut().take_unreported();
        let mut for_near: HashSet<BackendKey> = unreported.into_iter().collect();
        let audience = inner.mesh.audience();
        if for_far.is_empty() && !for_near.is_empty() {
            far_due = now + Duration::from_millis(far_gather_ms(audience.far.len()));
        }
        if is_repeat {
            repeat_due = now + Duration::from_millis(REPEAT_MS);
            for_near.extend(inner.fleet.borrow().busy());
        }
        for_far.extend(&for_near);
        say(&inner, &for_near, &audience.near, false);
        if has_failure {
            say(&inner, &std::mem::take(&mut for_far), &audience.far.concat(), false);
        } else if is_repeat || now >= far_due {
            let relays = audience.relays(&mut rand::rng());
            say(&inner, &std::mem::take(&mut for_far), &relays, true);
        }
    }
}

/// Waits while news gather; a failure does not wait.
async fn gather(inner: &Inner) {
    let until = Instant::now() + Duration::from_millis(NEAR_GATHER_MS);
    while !inner.fleet.borrow().has_unreported_failure() {
        tokio::select! {
            () = tokio::time::sleep_until(until) => return,
            () = inner.mesh.news() => {}
        }
    }
}

/// How long news gather before so many other data halls are told.
fn far_gather_ms(halls: usize) -> u64 {
    FAR_GATHER_MS.max(halls as u64 * 1_000 / FAR_DATAGRAMS_PER_S)
}

/// How many VMs that do not share the traffic are told that a backend server has ended; the rest hear it from the platform,
/// or from its address.
const OTHERS_TOLD: usize = 48;

/// Tells other VMs that a backend server has ended, as its address answers for another.
pub(crate) fn tell_ended(inner: &Inner, ended: &Incarnation) {
    let ended = BackendDigest {
        backend: ended.instance.clone(),
        born_ms: ended.born_ms,
        draining: true,
        ..BackendDigest::default()
    };
    send(inner, vec![ended], &inner.mesh.sharers_and(OTHERS_TOLD), false);
}

/// Hands on what another VM tells to those of this data hall that share the traffic, if it asks for that.
pub(crate) fn pass_on(inner: &Inner, from: SocketAddr, evidence: &Evidence) {
    if !evidence.pass_on {
        return;
    }
    let words = inner.fleet.borrow().notices_fingerprint();
    let body = Some(Body::Evidence(Evidence { words, pass_on: false, ..evidence.clone() }));
    let near = inner.mesh.audience().near;
    let to: Vec<SocketAddr> = near.into_iter().filter(|address| *address != from).collect();
    inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, &to);
}

/// Takes in what another VM tells; true if a slot may have become free.
pub(crate) fn take(inner: &Inner, evidence: &Evidence, now_ms: u64) -> bool {
    let mut has_freed = false;
    let mut fleet = inner.fleet.borrow_mut();
    for said in &evidence.backends {
        // An instance whose address answers for another has ended for certain.
        let of = Incarnation { instance: said.backend.clone(), born_ms: said.born_ms };
        if said.draining {
            has_freed |= fleet.end_incarnation(&of);
            continue;
        }
        let report = Report {
            in_flight: said.in_flight,
            good: said.good,
            bad: said.bad,
            overdue_odds: if said.overdue_odds > 0.0 { said.overdue_odds.into() } else { 1.0 },
            reached_ms: said.reached_age_ms.map(|age_ms| now_ms.saturating_sub(age_ms.into())),
            heard_ms: now_ms,
        };
        has_freed |= fleet.report(&of, evidence.reporter, report);
    }
    has_freed
}

/// Tells some VMs of backend servers; `pass_on` has them tell others of their data halls.
fn say(inner: &Inner, backends: &HashSet<BackendKey>, to: &[SocketAddr], pass_on: bool) {
    if backends.is_empty() || to.is_empty() {
        return;
    }
    let keys: Vec<BackendKey> = backends.iter().copied().collect();
    let said = inner.fleet.borrow_mut().reports(&keys, inner.now_ms());
    for part in said.chunks(BACKENDS_A_DATAGRAM) {
        send(inner, part.iter().map(digest).collect(), to, pass_on);
    }
}

/// Sends evidence to some VMs.
fn send(inner: &Inner, backends: Vec<BackendDigest>, to: &[SocketAddr], pass_on: bool) {
    let reporter = inner.mesh.id();
    let words = inner.fleet.borrow().notices_fingerprint();
    let body = Some(Body::Evidence(Evidence { backends, reporter, words, pass_on }));
    inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, to);
}

/// What other VMs are told of a backend server.
fn digest(said: &BackendReport) -> BackendDigest {
    BackendDigest {
        backend: said.of.instance.clone(),
        born_ms: said.of.born_ms,
        good: said.report.good,
        bad: said.report.bad,
        in_flight: said.report.in_flight,
        draining: false,
        overdue_odds: said.report.overdue_odds as f32,
        reached_age_ms: said.report.reached_age_ms(),
    }
}
