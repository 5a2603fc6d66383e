use std::collections::BTreeMap;

use leverstream_error::Kind;

/// A request's place in a [`Queue`]; the earlier deadline goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// When the request must have been answered.
    pub deadline_ms: u64,
    /// Tells places of one deadline apart, in order of arrival.
    pub sequence: u64,
}

/// What a queue is told of a request that wants to wait.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it must have been answered.
    pub deadline_ms: u64,
    /// Whether it gives way to others when the queue is full.
    pub gives_way: bool,
    /// How long work of this service usually takes.
    pub typical_ms: f64,
    /// How many requests the service works on at once, as far as this VM may use it.
    pub slots: u32,
}

/// Requests that wait for a free slot, bounded in number, ordered by deadline.
#[derive(Debug, Default)]
pub struct Queue {
    /// Whether each that waits gives way.
    places: BTreeMap<Place, bool>,
    /// The last sequence number.
    sequence: u64,
}

impl Queue {
    /// Lets a request wait, if it can still be answered in time and there is room.
    ///
    /// Also returns the place of one that has to give way for it. A request that cannot make its
    /// deadline is refused at once: it has certainly not run, and its caller learns so early.
    pub fn enter(
        &mut self,
        arrival: Arrival,
        limit: usize,
        now_ms: u64,
    ) -> Result<(Place, Option<Place>), Kind> {
        let place = Place { deadline_ms: arrival.deadline_ms, sequence: self.sequence + 1 };
        let ahead = self.places.range(..place).count();
        let turns = ahead as f64 / f64::from(arrival.slots.max(1)) + 1.0;
        if now_ms as f64 + turns * arrival.typical_ms > arrival.deadline_ms as f64 {
            return Err(Kind::DeadlinePassed);
        }
        let displaced = if self.places.len() < limit {
            None
        } else if arrival.gives_way {
            return Err(Kind::QueueFull);
        } else {
            Some(self.last_to_give_way().ok_or(Kind::QueueFull)?)
        };
        if let Some(displaced) = displaced {
            self.places.remove(&displaced);
        }
        self.sequence += 1;
        self.places.insert(place, arrival.gives_way);
        Ok((place, displaced))
    }

    /// Takes a request out of the queue.
    pub fn leave(&mut self, place: Place) {
        self.places.remove(&place);
    }

    /// The places whose turn is next, at most `count`.
    pub fn first(&self, count: usize) -> impl Iterator<Item = Place> + '_ {
        self.places.keys().take(count).copied()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The last place held by a request that gives way.
    fn last_to_give_way(&self) -> Option<Place> {
        self.places.iter().rev().find(|(_, gives_way)| **gives_way).map(|(place, _)| *place)
    }
}
