use std::net::SocketAddr;

use leverstream_health::eject_rules;
use leverstream_route::pickers;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

/// A daemon's settings, as its TOML file gives them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM in logs and reports.
    pub vm: String,
    /// The hall that the VM stands in.
    pub hall: String,
    /// The callers' listener.
    pub callers: Callers,
    /// The peers' listener.
    pub peers: Peers,
    /// The operators' listener.
    pub operators: Operators,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Times.
    #[serde(default)]
    pub times: Times,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// How traffic is routed.
    #[serde(default)]
    pub traffic: Traffic,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
    /// Traces.
    #[serde(default)]
    pub traces: TraceSettings,
}

/// The callers' listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Where it listens; port 0 takes any free port.
    pub listen: SocketAddr,
    /// The address that callers are told, if it is not the one listened on.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// How many traffic threads serve it.
    #[serde(default = "two")]
    pub threads: usize,
    /// The most connections a thread keeps open.
    #[serde(default = "connections")]
    pub connections_a_thread: usize,
}

/// The peers' listener, TCP and UDP at the same port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The address that other VMs use, if it is not the one listened on.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The secret that all VMs of the fleet share.
    pub key: String,
    /// Peers to try first, besides those that the platform lists.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The operators' listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The bearer key that operators show.
    pub key: String,
}

/// The platform's object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it is, such as `http://10.0.0.1:7000`.
    pub url: String,
    /// How long one call may take.
    #[serde(default = "platform_timeout")]
    pub timeout_ms: u64,
    /// The calls a second that this VM may make.
    #[serde(default = "platform_rate")]
    pub calls_per_s: f64,
    /// How long one watch waits.
    #[serde(default = "platform_watch")]
    pub watch_ms: u64,
}

impl PlatformSettings {
    /// The address that the URL names, if it names one by number.
    pub fn address(&self) -> Option<SocketAddr> {
        self.url.strip_prefix("http://")?.trim_end_matches('/').parse().ok()
    }
}

/// Times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// How long callers may keep an answer to where to connect.
    pub answer_holds_ms: u64,
    /// How long a ticket holds.
    pub ticket_ttl_ms: u64,
    /// The longest that a planned stop may take.
    pub stop_limit_ms: u64,
    /// The longest that opening a connection to a backend server may take.
    pub connect_timeout_ms: u64,
    /// The time between two pings to other VMs.
    pub ping_period_ms: u64,
    /// How long a VM that does not answer has to show that it lives.
    pub suspicion_ms: u64,
    /// The time between two exchanges of evidence with one VM.
    pub exchange_ms: u64,
}

/// Bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most pieces of work known under tickets.
    pub ledger_entries: usize,
    /// The most bytes of answers kept for them.
    pub ledger_answer_bytes: usize,
    /// The largest answer to a request that runs at most once, in bytes.
    pub answer_bytes: usize,
}

/// How traffic is routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// The picker.
    pub picker: String,
    /// The rule for ejection.
    pub eject_rule: String,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least level that is written: error, warn, info, debug or trace.
    pub level: String,
}

/// Traces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TraceSettings {
    /// The OTLP collector, such as `http://10.0.0.9:4317`; empty for none.
    pub otlp: String,
}

/// Everything that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub Vec<SettingsFault>);

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The key, such as `callers.listen`, or the line.
    pub place: String,
    /// What would mend it.
    pub hint: String,
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
    /// Reads and checks a TOML text; every fault that can be told is told.
    pub fn from_toml(text: &str) -> Result<Settings, SettingsError> {
        let table: Table = toml::from_str(text)
            .map_err(|error| SettingsError(vec![fault("file", error.to_string().trim())]))?;
        let mut faults = Vec::new();
        compare("", &table, &pattern(), &mut faults);
        if !faults.is_empty() {
            return Err(SettingsError(faults));
        }
        let settings: Settings = table
            .try_into()
            .map_err(|error| SettingsError(vec![fault("file", error.to_string().trim())]))?;
        let faults = settings.faults();
        if faults.is_empty() { Ok(settings) } else { Err(SettingsError(faults)) }
    }

    /// Settings with every key given, by which a file's keys and types are judged.
    pub fn example() -> Settings {
        let any = SocketAddr::from(([0, 0, 0, 0], 0));
        Settings {
            vm: "vm-1".to_owned(),
            hall: "hall-1".to_owned(),
            callers: Callers {
                listen: any,
                advertise: Some(any),
                threads: two(),
                connections_a_thread: connections(),
            },
            peers: Peers {
                listen: any,
                advertise: Some(any),
                key: String::new(),
                seeds: vec![any],
            },
            operators: Operators { listen: any, key: String::new() },
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

    /// Writes the settings as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Collects what is wrong with the values.
    fn faults(&self) -> Vec<SettingsFault> {
        let times = &self.times;
        let has_picker = pickers().any(|pick| pick.name == self.traffic.picker);
        let has_rule = eject_rules().any(|rule| rule.name == self.traffic.eject_rule);
        let pickers: Vec<&str> = pickers().map(|pick| pick.name).collect();
        let rules: Vec<&str> = eject_rules().map(|rule| rule.name).collect();
        let checks = [
            (!self.vm.is_empty(), "vm", "name the VM".to_owned()),
            (!self.hall.is_empty(), "hall", "name the hall".to_owned()),
            ((1..=256).contains(&self.callers.threads), "callers.threads", "give 1 to 256".into()),
            (
                self.callers.connections_a_thread > 0,
                "callers.connections_a_thread",
                "give at least 1".into(),
            ),
            (self.peers.key.len() >= 16, "peers.key", "give at least 16 characters".into()),
            (self.operators.key.len() >= 16, "operators.key", "give at least 16 characters".into()),
            (
                self.platform.address().is_some(),
                "platform.url",
                "give `http://` with an IP number and a port".into(),
            ),
            (self.platform.timeout_ms > 0, "platform.timeout_ms", "give at least 1".into()),
            (self.platform.calls_per_s > 0.0, "platform.calls_per_s", "give more than 0".into()),
            (self.platform.watch_ms >= 100, "platform.watch_ms", "give at least 100".into()),
            (times.answer_holds_ms > 0, "times.answer_holds_ms", "give at least 1".into()),
            (
                times.ticket_ttl_ms >= 2 * times.answer_holds_ms,
                "times.ticket_ttl_ms",
                "give at least twice times.answer_holds_ms".into(),
            ),
            (times.connect_timeout_ms > 0, "times.connect_timeout_ms", "give at least 1".into()),
            (times.ping_period_ms >= 50, "times.ping_period_ms", "give at least 50".into()),
            (
                times.suspicion_ms >= times.ping_period_ms,
                "times.suspicion_ms",
                "give at least times.ping_period_ms".into(),
            ),
            (times.exchange_ms >= 20, "times.exchange_ms", "give at least 20".into()),
            (self.limits.ledger_entries > 0, "limits.ledger_entries", "give at least 1".into()),
            (has_picker, "traffic.picker", format!("give one of {}", pickers.join(", "))),
            (has_rule, "traffic.eject_rule", format!("give one of {}", rules.join(", "))),
            (
                self.log.level.parse::<log::LevelFilter>().is_ok(),
                "log.level",
                "give off, error, warn, info, debug or trace".into(),
            ),
        ];
        checks
            .into_iter()
            .filter(|(ok, _, _)| !ok)
            .map(|(_, place, hint)| fault(place, &hint))
            .collect()
    }
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> =
            self.0.iter().map(|fault| format!("{}: {}", fault.place, fault.hint)).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsError {}

/// The example's keys as a table.
fn pattern() -> Table {
    Table::try_from(Settings::example()).unwrap_or_default()
}

/// Compares keys and types with the pattern's and notes what differs.
fn compare(prefix: &str, table: &Table, pattern: &Table, faults: &mut Vec<SettingsFault>) {
    for (key, value) in table {
        let place = format!("{prefix}{key}");
        match (value, pattern.get(key)) {
            (_, None) => {
                let known: Vec<&str> = pattern.keys().map(String::as_str).collect();
                faults.push(fault(&place, &format!("is no key; there are {}", known.join(", "))));
            }
            (Value::Table(inner), Some(Value::Table(wanted))) => {
                compare(&format!("{place}."), inner, wanted, faults);
            }
            (Value::Integer(_), Some(Value::Float(_))) => {}
            (value, Some(wanted)) if !value.same_type(wanted) => {
                let (given, asked) = (value.type_str(), wanted.type_str());
                faults.push(fault(&place, &format!("is a {given}; give a {asked}")));
            }
            (Value::String(text), Some(Value::String(wanted))) => {
                let is_address = wanted.parse::<SocketAddr>().is_ok();
                if is_address && text.parse::<SocketAddr>().is_err() {
                    faults.push(fault(&place, "give an IP address with a port"));
                }
            }
            _ => {}
        }
    }
    for key in pattern.keys().filter(|key| is_required(prefix, key) && !table.contains_key(*key)) {
        faults.push(fault(&format!("{prefix}{key}"), "is missing"));
    }
}

/// Tells whether a key must be given.
fn is_required(prefix: &str, key: &str) -> bool {
    matches!(
        (prefix, key),
        ("", "vm" | "hall" | "callers" | "peers" | "operators" | "platform")
            | ("callers." | "peers." | "operators.", "listen")
            | ("peers." | "operators.", "key")
            | ("platform.", "url")
    )
}

/// A fault at a place.
fn fault(place: &str, hint: &str) -> SettingsFault {
    SettingsFault { place: place.to_owned(), hint: hint.to_owned() }
}

/// The traffic threads of a file that does not say.
fn two() -> usize {
    2
}

/// The connections a thread of a file that does not say.
fn connections() -> usize {
    12_500
}

/// The time for a call of a file that does not say.
fn platform_timeout() -> u64 {
    2_000
}

/// The calls a second of a file that does not say.
fn platform_rate() -> f64 {
    5.0
}

/// The length of a watch of a file that does not say.
fn platform_watch() -> u64 {
    20_000
}
