//! Reports between VMs.

use std::rc::Rc;

use leverstream_health::BackendKey;

use super::super::state::Event;
use super::{HALLS, Model};

/// Delay that batches reports to VMs of the same data hall, in milliseconds.
const SAME_HALL_DELAY_MS: u64 = 8;

/// Delay that batches reports to VMs of other data halls, in milliseconds; failures aren't delayed.
const OTHER_HALLS_DELAY_MS: u64 = 30;

/// Transit time of a datagram, in milliseconds.
const TRANSIT_MS: u64 = 1;

/// Bytes of an empty datagram, and bytes per backend server reported in it.
const DATAGRAM_BYTES: (u64, u64) = (80, 40);

impl Model<'_> {
    /// Schedules a report of a VM to the VMs of its data hall.
    pub(super) fn schedule_report(&mut self, vm: usize, now_ms: u64) {
        if !std::mem::replace(&mut self.vms[vm].is_report_due.0, true) {
            self.events.schedule(now_ms + SAME_HALL_DELAY_MS, Event::ReportInHall(vm));
        }
    }

    /// Sends the new reports of a VM to its data hall, and to the other data halls at once if one is a failure.
    pub(super) fn report_in_hall(&mut self, vm: usize, now_ms: u64) {
        self.vms[vm].is_report_due.0 = false;
        let (keys, has_failure) = self.vms[vm].fleet.take_unreported();
        let hall = self.vms[vm].hall;
        self.send_reports(vm, &keys, |other| other == hall, now_ms);
        self.vms[vm].for_other_halls.extend(keys);
        if has_failure {
            self.report_to_other_halls(vm, true, now_ms);
        } else if !std::mem::replace(&mut self.vms[vm].is_report_due.1, true) {
            self.events.schedule(now_ms + OTHER_HALLS_DELAY_MS, Event::ReportToOtherHalls(vm));
        }
    }

    /// Sends the collected reports to the VMs of other data halls.
    ///
    /// A failure goes directly to each VM; other reports go to one VM of each data hall, which relays them.
    pub(super) fn report_to_other_halls(&mut self, vm: usize, is_direct: bool, now_ms: u64) {
        self.vms[vm].is_report_due.1 = false;
        let mut keys: Vec<BackendKey> = self.vms[vm].for_other_halls.drain().collect();
        keys.sort_unstable();
        let hall = self.vms[vm].hall;
        let receivers = self.send_reports(vm, &keys, |other| other != hall, now_ms);
        let datagrams = if is_direct { receivers } else { receivers.min(HALLS.len() as u64 - 1) };
        let (head, each) = DATAGRAM_BYTES;
        self.figures.report_bytes += datagrams * (head + each * keys.len() as u64);
    }

    /// Sends reports on backend servers to the VMs of some data halls and returns the number of receivers.
    fn send_reports(
        &mut self,
        vm: usize,
        keys: &[BackendKey],
        is_receiver_hall: impl Fn(usize) -> bool,
        now_ms: u64,
    ) -> u64 {
        if keys.is_empty() {
            return 0;
        }
        let reports = Rc::new(self.vms[vm].fleet.reports(keys, now_ms));
        let others = (0..self.vms.len())
            .filter(|other| *other != vm && is_receiver_hall(self.vms[*other].hall));
        let others: Vec<usize> = others.collect();
        for other in &others {
            let event = Event::ReceiveReports(*other, vm, Rc::clone(&reports));
            self.events.schedule(now_ms + TRANSIT_MS, event);
        }
        others.len() as u64
    }
}
