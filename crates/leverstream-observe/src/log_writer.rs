//! Structured logs on standard output, written in the background.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use tracing_subscriber::Layer;
use tracing_subscriber::filter::{LevelFilter, filter_fn};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;

/// The size of the buffer for unwritten log lines; at about 300 bytes a line, it holds thousands.
const MAX_BUFFER_BYTES: usize = 1 << 20;

/// How long lines are collected before they are written in one batch.
const BATCH_INTERVAL_MS: u64 = 100;

/// Writes structured log lines to standard output in the background.
///
/// Logging only appends to a buffer in memory, which a separate thread writes out, so that a slow
/// reader never blocks the threads that log. Lines that arrive at a full buffer are dropped, and
/// the number of dropped lines is logged with the next batch.
#[derive(Clone)]
pub struct LogWriter {
    /// The state shared with the writing thread.
    shared: Arc<Shared>,
}

/// The buffer and the signal that wakes the writing thread.
#[derive(Default)]
struct Shared {
    /// The unwritten lines.
    buffer: Mutex<Buffer>,
    /// Notified when the buffer is no longer empty.
    not_empty: Condvar,
}

/// The lines that are not written yet.
#[derive(Default)]
struct Buffer {
    /// The encoded lines.
    bytes: Vec<u8>,
    /// The number of lines dropped since the last batch.
    dropped: u64,
}

impl LogWriter {
    /// Starts the writing thread and installs the global subscriber.
    ///
    /// Each event becomes a line of JSON with its time, level, target and fields.
    pub fn start(level: LevelFilter) -> LogWriter {
        let log_writer = LogWriter { shared: Arc::default() };
        let writer = log_writer.clone();
        std::thread::spawn(move || writer.run_writer());
        let layer = tracing_subscriber::fmt::layer()
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(log_writer.clone());
        // Events of libraries are left out: the answer to an invalid request already reports it.
        let is_own = filter_fn(|metadata| metadata.target().starts_with("leverstream"));
        let subscriber = tracing_subscriber::registry().with(level).with(layer.with_filter(is_own));
        // Only tests install a second subscriber in one process; the first one stays.
        let _ = tracing::subscriber::set_global_default(subscriber);
        log_writer
    }

    /// Writes all buffered lines; called before the process ends.
    pub fn flush(&self) {
        let _ = write_to_stdout(&self.take_batch());
    }

    /// Writes batches of lines until standard output is closed.
    fn run_writer(&self) {
        loop {
            {
                let mut buffer = self.lock();
                while buffer.bytes.is_empty() {
                    let woken = self.shared.not_empty.wait(buffer);
                    buffer = woken.unwrap_or_else(PoisonError::into_inner);
                }
            }
            std::thread::sleep(Duration::from_millis(BATCH_INTERVAL_MS));
            if write_to_stdout(&self.take_batch()).is_err() {
                // Standard output is closed, so the error cannot be reported.
                return;
            }
        }
    }

    /// Takes the buffered lines, followed by a line with the number of dropped ones, if any.
    fn take_batch(&self) -> Vec<u8> {
        let mut buffer = self.lock();
        let dropped = std::mem::take(&mut buffer.dropped);
        let mut bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Locks the buffer, also after a panic of a writer, which leaves at worst an incomplete line.
    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.shared.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.shared.not_empty.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = LogWriter;

    fn make_writer(&'a self) -> LogWriter {
        self.clone()
    }
}

/// Writes bytes to standard output.
fn write_to_stdout(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()
}
