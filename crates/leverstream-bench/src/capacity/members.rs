//! Measures the memory per member, and the size and CPU time of membership datagrams.

use std::net::{Ipv4Addr, SocketAddr};

use leverstream_member::{Identity, Member, Swim, SwimSettings};
use leverstream_peer::{FleetKey, Packet};
use leverstream_proxy::Members;
use prost::Message;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{
    AllocatedBytes, DAY_S, TARGET, UPDATES_PER_RESTART, measure_allocation, print_row, time_us,
};

/// Returns the identity of process `number`.
pub(super) fn identity(number: usize, halls: usize) -> Identity {
    let bits = number as u32;
    let ip = Ipv4Addr::from(0x0a00_0000 + bits);
    Identity {
        id: 1 + number as u64,
        peer_address: SocketAddr::from((ip, 7001)),
        caller_address: SocketAddr::from((ip, 7000)),
        hall: format!("hall-{}", number % halls),
        capacity_per_s: 0,
    }
}

/// Returns member `number`, which already holds the table.
pub(super) fn member(number: usize, halls: usize) -> Member {
    Member { table: 1, ..Member::new(identity(number, halls), 0) }
}

/// Returns the membership state of process `number`, which knows all `nodes` members.
pub(super) fn swim(number: usize, nodes: usize, halls: usize) -> Swim {
    let rng = StdRng::seed_from_u64(number as u64);
    let mut swim = Swim::new(identity(number, halls), SwimSettings::default(), rng, 0);
    let others = (0..nodes).filter(|other| *other != number);
    let updates: Vec<_> = others.map(|other| member(other, halls).to_update()).collect();
    swim.merge(&updates, 0);
    swim
}

/// Measures the memory per member: SWIM state and the published member list.
pub(super) fn measure_members(allocated: AllocatedBytes) {
    let nodes = TARGET.nodes;
    let (state, bytes) = measure_allocation(allocated, || {
        let swim = swim(0, nodes, TARGET.halls);
        let members = Members::new(swim.remembered().cloned().collect());
        (swim, members)
    });
    let member_bytes = bytes / nodes as f64;
    let update_bytes = state.0.me().to_update().encoded_len();
    print_row(
        "state per member (protocol and published list)",
        &format!("{member_bytes:.0} B"),
        &format!("{:.1} MB", bytes / 1e6),
    );
    let list_bytes = (update_bytes + 2) as f64 * nodes as f64;
    print_row(
        "list of all members, fetched every 30 s at 44 nodes",
        &format!("{update_bytes} B per member"),
        &format!(
            "{:.0} kB; {:.1} kB/s every 30 s, {:.1} kB/s every 300 s",
            list_bytes / 1e3,
            list_bytes / 30e3,
            list_bytes / 300e3
        ),
    );
}

/// Measures the size of membership datagrams and the CPU time to send and receive them.
pub(super) fn measure_packets() {
    let mut swim = swim(0, TARGET.nodes, TARGET.halls);
    let key = FleetKey::derive("a key for measurements");
    // The first packets are full, as they carry all members just learned; later ones are nearly empty.
    let mut now_ms = 0;
    let mut sizes = Vec::new();
    let mut out = Vec::new();
    let tick_us = time_us(400, || {
        now_ms += 500;
        out = swim.tick(now_ms);
        sizes.extend(out.iter().map(|sent| key.seal(&sent.packet).len()));
    });
    sizes.sort_unstable();
    let largest = sizes.last().copied().unwrap_or(0);
    let mut updates_per_s = TARGET.restarts_per_day * UPDATES_PER_RESTART / DAY_S;
    updates_per_s += 300.0 * 2.0 / DAY_S;
    let update_bytes = swim.me().to_update().encoded_len() as f64 + 2.0;
    let retransmissions = 3.0 * 13.0;
    let empty = Packet { from: Some(swim.me().to_update()), ..Packet::default() };
    let empty_bytes = key.seal(&empty).len() as f64;
    // Per ping period, a VM sends a ping and an ack and receives one of each; the rest are indirect pings.
    let ping_bytes_per_s = 2.0 * 4.4 * empty_bytes;
    let update_bytes_per_s = updates_per_s * retransmissions * update_bytes;
    print_row(
        "a tick that sends a ping, 7,000 members known",
        &format!("{tick_us:.0} us"),
        &format!("{:.2} % of a core at 2 pings/s", tick_us * 2.0 / 1e4),
    );
    print_row(
        "size of a datagram: empty, largest",
        &format!("{empty_bytes:.0} B, {largest} B"),
        &format!(
            "pings and acks {:.1} kB/s, independent of the number of nodes",
            ping_bytes_per_s / 1e3
        ),
    );
    print_row(
        "member updates, each retransmitted 39 times",
        &format!("{update_bytes:.0} B per update"),
        &format!("{updates_per_s:.2} updates/s, {:.1} kB/s", update_bytes_per_s / 1e3),
    );
    let datagram = key.seal(&empty);
    let receive_us = time_us(20_000, || {
        let packet = key.unseal(&datagram);
        if let Ok(packet) = packet {
            now_ms += 1;
            swim.receive(SocketAddr::from(([10, 0, 0, 9], 7001)), &packet, now_ms);
        }
    });
    print_row(
        "a datagram decrypted and applied",
        &format!("{receive_us:.1} us"),
        &format!("{:.2} % of a core at 9/s", receive_us * 9.0 / 1e4),
    );
}
