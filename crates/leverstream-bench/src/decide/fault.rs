use rand::Rng;
use rand::rngs::StdRng;

/// How long the service runs before a fault begins, in milliseconds.
pub(super) const WARM_UP_MS: u64 = 20_000;

/// How long the faults go on, in milliseconds.
pub(super) const FAULTS_MS: u64 = 40_000;

/// The share of the answers of sound backend servers that are errors.
const STRAY_ERRORS: f64 = 0.012;

/// What goes wrong at backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The name.
    pub name: &'static str,
    /// The share of backend servers that are sick at a time.
    pub sick: f64,
    /// After how long others are sick instead; 0 if the same ones stay sick.
    pub turn_ms: u64,
    /// What happens to a request there.
    pub effect: Effect,
    /// The share of the requests to which it happens.
    pub share: f64,
    /// Whether only the VM of the first data hall meets it.
    pub is_partial: bool,
}

/// What happens to a request at a sick backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// No answer comes.
    Hang,
    /// An error comes at once.
    Error,
    /// The connection breaks at once.
    Reset,
    /// It takes so many times longer.
    Slow(f64),
    /// It is turned away unrun.
    Shed,
}

/// How an exchange with a backend server goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Course {
    /// A sound answer, after a part of the usual work.
    Answer(f64),
    /// An error or a broken connection.
    Failure,
    /// Turned away unrun.
    Shed,
    /// Silence.
    Silence,
}

/// The faults of the matrix.
pub const FAULTS: [Fault; 10] = [
    fault("none", 0.0, 0, Effect::Hang, 0.0),
    fault("hangs, in turn every 9 s", 0.3, 9_000, Effect::Hang, 0.75),
    fault("errors, in turn every 9 s", 0.3, 9_000, Effect::Error, 0.85),
    fault("errors, in turn every second", 0.3, 1_000, Effect::Error, 0.85),
    fault("one hangs", 0.1, 0, Effect::Hang, 1.0),
    fault("resets, half", 0.1, 0, Effect::Reset, 0.46),
    fault("slow by 5", 0.16, 0, Effect::Slow(5.0), 1.0),
    Fault { is_partial: true, ..fault("cut from one hall", 0.3, 0, Effect::Hang, 1.0) },
    fault("whole service slow by 3", 1.0, 0, Effect::Slow(3.0), 1.0),
    fault("whole service sheds a third", 1.0, 0, Effect::Shed, 0.33),
];

/// A fault that all VMs meet.
const fn fault(name: &'static str, sick: f64, turn_ms: u64, effect: Effect, share: f64) -> Fault {
    Fault { name, sick, turn_ms, effect, share, is_partial: false }
}

impl Fault {
    /// Tells whether one of `count` backend servers is sick; `seed` says which are.
    pub fn is_sick(&self, backend: usize, count: usize, seed: u64, now_ms: u64) -> bool {
        if self.sick == 0.0 || !(WARM_UP_MS..WARM_UP_MS + FAULTS_MS).contains(&now_ms) {
            return false;
        }
        let turn = (now_ms - WARM_UP_MS).checked_div(self.turn_ms).unwrap_or(0);
        let sick = ((count as f64 * self.sick).round() as usize).clamp(1, count);
        // Which begin is by chance, and each turn takes the next ones of a shuffled order.
        let place = |index: usize| {
            let mixed = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ^ seed.wrapping_mul(turn + 7);
            mixed.wrapping_mul(0xd6e8_feb8_6659_fd93)
        };
        let mine = (place(backend), backend);
        (0..count).filter(|other| (place(*other), *other) < mine).count() < sick
    }

    /// How an exchange goes that begins now.
    pub(super) fn course(&self, is_sick: bool, vm: usize, rng: &mut StdRng) -> Course {
        let is_met = is_sick && !(self.is_partial && vm != 0);
        if is_met && rng.random::<f64>() < self.share {
            return match self.effect {
                Effect::Hang => Course::Silence,
                Effect::Error | Effect::Reset => Course::Failure,
                Effect::Slow(times) => Course::Answer(times),
                Effect::Shed => Course::Shed,
            };
        }
        if rng.random::<f64>() < STRAY_ERRORS { Course::Failure } else { Course::Answer(1.0) }
    }
}
