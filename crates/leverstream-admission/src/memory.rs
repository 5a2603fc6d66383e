//! The memory that a VM holds for others: bodies of requests and answers not yet written.
//!
//! A body is charged as it is read, so that a caller which announces much and sends little holds
//! little. Reading stops where the remaining memory could no longer complete any of the bodies
//! under way: otherwise many bodies that are half read could wait for each other. The rule is the
//! banker's algorithm for one resource.

use std::collections::{BTreeMap, BTreeSet};

/// The memory that the process itself needs, in bytes: code, configuration, backend servers, other
/// VMs, and connections. A gateway of a small fleet takes 30 MB (debug build), and ten thousand
/// backend servers add 12 MB. The operating system holds up to 128 kB for each connection that isn't
/// read.
const OWN_BYTES: usize = 64_000_000;

/// The fraction of the memory beyond [`OWN_BYTES`] that is used; the rest covers what the allocator
/// can't return, as freed blocks lie between used ones.
const USABLE_FRACTION: f64 = 0.75;

/// The least part of the limit that is used, for limits near [`OWN_BYTES`].
const MIN_FRACTION: f64 = 0.125;

/// The fraction that bodies of requests may use. The rest is left for answers: a request keeps its
/// body while its answer is read, so bodies that filled the memory would never be given back.
const BODIES_FRACTION: f64 = 0.625;

/// The fraction that only small bodies and answers may use, so that they are served while large ones
/// hold or await all of the rest.
const SMALL_FRACTION: f64 = 0.125;

/// The size up to which a body or an answer is small. Most requests of the first deployments have no
/// body and an answer of some kilobytes.
const SMALL_BYTES: usize = 64 << 10;

/// The length that a body without an announced length is taken to have once it is no longer small.
const ASSUMED_BODY_BYTES: usize = 1_000_000;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// The body of a request.
    Body,
    /// An answer that has not been written to its caller.
    Answer,
}

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
    /// The bytes will never fit, or it isn't certain that they will.
    Refused,
}

/// The memory that one body or answer holds.
#[derive(Clone, Copy, Debug)]
struct Holder {
    /// What it is held for.
    purpose: Purpose,
    /// The bytes held.
    held_bytes: usize,
    /// The bytes that a body is expected to need still.
    need_bytes: usize,
    /// Whether the length of a body is known.
    has_length: bool,
    /// The bytes that it waits for; 0 if it isn't paused.
    wanted_bytes: usize,
}

impl Holder {
    /// Tells whether the body or answer is small, also with more bytes.
    fn is_small(&self, bytes: usize) -> bool {
        let needed_bytes = self.need_bytes.max(bytes);
        self.held_bytes.saturating_add(needed_bytes) <= SMALL_BYTES
    }
}

/// The memory of a VM for bodies and answers.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// The total.
    limit_bytes: usize,
    /// The part that large bodies and answers may use.
    large_limit_bytes: usize,
    /// The part of that which large bodies may use.
    bodies_limit_bytes: usize,
    /// Bodies and answers in order of arrival.
    holders: BTreeMap<HolderId, Holder>,
    /// Those that are paused, in order of arrival. There are none most of the time, so that the end of
    /// a request costs no search.
    paused: BTreeSet<HolderId>,
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
        let beyond_own = limit_bytes.saturating_sub(OWN_BYTES) as f64 * USABLE_FRACTION;
        let least = limit_bytes as f64 * MIN_FRACTION;
        MemoryBudget::new(beyond_own.max(least) as usize)
    }

    /// Creates a budget of a number of bytes.
    pub fn new(limit_bytes: usize) -> MemoryBudget {
        MemoryBudget {
            limit_bytes,
            large_limit_bytes: (limit_bytes as f64 * (1.0 - SMALL_FRACTION)) as usize,
            bodies_limit_bytes: (limit_bytes as f64 * BODIES_FRACTION) as usize,
            holders: BTreeMap::new(),
            paused: BTreeSet::new(),
            bodies_bytes: 0,
            answers_bytes: 0,
            count: 0,
        }
    }

    /// Returns the total.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Returns the part that large bodies may use, which also limits the length of each.
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
        self.paused.len()
    }

    /// Opens a body; none if its announced length will never fit.
    pub fn open_body(&mut self, announced_bytes: Option<usize>) -> Option<HolderId> {
        if announced_bytes.is_some_and(|bytes| bytes > self.bodies_limit_bytes) {
            return None;
        }
        Some(self.open(Purpose::Body, announced_bytes))
    }

    /// Opens an answer.
    pub fn open_answer(&mut self) -> HolderId {
        self.open(Purpose::Answer, None)
    }

    /// Asks for more bytes for a body or an answer, which must not be paused.
    pub fn take(&mut self, id: HolderId, bytes: usize) -> Decision {
        let Some(holder) = self.holders.get(&id).copied() else { return Decision::Refused };
        let most_bytes = match holder.purpose {
            Purpose::Body => self.bodies_limit_bytes,
            Purpose::Answer => self.large_limit_bytes,
        };
        if holder.held_bytes.saturating_add(bytes) > most_bytes {
            return Decision::Refused;
        }
        let is_growing = holder.purpose == Purpose::Body && !holder.has_length;
        if is_growing && holder.need_bytes < bytes && !holder.is_small(bytes) {
            return self.expect_more(id, holder, bytes);
        }
        let is_large_answer = holder.purpose == Purpose::Answer && !holder.is_small(bytes);
        let must_queue = is_large_answer && self.first_paused_answer().is_some();
        if !must_queue && self.fits(id, bytes) {
            self.charge(id, bytes);
            return Decision::Granted;
        }
        self.holders.insert(id, Holder { wanted_bytes: bytes, ..holder });
        self.paused.insert(id);
        Decision::Paused
    }

    /// Grants bytes to a body that turns out to be longer than expected, and expects it to double.
    ///
    /// It isn't paused: what the other bodies need was granted on the former expectation, and two
    /// bodies that outgrow theirs could wait for each other.
    fn expect_more(&mut self, id: HolderId, holder: Holder, bytes: usize) -> Decision {
        let room_bytes = self.bodies_limit_bytes.saturating_sub(holder.held_bytes);
        let need_bytes = ASSUMED_BODY_BYTES.max(holder.held_bytes).max(bytes).min(room_bytes);
        self.holders.insert(id, Holder { need_bytes, ..holder });
        if !self.fits(id, bytes) {
            self.holders.insert(id, holder);
            return Decision::Refused;
        }
        self.charge(id, bytes);
        Decision::Granted
    }

    /// Records that a body or an answer is whole and holds only so many bytes; returns the holders
    /// that need pause no longer, whose bytes are granted.
    pub fn complete(&mut self, id: HolderId, bytes: usize) -> Vec<HolderId> {
        self.paused.remove(&id);
        if let Some(holder) = self.holders.get_mut(&id) {
            let purpose = holder.purpose;
            let returned_bytes = holder.held_bytes.saturating_sub(bytes);
            holder.held_bytes -= returned_bytes;
            holder.need_bytes = 0;
            holder.wanted_bytes = 0;
            *self.held_mut(purpose) -= returned_bytes;
        }
        self.resume()
    }

    /// Gives back all that a holder held; returns the holders that need pause no longer, whose
    /// bytes are granted.
    pub fn release(&mut self, id: HolderId) -> Vec<HolderId> {
        self.paused.remove(&id);
        if let Some(holder) = self.holders.remove(&id) {
            *self.held_mut(holder.purpose) -= holder.held_bytes;
        }
        self.resume()
    }

    /// Adds a holder.
    fn open(&mut self, purpose: Purpose, announced_bytes: Option<usize>) -> HolderId {
        let id = HolderId(self.count);
        self.count += 1;
        let (need_bytes, has_length) = (announced_bytes.unwrap_or(0), announced_bytes.is_some());
        let holder = Holder { purpose, held_bytes: 0, need_bytes, has_length, wanted_bytes: 0 };
        self.holders.insert(id, holder);
        id
    }

    /// Grants bytes to paused holders: to small ones, to large answers in order of arrival, and to the
    /// large bodies that need least. If the body that needs least can't be granted its bytes, no other
    /// large body can.
    fn resume(&mut self) -> Vec<HolderId> {
        let mut resumed = Vec::new();
        loop {
            let candidates = [
                self.first_paused_small(),
                self.first_paused_answer(),
                self.smallest_paused_body(),
            ];
            let fits = |id: &HolderId| self.fits(*id, self.holders[id].wanted_bytes);
            let Some(id) = candidates.into_iter().flatten().find(fits) else { return resumed };
            self.charge(id, self.holders[&id].wanted_bytes);
            resumed.push(id);
        }
    }

    /// Returns the paused holders that are small, or those that are large.
    fn paused(&self, is_small: bool) -> impl Iterator<Item = (HolderId, &Holder)> {
        let paused = self.paused.iter().map(|id| (*id, &self.holders[id]));
        paused.filter(move |(_, holder)| holder.is_small(holder.wanted_bytes) == is_small)
    }

    /// Returns the small paused holder that arrived first.
    fn first_paused_small(&self) -> Option<HolderId> {
        self.paused(true).map(|(id, _)| id).next()
    }

    /// Returns the large paused answer that arrived first.
    fn first_paused_answer(&self) -> Option<HolderId> {
        let mut paused = self.paused(false);
        paused.find(|(_, holder)| holder.purpose == Purpose::Answer).map(|(id, _)| id)
    }

    /// Returns the large paused body that needs the fewest bytes to be whole.
    fn smallest_paused_body(&self) -> Option<HolderId> {
        let bodies = self.paused(false).filter(|(_, holder)| holder.purpose == Purpose::Body);
        bodies.min_by_key(|(id, holder)| (holder.need_bytes, *id)).map(|(id, _)| id)
    }

    /// Tells whether a holder may have more bytes now.
    fn fits(&self, id: HolderId, bytes: usize) -> bool {
        let holder = &self.holders[&id];
        let total_bytes = (self.bodies_bytes + self.answers_bytes).saturating_add(bytes);
        if holder.is_small(bytes) {
            return total_bytes <= self.limit_bytes;
        }
        let is_answer = holder.purpose == Purpose::Answer;
        total_bytes <= self.large_limit_bytes && (is_answer || self.is_safe(id, bytes))
    }

    /// Tells whether all large bodies can still be completed, one after another, once one of them has
    /// more bytes. Answers are left out: they are written, or their callers are cut off.
    fn is_safe(&self, id: HolderId, bytes: usize) -> bool {
        let is_large_body =
            |holder: &Holder| holder.purpose == Purpose::Body && !holder.is_small(0);
        let bodies = self.holders.iter().filter(|(_, holder)| is_large_body(holder));
        let mut bodies: Vec<(usize, usize)> = bodies
            .map(|(other, holder)| {
                let bytes = if *other == id { bytes } else { 0 };
                (holder.need_bytes.saturating_sub(bytes), holder.held_bytes + bytes)
            })
            .collect();
        let held_bytes: usize = bodies.iter().map(|(_, held_bytes)| held_bytes).sum();
        let Some(mut room_bytes) = self.bodies_limit_bytes.checked_sub(held_bytes) else {
            return false;
        };
        if bodies.iter().all(|(need_bytes, _)| *need_bytes <= room_bytes) {
            return true;
        }
        bodies.sort_unstable();
        bodies.into_iter().all(|(need_bytes, held_bytes)| {
            let can_complete = need_bytes <= room_bytes;
            room_bytes += held_bytes;
            can_complete
        })
    }

    /// Charges a holder with bytes and ends its pause.
    fn charge(&mut self, id: HolderId, bytes: usize) {
        self.paused.remove(&id);
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.held_bytes += bytes;
        holder.need_bytes = holder.need_bytes.saturating_sub(bytes);
        holder.wanted_bytes = 0;
        let purpose = holder.purpose;
        *self.held_mut(purpose) += bytes;
    }

    /// Returns the count of bytes held for a purpose.
    fn held_mut(&mut self, purpose: Purpose) -> &mut usize {
        match purpose {
            Purpose::Body => &mut self.bodies_bytes,
            Purpose::Answer => &mut self.answers_bytes,
        }
    }
}
