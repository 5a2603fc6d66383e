//! Crowds of callers that misbehave, and what a VM holds meanwhile.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

use crate::WAIT_TIMEOUT;
use crate::site::{Call, Vm, send};

/// The size of a caller's socket buffers, so that the data is not held on its side.
const BUFFER_BYTES: u32 = 32 << 10;

/// How long a member of a crowd may wait for its connection.
const CONNECT_TIMEOUT_MS: u64 = 10_000;

/// The pause before a caller retries a request that was refused.
const RETRY_PAUSE_MS: u64 = 100;

/// The interval between two readings of what a VM holds.
const SAMPLE_INTERVAL_MS: u64 = 25;

/// How much memory the operating system takes at most for each byte that waits in a socket; it doubles the size of a buffer
/// for that.
const SYSTEM_FACTOR: u64 = 2;

/// What a member of a crowd does once it has sent its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// It reads whatever arrives.
    Reads,
    /// It reads nothing and keeps its connection open.
    ReadsNothing,
    /// It reads so many bytes each 100 ms.
    ReadsSlowly(usize),
}

/// What a member of a crowd sends: its parts follow each other, with a pause after each.
#[derive(Clone)]
pub struct Sends {
    /// The parts.
    pub parts: Vec<Arc<[u8]>>,
    /// How often all parts after the first are sent.
    pub rounds: usize,
    /// The pause after each part, in milliseconds.
    pub pause_ms: u64,
}

impl Sends {
    /// Sends some bytes once.
    pub fn once(bytes: Vec<u8>) -> Sends {
        Sends { parts: vec![bytes.into()], rounds: 0, pause_ms: 0 }
    }

    /// Sends a head, and then a part again and again.
    pub fn repeated(head: Vec<u8>, part: &Arc<[u8]>, rounds: usize) -> Sends {
        Sends { parts: vec![head.into(), Arc::clone(part)], rounds, pause_ms: 0 }
    }

    /// Sends it all on a connection.
    async fn send(&self, stream: &mut (impl AsyncWriteExt + Unpin)) -> std::io::Result<()> {
        let Some((first, rest)) = self.parts.split_first() else { return Ok(()) };
        stream.write_all(first).await?;
        for _ in 0..self.rounds {
            for part in rest {
                stream.write_all(part).await?;
                if self.pause_ms > 0 {
                    tokio::time::sleep(Duration::from_millis(self.pause_ms)).await;
                }
            }
        }
        Ok(())
    }
}

/// A crowd of callers, which keep their connections open until it is dropped or the VM closes them.
///
/// The members of a crowd that returns connect again whenever their connections end.
pub struct Crowd {
    /// The members.
    _members: JoinSet<()>,
}

impl Crowd {
    /// Starts a crowd whose members connect to an address; each sends what the function returns for its number.
    pub fn spawn(
        count: usize,
        to: SocketAddr,
        then: Then,
        sends: impl Fn(usize) -> Sends,
    ) -> Crowd {
        let mut members = JoinSet::new();
        for number in 0..count {
            let sends = sends(number);
            members.spawn(async move {
                // A connection that the VM refuses or closes is its way to bound what it holds.
                let _ = run_member(to, then, &sends).await;
            });
        }
        Crowd { _members: members }
    }

    /// Starts a crowd as [`Crowd::spawn`] does, which returns.
    pub fn spawn_returning(
        count: usize,
        to: SocketAddr,
        then: Then,
        sends: impl Fn(usize) -> Sends,
    ) -> Crowd {
        let mut members = JoinSet::new();
        for number in 0..count {
            let sends = sends(number);
            members.spawn(async move {
                loop {
                    let _ = run_member(to, then, &sends).await;
                    tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                }
            });
        }
        Crowd { _members: members }
    }
}

/// Runs a member of a crowd until its connection ends.
async fn run_member(to: SocketAddr, then: Then, sends: &Sends) -> std::io::Result<()> {
    let connecting = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let mut stream = tokio::time::timeout(connecting, connect(to)).await??;
    let (mut reader, mut writer) = stream.split();
    let sending = async {
        sends.send(&mut writer).await?;
        std::future::pending::<std::io::Result<()>>().await
    };
    let reading = async {
        let (part_bytes, pause_ms) = match then {
            Then::Reads => (64 << 10, 0),
            Then::ReadsSlowly(bytes) => (bytes, 100),
            Then::ReadsNothing => return std::future::pending().await,
        };
        let mut part = vec![0; part_bytes];
        while reader.read(&mut part).await? > 0 {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        Ok(())
    };
    tokio::select! {
        sent = sending => sent,
        read = reading => read,
    }
}

/// Opens a connection with small buffers.
async fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_send_buffer_size(BUFFER_BYTES)?;
    socket.connect(to).await
}

/// Sends a request as an ordinary caller, which retries it while it is refused or its connection is closed, and returns the
/// body of the answer.
///
/// # Panics
///
/// Panics if it is not answered with status 200 within [`WAIT_TIMEOUT`].
pub async fn until_served(vm: &Vm, new_call: impl Fn() -> Call) -> Vec<u8> {
    let started = Instant::now();
    loop {
        let result = new_call().send(vm).await;
        match result {
            Ok(answer) if answer.status == 200 => return answer.body.to_vec(),
            other => {
                let outcome = other.map(|answer| {
                    (answer.status, answer.text("leverstream-error").unwrap_or_default().to_owned())
                });
                assert!(started.elapsed() < WAIT_TIMEOUT, "not served; the last try: {outcome:?}");
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

/// Sends a request to any listener, again while its connection is closed, and returns the status of the answer.
///
/// # Panics
///
/// Panics if there is no answer within [`WAIT_TIMEOUT`].
pub async fn until_answered(to: SocketAddr, request: &[u8]) -> u16 {
    let started = Instant::now();
    loop {
        match send(to, request).await {
            Ok(answer) => return answer.status,
            Err(error) => {
                assert!(started.elapsed() < WAIT_TIMEOUT, "not answered; the last try: {error:?}");
            }
        }
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

/// Watches what a VM holds until it is dropped.
pub struct UsageWatch {
    /// The largest values so far.
    peaks: Arc<Peaks>,
}

/// The largest values that were read.
#[derive(Default)]
struct Peaks {
    /// The memory of the process and what waits in its sockets, in bytes.
    memory_bytes: AtomicU64,
    /// What waits in its sockets, in bytes.
    system_bytes: AtomicU64,
    /// The number of open descriptors.
    descriptors: AtomicU64,
    /// Whether the watch has ended.
    is_ended: AtomicBool,
}

impl UsageWatch {
    /// Starts a thread that watches a VM.
    pub fn spawn(vm: &Vm) -> UsageWatch {
        let peaks = Arc::new(Peaks::default());
        let (shared, pid) = (Arc::clone(&peaks), vm.process.pid());
        let local = kernel_address(vm.ip());
        std::thread::spawn(move || {
            while !shared.is_ended.load(Ordering::Relaxed) {
                let system_bytes = socket_bytes(pid, &local) * SYSTEM_FACTOR;
                let memory_bytes = resident_bytes(pid) + system_bytes;
                shared.memory_bytes.fetch_max(memory_bytes, Ordering::Relaxed);
                shared.system_bytes.fetch_max(system_bytes, Ordering::Relaxed);
                shared.descriptors.fetch_max(descriptors(pid), Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS));
            }
        });
        UsageWatch { peaks }
    }

    /// Returns the most memory that the process and its sockets took together, in megabytes.
    pub fn peak_memory_mb(&self) -> f64 {
        self.peaks.memory_bytes.load(Ordering::Relaxed) as f64 / 1e6
    }

    /// Returns the most memory that waiting data took in its sockets, in megabytes.
    pub fn peak_system_mb(&self) -> f64 {
        self.peaks.system_bytes.load(Ordering::Relaxed) as f64 / 1e6
    }

    /// Returns the largest number of open descriptors.
    pub fn peak_descriptors(&self) -> u64 {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.peaks.is_ended.store(true, Ordering::Relaxed);
    }
}

/// Returns an IP address as the kernel's list of sockets shows it.
fn kernel_address(ip: &str) -> String {
    let bytes = ip.split('.').rev().map(|part| part.parse::<u8>().expect("an IPv4 address"));
    bytes.map(|byte| format!("{byte:02X}")).collect()
}

/// Returns the bytes that wait to be read or to be acknowledged in the sockets of a process, and in those of a local address that
/// the process has not accepted yet or has closed. Listening sockets, whose columns count connections, are left out.
fn socket_bytes(pid: u32, local: &str) -> u64 {
    const LISTENING: &str = "0A";
    let own = socket_inodes(pid);
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = table.lines().filter_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let [_, address, _, state, queues, _, _, _, _, inode, ..] = columns[..] else {
            return None;
        };
        let (sent, received) = queues.split_once(':')?;
        let bytes = |text| u64::from_str_radix(text, 16).unwrap_or(0);
        let is_own = address.starts_with(local) || own.contains(inode);
        (is_own && state != LISTENING).then(|| bytes(sent) + bytes(received))
    });
    queued.sum()
}

/// Returns the inodes of the sockets that a process has open.
fn socket_inodes(pid: u32) -> HashSet<String> {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return HashSet::new() };
    let targets = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    let inode = |target: PathBuf| {
        let inode = target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    };
    targets.filter_map(inode).collect()
}

/// Returns the resident memory of a process, in bytes; 0 if it has ended.
fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0)
        * 1_024
}

/// Returns the number of open descriptors of a process; 0 if it has ended.
fn descriptors(pid: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |entries| entries.count() as u64)
}
