//! Backend servers that leave by their own word, as VMs tell each other.
//!
//! A word is told at once to the VMs that share the traffic, and to all of a small fleet. A fingerprint of all that is known
//! goes with what they tell each other anyway; who sees another one asks. So lost datagrams, and a VM that was cut off or
//! stood still, cost the time to the next one. Once the store tells the same, nothing more is said.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use leverstream_catalog::Incarnation;
use leverstream_core::Fleet;
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, BackendStart, Packet};
use tracing::info;

use crate::mesh::Mesh;
use crate::meters::Meters;

/// How many VMs that do not share the traffic are told at once: all of a fleet of today's 44. What is told must not grow with
/// the fleet; of a larger one the rest are hardly asked by callers, and hear it by comparison.
const OTHERS_TOLD: usize = 48;

/// How long a VM that shares the traffic waits before it compares again: the answer to the last question is on its way.
const COMPARE_PAUSE_MS: u64 = 60;

/// How long one that does not share it waits: a list of a hundred takes 5 kB.
const STRAY_PAUSE_MS: u64 = 1_000;

/// How many starts one datagram tells of; each takes up to 45 bytes.
const STARTS_A_DATAGRAM: usize = 25;

/// What a VM needs to tell others of backend servers that leave.
#[derive(Debug, Default)]
pub(crate) struct Leavers {
    /// When this VM last compared what it knows with another.
    compared_ms: Cell<Option<u64>>,
}

impl Leavers {
    /// Tells others of a start that leaves.
    pub fn tell(&self, of: &Incarnation, mesh: &Mesh, meters: &Meters) {
        say(std::slice::from_ref(of), false, mesh, meters, &mesh.sharers_and(OTHERS_TOLD));
    }

    /// Takes in how another VM's knowledge compares: tells it what it may lack, and asks for what it has.
    pub fn compare(
        &self,
        from: SocketAddr,
        theirs: u64,
        fleet: &RefCell<Fleet>,
        mesh: &Mesh,
        meters: &Meters,
        now_ms: u64,
    ) {
        if theirs == fleet.borrow().leavers_fingerprint() {
            return;
        }
        let pause_ms = if mesh.takes_callers() { COMPARE_PAUSE_MS } else { STRAY_PAUSE_MS };
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < pause_ms;
        if self.compared_ms.get().is_some_and(is_recent) {
            return;
        }
        self.compared_ms.set(Some(now_ms));
        let known: Vec<Incarnation> = fleet.borrow().leavers().collect();
        say(&known, theirs != 0, mesh, meters, &[from]);
    }

    /// Takes in what another VM tells, and answers its question; true if there was news.
    pub fn hear(
        &self,
        from: SocketAddr,
        said: &peer::Leavers,
        fleet: &RefCell<Fleet>,
        mesh: &Mesh,
        meters: &Meters,
        now_ms: u64,
    ) -> bool {
        let mut has_news = false;
        for start in &said.starts {
            let of = Incarnation { instance: start.backend.clone(), born_ms: start.born_ms };
            if fleet.borrow_mut().leave(&of, now_ms) {
                has_news = true;
                info!(backend = of.instance, born_ms = of.born_ms, source = %from, "backend leaves");
            }
        }
        if said.asks {
            let known: Vec<Incarnation> = fleet.borrow().leavers().collect();
            say(&known, false, mesh, meters, &[from]);
        }
        has_news
    }
}

/// Tells some VMs of starts that leave, and asks them for theirs.
fn say(known: &[Incarnation], asks: bool, mesh: &Mesh, meters: &Meters, to: &[SocketAddr]) {
    let send = |part: &[Incarnation], asks| {
        let start =
            |of: &Incarnation| BackendStart { backend: of.instance.clone(), born_ms: of.born_ms };
        let body =
            Some(Body::Leavers(peer::Leavers { starts: part.iter().map(start).collect(), asks }));
        mesh.send(meters, &Packet { body, ..Packet::default() }, to);
    };
    if known.is_empty() && asks {
        send(&[], asks);
    }
    for (number, part) in known.chunks(STARTS_A_DATAGRAM).enumerate() {
        send(part, asks && number == 0);
    }
}
