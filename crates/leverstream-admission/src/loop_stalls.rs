//! Stalls of this VM's event loop.

/// The interval at which the event loop ticks, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 20;

/// How overdue a tick must be to count as a stall, in milliseconds.
const OVERDUE_MS: u64 = 100;

/// How long after a stall datagrams from the backlog may still be read, in milliseconds: the next
/// report of every VM is sent within 200 ms.
const BACKLOG_MS: u64 = 300;

/// When the event loop last ticked, and whether what it reads may be a backlog from a stall.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopStalls {
    /// When the loop last ticked; `None` before the first tick.
    ticked_ms: Option<u64>,
    /// Until when the loop may read a backlog.
    backlog_until_ms: u64,
}

impl LoopStalls {
    /// Records a tick.
    pub fn tick(&mut self, now_ms: u64) {
        if self.is_overdue(now_ms) {
            self.backlog_until_ms = now_ms + BACKLOG_MS;
        }
        self.ticked_ms = Some(now_ms);
    }

    /// Tells whether a datagram read now may be from the backlog of a stall. The first datagrams
    /// after a stall may be read before the overdue tick.
    pub fn may_read_backlog(&self, now_ms: u64) -> bool {
        now_ms < self.backlog_until_ms || self.is_overdue(now_ms)
    }

    /// Tells whether the next tick is overdue.
    fn is_overdue(&self, now_ms: u64) -> bool {
        let due_ms = |at_ms: u64| at_ms + TICK_INTERVAL_MS;
        self.ticked_ms.is_some_and(|at_ms| now_ms > due_ms(at_ms) + OVERDUE_MS)
    }
}
