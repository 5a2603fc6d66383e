//! Faults of backend servers in the model.

use rand::Rng;
use rand::rngs::StdRng;

use crate::model::HEALTHY_ERROR_SHARE;

/// Time that the service runs before the fault begins, in milliseconds.
pub(super) const WARM_UP_MS: u64 = 20_000;

/// Duration of the fault, in milliseconds.
pub(super) const FAULTS_MS: u64 = 40_000;

/// A fault of some or all backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The name in tables.
    pub name: &'static str,
    /// Share of backend servers that are sick at the same time.
    pub sick: f64,
    /// Time after which other backend servers become sick instead; 0 if the same ones stay sick.
    pub rotation_ms: u64,
    /// What happens to an affected request.
    pub effect: Effect,
    /// Share of the requests to a sick backend server that are affected.
    pub share: f64,
    /// Whether the fault affects only requests from the VM of the first data hall.
    pub is_first_hall_only: bool,
}

/// The effect of a fault on a request to a sick backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// No answer arrives.
    Hang,
    /// An error arrives immediately.
    Error,
    /// The connection is reset immediately.
    Reset,
    /// The work takes longer by this factor.
    Slow(f64),
    /// The request is rejected without running.
    Shed,
}

/// The result of an exchange with a backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ExchangeResult {
    /// A good answer, after the usual work time multiplied by this factor.
    Answer(f64),
    /// An error or a reset connection.
    Failure,
    /// A rejection without running the request.
    Shed,
    /// No answer.
    NoAnswer,
}

/// The faults of the test matrix.
pub const FAULTS: [Fault; 10] = [
    fault("none", 0.0, 0, Effect::Hang, 0.0),
    fault("hangs, in turn every 9 s", 0.3, 9_000, Effect::Hang, 0.75),
    fault("errors, in turn every 9 s", 0.3, 9_000, Effect::Error, 0.85),
    fault("errors, in turn every second", 0.3, 1_000, Effect::Error, 0.85),
    fault("one hangs", 0.1, 0, Effect::Hang, 1.0),
    fault("resets, half", 0.1, 0, Effect::Reset, 0.46),
    fault("slow by 5", 0.16, 0, Effect::Slow(5.0), 1.0),
    Fault { is_first_hall_only: true, ..fault("cut from one hall", 0.3, 0, Effect::Hang, 1.0) },
    fault("whole service slow by 3", 1.0, 0, Effect::Slow(3.0), 1.0),
    fault("whole service sheds a third", 1.0, 0, Effect::Shed, 0.33),
];

/// Returns a fault that affects the requests of all VMs.
const fn fault(
    name: &'static str,
    sick: f64,
    rotation_ms: u64,
    effect: Effect,
    share: f64,
) -> Fault {
    Fault { name, sick, rotation_ms, effect, share, is_first_hall_only: false }
}

impl Fault {
    /// Returns whether `backend`, one of `count` backend servers, is sick; `seed` determines which are.
    pub fn is_sick(&self, backend: usize, count: usize, seed: u64, now_ms: u64) -> bool {
        if self.sick == 0.0 || !(WARM_UP_MS..WARM_UP_MS + FAULTS_MS).contains(&now_ms) {
            return false;
        }
        let rotation = (now_ms - WARM_UP_MS).checked_div(self.rotation_ms).unwrap_or(0);
        let sick = ((count as f64 * self.sick).round() as usize).clamp(1, count);
        // Each rotation orders the backend servers by a hash of the seed; the first `sick` of them are sick.
        let rank = |index: usize| {
            let mixed = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ^ seed.wrapping_mul(rotation + 7);
            mixed.wrapping_mul(0xd6e8_feb8_6659_fd93)
        };
        let own_rank = (rank(backend), backend);
        (0..count).filter(|other| (rank(*other), *other) < own_rank).count() < sick
    }

    /// Draws the result of an exchange that begins now.
    pub(super) fn draw_result(&self, is_sick: bool, vm: usize, rng: &mut StdRng) -> ExchangeResult {
        let is_affected = is_sick && !(self.is_first_hall_only && vm != 0);
        if is_affected && rng.random::<f64>() < self.share {
            return match self.effect {
                Effect::Hang => ExchangeResult::NoAnswer,
                Effect::Error | Effect::Reset => ExchangeResult::Failure,
                Effect::Slow(factor) => ExchangeResult::Answer(factor),
                Effect::Shed => ExchangeResult::Shed,
            };
        }
        if rng.random::<f64>() < HEALTHY_ERROR_SHARE {
            ExchangeResult::Failure
        } else {
            ExchangeResult::Answer(1.0)
        }
    }
}
