//! Services in the model.

/// A service and its load.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The name in tables.
    pub name: &'static str,
    /// Number of backend servers in each data hall.
    pub halls: [usize; 3],
    /// Slots of each backend server.
    pub slots: u32,
    /// Requests per second, from all halls together.
    pub rate_per_s: f64,
    /// Median work time, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the work time.
    pub spread: f64,
    /// Time within which an answer counts as on time.
    pub objective_ms: u64,
    /// Time after which a request fails.
    pub timeout_ms: u64,
    /// Whether requests are repeatable.
    pub is_repeatable: bool,
    /// Bytes of a request and its answer.
    pub bytes: usize,
}

/// Services like those in production, and two that aren't.
pub const SERVICES: [Service; 7] = [
    Service {
        name: "fitting bays: lookups",
        halls: [4, 3, 3],
        slots: 2,
        rate_per_s: 31.0,
        median_ms: 200.0,
        spread: 0.3,
        objective_ms: 600,
        timeout_ms: 1_000,
        is_repeatable: true,
        bytes: 500,
    },
    Service {
        name: "fitting bays: bookings",
        halls: [5, 6, 4],
        slots: 2,
        rate_per_s: 57.0,
        median_ms: 120.0,
        spread: 0.75,
        objective_ms: 600,
        timeout_ms: 1_200,
        is_repeatable: false,
        bytes: 4_900,
    },
    Service {
        name: "fitting bays: manuals",
        halls: [2, 3, 1],
        slots: 2,
        rate_per_s: 11.0,
        median_ms: 125.0,
        spread: 0.3,
        objective_ms: 400,
        timeout_ms: 1_500,
        is_repeatable: true,
        bytes: 90_000,
    },
    Service {
        name: "chess host: seats",
        halls: [4, 4, 4],
        slots: 3,
        rate_per_s: 47.0,
        median_ms: 180.0,
        spread: 0.75,
        objective_ms: 800,
        timeout_ms: 3_000,
        is_repeatable: false,
        bytes: 4_000,
    },
    Service {
        name: "porting: lookups",
        halls: [3, 3, 2],
        slots: 2,
        rate_per_s: 25.0,
        median_ms: 200.0,
        spread: 0.3,
        objective_ms: 600,
        timeout_ms: 1_200,
        is_repeatable: true,
        bytes: 500,
    },
    Service {
        name: "nobody's: wide",
        halls: [20, 20, 20],
        slots: 4,
        rate_per_s: 700.0,
        median_ms: 100.0,
        spread: 0.5,
        objective_ms: 500,
        timeout_ms: 2_000,
        is_repeatable: false,
        bytes: 2_000,
    },
    Service {
        name: "nobody's: tiny",
        halls: [1, 1, 1],
        slots: 1,
        rate_per_s: 6.0,
        median_ms: 80.0,
        spread: 0.3,
        objective_ms: 400,
        timeout_ms: 1_000,
        is_repeatable: true,
        bytes: 1_000,
    },
];
