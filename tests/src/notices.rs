//! A fleet whose backend servers say of themselves that they leave, want nothing for a while, or take so much only, whatever the
//! store tells.
//!
//! What they saw is held against when they said it to which VM: a VM that was killed, stopped or stood still since is excused.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::flow::{Flow, limited, longest_after_word, most_unwanted, served};
use crate::harm::Harm;
use crate::site::{Site, backend};

/// How long a request is worked on, in milliseconds.
const WORK_MS: u64 = 40;

/// How long after its word one that leaves may still get requests; its answer is on its way for as long as it works.
const LEAVES_WITHIN: Duration = Duration::from_millis(2_000 + WORK_MS);

/// How long after something befell it a VM counts again where limits are kept.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(3);

/// How many requests may reach a backend server from one VM while it wants nothing.
pub const UNWANTED_LEFT: usize = 2;

/// A fleet and its backend servers.
pub struct NoticesStory {
    /// The fleet.
    site: Site,
    /// Callers.
    flow: Flow,
    /// What befell VMs and the store.
    harm: Harm,
    /// What each backend server does.
    states: Vec<State>,
    /// Backend servers that have ended, by when they first said that they leave.
    gone: Vec<Origin>,
    /// How many starts of backend servers there were.
    starts: usize,
    /// When it began.
    began: Instant,
}

/// What a backend server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It works.
    Works,
    /// It leaves since then.
    Leaves(Instant),
    /// It turns all away until then.
    Full(Instant),
    /// It names a limit until then.
    Limited(Instant),
}

/// What came of it.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that reached a backend server too late after it had told the VM that it leaves.
    pub late: usize,
    /// The most requests from one VM that reached one while it wanted nothing.
    pub most_unwanted: usize,
    /// The most that one that named a limit got within four seconds, as a part of what is allowed.
    pub most_limited: f64,
    /// How many words were told.
    pub words: usize,
    /// The share of requests that were served.
    pub served: f64,
}

impl NoticesStory {
    /// Starts a fleet.
    pub async fn start(vms: usize, origins: usize) -> NoticesStory {
        let site = Site::start(vms, origins).await;
        site.set_all(Reply::After(WORK_MS));
        NoticesStory {
            site,
            flow: Flow::default(),
            harm: Harm::none(vms),
            states: vec![State::Works; origins],
            gone: Vec::new(),
            starts: 0,
            began: Instant::now(),
        }
    }

    /// Lets a seed decide what befalls backend servers, VMs and the store, several things at once.
    pub async fn soak(&mut self, seed: u64, length: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        while self.began.elapsed() < length {
            if rng.random_bool(0.5) {
                self.harm.act(&mut self.site, &mut rng).await;
            }
            let at = rng.random_range(0..self.states.len());
            self.speak(at, &mut rng).await;
            for _ in 0..rng.random_range(1..6) {
                self.flow.run(&self.site, Duration::from_millis(100)).await;
                self.harm.go_on(&mut self.site);
                self.recover();
            }
        }
        self.harm.bring_store_back(&self.site).await;
    }

    /// What was done, in order.
    pub fn story(&self) -> &[String] {
        &self.harm.story
    }

    /// Holds what backend servers saw against what they said.
    pub async fn judge(mut self) -> Outcome {
        let answers = self.flow.answers().await;
        let mut outcome = Outcome {
            late: 0,
            most_unwanted: 0,
            most_limited: 0.0,
            words: 0,
            served: served(&answers),
        };
        for origin in self.site.origins.iter().chain(&self.gone) {
            let arrivals = self.flow.arrivals(origin, self.began);
            outcome.words +=
                arrivals.iter().filter(|(_, seen)| !seen.notice_fields.is_empty()).count();
            let excused = |vm, from, to| self.harm.befell_vm(vm, from, to);
            outcome.most_unwanted = outcome.most_unwanted.max(most_unwanted(&arrivals, excused));
            // One that started, stood still or was cut off a while ago is excused.
            let excused = |vm, at: Instant| {
                self.harm.befell_vm(vm, at.checked_sub(IN_TOUCH_AFTER).unwrap_or(at), at)
            };
            outcome.most_limited = outcome.most_limited.max(limited(&arrivals, excused).worst);
            // Each life of a VM is told anew.
            for vm in 0..self.site.vms.len() {
                let of_vm: Vec<_> =
                    arrivals.iter().filter(|(other, _)| *other == vm).cloned().collect();
                let lives = of_vm.chunk_by(|(_, before), (_, after)| {
                    !self.harm.befell_vm(vm, before.at, after.at)
                });
                let longest = lives.map(longest_after_word).max().unwrap_or_default();
                outcome.late += usize::from(longest > LEAVES_WITHIN);
            }
        }
        outcome
    }

    /// Has a backend server say something of itself: the store is told, or not, or the entry is written anew as if it stayed.
    async fn speak(&mut self, at: usize, rng: &mut StdRng) {
        let origin = self.site.origin(at);
        let instance = origin.instance();
        match self.states[at] {
            State::Works if rng.random_bool(0.5) => {
                origin.set_notice_fields(&[(headers::LEAVING, "1")]);
                self.states[at] = State::Leaves(Instant::now());
                self.harm.tell(&format!("{instance} says that it leaves"));
                let address = origin.address;
                if !self.harm.is_store_away() && rng.random_bool(0.5) {
                    let mut entry = backend(&instance, address);
                    entry.is_leaving = rng.random_bool(0.5);
                    self.site.list_backend(&entry).await;
                }
            }
            State::Works if rng.random_bool(0.5) => {
                let for_ms = rng.random_range(4_000..9_000_u64);
                let per_s = rng.random_range(0.0..5.0_f64);
                origin.set_notice_fields(&[(headers::RATE_LIMIT, &format!("{per_s:.2}"))]);
                self.states[at] = State::Limited(Instant::now() + Duration::from_millis(for_ms));
                self.harm.tell(&format!("{instance} takes {per_s:.2} a second for {for_ms} ms"));
            }
            State::Works => {
                let for_ms = rng.random_range(300..4_000_u64);
                let seconds = format!("{:.3}", for_ms as f64 / 1_000.0);
                origin.set(Reply::Rejection);
                origin.set_notice_fields(&[(headers::RETRY_AFTER, &seconds)]);
                self.states[at] = State::Full(Instant::now() + Duration::from_millis(for_ms));
                self.harm.tell(&format!("{instance} is full for {for_ms} ms"));
            }
            State::Leaves(since) if since.elapsed() > Duration::from_secs(1) => {
                if !self.harm.is_store_away() {
                    self.replace(at).await;
                }
            }
            State::Limited(until) if until > Instant::now() + Duration::from_secs(3) => {
                let per_s = rng.random_range(0.0..5.0_f64);
                origin.set_notice_fields(&[(headers::RATE_LIMIT, &format!("{per_s:.2}"))]);
                self.harm.tell(&format!("{instance} takes {per_s:.2} a second now"));
            }
            State::Leaves(_) | State::Full(_) | State::Limited(_) => {}
        }
    }

    /// Ends a backend server that leaves; another starts.
    async fn replace(&mut self, at: usize) {
        self.starts += 1;
        let instance = self.site.origin(at).instance();
        self.site.unlist_backend(&instance).await;
        self.site.add_origin(&format!("i-new-{}", self.starts)).await;
        let gone = self.site.origins.swap_remove(at);
        self.site.origin(at).set(Reply::After(WORK_MS));
        self.gone.push(gone);
        self.states[at] = State::Works;
        self.harm.tell(&format!("{instance} is replaced"));
    }

    /// Has those work again whose time is over.
    fn recover(&mut self) {
        let now = Instant::now();
        for (at, state) in self.states.iter_mut().enumerate() {
            if matches!(state, State::Full(until) | State::Limited(until) if *until <= now) {
                self.site.origin(at).set(Reply::After(WORK_MS));
                self.site.origin(at).set_notice_fields(&[]);
                *state = State::Works;
            }
        }
    }
}
