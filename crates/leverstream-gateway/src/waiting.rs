//! The requests that wait for a slot, and how they are woken.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use leverstream_admission::{self as admission, Enqueued, QueueRank, Turn};
use leverstream_workspace::WorkspaceId;
use tokio::sync::oneshot;

/// The order of the waiting requests, with the sender that wakes each.
type Order = admission::WaitQueue<WorkspaceId, oneshot::Sender<Wake>>;

/// The requests of a service that wait for a slot.
#[derive(Default)]
pub struct WaitQueue {
    /// The order of service, shared with the waiting requests, which leave it when they are dropped.
    order: Rc<RefCell<Order>>,
}

/// Why a waiting request is woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A slot may be free.
    Check,
    /// A more urgent request took its place.
    Displaced,
}

/// A request in the queue, which it leaves when this is dropped. It resolves when the request is
/// woken.
pub struct Waiter {
    /// Resolves when the request is woken.
    woken: oneshot::Receiver<Wake>,
    /// Its place in the order of service.
    turn: Turn,
    /// The queue.
    order: Rc<RefCell<Order>>,
}

impl Deref for Waiter {
    type Target = oneshot::Receiver<Wake>;

    fn deref(&self) -> &oneshot::Receiver<Wake> {
        &self.woken
    }
}

impl DerefMut for Waiter {
    fn deref_mut(&mut self) -> &mut oneshot::Receiver<Wake> {
        &mut self.woken
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.order.borrow_mut().remove(self.turn);
    }
}

impl WaitQueue {
    /// Assigns a turn to a request; requests without a workspace are served in order of arrival.
    pub fn assign_turn(&self, rank: QueueRank, workspace: Option<WorkspaceId>) -> Turn {
        self.order.borrow_mut().assign_turn(rank, workspace)
    }

    /// Adds a request to the queue; none if `limit` requests wait that go first.
    pub fn enqueue(&self, turn: Turn, limit: usize) -> Option<Waiter> {
        let (wake, woken) = oneshot::channel();
        let enqueued = self.order.borrow_mut().enqueue(turn, wake, limit);
        self.waiter(turn, woken, enqueued)
    }

    /// Adds a request to the queue that has been in it before; a committed one always waits.
    pub fn requeue(&self, turn: Turn, limit: usize) -> Option<Waiter> {
        let (wake, woken) = oneshot::channel();
        let enqueued = self.order.borrow_mut().requeue(turn, wake, limit);
        self.waiter(turn, woken, enqueued)
    }

    /// Wakes a displaced request, and returns the one that was added.
    fn waiter(
        &self,
        turn: Turn,
        woken: oneshot::Receiver<Wake>,
        enqueued: Enqueued<oneshot::Sender<Wake>>,
    ) -> Option<Waiter> {
        match enqueued {
            Enqueued::Waits => {}
            // The receiver may have been dropped in the meantime.
            Enqueued::Displaced(displaced) => drop(displaced.send(Wake::Displaced)),
            Enqueued::Full(_) => return None,
        }
        Some(Waiter { woken, turn, order: Rc::clone(&self.order) })
    }

    /// Wakes the first `count` requests that still wait.
    pub fn wake(&self, count: usize) {
        for _ in 0..count {
            let Some(first) = self.order.borrow_mut().take_first() else { break };
            // The receiver may have been dropped in the meantime.
            let _ = first.send(Wake::Check);
        }
    }

    /// Returns the number of waiting requests ahead of a turn.
    pub fn count_ahead(&self, turn: Turn) -> usize {
        self.order.borrow().count_ahead(turn)
    }

    /// Returns the number of waiting requests.
    pub fn count(&self) -> usize {
        self.order.borrow().count()
    }

    /// Returns the number of waiting requests of each rank that has waited.
    pub fn count_by_rank(&self) -> Vec<(QueueRank, usize)> {
        self.order.borrow().count_by_rank().collect()
    }
}
