//! A pool of idle connections for each traffic thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::conn::Conn;

/// How long an idle connection is kept; shorter than the idle timeout of most servers.
const MAX_IDLE_MS: u64 = 4_000;

/// The most idle connections to one address in the pool of a thread.
const MAX_IDLE_CONNECTIONS: usize = 32;

thread_local! {
    /// The idle connections of this thread.
    static POOL: RefCell<Pool> = RefCell::default();
}

/// A pool of idle connections.
#[derive(Default)]
struct Pool {
    /// The connections by address, each with the time it became idle, the latest last.
    idle: HashMap<SocketAddr, Vec<(u64, Conn)>>,
}

/// Takes an idle connection of this thread that is still usable.
pub(crate) fn take(address: SocketAddr, now_ms: u64) -> Option<Conn> {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.idle.get_mut(&address)?;
        while let Some((since_ms, conn)) = idle.pop() {
            if now_ms.saturating_sub(since_ms) < MAX_IDLE_MS && conn.is_clean() {
                return Some(conn);
            }
        }
        pool.idle.remove(&address);
        None
    })
}

/// Returns a connection to the pool of this thread.
pub(crate) fn put(address: SocketAddr, conn: Conn, now_ms: u64) {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.idle.entry(address).or_default();
        idle.retain(|(since_ms, _)| now_ms.saturating_sub(*since_ms) < MAX_IDLE_MS);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((now_ms, conn));
        }
    });
}
