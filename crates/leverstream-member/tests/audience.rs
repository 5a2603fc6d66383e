//! Who is told of something, as the fleet grows.
//!
//! Seen: a third of the bytes between data halls of 986 VMs were what those that share the traffic tell each other of backend
//! servers, and each watcher of the store told the same 160 VMs of each change, most of them of other halls.
//! Cause: each VM told each other one itself, whatever hall it stands in.

use std::collections::BTreeMap;

use leverstream_member::{Identity, Member, PeersByHall};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The data halls.
const HALLS: usize = 5;

/// How many a watcher tells at once.
const LIMIT: usize = 160;

/// Members in halls that take turns.
fn members(count: usize) -> Vec<Member> {
    let member = |number: usize| {
        let address =
            format!("10.0.{}.{}:1", number / 200, number % 200).parse().expect("an address");
        let identity = Identity {
            id: number as u64,
            peer_address: address,
            caller_address: address,
            hall: format!("hall-{}", number % HALLS),
            capacity_per_s: 0,
        };
        Member { table: 1, ..Member::new(identity, 0) }
    };
    (0..count).map(member).collect()
}

#[test]
fn a_report_goes_to_one_vm_of_each_other_hall_and_reaches_each_sharer_once() {
    for count in [5, 15, 40, 100, 500] {
        let members = members(count);
        let mut rng = StdRng::seed_from_u64(1);
        for me in members.iter().take(7) {
            let audience = PeersByHall::of(&me.identity, &members);
            let relays = audience.relays(&mut rng);
            assert_eq!(relays.len(), HALLS - 1, "{count} sharers");
            let mut heard: BTreeMap<_, usize> = BTreeMap::new();
            let mut hear = |address| *heard.entry(address).or_default() += 1;
            audience.near.iter().chain(&relays).copied().for_each(&mut hear);
            for relay in &relays {
                let relay = members.iter().find(|member| member.identity.peer_address == *relay);
                let relay = &relay.expect("it is a member").identity;
                PeersByHall::of(relay, &members).near.into_iter().for_each(&mut hear);
            }
            assert_eq!(heard.len(), count - 1);
            assert!(heard.values().all(|times| *times == 1));
        }
    }
}

#[test]
fn relays_are_others_each_time() {
    let members = members(50);
    let audience = PeersByHall::of(&members[0].identity, &members);
    let mut rng = StdRng::seed_from_u64(1);
    let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
    for _ in 0..400 {
        audience
            .relays(&mut rng)
            .into_iter()
            .for_each(|relay| *chosen.entry(relay).or_default() += 1);
    }
    assert_eq!(chosen.len(), 40);
    assert!(chosen.values().all(|times| (15..80).contains(times)), "{chosen:?}");
}

#[test]
fn a_change_is_told_to_all_of_a_small_fleet_and_to_the_own_hall_of_a_large_one() {
    for count in [3, 44, 161] {
        let members = members(count);
        let audience = PeersByHall::of(&members[0].identity, &members);
        assert_eq!(audience.sample(LIMIT, &mut StdRng::seed_from_u64(1)).len(), count - 1);
    }
    for count in [300, 1_000, 2_000, 7_000] {
        let members = members(count);
        let audience = PeersByHall::of(&members[0].identity, &members);
        let mut rng = StdRng::seed_from_u64(1);
        let (first, second) = (audience.sample(LIMIT, &mut rng), audience.sample(LIMIT, &mut rng));
        let far = first.iter().filter(|address| !audience.near.contains(address)).count();
        assert_eq!(far, HALLS - 1, "{count}");
        assert_eq!(first.len() - far, audience.near.len().min(LIMIT));
        // Two watchers of a hall tell different ones where they cannot tell all.
        assert!(audience.near.len() <= LIMIT || first != second);
    }
}
