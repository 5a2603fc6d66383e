//! Tests of the choice of the entry VMs.
//!
//! The fleet under test: 442 VMs in five halls that all start at once before 1,080 backend servers
//! with three slots each, as after a power failure, when every datagram that a VM receives
//! announces new members.

use leverstream_core::choose_entry_vms;
use leverstream_member::{Identity, Member};

/// The total slots of the backend servers.
const SLOTS: u32 = 1_080 * 3;

/// A VM of a hall with a capacity in requests a second.
fn member(id: u64, hall: &str, capacity_per_s: u32) -> Member {
    let identity = Identity {
        id,
        peer_address: ([10, 1, (id / 250) as u8, (id % 250) as u8], 8_382).into(),
        caller_address: ([10, 1, (id / 250) as u8, (id % 250) as u8], 8_381).into(),
        hall: hall.into(),
        capacity_per_s,
    };
    Member { table: 1, ..Member::new(identity, 0) }
}

/// The VMs of five halls with three strong VMs each.
fn members() -> Vec<Member> {
    let halls = ["a", "b", "c", "d", "e"];
    let capacity = |id: u64| if id < 15 { 1_000 } else { 111 };
    (0..442).map(|id| member(id, halls[id as usize % 5], capacity(id))).collect()
}

#[test]
fn the_strongest_vms_of_each_hall_become_entries() {
    let members = members();
    let chosen = choose_entry_vms(&members, 0, SLOTS);
    assert_eq!(chosen.len(), 15);
    assert!(chosen.iter().all(|member| member.identity.capacity_per_s == 1_000));
}

#[test]
fn the_choice_of_entries_does_not_depend_on_member_order() {
    let mut members = members();
    let ids = |members: &[Member]| -> Vec<u64> {
        choose_entry_vms(members, 0, SLOTS).iter().map(|member| member.identity.id).collect()
    };
    let before = ids(&members);
    members.reverse();
    assert_eq!(ids(&members), before);
}

#[test]
fn remaining_entries_stay_when_a_strong_vm_leaves() {
    let mut members = members();
    members.remove(0);
    let chosen = choose_entry_vms(&members, 0, SLOTS);
    // The remaining two take over its work. With weak VMs the hall would need eight entries, each
    // of which gets an equal part of the callers but handles a ninth of what a strong one does.
    assert_eq!(chosen.len(), 14);
    assert!(chosen.iter().all(|member| member.identity.capacity_per_s == 1_000));
}

#[test]
fn weak_vms_become_entries_only_in_halls_without_strong_ones() {
    // A fleet of 986 VMs, with seven strong and about 190 weak ones in each hall, before 10,000
    // backend servers.
    let halls = ["a", "b", "c", "d", "e"];
    let capacity = |id: u64| if id < 35 { 2_000 } else { 111 };
    let mut members: Vec<Member> =
        (0..986).map(|id| member(id, halls[id as usize % 5], capacity(id))).collect();
    let in_hall = |members: &[Member], hall: &str| -> Vec<u32> {
        let chosen = choose_entry_vms(members, 0, 30_000);
        let chosen = chosen.iter().map(|member| &member.identity);
        chosen.filter(|it| it.hall == hall).map(|it| it.capacity_per_s).collect()
    };
    assert_eq!(in_hall(&members, "a"), [2_000; 7]);
    // All strong VMs of a hall fail.
    members.retain(|member| member.identity.hall != "a" || member.identity.capacity_per_s == 111);
    assert_eq!(in_hall(&members, "a"), [111; 8]);
    assert_eq!(in_hall(&members, "b"), [2_000; 7]);
}

/// Guards against callers sent to VMs that reach no backend server, and against an empty entry set.
#[test]
fn vms_that_have_lost_backend_servers_take_no_callers_unless_all_have() {
    let mut members = members();
    let lose = |members: &mut [Member], is_lost: &dyn Fn(&Member) -> bool| {
        members.iter_mut().for_each(|member| member.has_lost_backends = is_lost(member));
    };
    let before: Vec<u64> =
        choose_entry_vms(&members, 0, SLOTS).iter().map(|member| member.identity.id).collect();
    lose(&mut members, &|member| member.identity.id == before[0]);
    let after = choose_entry_vms(&members, 0, SLOTS);
    assert!(after.iter().all(|member| member.identity.id != before[0]));
    let kept = |member: &&&Member| before.contains(&member.identity.id);
    assert_eq!(after.iter().filter(kept).count(), before.len() - 1, "the others stay");
    lose(&mut members, &|member| member.identity.hall == "a");
    let chosen = choose_entry_vms(&members, 0, SLOTS);
    assert!(!chosen.is_empty() && chosen.iter().all(|member| member.identity.hall != "a"));
    lose(&mut members, &|_| true);
    let chosen = choose_entry_vms(&members, 0, SLOTS);
    let chosen: Vec<u64> = chosen.iter().map(|member| member.identity.id).collect();
    assert_eq!(chosen, before);
}
