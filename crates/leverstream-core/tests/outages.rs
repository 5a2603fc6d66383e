//! A fleet whose store goes away and comes back, and which loses VMs in between or afterwards: who reads, how soon all know of a
//! change, and how long removals are held back.

mod store_fleet;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use store_fleet::{DETECTION_MS, Loss, Model, STEP_MS, StoreState, Vm};

/// When the store goes away, in milliseconds.
const OUTAGE_FROM_MS: u64 = 2_000;

/// How long a fleet is simulated after the last disturbance, in milliseconds.
const AFTERMATH_MS: u64 = 6_000;

/// The age of knowledge at which the VM that ranks first reads, in milliseconds.
const TAKEOVER_MS: u64 = 450;

/// What each further rank adds to that age, in milliseconds.
const RANK_STEP_MS: u64 = 50;

/// The retry delay after an unanswered read while the reads of other VMs are answered, in milliseconds.
const OWN_RETRY_MS: u64 = 800;

/// The time that a simulated report and the time step may add, in milliseconds.
const SLACK_MS: u64 = 100;

/// How long removals are held back after an outage, in milliseconds.
const HOLD_MS: u64 = 2_000;

/// The length from which on an outage must be noticed, in milliseconds: entries that are not written for 4.5 s expire.
const NOTICED_MS: u64 = 4_600;

/// The time from the start of an outage until VMs are cut off in it, in milliseconds.
const CUT_AFTER_MS: u64 = 600;

/// The time from the end of a disturbance until VMs count as in touch again, in milliseconds, as the users state it.
const CONTACT_MS: u64 = 3_000;

/// The number of random fleets.
const RANDOM_FLEETS: u64 = 400;

/// An outage after which VMs are lost in the order in which they would read.
#[derive(Clone, Copy, Debug)]
struct Course {
    /// The number of VMs.
    vms: usize,
    /// What the store does in the outage.
    store: StoreState,
    /// How long the outage lasts.
    outage_ms: u64,
    /// The time from its end until VMs are lost.
    calm_ms: u64,
    /// How VMs are lost.
    loss: Loss,
    /// How many are lost, in tenths of all.
    lost_tenths: usize,
}

/// All courses: with 10, 36 and 97 VMs, short and long outages and calm times, and some to six tenths of the VMs lost.
fn courses() -> impl Iterator<Item = Course> {
    let vms = [10, 36, 97];
    let stores = [StoreState::Refuses, StoreState::Silent];
    let times = [1_200, 2_300, 4_500, 8_000].into_iter().flat_map(|outage_ms| {
        [800, 2_000, 5_000, 10_000].into_iter().map(move |calm_ms| (outage_ms, calm_ms))
    });
    let losses = [Loss::Cut, Loss::Kill]
        .into_iter()
        .flat_map(|loss| [1, 2, 4, 6].map(|tenths| (loss, tenths)));
    let losses: Vec<_> = losses.collect();
    times.flat_map(move |(outage_ms, calm_ms)| {
        let losses = losses.clone();
        vms.into_iter().flat_map(move |vms| {
            let losses = losses.clone();
            stores.into_iter().flat_map(move |store| {
                let courses = losses.clone().into_iter().map(move |(loss, lost_tenths)| Course {
                    vms,
                    store,
                    outage_ms,
                    calm_ms,
                    loss,
                    lost_tenths,
                });
                courses.collect::<Vec<_>>()
            })
        })
    })
}

/// Plays a course; returns the fleet, when the VMs were lost and how many.
fn play(course: Course) -> (Model, u64, usize) {
    let mut model = Model::start(course.vms);
    model.run(OUTAGE_FROM_MS);
    model.set_store(course.store);
    model.run(course.outage_ms);
    model.set_store(StoreState::Answers);
    model.run(course.calm_ms);
    let lost = (course.vms * course.lost_tenths / 10).max(1);
    for vm in &mut model.vms[..lost] {
        vm.lose(course.loss, model.now_ms);
    }
    // A VM that has read for all since the outage may rank behind them.
    let reader = model.vms.iter().position(|vm| vm.freshness.is_reader());
    if let Some(reader) = reader {
        model.vms[reader].lose(course.loss, model.now_ms);
    }
    let lost_ms = model.now_ms;
    model.change();
    model.run(AFTERMATH_MS);
    (model, lost_ms, lost)
}

/// Guards against VMs that keep the retry delay of an outage after other VMs have read the store: once the readers are lost, a change
/// reached the rest only seconds later (CONFIG).
#[test]
fn an_outage_that_is_over_does_not_delay_the_next_reader() {
    for course in courses() {
        let (model, lost_ms, lost) = play(course);
        let limit_ms = TAKEOVER_MS + RANK_STEP_MS * (lost as u64 + 1) + SLACK_MS;
        // A VM whose read was unanswered just before the end of the outage waits for its own retry, whatever its rank.
        let limit_ms = limit_ms.max(OWN_RETRY_MS + SLACK_MS);
        for (rank, vm) in model.sound() {
            let after_ms = vm.knew_ms.map(|at_ms| at_ms.saturating_sub(lost_ms));
            let is_in_time = after_ms.is_some_and(|after_ms| after_ms <= limit_ms);
            assert!(is_in_time, "{course:?}: VM {rank} after {after_ms:?} ms, {limit_ms} allowed");
        }
    }
}

/// Guards against a removal that is held back for an outage that was over before (DRAIN): removals are held for two seconds from
/// the first answered read on, and no longer.
#[test]
fn an_outage_that_is_over_holds_no_later_removal_back() {
    for course in courses() {
        let (model, lost_ms, _) = play(course);
        let first_ms = model.first_answer_ms.expect("the store was read after the outage");
        let latest_ms = first_ms + HOLD_MS + SLACK_MS;
        for (rank, vm) in model.sound() {
            let until_ms = vm.held_until_ms;
            let is_allowed = until_ms <= latest_ms || until_ms <= lost_ms;
            assert!(
                is_allowed,
                "{course:?}: VM {rank} holds until {until_ms}, outage over at {first_ms}"
            );
        }
    }
}

/// Guards against a hold that ends too early: after an outage that was noticed, each VM holds removals back for two seconds
/// when it first knows what the store holds, also where the one that reads first is killed before it has sent its report.
#[test]
fn after_an_outage_every_vm_holds_removals_back() {
    for (vms, store, outage_ms, ends) in [3, 10, 36, 97, 200].into_iter().flat_map(|vms| {
        let stores = [StoreState::Refuses, StoreState::Silent];
        stores.into_iter().flat_map(move |store| {
            [NOTICED_MS, 6_000, 8_000].into_iter().flat_map(move |outage_ms| {
                [(vms, store, outage_ms, false), (vms, store, outage_ms, true)]
            })
        })
    }) {
        let mut model = Model::start(vms);
        model.run(OUTAGE_FROM_MS);
        model.set_store(store);
        model.run(outage_ms);
        model.change();
        model.set_store(StoreState::Answers);
        model.ends_first_reader = ends;
        model.run(AFTERMATH_MS);
        let first_ms = model.first_answer_ms.expect("the store was read after the outage");
        for (rank, vm) in model.sound() {
            let row = format!(
                "{vms} VMs, {store:?}, {outage_ms} ms, first reader ends: {ends}, VM {rank}"
            );
            assert!(vm.knew_ms.is_some(), "{row}");
            assert!(
                vm.held_until_ms + SLACK_MS >= first_ms + HOLD_MS,
                "{row}: until {}",
                vm.held_until_ms
            );
        }
    }
}

/// Guards against a hold that is missing or too short because reports are late: reports of reads before the outage arrive in it, and
/// the report of the first read after it arrives after the next VM has read.
#[test]
fn late_reports_do_not_shorten_the_hold_after_an_outage() {
    let stores = [StoreState::Refuses, StoreState::Silent];
    for (vms, store) in [10, 36, 97].into_iter().flat_map(|vms| stores.map(|store| (vms, store))) {
        for report_delay_ms in [100, 300, 700] {
            let mut model = Model::start(vms);
            model.report_delay_ms = report_delay_ms;
            model.run(OUTAGE_FROM_MS);
            model.set_store(store);
            model.run(NOTICED_MS + report_delay_ms);
            model.change();
            model.set_store(StoreState::Answers);
            model.run(AFTERMATH_MS);
            let first_ms = model.first_answer_ms.expect("the store was read after the outage");
            for (rank, vm) in model.sound() {
                let row =
                    format!("{vms} VMs, {store:?}, reports after {report_delay_ms} ms, VM {rank}");
                assert!(vm.knew_ms.is_some(), "{row}");
                let until_ms = vm.held_until_ms;
                assert!(until_ms + SLACK_MS >= first_ms + HOLD_MS, "{row}: until {until_ms}");
            }
        }
    }
}

/// Guards against a second outage that begins while removals are held for the first.
#[test]
fn a_second_outage_holds_removals_back_anew() {
    for store in [StoreState::Refuses, StoreState::Silent] {
        let mut model = Model::start(36);
        model.run(OUTAGE_FROM_MS);
        model.set_store(store);
        model.run(4_500);
        model.set_store(StoreState::Answers);
        while model.first_answer_ms.is_none() {
            model.run(STEP_MS);
        }
        model.run(1_000);
        model.set_store(store);
        model.run(4_500);
        model.change();
        model.set_store(StoreState::Answers);
        model.run(AFTERMATH_MS);
        let first_ms = model.first_answer_ms.expect("the store was read after the outage");
        for (rank, vm) in model.sound() {
            let until_ms = vm.held_until_ms;
            assert!(
                until_ms + SLACK_MS >= first_ms + HOLD_MS,
                "{store:?}: VM {rank} until {until_ms}"
            );
        }
    }
}

/// Guards against an outage in which the VMs that read first are cut off: when the store is back, those that reach it waited longer the
/// later they read, so that a change reached them after they counted as in touch (CONFIG).
#[test]
fn after_an_outage_those_that_reach_the_store_read_it_in_time() {
    let stores = [StoreState::Refuses, StoreState::Silent];
    for (vms, store) in [10, 36, 97].into_iter().flat_map(|vms| stores.map(|store| (vms, store))) {
        for (tenths, outage_ms) in [1, 3, 6].into_iter().flat_map(|tenths| {
            (1_200..8_000).step_by(425).map(move |outage_ms| (tenths, outage_ms))
        }) {
            let mut model = Model::start(vms);
            model.run(OUTAGE_FROM_MS);
            model.set_store(store);
            model.run(CUT_AFTER_MS);
            model.vms[..vms * tenths / 10].iter_mut().for_each(|vm| vm.is_cut = true);
            model.run(outage_ms - CUT_AFTER_MS);
            model.change();
            model.set_store(StoreState::Answers);
            let back_ms = model.now_ms;
            model.run(AFTERMATH_MS);
            for (rank, vm) in model.sound() {
                let after_ms = vm.knew_ms.map(|at_ms| at_ms - back_ms);
                let is_in_time = after_ms.is_some_and(|after_ms| after_ms <= CONTACT_MS);
                let row =
                    format!("{vms} VMs, {store:?} for {outage_ms} ms, {tenths} tenths cut off");
                assert!(is_in_time, "{row}: VM {rank} after {after_ms:?} ms");
            }
        }
    }
}

/// Guards against a VM that is cut off from the store and calls it more and more often, as the reads of others are answered.
#[test]
fn a_vm_that_is_cut_off_while_others_read_calls_the_store_seldom() {
    for vms in [3, 36, 97] {
        let mut model = Model::start(vms);
        model.run(OUTAGE_FROM_MS);
        model.vms[..vms / 3].iter_mut().for_each(|vm| vm.is_cut = true);
        let (from_ms, count) = (model.now_ms + 3_000, 10_000);
        model.run(3_000 + count);
        let calls = model.sent_ms.iter().filter(|at_ms| **at_ms >= from_ms).count() as u64;
        // The reader asks every 0.4 s; the others together as often again at most.
        assert!(calls <= 2 * count / 400, "{vms} VMs: {calls} calls in {count} ms");
    }
}

/// Guards against any order of outages, cuts, kills, pauses and late reports that leaves a mark behind: once all is over and those that
/// read the store are lost, the others take over within their steps and hold no removal back.
#[test]
fn random_disturbances_that_are_over_leave_no_mark() {
    for seed in 0..RANDOM_FLEETS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vms = *[3, 10, 24, 36].choose(&mut rng).expect("there are sizes");
        let mut model = Model::start(vms);
        let mut disturbances = Vec::new();
        for _ in 0..rng.random_range(2..6) {
            let kind = disturb(&mut model, &mut rng);
            disturbances.push(kind);
            model.run(rng.random_range(100..4_000));
        }
        model.set_store(StoreState::Answers);
        model.vms.iter_mut().for_each(|vm| vm.is_cut = false);
        let latest_ms = model.vms.iter().map(|vm| vm.paused_until_ms).max().unwrap_or(0);
        model.run(latest_ms.saturating_sub(model.now_ms) + STEP_MS);
        let end_ms = model.now_ms;
        // All VMs may wait as in an outage now; the first of them reads within its step, and the last within those of all.
        model.run(DETECTION_MS + OWN_RETRY_MS * 2 + RANK_STEP_MS * vms as u64 + HOLD_MS);
        let lost = lose_readers(&mut model, &mut rng);
        model.change();
        let change_ms = model.now_ms;
        model.run(AFTERMATH_MS);
        let row =
            format!("seed {seed}, {vms} VMs, {disturbances:?}, over at {end_ms}, {lost} lost");
        let limit_ms = (TAKEOVER_MS + RANK_STEP_MS * (lost + 1)).max(OWN_RETRY_MS) + SLACK_MS;
        for (rank, vm) in model.sound() {
            let after_ms = vm.knew_ms.map(|at_ms| at_ms - change_ms);
            let is_in_time = after_ms.is_some_and(|after_ms| after_ms <= limit_ms);
            assert!(is_in_time, "{row}: VM {rank} after {after_ms:?} ms, {limit_ms} allowed");
            assert!(
                vm.held_until_ms <= change_ms,
                "{row}: VM {rank} holds until {}",
                vm.held_until_ms
            );
        }
    }
}

/// Ends the VM that reads the store for all and some that would read next, if others are left; returns how many.
fn lose_readers(model: &mut Model, rng: &mut SmallRng) -> u64 {
    let now_ms = model.now_ms;
    let mut alive: Vec<&mut Vm> = model.vms.iter_mut().filter(|vm| vm.is_alive).collect();
    let count = rng.random_range(0..=alive.len() / 2);
    let mut lost = 0;
    for (rank, vm) in alive.iter_mut().enumerate() {
        if rank < count || (vm.freshness.is_reader() && count > 0) {
            vm.end(now_ms);
            lost += 1;
        }
    }
    lost
}

/// Disturbs a fleet at random; returns what was done.
fn disturb(model: &mut Model, rng: &mut SmallRng) -> &'static str {
    let now_ms = model.now_ms;
    match rng.random_range(0..6) {
        0 => {
            model.set_store(StoreState::Refuses);
            "refuses"
        }
        1 => {
            model.set_store(StoreState::Silent);
            "silent"
        }
        2 => {
            model.set_store(StoreState::Answers);
            "answers"
        }
        3 => {
            // One VM at least stays, as a fleet does.
            let count = rng.random_range(1..model.vms.len().max(2) / 2 + 1);
            let alive = model.vms.iter_mut().filter(|vm| vm.is_alive);
            let mut alive: Vec<&mut Vm> = alive.collect();
            let ended = alive.len().saturating_sub(1).min(count);
            alive[..ended].iter_mut().for_each(|vm| vm.end(now_ms));
            "kills the first"
        }
        4 => {
            let count = rng.random_range(1..=model.vms.len());
            model.vms[..count].iter_mut().for_each(|vm| vm.is_cut = true);
            "cuts the first off"
        }
        _ => {
            let for_ms = rng.random_range(200..5_000);
            let rank = rng.random_range(0..model.vms.len());
            model.vms[rank].paused_until_ms = now_ms + for_ms;
            "pauses one"
        }
    }
}
