//! Which VMs receive a message, as the fleet grows.
//!
//! Guards against traffic between data halls that grows with the fleet. When each VM sent to every
//! other VM whatever its hall, reports on backend servers were a third of the bytes between the
//! halls of 986 VMs, and each store watcher sent each change to the same 160 VMs, most of them in
//! other halls.

use std::collections::BTreeMap;

use leverstream_member::{Identity, Member, PeersByHall};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The number of data halls.
const HALLS: usize = 5;

/// How many VMs a store watcher sends to at once.
const LIMIT: usize = 160;

/// Creates members that are spread evenly over the halls.
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
fn relays_bring_a_report_to_every_vm_exactly_once() {
    for count in [5, 15, 40, 100, 500] {
        let members = members(count);
        let mut rng = StdRng::seed_from_u64(1);
        for me in members.iter().take(7) {
            let peers = PeersByHall::of(&me.identity, &members);
            let relays = peers.relays(&mut rng);
            assert_eq!(relays.len(), HALLS - 1, "{count} sharers");
            let mut receipts: BTreeMap<_, usize> = BTreeMap::new();
            let mut receive = |address| *receipts.entry(address).or_default() += 1;
            peers.near.iter().chain(&relays).copied().for_each(&mut receive);
            for relay in &relays {
                let relay = members.iter().find(|member| member.identity.peer_address == *relay);
                let relay = &relay.expect("it is a member").identity;
                PeersByHall::of(relay, &members).near.into_iter().for_each(&mut receive);
            }
            assert_eq!(receipts.len(), count - 1);
            assert!(receipts.values().all(|times| *times == 1));
        }
    }
}

#[test]
fn relays_are_chosen_at_random() {
    let members = members(50);
    let peers = PeersByHall::of(&members[0].identity, &members);
    let mut rng = StdRng::seed_from_u64(1);
    let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
    for _ in 0..400 {
        peers.relays(&mut rng).into_iter().for_each(|relay| *chosen.entry(relay).or_default() += 1);
    }
    assert_eq!(chosen.len(), 40);
    assert!(chosen.values().all(|times| (15..80).contains(times)), "{chosen:?}");
}

#[test]
fn a_sample_holds_all_of_a_small_fleet_and_mostly_the_own_hall_of_a_large_one() {
    for count in [3, 44, 161] {
        let members = members(count);
        let peers = PeersByHall::of(&members[0].identity, &members);
        assert_eq!(peers.sample(LIMIT, &mut StdRng::seed_from_u64(1)).len(), count - 1);
    }
    for count in [300, 1_000, 2_000, 7_000] {
        let members = members(count);
        let peers = PeersByHall::of(&members[0].identity, &members);
        let mut rng = StdRng::seed_from_u64(1);
        let (first, second) = (peers.sample(LIMIT, &mut rng), peers.sample(LIMIT, &mut rng));
        let far = first.iter().filter(|address| !peers.near.contains(address)).count();
        assert_eq!(far, HALLS - 1, "{count}");
        assert_eq!(first.len() - far, peers.near.len().min(LIMIT));
        // Two watchers of a hall choose different receivers where they can't reach all.
        assert!(peers.near.len() <= LIMIT || first != second);
    }
}
