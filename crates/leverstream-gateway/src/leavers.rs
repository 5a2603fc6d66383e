//! Datagrams about backend servers that leave by their own word.

use std::net::SocketAddr;

use leverstream_catalog::Incarnation;
use leverstream_core::{Leavers, LeaversTold};
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, BackendStart, Packet};
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
    let told = LeaversTold { starts: vec![of.clone()], asks: false };
    say(inner, &told, &inner.mesh.sharers_and(OTHERS_TOLD));
}

/// Takes in how another VM's knowledge compares.
pub(crate) fn compare(inner: &Inner, from: SocketAddr, theirs: u64, now_ms: u64) {
    let mut leavers = inner.leavers.get();
    let is_sharer = inner.mesh.takes_callers();
    let told = leavers.compare(theirs, &inner.fleet.borrow(), is_sharer, now_ms);
    inner.leavers.set(leavers);
    if let Some(told) = told {
        say(inner, &told, &[from]);
    }
}

/// Takes in what another VM tells, and answers its question.
pub(crate) fn hear(inner: &Inner, from: SocketAddr, said: &peer::Leavers, now_ms: u64) {
    let heard = Leavers::hear(decode(said), &mut inner.fleet.borrow_mut(), now_ms);
    for Incarnation { instance, born_ms } in &heard.news {
        info!(backend = instance, born_ms, source = %from, "backend leaves");
    }
    if !heard.news.is_empty() {
        inner.wake_all();
    }
    if let Some(told) = heard.answer {
        say(inner, &told, &[from]);
    }
}

/// Tells some VMs of starts that leave, in as many datagrams as it takes.
fn say(inner: &Inner, told: &LeaversTold, to: &[SocketAddr]) {
    for (part, asks) in parts(&told.starts, told.asks, STARTS_A_DATAGRAM) {
        let body = Some(Body::Leavers(encode(part, asks)));
        inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, to);
    }
}

/// What a datagram tells.
fn encode(starts: &[Incarnation], asks: bool) -> peer::Leavers {
    let start =
        |of: &Incarnation| BackendStart { backend: of.instance.clone(), born_ms: of.born_ms };
    peer::Leavers { starts: starts.iter().map(start).collect(), asks }
}

/// What a datagram has told.
fn decode(said: &peer::Leavers) -> LeaversTold {
    let start = |start: &BackendStart| Incarnation {
        instance: start.backend.clone(),
        born_ms: start.born_ms,
    };
    LeaversTold { starts: said.starts.iter().map(start).collect(), asks: said.asks }
}
