//! Lets requests of workspaces in within their allotments, which all VMs share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_pace::Clock;
use leverstream_peer::packet::Body;
use leverstream_peer::{self as peer, Packet, WorkspaceTally};
use leverstream_workspace::{
    Allotment, Allotments, Denied, EntryMembership, Granted, PeerVisibility, STARTUP_WINDOW_MS,
    UsageReport, WorkspaceId, Workspaces,
};
use tokio::sync::Notify;

use crate::mesh::Mesh;
use crate::meters::Meters;

/// How often those that share the traffic tell each other what they let in, also if that is nothing.
const BEAT_MS: u64 = 200;

/// After how long without a word a VM counts as unheard: two of those words may be lost.
const UNHEARD_MS: u64 = 500;

/// How many beats there are between two in which all is told again, against lost datagrams.
const BEATS_A_REPEAT: u64 = 5;

/// How long what is pressing gathers before it is told: in this time a workspace that sends 900 requests a second
/// through six VMs can go 15 over, of the 20 that the users allow besides a tenth.
const GATHER_MS: u64 = 20;

/// How long what a VM may have let in before it fell silent is kept free for it, in milliseconds: callers are told of
/// other VMs by then, and a VM cut off from the store as well trusts no key any more.
const GONE_MS: u64 = 30_000;

/// How long a request waits for word of the others if this VM has none.
const HOLD_MS: u64 = 60;

/// How long a request waits until it is decided how a VM that has just started begins: hearing the others takes 60 ms at the
/// most, and two calls to the store some ten.
const BEGIN_HOLD_MS: u64 = 150;

/// How often it looks meanwhile.
const LOOK_MS: u64 = 4;

/// How many workspaces one datagram tells of; each takes up to 20 bytes.
const WORKSPACES_A_DATAGRAM: usize = 60;

/// The allotments as this VM knows them, and whom it hears.
pub(crate) struct Admission {
    /// The allotments.
    allotments: RefCell<Allotments>,
    /// When each VM last told what it let in, and whether it had run for a window by then.
    heard: RefCell<HashMap<u64, (u64, bool)>>,
    /// Whether it is decided how this VM begins.
    has_begun: Cell<bool>,
    /// Told when a workspace's request has come.
    asked: Notify,
    /// Whether the configuration in force bounds any workspace.
    has_bounds: Cell<bool>,
    /// The workspaces of which others should be asked what they know.
    asks: RefCell<Vec<WorkspaceId>>,
    /// The VMs that wait for what this one knows of some workspaces, or of all; only they are answered, as all that callers
    /// are sent to are asked.
    askers: RefCell<Vec<(SocketAddr, Asked)>>,
    /// Told when others should hear of something at once.
    pressing: Notify,
}

impl Admission {
    /// Starts with nothing known.
    pub fn open(slack: f64) -> Admission {
        Admission {
            allotments: RefCell::new(Allotments::open(slack)),
            heard: RefCell::default(),
            has_begun: Cell::new(false),
            asked: Notify::new(),
            has_bounds: Cell::new(false),
            asks: RefCell::default(),
            askers: RefCell::default(),
            pressing: Notify::new(),
        }
    }

    /// Notes the workspaces of the configuration in force.
    pub fn set_workspaces(&self, workspaces: Option<&Workspaces>) {
        let is_bounded = |workspaces: &Workspaces| {
            workspaces.iter().any(|workspace| workspace.allotment.is_some())
        };
        self.has_bounds.set(workspaces.is_some_and(is_bounded));
    }

    /// Tells whether the configuration in force bounds any workspace.
    pub fn has_bounds(&self) -> bool {
        self.has_bounds.get()
    }

    /// Waits until a workspace's request has come.
    pub async fn until_asked(&self) {
        self.asked.notified().await;
    }

    /// Tells whether this VM hears another that has run for a window.
    pub fn hears_elder(&self, now_ms: u64) -> bool {
        self.heard.borrow().values().any(|(at_ms, is_elder)| *is_elder && is_fresh(*at_ms, now_ms))
    }

    /// Begins with nothing but the rate.
    pub fn begin_empty(&self) {
        self.allotments.borrow_mut().start_empty();
    }

    /// Notes that it is decided how this VM begins.
    pub fn begin(&self) {
        self.has_begun.set(true);
    }

    /// Lets a request of a workspace in if there is room for it.
    pub async fn spend(
        &self,
        id: WorkspaceId,
        allotment: Allotment,
        mesh: &Mesh,
        clock: Clock,
    ) -> Result<Granted, Denied> {
        let began_ms = clock.now_ms();
        if !self.hearing(mesh, began_ms).hears_most {
            let mut asks = self.asks.borrow_mut();
            if !asks.contains(&id) {
                asks.push(id);
            }
            self.pressing.notify_one();
        }
        self.asked.notify_one();
        while !self.hearing(mesh, clock.now_ms()).hears_most && clock.now_ms() < began_ms + HOLD_MS
        {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        while mesh.takes_callers()
            && !self.has_begun.get()
            && clock.now_ms() < began_ms + BEGIN_HOLD_MS
        {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        let now_ms = clock.now_ms();
        let hearing = self.hearing(mesh, now_ms);
        let result = self.allotments.borrow_mut().spend(id, allotment, hearing, now_ms);
        if result.is_ok_and(|spent| spent.is_urgent) {
            self.pressing.notify_one();
        }
        result
    }

    /// Takes in what another VM tells.
    pub fn take(
        &self,
        from: SocketAddr,
        told: &peer::Allotments,
        workspaces: Option<&Workspaces>,
        between: EntryMembership,
        now_ms: u64,
    ) {
        self.heard.borrow_mut().insert(told.reporter, (now_ms, told.is_elder));
        let mut allotments = self.allotments.borrow_mut();
        for tally in &told.workspaces {
            let id = WorkspaceId(tally.id);
            let workspace = workspaces.and_then(|workspaces| workspaces.by_id(id));
            let Some(allotment) = workspace.and_then(|workspace| workspace.allotment) else {
                continue;
            };
            let told_of = UsageReport { id, total: tally.total, room: tally.room.into() };
            allotments.apply_report(told.reporter, told_of, allotment, between, now_ms);
        }
        if !told.asks {
            return;
        }
        let ids: Vec<WorkspaceId> =
            told.workspaces.iter().map(|tally| WorkspaceId(tally.id)).collect();
        // One that shares the traffic and asks has just begun to, or heard nobody for a while.
        let wants_all = between == EntryMembership::Both || ids.is_empty();
        let asked = if wants_all { Asked::All } else { Asked::Some(ids) };
        self.askers.borrow_mut().push((from, asked));
        self.pressing.notify_one();
    }

    /// How much this VM hears of the others.
    fn hearing(&self, mesh: &Mesh, now_ms: u64) -> PeerVisibility {
        let heard = self.heard.borrow();
        let is_heard = |id: u64| heard.get(&id).is_some_and(|(at_ms, _)| is_fresh(*at_ms, now_ms));
        let placed: Vec<u64> =
            mesh.sharing.entry().iter().map(|member| member.identity.id).collect();
        let is_gone = |id: &u64| !placed.contains(id) && !is_heard(*id) && mesh.is_dead(*id);
        let dead = heard.keys().filter(|id| is_gone(id)).count();
        PeerVisibility::of(mesh.id(), &placed, is_heard, mesh.member_count(), dead)
    }

    /// What others are to be told by now, with what they are asked of.
    ///
    /// Those that share the traffic hear each other also where there is nothing to tell. The others, which get a request now
    /// and then, tell what they let in and hear answers: where each of 300 such VMs told 24 and heard them for 3 s after a
    /// request, that was 80 % of all bytes between VMs, and with answers alone 3 %.
    fn take_due(&self, asked: &[WorkspaceId], is_repeat: bool, now_ms: u64) -> Vec<UsageReport> {
        let since_ms = now_ms.saturating_sub(BEAT_MS * BEATS_A_REPEAT);
        let mut allotments = self.allotments.borrow_mut();
        let mut due = allotments.take_due_reports(is_repeat, since_ms);
        let is_named = |id: &WorkspaceId| due.iter().any(|told| told.id == *id);
        let unnamed: Vec<WorkspaceId> = asked.iter().copied().filter(|id| !is_named(id)).collect();
        due.extend(allotments.reports_on(&unnamed));
        due
    }
}

/// What a VM wants to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Asked {
    /// All that is known.
    All,
    /// What is known of some workspaces.
    Some(Vec<WorkspaceId>),
}

/// What telling others of allotments needs of the VM.
pub(crate) struct Teller {
    /// The clock.
    pub clock: Clock,
    /// The allotments.
    pub admission: Rc<Admission>,
    /// The other VMs.
    pub mesh: Rc<Mesh>,
    /// The counts.
    pub meters: Rc<Meters>,
}

impl Teller {
    /// Tells others what this VM lets in, for as long as the process runs.
    pub async fn run(self) {
        let mut beats = 0;
        loop {
            let beat = tokio::time::sleep(Duration::from_millis(BEAT_MS));
            let is_beat = tokio::select! {
                () = beat => true,
                () = self.admission.pressing.notified() => false,
            };
            let asked = std::mem::take(&mut *self.admission.asks.borrow_mut());
            let askers = std::mem::take(&mut *self.admission.askers.borrow_mut());
            self.answer(&askers);
            if !is_beat && asked.is_empty() {
                tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
            }
            let now_ms = self.clock.now_ms();
            if !self.admission.has_bounds.get() {
                continue;
            }
            beats += u64::from(is_beat);
            let is_repeat = is_beat && beats.is_multiple_of(BEATS_A_REPEAT);
            if is_repeat {
                self.forget(now_ms);
            }
            let due = self.admission.take_due(&asked, is_repeat, now_ms);
            let is_placed = self.mesh.takes_callers();
            if due.is_empty() && !is_placed {
                continue;
            }
            // Whoever callers are not sent to hears the others only when it asks.
            let asks = !asked.is_empty() || (!is_placed && !is_repeat);
            self.tell(&due, asks, &self.mesh.sharers());
        }
    }

    /// Tells those who asked what is known.
    fn answer(&self, askers: &[(SocketAddr, Asked)]) {
        let allotments = self.admission.allotments.borrow();
        for (from, asked) in askers {
            let told = match asked {
                Asked::All => allotments.all_reports(),
                Asked::Some(ids) => allotments.reports_on(ids),
            };
            self.tell(&told, false, &[*from]);
        }
    }

    /// Tells some VMs of workspaces, also that there is nothing to tell.
    fn tell(&self, due: &[UsageReport], asks: bool, to: &[SocketAddr]) {
        let tally = |told: &UsageReport| WorkspaceTally {
            id: told.id.0,
            total: told.total,
            room: told.room as i32,
        };
        let tallies: Vec<WorkspaceTally> = due.iter().map(tally).collect();
        let mut parts = tallies.chunks(WORKSPACES_A_DATAGRAM);
        let first = parts.next().unwrap_or_default();
        for part in std::iter::once(first).chain(parts) {
            let reporter = self.mesh.id();
            let is_elder = self.clock.now_ms() >= STARTUP_WINDOW_MS;
            let body = peer::Allotments { reporter, workspaces: part.to_vec(), asks, is_elder };
            let packet = Packet { body: Some(Body::Allotments(body)), ..Packet::default() };
            self.mesh.send(&self.meters, &packet, to);
        }
    }

    /// Forgets VMs and workspaces that have long been silent.
    fn forget(&self, now_ms: u64) {
        let mut heard = self.admission.heard.borrow_mut();
        heard.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < GONE_MS);
        let is_heard = |id| heard.contains_key(&id);
        self.admission.allotments.borrow_mut().forget(is_heard, now_ms);
    }
}

/// Tells whether what a VM told at a time still counts as heard.
fn is_fresh(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) < UNHEARD_MS
}
