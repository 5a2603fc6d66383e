/// How many buckets there are in a doubling of the time.
const BUCKETS_A_DOUBLING: f64 = 4.0;

/// How many buckets a sketch has; the last starts at about two minutes.
const BUCKETS: usize = 84;

/// The time at the upper edge of the first bucket, in milliseconds.
const FIRST_MS: f64 = 0.1;

/// A quantile sketch of times with buckets of equal ratio, in which old times fade.
#[derive(Clone, Debug, PartialEq)]
pub struct Sketch {
    /// The weight in each bucket.
    buckets: [f32; BUCKETS],
    /// The weight in all buckets.
    total: f32,
}

impl Default for Sketch {
    fn default() -> Self {
        Sketch { buckets: [0.0; BUCKETS], total: 0.0 }
    }
}

impl Sketch {
    /// Adds a time in milliseconds.
    pub fn add(&mut self, time_ms: f64) {
        self.buckets[bucket_of(time_ms)] += 1.0;
        self.total += 1.0;
    }

    /// Adds all of another sketch, `sign` times.
    pub fn merge(&mut self, other: &Sketch, sign: f32) {
        for (bucket, count) in self.buckets.iter_mut().zip(&other.buckets) {
            *bucket += sign * count;
        }
        self.total += sign * other.total;
    }

    /// Fades all weights by a factor below one.
    pub fn fade(&mut self, factor: f32) {
        for bucket in &mut self.buckets {
            *bucket *= factor;
        }
        self.total *= factor;
    }

    /// The weight of all times.
    pub fn total(&self) -> f64 {
        f64::from(self.total)
    }

    /// The time below which the share `quantile` of the weight lies, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let wanted = self.total() * quantile;
        let mut sum = 0.0;
        for (index, count) in self.buckets.iter().enumerate() {
            sum += f64::from(*count);
            if sum >= wanted {
                return edge_of(index);
            }
        }
        edge_of(BUCKETS - 1)
    }
}

/// The bucket of a time.
fn bucket_of(time_ms: f64) -> usize {
    if time_ms <= FIRST_MS {
        return 0;
    }
    let index = ((time_ms / FIRST_MS).log2() * BUCKETS_A_DOUBLING).ceil();
    (index as usize).min(BUCKETS - 1)
}

/// The upper edge of a bucket, in milliseconds.
fn edge_of(index: usize) -> f64 {
    FIRST_MS * (index as f64 / BUCKETS_A_DOUBLING).exp2()
}
