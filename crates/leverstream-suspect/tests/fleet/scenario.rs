//! The parameters of a simulation run, and what is observed in it.

/// The time after the third end, and after the last fault of a VM, within which a connected VM must
/// know the request, in milliseconds.
pub const LEARN_LIMIT_MS: u64 = 3_000;

/// A fault of a VM.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Its process is killed and restarts after this time.
    Kill(u64),
    /// It is frozen for this time.
    Freeze(u64),
    /// It is cut off from other VMs and the store for this time, but not from backend servers.
    Cut(u64),
}

/// The parameters of a simulation run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of VMs.
    pub vms: usize,
    /// The number of VMs that callers send requests to.
    pub entry_vms: usize,
    /// The number of backend servers.
    pub servers: usize,
    /// The number of requests that a backend server runs at once.
    pub slots: usize,
    /// The number of requests that wait at a backend server.
    pub queue: usize,
    /// The number of ends from which a request is refused.
    pub ends_to_refuse: usize,
    /// The mean interval between arrivals of the request that ends backend servers, and the time of
    /// its first arrival, both in milliseconds; `None` if it never arrives.
    pub ending: Option<(u64, u64)>,
    /// The rate of ordinary requests per second.
    pub requests_per_s: f64,
    /// The mean time between backend servers that end by themselves, if any do.
    pub crash_gap_ms: Option<u64>,
    /// The faults: the time, the VM and the kind.
    pub faults: Vec<(u64, usize, Fault)>,
    /// The period in which the store is unreachable.
    pub store_outage: Option<(u64, u64)>,
    /// The share of datagrams that are lost.
    pub lost: f64,
    /// The share of datagrams that arrive twice.
    pub duplicated: f64,
    /// The largest delay of a datagram, in milliseconds.
    pub max_delay_ms: u64,
    /// The length of the run, in milliseconds.
    pub length_ms: u64,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// The observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The times when backend servers ended under the request.
    pub ends: Vec<u64>,
    /// The times when the request reached backend servers, and whether the sending VM was
    /// connected.
    pub sends: Vec<(u64, bool)>,
    /// The number of ordinary requests.
    pub ordinary: usize,
    /// The number of ordinary requests that succeeded in the end.
    pub served: usize,
    /// The number of ordinary requests that were refused as if they ended backend servers.
    pub wrongly_refused: usize,
    /// The number of datagrams sent.
    pub datagrams: usize,
}

impl Observed {
    /// The number of times that connected VMs sent the request to backend servers after they had to
    /// know it.
    pub fn late(&self) -> usize {
        let Some(third) = self.ends.get(2) else { return 0 };
        let is_late =
            |(at_ms, is_connected): &&(u64, bool)| *is_connected && *at_ms > third + LEARN_LIMIT_MS;
        self.sends.iter().filter(is_late).count()
    }
}
