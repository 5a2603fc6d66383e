//! The daemon's settings file: its format, defaults and checks.

use std::net::SocketAddr;

use leverstream_health::eject_rules;
use leverstream_route::pickers;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

/// The daemon's settings as read from a TOML file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM in logs and reports.
    pub vm: String,
    /// The data hall of the VM.
    pub hall: String,
    /// The callers' listener.
    pub callers: Callers,
    /// The peers' listener.
    pub peers: Peers,
    /// The operators' listener.
    pub operators: Operators,
    /// The connection to the platform's object API.
    pub platform: PlatformSettings,
    /// Timeouts, lifetimes and intervals.
    #[serde(default)]
    pub times: Times,
    /// Limits of memory and message sizes.
    #[serde(default)]
    pub limits: Limits,
    /// How traffic is routed.
    #[serde(default)]
    pub traffic: Traffic,
    /// The log output.
    #[serde(default)]
    pub log: LogSettings,
    /// The export of traces.
    #[serde(default)]
    pub traces: TraceSettings,
}

/// The callers' listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address announced to callers, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The number of traffic threads.
    #[serde(default = "two")]
    pub threads: usize,
    /// The maximum number of open connections per thread.
    #[serde(default = "connections")]
    pub connections_a_thread: usize,
}

/// The peers' listener, with TCP and UDP on the same port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address announced to other VMs, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The secret that all VMs of the fleet share.
    pub key: String,
    /// The peers to contact first, in addition to those that the platform lists.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The operators' listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The bearer key that operators must present.
    pub key: String,
}

/// The connection to the platform's object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The base URL, such as `http://10.0.0.1:7000`.
    pub url: String,
    /// The timeout of a call.
    #[serde(default = "platform_timeout")]
    pub timeout_ms: u64,
    /// The maximum calls per second from this VM.
    #[serde(default = "platform_rate")]
    pub calls_per_s: f64,
    /// How long a watch call waits for changes.
    #[serde(default = "platform_watch")]
    pub watch_ms: u64,
}

impl PlatformSettings {
    /// Returns the address in the URL, if the URL has an IP address and a port.
    pub fn address(&self) -> Option<SocketAddr> {
        self.url.strip_prefix("http://")?.trim_end_matches('/').parse().ok()
    }
}

/// Timeouts, lifetimes and intervals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// How long callers may cache the answer that names the VMs to connect to.
    pub answer_holds_ms: u64,
    /// How long a ticket is valid.
    pub ticket_ttl_ms: u64,
    /// The maximum duration of a planned stop.
    pub stop_limit_ms: u64,
    /// The timeout for connecting to a backend server.
    pub connect_timeout_ms: u64,
    /// The interval between pings to other VMs.
    pub ping_period_ms: u64,
    /// How long a suspected VM has to refute the suspicion before it counts as dead.
    pub suspicion_ms: u64,
    /// The interval between exchanges of evidence with the same VM.
    pub exchange_ms: u64,
}

/// Limits of memory and message sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of requests with tickets that are remembered.
    pub ledger_entries: usize,
    /// The maximum total size of the answers stored for these requests.
    pub ledger_answer_bytes: usize,
    /// The maximum size of the answer to a request that runs at most once.
    pub answer_bytes: usize,
}

/// How traffic is routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// The name of the algorithm that picks a backend server.
    pub picker: String,
    /// The name of the rule that decides on ejections.
    pub eject_rule: String,
}

/// The log output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest level that is logged: off, error, warn, info, debug or trace.
    pub level: String,
}

/// The export of traces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// The URL of the OTLP collector, such as `http://10.0.0.9:4317`; empty disables the export.
    pub otlp: String,
}

/// All errors in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub Vec<SettingsFault>);

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The key, such as `callers.listen`, or `file` if the text as a whole is invalid.
    pub location: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            answer_holds_ms: 10_000,
            ticket_ttl_ms: 120_000,
            stop_limit_ms: 180_000,
            connect_timeout_ms: 500,
            ping_period_ms: 500,
            suspicion_ms: 2_000,
            exchange_ms: 250,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits { ledger_entries: 100_000, ledger_answer_bytes: 16 << 20, answer_bytes: 4 << 20 }
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic { picker: "least-load".to_owned(), eject_rule: "evidence".to_owned() }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: "info".to_owned() }
    }
}

impl Settings {
    /// Parses and validates a TOML text; the error lists all faults that can be found at once.
    pub fn from_toml(text: &str) -> Result<Settings, SettingsError> {
        let table: Table = toml::from_str(text)
            .map_err(|error| SettingsError(vec![fault("file", error.to_string().trim())]))?;
        let mut faults = Vec::new();
        check_keys("", &table, &example_table(), &mut faults);
        if !faults.is_empty() {
            return Err(SettingsError(faults));
        }
        let settings: Settings = table
            .try_into()
            .map_err(|error| SettingsError(vec![fault("file", error.to_string().trim())]))?;
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(SettingsError(faults)) }
    }

    /// Returns settings with every key set, against which the keys and types of a file are checked.
    pub fn example() -> Settings {
        let any_address = SocketAddr::from(([0, 0, 0, 0], 0));
        Settings {
            vm: "vm-1".to_owned(),
            hall: "hall-1".to_owned(),
            callers: Callers {
                listen: any_address,
                advertise: Some(any_address),
                threads: two(),
                connections_a_thread: connections(),
            },
            peers: Peers {
                listen: any_address,
                advertise: Some(any_address),
                key: String::new(),
                seeds: vec![any_address],
            },
            operators: Operators { listen: any_address, key: String::new() },
            platform: PlatformSettings {
                url: "http://127.0.0.1:7000".to_owned(),
                timeout_ms: platform_timeout(),
                calls_per_s: platform_rate(),
                watch_ms: platform_watch(),
            },
            times: Times::default(),
            limits: Limits::default(),
            traffic: Traffic::default(),
            log: LogSettings::default(),
            traces: TraceSettings::default(),
        }
    }

    /// Serializes the settings to TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Returns the faults in the values.
    fn faults(&self) -> Vec<SettingsFault> {
        let times = &self.times;
        let has_picker = pickers().any(|picker| picker.name == self.traffic.picker);
        let has_rule = eject_rules().any(|rule| rule.name == self.traffic.eject_rule);
        let pickers: Vec<&str> = pickers().map(|picker| picker.name).collect();
        let rules: Vec<&str> = eject_rules().map(|rule| rule.name).collect();
        let checks = [
            (!self.vm.is_empty(), "vm", "must not be empty".to_owned()),
            (!self.hall.is_empty(), "hall", "must not be empty".to_owned()),
            (
                (1..=256).contains(&self.callers.threads),
                "callers.threads",
                "must be 1 to 256".into(),
            ),
            (
                self.callers.connections_a_thread > 0,
                "callers.connections_a_thread",
                "must be at least 1".into(),
            ),
            (self.peers.key.len() >= 16, "peers.key", "must have at least 16 characters".into()),
            (
                self.operators.key.len() >= 16,
                "operators.key",
                "must have at least 16 characters".into(),
            ),
            (
                self.platform.address().is_some(),
                "platform.url",
                "must be `http://` with an IP address and a port".into(),
            ),
            (self.platform.timeout_ms > 0, "platform.timeout_ms", "must be at least 1".into()),
            (
                self.platform.calls_per_s > 0.0,
                "platform.calls_per_s",
                "must be greater than 0".into(),
            ),
            (self.platform.watch_ms >= 100, "platform.watch_ms", "must be at least 100".into()),
            (times.answer_holds_ms > 0, "times.answer_holds_ms", "must be at least 1".into()),
            (
                times.ticket_ttl_ms >= 2 * times.answer_holds_ms,
                "times.ticket_ttl_ms",
                "must be at least twice times.answer_holds_ms".into(),
            ),
            (times.connect_timeout_ms > 0, "times.connect_timeout_ms", "must be at least 1".into()),
            (times.ping_period_ms >= 50, "times.ping_period_ms", "must be at least 50".into()),
            (
                times.suspicion_ms >= times.ping_period_ms,
                "times.suspicion_ms",
                "must be at least times.ping_period_ms".into(),
            ),
            (times.exchange_ms >= 20, "times.exchange_ms", "must be at least 20".into()),
            (self.limits.ledger_entries > 0, "limits.ledger_entries", "must be at least 1".into()),
            (has_picker, "traffic.picker", format!("must be one of {}", pickers.join(", "))),
            (has_rule, "traffic.eject_rule", format!("must be one of {}", rules.join(", "))),
            (
                self.log.level.parse::<log::LevelFilter>().is_ok(),
                "log.level",
                "must be off, error, warn, info, debug or trace".into(),
            ),
        ];
        checks
            .into_iter()
            .filter(|(is_valid, _, _)| !is_valid)
            .map(|(_, location, message)| fault(location, &message))
            .collect()
    }
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> =
            self.0.iter().map(|fault| format!("{}: {}", fault.location, fault.message)).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsError {}

/// Returns the example settings as a TOML table.
fn example_table() -> Table {
    Table::try_from(Settings::example()).unwrap_or_default()
}

/// Compares the keys and types of a table with those of the example and records the faults.
fn check_keys(prefix: &str, table: &Table, example: &Table, faults: &mut Vec<SettingsFault>) {
    for (key, value) in table {
        let location = format!("{prefix}{key}");
        match (value, example.get(key)) {
            (_, None) => {
                let known_keys: Vec<&str> = example.keys().map(String::as_str).collect();
                faults.push(fault(
                    &location,
                    &format!("is not a known key; the known keys are {}", known_keys.join(", ")),
                ));
            }
            (Value::Table(inner), Some(Value::Table(expected))) => {
                check_keys(&format!("{location}."), inner, expected, faults);
            }
            (Value::Integer(_), Some(Value::Float(_))) => {}
            (value, Some(expected)) if !value.same_type(expected) => {
                let (actual_type, expected_type) = (value.type_str(), expected.type_str());
                faults.push(fault(
                    &location,
                    &format!("has the type {actual_type}; must have the type {expected_type}"),
                ));
            }
            (Value::String(text), Some(Value::String(expected))) => {
                let is_address = expected.parse::<SocketAddr>().is_ok();
                if is_address && text.parse::<SocketAddr>().is_err() {
                    faults.push(fault(&location, "must be an IP address with a port"));
                }
            }
            _ => {}
        }
    }
    for key in example.keys().filter(|key| is_required(prefix, key) && !table.contains_key(*key)) {
        faults.push(fault(&format!("{prefix}{key}"), "is missing"));
    }
}

/// Returns whether a key is required.
fn is_required(prefix: &str, key: &str) -> bool {
    matches!(
        (prefix, key),
        ("", "vm" | "hall" | "callers" | "peers" | "operators" | "platform")
            | ("callers." | "peers." | "operators.", "listen")
            | ("peers." | "operators.", "key")
            | ("platform.", "url")
    )
}

/// Creates a fault in a key.
fn fault(location: &str, message: &str) -> SettingsFault {
    SettingsFault { location: location.to_owned(), message: message.to_owned() }
}

/// The default number of traffic threads.
fn two() -> usize {
    2
}

/// The default maximum number of connections per thread.
fn connections() -> usize {
    12_500
}

/// The default timeout of a call to the platform, in milliseconds.
fn platform_timeout() -> u64 {
    2_000
}

/// The default maximum calls per second to the platform.
fn platform_rate() -> f64 {
    5.0
}

/// The default wait of a watch call, in milliseconds.
fn platform_watch() -> u64 {
    20_000
}
