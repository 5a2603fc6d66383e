//! How an allotment is divided among VMs that do not receive each other's reports.

/// The fraction of each allotment that belongs to the entry set, the VMs to which callers are sent.
/// The other VMs, which get few requests, share the rest.
const PLACED_FRACTION: f64 = 0.85;

/// The maximum fraction of each allotment that is kept free for VMs whose reports do not arrive.
const MAX_UNHEARD_FRACTION: f64 = 0.75;

/// How much of the fleet one VM hears, meaning that it receives recent reports, and the fractions
/// of each allotment that follow from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerVisibility {
    /// The fraction of each allotment that this VM may use if it hears few other VMs.
    pub own_fraction: f64,
    /// The fraction that belongs to the VMs that it does not hear.
    pub unheard_fraction: f64,
    /// Whether it hears more than half of the entry set.
    pub hears_most: bool,
}

impl PeerVisibility {
    /// Computes the fractions. `placed` is the entry set, `is_heard` returns whether reports
    /// of another VM arrive, `members` is the number of all VMs, and `dead` is the number of VMs whose
    /// reports arrived recently and that now count as dead.
    ///
    /// The fractions of all VMs add up to one, whichever VMs receive each other's reports: the two sides of a network
    /// partition together admit no more than the whole fleet did. A majority may use what no
    /// unheard VM can use, as there is only one majority.
    pub fn of(
        me: u64,
        placed: &[u64],
        is_heard: impl Fn(u64) -> bool,
        members: usize,
        dead: usize,
    ) -> PeerVisibility {
        let places = placed.len().max(1);
        let place_fraction = PLACED_FRACTION / places as f64;
        let is_placed = placed.contains(&me);
        let outside = members.saturating_sub(places).max(1);
        let own_fraction =
            if is_placed { place_fraction } else { (1.0 - PLACED_FRACTION) / outside as f64 };
        let unheard = placed.iter().filter(|id| **id != me && !is_heard(**id)).count();
        let heard = places.saturating_sub(unheard);
        PeerVisibility {
            own_fraction,
            unheard_fraction: (place_fraction * (unheard + dead) as f64).min(MAX_UNHEARD_FRACTION),
            hears_most: heard * 2 > places && (is_placed || heard > 0),
        }
    }

    /// Returns the value for the only VM of a fleet.
    pub fn alone() -> PeerVisibility {
        PeerVisibility { own_fraction: PLACED_FRACTION, unheard_fraction: 0.0, hears_most: true }
    }
}
