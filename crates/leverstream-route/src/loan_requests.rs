//! Decides when to request loans of repeats from other VMs and which answers to accept.

use std::collections::HashMap;

use crate::{Headroom, LOAN_TTL_MS};

/// The shortest interval between two rounds of loan requests, in milliseconds: some ten round-trip
/// times.
const MIN_INTERVAL_MS: u64 = 50;

/// The longest interval between two rounds, after rounds without a loan, in milliseconds.
const MAX_INTERVAL_MS: u64 = 800;

/// How long an answer is expected after a loan request, in milliseconds: a few round-trip times
/// within a data hall.
const ANSWER_WAIT_MS: u64 = 20;

/// The loan requests of a VM to other VMs, with exponential backoff.
///
/// Each request goes to one VM and accepts one answer from that VM, within [`LOAN_TTL_MS`]. A loan
/// that is duplicated, late or from a VM that was not asked is ignored.
#[derive(Clone, Debug)]
pub struct LoanRequests<V> {
    /// The earliest time of the next round.
    next_round_ms: u64,
    /// The interval after the next round.
    interval_ms: u64,
    /// The VM that each pending request went to and when, by request number.
    pending: HashMap<u64, (V, u64)>,
}

impl<V> Default for LoanRequests<V> {
    fn default() -> LoanRequests<V> {
        LoanRequests { next_round_ms: 0, interval_ms: MIN_INTERVAL_MS, pending: HashMap::new() }
    }
}

impl<V: Copy + Eq> LoanRequests<V> {
    /// Returns whether to send loan requests now. If so, starts the interval until the next round
    /// and doubles the one after it.
    pub fn is_due(&mut self, headroom: Headroom, now_ms: u64) -> bool {
        let is_due = headroom.is_low() && now_ms >= self.next_round_ms;
        if is_due {
            self.next_round_ms = now_ms + self.interval_ms;
            self.interval_ms = (2 * self.interval_ms).min(MAX_INTERVAL_MS);
        }
        is_due
    }

    /// Records a request to a VM; no process may have used its number before.
    pub fn record(&mut self, number: u64, to: V, now_ms: u64) {
        self.pending.retain(|_, (_, asked_ms)| now_ms < *asked_ms + LOAN_TTL_MS);
        self.pending.insert(number, (to, now_ms));
    }

    /// Accepts an answer and resets the backoff; returns when the loan was requested, or `None` if
    /// the answer doesn't count.
    pub fn accept(&mut self, number: u64, from: V, now_ms: u64) -> Option<u64> {
        let (to, asked_ms) = *self.pending.get(&number)?;
        if to != from || now_ms >= asked_ms + LOAN_TTL_MS {
            return None;
        }
        self.pending.remove(&number);
        self.interval_ms = MIN_INTERVAL_MS;
        self.next_round_ms = self.next_round_ms.min(now_ms + MIN_INTERVAL_MS);
        Some(asked_ms)
    }

    /// Returns whether an answer to a recent request is still expected.
    pub fn is_loan_awaited(&self, now_ms: u64) -> bool {
        self.pending.values().any(|(_, asked_ms)| now_ms < asked_ms + ANSWER_WAIT_MS)
    }

    /// Returns whether other VMs are expected to lend: the last round or the one before it brought a
    /// loan, or there was no earlier one.
    pub fn expects_loans(&self) -> bool {
        self.interval_ms <= 2 * MIN_INTERVAL_MS
    }
}
