//! A caller that reads its answers slowly, over a connection whose buffers hold little.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// The size of the receive buffer. With a larger one, the operating system would take in much of the answer in the
/// caller's place.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// The number of pauses while an answer is read.
const PAUSES: u32 = 25;

/// A connection of a caller that reads slowly.
pub struct SlowCaller {
    /// The connection.
    stream: TcpStream,
    /// What was read and not taken yet.
    received: Vec<u8>,
}

/// What a caller got of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// The status.
    pub status: u16,
    /// The length of the body that the answer announces, in bytes.
    pub due_bytes: usize,
    /// The bytes of the body that arrived.
    pub body_bytes: usize,
}

impl Received {
    /// Returns whether the body arrived whole.
    pub fn is_whole(&self) -> bool {
        self.body_bytes == self.due_bytes
    }
}

impl SlowCaller {
    /// Connects to a VM.
    pub async fn connect(to: SocketAddr) -> SlowCaller {
        SlowCaller::try_connect(to).await.expect("the VM accepts the connection")
    }

    /// Connects to a VM; returns `None` if it doesn't accept the connection within a second.
    pub async fn try_connect(to: SocketAddr) -> Option<SlowCaller> {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the size can be set");
        let connecting = tokio::time::timeout(Duration::from_secs(1), socket.connect(to));
        let stream = connecting.await.ok()?.ok()?;
        Some(SlowCaller { stream, received: Vec::new() })
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the bytes are sent");
    }

    /// Sends bytes; returns `false` if the connection has ended.
    pub async fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Reads one answer, its body of about `bytes` over a duration; returns `None` if the connection ends before its head does.
    pub async fn read(&mut self, bytes: usize, duration: Duration) -> Option<Received> {
        let head_end = loop {
            if let Some(at) = self.received.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            if self.read_some(4 << 10).await == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.received[..head_end]).to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let due_bytes: usize = length?.trim().parse().ok()?;
        let piece_bytes = (bytes / PAUSES as usize).max(1);
        let mut since_pause_bytes = 0;
        while self.received.len() < head_end + due_bytes {
            let count = self.read_some(piece_bytes).await;
            if count == 0 {
                break;
            }
            since_pause_bytes += count;
            if since_pause_bytes >= piece_bytes {
                since_pause_bytes = 0;
                tokio::time::sleep(duration / PAUSES).await;
            }
        }
        let body_bytes = (self.received.len() - head_end).min(due_bytes);
        self.received.drain(..head_end + body_bytes);
        Some(Received { status, due_bytes, body_bytes })
    }

    /// Reads at most so many bytes; returns how many arrived, 0 if the connection has ended.
    async fn read_some(&mut self, limit: usize) -> usize {
        let mut part = vec![0; limit];
        let count = self.stream.read(&mut part).await.unwrap_or(0);
        self.received.extend_from_slice(&part[..count]);
        count
    }
}
