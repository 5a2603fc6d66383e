//! Answers that a VM with little memory can't hold, or can't hold yet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use leverstream_catalog::{Backend, Catalog, Route};
use leverstream_platform::headers;
use leverstream_tests::site::{Call, HOST, Site, backend, catalog, route};
use leverstream_tests::until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// The memory limit, of which large answers may use 1.75 MB.
const LIMIT_MB: u32 = 16;

/// Path prefix of the requests; their path ends with the length of the answer.
const TESTED: &str = "/tested/";

/// The bytes of an answer that can never be held.
const TOO_LARGE_BYTES: usize = 1_800_000;

/// The bytes of an answer beside which another of the same length can't be held.
const LONG_BYTES: usize = 1_500_000;

/// The name in the path of requests whose answer breaks off in its middle.
const CUT: &str = "cut";

/// How long an answer is left to wait for memory; the work for it takes some milliseconds.
const PAUSE_MS: u64 = 600;

/// Serves answers of the lengths that the paths of requests name, and counts the requests.
async fn serve(listener: TcpListener, runs: Arc<AtomicUsize>) {
    let mut conns = JoinSet::new();
    loop {
        let (mut stream, _) = listener.accept().await.expect("the listener works");
        let runs = Arc::clone(&runs);
        conns.spawn(async move { while answer(&mut stream, &runs).await.is_ok() {} });
    }
}

/// Answers one request.
async fn answer(stream: &mut TcpStream, runs: &AtomicUsize) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    runs.fetch_add(1, Ordering::SeqCst);
    let head = String::from_utf8_lossy(&head);
    let target = head.split(' ').nth(1).expect("a path");
    let length: usize =
        target.rsplit('/').next().and_then(|text| text.parse().ok()).expect("a length");
    let prefix = format!("{}: ", headers::REQUEST_ID);
    let id = head.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or_default();
    let id_field = headers::REQUEST_ID;
    let answer = format!("HTTP/1.1 200 OK\r\n{id_field}: {id}\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(answer.as_bytes()).await?;
    if target.contains(CUT) {
        stream.write_all(&vec![b'a'; length / 10]).await?;
        return Err(std::io::ErrorKind::BrokenPipe.into());
    }
    stream.write_all(&vec![b'a'; length]).await
}

/// The backend servers under test.
struct Backends {
    /// The number of requests that reached them.
    runs: Arc<AtomicUsize>,
    /// Their tasks, which end with them.
    tasks: JoinSet<()>,
}

/// Starts a VM with little memory and backend servers of a route.
async fn start(backends: usize, is_repeatable: bool) -> (Site, Backends) {
    let mut site = Site::start(0, 1).await;
    let tested = Route { timeout_ms: 4_000, ..route(TESTED, is_repeatable, "other") };
    let services = site.catalog.services.clone().into_iter().collect();
    let limits = catalog(1).limits;
    let routes = vec![(HOST.to_owned(), tested)];
    site.catalog = Catalog::build(2, routes, services, limits).expect("the catalog is valid");
    site.put_catalog(2).await;
    let runs = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    for number in 0..backends {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        tasks.spawn(serve(listener, Arc::clone(&runs)));
        let entry = backend(&format!("tested-{number}"), address);
        site.list_backend(&Backend { service: "other".to_owned(), slots: 8, ..entry }).await;
    }
    site.add_vm_with_memory(LIMIT_MB);
    site.until_ready().await;
    (site, Backends { runs, tasks })
}

/// Returns a request for an answer of a length.
fn call(name: &str, length: usize) -> Call {
    Call::new(&format!("{TESTED}{name}/{length}"))
}

/// Returns the VM's log lines with a text, once there are so many.
async fn logged(site: &Site, text: &str, count: usize) -> Vec<String> {
    until("the lines are logged", || async {
        let mut lines = site.vms[0].process.log();
        lines.retain(|line| line.contains(text));
        (lines.len() >= count).then_some(lines)
    })
    .await
}

/// Guards against a request that is repeated although every answer to it is too large, and against
/// backend servers that are avoided for it.
#[actix_rt::test]
async fn request_whose_answer_is_too_large_is_sent_once_and_blames_no_backend_server() {
    let (site, backends) = start(3, true).await;
    for number in 0..5 {
        let call = call(&format!("large-{number}"), TOO_LARGE_BYTES);
        let answer = call.send(&site.vms[0]).await.expect("an answer");
        assert_eq!(answer.status, 502);
        assert_eq!(answer.text("leverstream-error"), Some("answer-invalid"));
        assert_eq!(backends.runs.load(Ordering::SeqCst), number + 1);
    }
    for line in logged(&site, "attempt failed", 5).await {
        assert!(line.contains("\"outcome\":\"Neutral\""), "{line}");
    }
    let answer = call("short", 1_000).send(&site.vms[0]).await.expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (200, 1_000));
}

/// Opens a connection with a small receive buffer.
async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(32 << 10).expect("the size can be set");
    socket.connect(to).await.expect("the VM accepts")
}

/// Requests an answer and leaves it unread.
async fn request_unread(site: &Site, call: &Call) -> TcpStream {
    let mut stream = connect(site.vms[0].callers()).await;
    stream.write_all(&call.bytes()).await.expect("the request is sent");
    stream
}

/// Has a caller leave a long answer unread, and waits until the VM holds it.
async fn hold_memory(site: &Site) -> TcpStream {
    let holder = request_unread(site, &call("held", LONG_BYTES)).await;
    until("the answer is held", || async {
        let name = "leverstream_memory_held_bytes{purpose=\"Answer\"}";
        (site.vms[0].metric(name).await >= LONG_BYTES as f64).then_some(())
    })
    .await;
    holder
}

/// Waits until a number of answers wait for memory.
async fn until_paused(site: &Site, count: f64) {
    until("answers wait for memory", || async {
        (site.vms[0].metric("leverstream_memory_paused").await == count).then_some(())
    })
    .await;
}

/// Returns a numeric field of a log line.
fn number(line: &str, field: &str) -> u64 {
    let (_, rest) = line.split_once(&format!("\"{field}\":")).expect("the field is there");
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

/// Guards against a backend server that counts as slow because its answer waited for memory.
#[actix_rt::test]
async fn wait_of_an_answer_for_memory_is_not_part_of_its_latency() {
    let (site, _backends) = start(1, false).await;
    let holder = hold_memory(&site).await;
    let call = call("waiting", LONG_BYTES);
    let release = async {
        until_paused(&site, 1.0).await;
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        drop(holder);
    };
    let (answer, ()) = tokio::join!(call.send(&site.vms[0]), release);
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (200, LONG_BYTES));
    let lines = logged(&site, "\"answer waited for memory\"", 1).await;
    assert!(number(&lines[0], "paused_ms") >= PAUSE_MS, "{}", lines[0]);
    assert!(number(&lines[0], "counted_ms") < PAUSE_MS / 2, "{}", lines[0]);
}

/// Guards against a backend server that is avoided because its connection broke while it wasn't read.
#[actix_rt::test]
async fn connection_that_ends_while_its_answer_waits_for_memory_blames_no_backend_server() {
    let (site, _backends) = start(1, false).await;
    let holder = hold_memory(&site).await;
    let call = call(CUT, LONG_BYTES);
    let release = async {
        until_paused(&site, 1.0).await;
        drop(holder);
    };
    let (answer, ()) = tokio::join!(call.send(&site.vms[0]), release);
    assert_eq!(answer.expect("an answer").status, 502);
    let lines = logged(&site, "\"attempt failed\"", 1).await;
    assert!(lines[0].contains("\"outcome\":\"Neutral\""), "{}", lines[0]);
}

/// Guards against a request that is held responsible for the end of a backend server because its
/// caller left while the answer waited for memory.
#[actix_rt::test]
async fn request_abandoned_while_its_answer_waits_for_memory_is_not_suspect() {
    let (site, backends) = start(1, false).await;
    let _holder = hold_memory(&site).await;
    let waiting = request_unread(&site, &call("abandoned", LONG_BYTES)).await;
    until_paused(&site, 1.0).await;
    drop(waiting);
    until_paused(&site, 0.0).await;
    drop(backends.tasks);
    let answer = call("after", 1).send(&site.vms[0]).await.expect("an answer");
    assert_eq!(answer.status, 503);
    logged(&site, "\"attempt failed\"", 1).await;
    assert!(!site.vms[0].has_logged("backend ended under a request"));
}

/// Guards against other listeners than that of the callers that disconnect those who read slowly.
#[actix_rt::test]
async fn metrics_that_are_left_unread_are_not_cut_off() {
    /// The number of scrapes sent ahead: their answers are more than the operating system holds.
    const SCRAPES: usize = 3_000;
    let (site, _backends) = start(1, false).await;
    let mut stream = connect(site.vms[0].metrics()).await;
    let request = b"GET /metrics HTTP/1.1\r\nhost: vm\r\n\r\n";
    stream.write_all(&request.repeat(SCRAPES - 1)).await.expect("the requests are sent");
    let last = b"GET /metrics HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n";
    stream.write_all(last).await.expect("the last request is sent");
    // Callers are disconnected after 5 s.
    tokio::time::sleep(Duration::from_millis(5_800)).await;
    let mut answers = Vec::new();
    stream.read_to_end(&mut answers).await.expect("the connection isn't reset");
    let heads = answers.windows(15).filter(|part| *part == b"HTTP/1.1 200 OK").count();
    assert_eq!(heads, SCRAPES);
    assert!(answers.len() > 8_000_000, "the answers fit into buffers: {} bytes", answers.len());
    assert_eq!(site.vms[0].metric("leverstream_callers_cut_off_total").await, 0.0);
}
