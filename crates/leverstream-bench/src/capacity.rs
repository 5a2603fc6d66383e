//! Measures how memory, messages and CPU time grow with the size of a fleet.
//!
//! The measurements run the production code in one process; the last column extrapolates to [`TARGET`].

mod choice;
mod suspects;

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;

use leverstream_health::{
    BackendKey, EvidenceCounts, Health, HealthSettings, RequestOutcome, eject_rule,
};
use leverstream_member::{Identity, Member, Swim, SwimSettings};
use leverstream_node::TableReplica;
use leverstream_peer::{BackendDigest, Digest, FleetKey, Packet, ServiceDigest};
use leverstream_proxy::Members;
use leverstream_route::{Candidate, PickContext, Request, choose, picker};
use leverstream_table::{Address, BackendRow, ServiceDoc, ServiceRow};
use leverstream_ticket::{
    BeginOutcome, Ledger, LedgerSettings, Reply, StoredResult, Ticket, TicketIssuer,
};
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The fleet size to extrapolate to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// VMs of the fleet.
    pub nodes: usize,
    /// Backend servers.
    pub backends: usize,
    /// Services.
    pub services: usize,
    /// Data halls.
    pub halls: usize,
    /// Table edits per day.
    pub edits_per_day: f64,
    /// VMs that fail, restart or are replaced per day.
    pub restarts_per_day: f64,
    /// Routes defined in the table.
    pub routes: usize,
    /// Peak requests per second.
    pub requests_per_s: f64,
}

/// The fleet size expected in two years.
pub const TARGET: Target = Target {
    nodes: 7_000,
    backends: 74_000,
    services: 1_900,
    halls: 11,
    edits_per_day: 12_000.0,
    restarts_per_day: 9_800.0,
    routes: 90_000,
    requests_per_s: 1_100_000.0,
};

/// Seconds per day.
const DAY_S: f64 = 86_400.0;

/// Membership updates per restart: the old process leaves or dies, the new one joins.
const UPDATES_PER_RESTART: f64 = 2.5;

/// Returns the number of bytes currently allocated.
pub type AllocatedBytes = fn() -> usize;

/// Runs all measurements and prints them as a Markdown table.
pub fn run(allocated: AllocatedBytes) {
    println!("| what | measured | at the target |");
    println!("|---|---|---|");
    measure_members(allocated);
    measure_packets();
    measure_table(allocated);
    measure_placement();
    measure_dissemination();
    measure_health(allocated);
    measure_pick();
    choice::measure_choice(allocated);
    measure_ledger(allocated);
    suspects::measure_suspects(allocated);
}

/// Prints one row of the table.
fn print_row(label: &str, measured: &str, at_target: &str) {
    println!("| {label} | {measured} | {at_target} |");
}

/// Returns the identity of process `number`.
fn identity(number: usize, halls: usize) -> Identity {
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
fn member(number: usize, halls: usize) -> Member {
    Member { table: 1, ..Member::new(identity(number, halls), 0) }
}

/// Returns the membership state of process `number`, which knows all `nodes` members.
fn swim(number: usize, nodes: usize, halls: usize) -> Swim {
    let rng = StdRng::seed_from_u64(number as u64);
    let mut swim = Swim::new(identity(number, halls), SwimSettings::default(), rng, 0);
    let others = (0..nodes).filter(|other| *other != number);
    let updates: Vec<_> = others.map(|other| member(other, halls).to_update()).collect();
    swim.merge(&updates, 0);
    swim
}

/// Runs `make` and returns its result with the bytes that remain allocated afterwards.
fn measure_allocation<T>(allocated: AllocatedBytes, make: impl FnOnce() -> T) -> (T, f64) {
    let before = allocated();
    let made = make();
    (made, allocated().saturating_sub(before) as f64)
}

/// Returns the mean duration of `count` calls of `run`, in microseconds.
fn time_us(count: u32, mut run: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..count {
        run();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

/// Measures the memory per member: SWIM state and the published member list.
fn measure_members(allocated: AllocatedBytes) {
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
fn measure_packets() {
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

/// Returns a service document with `backends` backend servers.
fn doc(number: usize, backends: usize, version: u64) -> ServiceDoc {
    let mut doc = ServiceDoc::empty(&format!("service-{number}"));
    (doc.version, doc.removed) = (version, false);
    doc.row = ServiceRow { taken_over: true, ..ServiceRow::default() };
    for backend in 0..backends {
        let ip = Ipv4Addr::from(0x0b00_0000 + (number * 64 + backend) as u32);
        let row = BackendRow {
            address: Address(SocketAddr::from((ip, 8080))),
            hall: format!("hall-{}", backend % 11),
            weight: 100,
            slots: 2,
            share_percent: 100,
            connections: 400,
            leaving: false,
        };
        doc.backends.insert(format!("backend-{backend}"), row);
    }
    doc
}

/// Returns the service documents of a table of the target size.
fn whole_table() -> Vec<ServiceDoc> {
    let backends_per_service = TARGET.backends / TARGET.services;
    (0..TARGET.services).map(|number| doc(number, backends_per_service, 1)).collect()
}

/// Measures the memory per backend server row, and the bytes and CPU time per edit.
fn measure_table(allocated: AllocatedBytes) {
    let docs = whole_table();
    let json_bytes: usize = docs.iter().map(|doc| doc.to_json().len()).sum();
    let ((mut replica, docs), bytes) = measure_allocation(allocated, move || {
        let mut replica = TableReplica::new();
        for doc in &docs {
            replica.merge(doc.clone());
        }
        (replica, docs)
    });
    print_row(
        "state per backend server row, whole table in memory",
        &format!("{:.0} B", bytes / TARGET.backends as f64),
        &format!("{:.1} MB ({:.1} MB as JSON)", bytes / 1e6, json_bytes as f64 / 1e6),
    );
    let doc_bytes = json_bytes as f64 / TARGET.services as f64;
    let edits_per_s = TARGET.edits_per_day / DAY_S;
    let json = docs[0].to_json();
    let parse_us = time_us(200, || {
        let _ = ServiceDoc::from_json(&json);
    });
    let mut version = 1;
    let merge_us = time_us(200, || {
        version += 1;
        let mut doc = docs[0].clone();
        doc.version = version;
        replica.merge(doc);
    });
    print_row(
        "an edit: document size, time to parse, time to apply",
        &format!("{doc_bytes:.0} B, {parse_us:.0} us, {merge_us:.0} us"),
        &format!(
            "{edits_per_s:.2} edits/s: {:.2} kB/s, {:.3} % of a core",
            edits_per_s * doc_bytes / 1e3,
            edits_per_s * (parse_us + merge_us) / 1e4
        ),
    );
    let hall_watchers = 2 * TARGET.halls;
    print_row(
        "calls to the platform: 2 watchers per hall",
        "1 watch per 20 s and 1 per change, 1 VM list per second",
        &format!(
            "{:.1} calls/s, plus {:.1} for edits",
            hall_watchers as f64 * (1.0 / 20.0 + 1.0 + edits_per_s),
            2.0 * edits_per_s
        ),
    );
    let routes_per_service = TARGET.routes as f64 / TARGET.services as f64;
    print_row(
        "routes in a service row",
        &format!("{routes_per_service:.0} per service; 256 allowed"),
        &format!("{:.1} MB at 40 B per route", TARGET.routes as f64 * 40.0 / 1e6),
    );
}

/// Measures the time to recompute the entry sets of all services after a membership change.
fn measure_placement() {
    let docs = whole_table();
    for nodes in [44, 700, TARGET.nodes] {
        let swim = swim(0, nodes, TARGET.halls);
        let members = Members::new(swim.remembered().cloned().collect());
        let compute_us = time_us(20, || {
            std::hint::black_box(members.entry_vms_of(&docs[7]));
        });
        let (placement, entry) = members.placement_of(&docs[7]);
        let newcomer = member(nodes + 1, TARGET.halls);
        let check_us = time_us(20_000, || {
            std::hint::black_box(placement.is_affected_by(&newcomer));
        });
        let moved = TARGET.services as f64 * entry.len() as f64 / nodes as f64;
        let change_ms = (check_us * TARGET.services as f64 + moved * compute_us) / 1e3;
        let changes = TARGET.restarts_per_day * UPDATES_PER_RESTART / DAY_S;
        print_row(
            &format!("entry set of a service: recomputed, found unaffected; {nodes} nodes"),
            &format!("{compute_us:.0} us, {check_us:.2} us"),
            &format!(
                "{change_ms:.1} ms per membership change ({moved:.0} services move); {:.2} % of a core",
                change_ms * changes / 10.0
            ),
        );
    }
}

/// Measures how fast a new table version spreads through a fleet of real [`Swim`] instances.
///
/// A datagram travels for 2 ms, and one in 50 is lost.
fn measure_dissemination() {
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

/// Measures health state and CPU time per backend server, and the size of evidence messages.
fn measure_health(allocated: AllocatedBytes) {
    let backends_per_service = TARGET.backends / TARGET.services;
    let rule = eject_rule("evidence").unwrap_or_else(|| panic!("the rule is built in"));
    let settings = HealthSettings::from(&ServiceRow::default());
    let new_health = || {
        let mut health = Health::new(settings, rule, 0);
        for backend in 0..backends_per_service {
            health.add(&format!("backend-{backend}"), 100, false, 0);
        }
        for reporter in 1..=10 {
            for key in health.keys() {
                health.report(key, reporter, EvidenceCounts { good: 1, bad: 0 }, 1, 0);
            }
        }
        health
    };
    let (mut services, bytes) =
        measure_allocation(allocated, || (0..100).map(|_| new_health()).collect::<Vec<_>>());
    let backend_bytes = bytes / (100 * backends_per_service) as f64;
    // A service's entry set has one VM per 8 slots and at least one per hall.
    let set_size = (backends_per_service * 2 / 8).max(TARGET.halls);
    let services_per_vm = TARGET.services as f64 * set_size as f64 / TARGET.nodes as f64;
    let backends_held = services_per_vm * backends_per_service as f64;
    print_row(
        "health state per backend server, 10 reporters",
        &format!("{backend_bytes:.0} B"),
        &format!(
            "{services_per_vm:.1} services, {backends_held:.0} backend servers: {:.2} MB",
            backends_held * backend_bytes / 1e6
        ),
    );
    let health = &mut services[0];
    let mut now_ms = 0;
    let tick_us = time_us(2_000, || {
        now_ms += 50;
        health.tick(now_ms);
    });
    let finish_us = time_us(20_000, || health.finish(BackendKey(3), RequestOutcome::Good, 20.0, 0));
    let requests = TARGET.requests_per_s / TARGET.nodes as f64;
    print_row(
        "a health tick of one service; a recorded outcome",
        &format!("{tick_us:.1} us; {finish_us:.2} us"),
        &format!(
            "{:.2} % of a core; {:.2} % at {requests:.0} requests/s",
            tick_us * 20.0 * services_per_vm / 1e4,
            finish_us * requests / 1e4
        ),
    );
    let backends = (0..backends_per_service).map(|backend| BackendDigest {
        backend: format!("backend-{backend}"),
        good: 1_000_000,
        bad: 1_000,
        in_flight: 2,
        draining: false,
        overdue_odds: 0.0,
        reached_age_ms: None,
        born_ms: 1_767_225_600_000,
    });
    let service = ServiceDigest {
        service: "service-1234".to_owned(),
        version: 1_000,
        backends: backends.collect(),
    };
    let digest = Digest { reporter: u64::MAX, services: vec![service] };
    let bytes = digest.encoded_len() as f64 + 120.0;
    let exchanges_per_s = services_per_vm * (set_size as f64 - 1.0) * 4.0;
    print_row(
        "an evidence exchange, all 38 backend servers in use",
        &format!("{bytes:.0} B each way"),
        &format!(
            "{:.0} kB/s at 4/s with each of {} VMs; limited to 12 kB/s, one with each VM every {:.1} s",
            exchanges_per_s * bytes / 1e3,
            set_size - 1,
            exchanges_per_s / 4.0 * bytes / 12e3
        ),
    );
}

/// Measures the time of one pick by the number of backend servers.
fn measure_pick() {
    let pick = picker("least-load").unwrap_or_else(|| panic!("the picker is built in"));
    let mut rng = StdRng::seed_from_u64(1);
    for count in [8_u32, 38, 400] {
        let candidates: Vec<Candidate> = (0..count)
            .map(|key| Candidate {
                key: BackendKey(key),
                load: key % 2,
                own: 0,
                slots: 2,
                weight: 100.0,
                is_trial: false,
            })
            .collect();
        let pick_us = time_us(20_000, || {
            let mut context = PickContext { count: 1, rng: &mut rng };
            let request = Request { is_repeatable: true, tried: &[] };
            std::hint::black_box(choose(pick, &candidates, request, &mut context));
        });
        print_row(
            &format!("a pick among {count}"),
            &format!("{pick_us:.2} us"),
            &format!("{:.4} ms of the 2.4 ms budget", pick_us / 1e3),
        );
    }
}

/// Measures the memory and CPU time per ledger entry of a request that must run at most once.
fn measure_ledger(allocated: AllocatedBytes) {
    const COUNT: usize = 100_000;
    let settings = LedgerSettings { max_requests: 10 * COUNT, max_answer_bytes: 16 << 20 };
    let issuer = TicketIssuer::new(1, 120_000, &mut StdRng::seed_from_u64(1));
    let ticket = Ticket { stem: issuer.stem(0), nonce: 7 };
    let answer = Arc::new(Reply { status: 200, headers: Vec::new(), body: vec![0; 100].into() });
    let ((ledger, begin_us), bytes) = measure_allocation(allocated, || {
        let ledger = Ledger::new(settings);
        let mut number = 0;
        let begin_us = time_us(COUNT as u32, || {
            number += 1;
            let key = format!("{number:032x}");
            if let BeginOutcome::Run(entry) = ledger.begin(&issuer, &ticket, &key, [0; 32], || 1) {
                entry.finish(StoredResult::Answer(Arc::clone(&answer)));
            }
        });
        (ledger, begin_us)
    });
    let entry_bytes = bytes / COUNT as f64;
    let requests_per_s = 0.02 * TARGET.requests_per_s / TARGET.nodes as f64;
    print_row(
        "a ledger entry, kept for its ticket's 120 s",
        &format!("{entry_bytes:.0} B, {begin_us:.1} us"),
        &format!(
            "{requests_per_s:.1} requests/s if 1 in 50 is non-repeatable: {:.1} MB",
            requests_per_s * 120.0 * entry_bytes / 1e6
        ),
    );
    drop(ledger);
}
