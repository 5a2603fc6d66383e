//! A randomized soak: a real fleet under load, with faults from outside that overlap.
//!
//! A seed decides what happens and when. While it runs and after it, the promises to callers are
//! checked from what callers and backend servers saw.

mod callers;
mod judge;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use leverstream_catalog::Backend;
use leverstream_platform::{headers, standin};
use leverstream_standin::origin::{Origin, ReceivedRequest, Reply};
use leverstream_standin::platform::Faults as StoreFaults;
use leverstream_standin::relay::{Fault, Faults, Relay};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use serde_json::json;

use crate::site::{Call, HALL, ONCE, Site, Vm, backend};
use crate::until;

pub use callers::Got;
use callers::{Calls, call};
use judge::excess;

/// The VMs of a soak.
const VMS: usize = 4;

/// The backend servers of a soak.
const ORIGINS: usize = 4;

/// The callers of a soak.
const CALLERS: usize = 10;

/// How long a planned stop may take, with room for a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// What a soak has found.
#[derive(Debug, Default)]
pub struct Findings {
    /// Promises that were broken, each with what shows it.
    pub broken: Vec<String>,
    /// Requests answered with success.
    pub served: usize,
    /// All requests.
    pub asked: usize,
    /// What was done to the fleet, in order.
    pub story: Vec<String>,
}

/// A fleet under soak.
struct Soak {
    /// The store, the backend servers and the VMs.
    site: Site,
    /// The relay from each VM to the store.
    store_relays: Vec<Relay>,
    /// The relay to each backend server.
    origin_relays: Vec<Relay>,
    /// The instance that each backend server has now.
    instances: Vec<String>,
    /// The directories of the VMs, for callers.
    directories: Rc<Vec<SocketAddr>>,
    /// What decides.
    rng: StdRng,
    /// What was done.
    story: Vec<String>,
    /// When it began.
    began: Instant,
    /// How often backend servers have started again under their ids.
    starts: u64,
    /// Promises broken while it ran.
    broken: Vec<String>,
}

/// What a soak does to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Anything.
    Anything,
    /// VMs are killed, stopped and paused while backend servers reject work.
    Rejects,
    /// Anything, while backend servers start again under their ids and others write entries that cannot be used.
    Reborn,
}

/// Runs a soak of a seed for so long, and tells what it found.
pub async fn soak(seed: u64, plan: Plan, length: Duration) -> Findings {
    let mut soak = Soak::start(seed).await;
    let calls = Rc::new(Calls {
        goes_on: Cell::new(true),
        got: RefCell::default(),
        wrong: RefCell::default(),
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let rng = StdRng::seed_from_u64(seed * 1_000 + number as u64);
            actix_rt::spawn(call(Rc::clone(&calls), Rc::clone(&soak.directories), rng))
        })
        .collect();
    while soak.began.elapsed() < length {
        match plan {
            Plan::Anything => soak.act().await,
            Plan::Rejects => soak.act_on_vms().await,
            Plan::Reborn => {
                let at = soak.rng.random_range(0..ORIGINS);
                soak.start_again(at).await;
                soak.write_foreign_entry().await;
                soak.act().await;
            }
        }
        let pause_ms = soak.rng.random_range(50..400);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    soak.calm_down().await;
    calls.goes_on.set(false);
    for caller in callers {
        let _ = caller.await;
    }
    soak.judge(&calls)
}

impl Soak {
    /// Starts the fleet: every way to the store and to backend servers leads through a relay.
    async fn start(seed: u64) -> Soak {
        let mut site = Site::start(0, 0).await;
        let (mut origin_relays, mut instances) = (Vec::new(), Vec::new());
        for number in 0..ORIGINS {
            let instance = format!("i-{number}-0");
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let origin = Origin::bind(address, &instance).await.expect("a port is free");
            origin.set(Reply::After(20));
            let relay = Relay::spawn(origin.address).await.expect("a port is free");
            site.list_backend(&backend(&instance, relay.address)).await;
            site.origins.push(origin);
            origin_relays.push(relay);
            instances.push(instance);
        }
        let mut store_relays = Vec::new();
        for number in 0..VMS {
            let relay = Relay::spawn(site.platform.address).await.expect("a port is free");
            let seeds: Vec<String> = site.vms.iter().map(|vm| vm.ip().to_owned()).collect();
            let hall = if number % 2 == 0 { HALL } else { "hall-b" };
            site.vms.push(Vm::start(relay.address, hall, &seeds));
            store_relays.push(relay);
        }
        site.until_ready().await;
        let directories = Rc::new(site.vms.iter().map(Vm::directory).collect());
        Soak {
            site,
            store_relays,
            origin_relays,
            instances,
            directories,
            rng: StdRng::seed_from_u64(seed),
            story: Vec::new(),
            began: Instant::now(),
            starts: 0,
            broken: Vec::new(),
        }
    }

    /// Does one thing to the fleet.
    async fn act(&mut self) {
        let at = self.rng.random_range(0..ORIGINS);
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..12) {
            0 | 1 => self.set_reply(at),
            2 => self.set_origin_path(at),
            3 => self.set_store_path(vm),
            4 => self.set_store().await,
            5 => self.kill(vm),
            6 => self.pause(vm).await,
            7 => self.stop(vm).await,
            8 => self.hang_up(vm),
            9 => self.change_catalog().await,
            10 => self.pass_address_on(at).await,
            _ => self.say_leaving(at).await,
        }
    }

    /// Does one thing to the VMs, or has backend servers reject work or no longer do so.
    async fn act_on_vms(&mut self) {
        let vm = self.rng.random_range(0..VMS);
        match self.rng.random_range(0..8) {
            0..=2 => self.kill(vm),
            3 => self.pause(vm).await,
            4 => self.stop(vm).await,
            _ => {
                let rejects = self.rng.random_range(1..=ORIGINS);
                self.site.set_all(Reply::After(20));
                (0..rejects).for_each(|at| self.site.origin(at).set(Reply::Rejection));
                self.tell(&format!("{rejects} backend servers reject work"));
            }
        }
    }

    /// Notes what is done.
    fn tell(&mut self, what: &str) {
        self.story.push(format!("{:>6} ms: {what}", self.began.elapsed().as_millis()));
    }

    /// Changes how a backend server answers.
    fn set_reply(&mut self, at: usize) {
        let replies = [
            Reply::After(20),
            Reply::After(20),
            Reply::After(300),
            Reply::Failure,
            Reply::Rejection,
            Reply::NoAnswer,
            Reply::Reset,
            Reply::Truncated,
            Reply::Malformed,
            Reply::StaleAnswerFirst,
            Reply::ExtraAnswer,
            Reply::WithoutLength,
            Reply::WithoutLengthReset,
        ];
        let reply = *replies.choose(&mut self.rng).expect("there are replies");
        self.site.origin(at).set(reply);
        self.tell(&format!("backend server {at} answers with {reply:?}"));
    }

    /// Changes the way to a backend server.
    fn set_origin_path(&mut self, at: usize) {
        let faults = path_faults(&mut self.rng);
        self.origin_relays[at].set_faults(faults);
        self.tell(&format!("the way to backend server {at}: {faults:?}"));
    }

    /// Changes the way from a VM to the store.
    fn set_store_path(&mut self, vm: usize) {
        let faults = path_faults(&mut self.rng);
        self.store_relays[vm].set_faults(faults);
        self.tell(&format!("the way from VM {vm} to the store: {faults:?}"));
    }

    /// Changes how the store answers.
    async fn set_store(&mut self) {
        let none = StoreFaults::default;
        let faults = match self.rng.random_range(0..6) {
            0 => StoreFaults { away: true, ..none() },
            1 => StoreFaults { silent: true, ..none() },
            2 => StoreFaults { deaf_watches: true, ..none() },
            3 => StoreFaults { delay_ms: 200, ..none() },
            _ => none(),
        };
        self.site.platform.set_faults(&faults).await;
        if self.rng.random_bool(0.3) {
            self.site.platform.forget().await;
        }
        self.tell(&format!("the store: {faults:?}"));
    }

    /// Kills a VM and starts it again.
    fn kill(&mut self, vm: usize) {
        self.site.vms[vm].restart();
        self.tell(&format!("VM {vm} is killed and starts again"));
    }

    /// Stops a VM's clock for a while.
    async fn pause(&mut self, vm: usize) {
        let pause_ms = self.rng.random_range(200..2_000);
        self.tell(&format!("VM {vm} stands still for {pause_ms} ms"));
        self.site.vms[vm].signal(Signal::STOP);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        self.site.vms[vm].signal(Signal::CONT);
    }

    /// Stops a VM as planned and starts it again.
    async fn stop(&mut self, vm: usize) {
        self.tell(&format!("VM {vm} stops as planned"));
        let signals = self.rng.random_range(1..3);
        for _ in 0..signals {
            self.site.vms[vm].signal(Signal::TERM);
        }
        let ended = tokio::time::timeout(STOP_LIMIT, self.site.vms[vm].process.wait()).await;
        if ended != Ok(Some(0)) {
            self.broken.push(format!("VM {vm} did not end in time and well: {ended:?}"));
        }
        self.site.vms[vm].restart();
        self.tell(&format!("VM {vm} starts again"));
    }

    /// Has a VM read its settings again, several times at once.
    fn hang_up(&mut self, vm: usize) {
        for _ in 0..3 {
            self.site.vms[vm].signal(Signal::HUP);
        }
        self.tell(&format!("VM {vm} is told three times to read its settings"));
    }

    /// Puts another configuration in force.
    async fn change_catalog(&mut self) {
        let version = self.site.catalog.version + self.rng.random_range(1..4);
        self.with_store_up().await;
        self.site.put_catalog(version).await;
        self.tell(&format!("configuration {version}"));
    }

    /// Ends a backend server whose address passes on at once.
    async fn pass_address_on(&mut self, at: usize) {
        let before = self.instances[at].clone();
        let next = format!("i-{at}-{}", self.story.len() + 1);
        self.site.origin(at).set_instance(&next);
        self.with_store_up().await;
        self.site.list_backend(&backend(&next, self.origin_relays[at].address)).await;
        if self.rng.random_bool(0.7) {
            self.site.unlist_backend(&before).await;
        }
        self.instances[at].clone_from(&next);
        self.tell(&format!("the address of {before} passes to {next}"));
    }

    /// Has a backend server start again under its id.
    async fn start_again(&mut self, at: usize) {
        let instance = self.instances[at].clone();
        self.starts += 1;
        let entry = backend(&instance, self.origin_relays[at].address);
        self.with_store_up().await;
        self.site.list_backend(&Backend { born_ms: self.starts, ..entry }).await;
        self.tell(&format!("{instance} starts again under its id, for time {}", self.starts));
    }

    /// Has another writer put an entry among those of backend servers.
    async fn write_foreign_entry(&mut self) {
        let entries = [
            json!({}),
            json!({ "service": 5, "address": "nowhere", "slots": -1 }),
            json!({ "service": "shop", "address": "127.0.0.1:1", "state": "dancing", "slots": 3 }),
            json!("bytes"),
        ];
        let entry = entries.choose(&mut self.rng).expect("there are entries").clone();
        self.with_store_up().await;
        self.tell(&format!("an entry that others wrote: {entry}"));
        self.site.put(standin::BACKENDS_KIND, "i-foreign", entry).await;
    }

    /// Has a backend server say that it leaves; another comes at its address soon.
    async fn say_leaving(&mut self, at: usize) {
        let instance = self.instances[at].clone();
        let entry = backend(&instance, self.origin_relays[at].address);
        self.with_store_up().await;
        self.site.list_backend(&Backend { is_leaving: true, ..entry }).await;
        self.tell(&format!("{instance} says that it leaves"));
        self.pass_address_on(at).await;
    }

    /// Brings the store back, as operators and backend servers can only write while it is there.
    async fn with_store_up(&mut self) {
        self.site.platform.set_faults(&StoreFaults::default()).await;
    }

    /// Takes all faults away and waits until the fleet serves as before.
    async fn calm_down(&mut self) {
        self.site.platform.set_faults(&StoreFaults::default()).await;
        self.origin_relays.iter().for_each(|relay| relay.set_faults(Faults::default()));
        self.store_relays.iter().for_each(|relay| relay.set_faults(Faults::default()));
        self.site.set_all(Reply::After(20));
        self.tell("all faults end");
        self.site.until_ready().await;
        for vm in &self.site.vms {
            until("every VM serves again", || async {
                let answer = Call::new(ONCE).send(vm).await.ok()?;
                (answer.status == 200).then_some(())
            })
            .await;
        }
    }

    /// Holds what callers got against what backend servers saw.
    fn judge(self, calls: &Calls) -> Findings {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for seen in self.site.origins.iter().flat_map(Origin::requests).filter(|seen| seen.ran) {
            let id = seen.field(headers::REQUEST_ID).unwrap_or_default().to_owned();
            *runs.entry(id).or_default() += 1;
        }
        let mut broken = self.broken;
        broken.extend(calls.wrong.borrow().iter().cloned());
        let got = calls.got.borrow();
        for got in got.iter().filter(|got| got.is_once) {
            let ran = runs.get(&got.id).copied().unwrap_or(0);
            if ran > 1 {
                broken.push(format!("{got:?} ran {ran} times"));
            }
            if matches!(got.status, Some(408 | 421 | 429 | 503)) && ran > 0 {
                broken.push(format!("{got:?} was said not to have run, and ran"));
            }
        }
        let arrivals: Vec<ReceivedRequest> =
            self.site.origins.iter().flat_map(Origin::requests).collect();
        broken.extend(excess(&got, &arrivals));
        let served = got.iter().filter(|got| got.status == Some(200)).count();
        Findings { broken, served, asked: got.len(), story: self.story }
    }
}

/// Faults of a way: none, cut, cut one way, slow, broken off.
fn path_faults(rng: &mut StdRng) -> Faults {
    let none = Fault::default();
    let cut = Fault { is_blackholed: true, ..none };
    let slow = Fault { delay_ms: 150, ..none };
    let short = Fault { close_after_bytes: Some(rng.random_range(0..300)), ..none };
    match rng.random_range(0..8) {
        0 => Faults { forward: cut, reverse: cut },
        1 => Faults { forward: cut, reverse: none },
        2 => Faults { forward: none, reverse: cut },
        3 => Faults { forward: slow, reverse: slow },
        4 => Faults { forward: none, reverse: short },
        _ => Faults::default(),
    }
}
