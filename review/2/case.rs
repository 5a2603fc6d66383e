//! A backend server answers long uploads before it has read them, without a length, and breaks a part of these answers off
//! with a reset. Does a caller get a part of an answer that looks whole?
//!
//! What matters is that the reset arrives while the gateway still writes. So a faulty answer is one to the first request of a
//! new connection, which the backend server awaits at once, and it is sent as soon as the head of the request is there.

#[path = "../standin/standin.rs"]
mod standin;

use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::*;

const HOST: &str = "books.example";
const UPLOAD_BYTES: usize = 360_000;
/// The most of a request that is read before a faulty answer, its head among it.
const READ_BYTES: usize = 1_000;
/// How long a backend server that is about to break an answer off awaits the request on a new connection.
const AWAIT_MS: u64 = 20;
/// The time that a sound answer takes.
const WORK_MS: u64 = 160;
/// The share of sound answers after which a backend server closes the connection, as backend servers do now and then.
const CLOSE_SHARE: f64 = 0.1;
/// The length of an answer's body, and how much of a broken one is sent.
const ANSWER_BYTES: usize = 20_000;
const SENT_BYTES: usize = 8_000;
/// The faulty ones of four backend servers, the largest share of their answers that are broken off, and for how long of a
/// period.
const FAULTY: u64 = 2;
const BROKEN_SHARE: f64 = 0.05;
const BROKEN_S: f64 = 5.0;
const PERIOD_S: f64 = 6.0;
const PER_S: f64 = 40.0;
const RUN_S: f64 = 40.0;

struct Backend {
    name: String,
    record: Arc<Record>,
    random: Random,
    is_faulty: bool,
    /// The answers, the broken ones among them.
    answers: AtomicUsize,
    broken: AtomicUsize,
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
    /// Serves each connection; breaks off the first answer of some new ones.
    fn serve(self: &Arc<Backend>, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let stream = match self.may_break_off() {
                true => match self.break_off(stream) {
                    Ok(Some(stream)) => stream,
                    Ok(None) | Err(_) => continue,
                },
                false => stream,
            };
            let backend = Arc::clone(self);
            thread::spawn(move || {
                let _ = backend.talk(stream);
            });
        }
    }

    /// Tells whether the next answer may be broken off: the disturbance is on, and no larger share was broken so far.
    fn may_break_off(&self) -> bool {
        let [broken, answers] =
            [&self.broken, &self.answers].map(|count| count.load(Ordering::Relaxed) as f64 + 1.0);
        self.is_faulty
            && self.record.now_s() % PERIOD_S < BROKEN_S
            && broken <= answers * figure("SHARE", BROKEN_SHARE)
    }

    /// Answers the first request of a new connection before it is in, without a length, and breaks off with a reset. Returns
    /// the connection if no request comes in time.
    fn break_off(&self, mut stream: TcpStream) -> std::io::Result<Option<TcpStream>> {
        stream.set_nonblocking(true)?;
        let until = Instant::now() + Duration::from_millis(AWAIT_MS);
        let mut bytes = [0; READ_BYTES];
        let mut count = 0;
        let head = loop {
            match stream.read(&mut bytes[count..]) {
                Ok(0) => return Ok(None),
                Ok(more) => count += more,
                Err(error) if error.kind() != ErrorKind::WouldBlock => return Err(error),
                Err(_) if count == 0 && Instant::now() >= until => {
                    stream.set_nonblocking(false)?;
                    return Ok(Some(stream));
                }
                Err(_) => std::hint::spin_loop(),
            }
            let text = String::from_utf8_lossy(&bytes[..count]);
            if let Some((head, _)) = text.split_once("\r\n\r\n") {
                break head.to_ascii_lowercase();
            }
        };
        let field = |line: &str| line.strip_prefix("x-request-id: ").map(str::to_owned);
        let id = head.lines().find_map(field).unwrap_or_default();
        let status = if self.random.next() < 0.5 { "200 OK" } else { "413 Payload Too Large" };
        let mut part = format!(
            "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Stamp: {}\r\nConnection: close\r\n\r\n",
            self.name
        )
        .into_bytes();
        part.extend_from_slice(&body_of(&id)[..SENT_BYTES]);
        // With the rest of the upload unread, the end of the connection is a reset anyway; this leaves no doubt.
        assert!(end_with_reset(&stream), "the connection can be reset");
        stream.write_all(&part)?;
        drop(stream);
        self.answers.fetch_add(1, Ordering::Relaxed);
        self.broken.fetch_add(1, Ordering::Relaxed);
        self.record.note(&format!("backend {}: answers {id} with {status} without a length before it is in, and breaks off after {SENT_BYTES} of {ANSWER_BYTES} bytes with a reset", self.name));
        Ok(None)
    }

    fn talk(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(8 << 10, stream);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.id();
            let fields = [("X-Request-Id", id), ("X-Server-Stamp", self.name.as_str())];
            if request.field("x-expect-instance").is_some_and(|instance| instance != self.name) {
                let fields = [fields[0], ("Connection", "close")];
                return writer.write_all(&encode("HTTP/1.1 421 Misdirected Request", &fields, b""));
            }
            sleep_ms(WORK_MS);
            self.answers.fetch_add(1, Ordering::Relaxed);
            self.record.note(&format!("backend {}: answers {id} whole", self.name));
            let closes = self.random.next() < figure("CLOSE", CLOSE_SHARE);
            let connection = if closes { "close" } else { "keep-alive" };
            let fields = [fields[0], fields[1], ("Connection", connection)];
            writer.write_all(&encode("HTTP/1.1 200 OK", &fields, &body_of(id)))?;
            if closes {
                return Ok(());
            }
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&format!("{folder}/record.txt"));
    let trouble = has_trouble();
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
            is_faulty: trouble && number < FAULTY,
            answers: AtomicUsize::new(0),
            broken: AtomicUsize::new(0),
        });
        let served = Arc::clone(&backend);
        thread::spawn(move || served.serve(&listener));
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
    let broken: usize = backends.iter().map(|backend| backend.broken.load(Ordering::Relaxed)).sum();
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
