//! Servers that send bytes without end which form no answer.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use leverstream_wire::{Conn, MemoryGrant, Message, Progress, RequestHead, WireError};
use yare::parameterized;

/// The size of a request body that does not fit into the buffers of a connection, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

/// The size of the buffers of a connection, on both sides.
const BUFFER_BYTES: u32 = 64 << 10;

/// The number of bytes after which a server stops, so that a client which reads on and on is seen.
const MAX_SENT_BYTES: u64 = 128 << 20;

/// The number of bytes that a server may send until a client has given up on a head, or on the lines of a chunked body: what
/// the client may take, and the buffers in between.
const HEAD_ROOM_BYTES: u64 = 1 << 20;

/// The number of bytes that a client may hold for the body of an answer in these tests.
const GRANTED_BYTES: usize = 2 << 20;

/// The most that one look of another task may be late by, in bytes sent meanwhile by the server.
const TURN_ROOM_BYTES: u64 = 4 << 20;

/// Grants a number of bytes.
struct Limited {
    /// The bytes left.
    left: Cell<usize>,
}

impl MemoryGrant for Limited {
    async fn take(&self, bytes: usize) -> Result<(), WireError> {
        let left = self.left.get().checked_sub(bytes).ok_or(WireError::TooLarge)?;
        self.left.set(left);
        Ok(())
    }
}

/// Counts what a server has sent.
#[derive(Debug, Default)]
struct Sent {
    /// The bytes.
    bytes: AtomicU64,
}

/// Serves one connection from a thread of its own: sends `start`, then `part` again and again until the client closes.
fn spawn_endless_server(start: &'static [u8], part: &'static [u8], sent: &Arc<Sent>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(BUFFER_BYTES as usize).expect("the buffer can be set");
    let sent = Arc::clone(sent);
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let socket = socket2::SockRef::from(&stream);
        socket.set_send_buffer_size(BUFFER_BYTES as usize).expect("the buffer can be set");
        let _ = stream.read(&mut [0; 64]);
        let _ = send_without_end(&mut stream, start, part, &sent);
    });
    address
}

/// Sends until the client closes, or until it has taken more than any client may.
fn send_without_end(
    stream: &mut TcpStream,
    start: &[u8],
    part: &[u8],
    sent: &Sent,
) -> std::io::Result<()> {
    let block = part.repeat((16 << 10) / part.len() + 1);
    stream.write_all(start)?;
    while sent.bytes.load(Ordering::Relaxed) < MAX_SENT_BYTES {
        stream.write_all(&block)?;
        sent.bytes.fetch_add(block.len() as u64, Ordering::Relaxed);
    }
    Ok(())
}

/// Makes one exchange beside a task that looks, at each of its turns, at how much the server has sent since the last.
///
/// Returns the error of the exchange and the largest number of bytes between two looks.
fn exchange_beside_another_task(
    address: SocketAddr,
    body_bytes: usize,
    sent: &Sent,
) -> (Option<WireError>, u64) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(async {
        let most_bytes = Cell::new(0);
        let watch = async {
            let mut last_bytes = 0;
            loop {
                let bytes = sent.bytes.load(Ordering::Relaxed);
                most_bytes.set(most_bytes.get().max(bytes - last_bytes));
                last_bytes = bytes;
                tokio::task::yield_now().await;
            }
        };
        let exchange = async {
            let mut conn =
                Conn::open_with_buffers(address, BUFFER_BYTES).await.expect("it listens");
            let head = RequestHead::new("POST", "/x").finish_head();
            let message = Message { head: &head, body: &vec![b'x'; body_bytes] };
            let (progress, grant) =
                (Progress::default(), Limited { left: Cell::new(GRANTED_BYTES) });
            let is_own = |answer: &leverstream_wire::Answer| answer.text("x-id").is_none();
            conn.exchange_within(message, false, &progress, is_own, &grant).await.err()
        };
        let error = tokio::select! {
            error = exchange => error,
            () = watch => unreachable!("the other task never ends"),
        };
        (error, most_bytes.get())
    })
}

/// Guards against bytes without end that keep a VM busy, fill its memory, or keep its other tasks from running: a part of a head,
/// of a chunked body or of its trailers, and answers that are skipped, while the request is written and after it.
#[parameterized(
    reason_phrase = { b"HTTP/1.1 200 ", b"OK and so on ", HEAD_ROOM_BYTES },
    field_value = { b"HTTP/1.1 200 OK\r\nx-field: ", b"value", HEAD_ROOM_BYTES },
    fields = { b"HTTP/1.1 200 OK\r\n", b"x-field: value\r\n", HEAD_ROOM_BYTES },
    empty_lines = { b"", b"\r\n", HEAD_ROOM_BYTES },
    no_answer = { b"", b"\x01\x02\x03", HEAD_ROOM_BYTES },
    chunk_size = { CHUNKED, b"0", HEAD_ROOM_BYTES },
    chunk_extension = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", b"extension", HEAD_ROOM_BYTES },
    trailers = { b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"x-field: value\r\n", HEAD_ROOM_BYTES },
    small_chunks = { CHUNKED, b"1\r\nx\r\n", HEAD_ROOM_BYTES },
    informational_answers = { b"", b"HTTP/1.1 100 Continue\r\n\r\n", HEAD_ROOM_BYTES },
    answers_to_another_request = { b"", b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 3\r\n\r\nabc", HEAD_ROOM_BYTES },
    chunks = { CHUNKED, b"10\r\n0123456789abcdef\r\n", HEAD_ROOM_BYTES + 2 * GRANTED_BYTES as u64 },
    body = { b"HTTP/1.1 200 OK\r\n\r\n", b"body", HEAD_ROOM_BYTES + GRANTED_BYTES as u64 },
)]
fn bytes_without_end_are_given_up(start: &'static [u8], part: &'static [u8], room_bytes: u64) {
    for body_bytes in [3, LONG_BODY_BYTES] {
        let sent = Arc::new(Sent::default());
        let address = spawn_endless_server(start, part, &sent);
        let (error, most_bytes) = exchange_beside_another_task(address, body_bytes, &sent);
        let error = error.expect("there is no answer");
        assert!(matches!(error, WireError::Malformed | WireError::TooLarge), "{error:?}");
        let sent_bytes = sent.bytes.load(Ordering::Relaxed);
        assert!(sent_bytes < room_bytes, "{sent_bytes} bytes were taken, body of {body_bytes}");
        assert!(most_bytes < TURN_ROOM_BYTES, "{most_bytes} bytes in one turn");
    }
}

/// The head of a chunked answer.
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
