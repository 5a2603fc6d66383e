//! The queue of requests that wait for a free slot, earliest deadline first.

use std::collections::BTreeMap;

use leverstream_error::Kind;

/// A request's position in a [`Queue`], ordered by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueuePosition {
    /// The deadline of the request.
    pub deadline_ms: u64,
    /// Orders requests with the same deadline by arrival.
    pub sequence: u64,
}

/// The properties of a request that enters a queue.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The deadline of the request.
    pub deadline_ms: u64,
    /// Whether it is displaced by others when the queue is full.
    pub gives_way: bool,
    /// The typical duration of a request to this service.
    pub typical_ms: f64,
    /// The number of requests that this VM can have in flight at the service.
    pub slots: u32,
}

/// A bounded queue of requests that wait for a free slot, ordered by deadline.
#[derive(Debug, Default)]
pub struct Queue {
    /// Whether each waiting request gives way, by position.
    positions: BTreeMap<QueuePosition, bool>,
    /// The sequence number of the last request that entered.
    sequence: u64,
}

impl Queue {
    /// Adds a request if it can still meet its deadline and there is room.
    ///
    /// Also returns the position of the request that it displaces, if any. A request that can't
    /// meet its deadline is refused at once, so that its caller learns early that it has not run.
    pub fn enter(
        &mut self,
        arrival: Arrival,
        limit: usize,
        now_ms: u64,
    ) -> Result<(QueuePosition, Option<QueuePosition>), Kind> {
        let position =
            QueuePosition { deadline_ms: arrival.deadline_ms, sequence: self.sequence + 1 };
        let requests_ahead = self.positions.range(..position).count();
        let service_rounds = requests_ahead as f64 / f64::from(arrival.slots.max(1)) + 1.0;
        if now_ms as f64 + service_rounds * arrival.typical_ms > arrival.deadline_ms as f64 {
            return Err(Kind::DeadlinePassed);
        }
        let displaced = if self.positions.len() < limit {
            None
        } else if arrival.gives_way {
            return Err(Kind::QueueFull);
        } else {
            Some(self.last_to_give_way().ok_or(Kind::QueueFull)?)
        };
        if let Some(displaced) = displaced {
            self.positions.remove(&displaced);
        }
        self.sequence += 1;
        self.positions.insert(position, arrival.gives_way);
        Ok((position, displaced))
    }

    /// Removes a request.
    pub fn leave(&mut self, position: QueuePosition) {
        self.positions.remove(&position);
    }

    /// Returns the first positions, at most `count`.
    pub fn first(&self, count: usize) -> impl Iterator<Item = QueuePosition> + '_ {
        self.positions.keys().take(count).copied()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the last position whose request gives way.
    fn last_to_give_way(&self) -> Option<QueuePosition> {
        self.positions
            .iter()
            .rev()
            .find(|(_, gives_way)| **gives_way)
            .map(|(position, _)| *position)
    }
}
