//! The slots of a backend server and the exchanges that wait for one.

use std::collections::VecDeque;

/// The slots in use and the exchanges that wait for a slot, by index.
#[derive(Default)]
pub(crate) struct SlotQueue {
    /// Slots in use.
    pub busy: u32,
    /// Exchanges that wait for a slot.
    pub waiting: VecDeque<usize>,
}

impl SlotQueue {
    /// Removes an exchange that has ended; returns the next waiting one if that frees a slot.
    pub fn remove(&mut self, exchange: usize, has_slot: bool) -> Option<usize> {
        self.waiting.retain(|other| *other != exchange);
        if !has_slot {
            return None;
        }
        self.busy -= 1;
        self.waiting.pop_front()
    }
}
