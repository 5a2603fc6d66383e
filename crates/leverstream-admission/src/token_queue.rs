//! The requests that wait for a token of their workspace's allotment.

use std::collections::BTreeSet;

use crate::Rank;

/// The requests of one workspace that wait for a token at this VM, by urgency and then by arrival.
#[derive(Clone, Debug, Default)]
pub struct TokenQueue {
    /// The turns of the waiting requests.
    waiting: BTreeSet<TokenTurn>,
    /// The last arrival number assigned.
    last_number: u64,
}

/// The place of a request in the order of service; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenTurn {
    /// The rank.
    rank: Rank,
    /// The arrival number.
    number: u64,
}

impl TokenQueue {
    /// Adds a request.
    pub fn join(&mut self, rank: Rank) -> TokenTurn {
        self.last_number += 1;
        let turn = TokenTurn { rank, number: self.last_number };
        self.waiting.insert(turn);
        turn
    }

    /// Removes a request that was admitted or refused, or whose caller has gone.
    pub fn leave(&mut self, turn: TokenTurn) {
        self.waiting.remove(&turn);
    }

    /// Tells whether a waiting request goes first.
    pub fn is_first(&self, turn: TokenTurn) -> bool {
        self.waiting.first() == Some(&turn)
    }

    /// Tells whether a request that arrives now goes before all that wait.
    pub fn is_before_all(&self, rank: Rank) -> bool {
        self.waiting.first().is_none_or(|first| rank < first.rank)
    }

    /// Returns the number of waiting requests ahead of one that arrives now.
    pub fn count_ahead(&self, rank: Rank) -> usize {
        self.waiting.range(..=TokenTurn { rank, number: u64::MAX }).count()
    }

    /// Returns the number of waiting requests ahead of a waiting one.
    pub fn count_before(&self, turn: TokenTurn) -> usize {
        self.waiting.range(..turn).count()
    }

    /// Returns the number of waiting requests.
    pub fn count(&self) -> usize {
        self.waiting.len()
    }
}

impl TokenTurn {
    /// Returns the rank.
    pub fn rank(self) -> Rank {
        self.rank
    }
}
