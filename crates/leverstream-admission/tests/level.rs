//! The admission level: what each rank gets, and what becomes of it when VMs fall silent.

use leverstream_admission::{Level, Pressure, PressureReport, Rank, RankRate, WaitBounds};
use proptest::prelude::*;

/// Returns the demand with the given rates of the ranks from 0.
fn demand(rates: &[f64]) -> Vec<RankRate> {
    let rate = |(rank, per_s): (usize, &f64)| RankRate { rank: Rank(rank as u32), per_s: *per_s };
    rates.iter().enumerate().map(rate).collect()
}

/// Returns a report of a VM.
fn report(rates: &[f64], granted_per_s: f64, waiting: u32) -> PressureReport {
    PressureReport { demand: demand(rates), granted_per_s, waiting }
}

/// Returns the admitted shares of the ranks from 0 to 2.
fn shares(level: &Level) -> [f64; 3] {
    [0, 1, 2].map(|rank| level.share(Rank(rank)))
}

/// Guards against refusing anything while the service serves all.
#[test]
fn all_are_admitted_while_the_demand_fits() {
    assert_eq!(shares(&Level::of(&demand(&[40.0, 30.0, 30.0]), 100.0)), [1.0; 3]);
}

/// Guards against a level that refuses urgent requests before others.
#[test]
fn the_least_urgent_are_refused_first() {
    let level = Level::of(&demand(&[40.0, 50.0, 30.0]), 100.0);
    let [first, second, third] = shares(&level);
    assert_eq!((first, second), (1.0, 1.0));
    assert!((third - 1.0 / 3.0).abs() < 1e-9, "{third}");
}

/// Guards against a rank that is starved, and one that gets less than those below it.
#[test]
fn the_refused_ranks_keep_a_part() {
    let [first, second, third] = shares(&Level::of(&demand(&[60.0, 30.0, 100.0]), 100.0));
    assert_eq!(first, 1.0);
    assert!((second - (1.0 - 60.0 / 100.0 - 0.3 * 100.0 / 190.0) / 0.3).abs() < 1e-9, "{second}");
    assert!((third - 0.3 * 100.0 / 190.0).abs() < 1e-9, "{third}");
    let pooled = shares(&Level::of(&demand(&[80.0, 40.0, 10.0]), 100.0));
    assert!(pooled[0] == 1.0 && pooled[1] == pooled[2], "{pooled:?}");
    let few = shares(&Level::of(&demand(&[120.0, 0.0, 5.0]), 100.0));
    assert!((few[2] - few[0]).abs() < 1e-9, "all of a twentieth: {few:?}");
}

/// What a VM knows of the service.
struct Vm {
    /// Its identifier.
    id: u64,
    /// What it knows of the service.
    pressure: Pressure,
    /// The rates of its arrivals.
    rates: [u64; 3],
    /// The slots that it is granted a second.
    granted_per_s: u64,
}

impl Vm {
    /// Starts a VM with the given rates.
    fn new(id: u64, rates: [u64; 3], granted_per_s: u64) -> Vm {
        Vm { id, pressure: Pressure::default(), rates, granted_per_s }
    }

    /// Adds the arrivals and grants of one millisecond.
    fn step(&mut self, now_ms: u64) {
        let is_due = |per_s: u64| per_s > 0 && now_ms.is_multiple_of(1_000 / per_s);
        for (rank, per_s) in self.rates.into_iter().enumerate() {
            if is_due(per_s) {
                self.pressure.note_arrival(Rank(rank as u32), now_ms);
            }
        }
        if is_due(self.granted_per_s) {
            self.pressure.note_grant(now_ms);
        }
    }

    /// Returns the admitted shares of the ranks, from 100 evenly spaced samples.
    fn shares(&self, now_ms: u64) -> [f64; 3] {
        let admitted = |rank| {
            let samples = (0..100).map(|sample| f64::from(sample) / 100.0);
            samples.filter(|sample| self.pressure.admits(Rank(rank), *sample, now_ms)).count()
        };
        [0, 1, 2].map(|rank| admitted(rank) as f64 / 100.0)
    }
}

/// Runs VMs; at each exchange, every VM in `linked` reports to the others there.
fn run(vms: &mut [Vm], linked: &[u64], waiting: usize, from_ms: u64, until_ms: u64) {
    for now_ms in from_ms..until_ms {
        vms.iter_mut().for_each(|vm| vm.step(now_ms));
        if !now_ms.is_multiple_of(100) {
            continue;
        }
        let mut reports = Vec::new();
        for vm in vms.iter_mut() {
            vm.pressure.refresh(waiting, now_ms);
            let report = vm.pressure.report(waiting, now_ms).map(|report| (vm.id, report));
            reports.extend(report.filter(|(id, _)| linked.contains(id)));
        }
        for vm in vms.iter_mut().filter(|vm| linked.contains(&vm.id)) {
            for (id, report) in reports.iter().filter(|(id, _)| *id != vm.id) {
                vm.pressure.apply_report(*id, report.clone(), now_ms);
            }
        }
    }
}

/// Returns two VMs, of which one gets only urgent requests and the other only others.
fn uneven_vms() -> [Vm; 2] {
    [Vm::new(1, [100, 0, 0], 50), Vm::new(2, [0, 0, 100], 50)]
}

/// Guards against ranks that hold within one VM only: the VM with urgent requests alone would
/// refuse half of them, and the other VM admit half of its own.
#[test]
fn vms_with_different_mixes_share_one_level() {
    let mut vms = uneven_vms();
    run(&mut vms, &[1, 2], 5, 1, 3_000);
    let [first, second] = [vms[0].shares(3_000), vms[1].shares(3_000)];
    assert!(first[0] > 0.7 && second[2] < 0.2, "{first:?} {second:?}");
    assert!((0..3).all(|rank| (first[rank] - second[rank]).abs() <= 0.05), "{first:?} {second:?}");
}

/// Guards against a side of a partition that goes on with the demand of the other.
#[test]
fn each_side_of_a_partition_uses_its_own_sum() {
    let mut vms = uneven_vms();
    run(&mut vms, &[1, 2], 5, 1, 3_000);
    run(&mut vms, &[], 5, 3_000, 4_500);
    let [first, second] = [vms[0].shares(4_500), vms[1].shares(4_500)];
    assert!((0.4..0.6).contains(&first[0]), "{first:?}");
    assert!((0.4..0.6).contains(&second[2]), "{second:?}");
}

/// Guards against the reports of a dead VM holding the level down for ever.
#[test]
fn a_dead_vm_no_longer_counts_after_a_second() {
    let mut pressure = Pressure::default();
    pressure.apply_report(7, report(&[100.0, 0.0, 100.0], 100.0, 5), 1_000);
    pressure.refresh(0, 1_100);
    assert!(!pressure.admits(Rank(2), 0.5, 1_100));
    pressure.refresh(0, 2_000);
    assert!(pressure.admits(Rank(2), 0.999, 2_000));
}

/// Guards against a frozen VM that wakes and refuses by a level from before.
#[test]
fn a_level_older_than_a_second_has_no_effect() {
    let mut pressure = Pressure::default();
    pressure.apply_report(7, report(&[100.0, 0.0, 100.0], 100.0, 5), 1_000);
    pressure.refresh(3, 1_000);
    assert!(!pressure.admits(Rank(2), 0.5, 1_999));
    assert!(pressure.admits(Rank(2), 0.999, 2_000));
}

/// Guards against a woken VM that computes a level from its own counts of before.
#[test]
fn a_frozen_vm_starts_again_with_what_it_hears() {
    let mut vm = Vm::new(1, [100, 0, 100], 100);
    run(std::slice::from_mut(&mut vm), &[], 5, 1, 3_000);
    assert!(vm.shares(3_000)[2] < 0.5);
    vm.pressure.refresh(5, 4_500);
    assert_eq!(vm.shares(4_500), [1.0; 3]);
}

/// Guards against a woken VM that counts the reports that arrived during its standstill as new.
#[test]
fn reports_after_a_standstill_count_from_the_second_refresh() {
    let mut pressure = Pressure::default();
    let report = report(&[100.0, 0.0, 100.0], 100.0, 5);
    pressure.refresh(0, 1_000);
    pressure.apply_report(7, report.clone(), 3_000);
    pressure.refresh(3, 3_001);
    pressure.apply_report(7, report.clone(), 3_002);
    pressure.refresh(3, 3_101);
    assert!(pressure.admits(Rank(2), 0.999, 3_101));
    pressure.apply_report(7, report, 3_102);
    pressure.refresh(3, 3_201);
    assert!(!pressure.admits(Rank(2), 0.5, 3_201));
}

/// Guards against a sum of waiting requests that overflows.
#[test]
fn reports_of_very_many_waiting_requests_are_summed() {
    let mut pressure = Pressure::default();
    for reporter in [7, 8] {
        pressure.apply_report(reporter, report(&[100.0, 0.0, 100.0], 50.0, u32::MAX), 1_000);
    }
    pressure.refresh(3, 1_000);
    assert!(!pressure.admits(Rank(2), 0.5, 1_000));
}

/// Guards against refusals by rank while no request waits.
#[test]
fn the_level_has_no_effect_unless_requests_wait() {
    let mut vms = uneven_vms();
    run(&mut vms, &[1, 2], 0, 1, 3_000);
    assert_eq!([vms[0].shares(3_000), vms[1].shares(3_000)], [[1.0; 3]; 2]);
    assert_eq!(vms[0].pressure.report(0, 3_000), None);
}

/// Guards against a sum that lacks the VMs at which no request waits, and reports that never end.
#[test]
fn vms_report_while_requests_wait_anywhere_and_for_a_second_after() {
    let mut pressure = Pressure::default();
    pressure.apply_report(7, report(&[1.0], 1.0, 5), 1_000);
    assert!(pressure.report(0, 1_999).is_some());
    pressure.apply_report(7, report(&[1.0], 1.0, 0), 1_500);
    assert_eq!(pressure.report(0, 2_000), None);
}

/// Guards against a malformed report that makes every level after it meaningless.
#[test]
fn a_report_whose_rate_is_no_number_is_dropped() {
    let mut pressure = Pressure::default();
    pressure.apply_report(7, report(&[100.0, 0.0, 100.0], f64::NAN, 5), 1_000);
    pressure.refresh(3, 1_000);
    assert!(pressure.admits(Rank(2), 0.999, 1_000));
}

proptest! {
    /// Guards against a mix for which a less urgent rank gets more, more is admitted than granted,
    /// slots go unused, or a rank is starved.
    #[test]
    fn shares_fall_with_rank_use_all_slots_and_starve_none(
        rates in prop::collection::vec(0.0..300.0_f64, 1..8),
        granted_per_s in 1.0..300.0_f64,
    ) {
        let demand = demand(&rates);
        let level = Level::of(&demand, granted_per_s);
        let shares: Vec<f64> = demand.iter().map(|rate| level.share(rate.rank)).collect();
        prop_assert!(shares.windows(2).all(|pair| pair[1] <= pair[0] + 1e-9), "{shares:?}");
        let total: f64 = rates.iter().sum();
        let admitted: f64 = rates.iter().zip(&shares).map(|(rate, share)| rate * share).sum();
        prop_assert!((admitted - total.min(granted_per_s)).abs() < 1e-6, "{admitted}");
        let served_share = (granted_per_s / total).min(1.0);
        let is_kept = |share: &f64| *share > served_share / 4.0;
        prop_assert!(shares.iter().all(is_kept), "{shares:?}");
        // The refused ranks are those of which the smallest share is admitted.
        let least = shares.last().copied().expect("there is a rank");
        let refused = demand.iter().zip(&shares).filter(|(_, share)| (*share - least).abs() < 1e-9);
        let (kept, wanted) = refused.fold((0.0, 0.0), |(kept, wanted), (rate, share)| {
            (kept + rate.per_s * share, wanted + rate.per_s)
        });
        prop_assert!(kept >= f64::min(granted_per_s * 0.05, wanted) - 1e-6, "{kept}");
    }
}

/// Guards against refusals in a surge of two or three seconds, whose requests could all have waited
/// and been served in time.
#[test]
fn a_request_joins_the_others_while_it_can_still_meet_its_objective() {
    let mut pressure = Pressure::default();
    pressure.apply_report(7, report(&[100.0, 0.0, 100.0], 50.0, 30), 1_000);
    let bounds = |objective_ms| WaitBounds {
        since_ms: 1_000,
        objective_ms,
        work_ms: 100.0,
        deadline_ms: 1_000 + 2 * objective_ms,
    };
    // 40 requests wait for 50 slots a second: 800 ms, and 100 ms of work.
    assert!(pressure.is_wait_short(&bounds(920), 10, 1_000));
    assert!(!pressure.is_wait_short(&bounds(880), 10, 1_000));
    assert!(!pressure.is_wait_short(&bounds(920), 20, 1_000), "those here count too");
    assert!(Pressure::default().is_wait_short(&bounds(400), 0, 1_000), "nobody waits");
    assert!(!Pressure::default().is_wait_short(&bounds(3_300), 1, 1_000), "no slot is granted");
}
