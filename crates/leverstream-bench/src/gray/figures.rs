//! Results of a run of the simulation.

/// The results of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Time from the onset of the fault until sick backend servers received no more requests except trials, in
    /// milliseconds.
    pub detection_ms: Option<f64>,
    /// Requests sent to sick backend servers after the onset, including trials.
    pub sent_to_sick: f64,
    /// Ejections of backend servers that were healthy for the VM that ejected them.
    pub false_ejections: f64,
    /// Lowest share of the weight in service at any VM.
    pub min_capacity: f64,
    /// Whether the share of the weight in service fell below the floor.
    pub is_floor_broken: bool,
    /// Requests answered late, in percent.
    pub late_percent: f64,
    /// Requests without a good answer, in percent.
    pub failed_percent: f64,
    /// Share of the slot time that health checks took, in percent.
    pub probe_percent: f64,
}
