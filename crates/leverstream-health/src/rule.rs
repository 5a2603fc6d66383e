use crate::health::{BackendKey, Health};
use crate::standing::Reason;

/// A way to decide that a backend server should be ejected, registered by name.
pub struct EjectRule {
    /// The name by which settings and reports choose it.
    pub name: &'static str,
    /// Tells whether the backend server should go and on whose evidence, floor aside.
    pub judge: fn(&Health, BackendKey) -> Option<Reason>,
    /// Whether a score short of ejection lowers the share of work.
    pub shifts: bool,
}

inventory::collect!(EjectRule);

/// All rules that have registered.
pub fn eject_rules() -> impl Iterator<Item = &'static EjectRule> {
    inventory::iter::<EjectRule>()
}

/// Finds a rule by its name.
pub fn eject_rule(name: &str) -> Option<&'static EjectRule> {
    eject_rules().find(|rule| rule.name == name)
}

/// Failures in a row after which the plain rule ejects.
const FAILURES_IN_A_ROW: u32 = 5;

/// Bad health checks in a row after which the probing rule ejects.
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

/// Ejects after failures in a row, as most proxies do.
fn judge_failures(health: &Health, key: BackendKey) -> Option<Reason> {
    (health.failures_in_a_row(key) >= FAILURES_IN_A_ROW).then_some(Reason::Own)
}

/// Ejects after bad health checks in a row, as most balancers do.
fn judge_probes(health: &Health, key: BackendKey) -> Option<Reason> {
    (health.probes_in_a_row(key) >= PROBES_IN_A_ROW).then_some(Reason::Own)
}

/// Never ejects.
fn judge_never(_: &Health, _: BackendKey) -> Option<Reason> {
    None
}
