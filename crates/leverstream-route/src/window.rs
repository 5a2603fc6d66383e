use std::collections::VecDeque;

/// The width of one count, in milliseconds.
const STEP_MS: u64 = 500;

/// How much of the allowance is used, so that clocks and late counts cannot push the sum over it.
const SAFETY: f64 = 0.85;

/// What all VMs together may repeat in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, however few requests there are.
    pub slack: f64,
    /// The length of the window.
    pub window_ms: u64,
}

/// Bounds one VM's repeats for a service in any window, as its part of what all VMs may do.
///
/// Requests and repeats are counted in steps over one window. A VM may repeat in proportion to its
/// own requests, and the slack is divided among the VMs that share the traffic.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    /// The steps, the oldest first.
    steps: VecDeque<Step>,
}

/// The counts of one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    /// When it began.
    from_ms: u64,
    /// Requests.
    requests: u32,
    /// Repeats.
    repeats: u32,
}

impl RetryWindow {
    /// Counts a request.
    pub fn request(&mut self, now_ms: u64) {
        self.step(now_ms).requests += 1;
    }

    /// Takes one repeat if this VM's part allows it; `slack_part` is its part of the slack.
    pub fn take(&mut self, allowance: RetryAllowance, slack_part: f64, now_ms: u64) -> bool {
        let oldest_ms = now_ms.saturating_sub(allowance.window_ms + STEP_MS);
        while self.steps.front().is_some_and(|step| step.from_ms < oldest_ms) {
            self.steps.pop_front();
        }
        let sum = |count: fn(&Step) -> u32| self.steps.iter().map(count).sum::<u32>();
        let (requests, repeats) = (sum(|step| step.requests), sum(|step| step.repeats));
        let slack = allowance.slack * slack_part;
        let allowed = SAFETY * (allowance.ratio * f64::from(requests) + slack);
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.step(now_ms).repeats += 1;
        true
    }

    /// The step of the present time.
    fn step(&mut self, now_ms: u64) -> &mut Step {
        let from_ms = now_ms - now_ms % STEP_MS;
        if self.steps.back().is_none_or(|step| step.from_ms < from_ms) {
            self.steps.push_back(Step { from_ms, ..Step::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
