//! Allotments of workspaces: a token bucket per workspace that all VMs of the fleet share.

use std::collections::HashMap;

use crate::token_bucket::TokenBucket;
use crate::{Allotment, PeerVisibility, WorkspaceId};

/// The fraction of the slack that is added to the burst. The rest covers what VMs admit before they
/// receive each other's reports.
const SLACK_BURST_FRACTION: f64 = 0.5;

/// The fraction of a burst that a process starts with if it can't know what was admitted before its
/// start.
///
/// After a loss of all VMs the window still holds what they admitted: the rate and up to one burst.
/// Half a burst more stays within the allowed excess of a tenth of both plus the slack while the
/// fleet takes a second to recover.
const STARTUP_FRACTION: f64 = 0.5;

/// How long after its start a process can't know what was admitted before, in milliseconds: one
/// window of five seconds.
pub const STARTUP_WINDOW_MS: u64 = 5_000;

/// The fraction of its capacity below which a workspace's bucket counts as low: each request is
/// then reported at once.
const LOW_FRACTION: f64 = 0.6;

/// The fraction of the slack that all VMs together may admit without a report while no bucket is
/// low.
const UNREPORTED_FRACTION: f64 = 0.3;

/// How many VMs are assumed to share the traffic when that fraction is divided among them.
const ASSUMED_VMS: f64 = 6.0;

/// The largest fraction of a bucket that is kept for more urgent requests.
const MAX_RESERVE_FRACTION: f64 = 0.5;

/// How long after its last shortage a workspace still counts as short, in milliseconds. A flood
/// meets a shortage in each such time; the demand by rank is known for as long.
const SHORT_MS: u64 = 1_000;

/// The fraction of its capacity by which another VM's figure may be lower before it is adopted. It
/// covers what VMs admit and refill between two reports.
const ADOPTION_TOLERANCE: f64 = 0.1;

/// The fraction of the capacity that a late report may take a bucket below zero.
///
/// Over 6,000 random schedules of kills, freezes and cuts, with 0.1 the bound was missed in 7 and
/// 2.0 % of the requests of callers below their rate were refused; with the whole debt in 8 and
/// 5.7 %, and with none in 9 and 1.3 %.
const LATE_DEBT_FRACTION: f64 = 0.1;

/// How long after its last request a workspace is dropped, in milliseconds; its bucket is full
/// again by then.
const IDLE_MS: u64 = 60_000;

/// The allotments of workspaces across all VMs, as known to one VM.
///
/// Each VM keeps its own copy of one token bucket per workspace and takes from it what it admits
/// itself and what the other VMs report. What several VMs admit before they receive each other's
/// reports takes the bucket below zero. This debt is paid back before more is admitted, so that the
/// excess does not accumulate. A VM that hears half or less of the VMs that share the traffic
/// admits no more than its own fraction, and the other VMs keep such fractions free (see
/// [`PeerVisibility`]).
#[derive(Clone, Debug)]
pub struct Allotments {
    /// How many requests per window may exceed rate and burst by mistake.
    slack: f64,
    /// The fraction of a burst that this process starts with.
    startup_fraction: f64,
    /// The workspaces that had requests recently.
    usages: HashMap<WorkspaceId, Usage>,
}

/// What this VM knows about the usage of one workspace.
#[derive(Clone, Debug)]
struct Usage {
    /// The bucket from which the requests admitted by all VMs are taken.
    fleet_bucket: TokenBucket,
    /// The bucket for this VM's own fraction, from which only its own requests are taken.
    own_bucket: TokenBucket,
    /// How many requests this VM has admitted since it started.
    total: u64,
    /// How many of those are reported.
    reported: u64,
    /// When its last request, here or reported by another VM, arrived.
    last_request_ms: u64,
    /// When this VM last admitted one.
    last_admitted_ms: u64,
    /// Whether the bucket was low then.
    is_low: bool,
    /// Until when the allotment counts as short.
    short_until_ms: u64,
    /// The fraction of the allotment that belongs to VMs whose reports arrived by this VM's last request.
    heard_fraction: f64,
    /// The room that was left free for VMs whose reports do not arrive, as of the last refill for reports.
    unheard_room: f64,
    /// How many requests each other VM has admitted since that VM started.
    peer_totals: HashMap<u64, u64>,
}

/// What a VM reports to other VMs about a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// The workspace.
    pub id: WorkspaceId,
    /// How many of its requests the VM has admitted since it started.
    pub total: u64,
    /// How many more requests the VM has room for.
    pub room: f64,
}

/// Which of two VMs are in the entry set, to which callers are sent, when one reports to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryMembership {
    /// Both. Each receives reports from the whole entry set.
    Both,
    /// The receiver only, which reports to the other VM only on request.
    ReceiverOnly,
    /// The reporter only, or neither.
    ReceiverOutside,
}

/// An admitted request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Granted {
    /// How many more requests there is room for.
    pub room: f64,
    /// Whether to send a report to the other VMs at once.
    pub is_urgent: bool,
}

/// A rejected request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denied {
    /// How long until there is room if nothing else is admitted, in milliseconds.
    pub wait_ms: u64,
    /// How many tokens are missing until there is room; zero or less if there is room but other
    /// requests go first.
    pub missing: f64,
    /// The rate at which the tokens return, in tokens a second.
    pub rate_per_s: f64,
    /// How many tokens are kept for more urgent requests.
    pub reserve: f64,
    /// The room as known to this VM.
    pub room: f64,
    /// Whether the workspace has certainly used up its allotment; otherwise this VM has used up its
    /// own fraction while it hears few other VMs.
    pub is_certain: bool,
}

impl Allotments {
    /// Creates allotments without any known usage.
    pub fn open(slack: f64) -> Allotments {
        Allotments { slack, startup_fraction: STARTUP_FRACTION, usages: HashMap::new() }
    }

    /// Starts with empty buckets. This is for the second loss of all VMs within a window, as the
    /// first loss already had its initial fraction of a burst.
    ///
    /// Otherwise each loss would add half a burst: with six VMs killed every half second in
    /// simulated time, a window that may hold 1,307 requests held 1,579.
    pub fn start_empty(&mut self) {
        self.startup_fraction = 0.0;
        self.usages.values_mut().for_each(|usage| usage.fleet_bucket.lower_to(0.0));
    }

    /// Admits a request if there is room for it and, once the allotment is short, for `reserve`
    /// tokens more, which are kept for more urgent requests.
    pub fn spend(
        &mut self,
        id: WorkspaceId,
        allotment: Allotment,
        visibility: PeerVisibility,
        reserve: f64,
        now_ms: u64,
    ) -> Result<Granted, Denied> {
        let shortage = self.shortage(id, allotment, visibility, reserve, now_ms);
        let capacity = self.capacity(allotment);
        let usage = self.usage(id, allotment, now_ms);
        if shortage.missing > 0.0 {
            usage.short_until_ms = now_ms + SHORT_MS;
            return Err(shortage);
        }
        usage.is_low = usage.fleet_bucket.tokens() < capacity * LOW_FRACTION;
        usage.fleet_bucket.take(1.0);
        usage.own_bucket.take_with_floor(1.0, 0.0);
        usage.total += 1;
        usage.last_admitted_ms = now_ms;
        Ok(Granted { room: shortage.room - 1.0, is_urgent: usage.is_low })
    }

    /// Returns what a request is short of now, without taking a token; if its `missing` is not
    /// above zero there is room for it.
    ///
    /// The allotment is short from when a request takes the bucket below the slack that it holds
    /// beyond the burst: until then all requests are within rate and burst, and none may be refused
    /// for its rank.
    pub fn shortage(
        &mut self,
        id: WorkspaceId,
        allotment: Allotment,
        visibility: PeerVisibility,
        reserve: f64,
        now_ms: u64,
    ) -> Denied {
        let capacity = self.capacity(allotment);
        let beyond_burst = capacity - allotment.burst;
        let usage = self.usage(id, allotment, now_ms);
        usage.last_request_ms = now_ms;
        let heard_fraction = 1.0 - visibility.unheard_fraction;
        let own_rate = allotment.rate_per_s * visibility.own_fraction;
        let own_limit = capacity * visibility.own_fraction;
        usage.heard_fraction = heard_fraction;
        usage.unheard_room = 0.0;
        let rate_per_s = allotment.rate_per_s * heard_fraction;
        let limit = (capacity * heard_fraction).max(1.0);
        let fleet_tokens = usage.fleet_bucket.refill(rate_per_s, limit, now_ms);
        let own_tokens = usage.own_bucket.refill(own_rate, own_limit, now_ms);
        let is_certain = visibility.hears_most;
        let (bucket, rate_per_s, limit, fraction) = if is_certain {
            (usage.fleet_bucket, rate_per_s, limit, heard_fraction)
        } else {
            (usage.own_bucket, own_rate, own_limit, visibility.own_fraction)
        };
        let room = if is_certain { fleet_tokens } else { own_tokens };
        if room < 1.0 + beyond_burst * fraction {
            usage.short_until_ms = now_ms + SHORT_MS;
        }
        // A bucket that is full admits every rank.
        let max_reserve = (limit * MAX_RESERVE_FRACTION).min(limit - 1.0).max(0.0);
        let reserve = if usage.is_short(now_ms) { reserve.clamp(0.0, max_reserve) } else { 0.0 };
        let needed = 1.0 + reserve;
        let (wait_ms, missing) = (bucket.wait_ms(needed, rate_per_s), needed - room);
        Denied { wait_ms, missing, rate_per_s, reserve, room, is_certain }
    }

    /// Applies another VM's report about a workspace with an allotment.
    ///
    /// A VM of the entry set receives reports from all VMs and subtracts what each has admitted
    /// since its previous report. A VM outside it (see `membership`) receives reports only from the
    /// entry set and adopts the room that those report, which already accounts for other VMs
    /// outside the set. The first report of a VM also has no previous total to compare with, so its
    /// room is adopted.
    pub fn apply_report(
        &mut self,
        reporter: u64,
        report: UsageReport,
        allotment: Allotment,
        membership: EntryMembership,
        now_ms: u64,
    ) {
        let capacity = self.capacity(allotment);
        let usage = self.usage(report.id, allotment, now_ms);
        usage.fleet_bucket.refill(allotment.rate_per_s, capacity, now_ms);
        usage.last_request_ms = now_ms;
        match usage.peer_totals.insert(reporter, report.total) {
            Some(before) if membership != EntryMembership::ReceiverOutside => {
                usage.fleet_bucket.take(report.total.saturating_sub(before) as f64);
            }
            _ => usage.fleet_bucket.lower_to(report.room),
        }
    }

    /// Applies a report of a VM of the entry set after none have arrived from it for some time.
    ///
    /// It covers what that VM has admitted meanwhile, while this copy gained one capacity at most.
    /// Subtracting all of it left the copy so far below zero that its VM refused all callers for
    /// seconds, also below their rate. What was admitted is therefore subtracted down to a bounded
    /// debt. The reported room is not adopted as well, as it already lacks what was admitted, unless
    /// there is no previous total to compare with.
    pub fn apply_late_report(
        &mut self,
        reporter: u64,
        report: UsageReport,
        allotment: Allotment,
        now_ms: u64,
    ) {
        let capacity = self.capacity(allotment);
        let usage = self.usage(report.id, allotment, now_ms);
        usage.fleet_bucket.refill(allotment.rate_per_s, capacity, now_ms);
        usage.last_request_ms = now_ms;
        let Some(before) = usage.peer_totals.insert(reporter, report.total) else {
            return usage.fleet_bucket.lower_to(report.room);
        };
        let admitted = report.total.saturating_sub(before) as f64;
        let least = usage.fleet_bucket.tokens().min(-capacity * LATE_DEBT_FRACTION);
        usage.fleet_bucket.take_with_floor(admitted, least);
    }

    /// Adopts the room that another entry VM reports if it is lower than this copy's by more than a
    /// tenth of the capacity, less that tenth. This only lowers the room, so the fleet-wide bound
    /// holds.
    ///
    /// Copies differ after a loss of all VMs, as the first report of a VM tells its room and not
    /// what it has admitted before.
    pub fn adopt_lower_room(&mut self, report: UsageReport, allotment: Allotment, now_ms: u64) {
        let capacity = self.capacity(allotment);
        let usage = self.usage(report.id, allotment, now_ms);
        usage.fleet_bucket.refill(allotment.rate_per_s, capacity, now_ms);
        usage.fleet_bucket.lower_to(report.room + capacity * ADOPTION_TOLERANCE);
    }

    /// Refills the buckets, so that reports name the room as of now under the allotments in force.
    ///
    /// They also name the room that this VM leaves free for VMs that it does not hear: others hear
    /// those, and would adopt a room that is lower only because of what this VM hears.
    pub fn refill(&mut self, allotment_of: impl Fn(WorkspaceId) -> Option<Allotment>, now_ms: u64) {
        let beyond_burst = self.slack * SLACK_BURST_FRACTION;
        for (id, usage) in &mut self.usages {
            let Some(allotment) = allotment_of(*id) else { continue };
            let capacity = allotment.burst + beyond_burst;
            let limit = (capacity * usage.heard_fraction).max(1.0);
            let rate_per_s = allotment.rate_per_s * usage.heard_fraction;
            usage.fleet_bucket.refill(rate_per_s, limit, now_ms);
            // After a loss of all VMs they hear few others at first, and only their reported rooms
            // make the copies agree.
            let is_started = now_ms >= STARTUP_WINDOW_MS;
            usage.unheard_room = if is_started { (capacity - limit).max(0.0) } else { 0.0 };
        }
    }

    /// Returns the workspaces whose bucket is low, or was short recently.
    pub fn low_workspaces(&self, now_ms: u64) -> Vec<WorkspaceId> {
        let is_low = |(_, usage): &(_, &Usage)| usage.is_low || usage.is_short(now_ms);
        self.usages.iter().filter(is_low).map(|(id, _)| *id).collect()
    }

    /// Takes the reports that are due: on workspaces with a low bucket each request, on others once
    /// a few requests were admitted, and if `is_whole` on all workspaces with an admitted request
    /// since `since_ms`.
    pub fn take_due_reports(&mut self, is_whole: bool, since_ms: u64) -> Vec<UsageReport> {
        let unreported_limit = (self.slack * UNREPORTED_FRACTION / ASSUMED_VMS).max(1.0);
        let due = self.usages.iter_mut().filter_map(|(id, usage)| {
            let unreported = usage.total - usage.reported;
            let is_repeat = is_whole && usage.total > 0 && usage.last_admitted_ms >= since_ms;
            let is_low = usage.is_low && unreported > 0;
            let is_due = is_repeat || is_low || unreported as f64 >= unreported_limit;
            if !is_due {
                return None;
            }
            usage.reported = usage.total;
            Some(usage.report(*id))
        });
        due.collect()
    }

    /// Returns reports on all known workspaces, for a VM that has just begun to ask.
    pub fn all_reports(&self) -> Vec<UsageReport> {
        self.usages.iter().map(|(id, usage)| usage.report(*id)).collect()
    }

    /// Returns reports on some workspaces. For one without known usage the reported room is
    /// infinite, so that it limits nothing.
    pub fn reports_on(&self, ids: &[WorkspaceId]) -> Vec<UsageReport> {
        let no_usage = |id| UsageReport { id, total: 0, room: f64::INFINITY };
        let report_on = |id: &WorkspaceId| {
            self.usages.get(id).map_or_else(|| no_usage(*id), |usage| usage.report(*id))
        };
        ids.iter().map(report_on).collect()
    }

    /// Drops workspaces without a recent request, and the totals of VMs whose reports no longer arrive.
    pub fn forget(&mut self, is_heard: impl Fn(u64) -> bool, now_ms: u64) {
        self.usages.retain(|_, usage| now_ms.saturating_sub(usage.last_request_ms) < IDLE_MS);
        for usage in self.usages.values_mut() {
            usage.peer_totals.retain(|reporter, _| is_heard(*reporter));
        }
    }

    /// Returns the capacity of a workspace's bucket.
    fn capacity(&self, allotment: Allotment) -> f64 {
        allotment.burst + self.slack * SLACK_BURST_FRACTION
    }

    /// Returns the usage of a workspace, which is created if unknown.
    fn usage(&mut self, id: WorkspaceId, allotment: Allotment, now_ms: u64) -> &mut Usage {
        let capacity = self.capacity(allotment);
        let fraction = if now_ms < STARTUP_WINDOW_MS { self.startup_fraction } else { 1.0 };
        self.usages.entry(id).or_insert_with(|| Usage {
            fleet_bucket: TokenBucket::open(capacity * fraction, now_ms),
            own_bucket: TokenBucket::open(capacity, now_ms),
            total: 0,
            reported: 0,
            last_request_ms: now_ms,
            last_admitted_ms: now_ms,
            is_low: false,
            short_until_ms: 0,
            heard_fraction: 1.0,
            unheard_room: 0.0,
            peer_totals: HashMap::new(),
        })
    }
}

impl Usage {
    /// Tells whether the allotment was short recently.
    fn is_short(&self, now_ms: u64) -> bool {
        now_ms < self.short_until_ms
    }

    /// Builds the report for other VMs, under the given workspace id.
    fn report(&self, id: WorkspaceId) -> UsageReport {
        let room = self.fleet_bucket.tokens() + self.unheard_room;
        UsageReport { id, total: self.total, room }
    }
}
