//! The settings of a service that govern ejection and return.

use leverstream_table::ServiceRow;

/// A service's settings for ejection and return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// The share of the weight that must stay in service, in percent.
    pub floor_percent: u8,
    /// The score from which a backend server is ejected.
    pub eject_score: f64,
    /// The duration of the first ejection of a backend server, in milliseconds.
    pub holdoff_ms: u64,
    /// The time in which a new or returning backend server ramps up to its full share, in
    /// milliseconds.
    pub ramp_ms: u64,
    /// The longest that a request may take, in milliseconds. Without enough observed times, a
    /// request counts as slow from a quarter of it.
    pub deadline_ms: u64,
}

impl From<&ServiceRow> for HealthSettings {
    fn from(row: &ServiceRow) -> Self {
        HealthSettings {
            floor_percent: row.floor_percent,
            eject_score: f64::from(row.eject_score),
            holdoff_ms: row.holdoff_ms,
            ramp_ms: row.ramp_ms,
            deadline_ms: row.deadline_ms,
        }
    }
}
