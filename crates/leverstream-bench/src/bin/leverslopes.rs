//! Measures the slopes of the capacity page, with an allocator that counts.

use leverstream_bench::capacity;
use peak_alloc::PeakAlloc;

/// Counts the bytes that are allocated.
#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

/// Prints the slopes.
fn main() {
    capacity::run(|| ALLOCATED.current_usage());
}
