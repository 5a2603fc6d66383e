//! Tests that the clock counts suspended time and converts its times for timers.

use std::time::{Duration, Instant};

use leverstream_pace::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Reads the operating system's clock that counts suspended time, in milliseconds.
fn boot_ms() -> u64 {
    let reading = clock_gettime(ClockId::Boottime);
    u64::try_from(reading.tv_sec * 1_000 + reading.tv_nsec / 1_000_000).expect("it is positive")
}

#[test]
fn clock_follows_the_system_clock_that_counts_suspended_time() {
    let before_ms = boot_ms();
    let clock = Clock::start();
    let started_ms = boot_ms();
    assert!(clock.counts_suspension());
    for _ in 0..50 {
        std::thread::sleep(Duration::from_millis(2));
        let (low_ms, now_ms, high_ms) = (boot_ms(), clock.now_ms(), boot_ms());
        assert!((low_ms - started_ms..=high_ms - before_ms).contains(&now_ms));
    }
}

#[test]
fn instant_is_as_far_ahead_as_the_time_it_stands_for() {
    let clock = Clock::start();
    let ahead = clock.instant_at(clock.now_ms() + 5_000);
    let left = ahead.saturating_duration_since(Instant::now());
    assert!((Duration::from_millis(4_900)..=Duration::from_millis(5_000)).contains(&left));
    std::thread::sleep(Duration::from_millis(30));
    assert!(clock.instant_at(0) < Instant::now());
}

#[test]
fn suspended_time_is_zero_without_suspension() {
    let clock = Clock::start();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.suspended_ms() <= 1);
}

#[test]
fn time_since_boot_continues_across_clocks() {
    let first = Clock::start();
    let read_ms = first.since_boot_ms();
    std::thread::sleep(Duration::from_millis(5));
    let second = Clock::start();
    assert!(second.now_ms() < 5 && second.since_boot_ms() >= read_ms + 5);
}
