//! The scores of a backend server and the baseline that the others give.

use super::backend::{Backend, Recent};
use super::{BackendKey, Health};
use crate::score::Baseline;

/// The smallest share of its weight to which a score lowers a backend server in service.
const MIN_SHIFT_SHARE: f64 = 0.1;

/// The most that one backend server's score adds to the mean over the others, as a multiple of the
/// ejection score.
const MAX_MEAN_CONTRIBUTION: f64 = 1.5;

impl Health {
    /// The score of this VM's own requests and health checks.
    pub(super) fn own_score(&self, backend: &Backend) -> f64 {
        backend.own.value() + backend.checks.value()
    }

    /// The score on which ejection is decided. Checks alone never raise it.
    pub(super) fn score_for_ejection(&self, backend: &Backend) -> f64 {
        backend.own.value() + backend.checks.capped_by_work(backend.own)
    }

    /// The score on which several VMs agree, if they do.
    pub(super) fn agreed_score(&self, backend: &Backend) -> Option<f64> {
        let recent = backend.recent.good + backend.recent.bad;
        let agrees = backend.peer_reports.agrees(backend.own, recent);
        agrees.then(|| backend.peer_reports.total(backend.own, self.settings.eject_score))
    }

    /// The mean of a score over the service's other backend servers, including ejected ones.
    pub(super) fn mean_of_others(&self, key: BackendKey, score: impl Fn(&Backend) -> f64) -> f64 {
        let cap = self.settings.eject_score * MAX_MEAN_CONTRIBUTION;
        let (sum, count) = self
            .others(key)
            .fold((0.0, 0.0), |(sum, count), other| (sum + score(other).min(cap), count + 1.0));
        if count == 0.0 { 0.0 } else { sum / count }
    }

    /// The share of its weight that a backend server keeps at its score.
    pub(super) fn shift(&self, backend: &Backend) -> f64 {
        if !self.rule.shifts {
            return 1.0;
        }
        let score = self.own_score(backend).max(self.agreed_score(backend).unwrap_or(0.0));
        (1.0 - score / self.settings.eject_score).clamp(MIN_SHIFT_SHARE, 1.0)
    }

    /// The baseline from the evidence of the service's other backend servers in service.
    ///
    /// It is computed with the longer and with the shorter half-life; the one with the higher share
    /// of bad evidence is used.
    pub(super) fn baseline(&self, key: BackendKey) -> Baseline {
        let mut recent = Recent::default();
        let mut short_term = Recent::default();
        for other in self.others(key).filter(|other| other.standing.is_in_service()) {
            recent.merge(other.recent);
            short_term.merge(other.short_term);
        }
        Baseline::from_counts(recent.good, recent.bad)
            .max(Baseline::from_counts(short_term.good, short_term.bad))
    }
}
