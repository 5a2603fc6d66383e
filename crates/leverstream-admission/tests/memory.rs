//! The budget of memory that a VM holds for others, without a network.

use leverstream_admission::memory::{Decision, HolderId, MemoryBudget, Purpose};
use proptest::prelude::*;

/// The bytes that a body asks for at a time.
const STEP: usize = 64;

/// A body on its way.
struct Body {
    /// Its identity.
    id: HolderId,
    /// Its whole length.
    length: usize,
    /// The bytes granted so far.
    read: usize,
    /// The bytes that it waits for, if it is paused.
    paused_for: Option<usize>,
}

impl Body {
    /// Returns whether it is whole.
    fn is_whole(&self) -> bool {
        self.read >= self.length
    }

    /// Asks for the next bytes.
    fn advance(&mut self, budget: &mut MemoryBudget) {
        let bytes = STEP.min(self.length - self.read);
        match budget.take(self.id, bytes) {
            Decision::Granted => self.read += bytes,
            Decision::Paused => self.paused_for = Some(bytes),
            Decision::Refused => panic!("a body that was opened fits"),
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
        lengths in proptest::collection::vec((1_usize..3_000, any::<bool>()), 1..40),
        choices in proptest::collection::vec(any::<prop::sample::Index>(), 6_000),
    ) {
        const LIMIT: usize = 4_000;
        let mut budget = MemoryBudget::new(LIMIT);
        let open = |&(length, is_announced): &(usize, bool)| {
            let id = budget.open_body(is_announced.then_some(length), 3_000);
            Body { id: id.expect("it fits"), length, read: 0, paused_for: None }
        };
        let mut bodies: Vec<Body> = lengths.iter().map(open).collect();
        for choice in choices {
            let running: Vec<usize> =
                (0..bodies.len()).filter(|at| bodies[*at].paused_for.is_none()).collect();
            if bodies.is_empty() {
                break;
            }
            prop_assert!(!running.is_empty(), "all {} bodies are paused", bodies.len());
            let at = running[choice.index(running.len())];
            if bodies[at].is_whole() {
                let body = bodies.swap_remove(at);
                let resumed = budget.release(body.id);
                resume(&mut bodies, &resumed);
            } else {
                bodies[at].advance(&mut budget);
                if bodies[at].is_whole() {
                    let resumed = budget.complete(bodies[at].id, bodies[at].length);
                    resume(&mut bodies, &resumed);
                }
            }
            prop_assert!(budget.held_bytes(Purpose::Body) <= budget.bodies_limit_bytes());
        }
        prop_assert!(bodies.is_empty(), "{} bodies are left", bodies.len());
        prop_assert_eq!(budget.held_bytes(Purpose::Body), 0);
    }
}

/// Guards against callers that announce long bodies, send little, and keep others from being served.
#[test]
fn announced_bytes_that_are_not_sent_hold_nobody_back() {
    let mut budget = MemoryBudget::new(4_000);
    for _ in 0..50 {
        let slow = budget.open_body(Some(1_000), 3_000).expect("it fits");
        assert_eq!(budget.take(slow, 10), Decision::Granted);
    }
    let quick = budget.open_body(Some(1_000), 3_000).expect("it fits");
    assert_eq!(budget.take(quick, 1_000), Decision::Granted);
}

/// Guards against a request that waits although its body can never be held.
#[test]
fn body_that_can_never_fit_is_refused_at_once() {
    let mut budget = MemoryBudget::new(4_000);
    assert_eq!(budget.open_body(Some(3_001), 10_000), None);
    let unannounced = budget.open_body(None, 10_000).expect("it may be small");
    assert_eq!(budget.take(unannounced, 3_000), Decision::Granted);
    assert_eq!(budget.take(unannounced, 1), Decision::Refused);
}

/// Guards against bodies that fill the memory, so that no answer can be read and no body is given
/// back.
#[test]
fn answers_have_room_beside_bodies_that_use_all_of_theirs() {
    let mut budget = MemoryBudget::new(4_000);
    let body = budget.open_body(Some(3_000), 3_000).expect("it fits");
    assert_eq!(budget.take(body, 3_000), Decision::Granted);
    let waiting = budget.open_body(Some(1), 3_000).expect("it fits later");
    assert_eq!(budget.take(waiting, 1), Decision::Paused);
    let answer = budget.open_answer();
    assert_eq!(budget.take(answer, 1_000), Decision::Granted);
    assert_eq!(budget.release(body), vec![waiting]);
    assert_eq!(budget.held_bytes(Purpose::Body), 1);
}

/// Guards against a large answer that never gets room because small ones keep passing it.
#[test]
fn answers_are_granted_in_order_of_arrival_and_before_bodies() {
    let mut budget = MemoryBudget::new(4_000);
    let first = budget.open_answer();
    assert_eq!(budget.take(first, 3_900), Decision::Granted);
    let body = budget.open_body(Some(3_000), 3_000).expect("it fits");
    assert_eq!(budget.take(body, 200), Decision::Paused);
    let large = budget.open_answer();
    assert_eq!(budget.take(large, 4_000), Decision::Paused);
    let small = budget.open_answer();
    assert_eq!(budget.take(small, 50), Decision::Paused);
    assert_eq!(budget.paused_count(), 3);
    assert_eq!(budget.release(first), vec![large]);
    assert_eq!(budget.release(large), vec![small, body]);
    let too_large = budget.open_answer();
    assert_eq!(budget.take(too_large, 4_001), Decision::Refused);
}

/// Guards against a body without a length that keeps its whole allowance after it has ended.
#[test]
fn end_of_a_body_without_a_length_lets_others_go_on() {
    let mut budget = MemoryBudget::new(4_000);
    let [first, second] = [(); 2].map(|()| budget.open_body(None, 3_000).expect("it fits"));
    assert_eq!(budget.take(first, 2_000), Decision::Granted);
    assert_eq!(budget.take(second, 500), Decision::Paused);
    assert_eq!(budget.complete(first, 2_000), vec![second]);
}

/// Guards against an answer that keeps the memory of its encoded form until it is written.
#[test]
fn whole_answer_gives_back_what_only_its_reading_needed() {
    let mut budget = MemoryBudget::new(4_000);
    let answer = budget.open_answer();
    assert_eq!(budget.take(answer, 4_000), Decision::Granted);
    let next = budget.open_answer();
    assert_eq!(budget.take(next, 2_000), Decision::Paused);
    assert_eq!(budget.complete(answer, 2_000), vec![next]);
    assert_eq!(budget.held_bytes(Purpose::Answer), 4_000);
}

/// Guards against a reserve that leaves a weak VM nothing, or a VM more than its limit.
#[test]
fn part_of_the_limit_is_kept_for_the_process() {
    let usable = |mb: usize| MemoryBudget::of_process(mb * 1_000_000).limit_bytes();
    assert_eq!(usable(160), 72_000_000);
    assert_eq!(usable(512), 336_000_000);
    assert_eq!(usable(64), 8_000_000);
}
