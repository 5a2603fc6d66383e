//! The budget of memory that a VM holds for others, without a network.

use leverstream_admission::memory::{Decision, HolderId, MemoryBudget, Purpose};
use proptest::prelude::*;

/// A unit that makes bodies of one or more of it large.
const UNIT: usize = 100_000;

/// The bytes that a body asks for at a time.
const STEP: usize = 64_000;

/// Returns a budget of so many units.
fn budget_of(units: usize) -> MemoryBudget {
    MemoryBudget::new(units * UNIT)
}

/// A body on its way.
struct Body {
    /// Its identity.
    id: HolderId,
    /// Its whole length.
    length: usize,
    /// Whether its length was announced.
    is_announced: bool,
    /// Whether it was refused.
    is_refused: bool,
    /// The bytes granted so far.
    read: usize,
    /// The bytes that it waits for, if it is paused.
    paused_for: Option<usize>,
}

impl Body {
    /// Returns whether it is whole or refused.
    fn is_ended(&self) -> bool {
        self.read >= self.length || self.is_refused
    }

    /// Asks for the next bytes.
    fn advance(&mut self, budget: &mut MemoryBudget) {
        let bytes = STEP.min(self.length - self.read);
        match budget.take(self.id, bytes) {
            Decision::Granted => self.read += bytes,
            Decision::Paused => self.paused_for = Some(bytes),
            Decision::Refused => {
                assert!(!self.is_announced, "an announced body that was opened fits");
                self.is_refused = true;
            }
        }
    }
}

/// Ends the pause of bodies whose bytes were granted.
fn resume(bodies: &mut [Body], ids: &[HolderId]) {
    for body in bodies.iter_mut().filter(|body| ids.contains(&body.id)) {
        body.read += body.paused_for.take().expect("only a paused body resumes");
    }
}

proptest! {
    /// Guards against two failures: memory beyond the limit, and bodies that are half read and wait
    /// for each other for ever.
    #[test]
    fn bodies_stay_within_the_limit_and_are_all_completed(
        lengths in proptest::collection::vec((1_usize..25 * UNIT, any::<bool>()), 1..40),
        choices in proptest::collection::vec(any::<prop::sample::Index>(), 3_000),
    ) {
        let mut budget = budget_of(40);
        let open = |&(length, is_announced): &(usize, bool)| {
            let id = budget.open_body(is_announced.then_some(length));
            let id = id.expect("it fits");
            Body { id, length, is_announced, is_refused: false, read: 0, paused_for: None }
        };
        let mut bodies: Vec<Body> = lengths.iter().map(open).collect();
        for choice in choices {
            if bodies.is_empty() {
                break;
            }
            let running: Vec<usize> =
                (0..bodies.len()).filter(|at| bodies[*at].paused_for.is_none()).collect();
            prop_assert!(!running.is_empty(), "all {} bodies are paused", bodies.len());
            let at = running[choice.index(running.len())];
            if bodies[at].is_ended() {
                let body = bodies.swap_remove(at);
                let resumed = budget.release(body.id);
                resume(&mut bodies, &resumed);
            } else {
                bodies[at].advance(&mut budget);
                if bodies[at].is_ended() {
                    let resumed = budget.complete(bodies[at].id, bodies[at].length);
                    resume(&mut bodies, &resumed);
                }
            }
            prop_assert!(budget.held_bytes(Purpose::Body) <= budget.limit_bytes());
        }
        prop_assert!(bodies.is_empty(), "{} bodies are left", bodies.len());
        prop_assert_eq!(budget.held_bytes(Purpose::Body), 0);
    }
}

/// Guards against callers that announce long bodies, send little, and keep others from being served.
#[test]
fn announced_bytes_that_are_not_sent_hold_nobody_back() {
    let mut budget = budget_of(40);
    for _ in 0..50 {
        let slow = budget.open_body(Some(8 * UNIT)).expect("it fits");
        assert_eq!(budget.take(slow, 1_000), Decision::Granted);
    }
    let quick = budget.open_body(Some(10 * UNIT)).expect("it fits");
    assert_eq!(budget.take(quick, 10 * UNIT), Decision::Granted);
}

/// Guards against a request that waits although its body can never be held.
#[test]
fn body_that_can_never_fit_is_refused_at_once() {
    let mut budget = budget_of(40);
    assert_eq!(budget.open_body(Some(25 * UNIT + 1)), None);
    let unannounced = budget.open_body(None).expect("it may be small");
    assert_eq!(budget.take(unannounced, 25 * UNIT), Decision::Granted);
    assert_eq!(budget.take(unannounced, UNIT), Decision::Refused);
}

/// Guards against bodies that fill the memory, so that no answer can be read and no body is given
/// back.
#[test]
fn answers_have_room_beside_bodies_that_use_all_of_theirs() {
    let mut budget = budget_of(40);
    let body = budget.open_body(Some(25 * UNIT)).expect("it fits");
    assert_eq!(budget.take(body, 25 * UNIT), Decision::Granted);
    let waiting = budget.open_body(Some(UNIT)).expect("it fits later");
    assert_eq!(budget.take(waiting, 1), Decision::Paused);
    let answer = budget.open_answer();
    assert_eq!(budget.take(answer, 10 * UNIT), Decision::Granted);
    assert_eq!(budget.release(body), vec![waiting]);
    assert_eq!(budget.held_bytes(Purpose::Body), 1);
}

/// Guards against a large answer that never gets room because others keep passing it.
#[test]
fn large_answers_are_granted_in_order_of_arrival_and_before_bodies() {
    let mut budget = budget_of(40);
    let first = budget.open_answer();
    assert_eq!(budget.take(first, 34 * UNIT), Decision::Granted);
    let body = budget.open_body(Some(25 * UNIT)).expect("it fits");
    assert_eq!(budget.take(body, 2 * UNIT), Decision::Paused);
    let [larger, smaller] = [(); 2].map(|()| budget.open_answer());
    assert_eq!(budget.take(larger, 35 * UNIT), Decision::Paused);
    assert_eq!(budget.take(smaller, UNIT), Decision::Paused);
    assert_eq!(budget.paused_count(), 3);
    assert_eq!(budget.release(first), vec![larger]);
    assert_eq!(budget.release(larger), vec![smaller, body]);
    let too_large = budget.open_answer();
    assert_eq!(budget.take(too_large, 35 * UNIT + 1), Decision::Refused);
}

/// Guards against callers that leave large answers unread, or send large bodies, and so keep
/// requests with small ones from being served.
#[test]
fn small_bodies_and_answers_are_served_while_large_ones_wait() {
    let mut budget = budget_of(40);
    let [unread, waiting] = [(); 2].map(|()| budget.open_answer());
    assert_eq!(budget.take(unread, 35 * UNIT), Decision::Granted);
    assert_eq!(budget.take(waiting, UNIT), Decision::Paused);
    let large = budget.open_body(Some(UNIT)).expect("it fits later");
    assert_eq!(budget.take(large, 1), Decision::Paused);
    for _ in 0..3 {
        let body = budget.open_body(Some(64_000)).expect("it fits");
        assert_eq!(budget.take(body, 64_000), Decision::Granted);
        let answer = budget.open_answer();
        assert_eq!(budget.take(answer, 64_000), Decision::Granted);
    }
    let answer = budget.open_answer();
    assert_eq!(budget.take(answer, 60_000), Decision::Granted);
    let beyond_the_limit = budget.open_answer();
    assert_eq!(budget.take(beyond_the_limit, 64_000), Decision::Paused);
    assert_eq!(budget.release(answer), vec![beyond_the_limit]);
}

/// Guards against bodies without a length that are served one by one, as each could take all there is.
#[test]
fn bodies_without_a_length_are_expected_to_be_of_moderate_size() {
    let mut budget = budget_of(400);
    let bodies: Vec<HolderId> =
        (0..20).map(|_| budget.open_body(None).expect("it may be small")).collect();
    for id in &bodies {
        assert_eq!(budget.take(*id, 64_000), Decision::Granted);
        assert_eq!(budget.take(*id, 64_000), Decision::Granted);
    }
    for _ in 0..13 {
        bodies.iter().for_each(|id| assert_eq!(budget.take(*id, 64_000), Decision::Granted));
    }
}

/// Guards against bodies without a length that outgrow what was expected of them and wait for each
/// other.
#[test]
fn body_that_outgrows_what_was_expected_is_refused_if_others_need_the_room() {
    let mut budget = budget_of(40);
    let announced = budget.open_body(Some(20 * UNIT)).expect("it fits");
    assert_eq!(budget.take(announced, UNIT), Decision::Granted);
    let growing = budget.open_body(None).expect("it may be small");
    assert_eq!(budget.take(growing, 2 * UNIT), Decision::Granted);
    assert_eq!(budget.take(announced, 15 * UNIT), Decision::Granted);
    assert_eq!(budget.take(growing, 8 * UNIT), Decision::Paused);
    assert_eq!(budget.complete(announced, 0), vec![growing]);
    let second = budget.open_body(Some(20 * UNIT)).expect("it fits");
    assert_eq!(budget.take(second, 8 * UNIT), Decision::Granted);
    assert_eq!(budget.take(growing, 2 * UNIT), Decision::Refused);
}

/// Guards against an answer that keeps the memory of its encoded form until it is written.
#[test]
fn whole_answer_gives_back_what_only_its_reading_needed() {
    let mut budget = budget_of(40);
    let answer = budget.open_answer();
    assert_eq!(budget.take(answer, 34 * UNIT), Decision::Granted);
    let next = budget.open_answer();
    assert_eq!(budget.take(next, 10 * UNIT), Decision::Paused);
    assert_eq!(budget.complete(answer, 17 * UNIT), vec![next]);
    assert_eq!(budget.held_bytes(Purpose::Answer), 27 * UNIT);
}

/// Guards against a reserve that leaves a weak VM nothing, or a VM more than its limit.
#[test]
fn part_of_the_limit_is_kept_for_the_process() {
    let usable = |mb: usize| MemoryBudget::of_process(mb * 1_000_000).limit_bytes();
    assert_eq!(usable(160), 72_000_000);
    assert_eq!(usable(512), 336_000_000);
    assert_eq!(usable(64), 8_000_000);
}
