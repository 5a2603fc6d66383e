//! Services in the model.

/// A service and its load.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The name in tables.
    pub name: &'static str,
    /// Number of backend servers in each data hall.
    pub backends_per_hall: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Number of VMs in each data hall that serve callers.
    pub vms_per_hall: usize,
    /// Non-repeatable requests, to all VMs together.
    pub non_repeatable: Workload,
    /// Repeatable requests, to all VMs together.
    pub repeatable: Workload,
}

/// Load and work of the requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Requests per second.
    pub per_s: f64,
    /// Median work time, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the work time.
    pub spread: f64,
    /// Time within which an answer counts as on time.
    pub objective_ms: u64,
    /// Time after which a request fails.
    pub timeout_ms: u64,
    /// Bytes of a request and its answer.
    pub bytes: usize,
}

/// No requests.
const NO_REQUESTS: Workload = Workload {
    per_s: 0.0,
    median_ms: 1.0,
    spread: 0.0,
    objective_ms: 1_000,
    timeout_ms: 1_000,
    bytes: 0,
};

/// Bookings of paid seats.
const SEAT_BOOKINGS: Workload = Workload {
    per_s: 832.0,
    median_ms: 196.0,
    spread: 0.8,
    objective_ms: 1_000,
    timeout_ms: 2_000,
    bytes: 5_300,
};

/// Services of a large fleet, and two small ones.
pub const SERVICES: [Service; 5] = [
    Service {
        name: "seats, 3,650 backend servers",
        backends_per_hall: 730,
        slots: 3,
        vms_per_hall: 7,
        non_repeatable: SEAT_BOOKINGS,
        repeatable: NO_REQUESTS,
    },
    Service {
        name: "play and puzzles, 4,100",
        backends_per_hall: 820,
        slots: 3,
        vms_per_hall: 7,
        non_repeatable: Workload {
            per_s: 257.0,
            median_ms: 168.0,
            spread: 0.5,
            objective_ms: 600,
            timeout_ms: 1_000,
            bytes: 1_600,
        },
        repeatable: Workload {
            per_s: 188.0,
            median_ms: 1_050.0,
            spread: 0.3,
            objective_ms: 3_000,
            timeout_ms: 6_000,
            bytes: 5_000,
        },
    },
    Service {
        name: "records, 2,260",
        backends_per_hall: 452,
        slots: 3,
        vms_per_hall: 7,
        non_repeatable: NO_REQUESTS,
        repeatable: Workload {
            per_s: 396.0,
            median_ms: 309.0,
            spread: 0.5,
            objective_ms: 1_000,
            timeout_ms: 1_500,
            bytes: 400,
        },
    },
    Service {
        name: "seats, 80",
        backends_per_hall: 16,
        slots: 3,
        vms_per_hall: 2,
        non_repeatable: Workload { per_s: 309.0, ..SEAT_BOOKINGS },
        repeatable: NO_REQUESTS,
    },
    Service {
        name: "seats, 15",
        backends_per_hall: 3,
        slots: 3,
        vms_per_hall: 1,
        non_repeatable: Workload { per_s: 59.0, ..SEAT_BOOKINGS },
        repeatable: NO_REQUESTS,
    },
];
