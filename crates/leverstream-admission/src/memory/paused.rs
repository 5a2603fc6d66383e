//! The paused bodies and answers, in the order in which they are granted memory.

use std::collections::BTreeSet;

use super::{Holder, HolderId, Purpose};

/// The paused holders. There are none most of the time, so that the end of a request costs no search.
#[derive(Clone, Debug, Default)]
pub(super) struct PausedHolders {
    /// Small bodies, in order of arrival.
    small_bodies: BTreeSet<(usize, HolderId)>,
    /// Small answers, in order of arrival.
    small_answers: BTreeSet<(usize, HolderId)>,
    /// Large bodies, ordered by the bytes that they need still.
    large_bodies: BTreeSet<(usize, HolderId)>,
    /// Large answers, in order of arrival.
    large_answers: BTreeSet<(usize, HolderId)>,
}

impl PausedHolders {
    /// Adds a holder.
    pub fn insert(&mut self, id: HolderId, holder: &Holder) {
        self.like_mut(holder).insert(order(id, holder));
    }

    /// Removes a holder.
    pub fn remove(&mut self, id: HolderId, holder: &Holder) {
        self.like_mut(holder).remove(&order(id, holder));
    }

    /// Returns the number of paused holders of a purpose.
    pub fn count(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::Body => self.small_bodies.len() + self.large_bodies.len(),
            Purpose::Answer => self.small_answers.len() + self.large_answers.len(),
        }
    }

    /// Returns the first of the paused holders that have the purpose and size of a holder.
    pub fn first(&self, holder: &Holder) -> Option<HolderId> {
        let paused = match (holder.purpose, holder.is_large) {
            (Purpose::Body, false) => &self.small_bodies,
            (Purpose::Answer, false) => &self.small_answers,
            (Purpose::Body, true) => &self.large_bodies,
            (Purpose::Answer, true) => &self.large_answers,
        };
        paused.first().map(|(_, id)| *id)
    }

    /// Returns the first holder of each purpose and size. Answers come first, as they return memory.
    pub fn heads(&self) -> [Option<HolderId>; 4] {
        let sets =
            [&self.small_answers, &self.small_bodies, &self.large_answers, &self.large_bodies];
        sets.map(|paused| paused.first().map(|(_, id)| *id))
    }

    /// Returns the paused holders that have the purpose and size of a holder.
    fn like_mut(&mut self, holder: &Holder) -> &mut BTreeSet<(usize, HolderId)> {
        match (holder.purpose, holder.is_large) {
            (Purpose::Body, false) => &mut self.small_bodies,
            (Purpose::Answer, false) => &mut self.small_answers,
            (Purpose::Body, true) => &mut self.large_bodies,
            (Purpose::Answer, true) => &mut self.large_answers,
        }
    }
}

/// Returns the place of a holder among those of its purpose and size.
fn order(id: HolderId, holder: &Holder) -> (usize, HolderId) {
    let is_large_body = holder.is_large && holder.purpose == Purpose::Body;
    (if is_large_body { holder.need_bytes } else { 0 }, id)
}
