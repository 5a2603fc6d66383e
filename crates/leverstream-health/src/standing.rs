/// Where a backend server stands on its way out of service and back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It carries its full share.
    Serving,
    /// It gets no work.
    Ejected {
        /// When it was ejected.
        since_ms: u64,
        /// When it may be tried.
        until_ms: u64,
        /// Why it was ejected.
        reason: Reason,
    },
    /// It gets single repeatable requests.
    Trial {
        /// Since when.
        since_ms: u64,
        /// How many went well.
        good: u32,
    },
    /// Its share is rising.
    Ramping {
        /// Since when.
        since_ms: u64,
    },
}

/// On whose evidence a backend server was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// This VM's own work showed it.
    Own,
    /// Several VMs agree.
    Agreed,
    /// A trial request went badly.
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

    /// Tells whether it carries work other than trials.
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
