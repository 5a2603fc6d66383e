//! The observed latencies, answer sizes and expiries of a route.

use crate::LatencyHistogram;

/// The weight of one answer in the moving average of answer sizes.
const SIZE_WEIGHT: f64 = 0.1;

/// The number of requests after which the counts behind the expired share are halved.
const HALVE_ABOVE_REQUESTS: f64 = 60.0;

/// The recent observations of a route's requests.
#[derive(Clone, Debug)]
pub struct RouteProfile {
    /// The latencies of sound answers.
    pub latency: LatencyHistogram,
    /// The moving average of the size of sound answers, in bytes.
    answer_bytes: Option<f64>,
    /// The number of recent requests answered by sound backend servers.
    answered: f64,
    /// The number of recent requests that expired at sound backend servers.
    expired: f64,
}

impl RouteProfile {
    /// Creates the profile of a route without observations from its objective.
    pub fn new(objective_ms: u64) -> RouteProfile {
        RouteProfile {
            latency: LatencyHistogram::new(objective_ms),
            answer_bytes: None,
            answered: 0.0,
            expired: 0.0,
        }
    }

    /// Records a sound answer.
    pub fn note(&mut self, took_ms: f64, bytes: usize) {
        self.latency.note(took_ms);
        let average = self.answer_bytes.get_or_insert(bytes as f64);
        *average += SIZE_WEIGHT * (bytes as f64 - *average);
        self.answered += 1.0;
        self.decay();
    }

    /// Records that a request expired at a backend server that was considered sound.
    pub fn note_expired(&mut self) {
        self.expired += 1.0;
        self.decay();
    }

    /// Returns the share of requests that expire at sound backend servers, with a prior of one
    /// half.
    pub fn expired_share(&self) -> f64 {
        (self.expired + 1.0) / (self.answered + self.expired + 2.0)
    }

    /// Halves the counts once there are many, so that recent requests weigh more.
    fn decay(&mut self) {
        if self.answered + self.expired > HALVE_ABOVE_REQUESTS {
            self.answered /= 2.0;
            self.expired /= 2.0;
        }
    }

    /// Returns the average answer size in bytes; 0 if nothing is known.
    pub fn answer_bytes(&self) -> f64 {
        self.answer_bytes.unwrap_or(0.0)
    }
}
