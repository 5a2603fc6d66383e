use std::fmt;
use std::net::SocketAddr;

use leverstream_route::{MAX_WINDOW_MS, RetryAllowance};
use serde::Deserialize;

/// What one VM of a gateway fleet is told when it starts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name.
    pub vm: String,
    /// The data hall it stands in.
    pub hall: String,
    /// The region it stands in.
    pub region: String,
    /// Where it listens.
    pub listen: Listen,
    /// How it finds other VMs.
    pub peers: Peers,
    /// What the VM has.
    pub machine: Machine,
    /// Where the platform's store is.
    pub store: StoreSettings,
    /// What all VMs together may repeat.
    pub retries: Retries,
    /// How a planned stop goes.
    pub stop: Stop,
    /// Who callers are sent to.
    #[serde(default)]
    pub entry: Entry,
    /// How much of a service that fails must stay in use.
    #[serde(default)]
    pub floor: Floor,
    /// What bytes between data halls cost.
    #[serde(default)]
    pub halls: Halls,
    /// How soon keys that are taken away must cease to work.
    #[serde(default)]
    pub keys: Keys,
    /// How long backend servers that leave may still get requests.
    #[serde(default)]
    pub leaving: Leaving,
    /// Whether operators may ask that a data hall be emptied.
    #[serde(default)]
    pub emptying: Emptying,
    /// How exactly the allotments of workspaces must be kept.
    #[serde(default)]
    pub allotments: AllotmentSettings,
}

/// The keys of workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// How long a key may go on working anywhere after the store has accepted its removal, in seconds; without it,
    /// until the VM hears of that.
    pub revoke_s: Option<f64>,
}

impl Keys {
    /// How long a key may go on working after its removal, in milliseconds.
    pub fn revoke_ms(self) -> Option<u64> {
        self.revoke_s.map(|revoke_s| (revoke_s * 1000.0) as u64)
    }
}

/// How long before a backend server that leaves gets no more requests the last one is sent: the way there, on a busy VM.
const LAST_SEND_MARGIN_MS: u64 = 100;

/// Backend servers that leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Leaving {
    /// For how long after its word one serves on where its service has no other, in seconds.
    pub serves_on_s: f64,
}

impl Leaving {
    /// For how long requests are sent to one where its service has no other, in milliseconds.
    pub fn serves_on_ms(self) -> u64 {
        ((self.serves_on_s * 1000.0) as u64).saturating_sub(LAST_SEND_MARGIN_MS)
    }
}

/// Data halls that operators ask to be emptied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Emptying {
    /// How soon after the store has taken that nothing may be sent there any more, in seconds; without it the store is not
    /// asked for such requests.
    pub within_s: Option<f64>,
}

/// The allotments of workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllotmentSettings {
    /// How many requests beyond rate and burst a workspace may get through in any few seconds.
    pub slack: f64,
}

/// The listeners.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's question whether the VM is ready.
    pub readiness: SocketAddr,
    /// For callers who ask where to connect.
    pub directory: SocketAddr,
    /// For datagrams of other VMs.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// How a VM finds others.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Where some of them listen, or did.
    pub seeds: Vec<SocketAddr>,
    /// The secret that all VMs share; datagrams made without it are dropped.
    #[serde(default = "default_key")]
    pub key: String,
    /// Whether the whole fleet starts for the first time, with this process: none has run before it on this VM.
    #[serde(default)]
    pub is_first_start: bool,
}

/// What a VM has.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Its part of a core, or more than one.
    pub cores: f64,
    /// The bandwidth of its link, in megabits a second.
    pub link_mbps: f64,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
}

/// What all VMs together may repeat, for each service.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Repeats for each request.
    pub ratio: f64,
    /// The length of the sliding window, in seconds.
    pub window_s: f64,
    /// Repeats in a window besides.
    pub slack: f64,
}

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// How long after the signal the process is ended by force, in seconds.
    pub grace_s: f64,
}

/// Who callers are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// How many VMs of each hall take callers; 0 lets the work and the VMs' capacity decide.
    pub vms_a_hall: usize,
    /// How long callers may keep an answer, in milliseconds.
    pub answer_holds_ms: u64,
}

impl Default for Entry {
    /// As few as can do the work: the fewer share the backend servers, the more each knows of them.
    /// Answers hold as short as the cost of asking allows, for that is how long a lost VM still gets
    /// callers.
    fn default() -> Entry {
        Entry { vms_a_hall: 0, answer_holds_ms: 1_500 }
    }
}

/// The floor: the share of a service's sound backend servers that must have work while many of its requests
/// fail.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Floor {
    /// The share, from 0 to 1.
    pub share: f64,
}

impl Default for Floor {
    /// What both of the first users ask for.
    fn default() -> Floor {
        Floor { share: 0.7 }
    }
}

/// Traffic between data halls, which is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Halls {
    /// How many requests served a megabyte between halls is worth.
    pub requests_a_mb: f64,
}

impl Default for Halls {
    /// An answer of 100 kB from another hall costs as much as it brings.
    fn default() -> Halls {
        Halls { requests_a_mb: 10.0 }
    }
}

impl Halls {
    /// What so many bytes between halls cost, in requests served.
    pub fn cost(self, bytes: f64) -> f64 {
        bytes / 1e6 * self.requests_a_mb
    }
}

/// How far above the floor the share is kept: VMs hear of each other's work with a delay.
const FLOOR_MARGIN: f64 = 0.03;

impl Floor {
    /// The share to keep in use.
    pub fn aim(self) -> f64 {
        self.share + FLOOR_MARGIN
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// What one request costs a VM in time of a core, in milliseconds: 0.15 to 0.25 were measured, at 442 VMs too, with
/// what the directory and datagrams cost besides.
const REQUEST_CORE_MS: f64 = 0.25;

/// What one request moves over a VM's link, both ways together, in kilobits: answers of 5 kB come in
/// and go out.
const REQUEST_KILOBITS: f64 = 90.0;

/// The part of a VM that steady load may take.
const STEADY_PART: f64 = 0.5;

impl Machine {
    /// How many requests a second the VM can take with room for bursts.
    pub fn capacity_per_s(self) -> u32 {
        let by_core = self.cores * 1000.0 / REQUEST_CORE_MS;
        let by_link = self.link_mbps * 1000.0 / REQUEST_KILOBITS;
        (by_core.min(by_link) * STEADY_PART) as u32
    }
}

impl Settings {
    /// Reads settings, naming the field at fault and its place.
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
            ("emptying.within_s", settings.emptying.within_s.unwrap_or_default()),
        ];
        let longest_s = MAX_WINDOW_MS as f64 / 1000.0;
        if settings.retries.window_s > longest_s {
            let window_s = settings.retries.window_s;
            let text =
                format!("`retries.window_s` must not be over {longest_s}, but is {window_s}");
            return Err(SettingsError(text));
        }
        match numbers.iter().find(|(_, number)| !(number.is_finite() && *number >= 0.0)) {
            Some((field, number)) => {
                Err(SettingsError(format!("`{field}` must not be below zero, but is {number}")))
            }
            None => Ok(settings),
        }
    }

    /// What all VMs together may repeat.
    pub fn allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.retries.ratio,
            slack: self.retries.slack,
            window_ms: (self.retries.window_s * 1000.0) as u64,
        }
    }

    /// How long after the signal the process is ended by force, in milliseconds.
    pub fn grace_ms(&self) -> u64 {
        (self.stop.grace_s * 1000.0) as u64
    }
}

/// The secret of a fleet that sets none: it keeps other fleets' datagrams out, no attackers.
fn default_key() -> String {
    "leverstream".to_owned()
}
