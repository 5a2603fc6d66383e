//! Which accepted connections give way to others, without a network.

use std::collections::HashSet;

use leverstream_admission::connections::{
    CONNECTION_BYTES, ConnectionKey, ConnectionLimits, ConnectionTable, Phase,
};
use proptest::prelude::*;

/// A time after which a connection on which nothing moves gives way.
const LONG_MS: u64 = 2_000;

/// Creates a table for so many connections, with memory for a number of them.
fn table_of(max_connections: usize, max_held: usize) -> ConnectionTable {
    ConnectionTable::new(ConnectionLimits {
        max_connections,
        max_bytes: max_held * CONNECTION_BYTES,
    })
}

/// Opens connections one millisecond after the other, all in a phase.
fn open_all(table: &mut ConnectionTable, count: usize, phase: Phase) -> Vec<ConnectionKey> {
    let open = |at_ms: usize| {
        let key = table.open(at_ms as u64);
        table.enter(key, phase, at_ms as u64);
        key
    };
    (0..count).map(open).collect()
}

/// Guards against a new connection that is refused while others rest.
#[test]
fn the_connection_that_rests_longest_gives_way_to_a_new_one() {
    let mut table = table_of(8, 100);
    let keys = open_all(&mut table, 8, Phase::Resting);
    assert!(!table.can_accept());
    assert_eq!(table.make_room_for_new(10), [keys[0]]);
    assert!(!table.can_accept(), "the connection is not closed yet");
    table.close(keys[0]);
    assert!(table.can_accept());
}

/// Guards against an answer that is cut after a pause in which a lost packet is sent again.
#[test]
fn an_answer_may_wait_longer_than_a_request() {
    let mut table = table_of(8, 100);
    open_all(&mut table, 7, Phase::Writing);
    let key = table.open(0);
    table.enter(key, Phase::Body, 500);
    assert_eq!(table.make_room_for_new(800), [key]);
}

/// Guards against a table full of stalled requests at which nobody else is accepted.
#[test]
fn requests_that_lag_behind_give_way_where_no_connection_rests() {
    for phase in [Phase::Head, Phase::Body, Phase::Writing] {
        let mut table = table_of(8, 100);
        let keys = open_all(&mut table, 8, phase);
        assert!(table.make_room_for_new(20).is_empty(), "all have just begun");
        assert_eq!(table.make_room_for_new(LONG_MS), [keys[0]]);
    }
}

/// Guards against a request that is broken off while a backend server works on it.
#[test]
fn connections_that_are_served_never_give_way() {
    let mut table = table_of(8, 100);
    open_all(&mut table, 8, Phase::Serving);
    assert!(table.make_room_for_new(LONG_MS).is_empty());
    assert!(table.make_room_for_request(LONG_MS).is_empty());
    assert!(table.relieve(usize::MAX, LONG_MS).is_empty());
}

/// Guards against a connection with a request that gives way to one that has sent nothing.
#[test]
fn a_new_connection_displaces_no_request_while_there_are_spare_places() {
    let mut table = table_of(16, 100);
    open_all(&mut table, 14, Phase::Body);
    assert!(table.make_room_for_new(LONG_MS).is_empty());
    let new = table.open(LONG_MS);
    table.enter(new, Phase::Head, LONG_MS);
    assert_eq!(table.make_room_for_request(LONG_MS).len(), 1);
}

/// Guards against the choice of a body that arrives at a usual rate in place of one that trickles.
#[test]
fn of_two_bodies_the_slower_one_gives_way() {
    let mut table = table_of(8, 100);
    let keys = open_all(&mut table, 2, Phase::Body);
    for key in &keys {
        table.set_leased(*key, 1_000);
    }
    table.note_moved(keys[0], 800_000);
    table.note_moved(keys[1], 100);
    assert_eq!(table.relieve(1, LONG_MS), [keys[1]]);
    assert!(table.relieve(1, LONG_MS).is_empty(), "the other one is not behind");
}

/// Guards against one connection that takes the memory of all.
#[test]
fn what_a_connection_holds_displaces_others_and_then_itself() {
    let mut table = table_of(8, 4);
    let keys = open_all(&mut table, 3, Phase::Resting);
    table.enter(keys[2], Phase::Serving, 5);
    assert!(table.hold(keys[2], CONNECTION_BYTES, 5).is_empty());
    assert_eq!(table.hold(keys[2], 2 * CONNECTION_BYTES, 5), [keys[0]]);
    assert_eq!(table.hold(keys[2], 9 * CONNECTION_BYTES, 5), [keys[1], keys[2]]);
    assert_eq!(table.held_bytes(), 0);
}

/// A step on a random connection.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller connects.
    Connect,
    /// A connection enters a phase.
    Enter(prop::sample::Index, Phase),
    /// Bytes are moved on a connection.
    Move(prop::sample::Index, usize),
    /// A connection holds bytes.
    Hold(prop::sample::Index, usize),
    /// A body or an answer takes memory.
    Lease(prop::sample::Index, usize),
    /// Others need memory.
    Relieve(usize),
    /// A caller leaves.
    Close(prop::sample::Index),
    /// Time passes.
    Wait(u64),
}

/// Returns any step.
fn any_step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    let phase = prop_oneof![
        Just(Phase::Resting),
        Just(Phase::Head),
        Just(Phase::Body),
        Just(Phase::Serving),
        Just(Phase::Writing),
    ];
    prop_oneof![
        4 => Just(Step::Connect),
        4 => (index(), phase).prop_map(|(at, phase)| Step::Enter(at, phase)),
        1 => (index(), 1_usize..500_000).prop_map(|(at, bytes)| Step::Move(at, bytes)),
        3 => (index(), 0_usize..5 * CONNECTION_BYTES).prop_map(|(at, bytes)| Step::Hold(at, bytes)),
        1 => (index(), 1_usize..500_000).prop_map(|(at, bytes)| Step::Lease(at, bytes)),
        1 => (1_usize..1_000_000).prop_map(Step::Relieve),
        1 => index().prop_map(Step::Close),
        2 => (0_u64..600).prop_map(Step::Wait),
    ]
}

/// Connections and the time, as a listener has them.
struct Model {
    /// The table under test.
    table: ConnectionTable,
    /// Its limits.
    limits: ConnectionLimits,
    /// The open connections.
    open: Vec<ConnectionKey>,
    /// The present time.
    now_ms: u64,
}

impl Model {
    /// Closes connections, none of which is served unless it is the one given.
    fn close(&mut self, evicted: &[ConnectionKey], own: Option<ConnectionKey>) {
        let distinct: HashSet<_> = evicted.iter().collect();
        assert_eq!(distinct.len(), evicted.len(), "a connection is closed twice");
        for key in evicted {
            assert!(Some(*key) == own || self.table.phase(*key) != Phase::Serving);
            self.open.retain(|open| open != key);
            self.table.close(*key);
        }
        assert!(self.table.held_bytes() <= self.limits.max_bytes);
        assert!(self.open.len() <= self.limits.max_connections);
    }

    /// Accepts a connection if there is room or others give way.
    fn connect(&mut self) -> Option<ConnectionKey> {
        let evicted = self.table.make_room_for_new(self.now_ms);
        self.close(&evicted, None);
        self.table.can_accept().then(|| {
            let key = self.table.open(self.now_ms);
            self.open.push(key);
            key
        })
    }

    /// Makes a step.
    fn step(&mut self, step: Step) {
        let key_at = |at: prop::sample::Index| (!self.open.is_empty()).then(|| *at.get(&self.open));
        match step {
            Step::Connect => drop(self.connect()),
            Step::Wait(ms) => self.now_ms += ms,
            Step::Relieve(bytes) => {
                let relieved = self.table.relieve(bytes, self.now_ms);
                let is_served = |key: &ConnectionKey| self.table.phase(*key) == Phase::Serving;
                assert!(!relieved.iter().any(is_served));
            }
            Step::Enter(at, phase) => {
                let Some(key) = key_at(at) else { return };
                self.table.enter(key, phase, self.now_ms);
                if phase == Phase::Head {
                    let evicted = self.table.make_room_for_request(self.now_ms);
                    self.close(&evicted, None);
                }
            }
            Step::Hold(at, bytes) => {
                let Some(key) = key_at(at) else { return };
                let evicted = self.table.hold(key, bytes, self.now_ms);
                self.close(&evicted, Some(key));
            }
            Step::Move(at, bytes) => {
                if let Some(key) = key_at(at) {
                    self.table.note_moved(key, bytes);
                }
            }
            Step::Lease(at, bytes) => {
                if let Some(key) = key_at(at) {
                    self.table.set_leased(key, bytes);
                }
            }
            Step::Close(at) => {
                if let Some(key) = key_at(at) {
                    self.close(&[key], Some(key));
                }
            }
        }
    }
}

proptest! {
    /// Guards against connections that hold more than the limit together, against one that is closed while its request is
    /// served, and against ordinary callers that are never accepted: after any steps, a caller gets a place as soon as all
    /// requests that are served have ended, however many others stay as they are.
    #[test]
    fn connections_stay_within_the_limits_and_ordinary_requests_get_a_place(
        steps in proptest::collection::vec(any_step(), 1..400),
        max_connections in 1_usize..40,
        max_held in 1_usize..40,
    ) {
        let max_bytes = max_held * CONNECTION_BYTES;
        let limits = ConnectionLimits { max_connections, max_bytes };
        let table = ConnectionTable::new(limits);
        let mut model = Model { table, limits, open: Vec::new(), now_ms: 0 };
        steps.into_iter().for_each(|step| model.step(step));
        let open = model.open.clone();
        for key in open {
            if model.table.phase(key) == Phase::Serving {
                model.close(&[key], Some(key));
            }
        }
        // All others stay as they are, and never move another byte.
        model.now_ms += 10_000;
        let key = model.connect().expect("an ordinary caller is accepted");
        for phase in [Phase::Head, Phase::Body, Phase::Serving, Phase::Resting] {
            model.table.enter(key, phase, model.now_ms);
            let evicted = model.table.make_room_for_request(model.now_ms);
            prop_assert!(!evicted.contains(&key));
            model.close(&evicted, None);
            model.now_ms += 1;
        }
    }
}
