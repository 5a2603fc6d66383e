//! How far the slots of a service are taken.

/// The least share of the slots at backend servers that are not in doubt for a service to count as
/// overloaded.
const MIN_SOUND_SHARE: f64 = 0.5;

/// The share of slots that may seem free while a service is overloaded: VMs learn of each other's
/// load with a delay.
const FREE_TOLERANCE: f64 = 0.05;

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
}

/// Tells whether no backend server has a free slot. A free one that is in doubt counts: requests
/// that wait because of it do not wait for slots.
pub fn is_full(backends: &[Occupancy]) -> bool {
    backends.iter().all(|backend| backend.free() == 0)
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

/// Returns the index of the least loaded backend server; one that is not in doubt is preferred.
pub fn least_loaded(backends: &[Occupancy]) -> Option<usize> {
    (0..backends.len()).min_by(|one, other| {
        let (one, other) = (&backends[*one], &backends[*other]);
        one.is_avoided.cmp(&other.is_avoided).then(one.fill().total_cmp(&other.fill()))
    })
}
