//! Valid answers with one mutated byte: the client agrees with an independent reference parser.

mod reference;

use std::net::SocketAddr;
use std::time::Duration;

use leverstream_standin::malformed;
use leverstream_wire::{Answer, Conn, Progress, RequestHead, WireError};
use reference::ParsedAnswer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// The bytes that are inserted, or replace another: those with a meaning in the HTTP grammar, and some of each character class.
const MUTATION_BYTES: &[u8] =
    b"\0\x01\t\n\x0b\x0c\r\x1f \"+,-./019:;=Zafgx\\_{\x7f\x80\x85\xa0\xff";

/// The answers that are mutated in addition to the valid ones of the stand-in.
const MORE_ANSWERS: [&[u8]; 5] = [
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\nconnection: close\r\n\r\nhello",
    b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhello",
    b"HTTP/1.1 204 No Content\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.0 304 Not Modified\r\nx-id: mine\r\ncontent-length: 7\r\n\r\n",
];

/// The time limit of one exchange, which none reaches, as the server closes each connection.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns whether the value of `x-id` names the request of these tests.
fn is_own_id(value: &[u8]) -> bool {
    value == b"mine"
}

/// Returns whether an answer belongs to the request: it has no id, or the right one.
fn is_own(answer: &Answer) -> bool {
    answer.field("x-id").is_none_or(is_own_id)
}

/// Returns the bytes to mutate with: [`MUTATION_BYTES`], or all 256 if the environment variable `MUTATE_ALL_BYTES` is set.
fn mutation_bytes() -> Vec<u8> {
    match std::env::var_os("MUTATE_ALL_BYTES") {
        Some(_) => (0..=u8::MAX).collect(),
        None => MUTATION_BYTES.to_vec(),
    }
}

/// Returns all mutations of one byte: replaced, inserted before, deleted.
fn mutations(answer: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    (0..answer.len()).flat_map(move |at| {
        let replace = move |range: std::ops::Range<usize>, new: &[u8]| {
            let mut bytes = answer.to_vec();
            bytes.splice(range, new.iter().copied());
            bytes
        };
        let replaced = mutation_bytes().into_iter().map(move |byte| replace(at..at + 1, &[byte]));
        let inserted = mutation_bytes().into_iter().map(move |byte| replace(at..at, &[byte]));
        replaced.chain(inserted).chain(std::iter::once(replace(at..at + 1, &[])))
    })
}

/// A server on the single-threaded runtime of its client, so that the client runs between two writes.
struct Server {
    /// The listener.
    listener: TcpListener,
    /// Its address.
    address: SocketAddr,
}

impl Server {
    /// Starts to listen.
    async fn bind() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let address = listener.local_addr().expect("the listener is bound");
        Server { listener, address }
    }

    /// Makes one exchange in which the server sends bytes in several writes and closes the connection gracefully.
    async fn exchange(&self, bytes: &[u8], write_bytes: usize) -> Result<Answer, WireError> {
        let mut conn = Conn::open(self.address).await.expect("the server listens");
        let (mut stream, _) = self.listener.accept().await.expect("the client connects");
        let request = RequestHead::new("GET", "/x").finish(b"");
        let progress = Progress::default();
        let exchange = conn.exchange(&request, false, &progress, is_own);
        let (answer, ()) = tokio::join!(
            tokio::time::timeout(TIMEOUT, exchange),
            send_in_writes(&mut stream, bytes, write_bytes),
        );
        // Avoids thousands of sockets in TIME_WAIT.
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger can be set");
        answer.unwrap_or(Err(WireError::TimedOut))
    }
}

/// Reads a request, sends bytes in several writes and closes the sending side.
async fn send_in_writes(stream: &mut TcpStream, bytes: &[u8], write_bytes: usize) {
    stream.set_nodelay(true).expect("the option can be set");
    let _ = stream.read(&mut [0; 1024]).await;
    for part in bytes.chunks(write_bytes) {
        if stream.write_all(part).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    let _ = stream.shutdown().await;
}

/// Sends all mutations of an answer and describes those that the client and the reference parser read differently.
fn find_differences(answer: &[u8], write_bytes: usize) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(async {
        let server = Server::bind().await;
        let mut wrong = Vec::new();
        for bytes in mutations(answer) {
            let read = server.exchange(&bytes, write_bytes).await;
            let shown = read.as_ref().map(|read| (read.status, read.body.clone()));
            let read = read.as_ref().ok();
            let read =
                read.map(|read| ParsedAnswer { status: read.status, body: read.body.to_vec() });
            let expected = reference::parse(&bytes, is_own_id);
            if read != expected {
                let text = bytes.escape_ascii();
                wrong.push(format!("{text}: {shown:?}, expected {expected:?}"));
            }
        }
        wrong
    })
}

/// Guards against a corrupted byte that turns an answer into one that the backend server did not send, and against a parser that
/// rejects answers which are still valid.
#[parameterized(
    at_once = { usize::MAX },
    in_writes_of_seven = { 7 },
    byte_by_byte = { 1 },
)]
fn a_mutated_answer_is_parsed_as_by_the_reference_parser(write_bytes: usize) {
    let valid = malformed::valid_answers().map(|template| template.bytes("x-id: mine\r\n"));
    let more = MORE_ANSWERS.iter().map(|answer| answer.to_vec());
    let answers: Vec<Vec<u8>> = valid.chain(more).collect();
    let wrong: Vec<String> = std::thread::scope(|scope| {
        let spawn = |answer: &Vec<u8>| {
            let answer = answer.clone();
            scope.spawn(move || find_differences(&answer, write_bytes))
        };
        let threads: Vec<_> = answers.iter().map(spawn).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("the thread ends")).collect()
    });
    assert!(
        wrong.is_empty(),
        "{} wrong, such as\n{}",
        wrong.len(),
        wrong[..wrong.len().min(40)].join("\n")
    );
}
