//! Crowds of callers that misbehave: the process of a VM stays within its memory and its descriptors, and ordinary callers are
//! served beside them.
//!
//! The tests run one at a time, as each takes most of a machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use leverstream_catalog::Catalog;
use leverstream_platform::READY_PATH;
use leverstream_tests::crowd::{Crowd, Sends, Then, UsageWatch, until_answered, until_served};
use leverstream_tests::site::{
    Call, HOST, NON_REPEATABLE, REPEATABLE, Site, Vm, backend, catalog, request_to, route,
};
use leverstream_tests::{WAIT_TIMEOUT, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::{Mutex, MutexGuard};

/// The memory limit of the VM, in megabytes.
const LIMIT_MB: f64 = 96.0;

/// The settings of the VM with that limit.
const LIMITED: &str = "[memory]\nlimit_mb = 96\n";

/// The configured limit of a head, in bytes.
const HEAD_LIMIT_BYTES: usize = 16 << 10;

/// The configured limit of a body, in bytes.
const BODY_LIMIT_BYTES: usize = 2 << 20;

/// How long a crowd stays, in milliseconds. Longer than the limits of a head and of an unread answer.
const STAY_MS: u64 = 7_000;

/// The pause between two ordinary requests beside a crowd, in milliseconds.
const ORDINARY_PAUSE_MS: u64 = 200;

/// A time limit of 46 days, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 4_000_000_000;

/// The body of an ordinary answer, in bytes: more than what counts as small under the memory limit.
const ORDINARY_ANSWER_BYTES: usize = 100_000;

/// Held by the test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A site under test, while no other test runs.
struct Trial {
    /// The site, with one VM.
    site: Site,
    /// What the VM holds.
    usage: UsageWatch,
    /// Keeps other tests waiting.
    _turn: MutexGuard<'static, ()>,
}

impl Trial {
    /// Starts a site whose VM has a memory limit.
    async fn start() -> Trial {
        Trial::start_with_descriptors(None).await
    }

    /// Starts a site whose VM has a memory limit, and a limit of open descriptors if one is given.
    async fn start_with_descriptors(limit: Option<u32>) -> Trial {
        let turn = ONE_AT_A_TIME.lock().await;
        let mut site = Site::start_with_settings(0, 2, LIMITED).await;
        let mut limits = catalog(1).limits;
        (limits.head_bytes, limits.body_bytes) = (HEAD_LIMIT_BYTES, BODY_LIMIT_BYTES);
        let mut routes = [(REPEATABLE, true), (NON_REPEATABLE, false)]
            .map(|(prefix, is_repeatable)| route(prefix, is_repeatable, "shop"));
        routes.iter_mut().for_each(|route| route.timeout_ms = 10_000);
        let routes = routes.map(|route| (HOST.to_owned(), route)).to_vec();
        let services = site.catalog.services.clone().into_iter().collect();
        site.catalog = Catalog::build(2, routes, services, limits).expect("the catalog is valid");
        site.put_catalog(2).await;
        for origin in &site.origins {
            let entry = backend(&origin.instance(), origin.address);
            site.list_backend(&leverstream_catalog::Backend { slots: 64, ..entry }).await;
        }
        match limit {
            Some(limit) => site.add_vm_with_descriptors(limit),
            None => site.add_vm(),
        }
        site.until_ready().await;
        let usage = UsageWatch::spawn(&site.vms[0]);
        Trial { site, usage, _turn: turn }
    }

    /// Returns the VM.
    fn vm(&self) -> &Vm {
        &self.site.vms[0]
    }

    /// Sends ordinary requests beside a crowd until its stay is over, and more after it has left; checks that each is served in
    /// the end, that the process runs and that its memory has stayed within the limit.
    async fn finish(mut self, crowd: Crowd) {
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(STAY_MS) {
            self.until_ordinary_requests_are_served().await;
            tokio::time::sleep(Duration::from_millis(ORDINARY_PAUSE_MS)).await;
        }
        drop(crowd);
        self.until_ordinary_requests_are_served().await;
        let ended = self.site.vms[0].process.try_exit_code();
        let peak_mb = self.usage.peak_memory_mb();
        let system_mb = self.usage.peak_system_mb();
        let own_peak_mb = self.vm().process.peak_memory_mb();
        println!("{peak_mb:.1} MB, of them {system_mb:.1} in sockets; process {own_peak_mb:.1} MB");
        assert_eq!(ended, None, "the process has ended");
        assert!(peak_mb < LIMIT_MB, "{peak_mb} MB with what waits in sockets");
        assert!(own_peak_mb < LIMIT_MB, "{own_peak_mb} MB");
        until("all memory is returned", || async {
            let held = self.held_bytes("Body").await + self.held_bytes("Answer").await;
            (held == 0.0).then_some(())
        })
        .await;
    }

    /// Sends one ordinary GET and one ordinary POST, and checks that both are served in the end.
    async fn until_ordinary_requests_are_served(&self) {
        let path = format!("{REPEATABLE}ordinary?answer_bytes={ORDINARY_ANSWER_BYTES}");
        let body = until_served(self.vm(), || Call::new(&path)).await;
        assert_eq!(body.len(), ORDINARY_ANSWER_BYTES);
        let path = format!("{NON_REPEATABLE}ordinary");
        until_served(self.vm(), || Call {
            method: "POST",
            body: vec![b'o'; 1_000],
            ..Call::new(&path)
        })
        .await;
    }

    /// Returns the bytes that the VM holds for a purpose.
    async fn held_bytes(&self, purpose: &str) -> f64 {
        let name = format!("leverstream_memory_held_bytes{{purpose=\"{purpose}\"}}");
        self.vm().metric(&name).await
    }
}

/// Returns the head of a POST that announces a body of a length.
fn post_head(number: usize, length: usize, caller_timeout_ms: u64) -> Vec<u8> {
    let fields = vec![("content-length", length.to_string())];
    let path = format!("{NON_REPEATABLE}crowd-{number}");
    Call { method: "POST", fields, caller_timeout_ms, ..Call::new(&path) }.bytes()
}

/// Returns the start of a head that is never ended.
fn unfinished_head(length: usize) -> Vec<u8> {
    let mut head = format!("GET {REPEATABLE}head HTTP/1.1\r\nhost: {HOST}\r\n").into_bytes();
    while head.len() < length {
        head.extend_from_slice(format!("x-{}: {}\r\n", head.len(), "h".repeat(2_000)).as_bytes());
    }
    head.truncate(length);
    // A line break at the end would be a part of the end of the head.
    head.extend_from_slice(b"h");
    head
}

/// Returns zeros to send, which all members of a crowd share.
fn zeros(length: usize) -> Arc<[u8]> {
    vec![0; length].into()
}

/// Guards against a VM that runs out of memory or serves nobody else because many large bodies stop just short of their end.
#[actix_rt::test]
async fn large_bodies_that_stop_short_of_their_end_leave_room_for_others() {
    const LENGTH: usize = 2_000_000;
    let trial = Trial::start().await;
    let body = zeros(LENGTH - 1);
    let crowd = Crowd::spawn(600, trial.vm().callers(), Then::Reads, |number| {
        Sends::repeated(post_head(number, LENGTH, LONG_TIMEOUT_MS), &body, 1)
    });
    trial.finish(crowd).await;
}

/// Guards against the same with bodies in small chunks, whose length is not known.
#[actix_rt::test]
async fn chunked_bodies_without_an_end_leave_room_for_others() {
    let trial = Trial::start().await;
    let chunk: Arc<[u8]> = format!("400\r\n{}\r\n", "c".repeat(1_024)).into_bytes().into();
    let crowd = Crowd::spawn(600, trial.vm().callers(), Then::Reads, |number| {
        let fields = vec![("transfer-encoding", "chunked".to_owned())];
        let path = format!("{NON_REPEATABLE}crowd-{number}");
        let call =
            Call { method: "POST", fields, caller_timeout_ms: LONG_TIMEOUT_MS, ..Call::new(&path) };
        Sends::repeated(call.bytes(), &chunk, 1_900)
    });
    trial.finish(crowd).await;
}

/// Guards against a VM that refuses all ordinary bodies because many small ones stop just short of their end, whose callers
/// say that they wait for weeks.
#[actix_rt::test]
async fn small_bodies_that_stop_short_of_their_end_leave_room_for_others() {
    const LENGTH: usize = 60_000;
    let trial = Trial::start().await;
    let body = zeros(LENGTH - 1);
    let crowd = Crowd::spawn(1_500, trial.vm().callers(), Then::Reads, |number| {
        Sends::repeated(post_head(number, LENGTH, LONG_TIMEOUT_MS), &body, 1)
    });
    trial.finish(crowd).await;
}

/// Guards against the same by callers that come again whenever they are refused.
#[actix_rt::test]
async fn small_bodies_that_come_again_leave_room_for_others() {
    const LENGTH: usize = 60_000;
    let trial = Trial::start().await;
    let body = zeros(LENGTH - 1);
    let crowd = Crowd::spawn_returning(800, trial.vm().callers(), Then::Reads, |number| {
        Sends::repeated(post_head(number, LENGTH, LONG_TIMEOUT_MS), &body, 1)
    });
    trial.finish(crowd).await;
}

/// Guards against a VM whose memory is held by bodies that arrive byte by byte.
#[actix_rt::test]
async fn bodies_that_trickle_leave_room_for_others() {
    const LENGTH: usize = 60_000;
    let trial = Trial::start().await;
    let body = zeros(1);
    let crowd = Crowd::spawn(800, trial.vm().callers(), Then::Reads, |number| {
        let head = post_head(number, LENGTH, LONG_TIMEOUT_MS);
        Sends { pause_ms: 100, ..Sends::repeated(head, &body, LENGTH - 1) }
    });
    trial.finish(crowd).await;
}

/// Guards against a VM that runs out of memory because callers send requests ahead and leave the answers unread.
#[actix_rt::test]
async fn requests_sent_ahead_whose_answers_are_not_read_leave_room_for_others() {
    const LENGTH: usize = 30_000;
    let trial = Trial::start().await;
    let crowd = Crowd::spawn(250, trial.vm().callers(), Then::ReadsNothing, |number| {
        let path = format!("{REPEATABLE}ahead-{number}?answer_bytes=50000");
        let body = vec![b'a'; LENGTH];
        let request = Call { method: "POST", body, ..Call::new(&path) }.bytes();
        Sends::repeated(Vec::new(), &request.into(), 100)
    });
    trial.finish(crowd).await;
}

/// Guards against the same with many small requests, which take more memory parsed than as sent.
#[actix_rt::test]
async fn small_requests_sent_ahead_leave_room_for_others() {
    let trial = Trial::start().await;
    let requests = b"GET /safe/tiny HTTP/1.1\r\nhost: shop.example\r\n\r\n".repeat(200);
    let requests: Arc<[u8]> = requests.into();
    let crowd = Crowd::spawn(400, trial.vm().callers(), Then::ReadsNothing, |_| {
        Sends::repeated(Vec::new(), &requests, 20)
    });
    trial.finish(crowd).await;
}

/// Guards against a VM whose machine runs out of memory because the operating system holds answers that callers hardly read.
#[actix_rt::test]
async fn answers_that_are_hardly_read_leave_room_for_others() {
    let trial = Trial::start().await;
    let crowd = Crowd::spawn(600, trial.vm().callers(), Then::ReadsSlowly(100), |number| {
        let path = format!("{REPEATABLE}hardly-{number}?answer_bytes=120000");
        Sends::once(Call { caller_timeout_ms: LONG_TIMEOUT_MS, ..Call::new(&path) }.bytes())
    });
    trial.finish(crowd).await;
}

/// Guards against a VM whose memory is held by callers that read long answers just fast enough not to be disconnected, and ask
/// for more, so that ordinary answers find no room.
#[actix_rt::test]
async fn long_answers_that_are_read_slowly_leave_room_for_others() {
    let trial = Trial::start().await;
    let crowd = Crowd::spawn(400, trial.vm().callers(), Then::ReadsSlowly(4_000), |number| {
        let path = format!("{REPEATABLE}slow-{number}?answer_bytes=2000000");
        let request = Call { caller_timeout_ms: LONG_TIMEOUT_MS, ..Call::new(&path) }.bytes();
        Sends::repeated(Vec::new(), &request.into(), 50)
    });
    trial.finish(crowd).await;
}

/// Guards against a caller that keeps a long answer in memory by reading a few bytes of it now and then.
#[actix_rt::test]
async fn a_caller_that_reads_a_trickle_of_its_answer_is_disconnected() {
    const PART_BYTES: usize = 400;
    let trial = Trial::start().await;
    let socket = TcpSocket::new_v4().expect("a socket");
    // With a larger buffer, the operating system takes parts of the answer that are seconds apart.
    socket.set_recv_buffer_size(4 << 10).expect("the size can be set");
    let mut stream = socket.connect(trial.vm().callers()).await.expect("the VM accepts");
    let path = format!("{REPEATABLE}trickle?answer_bytes=2000000");
    stream.write_all(&Call::new(&path).bytes()).await.expect("the request is sent");
    let mut part = [0; PART_BYTES];
    let read_on = async {
        while stream.read(&mut part).await.is_ok_and(|count| count > 0) {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, read_on).await.expect("the caller is disconnected");
    assert_eq!(trial.vm().metric("leverstream_callers_cut_off_total").await, 1.0);
}

/// Guards against a VM that runs out of memory because of long heads that never end.
#[actix_rt::test]
async fn heads_without_an_end_leave_room_for_others() {
    let trial = Trial::start().await;
    let head = unfinished_head(120_000);
    let crowd =
        Crowd::spawn(1_000, trial.vm().callers(), Then::Reads, |_| Sends::once(head.clone()));
    trial.finish(crowd).await;
}

/// Sends unfinished heads and bodies to a listener that expects neither, and checks that its ordinary requests and those of
/// callers are answered.
async fn crowd_at(trial: Trial, listener: SocketAddr, ordinary: &[u8]) {
    let head = unfinished_head(120_000);
    let begun = zeros(100_000);
    let crowd = Crowd::spawn(1_000, listener, Then::Reads, |number| match number % 2 {
        0 => Sends::once(head.clone()),
        _ => Sends::repeated(post_head(number, 1_000_000, LONG_TIMEOUT_MS), &begun, 1),
    });
    tokio::time::sleep(Duration::from_millis(ORDINARY_PAUSE_MS)).await;
    until_answered(listener, ordinary).await;
    trial.finish(crowd).await;
}

/// Guards against a VM that runs out of memory because of crowds at the listener of the directory.
#[actix_rt::test]
async fn a_crowd_at_the_directory_leaves_room_for_others() {
    let trial = Trial::start().await;
    let listener = trial.vm().directory();
    crowd_at(trial, listener, &request_to("GET", "/-/resolve?name=shop.example")).await;
}

/// Guards against the same at the listener of readiness checks.
#[actix_rt::test]
async fn a_crowd_at_the_readiness_listener_leaves_room_for_others() {
    let trial = Trial::start().await;
    let listener = trial.vm().readiness();
    crowd_at(trial, listener, &request_to("GET", READY_PATH)).await;
}

/// Guards against the same at the listener of other VMs.
#[actix_rt::test]
async fn a_crowd_at_the_listener_of_peers_leaves_room_for_others() {
    let trial = Trial::start().await;
    let listener = trial.vm().peers();
    crowd_at(trial, listener, &request_to("GET", "/unknown")).await;
}

/// Guards against the same at the listener of metrics scrapes.
#[actix_rt::test]
async fn a_crowd_at_the_listener_of_metrics_leaves_room_for_others() {
    let trial = Trial::start().await;
    let listener = trial.vm().metrics();
    crowd_at(trial, listener, &request_to("GET", "/metrics")).await;
}

/// Guards against a VM whose descriptors are all taken by callers that stop just short of the end of their bodies, so that
/// nobody else is accepted and no backend server can be reached.
#[actix_rt::test]
async fn unfinished_bodies_leave_descriptors_for_others() {
    const DESCRIPTORS: u32 = 400;
    const LENGTH: usize = 1_000;
    let trial = Trial::start_with_descriptors(Some(DESCRIPTORS)).await;
    let body = zeros(LENGTH - 1);
    let crowd = Crowd::spawn(600, trial.vm().callers(), Then::Reads, |number| {
        Sends::repeated(post_head(number, LENGTH, LONG_TIMEOUT_MS), &body, 1)
    });
    tokio::time::sleep(Duration::from_millis(STAY_MS / 4)).await;
    trial.until_ordinary_requests_are_served().await;
    let peak = trial.usage.peak_descriptors();
    println!("{peak} descriptors");
    assert!(peak < u64::from(DESCRIPTORS), "{peak} descriptors");
    trial.finish(crowd).await;
}

/// Guards against the same by callers that connect and send nothing.
#[actix_rt::test]
async fn connections_without_requests_leave_descriptors_for_others() {
    const DESCRIPTORS: u32 = 400;
    let trial = Trial::start_with_descriptors(Some(DESCRIPTORS)).await;
    let crowd = Crowd::spawn(600, trial.vm().callers(), Then::Reads, |_| Sends::once(Vec::new()));
    tokio::time::sleep(Duration::from_millis(STAY_MS / 4)).await;
    trial.until_ordinary_requests_are_served().await;
    let peak = trial.usage.peak_descriptors();
    println!("{peak} descriptors");
    assert!(peak < u64::from(DESCRIPTORS), "{peak} descriptors");
    trial.finish(crowd).await;
}

/// Guards against limits that refuse a request which is inside the configured ones.
#[actix_rt::test]
async fn a_request_at_each_limit_is_served_in_calm() {
    let trial = Trial::start().await;
    let path = format!("{REPEATABLE}largest-head");
    let empty_length = Call::new(&path).bytes().len() + "x-long: \r\n".len();
    let value = "h".repeat(HEAD_LIMIT_BYTES - empty_length - 8);
    let call = || Call { fields: vec![("x-long", value.clone())], ..Call::new(&path) };
    assert!(call().bytes().len() <= HEAD_LIMIT_BYTES);
    assert_eq!(call().send(trial.vm()).await.expect("an answer").status, 200);
    let path = format!("{NON_REPEATABLE}largest-body");
    let body = vec![b'b'; BODY_LIMIT_BYTES];
    let call = Call { method: "POST", body, ..Call::new(&path) };
    assert_eq!(call.send(trial.vm()).await.expect("an answer").status, 200);
    let path = format!("{REPEATABLE}long?answer_bytes=2000000");
    let answer = Call::new(&path).send(trial.vm()).await.expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (200, 2_000_000));
}

/// Guards against a head beyond the configured limit that is read on, or whose refusal is lost.
#[actix_rt::test]
async fn a_head_beyond_the_limit_is_refused() {
    let trial = Trial::start().await;
    let path = format!("{REPEATABLE}too-long-head");
    for length in [HEAD_LIMIT_BYTES + 1, 100_000] {
        let call = Call { fields: vec![("x-long", "h".repeat(length))], ..Call::new(&path) };
        let answer = call.send(trial.vm()).await.expect("an answer");
        assert_eq!(answer.status, 431, "{length}");
    }
    assert_eq!(trial.site.runs(&path), 0);
}
