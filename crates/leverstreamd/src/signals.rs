//! The signals that the daemon handles.

use actix_rt::signal::unix::{Signal, SignalKind, signal};

/// The handlers of the signals; none of these ends the process by itself any more.
pub struct Signals {
    /// Asks for a planned stop.
    pub terminate: Signal,
    /// Asks for a planned stop, and during one for the end at once.
    pub interrupt: Signal,
    /// Says that the settings have changed.
    pub hangup: Signal,
}

impl Signals {
    /// Installs the handlers; returns `None` if the operating system refuses.
    pub fn install() -> Option<Signals> {
        Some(Signals {
            terminate: signal(SignalKind::terminate()).ok()?,
            interrupt: signal(SignalKind::interrupt()).ok()?,
            hangup: signal(SignalKind::hangup()).ok()?,
        })
    }
}
