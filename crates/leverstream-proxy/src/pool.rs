use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::conn::Conn;

/// How long an idle connection is kept, in milliseconds; less than most servers keep theirs.
const IDLE_LIMIT_MS: u64 = 4_000;

/// The most idle connections to one address that a thread keeps.
const IDLE_LIMIT: usize = 32;

thread_local! {
    /// The thread's idle connections.
    static POOL: RefCell<Pool> = RefCell::default();
}

/// Idle connections by address, each with when it became idle.
#[derive(Default)]
struct Pool {
    /// The connections, the last idle at the end.
    idle: HashMap<SocketAddr, Vec<(u64, Conn)>>,
}

/// Takes a clean idle connection of this thread.
pub(crate) fn take(address: SocketAddr, now_ms: u64) -> Option<Conn> {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.idle.get_mut(&address)?;
        while let Some((since_ms, conn)) = idle.pop() {
            if now_ms.saturating_sub(since_ms) < IDLE_LIMIT_MS && conn.is_clean() {
                return Some(conn);
            }
        }
        pool.idle.remove(&address);
        None
    })
}

/// Keeps a connection for this thread's next exchange.
pub(crate) fn put(address: SocketAddr, conn: Conn, now_ms: u64) {
    POOL.with_borrow_mut(|pool| {
        let idle = pool.idle.entry(address).or_default();
        idle.retain(|(since_ms, _)| now_ms.saturating_sub(*since_ms) < IDLE_LIMIT_MS);
        if idle.len() < IDLE_LIMIT {
            idle.push((now_ms, conn));
        }
    });
}
