//! The registry of pickers and the choice of a backend server with one of them.

use leverstream_health::BackendKey;
use rand::Rng;

/// One in this many repeatable requests goes to a backend server on trial.
const TRIAL_ONE_IN: u32 = 4;

/// A backend server from which a picker chooses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its key.
    pub key: BackendKey,
    /// The requests in flight there, from all VMs as far as known.
    pub load: u32,
    /// The requests in flight there from this VM.
    pub own: u32,
    /// The largest number of requests that leverstream may have in flight there.
    pub slots: u32,
    /// Its weight times the share that its health allows; 0 if it takes no requests.
    pub weight: f64,
    /// Whether it is on trial: it gets only single repeatable requests.
    pub is_trial: bool,
}

/// The properties of a request that affect the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// The backend servers that it was already sent to.
    pub tried: &'a [BackendKey],
}

/// What a picker uses in addition to the candidates.
pub struct PickContext<'a, R: Rng + ?Sized> {
    /// A counter that increases with each request.
    pub count: u64,
    /// The random number generator.
    pub rng: &'a mut R,
}

/// A strategy to choose among backend servers, registered by name.
pub struct Picker {
    /// The name in settings and reports.
    pub name: &'static str,
    /// Returns the index of a candidate; all are fit and have a free slot.
    pub pick: fn(&[Candidate], u64, &mut dyn rand::RngCore) -> Option<usize>,
}

inventory::collect!(Picker);

/// Returns all registered pickers.
pub fn pickers() -> impl Iterator<Item = &'static Picker> {
    inventory::iter::<Picker>()
}

/// Returns the picker with a name.
pub fn picker(name: &str) -> Option<&'static Picker> {
    pickers().find(|pick| pick.name == name)
}

/// Chooses a backend server for a request, or `None` if no fit one has a free slot.
///
/// One that the request was already sent to is chosen only if no other is fit.
pub fn choose<R: Rng>(
    pick: &Picker,
    candidates: &[Candidate],
    request: Request<'_>,
    context: &mut PickContext<'_, R>,
) -> Option<BackendKey> {
    if let Some(trial) = choose_trial(candidates, request, context) {
        return Some(trial);
    }
    let is_fit = |candidate: &&Candidate| candidate.weight > 0.0 && !candidate.is_trial;
    let is_untried = |candidate: &&Candidate| !request.tried.contains(&candidate.key);
    let has_untried = candidates.iter().filter(is_fit).any(|candidate| is_untried(&candidate));
    let available: Vec<Candidate> = candidates
        .iter()
        .filter(is_fit)
        .filter(|candidate| !has_untried || is_untried(candidate))
        .filter(|candidate| candidate.load < candidate.slots)
        .copied()
        .collect();
    let index = (pick.pick)(&available, context.count, context.rng)?;
    available.get(index).map(|candidate| candidate.key)
}

/// Chooses a backend server on trial for one in [`TRIAL_ONE_IN`] repeatable first attempts.
fn choose_trial<R: Rng>(
    candidates: &[Candidate],
    request: Request<'_>,
    context: &mut PickContext<'_, R>,
) -> Option<BackendKey> {
    if !request.is_repeatable || !request.tried.is_empty() {
        return None;
    }
    // Other VMs may already have ended its trial, so only this VM's own requests count.
    let is_eligible = |candidate: &&Candidate| {
        candidate.is_trial && candidate.own == 0 && candidate.load < candidate.slots
    };
    let chosen = candidates.iter().find(is_eligible)?;
    (context.rng.random_range(0..TRIAL_ONE_IN) == 0).then_some(chosen.key)
}
