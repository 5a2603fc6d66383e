/// The chance that a request fails at a backend server that is in a spell of failures.
///
/// Measured at both sites: 0.85 and 0.9 in the spells of errors, half in partial faults.
const FAILS_IN_SPELL: f64 = 0.8;

/// The chance that one fails at a sound backend server.
///
/// Measured at both sites: 1.2 % of the answers of sound ones are errors.
const FAILS_OTHERWISE: f64 = 0.012;

/// The chance of a spell that is assumed whatever good answers came: the next one may begin now.
const LEAST_DOUBT: f64 = 0.02;

/// The chance of a spell that is left however many failures came.
const MOST_DOUBT: f64 = 0.99;

/// The chance of a spell below which it is over.
const SPELL_OVER: f64 = 0.1;

/// How long the chance of a spell takes to halve after its first failure, in milliseconds: a stray error
/// leaves a backend server out for less than a second.
const HALF_LIFE_FIRST_MS: u64 = 1_700;

/// The same at most. Spells of 9 to 27 s were seen at both sites.
const HALF_LIFE_LAST_MS: u64 = 6_000;

/// How many outcomes that are told together count; more say nothing more.
const COUNT_LIMIT: u64 = 8;

/// The chance of a failure from which a backend server is avoided.
pub const AVOID_FROM: f64 = 0.35;

/// What the last outcomes at a backend server say of the next one.
///
/// A backend server is taken to be either sound or in a spell of failures. Each outcome changes the chance
/// of the latter by Bayes' rule; with time it fades. How long a spell goes on is not known beforehand: one
/// that has lasted for some time is expected to last about as long again, so trials in it grow rare.
///
/// Beside [`Health`](crate::Health), which judges over minutes, this reacts to a single failure and forgets
/// it within seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recent {
    /// The chance that it is in a spell of failures, as of the last outcome.
    doubt: f64,
    /// When the last outcome was seen.
    at_ms: u64,
    /// The first failure of the spell, if there may be one.
    spell_since_ms: Option<u64>,
    /// When the last failure was seen, if there was one.
    last_bad_ms: Option<u64>,
}

impl Default for Recent {
    /// Nothing was seen yet.
    fn default() -> Recent {
        Recent { doubt: LEAST_DOUBT, at_ms: 0, spell_since_ms: None, last_bad_ms: None }
    }
}

impl Recent {
    /// Notes good outcomes.
    pub fn good(&mut self, count: u64, now_ms: u64) {
        for _ in 0..count.min(COUNT_LIMIT) {
            self.weigh(1.0 - FAILS_IN_SPELL, 1.0 - FAILS_OTHERWISE, now_ms);
        }
        if self.doubt < SPELL_OVER {
            self.spell_since_ms = None;
        }
    }

    /// Notes bad outcomes.
    pub fn bad(&mut self, count: u64, now_ms: u64) {
        if count == 0 {
            return;
        }
        if self.doubt(now_ms) < SPELL_OVER {
            self.spell_since_ms = None;
        }
        self.spell_since_ms.get_or_insert(now_ms);
        for _ in 0..count.min(COUNT_LIMIT) {
            self.weigh(FAILS_IN_SPELL, FAILS_OTHERWISE, now_ms);
        }
        self.last_bad_ms = Some(now_ms);
    }

    /// Notes that a request was given up unanswered after a time that a share of the sound answers exceed.
    pub fn unanswered(&mut self, slower_share: f64, now_ms: u64) {
        let before = self.doubt(now_ms);
        if before < SPELL_OVER {
            self.spell_since_ms = None;
        }
        self.weigh(FAILS_IN_SPELL + (1.0 - FAILS_IN_SPELL) * slower_share, slower_share, now_ms);
        if self.is_avoided(now_ms) {
            self.spell_since_ms.get_or_insert(now_ms);
            self.last_bad_ms = Some(now_ms);
        }
    }

    /// By how much a request under way, after a time that a share of the sound answers exceed, makes a spell
    /// likelier.
    pub fn overdue_odds(slower_share: f64) -> f64 {
        FAILS_IN_SPELL / slower_share + 1.0 - FAILS_IN_SPELL
    }

    /// The chance that the next request fails, from 0 to 1; `overdue_odds` is what the requests under way say.
    pub fn failure_chance(&self, overdue_odds: f64, now_ms: u64) -> f64 {
        let doubt = self.doubt(now_ms);
        let (yes, no) = (doubt * overdue_odds, 1.0 - doubt);
        let doubt = yes / (yes + no);
        doubt * FAILS_IN_SPELL + (1.0 - doubt) * FAILS_OTHERWISE
    }

    /// How long ago the last bad outcome was, if there was one.
    pub fn bad_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_bad_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Tells whether a backend server should be avoided while others can do the work.
    pub fn is_avoided(&self, now_ms: u64) -> bool {
        self.failure_chance(1.0, now_ms) >= AVOID_FROM
    }

    /// Changes the chance of a spell for an outcome that has one chance in a spell and another otherwise.
    fn weigh(&mut self, in_spell: f64, otherwise: f64, now_ms: u64) {
        let doubt = self.doubt(now_ms);
        let (yes, no) = (doubt * in_spell, (1.0 - doubt) * otherwise);
        self.doubt = (yes / (yes + no)).clamp(LEAST_DOUBT, MOST_DOUBT);
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// The chance that it is in a spell of failures by now.
    fn doubt(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let faded = (self.doubt - LEAST_DOUBT) * (-age_ms / self.half_life_ms()).exp2();
        LEAST_DOUBT + faded.max(0.0)
    }

    /// How long the chance of a spell takes to halve: as long as the spell has lasted, within bounds.
    fn half_life_ms(&self) -> f64 {
        let lasted_ms = match (self.spell_since_ms, self.last_bad_ms) {
            (Some(since_ms), Some(last_ms)) => last_ms.saturating_sub(since_ms),
            _ => 0,
        };
        lasted_ms.clamp(HALF_LIFE_FIRST_MS, HALF_LIFE_LAST_MS) as f64
    }
}
