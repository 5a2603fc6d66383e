//! Starts real processes for tests: daemons, the platform, backend servers.
//!
//! Every process is ended by its handle when the handle is dropped. Nothing is decided by sleeping:
//! [`until`] polls for an event and fails after a generous time.

pub mod ends;
mod fleet;
pub mod flow;
pub mod harm;
pub mod notices;
mod process;
mod request;
pub mod site;
pub mod soak;

pub use fleet::{Backend, Daemon, DaemonOptions, Fleet, OPERATOR_KEY, Platform, change};
pub use process::{Process, bin};
pub use request::{Answer, Request, send_raw};

use std::future::Future;
use std::time::{Duration, Instant};

/// How long an event may take before a test gives up; far more than it takes.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Polls until a check gives a value.
///
/// # Panics
///
/// When it gives none for [`PATIENCE`].
pub async fn until<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(started.elapsed() < PATIENCE, "waited in vain for: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
