//! A fleet of daemons with stand-ins for the platform and backend servers, all as real processes.

use std::net::SocketAddr;
use std::time::Duration;

use leverstream_caller::Caller;
use leverstream_node::{HealthReport, StatusReport};
use leverstream_standin::backend::{Counts, Mode};
use leverstream_standin::platform::{Faults, Vm};
use leverstream_table::{Cell, Change, ServiceDoc};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::process::{Process, bin};
use crate::until;

/// The operator key of all daemons under test.
pub const OPERATOR_KEY: &str = "operators-test-key";

/// The peer key of all daemons under test.
const FLEET_KEY: &str = "fleet-test-key-for-peers";

/// Timeout of one HTTP call made by a test.
const CALL_TIMEOUT_MS: u64 = 20_000;

/// A fleet under test with its platform.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The temporary directory for settings files.
    folder: TempDir,
}

/// A stand-in platform process.
pub struct Platform {
    /// The address it listens on.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A stand-in backend server process.
pub struct Backend {
    /// The address it listens on.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A daemon process under test.
pub struct Daemon {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for other VMs.
    pub peers: SocketAddr,
    /// The listener for operators.
    pub operators: SocketAddr,
    /// The process.
    pub process: Process,
}

/// Settings of a daemon under test.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The data hall of the VM.
    pub hall: String,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The address to listen on for callers.
    pub callers_listen: SocketAddr,
    /// The address to listen on for other VMs.
    pub peers_listen: SocketAddr,
    /// The address advertised to other VMs if it isn't the listener's, such as that of a faulty relay.
    pub peers_advertise: Option<SocketAddr>,
    /// The address advertised for requests if it isn't the listener's.
    pub callers_advertise: Option<SocketAddr>,
    /// Seed peers.
    pub seeds: Vec<SocketAddr>,
    /// How long a ticket is valid.
    pub ticket_ttl_ms: u64,
    /// How long callers may use an answer that names the addresses to connect to.
    pub answer_holds_ms: u64,
    /// The interval between pings; the suspicion and exchange times are derived from it.
    pub ping_period_ms: u64,
    /// Lines appended to the settings file.
    pub extra_settings: String,
}

impl DaemonOptions {
    /// Creates options for a VM of a hall, with short times.
    pub fn new(hall: &str, platform: SocketAddr) -> DaemonOptions {
        DaemonOptions {
            hall: hall.to_owned(),
            platform,
            callers_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            peers_listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            peers_advertise: None,
            callers_advertise: None,
            seeds: Vec::new(),
            ticket_ttl_ms: 120_000,
            answer_holds_ms: 500,
            ping_period_ms: 150,
            extra_settings: String::new(),
        }
    }

    /// Renders the settings file.
    fn to_toml(&self, vm: &str) -> String {
        let advertise = |address: Option<SocketAddr>| {
            address.map(|address| format!("advertise = \"{address}\"\n")).unwrap_or_default()
        };
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "vm = \"{vm}\"\nhall = \"{}\"\n\
             [callers]\nlisten = \"{}\"\nthreads = 1\n{}\
             [peers]\nlisten = \"{}\"\nkey = \"{FLEET_KEY}\"\nseeds = [{}]\n{}\
             [operators]\nlisten = \"127.0.0.1:0\"\nkey = \"{OPERATOR_KEY}\"\n\
             [platform]\nurl = \"http://{}\"\ntimeout_ms = 1000\ncalls_per_s = 50\n\
             [times]\nanswer_holds_ms = {}\nticket_ttl_ms = {}\nping_period_ms = {}\n\
             suspicion_ms = {}\nexchange_ms = {}\n{}",
            self.hall,
            self.callers_listen,
            advertise(self.callers_advertise),
            self.peers_listen,
            seeds.join(", "),
            advertise(self.peers_advertise),
            self.platform,
            self.answer_holds_ms,
            self.ticket_ttl_ms,
            self.ping_period_ms,
            4 * self.ping_period_ms,
            self.ping_period_ms / 3,
            self.extra_settings,
        )
    }
}

impl Platform {
    /// Starts a stand-in platform.
    pub fn start() -> Platform {
        let process = Process::start("standin", &["platform"], false);
        let address = process.wait_for_line("").parse().expect("the program prints its address");
        Platform { address, process }
    }

    /// Sets the list of VMs: the given peers, all live, and one leaving VM with the given backend servers.
    pub async fn set_vms(&self, peers: &[SocketAddr], leaving: &[SocketAddr]) {
        let live = |peer: &SocketAddr| Vm {
            peer_address: Some(*peer),
            backends: Vec::new(),
            state: "live".to_owned(),
        };
        let mut vms: Vec<Vm> = peers.iter().map(live).collect();
        let (peer_address, backends) = (None, leaving.to_vec());
        vms.push(Vm { peer_address, backends, state: "leaving".to_owned() });
        put(self.address, "/standin/vms", &vms).await;
    }

    /// Sets the faults of the platform.
    pub async fn set_faults(&self, faults: &Faults) {
        put(self.address, "/standin/faults", faults).await;
    }

    /// Removes an object, even while faults reject all calls.
    pub async fn lapse(&self, kind: &str, name: &str) {
        post(self.address, &format!("/standin/lapse/{kind}/{name}")).await;
    }

    /// Makes the store forget its change history, so that watches can't resume.
    pub async fn forget(&self) {
        post(self.address, "/standin/forget").await;
    }

    /// Saves the objects for [`restore`](Self::restore).
    pub async fn save(&self) {
        post(self.address, "/standin/save").await;
    }

    /// Restores the saved objects.
    pub async fn restore(&self) {
        post(self.address, "/standin/restore").await;
    }

    /// Returns the number of calls by kind.
    pub async fn counts(&self) -> std::collections::BTreeMap<String, u64> {
        get(self.address, "/standin/counts").await
    }

    /// Returns a service's table document as the platform stores it.
    pub async fn doc(&self, service: &str) -> Option<ServiceDoc> {
        let client = client();
        let path = leverstream_platform::objects::object_path("table", Some(service));
        let url = format!("http://{}{path}", self.address);
        let mut response = client.get(url).send().await.ok()?;
        let object: leverstream_platform::objects::Object = response.json().await.ok()?;
        serde_json::from_value(object.spec).ok()
    }
}

impl Backend {
    /// Starts a stand-in backend server with a number of slots.
    pub fn start(name: &str, slots: usize) -> Backend {
        let slots = slots.to_string();
        let args = ["backend", "--name", name, "--slots", &slots];
        let process = Process::start("standin", &args, false);
        let address = process.wait_for_line("").parse().expect("the program prints its address");
        Backend { address, process }
    }

    /// Sets how it behaves.
    pub async fn set_mode(&self, mode: &Mode) {
        put(self.address, "/standin/mode", mode).await;
    }

    /// Returns its request counts.
    pub async fn counts(&self) -> Counts {
        get(self.address, "/standin/counts").await
    }

    /// Returns how often a request with this idempotency key has started to run.
    pub async fn runs_of(&self, key: &str) -> u64 {
        self.counts().await.by_key.get(key).copied().unwrap_or(0)
    }
}

impl Daemon {
    /// Returns a service's table document as this daemon holds it.
    pub async fn doc(&self, service: &str) -> Option<ServiceDoc> {
        operator_get(self.operators, &format!("/v1/table/{service}")).await
    }

    /// Returns the fleet status as this daemon sees it.
    pub async fn status(&self) -> StatusReport {
        operator_get(self.operators, "/v1/status").await.expect("the daemon reports its status")
    }

    /// Returns the health of a service as this daemon sees it.
    pub async fn health(&self, service: &str) -> Option<HealthReport> {
        operator_get(self.operators, &format!("/v1/health/{service}")).await
    }

    /// Returns the value of a metric; the name has no `leverstream_` prefix.
    pub async fn metric(&self, name: &str) -> f64 {
        let url = format!("http://{}/metrics", self.operators);
        let mut response = client().get(url).send().await.expect("metrics are served");
        let body = response.body().limit(1 << 20).await.expect("the metrics can be read");
        let text = String::from_utf8_lossy(&body).into_owned();
        let line = text.lines().find(|line| line.starts_with(&format!("leverstream_{name} ")));
        let value = line.and_then(|line| line.split(' ').next_back()).and_then(|v| v.parse().ok());
        value.unwrap_or_else(|| panic!("no metric {name} in {text}"))
    }

    /// Submits an edit of the table and returns the status and body of the answer.
    pub async fn edit(&self, id: &str, who: &str, changes: &[Change]) -> (u16, Value) {
        let edit = json!({ "id": id, "who": who, "changes": changes });
        let url = format!("http://{}/v1/edits", self.operators);
        let request = client().post(url).insert_header(bearer());
        let mut response = request.send_json(&edit).await.expect("the edit is answered");
        let body = response.json().await.unwrap_or(Value::Null);
        (response.status().as_u16(), body)
    }

    /// Submits an edit that must be accepted and returns the new version.
    pub async fn must_edit(&self, changes: &[Change]) -> u64 {
        let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let id = format!("test-{}", since.as_nanos());
        let (status, body) = self.edit(&id, "test", changes).await;
        assert_eq!(status, 200, "{body}");
        body["version"].as_u64().expect("the answer names a version")
    }

    /// Creates a caller that asks this daemon where to connect.
    pub fn caller(&self, service: &str) -> Caller {
        Caller::new(vec![self.callers], service, None)
    }
}

impl Fleet {
    /// Starts a platform and one daemon per named hall, and waits until each daemon sees all others alive.
    pub async fn start(halls: &[&str]) -> Fleet {
        Fleet::start_with(halls, |_| {}).await
    }

    /// Like [`start`](Self::start), with a function that changes each daemon's options first.
    pub async fn start_with(halls: &[&str], set: impl Fn(&mut DaemonOptions)) -> Fleet {
        let mut fleet = Fleet::empty();
        for hall in halls {
            let mut options = DaemonOptions::new(hall, fleet.platform.address);
            set(&mut options);
            fleet.add(&options);
        }
        fleet.list_daemons().await;
        fleet.wait_until_all_alive().await;
        fleet
    }

    /// Starts a platform without daemons.
    pub fn empty() -> Fleet {
        let folder = TempDir::new().expect("a temporary directory can be created");
        Fleet { platform: Platform::start(), daemons: Vec::new(), folder }
    }

    /// Starts a daemon, adds it to the fleet and returns its index, without waiting for the others to see it.
    pub fn add(&mut self, options: &DaemonOptions) -> usize {
        let daemon = self.start_daemon(options);
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Starts a daemon without adding it to [`daemons`](Self::daemons).
    pub fn start_daemon(&self, options: &DaemonOptions) -> Daemon {
        let vm = format!("vm-{}", self.daemons.len());
        let unique = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos();
        let file = self.folder.path().join(format!("{vm}-{unique}.toml"));
        std::fs::write(&file, options.to_toml(&vm)).expect("settings are written");
        let process = Process::start("leverstreamd", &["run", &file.display().to_string()], true);
        let address = |what: &str| {
            let line = process.wait_for_line(&format!("listens for {what} on "));
            line.parse().expect("the daemon logs its address")
        };
        let (callers, peers, operators) =
            (address("callers"), address("peers"), address("operators"));
        Daemon { callers, peers, operators, process }
    }

    /// Writes all daemons to the platform's list of VMs.
    pub async fn list_daemons(&self) {
        self.list_daemons_with_leaving(&[]).await;
    }

    /// Writes all daemons to the platform's list of VMs, and a leaving VM with the given backend servers.
    pub async fn list_daemons_with_leaving(&self, leaving: &[SocketAddr]) {
        let peers: Vec<SocketAddr> = self.daemons.iter().map(|daemon| daemon.peers).collect();
        self.platform.set_vms(&peers, leaving).await;
    }

    /// Waits until every daemon sees all daemons of the fleet alive.
    pub async fn wait_until_all_alive(&self) {
        let expected = self.daemons.len();
        for daemon in &self.daemons {
            until("all members are seen alive", || async {
                let status = daemon.status().await;
                let alive = status.members.iter().filter(|member| member.state == "alive");
                (alive.count() == expected).then_some(())
            })
            .await;
        }
    }

    /// Adds a service with backend servers and waits until the edit is in force at every daemon.
    pub async fn add_service(&self, service: &str, row: Value, backends: &[(&str, SocketAddr)]) {
        let mut changes = vec![change(service, row)];
        for (name, address) in backends {
            let row = json!({ "address": address.to_string(), "slots": 4 });
            changes.push(change(&format!("{service}/{name}"), row));
        }
        let version = self.daemons[0].must_edit(&changes).await;
        self.wait_in_force(service, version).await;
    }

    /// Waits until a version, or a later one, is in force at every daemon.
    pub async fn wait_in_force(&self, service: &str, version: u64) {
        for daemon in &self.daemons {
            until("the version is in force", || async {
                let doc = daemon.doc(service).await?;
                (doc.version >= version).then_some(())
            })
            .await;
        }
    }

    /// Runs `leverctl` against a daemon and returns its exit code and output.
    pub async fn leverctl(&self, daemon: usize, args: &[&str]) -> (i32, String) {
        leverctl(self.daemons[daemon].operators, args).await
    }

    /// Returns the fleet's temporary directory, which a test may write to.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

/// Runs `leverctl` against an operators' listener and returns its exit code and output.
pub async fn leverctl(operators: SocketAddr, args: &[&str]) -> (i32, String) {
    let mut all = vec!["--at".to_owned(), operators.to_string()];
    all.extend(["--key".to_owned(), OPERATOR_KEY.to_owned()]);
    all.extend(args.iter().map(|arg| (*arg).to_owned()));
    let run = move || {
        std::process::Command::new(bin("leverctl")).args(all).output().expect("leverctl runs")
    };
    let output = tokio::task::spawn_blocking(run).await.expect("leverctl exits");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code().unwrap_or(-1), text)
}

/// Creates an unconditional change of a cell or row.
pub fn change(cell: &str, to: Value) -> Change {
    Change { cell: cell.parse::<Cell>().expect("the cell's name is valid"), was: None, to }
}

/// Creates an HTTP client with the timeout of a test call.
fn client() -> awc::Client {
    awc::Client::builder()
        .timeout(Duration::from_millis(CALL_TIMEOUT_MS))
        .disable_redirects()
        .finish()
}

/// Returns the authorization header with the operator key.
fn bearer() -> (&'static str, String) {
    ("authorization", format!("Bearer {OPERATOR_KEY}"))
}

/// Gets JSON from a stand-in.
async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let mut response =
        client().get(format!("http://{address}{path}")).send().await.expect("the stand-in answers");
    response.json().await.expect("the stand-in answers with JSON")
}

/// Gets JSON from a daemon's operator listener; returns `None` if there is no valid answer.
async fn operator_get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let request = client().get(format!("http://{address}{path}")).insert_header(bearer());
    let mut response = request.send().await.ok()?;
    let body = response.body().limit(16 << 20).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Puts JSON to a stand-in.
async fn put<T: serde::Serialize>(address: SocketAddr, path: &str, value: &T) {
    let request = client().put(format!("http://{address}{path}"));
    let response = request.send_json(value).await.expect("the stand-in answers");
    assert!(response.status().is_success());
}

/// Sends an empty POST request to a stand-in.
async fn post(address: SocketAddr, path: &str) {
    let response = client()
        .post(format!("http://{address}{path}"))
        .send()
        .await
        .expect("the stand-in answers");
    assert!(response.status().is_success());
}
