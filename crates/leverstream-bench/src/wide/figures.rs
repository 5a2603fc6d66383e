//! Results of a run of the model.

use std::fmt;

/// The results of one run of the model, for the requests that arrive after the warm-up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Non-repeatable requests.
    pub non_repeatable: u64,
    /// Non-repeatable requests that failed.
    pub non_repeatable_failed: u64,
    /// Repeatable requests.
    pub repeatable: u64,
    /// Repeatable requests that failed.
    pub repeatable_failed: u64,
    /// Answers after the objective.
    pub late: u64,
    /// Times until the answers to non-repeatable requests, in milliseconds.
    pub non_repeatable_ms: Vec<u64>,
    /// Requests sent to backend servers.
    pub sends: u64,
    /// Requests sent to backend servers of another data hall.
    pub sent_to_other_halls: u64,
    /// Connections that VMs opened for lack of a usable idle one.
    pub opened: u64,
    /// Backend servers that received requests in the last two seconds.
    pub in_use: u64,
    /// Share of the healthy backend servers of a group that received no request within two seconds, in the worst window
    /// of the worst group.
    pub worst_idle_share: f64,
    /// The mean of that share over all windows and groups.
    pub mean_idle_share: f64,
    /// Bytes of the reports on backend servers that VMs sent to other data halls.
    pub report_bytes: u64,
}

impl Figures {
    /// Returns the share of the requests that failed.
    pub fn failed_share(&self) -> f64 {
        (self.non_repeatable_failed + self.repeatable_failed) as f64
            / (self.non_repeatable + self.repeatable).max(1) as f64
    }

    /// Returns the 99th percentile of the answer times of non-repeatable requests, in milliseconds.
    pub fn non_repeatable_p99_ms(&self) -> u64 {
        let mut sorted = self.non_repeatable_ms.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(0)
    }

    /// Returns the means over several runs, as the cells of a table row.
    pub(super) fn mean(all: &[Figures]) -> impl fmt::Display {
        let mean = |of: &dyn Fn(&Figures) -> f64| {
            all.iter().map(of).sum::<f64>() / all.len().max(1) as f64
        };
        let percent = |count: u64, total: u64| count as f64 * 100.0 / total.max(1) as f64;
        format!(
            "{:.2} | {:.2} | {:.2} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0}",
            mean(&|run| percent(run.non_repeatable_failed, run.non_repeatable)),
            mean(&|run| percent(run.repeatable_failed, run.repeatable)),
            mean(&|run| percent(run.late, run.non_repeatable + run.repeatable)),
            mean(&|run| run.non_repeatable_p99_ms() as f64),
            mean(&|run| run.opened as f64 / (run.non_repeatable + run.repeatable).max(1) as f64),
            mean(&|run| percent(run.sent_to_other_halls, run.sends)),
            mean(&|run| run.in_use as f64),
            mean(&|run| run.report_bytes as f64
                / (run.non_repeatable + run.repeatable).max(1) as f64),
        )
    }
}
