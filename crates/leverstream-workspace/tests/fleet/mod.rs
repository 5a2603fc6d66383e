//! The simulation of a fleet of VMs that share a workspace's allotment.
//!
//! The fleet is simulated in steps of 10 ms. As in a gateway, VMs report to each other every 200
//! ms, and 20 ms after a request of a workspace whose bucket is low.

use std::collections::HashMap;

use leverstream_admission::{LateReports, LoopStalls};
use leverstream_workspace::{
    Allotment, Allotments, EntryMembership, PeerVisibility, UsageReport, WorkspaceId,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The workspace under test.
pub const WORKSPACE: WorkspaceId = WorkspaceId(7);

/// The window in which the bound must hold, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// The allowed excess over rate and burst: a fraction of both, and a number of requests.
const EXCESS_FRACTION: f64 = 0.1;
pub const SLACK: f64 = 20.0;

/// The step of the simulation.
const STEP_MS: u64 = 10;

/// The intervals of the gateway: between reports, before an urgent report, and until a VM counts as
/// unheard.
const REPORT_INTERVAL_MS: u64 = 200;
const URGENT_DELAY_MS: u64 = 20;
const UNHEARD_MS: u64 = 500;

/// A simulated VM.
struct Vm {
    /// Its copy of the allotments.
    allotments: Allotments,
    /// Its process id.
    id: u64,
    /// When it started.
    started_ms: u64,
    /// When it last received a message of each other process.
    heard: HashMap<u64, u64>,
    /// The processes that it hears again after a time.
    late_reports: LateReports,
    /// The stalls of its event loop.
    loop_stalls: LoopStalls,
    /// When it last reported.
    reported_ms: u64,
    /// How many times it has reported.
    report_count: u64,
    /// Since when an urgent report is pending.
    urgent_since_ms: Option<u64>,
    /// Until when it is frozen.
    frozen_until_ms: u64,
    /// Until when it is cut off from all others.
    cut_until_ms: u64,
    /// Whether it has decided how full its buckets are at the start.
    has_decided_start: bool,
}

/// The rules by which reports of other VMs count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rules {
    /// What a VM has admitted is subtracted.
    FirstCome,
    /// The same, but late reports and lower figures are adopted, as in a gateway that admits by
    /// rank. No reserve is kept, which would only admit less.
    ByRank,
}

impl Rules {
    /// Both.
    pub const ALL: [Rules; 2] = [Rules::FirstCome, Rules::ByRank];
}

/// A fault of a VM.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It is cut off from the others.
    Cut,
    /// It is frozen; reports to it are delivered afterwards.
    Freeze,
    /// It is killed and starts again at once without its state.
    Kill,
}

/// The time of a fault, the VM, the fault and its duration.
pub type FaultEvent = (u64, usize, Fault, u64);

/// A simulated scenario.
pub struct Scenario {
    /// The allotment of the workspace.
    pub allotment: Allotment,
    /// Requests per second at each VM.
    pub rates_per_s: Vec<f64>,
    /// The faults.
    pub faults: Vec<FaultEvent>,
    /// The fraction of reports that is lost.
    pub loss: f64,
    /// When the first requests arrive.
    pub from_ms: u64,
    /// The duration of the scenario.
    pub length_ms: u64,
    /// The store rejects the calls of this many VMs, the first ones.
    pub rejected_vms: usize,
}

/// The result of a scenario.
pub struct Outcome {
    /// When each admitted request arrived.
    pub admitted_ms: Vec<u64>,
    /// The number of rejected requests.
    pub rejected: usize,
}

/// Starts a VM's process.
fn vm(id: u64, now_ms: u64) -> Vm {
    Vm {
        allotments: Allotments::open(SLACK),
        id,
        started_ms: now_ms,
        heard: HashMap::new(),
        late_reports: LateReports::default(),
        loop_stalls: LoopStalls::default(),
        reported_ms: now_ms,
        report_count: 0,
        urgent_since_ms: None,
        frozen_until_ms: 0,
        cut_until_ms: 0,
        has_decided_start: now_ms == 0,
    }
}

/// Decides at a VM's first request how full its buckets are at the start. They start with a
/// fraction of a burst unless the VM hears another that has run for a window, the store rejects its
/// call, or the store records that a process of this VM has started that way within a window.
fn decide_start(
    vm: &mut Vm,
    hears_elder: bool,
    last_partial_start_ms: &mut Option<u64>,
    store_rejects: bool,
    now_ms: u64,
) {
    if std::mem::replace(&mut vm.has_decided_start, true) || hears_elder || store_rejects {
        return;
    }
    if last_partial_start_ms.is_some_and(|at_ms| now_ms - at_ms < WINDOW_MS) {
        vm.allotments.start_empty();
    } else {
        *last_partial_start_ms = Some(now_ms);
    }
}

/// Runs a scenario.
pub fn simulate(scenario: &Scenario, rules: Rules, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut vms: Vec<Vm> =
        (0..scenario.rates_per_s.len()).map(|index| vm(index as u64, 0)).collect();
    // Reports in transit: arrival time, receiver, sender and content.
    let mut in_transit: Vec<(u64, usize, u64, Vec<UsageReport>)> = Vec::new();
    let mut outcome = Outcome { admitted_ms: Vec::new(), rejected: 0 };
    let mut next_id = vms.len() as u64;
    // When each VM last started with a fraction of a burst, as recorded in the store.
    let mut last_partial_starts_ms: Vec<Option<u64>> = vec![None; vms.len()];
    for now_ms in (0..scenario.length_ms).step_by(STEP_MS as usize) {
        for (at_ms, index, fault, for_ms) in &scenario.faults {
            if *at_ms / STEP_MS != now_ms / STEP_MS {
                continue;
            }
            let count = vms.len();
            let target = &mut vms[index % count];
            match fault {
                Fault::Cut => target.cut_until_ms = now_ms + for_ms,
                Fault::Freeze => target.frozen_until_ms = now_ms + for_ms,
                Fault::Kill => {
                    let cut_until_ms = target.cut_until_ms;
                    *target = vm(next_id, now_ms);
                    target.cut_until_ms = cut_until_ms;
                    next_id += 1;
                }
            }
        }
        deliver(&mut vms, &mut in_transit, scenario.allotment, rules, now_ms);
        let ids: Vec<u64> = vms.iter().map(|vm| vm.id).collect();
        for index in 0..vms.len() {
            if vms[index].frozen_until_ms > now_ms {
                continue;
            }
            vms[index].loop_stalls.tick(now_ms);
            let arriving = scenario.rates_per_s[index] * STEP_MS as f64 / 1_000.0;
            let arriving = if now_ms < scenario.from_ms { 0.0 } else { arriving };
            let count = arriving as usize + usize::from(rng.random::<f64>() < arriving.fract());
            if count > 0 && !vms[index].has_decided_start {
                let heard = &vms[index].heard;
                let is_elder = |vm: &Vm| {
                    now_ms - vm.started_ms >= WINDOW_MS
                        && heard.get(&vm.id).is_some_and(|at_ms| now_ms - at_ms < UNHEARD_MS)
                };
                let hears_elder = vms.iter().any(is_elder);
                let store_rejects = index < scenario.rejected_vms;
                let held = &mut last_partial_starts_ms[index];
                decide_start(&mut vms[index], hears_elder, held, store_rejects, now_ms);
            }
            for _ in 0..count {
                if send_request(&mut vms[index], &ids, scenario.allotment, now_ms) {
                    outcome.admitted_ms.push(now_ms);
                } else {
                    outcome.rejected += 1;
                }
            }
            let report = take_reports(&mut vms[index], scenario.allotment, rules, now_ms);
            let from = vms[index].id;
            let is_cut = vms[index].cut_until_ms > now_ms;
            for (to, other) in vms.iter().enumerate().filter(|(to, _)| *to != index) {
                let is_lost =
                    is_cut || other.cut_until_ms > now_ms || rng.random::<f64>() < scenario.loss;
                if let Some(report) = report.clone().filter(|_| !is_lost) {
                    in_transit.push((now_ms + STEP_MS, to, from, report));
                }
            }
        }
    }
    outcome
}

/// Sends a request to a VM and returns whether it is admitted.
fn send_request(vm: &mut Vm, placed: &[u64], allotment: Allotment, now_ms: u64) -> bool {
    let heard = &vm.heard;
    let is_heard = |id: u64| heard.get(&id).is_some_and(|at_ms| now_ms - at_ms < UNHEARD_MS);
    let visibility = PeerVisibility::of(vm.id, placed, is_heard, placed.len(), 0);
    let own_ms = now_ms - vm.started_ms;
    let spent = vm.allotments.spend(WORKSPACE, allotment, visibility, 0.0, own_ms);
    if spent.is_ok_and(|spent| spent.is_urgent) {
        vm.urgent_since_ms.get_or_insert(now_ms);
    }
    spent.is_ok()
}

/// Returns the reports that a VM sends by now, if any.
fn take_reports(
    vm: &mut Vm,
    allotment: Allotment,
    rules: Rules,
    now_ms: u64,
) -> Option<Vec<UsageReport>> {
    let is_periodic = now_ms - vm.reported_ms >= REPORT_INTERVAL_MS;
    let is_urgent = vm.urgent_since_ms.is_some_and(|at_ms| now_ms - at_ms >= URGENT_DELAY_MS);
    if !is_periodic && !is_urgent {
        return None;
    }
    vm.reported_ms = now_ms;
    vm.urgent_since_ms = None;
    vm.report_count += 1;
    if rules == Rules::ByRank {
        vm.allotments.refill(|_| Some(allotment), now_ms - vm.started_ms);
    }
    let since_ms = (now_ms - vm.started_ms).saturating_sub(1_000);
    Some(vm.allotments.take_due_reports(vm.report_count.is_multiple_of(5), since_ms))
}

/// Delivers reports that have arrived; those to a frozen VM wait.
fn deliver(
    vms: &mut [Vm],
    in_transit: &mut Vec<(u64, usize, u64, Vec<UsageReport>)>,
    allotment: Allotment,
    rules: Rules,
    now_ms: u64,
) {
    let arrives = |entry: &(u64, usize, u64, Vec<UsageReport>)| {
        entry.0 <= now_ms && vms[entry.1].frozen_until_ms <= now_ms
    };
    let (due, later): (Vec<_>, Vec<_>) = std::mem::take(in_transit).into_iter().partition(arrives);
    *in_transit = later;
    let started_ms: HashMap<u64, u64> = vms.iter().map(|vm| (vm.id, vm.started_ms)).collect();
    for (_, to, from, report) in due {
        let vm = &mut vms[to];
        let last_ms = vm.heard.insert(from, now_ms);
        let is_late =
            rules == Rules::ByRank && vm.late_reports.is_late(from, true, last_ms, now_ms);
        let own_ms = now_ms - vm.started_ms;
        let is_elder = started_ms.get(&from).is_some_and(|at_ms| now_ms - at_ms >= WINDOW_MS);
        for report in report {
            if is_late {
                vm.allotments.apply_late_report(from, report, allotment, own_ms);
            } else {
                let membership = EntryMembership::Both;
                vm.allotments.apply_report(from, report, allotment, membership, own_ms);
            }
            let may_adopt =
                (is_elder || own_ms < WINDOW_MS) && !vm.loop_stalls.may_read_backlog(now_ms);
            if rules == Rules::ByRank && may_adopt {
                vm.allotments.adopt_lower_room(report, allotment, own_ms);
            }
        }
    }
}

/// Returns the largest number of requests in any window, and the allowed number.
pub fn max_in_window(outcome: &Outcome, allotment: Allotment) -> (usize, f64) {
    let times = &outcome.admitted_ms;
    let mut first = 0;
    let counts = times.iter().enumerate().map(|(last, at_ms)| {
        while times[first] + WINDOW_MS <= *at_ms {
            first += 1;
        }
        last + 1 - first
    });
    let nominal = allotment.rate_per_s * WINDOW_MS as f64 / 1_000.0 + allotment.burst;
    (counts.max().unwrap_or(0), nominal * (1.0 + EXCESS_FRACTION) + SLACK)
}

/// Generates any fault at any time of any of six VMs.
pub fn fault_event() -> impl Strategy<Value = FaultEvent> {
    let fault = prop_oneof![Just(Fault::Cut), Just(Fault::Freeze), Just(Fault::Kill)];
    (1_000_u64..15_000, 0_usize..6, fault, 200_u64..8_000)
}
