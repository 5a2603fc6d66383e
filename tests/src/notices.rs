//! A scenario in which backend servers announce in their answers that they leave, hold off requests for a time or have a rate
//! limit, whatever the store lists.
//!
//! The check compares the requests they received with the notices they sent to each VM. A VM that was killed, stopped or paused
//! since a notice doesn't have to follow it.

use std::time::{Duration, Instant};

use leverstream_platform::headers;
use leverstream_standin::origin::{Origin, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fault_injector::FaultInjector;
use crate::flow::{
    Flow, limit_usage, longest_after_leaving_notice, max_during_hold_off, served_share,
};
use crate::site::{Site, backend};

/// How long a backend server works on a request.
const WORK_MS: u64 = 40;

/// How long after a leaving notice its backend server may still receive requests: 2 s, and `WORK_MS` until the answer
/// with the notice is sent.
const LEAVING_LIMIT: Duration = Duration::from_millis(2_000 + WORK_MS);

/// How long after a fault a VM's requests don't count towards a limit.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// The most requests that may reach a backend server from one VM during a hold-off time.
pub const MAX_DURING_HOLD_OFF: usize = 2;

/// A fleet whose backend servers send notices.
pub struct NoticesScenario {
    /// The fleet.
    site: Site,
    /// The requests of callers.
    flow: Flow,
    /// Injects faults into VMs and the store.
    fault_injector: FaultInjector,
    /// The state of each backend server.
    states: Vec<State>,
    /// Backend servers that left and were replaced.
    replaced: Vec<Origin>,
    /// The number of replacements of backend servers.
    replacement_count: usize,
    /// When the scenario started.
    started: Instant,
}

/// What a backend server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It accepts requests without a notice.
    Working,
    /// It announces since this moment that it leaves.
    Leaving(Instant),
    /// It rejects all requests until this moment.
    Full(Instant),
    /// It announces a rate limit until this moment.
    Limited(Instant),
}

/// What the check of the scenario measured.
#[derive(Debug)]
pub struct Outcome {
    /// Pairs of a backend server and a VM where a request arrived more than `LEAVING_LIMIT` after the leaving notice to the VM.
    pub late_after_leaving: usize,
    /// The most requests from one VM that reached a backend server during a hold-off time.
    pub max_during_hold_off: usize,
    /// The most requests to a backend server with a limit in one window, as a share of those allowed.
    pub max_limit_usage: f64,
    /// The number of answers with a notice.
    pub notices: usize,
    /// The share of requests answered with status 200.
    pub served: f64,
}

impl NoticesScenario {
    /// Starts a fleet.
    pub async fn start(vms: usize, origins: usize) -> NoticesScenario {
        let site = Site::start(vms, origins).await;
        site.set_all_replies(Reply::After(WORK_MS));
        NoticesScenario {
            site,
            flow: Flow::default(),
            fault_injector: FaultInjector::new(vms),
            states: vec![State::Working; origins],
            replaced: Vec::new(),
            replacement_count: 0,
            started: Instant::now(),
        }
    }

    /// Runs random notices and overlapping faults of VMs and the store, drawn from a seed.
    pub async fn run_with_faults(&mut self, seed: u64, duration: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        while self.started.elapsed() < duration {
            if rng.random_bool(0.5) {
                self.fault_injector.inject_random(&mut self.site, &mut rng).await;
            }
            let index = rng.random_range(0..self.states.len());
            self.send_random_notice(index, &mut rng).await;
            for _ in 0..rng.random_range(1..6) {
                self.flow.run(&self.site, Duration::from_millis(100)).await;
                self.fault_injector.end_due_faults(&mut self.site);
                self.end_expired_notices();
            }
        }
        self.fault_injector.end_store_outage(&self.site).await;
    }

    /// Returns the log of notices and faults, in order.
    pub fn events(&self) -> &[String] {
        &self.fault_injector.events
    }

    /// Waits for all answers and compares the requests that backend servers received with their notices.
    pub async fn evaluate(mut self) -> Outcome {
        let answers = self.flow.answers().await;
        let mut outcome = Outcome {
            late_after_leaving: 0,
            max_during_hold_off: 0,
            max_limit_usage: 0.0,
            notices: 0,
            served: served_share(&answers),
        };
        for origin in self.site.origins.iter().chain(&self.replaced) {
            let arrivals = self.flow.arrivals(origin, self.started);
            outcome.notices +=
                arrivals.iter().filter(|(_, seen)| !seen.notice_fields.is_empty()).count();
            let excused = |vm, from, to| self.fault_injector.had_vm_fault(vm, from, to);
            outcome.max_during_hold_off =
                outcome.max_during_hold_off.max(max_during_hold_off(&arrivals, excused));
            // A VM with a fault shortly before may not know the limit yet.
            let excused = |vm, at: Instant| {
                self.fault_injector.had_vm_fault(
                    vm,
                    at.checked_sub(RECOVERY_TIME).unwrap_or(at),
                    at,
                )
            };
            outcome.max_limit_usage =
                outcome.max_limit_usage.max(limit_usage(&arrivals, excused).max_window_share);
            // A restarted or paused VM has to receive the notice again.
            for vm in 0..self.site.vms.len() {
                let of_vm: Vec<_> =
                    arrivals.iter().filter(|(other, _)| *other == vm).cloned().collect();
                let incarnations = of_vm.chunk_by(|(_, before), (_, after)| {
                    !self.fault_injector.had_vm_fault(vm, before.at, after.at)
                });
                let longest =
                    incarnations.map(longest_after_leaving_notice).max().unwrap_or_default();
                outcome.late_after_leaving += usize::from(longest > LEAVING_LIMIT);
            }
        }
        outcome
    }

    /// Makes a backend server send a random notice. For a leaving one the entry in the store says so, stays as it is, or is
    /// written again as if the server stayed.
    async fn send_random_notice(&mut self, index: usize, rng: &mut StdRng) {
        let origin = self.site.origin(index);
        let instance = origin.instance();
        match self.states[index] {
            State::Working if rng.random_bool(0.5) => {
                origin.set_notice_fields(&[(headers::LEAVING, "1")]);
                self.states[index] = State::Leaving(Instant::now());
                self.fault_injector.log_event(&format!("{instance} announces that it leaves"));
                let address = origin.address;
                if !self.fault_injector.has_store_outage() && rng.random_bool(0.5) {
                    let mut entry = backend(&instance, address);
                    entry.is_leaving = rng.random_bool(0.5);
                    self.site.list_backend(&entry).await;
                }
            }
            State::Working if rng.random_bool(0.5) => {
                let for_ms = rng.random_range(4_000..9_000_u64);
                let per_s = rng.random_range(0.0..5.0_f64);
                origin.set_notice_fields(&[(headers::RATE_LIMIT, &format!("{per_s:.2}"))]);
                self.states[index] = State::Limited(Instant::now() + Duration::from_millis(for_ms));
                self.fault_injector.log_event(&format!(
                    "{instance} announces a limit of {per_s:.2} requests/s for {for_ms} ms"
                ));
            }
            State::Working => {
                let for_ms = rng.random_range(300..4_000_u64);
                let seconds = format!("{:.3}", for_ms as f64 / 1_000.0);
                origin.set(Reply::Rejection);
                origin.set_notice_fields(&[(headers::RETRY_AFTER, &seconds)]);
                self.states[index] = State::Full(Instant::now() + Duration::from_millis(for_ms));
                self.fault_injector
                    .log_event(&format!("{instance} rejects all requests for {for_ms} ms"));
            }
            State::Leaving(since) if since.elapsed() > Duration::from_secs(1) => {
                if !self.fault_injector.has_store_outage() {
                    self.replace(index).await;
                }
            }
            State::Limited(until) if until > Instant::now() + Duration::from_secs(3) => {
                let per_s = rng.random_range(0.0..5.0_f64);
                origin.set_notice_fields(&[(headers::RATE_LIMIT, &format!("{per_s:.2}"))]);
                self.fault_injector
                    .log_event(&format!("{instance} changes its limit to {per_s:.2} requests/s"));
            }
            State::Leaving(_) | State::Full(_) | State::Limited(_) => {}
        }
    }

    /// Replaces a backend server that leaves with a new one.
    async fn replace(&mut self, index: usize) {
        self.replacement_count += 1;
        let instance = self.site.origin(index).instance();
        self.site.unlist_backend(&instance).await;
        self.site.add_origin(&format!("i-new-{}", self.replacement_count)).await;
        let replaced = self.site.origins.swap_remove(index);
        self.site.origin(index).set(Reply::After(WORK_MS));
        self.replaced.push(replaced);
        self.states[index] = State::Working;
        self.fault_injector.log_event(&format!("{instance} is replaced"));
    }

    /// Ends rejections and limits whose time is over.
    fn end_expired_notices(&mut self) {
        let now = Instant::now();
        for (index, state) in self.states.iter_mut().enumerate() {
            if matches!(state, State::Full(until) | State::Limited(until) if *until <= now) {
                self.site.origin(index).set(Reply::After(WORK_MS));
                self.site.origin(index).set_notice_fields(&[]);
                *state = State::Working;
            }
        }
    }
}
