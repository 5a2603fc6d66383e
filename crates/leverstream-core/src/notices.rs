//! Anti-entropy of the notices that backend servers attach to their answers: that they leave, and
//! their rate limits.
//!
//! A VM forwards a new notice to other VMs at once. The messages that VMs exchange anyway also
//! carry a fingerprint of all known notices; a VM that receives a different one sends its own
//! notices and asks for the other's. Lost datagrams, partitions and pauses thus delay a notice at
//! most until the next comparison. A notice is dropped once the platform lists the same.

use leverstream_catalog::Incarnation;

use crate::{Fleet, LimitUpdate};

/// The minimum time between two comparisons at a VM that shares the traffic, in milliseconds; the
/// answer to the last one may be in flight.
const COMPARE_PAUSE_MS: u64 = 60;

/// The minimum time between two comparisons at other VMs, in milliseconds: they get few callers,
/// and a list of a hundred notices takes 5 kB.
const NON_ENTRY_VM_COMPARE_PAUSE_MS: u64 = 1_000;

/// The state of the comparisons with other VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoticeSync {
    /// When this VM last sent its notices after a comparison.
    compared_ms: Option<u64>,
}

/// The notices that a VM sends to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notices {
    /// Incarnations that leave.
    pub starts: Vec<Incarnation>,
    /// Rate limits, including lifted ones.
    pub limits: Vec<LimitUpdate>,
    /// Whether the sender asks for the receiver's notices.
    pub asks: bool,
}

/// The effect of another VM's notices.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedNotices {
    /// The leaving incarnations that were not known.
    pub newly_leaving: Vec<Incarnation>,
    /// The limits that changed.
    pub limits: Vec<LimitUpdate>,
    /// The reply to send, if any.
    pub answer: Option<Notices>,
}

impl NoticeSync {
    /// Compares another VM's fingerprint with this VM's; returns the notices to send if they
    /// differ.
    pub fn compare(
        &mut self,
        theirs: u64,
        fleet: &Fleet,
        is_entry_vm: bool,
        now_ms: u64,
    ) -> Option<Notices> {
        if theirs == fleet.notices_fingerprint() {
            return None;
        }
        let pause_ms = if is_entry_vm { COMPARE_PAUSE_MS } else { NON_ENTRY_VM_COMPARE_PAUSE_MS };
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < pause_ms;
        if self.compared_ms.is_some_and(is_recent) {
            return None;
        }
        self.compared_ms = Some(now_ms);
        // A VM with fingerprint 0 has no notices to ask for.
        Some(Notices::all(fleet, theirs != 0, now_ms))
    }

    /// Applies the notices of another VM.
    pub fn apply(received: Notices, fleet: &mut Fleet, now_ms: u64) -> AppliedNotices {
        let Notices { starts, limits, asks } = received;
        let newly_leaving =
            starts.into_iter().filter(|of| fleet.note_leaving(of, now_ms)).collect();
        let mut answer = if asks { Notices::all(fleet, false, now_ms) } else { Notices::default() };
        let mut changed = Vec::new();
        for update in limits {
            let notice = update.to_notice(now_ms);
            if fleet.note_limit(&update.of, notice, now_ms) {
                changed.push(update);
                continue;
            }
            // A lifted limit is in no list, so a VM that still sends the limit has missed that it
            // was lifted.
            let newer =
                fleet.limit_notice(&update.of).filter(|known| known.sent_ms > notice.sent_ms);
            if let Some(newer) =
                newer.filter(|known| known.per_s.is_none() && update.per_s.is_some())
            {
                answer.limits.push(newer.to_update(&update.of, now_ms));
            }
        }
        let has_notices = !answer.starts.is_empty() || !answer.limits.is_empty();
        AppliedNotices {
            newly_leaving,
            limits: changed,
            answer: (asks || has_notices).then_some(answer),
        }
    }
}

impl Notices {
    /// Collects all known notices.
    fn all(fleet: &Fleet, asks: bool, now_ms: u64) -> Notices {
        Notices { starts: fleet.announced_leaving().collect(), limits: fleet.limits(now_ms), asks }
    }
}
