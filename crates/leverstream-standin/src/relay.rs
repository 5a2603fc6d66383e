//! A TCP relay with faults: either direction cut alone, delay, truncation, a reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Bytes are read but never handed on.
    pub is_blackholed: bool,
    /// Bytes are handed on so much later.
    pub delay_ms: u64,
    /// The connection ends after so many bytes of the direction.
    pub close_after_bytes: Option<u64>,
}

/// The faults of both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// From the side that connects to the target.
    pub forward: Fault,
    /// From the target back.
    pub reverse: Fault,
}

/// A running relay to one target, for TCP and UDP at the same port.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it leads, once that is known; until then whoever connects waits.
    target: watch::Sender<Option<SocketAddr>>,
    /// The faults in force.
    faults: watch::Sender<Faults>,
    /// Bytes that reached the target.
    forwarded_bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Spawns a relay on the present runtime.
    pub async fn spawn(target: SocketAddr) -> std::io::Result<Relay> {
        let relay = Relay::spawn_without_target().await?;
        relay.set_target(target);
        Ok(relay)
    }

    /// Spawns a relay whose address must be known before that of its target is.
    pub async fn spawn_without_target() -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (faults, seen) = watch::channel(Faults::default());
        let (target, aim) = watch::channel(None);
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&forwarded_bytes);
        if let Ok(socket) = UdpSocket::bind(address).await {
            let (aim, seen) = (aim.clone(), seen.clone());
            tokio::spawn(async move {
                let Some(target) = aimed(aim).await else { return };
                relay_datagrams(socket, target, seen).await;
            });
        }
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (aim, seen, count) = (aim.clone(), seen.clone(), Arc::clone(&count));
                tokio::spawn(async move {
                    let Some(target) = aimed(aim).await else { return };
                    relay_stream(stream, target, seen, count).await;
                });
            }
        });
        Ok(Relay { address, target, faults, forwarded_bytes })
    }

    /// Says where it leads.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Puts faults in force, for open connections too.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Returns how many bytes have reached the target.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }
}

/// Waits until it is known where a relay leads; none if it is gone.
async fn aimed(mut aim: watch::Receiver<Option<SocketAddr>>) -> Option<SocketAddr> {
    aim.wait_for(Option::is_some).await.ok().and_then(|target| *target)
}

/// Relays one connection.
async fn relay_stream(
    stream: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Faults>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    let Ok(other) = TcpStream::connect(target).await else { return };
    let (_, _) = (stream.set_nodelay(true), other.set_nodelay(true));
    let (read, write) = stream.into_split();
    let (other_read, other_write) = other.into_split();
    let unused = Arc::new(AtomicU64::new(0));
    let forward = pump(read, other_write, faults.clone(), |f| f.forward, forwarded_bytes);
    let back = pump(other_read, write, faults, |f| f.reverse, unused);
    tokio::select! {
        () = async { tokio::join!(forward, back); } => {}
    }
}

/// Hands on the bytes of one direction until it ends.
async fn pump(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    faults: watch::Receiver<Faults>,
    side: fn(&Faults) -> Fault,
    passed_bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 << 10];
    let mut handed = 0_u64;
    loop {
        let count = match read.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let fault = side(&faults.borrow());
        if fault.is_blackholed {
            continue;
        }
        if fault.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        let room = fault.close_after_bytes.map_or(u64::MAX, |limit| limit.saturating_sub(handed));
        let take = count.min(usize::try_from(room).unwrap_or(usize::MAX));
        if write.write_all(&buffer[..take]).await.is_err() {
            break;
        }
        handed += take as u64;
        passed_bytes.fetch_add(take as u64, Ordering::Relaxed);
        if take < count {
            break;
        }
    }
    // A cut direction also loses the end of the stream.
    if side(&faults.borrow()).is_blackholed {
        std::future::pending::<()>().await;
    }
    let _ = write.shutdown().await;
}

/// Relays datagrams between the last sender and the target.
async fn relay_datagrams(socket: UdpSocket, target: SocketAddr, faults: watch::Receiver<Faults>) {
    let mut buffer = vec![0; 64 << 10];
    let mut sender = target;
    while let Ok((count, from)) = socket.recv_from(&mut buffer).await {
        let now = *faults.borrow();
        let (fault, to) =
            if from == target { (now.reverse, sender) } else { (now.forward, target) };
        if from != target {
            sender = from;
        }
        if !fault.is_blackholed {
            let _ = socket.send_to(&buffer[..count], to).await;
        }
    }
}
