//! The rate at which requests of each rank arrive at all VMs.

use std::collections::{BTreeMap, HashMap};

/// The time constant of the decaying counts of arrivals and of granted slots, in milliseconds, one
/// for all so that they follow a change alike. A surge shows within a fraction of it, and it still
/// averages over some tens of requests.
pub(crate) const TIME_CONSTANT_MS: f64 = 1_000.0;

/// How long another VM's report counts, in milliseconds. VMs report at least five times in this
/// time while it matters, so an older report comes from a VM that is gone, frozen or cut off.
pub const REPORT_VALID_MS: u64 = 1_000;

/// The rate below which a rank is left out of reports, in requests a second.
const MIN_REPORTED_PER_S: f64 = 0.05;

/// The number of ranks that are distinguished; those beyond count as the last one.
const RANKS_LIMIT: u32 = 8;

/// The rank of a request; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Rank(pub u32);

/// The rate at which requests of one rank arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankRate {
    /// The rank.
    pub rank: Rank,
    /// The rate, in requests a second.
    pub per_s: f64,
}

/// The demand for one resource by rank: this VM's arrivals and the rates that other VMs report.
#[derive(Clone, Debug, Default)]
pub struct RankDemand {
    /// The decaying number of arrivals at this VM.
    own: BTreeMap<Rank, Arrivals>,
    /// The latest report of each other VM.
    reports: HashMap<u64, Report>,
}

/// The demand as it bears on the requests of one rank at this VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankLoad {
    /// The rate at which more urgent requests arrive, in requests a second.
    pub above_per_s: f64,
    /// The fraction of this rank's requests that arrives at this VM.
    pub rank_fraction: f64,
    /// The fraction of all requests that arrives at this VM.
    pub vm_fraction: f64,
}

/// A decaying count of arrivals.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    /// The count as of `at_ms`.
    count: f64,
    /// When the last request arrived.
    at_ms: u64,
}

/// What another VM has reported.
#[derive(Clone, Debug)]
struct Report {
    /// The rates of its arrivals.
    rates: Vec<RankRate>,
    /// When the report was received.
    heard_ms: u64,
}

impl Rank {
    /// Iterates over the ranks that are distinguished, the most urgent first.
    pub fn all() -> impl Iterator<Item = Rank> {
        (0..RANKS_LIMIT).map(Rank)
    }

    /// Returns the rank under which demand is counted.
    fn counted(self) -> Rank {
        Rank(self.0.min(RANKS_LIMIT - 1))
    }
}

impl RankDemand {
    /// Counts an arrival at this VM.
    pub fn note_arrival(&mut self, rank: Rank, now_ms: u64) {
        let arrivals = self.own.entry(rank.counted()).or_default();
        *arrivals = Arrivals { count: arrivals.count_at(now_ms) + 1.0, at_ms: now_ms };
    }

    /// Stores another VM's report of its arrivals. Rates that are not finite or negative are
    /// dropped.
    pub fn apply_report(&mut self, reporter: u64, mut rates: Vec<RankRate>, now_ms: u64) {
        self.reports.retain(|_, report| report.is_valid(now_ms));
        rates.retain(|rate| rate.per_s.is_finite() && rate.per_s >= 0.0);
        rates.iter_mut().for_each(|rate| rate.rank = rate.rank.counted());
        self.reports.insert(reporter, Report { rates, heard_ms: now_ms });
    }

    /// Returns the rates of this VM's arrivals, to report to other VMs.
    pub fn own_rates(&self, now_ms: u64) -> Vec<RankRate> {
        let rate = |(rank, arrivals): (&Rank, &Arrivals)| RankRate {
            rank: *rank,
            per_s: arrivals.per_s(now_ms),
        };
        self.own.iter().map(rate).filter(|rate| rate.per_s >= MIN_REPORTED_PER_S).collect()
    }

    /// Returns the rate of arrivals at all VMs of requests more urgent than `rank`, in requests a
    /// second.
    pub fn per_s_above(&self, rank: Rank, now_ms: u64) -> f64 {
        self.per_s_where(|other| other < rank.counted(), now_ms)
    }

    /// Returns the rate of arrivals at this VM of requests less urgent than `rank`, in requests a
    /// second.
    pub fn own_per_s_below(&self, rank: Rank, now_ms: u64) -> f64 {
        self.own_per_s_where(|other| other > rank.counted(), now_ms)
    }

    /// Returns the rate of arrivals of one rank at all VMs, in requests a second.
    pub fn per_s(&self, rank: Rank, now_ms: u64) -> f64 {
        self.per_s_where(|other| other == rank.counted(), now_ms)
    }

    /// Returns the demand at all VMs as it bears on a rank.
    pub fn load(&self, rank: Rank, now_ms: u64) -> RankLoad {
        let fraction = |own: f64, all: f64| if all > 0.0 { own / all } else { 1.0 };
        let own_rank = self.own_per_s_where(|other| other == rank.counted(), now_ms);
        let own = self.own_per_s_where(|_| true, now_ms);
        RankLoad {
            above_per_s: self.per_s_above(rank, now_ms),
            rank_fraction: fraction(own_rank, self.per_s(rank, now_ms)),
            vm_fraction: fraction(own, self.per_s_where(|_| true, now_ms)),
        }
    }

    /// Returns the demand at this VM alone as it bears on a rank.
    pub fn own_load(&self, rank: Rank, now_ms: u64) -> RankLoad {
        let above_per_s = self.own_per_s_where(|other| other < rank.counted(), now_ms);
        RankLoad { above_per_s, rank_fraction: 1.0, vm_fraction: 1.0 }
    }

    /// Returns the rate of this VM's arrivals of one rank, in requests a second.
    pub fn own_per_s(&self, rank: Rank, now_ms: u64) -> f64 {
        self.own_per_s_where(|other| other == rank.counted(), now_ms)
    }

    /// Returns the rate of arrivals at this VM of the ranks that `is_counted` selects.
    fn own_per_s_where(&self, is_counted: impl Fn(Rank) -> bool, now_ms: u64) -> f64 {
        let own = self.own.iter().filter(|(rank, _)| is_counted(**rank));
        own.map(|(_, arrivals)| arrivals.per_s(now_ms)).sum()
    }

    /// Returns the rate of arrivals at all VMs of the ranks that `is_counted` selects.
    fn per_s_where(&self, is_counted: impl Fn(Rank) -> bool, now_ms: u64) -> f64 {
        let own = self.own_per_s_where(&is_counted, now_ms);
        let valid = self.reports.values().filter(|report| report.is_valid(now_ms));
        let rates = valid.flat_map(|report| &report.rates).filter(|rate| is_counted(rate.rank));
        own + rates.map(|rate| rate.per_s).sum::<f64>()
    }
}

impl Arrivals {
    /// Returns the decayed count.
    fn count_at(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / TIME_CONSTANT_MS).exp()
    }

    /// Returns the rate that keeps the count at its present value, in requests a second.
    fn per_s(self, now_ms: u64) -> f64 {
        self.count_at(now_ms) * 1_000.0 / TIME_CONSTANT_MS
    }
}

impl Report {
    /// Tells whether the report still counts.
    fn is_valid(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) < REPORT_VALID_MS
    }
}
