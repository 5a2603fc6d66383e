//! Computes the figures of a run.

use super::{Simulation, VMS};
use crate::gray::figures::Figures;

/// Time without requests after which a sick backend server counts as detected, in milliseconds.
const DETECTION_PAUSE_MS: u64 = 1_000;

impl Simulation<'_> {
    /// Ends the run and returns its figures.
    pub(super) fn into_figures(mut self) -> Figures {
        let onset_ms = self.onset_ms;
        let request_count =
            self.requests.iter().filter(|request| request.arrived_ms >= onset_ms).count();
        let percent = |count: u64| 100.0 * count as f64 / request_count.max(1) as f64;
        self.figures.late_percent = percent(self.late);
        self.figures.failed_percent = percent(self.failed);
        let slots = u64::from(self.deployment.slots) * self.deployment.backends as u64;
        self.figures.probe_percent = 100.0 * self.probe_ms as f64 / (slots * self.end_ms) as f64;
        if (0..self.deployment.backends).any(self.fault.sick) {
            self.figures.detection_ms = Some(self.detection_ms());
        }
        self.figures
    }

    /// Returns the time from the onset to the last request before the first long pause, not counting trials.
    ///
    /// By night requests are rare, so it is the median time over which a VM sent them to sick backend
    /// servers, over the VMs that sent any.
    fn detection_ms(&self) -> f64 {
        if self.deployment.is_quiet() {
            return self.quiet_detection_ms();
        }
        let mut last_ms = 0;
        for (at_ms, _) in &self.non_trial_sends {
            if at_ms - last_ms > DETECTION_PAUSE_MS && last_ms > 0 {
                break;
            }
            last_ms = *at_ms;
        }
        last_ms as f64
    }

    /// Returns the median over the VMs of the time from first to last request to sick backend servers.
    fn quiet_detection_ms(&self) -> f64 {
        let mut spans: Vec<u64> = (0..VMS)
            .filter_map(|vm| {
                let times =
                    || self.non_trial_sends.iter().filter(|(_, by)| *by == vm).map(|(at, _)| *at);
                Some(times().max()? - times().min()?)
            })
            .collect();
        spans.sort_unstable();
        spans.get(spans.len() / 2).copied().unwrap_or(0) as f64
    }
}
