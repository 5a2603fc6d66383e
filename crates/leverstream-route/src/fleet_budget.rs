use std::collections::VecDeque;

/// The longest window, in milliseconds.
pub const LONGEST_WINDOW_MS: u64 = 600_000;

/// For how long after the question what another VM lends may be spent, in milliseconds: at a service with 11
/// requests a second a shorter time lets loans lapse before the next request wants them (0.80, 0.75 and 0.78 of what is
/// allowed were spent in three windows with 1 s, 0.87, 0.84 and 0.76 with 1.5 s, in simulated time), and a longer one
/// keeps them from the lender's next window.
pub const LOAN_HOLDS_MS: u64 = 1_500;

/// The width of one count, in milliseconds. Windows begin anywhere within a step, so a step's requests count only
/// where all of it lies in the window: a fortieth of a window of 10 s is not used.
const STEP_MS: u64 = 250;

/// How much of the allowance is used. The rest covers that a repeat arrives later than it was counted (a
/// connection and the way there, some 10 ms) and a request is counted later than it was sent (up to a second where
/// its connection was tried again): 0.3 s of a window of 10 s.
const SAFETY: f64 = 0.97;

/// The part of what a request earns that counts in the windows that begin after it, so that a service which begins
/// to fail can be repeated at once. The rest counts in the windows in which the request lies, so that a
/// process which has just started may repeat too. With 0.3 it may repeat 0.7 of its share in its first window.
const LATER_PART: f64 = 0.3;

/// Below how many repeats left a VM asks others for more.
const LOW: f64 = 2.0;

/// From how many requests in a window a VM asks others: one that hardly gets any would let what is lent lapse, as the
/// next request that wants it comes too late.
const ASKS_FROM: u32 = 10;

/// How many repeats a VM that repeats itself keeps when others ask: they would only take turns asking.
const KEPT: f64 = 2.0 * LOW;

/// The smallest loan: a part of a repeat that nothing comes to for as long as loans hold is lost.
const LEAST_LOAN: f64 = 0.5;

/// The part of a VM's own slack that it lends at least, where all of it is less than twice the smallest loan: of many VMs
/// each has little, and whoever asks adds up what several lend.
const LEAST_LOAN_PART: f64 = 0.5;

/// The fewest and the most VMs that are asked at once.
const ASKED_AT_ONCE: (f64, f64) = (2.0, 16.0);

/// What may be repeated in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, however few requests there are.
    pub slack: f64,
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
}

impl RetryAllowance {
    /// How many VMs with such a part are asked at once by one that wants so many repeats.
    pub fn asked_at_once(self, wanted: f64) -> usize {
        let (least, most) = ASKED_AT_ONCE;
        (wanted / self.slack.max(f64::MIN_POSITIVE)).ceil().clamp(least, most) as usize
    }

    /// The same with a part of the slack, from 0 to 1.
    pub fn with_part(self, part: f64) -> RetryAllowance {
        RetryAllowance { slack: self.slack * part, ..self }
    }
}

/// One VM's part of the repeats that all VMs together may make for a service.
///
/// No VM needs a word of another to stay within the bound. In every window that begins at some time, this VM
/// repeats at most
///
/// ```text
/// ratio × (LATER_PART × its requests in the window before + (1 - LATER_PART) × its requests in the window)
///   + its part of the slack
/// ```
///
/// Each term is a sum over VMs and over their lives, so all of them together repeat at most `ratio` times the
/// requests of one of the two windows, and the slack, if the parts of the slack add up to no more than 1. The
/// requests pay for the first term: a process counts only those that it received, and its count ends with it.
/// The part of the slack is the VM's, not the process's: whoever calls gives a process none until a window and
/// [`LOAN_HOLDS_MS`] after its start, since the process before it may have spent that part until it ended.
///
/// What one VM lends is spent there, until the last moment at which the other may spend it. A loan that is
/// lost, late, doubled or not used makes the bound only tighter.
#[derive(Clone, Debug, Default)]
pub struct FleetBudget {
    /// What was counted in each step, without gaps.
    steps: VecDeque<Step>,
    /// The number of the first step since the process started.
    first: u64,
    /// What other VMs have lent.
    loans: Vec<Loan>,
}

/// What was counted in one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    /// Requests.
    requests: u32,
    /// Repeats made, and lent to others.
    spent: f64,
}

/// Repeats that another VM has lent.
#[derive(Clone, Copy, Debug)]
struct Loan {
    /// How many are left.
    left: f64,
    /// Until when they may be made.
    until_ms: u64,
}

/// What a VM may repeat at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// How many requests it received in the window that ends now.
    pub requests: u32,
    /// What it has repeated or lent in the window that ends now.
    pub spent: f64,
    /// What it may repeat yet of its own.
    pub own: f64,
    /// What it may repeat yet of what others have lent.
    pub lent: f64,
}

impl Room {
    /// Tells whether one more repeat may be made.
    pub fn has_one(self) -> bool {
        self.own + self.lent >= 1.0
    }

    /// Tells whether others should be asked for more.
    pub fn is_low(self) -> bool {
        self.requests >= ASKS_FROM && self.own + self.lent < LOW
    }

    /// The part of what may be repeated that one more repeat would use up, up to 1, where others can spare so much.
    pub fn used_part(self, others: f64) -> f64 {
        let all = self.spent + self.own + self.lent + others;
        if all > 0.0 { ((self.spent + 1.0) / all).min(1.0) } else { 1.0 }
    }
}

impl FleetBudget {
    /// Counts a request.
    pub fn request(&mut self, part: RetryAllowance, now_ms: u64) {
        self.forget(part, now_ms);
        self.step(now_ms / STEP_MS).requests += 1;
    }

    /// Takes one repeat if there is room for it.
    pub fn take(&mut self, part: RetryAllowance, now_ms: u64) -> bool {
        let has_one = self.room(part, now_ms).has_one();
        if has_one {
            let own = 1.0 - self.use_loans(1.0);
            self.step(now_ms / STEP_MS).spent += own;
        }
        has_one
    }

    /// What may be repeated now.
    pub fn room(&mut self, part: RetryAllowance, now_ms: u64) -> Room {
        self.forget(part, now_ms);
        self.loans.retain(|loan| now_ms < loan.until_ms);
        let lent = self.loans.iter().fold(0.0, |sum, loan| sum + loan.left);
        let (now, window) = (now_ms / STEP_MS, part.window_ms.div_ceil(STEP_MS));
        let mut room = Room { requests: 0, spent: 0.0, own: 0.0, lent };
        for step in (now.saturating_sub(window)..=now).map(|step| self.at(step)) {
            room.requests += step.requests;
            room.spent += step.spent;
        }
        room.own = self.own_room(part, now_ms).max(0.0);
        room
    }

    /// Lends another VM up to so many repeats: all that this one has if it does not repeat itself.
    pub fn lend(&mut self, wanted: f64, part: RetryAllowance, now_ms: u64) -> f64 {
        let room = self.room(part, now_ms);
        let spare = if room.spent > 0.0 { room.own - KEPT } else { room.own };
        let loan = spare.min(wanted).min(part.slack);
        if loan < LEAST_LOAN.min(LEAST_LOAN_PART * part.slack) || loan <= 0.0 {
            return 0.0;
        }
        self.step((now_ms + LOAN_HOLDS_MS) / STEP_MS).spent += loan;
        loan
    }

    /// Takes in what another VM lends in answer to a question of `asked_ms`.
    pub fn borrow(&mut self, loan: f64, asked_ms: u64) {
        self.loans.push(Loan { left: loan, until_ms: asked_ms + LOAN_HOLDS_MS });
    }

    /// What is left of this VM's own part in the window, of those that hold the present, in which least is left.
    fn own_room(&self, part: RetryAllowance, now_ms: u64) -> f64 {
        let (now, window) = (now_ms / STEP_MS, part.window_ms.div_ceil(STEP_MS));
        let requests = |step: u64| f64::from(self.at(step).requests);
        // What is lent counts up to when it may be spent, which lies ahead.
        let ahead = now + 1..=now + LOAN_HOLDS_MS / STEP_MS;
        let mut spent: f64 = ahead.map(|step| self.at(step).spent).sum();
        let mut within = 0.0;
        let mut before: f64 = (now.saturating_sub(window - 1)..now).map(requests).sum();
        let mut least = f64::INFINITY;
        // From the window that begins now to that which ends now.
        for begin in (now.saturating_sub(window)..=now).rev() {
            spent += self.at(begin).spent;
            let earned = LATER_PART * before + (1.0 - LATER_PART) * within;
            let allowed = SAFETY * (part.ratio * earned + part.slack);
            least = least.min(allowed - spent);
            within += requests(begin);
            before += begin.checked_sub(window).map_or(0.0, requests);
            before -= begin.checked_sub(1).map_or(0.0, requests);
        }
        least
    }

    /// Uses up to so much of what others have lent, what ends first first; returns how much.
    fn use_loans(&mut self, wanted: f64) -> f64 {
        self.loans.sort_by_key(|loan| loan.until_ms);
        let mut missing = wanted;
        for loan in &mut self.loans {
            let used = loan.left.min(missing);
            loan.left -= used;
            missing -= used;
        }
        wanted - missing
    }

    /// What was counted in a step.
    fn at(&self, number: u64) -> Step {
        let index = number.checked_sub(self.first);
        index.and_then(|index| self.steps.get(index as usize)).copied().unwrap_or_default()
    }

    /// A step to count in.
    fn step(&mut self, number: u64) -> &mut Step {
        if self.steps.is_empty() {
            self.first = number;
        }
        // What is counted never lies before what is kept: the clock does not go back.
        let index = number.saturating_sub(self.first) as usize;
        if index >= self.steps.len() {
            self.steps.resize(index + 1, Step::default());
        }
        &mut self.steps[index]
    }

    /// Forgets what no window counts any more.
    fn forget(&mut self, part: RetryAllowance, now_ms: u64) {
        let window = part.window_ms.div_ceil(STEP_MS);
        let oldest = (now_ms / STEP_MS).saturating_sub(2 * window);
        let count = oldest.saturating_sub(self.first).min(self.steps.len() as u64);
        self.steps.drain(..count as usize);
        self.first += count;
    }
}
