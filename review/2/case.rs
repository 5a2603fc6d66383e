//! A backend server answers long uploads before it has read them, without a length, and breaks a part of these answers off
//! with a reset. Does a caller get a part of an answer that looks whole?

#[path = "../standin/standin.rs"]
mod standin;

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use standin::*;

const HOST: &str = "books.example";
/// The length of an upload, and how much of it a faulty answer waits for.
const UPLOAD_BYTES: usize = 360_000;
const READ_BYTES: usize = 1_000;
/// The time that a sound answer takes.
const WORK_MS: u64 = 160;
/// The length of an answer's body, and how much of a broken one is sent.
const ANSWER_BYTES: usize = 20_000;
const SENT_BYTES: usize = 8_000;
/// The faulty ones of four backend servers, the share of their answers that are broken off, and for how long of a period.
const FAULTY: u64 = 2;
const BROKEN_SHARE: f64 = 0.05;
const BROKEN_S: f64 = 5.0;
const PERIOD_S: f64 = 6.0;
const PER_S: f64 = 40.0;
const RUN_S: f64 = 80.0;

struct Backend {
    name: String,
    record: Arc<Record>,
    random: Random,
    trouble: bool,
    share: f64,
    broken: Mutex<HashMap<String, usize>>,
    answers: AtomicUsize,
}

/// A figure that the environment may change, to look at the case by hand.
fn figure(name: &str, usual: f64) -> f64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn body_of(id: &str) -> Vec<u8> {
    let mut body = format!("answer to {id} ").into_bytes();
    body.resize(ANSWER_BYTES, b'.');
    body
}

impl Backend {
    fn talk(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(8 << 10, stream);
        loop {
            let mut head = Message::default();
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            head.first = line.trim_end().to_owned();
            loop {
                line.clear();
                if reader.read_line(&mut line)? == 0 || line.trim_end().is_empty() {
                    break;
                }
                if let Some((name, value)) = line.trim_end().split_once(':') {
                    head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
                }
            }
            let id = head.id().to_owned();
            let length: usize =
                head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if head.field("x-expect-instance").is_some_and(|instance| instance != self.name) {
                writer.write_all(&encode(
                    "HTTP/1.1 421 Misdirected Request",
                    &[("X-Request-Id", &id), ("Connection", "close")],
                    b"",
                ))?;
                return Ok(());
            }
            self.answers.fetch_add(1, Ordering::Relaxed);
            let is_broken = self.trouble
                && self.record.now_s() % PERIOD_S < BROKEN_S
                && self.random.next() < self.share;
            let body = body_of(&id);
            if is_broken {
                let mut part = vec![0; (figure("READ", READ_BYTES as f64) as usize).min(length)];
                reader.read_exact(&mut part)?;
                self.broken.lock().unwrap().insert(id.clone(), SENT_BYTES);
                let status =
                    if self.random.next() < 0.5 { "200 OK" } else { "413 Payload Too Large" };
                self.record.note(&format!("backend {}: answers {id} with {status} without a length before it is in, and breaks off after {SENT_BYTES} of {ANSWER_BYTES} bytes with a reset", self.name));
                let mut bytes = format!("HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Stamp: {}\r\nConnection: close\r\n\r\n", self.name).into_bytes();
                bytes.extend_from_slice(&body[..SENT_BYTES]);
                writer.write_all(&bytes)?;
                // With the rest of the upload unread, the end of the connection is a reset anyway; this leaves no doubt.
                assert!(end_with_reset(&writer), "the connection can be reset");
                return Ok(());
            }
            let mut left = vec![0; length];
            reader.read_exact(&mut left)?;
            sleep_ms(WORK_MS);
            self.record.note(&format!("backend {}: answers {id} whole", self.name));
            writer.write_all(&encode(
                "HTTP/1.1 200 OK",
                &[("X-Request-Id", &id), ("X-Server-Stamp", &self.name)],
                &body,
            ))?;
        }
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&format!("{folder}/record.txt"));
    let trouble = has_trouble();
    let share = figure("SHARE", BROKEN_SHARE);
    record.note(&format!("trouble: {trouble}"));
    let work = work_folder("2");

    let store = Store::new(|_| Treat::Serve);
    let routes = [Route {
        prefix: "/scans/",
        kind: "upload",
        service: "provenance",
        timeout_s: 3.0,
        attempts: 2,
    }];
    store.put("config", "main", &config(1, HOST, &routes, &["provenance"]));
    let mut backends = Vec::new();
    for number in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let name = format!("i-{number}");
        let backend = Arc::new(Backend {
            name: name.clone(),
            record: Arc::clone(&record),
            random: Random::new(u64::from(std::process::id()) * 7 + number),
            trouble: trouble && number < figure("FAULTY", FAULTY as f64) as u64,
            share,
            broken: Mutex::default(),
            answers: AtomicUsize::new(0),
        });
        let served = Arc::clone(&backend);
        serve(listener, move |stream| {
            let _ = served.talk(stream);
        });
        store.put("servers", &name, &entry("provenance", address, 2, "ready"));
        backends.push(backend);
    }
    let places: Vec<Place> = (1..=2).map(Place::choose).collect();
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

    let upload = Arc::new(vec![b'u'; UPLOAD_BYTES]);
    let answers: Arc<Mutex<BTreeMap<String, (u16, usize, bool, String)>>> = Arc::default();
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let begin_s = record.now_s();
    let mut number = 0;
    let mut threads = Vec::new();
    while record.now_s() - begin_s < figure("RUN", RUN_S) {
        sleep_ms((1_000.0 / PER_S) as u64);
        number += 1;
        let id = format!("u{number:05}");
        let to = callers[number % callers.len()];
        let (answers, record, upload) =
            (Arc::clone(&answers), Arc::clone(&record), Arc::clone(&upload));
        threads.push(thread::spawn(move || {
            let target = format!("POST /scans/{id} HTTP/1.1");
            let fields = [
                ("Host", HOST),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "4000"),
                ("Connection", "close"),
            ];
            record.note(&format!("caller: sends {id}, {} bytes, to {to}", upload.len()));
            let answer = match ask(to, &encode(&target, &fields, &upload), 5_000) {
                Ok(answer) => {
                    let is_whole = answer.body == body_of(&id);
                    let kind = answer.field("leverstream-error").unwrap_or("-").to_owned();
                    (answer.status(), answer.body.len(), is_whole, kind)
                }
                Err(error) => (0, 0, false, format!("{:?}", error.kind())),
            };
            record.note(&format!(
                "caller: {id} is answered {} with {} bytes ({})",
                answer.0, answer.1, answer.3
            ));
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

    let answers = answers.lock().unwrap();
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    answers
        .values()
        .for_each(|(status, _, _, kind)| *ends.entry(format!("{status} {kind}")).or_default() += 1);
    let all: usize = backends.iter().map(|backend| backend.answers.load(Ordering::Relaxed)).sum();
    let broken: usize = backends.iter().map(|backend| backend.broken.lock().unwrap().len()).sum();
    record.say(&format!("uploads {number}, answers to callers {ends:?}"));
    record.say(&format!("answers of backend servers {all}, of them broken off {broken}"));
    let is_backend = |status: &u16| matches!(*status, 200 | 413);
    let cut: Vec<_> = answers
        .iter()
        .filter(|(_, (status, _, is_whole, _))| is_backend(status) && !is_whole)
        .collect();
    for (id, (status, bytes, _, _)) in &cut {
        record.say(&format!("MIXED: the caller of {id} got {status} with a whole body of {bytes} bytes; its backend server's has {ANSWER_BYTES}"));
    }
    if has_died {
        record.say("a gateway ended by itself");
    }
    record.say(&format!("parts of answers that looked whole: {}", cut.len()));
    if cut.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}
