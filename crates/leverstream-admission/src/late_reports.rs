//! Reports that arrive after a VM was not heard for some time.

use std::collections::HashMap;

/// The age at which the last report of a VM no longer counts, in milliseconds: two reports may be
/// lost.
pub const REPORT_MAX_AGE_MS: u64 = 500;

/// The VMs that were not heard for some time and are heard again, because this VM or they were
/// frozen or cut off. Their reports cover a longer time than others.
#[derive(Clone, Debug, Default)]
pub struct LateReports {
    /// Until when the reports of each of these VMs are late.
    late_until_ms: HashMap<u64, u64>,
}

impl LateReports {
    /// Tells whether a report received now is late; the reporter was heard before at `last_ms`.
    pub fn is_late(&mut self, reporter: u64, last_ms: Option<u64>, now_ms: u64) -> bool {
        self.late_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        if last_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) >= REPORT_MAX_AGE_MS) {
            // Datagrams that a frozen VM has received but not read follow the first one.
            self.late_until_ms.insert(reporter, now_ms + REPORT_MAX_AGE_MS);
        }
        self.late_until_ms.contains_key(&reporter)
    }
}
