//! Scheduled events in the order of their due times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Scheduled events; those due at the same time are handled in the order in which they were scheduled.
pub(crate) struct EventQueue<E> {
    /// Due time and index of each event, the earliest first.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    /// All events so far by index; `None` once handled.
    events: Vec<Option<E>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { due: BinaryHeap::new(), events: Vec::new() }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub fn schedule(&mut self, at_ms: u64, event: E) {
        self.due.push(Reverse((at_ms, self.events.len())));
        self.events.push(Some(event));
    }

    /// Removes the next event and returns it with its due time.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let Reverse((at_ms, index)) = self.due.pop()?;
        Some((at_ms, self.events[index].take()?))
    }
}
