//! A model of how often and how long the backend servers of a service fail.

use std::sync::LazyLock;

/// The candidate shares of the time that a backend server spends in episodes. A share above two
/// fifths would make callers avoid every backend server without recent outcomes, whatever its
/// health.
const EPISODE_SHARES: [f64; 6] = [0.002, 0.01, 0.05, 0.12, 0.24, 0.4];

/// The candidate time constants in milliseconds, after which an observed outcome weighs 1/e. The
/// shortest fits errors that don't come in episodes; the longest episodes observed took 27 s.
const DECAY_TIMES_MS: [f64; 4] = [600.0, 2_000.0, 6_000.0, 15_000.0];

/// The candidate shares of a service's failures that its healthy backend servers account for:
/// nearly all where the service sheds load or fails as a whole, close to none where backend servers
/// fail in turn.
const HEALTHY_FAILURE_SHARES: [f64; 2] = [0.1, 0.95];

/// The number of hypotheses.
pub(crate) const HYPOTHESES: usize =
    EPISODE_SHARES.len() * DECAY_TIMES_MS.len() * HEALTHY_FAILURE_SHARES.len();

/// The log prior of each hypothesis, cached because every outcome needs it.
static LOG_PRIORS: LazyLock<[f64; HYPOTHESES]> = LazyLock::new(|| {
    let mut logs = [0.0; HYPOTHESES];
    logs.iter_mut().zip(hypotheses()).for_each(|(log, hypothesis)| *log = log_prior(hypothesis));
    logs
});

/// The centre of the prior for the share of the time in episodes. The mean over all hypotheses is
/// one episode of six seconds each minute.
const PRIOR_SHARE: f64 = 0.04;

/// The centre of the prior for the decay time, in milliseconds.
const PRIOR_DECAY_MS: f64 = 5_450.0;

/// The standard deviation of the prior for the log odds of the episode share.
const PRIOR_LOG_ODDS_DEVIATION: f64 = 1.5;

/// The standard deviation of the prior for the logarithm of the decay time.
const PRIOR_LOG_DECAY_DEVIATION: f64 = 0.7;

/// The number of outcomes over which the log likelihoods decay to 1/e: four minutes for forty
/// backend servers with one outcome a second each.
const LIKELIHOOD_WINDOW_OUTCOMES: f64 = 10_000.0;

/// The chance that a request fails at a backend server in an episode of failures.
///
/// Measured at three sites: 0.75 to 0.9 in full episodes, 0.5 in partial faults.
pub(crate) const EPISODE_FAILURE_CHANCE: f64 = 0.8;

/// The lower bound of the chance that a request fails at a healthy backend server.
///
/// Measured at three sites: 1.2 % of the answers of healthy backend servers are errors.
const MIN_HEALTHY_FAILURE_CHANCE: f64 = 0.012;

/// The upper bound of that chance. It stays well below the chance in an episode, so that a failure
/// never counts in favour of a backend server.
const MAX_HEALTHY_FAILURE_CHANCE: f64 = 0.6;

/// The step of the moving average of the failure share, which covers about the last hundred
/// outcomes.
const FAILURE_SHARE_STEP: f64 = 0.02;

/// A model of a service's failure episodes, learned from the outcomes of all its backend servers:
/// how much of the time they spend in episodes and how fast that changes.
///
/// The model averages over hypotheses. Each hypothesis is a share of the time in episodes, a decay
/// time and a share of the failures that healthy backend servers account for. Its weight follows
/// from its prior and from the likelihood of all outcomes so far, each given the outcomes before it
/// at the same backend server. The estimate therefore doesn't depend on how often or where outcomes
/// are observed: an avoided backend server yields few outcomes, and that alone is no evidence about
/// it.
#[derive(Clone, Debug, PartialEq)]
pub struct EpisodeModel {
    /// The log likelihood of the observed outcomes under each hypothesis.
    log_likelihoods: [f64; HYPOTHESES],
    /// The weights of the hypotheses; they sum to 1.
    weights: [f64; HYPOTHESES],
    /// The share of the time in episodes.
    share: f64,
    /// The time after which an observed outcome weighs 1/e, in milliseconds.
    decay_ms: f64,
    /// The share of the failures that healthy backend servers account for.
    healthy_failure_share: f64,
    /// The moving average of the share of requests that failed.
    failure_share: f64,
}

/// One hypothesis about how episodes begin and end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hypothesis {
    /// The share of the time in episodes.
    pub share: f64,
    /// The index of its decay time in [`DECAY_TIMES_MS`].
    decay_index: usize,
    /// The share of the failures that healthy backend servers account for.
    healthy_failure_share: f64,
}

impl Default for EpisodeModel {
    fn default() -> EpisodeModel {
        let (weights, failure_share) = ([0.0; HYPOTHESES], MIN_HEALTHY_FAILURE_CHANCE);
        let (share, decay_ms, healthy_failure_share) =
            (PRIOR_SHARE, PRIOR_DECAY_MS, HEALTHY_FAILURE_SHARES[0]);
        let log_likelihoods = [0.0; HYPOTHESES];
        let mut model = EpisodeModel {
            log_likelihoods,
            weights,
            share,
            decay_ms,
            healthy_failure_share,
            failure_share,
        };
        model.update_weights();
        model
    }
}

impl EpisodeModel {
    /// The share of the time that a backend server spends in episodes. It is also the chance that a
    /// backend server without recent outcomes is in one.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The time after which an outcome of a backend server weighs 1/e, in milliseconds.
    pub fn decay_ms(&self) -> f64 {
        self.decay_ms
    }

    /// The share of failures among about the last hundred outcomes, over all reporters.
    pub fn failed_share(&self) -> f64 {
        self.failure_share
    }

    /// The chance that a request fails at a backend server without recent outcomes.
    pub fn unobserved_failure_chance(&self) -> f64 {
        self.failure_chance(self.share)
    }

    /// The chance that a request fails at a backend server that is in an episode with the given
    /// chance.
    pub(crate) fn failure_chance(&self, episode_chance: f64) -> f64 {
        episode_chance * EPISODE_FAILURE_CHANCE
            + (1.0 - episode_chance) * self.healthy_failure_chance()
    }

    /// The chance that a request fails at a healthy backend server.
    pub(crate) fn healthy_failure_chance(&self) -> f64 {
        self.healthy_chance_for_share(self.healthy_failure_share)
    }

    /// The chance that a request fails at a healthy backend server under one hypothesis.
    pub(crate) fn healthy_failure_chance_under(&self, hypothesis: Hypothesis) -> f64 {
        self.healthy_chance_for_share(hypothesis.healthy_failure_share)
    }

    /// The weights of the hypotheses.
    pub(crate) fn weights(&self) -> &[f64; HYPOTHESES] {
        &self.weights
    }

    /// Records the outcome of a request, with the likelihood of that outcome under each hypothesis.
    pub(crate) fn record(&mut self, has_failed: bool, likelihoods: &[f64; HYPOTHESES]) {
        let outcome = f64::from(u8::from(has_failed));
        self.failure_share += FAILURE_SHARE_STEP * (outcome - self.failure_share);
        for (log_likelihood, likelihood) in self.log_likelihoods.iter_mut().zip(likelihoods) {
            *log_likelihood += likelihood.ln() - *log_likelihood / LIKELIHOOD_WINDOW_OUTCOMES;
        }
        self.update_weights();
    }

    /// Updates the weights from the priors and the log likelihoods, and the weighted means.
    fn update_weights(&mut self) {
        let logs: [f64; HYPOTHESES] =
            std::array::from_fn(|index| self.log_likelihoods[index] + LOG_PRIORS[index]);
        let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        self.weights = logs.map(|log| (log - most).exp());
        let sum: f64 = self.weights.iter().sum();
        self.weights.iter_mut().for_each(|weight| *weight /= sum);
        let mean = |value: &dyn Fn(Hypothesis) -> f64| {
            let values = hypotheses().map(value).zip(&self.weights);
            values.map(|(value, weight)| value * weight).sum::<f64>()
        };
        self.share = mean(&|hypothesis| hypothesis.share);
        self.decay_ms = mean(&|hypothesis| DECAY_TIMES_MS[hypothesis.decay_index].ln()).exp();
        self.healthy_failure_share = mean(&|hypothesis| hypothesis.healthy_failure_share);
    }

    /// The chance that a request fails at a healthy backend server, if healthy ones account for the
    /// given share of the failures.
    fn healthy_chance_for_share(&self, healthy_failure_share: f64) -> f64 {
        (self.failure_share * healthy_failure_share)
            .clamp(MIN_HEALTHY_FAILURE_CHANCE, MAX_HEALTHY_FAILURE_CHANCE)
    }
}

/// All hypotheses, in a fixed order.
pub(crate) fn hypotheses() -> impl Iterator<Item = Hypothesis> {
    EPISODE_SHARES.into_iter().flat_map(|share| {
        (0..DECAY_TIMES_MS.len()).flat_map(move |decay_index| {
            HEALTHY_FAILURE_SHARES.map(move |healthy_failure_share| Hypothesis {
                share,
                decay_index,
                healthy_failure_share,
            })
        })
    })
}

/// The weight that an outcome of the given age still has, for each decay time.
pub(crate) fn decay_factors(age_ms: u64) -> [f64; DECAY_TIMES_MS.len()] {
    DECAY_TIMES_MS.map(|decay_ms| (-(age_ms as f64) / decay_ms).exp())
}

impl Hypothesis {
    /// The present chance of an episode, given the chance at the last outcome and the decay factors
    /// since then.
    pub fn chance(&self, chance: f64, decay_factors: &[f64; DECAY_TIMES_MS.len()]) -> f64 {
        self.share + (chance - self.share) * decay_factors[self.decay_index]
    }
}

/// The log prior of a hypothesis.
fn log_prior(hypothesis: Hypothesis) -> f64 {
    let log_odds = |share: f64| (share / (1.0 - share)).ln();
    let share_off = (log_odds(hypothesis.share) - log_odds(PRIOR_SHARE)) / PRIOR_LOG_ODDS_DEVIATION;
    let decay_off =
        (DECAY_TIMES_MS[hypothesis.decay_index] / PRIOR_DECAY_MS).ln() / PRIOR_LOG_DECAY_DEVIATION;
    -(share_off.powi(2) + decay_off.powi(2)) / 2.0
}
