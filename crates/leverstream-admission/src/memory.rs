//! The memory that a VM holds for others: bodies of requests and answers not yet written.
//!
//! A body is charged as it is read, so that a caller which announces much and sends little holds
//! little. Reading stops where the remaining memory could no longer complete any of the bodies
//! under way: otherwise many bodies that are half read could wait for each other. The rule is the
//! banker's algorithm for one resource. A small body is charged whole.

mod large_bodies;
mod paused;

use std::collections::BTreeMap;

use self::large_bodies::LargeBodies;
use self::paused::PausedHolders;

/// The memory that is kept for the process itself and for connections, in bytes: code, configuration, backend servers, other
/// VMs, buffers of connections, and what the operating system holds for them.
const OWN_BYTES: usize = 64_000_000;

/// The fraction of the memory beyond [`OWN_BYTES`] that is used; the rest covers what the allocator
/// can't return, as freed blocks lie between used ones.
const USABLE_FRACTION: f64 = 0.75;

/// The least part of the limit that is used, for limits near [`OWN_BYTES`].
const MIN_FRACTION: f64 = 0.125;

/// The fraction that large bodies of requests may use.
const LARGE_BODIES_FRACTION: f64 = 0.625;

/// The fraction that all bodies may use; the part beyond [`LARGE_BODIES_FRACTION`] keeps small ones
/// served. The rest is left for answers: a request keeps its body while its answer is read, so
/// bodies that filled the memory would never be given back.
const BODIES_FRACTION: f64 = 0.6875;

/// The fraction that only small bodies and answers may use, so that they are served while large ones
/// hold or await all of the rest.
const SMALL_FRACTION: f64 = 0.125;

/// The size up to which a body or an answer is small. Most requests of the first deployments have no
/// body and an answer of some kilobytes.
const SMALL_BYTES: usize = 64 << 10;

/// The length that a body without an announced length is taken to have once it is no longer small.
const ASSUMED_BODY_BYTES: usize = 1_000_000;

/// The number of holders of each purpose that may be paused, if the memory of the process allows that.
const MAX_PAUSED: usize = 256;

/// The least number of holders of each purpose that may be paused.
const MIN_MAX_PAUSED: usize = 16;

/// What the operating system holds for a connection to a backend server whose answer is not read: twice the size of its receive
/// buffer.
const UNREAD_ANSWER_BYTES: usize = 128 << 10;

/// The memory that a process takes without callers, in bytes. A gateway of a small fleet takes 18 MB (debug build), and ten
/// thousand backend servers add 12 MB.
const PROCESS_BYTES: usize = 32_000_000;

/// The fraction of what is left beside the process, bodies and answers that accepted connections may take. The rest covers what
/// the allocator can't return, too.
const CONNECTIONS_FRACTION: f64 = 0.6;

/// The fraction of the same for paused bodies and answers in the operating system.
const PAUSED_FRACTION: f64 = 0.2;

/// The fraction of the same for what callers send on connections that are not accepted yet.
const BACKLOG_FRACTION: f64 = 0.1;

/// Returns the memory that accepted connections may take in a process with a memory limit, in the process and in the operating
/// system.
pub fn connections_bytes(limit_bytes: usize) -> usize {
    let part = spare_bytes(limit_bytes) as f64 * CONNECTIONS_FRACTION;
    part.max(limit_bytes as f64 * MIN_FRACTION) as usize
}

/// Returns the memory that connections may take in the operating system before they are accepted, in a process with a memory
/// limit.
pub fn backlog_bytes(limit_bytes: usize) -> usize {
    (spare_bytes(limit_bytes) as f64 * BACKLOG_FRACTION) as usize
}

/// Returns what is left beside the process, bodies and answers.
fn spare_bytes(limit_bytes: usize) -> usize {
    limit_bytes.saturating_sub(PROCESS_BYTES + budget_bytes(limit_bytes))
}

/// Returns what bodies and answers may take in a process with a memory limit.
fn budget_bytes(limit_bytes: usize) -> usize {
    let beyond_own = limit_bytes.saturating_sub(OWN_BYTES) as f64 * USABLE_FRACTION;
    beyond_own.max(limit_bytes as f64 * MIN_FRACTION) as usize
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// The body of a request.
    Body,
    /// An answer that has not been written to its caller.
    Answer,
}

/// The number of purposes.
const PURPOSES: usize = 2;

/// Identifies a holder of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// The decision on a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The bytes may be read.
    Granted,
    /// The holder must pause until it is among the holders that another change returns.
    Paused,
    /// The bytes will never fit, it isn't certain that they will, or too many holders are paused.
    Refused,
}

/// The memory that one body or answer holds.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// What it is held for.
    purpose: Purpose,
    /// Whether it is, or will be, longer than [`SMALL_BYTES`].
    is_large: bool,
    /// The bytes charged.
    held_bytes: usize,
    /// The bytes charged of a small body that it has not asked for yet.
    spare_bytes: usize,
    /// The bytes that a body is expected to need still; 0 if unknown.
    need_bytes: usize,
    /// The bytes that it waits for; 0 if it isn't paused.
    wanted_bytes: usize,
}

/// The memory of a VM for bodies and answers.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// The total.
    limit_bytes: usize,
    /// The part that large bodies and answers may use.
    large_limit_bytes: usize,
    /// The part that bodies may use.
    bodies_limit_bytes: usize,
    /// Bodies and answers in order of arrival.
    holders: BTreeMap<HolderId, Holder>,
    /// Those that are paused.
    paused: PausedHolders,
    /// The bodies among the holders that are large.
    large_bodies: LargeBodies,
    /// The paused large body that can't be granted its bytes until another large body changes.
    blocked_body: Option<HolderId>,
    /// The number of holders of each purpose that may be paused.
    max_paused: usize,
    /// The bytes held by bodies.
    bodies_bytes: usize,
    /// The bytes held by answers.
    answers_bytes: usize,
    /// The number of holders so far.
    count: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process with a memory limit.
    pub fn of_process(limit_bytes: usize) -> MemoryBudget {
        let paused_bytes = spare_bytes(limit_bytes) as f64 * PAUSED_FRACTION;
        let paused = paused_bytes as usize / UNREAD_ANSWER_BYTES / PURPOSES;
        MemoryBudget {
            max_paused: paused.clamp(MIN_MAX_PAUSED, MAX_PAUSED),
            ..MemoryBudget::new(budget_bytes(limit_bytes))
        }
    }

    /// Creates a budget of a number of bytes.
    pub fn new(limit_bytes: usize) -> MemoryBudget {
        let part = |fraction: f64| (limit_bytes as f64 * fraction) as usize;
        MemoryBudget {
            limit_bytes,
            large_limit_bytes: part(1.0 - SMALL_FRACTION),
            bodies_limit_bytes: part(BODIES_FRACTION),
            holders: BTreeMap::new(),
            paused: PausedHolders::default(),
            large_bodies: LargeBodies::new(part(LARGE_BODIES_FRACTION)),
            blocked_body: None,
            max_paused: MAX_PAUSED,
            bodies_bytes: 0,
            answers_bytes: 0,
            count: 0,
        }
    }

    /// Returns the total.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Returns the part that bodies may use.
    pub fn bodies_limit_bytes(&self) -> usize {
        self.bodies_limit_bytes
    }

    /// Returns the bytes held for a purpose.
    pub fn held_bytes(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Body => self.bodies_bytes,
            Purpose::Answer => self.answers_bytes,
        }
    }

    /// Returns the number of bodies and answers that are paused.
    pub fn paused_count(&self) -> usize {
        self.paused.count(Purpose::Body) + self.paused.count(Purpose::Answer)
    }

    /// Opens a body; none if its announced length will never fit.
    pub fn open_body(&mut self, announced_bytes: Option<usize>) -> Option<HolderId> {
        let need_bytes = announced_bytes.unwrap_or(0);
        let fits = need_bytes <= self.large_bodies.limit_bytes();
        fits.then(|| self.open(Purpose::Body, need_bytes))
    }

    /// Opens an answer.
    pub fn open_answer(&mut self) -> HolderId {
        self.open(Purpose::Answer, 0)
    }

    /// Asks for more bytes for a body or an answer, which must not be paused.
    pub fn take(&mut self, id: HolderId, bytes: usize) -> Decision {
        let Some(holder) = self.holders.get(&id).copied() else { return Decision::Refused };
        if bytes <= holder.spare_bytes {
            self.change(id, |holder| holder.spare_bytes -= bytes);
            return Decision::Granted;
        }
        let bytes = bytes - holder.spare_bytes;
        let total_bytes = holder.held_bytes.saturating_add(bytes);
        let most_bytes = match holder.purpose {
            Purpose::Body => self.large_bodies.limit_bytes(),
            Purpose::Answer => self.large_limit_bytes,
        };
        if total_bytes > most_bytes {
            return Decision::Refused;
        }
        let is_large = holder.is_large || total_bytes > SMALL_BYTES;
        match holder.purpose {
            Purpose::Body if !is_large => self.take_small_body(id, holder, bytes),
            Purpose::Body if holder.need_bytes < bytes => self.expect_more(id, holder, bytes),
            Purpose::Body => self.grant_or_pause(id, bytes),
            Purpose::Answer => {
                self.change(id, |holder| holder.is_large = is_large);
                self.grant_or_pause(id, bytes)
            }
        }
    }

    /// Asks for all that a small body may need, so that small bodies that are half read can't wait for
    /// each other.
    fn take_small_body(&mut self, id: HolderId, holder: Holder, bytes: usize) -> Decision {
        let is_announced = holder.need_bytes > 0;
        let expected_bytes = if is_announced { holder.need_bytes } else { SMALL_BYTES };
        let charged_bytes = bytes.max(expected_bytes.min(SMALL_BYTES - holder.held_bytes));
        self.change(id, |holder| holder.spare_bytes = charged_bytes - bytes);
        self.grant_or_pause(id, charged_bytes)
    }

    /// Grants bytes to a body that turns out to be longer than expected, and expects it to double.
    ///
    /// It isn't paused: what the other bodies need was granted on the former expectation, and two
    /// bodies that outgrow theirs could wait for each other.
    fn expect_more(&mut self, id: HolderId, holder: Holder, bytes: usize) -> Decision {
        let left_bytes = self.large_bodies.limit_bytes().saturating_sub(holder.held_bytes);
        let need_bytes = ASSUMED_BODY_BYTES.max(holder.held_bytes).max(bytes).min(left_bytes);
        self.change(id, |holder| {
            holder.is_large = true;
            holder.need_bytes = need_bytes;
            holder.spare_bytes = 0;
        });
        if self.charge(id, bytes) {
            return Decision::Granted;
        }
        self.change(id, |changed| *changed = holder);
        Decision::Refused
    }

    /// Grants bytes, or pauses their holder.
    fn grant_or_pause(&mut self, id: HolderId, bytes: usize) -> Decision {
        let holder = self.holders[&id];
        let is_large_body = holder.is_large && holder.purpose == Purpose::Body;
        let must_queue = !is_large_body && self.paused.first(&holder).is_some();
        if !must_queue && self.charge(id, bytes) {
            return Decision::Granted;
        }
        if self.paused.count(holder.purpose) >= self.max_paused {
            return Decision::Refused;
        }
        self.change(id, |holder| holder.wanted_bytes = bytes);
        Decision::Paused
    }

    /// Records that a body or an answer is whole and holds only so many bytes; returns the holders
    /// that need pause no longer, whose bytes are granted.
    pub fn complete(&mut self, id: HolderId, bytes: usize) -> Vec<HolderId> {
        self.change(id, |holder| {
            holder.held_bytes = holder.held_bytes.min(bytes);
            holder.spare_bytes = 0;
            holder.need_bytes = 0;
            holder.wanted_bytes = 0;
        });
        self.resume()
    }

    /// Gives back all that a holder held; returns the holders that need pause no longer, whose
    /// bytes are granted.
    pub fn release(&mut self, id: HolderId) -> Vec<HolderId> {
        if let Some(holder) = self.holders.remove(&id) {
            self.uncount(id, &holder);
        }
        self.resume()
    }

    /// Adds a holder.
    fn open(&mut self, purpose: Purpose, need_bytes: usize) -> HolderId {
        let id = HolderId(self.count);
        self.count += 1;
        let is_large = need_bytes > SMALL_BYTES;
        let holder = Holder {
            purpose,
            is_large,
            held_bytes: 0,
            spare_bytes: 0,
            need_bytes,
            wanted_bytes: 0,
        };
        self.count_in(id, &holder);
        self.holders.insert(id, holder);
        id
    }

    /// Grants bytes to paused holders: to small ones and to large answers in order of arrival, and to
    /// the large bodies that need least. If the body that needs least can't be granted its bytes, no
    /// other large body can.
    fn resume(&mut self) -> Vec<HolderId> {
        let mut resumed = Vec::new();
        while let Some(id) = self.paused.heads().into_iter().flatten().find(|id| {
            let wanted_bytes = self.holders[id].wanted_bytes;
            self.blocked_body != Some(*id) && self.charge(*id, wanted_bytes)
        }) {
            resumed.push(id);
        }
        resumed
    }

    /// Charges a holder with bytes and ends its pause, if it may have them now.
    fn charge(&mut self, id: HolderId, bytes: usize) -> bool {
        let holder = self.holders[&id];
        if !self.is_within_limits(&holder, bytes) {
            return false;
        }
        self.change(id, |holder| {
            holder.held_bytes += bytes;
            holder.need_bytes = holder.need_bytes.saturating_sub(bytes);
            holder.wanted_bytes = 0;
        });
        let is_large_body = holder.is_large && holder.purpose == Purpose::Body;
        if !is_large_body || self.large_bodies.can_all_complete() {
            return true;
        }
        self.change(id, |changed| *changed = holder);
        if holder.wanted_bytes > 0 {
            self.blocked_body = Some(id);
        }
        false
    }

    /// Tells whether the sums allow a holder more bytes.
    fn is_within_limits(&self, holder: &Holder, bytes: usize) -> bool {
        let total_bytes = (self.bodies_bytes + self.answers_bytes).saturating_add(bytes);
        let limit_bytes = if holder.is_large { self.large_limit_bytes } else { self.limit_bytes };
        let is_body = holder.purpose == Purpose::Body;
        let bodies_fit = self.bodies_bytes.saturating_add(bytes) <= self.bodies_limit_bytes;
        total_bytes <= limit_bytes && (bodies_fit || !is_body)
    }

    /// Changes a holder, and the sums and ordered sets with it.
    fn change(&mut self, id: HolderId, change: impl FnOnce(&mut Holder)) {
        let Some(before) = self.holders.get(&id).copied() else { return };
        let mut after = before;
        change(&mut after);
        self.uncount(id, &before);
        self.count_in(id, &after);
        self.holders.insert(id, after);
    }

    /// Adds a holder to the sums and ordered sets.
    fn count_in(&mut self, id: HolderId, holder: &Holder) {
        *self.held_mut(holder.purpose) += holder.held_bytes;
        if holder.is_large && holder.purpose == Purpose::Body {
            self.large_bodies.insert(id, holder.need_bytes, holder.held_bytes);
            self.blocked_body = None;
        }
        if holder.wanted_bytes > 0 {
            self.paused.insert(id, holder);
        }
    }

    /// Removes a holder from the sums and ordered sets.
    fn uncount(&mut self, id: HolderId, holder: &Holder) {
        *self.held_mut(holder.purpose) -= holder.held_bytes;
        if holder.is_large && holder.purpose == Purpose::Body {
            self.large_bodies.remove(id, holder.need_bytes, holder.held_bytes);
            self.blocked_body = None;
        }
        if holder.wanted_bytes > 0 {
            self.paused.remove(id, holder);
        }
    }

    /// Returns the count of bytes held for a purpose.
    fn held_mut(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::Body => &mut self.bodies_bytes,
            Purpose::Answer => &mut self.answers_bytes,
        }
    }
}
