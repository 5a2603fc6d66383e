//! Slopes of state, messages and processor time, measured on the real code in one process.

mod choosing;
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

/// The sizes to grow to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// VMs of the fleet.
    pub nodes: usize,
    /// Backend servers.
    pub backends: usize,
    /// Services.
    pub services: usize,
    /// Halls.
    pub halls: usize,
    /// Edits a day.
    pub edits_a_day: f64,
    /// VMs that fail, are restarted or replaced a day.
    pub restarts_a_day: f64,
    /// Routes named in the table.
    pub routes: usize,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
}

/// The target of two years.
pub const TARGET: Target = Target {
    nodes: 7_000,
    backends: 74_000,
    services: 1_900,
    halls: 11,
    edits_a_day: 12_000.0,
    restarts_a_day: 9_800.0,
    routes: 90_000,
    requests_per_s: 1_100_000.0,
};

/// The seconds of a day.
const DAY_S: f64 = 86_400.0;

/// The updates that one restart makes: the old process leaves or dies, the new one appears.
const UPDATES_A_RESTART: f64 = 2.5;

/// Tells how many bytes are allocated now.
pub type Allocated = fn() -> usize;

/// Runs all measurements and prints them as Markdown.
pub fn run(allocated: Allocated) {
    println!("| what | measured | at the target |");
    println!("|---|---|---|");
    members(allocated);
    packets();
    table(allocated);
    placing();
    dissemination();
    health(allocated);
    picking();
    choosing::choosing(allocated);
    ledger(allocated);
    suspects::suspects(allocated);
}

/// Prints one line of the table.
fn line(what: &str, measured: &str, at_target: &str) {
    println!("| {what} | {measured} | {at_target} |");
}

/// The identity of a numbered process.
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

/// A numbered member that has the table.
fn member(number: usize, halls: usize) -> Member {
    Member { table: 1, ..Member::new(identity(number, halls), 0) }
}

/// A process's view of a fleet that all know.
fn swim(number: usize, nodes: usize, halls: usize) -> Swim {
    let rng = StdRng::seed_from_u64(number as u64);
    let mut swim = Swim::new(identity(number, halls), SwimSettings::default(), rng, 0);
    let others = (0..nodes).filter(|other| *other != number);
    let updates: Vec<_> = others.map(|other| member(other, halls).to_update()).collect();
    swim.merge(&updates, 0);
    swim
}

/// The bytes that are allocated for something, kept until the end.
fn growth<T>(allocated: Allocated, make: impl FnOnce() -> T) -> (T, f64) {
    let before = allocated();
    let made = make();
    (made, allocated().saturating_sub(before) as f64)
}

/// The microseconds that one of many runs of something takes.
fn time_us(count: u32, mut run: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..count {
        run();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}

/// State a member: the protocol's and the published copies.
fn members(allocated: Allocated) {
    let nodes = TARGET.nodes;
    let (kept, bytes) = growth(allocated, || {
        let swim = swim(0, nodes, TARGET.halls);
        let members = Members::new(swim.remembered().cloned().collect());
        (swim, members)
    });
    let a_member = bytes / nodes as f64;
    let update_bytes = kept.0.me().to_update().encoded_len();
    line(
        "state a member (protocol and published list)",
        &format!("{a_member:.0} B"),
        &format!("{:.1} MB", bytes / 1e6),
    );
    let list_bytes = (update_bytes + 2) as f64 * nodes as f64;
    line(
        "list of all members, fetched every 30 s at 44 nodes",
        &format!("{update_bytes} B a member"),
        &format!(
            "{:.0} kB; {:.1} kB/s every 30 s, {:.1} kB/s every 300 s",
            list_bytes / 1e3,
            list_bytes / 30e3,
            list_bytes / 300e3
        ),
    );
}

/// Bytes and time of pings, answers and what they carry.
fn packets() {
    let mut swim = swim(0, TARGET.nodes, TARGET.halls);
    let key = FleetKey::derive("a key for measurements");
    // Packets are full at first, with all the members just learned; later they are nearly empty.
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
    let mut updates_a_s = TARGET.restarts_a_day * UPDATES_A_RESTART / DAY_S;
    updates_a_s += 300.0 * 2.0 / DAY_S;
    let update_bytes = swim.me().to_update().encoded_len() as f64 + 2.0;
    let retold = 3.0 * 13.0;
    let empty = Packet { from: Some(swim.me().to_update()), ..Packet::default() };
    let empty_bytes = key.seal(&empty).len() as f64;
    // Each period: a ping, its answer, and the same of one other; some are asked for indirectly.
    let ping_bytes_a_s = 2.0 * 4.4 * empty_bytes;
    let update_bytes_a_s = updates_a_s * retold * update_bytes;
    line(
        "a tick with a ping, 7,000 members known",
        &format!("{tick_us:.0} us"),
        &format!("{:.2} % of a core at 2 pings/s", tick_us * 2.0 / 1e4),
    );
    line(
        "a datagram, empty and largest",
        &format!("{empty_bytes:.0} B, {largest} B"),
        &format!("pings and answers {:.1} kB/s, any number of nodes", ping_bytes_a_s / 1e3),
    );
    line(
        "updates about members, each retold 39 times",
        &format!("{update_bytes:.0} B an update"),
        &format!("{updates_a_s:.2} updates/s, {:.1} kB/s", update_bytes_a_s / 1e3),
    );
    let datagram = key.seal(&empty);
    let read_us = time_us(20_000, || {
        let packet = key.unseal(&datagram);
        if let Ok(packet) = packet {
            now_ms += 1;
            swim.receive(SocketAddr::from(([10, 0, 0, 9], 7001)), &packet, now_ms);
        }
    });
    line(
        "a datagram read and taken in",
        &format!("{read_us:.1} us"),
        &format!("{:.2} % of a core at 9/s", read_us * 9.0 / 1e4),
    );
}

/// A document with some backend servers.
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

/// The whole table at the target.
fn whole_table() -> Vec<ServiceDoc> {
    let each = TARGET.backends / TARGET.services;
    (0..TARGET.services).map(|number| doc(number, each, 1)).collect()
}

/// State a row, and bytes and time an edit.
fn table(allocated: Allocated) {
    let docs = whole_table();
    let json_bytes: usize = docs.iter().map(|doc| doc.to_json().len()).sum();
    let ((mut book, docs), bytes) = growth(allocated, move || {
        let mut book = TableReplica::new();
        for doc in &docs {
            book.merge(doc.clone());
        }
        (book, docs)
    });
    line(
        "state a backend server's row, the whole table held",
        &format!("{:.0} B", bytes / TARGET.backends as f64),
        &format!("{:.1} MB ({:.1} MB as JSON)", bytes / 1e6, json_bytes as f64 / 1e6),
    );
    let doc_bytes = json_bytes as f64 / TARGET.services as f64;
    let edits_a_s = TARGET.edits_a_day / DAY_S;
    let json = docs[0].to_json();
    let parse_us = time_us(200, || {
        let _ = ServiceDoc::from_json(&json);
    });
    let mut version = 1;
    let adopt_us = time_us(200, || {
        version += 1;
        let mut doc = docs[0].clone();
        doc.version = version;
        book.merge(doc);
    });
    line(
        "an edit: its document fetched, read, taken in",
        &format!("{doc_bytes:.0} B, {parse_us:.0} us, {adopt_us:.0} us"),
        &format!(
            "{edits_a_s:.2} edits/s: {:.2} kB/s, {:.3} % of a core",
            edits_a_s * doc_bytes / 1e3,
            edits_a_s * (parse_us + adopt_us) / 1e4
        ),
    );
    let hall_watchers = 2 * TARGET.halls;
    line(
        "calls to the platform: 2 watchers a hall",
        "1 watch each 20 s and 1 a change, 1 list of VMs a second",
        &format!(
            "{:.1} calls/s, {:.1} more in edits",
            hall_watchers as f64 * (1.0 / 20.0 + 1.0 + edits_a_s),
            2.0 * edits_a_s
        ),
    );
    let routes_each = TARGET.routes as f64 / TARGET.services as f64;
    line(
        "routes in a service's row",
        &format!("{routes_each:.0} a service; 256 allowed"),
        &format!("{:.1} MB at 40 B a route", TARGET.routes as f64 * 40.0 / 1e6),
    );
}

/// The time to place all services anew after a change of members.
fn placing() {
    let docs = whole_table();
    for nodes in [44, 700, TARGET.nodes] {
        let swim = swim(0, nodes, TARGET.halls);
        let members = Members::new(swim.remembered().cloned().collect());
        let one_us = time_us(20, || {
            std::hint::black_box(members.entry_vms_of(&docs[7]));
        });
        let (placement, entry) = members.placement_of(&docs[7]);
        let newcomer = member(nodes + 1, TARGET.halls);
        let look_us = time_us(20_000, || {
            std::hint::black_box(placement.is_affected_by(&newcomer));
        });
        let moved = TARGET.services as f64 * entry.len() as f64 / nodes as f64;
        let change_ms = (look_us * TARGET.services as f64 + moved * one_us) / 1e3;
        let changes = TARGET.restarts_a_day * UPDATES_A_RESTART / DAY_S;
        line(
            &format!("a service placed anew, seen not to move; {nodes} nodes"),
            &format!("{one_us:.0} us, {look_us:.2} us"),
            &format!(
                "{change_ms:.1} ms a change of members ({moved:.0} services move); {:.2} % of a core",
                change_ms * changes / 10.0
            ),
        );
    }
}

/// Rounds of news in a fleet of real protocol code: one hop takes 2 ms, one datagram in 50 is lost.
fn dissemination() {
    for nodes in [44, 200, 1_000] {
        let mut reached_ms: Vec<u64> = (1..=3).map(|seed| spread(nodes, seed)).collect();
        reached_ms.sort_unstable();
        line(
            &format!("news at all of {nodes} nodes (median, worst of 3)"),
            &format!("{} ms, {} ms", reached_ms[1], reached_ms[2]),
            "grows with the logarithm",
        );
    }
}

/// The time until news is everywhere in a fleet.
fn spread(nodes: usize, seed: u64) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet: Vec<Swim> = (0..nodes).map(|number| swim(number, nodes, 11)).collect();
    let by_address: HashMap<SocketAddr, usize> =
        (0..nodes).map(|number| (identity(number, 11).peer_address, number)).collect();
    let mut has_it = vec![false; nodes];
    has_it[0] = true;
    let mut in_flight: VecDeque<(u64, usize, SocketAddr, Packet)> = VecDeque::new();
    let mut now_ms = 0;
    let first = fleet[0].announce("service-1", 2);
    let address = identity(0, 11).peer_address;
    in_flight.extend(
        first.into_iter().filter_map(|sent| {
            Some((now_ms + 2, *by_address.get(&sent.to)?, address, sent.packet))
        }),
    );
    while !has_it.iter().all(|has| *has) && now_ms < 60_000 {
        let mut sent = Vec::new();
        while in_flight.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let Some((_, to, from, packet)) = in_flight.pop_front() else { break };
            let node = &mut fleet[to];
            sent.extend(node.receive(from, &packet, now_ms).into_iter().map(|out| (to, out)));
            let news = node.take_received_versions();
            if !news.is_empty() && !has_it[to] {
                has_it[to] = true;
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

/// State and time a backend server that a VM serves, and bytes of evidence.
fn health(allocated: Allocated) {
    let each = TARGET.backends / TARGET.services;
    let rule = eject_rule("evidence").unwrap_or_else(|| panic!("the rule is built in"));
    let settings = HealthSettings::from(&ServiceRow::default());
    let open = || {
        let mut health = Health::new(settings, rule, 0);
        for backend in 0..each {
            health.add(&format!("backend-{backend}"), 100, false, 0);
        }
        for reporter in 1..=10 {
            for key in health.keys() {
                health.report(key, reporter, EvidenceCounts { good: 1, bad: 0 }, 1, 0);
            }
        }
        health
    };
    let (mut kept, bytes) = growth(allocated, || (0..100).map(|_| open()).collect::<Vec<_>>());
    let a_backend = bytes / (100 * each) as f64;
    // A service's set has one VM for 8 slots and at least one a hall.
    let set = (each * 2 / 8).max(TARGET.halls);
    let served = TARGET.services as f64 * set as f64 / TARGET.nodes as f64;
    let held = served * each as f64;
    line(
        "health state a backend server served, 10 reporters",
        &format!("{a_backend:.0} B"),
        &format!(
            "{served:.1} services, {held:.0} backend servers: {:.2} MB",
            held * a_backend / 1e6
        ),
    );
    let health = &mut kept[0];
    let mut now_ms = 0;
    let tick_us = time_us(2_000, || {
        now_ms += 50;
        health.tick(now_ms);
    });
    let finish_us = time_us(20_000, || health.finish(BackendKey(3), RequestOutcome::Good, 20.0, 0));
    let requests = TARGET.requests_per_s / TARGET.nodes as f64;
    line(
        "a health tick of one service; an observation",
        &format!("{tick_us:.1} us; {finish_us:.2} us"),
        &format!(
            "{:.2} % of a core; {:.2} % at {requests:.0} requests/s",
            tick_us * 20.0 * served / 1e4,
            finish_us * requests / 1e4
        ),
    );
    let backends = (0..each).map(|backend| BackendDigest {
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
    let exchanges_a_s = served * (set as f64 - 1.0) * 4.0;
    line(
        "an exchange of evidence, all 38 backend servers busy",
        &format!("{bytes:.0} B each way"),
        &format!(
            "{:.0} kB/s at 4/s with each of {} VMs; held at 12 kB/s, one with each VM in {:.1} s",
            exchanges_a_s * bytes / 1e3,
            set - 1,
            exchanges_a_s / 4.0 * bytes / 12e3
        ),
    );
}

/// The time of one pick against the number of backend servers.
fn picking() {
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
            let mut turn = PickContext { count: 1, rng: &mut rng };
            let request = Request { is_repeatable: true, tried: &[] };
            std::hint::black_box(choose(pick, &candidates, request, &mut turn));
        });
        line(
            &format!("a pick among {count}"),
            &format!("{pick_us:.2} us"),
            &format!("{:.4} ms of the 2.4 ms", pick_us / 1e3),
        );
    }
}

/// State and time a piece of work that must run at most once.
fn ledger(allocated: Allocated) {
    const COUNT: usize = 100_000;
    let settings = LedgerSettings { max_requests: 10 * COUNT, max_answer_bytes: 16 << 20 };
    let mint = TicketIssuer::new(1, 120_000, &mut StdRng::seed_from_u64(1));
    let ticket = Ticket { stem: mint.stem(0), nonce: 7 };
    let answer = Arc::new(Reply { status: 200, headers: Vec::new(), body: vec![0; 100].into() });
    let ((ledger, begin_us), bytes) = growth(allocated, || {
        let ledger = Ledger::new(settings);
        let mut number = 0;
        let begin_us = time_us(COUNT as u32, || {
            number += 1;
            let key = format!("{number:032x}");
            if let BeginOutcome::Run(entry) = ledger.begin(&mint, &ticket, &key, [0; 32], || 1) {
                entry.finish(StoredResult::Answer(Arc::clone(&answer)));
            }
        });
        (ledger, begin_us)
    });
    let a_work = bytes / COUNT as f64;
    let orders = 0.02 * TARGET.requests_per_s / TARGET.nodes as f64;
    line(
        "work kept for its ticket's 120 s",
        &format!("{a_work:.0} B, {begin_us:.1} us"),
        &format!(
            "{orders:.1} orders/s if one request in 50 is one: {:.1} MB",
            orders * 120.0 * a_work / 1e6
        ),
    );
    drop(ledger);
}
