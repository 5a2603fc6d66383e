//! Rate limits that backend servers announce, in requests a second over all VMs together.
//!
//! The notice whose request was sent last applies. With a limit, each request needs a permit; when
//! permits are denied, the backend server is skipped until the denial ends.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_catalog::Incarnation;
use leverstream_health::BackendKey;
use serde::{Deserialize, Serialize};

use super::{BackendState, Fleet};

/// The maximum number of unlisted incarnations whose limits are remembered.
const UNLISTED_STARTS_LIMIT: usize = 4_096;

/// A limit as announced in an answer.
///
/// Notices are ordered by the time their request was sent, so a delayed answer does not restore an
/// older limit. If the backend server made two answers in the other order, the one to the later
/// request applies until the next answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// The limit in requests a second; none if the answer had no limit.
    pub per_s: Option<f64>,
    /// When the request was sent, in milliseconds by the holder's clock; negative if that was
    /// before the holder's process started.
    pub sent_ms: i64,
}

/// A limit as one VM sends it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The incarnation that announced it.
    pub of: Incarnation,
    /// The limit in requests a second; none if it has been lifted.
    pub per_s: Option<f64>,
    /// The time since the request was sent whose answer announced it, in milliseconds.
    pub age_ms: u64,
}

/// What a VM knows about the limit of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Limit {
    /// The latest notice.
    notice: Option<LimitNotice>,
    /// The time until which permits are denied.
    denied_until_ms: u64,
    /// The rate that this VM can count on, in requests a second, if known.
    share_per_s: Option<f64>,
}

impl LimitUpdate {
    /// Converts it to the receiver's clock.
    pub fn to_notice(&self, now_ms: u64) -> LimitNotice {
        let age_ms = i64::try_from(self.age_ms).unwrap_or(i64::MAX);
        LimitNotice { per_s: self.per_s, sent_ms: signed(now_ms).saturating_sub(age_ms) }
    }
}

impl LimitNotice {
    /// Builds the message to another VM.
    pub fn to_update(&self, of: &Incarnation, now_ms: u64) -> LimitUpdate {
        let age_ms = signed(now_ms).saturating_sub(self.sent_ms);
        let age_ms = u64::try_from(age_ms).unwrap_or(0);
        LimitUpdate { of: of.clone(), per_s: self.per_s, age_ms }
    }
}

impl Limit {
    /// Applies a notice unless a newer one is known; returns whether the limit changed.
    fn note(&mut self, notice: LimitNotice) -> bool {
        if self.notice.is_some_and(|known| notice.sent_ms <= known.sent_ms) {
            return false;
        }
        let before = self.per_s();
        self.notice = Some(notice);
        if notice.per_s.is_none() {
            (self.denied_until_ms, self.share_per_s) = (0, None);
        }
        before != notice.per_s
    }

    /// Returns the limit in requests a second, if there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.notice.and_then(|notice| notice.per_s)
    }

    /// Returns the latest notice.
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice
    }

    /// Tells whether a permit may be requested.
    pub fn admits(&self, now_ms: u64) -> bool {
        now_ms >= self.denied_until_ms
    }

    /// Returns the rate that this VM can count on and the time from which it applies, if there is a
    /// limit.
    pub fn share(&self) -> Option<(f64, u64)> {
        let per_s = self.per_s()?;
        Some((self.share_per_s.unwrap_or(per_s), self.denied_until_ms))
    }
}

impl Fleet {
    /// Applies a notice about an incarnation; returns whether the limit changed.
    pub fn note_limit(&mut self, of: &Incarnation, notice: LimitNotice, now_ms: u64) -> bool {
        let key = self.by_instance.get(&of.instance).copied();
        let known = key.map(|key| (key, self.arena[key.0 as usize].backend.born_ms));
        match known {
            Some((key, born_ms)) if born_ms == of.born_ms => self.note_listed(key, notice, now_ms),
            Some((_, born_ms)) if born_ms > of.born_ms => false,
            _ => self.note_unlisted(of, notice),
        }
    }

    /// Applies a notice about a listed incarnation.
    fn note_listed(&mut self, key: BackendKey, notice: LimitNotice, now_ms: u64) -> bool {
        let member = &mut self.arena[key.0 as usize];
        if !member.limit.note(notice) {
            return false;
        }
        self.limited.retain(|other| *other != key);
        if notice.per_s.is_some() {
            self.limited.push(key);
        } else {
            // All VMs learn of the lifted limit at once, so each starts with a single request.
            self.arena[key.0 as usize].hold_off.restart_with_one_request(now_ms);
        }
        true
    }

    /// Applies a notice about an unlisted incarnation, which may be listed later or again.
    pub(super) fn note_unlisted(&mut self, of: &Incarnation, notice: LimitNotice) -> bool {
        if let Some(limit) = self.unlisted_limits.get_mut(of) {
            return limit.note(notice);
        }
        if notice.per_s.is_none() || self.unlisted_limits.len() >= UNLISTED_STARTS_LIMIT {
            return false;
        }
        let mut limit = Limit::default();
        limit.note(notice);
        self.unlisted_limits.insert(of.clone(), limit);
        true
    }

    /// Returns the limit that a backend server has announced, in requests a second over all VMs.
    pub fn limit(&self, key: BackendKey) -> Option<f64> {
        self.arena.get(key.0 as usize).and_then(|member| member.limit.per_s())
    }

    /// Returns the service of a backend server.
    pub fn service(&self, key: BackendKey) -> &str {
        self.arena.get(key.0 as usize).map_or("", |member| &member.backend.service)
    }

    /// Returns the sum of the announced limits by service.
    pub fn limits_by_service(&self) -> HashMap<String, f64> {
        let mut sums = HashMap::new();
        for member in self.limited.iter().map(|key| &self.arena[key.0 as usize]) {
            *sums.entry(member.backend.service.clone()).or_default() +=
                member.limit.per_s().unwrap_or_default();
        }
        sums
    }

    /// Returns the latest limit notice of an incarnation.
    pub fn limit_notice(&self, of: &Incarnation) -> Option<LimitNotice> {
        let listed = self.by_instance.get(&of.instance).map(|key| &self.arena[key.0 as usize]);
        let listed = listed.filter(|member| member.backend.born_ms == of.born_ms);
        let limit = listed.map(|member| &member.limit).or_else(|| self.unlisted_limits.get(of));
        limit.and_then(Limit::notice)
    }

    /// Records that permits are denied until a time, and the rate that this VM can count on, if
    /// given.
    pub fn deny(&mut self, key: BackendKey, until_ms: u64, share_per_s: Option<f64>) {
        if let Some(member) = self.arena.get_mut(key.0 as usize) {
            member.limit.denied_until_ms = until_ms;
            member.limit.share_per_s = share_per_s.or(member.limit.share_per_s);
        }
    }

    /// Returns the limits of listed incarnations for other VMs.
    pub fn limits(&self, now_ms: u64) -> Vec<LimitUpdate> {
        let update = |key: &BackendKey| {
            let notice = self.arena[key.0 as usize].limit.notice()?;
            Some(notice.to_update(&self.incarnation(*key), now_ms))
        };
        self.limited.iter().filter_map(update).collect()
    }

    /// Returns a fingerprint of the limits, equal at VMs that know the same; 0 if there are none.
    pub(super) fn limits_fingerprint(&self) -> u64 {
        let digest = |key: &BackendKey| {
            let BackendState { backend, limit, .. } = &self.arena[key.0 as usize];
            let mut hasher = DefaultHasher::new();
            let per_s = limit.per_s().map(f64::to_bits);
            (&backend.instance, backend.born_ms, per_s).hash(&mut hasher);
            hasher.finish()
        };
        self.limited.iter().map(digest).fold(0, |all, one| all ^ one)
    }
}

/// Converts a time to a signed number.
fn signed(at_ms: u64) -> i64 {
    i64::try_from(at_ms).unwrap_or(i64::MAX)
}
