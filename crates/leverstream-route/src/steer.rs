use rand::Rng;

/// What a certain failure costs a request that can be repeated.
const FAILURE_COST_REPEATABLE: f64 = 2.5;

/// What a certain failure costs a request that cannot be repeated.
const FAILURE_COST_ONCE: f64 = 8.0;

/// The chance of a failure from which a backend server is avoided by a request that can be repeated: where
/// it stalls, another is asked in time.
const AVOID_FROM_REPEATABLE: f64 = 0.5;

/// The same for a request that cannot be repeated.
const AVOID_FROM_ONCE: f64 = 0.35;

/// What a backend server that has just started costs, which works at half its speed.
const COLD_COST: f64 = 0.3;

/// The chance of a failure below which a backend server is likely sound: half of what one shows of which nothing
/// is known where three tenths of the time is spent in episodes.
const LIKELY_SOUND_BELOW: f64 = 0.15;

/// By how much the chance of a failure must exceed that of a backend server of which nothing was heard for one
/// to be avoided: not having been used is no evidence against anybody.
const AVOID_MARGIN: f64 = 0.05;

/// What being owed work by the floor takes off the cost: so much that one in doubt gets it, the least
/// doubtful first, unless it is full.
const OWED_CREDIT: f64 = 10.0;

/// What lying idle takes off the cost where too few sound backend servers have work: about as much as its own
/// doubt adds after some seconds where a third of the backend servers are in an episode.
const IDLE_CREDIT: f64 = 1.0;

/// Two costs that differ by less than this are equal; chance decides.
const COST_STEP: f64 = 0.01;

/// A backend server that a request could go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Requests under way there, from all VMs as far as known.
    pub load: u32,
    /// How many it works on at once.
    pub slots: u32,
    /// What it costs that it stands in another data hall; 0 if it stands in the VM's own.
    pub far_cost: f64,
    /// Whether it has just started.
    pub is_cold: bool,
    /// The chance that a request fails there, from 0 to 1.
    pub failure_chance: f64,
    /// How many times longer than its peers it takes.
    pub slowness: f64,
    /// The chance that a request fails at a backend server of the service of which nothing was heard for long.
    pub unseen_chance: f64,
    /// How it stands to the floor.
    pub standing: FloorStanding,
    /// What the floor claims for it.
    pub claim: Claim,
    /// Whether this request was there already.
    pub is_tried: bool,
    /// For how many backend servers of which nothing was heard of late it stands; 1 if for itself only.
    pub stands_for: f64,
}

/// How a backend server stands to the floor of sound ones that must have work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FloorStanding {
    /// Whether it counts as sound: it has not failed a short while ago.
    pub is_sound: bool,
    /// Whether it is neither slow nor new.
    pub is_steady: bool,
    /// How long ago a request last reached it, in milliseconds; 0 if one is on its way.
    pub unused_ms: u64,
}

/// What the floor claims for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Nothing.
    None,
    /// It lies idle where too few sound ones have work: it is preferred.
    Preferred,
    /// It must get work, also if it is in doubt.
    Owed,
}

impl Choice {
    /// What it costs to send a request there: its share of the slots, weighed up with the rest.
    fn cost(&self, is_repeatable: bool) -> f64 {
        let failure_cost = if is_repeatable { FAILURE_COST_REPEATABLE } else { FAILURE_COST_ONCE };
        let load = f64::from(self.load + 1) / f64::from(self.slots.max(1));
        let cold = if self.is_cold { COLD_COST } else { 0.0 };
        let credit = match self.claim {
            Claim::None => 0.0,
            Claim::Preferred => IDLE_CREDIT,
            Claim::Owed => OWED_CREDIT,
        };
        load * self.slowness + self.far_cost + cold + failure_cost * self.failure_chance - credit
    }

    /// Tells whether it is avoided while others can do the work.
    pub fn is_avoided(&self, is_repeatable: bool) -> bool {
        self.claim != Claim::Owed && self.is_in_doubt(is_repeatable)
    }

    /// Tells whether a request that runs once may well go there, whatever is known of the others.
    pub fn is_likely_sound(&self) -> bool {
        self.failure_chance < LIKELY_SOUND_BELOW
    }

    /// Tells whether what was seen of it speaks against it.
    pub fn is_in_doubt(&self, is_repeatable: bool) -> bool {
        let avoid_from = if is_repeatable { AVOID_FROM_REPEATABLE } else { AVOID_FROM_ONCE };
        self.failure_chance >= avoid_from.max(self.unseen_chance + AVOID_MARGIN)
    }

    /// Tells whether it stands in another data hall than the VM.
    pub fn is_far(&self) -> bool {
        self.far_cost > 0.0
    }

    /// Tells whether it has a free slot.
    fn is_free(&self) -> bool {
        self.load < self.slots
    }
}

/// Chooses where a request goes: the index of a choice, or none if it had better wait.
///
/// Those that are avoided take work only when `accepts_avoided` says that waiting for another is not
/// worth it, and one that was tried already only when there is no other at all.
pub fn steer(
    choices: &[Choice],
    is_repeatable: bool,
    accepts_avoided: bool,
    rng: &mut impl Rng,
) -> Option<usize> {
    let best = |is_fit: &dyn Fn(&Choice) -> bool, rng: &mut _| {
        let fit = choices.iter().enumerate().filter(|(_, choice)| is_fit(choice));
        least(fit.map(|(index, choice)| (index, choice.cost(is_repeatable))), rng)
    };
    let has_untried = choices.iter().any(|choice| !choice.is_tried);
    let may_go = |choice: &Choice| choice.is_free() && (!choice.is_tried || !has_untried);
    let good = best(&|choice| may_go(choice) && !choice.is_avoided(is_repeatable), rng);
    let has_sound =
        choices.iter().any(|choice| !choice.is_avoided(is_repeatable) && !choice.is_tried);
    if good.is_some() || (has_sound && !accepts_avoided) {
        return good;
    }
    best(&may_go, rng)
}

/// The index with the least cost; chance decides among equals.
fn least(costs: impl Iterator<Item = (usize, f64)>, rng: &mut impl Rng) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut equals = 0_u32;
    for (index, cost) in costs {
        match best {
            Some((_, least)) if cost > least + COST_STEP => {}
            Some((_, least)) if cost >= least - COST_STEP => {
                equals += 1;
                if rng.random_range(0..=equals) == 0 {
                    best = Some((index, cost));
                }
            }
            _ => {
                best = Some((index, cost));
                equals = 0;
            }
        }
    }
    best.map(|(index, _)| index)
}
