//! A soak of planned stops: VMs stop and start in series that overlap, while callers read slowly, ask for large answers and use
//! their connections until the process is gone. Judged is what callers got against what backend servers ran.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, Reply};
use leverstream_standin::platform::Faults as StoreFaults;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;

use super::Findings;
use crate::site::{Call, NON_REPEATABLE, REPEATABLE, Site, Vm};
use crate::slow_caller::{Received, SlowCaller};

/// The settings of the VMs: all take callers, with bounded memory.
const SETTINGS: &str = "[memory]\nlimit_mb = 160\n[entry]\nvms_a_hall = 4\nanswer_holds_ms = 500\n";

/// The number of VMs of most seeds.
const VMS: usize = 4;

/// One seed in so many has a large fleet.
const LARGE_FLEET_PERIOD: u64 = 10;

/// The number of VMs of a large fleet, whose processes a test machine still bears.
const LARGE_FLEET_VMS: usize = 24;

/// The number of backend servers.
const ORIGINS: usize = 4;

/// The number of callers for each VM.
const CALLERS_PER_VM: u64 = 4;

/// The time after which a VM that is being stopped is killed, as in its settings.
const GRACE: Duration = Duration::from_secs(6);

/// The time after the signal from which a stop may cut answers that are still being read: the grace period less what the VM
/// leaves unused of it, and less the longest pause.
const MAY_CUT_AFTER: Duration = Duration::from_millis(5_000);

/// The longest pause of a VM, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;

/// The time after which a caller gives up a request.
const CALLER_LIMIT: Duration = Duration::from_secs(15);

/// The result of one request of a caller.
struct StopResult {
    /// The request id.
    id: String,
    /// The VM that it was sent to.
    vm: SocketAddr,
    /// When it ended.
    ended_at: Instant,
    /// What arrived of the answer, if its head did.
    received: Option<Received>,
}

/// What callers share.
struct Shared {
    /// Whether they go on.
    is_running: Cell<bool>,
    /// The results of all requests.
    results: RefCell<Vec<StopResult>>,
}

/// A VM that stops.
struct Stopping {
    /// Its index.
    vm: usize,
    /// When it got the signal.
    signalled: Instant,
}

/// A fleet under this soak.
struct Stops {
    /// The fleet.
    site: Site,
    /// The VMs that stop now.
    stopping: Vec<Stopping>,
    /// All stops, by the address of the VM for callers.
    stops: Vec<(SocketAddr, Instant)>,
    /// The source of all random decisions.
    rng: StdRng,
    /// When it started.
    started: Instant,
    /// The injected faults.
    events: Vec<String>,
    /// Guarantees violated while it ran.
    violations: Vec<String>,
}

/// Runs the soak of a seed for a duration and returns its result.
pub async fn soak_stops(seed: u64, duration: Duration) -> Findings {
    let vms = if seed.is_multiple_of(LARGE_FLEET_PERIOD) { LARGE_FLEET_VMS } else { VMS };
    let site = Site::start_with_settings(vms, ORIGINS, SETTINGS).await;
    site.set_all_replies(Reply::After(40));
    let shared = Rc::new(Shared { is_running: Cell::new(true), results: RefCell::default() });
    let addresses: Vec<SocketAddr> = site.vms.iter().map(Vm::callers).collect();
    let callers: Vec<_> = (0..CALLERS_PER_VM * vms as u64)
        .map(|number| {
            let rng = StdRng::seed_from_u64(seed * 1_000 + number);
            actix_rt::spawn(run_caller(Rc::clone(&shared), addresses.clone(), rng))
        })
        .collect();
    let mut stops = Stops {
        site,
        stopping: Vec::new(),
        stops: Vec::new(),
        rng: StdRng::seed_from_u64(seed),
        started: Instant::now(),
        events: Vec::new(),
        violations: Vec::new(),
    };
    while stops.started.elapsed() < duration {
        stops.inject_random().await;
        stops.restart_stopped();
        let pause_ms = stops.rng.random_range(20..300);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    shared.is_running.set(false);
    stops.end().await;
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    stops.evaluate(&shared.results.borrow())
}

impl Stops {
    /// Injects one random event.
    async fn inject_random(&mut self) {
        let vm = self.rng.random_range(0..self.site.vms.len());
        match self.rng.random_range(0..10) {
            0..=3 => self.stop(vm),
            4 | 5 => {
                (0..3).for_each(|_| self.site.vms[vm].signal(Signal::HUP));
                self.log_event(&format!("VM {vm} reloads its settings three times"));
            }
            6 => self.pause(vm).await,
            7 => {
                let version = self.site.catalog.version + 1;
                self.site.platform.set_faults(&StoreFaults::default()).await;
                self.site.put_catalog(version).await;
                self.log_event(&format!("configuration version {version} is written"));
            }
            8 => {
                let work_ms = *[5, 40, 150, 400].choose(&mut self.rng).expect("there are times");
                self.site.set_all_replies(Reply::After(work_ms));
                self.log_event(&format!("requests take {work_ms} ms"));
            }
            _ => {
                let away = self.rng.random_bool(0.5);
                self.site
                    .platform
                    .set_faults(&StoreFaults { away, ..StoreFaults::default() })
                    .await;
                self.log_event(&format!("the store is away: {away}"));
            }
        }
    }

    /// Tells a VM to stop, also again; the others go on.
    fn stop(&mut self, vm: usize) {
        self.site.vms[vm].signal(Signal::TERM);
        if self.stopping.iter().any(|stopping| stopping.vm == vm) {
            self.log_event(&format!("VM {vm} is told again to stop"));
            return;
        }
        let signalled = Instant::now();
        self.stopping.push(Stopping { vm, signalled });
        self.stops.push((self.site.vms[vm].callers(), signalled));
        self.log_event(&format!("VM {vm} is told to stop"));
    }

    /// Pauses a VM's process for a short time.
    async fn pause(&mut self, vm: usize) {
        let pause_ms = self.rng.random_range(50..MAX_PAUSE_MS);
        self.log_event(&format!("VM {vm} is paused for {pause_ms} ms"));
        self.site.vms[vm].signal(Signal::STOP);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        self.site.vms[vm].signal(Signal::CONT);
    }

    /// Starts VMs again that have left; kills those whose grace period is over.
    fn restart_stopped(&mut self) {
        for stopping in std::mem::take(&mut self.stopping) {
            let Stopping { vm, signalled } = stopping;
            match self.site.vms[vm].process.try_exit_code() {
                Some(Some(0)) => {}
                Some(code) => self.violations.push(format!("VM {vm} ended with {code:?}")),
                None if signalled.elapsed() < GRACE => {
                    self.stopping.push(stopping);
                    continue;
                }
                None => self.violations.push(format!("VM {vm} was killed after its grace period")),
            }
            self.site.vms[vm].restart();
            self.log_event(&format!("VM {vm} starts again"));
        }
    }

    /// Waits until no VM stops any more.
    async fn end(&mut self) {
        self.site.platform.set_faults(&StoreFaults::default()).await;
        self.site.set_all_replies(Reply::After(20));
        while !self.stopping.is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.restart_stopped();
        }
    }

    /// Appends a line to the log of events.
    fn log_event(&mut self, what: &str) {
        self.events.push(format!("{:>6} ms: {what}", self.started.elapsed().as_millis()));
    }

    /// Tells whether the end of a stop's grace period may have cut an answer.
    fn may_be_cut(&self, result: &StopResult) -> bool {
        self.stops.iter().any(|(vm, signalled)| {
            *vm == result.vm
                && result.ended_at >= *signalled + MAY_CUT_AFTER
                && result.ended_at <= *signalled + GRACE + Duration::from_secs(1)
        })
    }

    /// Checks what callers got against what backend servers ran.
    fn evaluate(mut self, results: &[StopResult]) -> Findings {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for seen in self.site.origins.iter().flat_map(Origin::requests).filter(|seen| seen.ran) {
            let id = seen.field(headers::REQUEST_ID).unwrap_or_default();
            *runs.entry(id.to_owned()).or_default() += 1;
        }
        let mut cut_late = 0;
        for result in results {
            let ran = runs.get(&result.id).copied().unwrap_or(0);
            let is_whole = result.received.is_some_and(|received| received.is_whole());
            if is_whole || ran == 0 {
                continue;
            }
            if self.may_be_cut(result) {
                cut_late += 1;
                continue;
            }
            let (id, vm, received) = (&result.id, result.vm, result.received);
            let at_ms = result.ended_at.duration_since(self.started).as_millis();
            let text = format!("{id} at {vm} ran {ran} times and got {received:?} at {at_ms} ms");
            self.violations.push(text);
        }
        self.events.push(format!("{cut_late} answers were cut at the end of grace periods"));
        let is_served = |result: &&StopResult| {
            result.received.is_some_and(|received| received.status == 200 && received.is_whole())
        };
        let served = results.iter().filter(is_served).count();
        let (violations, events) = (self.violations, self.events);
        Findings { violations, served, requests: results.len(), events }
    }
}

/// Sends requests on one connection after the other, each until it ends.
async fn run_caller(shared: Rc<Shared>, addresses: Vec<SocketAddr>, mut rng: StdRng) {
    let is_slow = rng.random_bool(0.5);
    while shared.is_running.get() {
        let vm = *addresses.choose(&mut rng).expect("there are VMs");
        let Some(mut caller) = SlowCaller::try_connect(vm).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        while shared.is_running.get() {
            let bytes = draw_size(&mut rng, is_slow);
            let read_ms = if is_slow { rng.random_range(50..3_000) } else { 0 };
            let prefix = if rng.random_bool(0.5) { NON_REPEATABLE } else { REPEATABLE };
            let call = Call::new(&format!("{prefix}?answer_bytes={bytes}"));
            let is_sent = caller.try_send(&call.bytes()).await;
            let reading = caller.read(bytes, Duration::from_millis(read_ms));
            let received = match is_sent {
                true => tokio::time::timeout(CALLER_LIMIT, reading).await.unwrap_or(None),
                false => None,
            };
            let ended_at = Instant::now();
            shared.results.borrow_mut().push(StopResult { id: call.id, vm, ended_at, received });
            if !received.is_some_and(|received| received.is_whole()) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..30))).await;
        }
    }
}

/// Draws the size of an answer in bytes.
fn draw_size(rng: &mut StdRng, is_slow: bool) -> usize {
    match rng.random_range(0..3) {
        0 => rng.random_range(50..2_000),
        1 => rng.random_range(20_000..300_000),
        _ if is_slow => rng.random_range(300_000..3_000_000),
        _ => rng.random_range(50..500),
    }
}
