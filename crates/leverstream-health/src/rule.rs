//! The registry of ejection rules.

use crate::health::{BackendKey, Health};
use crate::standing::Reason;

/// A rule that decides whether to eject a backend server, registered by name.
pub struct EjectRule {
    /// The name used in settings and reports.
    pub name: &'static str,
    /// Returns the reason to eject the backend server, if there is one; the floor is checked
    /// elsewhere.
    pub judge: fn(&Health, BackendKey) -> Option<Reason>,
    /// Whether a score below the ejection score already lowers the backend server's share of
    /// requests.
    pub shifts: bool,
}

inventory::collect!(EjectRule);

/// All registered rules.
pub fn eject_rules() -> impl Iterator<Item = &'static EjectRule> {
    inventory::iter::<EjectRule>()
}

/// Finds a rule by its name.
pub fn eject_rule(name: &str) -> Option<&'static EjectRule> {
    eject_rules().find(|rule| rule.name == name)
}

/// The number of consecutive failures after which `failures-in-a-row` ejects.
const FAILURES_IN_A_ROW: u32 = 5;

/// The number of consecutive bad health checks after which `probes-in-a-row` ejects.
const PROBES_IN_A_ROW: u32 = 3;

inventory::submit! {
    EjectRule { name: "evidence", judge: Health::judge_evidence, shifts: true }
}

inventory::submit! {
    EjectRule { name: "failures-in-a-row", judge: judge_failures, shifts: false }
}

inventory::submit! {
    EjectRule { name: "probes-in-a-row", judge: judge_probes, shifts: false }
}

inventory::submit! {
    EjectRule { name: "never", judge: judge_never, shifts: false }
}

inventory::submit! {
    EjectRule { name: "shift-only", judge: judge_never, shifts: true }
}

/// Ejects after consecutive failures, as most proxies do.
fn judge_failures(health: &Health, key: BackendKey) -> Option<Reason> {
    (health.failures_in_a_row(key) >= FAILURES_IN_A_ROW).then_some(Reason::Own)
}

/// Ejects after consecutive bad health checks, as most load balancers do.
fn judge_probes(health: &Health, key: BackendKey) -> Option<Reason> {
    (health.probes_in_a_row(key) >= PROBES_IN_A_ROW).then_some(Reason::Own)
}

/// Never ejects.
fn judge_never(_: &Health, _: BackendKey) -> Option<Reason> {
    None
}
