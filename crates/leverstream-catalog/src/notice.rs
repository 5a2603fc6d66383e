/// What a backend server says of itself in the head of an answer, whatever the answer is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is about to end and takes no new requests.
    pub is_leaving: bool,
    /// For how long it wants no requests of whoever it answered, in milliseconds from now.
    pub holds_off_ms: Option<u64>,
    /// Whether it said how long and that could not be read as a time.
    pub is_garbled: bool,
}

impl Notice {
    /// Tells whether it says anything.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}
