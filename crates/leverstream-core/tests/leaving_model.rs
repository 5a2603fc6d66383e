//! Checks all sequences of up to five events about two incarnations of one backend server, from its
//! answers, the platform and another VM.
//!
//! In every state, no incarnation is in service if it or a later one has left or ended by any
//! event; and a later one is in service if the platform listed it as ready last.

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Delta, Fleet};

/// The maximum number of events in a sequence.
const MAX_EVENTS: usize = 5;

/// An event about an incarnation, identified by its start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The incarnation announces that it leaves, in an answer or through another VM.
    Leaves(u64),
    /// Another incarnation answers at its address.
    Ended(u64),
    /// The platform lists it as ready.
    Ready(u64),
    /// The platform lists it as leaving.
    Leaving(u64),
    /// The platform no with_event lists the backend server.
    Gone,
    /// Another VM sends a whole list with this incarnation as ready, and a notice that it leaves.
    Listed(u64),
}

/// All events.
const EVENTS: [Event; 11] = [
    Event::Leaves(1),
    Event::Leaves(2),
    Event::Ended(1),
    Event::Ended(2),
    Event::Ready(1),
    Event::Ready(2),
    Event::Leaving(1),
    Event::Leaving(2),
    Event::Gone,
    Event::Listed(1),
    Event::Listed(2),
];

/// A backend server of the service `shop`.
fn backend(born_ms: u64, is_leaving: bool) -> Backend {
    Backend {
        instance: "a".into(),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots: 2,
        is_leaving,
        born_ms,
        cold_left_ms: 0,
    }
}

/// An incarnation.
fn start(born_ms: u64) -> Incarnation {
    Incarnation { instance: "a".into(), born_ms }
}

/// Applies an event; revisions increase.
fn apply(fleet: &mut Fleet, event: Event, at: u64) {
    match event {
        Event::Leaves(born_ms) => {
            fleet.note_leaving(&start(born_ms), at);
        }
        Event::Ended(born_ms) => {
            fleet.end_incarnation(&start(born_ms));
        }
        Event::Ready(born_ms) => {
            fleet.set(backend(born_ms, false), at, at);
        }
        Event::Leaving(born_ms) => {
            fleet.set(backend(born_ms, true), at, at);
        }
        Event::Gone => {
            fleet.remove("a", at);
        }
        Event::Listed(born_ms) => {
            let set = vec![backend(born_ms, false)];
            let leaving = vec![start(born_ms)];
            let delta = Delta { revision: at, is_whole: true, set, leaving, ..Delta::default() };
            fleet.apply(delta, at);
        }
    }
}

/// Returns the latest incarnation that left or ended by any event; 0 if there is none.
fn last_unavailable(events: &[Event]) -> u64 {
    let born = events.iter().map(|event| match event {
        Event::Leaves(born) | Event::Ended(born) | Event::Leaving(born) | Event::Listed(born) => {
            *born
        }
        Event::Ready(_) | Event::Gone => 0,
    });
    born.max().unwrap_or(0)
}

/// Checks the state after a sequence of events.
fn check(events: &[Event]) {
    let mut fleet = Fleet::default();
    events.iter().enumerate().for_each(|(at, event)| apply(&mut fleet, *event, at as u64 + 1));
    let serving: Vec<u64> =
        fleet.keys_of_service("shop").iter().map(|key| fleet.incarnation(*key).born_ms).collect();
    let unavailable = last_unavailable(events);
    assert!(
        serving.iter().all(|born_ms| *born_ms > unavailable),
        "{events:?}: {serving:?} in service"
    );
    if let Some(Event::Ready(born_ms)) = events.last()
        && *born_ms > unavailable
        && !events.contains(&Event::Ready(2))
    {
        assert_eq!(serving, [*born_ms], "{events:?}");
    }
    if events.last() == Some(&Event::Ready(2)) && unavailable < 2 {
        assert_eq!(serving, [2], "{events:?}");
    }
}

#[test]
fn no_order_of_events_undoes_that_an_incarnation_leaves() {
    let sequences = extend(&mut Vec::new());
    println!("{sequences} sequences");
}

/// Extends a sequence with every possible event; returns the number of sequences checked.
fn extend(events: &mut Vec<Event>) -> u64 {
    if events.len() == MAX_EVENTS {
        return 0;
    }
    let with_event = |event: Event| {
        events.push(event);
        check(events);
        let count = 1 + extend(events);
        events.pop();
        count
    };
    EVENTS.into_iter().map(with_event).sum()
}
