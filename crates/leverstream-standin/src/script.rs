//! A backend server that sends scripted bytes, for answers no library would send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A running server that answers each request with the same bytes.
pub struct Script {
    /// Where it listens.
    pub address: SocketAddr,
    /// Request heads that have arrived.
    requests: Arc<AtomicU64>,
}

/// What the server sends.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    /// Sent as soon as a connection opens.
    pub greeting: Vec<u8>,
    /// Sent after each request's head.
    pub answer: Vec<u8>,
    /// Whether the connection closes after an answer.
    pub close: bool,
}

impl Script {
    /// Spawns the server on the present runtime.
    pub async fn spawn(lines: Lines) -> std::io::Result<Script> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, lines.clone(), Arc::clone(&count)));
            }
        });
        Ok(Script { address, requests })
    }

    /// Returns how many request heads have arrived.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Serves one connection.
async fn serve(mut stream: TcpStream, lines: Lines, requests: Arc<AtomicU64>) {
    let _ = stream.write_all(&lines.greeting).await;
    let mut seen = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        seen.extend_from_slice(&buffer[..count]);
        while let Some(end) = seen.windows(4).position(|window| window == b"\r\n\r\n") {
            seen.drain(..end + 4);
            requests.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(&lines.answer).await;
            if lines.close {
                return;
            }
        }
    }
}
