//! What the scripts of this review share: stand-ins for the platform's store and for backend servers,
//! a client, the gateway's processes, and the record. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sleeps for some milliseconds.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Tells whether the disruption of the case is to be caused (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// The record of a run, which is written to `record.txt`.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

/// The processes that this run has started and not ended, so that the watchdog can end them.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The longest that a run may take, in seconds.
const LONGEST_S: u64 = 110;

impl Record {
    /// Begins a record, and a watchdog that ends a run that takes too long.
    pub fn open() -> Arc<Record> {
        let record = Arc::new(Record { began: Instant::now(), lines: Mutex::default() });
        let watched = Arc::clone(&record);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(LONGEST_S));
            for id in STARTED.lock().unwrap().iter() {
                unsafe { kill(*id as i32, SIGKILL) };
            }
            watched.note("RESULT: the case could not run: it took too long");
            watched.write();
            std::process::exit(2);
        });
        record
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>8.3} s  {}", self.began.elapsed().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes all lines to the file that the first argument of the program names.
    pub fn write(&self) {
        let path = std::env::args().nth(1).expect("the path of the record is the first argument");
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        std::fs::write(path, text).expect("the record is written");
    }
}

/// Ends a run: writes the record and exits with 1 if the rule was broken, 0 if it held.
pub fn finish(record: &Record, gateways: &mut [Gateway], broken: bool) -> ! {
    for gateway in gateways {
        gateway.end();
    }
    record.note(if broken { "RESULT: the rule is broken" } else { "RESULT: the rule held" });
    record.write();
    std::process::exit(i32::from(broken));
}

/// Ends a run that could not do what the case needs.
pub fn give_up(record: &Record, gateways: &mut [Gateway], why: &str) -> ! {
    for gateway in gateways {
        if let Some(status) = gateway.exited() {
            record.note(format!("{} has ended ({status}): {}", gateway.name, gateway.log().lines().last().unwrap_or_default()));
        }
        gateway.end();
    }
    record.note(format!("RESULT: the case could not run: {why}"));
    record.write();
    std::process::exit(2);
}

/// Returns addresses on which nothing listens now, each with another port.
pub fn free_addresses<const N: usize>(ip: &str) -> [SocketAddr; N] {
    // All are bound before the first is given up, or two could be the same.
    let listeners: [TcpListener; N] = std::array::from_fn(|_| TcpListener::bind((ip, 0)).unwrap());
    listeners.each_ref().map(|listener| listener.local_addr().unwrap())
}

// ---------------------------------------------------------------- HTTP

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The parts of the first line.
    pub first: Vec<String>,
    /// The header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn id(&self) -> String {
        self.field("x-request-id").unwrap_or("-").to_owned()
    }
}

/// Reads messages from a stream.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> std::io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads the head of a message; none at the end of the connection before its first byte.
    pub fn read_head(&mut self) -> std::io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("");
                let first = first.splitn(3, ' ').map(str::to_owned).collect();
                let fields = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
                });
                return Ok(Some(Message { first, fields: fields.collect(), body: Vec::new() }));
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads so many bytes.
    pub fn read_exactly(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a whole message whose length is announced.
    pub fn read_message(&mut self) -> std::io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        let length = message.field("content-length").and_then(|text| text.parse().ok());
        message.body = self.read_exactly(length.unwrap_or(0))?;
        Ok(Some(message))
    }
}

// ---------------------------------------------------------------- the store

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Sound,
    /// Answers 503.
    Busy,
    /// Answers nothing.
    Silent,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, whether removed, the object's text.
    events: Vec<(u64, String, String)>,
    mode: StoreMode,
    /// The doors whose calls are left unanswered.
    cut: Vec<usize>,
    /// When each door was first used since `watch_doors`, in milliseconds.
    first_calls: BTreeMap<usize, u64>,
}

/// The platform's store, in this process.
///
/// It has one address, or several of them (doors), by which it knows who calls: one for each gateway.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    pub doors: Vec<SocketAddr>,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Store {
        Store::start_with_doors(record, 1)
    }

    /// Starts a store with several addresses.
    pub fn start_with_doors(record: &Arc<Record>, count: usize) -> Store {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let state = StoreState {
            revision: 1,
            objects: BTreeMap::new(),
            events: Vec::new(),
            mode: StoreMode::Sound,
            cut: Vec::new(),
            first_calls: BTreeMap::new(),
        };
        let doors: Vec<SocketAddr> =
            listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let store = Store {
            address: doors[0],
            doors,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: Arc::clone(record),
        };
        for (door, listener) in listeners.into_iter().enumerate() {
            let served = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let served = served.clone();
                    thread::spawn(move || served.serve(stream, door));
                }
            });
        }
        store
    }

    /// Leaves the calls at some doors unanswered, as a silent cut does.
    pub fn cut(&self, doors: &[usize]) {
        self.record.note(format!("cut off from the store are the gateways {doors:?} (counted from 0)"));
        self.state.0.lock().unwrap().cut = doors.to_vec();
    }

    /// Forgets who has called.
    pub fn watch_doors(&self) {
        self.state.0.lock().unwrap().first_calls.clear();
    }

    /// Returns the doors in the order of their first calls since `watch_doors`.
    pub fn doors_by_first_call(&self) -> Vec<usize> {
        let state = self.state.0.lock().unwrap();
        let mut calls: Vec<(u64, usize)> =
            state.first_calls.iter().map(|(door, at_ms)| (*at_ms, *door)).collect();
        calls.sort_unstable();
        calls.into_iter().map(|(_, door)| door).collect()
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.record.note(format!("the store is now {mode:?}"));
        self.state.0.lock().unwrap().mode = mode;
    }

    fn text(name: &str, object: &Object) -> String {
        let Object { revision, created, spec } = object;
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }

    /// Creates or replaces an object; returns its text.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> String {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |object| object.created);
        let object = Object { revision, created, spec: spec.to_owned() };
        let text = Store::text(name, &object);
        state.objects.insert(key, object);
        let event = format!("{{\"removed\":false,\"object\":{text}}}");
        state.events.push((revision, kind.to_owned(), event));
        self.state.1.notify_all();
        text
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state.0.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        let text = Store::text(name, &Object { revision, ..object });
        let event = format!("{{\"removed\":true,\"object\":{text}}}");
        state.events.push((revision, kind.to_owned(), event));
        self.state.1.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream, door: usize) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(call)) = reader.read_message() {
            let now_ms = self.record.now_ms();
            self.state.0.lock().unwrap().first_calls.entry(door).or_insert(now_ms);
            let is_cut = || self.state.0.lock().unwrap().cut.contains(&door);
            while is_cut() {
                sleep_ms(50);
            }
            let mode = self.state.0.lock().unwrap().mode;
            match mode {
                StoreMode::Sound => {}
                StoreMode::Busy => {
                    let _ = reader.stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
                    continue;
                }
                StoreMode::Silent => loop {
                    sleep_ms(200);
                    if self.state.0.lock().unwrap().mode != StoreMode::Silent {
                        return;
                    }
                },
            }
            let (status, body) = self.answer(&call);
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if reader.stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let path = path.strip_prefix("/-/objects/").unwrap_or("").to_owned();
        let (kind, name) = path.split_once('/').map_or((path.as_str(), None), |(a, b)| (a, Some(b)));
        let param = |wanted: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == wanted).map(|(_, value)| value.to_owned()).next()
        };
        let body = String::from_utf8_lossy(&call.body).into_owned();
        match (call.method(), name) {
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, Store::text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", None) => match param("watch").and_then(|text| text.parse::<u64>().ok()) {
                Some(from) => self.watch(kind, from, param("waitMs").and_then(|t| t.parse().ok()).unwrap_or(0)),
                None => {
                    let after = param("after").unwrap_or_default();
                    let state = self.state.0.lock().unwrap();
                    let found = state.objects.iter().filter(|((k, n), _)| k == kind && *n > after);
                    let items: Vec<String> = found.map(|((_, name), object)| Store::text(name, object)).collect();
                    let as_of = state.revision;
                    (200, format!("{{\"items\":[{}],\"hasMore\":false,\"asOf\":{as_of}}}", items.join(",")))
                }
            },
            ("POST", None) => {
                let name = json_text(json_member(json_member(&body, "metadata").unwrap_or(""), "name").unwrap_or(""));
                let key = (kind.to_owned(), name.clone());
                if self.state.0.lock().unwrap().objects.contains_key(&key) {
                    return (409, "{}".to_owned());
                }
                (201, self.put(kind, &name, json_member(&body, "spec").unwrap_or("null")))
            }
            ("PUT", Some(name)) => {
                let key = (kind.to_owned(), name.to_owned());
                let wanted = json_member(json_member(&body, "metadata").unwrap_or(""), "revision").and_then(|t| t.parse::<u64>().ok());
                let held = self.state.0.lock().unwrap().objects.get(&key).map(|object| object.revision);
                match held {
                    None => (404, "{}".to_owned()),
                    Some(held) if wanted.is_some_and(|wanted| wanted != held) => (409, "{}".to_owned()),
                    Some(_) => (200, self.put(kind, name, json_member(&body, "spec").unwrap_or("null"))),
                }
            }
            ("DELETE", Some(name)) => (if self.remove(kind, name) { 200 } else { 404 }, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|(rev, k, _)| *rev > from && k == kind);
            let events: Vec<String> = events.map(|(_, _, text)| text.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                return (200, format!("{{\"events\":[{}],\"asOf\":{as_of}}}", events.join(",")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Lists a backend server as the pages have it.
    pub fn list_server(&self, id: &str, service: &str, address: SocketAddr, slots: u32, state: &str) {
        self.put("servers", id, &format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"configVersion\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmupLeftS\":0,\"sequence\":1}}"
        ));
    }
}

/// Returns the text of a member of a JSON object.
pub fn json_member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut in_text, mut index, mut key_start) = (0, false, 0, 0);
    let mut last_key = "";
    let mut value_start = None;
    while index < bytes.len() {
        let byte = bytes[index];
        if in_text {
            if byte == b'\\' {
                index += 1;
            } else if byte == b'"' {
                in_text = false;
                if depth == 1 && value_start.is_none() {
                    last_key = &text[key_start..index];
                }
            }
        } else {
            match byte {
                b'"' => {
                    in_text = true;
                    key_start = index + 1;
                }
                b'{' | b'[' => depth += 1,
                b':' if depth == 1 && value_start.is_none() => value_start = Some(index + 1),
                b',' | b'}' | b']' => {
                    let ends = depth == 1;
                    if ends && let Some(start) = value_start.take() && last_key == name {
                        return Some(text[start..index].trim());
                    }
                    if byte != b',' {
                        depth -= 1;
                    }
                }
                _ => {}
            }
        }
        index += 1;
    }
    None
}

fn json_text(text: &str) -> String {
    text.trim().trim_matches('"').to_owned()
}

// ---------------------------------------------------------------- backend servers

/// A request that has reached a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub server: String,
    pub id: String,
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub ran: bool,
}

/// What a backend server does with a request.
pub enum Act {
    /// Does not run it: 503 with `X-Not-Executed`.
    Shed,
    /// Runs it for some milliseconds and answers.
    Run { ms: u64, status: u16, body: Vec<u8> },
    /// Runs it and resets or closes the connection without an answer.
    RunAndClose { ms: u64 },
    /// Runs it and writes these bytes as they are; keeps the connection if `true`.
    RunRaw { ms: u64, bytes: Vec<u8>, keeps: bool },
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A backend server, in this process.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub open: Arc<AtomicU32>,
    pub ends: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        id: &str,
        record: &Arc<Record>,
        arrivals: &Arrivals,
        act: impl Fn(&Message) -> Act + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (open, ends) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicBool::new(false)));
        let act = Arc::new(act);
        let (record, arrivals, name) = (Arc::clone(record), Arc::clone(arrivals), id.to_owned());
        let (counted, ended) = (Arc::clone(&open), Arc::clone(&ends));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let kept = Arc::clone(&streams);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                kept.lock().unwrap().extend(stream.try_clone());
                let (record, arrivals, act) = (Arc::clone(&record), Arc::clone(&arrivals), Arc::clone(&act));
                let (name, counted) = (name.clone(), Arc::clone(&counted));
                thread::spawn(move || {
                    counted.fetch_add(1, Ordering::Relaxed);
                    serve_server(stream, &name, &record, &arrivals, &*act);
                    counted.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Server { id: id.to_owned(), address, open, ends, streams }
    }

    /// Ends the backend server: its address refuses connections, and those that are open close.
    pub fn end(&self) {
        self.ends.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which closes then.
        let _ = TcpStream::connect(self.address);
    }
}

fn serve_server(
    stream: TcpStream,
    name: &str,
    record: &Record,
    arrivals: &Arrivals,
    act: &(dyn Fn(&Message) -> Act + Send + Sync),
) {
    static STAMP: AtomicU64 = AtomicU64::new(1);
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.read_message() {
        if request.field("x-expect-instance").is_some_and(|expected| expected != name) {
            let head = format!("HTTP/1.1 421 Misdirected\r\nx-request-id: {}\r\ncontent-length: 0\r\n\r\n", request.id());
            let _ = reader.stream.write_all(head.as_bytes());
            continue;
        }
        let chosen = act(&request);
        let ran = !matches!(chosen, Act::Shed);
        let id = request.id();
        arrivals.lock().unwrap().push(Arrival {
            at_ms: record.now_ms(),
            server: name.to_owned(),
            id: id.clone(),
            method: request.method().to_owned(),
            target: request.target().to_owned(),
            fields: request.fields.clone(),
            body: request.body.clone(),
            ran,
        });
        let stamp = format!("{name}.{}", STAMP.fetch_add(1, Ordering::Relaxed));
        record.note(format!("server {name}: {} {} id {id} {}", request.method(), request.target(), if ran { "runs" } else { "is shed" }));
        let answer = match chosen {
            Act::Shed => format!("HTTP/1.1 503 Full\r\nx-request-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n").into_bytes(),
            Act::Run { ms, status, body } => {
                sleep_ms(ms);
                let mut head = String::new();
                let _ = write!(head, "HTTP/1.1 {status} X\r\nx-request-id: {id}\r\nx-server-stamp: {stamp}\r\ncontent-length: {}\r\n\r\n", body.len());
                [head.into_bytes(), body].concat()
            }
            Act::RunAndClose { ms } => {
                sleep_ms(ms);
                let _ = reader.stream.shutdown(Shutdown::Both);
                return;
            }
            Act::RunRaw { ms, bytes, keeps } => {
                sleep_ms(ms);
                let _ = reader.stream.write_all(&bytes);
                if keeps {
                    continue;
                }
                let _ = reader.stream.shutdown(Shutdown::Both);
                return;
            }
        };
        if reader.stream.write_all(&answer).is_err() {
            return;
        }
    }
}

// ---------------------------------------------------------------- the gateway

/// A gateway process, started as the deploy file says.
pub struct Gateway {
    pub name: String,
    pub ip: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    child: Option<Child>,
    folder: PathBuf,
    settings: String,
}

/// The settings of a small deployment beside the addresses.
pub struct Deployment {
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub more: String,
    pub memory_mb: u32,
    pub grace_s: u32,
}

impl Gateway {
    /// Chooses addresses for a gateway on a loopback address of its own.
    pub fn plan(number: u8) -> Gateway {
        let ip = format!("127.0.{}.{number}", 60 + (std::process::id() % 100) as u8);
        let [callers, readiness, directory, control, metrics] = free_addresses(&ip);
        let folder = std::env::temp_dir().join(format!("review2-{}-{number}", std::process::id()));
        Gateway {
            name: format!("vm-{number}"),
            callers,
            readiness,
            directory,
            control,
            metrics,
            ip: ip.clone(),
            child: None,
            folder,
            settings: String::new(),
        }
    }

    /// Writes the settings as the template of the deploy file lays them out.
    pub fn write_settings(&mut self, deployment: &Deployment, is_first: bool) {
        let Deployment { store, seeds, more, memory_mb, grace_s } = deployment;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let first = if is_first { "is_first_start = true\n" } else { "" };
        self.settings = format!(
            "vm = \"{}\"\nhall = \"hall-a\"\nregion = \"r\"\n[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\
             [peers]\nseeds = [{}]\n{first}[machine]\ncores = 0.2\nlink_mbps = 1000.0\nmax_descriptors = 4100\n[store]\naddress = \"{store}\"\n\
             [retries]\nratio = 0.2\nwindow_s = 10\nslack = 62\n[stop]\ngrace_s = {grace_s}\n[leaving]\nserves_on_s = 2\n[floor]\nshare = 0.7\n[memory]\nlimit_mb = {memory_mb}\n{more}",
            self.name, self.callers, self.readiness, self.directory, self.control, self.metrics, seeds.join(","),
        );
        std::fs::create_dir_all(&self.folder).unwrap();
        std::fs::write(self.folder.join("node.toml"), &self.settings).unwrap();
    }

    /// Starts the process.
    pub fn start(&mut self, record: &Record) {
        let program = std::env::var("GATEWAY").unwrap_or_else(|_| "target/release/leverstreamd".to_owned());
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new(program)
            .arg("gateway")
            .env("LEVERSTREAM_SETTINGS", self.folder.join("node.toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child.expect("the gateway starts");
        record.note(format!("{} starts, process {}", self.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Tells whether the process has ended, and how.
    pub fn exited(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/-/ready").is_some_and(|answer| answer.status() == 200)
    }

    pub fn until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Ends the process and removes its folder.
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            unsafe { kill(child.id() as i32, SIGCONT) };
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
        let keep = std::env::var("KEEP_LOGS").is_ok();
        if !keep {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("{}: {}", self.name, self.folder.display());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}

/// Makes one plain request.
pub fn get(to: SocketAddr, path: &str) -> Option<Message> {
    let mut client = Client::connect(to, 2_000).ok()?;
    client.stream().write_all(format!("GET {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n\r\n").as_bytes()).ok()?;
    client.read().ok().flatten()
}

// ---------------------------------------------------------------- clients

/// A client's connection.
pub struct Client {
    reader: Reader,
}

impl Client {
    pub fn connect(to: SocketAddr, timeout_ms: u64) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_millis(1_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
        stream.set_write_timeout(Some(Duration::from_millis(timeout_ms)))?;
        Ok(Client { reader: Reader::new(stream) })
    }

    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.reader.stream
    }

    /// Reads the next answer.
    pub fn read(&mut self) -> std::io::Result<Option<Message>> {
        self.reader.read_message()
    }

    /// Sends a request and reads its answer.
    pub fn call(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> std::io::Result<Option<Message>> {
        let bytes = request(method, path, id, deadline_ms, body);
        self.stream().write_all(&bytes)?;
        self.read()
    }
}

/// Builds a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let length = if body.is_empty() && method == "GET" { String::new() } else { format!("content-length: {}\r\n", body.len()) };
    let head = format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\nx-deadline-ms: {deadline_ms}\r\n{length}\r\n");
    [head.as_bytes(), body].concat()
}

/// Returns an id that no other request of the run has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    format!("{:08x}{:08x}", seed as u32, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A route of a configuration.
pub struct RouteSpec<'a> {
    pub prefix: &'a str,
    pub route_type: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub aim_s: f64,
    pub attempts: u32,
}

/// Builds a configuration.
pub fn config(version: u32, routes: &[RouteSpec<'_>], services: &[&str], more: &str) -> String {
    let rules: Vec<String> = routes.iter().map(|route| {
        let RouteSpec { prefix, route_type, service, timeout_s, aim_s, attempts } = route;
        format!("{{\"name\":\"r{}\",\"routeType\":\"{route_type}\",\"targetLatencyS\":{aim_s},\"priority\":0,\"public\":true,\"match\":{{\"pathPrefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\"timeoutS\":{timeout_s},\"maxAttempts\":{attempts}}}}}", prefix.replace('/', "-"))
    }).collect();
    let clusters: Vec<String> = services.iter().map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false}}")).collect();
    format!(
        "{{\"configVersion\":\"{version:08x}\",\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},{more}\"listeners\":[{{\"hostname\":\"shop.example\",\"ruleset\":[{}]}}],\"clusters\":[{}]}}",
        rules.join(","), clusters.join(",")
    )
}
