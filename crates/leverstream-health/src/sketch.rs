//! Quantiles of request times.

/// The number of buckets in each doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// The number of buckets in a sketch; the last one starts at about two minutes.
const BUCKETS: usize = 84;

/// The upper edge of the first bucket, in milliseconds.
const FIRST_BUCKET_MS: f64 = 0.1;

/// A quantile sketch of request times with logarithmic buckets, in which old times decay.
#[derive(Clone, Debug, PartialEq)]
pub struct QuantileSketch {
    /// The weight in each bucket.
    buckets: [f32; BUCKETS],
    /// The weight in all buckets.
    total: f32,
}

impl Default for QuantileSketch {
    fn default() -> Self {
        QuantileSketch { buckets: [0.0; BUCKETS], total: 0.0 }
    }
}

impl QuantileSketch {
    /// Adds a time in milliseconds.
    pub fn add(&mut self, time_ms: f64) {
        self.buckets[bucket_of(time_ms)] += 1.0;
        self.total += 1.0;
    }

    /// Adds the weights of another sketch, multiplied by `sign`; -1 subtracts them.
    pub fn merge(&mut self, other: &QuantileSketch, sign: f32) {
        for (bucket, count) in self.buckets.iter_mut().zip(&other.buckets) {
            *bucket += sign * count;
        }
        self.total += sign * other.total;
    }

    /// Multiplies all weights by a factor below one.
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

    /// The given quantile of the times, in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let target = self.total() * quantile;
        let mut sum = 0.0;
        for (index, count) in self.buckets.iter().enumerate() {
            sum += f64::from(*count);
            if sum >= target {
                return upper_edge_ms(index);
            }
        }
        upper_edge_ms(BUCKETS - 1)
    }
}

/// The index of a time's bucket.
fn bucket_of(time_ms: f64) -> usize {
    if time_ms <= FIRST_BUCKET_MS {
        return 0;
    }
    let index = ((time_ms / FIRST_BUCKET_MS).log2() * BUCKETS_PER_DOUBLING).ceil();
    (index as usize).min(BUCKETS - 1)
}

/// The upper edge of a bucket, in milliseconds.
fn upper_edge_ms(index: usize) -> f64 {
    FIRST_BUCKET_MS * (index as f64 / BUCKETS_PER_DOUBLING).exp2()
}
