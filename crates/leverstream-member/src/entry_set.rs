//! The choice of the VMs that serve a service or watch the store, by rendezvous hashing.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Member;

/// How many backend server slots one VM of an entry set handles.
///
/// With few VMs per service, each VM's view of the slots in use stays accurate.
const SLOTS_PER_VM: u32 = 8;

/// How many VMs per hall watch the platform's store.
const WATCHERS_PER_HALL: usize = 2;

/// Returns how many VMs serve a service with this number of usable slots.
///
/// `asked` is the number configured for the service, or 0 to derive it from the slots. Derived sets
/// have at least one VM per hall and at least two in total.
pub fn entry_set_size(asked: u16, slots: u32, halls: usize) -> usize {
    if asked > 0 {
        return usize::from(asked);
    }
    (slots.div_ceil(SLOTS_PER_VM) as usize).max(halls).max(2)
}

/// Chooses the VMs of a service among the members, spread over the halls.
///
/// The choice depends on the addresses of the members, not on their process ids, so that a process
/// restarted at the same address keeps its services. Halls are picked from in turn and, within a
/// hall, members by descending score, so that a member that joins or leaves moves only its own
/// places.
pub fn entry_set<'a>(
    service: &str,
    members: impl IntoIterator<Item = &'a Member>,
    size: usize,
) -> Vec<&'a Member> {
    let service_hash = xxh3_64(service.as_bytes());
    let mut halls: BTreeMap<&str, Vec<(u64, &Member)>> = BTreeMap::new();
    for member in members.into_iter().filter(|member| member.is_placed()) {
        let score = score(service_hash, member.address_hash);
        halls.entry(&member.identity.hall).or_default().push((score, member));
    }
    let mut turns: Vec<(u64, Vec<(u64, &Member)>)> = halls
        .into_iter()
        .map(|(hall, members)| {
            (score(service_hash, xxh3_64(hall.as_bytes())), highest(members, size))
        })
        .collect();
    turns.sort_unstable_by_key(|(score, _)| Reverse(*score));
    let rounds = 0..size;
    rounds
        .flat_map(|round| turns.iter().filter_map(move |(_, members)| members.get(round)))
        .take(size)
        .map(|(_, member)| *member)
        .collect()
}

/// The place of a VM among those that read the platform's store for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadRank {
    /// The place among all VMs; 0 reads first.
    pub in_fleet: usize,
    /// The place among the VMs of its hall.
    pub in_hall: usize,
}

/// Returns the place of a VM in the order in which VMs read the store; none if it is not placed.
///
/// Halls take turns, so that a hall that is cut off from the others has a reader among the first. Within a hall, VMs of
/// high capacity go first, as all others of the hall fetch changes from them.
pub fn read_rank<'a>(
    own_id: u64,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<ReadRank> {
    let read_hash = xxh3_64(b"leverstream/read");
    let order = |member: &Member| {
        let score = score(read_hash, member.address_hash);
        Reverse((member.identity.capacity_per_s, score, member.identity.id))
    };
    let mut halls: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in members.into_iter().filter(|member| member.is_placed()) {
        halls.entry(&member.identity.hall).or_default().push(member);
    }
    let mut all = halls.values().flatten();
    let own = *all.find(|member| member.identity.id == own_id)?;
    let own_hall = own.identity.hall.as_str();
    let is_before = |member: &&&Member| order(member) < order(own);
    let in_hall = halls[own_hall].iter().filter(is_before).count();
    // A hall that comes earlier in the turn has had one VM more.
    let turns = halls
        .iter()
        .map(|(hall, members)| members.len().min(in_hall + usize::from(*hall < own_hall)));
    Some(ReadRank { in_fleet: turns.sum(), in_hall })
}

/// Chooses the VMs of a hall that watch the store. The VMs of highest capacity are preferred, as
/// all others of the hall fetch changes from them.
pub fn watchers<'a>(hall: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let watch_hash = xxh3_64(b"leverstream/watch");
    let can_watch = |member: &&Member| member.identity.hall == hall && member.is_placed();
    let mut members: Vec<&Member> = members.into_iter().filter(can_watch).collect();
    members.sort_unstable_by_key(|member| {
        let score = score(watch_hash, member.address_hash);
        Reverse((member.identity.capacity_per_s, score, member.identity.id))
    });
    members.truncate(WATCHERS_PER_HALL);
    members
}

/// Returns the `count` members with the highest scores in descending order.
fn highest(mut members: Vec<(u64, &Member)>, count: usize) -> Vec<(u64, &Member)> {
    let by_score = |entry: &(u64, &Member)| Reverse((entry.0, entry.1.identity.id));
    if count < members.len() {
        members.select_nth_unstable_by_key(count, by_score);
        members.truncate(count);
    }
    members.sort_unstable_by_key(by_score);
    members
}

/// Computes the rendezvous score of a member or hall for a service.
pub(crate) fn score(service_hash: u64, other_hash: u64) -> u64 {
    xxh3_64_with_seed(&other_hash.to_le_bytes(), service_hash)
}
