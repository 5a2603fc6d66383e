//! The wait queue: the order of service, displacement and commitment.

use leverstream_admission::{Enqueued, QueueRank, Turn, WaitQueue};
use proptest::prelude::*;

/// A queue of numbered requests.
type Queue = WaitQueue<u32, usize>;

/// Returns the rank of a route whose workspace has no rank of its own.
fn rank(route: u32) -> QueueRank {
    QueueRank { workspace: 0, route }
}

/// Adds requests of the given ranks, numbered in order, to a queue without a bound.
fn fill(queue: &mut Queue, ranks: &[u32]) -> Vec<Turn> {
    let add = |(number, route): (usize, &u32)| {
        let turn = queue.assign_turn(rank(*route), None);
        assert_eq!(queue.enqueue(turn, number, usize::MAX), Enqueued::Waits);
        turn
    };
    ranks.iter().enumerate().map(add).collect()
}

/// Takes all requests from a queue.
fn drain(queue: &mut Queue) -> Vec<usize> {
    std::iter::from_fn(|| queue.take_first()).collect()
}

/// Guards against a displaced request that is not the last of the least urgent ones.
#[test]
fn the_latest_of_the_least_urgent_is_displaced() {
    let mut queue = Queue::default();
    fill(&mut queue, &[2, 1, 2, 0]);
    let turn = queue.assign_turn(rank(1), None);
    assert_eq!(queue.enqueue(turn, 9, 4), Enqueued::Displaced(2));
    assert_eq!(drain(&mut queue), [3, 1, 9, 0]);
}

/// Guards against a queue that grows beyond its bound with requests that go last anyway.
#[test]
fn the_last_arrival_is_refused_by_a_full_queue() {
    let mut queue = Queue::default();
    fill(&mut queue, &[1, 1]);
    let turn = queue.assign_turn(rank(1), None);
    assert_eq!(queue.enqueue(turn, 9, 2), Enqueued::Full(9));
    assert_eq!(queue.count(), 2);
}

/// Guards against a request that has waited long and is then displaced or overtaken by more urgent
/// ones.
#[test]
fn a_committed_request_goes_first_and_is_never_displaced() {
    let mut queue = Queue::default();
    let turns = fill(&mut queue, &[2, 1]);
    let committed = turns[0].committed();
    assert_eq!(queue.remove(turns[0]), Some(0));
    assert_eq!(queue.requeue(committed, 0, 2), Enqueued::Waits);
    let urgent = queue.assign_turn(rank(0), None);
    assert_eq!(queue.count_ahead(urgent), 1);
    assert_eq!(queue.enqueue(urgent, 9, 2), Enqueued::Displaced(1));
    let next = queue.assign_turn(rank(0), None);
    assert_eq!(queue.enqueue(next, 10, 1), Enqueued::Full(10));
    assert_eq!(drain(&mut queue), [0, 9]);
}

/// Guards against a committed request that is refused as it returns to a queue that filled up
/// meanwhile.
#[test]
fn a_committed_request_that_returns_always_waits() {
    let mut queue = Queue::default();
    let turns = fill(&mut queue, &[2, 2]);
    drain(&mut queue);
    for (number, turn) in turns.into_iter().enumerate() {
        assert_eq!(queue.requeue(turn.committed(), number, 1), Enqueued::Waits);
    }
    assert_eq!(queue.count(), 2);
}

/// Guards against a queue that grows beyond its bound with arrivals that are committed already.
#[test]
fn the_bound_holds_for_committed_arrivals() {
    let mut queue = Queue::default();
    for number in 0..2_000 {
        let turn = queue.assign_turn(rank(0), None).committed();
        let is_within = queue.enqueue(turn, number, 512) == Enqueued::Waits;
        assert_eq!(is_within, number < 512);
    }
    assert_eq!(queue.count(), 512);
}

/// Guards against a workspace whose many requests delay those of others.
#[test]
fn workspaces_of_a_rank_are_served_in_rounds() {
    let mut queue = Queue::default();
    for (number, workspace) in [1, 1, 1, 2, 2].into_iter().enumerate() {
        let turn = queue.assign_turn(rank(0), Some(workspace));
        queue.enqueue(turn, number, usize::MAX);
    }
    assert_eq!(drain(&mut queue), [0, 3, 1, 4, 2]);
}

/// One operation on a queue.
#[derive(Clone, Debug)]
enum Operation {
    /// A request of a rank and a workspace arrives.
    Arrive(u32, u32),
    /// The waiting request at this index, modulo their number, is committed.
    Commit(usize),
    /// The waiting request at this index, modulo their number, leaves.
    Leave(usize),
    /// The first request is taken.
    Take,
}

/// Generates operations.
fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let one = prop_oneof![
        4 => (0..3_u32, 0..4_u32).prop_map(|(rank, key)| Operation::Arrive(rank, key)),
        1 => any::<usize>().prop_map(Operation::Commit),
        1 => any::<usize>().prop_map(Operation::Leave),
        2 => Just(Operation::Take),
    ];
    prop::collection::vec(one, 1..200)
}

proptest! {
    /// Guards against a place, a count or a displaced request that differs from those of a sorted
    /// list.
    #[test]
    fn queue_agrees_with_a_sorted_list(operations in operations(), limit in 1..30_usize) {
        let (mut queue, mut list) = (Queue::default(), Vec::<(Turn, usize)>::new());
        for (number, operation) in operations.into_iter().enumerate() {
            match operation {
                Operation::Arrive(route, workspace) => {
                    let turn = queue.assign_turn(rank(route), Some(workspace));
                    let enqueued = queue.enqueue(turn, number, limit);
                    if list.len() < limit {
                        prop_assert_eq!(enqueued, Enqueued::Waits);
                        list.push((turn, number));
                    } else {
                        let last = *list.last().expect("the list is full");
                        if last.0.is_committed() || last.0 < turn {
                            prop_assert_eq!(enqueued, Enqueued::Full(number));
                        } else {
                            prop_assert_eq!(enqueued, Enqueued::Displaced(last.1));
                            list.pop();
                            list.push((turn, number));
                        }
                    }
                }
                Operation::Commit(index) if !list.is_empty() => {
                    let index = index % list.len();
                    let (turn, number) = list[index];
                    prop_assert_eq!(queue.remove(turn), Some(number));
                    list[index].0 = turn.committed();
                    queue.requeue(turn.committed(), number, limit);
                }
                Operation::Leave(index) if !list.is_empty() => {
                    let (turn, number) = list.remove(index % list.len());
                    prop_assert_eq!(queue.remove(turn), Some(number));
                }
                Operation::Take => {
                    let first = (!list.is_empty()).then(|| list.remove(0).1);
                    prop_assert_eq!(queue.take_first(), first);
                }
                Operation::Commit(_) | Operation::Leave(_) => {}
            }
            list.sort_unstable_by_key(|(turn, _)| *turn);
            prop_assert_eq!(queue.count(), list.len());
            for (ahead, (turn, _)) in list.iter().enumerate() {
                prop_assert_eq!(queue.count_ahead(*turn), ahead);
            }
        }
    }
}
