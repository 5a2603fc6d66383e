//! Arbiters: a token bucket of consents per incarnation of a limited backend server.

use std::collections::HashMap;

use leverstream_catalog::Incarnation;

use crate::round::PERMIT_TTL_MS;

/// The number of consents that an arbiter accumulates. With one, a token gained between two
/// questions would be lost.
pub const ARBITER_BURST: f64 = 2.0;

/// The number of consents that a stand-in accumulates.
pub const STAND_IN_BURST: f64 = 1.0;

/// The largest rate of consents of a stand-in, per second. Together with the consents of three
/// arbiters this is exactly what is acceptable in four seconds. A small limit is only partly used
/// through a stand-in while membership is unsettled.
pub const STAND_IN_PER_S: f64 = 0.5;

/// The window in which requests to a limited backend server are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The lowest rate for a backend server that announces a smaller limit, in requests per second,
/// because its responses tell when the limit rises again. In four seconds this rate and the burst
/// are three requests, and five are acceptable.
const MIN_RATE_PER_S: f64 = 0.25;

/// How long a VM counts as sharing a limit after its last question, in milliseconds.
const ASKER_ACTIVE_MS: u64 = 1_000;

/// How long an incarnation's bucket is kept without questions, in milliseconds.
const IDLE_BUCKET_TTL_MS: u64 = 60_000;

/// The consents that one VM has granted as an arbiter of limited backend servers.
#[derive(Clone, Debug, Default)]
pub struct Arbiter {
    /// The bucket of each incarnation.
    buckets: HashMap<Incarnation, ConsentBucket>,
}

/// The role of a VM for a limited backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// One of the VMs that are asked first.
    Arbiter,
    /// Asked while two arbiters don't respond but still count as members.
    StandIn,
}

/// An arbiter's answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The arbiter consents.
    Granted,
    /// No consent is left.
    Denied {
        /// The time until the next consent, in milliseconds.
        wait_ms: u64,
        /// The rate that the asking VM can expect, in requests per second: an equal share among all
        /// VMs that ask.
        share_per_s: f64,
    },
    /// The arbiter sees too few VMs to decide.
    Unable,
}

/// The token bucket of one arbiter for one incarnation.
#[derive(Clone, Debug)]
struct ConsentBucket {
    /// The consents left.
    left: f64,
    /// When `left` was last updated.
    updated_ms: u64,
    /// The VMs that asked recently, and when.
    askers: HashMap<u64, u64>,
}

impl Arbiter {
    /// Answers a VM that wants to send a request to an incarnation whose limit is `per_s` requests
    /// per second.
    pub fn ask(
        &mut self,
        of: &Incarnation,
        per_s: f64,
        role: Role,
        asker: u64,
        now_ms: u64,
    ) -> Verdict {
        if !self.buckets.contains_key(of) {
            self.buckets
                .retain(|_, bucket| now_ms.saturating_sub(bucket.updated_ms) < IDLE_BUCKET_TTL_MS);
        }
        // A new bucket is empty, because the previous process or another arbiter may just have
        // granted consents.
        let bucket = self.buckets.entry(of.clone()).or_insert_with(|| ConsentBucket {
            left: 0.0,
            updated_ms: now_ms,
            askers: HashMap::new(),
        });
        bucket.ask(Allowance::of(role, per_s), asker, now_ms)
    }
}

impl ConsentBucket {
    /// Grants a consent if one is left.
    fn ask(&mut self, allowance: Allowance, asker: u64, now_ms: u64) -> Verdict {
        let Allowance { rate_per_s, burst } = allowance;
        let gained = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0 * rate_per_s;
        self.left = (self.left + gained).min(burst);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.askers.retain(|_, asked_ms| now_ms.saturating_sub(*asked_ms) < ASKER_ACTIVE_MS);
        self.askers.insert(asker, now_ms);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Verdict::Granted;
        }
        let wait_ms = ((1.0 - self.left) / rate_per_s * 1_000.0).ceil() as u64;
        Verdict::Denied { wait_ms, share_per_s: rate_per_s / self.askers.len() as f64 }
    }
}

/// The rate and the burst of a bucket.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Consents gained per second.
    rate_per_s: f64,
    /// The largest number of consents that accumulate.
    burst: f64,
}

impl Allowance {
    /// Returns the allowance of a VM in a role under a limit.
    ///
    /// The rate is below the limit because a permit stays valid for [`PERMIT_TTL_MS`], so the
    /// requests of a window may depend on consents from up to that long before it.
    fn of(role: Role, limit_per_s: f64) -> Allowance {
        let window = WINDOW_MS as f64 / (WINDOW_MS + PERMIT_TTL_MS) as f64;
        let limit_per_s = limit_per_s.max(MIN_RATE_PER_S);
        let (per_s, burst) = match role {
            Role::Arbiter => (limit_per_s, ARBITER_BURST),
            Role::StandIn => (limit_per_s.min(STAND_IN_PER_S), STAND_IN_BURST),
        };
        Allowance { rate_per_s: per_s * window, burst }
    }
}
