//! Measures how fast a new table version spreads through a fleet.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use leverstream_member::Swim;
use leverstream_peer::Packet;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::members::{identity, swim};
use super::print_row;

/// Measures how fast a new table version spreads through a fleet of real [`Swim`] instances.
///
/// A datagram travels for 2 ms, and one in 50 is lost.
pub(super) fn measure_dissemination() {
    for nodes in [44, 200, 1_000] {
        let mut reached_ms: Vec<u64> = (1..=3).map(|seed| spread_ms(nodes, seed)).collect();
        reached_ms.sort_unstable();
        print_row(
            &format!("a table version received by all of {nodes} nodes (median, worst of 3)"),
            &format!("{} ms, {} ms", reached_ms[1], reached_ms[2]),
            "grows logarithmically",
        );
    }
}

/// Returns the time until a new table version has reached all nodes, in milliseconds.
fn spread_ms(nodes: usize, seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<Swim> = (0..nodes).map(|number| swim(number, nodes, 11)).collect();
    let by_address: HashMap<SocketAddr, usize> =
        (0..nodes).map(|number| (identity(number, 11).peer_address, number)).collect();
    let mut has_version = vec![false; nodes];
    has_version[0] = true;
    let mut in_flight: VecDeque<(u64, usize, SocketAddr, Packet)> = VecDeque::new();
    let mut now_ms = 0;
    let first = fleet[0].announce("service-1", 2);
    let address = identity(0, 11).peer_address;
    in_flight.extend(
        first.into_iter().filter_map(|sent| {
            Some((now_ms + 2, *by_address.get(&sent.to)?, address, sent.packet))
        }),
    );
    while !has_version.iter().all(|has| *has) && now_ms < 60_000 {
        let mut sent = Vec::new();
        while in_flight.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let Some((_, to, from, packet)) = in_flight.pop_front() else { break };
            let node = &mut fleet[to];
            sent.extend(node.receive(from, &packet, now_ms).into_iter().map(|out| (to, out)));
            let versions = node.take_received_versions();
            if !versions.is_empty() && !has_version[to] {
                has_version[to] = true;
                sent.extend(node.announce("service-1", 2).into_iter().map(|out| (to, out)));
            }
        }
        if now_ms.is_multiple_of(10) {
            for (number, node) in fleet.iter_mut().enumerate() {
                sent.extend(node.tick(now_ms).into_iter().map(|out| (number, out)));
            }
        }
        for (number, out) in sent {
            let is_lost = rng.random_range(0..50) == 0;
            if let (false, Some(to)) = (is_lost, by_address.get(&out.to)) {
                let from = identity(number, 11).peer_address;
                in_flight.push_back((now_ms + 2, *to, from, out.packet));
            }
        }
        now_ms += 1;
    }
    now_ms
}
