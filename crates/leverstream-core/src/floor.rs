use leverstream_route::{Choice, Claim, FloorStanding};

/// How long after the last request a repeatable one may be claimed for a backend server, in milliseconds: before
/// those that run once are, which lose more by a failure.
const CLAIMS_REPEATABLE_MS: u64 = 1_000;

/// The same for a request that runs once: the users look at two seconds, and the next request takes a while
/// to come.
const CLAIMS_ONCE_MS: u64 = 1_700;

/// The share that requests which may run again aim at while many requests fail, as they lose little by a trial.
///
/// The floor holds among those backend servers that nothing has disturbed of late, which no VM can tell from the
/// others. Where those are a tenth of a service, nine of ninety, chance leaves three of the nine out once in 200
/// looks if one in twenty lies idle, and every fifth time if the share is the floor itself. Requests that run once
/// aim at the floor: more trials failed half a percent more of all requests, measured at two deployments.
const FAILING_SHARE: f64 = 0.95;

/// How a service stands to the floor of sound backend servers that must have work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Floor {
    /// The share of sound backend servers that must have work.
    pub share: f64,
    /// Whether many of the requests for the service fail, as far as this VM sees.
    pub requests_fail: bool,
    /// Whether many attempts at its backend servers fail, whoever made them.
    pub attempts_fail: bool,
    /// How many requests a second come for the service to all VMs together, as far as known.
    pub requests_per_s: Option<f64>,
}

impl Floor {
    /// Tells whether the requests that come can reach the share of so many sound backend servers.
    ///
    /// Where they cannot, claims would lead each request away from what is known, and many would fail that need not:
    /// what the floor is for is kept there by serving.
    fn is_in_reach(&self, sound: f64) -> bool {
        let reached = |per_s: f64| per_s * CLAIMS_ONCE_MS as f64 / 1_000.0;
        self.requests_per_s.is_none_or(|per_s| reached(per_s) >= self.share * sound)
    }
}

/// Says what the floor claims for each backend server of a service.
///
/// While the service fails, each that is not in doubt is reached again and again, the new and the slow ones too,
/// those in doubt only as far as the share asks for it. Requests that may run again do so as soon as attempts
/// fail, those that run once only where requests do, and only at those that are likely sound unless the share
/// asks for more. Otherwise idle ones are preferred below the share, as nobody can foresee that what is under
/// way will fail.
pub fn claim(choices: &mut [Choice], floor: Floor, is_repeatable: bool) {
    if !floor.is_in_reach(sound_count(choices)) {
        return;
    }
    let claims_ms = if is_repeatable { CLAIMS_REPEATABLE_MS } else { CLAIMS_ONCE_MS };
    let fails = floor.requests_fail || (floor.attempts_fail && is_repeatable);
    let share = if floor.requests_fail && is_repeatable {
        floor.share.max(FAILING_SHARE)
    } else {
        floor.share
    };
    let is_low = used_share(choices) < share;
    for choice in choices.iter_mut() {
        let is_idle = choice.standing.is_sound && choice.standing.unused_ms >= claims_ms;
        let is_clear =
            !choice.is_in_doubt(is_repeatable) && (is_repeatable || choice.is_likely_sound());
        choice.claim = match is_idle {
            true if fails && (is_clear || is_low) => Claim::Owed,
            true if is_low => Claim::Preferred,
            _ => Claim::None,
        };
    }
}

/// The share of the sound backend servers that have had work of late, from 0 to 1; the lower one of all sound
/// ones and of those that are neither slow nor new.
///
/// Whoever asks for the floor may leave out those that are slow or new, and where these get most of the work,
/// the share among all would hide that the others get none.
pub fn used_share(choices: &[Choice]) -> f64 {
    let share = |steady_only: bool| {
        let is_counted = |standing: &FloorStanding| standing.is_steady || !steady_only;
        let (mut used, mut counted) = (0.0, 0.0);
        for choice in sound(choices).filter(|choice| is_counted(&choice.standing)) {
            counted += choice.sample_weight;
            if choice.standing.unused_ms < CLAIMS_ONCE_MS {
                used += choice.sample_weight;
            }
        }
        if used == counted { 1.0 } else { used / counted }
    };
    share(false).min(share(true))
}

/// How many of them are sound, with those that they stand for.
fn sound_count(choices: &[Choice]) -> f64 {
    sound(choices).map(|choice| choice.sample_weight).sum()
}

/// Those that are sound.
fn sound(choices: &[Choice]) -> impl Iterator<Item = &Choice> {
    choices.iter().filter(|choice| choice.standing.is_sound)
}
