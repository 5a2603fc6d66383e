//! A scenario in which one request crashes every backend server that receives it. Callers repeat it at all VMs in turn,
//! among ordinary requests.
//!
//! The check counts only sends from undisturbed VMs: neither the VM nor the store had a fault for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use crate::fault_injector::FaultInjector;
use crate::site::{Call, REPEATABLE, Site, backend, send};

/// How soon after the third crash, and after its last fault, a VM must stop sending the request.
const LEARN_LIMIT: Duration = Duration::from_millis(3_000);

/// The most sends of the request that are tolerated after that.
pub const MAX_LATE_SENDS: usize = 3;

/// The time after which a crashed backend server is back under another id.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// The interval at which the request is repeated.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// The part of the path that marks the request that crashes backend servers.
const CRASH_MARKER: &str = "ends-them";

/// A fleet that receives the request.
pub struct CrashScenario {
    /// The fleet.
    site: Site,
    /// Backend servers that have crashed and were replaced.
    crashed: Vec<Origin>,
    /// Injects faults into VMs and the store.
    fault_injector: FaultInjector,
    /// The number of restarts of backend servers.
    restarts: usize,
    /// The index of the VM that each send of the request went to, by request id.
    vm_by_request_id: HashMap<String, usize>,
    /// Tasks of the ordinary requests; each returns whether its request was served.
    ordinary_requests: Vec<JoinHandle<bool>>,
    /// The most backend servers that were down at the same time.
    max_down: usize,
}

/// What the check of the scenario measured.
#[derive(Debug)]
pub struct Outcome {
    /// How often the request reached a backend server.
    pub sends: usize,
    /// How often it was sent by an undisturbed VM more than `LEARN_LIMIT` after the third crash.
    pub late_sends: usize,
    /// The number of crashes of backend servers.
    pub crash_count: usize,
    /// The most backend servers that were down at the same time.
    pub max_down: usize,
    /// The share of ordinary requests answered with status 200.
    pub served: f64,
}

impl CrashScenario {
    /// Starts a fleet.
    pub async fn start(vms: usize, origins: usize) -> CrashScenario {
        let site = Site::start(vms, origins).await;
        site.origins.iter().for_each(prepare);
        CrashScenario {
            site,
            crashed: Vec::new(),
            fault_injector: FaultInjector::new(vms),
            restarts: 0,
            vm_by_request_id: HashMap::new(),
            ordinary_requests: Vec::new(),
            max_down: 0,
        }
    }

    /// Repeats the request below a path prefix for a duration, at all VMs in turn, with as many ordinary requests.
    pub async fn run(&mut self, path: &str, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.send_requests(path);
            tokio::time::sleep(REQUEST_INTERVAL).await;
            self.fault_injector.end_due_faults(&mut self.site);
            let down = self.site.origins.iter().filter(|origin| origin.ended_at().is_some());
            self.max_down = self.max_down.max(down.count());
            self.replace_crashed().await;
        }
    }

    /// Repeats the request while VMs and the store have random, overlapping faults, drawn from a seed.
    pub async fn run_with_faults(&mut self, seed: u64, path: &str, duration: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.fault_injector.inject_random(&mut self.site, &mut rng).await;
            let pause = Duration::from_millis(rng.random_range(100..1_500));
            self.run(path, pause).await;
        }
        self.fault_injector.end_store_outage(&self.site).await;
    }

    /// Returns the log of the injected faults, in order.
    pub fn events(&self) -> &[String] {
        &self.fault_injector.events
    }

    /// Kills all VMs, then restarts them.
    pub fn kill_all(&mut self) {
        self.fault_injector.kill_all(&mut self.site);
    }

    /// Evaluates the requests that backend servers received against the faults of the VMs and the store.
    pub async fn evaluate(mut self) -> Outcome {
        let origins: Vec<&Origin> = self.crashed.iter().chain(&self.site.origins).collect();
        let mut crashes: Vec<Instant> =
            origins.iter().filter_map(|origin| origin.ended_at()).collect();
        crashes.sort();
        let seen = origins.iter().flat_map(|origin| origin.requests());
        let sends: Vec<(Instant, usize)> = seen
            .filter(|seen| seen.ran && seen.line.contains(CRASH_MARKER))
            .map(|seen| {
                (
                    seen.at,
                    self.vm_by_request_id[seen.field(headers::REQUEST_ID).unwrap_or_default()],
                )
            })
            .collect();
        let learned_by = crashes.get(2).map(|third| *third + LEARN_LIMIT);
        let is_late_send = |(at, vm): &&(Instant, usize)| {
            learned_by.is_some_and(|learned_by| *at > learned_by)
                && self.fault_injector.was_undisturbed(*vm, *at, LEARN_LIMIT)
        };
        let late_sends = sends.iter().filter(is_late_send).count();
        let (sends, crash_count, count) =
            (sends.len(), crashes.len(), self.ordinary_requests.len());
        let mut served = 0;
        for ordinary in std::mem::take(&mut self.ordinary_requests) {
            served += usize::from(ordinary.await.unwrap_or(false));
        }
        Outcome {
            sends,
            late_sends,
            crash_count,
            max_down: self.max_down,
            served: served as f64 / count as f64,
        }
    }

    /// Sends the crashing request and an ordinary one to the next VM.
    fn send_requests(&mut self, path: &str) {
        let number = self.vm_by_request_id.len();
        let vm = number % self.site.vms.len();
        let to = self.site.vms[vm].callers();
        let crashing = Call::new(&format!("{path}{CRASH_MARKER}"));
        self.vm_by_request_id.insert(crashing.id.clone(), vm);
        // The answer to the crashing request doesn't matter.
        actix_rt::spawn(async move { send(to, &crashing.bytes()).await });
        let ordinary = Call::new(&format!("{REPEATABLE}other-{number}"));
        self.ordinary_requests.push(actix_rt::spawn(async move {
            let answer = send(to, &ordinary.bytes()).await;
            answer.is_ok_and(|answer| answer.status == 200)
        }));
    }

    /// Replaces backend servers that crashed at least `RESTART_DELAY` ago, unless the store has an outage.
    async fn replace_crashed(&mut self) {
        let is_due =
            |origin: &Origin| origin.ended_at().is_some_and(|at| at.elapsed() >= RESTART_DELAY);
        while let Some(index) = self.site.origins.iter().position(is_due) {
            if self.fault_injector.has_store_outage() {
                return;
            }
            let ended = self.site.origins.remove(index);
            self.site.unlist_backend(&ended.instance()).await;
            let back = self.restart_origin(ended.address).await;
            self.crashed.push(ended);
            self.site.origins.push(back);
        }
    }

    /// Starts a backend server at the address of a crashed one, under a new id.
    async fn restart_origin(&mut self, address: SocketAddr) -> Origin {
        self.restarts += 1;
        let instance = format!("i-again-{}", self.restarts);
        let origin = Origin::bind(address, &instance).await.expect("its port is free");
        prepare(&origin);
        self.site.list_backend(&backend(&instance, address)).await;
        origin
    }
}

/// Sets a backend server's reply and makes it crash when it receives the request.
fn prepare(origin: &Origin) {
    origin.set(Reply::After(20));
    origin.end_on_request(CRASH_MARKER);
}
