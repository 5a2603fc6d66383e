//! Measures how memory, messages and CPU time grow with the size of a fleet.
//!
//! The measurements run the production code in one process; the last column extrapolates to [`TARGET`].

mod choice;
mod dissemination;
mod health;
mod ledger;
mod members;
mod pick;
mod suspects;
mod table;

use std::time::Instant;

/// The fleet size to extrapolate to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// VMs of the fleet.
    pub nodes: usize,
    /// Backend servers.
    pub backends: usize,
    /// Services.
    pub services: usize,
    /// Data halls.
    pub halls: usize,
    /// Table edits per day.
    pub edits_per_day: f64,
    /// VMs that fail, restart or are replaced per day.
    pub restarts_per_day: f64,
    /// Routes defined in the table.
    pub routes: usize,
    /// Peak requests per second.
    pub requests_per_s: f64,
}

/// The fleet size expected in two years.
pub const TARGET: Target = Target {
    nodes: 7_000,
    backends: 74_000,
    services: 1_900,
    halls: 11,
    edits_per_day: 12_000.0,
    restarts_per_day: 9_800.0,
    routes: 90_000,
    requests_per_s: 1_100_000.0,
};

/// Seconds per day.
const DAY_S: f64 = 86_400.0;

/// Membership updates per restart: the old process leaves or dies, the new one joins.
const UPDATES_PER_RESTART: f64 = 2.5;

/// Returns the number of bytes currently allocated.
pub type AllocatedBytes = fn() -> usize;

/// Runs all measurements and prints them as a Markdown table.
pub fn run(allocated: AllocatedBytes) {
    println!("| what | measured | at the target |");
    println!("|---|---|---|");
    members::measure_members(allocated);
    members::measure_packets();
    table::measure_table(allocated);
    table::measure_placement();
    dissemination::measure_dissemination();
    health::measure_health(allocated);
    pick::measure_pick();
    choice::measure_choice(allocated);
    ledger::measure_ledger(allocated);
    suspects::measure_suspects(allocated);
}

/// Prints one row of the table.
fn print_row(label: &str, measured: &str, at_target: &str) {
    println!("| {label} | {measured} | {at_target} |");
}

/// Runs `make` and returns its result with the bytes that remain allocated afterwards.
fn measure_allocation<T>(allocated: AllocatedBytes, make: impl FnOnce() -> T) -> (T, f64) {
    let before = allocated();
    let made = make();
    (made, allocated().saturating_sub(before) as f64)
}

/// Returns the mean duration of `count` calls of `run`, in microseconds.
fn time_us(count: u32, mut run: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..count {
        run();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}
