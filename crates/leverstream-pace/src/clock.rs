use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, DynamicClockId, Timespec, clock_gettime, clock_gettime_dynamic};

/// The process's clock, which goes on while the machine is suspended.
///
/// Whatever is believed or allowed for so long ends in time for those who did not sleep: leases, loans, what is left of a
/// request's time. Timers do not count time asleep, so whatever they wake looks at this clock before it acts.
///
/// It is read at the edges only; functions that decide take the time as an argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The reading at the process's start, in milliseconds.
    start_ms: u64,
    /// The reading then of the clock that stands still while the machine is suspended.
    steady_start_ms: u64,
    /// Whether the machine has a clock that goes on.
    counts_suspension: bool,
}

impl Clock {
    /// Starts the clock. Where none goes on while the machine is suspended, the steady one is read.
    pub fn start() -> Clock {
        let boot = clock_gettime_dynamic(DynamicClockId::Boottime).map(milliseconds);
        let steady_start_ms = steady_ms();
        Clock {
            start_ms: boot.unwrap_or(steady_start_ms),
            steady_start_ms,
            counts_suspension: boot.is_ok(),
        }
    }

    /// Milliseconds since the start, with those that the machine was suspended.
    pub fn now_ms(self) -> u64 {
        let clock = if self.counts_suspension { ClockId::Boottime } else { ClockId::Monotonic };
        milliseconds(clock_gettime(clock)).saturating_sub(self.start_ms)
    }

    /// The same by the machine's reading, which goes on from one process to the next until the machine starts again.
    pub fn since_boot_ms(self) -> u64 {
        self.start_ms + self.now_ms()
    }

    /// For how long the machine has been suspended since the start, in milliseconds.
    pub fn suspended_ms(self) -> u64 {
        let awake_ms = steady_ms().saturating_sub(self.steady_start_ms);
        self.now_ms().saturating_sub(awake_ms)
    }

    /// Tells whether it goes on while the machine is suspended.
    pub fn counts_suspension(self) -> bool {
        self.counts_suspension
    }

    /// The instant for timers at so many milliseconds since the start.
    pub fn instant_at(self, at_ms: u64) -> Instant {
        let (now, now_ms) = (Instant::now(), self.now_ms());
        let ahead = Duration::from_millis(at_ms.saturating_sub(now_ms));
        let ago = Duration::from_millis(now_ms.saturating_sub(at_ms));
        (now + ahead).checked_sub(ago).unwrap_or(now)
    }

    /// Milliseconds since 1970, for records that people read.
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The clock that stands still while the machine is suspended, in milliseconds.
fn steady_ms() -> u64 {
    milliseconds(clock_gettime(ClockId::Monotonic))
}

/// A reading in milliseconds.
fn milliseconds(reading: Timespec) -> u64 {
    let milliseconds = reading.tv_sec * 1_000 + reading.tv_nsec / 1_000_000;
    u64::try_from(milliseconds).unwrap_or(0)
}
