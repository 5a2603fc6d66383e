//! Results of a run of the model.

/// Time without a request after which a sick backend server counts as detected, in milliseconds.
const DETECTION_PAUSE_MS: u64 = 1_000;

/// The results of one run of the model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// For each onset of sickness at a backend server, the time for which it still received requests.
    pub detection_ms: Vec<u64>,
    /// Requests sent to sick backend servers.
    pub sent_to_sick: u64,
    /// Number of times that a VM began to avoid a backend server that was healthy for it.
    pub false_ejections: u64,
    /// The lowest share of the healthy backend servers that a VM didn't avoid.
    pub min_capacity: f64,
    /// Requests from callers.
    pub requests: u64,
    /// Requests answered after the objective.
    pub late: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Hedges, which are requests sent to a second backend server.
    pub hedges: u64,
    /// Bytes between data halls.
    pub far_bytes: u64,
}

/// Tracks the requests to one backend server while it is sick, to measure the detection time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Onset {
    /// Time at which it became sick; `None` once it is detected.
    since_ms: Option<u64>,
    /// Time of the last request sent to it since then.
    last_request_ms: u64,
}

impl Onset {
    /// Records whether the backend server is sick and returns the detection time once it is known.
    pub fn update(&mut self, is_sick: bool, was_sick: bool, now_ms: u64) -> Option<u64> {
        if is_sick && !was_sick {
            *self = Onset { since_ms: Some(now_ms), last_request_ms: now_ms };
        }
        let since_ms = self.since_ms?;
        let is_detected =
            now_ms.saturating_sub(self.last_request_ms) >= DETECTION_PAUSE_MS || !is_sick;
        if !is_detected {
            return None;
        }
        self.since_ms = None;
        Some(self.last_request_ms - since_ms)
    }

    /// Records that a request was sent to the backend server.
    pub fn note_request(&mut self, now_ms: u64) {
        self.last_request_ms = now_ms;
    }
}

impl Figures {
    /// Returns the share of late and failed requests, in percent.
    pub fn missed_percent(&self) -> f64 {
        (self.late + self.failed) as f64 / self.requests.max(1) as f64 * 100.0
    }
}
