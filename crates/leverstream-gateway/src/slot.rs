use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use leverstream_core::{Availability, Fleet, Outcome, Pick, PickRequest, RouteKey, choose};
use leverstream_error::Kind;
use leverstream_health::BackendKey;
use leverstream_workspace::WorkspaceId;

use crate::gateway::Inner;
use crate::waiting::Rank;

/// After how long one who waits looks again without being woken: loads of other VMs go stale.
const LOOK_AGAIN_MS: u64 = 60;

/// How many times what limits usually take to let a request through must be left for one to wait for it: which VM gets the next
/// permit is chance, and one that waits in vain is told late.
const LIMITED_MARGIN: f64 = 2.0;

/// What a request needs to know to get a slot.
pub(crate) struct SlotWant<'a> {
    /// The service.
    pub service: &'a str,
    /// Whether the request may be sent on once more if it fails there.
    pub is_repeatable: bool,
    /// Its rank.
    pub rank: Rank,
    /// Its workspace, among which those of a rank take turns.
    pub workspace: Option<WorkspaceId>,
    /// Where it was already.
    pub tried: &'a [BackendKey],
    /// Its route.
    pub route: RouteKey,
    /// Its size, in bytes.
    pub bytes: usize,
    /// The time within which its answer is on time.
    pub objective_ms: u64,
    /// Until when it is worth waiting.
    pub until_ms: u64,
}

impl SlotWant<'_> {
    /// Refuses a request that no backend server will take in its time, so that its caller is told at once.
    fn check_open(&self, fleet: &Fleet, queue: Queue, now_ms: u64) -> Result<(), Kind> {
        match fleet.availability(self.service, now_ms) {
            Availability::NoBackendServer => Err(Kind::NoBackend),
            Availability::HoldsOffUntil(at_ms) if at_ms >= self.until_ms => {
                Err(Kind::BackendsHoldOff)
            }
            Availability::Limited { per_s, from_ms } => {
                let is_next = queue.ahead == 0 && (from_ms <= now_ms || queue.has_waited);
                let needed_ms = (queue.ahead + 1) as f64 / per_s * 1_000.0;
                let margin = if queue.has_waited { 1.0 } else { LIMITED_MARGIN };
                let fits = now_ms as f64 + needed_ms * margin <= self.until_ms as f64;
                if is_next || fits { Ok(()) } else { Err(Kind::BackendsHoldOff) }
            }
            Availability::HoldsOffUntil(_) | Availability::Available => Ok(()),
        }
    }
}

/// How a request stands among those that wait.
#[derive(Clone, Copy, Debug)]
struct Queue {
    /// How many go before it.
    ahead: usize,
    /// Whether it has waited already.
    has_waited: bool,
}

/// A slot at a backend server, held until it is dropped.
pub(crate) struct Slot {
    /// The VM.
    inner: Rc<Inner>,
    /// The service.
    service: String,
    /// The backend server.
    pub key: BackendKey,
    /// How it looked when it was chosen, and among how many.
    pub pick: Pick,
    /// When it was taken.
    pub since_ms: u64,
    /// The request's route.
    route: RouteKey,
    /// How the request ended.
    outcome: Cell<Outcome>,
}

/// Takes a slot, waiting for one if none is free.
pub(crate) async fn take(inner: &Rc<Inner>, want: &SlotWant<'_>) -> Result<Slot, Kind> {
    let began_ms = inner.now_ms();
    let turn = {
        let mut services = inner.services.borrow_mut();
        let waiting = &mut services.entry(want.service.to_owned()).or_default().waiting;
        waiting.turn(want.rank, want.workspace)
    };
    loop {
        let now_ms = inner.now_ms();
        let ahead = inner.services.borrow()[want.service].waiting.before(turn);
        let queue = Queue { ahead, has_waited: now_ms > began_ms };
        want.check_open(&inner.fleet.borrow(), queue, now_ms)?;
        if ahead == 0
            && let Some(slot) = try_take(inner, want, now_ms - began_ms, now_ms)
        {
            return Ok(slot);
        }
        if now_ms >= want.until_ms {
            return Err(Kind::NoSlot);
        }
        let woken = {
            let mut services = inner.services.borrow_mut();
            services.entry(want.service.to_owned()).or_default().waiting.enter(turn)
        };
        let wait_ms = LOOK_AGAIN_MS.min(want.until_ms - now_ms);
        // Woken or not, it looks again.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms.max(1)), woken).await;
    }
}

/// Takes the best free slot, if there is one worth taking by now.
pub(crate) fn try_take(
    inner: &Rc<Inner>,
    want: &SlotWant<'_>,
    waited_ms: u64,
    now_ms: u64,
) -> Option<Slot> {
    let mut fleet = inner.fleet.borrow_mut();
    let demand = &inner.services.borrow()[want.service].demand;
    let requests_fail = demand.is_failing(want.is_repeatable, now_ms);
    let sharers = inner.mesh.entry_set.count() as f64;
    let bytes = want.bytes as f64 + fleet.route(want.route).answer_bytes();
    let wanted = PickRequest {
        service: want.service,
        hall: &inner.settings.hall,
        is_repeatable: want.is_repeatable,
        tried: want.tried,
        waited_ms,
        far_bytes_cost: inner.settings.halls.cost(bytes),
        objective_ms: want.objective_ms,
        floor_share: inner.settings.floor.aim(),
        requests_fail,
        requests_per_s: demand.per_s(now_ms).map(|per_s| per_s * sharers),
    };
    let pick = choose(&fleet, &wanted, now_ms, &mut rand::rng())?;
    fleet.begin_request(pick.key, want.route, now_ms);
    inner.mesh.note_backend_change();
    Some(Slot {
        inner: Rc::clone(inner),
        service: want.service.to_owned(),
        key: pick.key,
        pick,
        since_ms: now_ms,
        route: want.route,
        outcome: Cell::new(Outcome::Abandoned),
    })
}

impl Slot {
    /// Tells how the request ended.
    pub fn end(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now_ms = self.inner.now_ms();
        let (since_ms, route) = (self.since_ms, self.route);
        let mut fleet = self.inner.fleet.borrow_mut();
        fleet.end_request(self.key, since_ms, route, self.outcome.get(), now_ms);
        drop(fleet);
        self.inner.mesh.note_backend_change();
        if let Some(state) = self.inner.services.borrow_mut().get_mut(&self.service) {
            state.waiting.wake(1);
        }
    }
}
