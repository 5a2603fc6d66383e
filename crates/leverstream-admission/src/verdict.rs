//! What becomes of a request that waits for a slot.

use std::fmt;

use crate::{Prospect, WaitBounds};

/// Why a request was refused although backend servers of its service are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusedBy {
    /// The admission level does not admit its rank.
    Level,
    /// The wait for a slot would be too long.
    ForeseenWait,
    /// The queue was full, and a request that goes first took its place, or it arrived after all
    /// others in the order of service.
    Displaced,
}

impl RefusedBy {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusedBy::Level => "level",
            RefusedBy::ForeseenWait => "foreseen-wait",
            RefusedBy::Displaced => "displaced",
        }
    }
}

impl fmt::Display for RefusedBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What becomes of a request that has found no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It waits, at most until this time.
    WaitUntil(u64),
    /// It cannot be served in time.
    Refuse,
    /// It is offered to the least loaded backend server without a free slot.
    Offer,
}

impl WaitBounds {
    /// Tells whether the request is no longer displaced or refused while it can be offered.
    pub fn is_committed(&self, now_ms: u64) -> bool {
        now_ms >= self.commits_ms()
    }

    /// Decides on a request that has found no free slot; `prospect` is none if the rate of granted
    /// slots is not known.
    pub fn verdict(&self, prospect: Option<Prospect>, now_ms: u64) -> Verdict {
        if !self.is_committed(now_ms) {
            let fits = |prospect: Prospect| {
                prospect.free_slots > prospect.ahead || self.fits(prospect.wait_ms(), now_ms)
            };
            return if prospect.is_none_or(fits) {
                Verdict::WaitUntil(self.commits_ms())
            } else {
                Verdict::Refuse
            };
        }
        let last_moment_ms = self.last_moment_ms();
        if now_ms >= last_moment_ms { Verdict::Offer } else { Verdict::WaitUntil(last_moment_ms) }
    }
}
