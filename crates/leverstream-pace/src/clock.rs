use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The process's monotonic clock.
///
/// It is read at the edges only; functions that decide take the time as an argument.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// When the process started.
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The instant at so many milliseconds since the start.
    pub fn instant(self, at_ms: u64) -> Instant {
        self.start + std::time::Duration::from_millis(at_ms)
    }

    /// Milliseconds since 1970, for records that people read.
    pub fn unix_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
