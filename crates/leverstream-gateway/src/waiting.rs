//! The queue of requests that wait for a slot.

use std::collections::HashMap;

use leverstream_workspace::WorkspaceId;
use tokio::sync::oneshot;

/// The requests of a service that wait for a slot, in the order of [`Turn`]: by rank, then in
/// rounds among the workspaces of a rank, then by arrival.
///
/// A workspace that sends many requests at once queues behind its own requests and doesn't delay
/// other workspaces: each of its requests goes into the round after its previous one, while a
/// request of another workspace goes into the round that is being served.
#[derive(Default)]
pub struct WaitQueue {
    /// The waiting requests, unordered.
    waiters: Vec<Waiter>,
    /// The last arrival number assigned.
    last_number: u64,
    /// The round that is being served.
    current_round: u64,
    /// The round of the last request of each workspace since the queue was last empty.
    last_rounds: HashMap<WorkspaceId, u64>,
}

/// The priority of a waiting request; the smaller rank goes first, and the workspace's rank counts
/// before the route's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The rank of the workspace; 0 goes first.
    pub workspace: u32,
    /// The rank of the route; 0 goes first.
    pub route: u32,
}

/// The place of a request in the order of service; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// The rank.
    rank: Rank,
    /// The round in which its workspace is served.
    round: u64,
    /// The arrival number.
    number: u64,
}

/// A waiting request.
struct Waiter {
    /// Its place in the order of service.
    turn: Turn,
    /// Wakes the request.
    wake: oneshot::Sender<()>,
}

impl WaitQueue {
    /// Assigns a turn to a request; requests without a workspace are served in order of arrival.
    pub fn assign_turn(&mut self, rank: Rank, workspace: Option<WorkspaceId>) -> Turn {
        self.last_number += 1;
        if self.waiters.is_empty() {
            // No request waits, so no workspace has rounds ahead of others.
            self.last_rounds.clear();
        }
        let round = match workspace {
            Some(workspace) => {
                let next =
                    self.last_rounds.get(&workspace).map_or(self.current_round, |last| last + 1);
                let round = next.max(self.current_round);
                self.last_rounds.insert(workspace, round);
                round
            }
            None => self.current_round,
        };
        Turn { rank, round, number: self.last_number }
    }

    /// Adds a request to the queue; the receiver completes when the request should check again for
    /// a slot.
    pub fn enqueue(&mut self, turn: Turn) -> oneshot::Receiver<()> {
        let (wake, woken) = oneshot::channel();
        self.waiters.push(Waiter { turn, wake });
        woken
    }

    /// Wakes the first `count` requests that still wait.
    pub fn wake(&mut self, count: usize) {
        self.waiters.retain(|waiter| !waiter.wake.is_closed());
        for _ in 0..count {
            let first = (0..self.waiters.len()).min_by_key(|index| self.waiters[*index].turn);
            let Some(first) = first else { break };
            let waiter = self.waiters.swap_remove(first);
            self.current_round = self.current_round.max(waiter.turn.round);
            // The receiver may have been dropped in the meantime.
            let _ = waiter.wake.send(());
        }
    }

    /// Returns the number of waiting requests ahead of a turn.
    pub fn count_ahead(&self, turn: Turn) -> usize {
        self.waiters.iter().filter(|waiter| !waiter.wake.is_closed() && waiter.turn < turn).count()
    }

    /// Returns the number of waiting requests.
    pub fn count(&self) -> usize {
        self.waiters.iter().filter(|waiter| !waiter.wake.is_closed()).count()
    }
}
