//! The choice of the entry VMs, which accept callers.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use leverstream_member::Member;

/// The maximum request rate for each slot of a backend server: work takes a quarter of a second or
/// more.
const REQUESTS_PER_SLOT_PER_S: f64 = 4.0;

/// The capacity assumed of a VM that does not report one, in requests a second.
const DEFAULT_CAPACITY_PER_S: u32 = 100;

/// The maximum number of entry VMs in a hall; with more, each would observe too little.
const ENTRIES_PER_HALL_LIMIT: usize = 8;

/// Chooses the entry VMs among the members.
///
/// In each hall the VMs with the highest capacity are chosen, as many as the hall's share of the
/// work needs. Ties are broken by a hash of the address, so that all VMs choose alike and few
/// entries change when a VM joins or leaves. A nonzero `vms_a_hall` sets the number instead.
///
/// VMs that have lost backend servers are not chosen, unless all have: then they take callers as
/// before, as each may still reach other services.
pub fn choose_entry_vms<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    vms_a_hall: usize,
    slots: u32,
) -> Vec<&'a Member> {
    let mut usable: Vec<&Member> =
        members.into_iter().filter(|member| member.may_serve()).collect();
    if usable.iter().any(|member| !member.has_lost_backends) {
        usable.retain(|member| !member.has_lost_backends);
    }
    let mut halls: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in usable {
        halls.entry(&member.identity.hall).or_default().push(member);
    }
    let count = halls.len().max(1);
    let needed_per_s = f64::from(slots) * REQUESTS_PER_SLOT_PER_S / count as f64;
    let mut chosen = Vec::new();
    for members in halls.values_mut() {
        let order = |member: &&Member| (Reverse(capacity_per_s(member)), member.address_hash);
        members.sort_unstable_by_key(order);
        let size = if vms_a_hall > 0 { vms_a_hall } else { entry_count(members, needed_per_s) };
        chosen.extend(members.iter().take(size));
    }
    chosen
}

/// Returns the number of a hall's VMs, sorted by capacity, that serve the work best: the smallest
/// number that suffices, or else the one with the highest total capacity.
///
/// Callers spread evenly over the entry VMs, so the weakest one bounds the total, and a weak VM
/// beside strong ones brings no relief.
fn entry_count(members: &[&Member], needed_per_s: f64) -> usize {
    let limit = members.len().min(ENTRIES_PER_HALL_LIMIT);
    let capacity = |size: usize| size as f64 * f64::from(capacity_per_s(members[size - 1]));
    let enough = (1..=limit).find(|size| capacity(*size) >= needed_per_s);
    let most = || (1..=limit).max_by(|a, b| capacity(*a).total_cmp(&capacity(*b)));
    enough.or_else(most).unwrap_or(1)
}

/// Returns the capacity of a VM, in requests a second.
fn capacity_per_s(member: &Member) -> u32 {
    match member.identity.capacity_per_s {
        0 => DEFAULT_CAPACITY_PER_S,
        known => known,
    }
}
