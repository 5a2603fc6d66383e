//! Pool of idle connections to backend servers, and to the VMs that requests are passed on to.

use std::collections::HashMap;
use std::hash::Hash;

use leverstream_wire::Conn;

/// The keep-alive time of a connection for which the backend server names none.
const DEFAULT_KEEP_ALIVE_MS: u64 = 4_000;

/// The fraction of the keep-alive time for which a repeatable request uses an idle connection; the
/// margin avoids a connection that the backend server is about to close.
const USABLE_FRACTION: f64 = 0.7;

/// How long a connection may have been idle for a request that cannot be repeated.
///
/// The backend server may close an idle connection while such a request is on its way, and the
/// request would be lost.
const MAX_IDLE_NON_REPEATABLE_MS: u64 = 1_000;

/// The maximum number of idle connections kept per backend server.
const MAX_IDLE_CONNS: usize = 8;

/// The interval at which connections past their keep-alive time are closed.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Idle connections by what they lead to: an incarnation of a backend server, as a connection to an
/// earlier incarnation is dead, or the address of a VM.
#[derive(Debug)]
pub(crate) struct IdlePool<K> {
    /// The connections.
    by_target: HashMap<K, IdleConns>,
    /// When expired connections were last closed.
    swept_ms: u64,
}

/// Idle connections to one backend server, the most recently used last.
#[derive(Debug, Default)]
struct IdleConns {
    /// The connections, ordered by `since_ms`.
    conns: Vec<IdleConn>,
}

/// One idle connection.
#[derive(Debug)]
struct IdleConn {
    /// The connection.
    conn: Conn,
    /// When it became idle.
    since_ms: u64,
    /// How long the backend server keeps the connection open.
    keep_alive_ms: u64,
}

impl<K> Default for IdlePool<K> {
    fn default() -> IdlePool<K> {
        IdlePool { by_target: HashMap::new(), swept_ms: 0 }
    }
}

impl<K: Eq + Hash> IdlePool<K> {
    /// Takes a connection to a target that is safe to use for the request, and on which that was not refused before.
    pub fn take(
        &mut self,
        target: &K,
        request: u64,
        is_repeatable: bool,
        now_ms: u64,
    ) -> Option<Conn> {
        self.by_target.get_mut(target)?.take(request, is_repeatable, now_ms)
    }

    /// Closes all idle connections to a target.
    pub fn close_all(&mut self, target: &K) {
        self.by_target.remove(target);
    }

    /// Keeps a connection for a later request; `keep_alive_ms` is the time that the other side names.
    pub fn put(&mut self, target: K, conn: Conn, keep_alive_ms: Option<u64>, now_ms: u64) {
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_INTERVAL_MS {
            self.swept_ms = now_ms;
            self.by_target.retain(|_, conns| conns.sweep(now_ms));
        }
        let conns = self.by_target.entry(target).or_default();
        conns.put(conn, keep_alive_ms, now_ms);
    }
}

impl IdleConns {
    /// Closes expired connections; returns whether any is left.
    fn sweep(&mut self, now_ms: u64) -> bool {
        self.conns.retain(|idle| now_ms.saturating_sub(idle.since_ms) < idle.keep_alive_ms);
        !self.conns.is_empty()
    }

    /// Takes a connection that is safe to use for the request.
    fn take(&mut self, request: u64, is_repeatable: bool, now_ms: u64) -> Option<Conn> {
        for index in (0..self.conns.len()).rev() {
            let idle = &self.conns[index];
            let age_ms = now_ms.saturating_sub(idle.since_ms);
            let limit_ms = (idle.keep_alive_ms as f64 * USABLE_FRACTION) as u64;
            if age_ms >= limit_ms || !idle.conn.is_clean() {
                self.conns.remove(index);
                continue;
            }
            if !is_repeatable && age_ms >= MAX_IDLE_NON_REPEATABLE_MS {
                // The remaining connections have been idle for longer.
                return None;
            }
            if !idle.conn.has_refused(request) {
                return Some(self.conns.remove(index).conn);
            }
        }
        None
    }

    /// Keeps a connection for a later request.
    fn put(&mut self, conn: Conn, keep_alive_ms: Option<u64>, now_ms: u64) {
        let keep_alive_ms = keep_alive_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS);
        self.sweep(now_ms);
        if self.conns.len() < MAX_IDLE_CONNS && conn.is_reusable() {
            self.conns.push(IdleConn { conn, since_ms: now_ms, keep_alive_ms });
        }
    }
}
