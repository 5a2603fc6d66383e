use std::cmp::Reverse;
use std::collections::BTreeMap;

use leverstream_member::Member;

/// How many requests a second a slot of a backend server can bring at most: work takes a quarter of a
/// second and more.
const REQUESTS_A_SLOT_PER_S: f64 = 4.0;

/// The capacity assumed of a VM that does not say, in requests a second.
const UNKNOWN_PER_S: u32 = 100;

/// The most VMs of a hall that take callers; more would know too little each.
const VMS_A_HALL_LIMIT: usize = 8;

/// Chooses the VMs that take callers among the members.
///
/// In each hall the strongest come first, as many as the hall's part of the work needs; among equals
/// a hash of the address decides, so that all VMs choose alike and few change places when one comes
/// or goes. `vms_a_hall` sets the number instead, unless it is 0.
pub fn choose_entry<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    vms_a_hall: usize,
    slots: u32,
) -> Vec<&'a Member> {
    let mut halls: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in members.into_iter().filter(|member| member.may_serve()) {
        halls.entry(&member.identity.hall).or_default().push(member);
    }
    let count = halls.len().max(1);
    let needed_per_s = f64::from(slots) * REQUESTS_A_SLOT_PER_S / count as f64;
    let mut chosen = Vec::new();
    for members in halls.values_mut() {
        let order = |member: &&Member| (Reverse(capacity_per_s(member)), member.address_hash);
        members.sort_unstable_by_key(order);
        let size = if vms_a_hall > 0 { vms_a_hall } else { size(members, needed_per_s) };
        chosen.extend(members.iter().take(size));
    }
    chosen
}

/// How many of a hall's VMs, the strongest first, do the work best: the fewest that can, else those that can do most.
///
/// Callers choose among them by chance, so each gets an equal part, and a weak one beside strong ones is not relief: the
/// part of the weakest bounds what all can do.
fn size(members: &[&Member], needed_per_s: f64) -> usize {
    let limit = members.len().min(VMS_A_HALL_LIMIT);
    let capacity = |size: usize| size as f64 * f64::from(capacity_per_s(members[size - 1]));
    let enough = (1..=limit).find(|size| capacity(*size) >= needed_per_s);
    let most = || (1..=limit).max_by(|a, b| capacity(*a).total_cmp(&capacity(*b)));
    enough.or_else(most).unwrap_or(1)
}

/// How many requests a second a VM can take.
fn capacity_per_s(member: &Member) -> u32 {
    match member.identity.capacity_per_s {
        0 => UNKNOWN_PER_S,
        known => known,
    }
}
