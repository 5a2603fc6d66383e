use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::Fault;
use crate::{Address, RouteRule};

/// The longest time a row may give a request, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 3_600_000;

/// The largest request body that a row may allow to be kept for a repetition, in bytes.
const BODY_LIMIT_BYTES: u64 = 16 << 20;

/// The most repeatable routes in a row.
const ROUTES_LIMIT: usize = 256;

/// A service's row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceRow {
    /// Whether leverstream serves it; until then callers are given the scripts' addresses.
    pub taken_over: bool,
    /// Where the scripts serve it.
    pub script_addresses: Vec<Address>,
    /// The share of the capacity's weight that ejection must leave in service.
    pub floor_percent: u8,
    /// The longest that a request may take from its arrival.
    pub deadline_ms: u64,
    /// How many requests may wait at one VM.
    pub queue: u32,
    /// How many requests one VM may have under way; 0 sets no limit.
    pub in_flight: u32,
    /// How many requests a second one VM takes on; 0 sets no limit.
    pub rate_per_s: u32,
    /// How many retries and hedges are allowed for each hundred requests.
    pub retry_budget_percent: u8,
    /// The largest body of a request that runs at most once.
    pub body_limit_bytes: u64,
    /// The requests that may run more than once.
    pub repeatable: Vec<RouteRule>,
    /// The requests that give way first when the queue is full.
    pub give_way: Vec<RouteRule>,
    /// What becomes of a request that must run at most once but carries no ticket and key.
    pub unkeyed: Unkeyed,
    /// How many VMs serve it; 0 lets its capacity decide.
    pub entry_vms: u16,
    /// How sure the evidence must be before an ejection; higher ejects later and less often.
    pub eject_score: u16,
    /// How long a backend server stays ejected the first time.
    pub holdoff_ms: u64,
    /// How long a new or returning backend server takes to carry its full share.
    pub ramp_ms: u64,
    /// The path of the health check; empty for none.
    pub probe_path: String,
    /// The time between two health checks of one prober.
    pub probe_interval_ms: u64,
    /// The statuses by which a backend server says that it did not run a request.
    pub shed_statuses: Vec<u16>,
}

/// What becomes of a request that must run at most once but carries no ticket and key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unkeyed {
    /// It is refused.
    #[default]
    Refuse,
    /// It gets a single attempt, whose outcome may stay unknown.
    Single,
}

/// A backend server's row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendRow {
    /// Where it listens.
    pub address: Address,
    /// The hall it stands in.
    #[serde(default)]
    pub hall: String,
    /// Its share of the work against the others; 0 gives it none.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// How many requests it works on at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The share of its slots that leverstream may use while the scripts use the rest.
    #[serde(default = "default_share")]
    pub share_percent: u8,
    /// How many connections the whole fleet may hold to it.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether it is leaving and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl Default for ServiceRow {
    fn default() -> Self {
        let route = |text: &str| RouteRule::try_from(text.to_owned()).ok();
        ServiceRow {
            taken_over: false,
            script_addresses: Vec::new(),
            floor_percent: 50,
            deadline_ms: 10_000,
            queue: 64,
            in_flight: 0,
            rate_per_s: 0,
            retry_budget_percent: 10,
            body_limit_bytes: 1 << 20,
            repeatable: ["GET /*", "HEAD /*"].into_iter().filter_map(route).collect(),
            give_way: Vec::new(),
            unkeyed: Unkeyed::Refuse,
            entry_vms: 0,
            eject_score: 12,
            holdoff_ms: 5_000,
            ramp_ms: 10_000,
            probe_path: String::new(),
            probe_interval_ms: 10_000,
            shed_statuses: Vec::new(),
        }
    }
}

impl ServiceRow {
    /// Tells whether a request may run more than once.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|rule| rule.matches(method, path))
    }

    /// Tells whether a request gives way to others when the queue is full.
    pub fn gives_way(&self, method: &str, path: &str) -> bool {
        self.give_way.iter().any(|rule| rule.matches(method, path))
    }

    /// Collects what is wrong with the row's cells.
    pub(crate) fn faults(&self, service: &str) -> Vec<Fault> {
        let at = |column: &str| format!("{service}.{column}");
        let mut faults = Vec::new();
        let mut check = |ok: bool, column: &str, hint: &str| {
            if !ok {
                faults.push(Fault::new(at(column), hint));
            }
        };
        check(self.floor_percent <= 100, "floor_percent", "give a share from 0 to 100");
        check(
            (1..=DEADLINE_LIMIT_MS).contains(&self.deadline_ms),
            "deadline_ms",
            "give a time from 1 ms to one hour",
        );
        check(self.queue <= 100_000, "queue", "give at most 100000");
        check(
            self.retry_budget_percent <= 100,
            "retry_budget_percent",
            "give a share from 0 to 100",
        );
        check(self.body_limit_bytes <= BODY_LIMIT_BYTES, "body_limit_bytes", "give at most 16 MiB");
        check(self.repeatable.len() <= ROUTES_LIMIT, "repeatable", "give at most 256 routes");
        check(self.give_way.len() <= ROUTES_LIMIT, "give_way", "give at most 256 routes");
        check((1..=1000).contains(&self.eject_score), "eject_score", "give a score from 1 to 1000");
        check(
            (100..=DEADLINE_LIMIT_MS).contains(&self.holdoff_ms),
            "holdoff_ms",
            "give a time from 100 ms to one hour",
        );
        check(self.ramp_ms <= DEADLINE_LIMIT_MS, "ramp_ms", "give at most one hour");
        check(
            self.probe_path.is_empty() || self.probe_path.starts_with('/'),
            "probe_path",
            "start the path with `/`, or leave it empty",
        );
        check(
            (100..=DEADLINE_LIMIT_MS).contains(&self.probe_interval_ms),
            "probe_interval_ms",
            "give a time from 100 ms to one hour",
        );
        check(
            self.shed_statuses.iter().all(|status| (400..=599).contains(status)),
            "shed_statuses",
            "give statuses from 400 to 599",
        );
        check(
            self.script_addresses.iter().all(|address| address.is_usable()),
            "script_addresses",
            "give addresses of one machine with a port",
        );
        check(
            self.taken_over || !self.script_addresses.is_empty(),
            "taken_over",
            "name script_addresses, or take the service over",
        );
        faults
    }
}

impl BackendRow {
    /// The slots that leverstream may use at once, at least one.
    pub fn usable_slots(&self) -> u32 {
        (self.slots * u32::from(self.share_percent) / 100).max(1)
    }

    /// Tells whether it may be given new work at all.
    pub fn accepts_requests(&self) -> bool {
        !self.leaving && self.weight > 0
    }

    /// Collects what is wrong with the row's cells.
    fn faults(&self, place: &str) -> Vec<Fault> {
        let rules = [
            (self.address.is_usable(), "address", "give an address of one machine with a port"),
            (self.hall.len() <= 64, "hall", "give at most 64 characters"),
            (self.weight <= 10_000, "weight", "give at most 10000"),
            ((1..=10_000).contains(&self.slots), "slots", "give from 1 to 10000"),
            (
                (1..=100).contains(&self.share_percent),
                "share_percent",
                "give a share from 1 to 100; weight 0 stops all work",
            ),
            ((1..=100_000).contains(&self.connections), "connections", "give from 1 to 100000"),
        ];
        rules
            .into_iter()
            .filter(|(ok, _, _)| !ok)
            .map(|(_, column, hint)| Fault::new(format!("{place}.{column}"), hint))
            .collect()
    }
}

/// Collects what is wrong with a service's backend servers, each and together.
pub(crate) fn backend_faults(service: &str, backends: &BTreeMap<String, BackendRow>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut seen: BTreeMap<Address, &str> = BTreeMap::new();
    for (name, row) in backends {
        let place = format!("{service}/{name}");
        if !is_name(name) {
            faults.push(Fault::new(&place, "name it in letters, digits, `-` and `_`"));
        }
        faults.extend(row.faults(&place));
        if let Some(other) = seen.insert(row.address, name) {
            let hint = format!("`{other}` has the address {} already", row.address);
            faults.push(Fault::new(format!("{place}.address"), hint));
        }
    }
    faults
}

/// Tells whether a text can name a service or a backend server.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.len() <= 64 && text.bytes().all(allowed)
}

/// The weight of a row that names none.
fn default_weight() -> u32 {
    100
}

/// The slots of a row that names none.
fn default_slots() -> u32 {
    2
}

/// The share of a row that names none.
fn default_share() -> u8 {
    100
}

/// The connections of a row that names none.
fn default_connections() -> u32 {
    400
}
