//! Backend servers that announce in an answer that they leave, or that they accept nothing for a
//! while.
//!
//! A leave announcement is final for its incarnation: no platform entry undoes it, and only a new
//! incarnation returns to service.

use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_catalog::Incarnation;
use leverstream_health::BackendKey;
use rand::Rng;

use super::{BackendState, Candidates, Fleet};

/// Whether a service accepts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// A backend server accepts requests, now or once it has a free slot.
    Available,
    /// No backend server is in service.
    NoBackendServer,
    /// All hold off; the earliest hold-off ends at this time, in milliseconds.
    HoldsOffUntil(u64),
    /// All that do not hold off have a rate limit.
    Limited {
        /// The sum of the rates that this VM can count on, in requests a second.
        per_s: f64,
        /// The earliest time at which one of them may accept a request, in milliseconds.
        from_ms: u64,
    },
}

impl Fleet {
    /// Sets how long a backend server that has announced that it leaves still gets requests if its
    /// service has no other. It keeps serving meanwhile, and its replacement may not be known while
    /// the store is unavailable.
    pub fn set_last_resort(&mut self, for_ms: u64) {
        self.last_resort_ms = for_ms;
    }

    /// Records that an incarnation has announced that it leaves; returns whether that was new.
    ///
    /// Platform entries do not undo it; only a later incarnation returns to service.
    pub fn note_leaving(&mut self, of: &Incarnation, now_ms: u64) -> bool {
        let is_news = self.leaving.insert(of);
        let Some(key) = self.by_instance.get(&of.instance).copied() else { return is_news };
        let member = &mut self.arena[key.0 as usize];
        if member.backend.born_ms > of.born_ms || member.is_out_of_service {
            return is_news;
        }
        member.is_out_of_service = true;
        member.announced_leaving_ms = Some(now_ms);
        self.announced_leaving.push(key);
        self.update_roster(key);
        true
    }

    /// Iterates over the incarnations that announced that they leave while the platform lists them
    /// as ready.
    pub fn announced_leaving(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.announced_leaving.iter().map(|key| self.incarnation(*key))
    }

    /// Returns a fingerprint of the announcements that the platform does not list, equal at VMs
    /// that know the same: leaving incarnations and rate limits. It is 0 if there are none.
    pub fn notices_fingerprint(&self) -> u64 {
        self.leaving_fingerprint() ^ self.limits_fingerprint()
    }

    /// Returns a fingerprint of the leaving incarnations.
    fn leaving_fingerprint(&self) -> u64 {
        let digest = |key: &BackendKey| {
            let backend = &self.arena[key.0 as usize].backend;
            let mut hasher = DefaultHasher::new();
            (&backend.instance, backend.born_ms).hash(&mut hasher);
            hasher.finish()
        };
        self.announced_leaving.iter().map(digest).fold(0, |all, one| all ^ one)
    }

    /// Records that a backend server accepts no requests of this VM for some time.
    pub fn hold_off(&mut self, key: BackendKey, for_ms: u64, now_ms: u64) {
        self.hold_offs.retain(|_, unlisted| unlisted.until_ms(now_ms).is_some());
        if let Some(member) = self.arena.get_mut(key.0 as usize) {
            member.hold_off.note(for_ms, now_ms);
        }
    }

    /// Tells whether a request that has been assigned to a backend server may still be sent.
    pub fn may_send(&self, key: BackendKey, now_ms: u64) -> bool {
        let Some(member) = self.arena.get(key.0 as usize) else { return false };
        let is_in_service = !member.is_out_of_service || self.is_last_resort(member, now_ms);
        let is_emptied = self.is_emptied(&member.backend.hall);
        is_in_service && !is_emptied && member.hold_off.until_ms(now_ms).is_none()
    }

    /// Returns the backend servers among which a request may choose; of a large service, the
    /// recently observed ones and a random sample of the rest.
    pub fn candidates(&self, service: &str, now_ms: u64, rng: &mut impl Rng) -> Candidates {
        let last_resorts = || {
            let keys: Vec<BackendKey> = self.last_resorts(service, now_ms).collect();
            Candidates { known: keys.len(), keys, sample_weight: 1.0 }
        };
        let roster = self.rosters.get(service).filter(|roster| !roster.keys().is_empty());
        let mut candidates = roster.map_or_else(last_resorts, |roster| roster.candidates(rng));
        let admits = |key: &BackendKey| {
            let member = &self.arena[key.0 as usize];
            !self.is_emptied(&member.backend.hall)
                && member.hold_off.admits(member.is_busy(), now_ms)
                && member.limit.admits(now_ms)
        };
        candidates.retain(admits);
        candidates
    }

    /// Tells whether a service accepts requests.
    pub fn availability(&self, service: &str, now_ms: u64) -> Availability {
        let mut first_ms: Option<u64> = None;
        let mut shares: Vec<(f64, u64)> = Vec::new();
        for key in self.serving(service, now_ms) {
            let member = &self.arena[key.0 as usize];
            match (member.hold_off.until_ms(now_ms), member.limit.share()) {
                (Some(until_ms), _) => first_ms = Some(first_ms.unwrap_or(until_ms).min(until_ms)),
                (None, Some(share)) => shares.push(share),
                (None, None) => return Availability::Available,
            }
        }
        match shares.iter().map(|(_, from_ms)| *from_ms).min() {
            Some(from_ms) => {
                let per_s = shares.iter().map(|(per_s, _)| per_s).sum();
                Availability::Limited { per_s, from_ms }
            }
            None => first_ms.map_or(Availability::NoBackendServer, Availability::HoldsOffUntil),
        }
    }

    /// Counts the listed backend servers by state, for operators.
    pub fn state_counts(&self, now_ms: u64) -> StateCounts {
        let mut state_counts = StateCounts::default();
        for key in self.by_instance.values() {
            let member = &self.arena[key.0 as usize];
            let count = match member {
                BackendState { announced_leaving_ms: Some(_), .. } => {
                    &mut state_counts.leaving_announced
                }
                BackendState { is_out_of_service: true, .. } => &mut state_counts.leaving,
                _ if self.is_emptied(&member.backend.hall) => &mut state_counts.emptied,
                _ if member.hold_off.until_ms(now_ms).is_some() => &mut state_counts.holding_off,
                _ if member.limit.per_s().is_some() => &mut state_counts.limited,
                _ => &mut state_counts.in_service,
            };
            *count += 1;
        }
        state_counts
    }

    /// Iterates over the backend servers that serve a service, including those that hold off: those
    /// in service or, if there are none, those that may still serve as a last resort.
    fn serving(&self, service: &str, now_ms: u64) -> impl Iterator<Item = BackendKey> {
        let all = self.keys_of_service(service).iter().copied();
        let all = all.chain(self.last_resorts(service, now_ms));
        all.filter(|key| !self.is_emptied(&self.arena[key.0 as usize].backend.hall))
    }

    /// Iterates over the leaving backend servers that still get requests because their service has
    /// no other.
    fn last_resorts(&self, service: &str, now_ms: u64) -> impl Iterator<Item = BackendKey> {
        let is_last_resort = move |key: &BackendKey| {
            let member = &self.arena[key.0 as usize];
            member.backend.service == service && self.is_last_resort(member, now_ms)
        };
        self.announced_leaving.iter().copied().filter(is_last_resort)
    }

    /// Tells whether a leaving backend server still gets requests.
    fn is_last_resort(&self, member: &BackendState, now_ms: u64) -> bool {
        let since_announcement_ms =
            member.announced_leaving_ms.map(|announced_ms| now_ms.saturating_sub(announced_ms));
        since_announcement_ms.is_some_and(|since_ms| since_ms < self.last_resort_ms)
            && self.keys_of_service(&member.backend.service).is_empty()
    }
}

/// The number of listed backend servers by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Those that take requests.
    pub in_service: u32,
    /// Those that the platform lists as leaving.
    pub leaving: u32,
    /// Those that announced that they leave while the platform lists them as ready.
    pub leaving_announced: u32,
    /// Those that hold off this VM.
    pub holding_off: u32,
    /// Those with a rate limit.
    pub limited: u32,
    /// Those in data halls that are to be emptied.
    pub emptied: u32,
}
