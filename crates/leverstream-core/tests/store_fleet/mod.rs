//! A simulated fleet that reads the store in turn: its VMs run the real decisions on when to read and what an outage is.

use leverstream_core::{Confirmation, Freshness, ReadTurn};

/// The time step of the simulation, in milliseconds.
pub const STEP_MS: u64 = 5;

/// The usual time from a read until other VMs know of it, in milliseconds.
const REPORT_DELAY_MS: u64 = 20;

/// The time after which a VM that has ended no longer counts for the ranks of others, in milliseconds.
pub const DETECTION_MS: u64 = 2_000;

/// What the store does with the read of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// It answers.
    Answers,
    /// It refuses.
    Refuses,
    /// It says nothing.
    Silent,
}

/// How VMs are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Their reads are no longer answered.
    Cut,
    /// Their processes end.
    Kill,
}

/// A report under way.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// When it arrives.
    arrives_ms: u64,
    /// The read, by the clock of the fleet.
    read: Confirmation,
    /// For how much longer its sender holds removals back.
    hold_left_ms: u64,
}

/// A simulated VM.
#[derive(Debug)]
pub struct Vm {
    /// What it knows of the store.
    pub freshness: Freshness,
    /// The number of its reads.
    reads: u64,
    /// Until when it holds removals back.
    pub hold_until_ms: u64,
    /// Whether its process runs.
    pub is_alive: bool,
    /// When its process ended.
    ended_ms: u64,
    /// Whether its reads get lost.
    pub is_cut: bool,
    /// Until when it is paused.
    pub paused_until_ms: u64,
    /// Reports that arrived while it was paused.
    queue: Vec<Report>,
    /// When it first knew of the last change.
    pub knew_ms: Option<u64>,
    /// Until when it held removals back when it first knew of the last change.
    pub held_until_ms: u64,
}

/// A simulated fleet with its store.
pub struct Model {
    /// The VMs in the order of their ranks.
    pub vms: Vec<Vm>,
    /// The reports under way.
    reports: Vec<Report>,
    /// What the store does.
    store: StoreState,
    /// The delay of reports, in milliseconds.
    pub report_delay_ms: u64,
    /// The revision of the store.
    revision: u64,
    /// The present time.
    pub now_ms: u64,
    /// When each read was sent.
    pub sent_ms: Vec<u64>,
    /// When the first read was answered after the last time at which the store did not answer.
    pub first_answer_ms: Option<u64>,
    /// Whether the VM that is answered first after an outage is killed before its report is sent.
    pub ends_first_reader: bool,
}

impl Model {
    /// Starts a fleet in which the first VM has read the store for all.
    pub fn start(count: usize) -> Model {
        let mut vms: Vec<Vm> = (0..count as u64)
            .map(|id| Vm {
                freshness: Freshness::open(id),
                reads: 0,
                hold_until_ms: 0,
                is_alive: true,
                ended_ms: 0,
                is_cut: false,
                paused_until_ms: 0,
                queue: Vec::new(),
                knew_ms: None,
                held_until_ms: 0,
            })
            .collect();
        vms[0].freshness.record_read(1, 0);
        vms[0].reads = 1;
        let first = Confirmation { reader: 0, number: 1, revision: 1, at_ms: 0 };
        vms[1..].iter_mut().for_each(|vm| {
            vm.freshness.record_report(first);
        });
        Model {
            vms,
            reports: Vec::new(),
            store: StoreState::Answers,
            report_delay_ms: REPORT_DELAY_MS,
            revision: 1,
            now_ms: 0,
            sent_ms: Vec::new(),
            first_answer_ms: None,
            ends_first_reader: false,
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step();
            self.now_ms += STEP_MS;
        }
    }

    /// Changes the state of the store.
    pub fn set_store(&mut self, store: StoreState) {
        self.store = store;
        self.first_answer_ms = None;
    }

    /// Makes a change in the store.
    pub fn change(&mut self) {
        self.revision += 1;
        for vm in &mut self.vms {
            vm.knew_ms = None;
        }
    }

    /// Delivers reports and makes the reads that are due.
    fn step(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<Report>, Vec<Report>) =
            self.reports.drain(..).partition(|report| report.arrives_ms <= now_ms);
        self.reports = later;
        let is_ranked = |vm: &Vm| vm.is_alive || now_ms < vm.ended_ms + DETECTION_MS;
        let vms = self.vms.iter().filter(|vm| is_ranked(vm)).count();
        let mut ranked = 0;
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            let rank = ranked;
            ranked += usize::from(is_ranked(vm));
            vm.queue.extend(due.iter().copied());
            if !vm.is_alive || now_ms < vm.paused_until_ms {
                continue;
            }
            let queue = std::mem::take(&mut vm.queue);
            queue.into_iter().for_each(|report| vm.receive(report, now_ms));
            vm.note_knowledge(self.revision, now_ms);
            vm.freshness.note_running(now_ms);
            if now_ms >= vm.freshness.next_read_ms(ReadTurn { rank, vms }) {
                self.read(index);
            }
        }
    }

    /// Makes a read of a VM.
    fn read(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.sent_ms.push(now_ms);
        let vm = &mut self.vms[index];
        vm.freshness.begin_read(now_ms);
        match self.store {
            StoreState::Answers if !vm.is_cut => {}
            StoreState::Refuses if !vm.is_cut => return vm.freshness.record_refusal(now_ms),
            _ => return,
        }
        if let Some(until_ms) = vm.freshness.removal_hold_ms(now_ms, now_ms) {
            vm.hold_until_ms = vm.hold_until_ms.max(until_ms);
        }
        vm.freshness.record_read(self.revision, now_ms);
        vm.reads += 1;
        vm.note_knowledge(self.revision, now_ms);
        let is_first =
            self.first_answer_ms.replace(self.first_answer_ms.unwrap_or(now_ms)).is_none();
        if is_first && self.ends_first_reader {
            vm.end(now_ms);
            self.first_answer_ms = None;
            self.ends_first_reader = false;
            return;
        }
        self.reports.push(Report {
            arrives_ms: now_ms + self.report_delay_ms,
            read: Confirmation {
                reader: index as u64,
                number: vm.reads,
                revision: self.revision,
                at_ms: now_ms,
            },
            hold_left_ms: vm.hold_until_ms.saturating_sub(now_ms),
        });
    }

    /// Returns the VMs that run and reach the store.
    pub fn sound(&self) -> impl Iterator<Item = (usize, &Vm)> {
        self.vms.iter().enumerate().filter(|(_, vm)| vm.is_alive && !vm.is_cut)
    }
}

impl Vm {
    /// Ends its process.
    pub fn end(&mut self, now_ms: u64) {
        self.is_alive = false;
        self.ended_ms = now_ms;
    }

    /// Ends its process or cuts it off.
    pub fn lose(&mut self, loss: Loss, now_ms: u64) {
        match loss {
            Loss::Cut => self.is_cut = true,
            Loss::Kill => self.end(now_ms),
        }
    }

    /// Applies a report. Its time is taken from its arrival, so that the read looks newer by the delay of the report.
    fn receive(&mut self, report: Report, now_ms: u64) {
        let Report { read, hold_left_ms, .. } = report;
        let at_ms = now_ms;
        if !self.freshness.is_news(read.reader, read.number) {
            return;
        }
        if hold_left_ms > 0 && self.freshness.is_behind(at_ms) {
            self.hold_until_ms = self.hold_until_ms.max(now_ms + hold_left_ms);
        }
        self.freshness.record_report(Confirmation { at_ms, ..read });
    }

    /// Notes when the VM first knows of the last change.
    fn note_knowledge(&mut self, revision: u64, now_ms: u64) {
        if self.knew_ms.is_none() && self.freshness.revision() >= revision {
            self.knew_ms = Some(now_ms);
            self.held_until_ms = self.hold_until_ms;
        }
    }
}
