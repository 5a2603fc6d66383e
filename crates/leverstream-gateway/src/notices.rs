//! Datagrams with the notices of backend servers: incarnations that leave, and limits that they
//! announce.

use std::net::SocketAddr;

use leverstream_catalog::Incarnation;
use leverstream_core::{LimitUpdate, NoticeSync, Notices};
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, BackendLimit, BackendStart, Packet};
use tracing::info;

use crate::gateway::Inner;
use crate::mesh::datagram_chunks;

/// VMs outside the entry set that are notified at once: all of today's fleet of 44. The number must
/// not grow with the fleet. In a larger fleet the others get hardly any requests, and receive the
/// notices when fingerprints are compared.
const OTHERS_NOTIFIED: usize = 48;

/// Incarnations in one datagram; each takes up to 45 bytes.
const INCARNATIONS_PER_DATAGRAM: usize = 25;

/// Notifies other VMs that an incarnation of a backend server leaves.
pub(crate) fn announce_leaving(inner: &Inner, of: &Incarnation) {
    let notices = Notices { starts: vec![of.clone()], ..Notices::default() };
    send_notices(inner, &notices, &inner.mesh.entry_and_other_addresses(OTHERS_NOTIFIED));
}

/// Notifies other VMs of a limit, or that a limit no longer applies.
pub(crate) fn announce_limit(inner: &Inner, limit: LimitUpdate) {
    let notices = Notices { limits: vec![limit], ..Notices::default() };
    send_notices(inner, &notices, &inner.mesh.entry_and_other_addresses(OTHERS_NOTIFIED));
}

/// Compares another VM's fingerprint of the notices with this VM's, and sends what the comparison
/// calls for.
pub(crate) fn compare(inner: &Inner, from: SocketAddr, theirs: u64, now_ms: u64) {
    let mut notice_sync = inner.notice_sync.get();
    let is_entry_vm = inner.mesh.takes_callers();
    let notices = notice_sync.compare(theirs, &inner.fleet.borrow(), is_entry_vm, now_ms);
    inner.notice_sync.set(notice_sync);
    if let Some(notices) = notices {
        send_notices(inner, &notices, &[from]);
    }
}

/// Applies the notices of another VM, and answers if it requests this VM's.
pub(crate) fn receive(inner: &Inner, from: SocketAddr, message: &peer::Words, now_ms: u64) {
    let applied = NoticeSync::apply(decode(message), &mut inner.fleet.borrow_mut(), now_ms);
    for Incarnation { instance, born_ms } in &applied.newly_leaving {
        info!(backend = instance, born_ms, source = %from, "backend leaves");
    }
    for LimitUpdate { of: Incarnation { instance, born_ms }, per_s, age_ms } in &applied.limits {
        info!(backend = instance, born_ms, per_s, age_ms, source = %from, "backend limit");
    }
    if !applied.newly_leaving.is_empty() || !applied.limits.is_empty() {
        inner.wake_all();
    }
    if let Some(notices) = applied.answer {
        send_notices(inner, &notices, &[from]);
    }
}

/// Sends notices to some VMs, in as many datagrams as needed.
fn send_notices(inner: &Inner, notices: &Notices, to: &[SocketAddr]) {
    let send = |message| {
        let body = Some(Body::Words(message));
        inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, to);
    };
    for (chunk, asks) in datagram_chunks(&notices.starts, notices.asks, INCARNATIONS_PER_DATAGRAM) {
        let starts = chunk.iter().map(encode_incarnation).collect();
        send(peer::Words { starts, asks, limits: Vec::new() });
    }
    for chunk in notices.limits.chunks(INCARNATIONS_PER_DATAGRAM) {
        let limits = chunk.iter().map(encode_limit).collect();
        send(peer::Words { limits, ..peer::Words::default() });
    }
}

/// Encodes an incarnation for a datagram.
fn encode_incarnation(of: &Incarnation) -> BackendStart {
    BackendStart { backend: of.instance.clone(), born_ms: of.born_ms }
}

/// Encodes a limit for a datagram.
pub(crate) fn encode_limit(update: &LimitUpdate) -> BackendLimit {
    let age_ms = u32::try_from(update.age_ms).unwrap_or(u32::MAX);
    BackendLimit { of: Some(encode_incarnation(&update.of)), per_s: update.per_s, age_ms }
}

/// Decodes an incarnation from a datagram.
fn decode_incarnation(start: &BackendStart) -> Incarnation {
    Incarnation { instance: start.backend.clone(), born_ms: start.born_ms }
}

/// Decodes a limit from a datagram; none if it is invalid.
pub(crate) fn decode_limit(message: &BackendLimit) -> Option<LimitUpdate> {
    let is_limit = |per_s: f64| per_s.is_finite() && per_s >= 0.0;
    let of = decode_incarnation(message.of.as_ref()?);
    let update = LimitUpdate { of, per_s: message.per_s, age_ms: message.age_ms.into() };
    message.per_s.is_none_or(is_limit).then_some(update)
}

/// Decodes the notices of a datagram.
fn decode(message: &peer::Words) -> Notices {
    Notices {
        starts: message.starts.iter().map(decode_incarnation).collect(),
        limits: message.limits.iter().filter_map(decode_limit).collect(),
        asks: message.asks,
    }
}
