//! Enforces the rate and in-flight limits that the row of a service sets for each VM.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use leverstream_error::Kind;
use leverstream_table::ServiceRow;

use crate::ServiceState;

/// Counts a request against the in-flight limit that its row sets for each VM, until dropped.
pub(crate) struct AdmissionGuard {
    /// The state of the service.
    state: Arc<ServiceState>,
}

impl AdmissionGuard {
    /// Admits a request if the rate and in-flight limits of the row allow it.
    pub fn try_acquire(
        row: &ServiceRow,
        state: &Arc<ServiceState>,
        now_ms: u64,
    ) -> Result<AdmissionGuard, Kind> {
        if !state.try_take_rate(row.rate_per_s, now_ms) {
            return Err(Kind::RateLimited);
        }
        let before = state.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = AdmissionGuard { state: Arc::clone(state) };
        if row.in_flight > 0 && before >= row.in_flight {
            return Err(Kind::RateLimited);
        }
        Ok(guard)
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
