//! VMs of a site whose paths to the backend servers can be cut while callers, the store and other VMs reach them.
//!
//! Such a VM reads the store through a view that names a path of its own for each backend server. It has a data hall of
//! its own, so that it reads the store itself.

use std::net::SocketAddr;
use std::time::Duration;

use leverstream_standin::path::{Path, PathState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::site::{HALL, Site, Vm};
use crate::until;

/// A VM with paths of its own to all backend servers.
pub struct CutVm {
    /// The VM.
    pub vm: Vm,
    /// The paths, one for each backend server of the site when the VM was started.
    paths: Vec<Path>,
    /// The tasks of the view, stopped with the VM.
    view: AbortHandle,
}

impl CutVm {
    /// Starts a VM in a data hall, with all VMs of the site as its seeds, and waits until it is ready.
    pub async fn start(site: &Site, hall: &str, settings: &str) -> CutVm {
        let mut paths = Vec::new();
        let mut renamed = Vec::new();
        for origin in &site.origins {
            let path = Path::open(origin.address).await.expect("a port is free");
            renamed.push((origin.address.to_string(), path.address.to_string()));
            paths.push(path);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let store = listener.local_addr().expect("the listener has an address");
        let view = tokio::spawn(serve_view(listener, site.platform.address, renamed));
        let vm = Vm::start_with_settings(store, hall, &[], settings);
        let cut = CutVm { vm, paths, view: view.abort_handle() };
        cut.join(site).await;
        cut
    }

    /// Waits until the VM has read the store, and lets it join the VMs of the site.
    ///
    /// A VM that knew others before would take the list of backend servers from one of them.
    async fn join(&self, site: &Site) {
        let vm = &self.vm;
        until("the VM is ready", || async { vm.is_ready().await.then_some(()) }).await;
        vm.set_seeds(&site.vms.iter().map(|vm| vm.ip().to_owned()).collect::<Vec<_>>());
        let own = vm.callers().to_string();
        let names_others = || async {
            let named = vm.resolve(HALL).await;
            named.iter().any(|address| *address != own).then_some(())
        };
        until("the VM knows the others", names_others).await;
    }

    /// Kills the VM and starts it again.
    pub async fn restart(&mut self, site: &Site) {
        self.vm.set_seeds(&[]);
        self.vm.restart();
        self.join(site).await;
    }

    /// Sets the state of all paths to backend servers.
    pub async fn set_paths(&self, state: PathState) {
        for path in &self.paths {
            path.set(state).await;
        }
    }

    /// Sets the state of all paths to backend servers one after the other, with a pause after each.
    pub async fn set_paths_in_turn(&self, state: PathState, pause: Duration) {
        for path in &self.paths {
            path.set(state).await;
            tokio::time::sleep(pause).await;
        }
    }

    /// Sets the state of the paths to some backend servers, by their index in the site.
    pub async fn set_some_paths(&self, backends: &[usize], state: PathState) {
        for index in backends {
            self.paths[*index].set(state).await;
        }
    }
}

impl Drop for CutVm {
    fn drop(&mut self) {
        self.view.abort();
    }
}

/// Serves a view of the store in which addresses are replaced.
async fn serve_view(listener: TcpListener, store: SocketAddr, renamed: Vec<(String, String)>) {
    while let Ok((client, _)) = listener.accept().await {
        let renamed = renamed.clone();
        // A connection that breaks only ends its own relay.
        tokio::spawn(async move {
            let _ = relay_view(client, store, &renamed).await;
        });
    }
}

/// Relays one connection to the store and replaces addresses in the answers.
async fn relay_view(
    client: TcpStream,
    store: SocketAddr,
    renamed: &[(String, String)],
) -> std::io::Result<()> {
    let (mut client_read, mut client_write) = client.into_split();
    let (mut store_read, mut store_write) = TcpStream::connect(store).await?.into_split();
    let requests = async {
        tokio::io::copy(&mut client_read, &mut store_write).await?;
        store_write.shutdown().await
    };
    let answers = async {
        let mut held = Vec::new();
        while store_read.read_buf(&mut held).await? > 0 {
            let ready = replace_addresses(&mut held, renamed);
            client_write.write_all(&ready).await?;
        }
        client_write.write_all(&held).await?;
        client_write.shutdown().await
    };
    tokio::try_join!(requests, answers)?;
    Ok(())
}

/// Takes the bytes that can be passed on, with addresses replaced; keeps an address that is only partly there.
fn replace_addresses(held: &mut Vec<u8>, renamed: &[(String, String)]) -> Vec<u8> {
    let mut ready = Vec::with_capacity(held.len());
    let mut at = 0;
    while at < held.len() {
        let rest = &held[at..];
        if let Some((from, to)) = renamed.iter().find(|(from, _)| rest.starts_with(from.as_bytes()))
        {
            // The length of the answer is already sent.
            assert_eq!(from.len(), to.len(), "addresses of one length");
            ready.extend_from_slice(to.as_bytes());
            at += from.len();
        } else if renamed.iter().any(|(from, _)| from.as_bytes().starts_with(rest)) {
            break;
        } else {
            ready.push(rest[0]);
            at += 1;
        }
    }
    held.drain(..at);
    ready
}
