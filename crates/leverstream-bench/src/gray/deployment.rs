/// A service with its sizes and its users' settings.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The name in reports.
    pub name: &'static str,
    /// How many backend servers there are.
    pub backends: usize,
    /// The slots of each.
    pub slots: u32,
    /// Requests a second.
    pub rate_per_s: f64,
    /// The score from which a backend server is ejected.
    pub eject_score: u16,
    /// The share of the weight that ejection must leave.
    pub floor_percent: u8,
    /// How long a backend server stays ejected the first time.
    pub holdoff_ms: u64,
}

/// The users' services by day, when busy, and by night.
///
/// Bishop & Stone weighs detection time more, the porting operator false ejections. The day's rates
/// fill two fifths of the slots with work of 20 ms, the busy ones three quarters.
pub const DEPLOYMENTS: [Deployment; 6] = [
    Deployment {
        name: "archive, day",
        backends: 7,
        slots: 3,
        rate_per_s: 380.0,
        eject_score: 16,
        floor_percent: 50,
        holdoff_ms: 5_000,
    },
    Deployment {
        name: "lookups, day",
        backends: 8,
        slots: 2,
        rate_per_s: 290.0,
        eject_score: 32,
        floor_percent: 70,
        holdoff_ms: 10_000,
    },
    Deployment {
        name: "archive, busy",
        backends: 7,
        slots: 3,
        rate_per_s: 720.0,
        eject_score: 16,
        floor_percent: 50,
        holdoff_ms: 5_000,
    },
    Deployment {
        name: "lookups, busy",
        backends: 8,
        slots: 2,
        rate_per_s: 550.0,
        eject_score: 32,
        floor_percent: 70,
        holdoff_ms: 10_000,
    },
    Deployment {
        name: "archive, night",
        backends: 7,
        slots: 3,
        rate_per_s: 0.1,
        eject_score: 16,
        floor_percent: 50,
        holdoff_ms: 5_000,
    },
    Deployment {
        name: "lookups, night",
        backends: 8,
        slots: 2,
        rate_per_s: 0.1,
        eject_score: 32,
        floor_percent: 70,
        holdoff_ms: 10_000,
    },
];

impl Deployment {
    /// Tells whether so little work arrives that probes are most of what is seen.
    pub fn is_quiet(&self) -> bool {
        self.rate_per_s < 1.0
    }
}
