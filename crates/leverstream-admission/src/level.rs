//! The admission level: which ranks a service whose slots are taken admits, over all VMs.

use std::collections::HashMap;

use crate::demand::{REPORT_VALID_MS, TIME_CONSTANT_MS};
use crate::{Rank, RankDemand, RankRate, WaitBounds};

/// How old an admission level may be to have an effect, in milliseconds. It is computed more often
/// than every tenth of it, so an older one is that of a VM that was frozen.
const LEVEL_VALID_MS: u64 = 1_000;

/// How long VMs go on reporting after requests have last waited, in milliseconds.
const REPORT_AFTER_WAIT_MS: u64 = 1_000;

/// The share of the granted slots that the refused ranks keep, all together.
const KEPT_SHARE: f64 = 0.05;

/// The least served share of a refused rank, as a part of the served share of all requests. More
/// than a quarter is required; the rest is for the error of the rates.
const KEPT_PART_OF_SERVED: f64 = 0.3;

/// The share of each rank that a service admits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Level {
    /// The admitted share of each rank that is not admitted as a whole.
    shares: Vec<(Rank, f64)>,
}

impl Level {
    /// Computes the level for a demand, most urgent rank first, and the slots granted a second.
    pub fn of(demand: &[RankRate], granted_per_s: f64) -> Level {
        let total: f64 = demand.iter().map(|rate| rate.per_s).sum();
        if total <= granted_per_s {
            return Level::default();
        }
        let (mut left_per_s, mut below_per_s) = (granted_per_s, total);
        for (index, rate) in demand.iter().enumerate() {
            below_per_s = (below_per_s - rate.per_s).max(0.0);
            let kept = (granted_per_s * KEPT_SHARE)
                .max(below_per_s * KEPT_PART_OF_SERVED * granted_per_s / total)
                .min(below_per_s);
            let room_per_s = (left_per_s - kept).max(0.0);
            if rate.per_s <= room_per_s {
                left_per_s -= rate.per_s;
                continue;
            }
            let mut share = room_per_s / rate.per_s;
            let mut share_below = if below_per_s > 0.0 { kept / below_per_s } else { share };
            if share < share_below {
                // The rank would get less than those below it, so it shares with them.
                share = left_per_s / (rate.per_s + below_per_s);
                share_below = share;
            }
            let below = demand[index + 1..].iter().map(|rate| (rate.rank, share_below));
            let shares = std::iter::once((rate.rank, share)).chain(below);
            return Level { shares: shares.collect() };
        }
        Level::default()
    }

    /// Returns the admitted share of a rank, from 0 to 1.
    pub fn share(&self, rank: Rank) -> f64 {
        let share = self.shares.iter().find(|(other, _)| *other == rank);
        share.map_or(1.0, |(_, share)| share.clamp(0.0, 1.0))
    }

    /// Returns the first rank that is not admitted as a whole, and its share.
    pub fn first_limited(&self) -> Option<(Rank, f64)> {
        self.shares.first().copied()
    }

    /// Returns the shares in tenths, to tell whether the level has changed notably.
    fn in_tenths(&self) -> Vec<(Rank, u32)> {
        self.shares.iter().map(|(rank, share)| (*rank, (share * 10.0) as u32)).collect()
    }
}

/// The wait, in seconds, that is aimed at while a service is full. With a shorter queue more is
/// admitted than granted, so that no slot goes unused and a short queue causes no refusals. It is
/// a quarter of an objective of 400 ms, the shortest one that it is meant for.
const STANDING_WAIT_S: f64 = 0.1;

/// The time in which the difference from that queue is made up, in seconds. The rates lag behind a
/// surge by about a second; what has queued up meanwhile would make all requests late until its
/// end.
const DRAIN_S: f64 = 0.5;

/// The least share of the granted slots that is left for arrivals while others wait.
const MIN_ARRIVALS_SHARE: f64 = 0.5;

/// What a VM reports of a service for which requests wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PressureReport {
    /// The arrivals at the VM.
    pub demand: Vec<RankRate>,
    /// The slots that the VM is granted a second.
    pub granted_per_s: f64,
    /// The number of requests that wait at the VM.
    pub waiting: u32,
}

/// The demand for a service and the slots granted, over all VMs, with the admission level.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    /// The demand by rank.
    demand: RankDemand,
    /// The slots granted at this VM.
    granted: DecayingCount,
    /// The slots granted and the requests waiting at other VMs.
    reports: HashMap<u64, Granted>,
    /// When requests last waited at any VM.
    last_wait_ms: Option<u64>,
    /// The admission level, and when it was computed.
    level: Option<(Level, u64)>,
    /// Whether this VM has just resumed after a standstill. The reports that it receives then may
    /// have been sent during it.
    is_resuming: bool,
}

/// The part of another VM's report that is not its demand.
#[derive(Clone, Copy, Debug)]
struct Granted {
    /// The slots that it is granted a second.
    per_s: f64,
    /// The number of requests that wait there.
    waiting: u32,
    /// When the report was received.
    heard_ms: u64,
}

/// A count that decays with [`TIME_CONSTANT_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    /// The count as of `at_ms`.
    count: f64,
    /// When the count last grew.
    at_ms: u64,
}

impl Pressure {
    /// Counts the arrival of a request at this VM.
    pub fn note_arrival(&mut self, rank: Rank, now_ms: u64) {
        self.demand.note_arrival(rank, now_ms);
    }

    /// Counts a slot granted at this VM.
    pub fn note_grant(&mut self, now_ms: u64) {
        let count = self.granted.count_at(now_ms) + 1.0;
        self.granted = DecayingCount { count, at_ms: now_ms };
    }

    /// Stores another VM's report. One whose rate is no number is dropped, and so are those received
    /// after a standstill of this VM until its second refresh.
    pub fn apply_report(&mut self, reporter: u64, report: PressureReport, now_ms: u64) {
        let PressureReport { demand, granted_per_s, waiting } = report;
        let is_late = self.is_resuming || self.was_frozen(now_ms);
        if is_late || !(granted_per_s.is_finite() && granted_per_s >= 0.0) {
            return;
        }
        self.demand.apply_report(reporter, demand, now_ms);
        let granted = Granted { per_s: granted_per_s, waiting, heard_ms: now_ms };
        self.reports.insert(reporter, granted);
        if waiting > 0 {
            self.last_wait_ms = Some(now_ms);
        }
    }

    /// Computes the admission level anew; returns it if it has changed notably.
    ///
    /// A VM that was frozen starts again with what it hears: its own counts are from before.
    pub fn refresh(&mut self, waiting: usize, now_ms: u64) -> Option<&Level> {
        self.is_resuming = self.was_frozen(now_ms);
        if self.is_resuming {
            *self = Pressure { is_resuming: true, ..Pressure::default() };
        }
        self.reports.retain(|_, report| report.is_valid(now_ms));
        if waiting > 0 {
            self.last_wait_ms = Some(now_ms);
        }
        let waits = waiting > 0 || self.reports.values().any(|report| report.waiting > 0);
        let level = if waits { self.present_level(waiting, now_ms) } else { Level::default() };
        let before = self.level.replace((level, now_ms));
        let before = before.map(|(level, _)| level).unwrap_or_default();
        let (level, _) = self.level.as_ref()?;
        (before.in_tenths() != level.in_tenths()).then_some(level)
    }

    /// Tells whether the level was last computed so long ago that this VM stood still.
    fn was_frozen(&self, now_ms: u64) -> bool {
        self.level.as_ref().is_some_and(|(_, at_ms)| !is_valid(*at_ms, now_ms))
    }

    /// Computes the level from what is known.
    fn present_level(&self, waiting: usize, now_ms: u64) -> Level {
        let demand: Vec<RankRate> = Rank::all()
            .map(|rank| RankRate { rank, per_s: self.demand.per_s(rank, now_ms) })
            .collect();
        let granted_per_s = self.granted_at_all_vms_per_s(now_ms);
        let waiting = self.waiting_at_all_vms(waiting);
        Level::of(&demand, room_for_arrivals_per_s(granted_per_s, waiting))
    }

    /// Tells whether a request of a rank is admitted; `sample` is a random number from 0 to 1.
    pub fn admits(&self, rank: Rank, sample: f64, now_ms: u64) -> bool {
        let level = self.level.as_ref().filter(|(_, at_ms)| is_valid(*at_ms, now_ms));
        level.is_none_or(|(level, _)| sample < level.share(rank))
    }

    /// Tells whether a request may wait with the others whatever its rank: all that wait at all VMs,
    /// `waiting` of them here, are served so soon that it can still meet its objective.
    ///
    /// Without this, a surge of two or three seconds refuses requests that could have waited.
    pub fn is_wait_short(&self, bounds: &WaitBounds, waiting: usize, now_ms: u64) -> bool {
        let waiting = self.waiting_at_all_vms(waiting);
        let granted_per_s = self.granted_at_all_vms_per_s(now_ms);
        waiting == 0.0 || bounds.is_on_time(waiting / granted_per_s * 1_000.0, now_ms)
    }

    /// Returns the number of requests that wait at all VMs, `waiting` of them here.
    fn waiting_at_all_vms(&self, waiting: usize) -> f64 {
        let elsewhere: f64 = self.reports.values().map(|report| f64::from(report.waiting)).sum();
        waiting as f64 + elsewhere
    }

    /// Returns the number of slots that all VMs are granted a second.
    fn granted_at_all_vms_per_s(&self, now_ms: u64) -> f64 {
        let reported: f64 = self.reports.values().map(|report| report.per_s).sum();
        reported + self.granted.per_s(now_ms)
    }

    /// Returns the report to other VMs, if one is due: while requests wait at any VM, and for a
    /// second after.
    pub fn report(&self, waiting: usize, now_ms: u64) -> Option<PressureReport> {
        let is_due = |last_ms: u64| now_ms.saturating_sub(last_ms) < REPORT_AFTER_WAIT_MS;
        self.last_wait_ms.filter(|last_ms| is_due(*last_ms))?;
        Some(PressureReport {
            demand: self.demand.own_rates(now_ms),
            granted_per_s: self.granted.per_s(now_ms),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        })
    }
}

impl Granted {
    /// Tells whether the report still counts.
    fn is_valid(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) < REPORT_VALID_MS
    }
}

impl DecayingCount {
    /// Returns the decayed count.
    fn count_at(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.count * (-age_ms / TIME_CONSTANT_MS).exp()
    }

    /// Returns the rate that keeps the count at its present value, in counts a second.
    fn per_s(self, now_ms: u64) -> f64 {
        self.count_at(now_ms) * 1_000.0 / TIME_CONSTANT_MS
    }
}

/// Returns the slots for arrivals a second while the waiting requests are served as well.
fn room_for_arrivals_per_s(granted_per_s: f64, waiting: f64) -> f64 {
    let excess = waiting - granted_per_s * STANDING_WAIT_S;
    (granted_per_s - excess / DRAIN_S).max(granted_per_s * MIN_ARRIVALS_SHARE)
}

/// Tells whether a level computed at `at_ms` still has an effect.
fn is_valid(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) < LEVEL_VALID_MS
}
