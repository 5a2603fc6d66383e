//! A third of the gateways of a hall lose the store, the ones that read it last first. Do the others, which reach it, learn of a
//! new configuration?

#[path = "../standin/standin.rs"]
mod standin;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;

use standin::*;

const HOST: &str = "club.example";
const VMS: usize = 12;
/// How many gateways each of two cuts takes, and when they begin and end.
const CUT_VMS: usize = 2;
const CUTS_AT_S: [f64; 2] = [0.0, 1.5];
const CUTS_END_S: f64 = 12.0;
/// When the new configuration is written, and how long it is looked at.
const CONFIG_AT_S: f64 = 4.0;
const RUN_S: f64 = 18.0;
/// The bounds of the deployment.
const CONFIG_APPLY_S: f64 = 2.0;
/// What a request may take to a gateway, so that none is held against it that it got in time.
const MARGIN_S: f64 = 0.3;

/// What the store has seen of the gateways.
#[derive(Default)]
struct Seen {
    /// When each gateway last read the list of backend servers or asked for its changes.
    read_s: BTreeMap<usize, f64>,
    /// The gateways that are cut off.
    cut: BTreeSet<usize>,
}

fn backend(name: &'static str, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let record = Arc::clone(record);
    serve(listener, move |stream| {
        let mut writer = stream.try_clone().expect("a handle");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let id = request.id().to_owned();
            if request.field("x-expect-instance").is_some_and(|instance| instance != name) {
                let fields = [("X-Request-Id", id.as_str())];
                let _ = writer.write_all(&encode("HTTP/1.1 421 Misdirected Request", &fields, b""));
                continue;
            }
            record.note(&format!("backend {name}: runs {id}"));
            sleep_ms(20);
            let fields = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", name)];
            if writer.write_all(&encode("HTTP/1.1 200 OK", &fields, name.as_bytes())).is_err() {
                return;
            }
        }
    });
    address
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&format!("{folder}/record.txt"));
    let trouble = has_trouble();
    record.note(&format!("trouble: {trouble}"));
    let work = work_folder("3");

    let seen: Arc<Mutex<Seen>> = Arc::default();
    let store = {
        let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
        Store::new(move |call| {
            let mut seen = seen.lock().unwrap();
            if seen.cut.contains(&call.door) {
                return Treat::Close;
            }
            if call.kind == "servers" {
                seen.read_s.insert(call.door, record.now_s());
            }
            Treat::Serve
        })
    };
    let (old, new) = (backend("i-old", &record), backend("i-new", &record));
    let routes = |service| {
        [Route { prefix: "/register/", kind: "unsafe", service, timeout_s: 1.5, attempts: 2 }]
    };
    let services = ["lobby", "lobby-new"];
    store.put("config", "main", &config(1, HOST, &routes("lobby"), &services));
    store.put("servers", "i-old", &entry("lobby", old, 30, "ready"));
    store.put("servers", "i-new", &entry("lobby-new", new, 30, "ready"));

    let places: Vec<Place> = (1..=VMS).map(Place::choose).collect();
    let seeds: Vec<_> = places.iter().take(3).map(Place::peers).collect();
    let mut gateways: Vec<Gateway> = places
        .iter()
        .enumerate()
        .map(|(door, place)| Gateway::start(&work, place, store.open_door(door), &seeds, true))
        .collect();
    if !gateways.iter().all(Gateway::until_ready) {
        record.say("a gateway isn't ready; the case couldn't run");
        return ExitCode::from(2);
    }
    sleep_ms(8_000);

    // The cuts, each of the gateways that read the store last of those that are not cut off.
    let begin_s = record.now_s();
    let cutter = {
        let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
        thread::spawn(move || {
            for at_s in CUTS_AT_S {
                while record.now_s() - begin_s < at_s {
                    sleep_ms(5);
                }
                let mut seen = seen.lock().unwrap();
                let mut readers: Vec<(usize, f64)> =
                    seen.read_s.iter().map(|(door, at_s)| (*door, *at_s)).collect();
                readers.retain(|(door, _)| !seen.cut.contains(door));
                readers.sort_by(|one, other| other.1.total_cmp(&one.1));
                let chosen: Vec<usize> =
                    readers.iter().take(CUT_VMS).map(|(door, _)| *door).collect();
                record.note(&format!("cut off from the store, with resets: gateways {chosen:?}"));
                if trouble {
                    seen.cut.extend(chosen);
                }
            }
            while record.now_s() - begin_s < CUTS_END_S {
                sleep_ms(5);
            }
            let mut seen = seen.lock().unwrap();
            record.note("the cuts end");
            std::mem::take(&mut seen.cut)
        })
    };

    // Callers use all gateways all the while.
    let mut threads = Vec::new();
    for (number, gateway) in gateways.iter().enumerate() {
        let (record, to) = (Arc::clone(&record), gateway.callers);
        threads.push(thread::spawn(move || {
            let mut answers: Vec<(f64, String)> = Vec::new();
            while record.now_s() - begin_s < RUN_S {
                let id = format!("vm{number}-{:03}", answers.len());
                let target = format!("POST /register/{id} HTTP/1.1");
                let fields = [
                    ("Host", HOST),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "3000"),
                    ("Connection", "close"),
                ];
                let sent_s = record.now_s();
                let answer = ask(to, &encode(&target, &fields, b"seat=1"), 4_000);
                let by = answer.map_or("none".to_owned(), |answer| {
                    format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body))
                });
                record.note(&format!("caller: {id}, sent at {sent_s:.3}, is answered {by}"));
                answers.push((sent_s, by));
                sleep_ms(400);
            }
            answers
        }));
    }
    while record.now_s() - begin_s < CONFIG_AT_S {
        sleep_ms(5);
    }
    store.put("config", "main", &config(2, HOST, &routes("lobby-new"), &services));
    let acked_s = record.now_s();
    record.note("operator: version 2, which moves the route to lobby-new, is acknowledged");
    let answers: Vec<Vec<(f64, String)>> =
        threads.into_iter().map(|thread| thread.join().expect("a caller")).collect();
    let cut = cutter.join().expect("the cuts");
    let has_died = gateways.iter_mut().any(Gateway::has_ended);
    drop(gateways);
    let _ = std::fs::remove_dir_all(&work);

    let bound_s = acked_s + CONFIG_APPLY_S + MARGIN_S;
    let mut broken = 0;
    let mut last_s: f64 = 0.0;
    let mut stale = BTreeSet::new();
    for (number, answers) in answers.iter().enumerate().filter(|(number, _)| !cut.contains(number))
    {
        for (sent_s, by) in
            answers.iter().filter(|(sent_s, by)| *sent_s > bound_s && by.contains("i-old"))
        {
            broken += 1;
            last_s = last_s.max(*sent_s);
            stale.insert(number);
            record.note(&format!("CONFIG: gateway {number}, request sent at {sent_s:.3}: {by}"));
        }
    }
    record.say(&format!("gateways cut off: {cut:?}; version 2 acknowledged at {acked_s:.3}, the bound is {bound_s:.3}"));
    record.say(&format!(
        "requests that gateways which were never cut off ran by the old service later than the bound: {broken}, at gateways {stale:?}, the last sent {:.1} s after the acknowledgement",
        (last_s - acked_s).max(0.0)
    ));
    if has_died {
        record.say("a gateway ended by itself");
    }
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) }
}
