/// A service and the requests for it.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// The name.
    pub name: &'static str,
    /// Its backend servers in each data hall.
    pub halls: [usize; 3],
    /// How many requests each works on at once.
    pub slots: u32,
    /// Requests a second, from all halls together.
    pub rate_per_s: f64,
    /// Half of the requests take no longer than this, in milliseconds.
    pub median_ms: f64,
    /// The spread of that: the standard deviation of its logarithm.
    pub spread: f64,
    /// The time within which an answer is on time.
    pub objective_ms: u64,
    /// The longest that a request is held.
    pub timeout_ms: u64,
    /// Whether requests may run more than once.
    pub is_repeatable: bool,
    /// The bytes of a request and its answer.
    pub bytes: usize,
}

/// Services like those of the users of today, and two that nobody runs.
pub const SHAPES: [Shape; 7] = [
    Shape {
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
    Shape {
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
    Shape {
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
    Shape {
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
    Shape {
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
    Shape {
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
    Shape {
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
