//! Prints the capacity measurements, using an allocator that counts allocated bytes.

use leverstream_bench::capacity;
use peak_alloc::PeakAlloc;

/// Counts the allocated bytes.
#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

/// Runs the capacity measurements.
fn main() {
    capacity::run(|| ALLOCATED.current_usage());
}
