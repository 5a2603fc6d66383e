//! The recorded ends of each request, merged over all VMs.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{IncarnationDigest, RequestDigest};

/// The number of ends from which a request is refused.
///
/// Two would cost one backend server less for each such request, but ordinary requests are often
/// in flight at two that end. In simulated time, with seven backend servers of three slots: beside
/// a request that ends them, a limit of two refuses 1.6 of 10,000 ordinary requests and a limit of
/// three refuses none; where one of them ends by itself every 0.7 s, two refuse 24 and three
/// refuse 0.2. The request itself ends 2.2 backend servers with a limit of two and 3.2 with three.
pub const ENDS_TO_REFUSE: usize = 3;

/// The time for which a request is remembered after it last arrived or ended a backend server, in
/// milliseconds.
///
/// A refused request that arrives again within this time stays refused. One that arrives later can
/// end up to three backend servers again.
pub const RETENTION_MS: u64 = 600_000;

/// The largest number of requests that are remembered, which take 0.6 MB. A whole service of 300
/// backend servers that ends at once has fewer requests in flight.
pub const MAX_SUSPECTS: usize = 4_096;

/// The number of ends from which VMs repeatedly compare what they know of a request. A request with
/// one end is reported only when the end happens, because the end of a whole service leaves
/// thousands of those.
const MIN_COMPARED_ENDS: usize = 2;

/// The requests under which backend servers ended, as one VM knows them.
///
/// For each request this is the set of incarnations that ended under it. Sets merge by union, so
/// that late, duplicate and reordered reports change nothing, and no counts are exchanged. A
/// healthy answer clears the set: it raises the set's version, and of two sets the one with the
/// higher version wins. Each set keeps only its [`ENDS_TO_REFUSE`] smallest members, which the
/// union preserves.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// The number of ends from which a request is refused.
    ends_to_refuse: usize,
    /// The remembered requests.
    entries: BTreeMap<RequestDigest, Entry>,
    /// A combined hash of the entries that VMs compare.
    fingerprint: u64,
}

/// The entry of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    /// The number of times that a healthy answer cleared it; the version of the set.
    cleared: u32,
    /// The incarnations that ended under it since then, sorted.
    ends: Vec<IncarnationDigest>,
    /// The time when it last arrived or ended a backend server.
    seen_ms: u64,
}

/// One VM's report to another about a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SuspectReport {
    /// The request.
    pub digest: RequestDigest,
    /// The number of times that a healthy answer cleared it; the version of the set.
    pub cleared: u32,
    /// The incarnations that ended under it since then.
    pub ends: Vec<IncarnationDigest>,
    /// The time since it last arrived or ended a backend server, in milliseconds.
    pub age_ms: u64,
}

/// The decision on where a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing is recorded against it.
    Free,
    /// A backend server ended under it: it is sent to one backend server at a time.
    Suspect,
    /// One more end, and it is refused: it is sent to one backend server and not retried at
    /// another.
    LastTry,
    /// It is sent to no backend server.
    Refused,
}

impl Suspects {
    /// Creates an empty set.
    pub fn open(ends_to_refuse: usize) -> Suspects {
        Suspects { ends_to_refuse, entries: BTreeMap::new(), fingerprint: 0 }
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of remembered requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of refused requests.
    pub fn refused(&self) -> usize {
        self.entries.values().filter(|entry| self.is_refused(entry)).count()
    }

    /// The decision on where a request may be sent.
    pub fn verdict(&self, digest: RequestDigest) -> Verdict {
        match self.entries.get(&digest) {
            None => Verdict::Free,
            Some(entry) if entry.ends.is_empty() => Verdict::Free,
            Some(entry) if self.is_refused(entry) => Verdict::Refused,
            Some(entry) if entry.ends.len() + 1 == self.ends_to_refuse => Verdict::LastTry,
            Some(_) => Verdict::Suspect,
        }
    }

    /// Records that a backend server ended while it ran a request; returns true if this changes the
    /// entry.
    pub fn record_end(
        &mut self,
        digest: RequestDigest,
        end: IncarnationDigest,
        now_ms: u64,
    ) -> bool {
        let cleared = self.entries.get(&digest).map_or(0, |entry| entry.cleared);
        let ends = vec![end];
        self.merge(&SuspectReport { digest, cleared, ends, age_ms: 0 }, now_ms)
    }

    /// Records that a request got a healthy answer; returns true if this clears recorded ends.
    pub fn record_healthy_answer(&mut self, digest: RequestDigest, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get(&digest).filter(|entry| !entry.ends.is_empty()) else {
            return false;
        };
        let cleared = entry.cleared.saturating_add(1);
        self.merge(&SuspectReport { digest, cleared, ends: Vec::new(), age_ms: 0 }, now_ms)
    }

    /// Records that a request has arrived again; returns true if this should be reported, because
    /// other VMs would soon forget the request.
    pub fn record_arrival(&mut self, digest: RequestDigest, now_ms: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else { return false };
        let is_old = now_ms.saturating_sub(entry.seen_ms) > RETENTION_MS / 4;
        entry.seen_ms = entry.seen_ms.max(now_ms);
        is_old
    }

    /// Merges another VM's report; returns true if this changes the entry.
    pub fn merge(&mut self, report: &SuspectReport, now_ms: u64) -> bool {
        if report.age_ms >= RETENTION_MS {
            return false;
        }
        let seen_ms = now_ms.saturating_sub(report.age_ms);
        let before = self.entries.get(&report.digest).cloned();
        let mut entry =
            before.clone().unwrap_or(Entry { cleared: report.cleared, ends: Vec::new(), seen_ms });
        entry.seen_ms = entry.seen_ms.max(seen_ms);
        if report.cleared > entry.cleared {
            entry.cleared = report.cleared;
            entry.ends.clear();
        }
        if report.cleared == entry.cleared {
            entry.ends.extend(&report.ends);
            entry.ends.sort_unstable();
            entry.ends.dedup();
            entry.ends.truncate(self.ends_to_refuse);
        }
        let is_news = before
            .as_ref()
            .is_none_or(|before| (before.cleared, &before.ends) != (entry.cleared, &entry.ends));
        self.fingerprint ^= before.map_or(0, |before| entry_hash(report.digest, &before));
        self.fingerprint ^= entry_hash(report.digest, &entry);
        self.entries.insert(report.digest, entry);
        self.enforce_limit();
        is_news && self.entries.contains_key(&report.digest)
    }

    /// The report about a request for other VMs.
    pub fn report(&self, digest: RequestDigest, now_ms: u64) -> Option<SuspectReport> {
        let entry = self.entries.get(&digest)?;
        let age_ms = now_ms.saturating_sub(entry.seen_ms);
        Some(SuspectReport { digest, cleared: entry.cleared, ends: entry.ends.clone(), age_ms })
    }

    /// The reports that VMs compare with each other.
    pub fn compared(&self, now_ms: u64) -> impl Iterator<Item = SuspectReport> + '_ {
        let compared = self.entries.iter().filter(|(_, entry)| is_compared(entry));
        compared.filter_map(move |(digest, _)| self.report(*digest, now_ms))
    }

    /// The combined hash of the entries that VMs compare: VMs with the same hash have the same
    /// entries. It is 0 if there is nothing to compare.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Removes the requests that have neither arrived nor ended a backend server for
    /// [`RETENTION_MS`]; returns those of them that were refused.
    pub fn expire(&mut self, now_ms: u64) -> Vec<RequestDigest> {
        let is_old = |entry: &Entry| now_ms.saturating_sub(entry.seen_ms) >= RETENTION_MS;
        let old = self.entries.iter().filter(|(_, entry)| is_old(entry));
        let old: Vec<RequestDigest> = old.map(|(digest, _)| *digest).collect();
        let refused =
            old.iter().copied().filter(|digest| self.verdict(*digest) == Verdict::Refused);
        let refused = refused.collect();
        old.into_iter().for_each(|digest| self.remove(digest));
        refused
    }

    /// Tells whether a request is refused.
    fn is_refused(&self, entry: &Entry) -> bool {
        entry.ends.len() >= self.ends_to_refuse
    }

    /// Drops requests while there are too many, those with the fewest ends first and then those
    /// with the smallest digests, so that VMs that exchange reports drop the same ones.
    ///
    /// A flood of requests with one end each therefore never displaces a request with two ends. A
    /// flood of [`MAX_SUSPECTS`] requests with two ends each leaves no room for others; with
    /// backend servers of three slots and a queue of seven, it takes 800 ends within
    /// [`RETENTION_MS`].
    fn enforce_limit(&mut self) {
        while self.entries.len() > MAX_SUSPECTS {
            let smallest =
                self.entries.iter().min_by_key(|(digest, entry)| (entry.ends.len(), **digest));
            let Some(smallest) = smallest.map(|(digest, _)| *digest) else { return };
            self.remove(smallest);
        }
    }

    /// Removes a request.
    fn remove(&mut self, digest: RequestDigest) {
        if let Some(entry) = self.entries.remove(&digest) {
            self.fingerprint ^= entry_hash(digest, &entry);
        }
    }
}

/// Tells whether VMs compare the entry of a request.
fn is_compared(entry: &Entry) -> bool {
    entry.ends.len() >= MIN_COMPARED_ENDS || entry.cleared > 0
}

/// The hash that an entry contributes to the fingerprint.
fn entry_hash(digest: RequestDigest, entry: &Entry) -> u64 {
    if !is_compared(entry) {
        return 0;
    }
    let mut bytes = digest.0.to_be_bytes().to_vec();
    bytes.extend(entry.cleared.to_be_bytes());
    entry.ends.iter().for_each(|end| bytes.extend(end.0.to_be_bytes()));
    xxh3_64(&bytes)
}
