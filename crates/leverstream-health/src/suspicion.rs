use crate::Episodes;
use crate::episodes::{COURSES, FAILS_IN_EPISODE, courses, kept};

/// The least chance of an episode: one good answer more says nothing.
const LEAST_CHANCE: f64 = 0.002;

/// The chance of an episode that is left however many failures came.
const MOST_CHANCE: f64 = 0.99;

/// How many outcomes that are told together count; more say nothing more.
const COUNT_LIMIT: u64 = 8;

/// The chance that a backend server is in an episode of failures, by its last outcomes.
///
/// A backend server is taken to be either sound or in an episode. Each outcome changes the chance of the
/// latter by Bayes' rule; with time it goes towards the share of the time that backend servers of its service
/// spend in episodes, as fast as episodes come and go there ([`Episodes`]).
///
/// Beside [`Health`](crate::Health), which judges over minutes, this reacts to a single failure and forgets
/// it within seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// The chance of an episode by each course that episodes may take, as of the last outcome.
    by_course: [f32; COURSES],
    /// The chance of an episode, each course by its weight, as of the last outcome.
    chance: f64,
    /// When the last outcome was seen.
    at_ms: u64,
    /// When the last failure was seen, if there was one.
    last_bad_ms: Option<u64>,
}

impl Suspicion {
    /// A backend server of which nothing was seen yet; it has just appeared, so it is taken to be sound.
    pub fn open(now_ms: u64) -> Suspicion {
        Suspicion {
            by_course: [LEAST_CHANCE as f32; COURSES],
            chance: LEAST_CHANCE,
            at_ms: now_ms,
            last_bad_ms: None,
        }
    }

    /// Notes good outcomes.
    pub fn good(&mut self, count: u64, episodes: &mut Episodes, now_ms: u64) {
        for _ in 0..count.min(COUNT_LIMIT) {
            self.note(false, episodes, now_ms);
        }
    }

    /// Notes bad outcomes.
    pub fn bad(&mut self, count: u64, episodes: &mut Episodes, now_ms: u64) {
        for _ in 0..count.min(COUNT_LIMIT) {
            self.note(true, episodes, now_ms);
            self.last_bad_ms = Some(now_ms);
        }
    }

    /// Notes that a request was given up unanswered after a time that a share of the sound answers exceed;
    /// true if that makes an episode likely.
    pub fn unanswered(&mut self, slower_share: f64, episodes: &Episodes, now_ms: u64) -> bool {
        let in_episode = FAILS_IN_EPISODE + (1.0 - FAILS_IN_EPISODE) * slower_share;
        self.weigh(in_episode, &[slower_share; COURSES], now_ms);
        self.sum_up(episodes);
        let is_likely = self.chance >= 0.5;
        if is_likely {
            self.last_bad_ms = Some(now_ms);
        }
        is_likely
    }

    /// By how much a request under way, after a time that a share of the sound answers exceed, makes an
    /// episode likelier.
    pub fn overdue_odds(slower_share: f64) -> f64 {
        FAILS_IN_EPISODE / slower_share + 1.0 - FAILS_IN_EPISODE
    }

    /// The chance that the next request fails, from 0 to 1; `overdue_odds` is what the requests under way say.
    pub fn failure_chance(&self, overdue_odds: f64, episodes: &Episodes, now_ms: u64) -> f64 {
        episodes.failure_chance(self.chance_with(overdue_odds, episodes, now_ms))
    }

    /// The chance that a request under way gets no answer, after a time that a share of the sound answers
    /// exceed; `overdue_odds` is what all requests under way say.
    pub fn silence_chance(
        &self,
        overdue_odds: f64,
        slower_share: f64,
        episodes: &Episodes,
        now_ms: u64,
    ) -> f64 {
        let silent =
            FAILS_IN_EPISODE / (FAILS_IN_EPISODE + (1.0 - FAILS_IN_EPISODE) * slower_share);
        self.chance_with(overdue_odds, episodes, now_ms) * silent
    }

    /// How long ago the last bad outcome was, if there was one.
    pub fn bad_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_bad_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Notes one outcome.
    fn note(&mut self, has_failed: bool, episodes: &mut Episodes, now_ms: u64) {
        let chance = |failed: f64| if has_failed { failed } else { 1.0 - failed };
        let mut otherwise = [0.0; COURSES];
        for (otherwise, course) in otherwise.iter_mut().zip(courses()) {
            *otherwise = chance(episodes.fails_by(course));
        }
        let foretold = self.weigh(chance(FAILS_IN_EPISODE), &otherwise, now_ms);
        episodes.note(has_failed, &foretold);
        self.sum_up(episodes);
    }

    /// Changes the chances for an outcome that has one chance in an episode and by each course another
    /// otherwise; returns the chance that each course gave to it.
    fn weigh(
        &mut self,
        in_episode: f64,
        otherwise: &[f64; COURSES],
        now_ms: u64,
    ) -> [f64; COURSES] {
        let kept = kept(now_ms.saturating_sub(self.at_ms));
        let mut foretold = [0.0; COURSES];
        for (index, course) in courses().enumerate() {
            let chance = course.chance(self.by_course[index].into(), &kept);
            let (yes, no) = (chance * in_episode, (1.0 - chance) * otherwise[index]);
            foretold[index] = yes + no;
            self.by_course[index] = (yes / (yes + no)).clamp(LEAST_CHANCE, MOST_CHANCE) as f32;
        }
        self.at_ms = self.at_ms.max(now_ms);
        foretold
    }

    /// Sums the chances by the courses up, each by its weight.
    fn sum_up(&mut self, episodes: &Episodes) {
        let weighed = self.by_course.iter().zip(episodes.weights());
        self.chance = weighed.map(|(chance, weight)| f64::from(*chance) * weight).sum();
    }

    /// The chance of an episode by now, with what the requests under way say.
    fn chance_with(&self, overdue_odds: f64, episodes: &Episodes, now_ms: u64) -> f64 {
        let chance = self.chance(episodes, now_ms);
        let (yes, no) = (chance * overdue_odds, 1.0 - chance);
        yes / (yes + no)
    }

    /// The chance of an episode by now.
    fn chance(&self, episodes: &Episodes, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let share = episodes.share();
        share + (self.chance - share) * (-age_ms / episodes.memory_ms()).exp()
    }
}
