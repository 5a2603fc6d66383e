use xxhash_rust::xxh3::xxh3_64;

use crate::Member;
use crate::entry_set::{entry_set, score};

/// The VMs chosen for one service, with what it takes to see whether a change moves them.
///
/// Rendezvous hashing moves few places when a member comes or goes. Seeing that a change moves none
/// costs one hash, against one for each member when the set is chosen anew.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    /// The hash of the service's name.
    service_hash: u64,
    /// How many VMs are wanted.
    size: usize,
    /// The VMs chosen.
    chosen: Vec<Chosen>,
}

/// A VM chosen for a service.
#[derive(Clone, Debug)]
struct Chosen {
    /// The process.
    id: u64,
    /// Its hall.
    hall: String,
    /// Its score for the service.
    score: u64,
}

impl Placement {
    /// Chooses the VMs of a service and returns them with what was chosen.
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

    /// Tells whether the set may look different now that a member has changed.
    pub fn is_moved_by(&self, member: &Member) -> bool {
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

    /// Tells whether a hall has fewer places than another, so that a newcomer may get one.
    fn has_fewer(&self, hall: &str) -> bool {
        let places = self.of_hall(hall).count();
        self.chosen.iter().any(|chosen| self.of_hall(&chosen.hall).count() > places)
    }

    /// The VMs chosen in a hall.
    fn of_hall<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Chosen> {
        self.chosen.iter().filter(move |chosen| chosen.hall == hall)
    }
}
