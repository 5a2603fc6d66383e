//! Backend servers that leave or want nothing for a while by their own word.

use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_catalog::Incarnation;
use leverstream_health::BackendKey;
use rand::Rng;

use super::{BackendState, Candidates, Fleet};

/// Whether a service takes requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Openness {
    /// Some backend server may, or will when it has a free slot.
    Open,
    /// There is no backend server.
    Closed,
    /// All want nothing; the first of them until then, in milliseconds.
    HoldsOffUntil(u64),
    /// All that want anything name a limit.
    Limited {
        /// How many requests a second this VM can count on.
        per_s: f64,
        /// When the first of them may take one, in milliseconds.
        from_ms: u64,
    },
}

impl Fleet {
    /// Sets for how long a backend server that has said that it leaves still gets the requests of a service that has no
    /// other: it works on meanwhile, and what replaces it may be unknown while the store is away.
    pub fn set_last_resort(&mut self, for_ms: u64) {
        self.last_resort_ms = for_ms;
    }

    /// Notes that a start has said that it leaves; true if that is news.
    ///
    /// Nothing that the platform lists takes it back, only another start is free of it.
    pub fn leave(&mut self, of: &Incarnation, now_ms: u64) -> bool {
        let is_news = self.leaving.note(of);
        let Some(key) = self.by_instance.get(&of.instance).copied() else { return is_news };
        let member = &mut self.arena[key.0 as usize];
        if member.backend.born_ms > of.born_ms || member.is_gone {
            return is_news;
        }
        member.is_gone = true;
        member.said_leaving_ms = Some(now_ms);
        self.leavers.push(key);
        self.list(key);
        true
    }

    /// The starts that leave by their own word, while the platform lists them as if they stayed.
    pub fn leavers(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.leavers.iter().map(|key| self.incarnation(*key))
    }

    /// A digest of what backend servers say of themselves and the platform does not, equal at VMs that know the same: who leaves,
    /// and who names which limit. 0 if there is nothing.
    pub fn words_fingerprint(&self) -> u64 {
        self.leavers_fingerprint() ^ self.limits_fingerprint()
    }

    /// A digest of those that leave.
    fn leavers_fingerprint(&self) -> u64 {
        let digest = |key: &BackendKey| {
            let backend = &self.arena[key.0 as usize].backend;
            let mut hasher = DefaultHasher::new();
            (&backend.instance, backend.born_ms).hash(&mut hasher);
            hasher.finish()
        };
        self.leavers.iter().map(digest).fold(0, |all, one| all ^ one)
    }

    /// Notes that a backend server wants no requests of this VM for a time.
    pub fn hold_off(&mut self, key: BackendKey, for_ms: u64, now_ms: u64) {
        self.hold_offs.retain(|_, unlisted| unlisted.until_ms(now_ms).is_some());
        if let Some(member) = self.arena.get_mut(key.0 as usize) {
            member.hold_off.note(for_ms, now_ms);
        }
    }

    /// Tells whether a request that chose a backend server may still be sent there.
    pub fn may_send(&self, key: BackendKey, now_ms: u64) -> bool {
        let Some(member) = self.arena.get(key.0 as usize) else { return false };
        let is_in_service = !member.is_gone || self.is_last_resort(member, now_ms);
        let is_emptied = self.is_emptied(&member.backend.hall);
        is_in_service && !is_emptied && member.hold_off.until_ms(now_ms).is_none()
    }

    /// Those that a request for a service may go to, or of many those of which most is known and some others.
    pub fn candidates(&self, service: &str, now_ms: u64, rng: &mut impl Rng) -> Candidates {
        let last_resorts = || {
            let keys: Vec<BackendKey> = self.last_resorts(service, now_ms).collect();
            Candidates { known: keys.len(), keys, stands_for: 1.0 }
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

    /// Tells whether a service takes requests.
    pub fn openness(&self, service: &str, now_ms: u64) -> Openness {
        let mut first_ms: Option<u64> = None;
        let mut shares: Vec<(f64, u64)> = Vec::new();
        for key in self.serving(service, now_ms) {
            let member = &self.arena[key.0 as usize];
            match (member.hold_off.until_ms(now_ms), member.limit.share()) {
                (Some(until_ms), _) => first_ms = Some(first_ms.unwrap_or(until_ms).min(until_ms)),
                (None, Some(share)) => shares.push(share),
                (None, None) => return Openness::Open,
            }
        }
        match shares.iter().map(|(_, from_ms)| *from_ms).min() {
            Some(from_ms) => {
                let per_s = shares.iter().map(|(per_s, _)| per_s).sum();
                Openness::Limited { per_s, from_ms }
            }
            None => first_ms.map_or(Openness::Closed, Openness::HoldsOffUntil),
        }
    }

    /// How many listed backend servers there are by state, for operators.
    pub fn census(&self, now_ms: u64) -> Census {
        let mut census = Census::default();
        for key in self.by_instance.values() {
            let member = &self.arena[key.0 as usize];
            let count = match member {
                BackendState { said_leaving_ms: Some(_), .. } => &mut census.leaving_by_word,
                BackendState { is_gone: true, .. } => &mut census.leaving,
                _ if self.is_emptied(&member.backend.hall) => &mut census.emptied,
                _ if member.hold_off.until_ms(now_ms).is_some() => &mut census.holding_off,
                _ if member.limit.per_s().is_some() => &mut census.limited,
                _ => &mut census.in_service,
            };
            *count += 1;
        }
        census
    }

    /// Those of a service that serve, whether or not they want anything now: those in service, or where there are none,
    /// those that left so short a while ago that they serve on.
    fn serving(&self, service: &str, now_ms: u64) -> impl Iterator<Item = BackendKey> {
        let all = self.of_service(service).iter().copied();
        let all = all.chain(self.last_resorts(service, now_ms));
        all.filter(|key| !self.is_emptied(&self.arena[key.0 as usize].backend.hall))
    }

    /// Those of a service that has no other which have said that they leave and still take work.
    fn last_resorts(&self, service: &str, now_ms: u64) -> impl Iterator<Item = BackendKey> {
        let is_last_resort = move |key: &BackendKey| {
            let member = &self.arena[key.0 as usize];
            member.backend.service == service && self.is_last_resort(member, now_ms)
        };
        self.leavers.iter().copied().filter(is_last_resort)
    }

    /// Tells whether one that has said that it leaves still takes work.
    fn is_last_resort(&self, member: &BackendState, now_ms: u64) -> bool {
        let since_word_ms = member.said_leaving_ms.map(|said_ms| now_ms.saturating_sub(said_ms));
        since_word_ms.is_some_and(|since_ms| since_ms < self.last_resort_ms)
            && self.of_service(&member.backend.service).is_empty()
    }
}

/// How many listed backend servers there are by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// Those that take work.
    pub in_service: u32,
    /// Those that the platform lists as leaving.
    pub leaving: u32,
    /// Those that leave by their own word, which the platform does not tell.
    pub leaving_by_word: u32,
    /// Those that want nothing of this VM for now.
    pub holding_off: u32,
    /// Those that name a limit.
    pub limited: u32,
    /// Those in data halls that are to be emptied.
    pub emptied: u32,
}
