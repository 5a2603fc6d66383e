use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::Fault;
use crate::{Address, RouteRule};

/// The longest duration that a row may set, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;

/// The upper limit of `body_limit_bytes`, because bodies of this size are kept in memory for a retry.
const MAX_BODY_LIMIT_BYTES: u64 = 16 << 20;

/// The most route rules in one column.
const MAX_ROUTE_RULES: usize = 256;

/// The row of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceRow {
    /// Whether leverstream serves it; if not, callers receive the addresses in `script_addresses`.
    pub taken_over: bool,
    /// The addresses at which the scripts that leverstream replaces serve it.
    pub script_addresses: Vec<Address>,
    /// The percentage of the total weight that ejections must leave in service.
    pub floor_percent: u8,
    /// The time limit of a request from its arrival, in milliseconds.
    pub deadline_ms: u64,
    /// The most requests that wait in the queue of one VM.
    pub queue: u32,
    /// The most requests that one VM has in flight; 0 means no limit.
    pub in_flight: u32,
    /// The rate limit of one VM, in requests per second; 0 means no limit.
    pub rate_per_s: u32,
    /// How many retries and hedges are allowed per 100 requests.
    pub retry_budget_percent: u8,
    /// The largest body of a request that runs at most once, in bytes.
    pub body_limit_bytes: u64,
    /// The requests that are idempotent, so that they may run more than once.
    pub repeatable: Vec<RouteRule>,
    /// The low-priority requests, which are rejected or removed first when the queue is full.
    pub give_way: Vec<RouteRule>,
    /// How to treat a request that must run at most once but has no ticket and key.
    pub unkeyed: Unkeyed,
    /// How many VMs serve it; 0 derives the number from its capacity.
    pub entry_vms: u16,
    /// The evidence score at which a backend server is ejected; a higher score ejects later and less often.
    pub eject_score: u16,
    /// The duration of a backend server's first ejection, in milliseconds.
    pub holdoff_ms: u64,
    /// How long a new or readmitted backend server takes to reach its full share, in milliseconds.
    pub ramp_ms: u64,
    /// The health check path; empty disables health checks.
    pub probe_path: String,
    /// The interval between the health checks of one prober, in milliseconds.
    pub probe_interval_ms: u64,
    /// The HTTP statuses by which a backend server signals that it did not run a request.
    pub shed_statuses: Vec<u16>,
}

/// How to treat a request that must run at most once but has no ticket and key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unkeyed {
    /// Reject it.
    #[default]
    Refuse,
    /// Make a single attempt, whose outcome may remain unknown.
    Single,
}

/// The row of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendRow {
    /// The address that it listens on.
    pub address: Address,
    /// The data hall that it runs in.
    #[serde(default)]
    pub hall: String,
    /// The share of requests relative to the other backend servers; 0 means none.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// How many requests it processes concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The percentage of its slots that leverstream may use; the scripts use the rest.
    #[serde(default = "default_share")]
    pub share_percent: u8,
    /// The most connections that all VMs together open to it.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether it is being drained and receives no new requests.
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
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|rule| rule.matches(method, path))
    }

    /// Returns whether a request has low priority and is removed first when the queue is full.
    pub fn gives_way(&self, method: &str, path: &str) -> bool {
        self.give_way.iter().any(|rule| rule.matches(method, path))
    }

    /// Collects the faults of the row.
    pub(crate) fn faults(&self, service: &str) -> Vec<Fault> {
        let place = |column: &str| format!("{service}.{column}");
        let mut faults = Vec::new();
        let mut check = |is_valid: bool, column: &str, hint: &str| {
            if !is_valid {
                faults.push(Fault::new(place(column), hint));
            }
        };
        check(self.floor_percent <= 100, "floor_percent", "give a share from 0 to 100");
        check(
            (1..=MAX_DURATION_MS).contains(&self.deadline_ms),
            "deadline_ms",
            "give a time from 1 ms to one hour",
        );
        check(self.queue <= 100_000, "queue", "give at most 100000");
        check(
            self.retry_budget_percent <= 100,
            "retry_budget_percent",
            "give a share from 0 to 100",
        );
        check(
            self.body_limit_bytes <= MAX_BODY_LIMIT_BYTES,
            "body_limit_bytes",
            "give at most 16 MiB",
        );
        check(self.repeatable.len() <= MAX_ROUTE_RULES, "repeatable", "give at most 256 routes");
        check(self.give_way.len() <= MAX_ROUTE_RULES, "give_way", "give at most 256 routes");
        check((1..=1000).contains(&self.eject_score), "eject_score", "give a score from 1 to 1000");
        check(
            (100..=MAX_DURATION_MS).contains(&self.holdoff_ms),
            "holdoff_ms",
            "give a time from 100 ms to one hour",
        );
        check(self.ramp_ms <= MAX_DURATION_MS, "ramp_ms", "give at most one hour");
        check(
            self.probe_path.is_empty() || self.probe_path.starts_with('/'),
            "probe_path",
            "start the path with `/`, or leave it empty",
        );
        check(
            (100..=MAX_DURATION_MS).contains(&self.probe_interval_ms),
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
            "give unicast IP addresses with a port",
        );
        check(
            self.taken_over || !self.script_addresses.is_empty(),
            "taken_over",
            "set script_addresses, or set taken_over to true",
        );
        faults
    }
}

impl BackendRow {
    /// Returns how many slots leverstream may use, at least one.
    pub fn usable_slots(&self) -> u32 {
        (self.slots * u32::from(self.share_percent) / 100).max(1)
    }

    /// Returns whether it may receive new requests.
    pub fn accepts_requests(&self) -> bool {
        !self.leaving && self.weight > 0
    }

    /// Collects the faults of the row.
    fn faults(&self, place: &str) -> Vec<Fault> {
        let rules = [
            (self.address.is_usable(), "address", "give a unicast IP address with a port"),
            (self.hall.len() <= 64, "hall", "give at most 64 characters"),
            (self.weight <= 10_000, "weight", "give at most 10000"),
            ((1..=10_000).contains(&self.slots), "slots", "give from 1 to 10000"),
            (
                (1..=100).contains(&self.share_percent),
                "share_percent",
                "give a share from 1 to 100; set weight to 0 to send no requests",
            ),
            ((1..=100_000).contains(&self.connections), "connections", "give from 1 to 100000"),
        ];
        rules
            .into_iter()
            .filter(|(is_valid, _, _)| !is_valid)
            .map(|(_, column, hint)| Fault::new(format!("{place}.{column}"), hint))
            .collect()
    }
}

/// Collects the faults of each backend server of a service, and addresses that several of them use.
pub(crate) fn backend_faults(service: &str, backends: &BTreeMap<String, BackendRow>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut names_by_address: BTreeMap<Address, &str> = BTreeMap::new();
    for (name, row) in backends {
        let place = format!("{service}/{name}");
        if !is_name(name) {
            faults.push(Fault::new(&place, "use a name of 1 to 64 letters, digits, `-` and `_`"));
        }
        faults.extend(row.faults(&place));
        if let Some(other) = names_by_address.insert(row.address, name) {
            let hint = format!("`{other}` already has the address {}", row.address);
            faults.push(Fault::new(format!("{place}.address"), hint));
        }
    }
    faults
}

/// Returns whether a text is a valid name of a service or backend server.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.len() <= 64 && text.bytes().all(is_allowed)
}

/// The default weight of a backend server.
fn default_weight() -> u32 {
    100
}

/// The default number of slots of a backend server.
fn default_slots() -> u32 {
    2
}

/// The default share of a backend server, in percent.
fn default_share() -> u8 {
    100
}

/// The default connection limit of a backend server.
fn default_connections() -> u32 {
    400
}
