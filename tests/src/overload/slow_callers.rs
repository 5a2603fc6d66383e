//! Callers that send long bodies slowly, break off in the middle of them, or leave their answers unread for a while.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use leverstream_wire::Answer;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::ranked::{RankedResult, UPLOADS, call, path, wrong_answer};

/// The size of the receive buffer of a caller that leaves its answer unread. With a larger one, the kernel would take in the
/// whole answer in its place.
const UNREAD_BUFFER_BYTES: u32 = 4 << 10;

/// How long a slow caller waits for its answer once it reads.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of pieces in which a long body is sent.
const PIECES: usize = 20;

/// What a slow caller does.
#[derive(Clone, Copy, Debug)]
pub(super) enum SlowCaller {
    /// It sends a body in pieces, with a pause after each.
    Upload {
        /// The size of the body.
        bytes: usize,
        /// The pause after each piece, in milliseconds.
        pause_ms: u64,
        /// The number of pieces after which it disconnects, if it does.
        breaks_off_after: Option<usize>,
    },
    /// It leaves an answer unread for a time.
    Unread {
        /// The size of the answer.
        bytes: usize,
        /// How long it doesn't read, in milliseconds.
        for_ms: u64,
    },
}

impl SlowCaller {
    /// Draws what a caller does.
    pub fn random(rng: &mut StdRng) -> SlowCaller {
        if rng.random_bool(0.5) {
            SlowCaller::Upload {
                bytes: rng.random_range(50_000..400_000),
                pause_ms: rng.random_range(5..70),
                breaks_off_after: rng.random_bool(0.25).then(|| rng.random_range(1..PIECES)),
            }
        } else {
            SlowCaller::Unread {
                bytes: rng.random_range(200_000..800_000),
                for_ms: rng.random_range(100..6_000),
            }
        }
    }

    /// Returns whether it disconnects before the whole body is sent.
    fn breaks_off(self) -> bool {
        matches!(self, SlowCaller::Upload { breaks_off_after: Some(_), .. })
    }

    /// Sends its request; returns the result, and whether the caller broke off in the middle of its body.
    pub async fn run(self, to: SocketAddr, workspace: &str) -> (RankedResult, bool) {
        let (mut call, rank, asked_bytes) = match self {
            SlowCaller::Upload { bytes, .. } => {
                let mut call = call(workspace, UPLOADS);
                call.method = "POST";
                call.body = vec![b'u'; bytes];
                (call, 1, 0)
            }
            SlowCaller::Unread { bytes, .. } => {
                (call(workspace, &format!("{}?answer_bytes={bytes}", path(2, true))), 2, bytes)
            }
        };
        call.fields.push(("connection", "close".to_owned()));
        let sent_at = Instant::now();
        let answer = self.exchange(to, &call.bytes(), call.body.len()).await;
        let result = RankedResult {
            rank,
            is_repeatable: matches!(self, SlowCaller::Unread { .. }),
            sent_at,
            status: answer.as_ref().map(|answer| answer.status),
            wrong_answer: answer.and_then(|answer| wrong_answer(&call.id, asked_bytes, &answer)),
            id: call.id,
        };
        (result, self.breaks_off())
    }

    /// Sends the request and reads the answer; returns `None` without a whole answer.
    async fn exchange(self, to: SocketAddr, request: &[u8], body_bytes: usize) -> Option<Answer> {
        let socket = TcpSocket::new_v4().ok()?;
        if matches!(self, SlowCaller::Unread { .. }) {
            socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES).ok()?;
        }
        let connecting = tokio::time::timeout(Duration::from_secs(1), socket.connect(to));
        let mut stream = connecting.await.ok()?.ok()?;
        let mut received = Vec::new();
        match self {
            SlowCaller::Upload { bytes, pause_ms, breaks_off_after } => {
                let (head, body) = request.split_at(request.len() - body_bytes);
                stream.write_all(head).await.ok()?;
                for (number, piece) in body.chunks(bytes.div_ceil(PIECES)).enumerate() {
                    if breaks_off_after == Some(number) {
                        return None;
                    }
                    // The server may answer before it has read the body, and need not read the rest.
                    let answered = stream.try_read_buf(&mut received).is_ok();
                    if answered || !write_in_time(&mut stream, piece).await {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
            SlowCaller::Unread { for_ms, .. } => {
                stream.write_all(request).await.ok()?;
                tokio::time::sleep(Duration::from_millis(for_ms)).await;
            }
        }
        // A reset after a whole answer loses nothing.
        let reading = stream.read_to_end(&mut received);
        let _ = tokio::time::timeout(READ_TIMEOUT, reading).await;
        parse(&received)
    }
}

/// Writes a piece of a body; returns `false` if the connection fails or the server reads nothing for long.
async fn write_in_time(stream: &mut TcpStream, piece: &[u8]) -> bool {
    tokio::time::timeout(READ_TIMEOUT, stream.write_all(piece)).await.is_ok_and(|sent| sent.is_ok())
}

/// Parses an answer whose length is given; returns `None` if it isn't whole.
fn parse(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&received[..end]).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().as_bytes().to_vec()));
    let body = received[end + 4..].to_vec();
    let answer = Answer { status, fields: fields.collect(), body: body.into() };
    let length: usize = answer.text("content-length")?.parse().ok()?;
    (answer.body.len() >= length).then_some(answer)
}
