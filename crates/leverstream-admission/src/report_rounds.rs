//! When the periodic reports to other VMs are due.

/// The interval at which entry VMs report to each other even if there is nothing new, in
/// milliseconds.
pub const REPORT_INTERVAL_MS: u64 = 200;

/// The periodic rounds of reports. Urgent reports between them don't delay them.
#[derive(Clone, Copy, Debug)]
pub struct ReportRounds {
    /// When the next round is due.
    due_ms: u64,
}

impl ReportRounds {
    /// Starts with a round due in one interval.
    pub fn open(now_ms: u64) -> ReportRounds {
        ReportRounds { due_ms: now_ms + REPORT_INTERVAL_MS }
    }

    /// Returns how long until the next round, in milliseconds.
    pub fn delay_ms(self, now_ms: u64) -> u64 {
        self.due_ms.saturating_sub(now_ms)
    }

    /// Tells whether a round is due, and schedules the next one if so. Rounds that were missed in a
    /// stall are not caught up on.
    pub fn take_due(&mut self, now_ms: u64) -> bool {
        let is_due = now_ms >= self.due_ms;
        if is_due {
            self.due_ms = now_ms + REPORT_INTERVAL_MS;
        }
        is_due
    }
}
