//! Requests for permits: a VM asks one arbiter after another until enough have consented.

use std::collections::HashMap;
use std::hash::Hash;

use crate::Verdict;

/// The number of arbiters of a limited backend server.
pub const ARBITERS: usize = 3;

/// The number of further VMs that are asked while arbiters don't respond.
pub const STAND_INS: usize = 1;

/// How long a permit is valid, in milliseconds, counted from the start of the request for it:
/// enough for two questions, one of them unanswered, and a new connection.
pub const PERMIT_TTL_MS: u64 = 250;

/// How long to wait for an answer, in milliseconds: a multiple of the round-trip time between data
/// halls. A VM that has used up its CPU quota answers later, and the next one is asked.
const ANSWER_TIMEOUT_MS: u64 = 60;

/// How long an arbiter that didn't answer in time is asked after all others, in milliseconds.
const UNRESPONSIVE_MS: u64 = 1_000;

/// The time until the next request for a permit when too few arbiters could decide or were reached,
/// in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// Returns how many arbiters must consent in a fleet of `vms` VMs.
///
/// Two of three arbiters are a quorum: any two quorums have a member in common. The only VM of a
/// fleet decides alone. A VM without a message from the other VMs of its fleet decides nothing.
pub fn consents_needed(vms: usize) -> usize {
    vms.clamp(1, 2)
}

/// A VM's request for one permit, which asks one arbiter after another.
#[derive(Clone, Debug)]
pub struct PermitRequest<A> {
    /// The VMs still to be asked, the next one last.
    remaining: Vec<A>,
    /// The number of consents still needed.
    needed: usize,
    /// Whether any arbiter has consented.
    has_consent: bool,
    /// When the request began.
    began_ms: u64,
    /// The VM whose answer is awaited, and when it was asked.
    awaited: Option<(A, u64)>,
    /// When and at what rate to ask again, if the permit was denied.
    denied: Option<(u64, Option<f64>)>,
}

/// The next step of a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step<A> {
    /// Ask this VM.
    Ask(A),
    /// Wait for an answer until this time.
    Wait(u64),
    /// Send the request before this time.
    Granted(u64),
    /// Send nothing before `until_ms`.
    Denied {
        /// When to ask again.
        until_ms: u64,
        /// The rate that the VM can expect, in requests per second, if an arbiter has sent it.
        share_per_s: Option<f64>,
    },
}

impl<A: Copy + Eq + Hash> PermitRequest<A> {
    /// Begins a request for a permit. The VMs are asked in the order of `arbiters`, unresponsive
    /// ones last.
    pub fn open(
        arbiters: &[A],
        needed: usize,
        unresponsive: &UnresponsiveArbiters<A>,
        now_ms: u64,
    ) -> PermitRequest<A> {
        let (unresponsive, responsive): (Vec<A>, Vec<A>) =
            arbiters.iter().partition(|arbiter| unresponsive.is_unresponsive(**arbiter, now_ms));
        let remaining =
            unresponsive.into_iter().rev().chain(responsive.into_iter().rev()).collect();
        PermitRequest {
            remaining,
            needed,
            has_consent: false,
            began_ms: now_ms,
            awaited: None,
            denied: None,
        }
    }

    /// Returns the next step; records an arbiter that didn't answer in time.
    pub fn step(&mut self, unresponsive: &mut UnresponsiveArbiters<A>, now_ms: u64) -> Step<A> {
        let ends_ms = self.began_ms + PERMIT_TTL_MS;
        if self.needed == 0 && now_ms < ends_ms {
            return Step::Granted(ends_ms);
        }
        if let Some((until_ms, share_per_s)) = self.denied {
            return Step::Denied { until_ms, share_per_s };
        }
        if let Some((arbiter, asked_ms)) = self.awaited {
            let until_ms = asked_ms + ANSWER_TIMEOUT_MS;
            if now_ms < until_ms {
                return Step::Wait(until_ms);
            }
            unresponsive.record(arbiter, now_ms);
            self.awaited = None;
        }
        if self.remaining.len() < self.needed || now_ms >= ends_ms {
            return Step::Denied { until_ms: now_ms + RETRY_DELAY_MS, share_per_s: None };
        }
        let Some(arbiter) = self.remaining.pop() else {
            return Step::Denied { until_ms: now_ms + RETRY_DELAY_MS, share_per_s: None };
        };
        self.awaited = Some((arbiter, now_ms));
        Step::Ask(arbiter)
    }

    /// Records an arbiter's answer; an answer that is no longer awaited is ignored.
    ///
    /// A denial by the first arbiter ends the request. If VMs then asked the others, the permits
    /// would exceed the limit.
    pub fn record_verdict(&mut self, from: A, verdict: Verdict, now_ms: u64) {
        if self.awaited.is_none_or(|(asked, _)| asked != from) {
            return;
        }
        self.awaited = None;
        match verdict {
            Verdict::Granted => {
                self.needed = self.needed.saturating_sub(1);
                self.has_consent = true;
            }
            Verdict::Denied { wait_ms, share_per_s }
                if !self.has_consent || self.remaining.len() < self.needed =>
            {
                self.denied = Some((now_ms + wait_ms, Some(share_per_s)));
            }
            Verdict::Denied { .. } | Verdict::Unable => {}
        }
    }
}

/// The arbiters that recently didn't answer in time.
#[derive(Clone, Debug)]
pub struct UnresponsiveArbiters<A> {
    /// When each arbiter is asked in the usual order again.
    until_ms: HashMap<A, u64>,
}

impl<A> Default for UnresponsiveArbiters<A> {
    fn default() -> Self {
        UnresponsiveArbiters { until_ms: HashMap::new() }
    }
}

impl<A: Copy + Eq + Hash> UnresponsiveArbiters<A> {
    /// Records that an arbiter didn't answer in time.
    fn record(&mut self, arbiter: A, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.until_ms.insert(arbiter, now_ms + UNRESPONSIVE_MS);
    }

    /// Returns whether an arbiter is asked after all others.
    fn is_unresponsive(&self, arbiter: A, now_ms: u64) -> bool {
        self.until_ms.get(&arbiter).is_some_and(|until_ms| now_ms < *until_ms)
    }
}
