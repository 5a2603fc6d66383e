//! Sound answers with one spoilt byte: the client reads what the grammar says of the bytes, or refuses them.

mod reference;

use std::net::SocketAddr;
use std::time::Duration;

use leverstream_standin::broken;
use leverstream_wire::{Answer, Conn, Progress, RequestHead, WireError};
use reference::ReadAnswer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// The bytes that are put in, or in place of another: those that mean something to the grammar, and some of each class that it
/// tells apart.
const SPOILING_BYTES: &[u8] =
    b"\0\x01\t\n\x0b\x0c\r\x1f \"+,-./019:;=Zafgx\\_{\x7f\x80\x85\xa0\xff";

/// The answers that are spoilt beside the unusual ones of the stand-in.
const MORE_ANSWERS: [&[u8]; 5] = [
    b"HTTP/1.1 200 OK\r\nx-id: mine\r\nconnection: close\r\n\r\nhello",
    b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\n\r\nhello",
    b"HTTP/1.1 204 No Content\r\nx-id: mine\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.0 304 Not Modified\r\nx-id: mine\r\ncontent-length: 7\r\n\r\n",
];

/// The time limit of one exchange. The server closes each connection, so that none comes near it.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns whether the value of `x-id` names the request of these tests.
fn is_own_id(value: &[u8]) -> bool {
    std::str::from_utf8(value).map(str::trim).is_ok_and(|id| id == "mine")
}

/// Returns whether an answer belongs to the request; one without an id does.
fn is_own(answer: &Answer) -> bool {
    answer.field("x-id").is_none_or(is_own_id)
}

/// Returns all ways to spoil one byte: changed, put in, left out.
fn spoilt(answer: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    (0..answer.len()).flat_map(move |at| {
        let replace = move |range: std::ops::Range<usize>, new: &[u8]| {
            let mut bytes = answer.to_vec();
            bytes.splice(range, new.iter().copied());
            bytes
        };
        let changed = SPOILING_BYTES.iter().map(move |byte| replace(at..at + 1, &[*byte]));
        let put_in = SPOILING_BYTES.iter().map(move |byte| replace(at..at, &[*byte]));
        changed.chain(put_in).chain(std::iter::once(replace(at..at + 1, &[])))
    })
}

/// A server on the runtime of its client, so that the two take turns.
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

    /// Makes one exchange in which the server sends bytes in pieces and closes the connection in order.
    async fn exchange(&self, bytes: &[u8], piece_bytes: usize) -> Result<Answer, WireError> {
        let mut conn = Conn::open(self.address).await.expect("the server listens");
        let (mut stream, _) = self.listener.accept().await.expect("the client connects");
        let request = RequestHead::new("GET", "/x").finish(b"");
        let progress = Progress::default();
        let exchange = conn.exchange(&request, false, &progress, is_own);
        let (answer, ()) = tokio::join!(
            tokio::time::timeout(TIMEOUT, exchange),
            send_in_pieces(&mut stream, bytes, piece_bytes),
        );
        // Leaves no port behind that waits for late packets.
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger can be set");
        answer.unwrap_or(Err(WireError::TimedOut))
    }
}

/// Reads a request and sends bytes in pieces, then the end of the connection.
async fn send_in_pieces(stream: &mut TcpStream, bytes: &[u8], piece_bytes: usize) {
    stream.set_nodelay(true).expect("the option can be set");
    let _ = stream.read(&mut [0; 1024]).await;
    for piece in bytes.chunks(piece_bytes) {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    let _ = stream.shutdown().await;
}

/// Spoils one answer in all ways, and returns a description of each whose outcome is not what the grammar says.
fn wrong_readings(answer: &[u8], piece_bytes: usize) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(async {
        let server = Server::bind().await;
        let mut wrong = Vec::new();
        for bytes in spoilt(answer) {
            let read = server.exchange(&bytes, piece_bytes).await;
            let shown = read.as_ref().map(|read| (read.status, read.body.clone()));
            let read = read.as_ref().ok();
            let read =
                read.map(|read| ReadAnswer { status: read.status, body: read.body.to_vec() });
            let expected = reference::read(&bytes, is_own_id);
            if read != expected {
                let text = bytes.escape_ascii();
                wrong.push(format!("{text}: {shown:?}, the grammar says {expected:?}"));
            }
        }
        wrong
    })
}

/// Guards against a spoilt byte after which a caller gets an answer that the backend server has not given, and against strictness
/// that refuses what is an answer all the same.
#[parameterized(
    at_once = { usize::MAX },
    in_pieces = { 7 },
    byte_by_byte = { 1 },
)]
fn a_spoilt_answer_is_refused_or_read_by_the_grammar(piece_bytes: usize) {
    let unusual = broken::sound_answers().map(|template| template.bytes("x-id: mine\r\n"));
    let more = MORE_ANSWERS.iter().map(|answer| answer.to_vec());
    let answers: Vec<Vec<u8>> = unusual.chain(more).collect();
    let wrong: Vec<String> = std::thread::scope(|scope| {
        let spawn = |answer: &Vec<u8>| {
            let answer = answer.clone();
            scope.spawn(move || wrong_readings(&answer, piece_bytes))
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
