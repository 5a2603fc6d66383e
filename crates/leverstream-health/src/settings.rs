use leverstream_table::ServiceRow;

/// What a service's row says about ejection and return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// The share of the weight that ejection must leave in service.
    pub floor_percent: u8,
    /// The score from which a backend server is ejected.
    pub eject_score: f64,
    /// How long a backend server stays ejected the first time.
    pub holdoff_ms: u64,
    /// How long a new or returning backend server takes to carry its full share.
    pub ramp_ms: u64,
    /// The longest that a request may take; without evidence a quarter of it counts as slow.
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
