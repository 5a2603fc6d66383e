//! Entry sets: even spread, few moves when a member leaves, and placements that detect whether a
//! change affects them.

use std::collections::HashSet;

use leverstream_member::{
    Identity, Member, MemberState, Placement, entry_set, entry_set_size, watchers,
};
use proptest::prelude::*;

/// Creates members that are spread evenly over the halls.
fn members(count: usize, halls: usize) -> Vec<Member> {
    (0..count).map(|number| member(number, halls)).collect()
}

/// Creates the member with this number.
fn member(number: usize, halls: usize) -> Member {
    let address = format!("10.0.{}.{}:1", number / 200, number % 200).parse().expect("an address");
    let identity = Identity {
        id: number as u64,
        peer_address: address,
        caller_address: address,
        hall: format!("hall-{}", number % halls),
        capacity_per_s: 0,
    };
    Member { table: 1, ..Member::new(identity, 0) }
}

/// Returns the process ids of a service's entry set.
fn ids(service: usize, members: &[Member], size: usize) -> HashSet<u64> {
    let set = entry_set(&format!("service-{service}"), members, size);
    set.into_iter().map(|member| member.identity.id).collect()
}

#[test]
fn entry_sets_span_all_halls_and_have_the_requested_size() {
    let members = members(44, 3);
    for service in 0..100 {
        let set = entry_set(&format!("service-{service}"), &members, 6);
        let halls: HashSet<&str> = set.iter().map(|m| m.identity.hall.as_str()).collect();
        assert_eq!((set.len(), halls.len()), (6, 3));
    }
    assert_eq!(entry_set_size(0, 42, 3), 6);
    assert_eq!(entry_set_size(0, 2, 3), 3);
    assert_eq!(entry_set_size(9, 2, 3), 9);
}

#[test]
fn a_leaving_member_moves_only_its_own_places_unlike_modulo_hashing() {
    let all = members(44, 3);
    let fewer: Vec<Member> = all.iter().filter(|m| m.identity.id != 7).cloned().collect();
    let modulo = |service: usize, members: &[Member]| -> HashSet<u64> {
        (0..6).map(|place| members[(service * 6 + place) % members.len()].identity.id).collect()
    };
    let (mut moved, mut moved_by_modulo, mut held_places) = (0, 0, 0);
    for service in 0..500 {
        let (before, after) = (ids(service, &all, 6), ids(service, &fewer, 6));
        held_places += usize::from(before.contains(&7));
        moved += before.difference(&after).count();
        moved_by_modulo += modulo(service, &all).difference(&modulo(service, &fewer)).count();
    }
    println!("places moved of 3000: {moved} by rendezvous, {moved_by_modulo} by modulo");
    assert_eq!(moved, held_places);
    assert!(moved * 10 < moved_by_modulo);
}

#[test]
fn a_member_without_a_table_is_not_chosen() {
    let mut members = members(12, 3);
    let (placement, set) = Placement::choose("service-1", &members, 3);
    let id = set[0].identity.id as usize;
    members[id].table = 0;
    let (_, without) = Placement::choose("service-1", &members, 3);
    assert!(without.iter().all(|member| member.identity.id != id as u64));
    assert!(placement.is_affected_by(&members[id]));
}

#[test]
fn services_are_spread_evenly_over_members() {
    let members = members(44, 4);
    let mut load = [0_u32; 44];
    for service in 0..2_000 {
        ids(service, &members, 6).into_iter().for_each(|id| load[id as usize] += 1);
    }
    let mean = 2_000.0 * 6.0 / 44.0;
    assert!(load.iter().all(|load| (f64::from(*load) / mean - 1.0).abs() < 0.25), "{load:?}");
}

#[test]
fn suspects_stay_in_entry_sets_while_dead_and_leaving_members_drop_out() {
    let mut members = members(12, 3);
    let set = ids(1, &members, 3);
    let id = *set.iter().next().expect("a member");
    members[id as usize].state = MemberState::Suspect;
    assert_eq!(ids(1, &members, 3), set);
    for state in [MemberState::Dead, MemberState::Leaving] {
        members[id as usize].state = state;
        assert!(!ids(1, &members, 3).contains(&id));
    }
}

proptest! {
    #[test]
    fn an_unaffected_placement_keeps_its_entry_set(count in 3_usize..60, halls in 1_usize..5, size in 1_usize..9, changed in 0_usize..61, is_dead: bool, service in 0_usize..50) {
        let name = format!("service-{service}");
        let mut members = members(count, halls);
        let (placement, _) = Placement::choose(&name, &members, size);
        let before = ids(service, &members, size);
        let mut new = member(changed, halls);
        if is_dead {
            new.state = MemberState::Dead;
        }
        members.retain(|member| member.identity.id != new.identity.id);
        members.push(new.clone());
        if !placement.is_affected_by(&new) {
            prop_assert_eq!(ids(service, &members, size), before);
        }
    }
}

#[test]
fn members_of_highest_capacity_watch_the_store() {
    // 200 VMs without and 7 with a stated capacity: all others of the hall fetch changes from the
    // two watchers.
    let mut all = members(207, 1);
    let ids = |members: &[Member]| -> Vec<u64> {
        watchers("hall-0", members).iter().map(|member| member.identity.id).collect()
    };
    assert_eq!(ids(&all).len(), 2);
    let equal = ids(&all);
    (100..107).for_each(|strong| all[strong].identity.capacity_per_s = 2_000);
    assert!(ids(&all).iter().all(|id| (100..107).contains(id)));
    // Only one VM of high capacity remains.
    all.retain(|member| !(101..107).contains(&member.identity.id));
    let left = ids(&all);
    assert_eq!(left[0], 100);
    assert!(equal.contains(&left[1]) || equal.contains(&100));
    assert!(watchers("hall-1", &all).is_empty());
}
