use leverstream_catalog::Incarnation;

use crate::Fleet;

/// How long a VM that shares the traffic waits before it compares again: the answer to the last question is on its way.
const COMPARE_PAUSE_MS: u64 = 60;

/// How long one that does not share it waits: few callers ask it, and a list of a hundred takes 5 kB.
const STRAY_PAUSE_MS: u64 = 1_000;

/// How VMs come to know the same of backend servers that leave by their own word.
///
/// A word is told at once by whoever hears it from the backend server. A fingerprint of all that is known goes with what VMs
/// tell each other anyway; who sees another one tells its own and asks. So lost datagrams, and a VM that was cut off or
/// stood still, cost the time to the next one. Once the platform tells the same, nothing more is said.
#[derive(Clone, Copy, Debug, Default)]
pub struct Leavers {
    /// When this VM last compared what it knows with another.
    compared_ms: Option<u64>,
}

/// What a VM tells another of starts that leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaversTold {
    /// The starts.
    pub starts: Vec<Incarnation>,
    /// Whether it wants to be told what the other knows.
    pub asks: bool,
}

/// What came of what another VM told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaversHeard {
    /// The starts that were news.
    pub news: Vec<Incarnation>,
    /// What to answer.
    pub answer: Option<LeaversTold>,
}

impl Leavers {
    /// Takes in another VM's fingerprint; what to tell it, if the two differ.
    pub fn compare(
        &mut self,
        theirs: u64,
        fleet: &Fleet,
        is_sharer: bool,
        now_ms: u64,
    ) -> Option<LeaversTold> {
        if theirs == fleet.leavers_fingerprint() {
            return None;
        }
        let pause_ms = if is_sharer { COMPARE_PAUSE_MS } else { STRAY_PAUSE_MS };
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < pause_ms;
        if self.compared_ms.is_some_and(is_recent) {
            return None;
        }
        self.compared_ms = Some(now_ms);
        // Whoever knows of none is only told.
        Some(LeaversTold { starts: fleet.leavers().collect(), asks: theirs != 0 })
    }

    /// Takes in what another VM tells.
    pub fn hear(said: LeaversTold, fleet: &mut Fleet, now_ms: u64) -> LeaversHeard {
        let LeaversTold { starts, asks } = said;
        let news = starts.into_iter().filter(|of| fleet.leave(of, now_ms)).collect();
        let known = || LeaversTold { starts: fleet.leavers().collect(), asks: false };
        LeaversHeard { news, answer: asks.then(known) }
    }
}
