//! A backend server turns a part of its requests away and sends surplus answers: does a request that may run once run twice?

#[path = "../standin/standin.rs"]
mod standin;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

use standin::*;

const HOST: &str = "club.example";
/// The services, each with one backend server, a route and callers of its own.
const SERVICES: [&str; 3] = ["lobby", "board", "archive"];
/// The requests that a backend server works on at once, and those that it queues.
const SLOTS: usize = 3;
const QUEUE: usize = 12;
/// The time that a request takes, from and to.
const WORK_MS: (f64, f64) = (20.0, 60.0);
/// A backend server turns a part of its requests away (503 with X-Not-Executed): which part, and for how long of a period.
const SHED_SHARE: f64 = 0.45;
const SHED_S: f64 = 8.5;
const SHED_PERIOD_S: f64 = 9.0;
/// The largest share of its answers that a surplus copy follows, and for how long of a period of its own.
const SURPLUS_SHARE: f64 = 0.03;
/// The chance of a surplus copy while the share allows one.
const SURPLUS_CHANCE: f64 = 0.06;
const SURPLUS_S: f64 = 5.0;
const SURPLUS_PERIOD_S: f64 = 5.5;
/// The callers' requests a second, to each service.
const PER_S: f64 = 14.0;
const RUN_S: f64 = 99.0;

/// The backend server of a service.
struct Backend {
    name: String,
    record: Arc<Record>,
    random: Random,
    trouble: bool,
    sheds: bool,
    /// Requests at work and queued.
    load: Mutex<(usize, VecDeque<u64>)>,
    changed: Condvar,
    ticket: AtomicUsize,
    /// How often each request ran.
    runs: Mutex<HashMap<String, u32>>,
    answers: AtomicUsize,
    /// The answers given while surplus copies may follow, and the copies.
    exposed: AtomicUsize,
    surplus: AtomicUsize,
    surplus_rejections: AtomicUsize,
}

impl Backend {
    /// Tells whether this is one of the first seconds of a period.
    fn is_within(&self, seconds: f64, period_s: f64) -> bool {
        self.record.now_s() % period_s < seconds
    }

    /// Waits for a slot; false if the backend server is full.
    fn enter(&self) -> bool {
        let ticket = self.ticket.fetch_add(1, Ordering::Relaxed) as u64;
        let mut load = self.load.lock().unwrap();
        if load.0 < SLOTS && load.1.is_empty() {
            load.0 += 1;
            return true;
        }
        if load.1.len() >= QUEUE {
            return false;
        }
        load.1.push_back(ticket);
        while load.0 >= SLOTS || load.1.front() != Some(&ticket) {
            load = self.changed.wait(load).unwrap();
        }
        load.1.pop_front();
        load.0 += 1;
        self.changed.notify_all();
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().0 -= 1;
        self.changed.notify_all();
    }

    /// Tells whether a surplus copy follows an answer, so that the share of these stays within its limit.
    fn may_copy(&self) -> bool {
        let exposed = self.exposed.fetch_add(1, Ordering::Relaxed) as f64 + 1.0;
        let copies = self.surplus.load(Ordering::Relaxed) as f64 + 1.0;
        copies <= exposed * SURPLUS_SHARE && self.random.next() < SURPLUS_CHANCE
    }

    fn talk(&self, stream: TcpStream) -> std::io::Result<()> {
        let port = stream.peer_addr()?.port();
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // The surplus answer that is still to come on this connection.
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = read_message(&mut reader)? {
            let id = request.id().to_owned();
            if request.target() == "/health" {
                writer.write_all(&encode(
                    "HTTP/1.1 200 OK",
                    &[("X-Instance-Id", &self.name)],
                    b"",
                ))?;
                continue;
            }
            if let Some(bytes) = late.take() {
                self.record.note(&format!("{}: surplus copy of the last answer, in the place of the answer to {id} (connection {port})", self.name));
                writer.write_all(&bytes)?;
            }
            if request.field("x-expect-instance").is_some_and(|instance| instance != self.name) {
                writer.write_all(&encode(
                    "HTTP/1.1 421 Misdirected Request",
                    &[("X-Request-Id", &id), ("X-Instance-Id", &self.name)],
                    b"",
                ))?;
                continue;
            }
            let is_shed = self.sheds
                && self.is_within(SHED_S, SHED_PERIOD_S)
                && self.random.next() < SHED_SHARE;
            let has_run = !is_shed && self.enter();
            let bytes = if has_run {
                let runs = {
                    let mut runs = self.runs.lock().unwrap();
                    let runs = runs.entry(id.clone()).or_default();
                    *runs += 1;
                    *runs
                };
                self.record
                    .note(&format!("{}: runs {id}, run {runs} (connection {port})", self.name));
                sleep_ms((WORK_MS.0 + self.random.next() * (WORK_MS.1 - WORK_MS.0)) as u64);
                self.leave();
                let body = format!("done {id}");
                encode(
                    "HTTP/1.1 200 OK",
                    &[("X-Request-Id", &id), ("X-Server-Stamp", &self.name)],
                    body.as_bytes(),
                )
            } else {
                self.record.note(&format!("{}: turns {id} away (connection {port})", self.name));
                encode(
                    "HTTP/1.1 503 Service Unavailable",
                    &[
                        ("X-Request-Id", &id),
                        ("X-Not-Executed", "1"),
                        ("X-Server-Stamp", &self.name),
                    ],
                    b"full",
                )
            };
            self.answers.fetch_add(1, Ordering::Relaxed);
            if self.trouble && self.is_within(SURPLUS_S, SURPLUS_PERIOD_S) && self.may_copy() {
                self.surplus.fetch_add(1, Ordering::Relaxed);
                self.surplus_rejections.fetch_add(usize::from(!has_run), Ordering::Relaxed);
                late = Some(bytes.clone());
            }
            writer.write_all(&bytes)?;
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&format!("{folder}/record.txt"));
    // With TROUBLE=shed, requests are turned away and no surplus answers sent.
    let only_sheds = std::env::var("TROUBLE").is_ok_and(|value| value == "shed");
    let sheds = has_trouble();
    let trouble = sheds && !only_sheds;
    record.note(&format!("requests are turned away: {sheds}; surplus answers: {trouble}"));
    let work = work_folder("1");

    let store = Store::new(|_| Treat::Serve);
    let prefixes = SERVICES.map(|service| format!("/{service}/"));
    let routes: Vec<Route<'_>> = SERVICES
        .iter()
        .zip(&prefixes)
        .map(|(service, prefix)| Route {
            prefix,
            kind: "unsafe",
            service,
            timeout_s: 1.5,
            attempts: 2,
        })
        .collect();
    store.put("config", "main", &config(1, HOST, &routes, &SERVICES));
    let mut backends = Vec::new();
    for (number, service) in SERVICES.iter().enumerate() {
        let backend = Arc::new(Backend {
            name: format!("i-{service}"),
            record: Arc::clone(&record),
            random: Random::new(u64::from(std::process::id()) * 7 + number as u64),
            trouble,
            sheds,
            load: Mutex::default(),
            changed: Condvar::new(),
            ticket: AtomicUsize::new(0),
            runs: Mutex::default(),
            answers: AtomicUsize::new(0),
            exposed: AtomicUsize::new(0),
            surplus: AtomicUsize::new(0),
            surplus_rejections: AtomicUsize::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let served = Arc::clone(&backend);
        serve(listener, move |stream| {
            let _ = served.talk(stream);
        });
        store.put("servers", &backend.name, &entry(service, address, SLOTS as u32, "ready"));
        backends.push(backend);
    }

    let places: Vec<Place> = (1..=3).map(Place::choose).collect();
    let seeds: Vec<_> = places.iter().map(Place::peers).collect();
    let mut gateways: Vec<Gateway> = places
        .iter()
        .enumerate()
        .map(|(door, place)| Gateway::start(&work, place, store.open_door(door), &seeds, true))
        .collect();
    if !gateways.iter().all(Gateway::until_ready) {
        record.say("a gateway isn't ready; the case couldn't run");
        return ExitCode::from(2);
    }
    sleep_ms(3_500);

    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    // Callers use the addresses that they are told, and ask again now and then.
    let mut callers = gateways[0].resolve();
    let mut asked_s = record.now_s();
    let random = Random::new(1);
    let begin_s = record.now_s();
    let mut number = 0;
    let mut threads = Vec::new();
    while record.now_s() - begin_s < RUN_S {
        let wait_ms = -1_000.0 / (PER_S * SERVICES.len() as f64) * (1.0 - random.next()).ln();
        sleep_ms(wait_ms.min(1_000.0) as u64);
        if callers.is_empty() || record.now_s() - asked_s > 1.5 {
            asked_s = record.now_s();
            let told = gateways[number % gateways.len()].resolve();
            callers = if told.is_empty() { callers } else { told };
        }
        if callers.is_empty() {
            continue;
        }
        number += 1;
        let id = format!("q{number:05}");
        let service = SERVICES[number % SERVICES.len()];
        let to = callers[(random.next() * callers.len() as f64) as usize];
        let (answers, record) = (Arc::clone(&answers), Arc::clone(&record));
        threads.push(thread::spawn(move || {
            let target = format!("POST /{service}/{id} HTTP/1.1");
            let fields = [
                ("Host", HOST),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "3000"),
                ("Connection", "close"),
            ];
            record.note(&format!("caller: sends {id} for {service} to {to}"));
            let answer = match ask(to, &encode(&target, &fields, b"seat=1"), 4_000) {
                Ok(answer) => format!(
                    "{} {}",
                    answer.status(),
                    answer.field("leverstream-error").unwrap_or("-")
                ),
                Err(error) => format!("none ({error})"),
            };
            record.note(&format!("caller: {id} is answered {answer}"));
            answers.lock().unwrap().insert(id, answer);
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let has_died = gateways.iter_mut().any(Gateway::has_ended);
    drop(gateways);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }

    let sum = |count: fn(&Backend) -> &AtomicUsize| -> usize {
        backends.iter().map(|backend| count(backend).load(Ordering::Relaxed)).sum()
    };
    let runs: BTreeMap<String, u32> =
        backends.iter().flat_map(|backend| backend.runs.lock().unwrap().clone()).collect();
    let answers = answers.lock().unwrap();
    let mut ends: BTreeMap<&str, u32> = BTreeMap::new();
    answers.values().for_each(|answer| *ends.entry(answer.as_str()).or_default() += 1);
    record.say(&format!("requests {number}, answers to callers {ends:?}"));
    record.say(&format!(
        "answers of the backend servers {}, {} of them in the seconds with surplus copies; copies {}, of these of 503 {}",
        sum(|backend| &backend.answers),
        sum(|backend| &backend.exposed),
        sum(|backend| &backend.surplus),
        sum(|backend| &backend.surplus_rejections)
    ));
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    for (id, runs) in &twice {
        record.say(&format!("TWICE: {id} ran {runs} times; its caller got {:?}", answers.get(*id)));
    }
    let refused = answers.iter().filter(|(id, answer)| {
        (answer.starts_with("503") || answer.starts_with("429")) && runs.contains_key(*id)
    });
    let refused: Vec<_> = refused.collect();
    for (id, answer) in &refused {
        record.say(&format!("REFUSED: {id} ran, and its caller got {answer}"));
    }
    if has_died {
        record.say("a gateway ended by itself");
    }
    record.say(&format!("ran twice: {}, refused though run: {}", twice.len(), refused.len()));
    if twice.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}
