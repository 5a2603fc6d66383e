//! A backend server that sends scripted bytes, for malformed answers that no HTTP library produces.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A running server that answers each request with the same bytes.
pub struct ScriptedServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The counts of received requests and unsolicited sends.
    counts: Arc<Counts>,
}

/// The counts of one server.
#[derive(Default)]
struct Counts {
    /// Request heads that have arrived.
    requests: AtomicU64,
    /// How often unsolicited bytes were sent.
    unsolicited: AtomicU64,
}

/// The delay between an answer and the unsolicited bytes.
const UNSOLICITED_DELAY_MS: u64 = 20;

/// The bytes that the server sends.
#[derive(Clone, Debug, Default)]
pub struct ScriptedBytes {
    /// Sent when a connection opens.
    pub greeting: Vec<u8>,
    /// Sent after each request head.
    pub answer: Vec<u8>,
    /// Sent without a request, shortly after each answer.
    pub unsolicited: Vec<u8>,
    /// Whether the server closes the connection after an answer.
    pub close: bool,
}

impl ScriptedServer {
    /// Starts the server on the current runtime.
    pub async fn spawn(bytes: ScriptedBytes) -> std::io::Result<ScriptedServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, bytes.clone(), Arc::clone(&shared)));
            }
        });
        Ok(ScriptedServer { address, counts })
    }

    /// Returns how many request heads have arrived.
    pub fn requests(&self) -> u64 {
        self.counts.requests.load(Ordering::SeqCst)
    }

    /// Returns how often unsolicited bytes were sent.
    pub fn unsolicited_count(&self) -> u64 {
        self.counts.unsolicited.load(Ordering::SeqCst)
    }
}

/// Serves one connection.
async fn serve(mut stream: TcpStream, bytes: ScriptedBytes, counts: Arc<Counts>) {
    let _ = stream.write_all(&bytes.greeting).await;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..count]);
        while let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            received.drain(..end + 4);
            counts.requests.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(&bytes.answer).await;
            if !bytes.unsolicited.is_empty() {
                tokio::time::sleep(std::time::Duration::from_millis(UNSOLICITED_DELAY_MS)).await;
                let _ = stream.write_all(&bytes.unsolicited).await;
                counts.unsolicited.fetch_add(1, Ordering::SeqCst);
            }
            if bytes.close {
                return;
            }
        }
    }
}
