use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, DynamicClockId, Timespec, clock_gettime, clock_gettime_dynamic};

/// The process's clock, which counts the time that the machine is suspended.
///
/// Leases, loans and request deadlines must expire on time for the VMs that were not suspended. Timers do not count
/// suspended time, so code that a timer wakes reads this clock before it acts.
///
/// Only code that does I/O reads the clock; functions that make decisions take the time as an argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The reading of the machine's clock when the process started, in milliseconds.
    start_ms: u64,
    /// The reading at that time of the monotonic clock, which stops during suspension, in milliseconds.
    monotonic_start_ms: u64,
    /// Whether the machine has a clock that counts suspended time.
    counts_suspension: bool,
}

impl Clock {
    /// Starts the clock. If the machine has no clock that counts suspended time, the monotonic clock is read instead.
    pub fn start() -> Clock {
        let boot = clock_gettime_dynamic(DynamicClockId::Boottime).map(milliseconds);
        let monotonic_start_ms = monotonic_ms();
        Clock {
            start_ms: boot.unwrap_or(monotonic_start_ms),
            monotonic_start_ms,
            counts_suspension: boot.is_ok(),
        }
    }

    /// Returns the milliseconds since the process started, including suspended time.
    pub fn now_ms(self) -> u64 {
        let clock = if self.counts_suspension { ClockId::Boottime } else { ClockId::Monotonic };
        milliseconds(clock_gettime(clock)).saturating_sub(self.start_ms)
    }

    /// Returns the milliseconds since the machine booted, which consecutive processes can compare until it reboots.
    pub fn since_boot_ms(self) -> u64 {
        self.start_ms + self.now_ms()
    }

    /// Returns for how many milliseconds the machine was suspended since the process started.
    pub fn suspended_ms(self) -> u64 {
        let awake_ms = monotonic_ms().saturating_sub(self.monotonic_start_ms);
        self.now_ms().saturating_sub(awake_ms)
    }

    /// Returns whether the clock counts suspended time.
    pub fn counts_suspension(self) -> bool {
        self.counts_suspension
    }

    /// Converts a time of this clock to an [`Instant`] for timers.
    pub fn instant_at(self, at_ms: u64) -> Instant {
        let (now, now_ms) = (Instant::now(), self.now_ms());
        let ahead = Duration::from_millis(at_ms.saturating_sub(now_ms));
        let ago = Duration::from_millis(now_ms.saturating_sub(at_ms));
        (now + ahead).checked_sub(ago).unwrap_or(now)
    }

    /// Returns the milliseconds since the Unix epoch, for timestamps that people read.
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Reads the monotonic clock, which stops while the machine is suspended, in milliseconds.
fn monotonic_ms() -> u64 {
    milliseconds(clock_gettime(ClockId::Monotonic))
}

/// Converts a clock reading to milliseconds.
fn milliseconds(reading: Timespec) -> u64 {
    let milliseconds = reading.tv_sec * 1_000 + reading.tv_nsec / 1_000_000;
    u64::try_from(milliseconds).unwrap_or(0)
}
