//! The chance that the next request to a backend server fails.

use crate::EpisodeModel;
use crate::episodes::{EPISODE_FAILURE_CHANCE, HYPOTHESES, decay_factors, hypotheses};

/// The lower bound of the chance of an episode; further good answers don't lower it.
const MIN_EPISODE_CHANCE: f64 = 0.002;

/// The upper bound of the chance of an episode; further failures don't raise it.
const MAX_EPISODE_CHANCE: f64 = 0.99;

/// The largest number of outcomes in one report that count; more add no evidence.
const MAX_OUTCOMES_PER_REPORT: u64 = 8;

/// The odds ratio in favour of an episode from which an abandoned request counts as a failure.
const ABANDONED_BAD_FROM_ODDS: f64 = 4.0;

/// An estimate of the chance that a backend server is in an episode of failures, from its last
/// outcomes.
///
/// A backend server is either healthy or in an episode. Each outcome updates the chance of an
/// episode by Bayes' rule. Over time the chance returns to the share of the time that backend
/// servers of its service spend in episodes, at the rate at which episodes begin and end there
/// ([`EpisodeModel`]).
///
/// [`Health`](crate::Health) judges over minutes; this estimate reacts to a single failure and
/// forgets it within seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureEstimate {
    /// The chance of an episode under each hypothesis, as of the last outcome.
    by_hypothesis: [f32; HYPOTHESES],
    /// The mean chance of an episode over the weighted hypotheses, as of the last outcome.
    chance: f64,
    /// The time of the last outcome.
    updated_ms: u64,
    /// The time of the last failure, if there was one.
    last_bad_ms: Option<u64>,
}

impl FailureEstimate {
    /// Creates the estimate for a backend server without outcomes. It has just appeared, so it is
    /// assumed to be healthy.
    pub fn new(now_ms: u64) -> FailureEstimate {
        FailureEstimate {
            by_hypothesis: [MIN_EPISODE_CHANCE as f32; HYPOTHESES],
            chance: MIN_EPISODE_CHANCE,
            updated_ms: now_ms,
            last_bad_ms: None,
        }
    }

    /// Records good outcomes.
    pub fn good(&mut self, count: u64, model: &mut EpisodeModel, now_ms: u64) {
        for _ in 0..count.min(MAX_OUTCOMES_PER_REPORT) {
            self.record(false, model, now_ms);
        }
    }

    /// Records bad outcomes.
    pub fn bad(&mut self, count: u64, model: &mut EpisodeModel, now_ms: u64) {
        for _ in 0..count.min(MAX_OUTCOMES_PER_REPORT) {
            self.record(true, model, now_ms);
            self.last_bad_ms = Some(now_ms);
        }
    }

    /// Records that a request was abandoned without an answer, after a time that the given share of
    /// healthy answers exceeds. Returns true if that counts as a failure: an episode is now likely,
    /// and the time speaks for it. A request that is abandoned early says nothing, however likely an
    /// episode was before.
    pub fn unanswered(&mut self, slower_share: f64, model: &EpisodeModel, now_ms: u64) -> bool {
        let episode_likelihood =
            EPISODE_FAILURE_CHANCE + (1.0 - EPISODE_FAILURE_CHANCE) * slower_share;
        self.update(episode_likelihood, &[slower_share; HYPOTHESES], now_ms);
        self.update_chance(model);
        let is_bad = self.chance >= 0.5
            && FailureEstimate::overdue_odds(slower_share) >= ABANDONED_BAD_FROM_ODDS;
        if is_bad {
            self.last_bad_ms = Some(now_ms);
        }
        is_bad
    }

    /// The odds ratio in favour of an episode that a request in flight gives, after a time that the
    /// given share of healthy answers exceeds.
    pub fn overdue_odds(slower_share: f64) -> f64 {
        EPISODE_FAILURE_CHANCE / slower_share + 1.0 - EPISODE_FAILURE_CHANCE
    }

    /// The chance that the next request fails, from 0 to 1; `overdue_odds` is the odds ratio that
    /// the requests in flight give.
    pub fn failure_chance(&self, overdue_odds: f64, model: &EpisodeModel, now_ms: u64) -> f64 {
        model.failure_chance(self.chance_with(overdue_odds, model, now_ms))
    }

    /// The chance that a request in flight gets no answer, after a time that the given share of
    /// healthy answers exceeds; `overdue_odds` is the odds ratio that all requests in flight give.
    pub fn no_answer_chance(
        &self,
        overdue_odds: f64,
        slower_share: f64,
        model: &EpisodeModel,
        now_ms: u64,
    ) -> f64 {
        let unanswered_share = EPISODE_FAILURE_CHANCE
            / (EPISODE_FAILURE_CHANCE + (1.0 - EPISODE_FAILURE_CHANCE) * slower_share);
        self.chance_with(overdue_odds, model, now_ms) * unanswered_share
    }

    /// The age of the last bad outcome, if there was one, in milliseconds.
    pub fn bad_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_bad_ms.map(|bad_ms| now_ms.saturating_sub(bad_ms))
    }

    /// Records one outcome.
    fn record(&mut self, has_failed: bool, model: &mut EpisodeModel, now_ms: u64) {
        let likelihood_of =
            |failure_chance: f64| if has_failed { failure_chance } else { 1.0 - failure_chance };
        let mut healthy_likelihoods = [0.0; HYPOTHESES];
        for (likelihood, hypothesis) in healthy_likelihoods.iter_mut().zip(hypotheses()) {
            *likelihood = likelihood_of(model.healthy_failure_chance_under(hypothesis));
        }
        let likelihoods =
            self.update(likelihood_of(EPISODE_FAILURE_CHANCE), &healthy_likelihoods, now_ms);
        model.record(has_failed, &likelihoods);
        self.update_chance(model);
    }

    /// Applies Bayes' rule to the chance under each hypothesis, with the likelihood of the outcome
    /// in an episode and at a healthy backend server. Returns the total likelihood of the outcome
    /// under each hypothesis.
    fn update(
        &mut self,
        episode_likelihood: f64,
        healthy_likelihoods: &[f64; HYPOTHESES],
        now_ms: u64,
    ) -> [f64; HYPOTHESES] {
        let decay_factors = decay_factors(now_ms.saturating_sub(self.updated_ms));
        let mut likelihoods = [0.0; HYPOTHESES];
        for (index, hypothesis) in hypotheses().enumerate() {
            let chance = hypothesis.chance(self.by_hypothesis[index].into(), &decay_factors);
            let (episode, healthy) =
                (chance * episode_likelihood, (1.0 - chance) * healthy_likelihoods[index]);
            likelihoods[index] = episode + healthy;
            self.by_hypothesis[index] = (episode / (episode + healthy))
                .clamp(MIN_EPISODE_CHANCE, MAX_EPISODE_CHANCE)
                as f32;
        }
        self.updated_ms = self.updated_ms.max(now_ms);
        likelihoods
    }

    /// Updates the mean chance over the weighted hypotheses.
    fn update_chance(&mut self, model: &EpisodeModel) {
        let weighed = self.by_hypothesis.iter().zip(model.weights());
        self.chance = weighed.map(|(chance, weight)| f64::from(*chance) * weight).sum();
    }

    /// The present chance of an episode, including the evidence of the requests in flight.
    fn chance_with(&self, overdue_odds: f64, model: &EpisodeModel, now_ms: u64) -> f64 {
        let chance = self.chance(model, now_ms);
        let (episode, healthy) = (chance * overdue_odds, 1.0 - chance);
        episode / (episode + healthy)
    }

    /// The present chance of an episode.
    fn chance(&self, model: &EpisodeModel, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let share = model.share();
        share + (self.chance - share) * (-age_ms / model.decay_ms()).exp()
    }
}
