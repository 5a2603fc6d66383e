use std::collections::HashMap;

use crate::score::{Baseline, Score};

/// A reporter that has told nothing for so long is no longer counted.
const SILENT_MS: u64 = 5_000;

/// What a reporter told of its work under way counts no longer than this, in milliseconds.
const STALE_MS: u64 = 1_500;

/// From this score a reporter counts as one that holds the backend server for sick.
const AGREES_FROM: f64 = 1.5;

/// How many observations make a reporter one that can tell either way.
const INFORMED_FROM: f64 = 5.0;

/// The share of the ejection score that one reporter can add.
const REPORTER_SHARE: f64 = 0.5;

/// The time over which others' requests under way are smoothed, in milliseconds.
const SMOOTHING_MS: f64 = 1_000.0;

/// Counts of work since a reporter's process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Good answers.
    pub good: u64,
    /// Units of bad evidence.
    pub bad: u64,
}

/// What other VMs have seen of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// One score for each reporter, so that one VM's cut path is not taken for a sick server.
    reporters: HashMap<u64, Reporter>,
}

/// What one other VM has seen.
#[derive(Clone, Copy, Debug)]
struct Reporter {
    /// Its last counts.
    last: Count,
    /// Its score.
    score: Score,
    /// Recent observations, fading.
    recent: f64,
    /// When it last told something.
    heard_ms: u64,
    /// Its requests under way at the backend server, as last told.
    in_flight: u32,
    /// The same, smoothed over time: what is told is old on arrival.
    smoothed: f64,
}

impl Pool {
    /// Takes in a reporter's counts.
    pub fn report(
        &mut self,
        reporter: u64,
        count: Count,
        in_flight: u32,
        baseline: Baseline,
        now_ms: u64,
    ) {
        let entry = self.reporters.entry(reporter).or_insert(Reporter {
            last: count,
            score: Score::default(),
            recent: 0.0,
            heard_ms: now_ms,
            in_flight,
            smoothed: f64::from(in_flight),
        });
        let good = count.good.saturating_sub(entry.last.good) as f64;
        let bad = count.bad.saturating_sub(entry.last.bad) as f64;
        entry.score.add(good, bad, baseline);
        entry.recent += good + bad;
        entry.last = count;
        entry.heard_ms = now_ms;
        entry.in_flight = in_flight;
    }

    /// Notes that a reporter is there although it had nothing new to tell.
    pub fn hear(&mut self, reporter: u64, now_ms: u64) {
        if let Some(entry) = self.reporters.get_mut(&reporter) {
            entry.heard_ms = now_ms;
        }
    }

    /// Fades what was heard and forgets reporters that went silent.
    pub fn fade(&mut self, elapsed_ms: u64, now_ms: u64) {
        self.reporters.retain(|_, reporter| now_ms.saturating_sub(reporter.heard_ms) < SILENT_MS);
        for reporter in self.reporters.values_mut() {
            reporter.score.fade(elapsed_ms);
            let kept = (-(elapsed_ms as f64) / SMOOTHING_MS).exp();
            let is_stale = now_ms.saturating_sub(reporter.heard_ms) >= STALE_MS;
            let told = if is_stale { 0.0 } else { f64::from(reporter.in_flight) };
            reporter.smoothed = told + kept * (reporter.smoothed - told);
            reporter.recent *= (-(elapsed_ms as f64) / SILENT_MS as f64).exp2();
        }
    }

    /// Starts anew, as after a return to service.
    pub fn clear(&mut self) {
        for reporter in self.reporters.values_mut() {
            reporter.score.clear();
        }
    }

    /// The requests that other VMs have under way at the backend server.
    pub fn in_flight(&self) -> u32 {
        let sum: f64 = self.reporters.values().map(|reporter| reporter.smoothed).sum();
        sum.round() as u32
    }

    /// The score that all evidence adds up to; no reporter adds more than its share.
    pub fn total(&self, own: Score, eject_score: f64) -> f64 {
        let cap = eject_score * REPORTER_SHARE;
        let heard: f64 = self.reporters.values().map(|r| r.score.value().min(cap)).sum();
        own.value() + heard
    }

    /// Tells whether at least two VMs, and more than half of those who can tell, hold the backend
    /// server for sick; this VM must be one of them, if it can tell.
    pub fn agrees(&self, own: Score, own_recent: f64) -> bool {
        let own_agrees = own.value() >= AGREES_FROM;
        let own_can_tell = own_agrees || own_recent >= INFORMED_FROM;
        if own_can_tell && !own_agrees {
            return false;
        }
        let mut agreeing = usize::from(own_agrees);
        let mut informed = usize::from(own_can_tell);
        for reporter in self.reporters.values() {
            let agrees = reporter.score.value() >= AGREES_FROM;
            agreeing += usize::from(agrees);
            informed += usize::from(agrees || reporter.recent >= INFORMED_FROM);
        }
        agreeing >= 2 && 2 * agreeing > informed
    }
}
