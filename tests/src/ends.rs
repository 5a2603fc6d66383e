//! A fleet whose backend servers end under one request that comes again and again at any VM, beside ordinary ones.
//!
//! What backend servers saw is held against when VMs were in touch: running and undisturbed for a while, with a store
//! that answered all that time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use crate::harm::Harm;
use crate::site::{Call, SAFE, Site, backend, send};

/// How soon after the third end, and after what befell it, a VM in touch must know the request.
const KNOWN: Duration = Duration::from_millis(3_000);

/// How many sends of it may be left after that.
pub const SENDS_LEFT: usize = 3;

/// After how long an ended backend server is back under another id.
const BACK: Duration = Duration::from_millis(400);

/// How often the request comes.
const AGAIN: Duration = Duration::from_millis(60);

/// What the path of the request holds that ends backend servers.
const MARKER: &str = "ends-them";

/// A fleet and the request.
pub struct EndsStory {
    /// The fleet.
    site: Site,
    /// Backend servers that have ended.
    gone: Vec<Origin>,
    /// What befell VMs and the store.
    harm: Harm,
    /// How many starts of backend servers there were.
    starts: usize,
    /// Which VM each coming of the request went to, by its id.
    asked: HashMap<String, usize>,
    /// Ordinary requests; each tells whether it was served.
    others: Vec<JoinHandle<bool>>,
    /// The most backend servers that were down at once.
    down: usize,
}

/// What came of it.
#[derive(Debug)]
pub struct Outcome {
    /// How often the request reached backend servers.
    pub sends: usize,
    /// How often from VMs in touch, too late after the third end.
    pub late: usize,
    /// How many backend servers ended.
    pub ended: usize,
    /// The most that were down at once.
    pub down: usize,
    /// The share of ordinary requests that were served.
    pub served: f64,
}

impl EndsStory {
    /// Starts a fleet.
    pub async fn start(vms: usize, origins: usize) -> EndsStory {
        let site = Site::start(vms, origins).await;
        site.origins.iter().for_each(prepare);
        EndsStory {
            site,
            gone: Vec::new(),
            harm: Harm::none(vms),
            starts: 0,
            asked: HashMap::new(),
            others: Vec::new(),
            down: 0,
        }
    }

    /// Has the request come again for a while below a path, at one VM after the other, beside ordinary ones.
    pub async fn play(&mut self, path: &str, length: Duration) {
        let until = Instant::now() + length;
        while Instant::now() < until {
            self.ask(path);
            tokio::time::sleep(AGAIN).await;
            self.harm.go_on(&mut self.site);
            let down = self.site.origins.iter().filter(|origin| origin.ended_at().is_some());
            self.down = self.down.max(down.count());
            self.revive().await;
        }
    }

    /// Lets a seed decide what befalls VMs and the store while the request comes, several things at once.
    pub async fn soak(&mut self, seed: u64, path: &str, length: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        let until = Instant::now() + length;
        while Instant::now() < until {
            self.harm.act(&mut self.site, &mut rng).await;
            let pause = Duration::from_millis(rng.random_range(100..1_500));
            self.play(path, pause).await;
        }
        self.harm.bring_store_back(&self.site).await;
    }

    /// What was done, in order.
    pub fn story(&self) -> &[String] {
        &self.harm.story
    }

    /// Kills all VMs at once and starts them again.
    pub fn kill_all(&mut self) {
        self.harm.kill_all(&mut self.site);
    }

    /// Holds what backend servers saw against when VMs were in touch.
    pub async fn judge(mut self) -> Outcome {
        let origins: Vec<&Origin> = self.gone.iter().chain(&self.site.origins).collect();
        let mut ends: Vec<Instant> =
            origins.iter().filter_map(|origin| origin.ended_at()).collect();
        ends.sort();
        let seen = origins.iter().flat_map(|origin| origin.requests());
        let sends: Vec<(Instant, usize)> = seen
            .filter(|seen| seen.ran && seen.line.contains(MARKER))
            .map(|seen| (seen.at, self.asked[seen.field(headers::REQUEST_ID).unwrap_or_default()]))
            .collect();
        let known = ends.get(2).map(|third| *third + KNOWN);
        let is_late = |(at, vm): &&(Instant, usize)| {
            known.is_some_and(|known| *at > known) && self.harm.was_in_touch(*vm, *at, KNOWN)
        };
        let late = sends.iter().filter(is_late).count();
        let (sends, ended, count) = (sends.len(), ends.len(), self.others.len());
        let mut served = 0;
        for other in std::mem::take(&mut self.others) {
            served += usize::from(other.await.unwrap_or(false));
        }
        Outcome { sends, late, ended, down: self.down, served: served as f64 / count as f64 }
    }

    /// Has the request and an ordinary one come.
    fn ask(&mut self, path: &str) {
        let number = self.asked.len();
        let vm = number % self.site.vms.len();
        let to = self.site.vms[vm].callers();
        let again = Call::new(&format!("{path}{MARKER}"));
        self.asked.insert(again.id.clone(), vm);
        // What it is answered is not looked at.
        actix_rt::spawn(async move { send(to, &again.bytes()).await });
        let other = Call::new(&format!("{SAFE}other-{number}"));
        self.others.push(actix_rt::spawn(async move {
            let answer = send(to, &other.bytes()).await;
            answer.is_ok_and(|answer| answer.status == 200)
        }));
    }

    /// Brings back backend servers that ended a while ago.
    async fn revive(&mut self) {
        let is_due = |origin: &Origin| origin.ended_at().is_some_and(|at| at.elapsed() >= BACK);
        while let Some(index) = self.site.origins.iter().position(is_due) {
            if self.harm.is_store_away() {
                return;
            }
            let ended = self.site.origins.remove(index);
            self.site.unlist_backend(&ended.instance()).await;
            let back = self.bind_again(ended.address).await;
            self.gone.push(ended);
            self.site.origins.push(back);
        }
    }

    /// Starts a backend server where one has ended.
    async fn bind_again(&mut self, address: SocketAddr) -> Origin {
        self.starts += 1;
        let instance = format!("i-again-{}", self.starts);
        let origin = Origin::bind(address, &instance).await.expect("its port is free");
        prepare(&origin);
        self.site.list_backend(&backend(&instance, address)).await;
        origin
    }
}

/// Has a backend server end under the request.
fn prepare(origin: &Origin) {
    origin.set(Reply::After(20));
    origin.end_on_request(MARKER);
}
