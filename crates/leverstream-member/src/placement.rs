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
        let set = entry_set(service, members, size);
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
        if !member.is_placed() {
            return false;
        }
        let of_hall = self.chosen.iter().filter(|chosen| chosen.hall == member.identity.hall);
        let lowest = of_hall.map(|chosen| chosen.score).min();
        let own = score(self.service_hash, member.address_hash);
        self.chosen.len() < self.size || lowest.is_none_or(|lowest| own > lowest)
    }
}
