//! Requests that are abandoned before their backend server is seen to end.

use std::collections::VecDeque;

use crate::{IncarnationDigest, RequestDigest};

/// The time after a VM stopped awaiting an answer in which an end of the backend server still
/// counts against the request, in milliseconds. A backend server that ends because of a request
/// does so within a second, and the next connection attempt notices that it no longer listens.
const ABANDONED_RETENTION_MS: u64 = 1_500;

/// The time for which a noticed end counts against a request that was sent before it and is
/// abandoned later, in milliseconds. The packet that closes the request's connection may be lost,
/// and the request then waits until its deadline.
const ENDED_RETENTION_MS: u64 = 10_000;

/// The largest number of requests, and of ended incarnations, that are remembered; further ones
/// evict the oldest.
const MAX_REMEMBERED: usize = 256;

/// Matches abandoned requests with ended backend servers.
///
/// A request is abandoned when its caller disconnects or its deadline passes. Whether the backend
/// server ended because of it may show only later, so both are remembered for a while.
#[derive(Debug, Default)]
pub struct AbandonedRequests {
    /// The abandoned requests, the oldest first.
    abandoned: VecDeque<Abandoned>,
    /// The ended incarnations and when each end was noticed, the oldest first.
    ended: VecDeque<(IncarnationDigest, u64)>,
}

/// A request whose answer is no longer awaited.
#[derive(Clone, Copy, Debug)]
struct Abandoned {
    /// The request.
    digest: RequestDigest,
    /// The incarnation of the backend server that it was sent to.
    incarnation: IncarnationDigest,
    /// The time when it was abandoned.
    abandoned_ms: u64,
}

impl AbandonedRequests {
    /// Records that a request's answer is no longer awaited; returns true if an end of its backend
    /// server was noticed since the request was sent.
    pub fn record_abandoned(
        &mut self,
        digest: RequestDigest,
        incarnation: IncarnationDigest,
        sent_ms: u64,
        now_ms: u64,
    ) -> bool {
        let ended_since_sent = |(ended, ended_ms): &(IncarnationDigest, u64)| {
            *ended == incarnation && *ended_ms >= sent_ms
        };
        if self.ended.iter().any(ended_since_sent) {
            return true;
        }
        push_bounded(&mut self.abandoned, Abandoned { digest, incarnation, abandoned_ms: now_ms });
        false
    }

    /// Tells whether an end of the incarnation was noticed.
    pub fn has_ended(&self, incarnation: IncarnationDigest) -> bool {
        self.ended.iter().any(|(ended, _)| *ended == incarnation)
    }

    /// Records that an incarnation has ended; removes and returns the requests that were abandoned
    /// there shortly before.
    pub fn record_end(&mut self, ended: IncarnationDigest, now_ms: u64) -> Vec<RequestDigest> {
        self.abandoned.retain(|abandoned| now_ms < abandoned.abandoned_ms + ABANDONED_RETENTION_MS);
        self.ended.retain(|(_, ended_ms)| now_ms < ended_ms + ENDED_RETENTION_MS);
        if !self.ended.iter().any(|(other, _)| *other == ended) {
            push_bounded(&mut self.ended, (ended, now_ms));
        }
        let digests = self
            .abandoned
            .iter()
            .filter(|abandoned| abandoned.incarnation == ended)
            .map(|abandoned| abandoned.digest);
        let digests = digests.collect();
        self.abandoned.retain(|abandoned| abandoned.incarnation != ended);
        digests
    }
}

/// Appends an item and drops the oldest one if there are too many.
fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    queue.push_back(item);
    if queue.len() > MAX_REMEMBERED {
        queue.pop_front();
    }
}
