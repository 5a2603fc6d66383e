//! The VMs chosen for a service, with a cheap test whether a membership change affects them.

use xxhash_rust::xxh3::xxh3_64;

use crate::Member;
use crate::entry_set::{entry_set, score};

/// The VMs chosen for one service, with the data to test whether a change affects them.
///
/// Rendezvous hashing moves few places when a member joins or leaves. Testing that a change moves
/// none costs one hash, whereas choosing the set again costs one hash per member.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// The hash of the service's name.
    service_hash: u64,
    /// The requested number of VMs.
    size: usize,
    /// The VMs chosen.
    chosen: Vec<Chosen>,
}

/// A VM chosen for a service.
#[derive(Clone, Debug)]
struct Chosen {
    /// The process id.
    id: u64,
    /// Its data hall.
    hall: String,
    /// Its rendezvous score for the service.
    score: u64,
}

impl Placement {
    /// Chooses the VMs of a service and returns them together with their placement.
    pub fn choose<'a>(
        service: &str,
        members: &'a [Member],
        size: usize,
    ) -> (Placement, Vec<&'a Member>) {
        let service_hash = xxh3_64(service.as_bytes());
        let set = entry_set(service, members.iter().filter(|member| member.may_serve()), size);
        let chosen = set.iter().map(|member| Chosen {
            id: member.identity.id,
            hall: member.identity.hall.clone(),
            score: score(service_hash, member.address_hash),
        });
        (Placement { service_hash, size, chosen: chosen.collect() }, set)
    }

    /// Returns whether the set may differ now that a member has changed.
    pub fn is_affected_by(&self, member: &Member) -> bool {
        if self.chosen.iter().any(|chosen| chosen.id == member.identity.id) {
            return true;
        }
        if !member.may_serve() {
            return false;
        }
        let own = score(self.service_hash, member.address_hash);
        let lowest = self.of_hall(&member.identity.hall).map(|chosen| chosen.score).min();
        let beats_one = lowest.is_none_or(|lowest| own > lowest);
        self.chosen.len() < self.size || beats_one || self.has_fewer(&member.identity.hall)
    }

    /// Returns whether a hall has fewer places than another, so that a new member may get one.
    fn has_fewer(&self, hall: &str) -> bool {
        let places = self.of_hall(hall).count();
        self.chosen.iter().any(|chosen| self.of_hall(&chosen.hall).count() > places)
    }

    /// Returns the VMs chosen in a hall.
    fn of_hall<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Chosen> {
        self.chosen.iter().filter(move |chosen| chosen.hall == hall)
    }
}
