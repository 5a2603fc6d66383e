//! The process's clock, a token bucket for rate limits, and exponential backoff after failures.

mod backoff;
mod bucket;
mod clock;

pub use backoff::Backoff;
pub use bucket::TokenBucket;
pub use clock::Clock;
