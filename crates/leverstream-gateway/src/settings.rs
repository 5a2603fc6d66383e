//! The settings of a gateway VM, read from TOML.

use std::fmt;
use std::net::SocketAddr;

use leverstream_admission::connections::{self, ConnectionLimits};
use leverstream_admission::memory;
use leverstream_route::{MAX_WINDOW_MS, RetryAllowance};
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;

/// The settings that one VM of a gateway fleet starts with.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name.
    pub vm: String,
    /// The VM's data hall.
    pub hall: String,
    /// The VM's region.
    pub region: String,
    /// The addresses that the VM listens on.
    pub listen: Listen,
    /// How the VM finds and authenticates other VMs.
    pub peers: Peers,
    /// The VM's resources.
    pub machine: Machine,
    /// The platform's store.
    pub store: StoreSettings,
    /// The retry budget that all VMs share.
    pub retries: Retries,
    /// The limits of a planned stop.
    pub stop: Stop,
    /// Which VMs callers connect to.
    #[serde(default)]
    pub entry: Entry,
    /// The share of a failing service's backend servers that must stay in use.
    #[serde(default)]
    pub floor: Floor,
    /// The cost of bytes between data halls.
    #[serde(default)]
    pub halls: Halls,
    /// How soon revoked keys must stop working.
    #[serde(default)]
    pub keys: Keys,
    /// How long leaving backend servers may still receive requests.
    #[serde(default)]
    pub leaving: Leaving,
    /// Whether and how soon operators can empty a data hall.
    #[serde(default)]
    pub emptying: Emptying,
    /// How exactly the allotments of workspaces are enforced.
    #[serde(default)]
    pub allotments: AllotmentSettings,
    /// How a full service is shared.
    #[serde(default)]
    pub queue: QueueSettings,
    /// The memory that the process may use.
    #[serde(default)]
    pub memory: MemorySettings,
}

/// Settings for the keys of workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// The maximum time that a key works anywhere after the store has accepted its removal, in seconds; if it is not set,
    /// a key works until the VM learns of the removal.
    pub revoke_s: Option<f64>,
}

impl Keys {
    /// Returns the maximum time that a key works after its removal, in milliseconds.
    pub fn revoke_ms(self) -> Option<u64> {
        self.revoke_s.map(|revoke_s| (revoke_s * 1000.0) as u64)
    }
}

/// The time between the last request to a leaving backend server and the end of its service, in milliseconds: the
/// request's transit time from a busy VM.
const LAST_SEND_MARGIN_MS: u64 = 100;

/// Settings for leaving backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// How long a backend server goes on serving after it announces that it leaves, if its service has no other, in seconds.
    pub serves_on_s: f64,
}

impl Leaving {
    /// Returns how long requests are sent to a leaving backend server whose service has no other, in milliseconds.
    pub fn serves_on_ms(self) -> u64 {
        ((self.serves_on_s * 1000.0) as u64).saturating_sub(LAST_SEND_MARGIN_MS)
    }
}

/// Settings for data halls that operators empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Emptying {
    /// The time after the store has accepted the operator's request within which requests stop going there, in seconds;
    /// if it is not set, the VM does not read such requests from the store.
    pub within_s: Option<f64>,
}

/// Settings for the allotments of workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllotmentSettings {
    /// The number of requests beyond rate and burst that may be admitted for a workspace within any few seconds.
    pub slack: f64,
    /// Whether urgent requests are admitted first while an allotment is short.
    #[serde(default)]
    pub by_rank: bool,
}

/// Settings for requests that wait for a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSettings {
    /// Whether a full service goes to urgent requests first, over all VMs.
    pub by_rank: bool,
}

/// Settings for the memory of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemorySettings {
    /// The memory limit of the process, in megabytes; 0 if unknown.
    pub limit_mb: f64,
}

impl MemorySettings {
    /// Returns the memory limit of the process in bytes, if it is known.
    pub fn limit_bytes(self) -> Option<usize> {
        (self.limit_mb > 0.0).then_some((self.limit_mb * 1e6) as usize)
    }
}

/// The addresses of the listeners.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// The address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// The address for callers that ask where to connect.
    pub directory: SocketAddr,
    /// The address for datagrams and fetches of other VMs.
    pub peers: SocketAddr,
    /// The address for reading the metrics.
    pub metrics: SocketAddr,
}

/// How a VM finds and authenticates other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Addresses of some VMs to join through; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all VMs share; datagrams that are not authenticated by it are dropped.
    #[serde(default = "default_key")]
    pub key: String,
    /// Whether the whole fleet starts for the first time with this process, so that none has run on this VM before.
    #[serde(default)]
    pub is_first_start: bool,
}

/// The resources of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// The number of cores; it may be a fraction of one.
    pub cores: f64,
    /// The bandwidth of the link, in megabits per second.
    pub link_mbps: f64,
    /// The number of descriptors that the process may open; 0 if only the operating system's own limit counts.
    #[serde(default)]
    pub max_descriptors: usize,
}

/// Settings for the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The address of the store.
    pub address: SocketAddr,
}

/// The retry budget of each service, shared by all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// The number of repeats that each request adds.
    pub ratio: f64,
    /// The length of the sliding window, in seconds.
    pub window_s: f64,
    /// The number of repeats in a window beyond the ratio.
    pub slack: f64,
}

/// The limits of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// The time between the signal and the kill of the process, in seconds.
    pub grace_s: f64,
}

/// Which VMs callers connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The number of VMs of each hall that accept callers; 0 derives it from the load and the VMs' capacity.
    pub vms_a_hall: usize,
    /// How long a directory answer is valid for callers, in milliseconds.
    pub answer_holds_ms: u64,
}

impl Default for Entry {
    /// Uses as few VMs as can carry the load: each VM of a smaller set observes more of every backend server. Answers are
    /// valid as briefly as the cost of asking allows, because a lost VM still receives callers until they expire.
    fn default() -> Entry {
        Entry { vms_a_hall: 0, answer_holds_ms: 1_500 }
    }
}

/// The floor: the share of a service's healthy backend servers that must receive requests while many of the service's
/// requests fail.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Floor {
    /// The share, from 0 to 1.
    pub share: f64,
}

impl Default for Floor {
    /// Returns the required floor: 0.7 of the healthy backend servers of a service.
    fn default() -> Floor {
        Floor { share: 0.7 }
    }
}

/// Settings for traffic between data halls, which is billed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Halls {
    /// The cost of a megabyte between halls, in served requests.
    pub requests_a_mb: f64,
}

impl Default for Halls {
    /// Makes an answer of 100 kB from another hall cost as much as one served request is worth.
    fn default() -> Halls {
        Halls { requests_a_mb: 10.0 }
    }
}

impl Halls {
    /// Returns the cost of a number of bytes between halls, in served requests.
    pub fn cost_in_requests(self, bytes: f64) -> f64 {
        bytes / 1e6 * self.requests_a_mb
    }
}

/// The margin kept above the floor, because VMs learn of each other's load with a delay.
const FLOOR_MARGIN: f64 = 0.03;

impl Floor {
    /// Returns the share to keep in use, which is the floor plus a margin; 0 without a floor.
    pub fn target_share(self) -> f64 {
        if self.share > 0.0 { self.share + FLOOR_MARGIN } else { 0.0 }
    }
}

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// The CPU time of one request, in milliseconds: between 0.15 and 0.25, also at 442 VMs, including the cost of directory
/// and datagrams.
const CORE_MS_PER_REQUEST: f64 = 0.25;

/// The traffic of one request on a VM's link in both directions together, in kilobits: an answer of 5 kB is received
/// and sent on.
const LINK_KILOBITS_PER_REQUEST: f64 = 90.0;

/// The fraction of a VM's resources for steady load; the rest is left for bursts.
const STEADY_LOAD_FRACTION: f64 = 0.5;

impl Machine {
    /// Returns the number of descriptors that the process may open, by the settings or by the operating system.
    fn max_descriptors(self) -> usize {
        if self.max_descriptors > 0 {
            return self.max_descriptors;
        }
        let limit = getrlimit(Resource::Nofile).current.and_then(|limit| limit.try_into().ok());
        limit.unwrap_or(usize::MAX)
    }

    /// Returns the number of requests per second that the VM can handle with headroom for bursts.
    pub fn capacity_per_s(self) -> u32 {
        let by_core = self.cores * 1000.0 / CORE_MS_PER_REQUEST;
        let by_link = self.link_mbps * 1000.0 / LINK_KILOBITS_PER_REQUEST;
        (by_core.min(by_link) * STEADY_LOAD_FRACTION) as u32
    }
}

impl Settings {
    /// Parses and checks settings; an error names the invalid field.
    pub fn from_toml(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError(error.to_string()))?;
        let numbers = [
            ("retries.ratio", settings.retries.ratio),
            ("retries.window_s", settings.retries.window_s),
            ("retries.slack", settings.retries.slack),
            ("stop.grace_s", settings.stop.grace_s),
            ("machine.cores", settings.machine.cores),
            ("machine.link_mbps", settings.machine.link_mbps),
            ("floor.share", settings.floor.share),
            ("halls.requests_a_mb", settings.halls.requests_a_mb),
            ("keys.revoke_s", settings.keys.revoke_s.unwrap_or_default()),
            ("leaving.serves_on_s", settings.leaving.serves_on_s),
            ("allotments.slack", settings.allotments.slack),
            ("memory.limit_mb", settings.memory.limit_mb),
            ("emptying.within_s", settings.emptying.within_s.unwrap_or_default()),
        ];
        let max_window_s = MAX_WINDOW_MS as f64 / 1000.0;
        if settings.retries.window_s > max_window_s {
            let window_s = settings.retries.window_s;
            let text =
                format!("`retries.window_s` must be at most {max_window_s}, but is {window_s}");
            return Err(SettingsError(text));
        }
        match numbers.iter().find(|(_, number)| !(number.is_finite() && *number >= 0.0)) {
            Some((field, number)) => Err(SettingsError(format!(
                "`{field}` must be a finite number that is at least zero, but is {number}"
            ))),
            None => Ok(settings),
        }
    }

    /// Returns the retry budget that all VMs share.
    pub fn allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window_ms: (self.retries.window_s * 1000.0) as u64,
        }
    }

    /// Returns the limits of all accepted connections: what the process may open, and a part of its memory.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let max_bytes = self.memory.limit_bytes().map(memory::connections_bytes);
        connections::limits_of_process(self.machine.max_descriptors(), max_bytes)
    }

    /// Returns the time between the signal and the kill of the process, in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        (self.stop.grace_s * 1000.0) as u64
    }
}

/// Returns the secret of a fleet that sets none; it rejects other fleets' datagrams but does not stop attackers.
fn default_key() -> String {
    "leverstream".to_owned()
}
