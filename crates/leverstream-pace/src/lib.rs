//! Time: the process's clock, how often something may happen, and how long to wait after a failure.

mod backoff;
mod bucket;
mod clock;

pub use backoff::Backoff;
pub use bucket::TokenBucket;
pub use clock::Clock;
