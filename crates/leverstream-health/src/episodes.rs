use std::sync::LazyLock;

/// The shares of the time in episodes that are weighed against each other. More than two fifths would have
/// those of which nothing is known avoided, whatever they are.
const SHARES: [f64; 6] = [0.002, 0.01, 0.05, 0.12, 0.24, 0.4];

/// The times by which what was seen counts for 1/e that are weighed against each other, in milliseconds: errors
/// that know no episode are forgotten at once, the longest episodes seen took 27 s.
const MEMORIES_MS: [f64; 4] = [600.0, 2_000.0, 6_000.0, 15_000.0];

/// The parts of a service's failures laid to its sound backend servers that are weighed against each other:
/// where a service sheds or fails as a whole, nearly all; where backend servers fail in turn, next to none.
const SOUND_PARTS: [f64; 2] = [0.1, 0.95];

/// How many courses are weighed against each other.
pub(crate) const COURSES: usize = SHARES.len() * MEMORIES_MS.len() * SOUND_PARTS.len();

/// The logarithm of how likely each course is before anything was seen; asked for at each outcome.
static LOG_ASSUMED: LazyLock<[f64; COURSES]> = LazyLock::new(|| {
    let mut logs = [0.0; COURSES];
    logs.iter_mut().zip(courses()).for_each(|(log, course)| *log = log_assumed(course));
    logs
});

/// The share that is assumed before anything was seen, the middle of what may be: the mean over all is one
/// episode a minute, of six seconds.
const ASSUMED_SHARE: f64 = 0.04;

/// The memory that is assumed then, in milliseconds.
const ASSUMED_MEMORY_MS: f64 = 5_450.0;

/// How far off the assumed share may be, as the standard deviation of the logarithm of its odds.
const SHARE_DOUBT: f64 = 1.5;

/// How far off the assumed memory may be, as the standard deviation of its logarithm.
const MEMORY_DOUBT: f64 = 0.7;

/// How many outcomes are remembered: with one a second of each, four minutes of forty backend servers.
const REMEMBERED: f64 = 10_000.0;

/// The chance that a request fails at a backend server that is in an episode of failures.
///
/// Measured at three sites: 0.75 to 0.9 in their episodes, half in partial faults.
pub(crate) const FAILS_IN_EPISODE: f64 = 0.8;

/// The least chance that a request is taken to fail at a sound backend server.
///
/// Measured at three sites: 1.2 % of the answers of sound ones are errors.
const LEAST_FAILED: f64 = 0.012;

/// The most, well below the chance in an episode: a failure must not speak for a backend server.
const MOST_FAILED: f64 = 0.6;

/// How much one outcome changes what is thought of the share of failures: it is that of the last hundred.
const FAILED_STEP: f64 = 0.02;

/// How much of the time a service's backend servers spend in episodes of failures and how soon that changes,
/// as learned from what was seen of all of them.
///
/// Several courses are followed at once, each a share of the time in episodes, a memory and a part of the
/// failures that sound backend servers have. Each counts by how well it foretold the outcomes so far, each of
/// them given what was left open by the one before at the same backend server. So it does not matter how often
/// or at whom somebody looks; who is avoided is looked at rarely, and that is no news of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Episodes {
    /// The logarithm of how well each course foretold what was seen.
    foretold: [f64; COURSES],
    /// How much each counts; their sum is 1.
    weights: [f64; COURSES],
    /// The share of the time in episodes.
    share: f64,
    /// After how long what was seen counts for 1/e, in milliseconds.
    memory_ms: f64,
    /// The part of the failures that sound backend servers have.
    sound_part: f64,
    /// The share of all requests that failed of late.
    failed: f64,
}

/// One way in which episodes may come and go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Course {
    /// The share of the time in episodes.
    pub share: f64,
    /// Which of the memories it has.
    memory: usize,
    /// The part of the failures that sound backend servers have.
    sound_part: f64,
}

impl Default for Episodes {
    fn default() -> Episodes {
        let (weights, failed) = ([0.0; COURSES], LEAST_FAILED);
        let (share, memory_ms, sound_part) = (ASSUMED_SHARE, ASSUMED_MEMORY_MS, SOUND_PARTS[0]);
        let foretold = [0.0; COURSES];
        let mut episodes = Episodes { foretold, weights, share, memory_ms, sound_part, failed };
        episodes.weigh();
        episodes
    }
}

impl Episodes {
    /// The share of the time that a backend server spends in episodes: the chance that one of which nothing
    /// was heard for long is in one.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// After how long what was known of a backend server counts for 1/e, in milliseconds.
    pub fn memory_ms(&self) -> f64 {
        self.memory_ms
    }

    /// The share of the last hundred outcomes that were failures, whoever saw them.
    pub fn failed_share(&self) -> f64 {
        self.failed
    }

    /// The chance that a request fails at a backend server of which nothing was heard for long.
    pub fn unseen_failure_chance(&self) -> f64 {
        self.failure_chance(self.share)
    }

    /// The chance that a request fails at a backend server that is in an episode with some chance.
    pub(crate) fn failure_chance(&self, episode_chance: f64) -> f64 {
        episode_chance * FAILS_IN_EPISODE + (1.0 - episode_chance) * self.fails_otherwise()
    }

    /// The chance that a request fails at a sound backend server.
    pub(crate) fn fails_otherwise(&self) -> f64 {
        self.laid_to_sound(self.sound_part)
    }

    /// The same by one course.
    pub(crate) fn fails_by(&self, course: Course) -> f64 {
        self.laid_to_sound(course.sound_part)
    }

    /// How much each course counts.
    pub(crate) fn weights(&self) -> &[f64; COURSES] {
        &self.weights
    }

    /// Notes how a request ended, with the chance that each course gave to that.
    pub(crate) fn note(&mut self, has_failed: bool, chances: &[f64; COURSES]) {
        let failed = f64::from(u8::from(has_failed));
        self.failed += FAILED_STEP * (failed - self.failed);
        for (foretold, chance) in self.foretold.iter_mut().zip(chances) {
            *foretold += chance.ln() - *foretold / REMEMBERED;
        }
        self.weigh();
    }

    /// Weighs the courses by what is assumed and how well each foretold what was seen.
    fn weigh(&mut self) {
        let logs: [f64; COURSES] = std::array::from_fn(|at| self.foretold[at] + LOG_ASSUMED[at]);
        let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        self.weights = logs.map(|log| (log - most).exp());
        let sum: f64 = self.weights.iter().sum();
        self.weights.iter_mut().for_each(|weight| *weight /= sum);
        let mean = |value: &dyn Fn(Course) -> f64| {
            let values = courses().map(value).zip(&self.weights);
            values.map(|(value, weight)| value * weight).sum::<f64>()
        };
        self.share = mean(&|course| course.share);
        self.memory_ms = mean(&|course| MEMORIES_MS[course.memory].ln()).exp();
        self.sound_part = mean(&|course| course.sound_part);
    }

    /// The chance that a request fails at a sound backend server, if these have such a part of the failures.
    fn laid_to_sound(&self, sound_part: f64) -> f64 {
        (self.failed * sound_part).clamp(LEAST_FAILED, MOST_FAILED)
    }
}

/// The courses that are followed.
pub(crate) fn courses() -> impl Iterator<Item = Course> {
    SHARES.into_iter().flat_map(|share| {
        (0..MEMORIES_MS.len()).flat_map(move |memory| {
            SOUND_PARTS.map(move |sound_part| Course { share, memory, sound_part })
        })
    })
}

/// How much of what was seen so long ago counts still, by memory.
pub(crate) fn kept(age_ms: u64) -> [f64; MEMORIES_MS.len()] {
    MEMORIES_MS.map(|memory_ms| (-(age_ms as f64) / memory_ms).exp())
}

impl Course {
    /// The chance of an episode by now, of which so much of what was seen is kept.
    pub fn chance(&self, chance: f64, kept: &[f64; MEMORIES_MS.len()]) -> f64 {
        self.share + (chance - self.share) * kept[self.memory]
    }
}

/// The logarithm of how likely a course is before anything was seen.
fn log_assumed(course: Course) -> f64 {
    let log_odds = |share: f64| (share / (1.0 - share)).ln();
    let share_off = (log_odds(course.share) - log_odds(ASSUMED_SHARE)) / SHARE_DOUBT;
    let memory_off = (MEMORIES_MS[course.memory] / ASSUMED_MEMORY_MS).ln() / MEMORY_DOUBT;
    -(share_off.powi(2) + memory_off.powi(2)) / 2.0
}
