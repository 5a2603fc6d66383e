//! The hold-off that a backend server asks of a VM.

/// The time for which a backend server accepts no requests of this VM, with a slow start
/// afterwards.
///
/// Nothing is sent until the hold-off ends. Then a single request is sent, and more once it is
/// answered: hold-offs end at the same time for all VMs that got the same answer, which would
/// overload the backend server again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HoldOff {
    /// The end of the hold-off.
    until_ms: u64,
    /// Whether no request sent since the end has been answered.
    is_unproven: bool,
}

impl HoldOff {
    /// Extends the hold-off; the later end applies.
    pub fn note(&mut self, for_ms: u64, now_ms: u64) {
        let until_ms = now_ms.saturating_add(for_ms);
        if until_ms > now_ms.max(self.until_ms) {
            *self = HoldOff { until_ms, is_unproven: true };
        }
    }

    /// Limits the VM to a single request until it is answered, as after a hold-off that ends now.
    pub fn restart_with_one_request(&mut self, now_ms: u64) {
        self.until_ms = self.until_ms.max(now_ms);
        self.is_unproven = true;
    }

    /// Returns the end of the hold-off if it is in the future.
    pub fn until_ms(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.until_ms).then_some(self.until_ms)
    }

    /// Tells whether a request may be sent; `is_busy` says whether this VM has others in flight
    /// there.
    pub fn admits(&self, is_busy: bool, now_ms: u64) -> bool {
        self.until_ms(now_ms).is_none() && !(self.is_unproven && is_busy)
    }

    /// Records an answer to a request sent at `since_ms`.
    pub fn note_answer(&mut self, since_ms: u64) {
        self.is_unproven &= since_ms < self.until_ms;
    }
}
