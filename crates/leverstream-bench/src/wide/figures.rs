use std::fmt;

/// What one run of the model shows, of the requests that came after it had warmed up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests that run once.
    pub once: u64,
    /// Those among them that failed.
    pub once_failed: u64,
    /// Requests that may run again.
    pub again: u64,
    /// Those among them that failed.
    pub again_failed: u64,
    /// Answers that came late.
    pub late: u64,
    /// How long answers to requests that run once took, in milliseconds.
    pub once_ms: Vec<u64>,
    /// Requests sent to backend servers.
    pub sends: u64,
    /// Those among them to another data hall.
    pub far: u64,
    /// Connections that a VM opened as it had none that could be used.
    pub opened: u64,
    /// Backend servers that got work in the last two seconds.
    pub in_use: u64,
    /// Bytes between data halls by which VMs told each other of backend servers.
    pub told_bytes: u64,
}

impl Figures {
    /// The share of the requests that failed.
    pub fn failed_share(&self) -> f64 {
        (self.once_failed + self.again_failed) as f64 / (self.once + self.again).max(1) as f64
    }

    /// The time within which 99 in 100 answers to requests that run once came.
    pub fn once_p99_ms(&self) -> u64 {
        let mut sorted = self.once_ms.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(0)
    }

    /// The mean of several runs, as cells of a table.
    pub(super) fn mean(all: &[Figures]) -> impl fmt::Display {
        let mean = |of: &dyn Fn(&Figures) -> f64| {
            all.iter().map(of).sum::<f64>() / all.len().max(1) as f64
        };
        let percent = |part: u64, of: u64| part as f64 * 100.0 / of.max(1) as f64;
        format!(
            "{:.2} | {:.2} | {:.2} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0}",
            mean(&|run| percent(run.once_failed, run.once)),
            mean(&|run| percent(run.again_failed, run.again)),
            mean(&|run| percent(run.late, run.once + run.again)),
            mean(&|run| run.once_p99_ms() as f64),
            mean(&|run| run.opened as f64 / (run.once + run.again).max(1) as f64),
            mean(&|run| percent(run.far, run.sends)),
            mean(&|run| run.in_use as f64),
            mean(&|run| run.told_bytes as f64 / (run.once + run.again).max(1) as f64),
        )
    }
}
