/// What one run showed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// From the fault's onset until the sick backend server got no more routine work.
    pub detection_ms: Option<f64>,
    /// Requests given to sick backend servers after the onset, trials included.
    pub given: f64,
    /// Ejections of backend servers that were healthy for the VM that ejected them.
    pub false_ejections: f64,
    /// The least share of the weight in service at any VM.
    pub capacity: f64,
    /// Whether the floor was broken.
    pub breaks_floor: bool,
    /// Requests answered late, in percent.
    pub late_percent: f64,
    /// Requests without a good answer, in percent.
    pub failed_percent: f64,
    /// The share of the slots' time that health checks took, in percent.
    pub probe_percent: f64,
}
