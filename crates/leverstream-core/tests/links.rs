//! What a VM concludes of its links to backend servers.

use std::net::SocketAddr;

use leverstream_core::{HelperAnswer, Links};

/// The interval between a VM's probes, as the gateway makes them.
const PROBE_MS: u64 = 300;

/// Returns the address of a VM.
fn vm(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Returns the answer of an entry VM of the own hall that reaches backend servers.
fn reaching(number: u16, in_flight: u32) -> HelperAnswer {
    HelperAnswer {
        address: vm(number),
        is_reached: true,
        in_flight,
        is_far: false,
        is_entry_vm: true,
    }
}

/// Probes a lost service with success until it is regained; returns how long that took.
fn regain(links: &mut Links, from_ms: u64) -> u64 {
    let mut probes = (0..).map(|index| from_ms + index * PROBE_MS);
    probes.find(|now_ms| links.note_probe("shop", true, *now_ms)).expect("regained") - from_ms
}

/// Guards against a path that works for a moment and makes callers come back too early.
#[test]
fn links_are_regained_only_after_connections_have_succeeded_for_a_while() {
    let mut links = Links::default();
    assert!(links.note_lost("shop", 0) && !links.note_lost("shop", 10));
    assert!(links.is_lost("shop") && !links.is_lost("other"));
    for now_ms in (0..6_000).step_by(600) {
        assert!(!links.note_probe("shop", true, now_ms));
        assert!(!links.note_probe("shop", false, now_ms + PROBE_MS));
    }
    assert_eq!(regain(&mut links, 6_000), 1_500);
    assert!(!links.is_lost("shop") && links.lost().next().is_none());
}

/// Guards against links that flap and move the entry set each time.
#[test]
fn links_that_flap_take_longer_to_be_regained_up_to_a_bound() {
    let mut links = Links::default();
    let mut now_ms = 0;
    let mut times_ms = Vec::new();
    for _ in 0..6 {
        links.note_lost("shop", now_ms);
        times_ms.push(regain(&mut links, now_ms));
        now_ms += times_ms[times_ms.len() - 1] + 500;
    }
    assert_eq!(times_ms, [1_500, 3_000, 6_000, 12_000, 12_000, 12_000]);
    links.note_lost("shop", now_ms + 40_000);
    assert_eq!(regain(&mut links, now_ms + 40_000), 1_500);
}

/// Guards against requests that all go to one VM, or to one that has stopped answering.
#[test]
fn requests_are_passed_on_to_the_vm_with_the_fewest_in_progress() {
    let mut links = Links::default();
    links.note_lost("shop", 0);
    links.note_helper("shop", reaching(1, 3), 0);
    links.note_helper("shop", reaching(2, 3), 0);
    let far = HelperAnswer { is_far: true, ..reaching(3, 0) };
    links.note_helper("shop", far, 0);
    let mut counts = [0; 3];
    for _ in 0..13 {
        let to = links.choose_helper("shop", &[], 100).expect("VMs can help").address;
        links.begin_relay(to);
        counts[usize::from(to.port()) - 1] += 1;
    }
    // The far one counts as if it had eight requests in progress.
    assert_eq!(counts, [6, 6, 1]);
    // A VM outside the entry set gets requests once the others have far more.
    links.note_helper("shop", HelperAnswer { is_entry_vm: false, ..reaching(4, 0) }, 100);
    let choose = |tried: &[SocketAddr]| links.choose_helper("shop", tried, 100);
    assert_ne!(choose(&[]).map(|to| to.address), Some(vm(4)));
    assert_eq!(choose(&[vm(1), vm(2), vm(3)]).map(|to| to.address), Some(vm(4)));
    let tried = [1, 2, 3, 4].map(vm);
    assert_eq!(choose(&tried), None);
    links.note_helper("shop", HelperAnswer { is_reached: false, ..reaching(1, 0) }, 100);
    assert!(!links.helpers("shop", 100).contains(&vm(1)));
    assert_eq!(links.choose_helper("shop", &[], 1_300), None);
    assert_eq!(links.choose_helper("other", &[], 100), None);
}
