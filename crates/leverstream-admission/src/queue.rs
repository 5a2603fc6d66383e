//! The queue of requests that wait for a slot of a service.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use crate::Rank;
use crate::places::Places;

/// The number of route ranks that are distinguished in the demand by rank.
const ROUTE_RANKS: u32 = 4;

/// The requests that wait for a slot, in the order of [`Turn`]: committed ones first, then by rank,
/// then in rounds among the workspaces of a rank, then by arrival.
///
/// A workspace that sends many requests at once queues behind its own requests and doesn't delay
/// other workspaces: each of its requests goes into the round after its previous one, while a
/// request of another workspace goes into the round that is being served.
#[derive(Debug)]
pub struct WaitQueue<K, W> {
    /// The waiting requests with what wakes them.
    waiters: BTreeMap<Turn, W>,
    /// The turns of the waiting requests, to count those ahead of one.
    places: Places,
    /// The number of waiting requests by rank.
    by_rank: BTreeMap<QueueRank, usize>,
    /// The last arrival number assigned.
    last_number: u64,
    /// The round that is being served.
    current_round: u64,
    /// The round of the last request of each workspace since the queue was last empty.
    last_rounds: HashMap<K, u64>,
}

/// The priority of a waiting request; the smaller rank goes first, and the workspace's rank counts
/// before the route's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueRank {
    /// The rank of the workspace; 0 goes first.
    pub workspace: u32,
    /// The rank of the route; 0 goes first.
    pub route: u32,
}

/// Whether a request may still be displaced or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// It has waited so long that it must be offered to a backend server.
    Committed,
    /// It may be displaced or refused.
    Open,
}

/// The place of a request in the order of service; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Whether it may still be displaced or refused.
    stage: Stage,
    /// The rank.
    rank: QueueRank,
    /// The round in which its workspace is served.
    round: u64,
    /// The arrival number.
    number: u64,
}

/// The result of adding a request to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Enqueued<W> {
    /// It waits.
    Waits,
    /// It waits in place of a less urgent request, which must be refused.
    Displaced(W),
    /// The queue is full of requests that go first.
    Full(W),
}

impl QueueRank {
    /// Returns the rank under which demand is counted. Workspaces below the first rank share one
    /// range, in which the route's rank decides.
    pub fn demand_rank(self) -> Rank {
        Rank(self.workspace.min(1) * ROUTE_RANKS + self.route.min(ROUTE_RANKS - 1))
    }
}

impl Turn {
    /// Returns the turn of the same request once it is committed.
    #[must_use]
    pub fn committed(self) -> Turn {
        Turn { stage: Stage::Committed, ..self }
    }

    /// Tells whether the request is committed.
    pub fn is_committed(self) -> bool {
        self.stage == Stage::Committed
    }

    /// Returns the arrival number.
    pub(crate) fn number(self) -> u64 {
        self.number
    }
}

impl<K, W> Default for WaitQueue<K, W> {
    /// Creates an empty queue.
    fn default() -> WaitQueue<K, W> {
        WaitQueue {
            waiters: BTreeMap::new(),
            places: Places::default(),
            by_rank: BTreeMap::new(),
            last_number: 0,
            current_round: 0,
            last_rounds: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash, W> WaitQueue<K, W> {
    /// Assigns a turn to a request; requests without a workspace are served in order of arrival.
    pub fn assign_turn(&mut self, rank: QueueRank, workspace: Option<K>) -> Turn {
        self.last_number += 1;
        if self.waiters.is_empty() {
            // No request waits, so no workspace has rounds ahead of others.
            self.last_rounds.clear();
        }
        let round = workspace.map_or(self.current_round, |workspace| {
            let next = self.last_rounds.get(&workspace).map_or(0, |last| last + 1);
            let round = next.max(self.current_round);
            self.last_rounds.insert(workspace, round);
            round
        });
        Turn { stage: Stage::Open, rank, round, number: self.last_number }
    }

    /// Adds a request to the queue. If `limit` requests wait already, the last uncommitted one in
    /// the order of service is displaced, or the request itself is refused if it is the last.
    pub fn enqueue(&mut self, turn: Turn, waiter: W, limit: usize) -> Enqueued<W> {
        if self.waiters.len() < limit {
            self.insert(turn, waiter);
            return Enqueued::Waits;
        }
        let last = self.waiters.last_key_value().map(|(last, _)| *last);
        let displaced = last.filter(|last| !last.is_committed() && turn < *last);
        match displaced.and_then(|last| self.remove(last)) {
            Some(displaced) => {
                self.insert(turn, waiter);
                Enqueued::Displaced(displaced)
            }
            None => Enqueued::Full(waiter),
        }
    }

    /// Adds a request to the queue that has been in it before; a committed one always waits.
    pub fn requeue(&mut self, turn: Turn, waiter: W, limit: usize) -> Enqueued<W> {
        match self.enqueue(turn, waiter, limit) {
            Enqueued::Full(waiter) if turn.is_committed() => {
                self.insert(turn, waiter);
                Enqueued::Waits
            }
            enqueued => enqueued,
        }
    }

    /// Adds a request to the queue.
    fn insert(&mut self, turn: Turn, waiter: W) {
        if self.waiters.insert(turn, waiter).is_none() {
            self.places.insert(turn);
            *self.by_rank.entry(turn.rank).or_default() += 1;
        }
    }

    /// Removes the first request from the queue, to let it look for a slot.
    pub fn take_first(&mut self) -> Option<W> {
        let turn = *self.waiters.first_key_value()?.0;
        self.current_round = self.current_round.max(turn.round);
        self.remove(turn)
    }

    /// Removes a request from the queue, if it waits.
    pub fn remove(&mut self, turn: Turn) -> Option<W> {
        let waiter = self.waiters.remove(&turn)?;
        self.places.remove(turn);
        if let Some(count) = self.by_rank.get_mut(&turn.rank) {
            *count -= 1;
        }
        Some(waiter)
    }

    /// Returns the number of waiting requests ahead of a turn.
    pub fn count_ahead(&self, turn: Turn) -> usize {
        self.places.count_before(turn)
    }

    /// Returns the number of waiting requests.
    pub fn count(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of waiting requests of each rank that has waited.
    pub fn count_by_rank(&self) -> impl Iterator<Item = (QueueRank, usize)> + '_ {
        self.by_rank.iter().map(|(rank, count)| (*rank, *count))
    }
}
