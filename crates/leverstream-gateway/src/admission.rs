//! Admits requests of workspaces within their allotments, which all VMs share.

mod by_rank;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_admission::{
    REPORT_INTERVAL_MS, REPORT_MAX_AGE_MS, ReportRounds, TICK_INTERVAL_MS,
};
use leverstream_catalog::Catalog;
use leverstream_pace::Clock;
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, Packet, WorkspaceTally};
use leverstream_workspace::{
    Allotment, Allotments, Denied, EntryMembership, Granted, PeerVisibility, STARTUP_WINDOW_MS,
    UsageReport, WorkspaceId, Workspaces,
};
use tokio::sync::Notify;

use by_rank::ByRank;
pub(crate) use by_rank::{AdmittedRequest, Refusal, TokenRequest};

use crate::mesh::Mesh;
use crate::meters::Meters;

/// Intervals between two reports that repeat everything, in case datagrams are lost.
const INTERVALS_PER_REPEAT: u64 = 5;

/// How long urgent reports are batched. In this time a workspace that sends 900 requests a second
/// through six VMs can exceed its allotment by 15 requests; users accept 20 besides a tenth.
const URGENT_DELAY_MS: u64 = 20;

/// How long the allotment that an unresponsive VM may have used stays reserved for it, in
/// milliseconds. By then callers use other VMs, and a VM that is also cut off from the store no
/// longer trusts any key.
const PEER_RETENTION_MS: u64 = 30_000;

/// How long a request waits for reports of other VMs if this VM has none.
const PEER_WAIT_MS: u64 = 60;

/// How long a request waits until a VM that has just started has decided how to start: reports of
/// others arrive within 60 ms, and two calls to the store take about ten.
const START_WAIT_MS: u64 = 150;

/// The fraction of its objective for which a request that is admitted by rank waits for these
/// reports and this decision at most. A refused request that was held for longer counts as a fault
/// of the gateway.
const INFORMED_WAIT_FRACTION: f64 = 0.25;

/// The polling interval of waiting requests.
const POLL_INTERVAL_MS: u64 = 4;

/// Workspaces in one datagram; each takes up to 20 bytes.
const WORKSPACES_PER_DATAGRAM: usize = 60;

/// Workspaces in one datagram with the demand by rank, which takes up to 80 bytes more.
const RANKED_WORKSPACES_PER_DATAGRAM: usize = 12;

/// The allotments as this VM knows them, and the reports of other VMs.
pub(crate) struct Admission {
    /// The allotments.
    allotments: RefCell<Allotments>,
    /// When each VM last sent a report, and whether it had run for a whole window by then.
    last_reports: RefCell<HashMap<u64, (u64, bool)>>,
    /// Whether this VM has decided how to start.
    has_decided_start: Cell<bool>,
    /// Notified when a request of a workspace arrives.
    request_arrived: Notify,
    /// Whether the configuration in force gives any workspace an allotment.
    has_bounds: Cell<bool>,
    /// The allotments in the configuration in force.
    in_force: RefCell<HashMap<WorkspaceId, Allotment>>,
    /// The workspaces on which to request reports from other VMs.
    workspaces_to_request: RefCell<Vec<WorkspaceId>>,
    /// The VMs that requested reports, and on which workspaces. Only they get an answer, as a VM
    /// sends its request to all entry VMs.
    report_requests: RefCell<Vec<(SocketAddr, RequestedReports)>>,
    /// Notified when a report or a request for reports must be sent soon.
    report_urgent: Notify,
    /// The workspaces by rank.
    by_rank: ByRank,
}

impl Admission {
    /// Starts with no usage known. `is_by_rank` tells whether the settings let urgent requests go
    /// first while an allotment is short.
    pub fn open(slack: f64, is_by_rank: bool) -> Admission {
        Admission {
            allotments: RefCell::new(Allotments::open(slack)),
            last_reports: RefCell::default(),
            has_decided_start: Cell::new(false),
            request_arrived: Notify::new(),
            has_bounds: Cell::new(false),
            in_force: RefCell::default(),
            workspaces_to_request: RefCell::default(),
            report_requests: RefCell::default(),
            report_urgent: Notify::new(),
            by_rank: ByRank::open(is_by_rank),
        }
    }

    /// Updates whether the configuration in force limits any workspace and has several ranks.
    pub fn set_catalog(&self, catalog: &Catalog) {
        let workspaces = catalog.workspaces.iter().flat_map(Workspaces::iter);
        let in_force: HashMap<WorkspaceId, Allotment> = workspaces
            .filter_map(|workspace| Some((workspace.id(), workspace.allotment?)))
            .collect();
        self.has_bounds.set(!in_force.is_empty());
        *self.in_force.borrow_mut() = in_force;
        self.by_rank.set_has_ranks(catalog.has_several_priorities());
    }

    /// Tells whether the configuration in force gives any workspace an allotment.
    pub fn has_bounds(&self) -> bool {
        self.has_bounds.get()
    }

    /// Waits until a request of a workspace arrives.
    pub async fn until_request(&self) {
        self.request_arrived.notified().await;
    }

    /// Tells whether this VM has a recent report from a VM that has run for a whole window.
    pub fn has_elder_report(&self, now_ms: u64) -> bool {
        self.last_reports
            .borrow()
            .values()
            .any(|(at_ms, is_elder)| *is_elder && is_recent(*at_ms, now_ms))
    }

    /// Starts every bucket empty, so that only the rate admits requests.
    pub fn start_empty(&self) {
        self.allotments.borrow_mut().start_empty();
    }

    /// Records that this VM has decided how to start.
    pub fn mark_start_decided(&self) {
        self.has_decided_start.set(true);
    }

    /// Tells whether urgent requests go first while an allotment is short.
    pub fn is_by_rank(&self) -> bool {
        self.by_rank.is_active()
    }

    /// Ticks for as long as the process runs, so that stalls of the event loop are noticed.
    pub async fn watch_stalls(self: Rc<Self>, clock: Clock) {
        loop {
            self.by_rank.tick(clock.now_ms());
            tokio::time::sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
        }
    }

    /// Admits a request of a workspace if its allotment allows it.
    pub async fn spend(
        &self,
        request: &TokenRequest,
        mesh: &Mesh,
        clock: Clock,
    ) -> Result<AdmittedRequest, Refusal> {
        let max_wait_ms = match self.by_rank.is_active() {
            true => (request.objective_ms as f64 * INFORMED_WAIT_FRACTION) as u64,
            false => u64::MAX,
        };
        self.until_informed(request.id, max_wait_ms, mesh, clock).await;
        if self.by_rank.is_active() {
            return self.spend_by_rank(request, mesh, clock).await;
        }
        let now_ms = clock.now_ms();
        let visibility = self.peer_visibility(mesh, now_ms);
        match self.take(request, visibility, 0.0, now_ms) {
            Ok(_) => Ok(AdmittedRequest { has_waited: false }),
            Err(denied) => Err(Refusal { denied, retry_after_ms: None }),
        }
    }

    /// Waits for a short time, `max_wait_ms` at most, until this VM has reports of others and has
    /// decided how to start.
    async fn until_informed(&self, id: WorkspaceId, max_wait_ms: u64, mesh: &Mesh, clock: Clock) {
        let started_ms = clock.now_ms();
        if !self.peer_visibility(mesh, started_ms).hears_most {
            let mut workspaces = self.workspaces_to_request.borrow_mut();
            if !workspaces.contains(&id) {
                workspaces.push(id);
            }
            self.report_urgent.notify_one();
        }
        self.request_arrived.notify_one();
        while !self.peer_visibility(mesh, clock.now_ms()).hears_most
            && clock.now_ms() < started_ms + PEER_WAIT_MS.min(max_wait_ms)
        {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        while mesh.takes_callers()
            && !self.has_decided_start.get()
            && clock.now_ms() < started_ms + START_WAIT_MS.min(max_wait_ms)
        {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Takes a token, besides a reserve that is kept for more urgent requests.
    fn take(
        &self,
        request: &TokenRequest,
        visibility: PeerVisibility,
        reserve: f64,
        now_ms: u64,
    ) -> Result<Granted, Denied> {
        let TokenRequest { id, allotment, .. } = *request;
        let result = self.allotments.borrow_mut().spend(id, allotment, visibility, reserve, now_ms);
        if result.is_ok_and(|granted| granted.is_urgent) {
            self.report_urgent.notify_one();
        }
        result
    }

    /// Applies a message from another VM.
    pub fn receive(
        &self,
        from: SocketAddr,
        message: &peer::Allotments,
        workspaces: Option<&Workspaces>,
        membership: EntryMembership,
        now_ms: u64,
    ) {
        let latest = (now_ms, message.is_elder);
        let last = self.last_reports.borrow_mut().insert(message.reporter, latest);
        let last_ms = last.map(|(at_ms, _)| at_ms);
        let is_late = self.by_rank.is_late(membership, message.reporter, last_ms, now_ms);
        let adopts_room = self.by_rank.adopts_room(membership, message.is_elder, now_ms);
        let mut allotments = self.allotments.borrow_mut();
        for tally in &message.workspaces {
            let id = WorkspaceId(tally.id);
            let workspace = workspaces.and_then(|workspaces| workspaces.by_id(id));
            let Some(allotment) = workspace.and_then(|workspace| workspace.allotment) else {
                continue;
            };
            let report = UsageReport { id, total: tally.total, room: tally.room.into() };
            if is_late {
                allotments.apply_late_report(message.reporter, report, allotment, now_ms);
            } else {
                allotments.apply_report(message.reporter, report, allotment, membership, now_ms);
            }
            if adopts_room {
                allotments.adopt_lower_room(report, allotment, now_ms);
            }
            self.by_rank.apply_demand(message.reporter, tally, now_ms);
        }
        if !message.asks {
            return;
        }
        let ids: Vec<WorkspaceId> =
            message.workspaces.iter().map(|tally| WorkspaceId(tally.id)).collect();
        // An entry VM that requests reports has just joined the entry set, or had no reports for a
        // while.
        let wants_all = membership == EntryMembership::Both || ids.is_empty();
        let requested = if wants_all { RequestedReports::All } else { RequestedReports::Some(ids) };
        self.report_requests.borrow_mut().push((from, requested));
        self.report_urgent.notify_one();
    }

    /// How many of the other VMs have reported recently.
    fn peer_visibility(&self, mesh: &Mesh, now_ms: u64) -> PeerVisibility {
        let last_reports = self.last_reports.borrow();
        let has_report =
            |id: u64| last_reports.get(&id).is_some_and(|(at_ms, _)| is_recent(*at_ms, now_ms));
        let entry_vms: Vec<u64> =
            mesh.entry_set.members().iter().map(|member| member.identity.id).collect();
        let is_dead_peer =
            |id: &u64| !entry_vms.contains(id) && !has_report(*id) && mesh.is_dead(*id);
        let dead = last_reports.keys().filter(|id| is_dead_peer(id)).count();
        PeerVisibility::of(mesh.id(), &entry_vms, has_report, mesh.member_count(), dead)
    }

    /// Refills the buckets before a report by rank: other VMs adopt the room, so it must not lack
    /// what returned since the last request.
    fn refill(&self, now_ms: u64) {
        if self.by_rank.is_active() {
            let in_force = self.in_force.borrow();
            self.allotments.borrow_mut().refill(|id| in_force.get(&id).copied(), now_ms);
        }
    }

    /// The reports that are due, and those on the workspaces that this VM requests.
    ///
    /// Entry VMs report to each other even if there is nothing new. The other VMs get a request now
    /// and then; they report what they admitted and get only the answers they request. When each of
    /// 300 such VMs reported to 24 and received their reports for 3 s after a request, that was
    /// 80 % of all bytes between VMs; with answers alone it is 3 %.
    fn take_due_reports(
        &self,
        requested: &[WorkspaceId],
        is_repeat: bool,
        now_ms: u64,
    ) -> Vec<UsageReport> {
        let since_ms = now_ms.saturating_sub(REPORT_INTERVAL_MS * INTERVALS_PER_REPEAT);
        self.refill(now_ms);
        let mut allotments = self.allotments.borrow_mut();
        let mut due = allotments.take_due_reports(is_repeat, since_ms);
        let is_included = |id: &WorkspaceId| due.iter().any(|report| report.id == *id);
        let missing: Vec<WorkspaceId> =
            requested.iter().copied().filter(|id| !is_included(id)).collect();
        due.extend(allotments.reports_on(&missing));
        due
    }
}

/// The reports that a VM requests.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestedReports {
    /// All reports.
    All,
    /// Reports on some workspaces.
    Some(Vec<WorkspaceId>),
}

/// Sends reports of allotment usage to the other VMs.
pub(crate) struct UsageReporter {
    /// The clock.
    pub clock: Clock,
    /// The allotments.
    pub admission: Rc<Admission>,
    /// The other VMs.
    pub mesh: Rc<Mesh>,
    /// The metrics.
    pub meters: Rc<Meters>,
}

impl UsageReporter {
    /// Sends reports for as long as the process runs.
    pub async fn run(self) {
        let mut report_count = 0;
        let mut rounds = ReportRounds::open(self.clock.now_ms());
        loop {
            let delay_ms = rounds.delay_ms(self.clock.now_ms());
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(delay_ms)) => {}
                () = self.admission.report_urgent.notified() => {}
            }
            let is_periodic = rounds.take_due(self.clock.now_ms());
            let requested = std::mem::take(&mut *self.admission.workspaces_to_request.borrow_mut());
            let report_requests = std::mem::take(&mut *self.admission.report_requests.borrow_mut());
            self.answer_requests(&report_requests);
            if !is_periodic && requested.is_empty() {
                tokio::time::sleep(Duration::from_millis(URGENT_DELAY_MS)).await;
            }
            let now_ms = self.clock.now_ms();
            if !self.admission.has_bounds.get() {
                continue;
            }
            report_count += u64::from(is_periodic);
            let is_repeat = is_periodic && report_count.is_multiple_of(INTERVALS_PER_REPEAT);
            if is_repeat {
                self.forget(now_ms);
            }
            let mut due = self.admission.take_due_reports(&requested, is_repeat, now_ms);
            let is_entry_vm = self.mesh.takes_callers();
            if self.admission.is_by_rank() && is_periodic && is_entry_vm {
                by_rank::add_reports_of_demand(&self.admission, &mut due, now_ms);
            }
            if due.is_empty() && !is_entry_vm {
                continue;
            }
            // A VM outside the entry set gets reports only if it requests them.
            let asks = !requested.is_empty() || (!is_entry_vm && !is_repeat);
            self.send_reports(&due, asks, &self.mesh.entry_peer_addresses());
        }
    }

    /// Answers the VMs that requested reports.
    fn answer_requests(&self, report_requests: &[(SocketAddr, RequestedReports)]) {
        if report_requests.is_empty() {
            return;
        }
        self.admission.refill(self.clock.now_ms());
        let allotments = self.admission.allotments.borrow();
        for (from, requested) in report_requests {
            let reports = match requested {
                RequestedReports::All => allotments.all_reports(),
                RequestedReports::Some(ids) => allotments.reports_on(ids),
            };
            self.send_reports(&reports, false, &[*from]);
        }
    }

    /// Sends reports to some VMs, even if there are none.
    fn send_reports(&self, due: &[UsageReport], asks: bool, to: &[SocketAddr]) {
        let (tallies, per_datagram) = self.tallies(due);
        let mut chunks = tallies.chunks(per_datagram);
        let first = chunks.next().unwrap_or_default();
        for chunk in std::iter::once(first).chain(chunks) {
            let reporter = self.mesh.id();
            let is_elder = self.clock.now_ms() >= STARTUP_WINDOW_MS;
            let body = peer::Allotments { reporter, workspaces: chunk.to_vec(), asks, is_elder };
            let packet = Packet { body: Some(Body::Allotments(body)), ..Packet::default() };
            self.mesh.send(&self.meters, &packet, to);
        }
    }

    /// Returns what a message says about each workspace, with this VM's arrivals by rank where the
    /// bucket is low, and how many workspaces fit into one datagram.
    fn tallies(&self, due: &[UsageReport]) -> (Vec<WorkspaceTally>, usize) {
        let by_rank = &self.admission.by_rank;
        let now_ms = self.clock.now_ms();
        let low = match by_rank.is_active() && self.mesh.takes_callers() {
            true => self.admission.allotments.borrow().low_workspaces(now_ms),
            false => Vec::new(),
        };
        let demand = |id: WorkspaceId| match low.contains(&id) {
            true => by_rank.own_demand(id, now_ms),
            false => Vec::new(),
        };
        let tally = |report: &UsageReport| WorkspaceTally {
            id: report.id.0,
            total: report.total,
            room: report.room as i32,
            demand: demand(report.id),
        };
        let per_datagram =
            if low.is_empty() { WORKSPACES_PER_DATAGRAM } else { RANKED_WORKSPACES_PER_DATAGRAM };
        (due.iter().map(tally).collect(), per_datagram)
    }

    /// Forgets VMs and workspaces that have been idle for long.
    fn forget(&self, now_ms: u64) {
        let mut last_reports = self.admission.last_reports.borrow_mut();
        last_reports.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < PEER_RETENTION_MS);
        let has_report = |id| last_reports.contains_key(&id);
        self.admission.allotments.borrow_mut().forget(has_report, now_ms);
        self.admission.by_rank.forget(has_report, now_ms);
    }
}

/// Tells whether a report received at `at_ms` still counts.
fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) < REPORT_MAX_AGE_MS
}
