//! Judges the health of backend servers: evidence, ejection, the floor of weight in service, and
//! the return to service.
//!
//! [`Health`] is one VM's view of one service. It takes observations of real requests, health
//! checks and reports of other VMs, and decides at each [`tick`](Health::tick). [`FailureEstimate`]
//! estimates from the last few outcomes how likely the next request to a backend server fails. This
//! crate reads no clock and does no I/O: the present time is an argument.

mod checks;
mod episodes;
mod health;
mod observation;
mod peer_reports;
mod rule;
mod score;
mod settings;
mod sketch;
mod standing;
mod suspicion;

pub use episodes::EpisodeModel;
pub use health::{BackendFitness, BackendHealth, BackendKey, Health};
pub use observation::{Probe, RequestOutcome};
pub use peer_reports::{EvidenceCounts, PeerReports};
pub use rule::{EjectRule, eject_rule, eject_rules};
pub use score::{Baseline, MAX_EVIDENCE_UNITS, Score, evidence_units};
pub use settings::HealthSettings;
pub use sketch::QuantileSketch;
pub use standing::{Reason, Standing};
pub use suspicion::FailureEstimate;
