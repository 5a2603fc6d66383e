//! Admits requests of a workspace by rank while its allotment is short.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use leverstream_admission::{
    AllotmentRanks, DemandScope, LateReports, LoopStalls, Rank, RankRate, ShortDecision,
    ShortRequest, TokenShortage, TokenTurn,
};
use leverstream_pace::Clock;
use leverstream_peer as peer;
use leverstream_workspace::{
    Allotment, Denied, EntryMembership, Granted, PeerVisibility, STARTUP_WINDOW_MS, UsageReport,
    WorkspaceId,
};

use super::{Admission, POLL_INTERVAL_MS};
use crate::mesh::Mesh;

/// How long after its last request a workspace is dropped, in milliseconds; its demand has decayed
/// to nothing by then.
const IDLE_MS: u64 = 60_000;

/// The workspaces by rank, if the settings turn that on.
#[derive(Default)]
pub(super) struct ByRank {
    /// Whether the settings let urgent requests go first while an allotment is short.
    is_enabled: bool,
    /// Whether the configuration in force has routes of at least two priorities.
    has_ranks: Cell<bool>,
    /// The workspaces that had requests recently.
    workspaces: RefCell<HashMap<WorkspaceId, RankedWorkspace>>,
    /// The VMs that send reports again after a pause.
    late_reports: RefCell<LateReports>,
    /// The stalls of this VM's event loop.
    loop_stalls: Cell<LoopStalls>,
}

/// The ranks of one workspace's requests.
#[derive(Default)]
struct RankedWorkspace {
    /// The ranks.
    ranks: AllotmentRanks,
    /// When its last request arrived here.
    last_request_ms: u64,
}

/// A request for a token of a workspace's allotment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenRequest {
    /// The workspace.
    pub id: WorkspaceId,
    /// Its allotment.
    pub allotment: Allotment,
    /// The rank of the request's route.
    pub rank: Rank,
    /// The latency objective of the route.
    pub objective_ms: u64,
    /// When the request arrived.
    pub arrived_ms: u64,
}

/// An admitted request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmittedRequest {
    /// Whether it waited for its token.
    pub has_waited: bool,
}

/// A refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// Why it was refused.
    pub denied: Denied,
    /// How long until its caller may retry, if that was decided by rank.
    pub retry_after_ms: Option<u64>,
}

/// A waiting request's turn in the queue, which it leaves when it is dropped.
struct WaitingTurn<'a> {
    /// The workspaces by rank.
    by_rank: &'a ByRank,
    /// The workspace.
    id: WorkspaceId,
    /// Its turn.
    turn: TokenTurn,
}

impl ByRank {
    /// Starts with no demand known.
    pub fn open(is_enabled: bool) -> ByRank {
        ByRank { is_enabled, ..ByRank::default() }
    }

    /// Updates whether the configuration in force has routes of at least two priorities.
    pub fn set_has_ranks(&self, has_ranks: bool) {
        self.has_ranks.set(has_ranks);
    }

    /// Tells whether urgent requests go first while an allotment is short. Without ranks in the
    /// configuration all is as without the setting.
    pub fn is_active(&self) -> bool {
        self.is_enabled && self.has_ranks.get()
    }

    /// Tells whether the reports of a VM are late whose last report arrived at `last_ms`.
    pub fn is_late(
        &self,
        membership: EntryMembership,
        reporter: u64,
        last_ms: Option<u64>,
        now_ms: u64,
    ) -> bool {
        let is_in_entry_set = membership == EntryMembership::Both;
        let mut late_reports = self.late_reports.borrow_mut();
        self.is_active() && late_reports.is_late(reporter, is_in_entry_set, last_ms, now_ms)
    }

    /// Tells whether a lower room that another VM reports is adopted.
    ///
    /// A VM that has just started knows only a fraction of its room, which says nothing to those
    /// that have run for longer. After a stall of this VM the room may be one from before it.
    pub fn adopts_room(&self, membership: EntryMembership, is_elder: bool, now_ms: u64) -> bool {
        let is_comparable = is_elder || now_ms < STARTUP_WINDOW_MS;
        self.is_active()
            && membership == EntryMembership::Both
            && is_comparable
            && !self.loop_stalls.get().may_read_backlog(now_ms)
    }

    /// Records a tick of the event loop.
    pub fn tick(&self, now_ms: u64) {
        let mut stalls = self.loop_stalls.get();
        stalls.tick(now_ms);
        self.loop_stalls.set(stalls);
    }

    /// Stores the arrivals at another VM.
    pub fn apply_demand(&self, reporter: u64, tally: &peer::WorkspaceTally, now_ms: u64) {
        if !self.is_active() || tally.demand.is_empty() {
            return;
        }
        let to_rate =
            |rate: &peer::RankRate| RankRate { rank: Rank(rate.rank), per_s: rate.per_s.into() };
        let rates = tally.demand.iter().map(to_rate).collect();
        self.update(WorkspaceId(tally.id), |workspace| {
            workspace.ranks.demand.apply_report(reporter, rates, now_ms);
            workspace.last_request_ms = now_ms;
        });
    }

    /// Returns the arrivals of a workspace's requests at this VM, to report to others.
    pub fn own_demand(&self, id: WorkspaceId, now_ms: u64) -> Vec<peer::RankRate> {
        let workspaces = self.workspaces.borrow();
        let Some(workspace) = workspaces.get(&id) else { return Vec::new() };
        let to_rate =
            |rate: RankRate| peer::RankRate { rank: rate.rank.0, per_s: rate.per_s as f32 };
        workspace.ranks.demand.own_rates(now_ms).into_iter().map(to_rate).collect()
    }

    /// Drops workspaces without a recent request, and VMs that no longer send reports.
    pub fn forget(&self, is_heard: impl Fn(u64) -> bool, now_ms: u64) {
        self.late_reports.borrow_mut().forget(is_heard);
        self.workspaces.borrow_mut().retain(|_, workspace| {
            now_ms.saturating_sub(workspace.last_request_ms) < IDLE_MS
                || workspace.ranks.queue.count() > 0
        });
    }

    /// Reads or changes a workspace, which is created if unknown.
    fn update<T>(&self, id: WorkspaceId, change: impl FnOnce(&mut RankedWorkspace) -> T) -> T {
        change(self.workspaces.borrow_mut().entry(id).or_default())
    }
}

impl Admission {
    /// Admits a request at once, after a short wait for its token, or not at all.
    pub(super) async fn spend_by_rank(
        &self,
        request: &TokenRequest,
        mesh: &Mesh,
        clock: Clock,
    ) -> Result<AdmittedRequest, Refusal> {
        let now_ms = clock.now_ms();
        let is_next = self.by_rank.update(request.id, |workspace| {
            workspace.last_request_ms = now_ms;
            workspace.ranks.demand.note_arrival(request.rank, now_ms);
            workspace.ranks.queue.is_before_all(request.rank)
        });
        let visibility = self.peer_visibility(mesh, now_ms);
        let result = match is_next {
            true => self.take_ranked(request, visibility, now_ms),
            false => Err(self.shortage_of(request, visibility, now_ms)),
        };
        let denied = match result {
            Ok(_) => return Ok(AdmittedRequest { has_waited: false }),
            Err(denied) => denied,
        };
        let decision = self.by_rank.update(request.id, |workspace| {
            let TokenRequest { rank, objective_ms, arrived_ms, .. } = *request;
            let request = ShortRequest { rank, objective_ms, arrived_ms };
            workspace.ranks.decide(shortage(denied), request, now_ms, &mut rand::rng())
        });
        match decision {
            ShortDecision::Refuse { retry_after_ms } => {
                Err(Refusal { denied, retry_after_ms: Some(retry_after_ms) })
            }
            ShortDecision::Wait { turn, until_ms } => {
                let waiting = WaitingTurn { by_rank: &self.by_rank, id: request.id, turn };
                self.wait_for_token(request, waiting, until_ms, mesh, clock).await
            }
        }
    }

    /// Waits until a request gets its token, or can no longer get it in time.
    async fn wait_for_token(
        &self,
        request: &TokenRequest,
        waiting: WaitingTurn<'_>,
        until_ms: u64,
        mesh: &Mesh,
        clock: Clock,
    ) -> Result<AdmittedRequest, Refusal> {
        loop {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            let now_ms = clock.now_ms();
            let visibility = self.peer_visibility(mesh, now_ms);
            let denied = match waiting.is_first() {
                true => match self.take_ranked(request, visibility, now_ms) {
                    Ok(_) => return Ok(AdmittedRequest { has_waited: true }),
                    Err(denied) => denied,
                },
                false => self.shortage_of(request, visibility, now_ms),
            };
            let turn = waiting.turn;
            let can_wait = self.by_rank.update(request.id, |workspace| {
                workspace.ranks.can_wait(shortage(denied), turn, until_ms, now_ms)
            });
            if !can_wait {
                drop(waiting);
                let retry_after_ms = self.by_rank.update(request.id, |workspace| {
                    let rng = &mut rand::rng();
                    workspace.ranks.refuse(shortage(denied), request.rank, now_ms, rng)
                });
                return Err(Refusal { denied, retry_after_ms: Some(retry_after_ms) });
            }
        }
    }

    /// Takes a token if there is one besides what is kept for more urgent requests.
    fn take_ranked(
        &self,
        request: &TokenRequest,
        visibility: PeerVisibility,
        now_ms: u64,
    ) -> Result<Granted, Denied> {
        let reserve = self.reserve(request, visibility, now_ms);
        self.take(request, visibility, reserve, now_ms)
    }

    /// Returns what a request behind others that wait is short of; the tokens that there are belong
    /// to them.
    fn shortage_of(
        &self,
        request: &TokenRequest,
        visibility: PeerVisibility,
        now_ms: u64,
    ) -> Denied {
        let TokenRequest { id, allotment, .. } = *request;
        let reserve = self.reserve(request, visibility, now_ms);
        self.allotments.borrow_mut().shortage(id, allotment, visibility, reserve, now_ms)
    }

    /// Returns the number of tokens that are kept for requests more urgent than this one.
    fn reserve(&self, request: &TokenRequest, visibility: PeerVisibility, now_ms: u64) -> f64 {
        self.by_rank.update(request.id, |workspace| {
            workspace.ranks.reserve(request.rank, scope(visibility.hears_most), now_ms)
        })
    }
}

/// Returns which demand counts; a VM that hears few others uses its own fraction of an allotment.
fn scope(hears_most: bool) -> DemandScope {
    if hears_most { DemandScope::Fleet } else { DemandScope::OwnVm }
}

/// Returns the shortage that a denied request meets.
fn shortage(denied: Denied) -> TokenShortage {
    let Denied { missing, rate_per_s, is_certain, .. } = denied;
    TokenShortage { missing, rate_per_s, scope: scope(is_certain) }
}

impl WaitingTurn<'_> {
    /// Tells whether the request goes first.
    fn is_first(&self) -> bool {
        self.by_rank.update(self.id, |workspace| workspace.ranks.queue.is_first(self.turn))
    }
}

impl Drop for WaitingTurn<'_> {
    fn drop(&mut self) {
        self.by_rank.update(self.id, |workspace| workspace.ranks.queue.leave(self.turn));
    }
}

/// Adds reports on low workspaces for which requests arrive here but none is admitted, so that the
/// others keep tokens for them.
pub(super) fn add_reports_of_demand(
    admission: &Admission,
    due: &mut Vec<UsageReport>,
    now_ms: u64,
) {
    let allotments = admission.allotments.borrow();
    let mut ids = allotments.low_workspaces(now_ms);
    ids.retain(|id| {
        due.iter().all(|report| report.id != *id)
            && !admission.by_rank.own_demand(*id, now_ms).is_empty()
    });
    due.extend(allotments.reports_on(&ids));
}
