/// What a backend server says of itself in the head of an answer, whatever the answer is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is about to end and takes no new requests.
    pub is_leaving: bool,
    /// For how long it wants no requests of whoever it answered, in milliseconds from now.
    pub hold_off_ms: Option<u64>,
    /// Whether it said how long and that could not be read as a time.
    pub is_hold_off_malformed: bool,
    /// How many requests a second it takes from all VMs together, for as long as its answers say so.
    pub limit_per_s: Option<f64>,
    /// Whether it named such a limit and that could not be read as one; it then says neither that it has one nor that
    /// it has none.
    pub is_limit_malformed: bool,
}

impl Notice {
    /// Tells whether it says anything.
    pub fn is_empty(&self) -> bool {
        *self == Notice::default()
    }
}
