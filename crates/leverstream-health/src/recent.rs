/// After how long an outcome counts for 1/e of a new one, in milliseconds.
///
/// Bursts of errors last about a second, so older outcomes say little of the next one.
const MEMORY_MS: f64 = 1_500.0;

/// The chance of a failure assumed of a backend server of which nothing is known.
const PRIOR_FAILURE: f64 = 0.02;

/// How many outcomes that assumption counts for.
const PRIOR_COUNT: f64 = 1.0;

/// The chance that the next request fails right after one that did.
///
/// In a burst nine of ten requests fail; one failure in some is a stray one.
const AFTER_FAILURE: f64 = 0.8;

/// How long that chance takes to halve after the first failure in a row, in milliseconds.
const HALF_LIFE_MS: f64 = 700.0;

/// The most failures in a row that lengthen it.
const STREAK_LIMIT: u32 = 3;

/// The most outcomes that are remembered, so that however many failed in a burst, a backend server
/// is tried again within seconds of it.
const COUNT_LIMIT: f64 = 8.0;

/// The chance of a failure from which a backend server is avoided.
pub const AVOID_FROM: f64 = 0.35;

/// What the last few outcomes at a backend server say of the next one.
///
/// Beside [`Health`](crate::Health), which judges over minutes, this reacts to a single failure and
/// forgets it within seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recent {
    /// Good outcomes, fading.
    good: f64,
    /// Bad outcomes, fading.
    bad: f64,
    /// When the two were last brought up to date.
    at_ms: u64,
    /// Bad outcomes in a row.
    streak: u32,
    /// When the last bad outcome was seen.
    last_bad_ms: u64,
}

impl Recent {
    /// Notes good outcomes.
    pub fn good(&mut self, count: u64, now_ms: u64) {
        if count == 0 {
            return;
        }
        self.fade(now_ms);
        self.good += count as f64;
        self.bound();
        self.streak = 0;
    }

    /// Notes bad outcomes.
    pub fn bad(&mut self, count: u64, now_ms: u64) {
        if count == 0 {
            return;
        }
        self.fade(now_ms);
        self.bad += count as f64;
        self.bound();
        self.streak = self.streak.saturating_add(u32::try_from(count).unwrap_or(u32::MAX));
        self.last_bad_ms = now_ms;
    }

    /// The chance that the next request fails, from 0 to 1.
    pub fn failure_chance(&self, now_ms: u64) -> f64 {
        let factor = self.fading(now_ms);
        let (good, bad) = (self.good * factor, self.bad * factor);
        let share = (bad + PRIOR_FAILURE * PRIOR_COUNT) / (good + bad + PRIOR_COUNT);
        share.max(self.chance_after_streak(now_ms))
    }

    /// How long ago the last bad outcome was, if there was one.
    pub fn bad_age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.last_bad_ms > 0).then(|| now_ms.saturating_sub(self.last_bad_ms))
    }

    /// Tells whether a backend server should be avoided while others can do the work.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        self.failure_chance(now_ms) >= AVOID_FROM
    }

    /// The chance of a failure that failures in a row leave behind.
    fn chance_after_streak(&self, now_ms: u64) -> f64 {
        if self.streak == 0 {
            return 0.0;
        }
        let age_ms = now_ms.saturating_sub(self.last_bad_ms) as f64;
        let half_life_ms = HALF_LIFE_MS * f64::from(self.streak.min(STREAK_LIMIT));
        AFTER_FAILURE * (-age_ms / half_life_ms).exp2()
    }

    /// Bounds how many outcomes are remembered.
    fn bound(&mut self) {
        let total = self.good + self.bad;
        if total > COUNT_LIMIT {
            self.good *= COUNT_LIMIT / total;
            self.bad *= COUNT_LIMIT / total;
        }
    }

    /// Brings the fading counts up to date.
    fn fade(&mut self, now_ms: u64) {
        let factor = self.fading(now_ms);
        self.good *= factor;
        self.bad *= factor;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// The share of the counts that is left by now.
    fn fading(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.at_ms) as f64) / MEMORY_MS).exp()
    }
}
