//! A VM with a memory limit stays below it while callers and backend servers read or send nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use leverstream_catalog::{Backend, Catalog};
use leverstream_platform::headers;
use leverstream_standin::origin::Origin;
use leverstream_standin::platform::Faults;
use leverstream_tests::site::{
    Call, HOST, NON_REPEATABLE, REPEATABLE, Site, backend, catalog, route, send,
};
use leverstream_tests::until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// The memory limit of a weak VM of the first deployment, in megabytes.
const LIMIT_MB: u32 = 160;

/// Path prefix of requests to the backend server under test.
const TESTED: &str = "/tested/";

/// The configured limit of a body, in bytes.
const BODY_LIMIT_BYTES: usize = 4 << 20;

/// The length of long bodies.
const LONG_BYTES: usize = 2_000_000;

/// How many callers send long bodies at once: together 240 MB.
const CALLERS: usize = 120;

/// The length of long answers, which is beyond what the operating system buffers for a connection
/// of a VM without a memory limit (4 MB).
const LONG_ANSWER_BYTES: usize = 7_000_000;

/// How many callers leave long answers unread at once.
const UNREAD_CALLERS: usize = 60;

/// The size of a caller's socket buffers, so that the data is not held on its side.
const BUFFER_BYTES: u32 = 32 << 10;

/// How a backend server treats requests.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    /// It accepts connections and reads nothing.
    ReadsNothing,
    /// It answers with a body of [`LONG_ANSWER_BYTES`].
    AnswersLong,
    /// It answers once it has read the head, and closes the connection.
    AnswersEarly,
}

/// Starts a VM with a memory limit (0: none), and a backend server of the service `other`.
async fn start(limit_mb: u32, behaviour: Behaviour) -> Site {
    let mut site = Site::start(0, 2).await;
    let mut limits = catalog(1).limits;
    limits.body_bytes = BODY_LIMIT_BYTES;
    let mut tested = route(TESTED, false, "other");
    tested.timeout_ms = 3_000;
    let routes = [route(REPEATABLE, true, "shop"), route(NON_REPEATABLE, false, "shop"), tested];
    let routes = routes.map(|route| (HOST.to_owned(), route)).to_vec();
    let services = site.catalog.services.clone().into_iter().collect();
    site.catalog = Catalog::build(2, routes, services, limits).expect("the catalog is valid");
    site.put_catalog(2).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(serve(listener, behaviour));
    let entry = Backend {
        service: "other".to_owned(),
        slots: 2 * CALLERS as u32,
        ..backend("tested", address)
    };
    site.list_backend(&entry).await;
    site.add_vm_with_memory(limit_mb);
    site.until_ready().await;
    site
}

/// Accepts connections and treats their requests as the behaviour says.
async fn serve(listener: TcpListener, behaviour: Behaviour) {
    let mut conns = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.expect("the listener works");
        conns.spawn(serve_conn(stream, behaviour));
    }
}

/// Serves one connection.
async fn serve_conn(mut stream: TcpStream, behaviour: Behaviour) -> std::io::Result<()> {
    if behaviour == Behaviour::ReadsNothing {
        return std::future::pending().await;
    }
    loop {
        let id = read_head(&mut stream).await?;
        let id_field = headers::REQUEST_ID;
        if behaviour == Behaviour::AnswersEarly {
            let answer = format!(
                "HTTP/1.1 413 Too Large\r\n{id_field}: {id}\r\ncontent-length: 2\r\n\r\nno"
            );
            return stream.write_all(answer.as_bytes()).await;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_field}: {id}\r\ncontent-length: {LONG_ANSWER_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&vec![b'a'; LONG_ANSWER_BYTES]).await?;
    }
}

/// Reads the head of a request and returns the request's id.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head);
    let prefix = format!("{}: ", headers::REQUEST_ID);
    let id = head.lines().find_map(|line| line.strip_prefix(&prefix));
    Ok(id.unwrap_or_default().to_owned())
}

/// Opens a connection with small buffers.
async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(BUFFER_BYTES).expect("the size can be set");
    socket.set_send_buffer_size(BUFFER_BYTES).expect("the size can be set");
    socket.connect(to).await.expect("the VM accepts")
}

/// Returns the head of an upload of [`LONG_BYTES`].
fn upload_head(path: &str) -> Vec<u8> {
    let fields = vec![("content-length", LONG_BYTES.to_string())];
    Call { method: "POST", fields, ..Call::new(path) }.bytes()
}

/// Sends the head of an upload and `sent_bytes` of its body, and returns the status of the answer.
async fn upload(
    to: SocketAddr,
    path: String,
    body: Arc<Vec<u8>>,
    sent_bytes: usize,
) -> Option<u16> {
    let mut stream = connect(to).await;
    stream.write_all(&upload_head(&path)).await.ok()?;
    let (mut reader, mut writer) = stream.split();
    let send = async {
        // Refused uploads end before all is sent.
        let _ = writer.write_all(&body[..sent_bytes]).await;
        std::future::pending::<()>().await;
    };
    let mut start = [0; 12];
    let read = tokio::time::timeout(Duration::from_secs(8), reader.read_exact(&mut start));
    tokio::select! {
        () = send => None,
        read = read => {
            read.ok()?.ok()?;
            std::str::from_utf8(&start[9..]).ok()?.parse().ok()
        }
    }
}

/// Sends requests with no body and with a short one for a time, and returns how many were not
/// answered with 200.
async fn send_short_requests(site: &Site, for_ms: u64) -> usize {
    let mut failed = 0;
    for number in 0..for_ms / 50 {
        let short = vec![b's'; 1_000];
        let path = format!("{NON_REPEATABLE}short-{number}");
        let calls = [
            Call::new(&format!("{REPEATABLE}short-{number}")),
            Call { method: "POST", body: short, ..Call::new(&path) },
        ];
        for call in calls {
            let answer = call.send(&site.vms[0]).await;
            failed += usize::from(!answer.is_ok_and(|answer| answer.status == 200));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    failed
}

/// Waits until the VM's log has a line with a text; lines are gathered before they are written.
async fn until_logged(site: &Site, text: &str) {
    until("the line is logged", || async { site.vms[0].has_logged(text).then_some(()) }).await;
}

/// Returns the bytes that the VM holds for a purpose.
async fn held_bytes(site: &Site, purpose: &str) -> f64 {
    let name = format!("leverstream_memory_held_bytes{{purpose=\"{purpose}\"}}");
    site.vms[0].metric(&name).await
}

/// Waits until the VM holds nothing for others.
async fn until_nothing_is_held(site: &Site) {
    until("all memory is returned", || async {
        let held = held_bytes(site, "Body").await + held_bytes(site, "Answer").await;
        (held == 0.0).then_some(())
    })
    .await;
}

/// Has callers upload to a backend server that reads nothing, half of them without ever sending their
/// whole body; returns the site.
async fn run_uploads(limit_mb: u32) -> Site {
    let site = start(limit_mb, Behaviour::ReadsNothing).await;
    let to = site.vms[0].callers();
    let body = Arc::new(vec![b'u'; LONG_BYTES]);
    let mut uploads = JoinSet::new();
    for number in 0..CALLERS {
        let sent_bytes = if number % 2 == 0 { LONG_BYTES } else { LONG_BYTES - 1 };
        let path = format!("{TESTED}upload-{number}");
        uploads.spawn(upload(to, path, Arc::clone(&body), sent_bytes));
    }
    let failed = send_short_requests(&site, 3_500).await;
    assert_eq!(failed, 0, "short requests failed");
    let statuses: Vec<Option<u16>> = uploads.join_all().await;
    println!("{limit_mb} MB: {:?}", site.vms[0].process.peak_memory_mb());
    assert!(!statuses.contains(&Some(200)), "a backend server that reads nothing has answered");
    site
}

/// Guards against a VM that is killed because long bodies add up beyond its memory, and against short
/// requests that fail while long bodies use what there is.
#[actix_rt::test]
async fn long_uploads_to_a_backend_server_that_reads_nothing_stay_within_the_limit() {
    let unlimited = run_uploads(0).await;
    let unlimited_mb = unlimited.vms[0].process.peak_memory_mb();
    assert!(unlimited_mb > f64::from(LIMIT_MB), "the load is too small: {unlimited_mb} MB");
    drop(unlimited);
    let mut site = run_uploads(LIMIT_MB).await;
    let limited_mb = site.vms[0].process.peak_memory_mb();
    assert!(limited_mb < f64::from(LIMIT_MB), "{limited_mb} MB");
    until_logged(&site, "\"memory short\"").await;
    assert!(site.vms[0].metric("leverstream_memory_refused_total").await > 0.0);
    until_nothing_is_held(&site).await;
    let path = format!("{NON_REPEATABLE}after");
    let call = Call { method: "POST", body: vec![b'u'; LONG_BYTES], ..Call::new(&path) };
    assert_eq!(call.send(&site.vms[0]).await.expect("an answer").status, 200);
    assert_eq!(site.vms[0].process.try_exit_code(), None);
}

/// Has callers request long answers that they don't read; returns the site.
async fn run_unread_answers(limit_mb: u32) -> Site {
    let site = start(limit_mb, Behaviour::AnswersLong).await;
    let to = site.vms[0].callers();
    let mut callers = Vec::new();
    for number in 0..UNREAD_CALLERS {
        let mut stream = connect(to).await;
        let call = Call::new(&format!("{TESTED}unread-{number}"));
        stream.write_all(&call.bytes()).await.expect("the request is sent");
        callers.push(stream);
    }
    let failed = send_short_requests(&site, 4_000).await;
    assert_eq!(failed, 0, "short requests failed");
    println!("{limit_mb} MB: {:?}", site.vms[0].process.peak_memory_mb());
    if limit_mb > 0 {
        // All callers still have their connections, and still read nothing.
        until_nothing_is_held(&site).await;
    }
    drop(callers);
    site
}

/// Guards against a VM that is killed because callers leave their answers unread, and against callers
/// that keep the memory for ever.
#[actix_rt::test]
async fn long_answers_that_callers_do_not_read_stay_within_the_limit() {
    let unlimited = run_unread_answers(0).await;
    let unlimited_mb = unlimited.vms[0].process.peak_memory_mb();
    assert!(unlimited_mb > f64::from(LIMIT_MB), "the load is too small: {unlimited_mb} MB");
    drop(unlimited);
    let mut site = run_unread_answers(LIMIT_MB).await;
    let limited_mb = site.vms[0].process.peak_memory_mb();
    assert!(limited_mb < f64::from(LIMIT_MB), "{limited_mb} MB");
    until_logged(&site, "\"caller cut off\"").await;
    assert!(site.vms[0].metric("leverstream_callers_cut_off_total").await > 0.0);
    let call = Call::new(&format!("{TESTED}after"));
    let answer = call.send(&site.vms[0]).await.expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (200, LONG_ANSWER_BYTES));
    assert_eq!(site.vms[0].process.try_exit_code(), None);
}

/// Guards against a caller that is cut off although it goes on reading.
#[actix_rt::test]
async fn caller_that_reads_slowly_gets_its_whole_answer() {
    /// The bytes that the caller reads each second; the whole takes longer than the unread limit.
    const PART_BYTES: usize = LONG_ANSWER_BYTES / 7;
    let site = start(LIMIT_MB, Behaviour::AnswersLong).await;
    let mut stream = connect(site.vms[0].callers()).await;
    let call = Call::new(&format!("{TESTED}slow"));
    stream.write_all(&call.bytes()).await.expect("the request is sent");
    let mut part = vec![0; PART_BYTES];
    for number in 0..7 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        stream.read_exact(&mut part).await.unwrap_or_else(|error| panic!("{number}: {error}"));
    }
    assert_eq!(site.vms[0].metric("leverstream_callers_cut_off_total").await, 0.0);
    until_nothing_is_held(&site).await;
}

/// Guards against a caller that gets 502 in place of the answer of a backend server which turns a long
/// body away, and against a reused connection on which the rest of the body would be a request.
#[actix_rt::test]
async fn answer_of_a_backend_server_that_has_not_read_the_body_reaches_the_caller() {
    let site = start(LIMIT_MB, Behaviour::AnswersEarly).await;
    for number in 0..5 {
        let path = format!("{TESTED}early-{number}");
        let call = Call { method: "POST", body: vec![b'e'; LONG_BYTES], ..Call::new(&path) };
        let answer = call.send(&site.vms[0]).await.expect("an answer");
        assert_eq!((answer.status, &*answer.body), (413, &b"no"[..]), "{number}");
    }
    until_nothing_is_held(&site).await;
}

/// Guards against half an upload that reaches a backend server, or that stays in memory.
#[actix_rt::test]
async fn upload_whose_caller_disconnects_in_its_middle_reaches_no_backend_server() {
    let site = start(LIMIT_MB, Behaviour::ReadsNothing).await;
    let path = format!("{NON_REPEATABLE}cut");
    let mut callers = Vec::new();
    for _ in 0..5 {
        let mut stream = connect(site.vms[0].callers()).await;
        stream.write_all(&upload_head(&path)).await.expect("the head is sent");
        stream.write_all(&vec![b'c'; LONG_BYTES / 2]).await.expect("half of the body is sent");
        callers.push(stream);
    }
    until("half of the bodies is held", || async {
        (held_bytes(&site, "Body").await >= (5 * LONG_BYTES / 3) as f64).then_some(())
    })
    .await;
    drop(callers);
    until_nothing_is_held(&site).await;
    assert_eq!(site.runs(&path), 0);
    assert!(site.origins.iter().all(|origin| origin.requests().is_empty()));
}

/// Guards against chunked uploads, whose length isn't known, that are refused or damaged under a memory
/// limit.
#[actix_rt::test]
async fn chunked_uploads_are_forwarded_whole_under_a_limit() {
    const PART: &[u8] = &[b'p'; 50_000];
    let site = start(LIMIT_MB, Behaviour::ReadsNothing).await;
    let to = site.vms[0].callers();
    let mut uploads = Vec::new();
    for number in 0..10 {
        let fields = vec![("transfer-encoding", "chunked".to_owned())];
        let path = format!("{NON_REPEATABLE}chunked-{number}");
        let mut bytes = Call { method: "POST", fields, ..Call::new(&path) }.bytes();
        for _ in 0..30 {
            bytes.extend_from_slice(format!("{:x}\r\n", PART.len()).as_bytes());
            bytes.extend_from_slice(PART);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        uploads.push(async move { send(to, &bytes).await.map(|answer| answer.status) });
    }
    let statuses = futures_util::future::join_all(uploads).await;
    assert!(statuses.iter().all(|status| *status == Ok(200)), "{statuses:?}");
    let requests: Vec<_> = site.origins.iter().flat_map(Origin::requests).collect();
    assert_eq!(requests.len(), 10);
    assert!(requests.iter().all(|request| request.body == PART.repeat(30)));
    until_nothing_is_held(&site).await;
}

/// The length of bodies of which a VM with a limit of 16 MB holds one: bodies may use 1.25 MB.
const HALF_BYTES: usize = 1_200_000;

/// Returns an upload of [`HALF_BYTES`] whose caller waits long.
fn half_upload(path: &str) -> Call {
    let fields = vec![("content-length", HALF_BYTES.to_string())];
    let path = format!("{NON_REPEATABLE}{path}");
    Call { method: "POST", fields, caller_timeout_ms: 20_000, ..Call::new(&path) }
}

/// Has a caller send all but the last byte of an upload, and waits until the VM holds it.
async fn hold_body(site: &Site) -> TcpStream {
    let mut holder = connect(site.vms[0].callers()).await;
    holder.write_all(&half_upload("holder").bytes()).await.expect("the head is sent");
    let most = vec![b'b'; HALF_BYTES - 1];
    holder.write_all(&most).await.expect("nearly all of the body is sent");
    until("the body is held", || async {
        (held_bytes(site, "Body").await >= HALF_BYTES as f64).then_some(())
    })
    .await;
    holder
}

/// Guards against a body that the VM goes on reading while memory is short, and against a caller that
/// waits a twentieth of a long time to learn that its body can't be taken.
#[actix_rt::test]
async fn paused_upload_is_not_read_and_is_refused_soon() {
    // Buffers of the operating system on both sides, and the part that waits for memory: 152 kB. A VM
    // that reads on while it keeps nothing takes 283 to 315 kB in the same time.
    const MOST_SENT: usize = 215_000;
    let site = start(16, Behaviour::ReadsNothing).await;
    let _holder = hold_body(&site).await;
    let body = vec![b'b'; HALF_BYTES];
    let mut paused = connect(site.vms[0].callers()).await;
    paused.write_all(&half_upload("paused").bytes()).await.expect("the head is sent");
    let mut sent = 0;
    let write_on = async {
        while sent < HALF_BYTES {
            sent += paused.write(&body[sent..]).await.expect("the connection stays open");
        }
    };
    // Less than the longest pause, 100 ms.
    let is_blocked = tokio::time::timeout(Duration::from_millis(80), write_on).await.is_err();
    assert!(is_blocked && sent < MOST_SENT, "the VM has read on: {sent} bytes were sent");
    let mut start = [0; 12];
    let refused = tokio::time::timeout(Duration::from_millis(600), paused.read_exact(&mut start));
    refused.await.expect("it is refused before a twentieth of 20 s").expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 503");
    assert_eq!(site.vms[0].metric("leverstream_memory_pauses_total").await, 1.0);
}

/// Guards against a paused body that isn't read on when there is memory again.
#[actix_rt::test]
async fn paused_upload_goes_on_when_memory_is_returned() {
    let site = start(16, Behaviour::ReadsNothing).await;
    let body = vec![b'b'; HALF_BYTES];
    for number in 0..10 {
        let holder = hold_body(&site).await;
        let mut paused = connect(site.vms[0].callers()).await;
        let path = format!("paused-{number}");
        paused.write_all(&half_upload(&path).bytes()).await.expect("the head is sent");
        let release = async {
            // A part of the longest pause, 100 ms.
            tokio::time::sleep(Duration::from_millis(30)).await;
            drop(holder);
        };
        let (sent, ()) = tokio::join!(paused.write_all(&body), release);
        sent.expect("the whole body is sent");
        let mut start = [0; 12];
        paused.read_exact(&mut start).await.expect("an answer");
        assert_eq!(&start, b"HTTP/1.1 200");
        assert_eq!(site.runs(&format!("{NON_REPEATABLE}holder")), 0);
        until_nothing_is_held(&site).await;
        // A slow VM may not have come to read the body before there was memory.
        if site.vms[0].metric("leverstream_memory_pauses_total").await > 0.0 {
            return;
        }
    }
    panic!("no upload was paused");
}

/// Guards against a caller that waits longer than its time on a VM that has just started, as the time
/// for its body starts only once the configuration is known.
#[actix_rt::test]
async fn time_for_a_body_starts_when_its_request_arrives() {
    const TIMEOUT_MS: u64 = 400;
    let mut site = start(LIMIT_MB, Behaviour::ReadsNothing).await;
    let faults = Faults { delay_ms: 120, ..Faults::default() };
    site.platform.set_faults(&faults).await;
    site.vms[0].restart();
    let to = site.vms[0].callers();
    let mut stream = until("the VM accepts", || async { TcpStream::connect(to).await.ok() }).await;
    let fields = vec![("content-length", "10".to_owned())];
    let path = format!("{NON_REPEATABLE}unfinished");
    let call = Call { method: "POST", fields, caller_timeout_ms: TIMEOUT_MS, ..Call::new(&path) };
    stream.write_all(&call.bytes()).await.expect("the head is sent");
    assert!(!site.vms[0].is_ready().await, "the configuration was known already");
    let started = Instant::now();
    let mut head = vec![0; 4_096];
    let length = stream.read(&mut head).await.expect("an answer");
    let took_ms = started.elapsed().as_millis() as u64;
    println!("answered after {took_ms} ms");
    let head = String::from_utf8_lossy(&head[..length]);
    assert!(head.contains("leverstream-error: deadline-passed"), "{head}");
    assert!(took_ms < TIMEOUT_MS + 60, "{took_ms} ms");
}

/// Guards against a caller that has to send its whole body to learn that it can't be taken.
#[actix_rt::test]
async fn body_that_does_not_fit_is_refused_before_it_is_sent() {
    // Bodies may use 1.25 MB of this limit.
    let site = start(16, Behaviour::ReadsNothing).await;
    let refusal = async |length: usize| {
        let fields = vec![("content-length", length.to_string())];
        let call = Call { method: "POST", fields, ..Call::new(NON_REPEATABLE) };
        send(site.vms[0].callers(), &call.bytes()).await.expect("an answer")
    };
    assert_eq!(refusal(BODY_LIMIT_BYTES + 1).await.status, 413);
    let answer = refusal(BODY_LIMIT_BYTES).await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.text("leverstream-error"), Some("memory-short"));
    assert!(answer.text("retry-after").is_some());
}
