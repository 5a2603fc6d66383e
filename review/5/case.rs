//! Case 5: after an outage of the store that is over, gateways that reach it don't ask it for seconds, and serve an old configuration.

#[path = "../standin-2/kit.rs"]
mod kit;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use kit::*;

/// The gateways, all in one hall.
const GATEWAYS: usize = 36;

/// Those that are cut off from the store: `node_cut`, share 0.35, here 0.33.
const CUT: usize = 12;

/// The length of the outage of the store: `platform_down`, how busy, `for_s = 8.0` at most.
const OUTAGE_MS: u64 = 2_300;

/// The time from the end of the outage to the cut.
const CUT_AFTER_MS: u64 = 800;

/// The length of the cut: `node_cut`, `for_s = 12.0` at most.
const CUT_MS: u64 = 5_500;

/// `configApplyS` of the site.
const APPLY_MS: u64 = 2_000;

/// `contactS` of the site: so long after the outage the store counts as stable, and machines as in touch.
const CONTACT_MS: u64 = 3_000;

/// What the clocks and threads of this process may add to a time that it measures.
const SLACK_MS: u64 = 100;

fn main() {
    let record = Record::open();
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let has_outage = matches!(trouble.as_str(), "1" | "outage");
    let has_cut = matches!(trouble.as_str(), "1" | "cut");
    record.note(format!("outage of the store: {has_outage}; cut: {has_cut}"));
    let store = Store::start_with_doors(&record, GATEWAYS);
    let arrivals = Arrivals::default();
    let serve = |name: &str| {
        Server::start(name, &record, &arrivals, |_| Act::Run {
            ms: 20,
            status: 200,
            body: b"done".to_vec(),
        })
    };
    let old: Vec<Server> = (0..3).map(|number| serve(&format!("i-old-{number}"))).collect();
    let new: Vec<Server> = (0..3).map(|number| serve(&format!("i-new-{number}"))).collect();
    let route = |service| RouteSpec {
        prefix: "/orders/",
        route_type: "unsafe",
        service,
        timeout_s: 1.5,
        aim_s: 0.8,
        attempts: 2,
    };
    store.put("config", "main", &config(7, &[route("old")], &["old", "new"], ""));
    for server in &old {
        store.list_server(&server.id, "old", server.address, 8, "ready");
    }
    for server in &new {
        store.list_server(&server.id, "new", server.address, 8, "ready");
    }
    let mut gateways: Vec<Gateway> = (1..=GATEWAYS as u8).map(Gateway::plan).collect();
    let seeds: Vec<SocketAddr> = gateways.iter().take(3).map(|gateway| gateway.control).collect();
    for (number, gateway) in gateways.iter_mut().enumerate() {
        let deployment = Deployment {
            store: store.doors[number],
            seeds: seeds.clone(),
            more: String::new(),
            memory_mb: 260,
            grace_s: 6,
        };
        gateway.write_settings(&deployment, true);
        gateway.start(&record);
    }
    if !gateways.iter().all(Gateway::until_ready) {
        give_up(&record, &mut gateways, "a gateway did not become ready");
    }
    sleep_ms(6_000);
    // The order in which the gateways turn to the store if nobody reads it for them shows in the outage, or
    // in a silence that is as long.
    store.watch_doors();
    store.set_mode(if has_outage { StoreMode::Busy } else { StoreMode::Sound });
    sleep_ms(OUTAGE_MS);
    let mut order = store.doors_by_first_call();
    store.set_mode(StoreMode::Sound);
    let back_ms = record.now_ms();
    record.note(format!("the gateways in the order of their calls: {order:?}"));
    if has_outage && order.len() < GATEWAYS {
        give_up(&record, &mut gateways, "not every gateway turned to the store");
    }
    order.extend((0..GATEWAYS).filter(|door| !order.contains(door)).collect::<Vec<_>>());
    let kept: Vec<usize> = order.iter().copied().skip(CUT).collect();
    sleep_ms(CUT_AFTER_MS);
    if has_cut {
        store.cut(&order[..CUT]);
    }
    sleep_ms(20);
    store.put("config", "main", &config(9, &[route("new")], &["old", "new"], ""));
    let acked_ms = record.now_ms();
    record.note("version 9 is acknowledged: /orders/ goes to the service `new`");
    let is_running = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = kept
        .iter()
        .map(|number| {
            let (to, name) = (gateways[*number].callers, gateways[*number].name.clone());
            let (record, is_running) = (Arc::clone(&record), Arc::clone(&is_running));
            thread::spawn(move || orders(to, &name, &record, &is_running))
        })
        .collect();
    sleep_ms(CUT_MS);
    store.cut(&[]);
    sleep_ms(1_000);
    is_running.store(false, Ordering::Relaxed);
    let calls: Vec<Call> =
        clients.into_iter().flat_map(|client| client.join().expect("the client ends")).collect();
    let from_ms = (acked_ms + APPLY_MS).max(back_ms + CONTACT_MS) + SLACK_MS;
    let arrivals = arrivals.lock().unwrap().clone();
    let ran_at = |id: &str| arrivals.iter().find(|arrival| arrival.ran && arrival.id == id);
    let (mut judged, mut broken, mut last_ms, mut by_gateway) = (0, 0, 0, Vec::new());
    for call in calls.iter().filter(|call| call.sent_ms > from_ms) {
        judged += 1;
        let Some(arrival) = ran_at(&call.id).filter(|arrival| arrival.server.starts_with("i-old")) else {
            continue;
        };
        broken += 1;
        last_ms = last_ms.max(call.sent_ms - acked_ms);
        if !by_gateway.contains(&call.gateway) {
            by_gateway.push(call.gateway.clone());
        }
        record.note(format!(
            "CONFIG: request {} to {}, sent {} ms after the acknowledgement, was run by the old service at {}",
            call.id,
            call.gateway,
            call.sent_ms - acked_ms,
            arrival.server
        ));
    }
    record.note(format!(
        "{judged} requests sent later than configApplyS to the {} gateways that were never cut off; {broken} were run by the old service, at {} of these gateways, the last sent {last_ms} ms after the acknowledgement; {} requests in all, {} answered 200",
        kept.len(),
        by_gateway.len(),
        calls.len(),
        calls.iter().filter(|call| call.status == 200).count()
    ));
    if judged < 200 {
        give_up(&record, &mut gateways, "too few requests");
    }
    finish(&record, &mut gateways, broken > 0);
}

/// A request as its client knows it.
struct Call {
    gateway: String,
    id: String,
    sent_ms: u64,
    status: u16,
}

/// Sends requests one after the other, each on a new connection.
fn orders(to: SocketAddr, gateway: &str, record: &Record, is_running: &AtomicBool) -> Vec<Call> {
    let mut calls = Vec::new();
    while is_running.load(Ordering::Relaxed) {
        let id = new_id();
        let sent_ms = record.now_ms();
        let call = || {
            let mut client = Client::connect(to, 4_000).ok()?;
            client.call("POST", "/orders/new", &id, 3_000, b"order").ok()?
        };
        let status = call().map_or(0, |answer| answer.status());
        record.note(format!("client: request {id} to {gateway}: {status}"));
        calls.push(Call { gateway: gateway.to_owned(), id, sent_ms, status });
        sleep_ms(80);
    }
    calls
}
