//! A lease on the known API keys: how long a VM may rely on them without an answer from the store.

/// The safety margin within the time after which a removed key must no longer work, in
/// milliseconds.
///
/// Ages count from when the question was sent, so they already include the answer's transit and a
/// freeze of the process meanwhile. The margin covers what follows the check of the lease: a send
/// that waits in a full queue of a 10 Mbit/s link, and clock drift (less than 1 ms in 5 s).
const MARGIN_MS: u64 = 500;

/// How long this VM may rely on the keys that it knows.
///
/// Knowledge is as old as the question to the store that it rests on, whether this VM asked or
/// another VM that passed it on. Ages are counted on this process's clock only: if a question sent
/// at 1,000 ms is answered with "mine is 300 ms old", this VM's knowledge is as of 700 ms, however
/// long the answer took.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// The maximum age of valid knowledge.
    holds_ms: u64,
    /// The time as of which the newest configuration is known.
    ///
    /// Negative if that was before this process started, which happens when another VM passed it
    /// on.
    as_of_ms: Option<i64>,
}

impl Lease {
    /// Creates a lease that is not held yet. A removed key must stop working everywhere within
    /// `revoke_ms`.
    pub fn open(revoke_ms: u64) -> Lease {
        Lease { holds_ms: revoke_ms.saturating_sub(MARGIN_MS), as_of_ms: None }
    }

    /// Applies an answer to a question sent at `asked_ms`, where the answering side's knowledge was
    /// `age_ms` old. Returns whether this is newer than what was known.
    pub fn renew(&mut self, asked_ms: u64, age_ms: u64) -> bool {
        let as_of_ms = asked_ms as i64 - age_ms as i64;
        let is_newer = self.as_of_ms.is_none_or(|held_ms| held_ms < as_of_ms);
        if is_newer {
            self.as_of_ms = Some(as_of_ms);
        }
        is_newer
    }

    /// Returns the age of the known configuration.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.as_of_ms.map(|as_of_ms| (now_ms as i64 - as_of_ms).max(0) as u64)
    }

    /// Returns whether the known configuration is younger than `limit_ms`.
    pub fn is_younger_than(&self, limit_ms: u64, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms < limit_ms)
    }

    /// Returns whether requests may still be admitted on the known keys.
    pub fn holds(&self, now_ms: u64) -> bool {
        self.is_younger_than(self.holds_ms, now_ms)
    }

    /// Returns the maximum age of valid knowledge.
    pub fn holds_ms(&self) -> u64 {
        self.holds_ms
    }
}
