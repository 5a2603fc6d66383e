//! Case 4: a failing backend's 429 or 408 reaches the client of an unsafe request that has run.

#[path = "../standin-2/kit.rs"]
mod kit;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use kit::*;

/// The backend servers, of which one (0.125) fails a part of its requests.
const SERVERS: usize = 8;

/// The length of the failures, in milliseconds: site file, `srv_grey`, `for_s = 6.5`.
const FAILS_FOR_MS: u64 = 6_500;

/// Two of five requests fail at the backend server: `kinds`, `srv_grey`, x (.4).
const FAILS: [bool; 5] = [true, false, false, true, false];

fn main() {
    let record = Record::open();
    let store = Store::start(&record);
    let arrivals = Arrivals::default();
    // The failures begin when the clients do.
    let began_ms = Arc::new(AtomicU64::new(u64::MAX));
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| {
            let (began_ms, count, clock) =
                (Arc::clone(&began_ms), AtomicU64::new(0), Arc::clone(&record));
            Server::start(&format!("i-{number}"), &record, &arrivals, move |_| {
                let began_ms = began_ms.load(Ordering::Relaxed);
                let now_ms = clock.now_ms();
                let is_failing = number == 0 && now_ms >= began_ms && now_ms < began_ms + FAILS_FOR_MS;
                let count = if is_failing { count.fetch_add(1, Ordering::Relaxed) } else { 1 };
                let fails = is_failing && has_trouble() && FAILS[count as usize % FAILS.len()];
                // It has worked on the request before it fails it, and so sends no `X-Not-Executed`.
                let status = match (fails, count % 2) {
                    (true, 0) => 429,
                    (true, _) => 408,
                    (false, _) => 200,
                };
                Act::Run { ms: 30, status, body: b"answer".to_vec() }
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
        store.list_server(&server.id, "desk", server.address, 3, "ready");
    }
    let mut gateways: Vec<Gateway> = (1..=3).map(Gateway::plan).collect();
    let seeds: Vec<_> = gateways.iter().map(|gateway| gateway.control).collect();
    let deployment = Deployment {
        store: store.address,
        seeds,
        more: String::new(),
        memory_mb: 260,
        grace_s: 6,
    };
    for gateway in &mut gateways {
        gateway.write_settings(&deployment, true);
        gateway.start(&record);
    }
    if !gateways.iter().all(Gateway::until_ready) {
        give_up(&record, &mut gateways, "a gateway did not become ready");
    }
    sleep_ms(2_000);
    began_ms.store(record.now_ms(), Ordering::Relaxed);
    record.note("backend server i-0 begins to fail two of five requests, for 6.5 s");
    let clients: Vec<_> = (0..9)
        .map(|number| {
            let (to, record) = (gateways[number % 3].callers, Arc::clone(&record));
            thread::spawn(move || orders(to, number, &record))
        })
        .collect();
    let mut answers: Vec<(String, String, u16)> = Vec::new();
    for client in clients {
        answers.extend(client.join().expect("the client ends"));
    }
    let arrivals = arrivals.lock().unwrap().clone();
    let runs = |id: &str| arrivals.iter().filter(|arrival| arrival.ran && arrival.id == id).count();
    let mut refused_and_run = 0;
    for (order, id, status) in &answers {
        if matches!(status, 408 | 421 | 429 | 503) && runs(id) > 0 {
            refused_and_run += 1;
            record.note(format!("REFUSED: {order}, request {id}: answered {status}, and has run"));
        }
    }
    let mut orders: Vec<&String> = answers.iter().map(|(order, _, _)| order).collect();
    orders.sort_unstable();
    orders.dedup();
    let times = |order: &str| {
        let own = answers.iter().filter(|(other, _, _)| other == order);
        own.map(|(_, id, _)| runs(id)).sum::<usize>()
    };
    let twice = orders.iter().filter(|order| times(order) > 1).count();
    record.note(format!(
        "{} orders in {} requests; {refused_and_run} requests answered with a promise not to have run have run; {twice} orders were run twice",
        orders.len(),
        answers.len()
    ));
    if answers.iter().filter(|(_, _, status)| *status == 200).count() < 100 {
        give_up(&record, &mut gateways, "fewer than 100 orders were served");
    }
    finish(&record, &mut gateways, refused_and_run > 0);
}

/// Sends orders one after the other. An order that was answered with a promise that it has not run
/// is sent once more, as a new request on a new connection.
fn orders(to: std::net::SocketAddr, number: usize, record: &Record) -> Vec<(String, String, u16)> {
    let mut answers = Vec::new();
    for count in 0..80 {
        let order = format!("order {number}-{count}");
        for _ in 0..2 {
            let id = new_id();
            let call = || {
                let mut client = Client::connect(to, 4_000).ok()?;
                client.call("POST", "/orders/new", &id, 3_000, order.as_bytes()).ok()?
            };
            let status = call().map_or(0, |answer| answer.status());
            record.note(format!("client: {order}, request {id}: {status}"));
            answers.push((order.clone(), id, status));
            if !matches!(status, 408 | 421 | 429 | 503) {
                break;
            }
        }
        sleep_ms(25);
    }
    answers
}
