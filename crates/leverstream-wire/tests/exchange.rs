//! Exchanges with servers whose answers are whole, truncated, unframed, early, late, malformed or
//! followed by surplus bytes.

use std::cell::Cell;
use std::net::SocketAddr;

use leverstream_wire::{Answer, Conn, MemoryGrant, Message, Progress, RequestHead, WireError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

/// How the server ends a connection.
#[derive(Clone, Copy)]
enum End {
    /// The connection stays open.
    StaysOpen,
    /// The server closes it with a FIN.
    Fin,
    /// The server resets it.
    Reset,
}

/// Serves one connection: reads the head of a request, sends `bytes` and ends as `end` says.
async fn spawn_server(bytes: &'static [u8], end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut read = vec![0; 4096];
        let _ = stream.read(&mut read).await;
        stream.write_all(bytes).await.expect("the answer is sent");
        match end {
            End::StaysOpen => std::future::pending::<()>().await,
            End::Fin => {}
            End::Reset => {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(std::time::Duration::ZERO)).expect("linger can be set");
            }
        }
    });
    address
}

/// Makes one exchange, which skips an answer with an `x-id` other than `mine`.
///
/// Returns the answer and whether the connection is reusable.
async fn exchange(bytes: &'static [u8], end: End) -> (Result<Answer, WireError>, bool) {
    let mut conn = Conn::open(spawn_server(bytes, end).await).await.expect("the server listens");
    let progress = Progress::default();
    assert!(!progress.is_sent());
    let request = RequestHead::new("GET", "/x").finish(b"");
    let is_own = |answer: &Answer| answer.text("x-id").is_none_or(|id| id == "mine");
    let answer = conn.exchange(&request, false, &progress, is_own).await;
    assert!(progress.is_sent());
    (answer, conn.is_reusable())
}

/// Runs a future on a new single-threaded runtime.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(future)
}

#[parameterized(
    length = { b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", End::StaysOpen, true },
    chunks = {
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
        End::StaysOpen, true
    },
    trailers = {
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
        End::StaysOpen, true
    },
    informational_first = {
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        End::StaysOpen, true
    },
    body_until_close = { b"HTTP/1.1 200 OK\r\n\r\nabc", End::Fin, false },
    connection_close = {
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", End::StaysOpen, false
    },
    surplus_bytes_after_answer = {
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n", End::StaysOpen, false
    },
    answer_to_earlier_request_first = {
        b"HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: 1\r\n\r\nzHTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 3\r\n\r\nabc",
        End::StaysOpen, true
    },
)]
fn whole_answer_is_returned(bytes: &'static [u8], end: End, is_reusable: bool) {
    let (answer, reusable) = block_on(exchange(bytes, end));
    assert_eq!(&*answer.expect("the answer is received").body, b"abc");
    assert_eq!(reusable, is_reusable);
}

/// Guards against a panic, or a wrong time, because of a number in an answer that is none or out of range.
#[parameterized(
    seconds = { b"HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=5\r\nContent-Length: 3\r\n\r\nabc", Some(5_000) },
    sign = { b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=+5\r\nContent-Length: 3\r\n\r\nabc", None },
    no_number = { b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=\r\nContent-Length: 3\r\n\r\nabc", None },
    out_of_range = {
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=18446744073709551615\r\nContent-Length: 3\r\n\r\nabc",
        Some(u64::MAX)
    },
)]
fn keep_alive_time_is_a_number_of_digits(bytes: &'static [u8], expected_ms: Option<u64>) {
    let (answer, _) = block_on(exchange(bytes, End::StaysOpen));
    assert_eq!(answer.expect("the answer is received").keep_alive_ms(), expected_ms);
}

#[parameterized(
    no_bytes = { b"", End::Fin, WireError::Truncated },
    head_only = { b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", End::Fin, WireError::Truncated },
    truncated_body = { b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", End::Fin, WireError::Truncated },
    truncated_chunks = {
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", End::Fin, WireError::Truncated
    },
    reset_before_close = { b"HTTP/1.1 200 OK\r\n\r\nabc", End::Reset, WireError::Truncated },
    not_http = { b"\x00\x01\x02 none of it\r\n\r\n", End::StaysOpen, WireError::Malformed },
    two_lengths = {
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", End::StaysOpen,
        WireError::Malformed
    },
    length_and_chunks = {
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", End::StaysOpen,
        WireError::Malformed
    },
    bad_chunk = {
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", End::StaysOpen,
        WireError::Malformed
    },
)]
fn incomplete_or_malformed_answer_is_an_error(bytes: &'static [u8], end: End, error: WireError) {
    let (answer, reusable) = block_on(exchange(bytes, end));
    assert_eq!(answer.expect_err("the exchange fails"), error);
    assert!(!reusable);
}

#[test]
fn early_answer_prevents_reuse_of_the_connection() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let address = listener.local_addr().expect("the listener is bound");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let answer = b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
            stream.write_all(answer).await.expect("the answer is sent");
            // The body is never read, so the writes of the client block.
            std::future::pending::<()>().await;
        });
        let mut conn = Conn::open(address).await.expect("the server listens");
        let request = RequestHead::new("POST", "/x").finish(&vec![b'x'; 64 << 20]);
        let progress = Progress::default();
        let answer = conn.exchange(&request, false, &progress, |_| true).await;
        assert_eq!(answer.expect("the early answer is received").status, 413);
        assert!(!conn.is_reusable());
    });
}

/// Guards against an answer that is lost because the backend server closes the connection after it
/// with a part of the body unread, so that the next write fails.
#[test]
fn early_answer_is_returned_after_the_server_closed_the_connection() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let address = listener.local_addr().expect("the listener is bound");
        let mut conn = Conn::open(address).await.expect("the server listens");
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let answer = b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno";
        stream.write_all(answer).await.expect("the answer is sent");
        drop(stream);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        let head = RequestHead::new("POST", "/x").finish_head();
        let message = Message { head: &head, body: &vec![b'x'; 64 << 20] };
        let (progress, grant) = (Progress::default(), Counter::new(2));
        let exchange = conn.exchange_within(message, false, &progress, |_| true, &grant);
        assert_eq!(exchange.await.expect("the early answer is received").status, 413);
        assert!(!conn.is_reusable());
    });
}

/// Grants a number of bytes and counts those taken.
struct Counter {
    /// The bytes left.
    left: Cell<usize>,
}

impl Counter {
    /// Grants `left` bytes.
    fn new(left: usize) -> Counter {
        Counter { left: Cell::new(left) }
    }
}

impl MemoryGrant for Counter {
    async fn take(&self, bytes: usize) -> Result<(), WireError> {
        let left = self.left.get().checked_sub(bytes).ok_or(WireError::TooLarge)?;
        self.left.set(left);
        Ok(())
    }
}

/// Guards against an answer of which more is read than there is memory for.
#[parameterized(
    length = { b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 3 },
    chunks = { b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 32 << 10 },
    until_close = { b"HTTP/1.1 200 OK\r\n\r\nabc", 16 << 10 },
)]
fn memory_is_taken_before_the_body_is_read(bytes: &'static [u8], needed: usize) {
    block_on(async {
        for (granted, is_enough) in [(needed, true), (needed - 1, false)] {
            let address = spawn_server(bytes, End::Fin).await;
            let mut conn = Conn::open(address).await.expect("the server listens");
            let head = RequestHead::new("GET", "/x").finish_head();
            let message = Message { head: &head, body: &[] };
            let (progress, grant) = (Progress::default(), Counter::new(granted));
            let answer = conn.exchange_within(message, false, &progress, |_| true, &grant).await;
            assert_eq!(answer.is_ok(), is_enough);
            assert_eq!(answer.err(), (!is_enough).then_some(WireError::TooLarge));
        }
    });
}

#[test]
fn idle_connection_with_unread_bytes_or_closed_by_server_is_not_clean() {
    block_on(async {
        for (bytes, end) in [(&b"HTTP/1.1 200 OK\r\n"[..], End::StaysOpen), (&b""[..], End::Fin)] {
            let listener =
                TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
            let address = listener.local_addr().expect("the listener is bound");
            let conn = Conn::open(address).await.expect("the server listens");
            assert!(conn.is_clean());
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            stream.write_all(bytes).await.expect("the bytes are sent");
            if let End::Fin = end {
                drop(stream);
            }
            while conn.is_clean() {
                tokio::task::yield_now().await;
            }
        }
    });
}

#[test]
fn on_head_is_called_before_the_body_is_whole() {
    const CUT: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx-says: 1\r\n\r\nbody";
    block_on(async {
        let mut conn =
            Conn::open(spawn_server(CUT, End::Fin).await).await.expect("the server listens");
        let has_seen_head = Cell::new(false);
        let on_head = |head: &Answer| {
            has_seen_head.set(head.text("x-says") == Some("1") && head.body.is_empty());
            true
        };
        let request = RequestHead::new("GET", "/x").finish(b"");
        let answer = conn.exchange(&request, false, &Progress::default(), on_head).await;
        assert_eq!(answer.err(), Some(WireError::Truncated));
        assert!(has_seen_head.get());
    });
}

/// Guards against a caller with a large upload that gets the answer to an earlier request: that
/// answer arrives late on the reused connection, while the body is still being sent.
#[test]
fn answer_to_an_earlier_request_is_skipped_while_the_body_is_sent() {
    const BODY_BYTES: usize = 16 << 20;
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let address = listener.local_addr().expect("the listener is bound");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let late = b"HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nother";
            stream.write_all(late).await.expect("the bytes are sent");
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            let (mut remaining, mut buffer) = (BODY_BYTES, vec![0; 64 << 10]);
            while remaining > 0 {
                remaining = remaining.saturating_sub(
                    stream.read(&mut buffer).await.expect("the request body arrives"),
                );
            }
            let own = b"HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 4\r\n\r\nmine";
            stream.write_all(own).await.expect("the bytes are sent");
            std::future::pending::<()>().await;
        });
        let mut conn = Conn::open(address).await.expect("the server listens");
        let mut head = RequestHead::new("PUT", "/x");
        head.field("content-length", BODY_BYTES.to_string().as_bytes());
        let request = head.finish(&vec![7; BODY_BYTES]);
        let is_own = |answer: &Answer| answer.text("x-id").is_none_or(|id| id == "mine");
        let progress = Progress::default();
        let exchange = conn.exchange(&request, false, &progress, is_own);
        let limit = std::time::Duration::from_secs(20);
        let answer =
            tokio::time::timeout(limit, exchange).await.expect("the exchange ends in time");
        assert_eq!(answer.expect("the answer is received").body.as_ref(), b"mine");
    });
}

#[test]
fn slow_answer_is_read_and_a_stalled_one_times_out() {
    // Models the list of ten thousand backend servers, fetched over a VM's slow and shared link.
    const PARTS: u64 = 30;
    let exchange_slowly = async |part_ms: u64, sent: u64| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
        let address = listener.local_addr().expect("the listener is bound");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the client connects");
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {PARTS}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.expect("the head is sent");
            for _ in 0..sent {
                tokio::time::sleep(std::time::Duration::from_millis(part_ms)).await;
                stream.write_all(b"x").await.expect("a part is sent");
            }
            std::future::pending::<()>().await;
        });
        let mut conn = Conn::open(address).await.expect("the server listens");
        conn.set_read_timeout(1_000);
        let request = RequestHead::new("GET", "/x").finish(b"");
        conn.exchange(&request, false, &Progress::default(), |_| true).await
    };
    block_on(async {
        let whole = exchange_slowly(50, PARTS)
            .await
            .expect("the whole answer is read, in longer than the timeout");
        assert_eq!(whole.body.len() as u64, PARTS);
        assert_eq!(
            exchange_slowly(1, PARTS - 1).await.expect_err("the last part never arrives"),
            WireError::TimedOut
        );
    });
}

/// Serves one connection from a thread of its own: reads a part of a long request, sends `bytes` and resets the connection.
fn spawn_resetting_server(bytes: &'static [u8]) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut read = vec![0; 64 << 10];
        let mut total = 0;
        while total < 512 << 10 {
            total += stream.read(&mut read).expect("the request arrives");
        }
        stream.write_all(bytes).expect("the answer is sent");
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("linger can be set");
    });
    address
}

/// Guards against a part of an answer that passes for the whole: the write of the request takes the connection's error, and
/// the read that follows sees a plain end.
#[parameterized(
    without_length = { b"HTTP/1.1 200 OK\r\n\r\nabc" },
    with_length = { b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc" },
    chunked = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n" },
)]
fn an_answer_cut_by_a_reset_while_the_request_is_written_is_not_whole(bytes: &'static [u8]) {
    block_on(async {
        for _ in 0..40 {
            let address = spawn_resetting_server(bytes);
            let mut conn = Conn::open(address).await.expect("the server listens");
            let body = vec![b'x'; 16 << 20];
            let request = RequestHead::new("POST", "/x").finish(&body);
            let progress = Progress::default();
            let answer = conn.exchange(&request, false, &progress, |_| true).await;
            assert!(answer.is_err(), "{answer:?}");
        }
    });
}

/// The size of a request body that does not fit into the buffers of a connection, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

/// How often each exchange is repeated: which call meets the reset first is a matter of chance.
const RESET_REPEATS: usize = 6;

/// An answer to a request before the one whose answer is cut.
const FIRST_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Serves one connection from a thread of its own: answers so many small requests, then reads the next one, or a part of it if
/// it is long, sends `bytes` and resets the connection.
fn spawn_server_that_resets(answered: usize, is_long: bool, bytes: Vec<u8>) -> SocketAddr {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut read = vec![0; 64 << 10];
        for _ in 0..answered {
            let _ = stream.read(&mut read).expect("a request arrives");
            stream.write_all(FIRST_ANSWER).expect("the answer is sent");
        }
        let least_bytes = if is_long { 256 << 10 } else { 1 };
        let mut total = 0;
        while total < least_bytes {
            total += stream.read(&mut read).expect("the request arrives");
        }
        stream.write_all(&bytes).expect("a part of the answer is sent");
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("linger can be set");
    });
    address
}

/// Guards against a part of an answer that passes for the whole, wherever the reset comes: in the head, right after it, in the
/// body or before its end; with the request written or half written; at the first or at a later request of the connection.
#[parameterized(
    without_length = { b"HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n", b"abcdef" },
    with_length = { b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n", b"abcdef" },
    chunked = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"3\r\nabc\r\n3\r\ndef\r\n0\r\n\r" },
)]
fn an_answer_cut_by_a_reset_anywhere_is_not_whole(head: &'static [u8], body: &'static [u8]) {
    let whole = [head, body].concat();
    let places = [0, head.len() / 2, head.len(), head.len() + body.len() / 2, whole.len()];
    let ways = places.iter().flat_map(|place| {
        [false, true].map(|is_long| [0, 1].map(|answered| (*place, is_long, answered)))
    });
    for (place, is_long, answered) in ways.flatten() {
        for _ in 0..RESET_REPEATS {
            let address = spawn_server_that_resets(answered, is_long, whole[..place].to_vec());
            let answer = block_on(exchange_after(address, answered, is_long));
            assert!(answer.is_err(), "{place} bytes, long {is_long}, after {answered}: {answer:?}");
        }
    }
}

/// Makes so many small exchanges on one connection and returns the answer to one more.
async fn exchange_after(
    address: SocketAddr,
    answered: usize,
    is_long: bool,
) -> Result<Answer, WireError> {
    let mut conn = Conn::open(address).await.expect("the server listens");
    let progress = Progress::default();
    for _ in 0..answered {
        let request = RequestHead::new("GET", "/first").finish(b"");
        let first = conn.exchange(&request, false, &progress, |_| true).await;
        assert_eq!(&*first.expect("the first answer is whole").body, b"ok");
    }
    let body = vec![b'x'; if is_long { LONG_BODY_BYTES } else { 3 }];
    let request = RequestHead::new("POST", "/x").finish(&body);
    conn.exchange(&request, false, &progress, |_| true).await
}
