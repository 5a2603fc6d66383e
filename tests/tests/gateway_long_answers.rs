//! Answers that a VM with little memory can't hold, or can't hold yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use leverstream_catalog::{Backend, Catalog};
use leverstream_platform::headers;
use leverstream_tests::site::{Call, HOST, Site, backend, catalog, route};
use leverstream_tests::until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The memory limit, of which large answers may use 1.75 MB.
const LIMIT_MB: u32 = 16;

/// Path prefix of the requests; their path ends with the length of the answer.
const TESTED: &str = "/tested/";

/// The bytes of an answer that can never be held.
const TOO_LARGE_BYTES: usize = 1_800_000;

/// Serves answers of the lengths that the paths of requests name, and counts the requests.
async fn serve(listener: TcpListener, runs: Arc<AtomicUsize>) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("the listener works");
        let runs = Arc::clone(&runs);
        tokio::spawn(async move { while answer(&mut stream, &runs).await.is_ok() {} });
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
    stream.write_all(&vec![b'a'; length]).await
}

/// Starts a VM with little memory and backend servers of a repeatable route; returns the number of
/// requests that reached them.
async fn start(backends: usize) -> (Site, Arc<AtomicUsize>) {
    let mut site = Site::start(0, 1).await;
    let tested = route(TESTED, true, "other");
    let services = site.catalog.services.clone().into_iter().collect();
    let limits = catalog(1).limits;
    let routes = vec![(HOST.to_owned(), tested)];
    site.catalog = Catalog::build(2, routes, services, limits).expect("the catalog is valid");
    site.put_catalog(2).await;
    let runs = Arc::new(AtomicUsize::new(0));
    for number in 0..backends {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        tokio::spawn(serve(listener, Arc::clone(&runs)));
        let entry = backend(&format!("tested-{number}"), address);
        site.list_backend(&Backend { service: "other".to_owned(), slots: 8, ..entry }).await;
    }
    site.add_vm_with_memory(LIMIT_MB);
    site.until_ready().await;
    (site, runs)
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
    let (site, runs) = start(3).await;
    for number in 0..5 {
        let call = call(&format!("large-{number}"), TOO_LARGE_BYTES);
        let answer = call.send(&site.vms[0]).await.expect("an answer");
        assert_eq!(answer.status, 502);
        assert_eq!(answer.text("leverstream-error"), Some("answer-invalid"));
        assert_eq!(runs.load(Ordering::SeqCst), number + 1);
    }
    for line in logged(&site, "attempt failed", 5).await {
        assert!(line.contains("\"outcome\":\"Neutral\""), "{line}");
    }
    let answer = call("short", 1_000).send(&site.vms[0]).await.expect("an answer");
    assert_eq!((answer.status, answer.body.len()), (200, 1_000));
}
