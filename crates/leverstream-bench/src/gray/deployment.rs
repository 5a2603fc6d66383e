//! Services in the simulation.

/// A service: its size, load and settings.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The name in reports.
    pub name: &'static str,
    /// Number of backend servers.
    pub backends: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Requests per second.
    pub rate_per_s: f64,
    /// Lowest score at which a backend server is ejected.
    pub eject_score: u16,
    /// Share of the weight that ejection must leave in service, in percent.
    pub floor_percent: u8,
    /// Duration of the first ejection, in milliseconds.
    pub holdoff_ms: u64,
}

/// Services of two operators: by day, under high load and by night.
///
/// Bishop & Stone (`archive`) gives more weight to detection time, the porting operator (`lookups`) to
/// false ejections. With work of 20 ms, the rates by day fill two fifths of the slots, the high ones
/// three quarters.
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
    /// Returns whether requests are so rare that health checks give most of the evidence.
    pub fn is_quiet(&self) -> bool {
        self.rate_per_s < 1.0
    }
}
