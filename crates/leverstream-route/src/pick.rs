use leverstream_health::BackendKey;
use rand::Rng;

/// One in so many repeatable requests is tried on a backend server that is on its way back.
const TRIAL_ONE_IN: u32 = 4;

/// A backend server as a picker sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its key.
    pub key: BackendKey,
    /// The requests under way there, from all VMs as far as known.
    pub load: u32,
    /// Those of this VM.
    pub own: u32,
    /// How many requests leverstream may have under way there.
    pub slots: u32,
    /// Its weight times the share that its health allows; 0 when it takes no work.
    pub weight: f64,
    /// Whether it may only be given single repeatable requests.
    pub is_trial: bool,
}

/// What a picker is told of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Where it was tried already.
    pub tried: &'a [BackendKey],
}

/// What a picker may use besides the candidates.
pub struct Turn<'a, R: Rng + ?Sized> {
    /// A count that rises with each request.
    pub count: u64,
    /// The source of chance.
    pub rng: &'a mut R,
}

/// A way to choose among backend servers, registered by name.
pub struct Pick {
    /// The name by which settings and reports choose it.
    pub name: &'static str,
    /// Chooses one of the candidates, all of which are fit and have a free slot.
    pub pick: fn(&[Candidate], u64, &mut dyn rand::RngCore) -> Option<usize>,
}

inventory::collect!(Pick);

/// All pickers that have registered.
pub fn pickers() -> impl Iterator<Item = &'static Pick> {
    inventory::iter::<Pick>()
}

/// Finds a picker by its name.
pub fn picker(name: &str) -> Option<&'static Pick> {
    pickers().find(|pick| pick.name == name)
}

/// Chooses a backend server for a request, or none when no fit one has a free slot.
///
/// One that was tried already is chosen only when no other is fit at all.
pub fn choose<R: Rng>(
    pick: &Pick,
    candidates: &[Candidate],
    request: Request<'_>,
    turn: &mut Turn<'_, R>,
) -> Option<BackendKey> {
    if let Some(trial) = choose_trial(candidates, request, turn) {
        return Some(trial);
    }
    let is_fit = |candidate: &&Candidate| candidate.weight > 0.0 && !candidate.is_trial;
    let is_new = |candidate: &&Candidate| !request.tried.contains(&candidate.key);
    let has_new = candidates.iter().filter(is_fit).any(|candidate| is_new(&candidate));
    let open: Vec<Candidate> = candidates
        .iter()
        .filter(is_fit)
        .filter(|candidate| !has_new || is_new(candidate))
        .filter(|candidate| candidate.load < candidate.slots)
        .copied()
        .collect();
    let index = (pick.pick)(&open, turn.count, turn.rng)?;
    open.get(index).map(|candidate| candidate.key)
}

/// Now and then sends a repeatable first attempt to a backend server on its way back.
fn choose_trial<R: Rng>(
    candidates: &[Candidate],
    request: Request<'_>,
    turn: &mut Turn<'_, R>,
) -> Option<BackendKey> {
    if !request.is_repeatable || !request.tried.is_empty() {
        return None;
    }
    // Others may have it back in service already, so only this VM's own work counts.
    let may_try = |candidate: &&Candidate| {
        candidate.is_trial && candidate.own == 0 && candidate.load < candidate.slots
    };
    let idle = candidates.iter().find(may_try)?;
    (turn.rng.random_range(0..TRIAL_ONE_IN) == 0).then_some(idle.key)
}
