use std::collections::HashMap;

use crate::level::Level;
use crate::{Allotment, Hearing, WorkspaceId};

/// The part of the slack that is given to callers as more burst; the rest covers what VMs let in before they hear of
/// each other.
const SLACK_AS_BURST: f64 = 0.5;

/// The part of a burst with which a process begins that cannot know what was let in before it started.
///
/// After a loss of all VMs the window still holds what the last ones let in: the rate and up to one burst. Half
/// a burst more stays below a tenth of both and the slack while the fleet takes a second to come back.
const FIRST_PART: f64 = 0.5;

/// How long after its start a process counts as one that cannot know, in milliseconds: a window of five seconds.
pub const FIRST_MS: u64 = 5_000;

/// Below which part of its burst a workspace counts as pressed: each request is then told at once.
const PRESSED_PART: f64 = 0.6;

/// The part of the slack that may have been let in without being told while no workspace is pressed, over all VMs.
const UNTOLD_PART: f64 = 0.3;

/// How many VMs are assumed to share the traffic where that is divided among them.
const UNTOLD_VMS: f64 = 6.0;

/// After how long without requests a workspace is forgotten, in milliseconds; its burst is whole again by then.
const IDLE_MS: u64 = 60_000;

/// The allotments of workspaces over all VMs, as one of these knows them.
///
/// Each VM keeps its own copy of one token bucket a workspace: it takes what it lets in itself and what the others
/// say they let in. What several let in before they heard of each other takes the room below zero, so that it is
/// paid back before more is let in, and does not add up. A VM that hears less than half of those that share the
/// traffic lets in no more than its part; the others keep such parts free (see [`Hearing`]).
#[derive(Clone, Debug)]
pub struct Allotments {
    /// Requests in a window beyond rate and burst that may be let in by mistake.
    slack: f64,
    /// The part of a burst with which this process begins.
    first_part: f64,
    /// The workspaces that had requests of late.
    shares: HashMap<WorkspaceId, Share>,
}

/// What is known of one workspace.
#[derive(Clone, Debug)]
struct Share {
    /// The room by what all VMs let in.
    all: Level,
    /// The room by what this VM lets in, as if it were alone with its part.
    alone: Level,
    /// How many requests this VM has let in since it started.
    total: u64,
    /// How many of those the others were told.
    told: u64,
    /// When it last had a request, here or elsewhere.
    used_ms: u64,
    /// When this VM last let one in.
    spent_ms: u64,
    /// Whether little room was left then.
    is_pressed: bool,
    /// How many each other VM has let in since that one started.
    others: HashMap<u64, u64>,
}

/// What a VM tells others of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// The workspace.
    pub id: WorkspaceId,
    /// How many of its requests the VM has let in since it started.
    pub total: u64,
    /// The room that the VM sees for more.
    pub room: f64,
}

/// Which of two VMs callers are sent to, where one tells the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Between {
    /// Both: each hears all that callers are sent to.
    Placed,
    /// The one that hears it, which tells the other only what it asks for.
    PlacedFromStray,
    /// The one that tells, or neither.
    StrayFromPlaced,
}

/// A request that was let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spent {
    /// The room that is left.
    pub room: f64,
    /// Whether the others should be told at once.
    pub is_pressed: bool,
}

/// A request that was not let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denied {
    /// When there will be room, in milliseconds from now.
    pub wait_ms: u64,
    /// The room as known.
    pub room: f64,
    /// Whether the workspace has used up its allotment for sure, or this VM its part while it hears few others.
    pub is_certain: bool,
}

impl Allotments {
    /// Starts with nothing known.
    pub fn open(slack: f64) -> Allotments {
        Allotments { slack, first_part: FIRST_PART, shares: HashMap::new() }
    }

    /// Begins without any part of a burst: all VMs were lost for the second time within a window, whose first loss had it.
    ///
    /// Each loss would bring half a burst more otherwise: 1,579 requests in a window that may hold 1,307 with six VMs
    /// killed every half second in simulated time.
    pub fn begin_empty(&mut self) {
        self.first_part = 0.0;
        self.shares.values_mut().for_each(|share| share.all.lower(0.0));
    }

    /// Lets a request in if there is room for it.
    pub fn spend(
        &mut self,
        id: WorkspaceId,
        allotment: Allotment,
        hearing: Hearing,
        now_ms: u64,
    ) -> Result<Spent, Denied> {
        let limit = self.limit(allotment);
        let share = self.share(id, limit, now_ms);
        share.used_ms = now_ms;
        let open_part = 1.0 - hearing.unheard_part;
        let own_rate = allotment.rate_per_s * hearing.own_part;
        let rate_per_s = allotment.rate_per_s * open_part;
        let of_all = share.all.refill(rate_per_s, (limit * open_part).max(1.0), now_ms);
        let of_own = share.alone.refill(own_rate, limit * hearing.own_part, now_ms);
        let is_certain = hearing.hears_most;
        let room = if is_certain { of_all } else { of_own };
        if room < 1.0 {
            let (level, rate) =
                if is_certain { (share.all, rate_per_s) } else { (share.alone, own_rate) };
            return Err(Denied { wait_ms: level.wait_ms(rate), room, is_certain });
        }
        share.all.take(1.0);
        share.alone.take_down_to(1.0, 0.0);
        share.total += 1;
        share.spent_ms = now_ms;
        share.is_pressed = of_all < limit * PRESSED_PART;
        Ok(Spent { room: room - 1.0, is_pressed: share.is_pressed })
    }

    /// Takes in what another VM tells of a workspace with an allotment.
    ///
    /// A VM that hears all others counts what each let in. One that callers are not sent to hears only those they
    /// are sent to, and goes by the room that these see (`between` tells): what other such VMs let in is in it.
    pub fn hear(
        &mut self,
        reporter: u64,
        told: Told,
        allotment: Allotment,
        between: Between,
        now_ms: u64,
    ) {
        let limit = self.limit(allotment);
        let share = self.share(told.id, limit, now_ms);
        share.all.refill(allotment.rate_per_s, limit, now_ms);
        share.used_ms = now_ms;
        match share.others.insert(reporter, told.total) {
            Some(before) if between != Between::StrayFromPlaced => {
                share.all.take(told.total.saturating_sub(before) as f64);
            }
            _ => share.all.lower(told.room),
        }
    }

    /// Takes what the others are to be told: of pressed workspaces each request, of others once a few were let in,
    /// and all that had requests since `since_ms` if `is_whole`.
    pub fn take_due(&mut self, is_whole: bool, since_ms: u64) -> Vec<Told> {
        let untold_limit = (self.slack * UNTOLD_PART / UNTOLD_VMS).max(1.0);
        let due = self.shares.iter_mut().filter_map(|(id, share)| {
            let untold = share.total - share.told;
            let is_repeated = is_whole && share.total > 0 && share.spent_ms >= since_ms;
            let presses = share.is_pressed && untold > 0;
            let is_due = is_repeated || presses || untold as f64 >= untold_limit;
            if !is_due {
                return None;
            }
            share.told = share.total;
            Some(share.tell(*id))
        });
        due.collect()
    }

    /// All that this VM has let in, for one that has just begun to ask.
    pub fn known(&self) -> Vec<Told> {
        self.shares.iter().map(|(id, share)| share.tell(*id)).collect()
    }

    /// What this VM knows of some workspaces; against one of which it knows nothing it has nothing to say.
    pub fn word_on(&self, ids: &[WorkspaceId]) -> Vec<Told> {
        let nothing = |id| Told { id, total: 0, room: f64::INFINITY };
        let word = |id: &WorkspaceId| {
            self.shares.get(id).map_or_else(|| nothing(*id), |share| share.tell(*id))
        };
        ids.iter().map(word).collect()
    }

    /// Forgets workspaces that have had no request for long, and what VMs told that are no longer heard of.
    pub fn forget(&mut self, is_heard: impl Fn(u64) -> bool, now_ms: u64) {
        self.shares.retain(|_, share| now_ms.saturating_sub(share.used_ms) < IDLE_MS);
        for share in self.shares.values_mut() {
            share.others.retain(|reporter, _| is_heard(*reporter));
        }
    }

    /// The most room that a workspace can have.
    fn limit(&self, allotment: Allotment) -> f64 {
        allotment.burst + self.slack * SLACK_AS_BURST
    }

    /// What is known of a workspace.
    fn share(&mut self, id: WorkspaceId, limit: f64, now_ms: u64) -> &mut Share {
        let part = if now_ms < FIRST_MS { self.first_part } else { 1.0 };
        self.shares.entry(id).or_insert_with(|| Share {
            all: Level::open(limit * part, now_ms),
            alone: Level::open(limit, now_ms),
            total: 0,
            told: 0,
            used_ms: now_ms,
            spent_ms: now_ms,
            is_pressed: false,
            others: HashMap::new(),
        })
    }
}

impl Share {
    /// What other VMs are told of it, as the workspace of an id.
    fn tell(&self, id: WorkspaceId) -> Told {
        Told { id, total: self.total, room: self.all.room() }
    }
}
