//! Opens connections to backend servers and to other VMs.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use leverstream_wire::Conn;

use crate::gateway::Inner;
use crate::meters::ConnectResult;

/// The timeout for opening a connection.
///
/// A handshake takes a millisecond or two. If it takes longer than this, a packet was lost or the
/// host is down; as nothing was sent, another backend server can take the request.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum ConnectError {
    /// connection refused
    Refused,
    /// no connection in time
    Unreachable,
}

/// Opens a connection to a backend server before the deadline, within [`CONNECT_TIMEOUT_MS`].
pub(crate) async fn connect(
    inner: &Inner,
    address: SocketAddr,
    deadline_ms: u64,
) -> Result<Conn, ConnectError> {
    let left_ms = deadline_ms.saturating_sub(inner.now_ms()).min(CONNECT_TIMEOUT_MS);
    connect_within(inner, address, left_ms).await
}

/// Opens a connection to a backend server within a timeout, and counts how that ended.
pub(crate) async fn connect_within(
    inner: &Inner,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Conn, ConnectError> {
    let opened = open_within(inner, address, timeout_ms).await;
    inner.meters.note_connect(match &opened {
        Ok(_) => ConnectResult::Opened,
        Err(ConnectError::Refused) => ConnectResult::Refused,
        Err(ConnectError::Unreachable) => ConnectResult::Unreachable,
    });
    opened
}

/// Opens a connection to another VM.
pub(crate) async fn connect_to_vm(
    inner: &Inner,
    address: SocketAddr,
) -> Result<Conn, ConnectError> {
    open_within(inner, address, CONNECT_TIMEOUT_MS).await
}

/// Opens a connection within a timeout, uncounted.
async fn open_within(
    inner: &Inner,
    address: SocketAddr,
    timeout_ms: u64,
) -> Result<Conn, ConnectError> {
    let open = async {
        match inner.memory.socket_buffer_bytes() {
            Some(bytes) => Conn::open_with_buffers(address, bytes).await,
            None => Conn::open(address).await,
        }
    };
    match tokio::time::timeout(Duration::from_millis(timeout_ms), open).await {
        Ok(Ok(conn)) => Ok(conn),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            Err(ConnectError::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(ConnectError::Unreachable),
    }
}
