//! The budget of memory that a VM holds for others, without a network.

use std::time::{Duration, Instant};

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

/// A body on its way, and the answer that it waits for once it is whole.
struct Body {
    /// Its identity.
    id: HolderId,
    /// Its whole length.
    length: usize,
    /// The length of its answer.
    answer_length: usize,
    /// Whether its length was announced.
    is_announced: bool,
    /// Whether it was refused.
    is_refused: bool,
    /// The bytes granted so far.
    read: usize,
    /// The answer, once it is opened.
    answer: Option<HolderId>,
    /// The bytes that it or its answer waits for.
    paused_for: Option<usize>,
}

impl Body {
    /// Returns whether it is whole or refused.
    fn is_ended(&self) -> bool {
        self.read >= self.length || self.is_refused
    }

    /// Returns whether it was refused or its answer was granted its memory.
    fn is_answered(&self) -> bool {
        self.is_refused || (self.answer.is_some() && self.paused_for.is_none())
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

    /// Asks for the memory of its answer.
    fn open_answer(&mut self, budget: &mut MemoryBudget) {
        let answer = budget.open_answer();
        self.answer = Some(answer);
        match budget.take(answer, self.answer_length) {
            Decision::Granted => {}
            Decision::Paused => self.paused_for = Some(self.answer_length),
            Decision::Refused => panic!("an answer within the room of answers fits"),
        }
    }
}

/// Ends the pause of bodies and answers whose bytes were granted.
fn resume(bodies: &mut [Body], ids: &[HolderId]) {
    for body in bodies {
        if ids.contains(&body.id) {
            body.read += body.paused_for.take().expect("only a paused body resumes");
        } else if body.answer.is_some_and(|answer| ids.contains(&answer)) {
            body.paused_for = None;
        }
    }
}

/// Makes the next step of a body that isn't paused: reads it, answers it, or ends it.
fn step(bodies: &mut Vec<Body>, at: usize, budget: &mut MemoryBudget) {
    let body = &mut bodies[at];
    if body.is_answered() {
        let body = bodies.swap_remove(at);
        for id in [body.answer, Some(body.id)].into_iter().flatten() {
            let resumed = budget.release(id);
            resume(bodies, &resumed);
        }
    } else if body.is_ended() {
        body.open_answer(budget);
    } else {
        body.advance(budget);
        if body.is_ended() {
            let resumed = budget.complete(body.id, body.length);
            resume(bodies, &resumed);
        }
    }
}

proptest! {
    /// Guards against three failures: memory beyond the limits, bodies that are half read and wait for
    /// each other for ever, and bodies that wait for answers which find no memory beside them.
    #[test]
    fn bodies_stay_within_the_limit_and_are_all_completed_and_answered(
        lengths in proptest::collection::vec(
            (
                prop_oneof![4 => 1_usize..80_000, 1 => 1_usize..25 * UNIT],
                1_usize..7 * UNIT,
                any::<bool>(),
            ),
            1..120,
        ),
        choices in proptest::collection::vec(any::<prop::sample::Index>(), 6_000),
        are_answers_late in any::<bool>(),
    ) {
        let mut budget = budget_of(40);
        let open = |&(length, answer_length, is_announced): &(usize, usize, bool)| {
            let id = budget.open_body(is_announced.then_some(length)).expect("it fits");
            let (is_refused, read, answer, paused_for) = (false, 0, None, None);
            Body { id, length, answer_length, is_announced, is_refused, read, answer, paused_for }
        };
        let mut bodies: Vec<Body> = lengths.iter().map(open).collect();
        for choice in choices {
            if bodies.is_empty() {
                break;
            }
            let mut running: Vec<usize> =
                (0..bodies.len()).filter(|at| bodies[*at].paused_for.is_none()).collect();
            prop_assert!(!running.is_empty(), "all {} bodies are paused", bodies.len());
            if are_answers_late && running.iter().any(|at| !bodies[*at].is_ended()) {
                running.retain(|at| !bodies[*at].is_ended());
            }
            let at = running[choice.index(running.len())];
            step(&mut bodies, at, &mut budget);
            let bodies_bytes = budget.held_bytes(Purpose::Body);
            prop_assert!(bodies_bytes <= budget.bodies_limit_bytes());
            let total_bytes = bodies_bytes + budget.held_bytes(Purpose::Answer);
            prop_assert!(total_bytes <= budget.limit_bytes());
        }
        prop_assert!(bodies.is_empty(), "{} bodies are left", bodies.len());
        prop_assert_eq!(budget.held_bytes(Purpose::Body), 0);
        prop_assert_eq!(budget.held_bytes(Purpose::Answer), 0);
        prop_assert_eq!(budget.paused_count(), 0);
    }
}

/// Guards against many small bodies that fill a weak VM's memory, so that every answer waits and no
/// body is given back.
#[test]
fn answers_have_room_beside_many_small_bodies() {
    let mut budget = MemoryBudget::of_process(160_000_000);
    let bodies: Vec<HolderId> =
        (0..1_200).map(|_| budget.open_body(Some(60_000)).expect("it fits")).collect();
    let granted: Vec<HolderId> =
        bodies.into_iter().filter(|id| budget.take(*id, 60_000) == Decision::Granted).collect();
    assert!(granted.len() > 800, "only {} small bodies fit", granted.len());
    assert!(budget.held_bytes(Purpose::Body) <= budget.bodies_limit_bytes());
    let large = budget.open_answer();
    assert_eq!(budget.take(large, 10_000_000), Decision::Granted);
    let small = budget.open_answer();
    assert_eq!(budget.take(small, 60_000), Decision::Granted);
    assert_eq!(budget.release(granted[0]).len(), 1, "a paused body goes on");
}

/// Guards against paused bodies whose connections take more memory than the process has, and against
/// answers that are refused because too many bodies are paused.
#[test]
fn number_of_paused_holders_is_bounded_by_purpose() {
    let mut budget = budget_of(40);
    let first = budget.open_body(Some(25 * UNIT)).expect("it fits");
    assert_eq!(budget.take(first, 25 * UNIT), Decision::Granted);
    let unread = budget.open_answer();
    assert_eq!(budget.take(unread, 10 * UNIT), Decision::Granted);
    for number in 0..300 {
        let expected = if number < 256 { Decision::Paused } else { Decision::Refused };
        let body = budget.open_body(Some(UNIT)).expect("it fits later");
        assert_eq!(budget.take(body, UNIT), expected, "body {number}");
        let answer = budget.open_answer();
        assert_eq!(budget.take(answer, UNIT), expected, "answer {number}");
        if expected == Decision::Refused {
            assert!(budget.release(body).is_empty() && budget.release(answer).is_empty());
        }
    }
    assert_eq!(budget.paused_count(), 512);
    assert_eq!(budget.release(unread).len(), 10);
    let answer = budget.open_answer();
    assert_eq!(budget.take(answer, UNIT), Decision::Paused);
}

/// Returns the shortest time of several rounds of 200 small requests with a body and an answer.
fn small_requests_time(budget: &mut MemoryBudget) -> Duration {
    let mut round = || {
        let started = Instant::now();
        for _ in 0..200 {
            let body = budget.open_body(Some(1_000)).expect("it fits");
            assert_eq!(budget.take(body, 1_000), Decision::Granted);
            assert!(budget.complete(body, 1_000).is_empty());
            let answer = budget.open_answer();
            assert_eq!(budget.take(answer, 4_000), Decision::Granted);
            assert!(budget.release(answer).is_empty() && budget.release(body).is_empty());
        }
        started.elapsed()
    };
    (0..20).map(|_| round()).min().expect("there are rounds")
}

/// Guards against small requests whose work grows with the number of paused bodies and answers, or with
/// that of large bodies under way.
#[test]
fn small_requests_take_no_longer_while_many_holders_are_paused() {
    let calm_time = small_requests_time(&mut budget_of(40));
    let mut budget = budget_of(40);
    let whole = budget.open_body(Some(5 * UNIT)).expect("it fits");
    assert_eq!(budget.take(whole, 5 * UNIT), Decision::Granted);
    for _ in 0..240 {
        let partial = budget.open_body(Some(5 * UNIT)).expect("it fits");
        assert_eq!(budget.take(partial, 1_000), Decision::Granted);
    }
    let longest = budget.open_body(Some(25 * UNIT)).expect("it fits");
    assert_eq!(budget.take(longest, 8 * UNIT), Decision::Granted);
    // Within the limit, but the longest could no longer be completed.
    for _ in 0..240 {
        let body = budget.open_body(Some(25 * UNIT)).expect("it fits later");
        assert_eq!(budget.take(body, 6 * UNIT), Decision::Paused);
    }
    let busy_time = small_requests_time(&mut budget);
    // A search of 240 holders at each request takes 17 times as long or more.
    println!("{busy_time:?} beside 240 paused holders, {calm_time:?} without");
    assert!(busy_time < calm_time * 8, "{busy_time:?} in place of {calm_time:?}");
}

/// Guards against small bodies that are refused because large ones use all that bodies may.
#[test]
fn small_bodies_are_served_beside_large_ones_that_use_all_of_theirs() {
    let mut budget = budget_of(40);
    let large = budget.open_body(Some(25 * UNIT)).expect("it fits");
    assert_eq!(budget.take(large, 25 * UNIT), Decision::Granted);
    let small = budget.open_body(Some(60_000)).expect("it fits");
    assert_eq!(budget.take(small, 1_000), Decision::Granted);
    assert_eq!(budget.take(small, 59_000), Decision::Granted);
    assert_eq!(budget.held_bytes(Purpose::Body), 25 * UNIT + 60_000);
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
