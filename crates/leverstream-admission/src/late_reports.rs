//! Reports that arrive after a VM has sent none for some time.

use std::collections::{HashMap, HashSet};

/// The age at which the last report of a VM no longer counts, in milliseconds: two reports may be
/// lost.
pub const REPORT_MAX_AGE_MS: u64 = 500;

/// The VMs that sent no report for some time and do again, because this VM or they were
/// frozen or cut off. Their reports cover a longer time than others.
#[derive(Clone, Debug, Default)]
pub struct LateReports {
    /// Until when the reports of each of these VMs are late.
    late_until_ms: HashMap<u64, u64>,
    /// The VMs that shared the entry set with this VM at their last report.
    in_entry_set: HashSet<u64>,
}

impl LateReports {
    /// Tells whether a report received now is late; its previous report arrived at `last_ms`, and
    /// `is_in_entry_set` tells whether it and this VM both are in the entry set.
    ///
    /// VMs outside the entry set report seldom, so that the first report after one of the two has
    /// joined it is not late.
    pub fn is_late(
        &mut self,
        reporter: u64,
        is_in_entry_set: bool,
        last_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        self.late_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        if !is_in_entry_set {
            self.in_entry_set.remove(&reporter);
            return false;
        }
        let has_joined = self.in_entry_set.insert(reporter);
        let is_old = |at_ms: u64| now_ms.saturating_sub(at_ms) >= REPORT_MAX_AGE_MS;
        if !has_joined && last_ms.is_some_and(is_old) {
            // Datagrams that a frozen VM has received but not read follow the first one.
            self.late_until_ms.insert(reporter, now_ms + REPORT_MAX_AGE_MS);
        }
        self.late_until_ms.contains_key(&reporter)
    }

    /// Drops the VMs that no longer send reports.
    pub fn forget(&mut self, is_heard: impl Fn(u64) -> bool) {
        self.in_entry_set.retain(|reporter| is_heard(*reporter));
    }
}
