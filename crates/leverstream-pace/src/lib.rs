//! How often something may happen: a token bucket and a growing, jittered wait.

mod backoff;
mod bucket;

pub use backoff::Backoff;
pub use bucket::Bucket;
