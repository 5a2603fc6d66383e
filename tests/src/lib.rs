//! Starts real processes for tests: daemons, the platform, backend servers.
//!
//! A process is killed when its handle is dropped. Tests never sleep for a fixed time to wait for an
//! event: [`until`] polls for it and fails after a generous timeout.

pub mod crowd;
pub mod cut;
pub mod ends;
pub mod fault_injector;
mod fleet;
pub mod flow;
pub mod notices;
pub mod overload;
mod process;
pub mod ranked;
mod request;
pub mod site;
pub mod slow_caller;
pub mod soak;

pub use fleet::{Backend, Daemon, DaemonOptions, Fleet, OPERATOR_KEY, Platform, change, leverctl};
pub use process::{Process, bin};
pub use request::{Answer, Request, send_raw};

use std::future::Future;
use std::time::{Duration, Instant};

/// Timeout for any awaited event, far longer than an event takes on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until a check returns a value.
///
/// # Panics
///
/// Panics when the check returns no value within [`WAIT_TIMEOUT`].
pub async fn until<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
