use crate::Episodes;

/// The chance that a request fails at a backend server that is in an episode of failures.
///
/// Measured at three sites: 0.75 to 0.9 in their episodes, half in partial faults.
const FAILS_IN_EPISODE: f64 = 0.8;

/// The least chance of an episode: one good answer more says nothing.
const LEAST_CHANCE: f64 = 0.002;

/// The chance of an episode that is left however many failures came.
const MOST_CHANCE: f64 = 0.99;

/// The chance of an episode from which one is taken to have begun.
const BEGUN_FROM: f64 = 0.7;

/// The chance of an episode below which it is over.
const OVER_BELOW: f64 = 0.1;

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
    /// The chance of an episode, as of the last outcome.
    chance: f64,
    /// When the last outcome was seen.
    at_ms: u64,
    /// When the episode began, if there is one.
    since_ms: Option<u64>,
    /// When the last failure was seen, if there was one.
    last_bad_ms: Option<u64>,
}

impl Suspicion {
    /// A backend server of which nothing was seen yet; it has just appeared, so it is taken to be sound.
    pub fn open(now_ms: u64) -> Suspicion {
        Suspicion { chance: LEAST_CHANCE, at_ms: now_ms, since_ms: None, last_bad_ms: None }
    }

    /// Notes good outcomes.
    pub fn good(&mut self, count: u64, episodes: &mut Episodes, now_ms: u64) {
        if count == 0 {
            return;
        }
        let gap_ms = now_ms.saturating_sub(self.at_ms);
        for _ in 0..count.min(COUNT_LIMIT) {
            episodes.note_outcome(false);
            let otherwise = 1.0 - episodes.fails_otherwise();
            self.weigh(1.0 - FAILS_IN_EPISODE, otherwise, episodes, now_ms);
        }
        if self.chance >= OVER_BELOW {
            return;
        }
        match self.since_ms.take() {
            Some(since_ms) => {
                let last_ms = self.last_bad_ms.unwrap_or(since_ms);
                // It ended some time between the last failure and now.
                let lasted_ms = (last_ms + now_ms) as f64 / 2.0 - since_ms as f64;
                episodes.note_end(lasted_ms);
            }
            None => episodes.note_sound(gap_ms),
        }
    }

    /// Notes bad outcomes.
    pub fn bad(&mut self, count: u64, episodes: &mut Episodes, now_ms: u64) {
        if count == 0 {
            return;
        }
        for _ in 0..count.min(COUNT_LIMIT) {
            episodes.note_outcome(true);
            self.weigh(FAILS_IN_EPISODE, episodes.fails_otherwise(), episodes, now_ms);
        }
        self.last_bad_ms = Some(now_ms);
        self.note_onset(episodes, now_ms);
    }

    /// Notes that a request was given up unanswered after a time that a share of the sound answers exceed;
    /// true if that makes an episode likely.
    pub fn unanswered(&mut self, slower_share: f64, episodes: &mut Episodes, now_ms: u64) -> bool {
        let in_episode = FAILS_IN_EPISODE + (1.0 - FAILS_IN_EPISODE) * slower_share;
        self.weigh(in_episode, slower_share, episodes, now_ms);
        let is_likely = self.chance >= 0.5;
        if is_likely {
            self.last_bad_ms = Some(now_ms);
            self.note_onset(episodes, now_ms);
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
        let chance = self.chance_with(overdue_odds, episodes, now_ms);
        chance * FAILS_IN_EPISODE + (1.0 - chance) * episodes.fails_otherwise()
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

    /// Changes the chance for an outcome that has one chance in an episode and another otherwise.
    fn weigh(&mut self, in_episode: f64, otherwise: f64, episodes: &Episodes, now_ms: u64) {
        let chance = self.chance(episodes, now_ms);
        let (yes, no) = (chance * in_episode, (1.0 - chance) * otherwise);
        self.chance = (yes / (yes + no)).clamp(LEAST_CHANCE, MOST_CHANCE);
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Notes the beginning of an episode once it is likely enough.
    fn note_onset(&mut self, episodes: &mut Episodes, now_ms: u64) {
        if self.chance >= BEGUN_FROM && self.since_ms.is_none() {
            self.since_ms = Some(now_ms);
            episodes.note_onset();
        }
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
