//! Tests of the rate limits that backend servers announce over all VMs together.

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{
    Availability, Fleet, LimitNotice, LimitUpdate, NoticeSync, Notices, PickRequest, choose,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The platform's entry of an incarnation.
fn entry(number: usize, born_ms: u64) -> Backend {
    Backend {
        instance: format!("i-{number}"),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots: 4,
        is_leaving: false,
        born_ms,
        cold_left_ms: 0,
    }
}

/// The incarnation of an entry.
fn of(number: usize, born_ms: u64) -> Incarnation {
    entry(number, born_ms).incarnation()
}

/// A fleet with a number of backend servers.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    (0..count).for_each(|number| {
        fleet.set(entry(number, 7), 1, 0);
    });
    fleet
}

/// The limit in an answer to a request sent at some time.
fn notice(per_s: Option<f64>, sent_ms: i64) -> LimitNotice {
    LimitNotice { per_s, sent_ms }
}

/// Returns the limit of the first backend server.
fn limit(fleet: &Fleet) -> Option<f64> {
    fleet.limit_notice(&of(0, 7)).and_then(|notice| notice.per_s)
}

/// Returns the backend server that a request is sent to.
fn chosen(fleet: &Fleet, now_ms: u64) -> Option<usize> {
    let request = PickRequest {
        service: "shop",
        hall: "h1",
        is_repeatable: true,
        tried: &[],
        waited_ms: 400,
        far_bytes_cost: 0.0,
        objective_ms: 400,
        floor_share: 0.73,
        requests_fail: false,
        requests_per_s: None,
        is_spared: false,
        vm: 0,
    };
    let pick = choose(fleet, &request, now_ms, &mut StdRng::seed_from_u64(1))?;
    fleet.incarnation(pick.key).instance[2..].parse().ok()
}

#[test]
fn the_notice_of_the_latest_request_applies() {
    let mut fleet = fleet(1);
    assert!(fleet.note_limit(&of(0, 7), notice(Some(2.0), 100), 150));
    assert!(!fleet.note_limit(&of(0, 7), notice(Some(2.0), 200), 250), "already known");
    assert!(fleet.note_limit(&of(0, 7), notice(Some(0.0), 300), 350));
    // An answer to an earlier request is delayed.
    assert!(!fleet.note_limit(&of(0, 7), notice(None, 250), 400));
    assert_eq!(limit(&fleet), Some(0.0));
    assert!(fleet.note_limit(&of(0, 7), notice(None, 400), 450));
    assert_eq!(limit(&fleet), None);
    assert!(!fleet.note_limit(&of(0, 7), notice(Some(0.0), 320), 500));
    assert_eq!(limit(&fleet), None);
}

#[test]
fn a_limit_belongs_to_one_incarnation() {
    let mut fleet = fleet(1);
    fleet.note_limit(&of(0, 7), notice(Some(2.0), 100), 150);
    assert!(!fleet.note_limit(&of(0, 6), notice(Some(1.0), 200), 250), "an earlier incarnation");
    assert_eq!(limit(&fleet), Some(2.0));
    // Its entry is removed and listed again.
    fleet.remove("i-0", 2);
    fleet.set(entry(0, 7), 3, 300);
    assert_eq!(limit(&fleet), Some(2.0));
    assert_eq!(fleet.limits(400).len(), 1);
    // A new incarnation has no limit.
    fleet.set(entry(0, 8), 4, 500);
    assert!(fleet.limits(600).is_empty());
    // The limit is known before the entry.
    fleet.note_limit(&of(1, 7), notice(Some(3.0), 600), 650);
    fleet.set(entry(1, 7), 5, 700);
    assert_eq!(fleet.limits(800)[0].per_s, Some(3.0));
}

#[test]
fn a_whole_list_brings_its_limits_to_a_new_vm() {
    let mut peer = fleet(3);
    peer.note_limit(&of(1, 7), notice(Some(2.0), 40_000), 40_100);
    peer.advance_revision(9);
    let mut newcomer = Fleet::default();
    newcomer.apply(peer.delta_since(0, 41_000), 50);
    let update = newcomer.limit_notice(&of(1, 7)).expect("the limit came with the list");
    assert_eq!(update, notice(Some(2.0), 50 - 1_000), "one second old by the receiver's clock");
    assert_eq!(peer.notices_fingerprint(), newcomer.notices_fingerprint());
}

#[test]
fn comparisons_converge_for_new_and_lifted_limits() {
    let (mut informed, mut uninformed) = (fleet(2), fleet(2));
    for fleet in [&mut informed, &mut uninformed] {
        fleet.note_limit(&of(0, 7), notice(Some(2.0), 100), 150);
    }
    informed.note_limit(&of(0, 7), notice(None, 200), 250);
    let update =
        NoticeSync::default().compare(informed.notices_fingerprint(), &uninformed, true, 300);
    let applied = NoticeSync::apply(update.expect("they differ"), &mut informed, 302);
    assert!(applied.limits.is_empty(), "the received limit is older");
    let applied = NoticeSync::apply(
        applied.answer.expect("the reply has the lifted limit"),
        &mut uninformed,
        304,
    );
    assert_eq!(applied.limits.len(), 1);
    assert_eq!(uninformed.notices_fingerprint(), 0);
    // In the other direction: the VM that uninformed a limit learns it.
    informed.note_limit(&of(1, 7), notice(Some(1.0), 400), 450);
    let update = NoticeSync::default().compare(0, &informed, true, 500).expect("they differ");
    NoticeSync::apply(update, &mut uninformed, 502);
    assert_eq!(informed.notices_fingerprint(), uninformed.notices_fingerprint());
}

#[test]
fn limits_of_unknown_incarnations_or_extreme_age_are_harmless() {
    let mut fleet = fleet(1);
    let update = |number, per_s, age_ms| LimitUpdate { of: of(number, 7), per_s, age_ms };
    let limits = vec![update(0, Some(2.0), u64::MAX), update(5, None, 3), update(6, Some(1.0), 0)];
    NoticeSync::apply(Notices { limits, ..Notices::default() }, &mut fleet, 100);
    assert_eq!(limit(&fleet), Some(2.0));
    fleet.note_limit(&of(0, 7), notice(None, 1), 101);
    assert_eq!(limit(&fleet), None, "any answer is more recent");
}

#[test]
fn a_backend_server_with_denied_permits_is_skipped_until_the_denial_ends() {
    let mut fleet = fleet(2);
    let key = fleet.keys_of_service("shop")[0];
    fleet.note_limit(&of(0, 7), notice(Some(2.0), 100), 150);
    fleet.deny(key, 700, Some(0.5));
    assert_eq!(chosen(&fleet, 200), Some(1));
    let other = fleet.keys_of_service("shop")[1];
    fleet.hold_off(other, 60_000, 200);
    assert_eq!(chosen(&fleet, 300), None);
    assert_eq!(fleet.availability("shop", 300), Availability::Limited { per_s: 0.5, from_ms: 700 });
    assert_eq!(chosen(&fleet, 700), Some(0));
    // Once the limit is lifted, it accepts requests at once.
    fleet.deny(key, 9_000, None);
    fleet.note_limit(&of(0, 7), notice(None, 800), 850);
    assert_eq!(chosen(&fleet, 860), Some(0));
    assert_eq!(fleet.availability("shop", 860), Availability::Available);
}
