//! Bounds the repeats (retries and hedges) that all VMs together make for a service in any window
//! of time.
//!
//! Each VM enforces a bound that depends only on its own requests and on its share of a fixed
//! slack. These bounds add up to the bound of the fleet, so no VM has to consult another before it
//! repeats. VMs that need more borrow unused slack from others.

use std::collections::VecDeque;

/// The longest window that can be configured, in milliseconds.
pub const MAX_WINDOW_MS: u64 = 600_000;

/// How long a loan can be spent, in milliseconds, counted from when it was requested.
///
/// At a service with 11 requests a second a shorter time lets loans expire before the next request
/// needs them: in three simulated windows, 0.80, 0.75 and 0.78 of the allowance was spent with 1 s,
/// and 0.87, 0.84 and 0.76 with 1.5 s. A longer time counts the loan against more of the lender's
/// later windows.
pub const LOAN_TTL_MS: u64 = 1_500;

/// The width of one counting step, in milliseconds.
///
/// Windows begin anywhere within a step, so the requests of a step count only if the whole step
/// lies within the window. This leaves a fortieth of a 10 s window unused.
const STEP_MS: u64 = 250;

/// The fraction of the allowance that is used.
///
/// The rest covers repeats that arrive later than they were counted (connecting and transit take
/// some 10 ms) and requests that are counted later than they were sent (up to a second if the
/// connection was retried): 0.3 s of a 10 s window.
const USABLE_FRACTION: f64 = 0.97;

/// The fraction of the repeats earned by a request that counts in the windows beginning after it,
/// so that a VM can repeat at once when a service begins to fail.
///
/// The rest counts in the windows that contain the request, so that a process that has just started
/// can repeat too. With 0.3 such a process can use 0.7 of its share in its first window.
const PRECEDING_WINDOW_WEIGHT: f64 = 0.3;

/// The number of remaining repeats below which a VM requests loans.
const LOW_REPEATS: f64 = 2.0;

/// The number of requests in a window from which a VM requests loans. With fewer requests a loan
/// expires before the next request can use it.
const MIN_REQUESTS_TO_BORROW: u32 = 10;

/// The number of repeats that a lender keeps if it repeats requests itself. Without this reserve,
/// two such VMs would keep borrowing from each other.
const LENDER_RESERVE_REPEATS: f64 = 2.0 * LOW_REPEATS;

/// The smallest loan, in repeats. A fraction of a repeat is lost if nothing adds to it before the
/// loan expires.
const MIN_LOAN_REPEATS: f64 = 0.5;

/// The smallest loan as a fraction of the lender's share of the slack, which applies if it is less
/// than [`MIN_LOAN_REPEATS`].
///
/// With many VMs the share of each is small, and a borrower adds up the loans of several.
const MIN_LOAN_FRACTION: f64 = 0.5;

/// The smallest and the largest number of VMs that are asked for a loan at once.
const LENDERS_ASKED_RANGE: (f64, f64) = (2.0, 16.0);

/// The number of repeats allowed in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats allowed in addition, regardless of the number of requests.
    pub slack: f64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
}

impl RetryAllowance {
    /// Returns how many VMs to ask for a loan to get `wanted` repeats, if each of them has this
    /// allowance.
    pub fn lenders_to_ask(self, wanted: f64) -> usize {
        let (least, most) = LENDERS_ASKED_RANGE;
        (wanted / self.slack.max(f64::MIN_POSITIVE)).ceil().clamp(least, most) as usize
    }

    /// Returns the same allowance with a fraction of the slack, from 0 to 1.
    pub fn with_slack_share(self, share: f64) -> RetryAllowance {
        RetryAllowance { slack: self.slack * share, ..self }
    }
}

/// One VM's share of the repeats that all VMs together may make for a service.
///
/// The bound of the fleet holds without communication between VMs. In every window of the
/// configured length, wherever it begins, this VM makes at most
///
/// ```text
/// ratio × (PRECEDING_WINDOW_WEIGHT × its requests in the preceding window
///          + (1 - PRECEDING_WINDOW_WEIGHT) × its requests in the window)
///   + its share of the slack
/// ```
///
/// repeats. Summed over all VMs and their processes, the first term is at most `ratio` times the
/// requests in the larger of the two windows, because each process counts only the requests that it
/// received itself and its count ends with it. The second term is at most the slack as long as the
/// shares add up to no more than 1. The share belongs to the VM and not to the process: a process
/// gets no share until a window and [`LOAN_TTL_MS`] after its start, because the previous process
/// may have spent that share until it ended. The caller of this type ensures that.
///
/// A loan counts as spent by the lender until the last moment at which the borrower can spend it. A
/// loan that is lost, late, duplicated or unused therefore only tightens the bound.
#[derive(Clone, Debug, Default)]
pub struct FleetBudget {
    /// The counts of consecutive steps, without gaps.
    steps: VecDeque<Step>,
    /// The number of the first step in `steps`, counted from the start of the process.
    first_step: u64,
    /// The loans from other VMs.
    loans: Vec<Loan>,
}

/// The counts of one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    /// Requests received.
    requests: u32,
    /// Repeats made or lent to other VMs.
    spent: f64,
}

/// A loan of repeats from another VM.
#[derive(Clone, Copy, Debug)]
struct Loan {
    /// The repeats left.
    left: f64,
    /// When the loan expires.
    expires_ms: u64,
}

/// What a VM may still repeat at some moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Headroom {
    /// Requests received in the window that ends now.
    pub requests: u32,
    /// Repeats made or lent to others in the window that ends now.
    pub spent: f64,
    /// Repeats left of its own share.
    pub own: f64,
    /// Repeats left of the loans from other VMs.
    pub lent: f64,
}

impl Headroom {
    /// Returns whether one more repeat is allowed.
    pub fn has_one(self) -> bool {
        self.own + self.lent >= 1.0
    }

    /// Returns whether to request loans from other VMs.
    pub fn is_low(self) -> bool {
        self.requests >= MIN_REQUESTS_TO_BORROW && self.own + self.lent < LOW_REPEATS
    }

    /// Returns the fraction of the allowance, up to 1, that is used after one more repeat, if other
    /// VMs can lend `others` repeats.
    pub fn used_share(self, others: f64) -> f64 {
        let all = self.spent + self.own + self.lent + others;
        if all > 0.0 { ((self.spent + 1.0) / all).min(1.0) } else { 1.0 }
    }
}

impl FleetBudget {
    /// Counts a request.
    pub fn request(&mut self, allowance: RetryAllowance, now_ms: u64) {
        self.drop_expired_steps(allowance, now_ms);
        self.step_mut(now_ms / STEP_MS).requests += 1;
    }

    /// Spends one repeat if one is allowed, from loans first.
    pub fn take(&mut self, allowance: RetryAllowance, now_ms: u64) -> bool {
        let has_one = self.headroom(allowance, now_ms).has_one();
        if has_one {
            let own = 1.0 - self.spend_loans(1.0);
            self.step_mut(now_ms / STEP_MS).spent += own;
        }
        has_one
    }

    /// Returns what may be repeated now.
    pub fn headroom(&mut self, allowance: RetryAllowance, now_ms: u64) -> Headroom {
        self.drop_expired_steps(allowance, now_ms);
        self.loans.retain(|loan| now_ms < loan.expires_ms);
        let lent = self.loans.iter().fold(0.0, |sum, loan| sum + loan.left);
        let (now, window) = (now_ms / STEP_MS, allowance.window_ms.div_ceil(STEP_MS));
        let mut headroom = Headroom { requests: 0, spent: 0.0, own: 0.0, lent };
        for step in (now.saturating_sub(window)..=now).map(|step| self.step_at(step)) {
            headroom.requests += step.requests;
            headroom.spent += step.spent;
        }
        headroom.own = self.own_repeats_left(allowance, now_ms).max(0.0);
        headroom
    }

    /// Lends another VM up to `wanted` repeats and returns how many.
    ///
    /// A VM that has spent nothing in the window lends all it has left; another keeps a reserve.
    pub fn lend(&mut self, wanted: f64, allowance: RetryAllowance, now_ms: u64) -> f64 {
        let headroom = self.headroom(allowance, now_ms);
        let spare =
            if headroom.spent > 0.0 { headroom.own - LENDER_RESERVE_REPEATS } else { headroom.own };
        let loan = spare.min(wanted).min(allowance.slack);
        if loan < MIN_LOAN_REPEATS.min(MIN_LOAN_FRACTION * allowance.slack) || loan <= 0.0 {
            return 0.0;
        }
        self.step_mut((now_ms + LOAN_TTL_MS) / STEP_MS).spent += loan;
        loan
    }

    /// Adds a loan that was requested at `asked_ms`.
    pub fn borrow(&mut self, loan: f64, asked_ms: u64) {
        self.loans.push(Loan { left: loan, expires_ms: asked_ms + LOAN_TTL_MS });
    }

    /// Returns the repeats left of this VM's own share: the minimum over all windows that contain
    /// the present.
    fn own_repeats_left(&self, allowance: RetryAllowance, now_ms: u64) -> f64 {
        let (now, window) = (now_ms / STEP_MS, allowance.window_ms.div_ceil(STEP_MS));
        let requests = |step: u64| f64::from(self.step_at(step).requests);
        // Loans count as spent until they expire, which is in the future.
        let ahead = now + 1..=now + LOAN_TTL_MS / STEP_MS;
        let mut spent: f64 = ahead.map(|step| self.step_at(step).spent).sum();
        let mut in_window = 0.0;
        let mut before: f64 = (now.saturating_sub(window - 1)..now).map(requests).sum();
        let mut least = f64::INFINITY;
        // Iterates from the window that begins now to the one that ends now.
        for begin in (now.saturating_sub(window)..=now).rev() {
            spent += self.step_at(begin).spent;
            let earned =
                PRECEDING_WINDOW_WEIGHT * before + (1.0 - PRECEDING_WINDOW_WEIGHT) * in_window;
            let allowed = USABLE_FRACTION * (allowance.ratio * earned + allowance.slack);
            least = least.min(allowed - spent);
            in_window += requests(begin);
            before += begin.checked_sub(window).map_or(0.0, requests);
            before -= begin.checked_sub(1).map_or(0.0, requests);
        }
        least
    }

    /// Spends up to `wanted` repeats from loans, earliest expiry first, and returns how many.
    fn spend_loans(&mut self, wanted: f64) -> f64 {
        self.loans.sort_by_key(|loan| loan.expires_ms);
        let mut missing = wanted;
        for loan in &mut self.loans {
            let used = loan.left.min(missing);
            loan.left -= used;
            missing -= used;
        }
        wanted - missing
    }

    /// Returns the counts of a step, zero if none are kept.
    fn step_at(&self, number: u64) -> Step {
        let index = number.checked_sub(self.first_step);
        index.and_then(|index| self.steps.get(index as usize)).copied().unwrap_or_default()
    }

    /// Returns the counts of a step for update, adding steps as needed.
    fn step_mut(&mut self, number: u64) -> &mut Step {
        if self.steps.is_empty() {
            self.first_step = number;
        }
        // The clock is monotonic, so the step is never before the first one kept.
        let index = number.saturating_sub(self.first_step) as usize;
        if index >= self.steps.len() {
            self.steps.resize(index + 1, Step::default());
        }
        &mut self.steps[index]
    }

    /// Drops the steps that no window uses any more.
    fn drop_expired_steps(&mut self, allowance: RetryAllowance, now_ms: u64) {
        let window = allowance.window_ms.div_ceil(STEP_MS);
        let oldest = (now_ms / STEP_MS).saturating_sub(2 * window);
        let count = oldest.saturating_sub(self.first_step).min(self.steps.len() as u64);
        self.steps.drain(..count as usize);
        self.first_step += count;
    }
}
