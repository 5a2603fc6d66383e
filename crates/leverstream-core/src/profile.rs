use crate::Times;

/// How much one answer changes what is thought of the size of a route's answers.
const SIZE_STEP: f64 = 0.1;

/// What a route's requests have shown of late.
#[derive(Clone, Debug)]
pub struct RouteProfile {
    /// How long its sound answers take.
    pub times: Times,
    /// The usual size of its sound answers, in bytes.
    answer_bytes: Option<f64>,
}

impl RouteProfile {
    /// What is assumed of a route with an objective before any answer has come.
    pub fn open(objective_ms: u64) -> RouteProfile {
        RouteProfile { times: Times::open(objective_ms), answer_bytes: None }
    }

    /// Notes a sound answer.
    pub fn note(&mut self, took_ms: f64, bytes: usize) {
        self.times.note(took_ms);
        let usual = self.answer_bytes.get_or_insert(bytes as f64);
        *usual += SIZE_STEP * (bytes as f64 - *usual);
    }

    /// The usual size of an answer, in bytes; none if nothing is known.
    pub fn answer_bytes(&self) -> f64 {
        self.answer_bytes.unwrap_or(0.0)
    }
}
