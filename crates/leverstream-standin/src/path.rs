//! The network path from one VM to one backend server, which can be cut: connections hang, are refused, or live on
//! while new ones fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// The connections that fill the backlog of a listener that accepts none, so that further ones hang.
const BACKLOG_FILLERS: usize = 4;

/// The pause before an address that was given up is bound again.
const REBIND_PAUSE_MS: u64 = 5;

/// The state of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// Connections work.
    #[default]
    Up,
    /// Open connections carry no more bytes, and new ones hang.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Refusing,
    /// Open connections live on, and new ones are refused.
    NewRefused,
    /// Open connections carry no more bytes, and new ones work.
    OldSilent,
}

/// A path to one backend server; it ends when it is dropped.
pub struct Path {
    /// The address at which the VM reaches the backend server.
    pub address: SocketAddr,
    /// The state that the connections follow.
    state: Arc<watch::Sender<PathState>>,
    /// The backend server.
    target: SocketAddr,
    /// The listener's task, if it listens.
    task: Mutex<Option<AbortHandle>>,
    /// The connections that fill the backlog while new ones hang.
    fillers: Mutex<Vec<TcpStream>>,
}

impl Path {
    /// Opens a path to a backend server.
    pub async fn open(target: SocketAddr) -> std::io::Result<Path> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(PathState::Up));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&state))).abort_handle();
        Ok(Path { address, state, target, task: Mutex::new(Some(task)), fillers: Mutex::default() })
    }

    /// Sets the state of the path.
    pub async fn set(&self, state: PathState) {
        if *self.state.borrow() == state {
            return;
        }
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
        self.fillers.lock().clear();
        self.state.send_replace(state);
        if matches!(state, PathState::Refusing | PathState::NewRefused) {
            return;
        }
        let listener = self.rebind().await;
        if state == PathState::Silent {
            self.fill_backlog(listener).await;
            return;
        }
        let accepting = accept(listener, self.target, Arc::clone(&self.state));
        *self.task.lock() = Some(tokio::spawn(accepting).abort_handle());
    }

    /// Listens on the path's address again, once the earlier listener is gone.
    async fn rebind(&self) -> TcpListener {
        loop {
            if let Ok(listener) = listen(self.address) {
                return listener;
            }
            tokio::time::sleep(Duration::from_millis(REBIND_PAUSE_MS)).await;
        }
    }

    /// Fills the backlog of a listener that accepts nothing; the listener lives as long as its task.
    async fn fill_backlog(&self, listener: TcpListener) {
        for _ in 0..BACKLOG_FILLERS {
            let opening = TcpStream::connect(self.address);
            let opened = tokio::time::timeout(Duration::from_millis(REBIND_PAUSE_MS), opening);
            if let Ok(Ok(stream)) = opened.await {
                self.fillers.lock().push(stream);
            }
        }
        let holding = async move {
            let _listener = listener;
            std::future::pending::<()>().await;
        };
        *self.task.lock() = Some(tokio::spawn(holding).abort_handle());
    }
}

impl Drop for Path {
    fn drop(&mut self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }
}

/// Listens with the smallest backlog, which [`Path`] can fill.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections and relays each to the backend server.
async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<PathState>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let states = state.subscribe();
        // A connection that breaks only ends its own relay.
        tokio::spawn(async move {
            let _ = relay(stream, target, states).await;
        });
    }
}

/// Relays one connection until it ends or the path's state breaks it.
async fn relay(
    mut stream: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<PathState>,
) -> std::io::Result<()> {
    let mut upstream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let is_broken = |state: &PathState| {
        matches!(state, PathState::Silent | PathState::Refusing | PathState::OldSilent)
    };
    // A connection that was accepted while old ones are silent is a new one.
    states.mark_unchanged();
    let broken = async {
        loop {
            if states.changed().await.is_err() {
                return PathState::Refusing;
            }
            let state = *states.borrow_and_update();
            if is_broken(&state) {
                return state;
            }
        }
    };
    let relayed = tokio::io::copy_bidirectional(&mut stream, &mut upstream);
    let state = tokio::select! {
        _ = relayed => return Ok(()),
        state = broken => state,
    };
    if state == PathState::Refusing {
        // The close of a socket with this option resets the connection.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        return Ok(());
    }
    // The bytes of a silent connection are lost for good, also when the path works again.
    std::future::pending::<std::io::Result<()>>().await
}
