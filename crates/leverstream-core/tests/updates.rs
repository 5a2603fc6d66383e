//! Updates of the backend servers from the store and from other VMs, in any order and with any delay.

use std::collections::BTreeMap;

use leverstream_catalog::Backend;
use leverstream_core::{Delta, EntryChange, Fleet, StoreUpdate};
use proptest::prelude::*;

/// The number of instances.
const INSTANCES: usize = 4;

/// The number of VMs.
const VMS: usize = 3;

/// The number of cases of each property test, of which the faults that they guard against take up to 1,839.
const CASES: u32 = 20_000;

/// Returns the number of cases: [`CASES`], or more if the environment asks for more.
fn cases() -> u32 {
    let requested = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    requested.unwrap_or(CASES).max(CASES)
}

/// More removals than a VM remembers.
const MORE_REMOVALS_THAN_KEPT: usize = 1_100;

/// The slots of an entry that is changed back.
const USUAL_SLOTS: u32 = 1_000;

/// Until when a VM holds back removals, in milliseconds.
const HOLD_UNTIL_MS: u64 = 1_000;

/// The name of an instance.
fn name(number: usize) -> String {
    format!("i-{number}")
}

/// A backend server, ready or leaving, whose slots tell its revision.
fn backend(number: usize, slots: u32) -> Backend {
    Backend {
        instance: name(number),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots,
        is_leaving: false,
        born_ms: 0,
        cold_left_ms: 0,
    }
}

/// The store: its history, each revision with the instance that changed and its slots; none if it was removed.
#[derive(Debug, Default)]
struct Store {
    /// The changes.
    history: Vec<(usize, Option<u32>)>,
}

impl Store {
    /// The present revision.
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    /// The entries as of a revision.
    fn entries(&self, revision: u64) -> BTreeMap<usize, u32> {
        let mut entries = BTreeMap::new();
        for (number, slots) in &self.history[..revision as usize] {
            match slots {
                Some(slots) => entries.insert(*number, *slots),
                None => entries.remove(number),
            };
        }
        entries
    }

    /// Changes an instance, or removes it.
    fn change(&mut self, number: usize, is_removed: bool) {
        let slots = self.revision() as u32 + 1;
        let is_listed = self.entries(self.revision()).contains_key(&number);
        if !is_removed || is_listed {
            self.history.push((number, (!is_removed).then_some(slots)));
        }
    }

    /// Changes an instance to the same entry each time.
    fn change_back(&mut self, number: usize) {
        self.history.push((number, Some(USUAL_SLOTS)));
    }

    /// The answer to a list.
    fn list(&self) -> StoreUpdate {
        let entries = self.entries(self.revision());
        let set = entries
            .iter()
            .map(|(number, slots)| EntryChange::Set(Box::new(backend(*number, *slots))));
        StoreUpdate { revision: self.revision(), is_whole: true, changes: set.collect() }
    }

    /// The answer to a watch from a revision.
    fn watch(&self, from: u64) -> StoreUpdate {
        let change = |(number, slots): &(usize, Option<u32>)| match slots {
            Some(slots) => EntryChange::Set(Box::new(backend(*number, *slots))),
            None => EntryChange::Removed { instance: name(*number), may_return: true },
        };
        let changes = self.history[from as usize..].iter().map(change).collect();
        StoreUpdate { revision: self.revision(), is_whole: false, changes }
    }
}

/// An answer under way to a VM.
#[derive(Clone, Debug)]
enum Answer {
    /// Of the store.
    Update(StoreUpdate),
    /// Of another VM.
    Delta(Delta),
    /// The report of another VM that nothing has changed after the first revision up to the second.
    Report(u64, u64),
}

/// A step of a run.
#[derive(Clone, Debug)]
enum Step {
    /// The store changes an instance.
    Change(usize),
    /// The store removes an instance.
    Remove(usize),
    /// A VM lists the entries.
    List(usize),
    /// A VM reads the changes since its revision.
    Watch(usize),
    /// A VM fetches from another what is newer.
    Fetch(usize, usize),
    /// A VM reports to another what it knows.
    Report(usize, usize),
    /// One of the answers under way arrives.
    Arrive(usize),
    /// The store changes an instance back to its usual entry.
    ChangeBack(usize),
    /// A VM starts anew, without knowledge.
    Restart(usize),
    /// A VM holds back removals.
    Hold(usize),
    /// A VM applies the removals that it holds back.
    Release(usize),
}

/// A random step.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..INSTANCES).prop_map(Step::Change),
        2 => (0..INSTANCES).prop_map(Step::Remove),
        1 => (0..VMS).prop_map(Step::List),
        2 => (0..VMS).prop_map(Step::Watch),
        2 => (0..VMS, 0..VMS).prop_map(|(to, from)| Step::Fetch(to, from)),
        1 => (0..VMS, 0..VMS).prop_map(|(to, from)| Step::Report(to, from)),
        5 => (0_usize..8).prop_map(Step::Arrive),
        1 => (0..INSTANCES).prop_map(Step::ChangeBack),
        1 => (0..VMS).prop_map(Step::Restart),
    ]
}

/// A random step, in which VMs may hold back removals.
fn step_with_holds() -> impl Strategy<Value = Step> {
    prop_oneof![
        16 => step(),
        1 => (0..VMS).prop_map(Step::Hold),
        2 => (0..VMS).prop_map(Step::Release),
    ]
}

/// The entries that a VM holds.
fn held(fleet: &Fleet) -> BTreeMap<usize, u32> {
    let slots = |number: usize| Some((number, fleet.backend(&name(number))?.slots));
    (0..INSTANCES).filter_map(slots).collect()
}

/// A fleet of VMs, its store and the answers under way.
#[derive(Default)]
struct Run {
    /// The store.
    store: Store,
    /// What each VM knows.
    vms: [Fleet; VMS],
    /// Whether each VM may hold back a removal.
    has_hold: [bool; VMS],
    /// The answers under way, with the VM that each is for.
    under_way: Vec<(usize, Answer)>,
}

impl Run {
    /// Applies one step.
    fn apply(&mut self, step: &Step) {
        let Run { store, vms, has_hold, under_way } = self;
        match *step {
            Step::Change(number) => store.change(number, false),
            Step::Remove(number) => store.change(number, true),
            Step::ChangeBack(number) => store.change_back(number),
            Step::List(vm) => under_way.push((vm, Answer::Update(store.list()))),
            Step::Watch(vm) => {
                under_way.push((vm, Answer::Update(store.watch(vms[vm].revision()))));
            }
            Step::Fetch(to, from) => {
                let delta = vms[from].delta_since(vms[to].revision(), 0);
                under_way.push((to, Answer::Delta(delta)));
            }
            Step::Report(to, from) => {
                let (changed, known) = (vms[from].changed_revision(), vms[from].revision());
                under_way.push((to, Answer::Report(changed, known)));
            }
            Step::Arrive(index) if index < under_way.len() => {
                let (vm, answer) = under_way.remove(index);
                apply(&mut vms[vm], answer);
            }
            Step::Arrive(_) => {}
            Step::Restart(vm) => {
                vms[vm] = Fleet::default();
                has_hold[vm] = false;
                // Answers end with the connections of the process that awaits them.
                under_way.retain(|(to, _)| *to != vm);
            }
            Step::Hold(vm) => {
                vms[vm].hold_removals(HOLD_UNTIL_MS);
                has_hold[vm] = true;
            }
            Step::Release(vm) => {
                vms[vm].release_held(HOLD_UNTIL_MS);
            }
        }
    }

    /// Checks that each VM holds what the store held at the revision that the VM counts as knowing.
    fn check(&self) -> Result<(), TestCaseError> {
        for (vm, has_hold) in self.vms.iter().zip(self.has_hold) {
            if !has_hold {
                prop_assert_eq!(held(vm), self.store.entries(vm.revision()));
            }
        }
        Ok(())
    }

    /// Applies all removals that are held back, and checks each VM.
    fn release_and_check(mut self) -> Result<(), TestCaseError> {
        for vm in &mut self.vms {
            vm.release_held(HOLD_UNTIL_MS);
        }
        self.has_hold = [false; VMS];
        self.check()
    }
}

/// Applies an answer to a VM.
fn apply(fleet: &mut Fleet, answer: Answer) {
    match answer {
        Answer::Update(update) => {
            fleet.apply_update(update, 0);
        }
        Answer::Delta(delta) => {
            fleet.apply(delta, 0);
        }
        Answer::Report(changed, known) => {
            fleet.confirm_unchanged(changed, known);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    /// Guards against a list that arrives late and brings back what has gone since, while the number of the newer changes
    /// stays, and against changes between two revisions that leave out a removal: whatever the order and the delay of answers,
    /// a VM that counts as knowing a revision holds what the store held.
    #[test]
    fn a_vm_holds_what_the_store_held_at_its_revision(steps in prop::collection::vec(step(), 1..60)) {
        let mut run = Run::default();
        for step in &steps {
            run.apply(step);
            run.check()?;
        }
    }

    /// Guards against the same where removals are held back after an outage of the store.
    #[test]
    fn a_vm_holds_what_the_store_held_once_held_removals_are_applied(
        steps in prop::collection::vec(step_with_holds(), 1..60),
    ) {
        let mut run = Run::default();
        for step in &steps {
            run.apply(step);
            run.check()?;
        }
        run.release_and_check()?;
    }
}

/// Applies updates of the store and of other VMs to a new VM, in the order given.
fn vm_with(updates: impl IntoIterator<Item = StoreUpdate>) -> Fleet {
    let mut fleet = Fleet::default();
    for update in updates {
        fleet.apply_update(update, 0);
    }
    fleet
}

/// Guards against a VM that has just started and answers, from its whole list, as if nothing had been removed before it.
#[test]
fn changes_from_a_vm_that_has_just_listed_hold_the_removals_before() {
    let mut store = Store::default();
    (0..3).for_each(|number| store.change(number, false));
    let mut other = vm_with([store.list()]);
    store.change(1, true);
    let started = vm_with([store.list()]);
    other.apply(started.delta_since(other.revision(), 0), 0);
    assert_eq!((other.revision(), held(&other)), (4, store.entries(4)));
}

/// Guards against changes from another VM that leave out a backend server which came and went between two of its reads.
#[test]
fn changes_hold_the_removal_of_an_instance_that_the_sender_never_listed() {
    let mut store = Store::default();
    store.change(0, false);
    let (mut sender, mut other) = (vm_with([store.list()]), vm_with([store.list()]));
    store.change(1, false);
    let listed = store.list();
    store.change(1, true);
    sender.apply_update(store.watch(1), 0);
    let changes = sender.delta_since(other.revision(), 0);
    other.apply_update(listed, 0);
    other.apply(changes, 0);
    assert_eq!((other.revision(), held(&other)), (3, store.entries(3)));
}

/// Guards against a report that nothing has changed from a VM that did not see what came and went between two of its reads.
#[test]
fn a_report_does_not_confirm_an_instance_that_the_sender_never_listed() {
    let mut store = Store::default();
    store.change(0, false);
    let mut sender = vm_with([store.list()]);
    store.change(1, false);
    let mut other = vm_with([store.list()]);
    store.change(1, true);
    sender.apply_update(store.watch(1), 0);
    apply(&mut other, Answer::Report(sender.changed_revision(), sender.revision()));
    assert_eq!(held(&other), store.entries(other.revision()));
}

/// Guards against a report that nothing has changed from a VM whose whole list is as the one before, though an instance came
/// and went in between.
#[test]
fn a_report_after_a_whole_list_does_not_confirm_what_came_and_went() {
    let mut store = Store::default();
    store.change(0, false);
    let mut sender = vm_with([store.list()]);
    store.change(1, false);
    let mut other = vm_with([store.list()]);
    store.change(1, true);
    sender.apply_update(store.list(), 0);
    apply(&mut other, Answer::Report(sender.changed_revision(), sender.revision()));
    assert_eq!(held(&other), store.entries(other.revision()));
}

/// Guards against changes that leave out the second removal of an instance whose first one is still held back.
#[test]
fn changes_hold_a_later_removal_of_an_instance_whose_removal_is_held_back() {
    let mut store = Store::default();
    store.change(0, false);
    store.change(1, false);
    let mut sender = vm_with([store.list()]);
    sender.hold_removals(HOLD_UNTIL_MS);
    store.change(1, true);
    sender.apply_update(store.watch(2), 0);
    store.change(1, false);
    let mut other = vm_with([store.list()]);
    store.change(1, true);
    sender.apply_update(store.watch(3), 0);
    other.apply(sender.delta_since(other.revision(), 0), 0);
    assert_eq!((other.revision(), held(&other)), (5, store.entries(5)));
}

/// Guards against a VM that starts right after an outage of the store and makes others drop entries that expired in it: its whole
/// list lacks them, and it knows of no outage.
#[test]
fn a_whole_list_of_a_vm_that_has_just_started_does_not_end_a_hold() {
    let mut store = Store::default();
    store.change(0, false);
    store.change(1, false);
    let mut other = vm_with([store.list()]);
    other.hold_removals(HOLD_UNTIL_MS);
    store.change(1, true);
    let started = vm_with([store.list()]);
    let applied = other.apply(started.delta_since(other.revision(), 0), 0);
    assert_eq!((applied.removed, held(&other).len()), (Vec::<String>::new(), 2));
    assert_eq!(other.release_held(HOLD_UNTIL_MS), [name(1)]);
    assert_eq!(held(&other), store.entries(other.revision()));
}

/// Guards against changes that leave out an entry which changed and changed back between two reads of the sender.
#[test]
fn changes_hold_an_entry_that_has_changed_back() {
    let mut store = Store::default();
    store.change_back(0);
    let mut sender = vm_with([store.list()]);
    store.change(0, false);
    let mut other = vm_with([store.list()]);
    store.change_back(0);
    sender.apply_update(store.watch(1), 0);
    other.apply(sender.delta_since(other.revision(), 0), 0);
    assert_eq!((other.revision(), held(&other)), (3, store.entries(3)));
}

/// Guards against removals beyond those that are remembered: a VM that is further behind gets the whole list.
#[test]
fn a_vm_behind_the_removals_that_are_remembered_gets_the_whole_list() {
    let mut store = Store::default();
    store.change(0, false);
    store.change(1, false);
    let (mut sender, mut other) = (vm_with([store.list()]), vm_with([store.list()]));
    store.change(0, true);
    for _ in 0..MORE_REMOVALS_THAN_KEPT {
        store.change(2, false);
        store.change(2, true);
        sender.apply_update(store.watch(sender.revision()), 0);
    }
    let changes = sender.delta_since(other.revision(), 0);
    assert!(changes.is_whole);
    other.apply(changes, 0);
    assert_eq!(held(&other), BTreeMap::from([(1, 2)]));
    let since_one = sender.delta_since(sender.revision() - 2, 0);
    assert!(!since_one.is_whole && since_one.removed == [name(2)]);
}

/// Guards against whole lists to VMs that miss nothing: a VM that has just listed learns from a report that nothing changed before.
#[test]
fn a_vm_that_has_just_listed_learns_what_has_not_changed() {
    let mut store = Store::default();
    (0..3).for_each(|number| store.change(number, false));
    let mut other = vm_with([store.list()]);
    let mut started = vm_with([store.list()]);
    // Changes of other kinds of objects raise the store's revision too.
    other.advance_revision(8);
    started.advance_revision(7);
    apply(&mut started, Answer::Report(other.changed_revision(), other.revision()));
    assert_eq!((started.revision(), started.changed_revision()), (8, 3));
    assert!(!started.delta_since(5, 0).is_whole);
}

/// Guards against a removal that is kept from the other VMs while it is held back, and with it all that changes after.
#[test]
fn a_removal_that_is_held_back_is_known_to_other_vms_and_takes_effect_there_too() {
    let mut store = Store::default();
    (0..3).for_each(|number| store.change(number, false));
    let (mut reader, mut other, mut bystander) =
        (Fleet::default(), Fleet::default(), Fleet::default());
    for fleet in [&mut reader, &mut other, &mut bystander] {
        fleet.apply_update(store.list(), 0);
    }
    store.change(0, true);
    store.change(1, true);
    reader.hold_removals(2_000);
    other.hold_removals(2_000);
    assert_eq!(reader.apply_update(store.watch(3), 0).held, ["i-0", "i-1"]);
    store.change(2, false);
    reader.apply_update(store.watch(5), 100);
    other.apply(reader.delta_since(3, 100), 100);
    bystander.apply(reader.delta_since(3, 100), 100);
    assert_eq!(other.revision(), 6);
    assert_eq!(held(&other), BTreeMap::from([(0, 1), (1, 2), (2, 6)]));
    assert_eq!(held(&bystander), BTreeMap::from([(2, 6)]), "it saw the store answer all the while");
    store.change(1, false);
    other.apply_update(store.watch(6), 1_000);
    assert!(other.release_held(1_999).is_empty());
    assert_eq!(other.release_held(2_000), ["i-0"], "the other entry is back");
    assert_eq!(reader.release_held(2_000), ["i-0", "i-1"]);
    reader.apply(other.delta_since(6, 2_000), 2_000);
    assert_eq!((held(&other), held(&reader)), (store.entries(7), store.entries(7)));
}
