use std::collections::HashMap;

use leverstream_catalog::Incarnation;
use leverstream_wire::Conn;

/// How long an idle connection is kept when the backend server does not say, in milliseconds.
const KEEP_DEFAULT_MS: u64 = 4_000;

/// The part of the told time for which requests that can be repeated use an idle connection.
const KEEP_PART: f64 = 0.7;

/// How long a connection may have been idle for a request that cannot be repeated.
///
/// The end of an idle connection may cross such a request, which would then be lost.
const ONCE_IDLE_MS: u64 = 1_000;

/// The most idle connections kept to one backend server.
const LIMIT: usize = 8;

/// How often connections that have been idle for too long are closed, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Idle connections by backend server.
#[derive(Debug, Default)]
pub(crate) struct IdlePool {
    /// The connections by start: one to an earlier start leads nowhere.
    by_start: HashMap<Incarnation, IdleConns>,
    /// When those that were idle for too long were last closed.
    swept_ms: u64,
}

/// Idle connections to one backend server, the last idle at the end.
#[derive(Debug, Default)]
struct IdleConns {
    /// The connections.
    conns: Vec<IdleConn>,
}

/// One idle connection.
#[derive(Debug)]
struct IdleConn {
    /// The connection.
    conn: Conn,
    /// When it became idle.
    since_ms: u64,
    /// How long the backend server keeps it.
    kept_ms: u64,
}

impl IdlePool {
    /// Takes a connection to a start that is safe for the request.
    pub fn take(&mut self, of: &Incarnation, is_repeatable: bool, now_ms: u64) -> Option<Conn> {
        self.by_start.get_mut(of)?.take(is_repeatable, now_ms)
    }

    /// Closes all connections to a start.
    pub fn forget(&mut self, of: &Incarnation) {
        self.by_start.remove(of);
    }

    /// Keeps a connection for a later request; `told_ms` is how long the backend server keeps it.
    pub fn put(&mut self, of: Incarnation, conn: Conn, told_ms: Option<u64>, now_ms: u64) {
        if now_ms.saturating_sub(self.swept_ms) >= SWEEP_MS {
            self.swept_ms = now_ms;
            self.by_start.retain(|_, conns| conns.sweep(now_ms));
        }
        let conns = self.by_start.entry(of).or_default();
        conns.put(conn, told_ms, now_ms);
    }
}

impl IdleConns {
    /// Closes those that were idle for too long; tells whether any is left.
    fn sweep(&mut self, now_ms: u64) -> bool {
        self.conns.retain(|idle| now_ms.saturating_sub(idle.since_ms) < idle.kept_ms);
        !self.conns.is_empty()
    }

    /// Takes a connection that is safe for the request.
    fn take(&mut self, is_repeatable: bool, now_ms: u64) -> Option<Conn> {
        while let Some(idle) = self.conns.pop() {
            let age_ms = now_ms.saturating_sub(idle.since_ms);
            let limit_ms = (idle.kept_ms as f64 * KEEP_PART) as u64;
            if age_ms < limit_ms && idle.conn.is_clean() {
                if is_repeatable || age_ms < ONCE_IDLE_MS {
                    return Some(idle.conn);
                }
                // Those below were idle for longer still.
                self.conns.push(idle);
                return None;
            }
        }
        None
    }

    /// Keeps a connection for a later request.
    fn put(&mut self, conn: Conn, told_ms: Option<u64>, now_ms: u64) {
        let kept_ms = told_ms.unwrap_or(KEEP_DEFAULT_MS);
        self.sweep(now_ms);
        if self.conns.len() < LIMIT && conn.is_reusable() {
            self.conns.push(IdleConn { conn, since_ms: now_ms, kept_ms });
        }
    }
}
