//! The allotment of a workspace by rank: what is kept for more urgent requests, which requests wait
//! for a token, and when the callers of the others may retry.

use rand::Rng;

use crate::{Rank, RankDemand, RankLoad, TokenQueue, TokenTurn};

/// The time for which the reserve lasts at the demand of more urgent requests, in seconds. In this
/// time VMs admit requests without knowing of each other: reports are sent after 20 ms while a
/// bucket is low, and every 200 ms.
const RESERVE_S: f64 = 0.25;

/// The longest time that a request waits for a token, in milliseconds.
pub const MAX_TOKEN_WAIT_MS: u64 = 100;

/// The fraction of its objective that a request may spend on waiting for a token.
const WAIT_OBJECTIVE_FRACTION: f64 = 0.125;

/// How many times its estimated wait a request must be able to wait. The estimate is a mean: other
/// VMs take some of the tokens, and a request that waits in vain gets its error late.
const WAIT_FACTOR: f64 = 4.0;

/// The number of requests of one workspace that wait at this VM at most; each checks for its token
/// every few milliseconds.
const MAX_WAITING: usize = 64;

/// The shortest `Retry-After` of a refusal for the allotment, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 50;

/// The longest one, also for workspaces that get less than their rate.
pub const MAX_RETRY_AFTER_MS: u64 = 5_000;

/// Which demand counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandScope {
    /// That of all VMs, which share the allotment.
    Fleet,
    /// That of this VM, which uses its own fraction of the allotment as it hears few other VMs.
    OwnVm,
}

/// A request that can't be admitted at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortRequest {
    /// Its rank.
    pub rank: Rank,
    /// Its latency objective.
    pub objective_ms: u64,
    /// When it arrived. Its wait counts from then, so that other waits before leave less.
    pub arrived_ms: u64,
}

/// Why a request can't be admitted at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenShortage {
    /// The tokens missing until there is one for the request besides the reserve; zero or less if
    /// only other requests that wait are ahead of it.
    pub missing: f64,
    /// The rate at which the tokens return, in tokens a second.
    pub rate_per_s: f64,
    /// Which demand competes for them.
    pub scope: DemandScope,
}

/// What becomes of a request that can't be admitted at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShortDecision {
    /// It waits for its turn, until a time.
    Wait {
        /// Its turn.
        turn: TokenTurn,
        /// When it is refused if there is no token by then.
        until_ms: u64,
    },
    /// It is refused.
    Refuse {
        /// How long until its caller may retry.
        retry_after_ms: u64,
    },
}

/// The requests of one workspace by rank, as known to one VM.
#[derive(Clone, Debug, Default)]
pub struct AllotmentRanks {
    /// The arrivals at all VMs.
    pub demand: RankDemand,
    /// The requests that this VM refused.
    refused: RankDemand,
    /// The requests that wait for a token.
    pub queue: TokenQueue,
}

impl AllotmentRanks {
    /// Returns the number of tokens that are kept for requests more urgent than `rank`: those that
    /// arrive on average until VMs know of each other, and one standard deviation more.
    ///
    /// Without the deviation, a workspace with 8 requests a second whose urgent requests are 3 of
    /// them refused one in six of these in a flood, as less than one token was kept.
    pub fn reserve(&self, rank: Rank, scope: DemandScope, now_ms: u64) -> f64 {
        let arriving = self.load(rank, scope, now_ms).above_per_s * RESERVE_S;
        arriving + arriving.sqrt()
    }

    /// Decides whether a request that can't be admitted at once waits.
    pub fn decide(
        &mut self,
        shortage: TokenShortage,
        request: ShortRequest,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> ShortDecision {
        let rank = request.rank;
        let until_ms = request.wait_until_ms(now_ms);
        let wait_ms = self.wait_ms(shortage, rank, self.queue.count_ahead(rank), now_ms);
        let fits = wait_ms * WAIT_FACTOR <= until_ms.saturating_sub(now_ms) as f64;
        if fits && self.has_place(shortage, rank, now_ms) {
            return ShortDecision::Wait { turn: self.queue.join(rank), until_ms };
        }
        ShortDecision::Refuse { retry_after_ms: self.refuse(shortage, rank, now_ms, rng) }
    }

    /// Tells whether a waiting request can still get its token in time, even if the estimated wait
    /// is `WAIT_FACTOR` times too long.
    ///
    /// In the simulation with 50 a second, 259 of 1,649 waiting requests were given up by the
    /// estimate itself, but 45 of 1,629 got no token when all waited until their time was over.
    pub fn can_wait(
        &self,
        shortage: TokenShortage,
        turn: TokenTurn,
        until_ms: u64,
        now_ms: u64,
    ) -> bool {
        let wait_ms = self.wait_ms(shortage, turn.rank(), self.queue.count_before(turn), now_ms);
        now_ms < until_ms && wait_ms <= (until_ms - now_ms) as f64 * WAIT_FACTOR
    }

    /// Counts a refused request and returns how long until its caller may retry.
    ///
    /// Retries are spread over the time that the requests refused within the last second need, so
    /// that they don't arrive all at once.
    pub fn refuse(
        &mut self,
        shortage: TokenShortage,
        rank: Rank,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> u64 {
        self.refused.note_arrival(rank, now_ms);
        let load = self.load(rank, shortage.scope, now_ms);
        let rate_per_s = shortage.rate_left_per_s(load) * load.rank_fraction;
        if rate_per_s <= 0.0 {
            return MAX_RETRY_AFTER_MS;
        }
        let spread_ms = self.refused.own_per_s(rank, now_ms) / rate_per_s * 1_000.0;
        let ahead = self.queue.count_ahead(rank);
        let retry_ms =
            self.wait_ms(shortage, rank, ahead, now_ms) + spread_ms * rng.random::<f64>();
        (retry_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    /// Returns the estimated wait of a request with some others ahead of it; infinite if more urgent
    /// requests need the whole rate.
    ///
    /// The bucket fills up to the reserve for all VMs together. After that this VM gets tokens at
    /// its fraction of the rank's arrivals, first for the requests ahead.
    fn wait_ms(&self, shortage: TokenShortage, rank: Rank, ahead: usize, now_ms: u64) -> f64 {
        let load = self.load(rank, shortage.scope, now_ms);
        let rate_per_s = shortage.rate_left_per_s(load);
        let own_rate_per_s = rate_per_s * load.rank_fraction;
        if own_rate_per_s <= 0.0 {
            return f64::INFINITY;
        }
        let missing = shortage.missing.max(0.0);
        let own = missing.min(1.0);
        let needed_here = ahead as f64 + own;
        ((missing - own) / rate_per_s + needed_here / own_rate_per_s) * 1_000.0
    }

    /// Tells whether this request and all that wait could be served within the longest wait.
    fn has_place(&self, shortage: TokenShortage, rank: Rank, now_ms: u64) -> bool {
        let load = self.load(rank, shortage.scope, now_ms);
        let needed = shortage.missing.max(0.0) + self.queue.count() as f64;
        let served = shortage.rate_per_s * load.vm_fraction * MAX_TOKEN_WAIT_MS as f64 / 1_000.0;
        self.queue.count() < MAX_WAITING && needed <= served
    }

    /// Returns the demand as it bears on a rank.
    fn load(&self, rank: Rank, scope: DemandScope, now_ms: u64) -> RankLoad {
        match scope {
            DemandScope::Fleet => self.demand.load(rank, now_ms),
            DemandScope::OwnVm => self.demand.own_load(rank, now_ms),
        }
    }
}

impl ShortRequest {
    /// Returns until when the request may wait for a token.
    fn wait_until_ms(self, now_ms: u64) -> u64 {
        let allowed_ms = (self.objective_ms as f64 * WAIT_OBJECTIVE_FRACTION) as u64;
        (self.arrived_ms + allowed_ms).min(now_ms + MAX_TOKEN_WAIT_MS)
    }
}

impl TokenShortage {
    /// Returns the rate that more urgent requests leave, in tokens a second.
    fn rate_left_per_s(self, load: RankLoad) -> f64 {
        (self.rate_per_s - load.above_per_s).max(0.0)
    }
}
