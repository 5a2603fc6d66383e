//! Determines each VM's share of the slack from the number of VMs in the fleet.

use crate::LOAN_TTL_MS;

/// How long a number of VMs reported by another VM is valid, in milliseconds: as long as VMs
/// remember members that have gone.
const REPORT_TTL_MS: u64 = 300_000;

/// The share of the slack that a VM has: at most 1 / (number of VMs).
///
/// The shares of all VMs add up to no more than 1 as long as no VM underestimates the number of
/// VMs. Therefore members that have gone count until they are forgotten, the largest number
/// reported by any VM is used, and a VM that has received no report has no share. The bound does
/// not cover VMs that start while a network partition separates them from all but each other, if
/// the partition lasts longer than a window.
#[derive(Clone, Debug, Default)]
pub struct SlackShare {
    /// Whether the whole fleet started with this process, so that no process ran on this VM before.
    is_first_start: bool,
    /// Whether other VMs are configured. If so, a VM without a report doesn't know the size of the
    /// fleet.
    expects_others: bool,
    /// The number of VMs that this one knows, including itself and members that have gone.
    known_vms: u32,
    /// The largest number reported by another VM, and when.
    reported: Option<(u32, u64)>,
}

impl SlackShare {
    /// Creates the share of a process that has just started.
    pub fn open(is_first_start: bool, expects_others: bool) -> SlackShare {
        SlackShare { is_first_start, expects_others, ..SlackShare::default() }
    }

    /// Sets the number of VMs that this one knows.
    pub fn set_known_vms(&mut self, vms: u32) {
        self.known_vms = vms;
    }

    /// Records the number of VMs that another VM knows.
    ///
    /// A VM doesn't pass on reported numbers, because then the largest number ever would circulate
    /// forever.
    pub fn record_report(&mut self, vms: u32, now_ms: u64) {
        let is_larger = self.reported(now_ms).is_none_or(|most| vms >= most);
        if is_larger {
            self.reported = Some((vms, now_ms));
        }
    }

    /// Returns the number of VMs that this one knows, to report to others.
    pub fn known_vms(&self) -> u32 {
        self.known_vms
    }

    /// Returns the number of VMs that are known or reported, at least 2 if others are configured.
    pub fn fleet_size(&self, now_ms: u64) -> u32 {
        let reported = self.reported(now_ms).unwrap_or_default();
        self.known_vms.max(reported).max(if self.expects_others { 2 } else { 1 })
    }

    /// Returns the share, from 0 to 1; `now_ms` counts from the start of the process.
    ///
    /// It is 0 until a window and [`LOAN_TTL_MS`] after the start, because the previous process may
    /// have spent or lent the share until it ended.
    pub fn share(&self, window_ms: u64, now_ms: u64) -> f64 {
        let may_be_already_spent = !self.is_first_start && now_ms < window_ms + LOAN_TTL_MS;
        let reported = self.reported(now_ms);
        let is_alone = !self.expects_others && self.known_vms <= 1;
        if may_be_already_spent || (reported.is_none() && !is_alone) {
            return 0.0;
        }
        1.0 / f64::from(self.known_vms.max(reported.unwrap_or_default()).max(1))
    }

    /// Returns the largest number that another VM has reported and that is still valid.
    fn reported(&self, now_ms: u64) -> Option<u32> {
        let is_valid = |at_ms: u64| now_ms.saturating_sub(at_ms) < REPORT_TTL_MS;
        self.reported.filter(|(_, at_ms)| is_valid(*at_ms)).map(|(vms, _)| vms)
    }
}
