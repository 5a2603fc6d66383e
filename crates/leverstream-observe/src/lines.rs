use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use tracing_subscriber::Layer;
use tracing_subscriber::filter::{LevelFilter, filter_fn};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;

/// The bytes of log lines that may wait to be written; at some 300 bytes a line, thousands.
const BUFFER_BYTES: usize = 1 << 20;

/// How long lines gather before they are written together, in milliseconds.
const GATHER_MS: u64 = 100;

/// Structured log lines on their way to standard output.
///
/// Whoever logs only appends to a buffer in memory. A thread of its own writes it out, so that a
/// reader who is slow blocks nobody; lines that find the buffer full are counted and dropped, and
/// the count is written once there is room.
#[derive(Clone)]
pub struct Lines {
    /// What the writers and the thread share.
    shared: Arc<Shared>,
}

/// The buffer and how the thread is woken.
#[derive(Default)]
struct Shared {
    /// The buffer.
    buffer: Mutex<Buffer>,
    /// Told when the buffer is no longer empty.
    filled: Condvar,
}

/// The lines that wait.
#[derive(Default)]
struct Buffer {
    /// The lines.
    bytes: Vec<u8>,
    /// Lines dropped since the last one written.
    dropped: u64,
}

impl Lines {
    /// Opens the log on standard output and makes it the process's own.
    ///
    /// Each event becomes a line of JSON with its time, level, place and fields.
    pub fn open(level: LevelFilter) -> Lines {
        let lines = Lines { shared: Arc::default() };
        let writer = lines.clone();
        std::thread::spawn(move || writer.run());
        let layer = tracing_subscriber::fmt::layer()
            .json()
            .flatten_event(true)
            .with_current_span(false)
            .with_span_list(false)
            .with_writer(lines.clone());
        // What libraries log of a caller's broken request is told by the answer to it.
        let is_own = filter_fn(|metadata| metadata.target().starts_with("leverstream"));
        let subscriber = tracing_subscriber::registry().with(level).with(layer.with_filter(is_own));
        // A second logger in one process is a mistake of tests only; the first one stays.
        let _ = tracing::subscriber::set_global_default(subscriber);
        lines
    }

    /// Writes out what waits, before the process ends.
    pub fn flush(&self) {
        let _ = write_out(&self.take());
    }

    /// Writes lines out as they come.
    fn run(&self) {
        loop {
            {
                let mut buffer = self.lock();
                while buffer.bytes.is_empty() {
                    let woken = self.shared.filled.wait(buffer);
                    buffer = woken.unwrap_or_else(PoisonError::into_inner);
                }
            }
            std::thread::sleep(Duration::from_millis(GATHER_MS));
            if write_out(&self.take()).is_err() {
                // Nobody reads any more: there is nobody to tell.
                return;
            }
        }
    }

    /// Takes what waits, with a line on those dropped.
    fn take(&self) -> Vec<u8> {
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

    /// Locks the buffer; a writer that panicked left at worst a torn line.
    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.shared.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.shared.filled.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}

/// Writes bytes to standard output.
fn write_out(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()
}
