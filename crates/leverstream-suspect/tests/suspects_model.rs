//! Explores all orders of events at three VMs that exchange reports about two requests.
//!
//! The events are ends, a healthy answer, reports that are lost (another takes their place),
//! delayed or duplicated, one process restart, and a store that accepts or rejects a refused
//! request. In every state, no VM refuses a request under which fewer than three backend servers
//! have ended since its healthy answer, and all VMs agree once they have exchanged reports.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use leverstream_suspect::{
    ENDS_TO_REFUSE, IncarnationDigest, RequestDigest, SuspectReport, Suspects, Verdict,
};

/// The number of VMs.
const VMS: usize = 3;

/// The largest number of backend servers that end under each request.
const ENDS: [u64; 2] = [3, 1];

/// A state of the system.
#[derive(Clone)]
struct State {
    /// The set of each VM.
    vms: Vec<Suspects>,
    /// The number of ends under each request.
    ended: [u64; 2],
    /// Whether a healthy answer has arrived.
    has_cleared: bool,
    /// Whether a process has restarted.
    has_restarted: bool,
    /// The datagram in in_flight, if there is one.
    in_flight: Option<Vec<SuspectReport>>,
    /// The reports in the store.
    store: Vec<SuspectReport>,
}

/// The identity of a state.
type Key =
    (Vec<Vec<SuspectReport>>, [u64; 2], bool, bool, Option<Vec<SuspectReport>>, Vec<SuspectReport>);

impl State {
    /// The initial state.
    fn initial() -> State {
        State {
            vms: (0..VMS).map(|_| Suspects::open(ENDS_TO_REFUSE)).collect(),
            ended: [0, 0],
            has_cleared: false,
            has_restarted: false,
            in_flight: None,
            store: Vec::new(),
        }
    }

    /// The identity of this state.
    fn key(&self) -> Key {
        (
            self.vms.iter().map(known).collect(),
            self.ended,
            self.has_cleared,
            self.has_restarted,
            self.in_flight.clone(),
            self.store.clone(),
        )
    }

    /// All successor states.
    fn next(&self) -> Vec<State> {
        let mut out = Vec::new();
        for vm in 0..VMS {
            for request in 0..2 {
                out.extend(self.end(vm, request));
                out.extend(self.clear(vm, request));
            }
            out.push(State { in_flight: Some(known(&self.vms[vm])), ..self.clone() });
            out.extend(self.restart(vm));
            out.extend(self.deliver(vm));
        }
        out
    }

    /// A backend server ends under a request that a VM sent; the store accepts the refused request
    /// or not.
    fn end(&self, vm: usize, request: usize) -> Vec<State> {
        let digest = RequestDigest(request as u128);
        let is_over = self.ended[request] == ENDS[request];
        if is_over || self.vms[vm].verdict(digest) == Verdict::Refused {
            return Vec::new();
        }
        let mut after = self.clone();
        after.vms[vm].record_end(digest, IncarnationDigest(self.ended[request]), 0);
        after.ended[request] += 1;
        let mut out = vec![after.clone()];
        if after.vms[vm].verdict(digest) == Verdict::Refused {
            after.store.extend(after.vms[vm].report(digest, 0));
            out.push(after);
        }
        out
    }

    /// A VM sees a healthy answer, at most once.
    fn clear(&self, vm: usize, request: usize) -> Option<State> {
        let mut after = self.clone();
        after.has_cleared = true;
        let digest = RequestDigest(request as u128);
        (!self.has_cleared && after.vms[vm].record_healthy_answer(digest, 0)).then_some(after)
    }

    /// A VM's process restarts and reads the store, at most once.
    fn restart(&self, vm: usize) -> Option<State> {
        let mut after = self.clone();
        after.has_restarted = true;
        after.vms[vm] = Suspects::open(ENDS_TO_REFUSE);
        self.store.iter().for_each(|report| {
            after.vms[vm].merge(report, 0);
        });
        (!self.has_restarted).then_some(after)
    }

    /// The datagram reaches a VM and stays in in_flight, as it may be duplicated.
    fn deliver(&self, vm: usize) -> Option<State> {
        let mut after = self.clone();
        self.in_flight.as_ref()?.iter().for_each(|report| {
            after.vms[vm].merge(report, 0);
        });
        Some(after)
    }

    /// Asserts the invariants.
    fn check(&self) {
        for suspects in &self.vms {
            for request in 0..2 {
                if suspects.verdict(RequestDigest(request as u128)) == Verdict::Refused {
                    let ends = self.ended[request];
                    assert!(ends >= ENDS_TO_REFUSE as u64, "{ends} ended under {request}");
                }
            }
        }
        let mut agreed = self.vms.clone();
        for _ in 0..VMS {
            let all: Vec<SuspectReport> = agreed.iter().flat_map(known).collect();
            for suspects in &mut agreed {
                all.iter().for_each(|report| {
                    suspects.merge(report, 0);
                });
            }
        }
        assert!(agreed.iter().all(|one| one.fingerprint() == agreed[0].fingerprint()));
    }
}

/// All reports of a VM.
fn known(suspects: &Suspects) -> Vec<SuspectReport> {
    (0..2).filter_map(|request| suspects.report(RequestDigest(request), 0)).collect()
}

#[test]
fn no_order_of_events_refuses_a_request_for_too_few_ends_and_all_vms_agree() {
    let mut seen: HashSet<u64> = HashSet::new();
    let mut open = VecDeque::from([State::initial()]);
    while let Some(state) = open.pop_front() {
        let mut hasher = DefaultHasher::new();
        state.key().hash(&mut hasher);
        if !seen.insert(hasher.finish()) {
            continue;
        }
        state.check();
        open.extend(state.next());
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 10_000, "{} states", seen.len());
}
