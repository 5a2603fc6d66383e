//! Case 6: a backend that has gone keeps getting requests, as an outage of the store that is long over is taken for a new one.

#[path = "../standin-2/kit.rs"]
mod kit;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use kit::*;

/// The gateways, all in one hall.
const GATEWAYS: usize = 10;

/// Those that are killed at once: `herd_kill`, share (.6).
const KILLED: usize = 6;

/// The length of the outage of the store: `platform_down`, `for_s = 4.5`.
const OUTAGE_MS: u64 = 4_500;

/// The time from the end of the outage to the loss of the gateways; `contactS` is 3 s.
const CALM_MS: u64 = 10_000;

/// `drainS` of the site.
const DRAIN_MS: u64 = 2_000;

/// What the clocks and threads of this process may add to a time that it measures.
const SLACK_MS: u64 = 50;

/// How long the backend serves on after its entry has gone: `drainS` and a little longer.
const SERVES_ON_MS: u64 = 2_400;

/// The work of a request.
const WORK_MS: u64 = 120;

fn main() {
    let record = Record::open();
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let has_outage = matches!(trouble.as_str(), "1" | "outage");
    let has_loss = matches!(trouble.as_str(), "1" | "loss");
    record.note(format!("outage of the store: {has_outage}; loss of gateways: {has_loss}"));
    let store = Store::start_with_doors(&record, GATEWAYS);
    let arrivals = Arrivals::default();
    let servers: Vec<Server> = (0..4)
        .map(|number| {
            Server::start(&format!("i-{number}"), &record, &arrivals, move |_| Act::Run {
                ms: WORK_MS,
                status: 200,
                body: b"done".to_vec(),
            })
        })
        .collect();
    let route = RouteSpec {
        prefix: "/orders/",
        route_type: "unsafe",
        service: "desk",
        timeout_s: 1.5,
        aim_s: 0.8,
        attempts: 2,
    };
    store.put("config", "main", &config(1, &[route], &["desk"], ""));
    for server in &servers {
        store.list_server(&server.id, "desk", server.address, 8, "ready");
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
    sleep_ms(5_000);
    // The order in which the gateways turn to the store if nobody reads it for them shows in the outage.
    let mut order: Vec<usize> = (0..GATEWAYS).collect();
    if has_outage || has_loss {
        // Without the outage, a short silence tells the order: nobody is refused, and it is too short for more.
        let (mode, for_ms) =
            if has_outage { (StoreMode::Busy, OUTAGE_MS) } else { (StoreMode::Silent, 1_100) };
        store.watch_doors();
        store.set_mode(mode);
        sleep_ms(for_ms);
        order = store.doors_by_first_call();
        store.set_mode(StoreMode::Sound);
        record.note(format!("the gateways in the order of their calls: {order:?}"));
        if order.len() < GATEWAYS {
            give_up(&record, &mut gateways, "not every gateway turned to the store");
        }
    }
    let lost: Vec<usize> = order.iter().copied().take(KILLED).collect();
    let kept: Vec<usize> = order.iter().copied().skip(KILLED).collect();
    let is_running = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..16)
        .map(|number| {
            let to = gateways[kept[number % kept.len()]].callers;
            let (record, is_running) = (Arc::clone(&record), Arc::clone(&is_running));
            thread::spawn(move || orders(to, number, &record, &is_running))
        })
        .collect();
    sleep_ms(CALM_MS);
    if has_loss {
        for number in &lost {
            gateways[*number].signal(SIGKILL);
        }
        record.note(format!("gateways {lost:?} (counted from 0) are killed"));
    }
    sleep_ms(20);
    store.remove("servers", "i-0");
    let gone_ms = record.now_ms();
    record.note("the store has removed the entry of i-0");
    sleep_ms(SERVES_ON_MS);
    servers[0].end();
    record.note("i-0 ends");
    sleep_ms(3_000);
    is_running.store(false, Ordering::Relaxed);
    let mut lost_orders = 0;
    let mut served = 0;
    let mut failed = Vec::new();
    for client in clients {
        for (id, status) in client.join().expect("the client ends") {
            served += usize::from(status == 200);
            if status != 200 {
                failed.push((id, status));
            }
        }
    }
    let arrivals = arrivals.lock().unwrap().clone();
    let at_gone: Vec<&Arrival> = arrivals
        .iter()
        .filter(|arrival| arrival.server == "i-0" && arrival.at_ms > gone_ms)
        .collect();
    let late: Vec<&&Arrival> = at_gone
        .iter()
        .filter(|arrival| arrival.at_ms > gone_ms + DRAIN_MS + SLACK_MS)
        .collect();
    for arrival in &late {
        record.note(format!(
            "DRAIN: request {} reached i-0 {} ms after its entry had gone",
            arrival.id,
            arrival.at_ms - gone_ms
        ));
    }
    for (id, status) in &failed {
        if late.iter().any(|arrival| arrival.id == *id) {
            lost_orders += 1;
            record.note(format!("request {id}, which came late to i-0, ended with {status}"));
        }
    }
    let last_ms = at_gone.iter().map(|arrival| arrival.at_ms - gone_ms).max().unwrap_or(0);
    record.note(format!(
        "{} requests reached i-0 after its entry had gone, the last {last_ms} ms after; {} later than drainS, of which {lost_orders} were lost with it; {served} served, {} not",
        at_gone.len(),
        late.len(),
        failed.len()
    ));
    if served < 200 || at_gone.is_empty() {
        give_up(&record, &mut gateways, "too few requests");
    }
    finish(&record, &mut gateways, !late.is_empty());
}

/// Sends requests one after the other, each on a new connection.
fn orders(
    to: SocketAddr,
    number: usize,
    record: &Record,
    is_running: &AtomicBool,
) -> Vec<(String, u16)> {
    let mut answers = Vec::new();
    // The clients don't keep step.
    let mut pause_ms = record.now_ms() % 61 + number as u64;
    while is_running.load(Ordering::Relaxed) {
        let id = new_id();
        let call = || {
            let mut client = Client::connect(to, 4_000).ok()?;
            client.call("POST", "/orders/new", &id, 3_000, b"order").ok()?
        };
        let status = call().map_or(0, |answer| answer.status());
        record.note(format!("client: request {id} at {to}: {status}"));
        answers.push((id, status));
        pause_ms = (pause_ms * 37 + 11) % 61;
        sleep_ms(pause_ms);
    }
    answers
}
