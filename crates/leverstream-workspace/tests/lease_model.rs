//! Model checks all orders of events in a chain of three VMs that renew their leases from each
//! other while a key is removed.
//!
//! The first VM polls the store, the second polls the first, the third polls the second. A poll may
//! be answered, and its answer read, at any later time or never, as when a VM is frozen or a link
//! is slow. A VM may learn of the removal at any time after it, or not at all. Time advances in
//! steps of half a second.

use std::collections::HashSet;

use leverstream_workspace::Lease;

/// A step of time, in milliseconds; equal to the safety margin of a lease.
const STEP_MS: u64 = 500;

/// How long a removed key may go on working, in steps.
const REVOKE_STEPS: u64 = 3;

/// The number of steps in each order of events.
const LAST_STEP: u64 = 5;

/// The latest step at which the key is removed.
const LAST_REMOVAL: u64 = 1;

/// The number of VMs in the chain.
const VMS: usize = 3;

/// The state of a VM's poll of the store or of the VM before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Poll {
    /// No poll is pending.
    None,
    /// The poll is sent; holds its step.
    Sent(u64),
    /// The poll is answered and the answer not read yet; holds the step of the poll, the age of the
    /// other side's knowledge, and whether the other side knew of the removal.
    Answered(u64, u64, bool),
}

/// The state of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vm {
    /// The step as of which it knows the configuration, according to its lease.
    as_of: Option<u64>,
    /// Whether it knows of the removal.
    knows_removal: bool,
    /// The state of its poll.
    poll: Poll,
}

/// The state of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    /// The current step.
    now: u64,
    /// The step at which the store accepted the removal.
    removed: Option<u64>,
    /// The VMs, in the order of the chain.
    vms: [Vm; VMS],
}

/// Returns the lease of a VM that knows the configuration as of a step.
fn lease(as_of: Option<u64>) -> Lease {
    let mut lease = Lease::open(REVOKE_STEPS * STEP_MS);
    if let Some(as_of) = as_of {
        lease.renew(as_of * STEP_MS, 0);
    }
    lease
}

impl Fleet {
    /// Returns whether some VM accepts the removed key for too long.
    fn is_broken(&self) -> bool {
        let is_late = self.removed.is_some_and(|removed| self.now > removed + REVOKE_STEPS);
        let serves = |vm: &Vm| !vm.knows_removal && lease(vm.as_of).holds(self.now * STEP_MS);
        is_late && self.vms.iter().any(serves)
    }

    /// Returns all possible next states.
    fn next(&self) -> Vec<Fleet> {
        let mut next = Vec::new();
        if self.now < LAST_STEP {
            next.push(Fleet { now: self.now + 1, ..*self });
        }
        if self.removed.is_none() && self.now <= LAST_REMOVAL {
            next.push(Fleet { removed: Some(self.now), ..*self });
        }
        for index in 0..VMS {
            let vm = self.vms[index];
            let source_knows_removal = match index {
                0 => self.removed.is_some(),
                _ => self.vms[index - 1].knows_removal,
            };
            if source_knows_removal && !vm.knows_removal {
                next.push(self.with(index, Vm { knows_removal: true, ..vm }));
            }
            match vm.poll {
                Poll::None => next.push(self.with(index, Vm { poll: Poll::Sent(self.now), ..vm })),
                Poll::Sent(asked) => {
                    next.push(self.with(index, Vm { poll: Poll::None, ..vm }));
                    if let Some(age) = self.source_age(index) {
                        let poll = Poll::Answered(asked, age, source_knows_removal);
                        next.push(self.with(index, Vm { poll, ..vm }));
                    }
                }
                Poll::Answered(asked, age, knows_removal) => {
                    next.push(self.with(index, vm.read(asked, age, knows_removal, index)));
                }
            }
        }
        next
    }

    /// Returns the age of the knowledge that answers a VM's poll; the store's is always 0.
    fn source_age(&self, index: usize) -> Option<u64> {
        let Some(source) = index.checked_sub(1) else { return Some(0) };
        let age_ms = lease(self.vms[source].as_of).age_ms(self.now * STEP_MS)?;
        Some(age_ms / STEP_MS)
    }

    /// Returns the fleet with one VM changed.
    fn with(&self, index: usize, vm: Vm) -> Fleet {
        let mut vms = self.vms;
        vms[index] = vm;
        Fleet { vms, ..*self }
    }
}

impl Vm {
    /// Reads an answer. The store's answer carries the configuration. Another VM's answer counts
    /// only if this VM knows as much.
    fn read(self, asked: u64, age: u64, knows_removal: bool, index: usize) -> Vm {
        let vm = Vm {
            poll: Poll::None,
            knows_removal: self.knows_removal || (knows_removal && index == 0),
            ..self
        };
        if knows_removal && !vm.knows_removal {
            return vm;
        }
        let mut renewed = lease(self.as_of);
        // Steps before the first are not part of the model.
        if asked >= age && renewed.renew(asked * STEP_MS, age * STEP_MS) {
            return Vm { as_of: Some(asked - age), ..vm };
        }
        vm
    }
}

#[test]
fn no_order_of_events_keeps_a_removed_key_working_past_the_deadline() {
    let vm = Vm { as_of: None, knows_removal: false, poll: Poll::None };
    let first = Fleet { now: 0, removed: None, vms: [vm; VMS] };
    let mut seen = HashSet::from([first]);
    let mut unexplored = vec![first];
    while let Some(fleet) = unexplored.pop() {
        assert!(!fleet.is_broken(), "{fleet:?}");
        unexplored.extend(fleet.next().into_iter().filter(|next| seen.insert(*next)));
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 100_000, "{} states are too few to mean anything", seen.len());
}
