//! A TCP and UDP relay that injects faults into each direction: loss of all bytes, delay and truncation; and that makes
//! open connections silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// A packet filter for a socket, of one instruction: keep no byte. The socket then acknowledges nothing.
const DROP_ALL_PACKETS: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// The fault of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Whether bytes are read but never forwarded.
    pub is_blackholed: bool,
    /// The delay of each forwarded chunk.
    pub delay_ms: u64,
    /// The number of bytes after which the connection closes.
    pub close_after_bytes: Option<u64>,
}

/// The faults of both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// From the client to the target.
    pub forward: Fault,
    /// From the target to the client.
    pub reverse: Fault,
}

/// A running relay to one target, for TCP and UDP on the same port.
pub struct Relay {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The target once it is set; until then new connections wait.
    target: watch::Sender<Option<SocketAddr>>,
    /// The faults in force.
    faults: watch::Sender<Faults>,
    /// The number of times that open connections were made silent.
    silenced: watch::Sender<u64>,
    /// The number of bytes forwarded to the target.
    forwarded_bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay on the current runtime.
    pub async fn spawn(target: SocketAddr) -> std::io::Result<Relay> {
        let relay = Relay::spawn_without_target().await?;
        relay.set_target(target);
        Ok(relay)
    }

    /// Starts a relay whose target is set later, for tests that need the relay's address before the target exists.
    pub async fn spawn_without_target() -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (faults, faults_in_force) = watch::channel(Faults::default());
        let (target, target_set) = watch::channel(None);
        let (silenced, silenced_count) = watch::channel(0);
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&forwarded_bytes);
        if let Ok(socket) = UdpSocket::bind(address).await {
            let (target_set, faults_in_force) = (target_set.clone(), faults_in_force.clone());
            tokio::spawn(async move {
                let Some(target) = wait_for_target(target_set).await else { return };
                relay_datagrams(socket, target, faults_in_force).await;
            });
        }
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (target_set, faults_in_force, count) =
                    (target_set.clone(), faults_in_force.clone(), Arc::clone(&count));
                let mut silenced_count = silenced_count.clone();
                silenced_count.mark_unchanged();
                tokio::spawn(async move {
                    let Some(target) = wait_for_target(target_set).await else { return };
                    relay_stream(stream, target, faults_in_force, silenced_count, count).await;
                });
            }
        });
        Ok(Relay { address, target, faults, silenced, forwarded_bytes })
    }

    /// Sets the target, to which waiting connections are then forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Sets the faults, which also apply to open connections.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Makes all open connections silent for good: what the client sends is not even acknowledged. New ones work.
    pub fn silence_open_connections(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    /// Returns the number of bytes forwarded to the target.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }
}

/// Waits until the target is set; returns `None` if the relay was dropped.
async fn wait_for_target(
    mut target_set: watch::Receiver<Option<SocketAddr>>,
) -> Option<SocketAddr> {
    target_set.wait_for(Option::is_some).await.ok().and_then(|target| *target)
}

/// Connects to the target and forwards both directions of one connection, until it ends or is made silent.
async fn relay_stream(
    stream: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<Faults>,
    mut silenced: watch::Receiver<u64>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let (_, _) = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let Ok(socket) = SockRef::from(&stream).try_clone() else { return };
    let (read, write) = stream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let reverse_bytes = Arc::new(AtomicU64::new(0));
    let forward =
        forward_bytes(read, upstream_write, faults.clone(), |f| f.forward, forwarded_bytes);
    let reverse = forward_bytes(upstream_read, write, faults, |f| f.reverse, reverse_bytes);
    let mut relaying = std::pin::pin!(async { tokio::join!(forward, reverse) });
    let is_silenced = tokio::select! {
        _ = &mut relaying => false,
        changed = silenced.changed() => changed.is_ok(),
    };
    if is_silenced {
        socket.attach_filter(&[DROP_ALL_PACKETS]).expect("a filter can be attached to a socket");
        // The connection stays open, so that the client gets no end of the stream either.
        std::future::pending::<()>().await;
    }
}

/// Forwards the bytes of one direction until it closes.
async fn forward_bytes(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    faults: watch::Receiver<Faults>,
    direction: fn(&Faults) -> Fault,
    total_bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 << 10];
    let mut forwarded = 0_u64;
    loop {
        let count = match read.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let fault = direction(&faults.borrow());
        if fault.is_blackholed {
            continue;
        }
        if fault.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        let remaining =
            fault.close_after_bytes.map_or(u64::MAX, |limit| limit.saturating_sub(forwarded));
        let sent = count.min(usize::try_from(remaining).unwrap_or(usize::MAX));
        if write.write_all(&buffer[..sent]).await.is_err() {
            break;
        }
        forwarded += sent as u64;
        total_bytes.fetch_add(sent as u64, Ordering::Relaxed);
        if sent < count {
            break;
        }
    }
    // A blackholed direction also loses the end of the stream, so the connection stays open.
    if direction(&faults.borrow()).is_blackholed {
        std::future::pending::<()>().await;
    }
    let _ = write.shutdown().await;
}

/// Forwards datagrams between the target and the client that sent last. Of the faults only `is_blackholed` applies.
async fn relay_datagrams(socket: UdpSocket, target: SocketAddr, faults: watch::Receiver<Faults>) {
    let mut buffer = vec![0; 64 << 10];
    let mut client = target;
    while let Ok((count, from)) = socket.recv_from(&mut buffer).await {
        let current = *faults.borrow();
        let (fault, to) =
            if from == target { (current.reverse, client) } else { (current.forward, target) };
        if from != target {
            client = from;
        }
        if !fault.is_blackholed {
            let _ = socket.send_to(&buffer[..count], to).await;
        }
    }
}
