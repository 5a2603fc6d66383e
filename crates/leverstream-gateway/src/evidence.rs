//! Reports between entry VMs on backend servers: requests in flight and the outcomes of requests.

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

/// How long changes are batched before they are sent to VMs of the same data hall, which use the
/// same backend servers.
const SAME_HALL_DELAY_MS: u64 = 8;

/// The minimum time that changes are batched before they are sent to other data halls, as traffic
/// between halls is billed. Failures are sent at once.
const OTHER_HALLS_MIN_DELAY_MS: u64 = 30;

/// Datagrams per second to other data halls for changes that are not urgent.
const OTHER_HALLS_DATAGRAMS_PER_S: u64 = 270;

/// The interval at which all requests in flight are reported again, in case datagrams are lost.
const REPEAT_INTERVAL_MS: u64 = 1_000;

/// The interval between checks for overdue requests while any are in flight.
const OVERDUE_CHECK_MS: u64 = 40;

/// Backend servers in one datagram; each takes up to 40 bytes.
const BACKENDS_PER_DATAGRAM: usize = 30;

/// Reports changes for as long as the process runs.
///
/// VMs of the same data hall get reports directly. Each other hall gets them through one randomly
/// chosen VM, which relays them in its hall, so that the traffic of a VM to other halls grows with
/// the number of halls and not of VMs. A failure is sent to all VMs directly.
pub(crate) async fn report_changes(inner: Rc<Inner>) {
    let mut for_other_halls = HashSet::new();
    let mut other_halls_due = Instant::now();
    let mut repeat_due = Instant::now();
    loop {
        let due =
            if for_other_halls.is_empty() { repeat_due } else { other_halls_due.min(repeat_due) };
        let is_busy = inner.fleet.borrow().is_busy();
        let check_interval = tokio::time::sleep(Duration::from_millis(OVERDUE_CHECK_MS));
        tokio::select! {
            () = check_interval, if is_busy => {
                let now_ms = inner.now_ms();
                // While this VM's own links are lost, answers are late through no backend server.
                let has_overdue =
                    !inner.links.is_any_lost() && inner.fleet.borrow_mut().note_overdue(now_ms);
                if !has_overdue && Instant::now() < due {
                    continue;
                }
            }
            () = inner.mesh.until_backend_change() => wait_for_batch(&inner).await,
            () = tokio::time::sleep_until(due) => {}
        }
        let now = Instant::now();
        let is_repeat = now >= repeat_due;
        let (unreported, has_failure) = inner.fleet.borrow_mut().take_unreported();
        let mut for_same_hall: HashSet<BackendKey> = unreported.into_iter().collect();
        let peers = inner.mesh.entry_peers();
        if for_other_halls.is_empty() && !for_same_hall.is_empty() {
            other_halls_due = now + Duration::from_millis(other_halls_delay_ms(peers.far.len()));
        }
        if is_repeat {
            repeat_due = now + Duration::from_millis(REPEAT_INTERVAL_MS);
            for_same_hall.extend(inner.fleet.borrow().busy());
        }
        for_other_halls.extend(&for_same_hall);
        send_reports(&inner, &for_same_hall, &peers.near, false);
        if has_failure {
            send_reports(&inner, &std::mem::take(&mut for_other_halls), &peers.far.concat(), false);
        } else if is_repeat || now >= other_halls_due {
            let relays = peers.relays(&mut rand::rng());
            send_reports(&inner, &std::mem::take(&mut for_other_halls), &relays, true);
        }
    }
}

/// Waits while changes are batched; a failure ends the wait.
async fn wait_for_batch(inner: &Inner) {
    let until = Instant::now() + Duration::from_millis(SAME_HALL_DELAY_MS);
    while !inner.fleet.borrow().has_unreported_failure() {
        tokio::select! {
            () = tokio::time::sleep_until(until) => return,
            () = inner.mesh.until_backend_change() => {}
        }
    }
}

/// How long changes are batched for so many other data halls.
fn other_halls_delay_ms(halls: usize) -> u64 {
    OTHER_HALLS_MIN_DELAY_MS.max(halls as u64 * 1_000 / OTHER_HALLS_DATAGRAMS_PER_S)
}

/// VMs outside the entry set that are notified of the end of a backend server; the others learn it
/// from the platform, or when the server's address answers for another.
const OTHERS_NOTIFIED: usize = 48;

/// Notifies other VMs that a backend server has ended, as its address answers for another.
pub(crate) fn announce_end(inner: &Inner, ended: &Incarnation) {
    let ended = BackendDigest {
        backend: ended.instance.clone(),
        born_ms: ended.born_ms,
        draining: true,
        ..BackendDigest::default()
    };
    send(inner, vec![ended], &inner.mesh.entry_and_other_addresses(OTHERS_NOTIFIED), false);
}

/// Relays a report to the entry VMs of this data hall, if the sender requests that.
pub(crate) fn relay(inner: &Inner, from: SocketAddr, evidence: &Evidence) {
    if !evidence.pass_on {
        return;
    }
    let words = inner.fleet.borrow().notices_fingerprint();
    let body = Some(Body::Evidence(Evidence { words, pass_on: false, ..evidence.clone() }));
    let near = inner.mesh.entry_peers().near;
    let to: Vec<SocketAddr> = near.into_iter().filter(|address| *address != from).collect();
    inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, &to);
}

/// Applies a report from another VM; true if a slot may have become free.
pub(crate) fn apply(inner: &Inner, evidence: &Evidence, now_ms: u64) -> bool {
    let mut has_freed = false;
    let mut fleet = inner.fleet.borrow_mut();
    for digest in &evidence.backends {
        // A server whose address answers for another has certainly ended.
        let of = Incarnation { instance: digest.backend.clone(), born_ms: digest.born_ms };
        if digest.draining {
            has_freed |= fleet.end_incarnation(&of);
            continue;
        }
        let report = Report {
            in_flight: digest.in_flight,
            good: digest.good,
            bad: digest.bad,
            overdue_odds: if digest.overdue_odds > 0.0 { digest.overdue_odds.into() } else { 1.0 },
            reached_ms: digest.reached_age_ms.map(|age_ms| now_ms.saturating_sub(age_ms.into())),
            heard_ms: now_ms,
        };
        has_freed |= fleet.report(&of, evidence.reporter, report);
    }
    has_freed
}

/// Sends reports on backend servers to some VMs; `pass_on` makes them relay the reports in their
/// data halls.
fn send_reports(inner: &Inner, backends: &HashSet<BackendKey>, to: &[SocketAddr], pass_on: bool) {
    if backends.is_empty() || to.is_empty() {
        return;
    }
    let keys: Vec<BackendKey> = backends.iter().copied().collect();
    let mut reports = inner.fleet.borrow_mut().reports(&keys, inner.now_ms());
    if inner.links.is_any_lost() {
        reports.iter_mut().for_each(|report| report.report.overdue_odds = 1.0);
    }
    for chunk in reports.chunks(BACKENDS_PER_DATAGRAM) {
        send(inner, chunk.iter().map(encode).collect(), to, pass_on);
    }
}

/// Sends backend digests to some VMs.
fn send(inner: &Inner, backends: Vec<BackendDigest>, to: &[SocketAddr], pass_on: bool) {
    let reporter = inner.mesh.id();
    let words = inner.fleet.borrow().notices_fingerprint();
    let body = Some(Body::Evidence(Evidence { backends, reporter, words, pass_on }));
    inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, to);
}

/// Encodes a report for a datagram.
fn encode(report: &BackendReport) -> BackendDigest {
    BackendDigest {
        backend: report.of.instance.clone(),
        born_ms: report.of.born_ms,
        good: report.report.good,
        bad: report.report.bad,
        in_flight: report.report.in_flight,
        draining: false,
        overdue_odds: report.report.overdue_odds as f32,
        reached_age_ms: report.report.reached_age_ms(),
    }
}
