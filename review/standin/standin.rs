//! Stand-ins for the platform's store, backend servers and callers, in plain Rust without libraries, and what a case needs to
//! start gateways and to record what happened.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of a case: each line has the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Arc::new(Record { file, start: Instant::now() })
    }

    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now_s());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}

/// A message, either a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.field("x-request-id").unwrap_or("-")
    }
}

/// Reads one message with a body of a known length; none at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first: line.trim_end().to_owned(), ..Message::default() };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes a message; the length of the body is added.
pub fn encode(first: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A small generator of random numbers; a case may use a fixed seed.
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(AtomicU64::new(seed))
    }

    /// The next number from 0 to 1.
    pub fn next(&self) -> f64 {
        let mut z = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The option of a connection that makes its end a reset (struct linger of the system's C library).
#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, second: u64, third: u64, fourth: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const Linger, length: u32) -> i32;
}

/// Makes the connection end with a reset, and never with an orderly end, once all handles to it are dropped.
pub fn end_with_reset(stream: &TcpStream) -> bool {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { is_on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) == 0 }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Accepts connections for as long as the process runs.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

// ---- the platform's store ----

/// A call to the store.
#[derive(Clone, Debug)]
pub struct Call {
    /// Which of the store's addresses was called; each gateway gets its own.
    pub door: usize,
    pub method: String,
    pub kind: String,
    pub name: Option<String>,
    pub is_watch: bool,
}

/// What the store does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treat {
    Serve,
    /// The answer is made at once and delivered after so many milliseconds.
    DeliverAfter(u64),
    /// Status 503: nothing was done.
    Busy,
    /// The connection is closed without an answer; nothing was done.
    Close,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    revisions: BTreeMap<(String, String), u64>,
    /// Revision, kind and event.
    history: Vec<(u64, String, String)>,
}

/// The store; all kinds, with lists, reads, watches and conditional writes.
pub struct Store {
    state: Mutex<Objects>,
    changed: Condvar,
    treat: Box<dyn Fn(&Call) -> Treat + Send + Sync>,
}

impl Store {
    pub fn new(treat: impl Fn(&Call) -> Treat + Send + Sync + 'static) -> Arc<Store> {
        let (state, changed) = (Mutex::default(), Condvar::new());
        Arc::new(Store { state, changed, treat: Box::new(treat) })
    }

    /// Opens one more address of the store.
    pub fn open_door(self: &Arc<Store>, door: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::clone(self);
        serve(listener, move |stream| {
            let _ = store.talk(door, stream);
        });
        address
    }

    /// Writes an object, as the operator or a backend server does; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        self.set(&mut state, kind, name, spec)
    }

    /// Removes an object, as the platform does with an entry that has gone.
    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(spec) = state.objects.remove(&key) {
            state.revisions.remove(&key);
            state.revision += 1;
            let revision = state.revision;
            let event =
                format!("{{\"removed\":true,\"object\":{}}}", object(name, revision, &spec));
            state.history.push((revision, kind.to_owned(), event));
        }
        self.changed.notify_all();
        state.revision
    }

    fn set(&self, state: &mut Objects, kind: &str, name: &str, spec: &str) -> u64 {
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key.clone(), spec.to_owned());
        state.revisions.insert(key, revision);
        let event = format!("{{\"removed\":false,\"object\":{}}}", object(name, revision, spec));
        state.history.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
        revision
    }

    fn talk(&self, door: usize, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|part| part.split_once('=')).collect();
            let mut parts = path.trim_start_matches("/-/objects/").split('/');
            let kind = parts.next().unwrap_or_default().to_owned();
            let name = parts.next().map(str::to_owned);
            let is_watch = query.contains_key("watch");
            let method = request.method().to_owned();
            let call = Call { door, method, kind, name, is_watch };
            let treat = (self.treat)(&call);
            match treat {
                Treat::Close => return Ok(()),
                Treat::Busy => {
                    writer.write_all(&encode("HTTP/1.1 503 Service Unavailable", &[], b""))?;
                    continue;
                }
                Treat::Serve | Treat::DeliverAfter(_) => {}
            }
            let (status, body) = self.answer(&call, &query, &request.body);
            if let Treat::DeliverAfter(ms) = treat {
                sleep_ms(ms);
            }
            // A disturbance that begins while a watch waits ends it.
            if is_watch && matches!((self.treat)(&call), Treat::Close | Treat::Busy) {
                return Ok(());
            }
            let fields = [("Content-Type", "application/json")];
            writer.write_all(&encode(&format!("HTTP/1.1 {status} S"), &fields, body.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, call: &Call, query: &HashMap<&str, &str>, body: &[u8]) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let text = String::from_utf8_lossy(body).into_owned();
        let key = |name: &str| (call.kind.clone(), name.to_owned());
        match (call.method.as_str(), &call.name) {
            ("GET", None) if call.is_watch => {
                let after: u64 = query["watch"].parse().unwrap_or(0);
                let wait_ms = query.get("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let is_new = |(revision, kind, _): &&(u64, String, String)| {
                        *revision > after && *kind == call.kind
                    };
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(is_new)
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    let is_cut = matches!((self.treat)(call), Treat::Close | Treat::Busy);
                    if !events.is_empty() || left.is_zero() || is_cut {
                        let (events, revision) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"asOf\":{revision}}}"));
                    }
                    let left = left.min(Duration::from_millis(100));
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", None) => {
                let after = query.get("after").copied().unwrap_or_default().to_owned();
                let items: Vec<String> = state
                    .objects
                    .iter()
                    .filter(|((kind, name), _)| *kind == call.kind && *name > after)
                    .map(|(key, spec)| object(&key.1, state.revisions[key], spec))
                    .collect();
                let (items, revision) = (items.join(","), state.revision);
                (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{revision}}}"))
            }
            ("GET", Some(name)) => match state.objects.get(&key(name)) {
                Some(spec) => (200, object(name, state.revisions[&key(name)], spec)),
                None => (404, String::new()),
            },
            ("POST", None) => {
                let name = between(&text, "\"name\":\"", "\"");
                if let Some(spec) = state.objects.get(&key(&name)) {
                    return (409, object(&name, state.revisions[&key(&name)], spec));
                }
                let spec = spec_of(&text);
                let revision = self.set(&mut state, &call.kind, &name, &spec);
                (201, object(&name, revision, &spec))
            }
            ("PUT", Some(name)) => {
                let Some(spec) = state.objects.get(&key(name)).cloned() else {
                    return (404, String::new());
                };
                let known = state.revisions[&key(name)];
                let asked = between(&text, "\"revision\":", ",");
                if asked.parse::<u64>().is_ok_and(|asked| asked != known) {
                    return (409, object(name, known, &spec));
                }
                let spec = spec_of(&text);
                let revision = self.set(&mut state, &call.kind, name, &spec);
                (200, object(name, revision, &spec))
            }
            ("DELETE", Some(name)) => {
                if state.objects.contains_key(&key(name)) {
                    drop(state);
                    self.remove(&call.kind, name);
                    (200, "{}".to_owned())
                } else {
                    (404, String::new())
                }
            }
            _ => (404, String::new()),
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    let metadata = format!(
        "{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}}"
    );
    format!("{{\"metadata\":{metadata},\"spec\":{spec},\"status\":null}}")
}

fn between(text: &str, from: &str, to: &str) -> String {
    let after = text.split_once(from).map_or("", |(_, after)| after);
    after.split_once(to).map_or("", |(found, _)| found).to_owned()
}

fn spec_of(text: &str) -> String {
    let after = text.split_once("\"spec\":").map_or("null", |(_, after)| after);
    after.rsplit_once(",\"status\":").map_or(after, |(spec, _)| spec).to_owned()
}

/// A route of a configuration, to one service.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub attempts: u32,
}

/// The configuration of one host in the operator's form.
pub fn config(version: u64, host: &str, routes: &[Route<'_>], services: &[&str]) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { prefix, kind, service, timeout_s, attempts } = route;
            format!(
                "{{\"name\":\"r{prefix}\",\"routeType\":\"{kind}\",\"targetLatencyS\":0.8,\"priority\":1,\
                 \"match\":{{\"pathPrefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\
                 \"timeoutS\":{timeout_s},\"maxAttempts\":{attempts}}}}}"
            )
        })
        .collect();
    let clusters: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":390}}")
        })
        .collect();
    format!(
        "{{\"configVersion\":\"{version:08x}\",\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutS\":3,\"idleTimeoutS\":15}},\"listeners\":[{{\"hostname\":\"{host}\",\"ruleset\":[{}]}}],\
         \"clusters\":[{}]}}",
        rules.join(","),
        clusters.join(",")
    )
}

/// The store's entry of a backend server.
pub fn entry(service: &str, address: SocketAddr, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"configVersion\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"warmupLeftS\":0,\"sequence\":1}}"
    )
}

// ---- gateways ----

/// A gateway process; it is ended when this is dropped.
pub struct Gateway {
    child: Child,
    settings: PathBuf,
    pub ip: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    directory: SocketAddr,
    metrics: SocketAddr,
}

/// The addresses of a gateway that is not started yet.
pub struct Place {
    ip: String,
    ports: [u16; 5],
}

impl Place {
    /// Chooses free ports on the loopback address 127.0.0.N.
    pub fn choose(number: usize) -> Place {
        let ip = format!("127.0.0.{number}");
        let listeners: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((ip.as_str(), 0)).expect("a free port")).collect();
        let ports: Vec<u16> =
            listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect();
        drop(UdpSocket::bind((ip.as_str(), ports[3])).expect("a free port for datagrams"));
        Place { ip, ports: [ports[0], ports[1], ports[2], ports[3], ports[4]] }
    }

    fn address(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports[index]).parse().unwrap()
    }

    pub fn peers(&self) -> SocketAddr {
        self.address(3)
    }
}

impl Gateway {
    /// Starts a gateway with settings as the template gives them for a small deployment.
    pub fn start(
        work: &std::path::Path,
        place: &Place,
        store: SocketAddr,
        seeds: &[SocketAddr],
        is_first_start: bool,
    ) -> Gateway {
        let callers = place.address(0);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let first = if is_first_start { "is_first_start = true\n" } else { "" };
        let text = format!(
            "vm = \"vm-{ip}\"\nhall = \"hall-a\"\nregion = \"region-a\"\n\n[listen]\ncallers = \"{callers}\"\n\
             readiness = \"{}\"\ndirectory = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\n[peers]\nseeds = [{}]\n{first}\n\
             [machine]\ncores = 0.2\nlink_mbps = 1000.0\n\n[store]\naddress = \"{store}\"\n\n[retries]\nratio = 0.2\n\
             window_s = 10\nslack = 62\n\n[stop]\ngrace_s = 6\n\n[leaving]\nserves_on_s = 2\n\n[floor]\nshare = 0.7\n\n\
             [memory]\nlimit_mb = 260\n",
            place.address(1),
            place.address(2),
            place.address(3),
            place.address(4),
            seeds.join(","),
            ip = place.ip,
        );
        let settings = work.join(format!("settings-{}.toml", place.ip));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(work.join(format!("log-{}.txt", place.ip)))
            .expect("the log can be written");
        let mut command = Command::new("target/release/leverstreamd");
        // The gateway ends with the process that starts it, however that ends.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: i32 = 1;
                const SIGKILL: u64 = 9;
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .arg("gateway")
            .env("LEVERSTREAM_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        Gateway {
            child,
            settings,
            ip: place.ip.clone(),
            callers,
            readiness: place.address(1),
            peers: place.address(3),
            directory: place.address(2),
            metrics: place.address(4),
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Tells whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let request =
            encode("GET /-/ready HTTP/1.1", &[("Host", "x"), ("Connection", "close")], b"");
        ask(self.readiness, &request, 1_000).is_ok_and(|answer| answer.status() == 200)
    }

    /// Asks where callers should connect.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let target = "GET /-/resolve?name=club.example&region=region-a&zone=hall-a HTTP/1.1";
        let request = encode(target, &[("Host", "x"), ("Connection", "close")], b"");
        let answer = ask(self.directory, &request, 1_000).unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let list = between(&text, "\"addresses\":[", "]");
        list.split(',').filter_map(|part| part.trim_matches('"').parse().ok()).collect()
    }

    /// Waits until it is ready; false if it isn't within ten seconds.
    pub fn until_ready(&self) -> bool {
        for _ in 0..200 {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- callers ----

/// Sends one request on a new connection and reads the whole answer.
pub fn ask(address: SocketAddr, request: &[u8], timeout_ms: u64) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
    let mut writer = stream.try_clone()?;
    writer.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader)?;
    let _ = writer.shutdown(Shutdown::Both);
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The path of the folder for temporary files of a case; it is new and empty.
pub fn work_folder(case: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("leverstream-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary folder");
    path
}

/// Tells whether the case runs with its disturbance.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
