//! The exchange of reports by one VM of the simulated fleet, as the gateway does it.

use leverstream_suspect::{RequestDigest, SuspectReport, Suspects};
use rand::Rng;
use rand::rngs::StdRng;

/// The interval between ticks of a VM, in milliseconds.
pub const TICK_MS: u64 = 20;

/// The interval between pings to a random other VM, in milliseconds.
const PING_INTERVAL_MS: u64 = 400;

/// The delays after which a report is sent again, in milliseconds.
const REPEAT_DELAYS_MS: [u64; 2] = [250, 1_000];

/// The minimum time between two comparisons that a VM starts, in milliseconds.
const COMPARE_PAUSE_MS: u64 = 60;

/// A message between VMs.
#[derive(Clone, Debug)]
pub enum Message {
    /// A packet of the membership protocol, with the fingerprint and whether it asks for an answer.
    Member(u64, bool),
    /// The compared reports, and whether the sender asks for the receiver's.
    Suspects(Vec<SuspectReport>, bool),
}

/// A VM's process.
pub struct Vm {
    /// The recorded ends of requests.
    pub suspects: Suspects,
    /// The reports to send, with their due times.
    pending: Vec<(u64, RequestDigest)>,
    /// The time of the next ping.
    ping_ms: u64,
    /// The time of the last comparison that it started.
    asked_ms: Option<u64>,
}

impl Vm {
    /// Starts a process.
    pub fn start(ends_to_refuse: usize) -> Vm {
        let suspects = Suspects::open(ends_to_refuse);
        Vm { suspects, pending: Vec::new(), ping_ms: 0, asked_ms: None }
    }

    /// Schedules reports about a request, one at once and the repeats.
    pub fn schedule_reports(&mut self, digest: RequestDigest, now_ms: u64) {
        self.pending.retain(|(_, other)| *other != digest);
        self.pending.push((now_ms, digest));
        self.pending.extend(REPEAT_DELAYS_MS.map(|delay_ms| (now_ms + delay_ms, digest)));
    }

    /// Returns the messages that are due, with their receivers.
    pub fn tick(
        &mut self,
        me: usize,
        vms: usize,
        rng: &mut StdRng,
        now_ms: u64,
    ) -> Vec<(usize, Message)> {
        let mut out = Vec::new();
        let due = self.pending.extract_if(.., |(due_ms, _)| *due_ms <= now_ms);
        let due: Vec<RequestDigest> = due.map(|(_, digest)| digest).collect();
        let report: Vec<SuspectReport> =
            due.into_iter().filter_map(|digest| self.suspects.report(digest, now_ms)).collect();
        if !report.is_empty() {
            let others = (0..vms).filter(|vm| *vm != me);
            out.extend(others.map(|vm| (vm, Message::Suspects(report.clone(), false))));
        }
        if now_ms >= self.ping_ms && vms > 1 {
            self.ping_ms = now_ms + PING_INTERVAL_MS;
            let to = (me + rng.random_range(1..vms)) % vms;
            out.push((to, Message::Member(self.suspects.fingerprint(), true)));
        }
        out
    }

    /// Handles a message; returns the answers.
    pub fn receive(&mut self, message: &Message, now_ms: u64) -> Vec<Message> {
        let mut out = Vec::new();
        match message {
            Message::Member(theirs, is_ping) => {
                if *is_ping {
                    out.push(Message::Member(self.suspects.fingerprint(), false));
                }
                let has_asked =
                    self.asked_ms.is_some_and(|asked_ms| now_ms - asked_ms < COMPARE_PAUSE_MS);
                if *theirs != self.suspects.fingerprint() && !has_asked {
                    self.asked_ms = Some(now_ms);
                    let known = self.suspects.compared(now_ms).collect();
                    out.push(Message::Suspects(known, *theirs != 0));
                }
            }
            Message::Suspects(report, asks) => {
                report.iter().for_each(|report| {
                    self.suspects.merge(report, now_ms);
                });
                if *asks {
                    out.push(Message::Suspects(self.suspects.compared(now_ms).collect(), false));
                }
            }
        }
        out
    }
}
