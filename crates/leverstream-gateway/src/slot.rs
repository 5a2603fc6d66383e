//! Takes a slot at a backend server for a request, waiting for one if necessary.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leverstream_admission::{Prospect, QueueRank, RefusedBy, Turn, Verdict, WaitBounds};
use leverstream_core::{Availability, Fleet, Outcome, Pick, PickRequest, RouteKey, choose};
use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_workspace::WorkspaceId;

use crate::gateway::{Inner, ServiceState};
use crate::waiting::{Waiter, Wake};
use crate::{overload, pressure, stop};

/// How long a request in the wait queue sleeps before it checks again without a wake-up: load
/// reports of other VMs go stale.
const RECHECK_INTERVAL_MS: u64 = 60;

/// How many times the expected wait for the limits of the backend servers must remain for a request
/// to wait for them. Which VM gets the next permit is random, and a request that waits in vain gets
/// its error late.
const LIMITED_WAIT_FACTOR: f64 = 2.0;

/// The number of requests of a service that wait at one VM at most, where ranks count. At 250 slots
/// granted a second, they wait for about two seconds.
const QUEUE_LIMIT: usize = 512;

/// The rate of less urgent requests at this VM from which they take the trials for the floor alone,
/// in requests a second: several arrive within the two seconds over which the floor is measured.
const MIN_TRIAL_REQUESTS_PER_S: f64 = 2.0;

/// A request for a slot.
pub(crate) struct SlotRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Whether the request may be sent again if the attempt fails.
    pub is_repeatable: bool,
    /// The rank in the wait queue.
    pub rank: QueueRank,
    /// The workspace; within a rank, workspaces are served in rounds.
    pub workspace: Option<WorkspaceId>,
    /// The backend servers that were already tried.
    pub tried: &'a [BackendKey],
    /// The route.
    pub route: RouteKey,
    /// The size of the body in bytes.
    pub bytes: usize,
    /// The latency objective of the route.
    pub objective_ms: u64,
    /// The time until which it is worth waiting.
    pub until_ms: u64,
    /// Whether it has asked for a slot before.
    pub has_asked: bool,
    /// What bounds the wait where ranks count.
    pub bounds: WaitBounds,
}

/// Why a request got no slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// The error that the caller gets.
    pub kind: Kind,
    /// The rule that refused it although backend servers are there.
    pub by: Option<RefusedBy>,
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Refusal {
        Refusal { kind, by: None }
    }
}

impl From<RefusedBy> for Refusal {
    fn from(by: RefusedBy) -> Refusal {
        Refusal { kind: Kind::NoSlot, by: Some(by) }
    }
}

impl SlotRequest<'_> {
    /// Tells whether requests less urgent than this one arrive at this VM often enough to take all
    /// trials for the floor.
    ///
    /// A trial may lose a request that can't be repeated and costs another one little, so a
    /// repeatable request leaves trials only to others of its kind.
    fn is_spared(&self, state: &ServiceState, now_ms: u64) -> bool {
        let queued = if self.is_repeatable { &state.queued_repeatable } else { &state.queued };
        queued.own_per_s_below(self.rank.demand_rank(), now_ms) >= MIN_TRIAL_REQUESTS_PER_S
    }

    /// Refuses a request that no backend server will accept in time, so that its caller gets the
    /// error at once.
    fn check_available(
        &self,
        fleet: &Fleet,
        position: QueuePosition,
        now_ms: u64,
    ) -> Result<(), Kind> {
        match fleet.availability(self.service, now_ms) {
            Availability::NoBackendServer => Err(Kind::NoBackend),
            Availability::HoldsOffUntil(at_ms) if at_ms >= self.until_ms => {
                Err(Kind::BackendsHoldOff)
            }
            Availability::Limited { per_s, from_ms } => {
                let is_next = position.ahead == 0 && (from_ms <= now_ms || position.has_waited);
                let needed_ms = (position.ahead + 1) as f64 / per_s * 1_000.0;
                let factor = if position.has_waited { 1.0 } else { LIMITED_WAIT_FACTOR };
                let fits = now_ms as f64 + needed_ms * factor <= self.until_ms as f64;
                if is_next || fits { Ok(()) } else { Err(Kind::BackendsHoldOff) }
            }
            Availability::HoldsOffUntil(_) | Availability::Available => Ok(()),
        }
    }
}

/// The position of a request in the wait queue.
#[derive(Clone, Copy, Debug)]
struct QueuePosition {
    /// The number of requests ahead of it.
    ahead: usize,
    /// Whether it has waited already.
    has_waited: bool,
}

/// A slot at a backend server, held until it is dropped.
pub(crate) struct Slot {
    /// The state of this gateway VM.
    inner: Rc<Inner>,
    /// The service.
    service: String,
    /// The backend server.
    pub key: BackendKey,
    /// The evaluation on which the choice rested.
    pub pick: Pick,
    /// When the slot was taken.
    pub since_ms: u64,
    /// The request's route.
    route: RouteKey,
    /// The outcome of the request.
    outcome: Cell<Outcome>,
}

/// Takes a slot, waiting for one if none is free.
pub(crate) async fn take(inner: &Rc<Inner>, request: &SlotRequest<'_>) -> Result<Slot, Refusal> {
    let started_ms = inner.now_ms();
    let mut turn = with_state(inner, request.service, |state| {
        state.wait_queue.assign_turn(request.rank, request.workspace)
    });
    let mut waiting = None;
    loop {
        let now_ms = inner.now_ms();
        if inner.serves_by_rank() && request.bounds.is_committed(now_ms) {
            turn = turn.committed();
        }
        let until_ms = match step(inner, request, turn, started_ms, now_ms)? {
            Step::Take(slot) => return Ok(slot),
            Step::WaitUntil(at_ms) => at_ms,
        };
        let is_return = request.has_asked || waiting.is_some();
        waiting.get_or_insert_with(|| WaitGuard::begin(inner, request.service));
        let mut waiter =
            enqueue(inner, request.service, turn, is_return).ok_or(RefusedBy::Displaced)?;
        let wait = Duration::from_millis(until_ms.saturating_sub(now_ms).max(1));
        // The loop checks again after a wake-up and after the timeout alike.
        let woken = tokio::time::timeout(wait, &mut *waiter).await;
        let is_displaced = woken.is_ok_and(|wake| wake == Ok(Wake::Displaced));
        if is_displaced && !request.bounds.is_committed(inner.now_ms()) {
            return Err(RefusedBy::Displaced.into());
        }
    }
}

/// What a request does that is not refused.
enum Step {
    /// It uses a slot.
    Take(Slot),
    /// It waits until it is woken, at most until this time.
    WaitUntil(u64),
}

/// Decides what a request does that has asked for a slot at `started_ms`.
fn step(
    inner: &Rc<Inner>,
    request: &SlotRequest<'_>,
    turn: Turn,
    started_ms: u64,
    now_ms: u64,
) -> Result<Step, Refusal> {
    stop::check_send(inner, request.route)?;
    let ahead = with_state(inner, request.service, |state| state.wait_queue.count_ahead(turn));
    let position = QueuePosition { ahead, has_waited: now_ms > started_ms };
    request.check_available(&inner.fleet.borrow(), position, now_ms)?;
    if ahead == 0
        && let Some(slot) = try_take(inner, request, now_ms - started_ms, now_ms)
    {
        pressure::note_grant(inner, request.service, now_ms);
        return Ok(Step::Take(slot));
    }
    if now_ms >= request.until_ms {
        return Err(Kind::NoSlot.into());
    }
    let until_ms = request.until_ms.min(now_ms + RECHECK_INTERVAL_MS);
    if !inner.serves_by_rank() {
        return Ok(Step::WaitUntil(until_ms));
    }
    match verdict(inner, request, ahead, now_ms) {
        Verdict::WaitUntil(at_ms) => Ok(Step::WaitUntil(until_ms.min(at_ms))),
        Verdict::Refuse => Err(RefusedBy::ForeseenWait.into()),
        // No slot became free, so it does not count as granted.
        Verdict::Offer => {
            Ok(overload::offer(inner, request, now_ms)
                .map_or(Step::WaitUntil(until_ms), Step::Take))
        }
    }
}

/// Adds a request to the wait queue; none if the queue is full of requests that go first.
fn enqueue(inner: &Inner, service: &str, turn: Turn, is_return: bool) -> Option<Waiter> {
    let limit = if inner.serves_by_rank() { QUEUE_LIMIT } else { usize::MAX };
    with_state(inner, service, |ServiceState { wait_queue, .. }| {
        if is_return { wait_queue.requeue(turn, limit) } else { wait_queue.enqueue(turn, limit) }
    })
}

/// Decides on a request that has found no free slot.
fn verdict(inner: &Inner, request: &SlotRequest<'_>, ahead: usize, now_ms: u64) -> Verdict {
    let open_ms = request.bounds.commits_ms().saturating_sub(now_ms);
    with_state(inner, request.service, |state| {
        let urgent_per_s = state.queued.per_s_above(request.rank.demand_rank(), now_ms);
        let free_slots = overload::load(inner, request.service, state, now_ms).free_slots;
        let granted_per_s = state.grant_rate.per_s(now_ms);
        let prospect = granted_per_s.map(|granted_per_s| Prospect {
            ahead,
            granted_per_s,
            urgent_per_s,
            free_slots,
            open_ms,
        });
        request.bounds.verdict(prospect, now_ms)
    })
}

/// Runs an action on the state of a service.
fn with_state<T>(inner: &Inner, service: &str, run: impl FnOnce(&mut ServiceState) -> T) -> T {
    let mut services = inner.services.borrow_mut();
    match services.get_mut(service) {
        Some(state) => run(state),
        None => run(services.entry(service.to_owned()).or_default()),
    }
}

/// Counts a request as waiting until it is dropped.
struct WaitGuard<'a> {
    /// The state of this gateway VM.
    inner: &'a Inner,
    /// The service.
    service: &'a str,
}

impl<'a> WaitGuard<'a> {
    /// Counts a request as waiting.
    fn begin(inner: &'a Inner, service: &'a str) -> WaitGuard<'a> {
        let now_ms = inner.now_ms();
        with_state(inner, service, |state| state.grant_rate.begin_wait(now_ms));
        WaitGuard { inner, service }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let now_ms = self.inner.now_ms();
        with_state(self.inner, self.service, |state| state.grant_rate.end_wait(now_ms));
    }
}

/// Takes the best free slot, if any is acceptable after `waited_ms`.
pub(crate) fn try_take(
    inner: &Rc<Inner>,
    request: &SlotRequest<'_>,
    waited_ms: u64,
    now_ms: u64,
) -> Option<Slot> {
    let mut fleet = inner.fleet.borrow_mut();
    let state = &inner.services.borrow()[request.service];
    let demand = &state.demand;
    let requests_fail = demand.is_failing(request.is_repeatable, now_ms);
    let entry_vms = inner.mesh.entry_set.count() as f64;
    let bytes = request.bytes as f64 + fleet.route(request.route).answer_bytes();
    let pick_request = PickRequest {
        service: request.service,
        vm: inner.mesh.id(),
        hall: &inner.settings.hall,
        is_repeatable: request.is_repeatable,
        tried: request.tried,
        waited_ms,
        far_bytes_cost: inner.settings.halls.cost_in_requests(bytes),
        objective_ms: request.objective_ms,
        floor_share: inner.settings.floor.target_share(),
        requests_fail,
        requests_per_s: demand.per_s(now_ms).map(|per_s| per_s * entry_vms),
        is_spared: inner.serves_by_rank() && request.is_spared(state, now_ms),
    };
    let pick = choose(&fleet, &pick_request, now_ms, &mut rand::rng())?;
    Some(Slot::begin(inner, &mut fleet, request, pick, now_ms))
}

impl Slot {
    /// Takes a slot at the picked backend server.
    pub fn begin(
        inner: &Rc<Inner>,
        fleet: &mut Fleet,
        request: &SlotRequest<'_>,
        pick: Pick,
        now_ms: u64,
    ) -> Slot {
        fleet.begin_request(pick.key, request.route, now_ms);
        inner.mesh.note_backend_change();
        Slot {
            inner: Rc::clone(inner),
            service: request.service.to_owned(),
            key: pick.key,
            pick,
            since_ms: now_ms,
            route: request.route,
            outcome: Cell::new(Outcome::Abandoned),
        }
    }

    /// Sets the outcome of the request.
    pub fn end(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now_ms = self.inner.now_ms();
        let (since_ms, route) = (self.since_ms, self.route);
        let outcome = match self.outcome.get() {
            good @ Outcome::Good { .. } => good,
            // While this VM's own links are lost, failures show nothing about the backend server.
            _ if self.inner.links.is_lost(&self.service) => Outcome::Neutral,
            other => other,
        };
        let mut fleet = self.inner.fleet.borrow_mut();
        fleet.end_request(self.key, since_ms, route, outcome, now_ms);
        drop(fleet);
        self.inner.mesh.note_backend_change();
        if let Some(state) = self.inner.services.borrow_mut().get_mut(&self.service) {
            state.wait_queue.wake(1);
        }
    }
}
