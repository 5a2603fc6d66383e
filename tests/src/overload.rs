//! A scenario of overload: workspaces flood in several ranks, a whole service sheds most of its requests for some seconds,
//! callers are slow, and backend servers answer before they have read a body, or read it slowly. Meanwhile VMs and the store
//! have faults and links are cut.
//!
//! The checks use what callers and backend servers saw.

mod checks;
mod slow_callers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use leverstream_platform::standin::KeyedWorkspace;
use leverstream_standin::origin::{Origin, ReceivedRequest, Reply};
use leverstream_standin::relay::{Faults, Relay};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use crate::fault_injector::FaultInjector;
use crate::ranked::{self, RANKS, RankedResult, send_ranked, served_shares};
use crate::site::{BY_RANK, Site, backend};
use crate::soak::random_path_faults;
use slow_callers::SlowCaller;

/// The number of VMs, which all take callers.
const VMS: usize = 4;

/// The number of backend servers.
const ORIGINS: usize = 6;

/// How long a backend server works on a request.
const WORK_MS: u64 = 20;

/// The workspaces that flood by turns.
const FLOODING: [&str; 2] = ["club-0", "club-1"];

/// Their rate, which their usual requests don't use up.
const RATE_PER_S: f64 = 40.0;

/// The usual requests of a workspace in each rank, per second. With half as many, the difference of the compared shares of a
/// run of 8 s had a standard deviation of 7.7 percentage points over 52 seeds.
const USUAL_PER_S: f64 = 12.0;

/// The requests per second that a flood adds in its rank.
const FLOOD_PER_S: f64 = 140.0;

/// A workspace without a limit and without floods.
const STEADY: &str = "steady";

/// The workspace of the slow callers, without a limit.
const SLOW: &str = "slow";

/// The interval at which requests are sent.
const TICK: Duration = Duration::from_millis(10);

/// The average number of slow callers that start per second.
const SLOW_CALLERS_PER_S: f64 = 8.0;

/// How long after the last answer requests that were answered as not run are watched for running anyway.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// How much less often the most urgent rank may be served than the last one, as a share of requests.
pub const MAX_URGENT_LAG: f64 = 0.05;

/// A fleet under overload.
pub struct OverloadScenario {
    /// The fleet.
    site: Site,
    /// The relay from each VM to the store.
    store_relays: Vec<Relay>,
    /// The relay to each backend server.
    origin_relays: Vec<Relay>,
    /// Injects faults into VMs and the store.
    fault_injector: FaultInjector,
    /// The workspaces.
    workspaces: Vec<KeyedWorkspace>,
    /// The source of random faults and replies. Floods, shedding and requests have their own sources, because how many of these
    /// come between two faults depends on timing, and a seed has to repeat its faults.
    rng: StdRng,
    /// The source of random floods.
    flood_rng: StdRng,
    /// The source of random times of shedding.
    shedding_rng: StdRng,
    /// The source of random requests.
    request_rng: StdRng,
    /// The reply of each backend server while the service doesn't shed.
    replies: Vec<Reply>,
    /// When the service starts to shed next, and when it ends.
    shedding: (Instant, Instant),
    /// Whether the service sheds.
    is_shedding: bool,
    /// The current flood.
    flood: Flood,
    /// The number of floods so far.
    flood_count: usize,
    /// All requests.
    sent: Vec<JoinHandle<Sent>>,
    /// When the scenario started.
    started: Instant,
}

/// A workspace's flood in one rank.
#[derive(Clone, Copy, Debug)]
struct Flood {
    /// The index of the workspace in [`FLOODING`].
    workspace: usize,
    /// The rank.
    rank: usize,
    /// When it ends.
    until: Instant,
}

/// A request with the circumstances in which it was sent.
struct Sent {
    /// Its result.
    result: RankedResult,
    /// The number of the flood of its workspace during which it was sent, if any.
    flood: Option<usize>,
    /// Whether its caller is a slow one.
    is_slow: bool,
    /// Whether its caller disconnected in the middle of its body.
    breaks_off: bool,
}

/// What the checks of the scenario found.
#[derive(Debug)]
pub struct Outcome {
    /// Violated guarantees, each with its evidence.
    pub violations: Vec<String>,
    /// The number of requests.
    pub requests: usize,
    /// The number of requests per status, 0 without a complete answer.
    pub statuses: BTreeMap<u16, usize>,
    /// The number of requests of slow callers per status.
    pub slow_statuses: BTreeMap<u16, usize>,
    /// The share of requests served in each rank while their workspace flooded.
    pub flood_shares: [f64; RANKS],
    /// How much less often the most urgent rank was served than the last one while its workspace flooded.
    pub urgent_lag: f64,
}

impl OverloadScenario {
    /// Starts a fleet, with a relay on every path to the store and to a backend server.
    pub async fn start(seed: u64) -> OverloadScenario {
        let mut site = Site::start_with_settings(0, 0, BY_RANK).await;
        let (mut origin_relays, mut store_relays) = (Vec::new(), Vec::new());
        for number in 0..ORIGINS {
            let instance = format!("i-{number}");
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let origin = Origin::bind(address, &instance).await.expect("a port is free");
            let relay = Relay::spawn(origin.address).await.expect("a port is free");
            site.list_backend(&backend(&instance, relay.address)).await;
            site.origins.push(origin);
            origin_relays.push(relay);
        }
        for _ in 0..VMS {
            let relay = Relay::spawn(site.platform.address).await.expect("a port is free");
            site.add_vm_with_store(relay.address);
            store_relays.push(relay);
        }
        site.until_ready().await;
        let limited = FLOODING.map(|name| ranked::workspace(name, RATE_PER_S));
        let unlimited = [STEADY, SLOW].map(|name| ranked::workspace(name, 0.0));
        let workspaces: Vec<KeyedWorkspace> = limited.into_iter().chain(unlimited).collect();
        site.catalog = ranked::catalog(1);
        site.put_workspaces(2, &workspaces).await;
        let [rng, flood_rng, mut shedding_rng, request_rng] =
            std::array::from_fn(|number| StdRng::seed_from_u64(seed * 4 + number as u64));
        let started = Instant::now();
        let mut replies = vec![Reply::After(WORK_MS); ORIGINS];
        replies[0] = Reply::BeforeBody;
        replies[1] = Reply::ReadsSlowly(10);
        site.set_all_replies(Reply::After(WORK_MS));
        let shedding = random_shedding(started, &mut shedding_rng);
        OverloadScenario {
            site,
            store_relays,
            origin_relays,
            fault_injector: FaultInjector::new(VMS),
            workspaces,
            rng,
            flood_rng,
            shedding_rng,
            request_rng,
            replies,
            shedding,
            is_shedding: false,
            flood: Flood { workspace: 0, rank: 0, until: started },
            flood_count: 0,
            sent: Vec::new(),
            started,
        }
    }

    /// Runs the overload and random, overlapping faults.
    pub async fn run(&mut self, duration: Duration) {
        self.apply_replies();
        while self.started.elapsed() < duration {
            self.inject_random().await;
            for _ in 0..self.rng.random_range(3..10) {
                self.send_requests(Duration::from_millis(100)).await;
                self.fault_injector.end_due_faults(&mut self.site);
                self.shed_or_end_shedding();
            }
        }
        self.end_faults().await;
    }

    /// Returns the log of the injected faults, in order.
    pub fn events(&self) -> &[String] {
        &self.fault_injector.events
    }

    /// Waits for all answers and checks them against the requests that backend servers received.
    pub async fn evaluate(self) -> Outcome {
        let mut sent = Vec::new();
        for task in self.sent {
            sent.push(task.await.expect("the task of a request doesn't panic"));
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let arrivals: Vec<ReceivedRequest> =
            self.site.origins.iter().flat_map(Origin::requests).collect();
        let in_floods = sent.iter().filter(|sent| sent.flood.is_some());
        let in_floods: Vec<RankedResult> = in_floods.map(|sent| sent.result.clone()).collect();
        Outcome {
            violations: checks::find_violations(&sent, &arrivals, &self.workspaces),
            requests: sent.len(),
            statuses: count_statuses(sent.iter()),
            slow_statuses: count_statuses(sent.iter().filter(|sent| sent.is_slow)),
            flood_shares: served_shares(&in_floods),
            urgent_lag: checks::urgent_lag(&sent),
        }
    }

    /// Injects one random fault into VMs, the store or links, or changes how a backend server reads bodies.
    ///
    /// An outage of the store ends sooner than by chance alone: VMs refuse all requests once they have not reached the store
    /// for [`REVOKE_S`](crate::site::REVOKE_S), which leaves little to check.
    async fn inject_random(&mut self) {
        if self.rng.random_bool(0.5) {
            self.fault_injector.end_store_outage(&self.site).await;
        }
        match self.rng.random_range(0..8) {
            0..=2 => self.fault_injector.inject_random(&mut self.site, &mut self.rng).await,
            3 => self.set_path("backend server", true),
            4 => self.set_path("the store from VM", false),
            _ => self.set_reply(),
        }
    }

    /// Sets random faults of one path to a backend server or to the store, and ends those of the others.
    fn set_path(&mut self, what: &str, is_to_origin: bool) {
        let relays = if is_to_origin { &self.origin_relays } else { &self.store_relays };
        relays.iter().for_each(|relay| relay.set_faults(Faults::default()));
        let index = self.rng.random_range(0..relays.len());
        let faults = random_path_faults(&mut self.rng);
        relays[index].set_faults(faults);
        self.fault_injector.log_event(&format!("path to {what} {index}: {faults:?}"));
    }

    /// Sets a random reply of a backend server.
    fn set_reply(&mut self) {
        let replies = [
            Reply::After(WORK_MS),
            Reply::After(200),
            Reply::BeforeBody,
            Reply::ReadsSlowly(10),
            Reply::ReadsSlowly(60),
            Reply::ServesOneIn { count: 3, work_ms: WORK_MS },
            Reply::Failure,
        ];
        let index = self.rng.random_range(0..ORIGINS);
        let reply = *replies.choose(&mut self.rng).expect("there are replies");
        self.replies[index] = reply;
        self.fault_injector.log_event(&format!("backend server {index} answers with {reply:?}"));
        self.apply_replies();
    }

    /// Starts or ends shedding when its time has come.
    fn shed_or_end_shedding(&mut self) {
        let now = Instant::now();
        let (from, until) = self.shedding;
        if self.is_shedding && now >= until {
            self.is_shedding = false;
            self.shedding = random_shedding(now, &mut self.shedding_rng);
            self.fault_injector.log_event("the service sheds no more");
            self.apply_replies();
        } else if !self.is_shedding && now >= from {
            self.is_shedding = true;
            self.fault_injector.log_event("the service sheds two thirds of its requests");
            self.apply_replies();
        }
    }

    /// Sets the replies that are in force at all backend servers.
    fn apply_replies(&self) {
        let shedding = Reply::ServesOneIn { count: 3, work_ms: WORK_MS };
        for (origin, reply) in self.site.origins.iter().zip(&self.replies) {
            origin.set(if self.is_shedding { shedding } else { *reply });
        }
    }

    /// Sends the requests of all workspaces for a duration, without waiting for their answers.
    async fn send_requests(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.continue_flood();
            let flood = self.flood;
            for (index, name) in FLOODING.into_iter().chain([STEADY]).enumerate() {
                let number = (index == flood.workspace).then_some(self.flood_count);
                for rank in 0..RANKS {
                    let adds = number.is_some() && rank == flood.rank;
                    let per_s = USUAL_PER_S + if adds { FLOOD_PER_S } else { 0.0 };
                    self.send_at_rate(name, rank, per_s, number);
                }
            }
            if self.request_rng.random_bool(SLOW_CALLERS_PER_S * TICK.as_secs_f64()) {
                let (to, caller) = (self.random_vm(), SlowCaller::random(&mut self.request_rng));
                self.sent.push(actix_rt::spawn(async move {
                    let (result, breaks_off) = caller.run(to, SLOW).await;
                    Sent { result, flood: None, is_slow: true, breaks_off }
                }));
            }
            tokio::time::sleep(TICK).await;
        }
    }

    /// Starts the next flood, of another workspace and a random rank, when the current one is over.
    fn continue_flood(&mut self) {
        let now = Instant::now();
        if now >= self.flood.until {
            let length = Duration::from_millis(self.flood_rng.random_range(800..2_000));
            let workspace = (self.flood.workspace + 1) % FLOODING.len();
            let rank = self.flood_rng.random_range(0..RANKS);
            self.flood = Flood { workspace, rank, until: now + length };
            self.flood_count += 1;
            self.fault_injector
                .log_event(&format!("{} floods in rank {rank}", FLOODING[workspace]));
        }
    }

    /// Sends the requests of one tick at an average rate.
    fn send_at_rate(
        &mut self,
        workspace: &'static str,
        rank: usize,
        per_s: f64,
        flood: Option<usize>,
    ) {
        let expected = per_s * TICK.as_secs_f64();
        let count = expected as usize + usize::from(self.request_rng.random_bool(expected.fract()));
        for _ in 0..count {
            let (to, is_repeatable) = (self.random_vm(), self.request_rng.random_bool(0.5));
            self.sent.push(actix_rt::spawn(async move {
                let result = send_ranked(to, workspace, rank, is_repeatable).await;
                Sent { result, flood, is_slow: false, breaks_off: false }
            }));
        }
    }

    /// Returns where a random VM takes callers.
    fn random_vm(&mut self) -> SocketAddr {
        self.site.vms[self.request_rng.random_range(0..VMS)].callers()
    }

    /// Ends all faults, and waits until every VM is ready.
    async fn end_faults(&mut self) {
        self.fault_injector.end_store_outage(&self.site).await;
        for relay in self.origin_relays.iter().chain(&self.store_relays) {
            relay.set_faults(Faults::default());
        }
        self.is_shedding = false;
        self.replies.fill(Reply::After(WORK_MS));
        self.apply_replies();
        while self.fault_injector.has_due_faults() {
            tokio::time::sleep(Duration::from_millis(50)).await;
            self.fault_injector.end_due_faults(&mut self.site);
        }
        self.fault_injector.log_event("all faults are ended");
        self.site.until_ready().await;
    }
}

/// Counts requests per status, 0 without a complete answer.
fn count_statuses<'a>(sent: impl Iterator<Item = &'a Sent>) -> BTreeMap<u16, usize> {
    sent.fold(BTreeMap::new(), |mut counts, sent| {
        *counts.entry(sent.result.status.unwrap_or(0)).or_default() += 1;
        counts
    })
}

/// Draws when a service sheds next: for 2 to 3 s, after at most 2 s.
fn random_shedding(now: Instant, rng: &mut StdRng) -> (Instant, Instant) {
    let from = now + Duration::from_millis(rng.random_range(500..2_000));
    (from, from + Duration::from_millis(rng.random_range(2_000..3_000)))
}
