//! Tests of how a VM tells the age of its knowledge, and of who reads the store by it.

use leverstream_core::{Confirmation, Freshness, ReadTurn};

/// The id of the VM under test.
const OWN_ID: u64 = 1;

/// A read of another VM, as this VM knows it.
fn read(reader: u64, number: u64, at_ms: u64) -> Confirmation {
    Confirmation { reader, number, revision: 10, at_ms }
}

/// The turn of a VM in a fleet of 44.
fn turn(rank: usize) -> ReadTurn {
    ReadTurn { rank, vms: 44 }
}

/// Reads of a whole fleet whose reports reach all VMs after a delay.
struct Model {
    /// What each VM knows, by rank.
    vms: Vec<Freshness>,
    /// Reports under way: when they arrive, and the read.
    reports: Vec<(u64, Confirmation)>,
    /// The number of reads of each VM.
    numbers: Vec<u64>,
    /// When each read was sent.
    sent_ms: Vec<u64>,
}

/// The time from a read until all VMs know of it, in milliseconds.
const REPORT_DELAY_MS: u64 = 20;

impl Model {
    /// Starts VMs that all know a read of the first one at time 0.
    fn start(count: usize) -> Model {
        let mut vms: Vec<Freshness> = (0..count as u64).map(Freshness::open).collect();
        vms[0].record_read(10, 0);
        vms[1..].iter_mut().for_each(|vm| {
            vm.record_report(read(0, 1, 0));
        });
        let mut numbers = vec![0; count];
        numbers[0] = 1;
        Model { vms, reports: Vec::new(), numbers, sent_ms: Vec::new() }
    }

    /// Runs until a time; `answers` tells whether the store answers a VM at a time. Returns the greatest age of any VM in
    /// the range from `from_ms` on.
    fn run(&mut self, from_ms: u64, until_ms: u64, answers: impl Fn(usize, u64) -> bool) -> u64 {
        let mut oldest_ms = 0;
        for now_ms in 0..until_ms {
            let (due, later) = self.reports.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
            self.reports = later;
            for (_, confirmation) in due {
                self.vms.iter_mut().for_each(|vm| {
                    vm.record_report(confirmation);
                });
            }
            for rank in 0..self.vms.len() {
                let turn = ReadTurn { rank, vms: self.vms.len() };
                if now_ms < self.vms[rank].next_read_ms(turn) {
                    continue;
                }
                self.vms[rank].begin_read(now_ms);
                self.sent_ms.push(now_ms);
                if answers(rank, now_ms) {
                    self.vms[rank].record_read(10, now_ms);
                    self.numbers[rank] += 1;
                    let confirmation = read(rank as u64, self.numbers[rank], now_ms);
                    self.reports.push((now_ms + REPORT_DELAY_MS, confirmation));
                }
            }
            if now_ms >= from_ms {
                let ages = self.vms.iter().filter_map(|vm| vm.age_ms(now_ms));
                oldest_ms = oldest_ms.max(ages.max().unwrap_or(u64::MAX));
            }
        }
        oldest_ms
    }
}

/// Guards against reports that make knowledge look newer each time they go round: each report takes time, so the same read
/// seems younger to a VM that receives the report late.
#[test]
fn a_read_that_is_reported_again_makes_the_knowledge_no_newer() {
    let mut freshness = Freshness::open(OWN_ID);
    assert!(freshness.record_report(read(2, 1, 1_000)));
    assert!(!freshness.record_report(read(2, 1, 1_500)));
    freshness.record_read(11, 2_000);
    assert!(!freshness.record_report(read(OWN_ID, 1, 2_400)), "its own read comes back");
    assert_eq!(freshness.age_ms(3_000), Some(1_000));
    assert!(freshness.is_reader());
}

/// Guards against an older read that arrives late and takes the place of a newer one.
#[test]
fn the_latest_read_counts_in_whatever_order_reports_arrive() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_report(Confirmation { revision: 12, ..read(3, 7, 2_000) });
    freshness.record_report(Confirmation { revision: 9, ..read(2, 5, 1_200) });
    assert_eq!((freshness.age_ms(2_500), freshness.revision()), (Some(500), 12));
}

/// Guards against calls to the store that grow with the fleet, and against knowledge that is older than a second while the
/// store answers.
#[test]
fn one_vm_reads_for_all_while_the_store_answers() {
    for count in [3, 44, 442] {
        let mut model = Model::start(count);
        let oldest_ms = model.run(0, 10_000, |_, _| true);
        assert!(oldest_ms < 500, "{count} VMs: {oldest_ms} ms");
        assert!(model.sent_ms.len() <= 26, "{count} VMs: {} reads in 10 s", model.sent_ms.len());
    }
}

/// Guards against a fleet in which those that cannot reach the store keep others from reading it: seven of eight are cut off
/// in the order in which they would read.
#[test]
fn another_vm_takes_over_within_a_second_if_those_before_it_fail() {
    let mut model = Model::start(44);
    let oldest_ms = model.run(0, 20_000, |rank, now_ms| now_ms < 2_000 || rank >= 7);
    assert!(oldest_ms < 1_000, "{oldest_ms} ms");
    // The VM that has taken over goes on, so the search is made once.
    let later = model.sent_ms.iter().filter(|at_ms| **at_ms >= 10_000).count();
    assert!(later <= 40, "{later} reads in the last 10 s");
}

/// Guards against a store that is called by all VMs at once, during its outage or as it returns.
#[test]
fn a_store_that_answers_nobody_gets_few_calls_however_many_vms_there_are() {
    for count in [7, 44, 442, 7_000] {
        let mut model = Model::start(count);
        model.run(0, 7_000, |_, now_ms| now_ms >= 6_000);
        for from_ms in (0..7_000).step_by(500) {
            let range: std::ops::Range<u64> = from_ms..from_ms + 1_000;
            let calls = model.sent_ms.iter().filter(|at_ms| range.contains(at_ms)).count();
            assert!(calls <= 40, "{count} VMs: {calls} calls from {from_ms} ms on");
        }
        let is_known = |vm: &Freshness| vm.age_ms(7_000).is_some_and(|age_ms| age_ms < 1_000);
        assert!(model.vms.iter().all(is_known), "{count} VMs");
    }
}

/// Guards against removals that are held back though the store was there: this VM was suspended, or another one read it.
#[test]
fn removals_are_held_back_only_after_reads_in_vain() {
    let mut freshness = Freshness::open(OWN_ID);
    assert_eq!(freshness.removal_hold_ms(5_000, 5_000), None, "it has just started");
    freshness.record_read(10, 1_000);
    assert_eq!(freshness.removal_hold_ms(5_000, 5_000), None, "it sent nothing meanwhile");
    freshness.begin_read(1_400);
    assert_eq!(freshness.removal_hold_ms(1_800, 1_805), None, "one answer was lost");
    assert_eq!(freshness.removal_hold_ms(3_000, 3_005), Some(5_005), "no answer for two seconds");
    freshness.record_report(read(2, 1, 2_900));
    assert_eq!(freshness.removal_hold_ms(3_000, 3_005), None, "another VM was answered");
}

/// Guards against an outage that is not noticed since it was short: a store that refuses calls is away at once.
#[test]
fn a_store_that_refuses_calls_counts_as_away_sooner_than_one_that_is_silent() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_read(10, 1_000);
    freshness.begin_read(1_400);
    assert_eq!(freshness.removal_hold_ms(1_800, 1_805), None);
    freshness.record_refusal(1_402);
    assert_eq!(freshness.removal_hold_ms(1_800, 1_805), Some(3_805));
    freshness.record_read(11, 1_800);
    assert_eq!(freshness.removal_hold_ms(3_000, 3_005), None, "the outage is over");
}

/// Guards against a mark of an outage that only this VM's own next read would end: another VM has been answered since.
#[test]
fn an_answer_to_another_vm_ends_the_outage_for_all() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_read(10, 1_000);
    freshness.begin_read(1_400);
    freshness.record_refusal(1_400);
    freshness.record_report(read(2, 1, 3_000));
    let later_ms = 60_000;
    freshness.record_report(read(2, 2, later_ms));
    assert_eq!(freshness.removal_hold_ms(later_ms + 800, later_ms + 805), None);
    assert!(freshness.next_read_ms(turn(12)) <= later_ms + 1_100, "it waits as in an outage");
}

/// Guards against an outage that counts as over by a read that was answered before it began.
#[test]
fn an_answer_from_before_the_outage_does_not_end_it() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_read(10, 1_000);
    freshness.begin_read(1_400);
    freshness.record_refusal(1_400);
    freshness.record_report(read(2, 1, 1_300));
    assert_eq!(freshness.removal_hold_ms(2_400, 2_405), Some(4_405));
    assert_eq!(
        freshness.next_read_ms(turn(4)),
        1_400 + 44 * 50,
        "it goes on waiting as in an outage"
    );
}

/// Guards against an outage that counts as over although this VM's latest read, sent after another VM's answered one, was refused.
#[test]
fn an_outage_that_begins_anew_counts_from_the_read_after_the_answer() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_read(10, 1_000);
    for sent_ms in [1_400, 2_200] {
        freshness.begin_read(sent_ms);
        freshness.record_refusal(sent_ms);
    }
    freshness.record_report(read(2, 1, 1_800));
    assert_eq!(freshness.removal_hold_ms(2_600, 2_605), Some(4_605));
}

/// Guards against a refusal that takes long to be noticed and is taken for a new outage.
#[test]
fn a_late_refusal_of_a_read_before_an_answered_one_shows_nothing() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_read(10, 1_000);
    freshness.begin_read(1_400);
    freshness.record_report(read(2, 1, 1_900));
    freshness.record_refusal(1_400);
    assert_eq!(freshness.removal_hold_ms(2_700, 2_705), None);
}

/// Guards against a VM whose own way to the store is broken and that reads as often as those that are answered.
#[test]
fn a_vm_that_got_no_answer_itself_leaves_time_before_it_reads_again() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_read(10, 1_000);
    freshness.begin_read(1_450);
    freshness.record_report(read(2, 1, 1_460));
    assert_eq!(freshness.next_read_ms(turn(0)), 1_450 + 800);
    freshness.record_read(10, 2_250);
    assert_eq!(freshness.next_read_ms(turn(0)), 2_250 + 400);
}

/// Guards against an outage that is overlooked because the VM that is answered first ranks so low that it had not tried before, and
/// against a VM that was suspended and takes that for an outage.
#[test]
fn a_long_time_without_any_answer_is_an_outage_to_a_vm_that_ran_all_the_while() {
    let mut running = Freshness::open(OWN_ID);
    running.record_report(read(2, 1, 1_000));
    (0..=5_500).step_by(500).for_each(|now_ms| running.note_running(now_ms));
    assert_eq!(running.removal_hold_ms(5_400, 5_405), None, "many VMs may be lost");
    assert_eq!(running.removal_hold_ms(5_600, 5_605), Some(7_605));
    let mut suspended = Freshness::open(OWN_ID);
    suspended.record_report(read(2, 1, 1_000));
    [500, 1_000, 5_500].iter().for_each(|now_ms| suspended.note_running(*now_ms));
    assert_eq!(suspended.removal_hold_ms(5_600, 5_605), None, "it was suspended");
}

/// Guards against refusals that are noticed in another order than their reads were sent.
#[test]
fn refusals_count_by_when_their_reads_were_sent() {
    let mut freshness = Freshness::open(OWN_ID);
    freshness.record_read(10, 1_000);
    [1_400, 1_800].iter().for_each(|sent_ms| freshness.begin_read(*sent_ms));
    [1_800, 1_400].iter().for_each(|sent_ms| freshness.record_refusal(*sent_ms));
    assert_eq!(freshness.refused_ms(2_000), Some(600));
    freshness.record_report(read(2, 1, 1_600));
    assert_eq!(freshness.refused_ms(2_000), Some(200));
}
