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

/// The operators' key of all daemons under test.
pub const OPERATOR_KEY: &str = "operators-test-key";

/// The fleet's key of all daemons under test.
const FLEET_KEY: &str = "fleet-test-key-for-peers";

/// How long one call of a test may take.
const CALL_MS: u64 = 20_000;

/// A fleet under test with its platform.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Where settings files are written.
    folder: TempDir,
}

/// A platform under test.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A backend server under test.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A daemon under test.
pub struct Daemon {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other VMs connect.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// The process.
    pub process: Process,
}

/// How a daemon under test is set up.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// The hall.
    pub hall: String,
    /// Where the platform is.
    pub platform: SocketAddr,
    /// Where it listens for callers.
    pub callers_listen: SocketAddr,
    /// Where it listens for other VMs.
    pub peers_listen: SocketAddr,
    /// The address that other VMs are told, such as a faulty relay's.
    pub peers_advertise: Option<SocketAddr>,
    /// The address that callers and other VMs are told for requests.
    pub callers_advertise: Option<SocketAddr>,
    /// Peers to try first.
    pub seeds: Vec<SocketAddr>,
    /// How long a ticket holds.
    pub ticket_ttl_ms: u64,
    /// How long an answer to where to connect holds.
    pub answer_holds_ms: u64,
    /// The time between two pings; the other times of the peers follow from it.
    pub ping_period_ms: u64,
    /// Further lines of the settings file.
    pub more: String,
}

impl DaemonOptions {
    /// Options for a hall, with short times.
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
            more: String::new(),
        }
    }

    /// Writes the settings file.
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
            self.more,
        )
    }
}

impl Platform {
    /// Starts a platform.
    pub fn start() -> Platform {
        let process = Process::start("standin", &["platform"], false);
        let address = process.wait_for_line("").parse().expect("it prints its address");
        Platform { address, process }
    }

    /// Sets the list of VMs: the fleet's, all live, and one that leaves with its backend servers.
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

    /// Sets the faults.
    pub async fn set_faults(&self, faults: &Faults) {
        put(self.address, "/standin/faults", faults).await;
    }

    /// Takes an object away, whatever faults are in force.
    pub async fn lapse(&self, kind: &str, name: &str) {
        post(self.address, &format!("/standin/lapse/{kind}/{name}")).await;
    }

    /// Has the store forget its history.
    pub async fn forget(&self) {
        post(self.address, "/standin/forget").await;
    }

    /// Remembers the objects for [`restore`](Self::restore).
    pub async fn save(&self) {
        post(self.address, "/standin/save").await;
    }

    /// Goes back to the saved objects.
    pub async fn restore(&self) {
        post(self.address, "/standin/restore").await;
    }

    /// The counts of calls.
    pub async fn counts(&self) -> std::collections::BTreeMap<String, u64> {
        get(self.address, "/standin/counts").await
    }

    /// The table's document of a service, as the platform holds it.
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
    /// Starts a backend server with some slots.
    pub fn start(name: &str, slots: usize) -> Backend {
        let slots = slots.to_string();
        let args = ["backend", "--name", name, "--slots", &slots];
        let process = Process::start("standin", &args, false);
        let address = process.wait_for_line("").parse().expect("it prints its address");
        Backend { address, process }
    }

    /// Sets the behaviour.
    pub async fn set_mode(&self, mode: &Mode) {
        put(self.address, "/standin/mode", mode).await;
    }

    /// What it has done.
    pub async fn counts(&self) -> Counts {
        get(self.address, "/standin/counts").await
    }

    /// How often the work of a key has begun to run.
    pub async fn runs_of(&self, key: &str) -> u64 {
        self.counts().await.by_key.get(key).copied().unwrap_or(0)
    }
}

impl Daemon {
    /// The table's document of a service, as this daemon holds it.
    pub async fn doc(&self, service: &str) -> Option<ServiceDoc> {
        operator_get(self.operators, &format!("/v1/table/{service}")).await
    }

    /// The state of the fleet, as this daemon sees it.
    pub async fn status(&self) -> StatusReport {
        operator_get(self.operators, "/v1/status").await.expect("the daemon reports")
    }

    /// The health of a service, as this daemon sees it.
    pub async fn health(&self, service: &str) -> Option<HealthReport> {
        operator_get(self.operators, &format!("/v1/health/{service}")).await
    }

    /// The value of a metric.
    pub async fn metric(&self, name: &str) -> f64 {
        let url = format!("http://{}/metrics", self.operators);
        let mut response = client().get(url).send().await.expect("metrics are served");
        let body = response.body().limit(1 << 20).await.expect("metrics are read");
        let text = String::from_utf8_lossy(&body).into_owned();
        let line = text.lines().find(|line| line.starts_with(&format!("leverstream_{name} ")));
        let value = line.and_then(|line| line.split(' ').next_back()).and_then(|v| v.parse().ok());
        value.unwrap_or_else(|| panic!("no metric {name} in {text}"))
    }

    /// Makes an edit and returns the status and the answer.
    pub async fn edit(&self, id: &str, who: &str, changes: &[Change]) -> (u16, Value) {
        let edit = json!({ "id": id, "who": who, "changes": changes });
        let url = format!("http://{}/v1/edits", self.operators);
        let request = client().post(url).insert_header(bearer());
        let mut response = request.send_json(&edit).await.expect("the edit is answered");
        let body = response.json().await.unwrap_or(Value::Null);
        (response.status().as_u16(), body)
    }

    /// Makes an edit that must be accepted.
    pub async fn must_edit(&self, changes: &[Change]) -> u64 {
        let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let id = format!("test-{}", since.as_nanos());
        let (status, body) = self.edit(&id, "test", changes).await;
        assert_eq!(status, 200, "{body}");
        body["version"].as_u64().expect("a version")
    }

    /// A caller that asks this daemon.
    pub fn caller(&self, service: &str) -> Caller {
        Caller::new(vec![self.callers], service, None)
    }
}

impl Fleet {
    /// Starts a platform and a daemon in each of the named halls, and waits until all know all.
    pub async fn start(halls: &[&str]) -> Fleet {
        Fleet::start_with(halls, |_| {}).await
    }

    /// Starts a fleet whose daemons' options are changed before they start.
    pub async fn start_with(halls: &[&str], set: impl Fn(&mut DaemonOptions)) -> Fleet {
        let mut fleet = Fleet::empty();
        for hall in halls {
            let mut options = DaemonOptions::new(hall, fleet.platform.address);
            set(&mut options);
            fleet.add(&options);
        }
        fleet.list_all().await;
        fleet.settle().await;
        fleet
    }

    /// Starts a platform without daemons.
    pub fn empty() -> Fleet {
        let folder = TempDir::new().expect("a folder for settings");
        Fleet { platform: Platform::start(), daemons: Vec::new(), folder }
    }

    /// Adds a daemon without waiting for the others to know it.
    pub fn add(&mut self, options: &DaemonOptions) -> usize {
        let daemon = self.launch(options);
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Starts a daemon that is not kept with the others.
    pub fn launch(&self, options: &DaemonOptions) -> Daemon {
        let vm = format!("vm-{}", self.daemons.len());
        let unique = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos();
        let file = self.folder.path().join(format!("{vm}-{unique}.toml"));
        std::fs::write(&file, options.to_toml(&vm)).expect("settings are written");
        let process = Process::start("leverstreamd", &["run", &file.display().to_string()], true);
        let address = |what: &str| {
            let line = process.wait_for_line(&format!("listens for {what} on "));
            line.parse().expect("it logs its address")
        };
        let (callers, peers, operators) =
            (address("callers"), address("peers"), address("operators"));
        Daemon { callers, peers, operators, process }
    }

    /// Puts all daemons in the platform's list.
    pub async fn list_all(&self) {
        self.list_all_leaving(&[]).await;
    }

    /// Puts all daemons in the platform's list, and backend servers on a VM that leaves.
    pub async fn list_all_leaving(&self, leaving: &[SocketAddr]) {
        let peers: Vec<SocketAddr> = self.daemons.iter().map(|daemon| daemon.peers).collect();
        self.platform.set_vms(&peers, leaving).await;
    }

    /// Waits until every daemon knows all others alive.
    pub async fn settle(&self) {
        let wanted = self.daemons.len();
        for daemon in &self.daemons {
            until("all members are known", || async {
                let status = daemon.status().await;
                let alive = status.members.iter().filter(|member| member.state == "alive");
                (alive.count() == wanted).then_some(())
            })
            .await;
        }
    }

    /// Adds a service with backend servers and waits until every daemon has it in force.
    pub async fn add_service(&self, service: &str, row: Value, backends: &[(&str, SocketAddr)]) {
        let mut changes = vec![change(service, row)];
        for (name, address) in backends {
            let row = json!({ "address": address.to_string(), "slots": 4 });
            changes.push(change(&format!("{service}/{name}"), row));
        }
        let version = self.daemons[0].must_edit(&changes).await;
        self.wait_in_force(service, version).await;
    }

    /// Waits until every daemon has a version in force.
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
        let at = self.daemons[daemon].operators.to_string();
        let mut all = vec!["--at".to_owned(), at, "--key".to_owned(), OPERATOR_KEY.to_owned()];
        all.extend(args.iter().map(|arg| (*arg).to_owned()));
        let run = move || {
            std::process::Command::new(bin("leverctl")).args(all).output().expect("leverctl runs")
        };
        let output = tokio::task::spawn_blocking(run).await.expect("leverctl ends");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        (output.status.code().unwrap_or(-1), text)
    }

    /// The folder for files of a test.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

/// A change of a cell or row.
pub fn change(cell: &str, to: Value) -> Change {
    Change { cell: cell.parse::<Cell>().expect("a cell"), was: None, to }
}

/// An HTTP client with patience.
fn client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_millis(CALL_MS)).disable_redirects().finish()
}

/// The header that shows the operators' key.
fn bearer() -> (&'static str, String) {
    ("authorization", format!("Bearer {OPERATOR_KEY}"))
}

/// Reads JSON from a stand-in.
async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let mut response =
        client().get(format!("http://{address}{path}")).send().await.expect("it answers");
    response.json().await.expect("it answers with JSON")
}

/// Reads JSON from a daemon, if it answers well.
async fn operator_get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let request = client().get(format!("http://{address}{path}")).insert_header(bearer());
    let mut response = request.send().await.ok()?;
    let body = response.body().limit(16 << 20).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Writes JSON to a stand-in.
async fn put<T: serde::Serialize>(address: SocketAddr, path: &str, value: &T) {
    let request = client().put(format!("http://{address}{path}"));
    let response = request.send_json(value).await.expect("it answers");
    assert!(response.status().is_success());
}

/// Posts to a stand-in.
async fn post(address: SocketAddr, path: &str) {
    let response =
        client().post(format!("http://{address}{path}")).send().await.expect("it answers");
    assert!(response.status().is_success());
}
