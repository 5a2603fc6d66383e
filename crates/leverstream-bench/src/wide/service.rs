/// A service and the requests for it.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The name.
    pub name: &'static str,
    /// How many backend servers stand in each data hall.
    pub backends_a_hall: usize,
    /// How many requests each works on at once.
    pub slots: u32,
    /// How many VMs of each data hall take callers.
    pub vms_a_hall: usize,
    /// Requests a second that run once, to all VMs together.
    pub once: Stream,
    /// The same of those that may run again.
    pub again: Stream,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// How many come in a second.
    pub per_s: f64,
    /// How long half of them work at most, in milliseconds.
    pub median_ms: f64,
    /// The standard deviation of the logarithm of that.
    pub spread: f64,
    /// The time within which an answer is on time.
    pub objective_ms: u64,
    /// The longest that one is held.
    pub timeout_ms: u64,
    /// The bytes of one and its answer.
    pub bytes: usize,
}

/// No requests.
const NONE: Stream = Stream {
    per_s: 0.0,
    median_ms: 1.0,
    spread: 0.0,
    objective_ms: 1_000,
    timeout_ms: 1_000,
    bytes: 0,
};

/// Requests for paid seats.
const SEATS: Stream = Stream {
    per_s: 832.0,
    median_ms: 196.0,
    spread: 0.8,
    objective_ms: 1_000,
    timeout_ms: 2_000,
    bytes: 5_300,
};

/// Services of a fleet, and two that are small.
pub const SERVICES: [Service; 5] = [
    Service {
        name: "seats, 3,650 backend servers",
        backends_a_hall: 730,
        slots: 3,
        vms_a_hall: 7,
        once: SEATS,
        again: NONE,
    },
    Service {
        name: "play and puzzles, 4,100",
        backends_a_hall: 820,
        slots: 3,
        vms_a_hall: 7,
        once: Stream {
            per_s: 257.0,
            median_ms: 168.0,
            spread: 0.5,
            objective_ms: 600,
            timeout_ms: 1_000,
            bytes: 1_600,
        },
        again: Stream {
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
        backends_a_hall: 452,
        slots: 3,
        vms_a_hall: 7,
        once: NONE,
        again: Stream {
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
        backends_a_hall: 16,
        slots: 3,
        vms_a_hall: 2,
        once: Stream { per_s: 309.0, ..SEATS },
        again: NONE,
    },
    Service {
        name: "seats, 15",
        backends_a_hall: 3,
        slots: 3,
        vms_a_hall: 1,
        once: Stream { per_s: 59.0, ..SEATS },
        again: NONE,
    },
];
