//! A sliding histogram of a route's latencies.
//!
//! It has two halves: when the current half is full, it replaces the previous one. It starts with
//! samples estimated from the route's objective.

use hdrhistogram::Histogram;

/// The assumed median latency as a share of the route's objective.
const ASSUMED_MEDIAN_SHARE: f64 = 0.4;

/// The initial samples, as multiples of the assumed median.
const INITIAL_SAMPLES: [f64; 9] = [0.4, 0.6, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0];

/// The number of answers in each half of the histogram.
const HALF_CAPACITY: u64 = 256;

/// The largest latency that the histogram distinguishes, in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;

/// The significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 1;

/// The recent latencies of a route's sound answers.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    /// The current half.
    current: Histogram<u32>,
    /// The previous half.
    previous: Histogram<u32>,
    /// The median latency in milliseconds, updated with each answer.
    median_ms: f64,
}

impl LatencyHistogram {
    /// Creates the estimate for a route without observations from its objective.
    pub fn new(objective_ms: u64) -> LatencyHistogram {
        let empty = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            .expect("the histogram bounds are valid");
        let mut times =
            LatencyHistogram { current: empty.clone(), previous: empty, median_ms: 0.0 };
        let assumed_ms = objective_ms as f64 * ASSUMED_MEDIAN_SHARE;
        INITIAL_SAMPLES.iter().for_each(|factor| times.note(assumed_ms * factor));
        times
    }

    /// Records the latency of a sound answer.
    pub fn note(&mut self, took_ms: f64) {
        if self.current.len() >= HALF_CAPACITY {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(took_ms.max(1.0) as u64);
        self.median_ms = self.quantile_ms(0.5);
    }

    /// Returns the median latency.
    pub fn median_ms(&self) -> f64 {
        self.median_ms
    }

    /// Returns the latency quantile for a share from 0 to 1.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let wanted = (quantile * self.count() as f64).ceil() as u64;
        let mut seen = 0;
        let steps = self.current.iter_recorded().chain(self.previous.iter_recorded());
        let mut steps: Vec<(u64, u64)> = steps
            .map(|step| (step.value_iterated_to(), step.count_since_last_iteration()))
            .collect();
        steps.sort_unstable();
        let reached = steps.iter().find(|(_, count)| {
            seen += count;
            seen >= wanted
        });
        reached.or(steps.last()).map_or(1.0, |(value_ms, _)| *value_ms as f64)
    }

    /// Returns the share of answers that take longer than `ms`; it is never zero, as the sample is
    /// finite.
    ///
    /// Beyond the longest observed latency it falls with the square of the time.
    pub fn slower_share(&self, ms: f64) -> f64 {
        let from_ms = ms.max(0.0) as u64 + 1;
        let slower = |histogram: &Histogram<u32>| histogram.count_between(from_ms, MAX_LATENCY_MS);
        let count = slower(&self.current) + slower(&self.previous);
        let share = (count as f64 + 0.5) / (self.count() as f64 + 1.0);
        let longest_ms = self.current.max().max(self.previous.max()) as f64;
        share * (longest_ms / ms.max(longest_ms)).powi(2)
    }

    /// Returns the number of samples.
    fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }
}
