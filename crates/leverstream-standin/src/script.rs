//! A backend server that sends scripted bytes, for answers no library would send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A running server that answers each request with the same bytes.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// What has happened.
    counts: Arc<Counts>,
}

/// What has happened at a script.
#[derive(Default)]
struct Counts {
    /// Request heads that have arrived.
    requests: AtomicU64,
    /// Times that unasked bytes were sent late.
    late: AtomicU64,
}

/// How long after an answer unasked bytes are sent.
const LATE_MS: u64 = 20;

/// What the server sends.
#[derive(Clone, Debug, Default)]
pub struct ScriptedBytes {
    /// Sent as soon as a connection opens.
    pub greeting: Vec<u8>,
    /// Sent after each request's head.
    pub answer: Vec<u8>,
    /// Sent some time after each answer, unasked.
    pub unsolicited: Vec<u8>,
    /// Whether the connection closes after an answer.
    pub close: bool,
}

impl ScriptedServer {
    /// Spawns the server on the present runtime.
    pub async fn spawn(lines: ScriptedBytes) -> std::io::Result<ScriptedServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, lines.clone(), Arc::clone(&shared)));
            }
        });
        Ok(ScriptedServer { address, counts })
    }

    /// Returns how many request heads have arrived.
    pub fn requests(&self) -> u64 {
        self.counts.requests.load(Ordering::SeqCst)
    }

    /// Returns how often unasked bytes were sent late.
    pub fn unsolicited_count(&self) -> u64 {
        self.counts.late.load(Ordering::SeqCst)
    }
}

/// Serves one connection.
async fn serve(mut stream: TcpStream, lines: ScriptedBytes, counts: Arc<Counts>) {
    let _ = stream.write_all(&lines.greeting).await;
    let mut seen = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        seen.extend_from_slice(&buffer[..count]);
        while let Some(end) = seen.windows(4).position(|window| window == b"\r\n\r\n") {
            seen.drain(..end + 4);
            counts.requests.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(&lines.answer).await;
            if !lines.unsolicited.is_empty() {
                tokio::time::sleep(std::time::Duration::from_millis(LATE_MS)).await;
                let _ = stream.write_all(&lines.unsolicited).await;
                counts.late.fetch_add(1, Ordering::SeqCst);
            }
            if lines.close {
                return;
            }
        }
    }
}
