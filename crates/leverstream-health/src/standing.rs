//! The states between service and ejection.

/// The ejection state of a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It carries its full share.
    Serving,
    /// It gets no requests.
    Ejected {
        /// When it was ejected.
        since_ms: u64,
        /// When trial requests may begin.
        until_ms: u64,
        /// On whose evidence it was ejected.
        reason: Reason,
    },
    /// It gets single repeatable requests as a trial.
    Trial {
        /// The time at which this state began.
        since_ms: u64,
        /// The number of successful trial requests.
        good: u32,
    },
    /// Its share of requests rises to the full share.
    Ramping {
        /// The time at which this state began.
        since_ms: u64,
    },
}

/// The evidence on which a backend server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// This VM's own requests and checks.
    Own,
    /// A majority of the VMs with enough evidence.
    Agreed,
    /// A failed trial request.
    Trial,
}

impl Reason {
    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Own => "own-work",
            Reason::Agreed => "several-vms-agree",
            Reason::Trial => "trial-failed",
        }
    }
}

impl Standing {
    /// The share of its weight that it carries, from 0 to 1.
    pub fn share(self, ramp_ms: u64, now_ms: u64) -> f64 {
        match self {
            Standing::Serving => 1.0,
            Standing::Ejected { .. } | Standing::Trial { .. } => 0.0,
            Standing::Ramping { since_ms } => {
                let age_ms = now_ms.saturating_sub(since_ms);
                (age_ms as f64 / ramp_ms.max(1) as f64).clamp(0.1, 1.0)
            }
        }
    }

    /// Tells whether it carries requests other than trials.
    pub fn is_in_service(self) -> bool {
        matches!(self, Standing::Serving | Standing::Ramping { .. })
    }

    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Standing::Serving => "serving",
            Standing::Ejected { .. } => "ejected",
            Standing::Trial { .. } => "trial",
            Standing::Ramping { .. } => "ramping",
        }
    }
}
