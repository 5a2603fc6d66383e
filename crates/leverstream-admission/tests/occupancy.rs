//! Whether requests wait for slots, and where one is sent without a free slot.

use leverstream_admission::{Occupancy, free_slots, is_overloaded, least_loaded};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Returns backend servers with four slots.
fn backends(count: usize, load: u32, is_avoided: bool) -> Vec<Occupancy> {
    vec![Occupancy { load, slots: 4, is_avoided }; count]
}

/// Guards against leaving out the free slots of backend servers in doubt, or counting a backend
/// server with a request too many as free.
#[test]
fn free_slots_in_doubt_are_counted() {
    let in_doubt = [backends(7, 4, false), backends(3, 0, true)].concat();
    assert_eq!(free_slots(&in_doubt), 12);
    assert_eq!(free_slots(&backends(7, 4, false)) + free_slots(&backends(7, 9, true)), 0);
}

/// Guards against an admission level while requests wait because most backend servers are in
/// doubt, and against none as some always are.
#[test]
fn a_service_is_overloaded_only_if_most_slots_are_sound_and_taken() {
    assert!(is_overloaded(&[backends(7, 4, false), backends(3, 0, true)].concat()));
    assert!(!is_overloaded(&[backends(3, 4, false), backends(7, 0, true)].concat()));
    assert!(!is_overloaded(&[backends(7, 3, false), backends(3, 4, true)].concat()));
    assert!(!is_overloaded(&[]) && !is_overloaded(&backends(3, 4, true)));
}

/// Guards against a last offer that goes to a backend server in doubt, or to a busy one.
#[test]
fn the_least_loaded_sound_backend_server_is_offered_a_request() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut known = [backends(1, 0, true), backends(1, 6, false), backends(1, 5, false)].concat();
    assert_eq!(least_loaded(&known, &mut rng), Some(2));
    known.truncate(1);
    assert_eq!(least_loaded(&known, &mut rng), Some(0));
    assert_eq!(least_loaded(&[], &mut rng), None);
}

/// Guards against last offers of all VMs that go to the same one of several backend servers alike.
#[test]
fn equally_loaded_backend_servers_are_chosen_at_random() {
    let mut rng = StdRng::seed_from_u64(1);
    let known = backends(4, 5, false);
    let mut counts = [0; 4];
    (0..400).for_each(|_| counts[least_loaded(&known, &mut rng).expect("one is there")] += 1);
    assert!(counts.iter().all(|count| (60..140).contains(count)), "{counts:?}");
}

/// Guards against last offers that pile up at the few sound backend servers while others have room.
#[test]
fn a_backend_server_with_twice_its_slots_in_flight_comes_last() {
    let mut rng = StdRng::seed_from_u64(1);
    let known = [backends(2, 8, false), backends(1, 7, true)].concat();
    assert_eq!(least_loaded(&known, &mut rng), Some(2));
    let known = [backends(1, 9, false), backends(1, 8, false), backends(1, 8, true)].concat();
    assert_eq!(least_loaded(&known, &mut rng), Some(1));
}
