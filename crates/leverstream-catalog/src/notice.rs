/// The load and shutdown signals of a backend server, read from the header of any answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// How long the VM that received the answer is to send no requests, in milliseconds from now.
    pub hold_off_ms: Option<u64>,
    /// Whether the answer gives a hold-off time that cannot be parsed.
    pub is_hold_off_malformed: bool,
    /// The rate limit across all VMs, in requests per second; it applies while the answers state it.
    pub limit_per_s: Option<f64>,
    /// Whether the answer gives a rate limit that cannot be parsed, so it shows neither that a limit exists nor that
    /// none does.
    pub is_limit_malformed: bool,
}

impl Notice {
    /// Returns whether the answer carries no signal.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}
