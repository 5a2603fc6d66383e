//! What is simulated, and what is recorded of it.

use leverstream_limit::{ARBITERS, STAND_INS};

/// A consent scheme.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scheme {
    /// The number of arbiters.
    pub arbiters: usize,
    /// The number of stand-ins.
    pub stand_ins: usize,
    /// The number of consents needed.
    pub needed: usize,
}

/// The scheme of the gateway.
pub const TWO_OF_THREE: Scheme = Scheme { arbiters: ARBITERS, stand_ins: STAND_INS, needed: 2 };

/// A single arbiter decides.
pub const SINGLE_ARBITER: Scheme = Scheme { arbiters: 1, stand_ins: 0, needed: 1 };

/// A scenario to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The consent scheme.
    pub scheme: Scheme,
    /// The number of VMs.
    pub vms: usize,
    /// The number of VMs that callers use.
    pub placed: usize,
    /// The limits that the backend server announces, and from when.
    pub limits: Vec<(u64, Option<f64>)>,
    /// The demand, in requests per second.
    pub wanted_per_s: u32,
    /// The events: time, VM and event.
    pub events: Vec<(u64, usize, Event)>,
    /// The share of datagrams that are lost.
    pub loss_rate: f64,
    /// The share of datagrams that are duplicated.
    pub duplicate_rate: f64,
    /// The longest delay of a datagram, in milliseconds.
    pub max_delay_ms: u64,
    /// The length of the simulation, in milliseconds.
    pub duration_ms: u64,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// An event at a VM and its duration in milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Its process ends, and a new one starts without state after this time.
    Kill(u64),
    /// Its process freezes.
    Freeze(u64),
    /// Datagrams neither reach it nor leave it.
    Partition(u64),
    /// No datagram reaches it.
    NoInbound(u64),
    /// It is in a partition separated from the rest of the fleet.
    Split(u64),
}

/// The requests that the backend server received, and the cost of permits.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    /// When requests arrived.
    pub arrivals: Vec<u64>,
    /// When requests arrived from VMs that knew of the limit.
    pub aware: Vec<u64>,
    /// The number of requests that were not sent because there was no permit.
    pub unsent: usize,
    /// The total time that VMs waited for permits, in milliseconds.
    pub waited_ms: u64,
    /// The bytes that all VMs sent for permits.
    pub bytes: u64,
    /// The largest number of requests from one VM.
    pub max_of_one_vm: usize,
}

impl Recording {
    /// Returns the largest number of requests within four seconds, from VMs that knew of the limit,
    /// as a fraction of what is allowed.
    pub fn worst_usage(&self, per_s: f64, from_ms: u64, to_ms: u64) -> f64 {
        let counted: Vec<u64> =
            self.aware.iter().copied().filter(|at| (from_ms..to_ms).contains(at)).collect();
        let within = |(number, at): (usize, &u64)| {
            counted[..=number].iter().rev().take_while(|other| **other + 4_000 > *at).count()
        };
        let most = counted.iter().enumerate().map(within).max().unwrap_or(0);
        most as f64 / (1.5 * per_s * 4.0 + 5.0)
    }

    /// Returns the used fraction of a limit in a period.
    pub fn used_fraction(&self, per_s: f64, from_ms: u64, to_ms: u64) -> f64 {
        let count = self.arrivals.iter().filter(|at| (from_ms..to_ms).contains(at)).count();
        count as f64 / (per_s * (to_ms - from_ms) as f64 / 1_000.0)
    }
}
