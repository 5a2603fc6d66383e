//! The share of healthy backend servers without work, as the floor is judged from outside.

use super::{END_MS, IN_USE_WINDOW_MS, Model, WARM_UP_MS};

/// Groups into which the backend servers are divided.
///
/// The check of the floor leaves out backend servers with a recent disturbance, so the floor has to hold in a part of
/// them that no VM knows.
const GROUPS: usize = 3;

/// How long a backend server has to be healthy before it is judged, in milliseconds: the users leave out those with a
/// disturbance within twice three seconds.
const HEALTHY_FOR_MS: u64 = 6_000;

/// How long after a failure of its own a backend server is judged again, in milliseconds.
const FAILED_FOR_MS: u64 = 2_000;

/// The interval between the windows that are judged, in milliseconds.
const WINDOW_STEP_MS: u64 = 250;

impl Model<'_> {
    /// Returns the share of idle backend servers in the worst window of the worst group, and the mean over all windows
    /// and groups.
    pub(super) fn idle_shares(&self) -> (f64, f64) {
        let starts = (WARM_UP_MS..END_MS - IN_USE_WINDOW_MS).step_by(WINDOW_STEP_MS as usize);
        let shares: Vec<f64> = starts
            .flat_map(|start_ms| (0..GROUPS).map(move |group| (start_ms, group)))
            .map(|(start_ms, group)| self.idle_share(group, start_ms))
            .collect();
        let worst = shares.iter().copied().fold(0.0, f64::max);
        (worst, shares.iter().sum::<f64>() / shares.len() as f64)
    }

    /// Returns the share of a group's healthy backend servers without a request in a window.
    fn idle_share(&self, group: usize, start_ms: u64) -> f64 {
        let end_ms = start_ms + IN_USE_WINDOW_MS;
        let is_healthy = |server: &usize| {
            let mut moments =
                (start_ms.saturating_sub(HEALTHY_FOR_MS)..=end_ms).step_by(WINDOW_STEP_MS as usize);
            !moments.any(|at_ms| self.is_sick(*server, at_ms))
        };
        let has_failed = |server: &usize| {
            let recent = start_ms.saturating_sub(FAILED_FOR_MS)..end_ms;
            self.servers[*server].failures_ms.iter().any(|at_ms| recent.contains(at_ms))
        };
        let is_judged = |server: &usize| is_healthy(server) && !has_failed(server);
        let servers: Vec<usize> =
            (group..self.servers.len()).step_by(GROUPS).filter(is_judged).collect();
        let idle = servers.iter().filter(|server| self.is_idle(**server, start_ms)).count();
        idle as f64 / servers.len().max(1) as f64
    }

    /// Returns whether no request reached a backend server within a window.
    fn is_idle(&self, server: usize, start_ms: u64) -> bool {
        let requests_ms = &self.servers[server].requests_ms;
        let next = requests_ms.partition_point(|at_ms| *at_ms < start_ms);
        requests_ms.get(next).is_none_or(|at_ms| *at_ms >= start_ms + IN_USE_WINDOW_MS)
    }
}
