//! Tests of the gateway's wait queue and settings, which need no network.

use leverstream_admission::{QueueRank, Turn};
use leverstream_gateway::{Settings, WaitQueue, Waiter, Wake};
use leverstream_workspace::WorkspaceId;

/// Returns the rank of a route whose workspace has no rank of its own.
fn rank(route: u32) -> QueueRank {
    QueueRank { workspace: 0, route }
}

/// Adds a request to a queue without a bound.
fn enqueue(queue: &WaitQueue, turn: Turn) -> Waiter {
    queue.enqueue(turn, usize::MAX).expect("the queue has no bound")
}

#[test]
fn smaller_rank_is_woken_first_and_equal_ranks_in_arrival_order() {
    let queue = WaitQueue::default();
    let turns = [rank(2), rank(0), rank(0)].map(|rank| queue.assign_turn(rank, None));
    let mut low_priority = enqueue(&queue, turns[0]);
    let mut first = enqueue(&queue, turns[1]);
    let mut second = enqueue(&queue, turns[2]);
    assert_eq!(queue.count_ahead(turns[0]), 2);
    assert_eq!(queue.count_ahead(turns[1]), 0);
    queue.wake(1);
    assert!(
        first.try_recv().is_ok() && second.try_recv().is_err() && low_priority.try_recv().is_err()
    );
    drop(second);
    assert_eq!(queue.count(), 1);
    queue.wake(1);
    assert!(low_priority.try_recv().is_ok());
}

#[test]
fn requests_of_a_flooding_workspace_queue_behind_its_own() {
    let queue = WaitQueue::default();
    let (flooding, other) = (Some(WorkspaceId(1)), Some(WorkspaceId(2)));
    let arrive = |workspace| enqueue(&queue, queue.assign_turn(rank(0), workspace));
    let mut flood: Vec<_> = (0..50).map(|_| arrive(flooding)).collect();
    let mut others: Vec<_> = (0..3).map(|_| arrive(other)).collect();
    queue.wake(6);
    let served = |list: &mut Vec<Waiter>| {
        list.iter_mut().map(|woken| usize::from(woken.try_recv().is_ok())).sum::<usize>()
    };
    assert_eq!(served(&mut others), 3);
    assert_eq!(served(&mut flood), 3);
}

#[test]
fn workspace_rank_takes_precedence_over_route_rank() {
    let queue = WaitQueue::default();
    let urgent_route =
        queue.assign_turn(QueueRank { workspace: 1, route: 0 }, Some(WorkspaceId(1)));
    let urgent_workspace =
        queue.assign_turn(QueueRank { workspace: 0, route: 9 }, Some(WorkspaceId(2)));
    assert!(urgent_workspace < urgent_route);
}

/// Guards against a queue that grows without bound, and a displaced request that waits on.
#[test]
fn urgent_request_displaces_the_least_urgent_of_a_full_queue() {
    let queue = WaitQueue::default();
    let arrive = |route| queue.enqueue(queue.assign_turn(rank(route), None), 2);
    let mut kept = arrive(2).expect("there is room");
    let mut displaced = arrive(2).expect("there is room");
    let mut urgent = arrive(0).expect("it is more urgent");
    assert_eq!(displaced.try_recv(), Ok(Wake::Displaced));
    assert!(arrive(2).is_none() && queue.count() == 2);
    queue.wake(2);
    assert_eq!((urgent.try_recv(), kept.try_recv()), (Ok(Wake::Check), Ok(Wake::Check)));
}

/// Complete settings.
const SETTINGS: &str = r#"
vm = "a"
hall = "h1"
region = "r"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
directory = "127.0.0.1:3"
peers = "127.0.0.1:4"
metrics = "127.0.0.1:5"
[peers]
seeds = ["127.0.0.1:4"]
[machine]
cores = 0.2
link_mbps = 1000
[store]
address = "127.0.0.1:6"
[retries]
ratio = 0.2
window_s = 10
slack = 62.5
[stop]
grace_s = 6
"#;

#[test]
fn complete_settings_are_accepted() {
    let settings = Settings::from_toml(SETTINGS).expect("complete settings are accepted");
    assert_eq!(settings.allowance().window_ms, 10_000);
    assert_eq!(settings.grace_ms(), 6_000);
}

#[test]
fn error_of_invalid_settings_names_the_field() {
    let cases = [
        ("callers = \"127.0.0.1:1\"", "", "callers"),
        ("slack = 62.5", "slack = \"many\"", "slack"),
        ("slack = 62.5", "slack = -1", "retries.slack"),
        ("ratio = 0.2", "ratio = nan", "retries.ratio"),
        ("window_s = 10", "window_s = 900", "retries.window_s"),
        ("hall = \"h1\"", "hall = \"h1\"\nextra = 1", "extra"),
        ("seeds = [\"127.0.0.1:4\"]", "seeds = [\"nowhere\"]", "seeds"),
    ];
    for (present, instead, named) in cases {
        let text = SETTINGS.replacen(present, instead, 1);
        let error =
            Settings::from_toml(&text).expect_err("invalid settings are refused").to_string();
        assert!(error.contains(named), "{error}");
    }
}
