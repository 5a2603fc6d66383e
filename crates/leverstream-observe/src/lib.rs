//! The logs, metrics and traces of a process.

mod count;
mod log_writer;
mod logs;
mod panics;
mod trace;

pub use count::register_counter;
pub use log_writer::LogWriter;
pub use logs::init_stderr_log;
pub use panics::log_panics;
pub use prometheus_client::registry::Registry;
pub use trace::{TraceError, Traces, caller_span, traceparent};
pub use tracing_subscriber::filter::LevelFilter;

/// Encodes all metrics in the OpenMetrics text format.
pub fn encode(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = prometheus_client::encoding::text::encode(&mut text, registry);
    text
}
