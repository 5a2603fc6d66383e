//! Log lines of panics.

use std::panic;

use tracing::error;

/// Writes a line to the log for each panic from now on, before it is handled as it was so far.
///
/// A panic ends one task, and often nothing else shows that.
pub fn log_panics() {
    let next = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let location = info.location().map(ToString::to_string);
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        error!(location, text, "a task panicked");
        next(info);
    }));
}
