//! What a connection holds beyond what each does.

use crate::connection_pool::{RECEIVE_BUFFER_BYTES, WIDE_RECEIVE_BUFFER_BYTES};

/// The size of a request from which on the buffers of its connection grow.
const GROWN_AT_BYTES: usize = 8 << 10;

/// What grown buffers take; a connection keeps them as long as it is open.
const GROWN_BYTES: usize = 32_000;

/// The bytes of a head that take no more than the buffers of a connection do anyway.
const FREE_HEAD_BYTES: usize = 4 << 10;

/// How much memory each further byte of a head takes: as read, with buffers that grow by doubling, as parsed, and as encoded for
/// a backend server.
const HEAD_FACTOR: usize = 4;

/// What an answer that its caller doesn't read takes beside its body: the part that is encoded, and twice what the operating
/// system accepts ahead.
const UNREAD_ANSWER_BYTES: usize = 80_000;

/// What waits of a connection that isn't read: one read of the process, and twice the receive buffer in the operating system.
const UNREAD_BYTES: usize = 16_000 + 2 * RECEIVE_BUFFER_BYTES as usize;

/// What a wide receive buffer adds to that.
pub(super) const WIDE_BYTES: usize = 2 * WIDE_RECEIVE_BUFFER_BYTES as usize;

/// The size from which on the operating system may hold a part of an answer after it is written.
const UNSENT_AT_BYTES: u64 = 4 << 10;

/// How much the operating system may hold of such an answer.
const UNSENT_BYTES: usize = 40_000;

/// What a connection holds beyond what each does, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Held {
    /// Buffers that have grown.
    buffers: usize,
    /// The head of the current request.
    head: usize,
    /// What waits to be read.
    unread: usize,
    /// A wide receive buffer.
    window: usize,
    /// What waits to be taken by the caller.
    unsent: usize,
}

impl Held {
    /// Returns the sum.
    pub fn total(self) -> usize {
        self.buffers + self.head + self.unread + self.window + self.unsent
    }

    /// Notes how many bytes of a head were read.
    pub fn note_head(&mut self, bytes: usize) {
        self.head = bytes.saturating_sub(FREE_HEAD_BYTES) * HEAD_FACTOR;
    }

    /// Notes how many bytes of a request were read, its head among them.
    pub fn note_request(&mut self, bytes: usize) {
        if bytes > GROWN_AT_BYTES {
            self.buffers = GROWN_BYTES;
        }
    }

    /// Notes whether what has arrived waits to be read.
    pub fn set_unread(&mut self, is_unread: bool) {
        self.unread = if is_unread { UNREAD_BYTES } else { 0 };
    }

    /// Notes that the receive buffer becomes wide.
    pub fn widen(&mut self) {
        self.window = WIDE_BYTES;
    }

    /// Notes that an answer waits to be taken by the caller.
    pub fn note_blocked(&mut self) {
        self.unsent = UNREAD_ANSWER_BYTES;
    }

    /// Notes that an answer of a length is written and no request is open.
    pub fn rest(&mut self, answer_bytes: u64) {
        let unsent = if answer_bytes > UNSENT_AT_BYTES { UNSENT_BYTES } else { 0 };
        *self = Held { buffers: self.buffers, unsent, ..Held::default() };
    }
}
