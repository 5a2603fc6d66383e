/// After how long without a request a backend server counts as found out, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// What one run of the model shows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// For each time that a backend server turned sick: how long it went on getting work.
    pub detection_ms: Vec<u64>,
    /// Requests given to sick backend servers.
    pub given: u64,
    /// How often a VM began to avoid a backend server that was sound for it.
    pub false_ejections: u64,
    /// The least share of the sound backend servers that a VM did not avoid.
    pub least_capacity: f64,
    /// Requests of callers.
    pub requests: u64,
    /// Those that were answered late.
    pub late: u64,
    /// Those that were not served.
    pub failed: u64,
    /// Requests sent to a second backend server.
    pub hedges: u64,
    /// Bytes between data halls.
    pub far_bytes: u64,
}

/// When work was sent to one backend server while it was sick, for the time of detection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Onset {
    /// When it turned sick, while it has not been found out.
    since_ms: Option<u64>,
    /// When it last got work since.
    last_ms: u64,
}

impl Onset {
    /// Notes the state of a backend server; gives the time of detection once it is known.
    pub fn look(&mut self, is_sick: bool, was_sick: bool, now_ms: u64) -> Option<u64> {
        if is_sick && !was_sick {
            *self = Onset { since_ms: Some(now_ms), last_ms: now_ms };
        }
        let since_ms = self.since_ms?;
        let is_found = now_ms.saturating_sub(self.last_ms) >= PAUSE_MS || !is_sick;
        if !is_found {
            return None;
        }
        self.since_ms = None;
        Some(self.last_ms - since_ms)
    }

    /// Notes that it was given work.
    pub fn give(&mut self, now_ms: u64) {
        self.last_ms = now_ms;
    }
}

impl Figures {
    /// Late and failed requests among all, in percent.
    pub fn missed_percent(&self) -> f64 {
        (self.late + self.failed) as f64 / self.requests.max(1) as f64 * 100.0
    }
}
