//! All orders of events for a chain of three VMs that renew their leases from each other, while a key is removed.
//!
//! The first asks the store, the second the first, the third the second. A question may be answered, and its answer
//! read, at any later time or never, as when a VM stands still or a link is slow; a VM may hear of the removal at any
//! time after it, or not at all. Time goes in steps of half a second.

use std::collections::HashSet;

use leverstream_workspace::Lease;

/// A step of time, in milliseconds; also what a lease keeps back.
const STEP_MS: u64 = 500;

/// How long a removed key may go on working, in steps.
const REVOKE_STEPS: u64 = 3;

/// How long each order of events goes on, in steps.
const LAST_STEP: u64 = 5;

/// The latest step at which the key is removed.
const LAST_REMOVAL: u64 = 1;

/// The VMs of the chain.
const VMS: usize = 3;

/// What a VM waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Ask {
    /// Nothing.
    Nothing,
    /// An answer to a question that went out at a step.
    Asked(u64),
    /// That it reads an answer that was given: when it was asked, how old the other's knowledge was, and whether that
    /// knew of the removal.
    Answered(u64, u64, bool),
}

/// One VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vm {
    /// As of which step it knows the configuration, as its lease has it.
    as_of: Option<u64>,
    /// Whether it knows of the removal.
    knows: bool,
    /// What it waits for.
    ask: Ask,
}

/// The fleet at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    /// The step.
    now: u64,
    /// At which step the store accepted the removal.
    removed: Option<u64>,
    /// The VMs, as in the chain.
    vms: [Vm; VMS],
}

/// The lease of a VM that knows the configuration as of a step.
fn lease(as_of: Option<u64>) -> Lease {
    let mut lease = Lease::open(REVOKE_STEPS * STEP_MS);
    if let Some(as_of) = as_of {
        lease.renew(as_of * STEP_MS, 0);
    }
    lease
}

impl Fleet {
    /// Tells whether some VM serves a key for too long.
    fn is_broken(&self) -> bool {
        let is_late = self.removed.is_some_and(|removed| self.now > removed + REVOKE_STEPS);
        let serves = |vm: &Vm| !vm.knows && lease(vm.as_of).holds(self.now * STEP_MS);
        is_late && self.vms.iter().any(serves)
    }

    /// All that may happen next.
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
            let source_knows = match index {
                0 => self.removed.is_some(),
                _ => self.vms[index - 1].knows,
            };
            if source_knows && !vm.knows {
                next.push(self.with(index, Vm { knows: true, ..vm }));
            }
            match vm.ask {
                Ask::Nothing => next.push(self.with(index, Vm { ask: Ask::Asked(self.now), ..vm })),
                Ask::Asked(asked) => {
                    next.push(self.with(index, Vm { ask: Ask::Nothing, ..vm }));
                    if let Some(age) = self.source_age(index) {
                        let ask = Ask::Answered(asked, age, source_knows);
                        next.push(self.with(index, Vm { ask, ..vm }));
                    }
                }
                Ask::Answered(asked, age, knows) => {
                    next.push(self.with(index, vm.read(asked, age, knows, index)));
                }
            }
        }
        next
    }

    /// How old the knowledge of whom a VM asks is: the store's has no age.
    fn source_age(&self, index: usize) -> Option<u64> {
        let Some(source) = index.checked_sub(1) else { return Some(0) };
        let age_ms = lease(self.vms[source].as_of).age_ms(self.now * STEP_MS)?;
        Some(age_ms / STEP_MS)
    }

    /// The fleet with one VM changed.
    fn with(&self, index: usize, vm: Vm) -> Fleet {
        let mut vms = self.vms;
        vms[index] = vm;
        Fleet { vms, ..*self }
    }
}

impl Vm {
    /// Reads an answer. The store's brings the configuration; another VM's counts only if this one knows as much.
    fn read(self, asked: u64, age: u64, knows: bool, index: usize) -> Vm {
        let vm = Vm { ask: Ask::Nothing, knows: self.knows || (knows && index == 0), ..self };
        if knows && !vm.knows {
            return vm;
        }
        let mut renewed = lease(self.as_of);
        // Steps before the first are out of the model.
        if asked >= age && renewed.renew(asked * STEP_MS, age * STEP_MS) {
            return Vm { as_of: Some(asked - age), ..vm };
        }
        vm
    }
}

#[test]
fn no_order_of_events_lets_a_removed_key_work_for_too_long() {
    let vm = Vm { as_of: None, knows: false, ask: Ask::Nothing };
    let first = Fleet { now: 0, removed: None, vms: [vm; VMS] };
    let mut seen = HashSet::from([first]);
    let mut open = vec![first];
    while let Some(fleet) = open.pop() {
        assert!(!fleet.is_broken(), "{fleet:?}");
        open.extend(fleet.next().into_iter().filter(|next| seen.insert(*next)));
    }
    println!("{} states", seen.len());
    assert!(seen.len() > 100_000, "{} states are too few to mean anything", seen.len());
}
