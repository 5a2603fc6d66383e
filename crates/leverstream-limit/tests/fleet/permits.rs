//! Requests for permits, and the answers of arbiters.

use leverstream_limit::{Role, Step, Verdict};

use super::{Action, Scheme, Simulation, incarnation, score};

/// The size of a question and its answer, in bytes.
const QUESTION_BYTES: u64 = 220;

impl Simulation {
    /// Advances all pending requests for permits.
    pub(super) fn advance_permits(&mut self, now_ms: u64) {
        for at in 0..self.scenario.vms {
            if self.vms[at].down_until_ms > now_ms || self.vms[at].permits.is_empty() {
                continue;
            }
            let mut numbers: Vec<u64> = self.vms[at].permits.keys().copied().collect();
            numbers.sort_unstable();
            for number in numbers {
                self.step(at, number, now_ms);
            }
        }
    }

    /// Advances one request for a permit.
    pub(super) fn step(&mut self, at: usize, number: u64, now_ms: u64) {
        loop {
            let vm = &mut self.vms[at];
            let Some(permit) = vm.permits.get_mut(&number) else { return };
            match permit.step(&mut vm.unresponsive, now_ms) {
                Step::Granted(_) => {
                    vm.permits.remove(&number);
                    self.send_request(at, now_ms);
                    return;
                }
                Step::Denied { until_ms, .. } => {
                    vm.permits.remove(&number);
                    vm.denied_until_ms = until_ms;
                    self.recording.unsent += 1;
                    return;
                }
                Step::Wait(_) => {
                    self.recording.waited_ms += 1;
                    return;
                }
                Step::Ask(to) if to == at => {
                    let verdict = self.verdict(at, at, now_ms);
                    if let Some(permit) = self.vms[at].permits.get_mut(&number) {
                        permit.record_verdict(at, verdict, now_ms);
                    }
                }
                Step::Ask(to) => {
                    let (epoch, (per_s, sent_ms)) = (vm.epoch, vm.known_limit);
                    let age_ms = now_ms as i64 - sent_ms;
                    self.recording.bytes += QUESTION_BYTES;
                    let question =
                        Action::Question { from: at, to, epoch, permit: number, per_s, age_ms };
                    self.datagram(at, to, &question, now_ms);
                }
            }
        }
    }

    /// Returns a VM's answer as an arbiter.
    pub(super) fn verdict(&mut self, at: usize, asker: usize, now_ms: u64) -> Verdict {
        let rank = self.chosen(at).iter().position(|vm| *vm == at);
        let is_arbiter = rank.is_some_and(|rank| rank < self.scenario.scheme.arbiters);
        let role = if is_arbiter { Role::Arbiter } else { Role::StandIn };
        let vm = &mut self.vms[at];
        let count = |list: &[bool]| list.iter().filter(|is| **is).count();
        let least = if self.scenario.vms > 1 { 2 } else { 1 };
        if count(&vm.sees) * 2 <= count(&vm.known).max(least) {
            return Verdict::Unable;
        }
        match vm.known_limit.0 {
            Some(per_s) => vm.arbiter.ask(&incarnation(), per_s, role, asker as u64, now_ms),
            None => Verdict::Granted,
        }
    }

    /// Returns the arbiters and stand-ins, as a VM sees them.
    pub(super) fn chosen(&self, at: usize) -> Vec<usize> {
        let Scheme { arbiters, stand_ins, .. } = self.scenario.scheme;
        let mut chosen: Vec<usize> =
            (0..self.scenario.vms).filter(|other| self.vms[at].sees[*other]).collect();
        chosen.sort_unstable_by_key(|other| score(*other));
        chosen.truncate(arbiters + stand_ins);
        chosen
    }
}
