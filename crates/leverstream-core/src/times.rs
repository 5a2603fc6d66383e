use hdrhistogram::Histogram;

/// The part of its objective that a route's answers are taken to need before any was seen.
const ASSUMED_PART: f64 = 0.4;

/// What answers are assumed to take before any was seen, as parts of the assumed median.
const ASSUMED_SPREAD: [f64; 9] = [0.4, 0.6, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0];

/// After how many answers the older half of what is remembered is forgotten.
const HALF_COUNT: u64 = 256;

/// The longest time that is told apart from longer ones, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// The digits to which times are kept apart.
const DIGITS: u8 = 1;

/// How long the sound answers of a route take, of late.
#[derive(Clone, Debug)]
pub struct Times {
    /// The answers of the present half.
    current: Histogram<u32>,
    /// Those of the half before.
    previous: Histogram<u32>,
    /// Half of the answers take no longer than this, in milliseconds.
    median_ms: f64,
}

impl Times {
    /// The times assumed of a route with an objective.
    pub fn open(objective_ms: u64) -> Times {
        let empty = Histogram::new_with_max(LONGEST_MS, DIGITS).expect("the bounds are sound");
        let mut times = Times { current: empty.clone(), previous: empty, median_ms: 0.0 };
        let assumed_ms = objective_ms as f64 * ASSUMED_PART;
        ASSUMED_SPREAD.iter().for_each(|part| times.note(assumed_ms * part));
        times
    }

    /// Notes how long a sound answer took.
    pub fn note(&mut self, took_ms: f64) {
        if self.current.len() >= HALF_COUNT {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(took_ms.max(1.0) as u64);
        self.median_ms = self.quantile_ms(0.5);
    }

    /// Half of the answers take no longer than this.
    pub fn median_ms(&self) -> f64 {
        self.median_ms
    }

    /// The time that a part of the answers take at most, from 0 to 1.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let wanted = (part * self.count() as f64).ceil() as u64;
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

    /// The share of the answers that take longer; never none, as only so many were seen.
    ///
    /// Beyond the longest answer seen it falls with the square of the time.
    pub fn slower_share(&self, ms: f64) -> f64 {
        let from_ms = ms.max(0.0) as u64 + 1;
        let slower = |histogram: &Histogram<u32>| histogram.count_between(from_ms, LONGEST_MS);
        let count = slower(&self.current) + slower(&self.previous);
        let share = (count as f64 + 0.5) / (self.count() as f64 + 1.0);
        let longest_ms = self.current.max().max(self.previous.max()) as f64;
        share * (longest_ms / ms.max(longest_ms)).powi(2)
    }

    /// How many answers are remembered.
    fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }
}
