//! Ejection, trials, and the return to service.

use super::{BackendKey, Health};
use crate::observation::RequestOutcome;
use crate::score::evidence_units;
use crate::standing::{Reason, Standing};

/// The number of successful trial requests that a return requires.
const REQUIRED_TRIALS: u32 = 3;

/// The time without trial requests after which a backend server returns untried, in milliseconds.
/// Services whose requests may not be repeated send no trials.
const TRIAL_WAIT_LIMIT_MS: u64 = 600_000;

/// The longest hold-off, as a multiple of the first.
const MAX_HOLDOFF_FACTOR: u64 = 64;

/// The factor of the others' mean score by which a score must exceed the ejection score.
///
/// Under a fault of the whole service all scores rise together, and none exceeds the others.
const OUTLIER_FACTOR: f64 = 3.0;

/// The units of bad evidence from which an answered trial request counts as failed.
const TRIAL_FAILURE_UNITS: u8 = 3;

impl Health {
    /// Returns the reason to eject a backend server, if its score is an outlier among the service's
    /// others.
    pub(crate) fn judge_evidence(&self, key: BackendKey) -> Option<Reason> {
        let limit = self.settings.eject_score;
        let backend = self.backend(key);
        let own_mean = self.mean_of_others(key, |other| self.score_for_ejection(other));
        if self.score_for_ejection(backend) >= limit + OUTLIER_FACTOR * own_mean {
            return Some(Reason::Own);
        }
        let agreed = self.agreed_score(backend)?;
        let mean = self.mean_of_others(key, |other| other.peer_reports.total(other.own, limit));
        (agreed >= limit + OUTLIER_FACTOR * mean).then_some(Reason::Agreed)
    }

    /// Records the end of a trial request.
    ///
    /// A slightly slow answer decides nothing: the quantile of a few fast answers is a strict
    /// limit, and each failed trial doubles the hold-off.
    pub fn finish_trial(
        &mut self,
        key: BackendKey,
        outcome: RequestOutcome,
        time_ms: f64,
        now_ms: u64,
    ) {
        let backend = self.backend(key);
        let Standing::Trial { since_ms, good } = backend.standing else { return };
        let units = evidence_units(time_ms, backend.slow_ms);
        match outcome {
            RequestOutcome::Good if units == 0 => {
                self.backend_mut(key).standing = Standing::Trial { since_ms, good: good + 1 };
            }
            RequestOutcome::Good if units < TRIAL_FAILURE_UNITS => {}
            RequestOutcome::NoEvidence => {}
            _ => self.eject_one(key, Reason::Trial, now_ms),
        }
    }

    /// Moves ejected backend servers through trials and ramp-up back to full service, and forgives
    /// past ejections over time.
    pub(super) fn advance(&mut self, now_ms: u64) {
        let settings = self.settings;
        for backend in &mut self.backends {
            match backend.standing {
                Standing::Ejected { until_ms, .. } if now_ms >= until_ms => {
                    backend.standing = Standing::Trial { since_ms: now_ms, good: 0 };
                    backend.clear_scores();
                }
                Standing::Trial { since_ms, good } => {
                    let is_untried = now_ms.saturating_sub(since_ms) >= TRIAL_WAIT_LIMIT_MS;
                    if good >= REQUIRED_TRIALS || (is_untried && backend.own.value() == 0.0) {
                        backend.standing = Standing::Ramping { since_ms: now_ms };
                    }
                }
                Standing::Ramping { since_ms } => {
                    if now_ms.saturating_sub(since_ms) >= settings.ramp_ms {
                        backend.standing = Standing::Serving;
                        backend.settled_ms = now_ms;
                    }
                }
                Standing::Serving => {
                    let settled_for_ms = now_ms.saturating_sub(backend.settled_ms);
                    if backend.ejections > 0 && settled_for_ms >= 12 * settings.holdoff_ms {
                        backend.ejections -= 1;
                        backend.settled_ms = now_ms;
                    }
                }
                Standing::Ejected { .. } => {}
            }
        }
    }

    /// Returns ejected backend servers to service, those due first, while draining backend servers
    /// leave less weight in service than the floor, or none.
    pub(super) fn restore(&mut self, now_ms: u64) {
        while let Some(key) = self.next_to_restore(now_ms) {
            let backend = self.backend_mut(key);
            backend.standing = Standing::Serving;
            backend.settled_ms = now_ms;
            backend.clear_scores();
        }
    }

    /// The ejected backend server to return now, if too little weight is in service.
    fn next_to_restore(&self, now_ms: u64) -> Option<BackendKey> {
        let usable = |key: &BackendKey| self.backend(*key).usable_weight(now_ms);
        // A ramping backend server counts with its full weight, as its share rises without a return
        // of others.
        let in_service = self.keys().filter(|key| self.backend(*key).standing.is_in_service());
        let weight: f64 = in_service.map(|key| usable(&key)).sum();
        if weight > 0.0 && weight >= self.floor_weight(now_ms) {
            return None;
        }
        let ejected = self.keys().filter(|key| usable(key) > 0.0).filter_map(|key| {
            match self.backend(key).standing {
                Standing::Ejected { until_ms, .. } => Some((until_ms, key)),
                _ => None,
            }
        });
        ejected.min_by_key(|(until_ms, _)| *until_ms).map(|(_, key)| key)
    }

    /// Ejects the backend servers that the rule names, the worst first, as far as the floor allows.
    pub(super) fn eject(&mut self, now_ms: u64) {
        let judge = self.rule.judge;
        let mut candidates: Vec<(BackendKey, Reason)> = self
            .keys()
            .filter(|key| self.backend(*key).standing.is_in_service())
            .filter_map(|key| Some((key, judge(self, key)?)))
            .collect();
        let worst = |key: BackendKey| self.own_score(self.backend(key));
        candidates.sort_by(|a, b| worst(b.0).total_cmp(&worst(a.0)));
        for (key, reason) in candidates {
            if self.floor_allows(key, now_ms) {
                self.eject_one(key, reason, now_ms);
            }
        }
    }

    /// Tells whether the floor still holds without the backend server.
    fn floor_allows(&self, key: BackendKey, now_ms: u64) -> bool {
        let backend = self.backend(key);
        let share = backend.standing.share(self.settings.ramp_ms, now_ms);
        let left = self.serving_weight(now_ms) - backend.usable_weight(now_ms) * share;
        left > 0.0 && left >= self.floor_weight(now_ms)
    }

    /// The weight that must stay in service.
    fn floor_weight(&self, now_ms: u64) -> f64 {
        self.total_weight(now_ms) * f64::from(self.settings.floor_percent) / 100.0
    }

    /// Ejects a backend server; each further ejection doubles the hold-off up to its limit.
    fn eject_one(&mut self, key: BackendKey, reason: Reason, now_ms: u64) {
        let holdoff_ms = self.settings.holdoff_ms;
        let backend = self.backend_mut(key);
        let factor =
            1_u64.checked_shl(backend.ejections).unwrap_or(u64::MAX).min(MAX_HOLDOFF_FACTOR);
        let until_ms = now_ms + holdoff_ms.saturating_mul(factor);
        backend.ejections += 1;
        backend.standing = Standing::Ejected { since_ms: now_ms, until_ms, reason };
    }
}
