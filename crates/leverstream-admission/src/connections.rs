//! The accepted connections of a listener: how many there may be, what they may hold together, and which of them gives way
//! when there is too little room.
//!
//! The one that gives way is the one that makes the least of its place, not the newest: a connection that rests longest, or
//! whose request arrives, or whose answer is read, most slowly. One whose request is being served is left alone.

use slab::Slab;

/// The memory of a connection that holds nothing else, in bytes: its task, its buffers, and its socket in the operating
/// system. Resident memory grows by 33 kB a connection once it has had a request.
pub const CONNECTION_BYTES: usize = 36_000;

/// The rate below which a connection falls behind, in bytes a millisecond. Slower callers are served as long as there is room.
const EXPECTED_BYTES_PER_MS: u64 = 256;

/// How far behind a connection must be before it gives way to others, in milliseconds. An ordinary request arrives within
/// milliseconds, and a new connection sends its first within a round trip.
const GRACE_MS: u64 = 250;

/// How much further behind a caller must be that reads an answer: a lost packet is sent again after up to a second, and a request
/// that has run is not undone by cutting its answer.
const WRITING_GRACE_MS: u64 = 750;

/// The part of the connections (one in `SPARE_DIVISOR`) that is kept for new ones, which may not have sent a request yet.
const SPARE_DIVISOR: usize = 8;

/// The part of the memory (one in `DISPENSABLE_DIVISOR`) up to which connections take what they could do without.
const DISPENSABLE_DIVISOR: usize = 2;

/// Identifies an accepted connection of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionKey(usize);

/// The limits of the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// How many there may be.
    pub max_connections: usize,
    /// The memory that they may hold together, in bytes.
    pub max_bytes: usize,
}

/// The part of the descriptors of a process that accepted connections may take; the rest is for connections to backend servers,
/// to the store and to other VMs, and for files.
const DESCRIPTORS_FRACTION: f64 = 2.0 / 3.0;

/// Returns the limits of all accepted connections of a process that may open so many descriptors, and that has a number of
/// bytes for them; without the latter, their memory is not limited.
pub fn limits_of_process(max_descriptors: usize, max_bytes: Option<usize>) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: (max_descriptors as f64 * DESCRIPTORS_FRACTION) as usize,
        max_bytes: max_bytes.unwrap_or(usize::MAX),
    }
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No request is open: it is new, or its last answer is written.
    Resting,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request is whole and its answer isn't ready, or is written without delay.
    Serving,
    /// An answer waits for its caller to read it.
    Writing,
}

/// A connection.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// What happens on it.
    phase: Phase,
    /// Since when.
    since_ms: u64,
    /// The bytes read or written since then.
    moved_bytes: u64,
    /// What it holds beyond [`CONNECTION_BYTES`].
    held_bytes: usize,
    /// What its request or answer holds of the memory for bodies and answers.
    leased_bytes: usize,
    /// Whether it was evicted and is about to close.
    is_evicted: bool,
}

/// The accepted connections of a listener.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    /// The limits.
    limits: ConnectionLimits,
    /// The connections.
    entries: Slab<Entry>,
    /// The memory of those that are not evicted, in bytes.
    held_bytes: usize,
    /// The number of evicted ones that have not closed yet.
    closing: usize,
}

impl Entry {
    /// Creates the entry of a new connection.
    fn new(now_ms: u64) -> Entry {
        Entry {
            phase: Phase::Resting,
            since_ms: now_ms,
            moved_bytes: 0,
            held_bytes: 0,
            leased_bytes: 0,
            is_evicted: false,
        }
    }

    /// Returns how far it is behind a connection that moves [`EXPECTED_BYTES_PER_MS`], in milliseconds, beyond what an answer may
    /// be behind.
    fn lag_ms(&self, now_ms: u64) -> u64 {
        let allowed_ms = if self.phase == Phase::Writing { WRITING_GRACE_MS } else { 0 };
        self.lag_at_rate_ms(EXPECTED_BYTES_PER_MS, now_ms).saturating_sub(allowed_ms)
    }

    /// Returns how far it is behind a connection that moves a number of bytes each millisecond, in milliseconds.
    fn lag_at_rate_ms(&self, bytes_per_ms: u64, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        age_ms.saturating_sub(self.moved_bytes / bytes_per_ms)
    }

    /// Returns whether it may give way at all.
    fn may_give_way(&self) -> bool {
        !self.is_evicted && self.phase != Phase::Serving
    }

    /// Returns whether no request is open on it.
    fn is_resting(&self) -> bool {
        self.phase == Phase::Resting
    }

    /// Returns all that it holds.
    fn total_bytes(&self) -> usize {
        CONNECTION_BYTES + self.held_bytes
    }
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> ConnectionTable {
        ConnectionTable { limits, entries: Slab::new(), held_bytes: 0, closing: 0 }
    }

    /// Returns the number of connections, those among them that are about to close.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the memory that they hold, without those that are about to close, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns what happens on a connection.
    pub fn phase(&self, key: ConnectionKey) -> Phase {
        self.entries[key.0].phase
    }

    /// Returns whether another connection can be accepted now.
    pub fn can_accept(&self) -> bool {
        self.entries.len() < self.limits.max_connections && !self.is_full()
    }

    /// Returns whether there are more than usual, so that an answer should be the last on its connection.
    pub fn is_crowded(&self) -> bool {
        self.open_count() > self.usual_count() || self.held_bytes > self.usual_bytes()
    }

    /// Adds an accepted connection.
    pub fn open(&mut self, now_ms: u64) -> ConnectionKey {
        let entry = Entry::new(now_ms);
        self.held_bytes += entry.total_bytes();
        ConnectionKey(self.entries.insert(entry))
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, key: ConnectionKey) {
        let entry = self.entries.remove(key.0);
        if entry.is_evicted {
            self.closing -= 1;
        } else {
            self.held_bytes -= entry.total_bytes();
        }
    }

    /// Records what happens on a connection from now on.
    pub fn enter(&mut self, key: ConnectionKey, phase: Phase, now_ms: u64) {
        let entry = &mut self.entries[key.0];
        entry.phase = phase;
        entry.since_ms = now_ms;
        entry.moved_bytes = 0;
    }

    /// Returns how far a connection is behind one that moves a number of bytes each millisecond, in milliseconds.
    pub fn lag_at_rate_ms(&self, key: ConnectionKey, bytes_per_ms: u64, now_ms: u64) -> u64 {
        self.entries[key.0].lag_at_rate_ms(bytes_per_ms, now_ms)
    }

    /// Records that bytes of a request or an answer were moved.
    pub fn note_moved(&mut self, key: ConnectionKey, bytes: usize) {
        self.entries[key.0].moved_bytes += bytes as u64;
    }

    /// Records what a request or an answer holds of the memory for bodies and answers.
    pub fn set_leased(&mut self, key: ConnectionKey, bytes: usize) {
        self.entries[key.0].leased_bytes = bytes;
    }

    /// Returns the connections to close so that a new one can be accepted: one that has rested for long if there are as many as
    /// usual; where none can be accepted at all, those that lag behind, or else one that rests.
    pub fn make_room_for_new(&mut self, now_ms: u64) -> Vec<ConnectionKey> {
        let mut evicted = Vec::new();
        if self.open_count() >= self.usual_count() {
            evicted.extend(self.evict_most_behind(now_ms, GRACE_MS, Entry::is_resting));
        }
        while self.is_full() {
            let laggard = self.evict_most_behind(now_ms, GRACE_MS, |_| true);
            let next = laggard.or_else(|| self.evict_most_behind(now_ms, 0, Entry::is_resting));
            match next {
                Some(key) => evicted.push(key),
                None => break,
            }
        }
        evicted
    }

    /// Returns the connections to close as a request begins while there are more than usual: those furthest behind.
    pub fn make_room_for_request(&mut self, now_ms: u64) -> Vec<ConnectionKey> {
        let excess = self.open_count().saturating_sub(self.usual_count());
        let next = || self.evict_most_behind(now_ms, GRACE_MS, |_| true);
        std::iter::from_fn(next).take(excess).collect()
    }

    /// Sets what a connection holds beyond [`CONNECTION_BYTES`], and returns the connections to close for that: those furthest
    /// behind, then those that rest, and in the end the connection itself.
    pub fn hold(&mut self, key: ConnectionKey, bytes: usize, now_ms: u64) -> Vec<ConnectionKey> {
        let entry = &mut self.entries[key.0];
        let before_bytes = std::mem::replace(&mut entry.held_bytes, bytes);
        if entry.is_evicted {
            return Vec::new();
        }
        self.held_bytes = self.held_bytes - before_bytes + bytes;
        let mut evicted = Vec::new();
        while bytes > before_bytes && self.held_bytes > self.limits.max_bytes {
            let next = self.evict_other(key, now_ms).unwrap_or_else(|| self.evict(key));
            evicted.push(next);
            if next == key {
                break;
            }
        }
        evicted
    }

    /// Returns whether connections may hold so many bytes more that they could do without.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.held_bytes.saturating_add(bytes) <= self.limits.max_bytes / DISPENSABLE_DIVISOR
    }

    /// Returns the connections whose bodies or answers give way to others that need bytes of the memory for these: those
    /// furthest behind. Each is returned once.
    pub fn relieve(&mut self, bytes: usize, now_ms: u64) -> Vec<ConnectionKey> {
        let mut relieved = Vec::new();
        let mut freed_bytes = 0;
        let holds_memory = |entry: &Entry| entry.leased_bytes > 0;
        while freed_bytes < bytes
            && let Some(key) = self.most_behind(now_ms, GRACE_MS, holds_memory)
        {
            freed_bytes += std::mem::take(&mut self.entries[key.0].leased_bytes);
            relieved.push(key);
        }
        relieved
    }

    /// Returns the number of connections without those that are about to close.
    fn open_count(&self) -> usize {
        self.entries.len() - self.closing
    }

    /// Returns the number of connections up to which none gives way.
    fn usual_count(&self) -> usize {
        self.limits.max_connections - self.limits.max_connections / SPARE_DIVISOR
    }

    /// Returns the memory up to which no connection gives way.
    fn usual_bytes(&self) -> usize {
        self.limits.max_bytes - self.limits.max_bytes / SPARE_DIVISOR
    }

    /// Returns whether another connection must give way before one more is accepted.
    fn is_full(&self) -> bool {
        self.open_count() >= self.limits.max_connections
            || self.held_bytes + CONNECTION_BYTES > self.limits.max_bytes
    }

    /// Evicts the connection that is furthest behind, or one that rests; never the one given.
    fn evict_other(&mut self, key: ConnectionKey, now_ms: u64) -> Option<ConnectionKey> {
        let own = std::mem::replace(&mut self.entries[key.0].is_evicted, true);
        let laggard = self.most_behind(now_ms, GRACE_MS, |_| true);
        let next = laggard.or_else(|| self.most_behind(now_ms, 0, Entry::is_resting));
        self.entries[key.0].is_evicted = own;
        next.map(|next| self.evict(next))
    }

    /// Evicts the connection that is furthest behind, of those that a condition selects.
    fn evict_most_behind(
        &mut self,
        now_ms: u64,
        min_lag_ms: u64,
        condition: impl Fn(&Entry) -> bool,
    ) -> Option<ConnectionKey> {
        let key = self.most_behind(now_ms, min_lag_ms, condition)?;
        Some(self.evict(key))
    }

    /// Returns the connection that is furthest behind, by some lag at least, of those that a condition selects.
    fn most_behind(
        &self,
        now_ms: u64,
        min_lag_ms: u64,
        condition: impl Fn(&Entry) -> bool,
    ) -> Option<ConnectionKey> {
        let candidates =
            self.entries.iter().filter(|(_, entry)| entry.may_give_way() && condition(entry));
        let lags = candidates.map(|(index, entry)| (entry.lag_ms(now_ms), index));
        let (_, index) = lags.filter(|(lag_ms, _)| *lag_ms >= min_lag_ms).max()?;
        Some(ConnectionKey(index))
    }

    /// Marks a connection as about to close.
    fn evict(&mut self, key: ConnectionKey) -> ConnectionKey {
        let entry = &mut self.entries[key.0];
        entry.is_evicted = true;
        self.held_bytes -= entry.total_bytes();
        self.closing += 1;
        key
    }
}
