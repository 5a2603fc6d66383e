use crate::Times;

/// How much one answer changes what is thought of the size of a route's answers.
const SIZE_STEP: f64 = 0.1;

/// After how many requests older ones count half where it is asked how many got no answer.
const REQUESTS_COUNT: f64 = 60.0;

/// What a route's requests have shown of late.
#[derive(Clone, Debug)]
pub struct RouteProfile {
    /// How long its sound answers take.
    pub times: Times,
    /// The usual size of its sound answers, in bytes.
    answer_bytes: Option<f64>,
    /// How many of its last requests were answered at backend servers that were taken to be sound.
    answered: f64,
    /// How many of them got no answer by their own limit.
    expired: f64,
}

impl RouteProfile {
    /// What is assumed of a route with an objective before any answer has come.
    pub fn open(objective_ms: u64) -> RouteProfile {
        RouteProfile {
            times: Times::open(objective_ms),
            answer_bytes: None,
            answered: 0.0,
            expired: 0.0,
        }
    }

    /// Notes a sound answer.
    pub fn note(&mut self, took_ms: f64, bytes: usize) {
        self.times.note(took_ms);
        let usual = self.answer_bytes.get_or_insert(bytes as f64);
        *usual += SIZE_STEP * (bytes as f64 - *usual);
        self.answered += 1.0;
        self.forget();
    }

    /// Notes that a request got no answer by its limit at a backend server that was taken to be sound.
    pub fn note_expired(&mut self) {
        self.expired += 1.0;
        self.forget();
    }

    /// The share of its requests that get no answer by their limit at sound backend servers; a half as long as
    /// nothing was seen.
    pub fn expired_share(&self) -> f64 {
        (self.expired + 1.0) / (self.answered + self.expired + 2.0)
    }

    /// Lets older requests count half once there are many.
    fn forget(&mut self) {
        if self.answered + self.expired > REQUESTS_COUNT {
            self.answered /= 2.0;
            self.expired /= 2.0;
        }
    }

    /// The usual size of an answer, in bytes; none if nothing is known.
    pub fn answer_bytes(&self) -> f64 {
        self.answer_bytes.unwrap_or(0.0)
    }
}
