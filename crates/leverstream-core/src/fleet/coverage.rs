//! Which backend servers of a service get no work, as the users judge the floor.

use leverstream_health::BackendKey;

use crate::Fleet;

/// The time over which the users judge the floor, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// A backend server that no request has reached for the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleBackend {
    /// The backend server.
    pub key: BackendKey,
    /// The time since a request last reached it, in milliseconds.
    pub unused_ms: u64,
    /// The time since its last failure, in milliseconds, if it has failed.
    pub bad_age_ms: Option<u64>,
    /// The chance that a request fails there, from 0 to 1.
    pub failure_chance: f64,
}

/// The backend servers of a service that have not failed within the window, and those of them without work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Coverage {
    /// The number of backend servers that have not failed within the window.
    pub counted: usize,
    /// Those of them that no request has reached for the window.
    pub idle: Vec<IdleBackend>,
}

impl Coverage {
    /// Returns the share of idle backend servers, from 0 to 1.
    pub fn idle_share(&self) -> f64 {
        self.idle.len() as f64 / self.counted.max(1) as f64
    }
}

impl Fleet {
    /// Returns which backend servers of a service get no work.
    pub fn coverage(&self, service: &str, now_ms: u64) -> Coverage {
        let mut coverage = Coverage::default();
        for key in self.keys_of_service(service) {
            let member = &self.arena[key.0 as usize];
            let (unused_ms, bad_age_ms) = (member.unused_ms(now_ms), member.bad_age_ms(now_ms));
            if bad_age_ms.is_some_and(|age_ms| age_ms < WINDOW_MS) {
                continue;
            }
            coverage.counted += 1;
            if unused_ms >= WINDOW_MS {
                let failure_chance =
                    member.failure_chance(&self.routes, self.episodes_at(member), now_ms);
                coverage.idle.push(IdleBackend {
                    key: *key,
                    unused_ms,
                    bad_age_ms,
                    failure_chance,
                });
            }
        }
        coverage
    }
}
