//! Datagrams about what backend servers say of themselves: that they leave, which limits they name.

use std::net::SocketAddr;

use leverstream_catalog::Incarnation;
use leverstream_core::{LimitUpdate, NoticeSync, Notices};
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, BackendLimit, BackendStart, Packet};
use tracing::info;

use crate::gateway::Inner;
use crate::mesh::parts;

/// How many VMs that do not share the traffic are told at once: all of a fleet of today's 44. What is told must not grow with
/// the fleet; of a larger one the rest are hardly asked by callers, and hear it by comparison.
const OTHERS_TOLD: usize = 48;

/// How many starts one datagram tells of; each takes up to 45 bytes.
const STARTS_A_DATAGRAM: usize = 25;

/// Tells others of a start that leaves.
pub(crate) fn tell(inner: &Inner, of: &Incarnation) {
    let told = Notices { starts: vec![of.clone()], ..Notices::default() };
    say(inner, &told, &inner.mesh.sharers_and(OTHERS_TOLD));
}

/// Tells others of a limit, or that one is named no more.
pub(crate) fn tell_limit(inner: &Inner, limit: LimitUpdate) {
    let told = Notices { limits: vec![limit], ..Notices::default() };
    say(inner, &told, &inner.mesh.sharers_and(OTHERS_TOLD));
}

/// Takes in how another VM's knowledge compares.
pub(crate) fn compare(inner: &Inner, from: SocketAddr, theirs: u64, now_ms: u64) {
    let mut words = inner.notice_sync.get();
    let is_sharer = inner.mesh.takes_callers();
    let told = words.compare(theirs, &inner.fleet.borrow(), is_sharer, now_ms);
    inner.notice_sync.set(words);
    if let Some(told) = told {
        say(inner, &told, &[from]);
    }
}

/// Takes in what another VM tells, and answers its question.
pub(crate) fn hear(inner: &Inner, from: SocketAddr, said: &peer::Words, now_ms: u64) {
    let heard = NoticeSync::apply(decode(said), &mut inner.fleet.borrow_mut(), now_ms);
    for Incarnation { instance, born_ms } in &heard.newly_leaving {
        info!(backend = instance, born_ms, source = %from, "backend leaves");
    }
    for LimitUpdate { of: Incarnation { instance, born_ms }, per_s, age_ms } in &heard.limits {
        info!(backend = instance, born_ms, per_s, age_ms, source = %from, "backend limit");
    }
    if !heard.newly_leaving.is_empty() || !heard.limits.is_empty() {
        inner.wake_all();
    }
    if let Some(told) = heard.answer {
        say(inner, &told, &[from]);
    }
}

/// Tells some VMs what starts say of themselves, in as many datagrams as it takes.
fn say(inner: &Inner, told: &Notices, to: &[SocketAddr]) {
    let send = |said| {
        let body = Some(Body::Words(said));
        inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, to);
    };
    for (part, asks) in parts(&told.starts, told.asks, STARTS_A_DATAGRAM) {
        let starts = part.iter().map(encode_start).collect();
        send(peer::Words { starts, asks, limits: Vec::new() });
    }
    for part in told.limits.chunks(STARTS_A_DATAGRAM) {
        let limits = part.iter().map(encode_limit).collect();
        send(peer::Words { limits, ..peer::Words::default() });
    }
}

/// What a datagram tells of a start.
fn encode_start(of: &Incarnation) -> BackendStart {
    BackendStart { backend: of.instance.clone(), born_ms: of.born_ms }
}

/// What a datagram tells of a limit.
pub(crate) fn encode_limit(told: &LimitUpdate) -> BackendLimit {
    let age_ms = u32::try_from(told.age_ms).unwrap_or(u32::MAX);
    BackendLimit { of: Some(encode_start(&told.of)), per_s: told.per_s, age_ms }
}

/// What a datagram has told of a start.
fn decode_start(start: &BackendStart) -> Incarnation {
    Incarnation { instance: start.backend.clone(), born_ms: start.born_ms }
}

/// What a datagram has told of a limit; none if it cannot be one.
pub(crate) fn decode_limit(said: &BackendLimit) -> Option<LimitUpdate> {
    let is_limit = |per_s: f64| per_s.is_finite() && per_s >= 0.0;
    let of = decode_start(said.of.as_ref()?);
    let told = LimitUpdate { of, per_s: said.per_s, age_ms: said.age_ms.into() };
    said.per_s.is_none_or(is_limit).then_some(told)
}

/// What a datagram has told.
fn decode(said: &peer::Words) -> Notices {
    Notices {
        starts: said.starts.iter().map(decode_start).collect(),
        limits: said.limits.iter().filter_map(decode_limit).collect(),
        asks: said.asks,
    }
}
