//! How far the slots of a service are taken.

use std::cmp::Ordering;

use rand::Rng;
use rand::seq::IteratorRandom;

/// The least share of the slots at backend servers that are not in doubt for a service to count as
/// overloaded.
const MIN_SOUND_SHARE: f64 = 0.5;

/// The share of slots that may seem free while a service is overloaded: VMs learn of each other's
/// load with a delay.
const FREE_TOLERANCE: f64 = 0.05;

/// The load, as a multiple of the slots, from which a backend server is offered no more requests
/// while another has less. Backend servers queue only a few requests.
const MAX_OFFERED_FILL: f64 = 2.0;

/// The load of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests in flight there, from all VMs as far as known.
    pub load: u32,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it is avoided while others can take a request.
    pub is_avoided: bool,
}

impl Occupancy {
    /// Returns the number of free slots.
    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.load)
    }

    /// Returns the load as a multiple of the slots.
    fn fill(&self) -> f64 {
        f64::from(self.load) / f64::from(self.slots.max(1))
    }

    /// Tells whether a request without a free slot should go elsewhere.
    fn is_overfull(&self) -> bool {
        self.fill() >= MAX_OFFERED_FILL
    }

    /// Compares two backend servers; the one to be offered a request without a free slot is less.
    fn compare(&self, other: &Occupancy) -> Ordering {
        let by_room = self.is_overfull().cmp(&other.is_overfull());
        let by_doubt = self.is_avoided.cmp(&other.is_avoided);
        by_room.then(by_doubt).then(self.fill().total_cmp(&other.fill()))
    }
}

/// Returns the number of free slots, those of backend servers in doubt included: requests that wait
/// because of doubt alone do not wait for slots.
pub fn free_slots(backends: &[Occupancy]) -> usize {
    backends.iter().map(|backend| backend.free() as usize).sum()
}

/// Tells whether the slots of a service are taken, as far as its backend servers are not in doubt.
/// While most of them are in doubt, requests wait for trust and not for slots.
pub fn is_overloaded(backends: &[Occupancy]) -> bool {
    let sound = || backends.iter().filter(|backend| !backend.is_avoided);
    let all_slots: u32 = backends.iter().map(|backend| backend.slots).sum();
    let sound_slots = f64::from(sound().map(|backend| backend.slots).sum::<u32>());
    let free_slots = f64::from(sound().map(Occupancy::free).sum::<u32>());
    sound_slots > 0.0
        && sound_slots >= f64::from(all_slots) * MIN_SOUND_SHARE
        && free_slots <= sound_slots * FREE_TOLERANCE
}

/// Returns the index of the least loaded backend server. Those that have twice their slots in
/// flight come last, and those in doubt after the others.
///
/// One of several alike is chosen at random: VMs learn of each other's load with a delay, and would
/// all choose the same one.
pub fn least_loaded(backends: &[Occupancy], rng: &mut impl Rng) -> Option<usize> {
    let least = backends.iter().min_by(|one, other| one.compare(other))?;
    let is_least = |index: &usize| backends[*index].compare(least).is_eq();
    (0..backends.len()).filter(is_least).choose(rng)
}
