use std::collections::HashMap;

use crate::{LOAN_HOLDS_MS, Room};

/// The least time between two questions, in milliseconds: some ten times the way there and back.
const LEAST_MS: u64 = 50;

/// The longest, after questions that brought nothing.
const MOST_MS: u64 = 800;

/// For how long an answer to a question may be waited for, in milliseconds: some ways there and back in a data hall.
const ANSWER_MS: u64 = 20;

/// When other VMs are asked for repeats, and which answers count.
///
/// Each question goes to one VM and counts one answer of that VM, in time: a loan that comes twice, late or from a
/// process that was never asked is left aside.
#[derive(Clone, Debug)]
pub struct Asking<V> {
    /// When others may be asked again.
    next_ms: u64,
    /// How long to wait after the next question.
    pause_ms: u64,
    /// Whom each question went to and when, by its number.
    questions: HashMap<u64, (V, u64)>,
}

impl<V> Default for Asking<V> {
    /// Nobody was asked yet.
    fn default() -> Asking<V> {
        Asking { next_ms: 0, pause_ms: LEAST_MS, questions: HashMap::new() }
    }
}

impl<V: Copy + Eq> Asking<V> {
    /// Tells whether others should be asked now; if so, not again for a while.
    pub fn is_due(&mut self, room: Room, now_ms: u64) -> bool {
        let is_due = room.is_low() && now_ms >= self.next_ms;
        if is_due {
            self.next_ms = now_ms + self.pause_ms;
            self.pause_ms = (2 * self.pause_ms).min(MOST_MS);
        }
        is_due
    }

    /// Notes a question to a VM, with a number that no process used before.
    pub fn ask(&mut self, number: u64, to: V, now_ms: u64) {
        self.questions.retain(|_, (_, asked_ms)| now_ms < *asked_ms + LOAN_HOLDS_MS);
        self.questions.insert(number, (to, now_ms));
    }

    /// Takes an answer in; returns when it was asked for, if it counts.
    pub fn answer(&mut self, number: u64, from: V, now_ms: u64) -> Option<u64> {
        let (to, asked_ms) = *self.questions.get(&number)?;
        if to != from || now_ms >= asked_ms + LOAN_HOLDS_MS {
            return None;
        }
        self.questions.remove(&number);
        self.pause_ms = LEAST_MS;
        self.next_ms = self.next_ms.min(now_ms + LEAST_MS);
        Some(asked_ms)
    }

    /// Tells whether the answer to a question may come any moment.
    pub fn is_awaited(&self, now_ms: u64) -> bool {
        self.questions.values().any(|(_, asked_ms)| now_ms < asked_ms + ANSWER_MS)
    }

    /// Tells whether the last questions brought something, if any were asked.
    pub fn is_lent(&self) -> bool {
        self.pause_ms <= 2 * LEAST_MS
    }
}
