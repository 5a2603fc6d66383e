//! What VMs that share the traffic tell each other of backend servers: requests under way, and how
//! requests ended.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_health::BackendKey;
use leverstream_peer::packet::Body;
use leverstream_peer::{BackendDigest, Evidence, Packet};
use tokio::time::Instant;

use crate::fleet::{Report, Said};
use crate::gateway::Inner;

/// How long news gather before VMs of the same data hall are told, who use the same backend servers.
const NEAR_GATHER_MS: u64 = 8;

/// How long news gather before VMs of other data halls are told: bytes between halls are paid for.
/// A failure does not wait.
const FAR_GATHER_MS: u64 = 30;

/// How often all requests under way are told again, against lost datagrams.
const REPEAT_MS: u64 = 1_000;

/// How many backend servers one datagram tells of; each takes up to 40 bytes.
const BACKENDS_A_DATAGRAM: usize = 30;

/// Tells others what happens at backend servers for as long as the process runs.
pub(crate) async fn tell(inner: Rc<Inner>) {
    let mut for_far: HashSet<BackendKey> = HashSet::new();
    let mut far_due = Instant::now();
    let mut repeat_due = Instant::now();
    loop {
        let due = if for_far.is_empty() { repeat_due } else { far_due.min(repeat_due) };
        tokio::select! {
            () = inner.mesh.news() => {
                tokio::time::sleep(Duration::from_millis(NEAR_GATHER_MS)).await;
            }
            () = tokio::time::sleep_until(due) => {}
        }
        let now = Instant::now();
        let (mut keys, has_failure) = inner.fleet.borrow_mut().take_unsaid();
        if for_far.is_empty() && !keys.is_empty() {
            far_due = now + Duration::from_millis(FAR_GATHER_MS);
        }
        for_far.extend(&keys);
        let is_repeat = now >= repeat_due;
        if is_repeat {
            repeat_due = now + Duration::from_millis(REPEAT_MS);
            let fleet = inner.fleet.borrow();
            keys.extend(fleet.busy());
            for_far.extend(fleet.busy());
        }
        let (near, far) = inner.mesh.sharers_by_distance();
        say(&inner, &keys, &near);
        if has_failure || is_repeat || now >= far_due {
            let keys: Vec<BackendKey> = for_far.drain().collect();
            say(&inner, &keys, &far);
        }
    }
}

/// Tells all VMs that a backend server has ended, as its address answers for another.
pub(crate) fn tell_ended(inner: &Inner, instance: &str) {
    let ended =
        BackendDigest { backend: instance.to_owned(), draining: true, ..BackendDigest::default() };
    send(inner, vec![ended], &inner.mesh.others());
}

/// Takes in what another VM tells; true if a slot may have become free.
pub(crate) fn take(inner: &Inner, evidence: &Evidence, now_ms: u64) -> bool {
    let mut has_freed = false;
    let mut fleet = inner.fleet.borrow_mut();
    for said in &evidence.backends {
        // An instance whose address answers for another has ended for certain.
        if said.draining {
            has_freed |= fleet.end_instance(&said.backend);
            continue;
        }
        let report =
            Report { in_flight: said.in_flight, good: said.good, bad: said.bad, heard_ms: now_ms };
        has_freed |= fleet.report(&said.backend, evidence.reporter, report);
    }
    has_freed
}

/// Tells some VMs of some backend servers.
fn say(inner: &Inner, keys: &[BackendKey], to: &[SocketAddr]) {
    if keys.is_empty() || to.is_empty() {
        return;
    }
    let said = inner.fleet.borrow().said(keys, inner.now_ms());
    for part in said.chunks(BACKENDS_A_DATAGRAM) {
        send(inner, part.iter().map(digest).collect(), to);
    }
}

/// Sends evidence to some VMs.
fn send(inner: &Inner, backends: Vec<BackendDigest>, to: &[SocketAddr]) {
    let reporter = inner.mesh.id();
    let body = Some(Body::Evidence(Evidence { backends, reporter }));
    inner.mesh.send(&Packet { body, ..Packet::default() }, to);
}

/// What other VMs are told of a backend server.
fn digest(said: &Said) -> BackendDigest {
    BackendDigest {
        backend: said.instance.clone(),
        good: said.report.good,
        bad: said.report.bad,
        in_flight: said.report.in_flight,
        draining: false,
    }
}
